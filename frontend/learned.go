package frontend

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// initialReadTime is the initial value of the average read time.
	initialReadTime = 30 * time.Millisecond
	// readTimeoutFactor is the timeout of a read as a multiple of the average read time, after which the read is retried.
	// One read in a hundred takes five times the average.
	readTimeoutFactor = 6
	// minReadTimeout prevents needless retries of reads on an idle service.
	minReadTimeout = 100 * time.Millisecond
	// readTimeSmoothing is the weight of a new sample in the moving average of read times.
	readTimeSmoothing = 0.05
	// limitLogShare is the relative change of a learned limit from which on it is logged.
	limitLogShare = 0.25
	// limitLogInterval is the minimum time between two such lines about one target: a limit may change with each window of
	// some 24 statements.
	limitLogInterval = time.Second
)

// learned is what this host has learned about the targets of one service: limits and speeds as their gateway host, and the
// figures of other gateway hosts. It is guarded by the mutex of the service and used only while the load control is on.
type learned struct {
	refs    *concurrency.References
	limits  map[model.TargetID]*learnedLimit
	queue   map[model.TargetID]*queueLimit // limits as the queues of the targets read them
	tracker *balance.Tracker
	rng     *rand.Rand // for the choice of targets
}

// learnedLimit is the limit of one target of this host.
type learnedLimit struct {
	*concurrency.Limiter
	startedAt       int64 // start of the target, see catalog.Target
	loggedLimit     int
	loggedAt        time.Time
	limit, slowdown prometheus.Gauge
}

