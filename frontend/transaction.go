package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// txn is an open transaction of a session.
type txn struct {
	readOnly  bool
	conn      *targetConn // nil before the first statement and after the transaction ended on the target
	service   *service
	epoch     uint64 // epoch of the primary document in use, 0 on a replica
	wrote     bool
	failed    bool
	evacuated bool // it was rolled back because of an evacuation, which no answer has told the caller yet
	idleTimer *time.Timer
	workspace model.Workspace // of the caller when the transaction began; empty for transactions of other hosts
	needsKey  bool            // the route was not public when the transaction began
	charged   *charge         // nil after a refund and for transactions of other hosts

	peer        model.HostID   // host that runs the transaction, empty for this host
	target      model.TargetID // the only target on which the transaction may begin, or empty
	id          uint64         // TxnID of the requests to the peer
	begunOnPeer bool           // the transaction has begun, or may have begun, on the peer
}

// startIdleTimer starts the timer that rolls the open transaction back after the configured idle time. The caller
// holds s.mu.
func (s *session) startIdleTimer() {
	t := s.txn
	limit := s.server.catalog().TxnIdleTimeout
	if t == nil || t.failed || limit <= 0 {
		return
	}
	t.idleTimer = time.AfterFunc(limit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.txn == t && !t.failed {
			s.log.Info("transaction: rolled back by the idle timeout", zap.Duration("limit", limit))
			s.rollback(t)
			t.failed = true
			if s.onIdleRollback != nil {
				s.onIdleRollback()
			}
		}
	})
}

func (t *txn) stopIdleTimer() {
	if t.idleTimer != nil {
		t.idleTimer.Stop()
	}
}

// begin opens a transaction in the session. It begins on a target with its first statement.
func (s *session) begin(st Statement) Answer {
	if s.txn != nil {
		return errorAnswer(Malformed, "a transaction is open")
	}
	route, charged, svc, refusal := s.admit()
	if refusal.Code != Success {
		return refusal
	}
	s.mayHaveRun = false
	s.txn = &txn{readOnly: st.Kind == BeginRead, service: svc, charged: &charged,
		workspace: charged.workspace, needsKey: !route.Public}
	defer s.startIdleTimer()
	return Answer{}
}

// runInTxn runs a statement inside the open transaction.
func (s *session) runInTxn(now time.Time, st Statement) Answer {
	t := s.txn
	op, refusal := s.txnOperation(now)
	if refusal.Code != Success {
		s.failTxn()
		return refusal
	}
	if answer, done := s.runOnPeer(op, st); done {
		return answer
	}
	if t.conn == nil {
		if refusal := s.beginOnTarget(op, st); refusal.Code != Success {
			s.failTxn()
			return refusal
		}
	} else if refusal := s.enterInTxn(op, st); refusal.Code != Success {
		s.failTxn()
		return refusal
	}
	s.executedOn = string(t.conn.target.ID)
	reply, _, err := t.service.run(t.conn, &s.state, Command{Statement: st}, t.epoch, s.networkDeadline(op))
	t.conn.endTurn()
	if err != nil {
		s.logNoAnswer(st, t.conn, err)
		s.abandonTxn()
		return errorAnswer(Aborted, "the transaction was lost with its connection")
	}
	if reply.Code != Success {
		s.failTxn()
		return reply.Answer
	}
	t.wrote = t.wrote || s.isWrite(st)
	return reply.Answer
}

// runOnPeer runs a statement of the open transaction on another host if that host holds the transaction or should begin it.
// It reports false if the statement is to run on this host.
func (s *session) runOnPeer(op operation, st Statement) (Answer, bool) {
	t := s.txn
	op.isWrite = s.isWrite(st)
	if t.conn == nil && t.peer == "" && s.forwardedFor == nil && s.server.selectsTargets() {
		return s.beginOnSelectedTarget(op, st)
	}
	needsPrimary := !t.readOnly || op.route.Consistency == catalog.Primary
	excluded := ExcludedHosts{Local: t.service.cannotRun(op.arrived, needsPrimary, op.route.MaxStaleness),
		Region: s.server.hostRegions(op.route.Database, op.workspace)}
	for range maxForwardAttempts {
		if t.conn == nil && t.peer == "" && s.forwardedFor == nil {
			if selected := s.server.selectHost(op, needsPrimary, excluded); !selected.Local {
				t.peer, t.id = selected.Host, s.server.lastTxnID.Add(1)
			}
		}
		if t.peer == "" {
			break
		}
		host := t.peer
		if answer, done := s.forwardInTxn(op, st); done {
			return answer, true
		}
		excluded.Remote = append(excluded.Remote, Selection{Host: host})
	}
	return Answer{}, false
}

// txnOperation returns the operation for a statement of the open transaction, or a refusal, after which the transaction
// cannot continue. It ends when its key is withdrawn. A transaction that has begun on a target continues after its route was
// changed; otherwise it is refused if the route is no longer valid or the service has changed.
func (s *session) txnOperation(now time.Time) (op operation, refusal Answer) {
	t := s.txn
	if s.server.transactionsEnded(now) {
		return op, errorAnswer(Aborted, "the host is stopping")
	}
	if s.evacuationEndsTxn(now) {
		return op, errorAnswer(Aborted, evacuatedDetail)
	}
	op = operation{service: t.service, arrived: now}
	allowed := false
	if s.forwardedFor != nil {
		op.route, op.workspace, allowed = s.forwardedFor.route, s.forwardedFor.workspace, true
	} else {
		c := s.server.catalog()
		if workspace, known := c.Keys[s.key]; t.needsKey && (!known || workspace != t.workspace) {
			return op, errorAnswer(Unauthenticated, "the key was withdrawn during the transaction")
		}
		route, known := c.Routes[s.database]
		op.route = route
		op.workspace, allowed = c.Authenticate(route, s.key)
		allowed = allowed && known && route.Service == t.service.name || t.conn != nil || t.begunOnPeer
	}
	timeout := op.route.StatementTimeout
	if timeout == 0 {
		timeout = defaultStatementTimeout
	}
	op.deadline = s.server.statementDeadline(now, timeout-answerMargin)
	if !allowed {
		return op, errorAnswer(Aborted, "the route or the key has changed")
	}
	return op, Answer{}
}

