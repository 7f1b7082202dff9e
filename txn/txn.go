// Package txn keeps the explicit transactions of a home and makes their handles.
//
// The package is pure: the time is an argument, and what has to be done is returned. A Table is not safe for concurrent
// use.
package txn

import "github.com/waxwingspindle/waxwingspindle/model"

// Error is a refusal of this package. All of them mean that the statement has not run.
type Error string

// Error returns the explanation.
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

// Reason returns the reason that a caller sees. A forged handle looks like a malformed one.
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

// Result returns the refusal that a caller sees.
func (e Error) Result() model.Result {
	return model.NotRun(e.Reason(), string(e))
}
