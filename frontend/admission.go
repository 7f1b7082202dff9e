package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// maxAdmissionWait bounds the wait for a rate limit token. It is short compared with every latency target, so that a
// refused caller can retry within its target.
const maxAdmissionWait = 50 * time.Millisecond

// minAdmissionWait is the shortest pause between two requests of a waiting operation to the broker.
const minAdmissionWait = 5 * time.Millisecond

// admit takes a token for an operation of the workspace, either from this host's share of the limit or from the broker. It
// waits up to maxWait for a token. If the operation is refused, wait estimates when a token may be available.
func (s *Server) admit(workspace model.Workspace, maxWait time.Duration) (admitted bool, wait time.Duration) {
	deadline := boottime.Now().Add(maxWait)
	for retry := false; ; retry = true {
		decision := s.tryAdmit(workspace, retry)
		if decision.Admitted {
			return true, 0
		}
		wait = decision.Wait
		if decision.TokensToRequest > 0 && s.acquireTokens != nil {
			granted, brokerWait, err := s.acquireTokens(workspace, decision.TokensToRequest)
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

// tryAdmit makes one attempt to take a token from this host's share of the limit.
func (s *Server) tryAdmit(workspace model.Workspace, retry bool) share.Decision {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Admit(boottime.Now(), workspace, retry)
}

// addTokensAndTake adds the tokens that the broker granted and takes one of them. It reports whether there was one.
func (s *Server) addTokensAndTake(workspace model.Workspace, granted float64, wait time.Duration) bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	now := boottime.Now()
	s.limiter.AddGrant(now, workspace, granted, wait)
	return s.limiter.Take(now, workspace)
}

// refund returns the token of an operation that did not run.
func (s *Server) refund(workspace model.Workspace) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.Refund(boottime.Now(), workspace)
}
