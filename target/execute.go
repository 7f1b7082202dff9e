package target

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// LedgerSchema creates the table of the request ledger in a service's database. It is replicated like any other table.
const LedgerSchema = `CREATE TABLE IF NOT EXISTS waxwingspindle_request (
	workspace text NOT NULL,
	request_id text NOT NULL,
	statement_hash text NOT NULL,
	created_at timestamptz NOT NULL DEFAULT now(),
	PRIMARY KEY (workspace, request_id)
)`

const (
	sqlBegin         = "BEGIN"
	sqlBeginReadOnly = "BEGIN READ ONLY"
	sqlCommit        = "COMMIT"
	sqlRollback      = "ROLLBACK"
	sqlDiscardAll    = "DISCARD ALL"
	sqlLedgerInsert  = "INSERT INTO waxwingspindle_request (workspace, request_id, statement_hash) VALUES ($1, $2, $3)"
	sqlLedgerSelect  = "SELECT statement_hash FROM waxwingspindle_request WHERE workspace = $1 AND request_id = $2"
	sqlLedgerPrune   = "DELETE FROM waxwingspindle_request WHERE (workspace, request_id) IN " +
		"(SELECT workspace, request_id FROM waxwingspindle_request WHERE created_at < now() - make_interval(secs => $1) LIMIT $2)"
)

const detailTransactionControl = "statements that open or end a transaction are refused here"

var (
	stepStatus   = step{sql: sqlStatus}
	stepCommit   = step{sql: sqlCommit}
	resetSegment = segment{{sql: sqlDiscardAll}}
)

func (s Statement) step() step { return step{sql: s.SQL, args: s.encodedArgs()} }

// Steps of the pipelined transaction of a read; step 0 is BEGIN.
const (
	readStatusBefore = iota + 1
	readStatement
	readStatusAfter
)

// Read implements Executor. The target's status is read in the same transaction before and after the statement, so the
// check against mark applies to the data that the statement read.
func (p *Pool) Read(ctx context.Context, s Statement, mark model.Position) Response {
	if controlsTransaction(s.SQL) {
		return rejectedResponse(model.ReasonStatementRefused, detailTransactionControl)
	}
	c, err := p.acquire(ctx)
	if err != nil {
		return notSentResponse(err)
	}
	defer p.release(c)
	c.dirty = true
	sentBefore := c.netConn.bytesSent.Load()
	results, err := c.run(ctx, segment{{sql: sqlBeginReadOnly}, stepStatus, s.step(), stepStatus, stepCommit}, resetSegment)
	if len(results) == 0 {
		return failedReadResponse(c, sentBefore, err)
	}
	return readResponse(results[0], mark)
}

// failedReadResponse returns the response when no result arrived. A read whose result exceeds the message limit of the
// connection had no effect.
func failedReadResponse(c *connection, sentBefore int64, err error) Response {
	response := failedResponse(c, sentBefore, err)
	if response.Result.Reason == model.ReasonAnswerTooLarge {
		return rejectedResponse(model.ReasonAnswerTooLarge, detailReadTooLarge)
	}
	return response
}

const detailReadTooLarge = "the answer is larger than the limit; the read had no effect"

// readResponse checks the position before the error of the statement, which data that is too old may have caused.
func readResponse(r segmentResult, mark model.Position) Response {
	if len(r.steps) > readStatusBefore {
		before, err := r.steps[readStatusBefore].parseStatus()
		if err != nil {
			return rejectedResponse(model.ReasonTargetUnavailable, err.Error())
		}
		if !before.CanServe(mark) {
			return behindResponse(before)
		}
	}
	if r.err != nil {
		return refusedResponse(r.err)
	}
	return readRowsResponse(r.steps)
}

func readRowsResponse(steps []stepResult) Response {
	before, err := steps[readStatusBefore].parseStatus()
	if err != nil {
		return rejectedResponse(model.ReasonTargetUnavailable, err.Error())
	}
	after, err := steps[readStatusAfter].parseStatus()
	if err != nil {
		return rejectedResponse(model.ReasonTargetUnavailable, err.Error())
	}
	// A term change may have truncated the log, so that the statement read less than the first status covers.
	if before.AdoptedTerm != after.AdoptedTerm {
		return behindResponse(after)
	}
	if steps[readStatement].tooLarge {
		return rejectedResponse(model.ReasonAnswerTooLarge, detailReadTooLarge)
	}
	return Response{Result: model.Done(), Rows: steps[readStatement].rows, Status: after, Position: after.Position}
}

func behindResponse(status MemberStatus) Response {
	response := rejectedResponse(model.ReasonTargetUnavailable, "the target's data does not cover the session")
	response.Failure, response.Status = FailureBehind, status
	return response
}

// rejectedResponse returns the response when this package, rather than the target, rejects a request or discards the
// result of a request without an effect.
func rejectedResponse(reason model.Reason, detail string) Response {
	return Response{Result: model.NotRun(reason, detail), Failure: FailureRefused}
}

// Steps of the pipelined transaction of a write; step 0 is BEGIN.
const (
	writeLedger = iota + 1
	writeStatement
	writeStatus
	writeCommit
)

