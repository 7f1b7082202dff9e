package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// longestAdmission is the longest wait for a token of the rate limit. It is short beside every latency target, so that a
// refused caller can come back in time.
const maxAdmissionWait = 50 * time.Millisecond

// shortestWait bounds the questions of a waiting operation to the broker.
const minAdmissionWait = 5 * time.Millisecond

// admit takes a token for an operation of the workspace, from this host's own part of the limit or from the broker. Without one
// it waits, if a token comes soon enough. If the operation is refused, the wait tells when a token may be there.
func (s *Server) admit(workspace model.Workspace, maxWait time.Duration) (admitted bool, wait time.Duration) {
	deadline := boottime.Now().Add(maxWait)
	for retry := false; ; retry = true {
		decision := s.tryAdmit(workspace, retry)
		if decision.Admitted {
			return true, 0
		}
		wait = decision.Wait
		if decision.Ask > 0 && s.acquireTokens != nil {
			granted, brokerWait, err := s.acquireTokens(workspace, decision.Ask)
			if err != nil {
				s.log.Info("rate: broker not reached", zap.String("workspace", string(workspace)), zap.Error(err))
			} else if s.addTokensAndTake(workspace, granted, brokerWait) {
				return true, 0
			} else {
				wait = min(wait, brokerWait)
			}
		}
		wait = max(wait, minAdmissionWait)
		if boottime.Now().Add(wait).After(deadline) {
			return false, wait
		}
		time.Sleep(wait)
	}
}

func (s *Server) tryAdmit(workspace model.Workspace, retry bool) share.Verdict {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Admit(boottime.Now(), workspace, retry)
}

// lend adds tokens of the broker and takes one.
func (s *Server) addTokensAndTake(workspace model.Workspace, granted float64, wait time.Duration) bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	now := boottime.Now()
	s.limiter.Lend(now, workspace, granted, wait)
	return s.limiter.Take(now, workspace)
}

func (s *Server) refund(workspace model.Workspace) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.Refund(boottime.Now(), workspace)
}
