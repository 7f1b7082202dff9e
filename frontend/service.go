package frontend

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/coldstart"
	"github.com/waxwingspindle/waxwingspindle/logging"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/retry"
	"github.com/waxwingspindle/waxwingspindle/routing"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

const (
	// dialTimeout bounds the opening of a connection. It takes 12 ms, plus the wait for a slot of a busy target, which
	// becomes free within a few statements.
	dialTimeout = 500 * time.Millisecond
	// plannedReplacementGrace is the time that open transactions may continue on a primary that is replaced as planned. New
	// transactions wait during this time.
	plannedReplacementGrace = 400 * time.Millisecond
	// fencePollInterval is the interval between checks whether a primary that is being fenced is still in use.
	fencePollInterval = 5 * time.Millisecond
	// primaryUnreachableAfter is the time without a reply from the primary after which statements that need it are
	// forwarded to other hosts. It is enough for two connection attempts to a live target.
	primaryUnreachableAfter = 200 * time.Millisecond
	// primaryProbeInterval is the interval between attempts to reach an unreachable primary again.
	primaryProbeInterval = 300 * time.Millisecond
	// usualReplacementTime is the time in which a replacement ends unless it waits for a host that does not answer.
	usualReplacementTime = 2500 * time.Millisecond
	// promotionSettleTime is the time in which a new primary applies the log entries that it had received. Their backlog is
	// the usual replication lag.
	promotionSettleTime = time.Second
	// verifyPrimaryAfter is the time without a reply of the primary after which it has to confirm its role. Meanwhile other hosts
	// may have committed, so that the position known here does not tell a primary from one that has lost its data.
	verifyPrimaryAfter = time.Second
	// unknownLag is the assumed lag of a replica that is behind every known position of its primary.
	unknownLag = time.Minute
)

// errPrimaryNotAllowed means that this host may not use the primary at the moment. Nothing was sent.
var errPrimaryNotAllowed = errors.New("this host is not permitted to use the primary at the moment")

// service runs the statements of one service on its targets.
type service struct {
	server *Server
	name   model.Service
	log    *zap.Logger

	mu                  sync.Mutex
	pool                *pool.Pool
	conns               map[pool.ConnID]*targetConn
	waiters             map[pool.RequestID]chan<- grant
	lastRequestID       pool.RequestID
	targets             map[model.TargetID]catalog.Target
	connectionLimits    func(model.TargetID) ConnectionLimits // of this host
	doc                 primacy.Document
	tenureSince         uint64                       // epoch of the first decision that doc continues, see primacy.Document.Continues
	fencedEpoch         uint64                       // no connection of an epoch below this one is in use
	samples             *routing.PositionSamples     // log positions over time of the primary of samplesTenure
	samplesTenure       uint64                       // tenureSince when the samples were taken
	samplesTerm         uint64                       // term of that primary
	lastReplyAt         map[model.TargetID]time.Time // time of the last reply of each target
	averageReadTime     time.Duration                // moving average
	docAppliedAt        time.Time                    // when doc was applied
	promotionSeen       bool                         // this host has applied the closed document that precedes doc
	verifiedTenure      uint64                       // tenureSince when the primary last confirmed its role to this host
	highestPosition     model.Position               // highest position that the primary of doc has reported
	primaryReachedAt    time.Time                    // time of the last reply of the primary of doc, initially docAppliedAt
	primaryFailingSince time.Time                    // time of the first failure since that reply, or zero
	primaryProbedAt     time.Time                    // last attempt to reach an unreachable primary
	lastWorkspace       model.Workspace              // workspace of the last request
	primaryState        primaryState
	primaryChanged      chan struct{} // closed and replaced when primaryState changes
	positionFetch       positionFetch // of the position of a primary that another host uses
	queues              map[model.TargetID]*turns.Queue
	retries             *retry.Budget     // nil before the first statement and without load control
	poolTargets         []pool.Target     // as last passed to the pool
	evacuationRefusals  logging.LineLimit // lines about statements that an evacuation refuses
	learned             learned
	limitsCold          bool           // requests to cold targets are limited
	coldRate            coldstart.Rate // share of this host
}

// primaryState is what statements need to know about the decision about the primary.
type primaryState struct {
	epoch  uint64
	usable bool
}

