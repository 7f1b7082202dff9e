package runqueue

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// add puts a request into the queue.
func (q *Queue) add(now time.Time, e *entry) {
	q.waiting++
	if e.Opening {
		q.waitingOpen = append(q.waitingOpen, e)
		return
	}
	if e.InTxn {
		q.inTxn = append(q.inTxn, e)
		q.inTxnWork += e.Expected.Seconds()
		q.inTxnMeter.add(now, e.Expected)
		return
	}
	c := &q.classes[e.Priority]
	a := c.account(e.Request)
	if len(a.waiting) == 0 {
		c.active = append(c.active, a)
		c.weights += a.weight
	}
	e.account = a
	index := len(a.waiting)
	for index > 0 && a.waiting[index-1].Arrived.After(e.Arrived) {
		index--
	}
	a.waiting = slices.Insert(a.waiting, index, e)
	a.work += e.Expected.Seconds()
	c.work += e.Expected.Seconds()
	c.count++
	c.arrivals.add(now, e.Expected)
}

// remove takes a waiting request out of the queue.
func (q *Queue) remove(e *entry) {
	q.waiting--
	if e.Opening {
		q.waitingOpen = without(q.waitingOpen, e)
		return
	}
	if e.InTxn {
		q.inTxn = without(q.inTxn, e)
		q.inTxnWork = work(q.inTxnWork, e, len(q.inTxn))
		return
	}
	c, a := &q.classes[e.Priority], e.account
	a.waiting = without(a.waiting, e)
	a.work = work(a.work, e, len(a.waiting))
	c.count--
	c.work = work(c.work, e, c.count)
	if len(a.waiting) == 0 {
		c.active = without(c.active, a)
		c.weights -= a.weight
	}
	if len(c.active) == 0 {
		c.weights = 0 // removes rounding errors
	}
}

// work returns the sum of expected times without that of a removed entry. It is 0 if no entry is left.
func work(sum float64, removed *entry, left int) float64 {
	if left == 0 {
		return 0
	}
	return max(0, sum-removed.Expected.Seconds())
}

func without[T comparable](list []T, element T) []T {
	index := slices.Index(list, element)
	return slices.Delete(list, index, index+1)
}

// account returns the account of a request's workspace and creates it if necessary.
func (c *class) account(r Request) *account {
	a := c.accounts[r.Workspace]
	if a == nil {
		if len(c.accounts) >= maxIdleAccounts {
			maps.DeleteFunc(c.accounts, func(_ model.Workspace, a *account) bool { return len(a.waiting) == 0 && a.running == 0 })
		}
		a = &account{workspace: r.Workspace, weight: r.Weight}
		c.accounts[r.Workspace] = a
	}
	if a.weight != r.Weight { // the operators have changed the limit
		if len(a.waiting) > 0 {
			c.weights += r.Weight - a.weight
		}
		a.weight = r.Weight
	}
	return a
}

// dispatch starts requests while the limit allows it, and returns the actions of the call in progress.
func (q *Queue) dispatch(now time.Time) []Action {
	for q.openings < q.maxOpenings && len(q.waitingOpen) > 0 {
		if e := q.waitingOpen[0]; now.Before(e.Deadline) {
			q.start(now, e)
		} else {
			q.refuse(now, e, Deadline)
		}
	}
	for len(q.running) < q.currentLimit(now) && q.waiting > len(q.waitingOpen) {
		e := q.next(now)
		switch {
		case !now.Before(e.Deadline):
			q.refuse(now, e, Deadline)
		case e.Discardable && !e.InTxn && !e.canMeetTarget(now) && q.isLong(e):
			q.refuse(now, e, Late)
		default:
			q.start(now, e)
		}
	}
	return q.takeActions()
}

// start gives a slot to a waiting request.
func (q *Queue) start(now time.Time, e *entry) {
	q.remove(e)
	e.startedAt = now
	q.running[e.ID] = e
	q.runningWork += e.Expected.Seconds()
	q.actions = append(q.actions, Start{e.ID})
	if !e.InTxn && !e.Opening && q.idle[e.Workspace] > 0 {
		q.SetIdle(e.Workspace, q.idle[e.Workspace]-1)
	}
	if e.Opening {
		q.openings++
	}
	if e.account == nil {
		return
	}
	q.settleFloors(e.Priority)
	q.charge(now, e)
}

