package fairqueue

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// serviceWeight is the weight of a new service time in the moving averages.
	serviceWeight = 0.1
	// usageMemory is the time in which used slot time loses all but 1/e of its weight. It bounds what a workspace owes
	// after slow statements, and what it can claim after a pause, to a second per slot.
	usageMemory = time.Second
	// maxCredit bounds, in seconds of slot time, how far a workspace may run ahead of the next one that waits. Without
	// it, a workspace that comes back after a pause would take every slot for 0.7 of usageMemory.
	maxCredit = 0.2
	// maxExponent is the age of the epoch, in parts of usageMemory, at which a new epoch begins, far from overflow.
	maxExponent = 100
	// maxExpected bounds, in seconds, what is charged at the start of a request, before it has run.
	maxExpected = 1.0
	// maxRemembered bounds the workspaces whose service times are remembered while they are idle.
	maxRemembered = 1024
	// usefulFactor is the multiple of the recent service time that must remain when a request starts. Service times have
	// a long tail, so the mean alone lets many requests start that end too late and waste their slots.
	usefulFactor = 2.0
	// usefulPart is the part of its whole time that a request needs at most to be worth starting.
	usefulPart = 0.5
)

type item struct {
	ticket        Ticket
	request       Request
	entered       time.Time
	owner         *workspace
	previous      *item // in the queue of the owner
	next          *item
	deadlinePlace int
	running       bool
	started       time.Time
	charged       float64 // in the scale of the epoch
}

func earlier(a, b *item) bool {
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.ticket < b.ticket
}

func deadlinePlace(i *item) *int { return &i.deadlinePlace }

type workspace struct {
	name         model.Workspace
	account      float64 // slot time used, in the scale of the epoch
	turn         uint64  // order of the last start, which decides between equal accounts
	service      float64 // recent service time in seconds
	oldest       *item
	newest       *item
	queued       int
	running      []*item
	readyPlace   int
	longestPlace int
}

func lessServed(a, b *workspace) bool {
	if a.account != b.account {
		return a.account < b.account
	}
	return a.turn < b.turn
}

func moreQueued(a, b *workspace) bool {
	if a.queued != b.queued {
		return a.queued > b.queued
	}
	return a.name < b.name
}

// advance begins a new epoch if the present one is old. Used slot time is not decayed as time passes, which would touch
// every workspace; instead, later slot time counts more, by e for each usageMemory since the epoch. The order of the
// workspaces is the same.
func (q *Queue) advance(now time.Time) {
	if q.epoch.IsZero() {
		q.epoch = now
	}
	exponent := now.Sub(q.epoch).Seconds() / usageMemory.Seconds()
	if exponent < maxExponent {
		return
	}
	scale := math.Exp(-exponent)
	for _, w := range q.workspaces {
		w.account *= scale
		for _, entry := range w.running {
			entry.charged *= scale
		}
	}
	q.epoch = now
	// Very small accounts may have become equal.
	heap.Init(&q.ready)
}

// weight returns how much slot time counts at a time, in the scale of the epoch.
func (q *Queue) weight(at time.Time) float64 {
	return math.Exp(at.Sub(q.epoch).Seconds() / usageMemory.Seconds())
}

// usage returns the slot time between two times, in the scale of the epoch.
func (q *Queue) usage(from, to time.Time) float64 {
	if !to.After(from) {
		return 0
	}
	return usageMemory.Seconds() * (q.weight(to) - q.weight(from))
}

func readyPlace(w *workspace) *int   { return &w.readyPlace }
func longestPlace(w *workspace) *int { return &w.longestPlace }

func (q *Queue) workspace(name model.Workspace) *workspace {
	w, known := q.workspaces[name]
	if !known {
		q.forgetIdle()
		q.turns++
		w = &workspace{name: name, service: q.overall, turn: q.turns}
		q.workspaces[name] = w
	}
	return w
}

