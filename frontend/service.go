package frontend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const (
	// dialTimeout bounds the opening of a connection; it takes 12 ms, and a slot of a busy target becomes free within a
	// few statements.
	dialTimeout = 500 * time.Millisecond
	// plannedGrace is the time for which transactions on a primary that is replaced as planned may go on. Callers of other
	// transactions wait meanwhile.
	plannedReplacementGrace = 400 * time.Millisecond
	// fenceStep is the time between two looks whether a primary is still in use.
	fencePollInterval = 5 * time.Millisecond
	// firstReadTime is the time that a read is expected to take before any has run.
	initialReadTime = 30 * time.Millisecond
	// readPatience is the number of average reads after which a read is run again elsewhere. One read in a hundred takes five
	// times the average.
	readTimeoutFactor = 6
	// shortestPatience keeps the reads of an idle service from being run twice.
	minReadTimeout = 100 * time.Millisecond
	// readTimeWeight is the part of the average that each read makes up.
	readTimeSmoothing = 0.05
	// primaryPatience is the time without an answer after which other hosts run what needs the primary. Two connections to a
	// live target fit into it.
	primaryUnreachableAfter = 200 * time.Millisecond
	// askPrimaryInterval is the time between two attempts to reach a primary again.
	primaryProbeInterval = 300 * time.Millisecond
	// settleTime is the time in which a new primary applies what it had received; it is behind by the usual lag of replicas.
	promotionSettleTime = time.Second
	// unknownLag stands for the lag of a replica that is behind every known position of its primary.
	unknownLag = time.Minute
)

// errNoPermission means that the host may not use the primary at the moment. Nothing was sent.
var errPrimaryNotAllowed = errors.New("this host may not use the primary now")

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
	doc                 primacy.Document
	fencedEpoch         uint64                       // epoch up to which nothing of older decisions is in use any more
	samples             *routing.Samples             // positions of the primary of doc
	lastAnswers         map[model.TargetID]time.Time // last answers of all targets
	averageReadTime     time.Duration                // average time of reads
	docAppliedAt        time.Time                    // when doc came in force
	highestPosition     model.Position               // highest position that the primary of doc has answered
	primaryReachedAt    time.Time                    // last answer of the primary of doc
	primaryFailingSince time.Time                    // first failure since then
	primaryProbedAt     time.Time                    // when a primary that is not reached was asked last
	lastWorkspace       model.Workspace              // of the last request
}

// targetConn is an open connection with the session state that it carries.
type targetConn struct {
	id         pool.ConnID
	target     catalog.Target
	workspace  model.Workspace
	conn       Conn
	variables  map[string]string
	prepared   map[string]bool
	lastSentAt time.Time // when the last command was sent
}

// grant is the answer to a request for a connection.
type grant struct {
	conn    *targetConn
	refusal pool.RefusalReason
}

func newService(server *Server, name model.Service) *service {
	return &service{server: server, name: name, log: server.log.With(zap.String("service", string(name))),
		pool: pool.New(server.dataCentre), conns: map[pool.ConnID]*targetConn{},
		waiters: map[pool.RequestID]chan<- grant{}, targets: map[model.TargetID]catalog.Target{}, samples: &routing.Samples{},
		lastAnswers: map[model.TargetID]time.Time{}, averageReadTime: initialReadTime}
}

// perform carries out actions of the pool. The lock is held.
func (s *service) applyActions(actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Grant:
			s.answerWaiter(a.RequestID, grant{conn: s.conns[a.Conn]})
		case pool.Refuse:
			s.log.Info("pool: request refused", zap.Stringer("reason", a.Reason), zap.Int("waiting", s.pool.QueueLength()),
				zap.String("primary", string(s.doc.Primary)), zap.Bool("open", s.doc.Open), zap.Any("targets", s.pool.Load()))
			s.answerWaiter(a.RequestID, grant{refusal: a.Reason})
		case pool.Open:
			go s.openConn(a, s.targets[a.Target])
		case pool.Close:
			s.closeConn(a.Conn)
		}
	}
}

func (s *service) answerWaiter(id pool.RequestID, g grant) {
	if waiter, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		waiter <- g
	}
}

