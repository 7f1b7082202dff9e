package fairqueue

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// serviceTimeWeight is the weight of a new service time in the exponential moving averages.
	serviceTimeWeight = 0.1
	// maxInitialCharge bounds, in seconds, the slot time that is charged when a request starts.
	maxInitialCharge = 1.0
	// maxTrackedWorkspaces is the number of tracked workspaces at which idle ones are removed, with their service times.
	maxTrackedWorkspaces = 1024
	// requiredTimeFactor is the multiple of the recent service time that must remain when a request starts. Service times
	// have a long tail, so with the mean alone many requests would start that end too late and waste their slots.
	requiredTimeFactor = 2.0
	// maxRequiredFraction bounds the required time to a fraction of the total time of the request.
	maxRequiredFraction = 0.5
)

// queueEntry is a queued or running request.
type queueEntry struct {
	ticket        Ticket
	request       Request
	enqueuedAt    time.Time
	owner         *workspace
	previous      *queueEntry // in the linked list of the owner's queued requests
	next          *queueEntry
	deadlineIndex int
	running       bool
	startedAt     time.Time
	charged       float64 // slot time charged to the owner, in the scale of the epoch
}

func earlierDeadline(a, b *queueEntry) bool {
	if !a.request.Deadline.Equal(b.request.Deadline) {
		return a.request.Deadline.Before(b.request.Deadline)
	}
	return a.ticket < b.ticket
}

func deadlineIndex(i *queueEntry) *int { return &i.deadlineIndex }

type workspace struct {
	name         model.Workspace
	usage        float64 // slot time used, in the scale of the epoch
	turn         uint64  // sequence number of the last start, which breaks ties between equal usages
	serviceTime  float64 // recent service time in seconds
	oldest       *queueEntry
	newest       *queueEntry
	queued       int
	running      []*queueEntry
	readyIndex   int
	longestIndex int
}

func lessUsage(a, b *workspace) bool {
	if a.usage != b.usage {
		return a.usage < b.usage
	}
	return a.turn < b.turn
}

func moreQueued(a, b *workspace) bool {
	if a.queued != b.queued {
		return a.queued > b.queued
	}
	return a.name < b.name
}

// advanceEpoch begins a new epoch of the usage weights if the current one is old.
func (q *Queue) advanceEpoch(now time.Time) {
	scale, advanced := q.decay.Advance(now)
	if !advanced {
		return
	}
	for _, w := range q.workspaces {
		w.usage *= scale
		for _, entry := range w.running {
			entry.charged *= scale
		}
	}
	// Very small usages may have become equal.
	heap.Init(&q.ready)
}

func readyIndex(w *workspace) *int   { return &w.readyIndex }
func longestIndex(w *workspace) *int { return &w.longestIndex }

// workspace returns the state of a workspace and creates it if necessary.
func (q *Queue) workspace(name model.Workspace) *workspace {
	w, known := q.workspaces[name]
	if !known {
		q.removeIdleWorkspaces()
		q.lastTurn++
		w = &workspace{name: name, serviceTime: q.meanServiceTime, turn: q.lastTurn}
		q.workspaces[name] = w
	}
	return w
}

// removeIdleWorkspaces removes all idle workspaces if maxTrackedWorkspaces is reached.
func (q *Queue) removeIdleWorkspaces() {
	if len(q.workspaces) < maxTrackedWorkspaces {
		return
	}
	maps.DeleteFunc(q.workspaces, func(_ model.Workspace, w *workspace) bool {
		return w.queued == 0 && len(w.running) == 0
	})
}