// targetConn is an open connection and the session state that is set up on it.
type targetConn struct {
	id         pool.ConnID
	target     catalog.Target
	workspace  model.Workspace
	conn       Conn
	variables  map[string]string
	prepared   map[string]bool
	lastSentAt time.Time   // time of the last command
	turn       *turns.Turn // of the statement that uses the connection; nil between statements and without load control
	granted    bool        // nothing has been sent since the connection was granted
}

// grant is the result of a request for a connection: either conn or refusal is set.
type grant struct {
	conn    *targetConn
	refusal pool.RefusalReason
}

func newService(server *Server, name model.Service) *service {
	return &service{server: server, name: name, log: server.log.With(zap.String("service", string(name))),
		pool: pool.New(server.dataCentre), conns: map[pool.ConnID]*targetConn{},
		waiters: map[pool.RequestID]chan<- grant{}, targets: map[model.TargetID]catalog.Target{},
		samples: &routing.PositionSamples{}, primaryChanged: make(chan struct{}), queues: map[model.TargetID]*turns.Queue{},
		lastReplyAt: map[model.TargetID]time.Time{}, averageReadTime: initialReadTime, learned: newLearned()}
}

// applyActions executes actions of the pool. The caller holds s.mu.
func (s *service) applyActions(actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Grant:
			s.reportIdle(s.conns[a.Conn])
			if c := s.conns[a.Conn]; c != nil {
				c.granted = true
			}
			s.deliverResult(a.RequestID, grant{conn: s.conns[a.Conn]})
		case pool.Refuse:
			if a.Reason == pool.RefusedNoConnection {
				s.deliverResult(a.RequestID, grant{refusal: a.Reason})
				continue // the statement waits for another turn
			}
			s.logRefusal(a.Reason)
			s.deliverResult(a.RequestID, grant{refusal: a.Reason})
		case pool.Open:
			s.startOpening(a, s.targets[a.Target])
		case pool.Close:
			s.close(a.Conn)
		}
	}
}

// deliverResult delivers the result of a request to the goroutine that waits for it. The caller holds s.mu.
func (s *service) deliverResult(id pool.RequestID, g grant) {
	if waiter, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		waiter <- g
	}
}

// close closes a connection in the background. The caller holds s.mu.
func (s *service) close(id pool.ConnID) {
	if c := s.conns[id]; c != nil {
		delete(s.conns, id)
		s.reportIdle(c)
		go c.conn.Close()
	}
}

