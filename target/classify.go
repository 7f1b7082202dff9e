package target

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	codeReadOnly        = "25006"
	codeUniqueViolation = "23505"
	codeQueryCanceled   = "57014"
)

// targetErrorClasses are the SQLSTATE classes of errors that are caused by the state of the target rather than by the
// statement: connection, resource, operator intervention, system and internal errors.
var targetErrorClasses = []string{"08", "53", "57", "58", "XX"}

// refusedResponse returns the response to an error that the target reported before the transaction could commit, so that
// the request had no effect.
func refusedResponse(err *pgconn.PgError) Response {
	return Response{
		Result:  model.NotRun(refusalReason(err.Code), err.Message+" (SQLSTATE "+err.Code+")"),
		Failure: FailureRefused,
		Code:    err.Code,
	}
}

func refusalReason(code string) model.Reason {
	switch code {
	case codeReadOnly:
		return model.ReasonNoPrimary
	case codeQueryCanceled:
		return model.ReasonDeadlineExceeded
	}
	for _, class := range targetErrorClasses {
		if strings.HasPrefix(code, class) {
			return model.ReasonTargetUnavailable
		}
	}
	return model.ReasonStatementRefused
}

// isFatal reports whether the target closes the connection after the error.
func isFatal(err *pgconn.PgError) bool {
	return err.Severity == "FATAL" || err.Severity == "PANIC"
}

// notSentResponse returns the response when no bytes of the request were sent.
func notSentResponse(err error) Response {
	reason := model.ReasonTargetUnavailable
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = model.ReasonDeadlineExceeded
	}
	response := Response{Result: model.NotRun(reason, "not sent: "+err.Error()), Failure: FailureNotSent}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		response.Code = pgErr.Code
	}
	return response
}

// lostResponse returns the response when bytes of the request were sent and the connection failed.
func lostResponse(err error) Response {
	reason := model.ReasonConnectionLost
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLarge):
		reason = model.ReasonAnswerTooLarge
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		reason = model.ReasonDeadlineExceeded
	}
	return Response{Result: model.Unknown(reason, "no answer: "+err.Error()), Failure: FailureLost}
}

// failedResponse distinguishes an unsent request from a lost one by comparing the connection's count of sent bytes with
// its value before the request.
func failedResponse(c *connection, sentBefore int64, err error) Response {
	if c.netConn.bytesSent.Load() == sentBefore {
		return notSentResponse(err)
	}
	return lostResponse(err)
}
