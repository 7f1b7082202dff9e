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

// serverTroubles are the classes of SQLSTATE codes that speak of the target's state and not of the statement:
// connection, resources, operator intervention, system and internal errors.
var serverTroubles = []string{"08", "53", "57", "58", "XX"}

// refused is the answer when the target reported an error before the transaction could commit, so that the request has
// no effect.
func refused(err *pgconn.PgError) Answer {
	return Answer{
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
	for _, class := range serverTroubles {
		if strings.HasPrefix(code, class) {
			return model.ReasonTargetUnavailable
		}
	}
	return model.ReasonStatementRefused
}

// fatal reports whether the target ended the connection together with the error.
func fatal(err *pgconn.PgError) bool {
	return err.Severity == "FATAL" || err.Severity == "PANIC"
}

// notSent is the answer when no byte of the request left this host.
func notSent(err error) Answer {
	reason := model.ReasonTargetUnavailable
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = model.ReasonDeadlineExceeded
	}
	a := Answer{Result: model.NotRun(reason, "not sent: "+err.Error()), Failure: FailureNotSent}
	var fromTarget *pgconn.PgError
	if errors.As(err, &fromTarget) {
		a.Code = fromTarget.Code
	}
	return a
}

// lost is the answer when bytes of the request were sent and the connection failed.
func lost(err error) Answer {
	reason := model.ReasonConnectionLost
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.As(err, &tooLarge):
		reason = model.ReasonAnswerTooLarge
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		reason = model.ReasonDeadlineExceeded
	}
	return Answer{Result: model.Unknown(reason, "no answer: "+err.Error()), Failure: FailureLost}
}

// failed tells a request that was not sent from one that was lost, by the bytes that were sent.
func failed(c *connection, sentBefore int64, err error) Answer {
	if c.clock.sent.Load() == sentBefore {
		return notSent(err)
	}
	return lost(err)
}