// open opens a connection for the pool and reports the result to it. It returns the error of the attempt.
func (s *service) open(a pool.Open, t catalog.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sentAt := boottime.Now()
	conn, position, err := s.dialMeasured(ctx, t, a.Workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if err != nil {
		s.log.Warn("target: connection failed", zap.String("target", string(t.ID)),
			zap.String("workspace", string(a.Workspace)), zap.Error(err))
		var refused *TargetError
		if !errors.As(err, &refused) || refused.Code == WrongTarget {
			s.recordFailure(sentAt, t.ID)
		}
		if refused != nil && refused.Code == ConnectionLimit {
			s.applyActions(s.pool.OpenRefused(now, a.Conn))
			return err
		}
		s.applyActions(s.pool.OpenFinished(now, a.Conn, false))
		return err
	}
	if current := s.targets[t.ID]; current.StartedAt != t.StartedAt || current.Address != t.Address {
		go conn.Close()
		s.applyActions(s.pool.OpenFinished(now, a.Conn, false))
		return nil
	}
	s.conns[a.Conn] = &targetConn{id: a.Conn, target: t, workspace: a.Workspace, conn: conn,
		variables: map[string]string{}, prepared: map[string]bool{}}
	s.recordReply(sentAt, now, t, position)
	s.applyActions(s.pool.OpenFinished(now, a.Conn, true))
	s.reportIdle(s.conns[a.Conn])
	return nil
}

// minPrimaryPosition returns the position that the primary has reached at the given time unless it lost data. The promotion may
// be recent only if this host has seen it. The caller holds s.mu.
func (s *service) minPrimaryPosition(at time.Time) model.Position {
	if s.promotionSeen && at.Sub(s.docAppliedAt) < promotionSettleTime {
		return s.highestPosition
	}
	return s.highestPosition.Max(s.doc.Received)
}

// recordReply records the time now of a target's reply to a command that was sent at sentAt, and the log position in the
// reply: as a sample of the primary, or to estimate the lag of a replica. The caller holds s.mu.
func (s *service) recordReply(sentAt, now time.Time, t catalog.Target, position model.Position) {
	id := t.ID
	s.lastReplyAt[id] = now
	if id == s.doc.Primary && t.StartedAt != s.doc.Born {
		return // the target has started again, so that its position says nothing about the primary's log
	}
	if id == s.doc.Primary {
		s.primaryReachedAt, s.primaryFailingSince = now, time.Time{}
		if s.doc.Open && s.server.PrimaryAllowed(sentAt) {
			s.addSample(sentAt, position)
		}
		return
	}
	if s.samples.LatestTime().IsZero() {
		return
	}
	s.pool.ObserveLag(now, id, s.estimateLag(now, position))
}

// estimateLag estimates the lag of a replica that is at the given position. The caller holds s.mu.
func (s *service) estimateLag(now time.Time, position model.Position) time.Duration {
	if s.server.selectsTargets() {
		// The positions come from another host now and then, so that even a replica which has everything covers only an old one.
		behind, lags := s.samples.FirstUncovered(position)
		if !lags {
			return 0
		}
		return now.Sub(behind)
	}
	at, proven := s.samples.LatestCovered(position.Term, position)
	if !proven {
		return unknownLag
	}
	return now.Sub(at)
}

// recordFailure records that the target did not reply to a command that was sent at sentAt. The caller holds s.mu.
func (s *service) recordFailure(sentAt time.Time, id model.TargetID) {
	if id == s.doc.Primary && s.primaryFailingSince.IsZero() && sentAt.After(s.primaryReachedAt) {
		s.primaryFailingSince = sentAt
	}
}

// canConnect reports whether this host may hold connections to targets of the service.
func (s *service) canConnect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.CanConnect()
}

// acquire waits for a connection. It sets the ID of the request.
func (s *service) acquire(r pool.Request) grant {
	waiter := make(chan grant, 1)
	s.mu.Lock()
	s.lastRequestID++
	r.ID = s.lastRequestID
	s.lastWorkspace = r.Workspace
	s.waiters[r.ID] = waiter
	s.applyActions(s.pool.Enqueue(boottime.Now(), r))
	s.mu.Unlock()
	return <-waiter
}

// release returns a connection to the pool, or closes it if it is broken.
func (s *service) release(c *targetConn, broken bool) {
	ended := c.turn
	c.turn = nil      // before another statement may get the connection
	defer ended.End() // afterwards, so that the queue knows that the connection is idle
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if s.conns[c.id] != c || len(c.prepared) > maxPreparedOnConn {
		broken = true // the connection was closed while in use, or the target holds many prepared statements for it
	}
	if !broken {
		s.applyActions(s.pool.Release(now, c.id))
		s.reportIdle(c)
		return
	}
	s.close(c.id)
	s.applyActions(s.pool.Discard(now, c.id))
	if s.lastReplyAt[c.target.ID].Before(c.lastSentAt) {
		// The target has not replied on any connection since, so its other connections may be dead too.
		s.recordFailure(c.lastSentAt, c.target.ID)
		s.applyActions(s.pool.CloseIdle(c.target.ID))
	}
}