// beginOnTarget begins the open transaction on a target of this host. first is the statement that needs it.
func (s *session) beginOnTarget(op operation, first Statement) Answer {
	t := s.txn
	s.elsewhere = Here
	op.isWrite, op.begins, op.target = !t.readOnly, true, t.target
	begin := Statement{ID: internalStatementID, Kind: Begin}
	if t.readOnly {
		begin.Kind = BeginRead
	}
	lastAnswer := errorAnswer(Busy, "the transaction could not be begun in time")
	for attempt := 0; attempt < maxAttempts && boottime.Now().Before(op.deadline) &&
		op.service.mayAttempt(attempt, &lastAnswer); attempt++ {
		c, epoch, minPosition, refusal := s.acquireConn(&op)
		if refusal.Code != Success {
			return refusal
		}
		reply, sent, err := op.service.run(c, &s.state, Command{Statement: begin, MinPosition: minPosition}, epoch,
			s.networkDeadline(op))
		s.mayHaveRun = s.mayHaveRun || sent && !reply.Code.provesNotRun()
		if err == nil && reply.Code == Success {
			t.conn, t.epoch = c, epoch
			return Answer{}
		}
		op.service.release(c, err != nil && !isNotPermitted(err))
		if err == nil && !s.prepareRetry(&op, reply) {
			return reply.Answer
		}
	}
	s.log.Info("transaction: not begun within the timeout", zap.String("id", first.ID))
	return lastAnswer
}

// commit commits the open transaction, or rolls it back if it has failed.
func (s *session) commit(now time.Time, st Statement) Answer {
	t := s.txn
	if t == nil {
		return errorAnswer(Malformed, "no transaction is open")
	}
	if t.failed {
		s.rollback(t)
		s.txn = nil
		return errorAnswer(Aborted, "the transaction had failed and was rolled back")
	}
	op, refusal := s.txnOperation(now)
	if refusal.Code != Success {
		s.rollback(t)
		s.refundTxn()
		s.txn = nil
		return refusal
	}
	if answer, done := s.runOnPeer(op, st); done {
		s.txn = nil
		return answer
	}
	if t.conn == nil {
		if refusal := s.beginOnTarget(op, st); refusal.Code != Success {
			s.refundTxn()
			s.txn = nil
			return refusal
		}
	} else if refusal := s.enterInTxn(op, st); refusal.Code != Success {
		s.rollback(t)
		s.txn = nil
		return refusal
	}
	s.executedOn = string(t.conn.target.ID)
	reply, sent, err := t.service.run(t.conn, &s.state, Command{Statement: st}, t.epoch, s.networkDeadline(op))
	if err != nil {
		s.logNoAnswer(st, t.conn, err)
		s.abandonTxn()
		s.txn = nil
		if !sent || !t.wrote {
			return errorAnswer(Aborted, "the transaction was lost with its connection")
		}
		return errorAnswer(InDoubt, "the answer of the target to the commit was lost")
	}
	t.service.release(t.conn, reply.State != Idle)
	if reply.Code == Success && t.wrote && !s.mayAcknowledge(st, t.conn, t.epoch) {
		s.txn = nil
		return errorAnswer(InDoubt, permissionEndedDetail)
	}
	if reply.Code == Success && t.wrote {
		s.mark = HighWaterMark{Epoch: t.epoch, Position: reply.Position, CommittedAt: boottime.Now()}
	}
	s.txn = nil
	return reply.Answer
}

// failTxn rolls the open transaction back on its target and marks it as failed. The caller still has to end it.
func (s *session) failTxn() {
	s.rollback(s.txn)
	s.txn.failed = true
	s.refundTxn()
}

// refundTxn returns the rate limit token of the open transaction if it has not begun on any target.
func (s *session) refundTxn() {
	if t := s.txn; t.charged != nil && !s.mayHaveRun {
		s.server.refund(*t.charged)
		t.charged = nil
	}
}

// abandonTxn closes the connection of the open transaction, which rolls it back, and marks the transaction as failed.
func (s *session) abandonTxn() {
	t := s.txn
	t.service.release(t.conn, true)
	t.conn, t.failed = nil, true
}

// rollback rolls a transaction back, if it has begun on a target, without waiting for the result. The connection returns to
// the pool afterwards.
func (s *session) rollback(t *txn) {
	if t.begunOnPeer && !t.failed {
		go s.rollbackOnPeer(t.peer, t.id)
	}
	if t.conn == nil {
		return
	}
	c, svc := t.conn, t.service
	t.conn = nil
	go func() {
		command := Command{Statement: Statement{ID: internalStatementID, Kind: Rollback}}
		reply, _, err := svc.run(c, nil, command, 0, time.Now().Add(rollbackTimeout))
		svc.release(c, err != nil || reply.State != Idle)
	}()
}