func newLearned() learned {
	return learned{refs: concurrency.NewReferences(), limits: map[model.TargetID]*learnedLimit{},
		queue:   map[model.TargetID]*queueLimit{},
		tracker: balance.NewTracker(), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// SetLoadControl turns the learning of limits and speeds on or off. It is off at first.
func (s *Server) SetLoadControl(on bool) {
	if s.loadControl.Swap(on) == on || on {
		return
	}
	for _, svc := range s.allServices() {
		svc.mu.Lock()
		for id := range svc.learned.limits {
			svc.forgetLearned(id)
		}
		svc.learned = newLearned()
		for id, q := range svc.queues { // their limits are those that were learned
			q.Close(boottime.Now())
			delete(svc.queues, id)
		}
		svc.mu.Unlock()
	}
}

// limiter returns the limiter of a registered target, or nil if the load control is off. The caller holds s.mu.
func (s *service) limiter(id model.TargetID) *learnedLimit {
	t, registered := s.targets[id]
	if !registered || !s.server.loadControl.Load() {
		return nil
	}
	l := s.learned.limits[id]
	if l != nil {
		return l
	}
	if t.Slots <= 0 {
		s.log.Warn("target: no number of slots is given", zap.String("target", string(id)), zap.Int("slots", t.Slots),
			zap.Int("assumed", concurrency.DefaultSlots))
	}
	limiter := s.learned.refs.Limiter(id, t.Slots, boottime.Now())
	l = &learnedLimit{Limiter: limiter, startedAt: t.StartedAt, loggedLimit: limiter.Limit(),
		limit:    s.server.metrics.limits.WithLabelValues(string(s.name), string(id)),
		slowdown: s.server.metrics.slowdowns.WithLabelValues(string(s.name), string(id))}
	l.limit.Set(float64(limiter.Limit()))
	l.slowdown.Set(1)
	s.learned.limits[id] = l
	s.queueLimit(id).current.Store(int64(limiter.Limit()))
	return l
}

// queueLimit is the learned limit of a target as its queue reads it, without the lock of the service. It implements
// turns.Limit.
type queueLimit struct{ current atomic.Int64 }

// Limit implements turns.Limit.
func (l *queueLimit) Limit() int { return max(1, int(l.current.Load())) }

// queueLimit returns the limit of a target as its queue reads it. The caller holds s.mu.
func (s *service) queueLimit(id model.TargetID) *queueLimit {
	l := s.learned.queue[id]
	if l == nil {
		l = &queueLimit{}
		s.learned.queue[id] = l
	}
	return l
}

// updateLearned drops what was learned about targets that were removed or have started again. The caller holds s.mu and has
// set s.targets.
func (s *service) updateLearned() {
	for id, l := range s.learned.limits {
		t, registered := s.targets[id]
		switch {
		case !registered:
			s.forgetLearned(id)
			delete(s.learned.queue, id)
		case t.StartedAt != l.startedAt:
			s.forgetLearned(id)
		default:
			l.SetSlots(t.Slots)
		}
	}
}

// forgetLearned drops what was learned about a target. The caller holds s.mu.
func (s *service) forgetLearned(id model.TargetID) {
	delete(s.learned.limits, id)
	s.learned.refs.Forget(id)
	s.learned.tracker.Forget(id)
	s.server.metrics.limits.DeleteLabelValues(string(s.name), string(id))
	s.server.metrics.slowdowns.DeleteLabelValues(string(s.name), string(id))
}

// measurement is a command in progress whose time is measured. The zero value measures nothing.
type measurement struct {
	service *service
	limit   *learnedLimit
	class   concurrency.Class
	sentAt  time.Time
}

// measure starts the measurement of a command on a target.
func (s *service) measure(now time.Time, target model.TargetID, class concurrency.Class) measurement {
	if !s.server.loadControl.Load() {
		return measurement{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limiter(target)
	if l == nil {
		return measurement{}
	}
	l.Start(now)
	return measurement{s, l, class, now}
}

// finish ends the measurement with the outcome of the command.
func (m measurement) finish(now time.Time, target model.TargetID, outcome concurrency.Outcome) {
	if m.limit == nil {
		return
	}
	s := m.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m.limit.Finish(now, concurrency.Sample{Class: m.class, Took: now.Sub(m.sentAt), Outcome: outcome})
	if s.learned.limits[target] != m.limit {
		return // the target was removed or has started again
	}
	s.queueLimit(target).current.Store(int64(m.limit.Limit()))
	limit, slowdown := m.limit.Learned(), m.limit.Slowdown()
	m.limit.limit.Set(float64(limit))
	m.limit.slowdown.Set(slowdown)
	change := float64(limit - m.limit.loggedLimit)
	if max(change, -change) > limitLogShare*float64(m.limit.loggedLimit) && now.Sub(m.limit.loggedAt) >= limitLogInterval {
		s.log.Info("target: limit changed", zap.String("target", string(target)), zap.Int("from", m.limit.loggedLimit),
			zap.Int("to", limit), zap.Float64("slowdown", slowdown), zap.Stringer("last_outcome", outcome))
		m.limit.loggedLimit, m.limit.loggedAt = limit, now
	}
}

// runMeasured runs commands on a connection and measures the time of the last one, if known is set, as one of the class.
func (s *service) runMeasured(c *targetConn, class concurrency.Class, known bool, deadline time.Time,
	commands []Command) ([]Reply, bool, error) {
	if !known {
		return c.conn.Run(deadline, commands)
	}
	measured := s.measure(boottime.Now(), c.target.ID, class)
	replies, sent, err := c.conn.Run(deadline, commands)
	code := Failed
	if err == nil {
		code = replies[len(replies)-1].Code
	}
	measured.finish(boottime.Now(), c.target.ID, commandOutcome(code, err))
	return replies, sent, err
}

// dialMeasured opens a connection to a target with dial and measures the time.
func (s *service) dialMeasured(ctx context.Context, t catalog.Target, workspace model.Workspace) (Conn, model.Position,
	error) {
	measured := s.measure(boottime.Now(), t.ID, concurrency.Class{Kind: concurrency.Open})
	conn, position, err := s.dial(ctx, t, workspace)
	measured.finish(boottime.Now(), t.ID, commandOutcome(Success, err))
	return conn, position, err
}

// classOf returns the class of a command, or false if its time is not measured: the begin and the rollback of a transaction
// need no slot of the target.
func classOf(sess *sessionState, command Command) (concurrency.Class, bool) {
	if sess == nil {
		return concurrency.Class{}, false
	}
	class := concurrency.Class{Route: sess.route}
	switch command.Kind {
	case Read:
	case Write:
		class.Kind = concurrency.Write
	case Commit:
		class.Kind = concurrency.Commit
	case Execute:
		if sess.prepared[command.Name].Kind == PrepareWrite {
			class.Kind = concurrency.Write
		}
	default:
		return class, false
	}
	return class, true
}

// commandOutcome returns the outcome of a command for the learned limit. Answers other than success and BUSY have failed: their
// time says nothing about the target.
func commandOutcome(code Code, err error) concurrency.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return concurrency.NoAnswer
	case err == nil && code == Success:
		return concurrency.Done
	case err == nil && code == Busy:
		return concurrency.Busy
	}
	return concurrency.Failed
}

// targetLoad returns the figures about a target that this host connects to, for the response to a forwarded statement of
// the class and priority. They are zero if the load control is off or nothing is known.
func (s *service) targetLoad(id model.TargetID, class concurrency.Class, priority int) balance.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, q := s.limiter(id), s.queueOf(id)
	if l == nil || q == nil {
		return balance.Load{}
	}
	f := q.Figures(boottime.Now(), priority)
	return balance.Load{Limit: f.Limit, Running: max(f.Running, l.Running()), Waiting: f.Waiting, Wait: f.Wait,
		Slowdown: l.Slowdown(), Service: s.learned.refs.Typical(id, class)}
}

// reportLoad records the figures about a target that its gateway host returned with the response to a statement of the
// class. The gateway host may know no other target of the service, so the slowdown is also taken from the reported times.
func (s *service) reportLoad(now time.Time, id model.TargetID, class concurrency.Class, load balance.Load) {
	if load.Limit <= 0 || !s.server.loadControl.Load() {
		return // the gateway host does not know anything about the target
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned.refs.Report(now, id, class, load.Service)
	load.Slowdown = max(load.Slowdown, s.learned.refs.Slowdown(id))
	s.learned.tracker.Report(now, id, load)
}

// TargetLoad returns the figures about a target that this host connects to, for the response to a forwarded statement of
// the route. They are zero if the load control is off or nothing is known.
func (s *Server) TargetLoad(route catalog.Route, id model.TargetID, kind concurrency.Kind) balance.Load {
	return s.service(route.Service).targetLoad(id, concurrency.Class{Route: route.Database, Kind: kind}, route.Priority)
}

// ReportTargetLoad records the figures about a target that its gateway host returned with the response to a statement of
// the route.
func (s *Server) ReportTargetLoad(name model.Service, id model.TargetID, route string, kind concurrency.Kind,
	load balance.Load) {
	s.service(name).reportLoad(boottime.Now(), id, concurrency.Class{Route: route, Kind: kind}, load)
}

// RankTargets returns the candidates for a read of the service, best first, see balance.Tracker.
func (s *Server) RankTargets(name model.Service, candidates []balance.Candidate,
	latencyTarget time.Duration) []model.TargetID {
	svc := s.service(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.learned.tracker.Rank(boottime.Now(), svc.learned.rng, candidates, latencyTarget)
}

// TargetStarted records that a statement was sent to a target or its gateway host.
func (s *Server) TargetStarted(name model.Service, id model.TargetID) {
	svc := s.service(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.learned.tracker.Started(id)
}

// TargetFinished records the outcome of a statement for which TargetStarted was called.
func (s *Server) TargetFinished(name model.Service, id model.TargetID, outcome concurrency.Outcome) {
	svc := s.service(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	switch svc.learned.tracker.Finished(boottime.Now(), id, outcome) {
	case balance.TakenOut:
		svc.log.Warn("target: taken out, too many statements failed", zap.String("target", string(id)),
			zap.Stringer("last_outcome", outcome))
	case balance.Returned:
		svc.log.Info("target: returned, a probe succeeded", zap.String("target", string(id)))
	}
}

// readTimeout returns the time after which a read without a reply is retried.
func (s *service) readTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minReadTimeout, readTimeoutFactor*s.averageReadTime)
}

// recordReadTime adds the duration of a read to the average. A read that timed out counts with the time until the timeout.
func (s *service) recordReadTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.averageReadTime += time.Duration(readTimeSmoothing * float64(took-s.averageReadTime))
}