// run sends a command on a connection, preceded by the commands that set up the state of the session. If epoch is not 0,
// the command is sent only while this host may use the primary in that epoch. The second result is false if nothing was
// sent.
func (s *service) run(c *targetConn, sess *sessionState, command Command, epoch uint64, deadline time.Time) (Reply, bool,
	error) {
	sentAt := boottime.Now()
	if !s.server.evacuations().MayReach(sentAt, c.target.DataCentre) {
		return Reply{}, false, errEvacuated
	}
	if epoch != 0 {
		s.mu.Lock()
		allowed := s.primaryUsable() && s.inTenure(epoch) && c.target.StartedAt == s.doc.Born && s.conns[c.id] == c &&
			s.server.PrimaryAllowed(sentAt)
		s.mu.Unlock()
		if !allowed {
			return Reply{}, false, errPrimaryNotAllowed
		}
	}
	class, known := classOf(sess, command)
	commands := c.commandsFor(sess, &command)
	s.mu.Lock()
	s.countCommands(sentAt, c, len(commands))
	s.mu.Unlock()
	c.lastSentAt = sentAt
	replies, sent, err := s.runMeasured(c, class, known, deadline, commands)
	c.turn.Answered(outcomeOf(replies, err))
	if err != nil {
		return Reply{}, sent, err
	}
	for i, reply := range replies[:len(replies)-1] {
		if reply.Code != Success {
			return Reply{}, true, errors.New("the target refused a command that sets up the session: " +
				commands[i].Name + " " + reply.Code.String())
		}
	}
	reply := replies[len(replies)-1]
	if reply.Code == UnknownStatement {
		clear(c.prepared) // the target has dropped them; the next attempt prepares them again
	}
	s.mu.Lock()
	s.recordReply(sentAt, boottime.Now(), c.target, reply.Position)
	s.mu.Unlock()
	return reply, true, nil
}

// commandsFor returns command preceded by the commands that set up the variables and prepared statements of the session on
// this connection. It replaces the name of a prepared statement by its name on targets.
func (c *targetConn) commandsFor(sess *sessionState, command *Command) []Command {
	var commands []Command
	add := func(kind StatementKind, name, args string) {
		commands = append(commands,
			Command{Statement: Statement{ID: internalStatementID, Kind: kind, Name: name, Args: args}})
	}
	if command.Kind == Commit || command.Kind == Rollback || command.Kind == Status {
		return []Command{*command}
	}
	for name := range c.variables {
		if _, wanted := sess.variables[name]; !wanted {
			add(Reset, "", "")
			clear(c.variables)
			clear(c.prepared)
			break
		}
	}
	for name, value := range sess.variables {
		if current, set := c.variables[name]; !set || current != valueOnConn(value) {
			add(Set, name, value)
			c.variables[name] = valueOnConn(value)
		}
	}
	if command.Kind == Execute {
		p := sess.prepared[command.Name]
		command.Name = p.nameOnTarget()
		if !c.prepared[command.Name] {
			add(p.Kind, command.Name, p.Shape)
			c.prepared[command.Name] = true
		}
	}
	return append(commands, *command)
}

// setTargets replaces the registered targets. limits returns the connections that this host may hold to a target.
func (s *service) setTargets(targets []catalog.Target, limits func(model.TargetID) ConnectionLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	registered := make(map[model.TargetID]catalog.Target, len(targets))
	for _, t := range targets {
		registered[t.ID] = t
	}
	for id, old := range s.targets {
		if t, present := registered[id]; present && (t.StartedAt != old.StartedAt || t.Address != old.Address) {
			s.closeConnections(now, id)
		}
	}
	s.targets, s.connectionLimits = registered, limits
	s.updateLearned()
	s.updateQueues(now)
	s.setPoolTargets(now, s.currentPoolTargets(now))
	s.updatePoolPrimary(now)
}

// primaryUsable reports whether the current decision is open and its target has not started again since. A target that has
// started again under the same id has no data. The caller holds s.mu.
func (s *service) primaryUsable() bool {
	t, registered := s.targets[s.doc.Primary]
	return s.doc.Open && (!registered || t.StartedAt == s.doc.Born)
}

// updatePoolPrimary tells the pool which primary it may use. The caller holds s.mu.
func (s *service) updatePoolPrimary(now time.Time) {
	usable := s.primaryUsable()
	if s.doc.Open && !usable {
		s.log.Warn("primary: not used, the target has started again", zap.String("target", string(s.doc.Primary)),
			zap.Uint64("epoch", s.doc.Epoch), zap.Int64("born", s.targets[s.doc.Primary].StartedAt),
			zap.Int64("expected_born", s.doc.Born))
	}
	s.refreshPoolTargets(now)
	s.applyActions(s.pool.SetPrimary(now, s.doc.Primary, usable))
	if current := (primaryState{s.doc.Epoch, usable}); current != s.primaryState {
		s.primaryState = current
		close(s.primaryChanged)
		s.primaryChanged = make(chan struct{})
	}
}

