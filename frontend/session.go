package frontend

import (
	"errors"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
)

// ErrInterrupted is the error of a read that Interrupt has ended.
var ErrInterrupted = errors.New("the read was interrupted")

// internalID is the id of statements that no caller has sent.
const internalID = "-"

const (
	// maxAttempts bounds the attempts to run one statement inside its timeout.
	maxAttempts = 5
	// retryPause is the time before another attempt at a busy target, about the time of one statement.
	retryPause = 20 * time.Millisecond
	// answerMargin is kept free at the end of a statement's timeout to answer in time.
	answerMargin = 50 * time.Millisecond
)

// Prepared is a prepared statement of a session.
type Prepared struct {
	Kind  Kind // PrepareRead or PrepareWrite
	Shape string
}

// remoteName returns the name on target connections. It follows from the content, so sessions that share a connection can
// share prepared statements.
func (p Prepared) remoteName() string {
	if p.Kind == PrepareWrite {
		return "w_" + p.Shape
	}
	return "r_" + p.Shape
}

// sessionState is what a caller has set up in its session.
type sessionState struct {
	values   map[string]string
	prepared map[string]Prepared
}

// Mark is the position of the last commit of a session.
type Mark struct {
	Epoch    uint64 // decision about the primary under which the commit was made
	Position model.Position
	Made     time.Time // boot time of the host that ran it, so it means something there only
}

// txn is an open transaction of a session.
type txn struct {
	readOnly bool
	conn     *targetConn // nil until the first statement, and after the end on the target
	service  *service
	epoch    uint64 // decision under which the primary is used, 0 on a replica
	wrote    bool
	failed   bool
	begun    time.Time
	idle     *time.Timer

	peer   model.HostID // the host that runs the transaction, empty for this host
	id     uint64       // number of the transaction for the peer
	onPeer bool         // it has begun there
}

// caller is who a session of another host belongs to.
type caller struct {
	route     catalog.Route
	workspace model.Workspace
}

// session is a caller's session.
type session struct {
	server   *Server
	log      *zap.Logger
	database string
	key      string

	forwarded *caller // nil for sessions of this host's own callers
	onIdle    func()  // called when an idle transaction was rolled back, or nil

	state sessionState
	mark  Mark
	ranOn string // the target or the host that the last statement was given to, for logs

	mu  sync.Mutex // guards txn against its idle timer
	txn *txn
}

// serve runs the statements of a session until it ends.
func (s *session) serve(conn CallerConn) {
	defer s.end()
	for {
		statement, err := conn.ReadStatement()
		if errors.Is(err, ErrInterrupted) {
			if s.closeForDrain() {
				return
			}
			continue
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.log.Info("session: connection lost", zap.Error(err))
			}
			return
		}
		start := boottime.Now()
		s.ranOn = ""
		answer := s.execute(start, statement)
		s.record(statement, answer, boottime.Now().Sub(start))
		if err := conn.WriteAnswer(answer, s.txnState()); err != nil {
			s.log.Info("session: answer not delivered", zap.String("id", statement.ID), zap.Error(err))
			return
		}
		if s.closeForDrain() {
			return
		}
	}
}

// closeForDrain reports whether the session should end because the host stops.
func (s *session) closeForDrain() bool {
	return s.server.closing.Load() && s.txnState() == Idle
}

// end rolls back what a caller has left open.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txn != nil {
		s.rollback(s.txn)
		s.txn.stopTimer()
		s.txn = nil
	}
}

func (s *session) record(statement Statement, a Answer, took time.Duration) {
	if statement.Kind == Set || statement.Kind == Deallocate || statement.Kind == PrepareRead {
		return
	}
	s.server.metrics.answered(a.Code, took)
	c := s.server.catalog()
	message := "statement: done"
	if a.Code != Success {
		message = "statement: failed"
	}
	s.log.Info(message, zap.String("id", statement.ID), zap.Stringer("code", a.Code), zap.String("detail", a.Detail),
		zap.Duration("took", took), zap.String("database", s.database), zap.String("workspace", string(c.Keys[s.key])),
		zap.String("on", s.ranOn), zap.Int64("configuration", c.Version))
}

func (s *session) txnState() TxnState {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.txn == nil:
		return Idle
	case s.txn.failed:
		return TxnFailed
	}
	return InTxn
}

func refuse(code Code, detail string) Answer { return Answer{Code: code, Detail: detail} }

