package retry

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Kind is the kind of a request, which determines whether it can be retried.
type Kind uint8

const (
	// KindRead is an autocommit statement without side effects.
	KindRead Kind = iota + 1
	// KindWrite is an autocommit write.
	KindWrite
	// KindBegin opens an explicit transaction.
	KindBegin
	// KindInTransaction is a statement inside an explicit transaction.
	KindInTransaction
	// KindCommit commits an explicit transaction.
	KindCommit
	// KindRollback ends an explicit transaction and discards its changes.
	KindRollback
)

// inTransaction reports whether the request belongs to an open transaction. After a failure the state of the transaction
// is unknown, so only the caller can retry the transaction as a whole.
func (k Kind) inTransaction() bool {
	return k == KindInTransaction || k == KindCommit || k == KindRollback
}

// Attempt describes a completed attempt of a request.
type Attempt struct {
	Kind Kind
	// Idempotent means that running the request twice has the same effect as running it once. This holds for reads,
	// writes with an entry in the request ledger, and writes that the caller declared idempotent.
	Idempotent bool
	// Result is the result of the attempt.
	Result model.Result
	// Number is the number of attempts made so far, including this one.
	Number int
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Cause is the cause of a decision, a stable code for logs and metrics.
type Cause string

// Causes of decisions.
const (
	CauseRetry          Cause = "retry"
	CauseDone           Cause = "done"
	CauseInTransaction  Cause = "in_transaction"
	CauseMayHaveRun     Cause = "may_have_run"
	CauseFinal          Cause = "final"
	CauseAttemptsUsedUp Cause = "attempts_used_up"
	CauseTimeUsedUp     Cause = "time_used_up"
	CauseBudgetUsedUp   Cause = "budget_used_up"
)

// Decision is the decision whether and after which delay a request is retried. A zero delay means immediately.
type Decision struct {
	Retry bool
	Delay time.Duration
	Cause Cause
}

// Policy configures retries. Zero fields use the defaults.
type Policy struct {
	// MaxAttempts limits the attempts of a request.
	MaxAttempts int
	// BaseDelay is the maximum of the first backoff. It doubles with each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MinRemaining is the minimum remaining time after the delay.
	MinRemaining time.Duration
}

// Defaults of Policy. With full jitter, the delays between 20 attempts add up to 3.6 s on average, which is longer than
// most failovers.
const (
	DefaultMaxAttempts  = 20
	DefaultBaseDelay    = 10 * time.Millisecond
	DefaultMaxDelay     = 500 * time.Millisecond
	DefaultMinRemaining = 2 * time.Millisecond
)

func (p Policy) withDefaults() Policy {
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	if p.BaseDelay == 0 {
		p.BaseDelay = DefaultBaseDelay
	}
	if p.MaxDelay == 0 {
		p.MaxDelay = DefaultMaxDelay
	}
	if p.MinRemaining == 0 {
		p.MinRemaining = DefaultMinRemaining
	}
	return p
}

// Decide determines whether to retry after attempt. jitter is a random number in [0, 1). The budget is charged only if all
// other conditions allow the retry.
func (p Policy) Decide(now time.Time, attempt Attempt, budget *Budget, jitter float64) Decision {
	p = p.withDefaults()
	if cause := p.refusalCause(attempt); cause != "" {
		return Decision{Cause: cause}
	}
	delay := p.delay(attempt, jitter)
	if delay+p.MinRemaining > attempt.Remaining {
		return Decision{Cause: CauseTimeUsedUp}
	}
	if !budget.TrySpend(now) {
		return Decision{Cause: CauseBudgetUsedUp}
	}
	return Decision{Retry: true, Delay: delay, Cause: CauseRetry}
}

// refusalCause returns the cause that forbids a retry regardless of the remaining time and budget, or "".
func (p Policy) refusalCause(attempt Attempt) Cause {
	result := attempt.Result
	switch {
	case result.Outcome == model.OutcomeDone:
		return CauseDone
	case attempt.Kind.inTransaction():
		return CauseInTransaction
	case result.Outcome != model.OutcomeNotRun && !attempt.isRepeatable():
		return CauseMayHaveRun
	case ClassOf(result.Reason) == ClassFinal:
		return CauseFinal
	case attempt.Number >= p.MaxAttempts:
		return CauseAttemptsUsedUp
	}
	return ""
}

// isRepeatable reports whether the request may run twice. A begin is not repeatable, because a second transaction would
// occupy another connection.
func (a Attempt) isRepeatable() bool {
	return a.Kind == KindRead || a.Kind == KindWrite && a.Idempotent
}

// delay returns the delay before the next attempt. The first retry on another connection or host has no backoff.
func (p Policy) delay(attempt Attempt, jitter float64) time.Duration {
	retryAfter := attempt.Result.RetryAfter
	if attempt.Number <= 1 && ClassOf(attempt.Result.Reason) == ClassRetryElsewhere {
		return retryAfter
	}
	return max(retryAfter, p.Backoff(attempt.Number, jitter))
}

// Backoff returns the delay after the given number of attempts: jitter times a limit that doubles with each attempt. Full
// jitter spreads the retries of requests that failed at the same time.
func (p Policy) Backoff(attempts int, jitter float64) time.Duration {
	p = p.withDefaults()
	limit := p.BaseDelay
	for i := 1; i < attempts && limit < p.MaxDelay; i++ {
		limit *= 2
	}
	return time.Duration(jitter * float64(min(limit, p.MaxDelay)))
}
