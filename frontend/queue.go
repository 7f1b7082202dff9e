package frontend

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
	"github.com/waxwingspindle/waxwingspindle/retry"
	"github.com/waxwingspindle/waxwingspindle/runqueue"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

const (
	// maxTurns is the number of turns that an operation may wait for. A turn is given back if the target cannot run the
	// operation any more, for example because the primary has changed.
	maxTurns = 3
	// busyCost is added, in statements, to the load of a target that has just answered BUSY, so that a retry goes to
	// another one if there is one.
	busyCost = 1000
)

// queueOf returns the queue of a registered target, or nil without load control. The caller holds s.mu.
func (s *service) queueOf(id model.TargetID) *turns.Queue {
	if !s.server.loadControl.Load() {
		return nil
	}
	q := s.queues[id]
	if t, registered := s.targets[id]; q == nil && registered {
		q = s.server.queues.NewQueue(t, s.queueLimitOf(id), s.log, boottime.Now())
		s.queues[id] = q
	}
	return q
}

// queueLimitOf returns the limit of the queue of a target, which starts with the learned one. The caller holds s.mu.
func (s *service) queueLimitOf(id model.TargetID) turns.Limit {
	s.limiter(id)
	return s.queueLimit(id)
}

// updateQueues adopts changed registrations and removes the queues of targets that have left. The caller holds s.mu.
func (s *service) updateQueues(now time.Time) {
	for id, q := range s.queues {
		t, registered := s.targets[id]
		if registered {
			q.SetSlots(now, t.Slots)
			continue
		}
		q.Close(now)
		delete(s.queues, id)
	}
}

// tickQueues refuses the expired requests of all targets.
func (s *service) tickQueues(now time.Time) {
	s.mu.Lock()
	queues := make([]*turns.Queue, 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	s.mu.Unlock()
	for _, q := range queues {
		q.Tick(now)
	}
}

// chooseQueue returns the queue of the target that should run the request, or nil if there is no load control or no target
// that can run it now. A retry avoids targets that have just answered BUSY.
func (s *service) chooseQueue(now time.Time, r pool.Request, isRetry bool) *turns.Queue {
	if !s.server.loadControl.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.pool.Choose(now, r, func(id model.TargetID) int {
		q := s.queueOf(id)
		if q == nil {
			return 0
		}
		if isRetry && q.PauseAfterBusy(now) > 0 {
			return busyCost
		}
		return q.Length()
	})
	if id == "" {
		return nil
	}
	return s.queueOf(id)
}

// reportIdle tells the queue of a target how many idle connections the workspace of a connection has there now. The
// connection may be nil. The caller holds s.mu.
func (s *service) reportIdle(c *targetConn) {
	if c == nil {
		return
	}
	if q := s.queues[c.target.ID]; q != nil {
		q.SetIdle(c.workspace, s.pool.IdleConnections(c.target.ID, c.workspace))
	}
}

// startOpening opens a connection for the pool. With load control it occupies the turn of the statement that waits for it,
// or its own. The caller holds s.mu.
func (s *service) startOpening(a pool.Open, t catalog.Target) {
	q := s.queueOf(a.Target)
	if q == nil {
		go s.open(a, t)
		return
	}
	if q.BeginCovered() {
		go func() {
			defer q.EndCovered()
			s.openObserved(q, a, t)
		}()
		return
	}
	go func() {
		now := boottime.Now()
		turn, refusal := q.Await(runqueue.Request{Workspace: a.Workspace, Arrived: now, Opening: true,
			LatencyTarget: now.Add(dialTimeout), Deadline: now.Add(dialTimeout)}, turns.OpeningClass)
		if refusal != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			// The pause after a failed opening keeps the pool from asking again at once.
			s.applyActions(s.pool.OpenFinished(boottime.Now(), a.Conn, false))
			return
		}
		defer turn.End()
		s.openObserved(q, a, t)
	}()
}