// execute runs one statement.
func (s *session) execute(now time.Time, st Statement) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txn != nil {
		s.txn.stopTimer()
		defer s.startIdleTimer()
		if s.txn.failed && st.Kind != Commit && st.Kind != Rollback {
			return refuse(Malformed, "the transaction has failed")
		}
	}
	switch st.Kind {
	case Set:
		s.state.values[st.Name] = st.Args
		return Answer{}
	case PrepareRead, PrepareWrite:
		s.state.prepared[st.Name] = Prepared{Kind: st.Kind, Shape: st.Args}
		return Answer{}
	case Deallocate:
		delete(s.state.prepared, st.Name)
		return Answer{}
	case Begin, BeginRead:
		return s.begin(now, st)
	case Commit:
		return s.commit(now, st)
	case Rollback:
		if s.txn != nil {
			s.rollback(s.txn)
			s.txn = nil
		}
		return Answer{}
	case Read, Write, Execute:
		return s.runStatement(now, st)
	}
	return refuse(Malformed, "unknown statement")
}

// startIdleTimer rolls a transaction back that stays idle for too long. The lock is held.
func (s *session) startIdleTimer() {
	t := s.txn
	limit := s.server.catalog().TxnIdle
	if t == nil || t.failed || limit <= 0 {
		return
	}
	t.idle = time.AfterFunc(limit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.txn == t && !t.failed {
			s.log.Info("transaction: rolled back after idle time", zap.Duration("limit", limit))
			s.rollback(t)
			t.failed = true
			if s.onIdle != nil {
				s.onIdle()
			}
		}
	})
}

func (t *txn) stopTimer() {
	if t.idle != nil {
		t.idle.Stop()
	}
}

// admit checks the route, the key and the rate at the begin of an operation.
func (s *session) admit() (catalog.Route, model.Workspace, *service, Answer) {
	c := s.server.catalog()
	route, known := c.Routes[s.database]
	if !known {
		return route, "", nil, refuse(UnknownDatabase, "no such database")
	}
	workspace, allowed := c.Caller(route, s.key)
	if !allowed {
		return route, "", nil, refuse(Unauthenticated, "unknown key")
	}
	svc := s.server.service(route.Service)
	admitted, wait := s.server.admit(workspace, min(longestAdmission, route.LatencyTarget/4))
	if !admitted {
		return route, workspace, nil, refuse(Busy, "the rate of the workspace is used up; retry after "+
			wait.Round(time.Millisecond).String())
	}
	return route, workspace, svc, Answer{}
}

// begin opens a transaction of the session; the target learns of it with the first statement.
func (s *session) begin(now time.Time, st Statement) Answer {
	if s.txn != nil {
		return refuse(Malformed, "a transaction is open")
	}
	_, _, svc, refusal := s.admit()
	if refusal.Code != Success {
		return refusal
	}
	s.txn = &txn{readOnly: st.Kind == BeginRead, service: svc, begun: now}
	defer s.startIdleTimer()
	return Answer{}
}

// operation is one attempt to run a statement or to begin a transaction.
type operation struct {
	route     catalog.Route
	workspace model.Workspace
	service   *service
	arrived   time.Time
	deadline  time.Time
	writes    bool // needs the primary for itself, whatever the route says
	own       bool // the primary has to serve it because no replica can
}

func (s *session) writes(st Statement) bool {
	return st.Kind == Write || st.Kind == Execute && s.state.prepared[st.Name].Kind == PrepareWrite
}

// runStatement runs a read or a write, in the open transaction or on its own.
func (s *session) runStatement(now time.Time, st Statement) Answer {
	if _, known := s.state.prepared[st.Name]; st.Kind == Execute && !known {
		if s.txn != nil {
			s.fail()
		}
		return refuse(UnknownStatement, st.Name)
	}
	if s.txn != nil {
		return s.runInTxn(now, st)
	}
	route, workspace, svc, refusal := s.admit()
	if refusal.Code != Success {
		return refusal
	}
	op := operation{route: route, workspace: workspace, service: svc, arrived: now,
		deadline: now.Add(route.StatementTimeout - answerMargin), writes: s.writes(st)}
	for range maxForwards {
		host, local := s.server.home(route.Service, workspace)
		if local {
			break
		}
		if answer, settled := s.forwardAlone(host, op, st); settled {
			return answer
		}
	}
	return s.runHere(op, st)
}

// runHere runs a statement outside transactions on this host, again if it has not run or only reads.
func (s *session) runHere(op operation, st Statement) Answer {
	last := refuse(Busy, "no attempt was possible in time")
	for attempt := 0; attempt < maxAttempts && boottime.Now().Before(op.deadline); attempt++ {
		c, epoch, after, refusal := s.connect(&op)
		if refusal.Code != Success {
			return refusal
		}
		s.ranOn = string(c.target.ID)
		began := boottime.Now()
		reply, sent, err := op.service.run(c, &s.state, Command{Statement: st, After: after}, epoch, s.attemptTimer(op))
		op.service.release(c, err != nil && !errors.Is(err, errNoPermission))
		if !op.writes && sent {
			op.service.observeRead(boottime.Now().Sub(began))
		}
		switch {
		case err != nil && sent && op.writes:
			s.logLost(st, c, err)
			return refuse(InDoubt, "the answer of the target was lost")
		case err != nil:
			s.logLost(st, c, err)
			last = refuse(Busy, "the target could not be reached")
		case reply.Code == Success:
			if op.writes {
				s.mark = Mark{Epoch: epoch, Position: reply.Position, Made: boottime.Now()}
			}
			return reply.Answer
		case !s.again(&op, reply):
			return reply.Answer
		default:
			last = reply.Answer
		}
	}
	if last.Code == Lagging || last.Code == ReadOnly || last.Code == UnknownStatement {
		return refuse(Busy, last.Code.String())
	}
	return last
}

