// Package runqueue decides which of the statements that wait for one target run next, and which are refused at once.
//
// It is designed for more load than the target can handle: one route at 2.5 times or one workspace at 7 times its usual load.
// In order of arrival every caller then waits longer than its latency target, so that the target does work that nobody is
// waiting for any more. The queue serves statements of open transactions first and then by priority, divides the slot time
// of a priority between workspaces by weight, and refuses early what it cannot serve in time, with the time after which to
// come back.
//
// The package performs no I/O and reads no clock: time and randomness are arguments, and the actions are return values. A
// Queue is not safe for concurrent use.
package runqueue

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// DefaultLimit is the limit of a target whose limit is not known. Targets have four slots or more.
	DefaultLimit = 4
	// LowestPriority is the lowest priority that the queue tells apart. Lower ones are served like it.
	LowestPriority = 7
	// DefaultWeight is the weight of a workspace without a rate limit, in operations per second. It is about the mean of
	// the rate limits, so that such a workspace gets the share of a usual one.
	DefaultWeight = 10.0
	// DefaultExpected is the expected time of a statement on the target if none is known.
	DefaultExpected = 10 * time.Millisecond

	// floorShare is the part of the starts that each priority below the highest waiting one gets.
	floorShare = 0.1
	// maxFloors bounds the part of the starts that all floors together take, so that with many priorities the highest one
	// keeps half of the target.
	maxFloors = 0.5
	// maxFloorCredit is the number of starts that a priority may have saved from its floor.
	maxFloorCredit = 1.0
	// maxWaiting bounds the waiting statements, and with them the memory. At 10 ms per statement and 4 slots, 1,000
	// statements wait for 2.5 s, which is longer than most deadlines.
	maxWaiting = 1000
	// shortQueueTime is the expected wait for all waiting statements up to which the queue counts as short. Below it, late
	// statements delay others by less than a quarter of the tightest latency target (150 ms).
	shortQueueTime = 35 * time.Millisecond
	// arrivalTimeConstant is the time constant of the estimated arrival rate of a priority. It covers some hundred
	// statements and is shorter than the bursts, which take seconds.
	arrivalTimeConstant = 500 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is told to come back, about one statement.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is the longest one. Estimates of longer waits are of no use, because the load changes sooner.
	maxRetryAfter = 5 * time.Second
	// affinityWait is the time that a request yields to requests of workspaces with an idle connection, because opening one
	// occupies a slot for as long as a short statement. It is half of the tightest latency target, and at a full target some
	// twenty statements.
	affinityWait = 80 * time.Millisecond
	// retrySpread is the part of the expected wait by which the time to come back is spread.
	retrySpread = 0.5
	// maxRequiredFraction bounds the time that must remain at the start of a request to a fraction of its whole time. So
	// requests that have not waited long start regardless of the expected time, and their times correct it.
	maxRequiredFraction = 0.5
	// maxIdleAccounts is the number of accounts of a priority at which those of idle workspaces are removed.
	maxIdleAccounts = 1024
)

// RequestID identifies a request. The caller of the queue assigns it and does not use it again.
type RequestID uint64

// Request is a statement that is to run on the target, or a connection that is to be opened to it.
type Request struct {
	ID        RequestID
	Workspace model.Workspace
	// Weight is the rate limit of the workspace in operations per second. Workspaces of the same priority share the slot
	// time in proportion to it.
	Weight   float64
	Priority int       // 0 is the highest
	Arrived  time.Time // arrival of the statement at this host
	// LatencyTarget is the time until which an answer meets the latency target of the route.
	LatencyTarget time.Time
	Deadline      time.Time // time at which the request is refused if it has not started
	// Expected is the expected time on the target.
	Expected time.Duration
	// InTxn marks statements of open transactions and commits. They go before all others and are refused only at their
	// deadline.
	InTxn bool
	// Opening marks the opening of a connection for statements that have no slot yet. Openings don't wait for the limit,
	// because statements that have a slot may wait for the connection; at most SetMaxOpenings of them run at once, and they
	// count as running, so that fewer statements start. They are refused only at their deadline.
	Opening bool
	// Discardable marks requests of routes to which a late answer is worth little.
	Discardable bool
}

// Reason is the reason of a refusal.
type Reason uint8

const (
	// Deadline means that the request cannot be served before its deadline, or that the deadline has passed.
	Deadline Reason = iota + 1
	// Late means that the request would be answered after its latency target, while the queue is long.
	Late
	// Full means that the queue holds its maximum number of requests.
	Full
	// Closed means that the target has left.
	Closed
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return [...]string{"none", "deadline", "late", "full", "closed"}[r] }

// Action is a decision on a request: Start or Refuse.
type Action interface{ action() }

// Start tells the caller to run the request, and to call Finish afterwards.
type Start struct{ ID RequestID }

// Refuse rejects a request, which has not run.
type Refuse struct {
	ID     RequestID
	Reason Reason
	// RetryAfter is the time after which the caller may come back: the expected wait, spread at random.
	RetryAfter time.Duration
	// Wait is the expected wait of the request without the spread, for logs.
	Wait time.Duration
}

func (Start) action()  {}
func (Refuse) action() {}

// entry is a waiting or running request.
type entry struct {
	Request
	account   *account // nil in transactions
	startedAt time.Time
	charged   float64 // slot time charged to the account, in the scale of the epoch
}

// account is the use of the target by one workspace in one priority.
type account struct {
	workspace model.Workspace
	weight    float64
	usage     float64 // slot time used, decaying, in the scale of the epoch
	waiting   []*entry
	running   int
	work      float64 // expected time of the waiting requests in seconds
}

