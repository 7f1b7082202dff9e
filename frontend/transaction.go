package frontend

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// txn is an open transaction of a session.
type txn struct {
	readOnly bool
	conn     *targetConn // nil until the first statement, and after the end on the target
	service  *service
	epoch    uint64 // decision under which the primary is used, 0 on a replica
	wrote    bool
	failed   bool
	idle     *time.Timer
	paidBy   model.Workspace // whose token admitted it; empty at the host that runs it for another one, and after a refund

	peer   model.HostID // the host that runs the transaction, empty for this host
	id     uint64       // number of the transaction for the peer
	onPeer bool         // it has begun there
}

// startIdleTimer rolls a transaction back that stays idle for too long. The lock is held.
func (s *session) startIdleTimer() {
	t := s.txn
	limit := s.server.catalog().TxnIdleTimeout
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

// begin opens a transaction of the session; the target learns of it with the first statement.
func (s *session) begin(st Statement) Answer {
	if s.txn != nil {
		return refuse(Malformed, "a transaction is open")
	}
	_, workspace, svc, refusal := s.admit()
	if refusal.Code != Success {
		return refusal
	}
	s.ran = false
	s.txn = &txn{readOnly: st.Kind == BeginRead, service: svc, paidBy: workspace}
	defer s.startIdleTimer()
	return Answer{}
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
	needsPrimary := !t.readOnly || op.route.Consistency == catalog.Primary
	unable := ExcludedHosts{Local: needsPrimary && t.service.primaryLost(op.arrived)}
	for range maxForwards {
		if t.conn == nil && t.peer == "" && s.forwarded == nil {
			if host, local := s.server.home(op.route.Service, op.workspace, unable); !local {
				t.peer, t.id = host, s.server.lastTxn.Add(1)
			}
		}
		if t.peer == "" {
			break
		}
		host := t.peer
		if answer, settled := s.forwardInTxn(op, st); settled {
			return answer, true
		}
		unable.Remote = append(unable.Remote, host)
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
		op.workspace, allowed = c.Authenticate(route, s.key)
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
		reply, sent, err := op.service.run(c, &s.state, Command{Statement: begin, MinPosition: after}, epoch, s.timer(op))
		s.ran = s.ran || sent && !reply.Code.notRun()
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
			s.refundTxn()
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
		s.mark = HighWaterMark{Epoch: t.epoch, Position: reply.Position, CommittedAt: boottime.Now()}
	}
	s.txn = nil
	return reply.Answer
}

// fail rolls the open transaction back on its target and leaves it to the caller to end it.
func (s *session) fail() {
	s.rollback(s.txn)
	s.txn.failed = true
	s.refundTxn()
}

// refundTxn gives back the token of the open transaction if it has not begun on any target.
func (s *session) refundTxn() {
	if t := s.txn; t.paidBy != "" && !s.ran {
		s.server.refund(t.paidBy)
		t.paidBy = ""
	}
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