// again reports whether a statement with an error answer may be run once more, and prepares for it.
func (s *session) again(op *operation, reply Reply) bool {
	switch reply.Code {
	case Lagging:
		op.own = true
	case Busy, ReadOnly:
		time.Sleep(retryPause)
	case Failed:
		return !op.writes
	case UnknownStatement:
	default:
		return false
	}
	return true
}

func (s *session) logLost(st Statement, c *targetConn, err error) {
	s.log.Info("statement: attempt without answer", zap.String("id", st.ID),
		zap.String("target", string(c.target.ID)), zap.Error(err))
}

// timer returns the end of an operation's time on the clock of network deadlines.
func (s *session) timer(op operation) time.Time {
	return time.Now().Add(op.deadline.Sub(boottime.Now()))
}

// attemptTimer returns the end of one attempt. A read whose answer may be lost is run again while that is still in time.
func (s *session) attemptTimer(op operation) time.Time {
	end := s.timer(op)
	if op.writes {
		return end
	}
	if patience := time.Now().Add(op.service.readTimeout()); patience.Before(end) {
		return patience
	}
	return end
}

// connect waits for a connection that may run the operation.
func (s *session) connect(op *operation) (*targetConn, uint64, model.Position, Answer) {
	var after model.Position
	primary := op.writes || op.own || op.route.Consistency == catalog.Primary
	request := pool.Request{Workspace: op.workspace, Primary: primary, Priority: op.route.Priority}
	if !primary {
		m := s.mark
		if op.route.Consistency != catalog.ReadYourWrites {
			m = Mark{}
		}
		position, dataOf, known := op.service.freshness(op.arrived.Add(-op.route.MaxStaleness), m)
		if known {
			after, request.DataOf = position, dataOf
		} else {
			request.Primary = true
		}
	}
	request.GiveUp = s.giveUp(*op)
	g := op.service.acquire(request)
	if g.conn == nil {
		return nil, 0, after, refuse(Busy, "no connection: "+g.refused.String())
	}
	epoch, id, open := op.service.primaryEpoch()
	if g.conn.target.ID == id && open {
		return g.conn, epoch, model.Position{}, Answer{}
	}
	if request.Primary {
		op.service.release(g.conn, false)
		return nil, 0, after, refuse(Busy, "the primary is being replaced")
	}
	return g.conn, 0, after, Answer{}
}

// giveUp returns the time until which an operation may wait for a connection. While the primary is replaced, which takes
// about a second, its callers wait longer than in a queue.
func (s *session) giveUp(op operation) time.Time {
	limit := op.arrived.Add(op.route.LatencyTarget)
	if _, _, open := op.service.primaryEpoch(); !open {
		limit = op.deadline
	}
	if limit.After(op.deadline) {
		return op.deadline
	}
	return limit
}

// runInTxn runs a statement in the open transaction.
func (s *session) runInTxn(now time.Time, st Statement) Answer {
	t := s.txn
	op, allowed := s.txnOperation(now)
	if !allowed {
		s.fail()
		return refuse(Aborted, "the route or the key has changed")
	}
	if answer, settled := s.runOnPeer(op, st); settled {
		return answer
	}
	if t.conn == nil {
		if refusal := s.beginRemote(op, st); refusal.Code != Success {
			s.fail()
			return refusal
		}
	}
	s.ranOn = string(t.conn.target.ID)
	reply, _, err := t.service.run(t.conn, &s.state, Command{Statement: st}, t.epoch, s.timer(op))
	if err != nil {
		s.logLost(st, t.conn, err)
		s.abandon()
		return refuse(Aborted, "the transaction was lost with its connection")
	}
	if reply.Code != Success {
		s.fail()
		return reply.Answer
	}
	t.wrote = t.wrote || s.writes(st)
	return reply.Answer
}

