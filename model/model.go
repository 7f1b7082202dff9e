// Package model defines the identifiers and values that all packages share.
package model

import "time"

type (
	// HostID names a host, a machine that runs a daemon.
	HostID string
	// DataCentre names a data centre.
	DataCentre string
	// Workspace names a workspace, the unit that keys, rates and bursts belong to.
	Workspace string
	// Service names a service, one replicated group of targets.
	Service string
	// TargetID names a target, one database of a service.
	TargetID string
	// KeyID is the public part of a caller's key.
	KeyID string
	// Incarnation tells the starts of a host apart. A later start has a greater incarnation.
	Incarnation uint64
)

// Position is a position in a group's replicated log.
type Position struct {
	Term   uint64 // term of the primary that wrote the entry
	Offset uint64 // number of the entry in the log
}

// Covers reports whether a member at p has everything that a session at q has seen. Both parts are compared, because
// offsets of different terms count along different histories.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.Offset >= q.Offset
}

// Later returns the greater of p and q, ordered by term and then by offset.
func (p Position) Max(q Position) Position {
	if q.Term > p.Term || q.Term == p.Term && q.Offset > p.Offset {
		return q
	}
	return p
}

// Outcome tells what became of a request.
type Outcome uint8

const (
	// OutcomeDone means that the request ran and its effect is durable.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that the request was refused and is proven not to have run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
)

// String returns the name that callers see.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	}
	return "invalid"
}

// Reason is a stable code that explains an outcome.
type Reason string

// Reasons that callers, logs and metrics share.
const (
	ReasonNone                  Reason = ""
	ReasonBadRequest            Reason = "bad_request"
	ReasonKeyMissing            Reason = "key_missing"
	ReasonKeyInvalid            Reason = "key_invalid"
	ReasonServiceUnknown        Reason = "service_unknown"
	ReasonServiceForbidden      Reason = "service_forbidden"
	ReasonSessionTokenInvalid   Reason = "session_token_invalid"
	ReasonRateExceeded          Reason = "rate_exceeded"
	ReasonQueueFull             Reason = "queue_full"
	ReasonDeadlineExceeded      Reason = "deadline_exceeded"
	ReasonConfigurationStale    Reason = "configuration_stale"
	ReasonDraining              Reason = "draining"
	ReasonOverload              Reason = "overload"
	ReasonHomeUnreachable       Reason = "home_unreachable"
	ReasonNoPrimary             Reason = "no_primary"
	ReasonTargetUnavailable     Reason = "target_unavailable"
	ReasonDurabilityUnconfirmed Reason = "durability_unconfirmed"
	ReasonConnectionLost        Reason = "connection_lost"
	ReasonTransactionLost       Reason = "transaction_lost"
	ReasonTransactionForeign    Reason = "transaction_foreign"
	ReasonTransactionBusy       Reason = "transaction_busy"
	ReasonStatementRefused      Reason = "statement_refused"
	ReasonSessionStateRefused   Reason = "session_state_refused"
	ReasonRequestIDConflict     Reason = "request_id_conflict"
	ReasonAnswerTooLarge        Reason = "answer_too_large"
)

// Result is the outcome of a request with its explanation.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string        // explanation for people, without secrets
	RetryAfter time.Duration // time after which a repetition may succeed, zero when not known
}

// Done returns the result of a request that ran.
func Done() Result { return Result{Outcome: OutcomeDone} }

// NotRun returns the result of a request that is proven not to have run.
func NotRun(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns the result of a request that may have run.
func Unknown(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
