// Package model defines the identifiers and values that all packages share.
package model

import "time"

type (
	// HostID identifies a host, a machine that runs a daemon.
	HostID string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Workspace is the name of a workspace, which groups callers' keys under a common rate and burst.
	Workspace string
	// Service is the name of a service, a replication group of targets.
	Service string
	// TargetID identifies a target, one database of a service.
	TargetID string
	// KeyID identifies a caller's key. It is the public part of the key.
	KeyID string
	// Incarnation identifies one start of a host. It increases with each start.
	Incarnation uint64
)

// Position is a position in the log of a replication group.
type Position struct {
	Term   uint64 // term of the primary that wrote the entry
	Offset uint64 // index of the entry in the log
}

// Covers reports whether a member at position p has every entry that a session at position q has observed. Both the term
// and the offset must be at least those of q, because the logs of different terms may have diverged.
func (p Position) Covers(q Position) bool {
	return p.Term >= q.Term && p.Offset >= q.Offset
}

// Max returns the greater of p and q, ordered by term and then by offset.
func (p Position) Max(q Position) Position {
	if q.Term > p.Term || q.Term == p.Term && q.Offset > p.Offset {
		return q
	}
	return p
}

// Outcome states whether a request ran.
type Outcome uint8

const (
	// OutcomeDone means that the request ran and that its effects are durable.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that the request was refused and certainly did not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the name that is sent to callers.
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

// Reason is a stable error code that explains an outcome.
type Reason string

// Reason codes in responses, logs and metrics.
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

// Result is the outcome of a request and its explanation.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string        // human-readable explanation without secrets
	RetryAfter time.Duration // time after which a retry may succeed, or zero if unknown
}

// Done returns the result of a request that ran.
func Done() Result { return Result{Outcome: OutcomeDone} }

// NotRun returns the result of a request that certainly did not run.
func NotRun(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns the result of a request that may have run.
func Unknown(reason Reason, detail string) Result {
	return Result{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}
