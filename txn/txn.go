// Package txn tracks the open explicit transactions of a home and encodes the handles that callers use to refer to them.
//
// The package does no I/O and reads no clock: callers pass the current time and perform the returned actions. A Table is
// not safe for concurrent use.
package txn

import "github.com/waxwingspindle/waxwingspindle/model"

// Error is an error of this package. Every Error means that the statement was not run.
type Error string

// Error implements error.
func (e Error) Error() string { return string(e) }

// Errors of this package.
const (
	ErrMalformed        Error = "the transaction handle cannot be read"
	ErrInvalidSignature Error = "the transaction handle is not authentic"
	ErrNotOwner         Error = "the transaction belongs to another workspace, key or service"
	ErrLost             Error = "the transaction does not exist any more"
	ErrBusy             Error = "another request is using the transaction"
	ErrPinLimit         Error = "the workspace has its fair part of the connections in transactions"
	ErrDraining         Error = "the host is leaving and begins no transactions"
)

// Reason returns the reason that is reported to the caller. It is the same for an invalid signature and for a malformed
// handle.
func (e Error) Reason() model.Reason {
	switch e {
	case ErrNotOwner:
		return model.ReasonTransactionForeign
	case ErrLost:
		return model.ReasonTransactionLost
	case ErrBusy:
		return model.ReasonTransactionBusy
	case ErrPinLimit:
		return model.ReasonOverload
	case ErrDraining:
		return model.ReasonDraining
	}
	return model.ReasonBadRequest
}

// Result returns the result that is reported to the caller.
func (e Error) Result() model.Result {
	return model.NotRun(e.Reason(), string(e))
}
