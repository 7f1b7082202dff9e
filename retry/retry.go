package retry

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Kind tells what a request is, as far as a retry depends on it.
type Kind uint8

const (
	// KindRead is an autocommit statement without effect.
	KindRead Kind = iota + 1
	// KindWrite is an autocommit write.
	KindWrite
	// KindBegin opens an explicit transaction.
	KindBegin
	// KindInTransaction is a statement inside an explicit transaction.
	KindInTransaction
	// KindCommit ends an explicit transaction.
	KindCommit
	// KindRollback ends an explicit transaction without effect.
	KindRollback
)

// inTransaction reports whether the kind belongs to an open transaction. After any failure the state of the transaction
// is in doubt, so only the caller can repeat it as a whole.
func (k Kind) inTransaction() bool {
	return k == KindInTransaction || k == KindCommit || k == KindRollback
}

// Attempt describes an attempt that has ended and its request.
type Attempt struct {
	Kind Kind
	// Idempotent means that running the request twice has the effect of once: a read, a write with its entry in the
	// request ledger, or a write that the caller declared idempotent.
	Idempotent bool
	// Result is the result of the attempt.
	Result model.Result
	// Attempts counts the attempts that were made, with this one.
	Number int
	// Remaining is the time that the request has left.
	Remaining time.Duration
}

// Cause explains a decision. It is a stable code for logs and metrics.
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

// Decision tells whether the request is tried again, and after which delay. A zero delay means now.
type Decision struct {
	Retry bool
	Delay time.Duration
	Cause Cause
}

// Policy has the settings of retries. The zero value stands for the defaults.
type Policy struct {
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// BaseDelay is the bound of the first backoff, which doubles with each attempt up to MaxDelay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MinRemaining is the time that must be left after the delay.
	MinRemaining time.Duration
}

// Defaults of Policy. With full jitter the waits between 20 attempts add up to 3.6 s on average, which
// spans a failover in most cases.
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

// Decide decides about the next attempt. jitter is a random number from 0 up to, but not including, 1. The budget pays
// for a retry, and only for one that everything else allows.
func (p Policy) Decide(now time.Time, attempt Attempt, budget *Budget, jitter float64) Decision {
	p = p.withDefaults()
	if cause := p.refuse(attempt); cause != "" {
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

// refuse returns the cause that forbids a retry, whatever time and budget are left.
func (p Policy) refuse(attempt Attempt) Cause {
	result := attempt.Result
	switch {
	case result.Outcome == model.OutcomeDone:
		return CauseDone
	case attempt.Kind.inTransaction():
		return CauseInTransaction
	case result.Outcome != model.OutcomeNotRun && !attempt.repeatable():
		return CauseMayHaveRun
	case ClassOf(result.Reason) == ClassFinal:
		return CauseFinal
	case attempt.Number >= p.MaxAttempts:
		return CauseAttemptsUsedUp
	}
	return ""
}

// repeatable reports whether the request may run twice. A transaction that was begun twice holds a second connection, so
// a begin is never repeatable.
func (a Attempt) repeatable() bool {
	return a.Kind == KindRead || a.Kind == KindWrite && a.Idempotent
}

// delay returns the wait before the next attempt. The first retry of a request that may succeed elsewhere does not wait.
func (p Policy) delay(attempt Attempt, jitter float64) time.Duration {
	wait := attempt.Result.RetryAfter
	if attempt.Number <= 1 && ClassOf(attempt.Result.Reason) == ClassRetryElsewhere {
		return wait
	}
	return max(wait, p.Backoff(attempt.Number, jitter))
}

// Backoff returns the wait after the given number of attempts: jitter times a bound that doubles with each attempt (full
// jitter, so that requests that failed together are not repeated together).
func (p Policy) Backoff(attempts int, jitter float64) time.Duration {
	p = p.withDefaults()
	bound := p.BaseDelay
	for i := 1; i < attempts && bound < p.MaxDelay; i++ {
		bound *= 2
	}
	return time.Duration(jitter * float64(min(bound, p.MaxDelay)))
}
