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
	plannedGrace = 400 * time.Millisecond
	// fenceStep is the time between two looks whether a primary is still in use.
	fenceStep = 5 * time.Millisecond
	// firstReadTime is the time that a read is expected to take before any has run.
	firstReadTime = 30 * time.Millisecond
	// readPatience is the number of average reads after which a read is run again elsewhere. One read in a hundred takes five
	// times the average.
	readPatience = 6
	// shortestPatience keeps the reads of an idle service from being run twice.
	shortestPatience = 100 * time.Millisecond
	// readTimeWeight is the part of the average that each read makes up.
	readTimeWeight = 0.05
	// primaryPatience is the time without an answer after which other hosts run what needs the primary. Two connections to a
	// live target fit into it.
	primaryPatience = 200 * time.Millisecond
	// askPrimaryInterval is the time between two attempts to reach a primary again.
	askPrimaryInterval = 300 * time.Millisecond
	// settleTime is the time in which a new primary applies what it had received; it is behind by the usual lag of replicas.
	settleTime = time.Second
	// unknownLag stands for the lag of a replica that is behind every known position of its primary.
	unknownLag = time.Minute
)

// errNoPermission means that the host may not use the primary at the moment. Nothing was sent.
var errNoPermission = errors.New("this host may not use the primary now")

// service runs the statements of one service on its targets.
type service struct {
	server *Server
	name   model.Service
	log    *zap.Logger

	mu         sync.Mutex
	pool       *pool.Pool
	conns      map[pool.ConnID]*targetConn
	waiters    map[pool.RequestID]chan<- grant
	nextTicket pool.RequestID
	targets    map[model.TargetID]catalog.Target
	doc        primacy.Document
	fenced     uint64                       // epoch up to which nothing of older decisions is in use any more
	samples    *routing.PositionSamples     // positions of the primary of doc
	answered   map[model.TargetID]time.Time // last answers of all targets
	readTime   time.Duration                // average time of reads
	decided    time.Time                    // when doc came in force
	highest    model.Position               // highest position that the primary of doc has answered
	reached    time.Time                    // last answer of the primary of doc
	failing    time.Time                    // first failure since then
	asked      time.Time                    // when a primary that is not reached was asked last
	workspace  model.Workspace              // of the last request
}

// targetConn is an open connection with the session state that it carries.
type targetConn struct {
	id        pool.ConnID
	target    catalog.Target
	workspace model.Workspace
	conn      Conn
	values    map[string]string
	prepared  map[string]bool
	sent      time.Time // when the last command was sent
}

// grant is the answer to a request for a connection.
type grant struct {
	conn    *targetConn
	refused pool.RefusalReason
}

func newService(server *Server, name model.Service) *service {
	return &service{server: server, name: name, log: server.log.With(zap.String("service", string(name))),
		pool: pool.New(server.dataCentre), conns: map[pool.ConnID]*targetConn{},
		waiters: map[pool.RequestID]chan<- grant{}, targets: map[model.TargetID]catalog.Target{}, samples: &routing.PositionSamples{},
		answered: map[model.TargetID]time.Time{}, readTime: firstReadTime}
}

// perform carries out actions of the pool. The lock is held.
func (s *service) perform(actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Grant:
			s.answerWaiter(a.RequestID, grant{conn: s.conns[a.Conn]})
		case pool.Refuse:
			s.log.Info("pool: request refused", zap.Stringer("reason", a.Reason), zap.Int("waiting", s.pool.QueueLength()),
				zap.String("primary", string(s.doc.Primary)), zap.Bool("open", s.doc.Open), zap.Any("targets", s.pool.Load()))
			s.answerWaiter(a.RequestID, grant{refused: a.Reason})
		case pool.Open:
			go s.open(a, s.targets[a.Target])
		case pool.Close:
			s.close(a.Conn)
		}
	}
}