// runOnPeer runs a statement of the open transaction on another host, if the transaction is there or should begin there.
func (s *session) runOnPeer(op operation, st Statement) (Answer, bool) {
	t := s.txn
	op.writes = s.writes(st)
	for range maxForwards {
		if t.conn == nil && t.peer == "" && s.forwarded == nil {
			if host, local := s.server.home(op.route.Service, op.workspace); !local {
				t.peer, t.id = host, s.server.lastTxn.Add(1)
			}
		}
		if t.peer == "" {
			break
		}
		if answer, settled := s.forwardInTxn(op, st); settled {
			return answer, true
		}
	}
	return Answer{}, false
}

// txnOperation returns the operation of a statement of the open transaction. The route of its begin stays in force for a
// transaction that has begun on a target; before, it has to be the same still.
func (s *session) txnOperation(now time.Time) (op operation, allowed bool) {
	t := s.txn
	op = operation{service: t.service, arrived: now}
	if s.forwarded != nil {
		op.route, op.workspace, allowed = s.forwarded.route, s.forwarded.workspace, true
	} else {
		c := s.server.catalog()
		route, known := c.Routes[s.database]
		op.route = route
		op.workspace, allowed = c.Caller(route, s.key)
		allowed = allowed && known && route.Service == t.service.name || t.conn != nil || t.onPeer
	}
	timeout := op.route.StatementTimeout
	if timeout == 0 {
		timeout = fallbackTimeout
	}
	op.deadline = now.Add(timeout - answerMargin)
	return op, allowed
}

// beginRemote begins the transaction on a target.
func (s *session) beginRemote(op operation, first Statement) Answer {
	t := s.txn
	op.writes = !t.readOnly
	begin := Statement{ID: internalID, Kind: Begin}
	if t.readOnly {
		begin.Kind = BeginRead
	}
	for attempt := 0; attempt < maxAttempts && boottime.Now().Before(op.deadline); attempt++ {
		c, epoch, after, refusal := s.connect(&op)
		if refusal.Code != Success {
			return refusal
		}
		reply, _, err := op.service.run(c, &s.state, Command{Statement: begin, After: after}, epoch, s.timer(op))
		if err == nil && reply.Code == Success {
			t.conn, t.epoch = c, epoch
			return Answer{}
		}
		op.service.release(c, err != nil && !errors.Is(err, errNoPermission))
		if err == nil && !s.again(&op, reply) {
			return reply.Answer
		}
	}
	s.log.Info("transaction: could not be begun", zap.String("id", first.ID))
	return refuse(Busy, "the transaction could not be begun in time")
}

// commit ends the open transaction.
func (s *session) commit(now time.Time, st Statement) Answer {
	t := s.txn
	if t == nil {
		return refuse(Malformed, "no transaction is open")
	}
	if t.failed {
		s.rollback(t)
		s.txn = nil
		return refuse(Aborted, "the transaction had failed and was rolled back")
	}
	op, allowed := s.txnOperation(now)
	if !allowed {
		s.txn = nil
		return refuse(Aborted, "the route or the key has changed")
	}
	if answer, settled := s.runOnPeer(op, st); settled {
		s.txn = nil
		return answer
	}
	if t.conn == nil {
		if refusal := s.beginRemote(op, st); refusal.Code != Success {
			s.txn = nil
			return refusal
		}
	}
	s.ranOn = string(t.conn.target.ID)
	reply, sent, err := t.service.run(t.conn, &s.state, Command{Statement: st}, t.epoch, s.timer(op))
	if err != nil {
		s.logLost(st, t.conn, err)
		s.abandon()
		s.txn = nil
		if !sent || !t.wrote {
			return refuse(Aborted, "the transaction was lost with its connection")
		}
		return refuse(InDoubt, "the answer of the target to the commit was lost")
	}
	t.service.release(t.conn, reply.State != Idle)
	if reply.Code == Success && t.wrote {
		s.mark = Mark{Epoch: t.epoch, Position: reply.Position, Made: boottime.Now()}
	}
	s.txn = nil
	return reply.Answer
}

// fail rolls the open transaction back on its target and leaves it to the caller to end it.
func (s *session) fail() {
	s.rollback(s.txn)
	s.txn.failed = true
}

// abandon closes the connection of the open transaction, which rolls it back.
func (s *session) abandon() {
	t := s.txn
	t.service.release(t.conn, true)
	t.conn, t.failed = nil, true
}

// rollback rolls a transaction back on its target, if it has begun there. The connection returns to the pool afterwards.
func (s *session) rollback(t *txn) {
	if t.onPeer && !t.failed {
		go s.rollbackOnPeer(t.peer, t.id)
	}
	if t.conn == nil {
		return
	}
	c, svc := t.conn, t.service
	t.conn = nil
	go func() {
		command := Command{Statement: Statement{ID: internalID, Kind: Rollback}}
		reply, _, err := svc.run(c, nil, command, 0, time.Now().Add(rollbackTimeout))
		svc.release(c, err != nil || reply.State != Idle)
	}()
}