// openObserved opens a connection for the pool and records the outcome in the queue of the target.
func (s *service) openObserved(q *turns.Queue, a pool.Open, t catalog.Target) {
	q.Answered(openingOutcome(s.open(a, t)))
}

// openingOutcome returns the outcome of opening a connection.
func openingOutcome(err error) concurrency.Outcome {
	var refused *TargetError
	if errors.As(err, &refused) {
		return commandOutcome(refused.Code, nil)
	}
	return commandOutcome(Success, err)
}

// outcomeOf returns the outcome of a command and of those that set up the session before it.
func outcomeOf(replies []Reply, err error) concurrency.Outcome {
	if err == nil {
		for _, reply := range replies {
			if reply.Code != Success {
				return commandOutcome(reply.Code, nil)
			}
		}
	}
	return commandOutcome(Success, err)
}

// runRequest returns the request for a turn of the operation. A read of another host must start before that host tries a
// different one.
func (s *session) runRequest(op *operation) runqueue.Request {
	deadline := op.deadline
	if s.forwardedFor != nil && s.txn == nil && !op.isWrite {
		deadline = minTime(deadline, op.arrived.Add(op.route.LatencyTarget+forwardReadMargin-answerMargin))
	}
	return runqueue.Request{Workspace: op.workspace, Weight: s.server.weight(op.workspace), Priority: op.route.Priority,
		Arrived: op.arrived, LatencyTarget: op.arrived.Add(op.route.LatencyTarget), Deadline: deadline,
		// The configuration doesn't say what a late answer is worth. Routes of the highest priority get one.
		Discardable: op.route.Priority > 0}
}

// weight returns the weight of a workspace in the queues: its rate limit, or 0 if it has none.
func (s *Server) weight(workspace model.Workspace) float64 {
	return max(0, s.catalog().Limits[workspace].PerSecond)
}

// acquireInTurn waits for the turn of the operation and then for a connection. If the target is known only with the
// connection, because all are in use or the primary is being replaced, the turn comes last. If the code of the answer isn't
// Success, the operation is refused and has not run.
func (s *session) acquireInTurn(op *operation, r pool.Request) (grant, Answer) {
	svc := op.service
	if !s.server.loadControl.Load() {
		return svc.acquire(r), Answer{}
	}
	for range maxTurns {
		q := svc.chooseQueue(boottime.Now(), r, op.isRetry)
		if q == nil {
			break
		}
		t, refusal := s.awaitTurn(op, q, false)
		switch {
		case refusal == nil:
		case refusal.Reason == runqueue.Closed:
			continue // the target has left, another one may run the operation
		default:
			return grant{}, refusalAnswer(Busy, *refusal)
		}
		pinned := r
		pinned.GiveUp = true
		pinned.Target, pinned.Deadline = q.Target(), minTime(op.deadline, boottime.Now().Add(dialTimeout))
		if svc.chooseQueue(boottime.Now(), pinned, false) != q {
			t.End()
			continue
		}
		q.CountAwaiting(1)
		g := svc.acquire(pinned)
		q.CountAwaiting(-1)
		if g.conn == nil {
			t.End()
			if g.refusal == pool.RefusedNoConnection {
				continue
			}
			return g, noConnectionAnswer(g)
		}
		g.conn.turn = t
		return g, Answer{}
	}
	g := svc.acquire(r)
	if g.conn == nil {
		return g, noConnectionAnswer(g)
	}
	if refusal := s.enterOnConn(op, g.conn, false); refusal.Code != Success {
		svc.release(g.conn, false)
		return grant{}, refusal
	}
	return g, Answer{}
}