func (s *service) answerWaiter(ticket pool.RequestID, g grant) {
	if waiter, ok := s.waiters[ticket]; ok {
		delete(s.waiters, ticket)
		waiter <- g
	}
}

func (s *service) close(id pool.ConnID) {
	if c := s.conns[id]; c != nil {
		delete(s.conns, id)
		go c.conn.Close()
	}
}

// open opens a connection for the pool.
func (s *service) open(a pool.Open, t catalog.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sent := boottime.Now()
	s.mu.Lock()
	epoch, least := s.doc.Epoch, s.least(sent)
	s.mu.Unlock()
	conn, position, err := s.server.dialer.Dial(ctx, t, a.Workspace)
	s.server.metrics.opened(s.name, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if err == nil && t.ID == s.doc.Primary && s.doc.Epoch == epoch && position.Later(least) != position {
		err = trace.Errorf("the primary is at %v, it had %v before, so it has lost data", position, least)
		go conn.Close()
	}
	if err != nil {
		s.log.Warn("target: connection failed", zap.String("target", string(t.ID)),
			zap.String("workspace", string(a.Workspace)), zap.Error(err))
		var refused *TargetError
		if !errors.As(err, &refused) || refused.Code == WrongTarget {
			s.observeFailure(sent, t.ID)
		}
		s.perform(s.pool.OpenFinished(now, a.Conn, false))
		return
	}
	if current := s.targets[t.ID]; current.StartedAt != t.StartedAt || current.Address != t.Address {
		go conn.Close()
		s.perform(s.pool.OpenFinished(now, a.Conn, false))
		return
	}
	s.conns[a.Conn] = &targetConn{id: a.Conn, target: t, workspace: a.Workspace, conn: conn,
		values: map[string]string{}, prepared: map[string]bool{}}
	s.observe(sent, now, t.ID, position)
	s.perform(s.pool.OpenFinished(now, a.Conn, true))
}

// least returns the position that the primary must have reached at a time, unless it has lost data. The lock is held.
func (s *service) least(at time.Time) model.Position {
	if at.Sub(s.decided) < settleTime {
		return s.highest
	}
	return s.highest.Later(s.doc.Received)
}

// observe takes over the position that a target answered to a question sent at the given time. The lock is held.
func (s *service) observe(sent, now time.Time, id model.TargetID, position model.Position) {
	s.answered[id] = now
	if id == s.doc.Primary {
		s.reached, s.failing = now, time.Time{}
		if s.doc.Open && s.server.mayUsePrimary(sent) {
			s.samples.Add(sent, position)
			s.highest = s.highest.Later(position)
		}
		return
	}
	lag := unknownLag
	if at, proven := s.samples.LatestCovered(position.Term, position); proven {
		lag = now.Sub(at)
	} else if s.samples.LatestTime().IsZero() {
		return
	}
	s.pool.ObserveLag(now, id, lag)
}

// observeFailure records that the target did not answer to what was sent at the given time. The lock is held.
func (s *service) observeFailure(sent time.Time, id model.TargetID) {
	if id == s.doc.Primary && s.failing.IsZero() && sent.After(s.reached) {
		s.failing = sent
	}
}

// connects reports whether this host may hold connections to targets of the service.
func (s *service) connects() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.CanConnect()
}

// acquire waits for a connection. The request's ticket is filled in.
func (s *service) acquire(r pool.Request) grant {
	waiter := make(chan grant, 1)
	s.mu.Lock()
	s.nextTicket++
	r.ID = s.nextTicket
	s.workspace = r.Workspace
	s.waiters[r.ID] = waiter
	s.perform(s.pool.Enqueue(boottime.Now(), r))
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
		s.perform(s.pool.Release(now, c.id))
		return
	}
	s.close(c.id)
	s.perform(s.pool.Discard(now, c.id))
	if s.answered[c.target.ID].Before(c.sent) {
		// Nothing else has answered since, so the other connections may have gone silent too.
		s.observeFailure(c.sent, c.target.ID)
		s.perform(s.pool.CloseIdle(c.target.ID))
	}
}

