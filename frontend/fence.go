package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// applyDocument applies a decision about the primary and reports whether it is new. When it returns, no connection of an
// older decision is in use any more.
func (s *service) applyDocument(doc primacy.Document) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Epoch <= s.doc.Epoch {
		s.awaitFenced(doc.Epoch)
		return false
	}
	now := boottime.Now()
	old := s.doc
	continues := doc.Continues(old)
	s.log.Info("primary: decision applied", zap.Uint64("epoch", doc.Epoch), zap.Bool("open", doc.Open), zap.Bool("continues", continues),
		zap.String("target", string(doc.Primary)), zap.Uint64("term", doc.Term), zap.String("cause", string(doc.Cause)))
	s.doc = doc
	if continues {
		s.fencedEpoch = doc.Epoch
		s.updatePoolPrimary(now)
		return true
	}
	s.tenureSince = doc.Epoch
	s.promotionSeen = doc.Open && !old.Open && old.Epoch == doc.Epoch-1 && old.Epoch > 0
	s.highestPosition = model.Position{}
	s.docAppliedAt, s.primaryReachedAt, s.primaryFailingSince = now, now, time.Time{}
	if doc.Open {
		if old.Open && old.Primary != doc.Primary {
			s.closeConnections(now, old.Primary)
		}
		s.fencedEpoch = doc.Epoch
		s.setPoolTargets(now, s.currentPoolTargets(now)) // a draining primary gets no work once it is replaced
		s.updatePoolPrimary(now)
		return true
	}
	s.updatePoolPrimary(now)
	if old.Primary == "" {
		s.fencedEpoch = doc.Epoch
		return true
	}
	if doc.Planned {
		s.awaitIdle(old.Primary)
	}
	if s.doc.Epoch == doc.Epoch {
		s.closeConnections(boottime.Now(), old.Primary)
		s.fencedEpoch = doc.Epoch
	}
	return true
}

// awaitFenced waits until another goroutine has finished fencing the old primary for the epoch. The caller holds s.mu,
// which is released while waiting.
func (s *service) awaitFenced(epoch uint64) {
	for s.fencedEpoch < epoch && s.doc.Epoch == epoch {
		s.mu.Unlock()
		time.Sleep(fencePollInterval)
		s.mu.Lock()
	}
}

// awaitIdle waits until no connection to the target is in use, for at most plannedReplacementGrace. The caller holds
// s.mu, which is released while waiting.
func (s *service) awaitIdle(id model.TargetID) {
	for waited := time.Duration(0); waited < plannedReplacementGrace && s.inUse(id); waited += fencePollInterval {
		s.mu.Unlock()
		time.Sleep(fencePollInterval)
		s.mu.Lock()
	}
}

// inUse reports whether a connection to the target is in use. The caller holds s.mu.
func (s *service) inUse(id model.TargetID) bool {
	for _, c := range s.conns {
		if c.target.ID == id && s.pool.Busy(c.id) {
			return true
		}
	}
	return false
}

// closeConnections closes all connections to a target. Statements that run on them fail. The caller holds s.mu.
func (s *service) closeConnections(now time.Time, id model.TargetID) {
	s.applyActions(s.pool.CloseIdle(id))
	for connID, c := range s.conns {
		if c.target.ID == id {
			s.close(connID)
			s.applyActions(s.pool.Discard(now, connID))
		}
	}
}

// primaryObservation returns whether and since when this host reaches the primary.
func (s *service) primaryObservation() primacy.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	o := primacy.Observation{Epoch: s.doc.Epoch, ReplyAge: now.Sub(s.primaryReachedAt)}
	if !s.primaryFailingSince.IsZero() {
		o.UnreachableFor = max(now.Sub(s.primaryFailingSince), 1)
	}
	return o
}

// permissionEndedDetail is the detail of the answer to a write that may have been committed by a replaced primary.
const permissionEndedDetail = "this host's permission to use the primary ended before the answer came"

// mayAcknowledge reports whether a commit that a target has just confirmed may be acknowledged to the caller. The target may have
// received the statement, or committed it, after this host's permission to use the primary had ended. The leader does not wait for
// such a host, so that another target may have been promoted before the commit.
func (s *session) mayAcknowledge(st Statement, c *targetConn, epoch uint64) bool {
	if s.server.PrimaryAllowed(boottime.Now()) {
		return true
	}
	s.log.Warn("statement: committed, but not acknowledged: the permission to use the primary has ended",
		zap.String("id", shorten(st.ID)), zap.String("target", string(c.target.ID)), zap.Uint64("epoch", epoch))
	return false
}
