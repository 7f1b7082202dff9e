// Package fairqueue implements a bounded fair queue: it schedules the requests of several workspaces on the slots of one
// target.
//
// A free slot goes to the waiting workspace with the least recent slot time. Used slot time decays exponentially, so that
// both the debt of a workspace with slow statements and the credit of an idle one are bounded. Every queued request gets
// exactly one action, start or refusal as not run, unless the caller cancels it.
//
// The package performs no I/O and reads no clock: the time is an argument, and the actions are return values. A Queue is
// not safe for concurrent use.
package fairqueue

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Policy determines the order in which workspaces get free slots.
type Policy uint8

const (
	// PolicySlotTime charges each workspace the time that its statements hold slots, and prefers the least charged one.
	PolicySlotTime Policy = iota
	// PolicyRoundRobin starts one statement of each waiting workspace in turn, which is deficit round robin with equal
	// weights and a cost of 1. With it, a workspace with slow statements takes most of the slot time. It exists for
	// comparison only.
	PolicyRoundRobin
)

// Config contains the settings of a queue.
type Config struct {
	// Slots is the number of requests that may run concurrently.
	Slots int
	// MaxQueued bounds the queued requests of all workspaces.
	MaxQueued int
	// MaxQueuedPerWorkspace bounds the queued requests of a workspace.
	MaxQueuedPerWorkspace int
	// MaxRunningPerWorkspace bounds the concurrently running requests of a workspace. Zero means no bound.
	MaxRunningPerWorkspace int
	// Policy determines the order in which workspaces get free slots.
	Policy Policy
	// ServiceTime is the initial estimate of the service time.
	ServiceTime time.Duration
}

// Defaults of Config.
const (
	DefaultMaxQueued             = 512
	DefaultMaxQueuedPerWorkspace = 256
	DefaultServiceTime           = 2 * time.Millisecond
)

func (c Config) withDefaults() (Config, error) {
	if c.Slots < 0 || c.MaxQueued < 0 || c.MaxQueuedPerWorkspace < 0 || c.MaxRunningPerWorkspace < 0 || c.ServiceTime < 0 {
		return c, trace.BadParameter("queue settings must not be negative")
	}
	if c.MaxQueued == 0 {
		c.MaxQueued = DefaultMaxQueued
	}
	if c.MaxQueuedPerWorkspace == 0 {
		c.MaxQueuedPerWorkspace = min(DefaultMaxQueuedPerWorkspace, c.MaxQueued)
	}
	if c.ServiceTime == 0 {
		c.ServiceTime = DefaultServiceTime
	}
	return c, nil
}

// FairShare returns the equal share of total for each of the workspaces, at least 1. It bounds the pinned connections per
// workspace.
func FairShare(total, workspaces int) int {
	if workspaces < 1 {
		return max(1, total)
	}
	return max(1, total/workspaces)
}

// Ticket identifies a request in a queue. Tickets are never reused, and zero is not a valid ticket.
type Ticket uint64

// Request is a request for a slot.
type Request struct {
	Workspace model.Workspace
	// Deadline is the time at which the request expires.
	Deadline time.Time
	// Recheck is called just before the request starts. A result other than the zero value refuses the request, for
	// example because its key was withdrawn while it waited. If Recheck is nil, nothing is checked.
	Recheck func() model.Result
}

// Action is the decision on a request: either Start, or the Result that refuses it as not run.
type Action struct {
	Ticket Ticket
	Start  bool
	Result model.Result
}

// Queue is a bounded fair queue. Use New to create one.
type Queue struct {
	config            Config
	workspaces        map[model.Workspace]*workspace
	entries           map[Ticket]*queueEntry
	lastTicket        Ticket
	lastTurn          uint64
	decay             Decay
	meanServiceTime   float64 // moving average over all workspaces, in seconds
	queued            int
	waitingWorkspaces int     // number of workspaces with queued requests
	queuedWork        float64 // expected service time of all queued requests, in seconds
	running           int
	closed            bool
	ready             indexedHeap[*workspace]  // workspaces that may start a request, least usage first
	longest           indexedHeap[*workspace]  // workspaces with queued requests, most requests first
	deadlines         indexedHeap[*queueEntry] // queued requests, earliest deadline first
	actions           []Action                 // actions of the operation in progress
}

// New returns an empty queue. It fails if a setting is negative.
func New(config Config) (*Queue, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Queue{
		config:          config,
		workspaces:      make(map[model.Workspace]*workspace),
		entries:         make(map[Ticket]*queueEntry),
		meanServiceTime: config.ServiceTime.Seconds(),
		ready:           indexedHeap[*workspace]{less: lessUsage, index: readyIndex},
		longest:         indexedHeap[*workspace]{less: moreQueued, index: longestIndex},
		deadlines:       indexedHeap[*queueEntry]{less: earlierDeadline, index: deadlineIndex},
	}, nil
}