// run sends a command on a connection, together with what brings the connection to the state of the session. Commands
// for the primary are sent only while this host may use it in the given epoch.
func (s *service) run(c *targetConn, sess *sessionState, command Command, epoch uint64, deadline time.Time) (Reply, bool,
	error) {
	sent := boottime.Now()
	if epoch != 0 {
		s.mu.Lock()
		allowed := s.doc.Open && s.doc.Epoch == epoch && s.conns[c.id] == c && s.server.mayUsePrimary(sent)
		s.mu.Unlock()
		if !allowed {
			return Reply{}, false, errNoPermission
		}
	}
	commands := c.prepare(sess, &command)
	c.sent = sent
	replies, left, err := c.conn.Run(deadline, commands)
	if err != nil {
		return Reply{}, left, err
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
	s.observe(sent, boottime.Now(), c.target.ID, reply.Position)
	s.mu.Unlock()
	return reply, true, nil
}

// readTimeout returns the time after which an answer to a read counts as lost.
func (s *service) readTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(shortestPatience, readPatience*s.readTime)
}

// observeRead records how long a read took; one that was given up counts with the time until then.
func (s *service) observeRead(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTime += time.Duration(readTimeWeight * float64(took-s.readTime))
}

// prepare returns the commands that run a command with the values and prepared statements of a session. It changes the
// name of a prepared statement to the one on this connection.
func (c *targetConn) prepare(sess *sessionState, command *Command) []Command {
	var commands []Command
	add := func(kind StatementKind, name, args string) {
		commands = append(commands, Command{Statement: Statement{ID: internalID, Kind: kind, Name: name, Args: args}})
	}
	if command.Kind == Commit || command.Kind == Rollback {
		return []Command{*command}
	}
	for name := range c.values {
		if _, wanted := sess.values[name]; !wanted {
			add(Reset, "", "")
			clear(c.values)
			clear(c.prepared)
			break
		}
	}
	for name, value := range sess.values {
		if current, set := c.values[name]; !set || current != value {
			add(Set, name, value)
			c.values[name] = value
		}
	}
	if command.Kind == Execute {
		p := sess.prepared[command.Name]
		command.Name = p.remoteName()
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
	next := make(map[model.TargetID]catalog.Target, len(targets))
	list := make([]pool.Target, 0, len(targets))
	for _, t := range targets {
		next[t.ID] = t
		// The primary takes work until another target has taken over.
		draining := t.State == catalog.Draining && t.ID != s.doc.Primary
		list = append(list, pool.Target{ID: t.ID, DataCentre: t.DataCentre, Limit: limit, Draining: draining})
	}
	for id, old := range s.targets {
		if t, still := next[id]; still && (t.StartedAt != old.StartedAt || t.Address != old.Address) {
			s.breakConnections(now, id)
		}
	}
	s.targets = next
	s.perform(s.pool.SetTargets(now, list))
}

// breakConnections closes all connections to a target. What runs on them fails. The lock is held.
func (s *service) breakConnections(now time.Time, id model.TargetID) {
	s.perform(s.pool.CloseIdle(id))
	for connID, c := range s.conns {
		if c.target.ID == id {
			s.close(connID)
			s.perform(s.pool.Discard(now, connID))
		}
	}
}

// running reports whether a connection to the target is in use. The lock is held.
func (s *service) running(id model.TargetID) bool {
	for _, c := range s.conns {
		if c.target.ID == id && s.pool.Busy(c.id) {
			return true
		}
	}
	return false
}

// setDocument takes over a decision about the primary. When it returns, nothing of an older decision is in use any more.
func (s *service) setDocument(doc primacy.Document) (fresh bool) {
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
	s.samples, s.highest = &routing.PositionSamples{}, model.Position{}
	s.decided, s.reached, s.failing = now, now, time.Time{}
	if doc.Open {
		if old.Open && old.Primary != doc.Primary {
			s.breakConnections(now, old.Primary)
		}
		s.fenced = doc.Epoch
		s.perform(s.pool.SetPrimary(now, doc.Primary))
		return true
	}
	s.perform(s.pool.SetPrimary(now, ""))
	if old.Primary == "" {
		s.fenced = doc.Epoch
		return true
	}
	if doc.Planned {
		s.awaitIdle(old.Primary)
	}
	if s.doc.Epoch == doc.Epoch {
		s.breakConnections(boottime.Now(), old.Primary)
		s.fenced = doc.Epoch
	}
	return true
}

// awaitFenced waits until another goroutine that closes the use of a primary for an epoch is done with it. The lock is
// held, but not while it waits.
func (s *service) awaitFenced(epoch uint64) {
	for s.fenced < epoch && s.doc.Epoch == epoch {
		s.mu.Unlock()
		time.Sleep(fenceStep)
		s.mu.Lock()
	}
}

// awaitIdle waits until no connection to the target is in use, for plannedGrace at most. The lock is held, but not while
// it waits.
func (s *service) awaitIdle(id model.TargetID) {
	for waited := time.Duration(0); waited < plannedGrace && s.running(id); waited += fenceStep {
		s.mu.Unlock()
		time.Sleep(fenceStep)
		s.mu.Lock()
	}
}

// opinion returns how this host sees the primary.
func (s *service) opinion() primacy.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	o := primacy.Observation{Epoch: s.doc.Epoch, ReplyAge: now.Sub(s.reached)}
	if !s.failing.IsZero() {
		o.UnreachableFor = max(now.Sub(s.failing), 1)
	}
	return o
}

