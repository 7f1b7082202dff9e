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
const longestAdmission = 50 * time.Millisecond

// shortestWait bounds the questions of a waiting operation to the broker.
const shortestWait = 5 * time.Millisecond

// admit takes a token for an operation of the workspace, from this host's own part of the limit or from the broker. Without one
// it waits, if a token comes soon enough. If the operation is refused, the wait tells when a token may be there.
func (s *Server) admit(workspace model.Workspace, longest time.Duration) (admitted bool, wait time.Duration) {
	end := boottime.Now().Add(longest)
	for again := false; ; again = true {
		verdict := s.verdict(workspace, again)
		if verdict.Admitted {
			return true, 0
		}
		wait = verdict.Wait
		if verdict.TokensToRequest > 0 && s.takeTokens != nil {
			granted, brokerWait, err := s.takeTokens(workspace, verdict.TokensToRequest)
			if err != nil {
				s.log.Info("rate: broker not reached", zap.String("workspace", string(workspace)), zap.Error(err))
			} else if s.lend(workspace, granted, brokerWait) {
				return true, 0
			} else {
				wait = min(wait, brokerWait)
			}
		}
		wait = max(wait, shortestWait)
		if boottime.Now().Add(wait).After(end) {
			return false, wait
		}
		time.Sleep(wait)
	}
}

func (s *Server) verdict(workspace model.Workspace, again bool) share.Decision {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Admit(boottime.Now(), workspace, again)
}

// lend adds tokens of the broker and takes one.
func (s *Server) lend(workspace model.Workspace, granted float64, wait time.Duration) bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	now := boottime.Now()
	s.limiter.AddGrant(now, workspace, granted, wait)
	return s.limiter.Take(now, workspace)
}

func (s *Server) refund(workspace model.Workspace) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.Refund(boottime.Now(), workspace)
}
