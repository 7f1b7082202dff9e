// Package fairqueue is the bounded queue for the slots of one target, fair over workspaces.
//
// A free slot goes to the workspace that has used the least slot time lately, among those that wait. Used slot time
// loses its weight with time, so that both the debt of a workspace with slow statements and the credit of one that was
// idle are bounded. Every request that enters gets exactly one
// action: it starts, or it is refused as not run; or the caller cancels it.
//
// The package is pure: the time is an argument, and the actions are returned. A Queue is not safe for concurrent use.
package fairqueue

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Policy tells what a workspace is charged for a statement.
type Policy uint8

const (
	// PolicySlotTime charges the time that a statement holds its slot.
	PolicySlotTime Policy = iota
	// PolicyCount starts one statement of each waiting workspace in turn, which is deficit round robin with equal weights
	// and a cost of 1. It lets a workspace with slow statements take most of the slot time, and is kept for comparison.
	PolicyRoundRobin
)

// Config has the settings of a queue.
type Config struct {
	// Slots is the number of requests that run at once.
	Slots int
	// MaxQueued bounds the queued requests of all workspaces.
	MaxQueued int
	// MaxQueuedPerWorkspace bounds the queued requests of a workspace.
	MaxQueuedPerWorkspace int
	// MaxInUsePerWorkspace bounds the slots that a workspace uses at once. Zero means no bound.
	MaxRunningPerWorkspace int
	// Policy tells what is charged.
	Policy Policy
	// ServiceTime is the expected service time until the first requests have finished.
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
		return c, trace.BadParameter("the settings of a queue are not negative")
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

// FairPart returns the equal part of total that each of the workspaces may use, at least 1. It is the bound of pinned
// connections per workspace.
func FairShare(total, workspaces int) int {
	if workspaces < 1 {
		return max(1, total)
	}
	return max(1, total/workspaces)
}

// Ticket names a request in a queue. Tickets are not used twice, and zero is no ticket.
type Ticket uint64

// Request is what waits for a slot.
type Request struct {
	Workspace model.Workspace
	// Deadline is the time at which the request has no time left.
	Deadline time.Time
	// Recheck is called just before the request would start. A result other than the zero value refuses the request,
	// for example because its key was withdrawn while it waited. Nil means that nothing is checked.
	Recheck func() model.Result
}

// Action tells the fate of a request: Start, or the Result of a request that is not run.
type Action struct {
	Ticket Ticket
	Start  bool
	Result model.Result
}

// Queue is a bounded fair queue. New creates it.
type Queue struct {
	config     Config
	workspaces map[model.Workspace]*workspace
	items      map[Ticket]*item
	last       Ticket
	turns      uint64
	epoch      time.Time // from which the accounts are scaled
	overall    float64   // recent service time of all workspaces, in seconds
	queued     int
	waiting    int     // workspaces with queued requests
	queuedWork float64 // expected service time of all queued requests, in seconds
	running    int
	closed     bool
	ready      indexedHeap[*workspace] // workspaces that may start a request, least account first
	longest    indexedHeap[*workspace] // workspaces with queued requests, most requests first
	deadlines  indexedHeap[*item]      // queued requests, earliest deadline first
	actions    []Action                // actions of the operation in progress
}

// New returns an empty queue. It fails if a setting is negative.
func New(config Config) (*Queue, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Queue{
		config:     config,
		workspaces: make(map[model.Workspace]*workspace),
		items:      make(map[Ticket]*item),
		overall:    config.ServiceTime.Seconds(),
		ready:      indexedHeap[*workspace]{less: lessServed, place: readyPlace},
		longest:    indexedHeap[*workspace]{less: moreQueued, place: longestPlace},
		deadlines:  indexedHeap[*item]{less: earlier, place: deadlinePlace},
	}, nil
}

// Push adds a request and returns its ticket with the actions that follow. The request itself may be among them, and so
// may be a request of a workspace that holds more than its fair part of a full queue.
func (q *Queue) Push(now time.Time, request Request) (Ticket, []Action) {
	q.advance(now)
	q.last++
	entry := &item{ticket: q.last, request: request, entered: now}
	w := q.workspace(request.Workspace)
	if refusal := q.admit(now, w, entry); refusal.Outcome != 0 {
		q.refuse(entry, refusal)
		return entry.ticket, q.take()
	}
	q.append(w, entry)
	q.dispatch(now)
	return entry.ticket, q.take()
}

// Finish releases the slot of a request that started, whatever became of it. A ticket that is not running is ignored.
func (q *Queue) Finish(now time.Time, ticket Ticket) []Action {
	entry, known := q.items[ticket]
	if !known || !entry.running {
		return nil
	}
	delete(q.items, ticket)
	q.advance(now)
	q.running--
	q.release(now, entry)
	q.dispatch(now)
	return q.take()
}

// Cancel removes a queued request, whose caller is gone, and reports whether it was queued. If so, the request has not
// run and never starts, and there is no action for it. A request that has started is left to Finish.
func (q *Queue) Cancel(ticket Ticket) bool {
	entry, known := q.items[ticket]
	if !known || entry.running {
		return false
	}
	q.remove(entry)
	return true
}

// Expire refuses the queued requests whose deadline has come.
func (q *Queue) Expire(now time.Time) []Action {
	for {
		entry, some := q.deadlines.first()
		if !some || entry.request.Deadline.After(now) {
			return q.take()
		}
		q.remove(entry)
		q.refuse(entry, expired())
	}
}

// NextDeadline returns the earliest deadline of a queued request, at which Expire has something to do.
func (q *Queue) NextDeadline() (time.Time, bool) {
	entry, some := q.deadlines.first()
	if !some {
		return time.Time{}, false
	}
	return entry.request.Deadline, true
}

// SetSlots changes the number of slots. With zero slots nothing starts, and requests wait up to their deadlines, as
// during a failover. Requests that run keep their slots.
func (q *Queue) SetSlots(now time.Time, slots int) []Action {
	q.advance(now)
	q.config.Slots = max(0, slots)
	q.dispatch(now)
	return q.take()
}

// Close refuses all later requests as draining. Queued requests still start.
func (q *Queue) Close() { q.closed = true }

// Drain closes the queue and refuses everything that is queued. Running requests go on.
func (q *Queue) Drain() []Action {
	q.closed = true
	for {
		entry, some := q.deadlines.first()
		if !some {
			return q.take()
		}
		q.remove(entry)
		q.refuse(entry, draining())
	}
}

// EstimatedWait returns how long a new request of the workspace would wait, given the recent service times. It chooses
// between the queues of several targets.
func (q *Queue) EstimatedWait(name model.Workspace) time.Duration {
	w, known := q.workspaces[name]
	if !known {
		w = &workspace{service: q.overall}
	}
	return seconds(q.estimate(w))
}

// Stats are the counts of a queue at one moment.
type Stats struct {
	Queued, Running, Workspaces int
	ServiceTime                 time.Duration // recent mean
}

// Stats returns the counts of the queue.
func (q *Queue) Stats() Stats {
	return Stats{Queued: q.queued, Running: q.running, Workspaces: len(q.workspaces), ServiceTime: seconds(q.overall)}
}

// InUse returns the queued requests of a workspace and the slots that it uses.
func (q *Queue) WorkspaceCounts(name model.Workspace) (queued, running int) {
	if w, known := q.workspaces[name]; known {
		return w.queued, len(w.running)
	}
	return 0, 0
}

func (q *Queue) take() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}

func (q *Queue) refuse(entry *item, result model.Result) {
	q.actions = append(q.actions, Action{Ticket: entry.ticket, Result: result})
}

func seconds(s float64) time.Duration {
	// An hour is beyond any deadline and keeps the conversion in range.
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func expired() model.Result {
	return model.NotRun(model.ReasonDeadlineExceeded, "the time of the request ended in the queue")
}

func draining() model.Result {
	return model.NotRun(model.ReasonDraining, "the host is leaving")
}