// charge charges the expected slot time to the account of a request that starts. Finish corrects it. A workspace that was
// idle has less usage than the others; its credit is bounded, so that it does not take all slots at its return.
func (q *Queue) charge(now time.Time, e *entry) {
	q.advanceEpoch(now)
	a := e.account
	if next := q.classes[e.Priority].leastServed(a); next != nil {
		a.usage = max(a.usage, next.usage/next.weight*a.weight-fairqueue.MaxCredit*q.decay.Weight(now))
	}
	e.charged = q.decay.SlotTime(now, now.Add(e.Expected))
	a.usage += e.charged
	a.running++
}

// advanceEpoch rescales the usages when the epoch of the decay is old.
func (q *Queue) advanceEpoch(now time.Time) {
	scale, advanced := q.decay.Advance(now)
	if !advanced {
		return
	}
	for i := range q.classes {
		for _, a := range q.classes[i].accounts {
			a.usage *= scale
		}
	}
	for _, e := range q.running {
		e.charged *= scale
	}
}

// leastServed returns the active account with the least usage for its weight, other than the excluded one.
func (c *class) leastServed(excluded *account) *account {
	var least *account
	for _, a := range c.active {
		if a != excluded && (least == nil || a.usage*least.weight < least.usage*a.weight) {
			least = a
		}
	}
	return least
}

// next returns the request that starts next. At least one other than openings must be waiting.
func (q *Queue) next(now time.Time) *entry {
	if len(q.inTxn) > 0 {
		return q.inTxn[0]
	}
	highest := q.highestWaiting()
	if !now.Before(q.recoveryUntil) {
		for i := highest + 1; i <= LowestPriority; i++ {
			if c := &q.classes[i]; c.count > 0 && c.credit >= 1 {
				return q.nextOf(c, now)
			}
		}
	}
	return q.nextOf(&q.classes[highest], now)
}

// nextOf returns the request of a class with waiting requests that starts next: of the least served workspace, or of one that
// is not served much better and has an idle connection, unless the request of the former has waited for affinityWait.
func (q *Queue) nextOf(c *class, now time.Time) *entry {
	least := c.leastServed(nil)
	first := least.next(now)
	if len(q.idle) == 0 || q.idle[least.workspace] > 0 || now.Sub(first.Arrived) >= affinityWait {
		return first
	}
	limit := least.usage/least.weight + fairqueue.MaxCredit*q.decay.Weight(now)/least.weight
	var connected *account
	for _, a := range c.active {
		usage := a.usage / a.weight
		if q.idle[a.workspace] > 0 && usage <= limit && (connected == nil || usage < connected.usage/connected.weight) {
			connected = a
		}
	}
	if connected == nil {
		return first
	}
	return connected.next(now)
}

// highestWaiting returns the highest priority with a waiting request.
func (q *Queue) highestWaiting() int {
	for i := range q.classes {
		if q.classes[i].count > 0 {
			return i
		}
	}
	return LowestPriority
}

// next returns the first request that can still meet its latency target, or the first one if none can.
func (a *account) next(now time.Time) *entry {
	for _, e := range a.waiting {
		if e.canMeetTarget(now) {
			return e
		}
	}
	return a.waiting[0]
}

// settleFloors counts a start of the given priority: each lower waiting priority earns its floor, and the served one has
// used up its credit.
func (q *Queue) settleFloors(priority int) {
	highest := min(q.highestWaiting(), priority)
	floor := q.floor(highest)
	for i := highest + 1; i <= LowestPriority; i++ {
		if c := &q.classes[i]; c.count > 0 {
			c.credit = min(c.credit+floor, maxFloorCredit)
		}
	}
	served := &q.classes[priority]
	served.credit = max(0, served.credit-1)
}

// floor returns the part of the starts that each priority below the given one gets.
func (q *Queue) floor(highest int) float64 {
	lower := 0
	for i := highest + 1; i <= LowestPriority; i++ {
		if q.classes[i].count > 0 {
			lower++
		}
	}
	return min(floorShare, maxFloors/math.Max(1, float64(lower)))
}

// all returns the waiting requests that match.
func (q *Queue) all(match func(*entry) bool) []*entry {
	var list []*entry
	collect := func(entries []*entry) {
		for _, e := range entries {
			if match(e) {
				list = append(list, e)
			}
		}
	}
	collect(q.waitingOpen)
	collect(q.inTxn)
	for i := range q.classes {
		for _, a := range q.classes[i].active {
			collect(a.waiting)
		}
	}
	return list
}

// expired returns the waiting requests whose deadline has passed.
func (q *Queue) expired(now time.Time) []*entry {
	if q.waiting == 0 {
		return nil
	}
	return q.all(func(e *entry) bool { return !now.Before(e.Deadline) })
}