// forgetIdle keeps the number of remembered workspaces bounded.
func (q *Queue) forgetIdle() {
	if len(q.workspaces) < maxRemembered {
		return
	}
	maps.DeleteFunc(q.workspaces, func(_ model.Workspace, w *workspace) bool {
		return w.queued == 0 && len(w.running) == 0
	})
}

// admit makes room for a request and returns the zero result, or returns the refusal.
func (q *Queue) admit(now time.Time, w *workspace, entry *item) model.Result {
	remaining := entry.request.Deadline.Sub(now)
	switch {
	case q.closed:
		return draining()
	case remaining <= 0:
		return expired()
	case w.queued >= q.config.MaxQueuedPerWorkspace:
		return model.NotRun(model.ReasonQueueFull, "the workspace has too many queued requests")
	}
	if wait := seconds(q.estimate(w)); wait > remaining {
		return model.Result{
			Outcome: model.OutcomeNotRun, Reason: model.ReasonDeadlineExceeded, RetryAfter: wait - remaining,
			Detail: "the queue is longer than the time of the request",
		}
	}
	if q.queued >= q.config.MaxQueued && !q.evict(w) {
		return model.NotRun(model.ReasonQueueFull, "the queue is full")
	}
	return model.Result{}
}

// evict refuses the newest request of the workspace with the most queued requests, if that is more than its fair part
// of the queue and if the given workspace is below its own part. It reports whether there is room now.
func (q *Queue) evict(newcomer *workspace) bool {
	parts := q.waiting
	if newcomer.queued == 0 {
		parts++
	}
	victim, some := q.longest.first()
	if !some || newcomer.queued*parts >= q.config.MaxQueued || victim.queued*parts <= q.config.MaxQueued {
		return false
	}
	// With a difference of 1 the two would only change places, and evict each other for ever.
	if victim.queued <= newcomer.queued+1 {
		return false
	}
	entry := victim.newest
	q.remove(entry)
	q.refuse(entry, model.NotRun(model.ReasonQueueFull, "the workspace held more than its fair part of a full queue"))
	return true
}

// estimate returns the expected wait of a new request in seconds. A workspace gets an equal part of the slot time, so
// its own queue takes as many times longer as workspaces wait, but no longer than everything that is queued. It is zero
// for an empty queue: so a wrong estimate never keeps an idle target from being used. What a workspace used lately is
// left out, because counting it refused requests that would have been in time.
func (q *Queue) estimate(w *workspace) float64 {
	if q.config.Slots == 0 {
		return 0
	}
	own := float64(w.queued) * w.service
	parts := q.waiting
	if w.queued == 0 {
		parts++
	}
	return min(own*float64(parts), q.queuedWork) / float64(q.config.Slots)
}

// append queues the request behind the others of its workspace.
func (q *Queue) append(w *workspace, entry *item) {
	entry.owner = w
	if w.newest == nil {
		w.oldest = entry
		q.activate(w)
	} else {
		entry.previous, w.newest.next = w.newest, entry
	}
	w.newest = entry
	q.items[entry.ticket] = entry
	q.deadlines.set(entry, true)
	q.count(w, 1)
}

// activate puts a workspace that begins to wait behind the others if only turns count.
func (q *Queue) activate(w *workspace) {
	if q.config.Policy == PolicyRoundRobin {
		q.turns++
		w.turn = q.turns
	}
}

// remove takes the request out of the queue of its workspace.
func (q *Queue) remove(entry *item) {
	w := entry.owner
	if entry.previous == nil {
		w.oldest = entry.next
	} else {
		entry.previous.next = entry.next
	}
	if entry.next == nil {
		w.newest = entry.previous
	} else {
		entry.next.previous = entry.previous
	}
	entry.previous, entry.next = nil, nil
	delete(q.items, entry.ticket)
	q.deadlines.set(entry, false)
	q.count(w, -1)
}

