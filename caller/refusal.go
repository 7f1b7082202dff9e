package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	goahttp "goa.design/goa/v3/http"

	gencaller "github.com/waxwingspindle/waxwingspindle/gen/caller"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Classes of refusals; the design maps each to an HTTP status.
const (
	classBadRequest       = "bad_request"
	classUnauthorized     = "unauthorized"
	classForbidden        = "forbidden"
	classNotFound         = "not_found"
	classConflict         = "conflict"
	classStatementRefused = "statement_refused"
	classRateExceeded     = "rate_exceeded"
	classUnavailable      = "unavailable"
	classUnknown          = "outcome_unknown"
)

// classes maps the reasons of requests that did not run to classes; other reasons are "unavailable".
var classes = map[model.Reason]string{
	model.ReasonBadRequest:          classBadRequest,
	model.ReasonSessionTokenInvalid: classBadRequest,
	model.ReasonSessionStateRefused: classBadRequest,
	model.ReasonKeyMissing:          classUnauthorized,
	model.ReasonKeyInvalid:          classUnauthorized,
	model.ReasonServiceForbidden:    classForbidden,
	model.ReasonTransactionForeign:  classForbidden,
	model.ReasonServiceUnknown:      classNotFound,
	model.ReasonTransactionLost:     classConflict,
	model.ReasonTransactionBusy:     classConflict,
	model.ReasonRequestIDConflict:   classConflict,
	model.ReasonStatementRefused:    classStatementRefused,
	model.ReasonAnswerTooLarge:      classStatementRefused,
	model.ReasonRateExceeded:        classRateExceeded,
}

// refusal returns the error body of a result other than done.
func refusal(r model.Result, requestID string) *gencaller.Refusal {
	class := classUnknown
	if r.Outcome == model.OutcomeNotRun {
		class = classUnavailable
		if c, ok := classes[r.Reason]; ok {
			class = c
		}
	}
	out := &gencaller.Refusal{Name: class, Outcome: r.Outcome.String(), Reason: string(r.Reason), Detail: r.Detail,
		RequestID: requestID}
	if r.RetryAfter > 0 {
		ms := max(r.RetryAfter.Milliseconds(), 1)
		out.RetryAfterMs = &ms
		seconds := strconv.FormatInt((ms+999)/1000, 10)
		out.RetryAfter = &seconds
	}
	return out
}

// errorBody is the JSON body of every answer other than done.
type errorBody struct {
	Name         string `json:"name"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs *int64 `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
	status       int
}

// StatusCode implements goahttp.Statuser. It is used for faults that the HTTP layer finds itself; the status of a
// refusal comes from the design.
func (e *errorBody) StatusCode() int { return e.status }

// format returns the error body for refusals and for faults that the HTTP layer finds itself. A request with such a
// fault did not run.
func format(_ context.Context, err error) goahttp.Statuser {
	var r *gencaller.Refusal
	if errors.As(err, &r) {
		return &errorBody{Name: r.Name, Outcome: r.Outcome, Reason: r.Reason, Detail: r.Detail,
			RetryAfterMs: r.RetryAfterMs, RequestID: r.RequestID}
	}
	e := &errorBody{Name: classBadRequest, Outcome: model.OutcomeNotRun.String(),
		Reason: string(model.ReasonBadRequest), Detail: err.Error(), status: http.StatusBadRequest}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || isTooLarge(e.Detail) {
		e.status, e.Detail = http.StatusRequestEntityTooLarge, "the body is larger than 1 MiB"
	}
	return e
}

// isTooLarge recognises the body limit in an error that goa has turned into text.
func isTooLarge(detail string) bool { return detail == (&http.MaxBytesError{}).Error() }
