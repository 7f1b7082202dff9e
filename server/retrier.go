package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/metrics"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/retry"
)

// retrier decides about repetitions under the retry budget of a host, and waits before them.
type retrier struct {
	policy  retry.Policy
	metrics *metrics.Metrics
	log     *decisionLog

	mu     sync.Mutex
	budget *retry.Budget
}

func newRetrier(m *metrics.Metrics, log *decisionLog) *retrier {
	return &retrier{metrics: m, log: log, budget: retry.NewBudget(time.Now())}
}

// request counts a first attempt.
func (r *retrier) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.CountRequest()
}

// again reports whether the request is tried again, after having waited for the backoff. Reads, and writes with an entry
// in the request ledger, are idempotent.
func (r *retrier) again(ctx context.Context, s model.Service, kind retry.Kind, result model.Result, attempts int) bool {
	attempt := retry.Attempt{Kind: kind, Idempotent: kind == retry.KindRead || kind == retry.KindWrite, Result: result,
		Number: attempts, Remaining: time.Until(deadlineOf(ctx))}
	r.mu.Lock()
	d := r.policy.Decide(time.Now(), attempt, r.budget, rand.Float64())
	r.mu.Unlock()
	if !d.Retry {
		return false
	}
	r.metrics.Retry(s, result.Reason)
	r.log.decision("retry: trying again", zap.String("service", string(s)), zap.String("reason", string(result.Reason)),
		zap.Int("attempts", attempts), zap.Duration("delay", d.Delay))
	return sleep(ctx, d.Delay)
}

// lastResult keeps the outcome true: when an earlier attempt may have run, a later attempt that did not run proves nothing
// about it.
func lastResult(r model.Result, mayHaveRun bool) model.Result {
	if mayHaveRun && r.Outcome == model.OutcomeNotRun {
		return model.Unknown(r.Reason, "an earlier attempt may have run; last attempt: "+r.Detail)
	}
	return r
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