// cannotRun reports whether statements that arrive now should run on another host because this one does not reach the
// primary. needsPrimary is false for reads that replicas can run; those run here as long as a position of the primary is
// known that is recent enough for the route.
func (s *service) cannotRun(now time.Time, needsPrimary bool, maxStaleness time.Duration) bool {
	return s.primaryUnreachable(now) && (needsPrimary || s.readsNeedPrimary(now, maxStaleness))
}

// primaryUnreachable reports whether this host does not reach the primary.
func (s *service) primaryUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primaryUnreachableLocked(now)
}

// primaryUnreachableLocked is primaryUnreachable for callers that hold the lock.
func (s *service) primaryUnreachableLocked(now time.Time) bool {
	return s.doc.Open && !s.primaryFailingSince.IsZero() && now.Sub(s.primaryFailingSince) >= primaryUnreachableAfter
}

// tick refuses expired requests and probes an unreachable primary.
func (s *service) tick() {
	s.tickQueues(boottime.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.refreshPoolTargets(now)
	s.applyActions(s.pool.Tick(now))
	if t, registered := s.targets[s.doc.Primary]; registered && s.primaryUnreachableLocked(now) &&
		now.Sub(s.primaryProbedAt) >= primaryProbeInterval && s.server.evacuations().MayReach(now, t.DataCentre) &&
		s.pool.MayTakeRequest(now, t.ID) {
		s.primaryProbedAt = now
		s.pool.CountRequests(now, t.ID, 1)
		go s.probePrimary(t, s.lastWorkspace)
	}
}

// probePrimary opens a connection to an unreachable primary. Without it a recovery would go unnoticed, because statements
// that need the primary run on other hosts.
func (s *service) probePrimary(t catalog.Target, workspace model.Workspace) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sentAt := boottime.Now()
	s.mu.Lock()
	tenure := s.tenureSince
	s.mu.Unlock()
	conn, position, err := s.dial(ctx, t, workspace)
	if err != nil {
		return // still unreachable, or without its data; the first failure was logged
	}
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tenureSince != tenure {
		return // another primary was decided on, or this one anew
	}
	s.log.Info("target: primary reachable again", zap.String("target", string(t.ID)))
	s.recordReply(sentAt, boottime.Now(), t, position)
}

// inTenure reports whether the primary of a decision is that of the current one, without a replacement in between. The caller holds
// s.mu.
func (s *service) inTenure(epoch uint64) bool { return s.tenureSince <= epoch && epoch <= s.doc.Epoch }

// currentPrimary returns the epoch and the primary of the current decision, and whether it may be used.
func (s *service) currentPrimary() (epoch uint64, primary model.TargetID, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc.Epoch, s.doc.Primary, s.primaryUsable()
}

// replacementInSight reports whether the primary is being replaced and the next one can be expected soon.
func (s *service) replacementInSight(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.doc.Open && now.Sub(s.docAppliedAt) < usualReplacementTime
}

// readRequirement returns the log position that a replica must have reached to run a read, and the time at which the
// primary was at that position. The data must be at least as recent as since and cover the mark of the session. It reports
// false if only the primary is known to satisfy this. Samples stay valid while their primary is being replaced: a target
// that has reached one of them has everything that was acknowledged before it was taken.
func (s *service) readRequirement(since time.Time, mark HighWaterMark) (model.Position, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, position, found := s.samples.OldestSince(since)
	if !found {
		return model.Position{}, time.Time{}, false
	}
	// Terms and not epochs tell whether the commit was made under the same primary: the hosts apply a decision that the leader has
	// restored at different times, and commit under both epochs meanwhile.
	term := mark.Position.Term
	if term < s.samplesTerm || term == s.samplesTerm && mark.Position.Offset <= position.Offset {
		return position, at, true // commits of earlier terms that survived precede every position of this one
	}
	return mark.Position, mark.CommittedAt, true
}

// readsNeedPrimary reports whether a read that arrives now has to run on the primary, because no sample is recent enough.
func (s *service) readsNeedPrimary(now time.Time, maxStaleness time.Duration) bool {
	_, _, known := s.readRequirement(now.Add(-maxStaleness), HighWaterMark{})
	return !known
}