// primaryLost reports whether this host does not reach the primary, so that another host should run what needs it.
func (s *service) primaryLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost(now)
}

func (s *service) lost(now time.Time) bool {
	return s.doc.Open && !s.failing.IsZero() && now.Sub(s.failing) >= primaryPatience
}

// tick refuses requests that have waited too long, and asks a primary that is not reached whether it is back.
func (s *service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	s.perform(s.pool.Tick(now))
	if t, registered := s.targets[s.doc.Primary]; registered && s.lost(now) && now.Sub(s.asked) >= askPrimaryInterval {
		s.asked = now
		go s.askPrimary(t, s.workspace)
	}
}

// askPrimary opens a connection to a primary that is not reached, because statements that need it run elsewhere meanwhile.
func (s *service) askPrimary(t catalog.Target, workspace model.Workspace) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	sent := boottime.Now()
	s.mu.Lock()
	epoch, least := s.doc.Epoch, s.least(sent)
	s.mu.Unlock()
	conn, position, err := s.server.dialer.Dial(ctx, t, workspace)
	s.server.metrics.opened(s.name, err)
	if err != nil {
		return // as before; the first failure is logged
	}
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.doc.Epoch != epoch || position.Later(least) != position {
		return // another decision is in force, or the primary has lost data
	}
	s.log.Info("target: primary reached again", zap.String("target", string(t.ID)))
	s.observe(sent, boottime.Now(), t.ID, position)
}

// primaryEpoch returns the epoch of the open decision about the primary, or false while there is none.
func (s *service) primaryEpoch() (epoch uint64, primary model.TargetID, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc.Epoch, s.doc.Primary, s.doc.Open
}

// freshness returns the position that a read must find, and the time from which that data is, for a read that may be as
// old as since and must see the mark of its session. It reports false if only the primary is known to be fresh enough.
func (s *service) freshness(since time.Time, mark HighWaterMark) (model.Position, time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, position, found := s.samples.OldestSince(since)
	if !found {
		return model.Position{}, time.Time{}, false
	}
	if mark.Epoch != s.doc.Epoch || mark.Position.Offset <= position.Offset {
		return position, at, true // whatever survived of an earlier epoch precedes every position of this one
	}
	return mark.Position, mark.CommittedAt, true
}
