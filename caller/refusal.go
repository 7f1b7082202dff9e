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

// Error classes. The API design maps each to an HTTP status.
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

// classByReason maps the reasons of requests that did not run to error classes. Other reasons belong to classUnavailable.
var classByReason = map[model.Reason]string{
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

// newRefusal returns the error body of a result whose outcome is not done.
func newRefusal(r model.Result, requestID string) *gencaller.Refusal {
	class := classUnknown
	if r.Outcome == model.OutcomeNotRun {
		class = classUnavailable
		if c, ok := classByReason[r.Reason]; ok {
			class = c
		}
	}
	body := &gencaller.Refusal{Name: class, Outcome: r.Outcome.String(), Reason: string(r.Reason), Detail: r.Detail,
		RequestID: requestID}
	if r.RetryAfter > 0 {
		ms := max(r.RetryAfter.Milliseconds(), 1)
		body.RetryAfterMs = &ms
		seconds := strconv.FormatInt((ms+999)/1000, 10)
		body.RetryAfter = &seconds
	}
	return body
}

// errorBody is the JSON body of every error response.
type errorBody struct {
	Name         string `json:"name"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Detail       string `json:"detail"`
	RetryAfterMs *int64 `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
	status       int
}

// StatusCode implements goahttp.Statuser. It is used only for errors that the HTTP layer detects; the status of a Refusal
// is defined in the API design.
func (e *errorBody) StatusCode() int { return e.status }

// formatError returns the error body of a Refusal or of an error that the HTTP layer detects. In the latter case the
// request did not run.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var refusal *gencaller.Refusal
	if errors.As(err, &refusal) {
		return &errorBody{Name: refusal.Name, Outcome: refusal.Outcome, Reason: refusal.Reason, Detail: refusal.Detail,
			RetryAfterMs: refusal.RetryAfterMs, RequestID: refusal.RequestID}
	}
	body := &errorBody{Name: classBadRequest, Outcome: model.OutcomeNotRun.String(),
		Reason: string(model.ReasonBadRequest), Detail: err.Error(), status: http.StatusBadRequest}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || isTooLarge(body.Detail) {
		body.status, body.Detail = http.StatusRequestEntityTooLarge, "the body is larger than 1 MiB"
	}
	return body
}

// isTooLarge reports whether the text is that of http.MaxBytesError, because goa converts the error to text.
func isTooLarge(detail string) bool { return detail == (&http.MaxBytesError{}).Error() }
