package runqueue

import (
	"math"
	"time"
)

// meter estimates the work that arrives per second, as an exponentially decaying sum.
type meter struct {
	value     float64 // seconds of work per second at updatedAt
	updatedAt time.Time
}

func (m *meter) add(now time.Time, expected time.Duration) {
	m.value = m.rate(now) + expected.Seconds()/arrivalTimeConstant.Seconds()
	m.updatedAt = now
}

// rate returns the work per second at the given time.
func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}

// mayAlwaysWait reports whether the request is refused only at its deadline.
func (r Request) mayAlwaysWait() bool { return r.InTxn || r.Opening }

// required returns the time that must remain until the given end for the request to start.
func (r Request) required(end time.Time) time.Duration {
	return min(r.Expected, time.Duration(maxRequiredFraction*float64(end.Sub(r.Arrived))))
}

// canMeetTarget reports whether the request meets its latency target if it starts at the given time.
func (r Request) canMeetTarget(at time.Time) bool {
	return !at.Add(r.required(r.LatencyTarget)).After(r.LatencyTarget)
}

// assess returns the refusal of a request that should not be queued, and whether there is one.
func (q *Queue) assess(now time.Time, r Request) (Refuse, bool) {
	if r.mayAlwaysWait() {
		return Refuse{}, false
	}
	wait := q.estimate(now, r)
	reason := Reason(0)
	switch startsAt := now.Add(wait); {
	case !now.Before(r.Deadline), wait > 0 && startsAt.Add(r.required(r.Deadline)).After(r.Deadline):
		reason = Deadline
	case r.Discardable && wait > shortQueueTime && !r.canMeetTarget(startsAt):
		reason = Late
	case q.waiting >= maxWaiting && !q.hasBelow(r.Priority):
		reason = Full
	default:
		return Refuse{}, false
	}
	return Refuse{ID: r.ID, Reason: reason, RetryAfter: q.retryAfter(wait), Wait: wait}, true
}

// refuse refuses a waiting request.
func (q *Queue) refuse(now time.Time, e *entry, reason Reason) {
	q.remove(e)
	wait := q.estimate(now, e.Request)
	q.actions = append(q.actions, Refuse{ID: e.ID, Reason: reason, RetryAfter: q.retryAfter(wait), Wait: wait})
}

// retryAfter returns the time after which a refused caller may come back. It is spread, so that callers who were refused
// together do not return together.
func (q *Queue) retryAfter(wait time.Duration) time.Duration {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(base) * (1 + retrySpread*q.random()))
}

// isLong reports whether the waiting requests other than e take longer than shortQueueTime.
func (q *Queue) isLong(e *entry) bool {
	sum := q.inTxnWork - e.Expected.Seconds()
	for i := range q.classes {
		sum += q.classes[i].work
	}
	return sum > shortQueueTime.Seconds()*float64(q.limit)
}

// estimate returns the expected wait of a request that is enqueued now: the work that goes before it, divided by the part of
// the target that its priority gets. That part is what the arrivals of higher priorities leave, as in Cobham's formula for
// queues with priorities (Operations Research 2, 1954), but at least the floor. It is zero while a slot is free, so that a
// wrong estimate never keeps a target idle.
func (q *Queue) estimate(now time.Time, r Request) time.Duration {
	if len(q.running) < q.limit && q.waiting == 0 {
		return 0
	}
	before := q.inTxnWork
	if len(q.running) >= q.limit {
		before += q.runningWork / 2 // on average, half of a running statement is left
	}
	if r.InTxn {
		return q.waitFor(before, 1)
	}
	higherRate, higherWork := q.inTxnMeter.rate(now), 0.0
	for i := range r.Priority {
		higherRate += q.classes[i].arrivals.rate(now)
		higherWork += q.classes[i].work
	}
	floors := 0.0 // starts that go to lower priorities
	for i := r.Priority + 1; i <= LowestPriority; i++ {
		if q.classes[i].count > 0 {
			floors += floorShare
		}
	}
	own := q.classes[r.Priority].workBefore(r)
	share := max(floorShare, 1-min(floors, maxFloors)-higherRate/float64(q.limit))
	wait := before + higherWork + own
	if higherWork == 0 {
		return q.waitFor(wait, share)
	}
	return min(q.waitFor(wait, share), q.waitFor(before+own/floorShare, 1))
}

// waitFor returns the time in which the given part of the target completes some seconds of work.
func (q *Queue) waitFor(seconds, share float64) time.Duration {
	wait := seconds / (float64(q.limit) * share)
	return time.Duration(min(wait, time.Hour.Seconds()) * float64(time.Second)) // avoids an overflow in the conversion
}

// workBefore returns the work of the class that is expected to start before a new request, in seconds: that of its own
// workspace, in proportion to the workspace's share of the slot time, but at most all of it.
func (c *class) workBefore(r Request) float64 {
	a := c.accounts[r.Workspace]
	if a == nil || len(a.waiting) == 0 {
		// The workspace joins the others. A workspace with usage above the others waits longer, which is not counted,
		// because it led to refusals of requests that would have been in time.
		return min(c.work, c.weights/r.Weight*0.5*r.Expected.Seconds())
	}
	return min(c.work, a.work*c.weights/a.weight)
}

// hasBelow reports whether a request of a lower priority than the given one waits.
func (q *Queue) hasBelow(priority int) bool {
	for i := priority + 1; i <= LowestPriority; i++ {
		if q.classes[i].count > 0 {
			return true
		}
	}
	return false
}

// evictBelow refuses the newest waiting request of the lowest priority, if it is lower than the given one.
func (q *Queue) evictBelow(now time.Time, priority int) {
	for i := LowestPriority; i > priority; i-- {
		var newest *entry
		for _, a := range q.classes[i].active {
			for _, e := range a.waiting {
				if newest == nil || e.Arrived.After(newest.Arrived) {
					newest = e
				}
			}
		}
		if newest != nil {
			q.refuse(now, newest, Full)
			return
		}
	}
}