// Push adds a request and returns its ticket and the resulting actions. They may concern the request itself, or a request
// that was evicted because its workspace exceeds its fair share of a full queue.
func (q *Queue) Push(now time.Time, request Request) (Ticket, []Action) {
	q.advanceEpoch(now)
	q.lastTicket++
	entry := &queueEntry{ticket: q.lastTicket, request: request, enqueuedAt: now}
	w := q.workspace(request.Workspace)
	if refusal := q.admit(now, w, entry); refusal.Outcome != 0 {
		q.refuse(entry, refusal)
		return entry.ticket, q.takeActions()
	}
	q.append(w, entry)
	q.dispatch(now)
	return entry.ticket, q.takeActions()
}

// Finish releases the slot of a running request, regardless of its outcome. It ignores tickets that are not running.
func (q *Queue) Finish(now time.Time, ticket Ticket) []Action {
	entry, known := q.entries[ticket]
	if !known || !entry.running {
		return nil
	}
	delete(q.entries, ticket)
	q.advanceEpoch(now)
	q.running--
	q.release(now, entry)
	q.dispatch(now)
	return q.takeActions()
}

// Cancel removes a queued request whose caller is gone, and reports whether it was queued. If so, the request never starts
// and has no action. A running request is not affected and must be released with Finish.
func (q *Queue) Cancel(ticket Ticket) bool {
	entry, known := q.entries[ticket]
	if !known || entry.running {
		return false
	}
	q.remove(entry)
	return true
}

// Expire refuses the queued requests whose deadline has been reached.
func (q *Queue) Expire(now time.Time) []Action {
	for {
		entry, ok := q.deadlines.first()
		if !ok || entry.request.Deadline.After(now) {
			return q.takeActions()
		}
		q.remove(entry)
		q.refuse(entry, expiredResult())
	}
}

// NextDeadline returns the earliest deadline of a queued request, at which Expire must be called. It returns false if the
// queue is empty.
func (q *Queue) NextDeadline() (time.Time, bool) {
	entry, ok := q.deadlines.first()
	if !ok {
		return time.Time{}, false
	}
	return entry.request.Deadline, true
}

// SetSlots changes the number of slots. With zero slots, for example during a failover, nothing starts and requests wait
// until their deadlines. Running requests keep their slots.
func (q *Queue) SetSlots(now time.Time, slots int) []Action {
	q.advanceEpoch(now)
	q.config.Slots = max(0, slots)
	q.dispatch(now)
	return q.takeActions()
}

// Close makes the queue refuse all further requests as draining. Queued requests still start.
func (q *Queue) Close() { q.closed = true }

// Drain closes the queue and refuses all queued requests. Running requests continue.
func (q *Queue) Drain() []Action {
	q.closed = true
	for {
		entry, ok := q.deadlines.first()
		if !ok {
			return q.takeActions()
		}
		q.remove(entry)
		q.refuse(entry, drainingResult())
	}
}

// EstimatedWait returns the expected wait of a new request of the workspace, based on recent service times. It is used to
// choose between the queues of several targets.
func (q *Queue) EstimatedWait(name model.Workspace) time.Duration {
	w, known := q.workspaces[name]
	if !known {
		w = &workspace{serviceTime: q.meanServiceTime}
	}
	return seconds(q.estimateWait(w))
}

// Stats is a snapshot of the counters of a queue.
type Stats struct {
	Queued, Running, Workspaces int
	ServiceTime                 time.Duration // moving average
}

// Stats returns the current counters of the queue.
func (q *Queue) Stats() Stats {
	return Stats{Queued: q.queued, Running: q.running, Workspaces: len(q.workspaces), ServiceTime: seconds(q.meanServiceTime)}
}

// WorkspaceCounts returns the numbers of queued and running requests of a workspace.
func (q *Queue) WorkspaceCounts(name model.Workspace) (queued, running int) {
	if w, known := q.workspaces[name]; known {
		return w.queued, len(w.running)
	}
	return 0, 0
}

// takeActions returns and clears the actions of the operation in progress.
func (q *Queue) takeActions() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}

func (q *Queue) refuse(entry *queueEntry, result model.Result) {
	q.actions = append(q.actions, Action{Ticket: entry.ticket, Result: result})
}

func seconds(s float64) time.Duration {
	// One hour exceeds any deadline and prevents an overflow in the conversion.
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func expiredResult() model.Result {
	return model.NotRun(model.ReasonDeadlineExceeded, "the time of the request ended in the queue")
}

func drainingResult() model.Result {
	return model.NotRun(model.ReasonDraining, "the host is leaving")
}
