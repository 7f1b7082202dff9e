package retry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var start = time.Unix(1000, 0)

// Guards against treating a request as not run after bytes of it were sent, and against other outcomes that the stage of
// a failure does not prove.
func TestResultOfStages(t *testing.T) {
	refused := model.NotRun(model.ReasonNoPrimary, "")
	for name, test := range map[string]struct {
		failure HopError
		outcome model.Outcome
		reason  model.Reason
	}{
		"rejected locally": {
			HopError{Stage: StageLocal, Reason: model.ReasonQueueFull}, model.OutcomeNotRun, model.ReasonQueueFull,
		},
		"not connected": {
			HopError{Stage: StageConnect}, model.OutcomeNotRun, model.ReasonTargetUnavailable,
		},
		"home not connected": {
			HopError{Stage: StageConnect, Reason: model.ReasonHomeUnreachable}, model.OutcomeNotRun, model.ReasonHomeUnreachable,
		},
		"no byte sent": {
			HopError{Stage: StageUnsent}, model.OutcomeNotRun, model.ReasonConnectionLost,
		},
		"bytes sent": {
			HopError{Stage: StageSent}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
		"bytes sent, deadline passed": {
			HopError{Stage: StageSent, Reason: model.ReasonDeadlineExceeded}, model.OutcomeUnknown, model.ReasonDeadlineExceeded,
		},
		"peer refused": {
			HopError{Stage: StageAnswered, Answer: refused}, model.OutcomeNotRun, model.ReasonNoPrimary,
		},
		"peer reports unknown": {
			HopError{Stage: StageAnswered, Answer: model.Unknown(model.ReasonDurabilityUnconfirmed, "")},
			model.OutcomeUnknown, model.ReasonDurabilityUnconfirmed,
		},
		"empty answer": {
			HopError{Stage: StageAnswered}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
		"invalid outcome": {
			HopError{Stage: StageAnswered, Answer: model.Result{Outcome: 99}}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
		"answer field before StageAnswered": {
			HopError{Stage: StageSent, Answer: refused}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
		"no stage": {
			HopError{}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
		"invalid stage": {
			HopError{Stage: 99}, model.OutcomeUnknown, model.ReasonConnectionLost,
		},
	} {
		got := test.failure.Result()
		if got.Outcome != test.outcome || got.Reason != test.reason {
			t.Errorf("%s: %s, %s", name, got.Outcome, got.Reason)
		}
	}
	var failure HopError
	if err := fmt.Errorf("hop: %w", HopError{Stage: StageSent}); !errors.As(err, &failure) || failure.Stage != StageSent {
		t.Errorf("errors.As does not find the HopError in %v", err)
	}
}

var classByReason = map[model.Reason]Class{
	model.ReasonConnectionLost: ClassRetryElsewhere, model.ReasonDraining: ClassRetryElsewhere,
	model.ReasonHomeUnreachable: ClassTransient, model.ReasonNoPrimary: ClassTransient,
	model.ReasonTargetUnavailable: ClassTransient, model.ReasonDurabilityUnconfirmed: ClassTransient,
	model.ReasonNone: ClassFinal, model.ReasonBadRequest: ClassFinal, model.ReasonKeyMissing: ClassFinal,
	model.ReasonKeyInvalid: ClassFinal, model.ReasonServiceUnknown: ClassFinal,
	model.ReasonServiceForbidden: ClassFinal, model.ReasonSessionTokenInvalid: ClassFinal,
	model.ReasonRateExceeded: ClassFinal, model.ReasonQueueFull: ClassFinal, model.ReasonDeadlineExceeded: ClassFinal,
	model.ReasonConfigurationStale: ClassFinal, model.ReasonOverload: ClassFinal,
	model.ReasonTransactionLost: ClassFinal, model.ReasonTransactionForeign: ClassFinal,
	model.ReasonTransactionBusy: ClassFinal, model.ReasonStatementRefused: ClassFinal,
	model.ReasonSessionStateRefused: ClassFinal, model.ReasonRequestIDConflict: ClassFinal,
	model.ReasonAnswerTooLarge: ClassFinal,
}

// expectedCause specifies the decision independently of the implementation: the first rule that applies determines it.
func expectedCause(a Attempt, class Class, hasBudget bool) Cause {
	notRepeatable := a.Kind == KindBegin || a.Kind == KindWrite && !a.Idempotent
	rules := []struct {
		applies bool
		cause   Cause
	}{
		{a.Result.Outcome == model.OutcomeDone, CauseDone},
		{a.Kind == KindInTransaction || a.Kind == KindCommit || a.Kind == KindRollback, CauseInTransaction},
		{a.Result.Outcome == model.OutcomeUnknown && notRepeatable, CauseMayHaveRun},
		{class == ClassFinal, CauseFinal},
		{a.Number == 3, CauseAttemptsUsedUp},
		{a.Remaining < 10*time.Millisecond, CauseTimeUsedUp},
		{!hasBudget, CauseBudgetUsedUp},
	}
	for _, rule := range rules {
		if rule.applies {
			return rule.cause
		}
	}
	return CauseRetry
}

// Guards against retries of writes, commits and statements of a transaction that may have run, against retries without
// time or budget, and against charging the budget without a retry. The test covers every combination of the inputs.
func TestDecideEveryCombination(t *testing.T) {
	policy := Policy{MaxAttempts: 3, BaseDelay: 10 * time.Millisecond, MinRemaining: 5 * time.Millisecond}
	checked, retried := 0, 0
	for kind := KindRead; kind <= KindRollback; kind++ {
		for _, idempotent := range []bool{false, true} {
			for outcome := model.OutcomeDone; outcome <= model.OutcomeUnknown; outcome++ {
				for reason, class := range classByReason {
					for attempts := 1; attempts <= 3; attempts++ {
						for _, remaining := range []time.Duration{-time.Second, 0, time.Millisecond, time.Second} {
							for _, hasBudget := range []bool{false, true} {
								attempt := Attempt{kind, idempotent, model.Result{Outcome: outcome, Reason: reason}, attempts, remaining}
								budget := &Budget{refilledAt: start}
								if hasBudget {
									budget.requestTokens = 1
								}
								got := policy.Decide(start, attempt, budget, 0.5)
								checked++
								if cause := expectedCause(attempt, class, hasBudget); got.Cause != cause || got.Retry != (cause == CauseRetry) {
									t.Fatalf("%+v, budget %t: got %+v, want %s", attempt, hasBudget, got, cause)
								}
								if got.Retry {
									retried++
								}
								if spent := hasBudget && budget.requestTokens == 0; spent != got.Retry {
									t.Fatalf("%+v: retry %t, budget spent %t", attempt, got.Retry, spent)
								}
							}
						}
					}
				}
			}
		}
	}
	if checked != 6*2*3*25*3*4*2 || retried == 0 {
		t.Errorf("%d combinations, %d retries", checked, retried)
	}
}

// Guards against synchronized retries after a common failure, and against delays longer than the remaining time.
func TestDelay(t *testing.T) {
	policy := Policy{BaseDelay: 10 * time.Millisecond, MaxDelay: 60 * time.Millisecond, MinRemaining: time.Millisecond}
	decide := func(reason model.Reason, attempts int, jitter float64, retryAfter time.Duration) Decision {
		result := model.NotRun(reason, "")
		result.RetryAfter = retryAfter
		attempt := Attempt{Kind: KindWrite, Result: result, Number: attempts, Remaining: 100 * time.Millisecond}
		return policy.Decide(start, attempt, NewBudget(start), jitter)
	}
	type test struct {
		reason     model.Reason
		attempts   int
		jitter     float64
		retryAfter time.Duration
		want       Decision
	}
	retry := func(delay time.Duration) Decision { return Decision{Retry: true, Delay: delay, Cause: CauseRetry} }
	for _, test := range []test{
		{model.ReasonDraining, 1, 0.9, 0, retry(0)},
		{model.ReasonConnectionLost, 1, 0.9, 30 * time.Millisecond, retry(30 * time.Millisecond)},
		{model.ReasonConnectionLost, 2, 0.5, 0, retry(10 * time.Millisecond)},
		{model.ReasonNoPrimary, 1, 0.5, 0, retry(5 * time.Millisecond)},
		{model.ReasonNoPrimary, 1, 0, 0, retry(0)},
		{model.ReasonNoPrimary, 3, 0.5, 0, retry(20 * time.Millisecond)},
		{model.ReasonNoPrimary, 9, 0.5, 0, retry(30 * time.Millisecond)},
		{model.ReasonNoPrimary, 9, 0.5, 50 * time.Millisecond, retry(50 * time.Millisecond)},
		{model.ReasonNoPrimary, 1, 0.5, 100 * time.Millisecond, Decision{Cause: CauseTimeUsedUp}},
	} {
		if diff := cmp.Diff(test.want, decide(test.reason, test.attempts, test.jitter, test.retryAfter)); diff != "" {
			t.Errorf("%+v: %s", test, diff)
		}
	}
	if got := (Policy{}).Backoff(1000, 0.999); got > DefaultMaxDelay {
		t.Errorf("backoff %s after 1000 attempts", got)
	}
}

// retryRate attempts a retry every millisecond for ten seconds at the given request rate. It returns the allowed retries
// per second, without the first second, which may use the initial tokens.
func retryRate(requestsPerMillisecond int) float64 {
	budget := NewBudget(start)
	allowed := 0
	for i := range 10_000 {
		for range requestsPerMillisecond {
			budget.CountRequest()
		}
		if budget.TrySpend(start.Add(time.Duration(i)*time.Millisecond)) && i >= 1000 {
			allowed++
		}
	}
	return float64(allowed) / 9
}

// Guards against retries that amplify an overload, and against a host with few requests that cannot retry at all.
func TestBudgetRate(t *testing.T) {
	for requests, want := range map[int]float64{0: 10, 1: 100, 5: 500} {
		if got := retryRate(requests); got < want*0.95 || got > want*1.05 {
			t.Errorf("%d requests/s allow %.1f retries/s, want %.0f", requests*1000, got, want)
		}
	}
}

// Guards against a retry storm after a long time without failures.
func TestBudgetBurst(t *testing.T) {
	budget := NewBudget(start)
	for range 1_000_000 {
		budget.CountRequest()
	}
	allowed := 0
	for allowed <= maxRequestTokens && budget.TrySpend(start.Add(time.Hour)) {
		allowed++
	}
	if allowed != maxRequestTokens {
		t.Errorf("%d retries at once", allowed)
	}
	if budget.TrySpend(start) {
		t.Error("an earlier time refilled the budget")
	}
}
