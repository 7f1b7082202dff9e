package target

import (
	"context"
	"errors"
	"sync"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// pooledTransaction implements Transaction on a connection of a Pool.
type pooledTransaction struct {
	pool     *Pool
	readOnly bool

	callMu sync.Mutex  // held by the running call
	conn   *connection // nil when the transaction has ended
}

// Begin implements Executor.
func (p *Pool) Begin(ctx context.Context, readOnly bool) (Transaction, Response) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, notSentResponse(err)
	}
	begin := step{sql: sqlBegin}
	if readOnly {
		begin.sql = sqlBeginReadOnly
	}
	c.dirty = true
	sentBefore := c.netConn.bytesSent.Load()
	results, err := c.run(ctx, segment{begin, stepStatus})
	if err != nil {
		p.release(c)
		return nil, failedBeginResponse(failedResponse(c, sentBefore, err))
	}
	if results[0].err != nil {
		p.release(c)
		return nil, refusedResponse(results[0].err)
	}
	status, err := results[0].steps[1].parseStatus()
	if err != nil {
		p.release(c)
		return nil, rejectedResponse(model.ReasonTargetUnavailable, err.Error())
	}
	return &pooledTransaction{pool: p, readOnly: readOnly, conn: c},
		Response{Result: model.Done(), Status: status, Position: status.Position}
}

// failedBeginResponse changes the outcome of a lost BEGIN to not run: the target rolls back a transaction whose
// connection is closed, and no statement was sent in it.
func failedBeginResponse(response Response) Response {
	if response.Failure == FailureLost {
		response.Result.Outcome = model.OutcomeNotRun
	}
	return response
}

// Execute implements Transaction. If the connection is lost, the transaction is not committed, because COMMIT was not
// sent and callers' statements cannot commit.
func (t *pooledTransaction) Execute(ctx context.Context, s Statement) Response {
	if controlsTransaction(s.SQL) {
		return rejectedResponse(model.ReasonStatementRefused, detailTransactionControl)
	}
	if !t.callMu.TryLock() {
		return rejectedResponse(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.callMu.Unlock()
	if t.conn == nil {
		return endedResponse()
	}
	sentBefore := t.conn.netConn.bytesSent.Load()
	results, err := t.conn.run(ctx, segment{s.step()})
	if err != nil {
		response := failedResponse(t.conn, sentBefore, err)
		if response.Failure == FailureNotSent && !t.conn.pg.IsClosed() {
			return response
		}
		t.releaseConnection()
		return rolledBackResponse(response)
	}
	if results[0].err != nil {
		return refusedResponse(results[0].err)
	}
	result := results[0].steps[0]
	if result.tooLarge {
		t.releaseConnection()
		return rejectedResponse(model.ReasonAnswerTooLarge, "the answer is larger than the limit; the transaction is rolled back")
	}
	return Response{Result: model.Done(), Rows: result.rows}
}

// rolledBackResponse changes the result after a lost connection to not run, because the transaction can no longer
// commit.
func rolledBackResponse(response Response) Response {
	response.Result = model.NotRun(model.ReasonTransactionLost, "the transaction is rolled back: "+response.Result.Detail)
	return response
}

func endedResponse() Response {
	return rejectedResponse(model.ReasonTransactionLost, "the transaction has ended")
}

// releaseConnection returns the connection to the pool, which rolls an open transaction back.
func (t *pooledTransaction) releaseConnection() {
	t.pool.release(t.conn)
	t.conn = nil
}

// Commit implements Transaction.
func (t *pooledTransaction) Commit(ctx context.Context) Response {
	if !t.callMu.TryLock() {
		return rejectedResponse(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.callMu.Unlock()
	if t.conn == nil {
		return endedResponse()
	}
	defer t.releaseConnection()
	if t.conn.pg.TxStatus() == 'E' {
		return rejectedResponse(model.ReasonTransactionLost, "the transaction is rolled back, because a statement in it failed")
	}
	sentBefore := t.conn.netConn.bytesSent.Load()
	results, err := t.conn.run(ctx, segment{stepStatus, stepCommit}, segment{stepStatus}, resetSegment)
	if len(results) == 0 {
		return failedCommitResponse(failedResponse(t.conn, sentBefore, err))
	}
	if results[0].err != nil {
		return commitErrorResponse(results[0], 1)
	}
	if len(results) == 1 {
		return lostResponse(err)
	}
	if t.readOnly {
		return readOnlyCommitResponse(results[0].steps[0], results[1])
	}
	return committedResponse(results[0].steps[0], results[0].steps[1], results[1], stepResult{})
}

// readOnlyCommitResponse returns the response to the commit of a read-only transaction, which has no effect. The later of
// the two positions covers everything that the transaction read, even if the target truncated its log in between.
func readOnlyCommitResponse(before stepResult, afterCommit segmentResult) Response {
	statusBefore, err := before.parseStatus()
	if err != nil || afterCommit.err != nil {
		return rejectedResponse(model.ReasonTargetUnavailable, "the target did not tell its position")
	}
	statusAfter, err := afterCommit.steps[0].parseStatus()
	if err != nil {
		return rejectedResponse(model.ReasonTargetUnavailable, err.Error())
	}
	return Response{Result: model.Done(), Status: statusAfter, Position: statusBefore.Position.Max(statusAfter.Position)}
}

// failedCommitResponse reports the transaction as rolled back if COMMIT was not sent.
func failedCommitResponse(response Response) Response {
	if response.Failure == FailureNotSent {
		return rolledBackResponse(response)
	}
	return response
}

// Rollback implements Transaction. The outcome of an open transaction is always done, because the target rolls back a
// transaction whose connection is closed.
func (t *pooledTransaction) Rollback(ctx context.Context) Response {
	if !t.callMu.TryLock() {
		return rejectedResponse(model.ReasonTransactionBusy, "another call of the transaction runs")
	}
	defer t.callMu.Unlock()
	if t.conn == nil {
		return endedResponse()
	}
	defer t.releaseConnection()
	if _, err := t.conn.run(ctx, segment{{sql: sqlRollback}}, resetSegment); err != nil && !errors.Is(err, context.Canceled) {
		t.pool.log.Debug("target: no reply to ROLLBACK, closing the connection")
	}
	return Response{Result: model.Done()}
}