// count changes the number of queued requests of a workspace.
func (q *Queue) count(w *workspace, change int) {
	if w.queued == 0 {
		q.waiting++
	}
	w.queued += change
	q.queued += change
	q.queuedWork += float64(change) * w.service
	if w.queued == 0 {
		q.waiting--
	}
	if q.queued == 0 {
		q.queuedWork = 0 // removes rounding errors
	}
	q.longest.set(w, w.queued > 0)
	q.place(w)
}

// place puts the workspace where it belongs among those that may start a request.
func (q *Queue) place(w *workspace) {
	limit := q.config.MaxRunningPerWorkspace
	q.ready.set(w, w.queued > 0 && (limit == 0 || len(w.running) < limit))
}

// dispatch starts requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.config.Slots {
		w, some := q.ready.first()
		if !some {
			return
		}
		if q.settle(now, w) {
			continue
		}
		entry := w.oldest
		q.remove(entry)
		if refusal := q.recheck(now, entry); refusal.Outcome != 0 {
			q.refuse(entry, refusal)
			continue
		}
		q.start(now, w, entry)
	}
}

// recheck returns why a request that is about to start must not, or the zero result.
func (q *Queue) recheck(now time.Time, entry *item) model.Result {
	remaining := entry.request.Deadline.Sub(now)
	if remaining <= 0 || remaining < needed(entry) {
		return expired()
	}
	if entry.request.Recheck == nil {
		return model.Result{}
	}
	return entry.request.Recheck()
}

// needed returns the time that a request probably runs. It is at most a part of the whole time of the request: so
// requests that did not wait long are started whatever the estimate, and their service times correct it.
func needed(entry *item) time.Duration {
	whole := entry.request.Deadline.Sub(entry.entered).Seconds()
	return seconds(min(usefulFactor*entry.owner.service, usefulPart*whole))
}

func (q *Queue) start(now time.Time, w *workspace, entry *item) {
	q.turns++
	w.turn = q.turns
	entry.running = true
	entry.started = now
	w.running = append(w.running, entry)
	q.items[entry.ticket] = entry
	q.running++
	q.limitCredit(now, w)
	q.charge(w, entry, now.Add(seconds(min(w.service, maxExpected))))
	q.actions = append(q.actions, Action{Ticket: entry.ticket, Start: true})
}

// limitCredit takes the credit of a workspace beyond maxCredit.
func (q *Queue) limitCredit(now time.Time, w *workspace) {
	if next, some := q.ready.firstExcept(w); some {
		w.account = max(w.account, next.account-maxCredit*q.weight(now))
	}
}

// charge makes the charge of a running request that of its slot time until the given time.
func (q *Queue) charge(w *workspace, entry *item, until time.Time) {
	if q.config.Policy == PolicySlotTime {
		usage := q.usage(entry.started, until)
		w.account += usage - entry.charged
		entry.charged = usage
	}
	q.place(w)
}

// settle charges the workspace for the time that its running requests have held their slots beyond what they were
// charged at the start, and reports whether another workspace goes first now. Without it, requests that take longer than
// expected would be free until they end.
func (q *Queue) settle(now time.Time, w *workspace) bool {
	for _, entry := range w.running {
		if q.usage(entry.started, now) > entry.charged {
			q.charge(w, entry, now)
		}
	}
	first, _ := q.ready.first()
	return first != w
}

// release corrects the charge of a request that has ended and learns from its service time.
func (q *Queue) release(now time.Time, entry *item) {
	w := entry.owner
	place := slices.Index(w.running, entry)
	w.running = slices.Delete(w.running, place, place+1)
	q.charge(w, entry, now)
	q.learn(w, max(0, now.Sub(entry.started).Seconds()))
}

func (q *Queue) learn(w *workspace, took float64) {
	before := w.service
	w.service += serviceWeight * (took - w.service)
	q.overall += serviceWeight * (took - q.overall)
	q.queuedWork += float64(w.queued) * (w.service - before)
}