// class holds the requests of one priority.
type class struct {
	accounts map[model.Workspace]*account
	active   []*account // accounts with waiting requests
	count    int        // waiting requests
	work     float64    // expected time of the waiting requests in seconds
	weights  float64    // sum of the weights of active
	credit   float64    // starts due from the floor
	arrivals meter
}

// Queue holds the requests for one target. Create it with New.
type Queue struct {
	limit         int
	random        func() float64
	decay         fairqueue.Decay
	classes       [LowestPriority + 1]class
	inTxn         []*entry
	inTxnWork     float64
	inTxnMeter    meter
	running       map[RequestID]*entry
	runningWork   float64 // expected time of the running requests in seconds
	waiting       int
	waitingOpen   []*entry                // openings in order of arrival
	openings      int                     // running openings
	maxOpenings   int                     // bound of openings
	recoveryUntil time.Time               // end of the recovery time, see SetRecovery
	idle          map[model.Workspace]int // idle connections to the target, without those that started requests will use
	actions       []Action                // actions of the call in progress
}

// New returns an empty queue for a target that runs up to limit requests at once. random returns numbers in [0, 1).
func New(limit int, random func() float64) *Queue {
	q := &Queue{limit: limit, random: random, running: map[RequestID]*entry{}, idle: map[model.Workspace]int{}}
	if limit <= 0 {
		q.limit = DefaultLimit
	}
	q.maxOpenings = q.limit
	for i := range q.classes {
		q.classes[i].accounts = map[model.Workspace]*account{}
	}
	return q
}

// SetMaxOpenings sets the number of connections that may be opened at once, initially the limit. The slots of the target are
// the right number: every opening occupies one.
func (q *Queue) SetMaxOpenings(n int) { q.maxOpenings = max(1, n) }

// SetRecovery states that all hosts were lost, and that callers return together until the given time. Until then the
// highest priority is served before all others, without the floors of the lower ones, and no more requests run at once than
// connections may be opened, because every statement needs a new connection.
func (q *Queue) SetRecovery(until time.Time) { q.recoveryUntil = until }

// currentLimit returns the number of requests that may run at once now.
func (q *Queue) currentLimit(now time.Time) int {
	if now.Before(q.recoveryUntil) {
		return min(q.limit, q.maxOpenings)
	}
	return q.limit
}

// SetLimit changes the number of requests that may run at once. It ignores a limit of 0 or less. Running requests continue.
func (q *Queue) SetLimit(now time.Time, limit int) []Action {
	if limit <= 0 || limit == q.limit {
		return nil
	}
	q.limit = limit
	return q.dispatch(now)
}

// SetIdle states how many idle connections of a workspace to the target there are.
func (q *Queue) SetIdle(workspace model.Workspace, connections int) {
	if connections <= 0 {
		delete(q.idle, workspace)
		return
	}
	q.idle[workspace] = connections
}

// Sanitize replaces invalid fields of a request by safe defaults and names the invalid fields, or returns "".
func Sanitize(now time.Time, r Request) (Request, string) {
	invalid := ""
	if r.Priority < 0 {
		// An invalid priority must not displace statements of a valid one.
		r.Priority, invalid = LowestPriority, invalid+" priority"
	}
	r.Priority = min(r.Priority, LowestPriority)
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	if !r.LatencyTarget.After(r.Arrived) {
		r.LatencyTarget, invalid = r.Deadline, invalid+" latency_target"
	}
	if math.IsNaN(r.Weight) || math.IsInf(r.Weight, 0) || r.Weight < 0 {
		r.Weight, invalid = 0, invalid+" weight"
	}
	if r.Weight == 0 {
		r.Weight = DefaultWeight
	}
	if r.Expected <= 0 {
		r.Expected = DefaultExpected
	}
	return r, invalid
}

// Enqueue adds a request. This call or a later one returns the Start or Refuse action for it. Actions for other requests
// may be among them.
func (q *Queue) Enqueue(now time.Time, r Request) []Action {
	r, _ = Sanitize(now, r)
	if refusal, refused := q.assess(now, r); refused {
		return []Action{refusal}
	}
	if q.waiting >= maxWaiting && !r.mayAlwaysWait() {
		q.evictBelow(now, r.Priority)
	}
	q.add(now, &entry{Request: r})
	return q.dispatch(now)
}

// Finish frees the slot of a request that has started. It ignores others.
func (q *Queue) Finish(now time.Time, id RequestID) []Action {
	e := q.running[id]
	if e == nil {
		return nil
	}
	delete(q.running, id)
	q.runningWork = max(0, q.runningWork-e.Expected.Seconds())
	if len(q.running) == 0 {
		q.runningWork = 0 // removes rounding errors
	}
	if e.Opening {
		q.openings--
	}
	if e.account != nil {
		q.advanceEpoch(now)
		e.account.running--
		e.account.usage += q.decay.SlotTime(e.startedAt, now) - e.charged
	}
	return q.dispatch(now)
}

// Tick refuses the requests whose deadline has passed. It must be called some 50 times a second.
func (q *Queue) Tick(now time.Time) []Action {
	for _, e := range q.expired(now) {
		q.refuse(now, e, Deadline)
	}
	return q.dispatch(now)
}

// RefuseAll refuses all waiting requests, because the target has left. Running requests continue.
func (q *Queue) RefuseAll(now time.Time) []Action {
	for _, e := range q.all(func(*entry) bool { return true }) {
		q.refuse(now, e, Closed)
	}
	return q.takeActions()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Limit returns the number of requests that may run at once.
func (q *Queue) Limit() int { return q.limit }

// Wait returns the expected wait of a request if it were enqueued now.
func (q *Queue) Wait(now time.Time, r Request) time.Duration {
	r, _ = Sanitize(now, r)
	return q.estimate(now, r)
}

func (q *Queue) takeActions() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}