// noConnectionAnswer returns the answer to a statement that the pool has refused. The pool refuses after its own deadline, so
// the expected wait is not known, and the time to come back is that of a retry to a busy target.
func noConnectionAnswer(g grant) Answer {
	after := turns.BusyPause + rand.N(turns.BusyPause)
	return errorAnswer(Busy, "no connection: "+g.refusal.String()+"; retry after "+after.Round(time.Millisecond).String())
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// awaitTurn waits for a turn on a target. Statements of open transactions go before all others and are refused only at their
// deadline. A retry waits until the target may get one again after a BUSY answer.
func (s *session) awaitTurn(op *operation, q *turns.Queue, inTxn bool) (*turns.Turn, *runqueue.Refuse) {
	if op.isRetry {
		time.Sleep(min(q.PauseAfterBusy(boottime.Now()), max(0, op.deadline.Sub(boottime.Now()))))
	}
	r := s.runRequest(op)
	r.InTxn = inTxn
	return q.Await(r, op.class())
}

// enterOnConn waits for a turn on the target of a connection that the operation holds already.
func (s *session) enterOnConn(op *operation, c *targetConn, inTxn bool) Answer {
	op.service.mu.Lock()
	q := op.service.queueOf(c.target.ID)
	op.service.mu.Unlock()
	if q == nil {
		return Answer{}
	}
	t, refusal := s.awaitTurn(op, q, inTxn)
	switch {
	case refusal == nil:
		c.turn = t
		return Answer{}
	case inTxn:
		return refusalAnswer(Aborted, *refusal)
	}
	return refusalAnswer(Busy, *refusal)
}

// enterInTxn waits for a turn of a statement of the open transaction, which has begun on a target of this host. The first
// statement has the turn in which the transaction has begun. The transaction must be rolled back if the code of the answer isn't
// Success.
func (s *session) enterInTxn(op operation, st Statement) Answer {
	if s.txn.conn.turn != nil {
		return Answer{}
	}
	op.isWrite, op.isCommit = s.isWrite(st), st.Kind == Commit
	return s.enterOnConn(&op, s.txn.conn, true)
}

// refusalAnswer returns the answer to a statement that the queue has refused. The text names the time to come back.
func refusalAnswer(code Code, r runqueue.Refuse) Answer {
	return errorAnswer(code, "the target is overloaded ("+r.Reason.String()+"); retry after "+
		max(time.Millisecond, r.RetryAfter.Round(time.Millisecond)).String())
}

// class returns the class of the operation's statements.
func (op operation) class() turns.Class {
	kind := turns.Read
	switch {
	case op.isCommit:
		kind = turns.Commit
	case op.begins:
		kind = turns.Begin
	case op.isWrite:
		kind = turns.Write
	}
	return turns.Class{Database: op.route.Database, Kind: kind}
}

// mayAttempt reports whether another attempt to run a statement may be made after the last answer. With load control, retries
// stay inside the budget of the service. An answer that the target lags, or that it lacks the prepared statement, costs
// nothing: the target did no work for it.
func (s *service) mayAttempt(attempt int, last *Answer) bool {
	if !s.server.loadControl.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if s.retries == nil {
		s.retries = retry.NewBudget(now)
	}
	switch {
	case attempt == 0:
		s.retries.CountRequest()
		return true
	case last.Code == Lagging || last.Code == UnknownStatement || s.retries.TrySpend(now):
		return true
	}
	s.server.queues.RefusedRetry(now, s.log, attempt, last.Code.String())
	last.Detail += "; retry after " + (turns.BusyPause + rand.N(turns.BusyPause)).Round(time.Millisecond).String()
	return false
}

// pauseBeforeRetry waits before another attempt after an answer. With load control a retry after BUSY waits in awaitTurn,
// and only if it goes to the same target.
func (s *session) pauseBeforeRetry(op *operation, code Code) {
	if s.server.loadControl.Load() && code == Busy {
		op.isRetry = true
		return
	}
	time.Sleep(retryPause)
}

// endTurn returns the turn of the statement that uses the connection.
func (c *targetConn) endTurn() {
	c.turn.End()
	c.turn = nil
}