func (s *service) closeConn(id pool.ConnID) {
	if c := s.conns[id]; c != nil {
		delete(s.conns, id)
		go c.conn.Close()
	}
}

// open opens a connection for the pool.
func (s *service) openConn(a pool.Open, t catalog.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sentAt := boottime.Now()
	s.mu.Lock()
	epoch, minPosition := s.doc.Epoch, s.minPrimaryPosition(sentAt)
	s.mu.Unlock()
	conn, position, err := s.server.dialer.Dial(ctx, t, a.Workspace)
	s.server.metrics.observeOpen(s.name, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if err == nil && t.ID == s.doc.Primary && s.doc.Epoch == epoch && position.Later(minPosition) != position {
		err = trace.Errorf("the primary is at %v, it had %v before, so it has lost data", position, minPosition)
		go conn.Close()
	}
	if err != nil {
		s.log.Warn("target: connection failed", zap.String("target", string(t.ID)),
			zap.String("workspace", string(a.Workspace)), zap.Error(err))
		var refused *TargetError
		if !errors.As(err, &refused) || refused.Code == WrongTarget {
			s.recordFailure(sentAt, t.ID)
		}
		s.applyActions(s.pool.OpenFinished(now, a.Conn, false))
		return
	}
	if current := s.targets[t.ID]; current.Born != t.Born || current.Address != t.Address {
		go conn.Close()
		s.applyActions(s.pool.OpenFinished(now, a.Conn, false))
		return
	}
	s.conns[a.Conn] = &targetConn{id: a.Conn, target: t, workspace: a.Workspace, conn: conn,
		variables: map[string]string{}, prepared: map[string]bool{}}
	s.recordAnswer(sentAt, now, t.ID, position)
	s.applyActions(s.pool.OpenFinished(now, a.Conn, true))
}

// least returns the position that the primary must have reached at a time, unless it has lost data. The lock is held.
func (s *service) minPrimaryPosition(at time.Time) model.Position {
	if at.Sub(s.docAppliedAt) < promotionSettleTime {
		return s.highestPosition
	}
	return s.highestPosition.Later(s.doc.Received)
}

// observe takes over the position that a target answered to a question sent at the given time. The lock is held.
func (s *service) recordAnswer(sentAt, now time.Time, id model.TargetID, position model.Position) {
	s.lastAnswers[id] = now
	if id == s.doc.Primary {
		s.primaryReachedAt, s.primaryFailingSince = now, time.Time{}
		if s.doc.Open && s.server.primaryAllowed(sentAt) {
			s.samples.Add(sentAt, position)
			s.highestPosition = s.highestPosition.Later(position)
		}
		return
	}
	lag := unknownLag
	if at, proven := s.samples.ProvenAt(position.Term, position); proven {
		lag = now.Sub(at)
	} else if s.samples.Latest().IsZero() {
		return
	}
	s.pool.ObserveLag(now, id, lag)
}

// observeFailure records that the target did not answer to what was sent at the given time. The lock is held.
func (s *service) recordFailure(sentAt time.Time, id model.TargetID) {
	if id == s.doc.Primary && s.primaryFailingSince.IsZero() && sentAt.After(s.primaryReachedAt) {
		s.primaryFailingSince = sentAt
	}
}

// connects reports whether this host may hold connections to targets of the service.
func (s *service) canConnect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.CanConnect()
}

// acquire waits for a connection. The request's ticket is filled in.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if s.conns[c.id] != c {
		broken = true // it was fenced meanwhile
	}
	if !broken {
		s.applyActions(s.pool.Release(now, c.id))
		return
	}
	s.closeConn(c.id)
	s.applyActions(s.pool.Discard(now, c.id))
	if s.lastAnswers[c.target.ID].Before(c.lastSentAt) {
		// Nothing else has answered since, so the other connections may have gone silent too.
		s.recordFailure(c.lastSentAt, c.target.ID)
		s.applyActions(s.pool.CloseIdle(c.target.ID))
	}
}

