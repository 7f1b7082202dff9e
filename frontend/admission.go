package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// maxAdmissionWait bounds the wait for a rate limit token. It is short compared with every latency target, so that a
// refused caller can retry within its target.
const maxAdmissionWait = 50 * time.Millisecond

// steadyAdmissionFraction is the fraction of the latency target that an operation may wait for a token where statements are assigned
// by target, as long as its workspace has had no refusal on this host for rateRefusalMemory. A small workspace inside its rate gets a
// token every few hundred milliseconds. One that is above its rate would spend its tokens on operations that miss their latency
// target, instead of those that arrive in time.
const (
	steadyAdmissionFraction = 0.4
	rateRefusalMemory       = time.Second
)

// minAdmissionWait is the shortest pause between two requests of a waiting operation to the broker.
const minAdmissionWait = 5 * time.Millisecond

// brokerPollInterval is the pause between attempts of an operation that waits for a change of the broker.
const brokerPollInterval = 20 * time.Millisecond

// admissionWait returns the longest time that an operation of the workspace waits for a rate limit token if the broker expects one
// by then.
func (s *Server) admissionWait(workspace model.Workspace, route catalog.Route) time.Duration {
	short := min(maxAdmissionWait, route.LatencyTarget/4)
	if !s.selectsTargets() {
		return short
	}
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if refused, known := s.rateRefusals[workspace]; known && boottime.Now().Sub(refused) < rateRefusalMemory {
		return short
	}
	return time.Duration(steadyAdmissionFraction * float64(route.LatencyTarget))
}

// recordRateRefusal records that an operation of the workspace was refused for its rate.
func (s *Server) recordRateRefusal(workspace model.Workspace) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	if s.rateRefusals == nil {
		s.rateRefusals = map[model.Workspace]time.Time{}
	}
	s.rateRefusals[workspace] = boottime.Now()
}

// charge is a rate limit token that an operation has taken, and the workspace whose limit it belongs to.
type charge struct {
	workspace model.Workspace
	token     share.Token
}

// admit takes a token for an operation of the workspace, either from this host's share of the limit or from the broker. It
// waits up to maxWait for a token, and up to brokerWait while this host changes to another broker, which takes about half a
// second and may leave callers inside their rate without tokens. If the operation is refused, wait estimates when a token may
// be available.
func (s *Server) admit(workspace model.Workspace, maxWait, brokerWait time.Duration) (token share.Token, admitted bool,
	wait time.Duration) {
	arrived := boottime.Now()
	for retry := false; ; retry = true {
		decision := s.tryAdmit(workspace, retry)
		if decision.Admitted {
			return decision.Token, true, 0
		}
		wait = decision.Wait
		failed := false
		if decision.TokensToRequest > 0 && s.acquireTokens != nil {
			granted, nextToken, err := s.acquireTokens(workspace, decision.TokensToRequest)
			if failed = err != nil; failed {
				s.log.Info("rate: broker not reached", zap.String("workspace", string(workspace)), zap.Error(err))
			} else if token, taken := s.addTokensAndTake(workspace, granted, nextToken); taken {
				return token, true, 0
			} else {
				wait = min(wait, nextToken)
			}
		}
		limit := maxWait
		if s.brokerChanging != nil && s.brokerChanging(failed) {
			limit, wait = max(maxWait, brokerWait), min(wait, brokerPollInterval)
		}
		wait = max(wait, minAdmissionWait)
		if boottime.Now().Add(wait).Sub(arrived) > limit {
			return share.Token{}, false, wait
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
func (s *Server) addTokensAndTake(workspace model.Workspace, granted float64, wait time.Duration) (share.Token, bool) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	now := boottime.Now()
	s.limiter.AddGrant(now, workspace, granted, wait)
	return s.limiter.Take(now, workspace)
}

// AddTokens adds tokens that the broker has granted in a late reply.
func (s *Server) AddTokens(workspace model.Workspace, granted float64) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.AddGrant(boottime.Now(), workspace, granted, 0)
}

// refund returns the token of an operation that did not run.
func (s *Server) refund(c charge) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.Refund(boottime.Now(), c.workspace, c.token)
}
