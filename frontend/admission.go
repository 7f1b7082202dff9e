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

// admit takes a token for an operation of the workspace, from this host's own part of the limit or from the broker. If it
// is refused, the wait tells when a token may be there.
func (s *Server) admit(workspace model.Workspace, longest time.Duration) (admitted bool, wait time.Duration) {
	verdict := s.verdict(workspace)
	if verdict.Admitted {
		return true, 0
	}
	if verdict.Ask > 0 && s.takeTokens != nil {
		granted, brokerWait, err := s.takeTokens(workspace, verdict.Ask)
		if err != nil {
			s.log.Info("rate: broker not reached", zap.String("workspace", string(workspace)), zap.Error(err))
		} else if s.lend(workspace, granted, brokerWait) {
			return true, 0
		}
		verdict.Wait = min(verdict.Wait, max(brokerWait, time.Millisecond))
	}
	return s.reserve(workspace, longest, verdict.Wait)
}

func (s *Server) verdict(workspace model.Workspace) share.Verdict {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Admit(boottime.Now(), workspace)
}

// lend adds tokens of the broker and takes one.
func (s *Server) lend(workspace model.Workspace, granted float64, wait time.Duration) bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	now := boottime.Now()
	s.limiter.Lend(now, workspace, granted, wait)
	return s.limiter.Take(now, workspace)
}

// reserve waits for a token of this host's own part, if it comes soon.
func (s *Server) reserve(workspace model.Workspace, longest, wait time.Duration) (bool, time.Duration) {
	if wait > longest {
		return false, wait
	}
	time.Sleep(wait)
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if s.limiter.Take(boottime.Now(), workspace) {
		return true, 0
	}
	return false, wait
}

func (s *Server) refund(workspace model.Workspace) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.Refund(boottime.Now(), workspace)
}