// admit returns the zero result if the request can be queued, after evicting another one if necessary. Otherwise it
// returns the refusal.
func (q *Queue) admit(now time.Time, w *workspace, entry *queueEntry) model.Result {
	remaining := entry.request.Deadline.Sub(now)
	switch {
	case q.closed:
		return drainingResult()
	case remaining <= 0:
		return expiredResult()
	case w.queued >= q.config.MaxQueuedPerWorkspace:
		return model.NotRun(model.ReasonQueueFull, "the workspace has too many queued requests")
	}
	if wait := seconds(q.estimateWait(w)); wait > remaining {
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

// evict refuses the newest request of the workspace with the most queued requests, if that workspace exceeds its fair
// share of the queue and the newcomer is below its own share. It reports whether it evicted a request.
func (q *Queue) evict(newcomer *workspace) bool {
	sharers := q.waitingWorkspaces
	if newcomer.queued == 0 {
		sharers++
	}
	victim, ok := q.longest.first()
	if !ok || newcomer.queued*sharers >= q.config.MaxQueued || victim.queued*sharers <= q.config.MaxQueued {
		return false
	}
	// With a difference of 1 the two would only swap places, and evict each other forever.
	if victim.queued <= newcomer.queued+1 {
		return false
	}
	entry := victim.newest
	q.remove(entry)
	q.refuse(entry, model.NotRun(model.ReasonQueueFull, "the workspace held more than its fair part of a full queue"))
	return true
}

// estimateWait returns the expected wait of a new request in seconds. Waiting workspaces get equal shares of the slot
// time, so the estimate is the workspace's own queued work times the number of waiting workspaces, but at most the total
// queued work. It is zero for an empty queue, so a wrong estimate never prevents the use of an idle target. The recent
// usage of the workspace is not included, because it led to refusals of requests that would have been in time.
func (q *Queue) estimateWait(w *workspace) float64 {
	if q.config.Slots == 0 {
		return 0
	}
	own := float64(w.queued) * w.serviceTime
	sharers := q.waitingWorkspaces
	if w.queued == 0 {
		sharers++
	}
	return min(own*float64(sharers), q.queuedWork) / float64(q.config.Slots)
}

// append adds the request to the end of the queue of its workspace.
func (q *Queue) append(w *workspace, entry *queueEntry) {
	entry.owner = w
	if w.newest == nil {
		w.oldest = entry
		q.assignTurn(w)
	} else {
		entry.previous, w.newest.next = w.newest, entry
	}
	w.newest = entry
	q.entries[entry.ticket] = entry
	q.deadlines.update(entry, true)
	q.addQueued(w, 1)
}

// assignTurn places a workspace that begins to wait behind the others. It has an effect only with PolicyRoundRobin.
func (q *Queue) assignTurn(w *workspace) {
	if q.config.Policy == PolicyRoundRobin {
		q.lastTurn++
		w.turn = q.lastTurn
	}
}

// remove removes the request from the queue of its workspace.
func (q *Queue) remove(entry *queueEntry) {
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
	delete(q.entries, entry.ticket)
	q.deadlines.update(entry, false)
	q.addQueued(w, -1)
}

// addQueued changes the number of queued requests of a workspace by the given amount.
func (q *Queue) addQueued(w *workspace, change int) {
	if w.queued == 0 {
		q.waitingWorkspaces++
	}
	w.queued += change
	q.queued += change
	q.queuedWork += float64(change) * w.serviceTime
	if w.queued == 0 {
		q.waitingWorkspaces--
	}
	if q.queued == 0 {
		q.queuedWork = 0 // removes rounding errors
	}
	q.longest.update(w, w.queued > 0)
	q.updateReady(w)
}

// updateReady adds the workspace to the ready heap, removes it, or updates its position, depending on whether it may start
// a request.
func (q *Queue) updateReady(w *workspace) {
	limit := q.config.MaxRunningPerWorkspace
	q.ready.update(w, w.queued > 0 && (limit == 0 || len(w.running) < limit))
}

// dispatch starts queued requests while slots are free.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.config.Slots {
		w, ok := q.ready.first()
		if !ok {
			return
		}
		if q.chargeRunning(now, w) {
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

// recheck returns the refusal of a request that must not start, or the zero result.
func (q *Queue) recheck(now time.Time, entry *queueEntry) model.Result {
	remaining := entry.request.Deadline.Sub(now)
	if remaining <= 0 || remaining < requiredTime(entry) {
		return expiredResult()
	}
	if entry.request.Recheck == nil {
		return model.Result{}
	}
	return entry.request.Recheck()
}

// requiredTime returns the time that must remain for a request to start, derived from the recent service time. It is at
// most a fraction of the total time of the request. So requests that did not wait long start regardless of the estimate,
// and their service times correct it.
func requiredTime(entry *queueEntry) time.Duration {
	total := entry.request.Deadline.Sub(entry.enqueuedAt).Seconds()
	return seconds(min(requiredTimeFactor*entry.owner.serviceTime, maxRequiredFraction*total))
}

func (q *Queue) start(now time.Time, w *workspace, entry *queueEntry) {
	q.lastTurn++
	w.turn = q.lastTurn
	entry.running = true
	entry.startedAt = now
	w.running = append(w.running, entry)
	q.entries[entry.ticket] = entry
	q.running++
	q.limitCredit(now, w)
	q.charge(w, entry, now.Add(seconds(min(w.serviceTime, maxInitialCharge))))
	q.actions = append(q.actions, Action{Ticket: entry.ticket, Start: true})
}

// limitCredit removes the credit of a workspace that exceeds MaxCredit.
func (q *Queue) limitCredit(now time.Time, w *workspace) {
	if next, ok := q.ready.firstExcept(w); ok {
		w.usage = max(w.usage, next.usage-MaxCredit*q.decay.Weight(now))
	}
}

// charge adjusts the charge of a running request to its slot time until the given time.
func (q *Queue) charge(w *workspace, entry *queueEntry, until time.Time) {
	if q.config.Policy == PolicySlotTime {
		usage := q.decay.SlotTime(entry.startedAt, until)
		w.usage += usage - entry.charged
		entry.charged = usage
	}
	q.updateReady(w)
}

// chargeRunning charges the workspace for running requests that have held their slots for longer than was charged at
// their start, and reports whether another workspace is first in the ready heap now. Otherwise requests that take longer
// than expected would not be charged for the excess until they end.
func (q *Queue) chargeRunning(now time.Time, w *workspace) bool {
	for _, entry := range w.running {
		if q.decay.SlotTime(entry.startedAt, now) > entry.charged {
			q.charge(w, entry, now)
		}
	}
	first, _ := q.ready.first()
	return first != w
}

// release corrects the charge of a finished request and updates the average service times.
func (q *Queue) release(now time.Time, entry *queueEntry) {
	w := entry.owner
	index := slices.Index(w.running, entry)
	w.running = slices.Delete(w.running, index, index+1)
	q.charge(w, entry, now)
	q.recordServiceTime(w, max(0, now.Sub(entry.startedAt).Seconds()))
}

func (q *Queue) recordServiceTime(w *workspace, duration float64) {
	previous := w.serviceTime
	w.serviceTime += serviceTimeWeight * (duration - w.serviceTime)
	q.meanServiceTime += serviceTimeWeight * (duration - q.meanServiceTime)
	q.queuedWork += float64(w.queued) * (w.serviceTime - previous)
}
