package retry

import "time"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// minRetriesPerSecond is the retry rate that is always allowed.
	minRetriesPerSecond = 10.0
	// maxRequestTokens limits the retries that requests can accumulate. It covers the requests in flight at a failover.
	// Without a limit, an hour without failures would allow a retry storm.
	maxRequestTokens = 100.0
)

// Budget is the retry budget of a host: 10% of its requests, but at least 10 retries per second. It is not safe for
// concurrent use.
//
// It consists of two token buckets, one filled by requests and one by time. A retry is allowed if either bucket has a
// token, and takes a token from both. The allowed rate is therefore the maximum of the two rates, not their sum.
type Budget struct {
	requestTokens float64 // tokens added by requests
	timeTokens    float64 // tokens added over time
	refilledAt    time.Time
}

// NewBudget returns a budget with the minimum number of retries for one second.
func NewBudget(now time.Time) *Budget {
	return &Budget{timeTokens: minRetriesPerSecond, refilledAt: now}
}

// CountRequest adds the tokens for the first attempt of a request.
func (b *Budget) CountRequest() {
	b.requestTokens = min(b.requestTokens+retriesPerRequest, maxRequestTokens)
}

// TrySpend takes the tokens for a retry and reports whether the budget allows it.
func (b *Budget) TrySpend(now time.Time) bool {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.timeTokens = min(b.timeTokens+elapsed.Seconds()*minRetriesPerSecond, minRetriesPerSecond)
		b.refilledAt = now
	}
	// The tolerance compensates for rounding when fractions of a token are added.
	const minTokens = 1 - 1e-9
	if b.requestTokens < minTokens && b.timeTokens < minTokens {
		return false
	}
	b.requestTokens = max(0, b.requestTokens-1)
	b.timeTokens = max(0, b.timeTokens-1)
	return true
}
