package frontend

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/coldstart"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
)

// errEvacuated means that nothing was sent because the data centre of the target is evacuated.
var errEvacuated = errors.New("the data centre of the target is evacuated")

// isNotPermitted reports whether an error means that nothing was sent, so that the connection can be used again.
func isNotPermitted(err error) bool {
	return errors.Is(err, errPrimaryNotAllowed) || errors.Is(err, errEvacuated)
}

// evacuatedDetail is the detail of the answer that ends a transaction on a target of an evacuated data centre.
const evacuatedDetail = "the data centre of the transaction's target is evacuated"

// SetEvacuations applies the evacuated data centres. known holds the data centres for the metric that shows them.
func (s *Server) SetEvacuations(state evacuation.State, known []model.DataCentre) {
	s.activeEvacuations.Store(&state)
	for _, dc := range known {
		s.metrics.setEvacuated(dc, state.Evacuated(dc))
	}
	for _, dc := range state.DataCentres() {
		s.metrics.setEvacuated(dc, true)
	}
	for _, svc := range s.allServices() {
		svc.refreshTargets()
	}
}

func (s *Server) evacuations() evacuation.State { return *s.activeEvacuations.Load() }

// endEvacuatedTransactions rolls back the idle transactions whose time on targets of evacuated data centres is up. A
// transaction with a running statement ends afterwards.
func (s *Server) endEvacuatedTransactions(now time.Time) {
	if s.evacuations().Empty() {
		return
	}
	s.mu.Lock()
	list := slices.AppendSeq(slices.Collect(maps.Keys(s.sessions)), maps.Values(s.forwardedTxns))
	s.mu.Unlock()
	for _, sess := range list {
		sess.endEvacuatedTxn(now)
	}
}

// endEvacuatedTxn rolls back the open transaction if its time is up and no statement of it is running.
func (s *session) endEvacuatedTxn(now time.Time) {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.txn == nil || s.txn.failed || !s.evacuationEndsTxn(now) {
		return
	}
	s.log.Info("evacuation: transaction rolled back", zap.String("target", string(s.txn.conn.target.ID)),
		zap.String("data_centre", string(s.txn.conn.target.DataCentre)))
	s.txn.stopIdleTimer()
	s.rollback(s.txn)
	s.txn.failed, s.txn.evacuated = true, true
	if s.onIdleRollback != nil {
		s.onIdleRollback()
	}
}

// evacuationEndsTxn reports whether the open transaction must end because its target is evacuated. The caller holds s.mu.
func (s *session) evacuationEndsTxn(now time.Time) bool {
	c := s.txn.conn
	return c != nil && !s.server.evacuations().MayContinue(now, c.target.DataCentre)
}

// mayBeginOn reports whether the session may use the connection for its operation: a transaction does not begin when it
// would have to end at once.
func (s *session) mayBeginOn(c *targetConn) bool {
	return s.txn == nil || s.server.evacuations().MayContinue(boottime.Now(), c.target.DataCentre)
}

// failedAnswer returns the answer to a statement of a failed transaction.
func (t *txn) failedAnswer() Answer {
	if t.evacuated {
		t.evacuated = false
		return errorAnswer(Aborted, evacuatedDetail)
	}
	return errorAnswer(Malformed, "the transaction has failed")
}

// SetColdRate sets this host's share of the requests to each cold target of a service.
func (s *Server) SetColdRate(name model.Service, limited bool, rate coldstart.Rate) {
	svc := s.service(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.limitsCold == limited && svc.coldRate == rate {
		return
	}
	svc.limitsCold, svc.coldRate = limited, rate
	now := boottime.Now()
	svc.setPoolTargets(now, svc.currentPoolTargets(now))
}

// countCommands counts the commands that are about to be sent on a connection, except for one that the pool has counted
// with the grant. The caller holds s.mu.
func (s *service) countCommands(now time.Time, c *targetConn, commands int) {
	if c.granted {
		commands--
		c.granted = false
	}
	s.pool.CountRequests(now, c.target.ID, commands)
}

// refreshTargets passes the targets to the pool again if an evacuation has changed which of them start statements.
func (s *service) refreshTargets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshPoolTargets(boottime.Now())
}

// refreshPoolTargets is refreshTargets for callers that hold s.mu.
func (s *service) refreshPoolTargets(now time.Time) {
	evacuated := slices.ContainsFunc(s.poolTargets, func(t pool.Target) bool { return t.Evacuated })
	if !evacuated && s.server.evacuations().Empty() {
		return
	}
	if list := s.currentPoolTargets(now); !slices.Equal(list, s.poolTargets) {
		s.setPoolTargets(now, list)
	}
}

// setPoolTargets passes the targets to the pool. The caller holds s.mu.
func (s *service) setPoolTargets(now time.Time, list []pool.Target) {
	s.poolTargets = list
	s.applyActions(s.pool.SetTargets(now, list))
}

// currentPoolTargets returns the registered targets as the pool may use them, sorted by id. The caller holds s.mu.
func (s *service) currentPoolTargets(now time.Time) []pool.Target {
	registered := slices.SortedFunc(maps.Values(s.targets), func(a, b catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
	state := s.server.evacuations()
	list := make([]pool.Target, 0, len(registered))
	for _, t := range registered {
		// A draining primary accepts work until another target has been promoted.
		draining := t.State == catalog.Draining && t.ID != s.doc.Primary
		l := s.connectionLimits(t.ID)
		p := pool.Target{ID: t.ID, DataCentre: t.DataCentre, Limit: l.Max, Retained: l.Retained, AdaptLimit: l.Adaptive,
			Draining: draining, Evacuated: !state.MayStart(now, t, s.doc.Primary, registered)}
		if s.limitsCold {
			p.ColdUntil, p.ColdRate = t.ColdUntil, s.coldRate
		}
		list = append(list, p)
	}
	return list
}

// logRefusal logs a request that the pool has refused. The caller holds s.mu.
func (s *service) logRefusal(reason pool.RefusalReason) {
	if reason == pool.RefusedEvacuated {
		s.recordEvacuationRefusal(boottime.Now())
		return
	}
	s.log.Info("pool: request refused", zap.Stringer("reason", reason), zap.Int("waiting", s.pool.QueueLength()),
		zap.String("primary", string(s.doc.Primary)), zap.Bool("open", s.doc.Open), zap.Any("targets", s.pool.Load()))
}

// recordEvacuationRefusal counts and logs a statement that only targets of evacuated data centres could run. The caller
// holds s.mu.
func (s *service) recordEvacuationRefusal(now time.Time) {
	s.server.metrics.evacuationRefusals.Inc()
	if !s.evacuationRefusals.Allow(now) {
		return
	}
	s.log.Info("evacuation: statement refused", zap.String("primary", string(s.doc.Primary)), zap.Bool("open", s.doc.Open),
		zap.Int("suppressed", s.evacuationRefusals.Suppressed(now)))
}