// Write implements Executor. The ledger entry and the statement are one transaction. The same pipeline reads the status
// before the commit, to get the term of the write, and after it. The later position covers the write only if the target
// was the primary of the same term throughout: a target that changed its term may have truncated the write.
func (p *Pool) Write(ctx context.Context, r Request, s Statement) Response {
	if controlsTransaction(s.SQL) {
		return rejectedResponse(model.ReasonStatementRefused, detailTransactionControl)
	}
	c, err := p.acquire(ctx)
	if err != nil {
		return notSentResponse(err)
	}
	defer p.release(c)
	c.dirty = true
	hash := s.hash()
	entry := step{sql: sqlLedgerInsert, args: [][]byte{[]byte(r.Workspace), []byte(r.ID), []byte(hash)}}
	sentBefore := c.netConn.bytesSent.Load()
	results, err := c.run(ctx, segment{{sql: sqlBegin}, entry, s.step(), stepStatus, stepCommit},
		segment{stepStatus}, resetSegment)
	if len(results) == 0 {
		return failedResponse(c, sentBefore, err)
	}
	if transaction := results[0]; transaction.err != nil {
		if len(transaction.steps) == writeLedger && transaction.err.Code == codeUniqueViolation {
			return c.resolveDuplicate(ctx, r, hash)
		}
		return commitErrorResponse(transaction, writeCommit)
	}
	if len(results) == 1 {
		return lostResponse(err)
	}
	return committedResponse(results[0].steps[writeStatus], results[0].steps[writeCommit], results[1],
		results[0].steps[writeStatement])
}

// commitErrorResponse returns the response to an error in a transaction whose COMMIT is the given step. The outcome is
// unknown if the error closed the connection during COMMIT.
func commitErrorResponse(r segmentResult, commitStep int) Response {
	if len(r.steps) == commitStep && isFatal(r.err) {
		return lostResponse(r.err)
	}
	return refusedResponse(r.err)
}

// committedResponse returns the response to a transaction for which all results arrived.
func committedResponse(before, commit stepResult, afterCommit segmentResult, statement stepResult) Response {
	if commit.tag != sqlCommit {
		return rejectedResponse(model.ReasonStatementRefused, "the target rolled the transaction back")
	}
	after, err := statusInSameTerm(before, afterCommit)
	if err != nil {
		return lostResponse(err)
	}
	response := Response{Result: model.Done(), Rows: statement.rows, Status: after, Position: after.Position}
	if statement.tooLarge {
		response.Result.Reason = model.ReasonAnswerTooLarge
		response.Result.Detail = "the statement ran and is committed; its answer is larger than the limit and was dropped"
	}
	return response
}

var (
	errTermChanged        = errors.New("the target stopped being the primary during the commit")
	errLedgerEntryDeleted = errors.New("the ledger entry went away while it was read")
)

// statusInSameTerm returns the status after a commit if the target was the primary of the same term before and after it.
func statusInSameTerm(before stepResult, afterCommit segmentResult) (MemberStatus, error) {
	if afterCommit.err != nil {
		return MemberStatus{}, afterCommit.err
	}
	statusBefore, err := before.parseStatus()
	if err != nil {
		return MemberStatus{}, err
	}
	statusAfter, err := afterCommit.steps[0].parseStatus()
	if err != nil {
		return MemberStatus{}, err
	}
	if !statusBefore.IsPrimary() || !statusAfter.IsPrimary() || statusBefore.AdoptedTerm != statusAfter.AdoptedTerm {
		return MemberStatus{}, errTermChanged
	}
	return statusAfter, nil
}

// Steps of the transaction that looks up a ledger entry; step 0 is BEGIN.
const (
	lookupStatusBefore = iota + 1
	lookupHash
	lookupStatusAfter
)

// resolveDuplicate handles a write whose ledger entry exists, because an earlier attempt with the same request ID was
// committed. The outcome is unknown if the look-up fails, because the earlier statement may have been a different one.
func (c *connection) resolveDuplicate(ctx context.Context, r Request, hash string) Response {
	lookup := step{sql: sqlLedgerSelect, args: [][]byte{[]byte(r.Workspace), []byte(r.ID)}}
	results, err := c.run(ctx, segment{{sql: sqlRollback}},
		segment{{sql: sqlBeginReadOnly}, stepStatus, lookup, stepStatus, stepCommit}, resetSegment)
	if len(results) < 2 {
		return lostResponse(err)
	}
	found := results[1]
	if found.err != nil {
		return lostResponse(found.err)
	}
	rows := found.steps[lookupHash].rows.Values
	if len(rows) == 0 {
		return lostResponse(errLedgerEntryDeleted)
	}
	if rows[0][0] == nil || *rows[0][0] != hash {
		return rejectedResponse(model.ReasonRequestIDConflict, "the request id was used for another statement")
	}
	after, err := statusInSameTerm(found.steps[lookupStatusBefore], segmentResult{steps: found.steps[lookupStatusAfter:]})
	if err != nil {
		return lostResponse(err)
	}
	return Response{Result: model.Done(), Status: after, Position: after.Position, Duplicate: true}
}

// PruneLedger implements Executor.
func (p *Pool) PruneLedger(ctx context.Context, age time.Duration, limit int) Response {
	c, err := p.acquire(ctx)
	if err != nil {
		return notSentResponse(err)
	}
	defer p.release(c)
	sentBefore := c.netConn.bytesSent.Load()
	seconds := strconv.FormatFloat(age.Seconds(), 'f', 3, 64)
	results, err := c.run(ctx, segment{{sql: sqlLedgerPrune, args: [][]byte{[]byte(seconds), []byte(strconv.Itoa(limit))}}})
	if err != nil {
		return failedResponse(c, sentBefore, err)
	}
	if results[0].err != nil {
		return refusedResponse(results[0].err)
	}
	return Response{Result: model.Done(), Rows: results[0].steps[0].rows}
}
