package retry

import "time"

const (
	// budgetRatio is the part of requests that may be retries.
	budgetRatio = 0.1
	// budgetFloor is the number of retries per second that are always allowed.
	budgetFloor = 10.0
	// budgetBurst bounds the retries at once that the part of requests has earned. It covers the requests in flight at
	// a failover; without a bound, a quiet hour would pay for a storm of retries.
	budgetBurst = 100.0
)

// Budget is the retry budget of a host: 10% of its requests, but at least 10 retries a second. It is not safe for
// concurrent use.
//
// It holds two buckets, one filled by requests and one by time. A retry is allowed if either has a token, and takes one
// from both; so the allowed rate is the greater of the two and not their sum.
type Budget struct {
	earned float64 // tokens from requests
	floor  float64 // tokens from time
	filled time.Time
}

// NewBudget returns a budget that holds a second of the minimum.
func NewBudget(now time.Time) *Budget {
	return &Budget{floor: budgetFloor, filled: now}
}

// Request counts a first attempt.
func (b *Budget) CountRequest() {
	b.earned = min(b.earned+budgetRatio, budgetBurst)
}

// Spend takes a retry from the budget and reports whether it was allowed.
func (b *Budget) TrySpend(now time.Time) bool {
	if passed := now.Sub(b.filled); passed > 0 {
		b.floor = min(b.floor+passed.Seconds()*budgetFloor, budgetFloor)
		b.filled = now
	}
	// The sum of many tenths falls short of a whole by rounding.
	const token = 1 - 1e-9
	if b.earned < token && b.floor < token {
		return false
	}
	b.earned = max(0, b.earned-1)
	b.floor = max(0, b.floor-1)
	return true
}
