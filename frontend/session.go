package frontend

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// longestShapeName is the length in bytes up to which a shape is part of the name of its prepared statement.
	longestShapeName = 40
	// answerMargin is kept free at the end of a statement's timeout to answer in time.
	answerMargin = 50 * time.Millisecond
)

// Prepared is a prepared statement of a session.
type PreparedStatement struct {
	Kind  StatementKind // PrepareRead or PrepareWrite
	Shape string
}

// remoteName returns the name on target connections. It follows from the content, so sessions that share a connection can
// share prepared statements.
func (p PreparedStatement) remoteName() string {
	shape := p.Shape
	if len(shape) > longestShapeName || strings.ContainsAny(shape, " \t") {
		shape = "x" + strconv.FormatUint(xxhash.Sum64String(shape), 16)
	}
	if p.Kind == PrepareWrite {
		return "w_" + shape
	}
	return "r_" + shape
}

// sessionState is what a caller has set up in its session.
type sessionState struct {
	values   map[string]string
	prepared map[string]PreparedStatement
}

// Mark is the position of the last commit of a session.
type HighWaterMark struct {
	Epoch       uint64 // decision about the primary under which the commit was made
	Position    model.Position
	CommittedAt time.Time // boot time of the host that ran it, so it means something there only
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
	mark  HighWaterMark
	ranOn string // the target or the host that the last statement was given to, for logs
	ran   bool   // a target may have run a statement of the present operation

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
		s.state.prepared[st.Name] = PreparedStatement{Kind: st.Kind, Shape: st.Args}
		return Answer{}
	case Deallocate:
		delete(s.state.prepared, st.Name)
		return Answer{}
	case Begin, BeginRead:
		return s.begin(st)
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

// admit checks the route, the key and the rate at the begin of an operation.
func (s *session) admit() (catalog.Route, model.Workspace, *service, Answer) {
	c := s.server.catalog()
	route, known := c.Routes[s.database]
	if !known {
		return route, "", nil, refuse(UnknownDatabase, "no such database")
	}
	workspace, allowed := c.Authenticate(route, s.key)
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

// refund gives back the token of an operation that no target has run.
func (s *session) refund(workspace model.Workspace) {
	if !s.ran {
		s.server.refund(workspace)
	}
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

// needsPrimary reports whether only the primary can run the operation.
func (op operation) needsPrimary() bool { return op.writes || op.route.Consistency == catalog.Primary }

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
	s.ran = false
	defer s.refund(workspace)
	op := operation{route: route, workspace: workspace, service: svc, arrived: now,
		deadline: now.Add(route.StatementTimeout - answerMargin), writes: s.writes(st)}
	unable := ExcludedHosts{Local: op.needsPrimary() && svc.primaryLost(now)}
	for range maxForwards {
		host, local := s.server.home(route.Service, workspace, unable)
		if local {
			break
		}
		if answer, settled := s.forwardAlone(host, op, st); settled {
			return answer
		}
		unable.Remote = append(unable.Remote, host)
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
		reply, sent, err := op.service.run(c, &s.state, Command{Statement: st, MinPosition: after}, epoch, s.attemptTimer(op))
		op.service.release(c, err != nil && !errors.Is(err, errNoPermission))
		s.ran = s.ran || sent && !reply.Code.notRun()
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
				s.mark = HighWaterMark{Epoch: epoch, Position: reply.Position, CommittedAt: boottime.Now()}
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
	request := pool.Request{Workspace: op.workspace, PrimaryOnly: primary, Priority: op.route.Priority}
	if !primary {
		m := s.mark
		if op.route.Consistency != catalog.ReadYourWrites {
			m = HighWaterMark{}
		}
		position, dataOf, known := op.service.freshness(op.arrived.Add(-op.route.MaxStaleness), m)
		if known {
			after, request.AsOf = position, dataOf
		} else {
			request.PrimaryOnly = true
		}
	}
	request.Deadline = s.giveUp(*op)
	g := op.service.acquire(request)
	if g.conn == nil {
		return nil, 0, after, refuse(Busy, "no connection: "+g.refused.String())
	}
	epoch, id, open := op.service.primaryEpoch()
	if g.conn.target.ID == id && open {
		return g.conn, epoch, model.Position{}, Answer{}
	}
	if request.PrimaryOnly {
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
