package runqueue

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
)

// baselines are the ways that the queue is compared with.
var baselines = map[string]func(seed uint64) discipline{
	"order of arrival": newArrivalOrder,
	"CoDel":            func(uint64) discipline { return &codel{fifo: fifo{limit: slots + 1}} },
	"DAGOR":            func(uint64) discipline { return &dagor{fifo: fifo{limit: slots + 1}, level: LowestPriority + 1} },
	"slot time only":   newSlotTime,
	"priority only":    func(uint64) discipline { return &strictPriority{limit: slots + 1} },
}

// arrivalOrder sends every statement to the target at once, as a host does that has no queue, and retries after BUSY.
type arrivalOrder struct{ attempts map[RequestID]int }

func newArrivalOrder(uint64) discipline { return &arrivalOrder{map[RequestID]int{}} }

func (a *arrivalOrder) Enqueue(_ time.Time, r Request) []Action { return []Action{Start{r.ID}} }
func (a *arrivalOrder) Finish(time.Time, RequestID) []Action    { return nil }
func (a *arrivalOrder) Tick(time.Time) []Action                 { return nil }
func (a *arrivalOrder) retry(r *simRequest) bool {
	a.attempts[r.ID]++
	return a.attempts[r.ID] < 5
}

// fifo serves in order of arrival up to a limit and refuses at the latency target.
type fifo struct {
	limit, running int
	waiting        []Request
}

func (f *fifo) Enqueue(now time.Time, r Request) []Action {
	f.waiting = append(f.waiting, r)
	return f.dispatch(now, func(Request) bool { return false })
}

func (f *fifo) Finish(now time.Time, _ RequestID) []Action {
	f.running--
	return f.dispatch(now, func(Request) bool { return false })
}

func (f *fifo) Tick(time.Time) []Action { return nil }

func (f *fifo) dispatch(now time.Time, drop func(Request) bool) []Action {
	var actions []Action
	for f.running < f.limit && len(f.waiting) > 0 {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		if drop(r) || !now.Before(r.LatencyTarget) {
			actions = append(actions, Refuse{ID: r.ID, Reason: Late})
			continue
		}
		f.running++
		actions = append(actions, Start{r.ID})
	}
	return actions
}

// codel drops at the head when the wait was above 20 ms for 100 ms (Nichols and Jacobson, ACM Queue 2012), without the
// square root law: every request whose wait is above the target is dropped then.
type codel struct {
	fifo
	aboveSince time.Time
}

func (c *codel) drop(now time.Time) func(Request) bool {
	return func(r Request) bool {
		if now.Sub(r.Arrived) <= 20*time.Millisecond {
			c.aboveSince = time.Time{}
			return false
		}
		if c.aboveSince.IsZero() {
			c.aboveSince = now
		}
		return now.Sub(c.aboveSince) > 100*time.Millisecond
	}
}

func (c *codel) Enqueue(now time.Time, r Request) []Action {
	c.waiting = append(c.waiting, r)
	return c.dispatch(now, c.drop(now))
}

func (c *codel) Finish(now time.Time, _ RequestID) []Action {
	c.running--
	return c.dispatch(now, c.drop(now))
}

// dagor admits up to a level of priority that falls when the mean wait of a second is above 20 ms and rises otherwise
// (Zhou et al., SoCC 2018). The second level by user, which DAGOR has as well, is the hash of the workspace here.
type dagor struct {
	fifo
	level     float64 // admitted are requests whose priority and user are below it
	waited    time.Duration
	started   int
	updatedAt time.Time
}

func (d *dagor) Enqueue(now time.Time, r Request) []Action {
	if now.Sub(d.updatedAt) > time.Second/4 {
		if d.started > 0 && d.waited/time.Duration(d.started) > 20*time.Millisecond {
			d.level = max(0.5, d.level-0.25)
		} else {
			d.level = min(LowestPriority+1, d.level+0.05)
		}
		d.waited, d.started, d.updatedAt = 0, 0, now
	}
	d.level = min(d.level, 3) // the priorities of the simulation
	user := 0.0
	for _, b := range []byte(r.Workspace) {
		user = float64((int(user)*31 + int(b)) % 100)
	}
	if float64(r.Priority)+user/100 >= d.level {
		return []Action{Refuse{ID: r.ID, Reason: Late}}
	}
	d.waiting = append(d.waiting, r)
	return d.measure(now)
}

func (d *dagor) Finish(now time.Time, _ RequestID) []Action {
	d.running--
	return d.measure(now)
}

func (d *dagor) measure(now time.Time) []Action {
	return d.dispatch(now, func(r Request) bool {
		d.waited += now.Sub(r.Arrived)
		d.started++
		return false
	})
}

// slotTime is fairqueue: fair between workspaces, without priorities.
type slotTime struct {
	queue   *fairqueue.Queue
	ids     map[fairqueue.Ticket]RequestID
	tickets map[RequestID]fairqueue.Ticket
}

func newSlotTime(uint64) discipline {
	q, err := fairqueue.New(fairqueue.Config{Slots: slots + 1})
	if err != nil {
		panic(err)
	}
	return &slotTime{q, map[fairqueue.Ticket]RequestID{}, map[RequestID]fairqueue.Ticket{}}
}

func (s *slotTime) Enqueue(now time.Time, r Request) []Action {
	ticket, actions := s.queue.Push(now, fairqueue.Request{Workspace: r.Workspace, Deadline: r.LatencyTarget})
	s.ids[ticket], s.tickets[r.ID] = r.ID, ticket
	return s.convert(actions)
}

func (s *slotTime) Finish(now time.Time, id RequestID) []Action {
	return s.convert(s.queue.Finish(now, s.tickets[id]))
}

func (s *slotTime) Tick(now time.Time) []Action { return s.convert(s.queue.Expire(now)) }

func (s *slotTime) convert(actions []fairqueue.Action) []Action {
	var list []Action
	for _, a := range actions {
		if a.Start {
			list = append(list, Start{s.ids[a.Ticket]})
		} else {
			list = append(list, Refuse{ID: s.ids[a.Ticket], Reason: Late})
		}
	}
	return list
}

// strictPriority serves by priority and then in order of arrival, without fairness, floors and early refusals.
type strictPriority struct {
	limit, running int
	waiting        []Request
}

func (s *strictPriority) Enqueue(now time.Time, r Request) []Action {
	index := slices.IndexFunc(s.waiting, func(other Request) bool { return other.Priority > r.Priority })
	if index < 0 {
		index = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, index, r)
	return s.dispatch(now)
}

func (s *strictPriority) Finish(now time.Time, _ RequestID) []Action {
	s.running--
	return s.dispatch(now)
}

func (s *strictPriority) Tick(time.Time) []Action { return nil }

func (s *strictPriority) dispatch(now time.Time) []Action {
	f := fifo{limit: s.limit, running: s.running, waiting: s.waiting}
	actions := f.dispatch(now, func(Request) bool { return false })
	s.running, s.waiting = f.running, f.waiting
	return actions
}