// run sends a command on a connection, together with what brings the connection to the state of the session. Commands
// for the primary are sent only while this host may use it in the given epoch.
func (s *service) run(c *targetConn, sess *sessionState, command Command, epoch uint64, deadline time.Time) (Reply, bool,
	error) {
	sentAt := boottime.Now()
	if epoch != 0 {
		s.mu.Lock()
		allowed := s.doc.Open && s.doc.Epoch == epoch && s.conns[c.id] == c && s.server.primaryAllowed(sentAt)
		s.mu.Unlock()
		if !allowed {
			return Reply{}, false, errPrimaryNotAllowed
		}
	}
	commands := c.commandsFor(sess, &command)
	c.lastSentAt = sentAt
	replies, sent, err := c.conn.Run(deadline, commands)
	if err != nil {
		return Reply{}, sent, err
	}
	for i, reply := range replies[:len(replies)-1] {
		if reply.Code != Success {
			return Reply{}, true, errors.New("the target refused to set up the connection: " +
				commands[i].Name + " " + reply.Code.String())
		}
	}
	reply := replies[len(replies)-1]
	if reply.Code == UnknownStatement {
		clear(c.prepared) // the target has lost them; the next attempt prepares anew
	}
	s.mu.Lock()
	s.recordAnswer(sentAt, boottime.Now(), c.target.ID, reply.Position)
	s.mu.Unlock()
	return reply, true, nil
}

// readTimeout returns the time after which an answer to a read counts as lost.
func (s *service) readTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minReadTimeout, readTimeoutFactor*s.averageReadTime)
}

// observeRead records how long a read took; one that was given up counts with the time until then.
func (s *service) recordReadTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.averageReadTime += time.Duration(readTimeSmoothing * float64(took-s.averageReadTime))
}

