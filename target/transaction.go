package target

import (
	"context"
	"errors"
	"sync"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// pinned is a Transaction on a connection of a Pool.
type pinned struct {
	pool     *Pool
	readOnly bool

	busy sync.Mutex  // held by the running call
	conn *connection // nil when the transaction has ended
}

// Begin implements Traffic.
func (p *Pool) Begin(ctx context.Context, readOnly bool) (Transaction, Answer) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, notSent(err)
	}
	begin := step{sql: sqlBegin}
	if readOnly {
		begin.sql = sqlBeginReadOnly
	}
	c.dirty = true
	sent := c.clock.sent.Load()
	answers, err := c.run(ctx, segment{begin, stepStatus})
	if err != nil {
		p.release(c)
		return nil, beginFailed(failed(c, sent, err))
	}
	if answers[0].err != nil {
		p.release(c)
		return nil, refused(answers[0].err)
	}
	status, err := answers[0].results[1].status()
	if err != nil {
		p.release(c)
		return nil, refusedBySelf(model.ReasonTargetUnavailable, err.Error())
	}
	return &pinned{pool: p, readOnly: readOnly, conn: c}, Answer{Result: model.Done(), Status: status, Position: status.Position}
}

// beginFailed turns a lost BEGIN into a refusal: the target rolls back a transaction whose connection is gone, and no
// statement was sent in it.
func beginFailed(a Answer) Answer {
	if a.Failure == FailureLost {
		a.Result.Outcome = model.OutcomeNotRun
	}
	return a
}

// Execute implements Transaction. After a lost connection nothing of the transaction is committed, because COMMIT was
// not sent and callers' statements cannot commit.
func (t *pinned) Execute(ctx context.Context, s Statement) Answer {
	if controlsTransaction(s.SQL) {
		return refusedBySelf(model.ReasonStatementRefused, refusedControl)
	}
	if !t.busy.TryLock() {
		return refusedBySelf(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.busy.Unlock()
	if t.conn == nil {
		return ended()
	}
	sent := t.conn.clock.sent.Load()
	answers, err := t.conn.run(ctx, segment{s.step()})
	if err != nil {
		a := failed(t.conn, sent, err)
		if a.Failure == FailureNotSent && !t.conn.pg.IsClosed() {
			return a
		}
		t.end()
		return rolledBack(a)
	}
	if answers[0].err != nil {
		return refused(answers[0].err)
	}
	result := answers[0].results[0]
	if result.tooLarge {
		t.end()
		return refusedBySelf(model.ReasonAnswerTooLarge, "the answer is larger than the limit; the transaction is rolled back")
	}
	return Answer{Result: model.Done(), Rows: result.rows}
}

// rolledBack turns a lost connection into the refusal of a transaction that cannot commit any more.
func rolledBack(a Answer) Answer {
	a.Result = model.NotRun(model.ReasonTransactionLost, "the transaction is rolled back: "+a.Result.Detail)
	return a
}

func ended() Answer {
	return refusedBySelf(model.ReasonTransactionLost, "the transaction has ended")
}

// end gives the connection back, which rolls the transaction back if it is open.
func (t *pinned) end() {
	t.pool.release(t.conn)
	t.conn = nil
}

// Commit implements Transaction.
func (t *pinned) Commit(ctx context.Context) Answer {
	if !t.busy.TryLock() {
		return refusedBySelf(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.busy.Unlock()
	if t.conn == nil {
		return ended()
	}
	defer t.end()
	if t.conn.pg.TxStatus() == 'E' {
		return refusedBySelf(model.ReasonTransactionLost, "the transaction is rolled back, because a statement in it failed")
	}
	sent := t.conn.clock.sent.Load()
	answers, err := t.conn.run(ctx, segment{stepStatus, stepCommit}, segment{stepStatus}, resetSession)
	if len(answers) == 0 {
		return commitFailed(failed(t.conn, sent, err))
	}
	if answers[0].err != nil {
		return refusedBeforeCommit(answers[0], 1)
	}
	if len(answers) == 1 {
		return lost(err)
	}
	if t.readOnly {
		return committedRead(answers[0].results[0], answers[1])
	}
	return committed(answers[0].results[0], answers[0].results[1], answers[1], stepResult{})
}

// committedRead is the answer to the commit of a read-only transaction, which has no effect. The later of the two
// positions covers what the transaction saw, even if the target dropped a part of its log meanwhile.
func committedRead(before stepResult, afterwards segmentResult) Answer {
	first, err := before.status()
	if err != nil || afterwards.err != nil {
		return refusedBySelf(model.ReasonTargetUnavailable, "the target did not tell its position")
	}
	last, err := afterwards.results[0].status()
	if err != nil {
		return refusedBySelf(model.ReasonTargetUnavailable, err.Error())
	}
	return Answer{Result: model.Done(), Status: last, Position: first.Position.Max(last.Position)}
}

// commitFailed reports a COMMIT that was not sent as a transaction that is rolled back.
func commitFailed(a Answer) Answer {
	if a.Failure == FailureNotSent {
		return rolledBack(a)
	}
	return a
}

// Rollback implements Transaction. The outcome is done in every case, because the target rolls back a transaction whose
// connection is closed.
func (t *pinned) Rollback(ctx context.Context) Answer {
	if !t.busy.TryLock() {
		return refusedBySelf(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.busy.Unlock()
	if t.conn == nil {
		return ended()
	}
	defer t.end()
	if _, err := t.conn.run(ctx, segment{{sql: sqlRollback}}, resetSession); err != nil && !errors.Is(err, context.Canceled) {
		t.pool.log.Debug("target: rollback got no answer, the connection is closed")
	}
	return Answer{Result: model.Done()}
}
