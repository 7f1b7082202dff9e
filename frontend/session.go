package frontend

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
)

// ErrInterrupted is returned by CallerConn.ReadStatement when Interrupt ended the read.
var ErrInterrupted = errors.New("the read was interrupted")

// internalStatementID is the id of statements that the server itself generates.
const internalStatementID = "-"

const (
	// maxAttempts is the maximum number of attempts to run one statement within its timeout.
	maxAttempts = 5
	// retryPause is the pause before another attempt on a busy target, about the duration of one statement.
	retryPause = 20 * time.Millisecond
	// maxShapeNameBytes is the length in bytes up to which the name on targets contains the shape itself; longer shapes are
	// hashed.
	maxShapeNameBytes = 40
	// answerMargin is the part of a statement's timeout that is reserved for delivering the answer.
	answerMargin = 50 * time.Millisecond
)

// PreparedStatement is a prepared statement of a session.
type PreparedStatement struct {
	Kind  StatementKind // PrepareRead or PrepareWrite
	Shape string
}

// nameOnTarget returns the name of the statement on target connections. It is derived from the content, so that sessions
// that use the same connection can share prepared statements.
func (p PreparedStatement) nameOnTarget() string {
	shape := p.Shape
	if len(shape) > maxShapeNameBytes || strings.ContainsAny(shape, " \t") {
		shape = "x" + strconv.FormatUint(xxhash.Sum64String(shape), 16)
	}
	if p.Kind == PrepareWrite {
		return "w_" + shape
	}
	return "r_" + shape
}

// sessionState holds the session variables and prepared statements of a session.
type sessionState struct {
	route     string // database that the caller connected to
	variables map[string]string
	prepared  map[string]PreparedStatement
	bytes     int // memory of both, unless the session is one of another host
}

// HighWaterMark is the log position of the last commit of a session.
type HighWaterMark struct {
	Epoch       uint64 // epoch of the primary document under which the commit was made
	Position    model.Position
	CommittedAt time.Time // boot time of this host; not comparable between hosts
}

// forwardedCaller identifies the caller of a forwarded session, as authenticated by the session's host.
type forwardedCaller struct {
	route     catalog.Route
	workspace model.Workspace
}

// session is a session of a caller, or the local counterpart of a session of another host.
type session struct {
	server   *Server
	log      *zap.Logger
	database string
	key      string

	forwardedFor   *forwardedCaller // nil for sessions of this host's own callers
	onIdleRollback func()           // called after the idle timeout rolled a transaction back; may be nil

	state      sessionState
	holder     StateHolder // counts the memory of state; nil if nobody does
	mark       HighWaterMark
	executedOn string         // target or host that the last statement was sent to, for logs
	required   model.Position // that the replica had to have reached for the last statement, zero on the primary; for logs
	mayHaveRun bool           // a target may have run a statement of the current operation
	elsewhere  Elsewhere      // why the last statement should run on another host; only set if the target was selected
	targetLoad balance.Load   // that the last host reported for the selected target

	runningStatement atomic.Pointer[string] // id of the statement that has no answer yet, or nil

	mu  sync.Mutex // guards txn against its idle timer
	txn *txn
}

// serve reads and runs statements until the session ends.
func (s *session) serve(conn CallerConn) {
	defer s.end()
	for {
		statement, err := conn.ReadStatement()
		if errors.Is(err, ErrInterrupted) {
			if s.closesForDrain() {
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
		s.executedOn = ""
		s.runningStatement.Store(&statement.ID)
		answer := s.execute(start, statement)
		s.logAnswer(statement, answer, boottime.Now().Sub(start))
		err = conn.WriteAnswer(answer, s.txnState())
		s.runningStatement.Store(nil)
		if err != nil {
			s.log.Info("session: answer not delivered", zap.String("id", shorten(statement.ID)), zap.Error(err))
			return
		}
		if s.closesForDrain() {
			return
		}
	}
}

// closesForDrain reports whether the session should end now because the host is stopping.
func (s *session) closesForDrain() bool {
	return s.server.closing.Load() && (s.txnState() == Idle || s.server.statementsEnded(boottime.Now()))
}

// end rolls back a transaction that is still open when the session ends.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txn != nil {
		s.rollback(s.txn)
		s.txn.stopIdleTimer()
		s.txn = nil
	}
}