// prepare returns the commands that run a command with the values and prepared statements of a session. It changes the
// name of a prepared statement to the one on this connection.
func (c *targetConn) commandsFor(sess *sessionState, command *Command) []Command {
	var commands []Command
	add := func(kind StatementKind, name, args string) {
		commands = append(commands, Command{Statement: Statement{ID: internalStatementID, Kind: kind, Name: name, Args: args}})
	}
	if command.Kind == Commit || command.Kind == Rollback {
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
		if current, set := c.variables[name]; !set || current != value {
			add(Set, name, value)
			c.variables[name] = value
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

// setTargets replaces the registered targets. limit is the number of connections that this host may hold to each.
func (s *service) setTargets(targets []catalog.Target, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	registered := make(map[model.TargetID]catalog.Target, len(targets))
	list := make([]pool.Target, 0, len(targets))
	for _, t := range targets {
		registered[t.ID] = t
		// The primary takes work until another target has taken over.
		draining := t.State == catalog.Draining && t.ID != s.doc.Primary
		list = append(list, pool.Target{ID: t.ID, DataCentre: t.DataCentre, Limit: limit, Draining: draining})
	}
	for id, old := range s.targets {
		if t, present := registered[id]; present && (t.Born != old.Born || t.Address != old.Address) {
			s.closeConnections(now, id)
		}
	}
	s.targets = registered
	s.applyActions(s.pool.SetTargets(now, list))
}

// breakConnections closes all connections to a target. What runs on them fails. The lock is held.
func (s *service) closeConnections(now time.Time, id model.TargetID) {
	s.applyActions(s.pool.CloseIdle(id))
	for connID, c := range s.conns {
		if c.target.ID == id {
			s.closeConn(connID)
			s.applyActions(s.pool.Discard(now, connID))
		}
	}
}

// running reports whether a connection to the target is in use. The lock is held.
func (s *service) inUse(id model.TargetID) bool {
	for _, c := range s.conns {
		if c.target.ID == id && s.pool.Busy(c.id) {
			return true
		}
	}
	return false
}

// setDocument takes over a decision about the primary. When it returns, nothing of an older decision is in use any more.
func (s *service) applyDocument(doc primacy.Document) (isNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Epoch <= s.doc.Epoch {
		s.awaitFenced(doc.Epoch)
		return false
	}
	now := boottime.Now()
	old := s.doc
	s.log.Info("primary: decision in force", zap.Uint64("epoch", doc.Epoch), zap.Bool("open", doc.Open),
		zap.String("target", string(doc.Primary)), zap.Uint64("term", doc.Term), zap.String("cause", string(doc.Cause)))
	s.doc = doc
	s.samples, s.highestPosition = &routing.Samples{}, model.Position{}
	s.docAppliedAt, s.primaryReachedAt, s.primaryFailingSince = now, now, time.Time{}
	if doc.Open {
		if old.Open && old.Primary != doc.Primary {
			s.closeConnections(now, old.Primary)
		}
		s.fencedEpoch = doc.Epoch
		s.applyActions(s.pool.SetPrimary(now, doc.Primary))
		return true
	}
	s.applyActions(s.pool.SetPrimary(now, ""))
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

// awaitFenced waits until another goroutine that closes the use of a primary for an epoch is done with it. The lock is
// held, but not while it waits.
func (s *service) awaitFenced(epoch uint64) {
	for s.fencedEpoch < epoch && s.doc.Epoch == epoch {
		s.mu.Unlock()
		time.Sleep(fencePollInterval)
		s.mu.Lock()
	}
}

// awaitIdle waits until no connection to the target is in use, for plannedGrace at most. The lock is held, but not while
// it waits.
func (s *service) awaitIdle(id model.TargetID) {
	for waited := time.Duration(0); waited < plannedReplacementGrace && s.inUse(id); waited += fencePollInterval {
		s.mu.Unlock()
		time.Sleep(fencePollInterval)
		s.mu.Lock()
	}
}

// opinion returns how this host sees the primary.
func (s *service) primaryObservation() primacy.Opinion {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	o := primacy.Opinion{Epoch: s.doc.Epoch, Reached: now.Sub(s.primaryReachedAt)}
	if !s.primaryFailingSince.IsZero() {
		o.Unreachable = max(now.Sub(s.primaryFailingSince), 1)
	}
	return o
}

// primaryLost reports whether this host does not reach the primary, so that another host should run what needs it.
func (s *service) primaryUnreachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primaryUnreachableLocked(now)
}

func (s *service) primaryUnreachableLocked(now time.Time) bool {
	return s.doc.Open && !s.primaryFailingSince.IsZero() && now.Sub(s.primaryFailingSince) >= primaryUnreachableAfter
}

// tick refuses requests that have waited too long, and asks a primary that is not reached whether it is back.
func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.applyActions(s.pool.Tick(now))
	if t, registered := s.targets[s.doc.Primary]; registered && s.primaryUnreachableLocked(now) && now.Sub(s.primaryProbedAt) >= primaryProbeInterval {
		s.primaryProbedAt = now
		go s.probePrimary(t, s.lastWorkspace)
	}
}

// askPrimary opens a connection to a primary that is not reached, because statements that need it run elsewhere meanwhile.
func (s *service) probePrimary(t catalog.Target, workspace model.Workspace) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sentAt := boottime.Now()
	s.mu.Lock()
	epoch, minPosition := s.doc.Epoch, s.minPrimaryPosition(sentAt)
	s.mu.Unlock()
	conn, position, err := s.server.dialer.Dial(ctx, t, workspace)
	s.server.metrics.observeOpen(s.name, err)
	if err != nil {
		return // as before; the first failure is logged
	}
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.doc.Epoch != epoch || position.Later(minPosition) != position {
		return // another decision is in force, or the primary has lost data
	}
	s.log.Info("target: primary reached again", zap.String("target", string(t.ID)))
	s.recordAnswer(sentAt, boottime.Now(), t.ID, position)
}

// primaryEpoch returns the epoch of the open decision about the primary, or false while there is none.
func (s *service) currentPrimary() (epoch uint64, primary model.TargetID, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc.Epoch, s.doc.Primary, s.doc.Open
}

// freshness returns the position that a read must find, and the time from which that data is, for a read that may be as
// old as since and must see the mark of its session. It reports false if only the primary is known to be fresh enough.
func (s *service) readRequirement(since time.Time, mark HighWaterMark) (model.Position, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, position, found := s.samples.Oldest(since)
	if !found {
		return model.Position{}, time.Time{}, false
	}
	if mark.Epoch != s.doc.Epoch || mark.Position.Offset <= position.Offset {
		return position, at, true // whatever survived of an earlier epoch precedes every position of this one
	}
	return mark.Position, mark.CommittedAt, true
}
