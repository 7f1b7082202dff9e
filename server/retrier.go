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

// retrier applies the retry policy and the retry budget of the host, and waits for the backoff before retries.
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

// countRequest adds a first attempt to the retry budget.
func (r *retrier) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.CountRequest()
}

// waitForRetry decides whether a request is retried, and waits for the backoff. It returns false if the request must not be
// retried or the context is done. Reads, and writes with an entry in the request ledger, count as idempotent.
func (r *retrier) waitForRetry(ctx context.Context, s model.Service, kind retry.Kind, result model.Result,
	attempts int) bool {
	attempt := retry.Attempt{Kind: kind, Idempotent: kind == retry.KindRead || kind == retry.KindWrite, Result: result,
		Number: attempts, Remaining: time.Until(deadlineOf(ctx))}
	r.mu.Lock()
	d := r.policy.Decide(time.Now(), attempt, r.budget, rand.Float64())
	r.mu.Unlock()
	if !d.Retry {
		return false
	}
	r.metrics.CountRetry(s, result.Reason)
	r.log.decision("retry: retrying request", zap.String("service", string(s)), zap.String("reason", string(result.Reason)),
		zap.Int("attempts", attempts), zap.Duration("delay", d.Delay))
	return sleep(ctx, d.Delay)
}

// finalResult returns the result of the last attempt. If an earlier attempt may have run and the last one did not, the
// outcome is unknown, because the last attempt proves nothing about the earlier one.
func finalResult(r model.Result, mayHaveRun bool) model.Result {
	if mayHaveRun && r.Outcome == model.OutcomeNotRun {
		return model.Unknown(r.Reason, "an earlier attempt may have run; last attempt: "+r.Detail)
	}
	return r
}

// sleep waits for a duration. It returns false if the context is done first.
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