// logAnswer logs and counts the answer to a statement, except for Set, Deallocate and PrepareRead.
func (s *session) logAnswer(statement Statement, a Answer, took time.Duration) {
	if statement.Kind == Set || statement.Kind == Deallocate || statement.Kind == PrepareRead {
		return
	}
	s.server.metrics.observeAnswer(a.Code, took)
	c := s.server.catalog()
	message := "statement: done"
	if a.Code != Success {
		message = "statement: failed"
	}
	s.log.Info(message, zap.String("id", shorten(statement.ID)), zap.Stringer("code", a.Code), zap.String("detail", shorten(a.Detail)),
		zap.Duration("took", took), zap.String("database", s.database), zap.String("workspace", string(c.Keys[s.key])),
		zap.String("on", s.executedOn), zap.Int64("configuration", c.Version))
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

// errorAnswer returns an answer of this host with the code and the detail.
func errorAnswer(code Code, detail string) Answer { return Answer{Code: code, Detail: detail} }

// execute runs one statement of any kind.
func (s *session) execute(now time.Time, st Statement) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txn != nil {
		s.txn.stopIdleTimer()
		defer s.startIdleTimer()
		if s.txn.failed && st.Kind != Commit && st.Kind != Rollback {
			return s.txn.failedAnswer()
		}
	}
	switch st.Kind {
	case Set:
		return s.setVariable(st)
	case PrepareRead, PrepareWrite:
		return s.prepare(st)
	case Deallocate:
		s.deallocate(st.Name)
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
	return errorAnswer(Malformed, "unknown statement")
}

// admit checks the route, the key and the rate limit at the start of an operation. The code of the answer is Success if the
// operation is admitted; otherwise the answer is the refusal.
func (s *session) admit() (catalog.Route, charge, *service, Answer) {
	c := s.server.catalog()
	route, known := c.Routes[s.database]
	if !known {
		return route, charge{}, nil, errorAnswer(UnknownDatabase, "no such database")
	}
	workspace, allowed := c.Authenticate(route, s.key)
	if !allowed {
		return route, charge{}, nil, errorAnswer(Unauthenticated, "unknown key")
	}
	svc := s.server.service(route.Service)
	token, admitted, wait := s.server.admit(workspace, s.server.admissionWait(workspace, route), route.LatencyTarget/2)
	if !admitted {
		s.server.recordRateRefusal(workspace)
		return route, charge{}, nil, errorAnswer(Busy, "the rate of the workspace is used up; retry after "+
			wait.Round(time.Millisecond).String())
	}
	return route, charge{workspace, token}, svc, Answer{}
}

// refund returns the rate limit token of an operation if no target may have run it.
func (s *session) refund(c charge) {
	if !s.mayHaveRun {
		s.server.refund(c)
	}
}

// operation describes a statement or a transaction that is to run on a target of the service.
type operation struct {
	route        catalog.Route
	workspace    model.Workspace
	service      *service
	arrived      time.Time
	deadline     time.Time
	isWrite      bool           // needs the primary regardless of the route's consistency
	forcePrimary bool           // a replica answered Lagging, so the primary has to run it
	target       model.TargetID // the only target that may run it, or empty
	begins       bool           // begins a transaction
	isCommit     bool
	isRetry      bool // a target answered BUSY to an earlier attempt
}

// needsPrimary reports whether the operation must run on the primary.
func (op operation) needsPrimary() bool {
	return op.isWrite || op.forcePrimary || op.route.Consistency == catalog.Primary
}

// isWrite reports whether the statement is a write or executes a prepared write.
func (s *session) isWrite(st Statement) bool {
	return st.Kind == Write || st.Kind == Execute && s.state.prepared[st.Name].Kind == PrepareWrite
}

// runStatement runs a read or a write, inside the open transaction if there is one.
func (s *session) runStatement(now time.Time, st Statement) Answer {
	if _, known := s.state.prepared[st.Name]; st.Kind == Execute && !known {
		if s.txn != nil {
			s.failTxn()
		}
		return errorAnswer(UnknownStatement, st.Name)
	}
	if s.txn != nil {
		return s.runInTxn(now, st)
	}
	route, charged, svc, refusal := s.admit()
	if refusal.Code != Success {
		return refusal
	}
	s.mayHaveRun = false
	defer s.refund(charged)
	op := operation{route: route, workspace: charged.workspace, service: svc, arrived: now,
		deadline: s.server.statementDeadline(now, route.StatementTimeout-answerMargin), isWrite: s.isWrite(st)}
	if s.server.selectsTargets() {
		return s.runOnSelectedTarget(op, st)
	}
	excluded := ExcludedHosts{Local: svc.cannotRun(now, op.needsPrimary(), route.MaxStaleness),
		Region: s.server.hostRegions(route.Database, op.workspace)}
	for range maxForwardAttempts {
		selected := s.server.selectHost(op, op.needsPrimary(), excluded)
		if selected.Local {
			break
		}
		if answer, done := s.forwardStatement(selected.Host, op, st); done {
			return answer
		}
		excluded.Remote = append(excluded.Remote, selected)
	}
	return s.runLocally(op, st)
}

// runLocally runs a statement outside transactions on a target of this host. It retries statements that have not run and
// reads.
func (s *session) runLocally(op operation, st Statement) Answer {
	s.elsewhere = Here
	lastAnswer := errorAnswer(Busy, "no attempt was possible in time")
	for attempt := 0; attempt < maxAttempts && boottime.Now().Before(op.deadline) &&
		op.service.mayAttempt(attempt, &lastAnswer); attempt++ {
		c, epoch, minPosition, refusal := s.acquireConn(&op)
		if refusal.Code != Success {
			return refusal
		}
		s.executedOn = string(c.target.ID)
		began := boottime.Now()
		reply, sent, err := op.service.run(c, &s.state, Command{Statement: st, MinPosition: minPosition}, epoch,
			s.attemptDeadline(op))
		op.service.release(c, err != nil && !isNotPermitted(err))
		s.mayHaveRun = s.mayHaveRun || sent && !reply.Code.provesNotRun()
		if !op.isWrite && sent {
			op.service.recordReadTime(boottime.Now().Sub(began))
		}
		switch {
		case err != nil && sent && op.isWrite:
			s.logNoAnswer(st, c, err)
			return errorAnswer(InDoubt, "the answer of the target was lost")
		case errors.Is(err, ErrResponseTooLarge):
			s.logNoAnswer(st, c, err)
			return errorAnswer(OtherError, err.Error())
		case err != nil:
			s.logNoAnswer(st, c, err)
			lastAnswer = errorAnswer(Busy, "the target could not be reached")
			if op.target != "" {
				s.elsewhere = OnOtherHost
				return lastAnswer
			}
		case reply.Code == Success && op.isWrite && !s.mayAcknowledge(st, c, epoch):
			return errorAnswer(InDoubt, permissionEndedDetail)
		case reply.Code == Success:
			if op.isWrite {
				s.mark = HighWaterMark{Epoch: epoch, Position: reply.Position, CommittedAt: boottime.Now()}
			}
			return reply.Answer
		case !s.prepareRetry(&op, reply):
			return reply.Answer
		case op.target != "" && reply.Code == Failed && !op.needsPrimary():
			s.elsewhere = OnOtherTarget // a target that fails may fail again
			return reply.Answer
		case op.target != "" && reply.Code == Lagging:
			s.elsewhere = OnOtherTarget
			return errorAnswer(Busy, reply.Code.String())
		default:
			lastAnswer = reply.Answer
		}
	}
	if lastAnswer.Code == Lagging || lastAnswer.Code == ReadOnly || lastAnswer.Code == UnknownStatement {
		return errorAnswer(Busy, lastAnswer.Code.String())
	}
	return lastAnswer
}

// prepareRetry reports whether a statement with an error answer may be retried. It waits or adjusts the operation as
// needed.
func (s *session) prepareRetry(op *operation, reply Reply) bool {
	switch reply.Code {
	case Lagging:
		op.forcePrimary = op.service.primaryAvailable(s.server.targetRegions(op.route.Database, op.workspace))
		if !op.forcePrimary {
			time.Sleep(retryPause) // the replica may have caught up by then
		}
	case Busy, ReadOnly:
		s.pauseBeforeRetry(op, reply.Code)
	case Failed:
		return !op.isWrite
	case UnknownStatement:
	default:
		return false
	}
	return true
}

// logNoAnswer logs that an attempt to run a statement returned no answer.
func (s *session) logNoAnswer(st Statement, c *targetConn, err error) {
	s.log.Info("statement: attempt without answer", zap.String("id", shorten(st.ID)),
		zap.String("target", string(c.target.ID)), zap.Error(err))
}

// networkDeadline converts the operation's deadline from boot time to the wall clock that network deadlines use.
func (s *session) networkDeadline(op operation) time.Time {
	return time.Now().Add(op.deadline.Sub(boottime.Now()))
}

// attemptDeadline returns the network deadline of one attempt. Reads get a shorter one, so that a read whose answer may be
// lost can be retried before the operation's deadline.
func (s *session) attemptDeadline(op operation) time.Time {
	end := s.networkDeadline(op)
	if op.isWrite {
		return end
	}
	if readDeadline := time.Now().Add(op.service.readTimeout()); readDeadline.Before(end) {
		return readDeadline
	}
	return end
}

// acquireConn waits for a connection that may run the operation. On the primary it also returns the epoch, otherwise the
// position that the replica must have reached. If no connection is available, the connection is nil and the answer is the
// refusal.
func (s *session) acquireConn(op *operation) (*targetConn, uint64, model.Position, Answer) {
	var minPosition model.Position
	needsPrimary := op.needsPrimary()
	request := pool.Request{Workspace: op.workspace, Target: op.target, PrimaryOnly: needsPrimary,
		Priority: op.route.Priority}
	if op.target != "" && !needsPrimary && !op.service.isPrimary(op.target) {
		op.service.refreshPosition(op.arrived, op.route.MaxStaleness)
	}
	if !needsPrimary {
		m := s.mark
		if op.route.Consistency != catalog.ReadYourWrites {
			m = HighWaterMark{}
		}
		position, asOf, known := op.service.readRequirement(op.arrived.Add(-op.route.MaxStaleness), m)
		if known {
			minPosition, request.AsOf = position, asOf
		} else {
			request.PrimaryOnly = true
		}
	}
	if op.target != "" && request.PrimaryOnly && !op.service.isPrimary(op.target) {
		s.elsewhere = OnPrimary
		return nil, 0, minPosition, errorAnswer(Busy, "the statement has to run on the primary")
	}
	request.Deadline = s.queueDeadline(*op)
	request.Region = s.server.targetRegions(op.route.Database, op.workspace)
	g, refusal := s.acquireInTurn(op, request)
	if g.conn == nil {
		switch {
		case op.target == "":
		case g.refusal == pool.RefusedNoTarget:
			s.elsewhere = OnOtherHost
		case g.refusal == pool.RefusedLagging:
			s.elsewhere = OnOtherTarget
		}
		if refusal.Code == Success {
			refusal = errorAnswer(Busy, "no connection: "+g.refusal.String())
		}
		return nil, 0, minPosition, refusal
	}
	if !s.mayBeginOn(g.conn) {
		op.service.release(g.conn, false)
		return nil, 0, minPosition, errorAnswer(Busy, "no connection: "+pool.RefusedEvacuated.String())
	}
	epoch, id, open := op.service.currentPrimary()
	if g.conn.target.ID == id && open {
		s.required = model.Position{}
		return g.conn, epoch, model.Position{}, Answer{}
	}
	if request.PrimaryOnly {
		op.service.release(g.conn, false)
		if op.target != "" {
			s.elsewhere = OnOtherHost
		}
		return nil, 0, minPosition, errorAnswer(Busy, "the primary is being replaced")
	}
	s.required = minPosition
	return g.conn, 0, minPosition, Answer{}
}

// queueDeadline returns the time until which an operation may wait for a connection. That is its latency target, or its
// whole deadline while the primary is being replaced, which takes about a second. A replacement that takes much longer waits
// for the lease of a host that does not answer, so its end is not in sight.
func (s *session) queueDeadline(op operation) time.Time {
	limit := op.arrived.Add(op.route.LatencyTarget)
	if op.service.replacementInSight(boottime.Now()) {
		limit = op.deadline
	}
	if limit.After(op.deadline) {
		return op.deadline
	}
	return limit
}
