// Package turns lets the statements of a host wait for their turns on targets. It connects the decisions of package runqueue
// with the goroutines of the statements, the clock, the log and the metrics, and learns how long each class of statements
// takes.
package turns

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/logging"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/runqueue"
)

const (
	// recoveryTime is the time after the start of the process in which callers are assumed to return after the loss of all
	// hosts. The queues of targets serve the highest priority first during this time.
	recoveryTime = time.Second
	// BusyPause is the time after a BUSY answer of a target during which this host sends it no retries. The target has
	// 32 statements waiting then, and completes a good part of them in this time.
	BusyPause = 50 * time.Millisecond
	// expectedSmoothing is the weight of a new sample in the moving average of the time of a class of statements.
	expectedSmoothing = 0.1
	// openingExpected is the expected time of opening a connection.
	openingExpected = 12 * time.Millisecond
)

// Limit is the number of statements that may run at once on a target. It may change with each command.
type Limit interface{ Limit() int }

// slotLimit is the limit of a target by its registration: one statement for each slot, and one that waits at the target, so
// that a slot is used again without the time of a message.
type slotLimit int

// Limit implements the interface Limit.
func (l slotLimit) Limit() int { return int(l) + 1 }

// Class identifies statements that take a similar time on a target.
type Class struct {
	Database string // as in the route; empty for openings
	Kind     Kind
}

// Kind is the kind of a statement, as far as its time on the target is concerned.
type Kind string

// Kinds of statements.
const (
	Read    Kind = "read"
	Write   Kind = "write"
	Begin   Kind = "begin"
	Commit  Kind = "commit"
	Opening Kind = "opening" // of a connection
)

// OpeningClass is the class of the opening of connections.
var OpeningClass = Class{Kind: Opening}

// Shared is the state that the queues of all targets share.
type Shared struct {
	startedAt time.Time
	metrics   *Metrics
	lines     logging.LineLimit
}

// NewShared returns the state of a process that started at the given time.
func NewShared(startedAt time.Time, metrics *Metrics) *Shared {
	return &Shared{startedAt: startedAt, metrics: metrics}
}

// Queue is the queue of a target on this host. It is safe for concurrent use.
type Queue struct {
	shared *Shared
	log    *zap.Logger
	target model.TargetID

	mu       sync.Mutex
	slots    int // of the registration
	queue    *runqueue.Queue
	limit    Limit
	waiters  map[runqueue.RequestID]chan<- runqueue.Action
	lastID   runqueue.RequestID
	waiting  int // number that the metric contains
	expected map[Class]time.Duration
	busyAt   time.Time // last BUSY answer of the target
	closed   bool      // the target has left
	awaiting int       // statements that have a turn and wait for a connection
	covered  int       // connections being opened for them
}

// Turn is the permission of a statement to run on a target. Its methods do nothing on nil, which is the turn of statements
// without load control.
type Turn struct {
	queue     *Queue
	id        runqueue.RequestID
	class     Class
	startedAt time.Time
	done      bool // the target has run a command
}

// NewQueue returns the queue of a registered target. If limit is nil, the limit follows from the slots of the target.
func (s *Shared) NewQueue(t catalog.Target, limit Limit, log *zap.Logger, now time.Time) *Queue {
	q := &Queue{shared: s, log: log, target: t.ID, limit: limit, waiters: map[runqueue.RequestID]chan<- runqueue.Action{},
		expected: map[Class]time.Duration{}, queue: runqueue.New(runqueue.DefaultLimit, rand.Float64)}
	q.setSlots(now, t.Slots)
	if until := s.startedAt.Add(recoveryTime); now.Before(until) {
		q.queue.SetRecovery(until)
	}
	return q
}

// Target returns the target of the queue.
func (q *Queue) Target() model.TargetID { return q.target }

// SetSlots adopts a changed number of slots of the target's registration.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slots != q.slots {
		q.setSlots(now, slots)
	}
}

// setSlots sets the limit by the slots. Without valid slots it assumes runqueue.DefaultLimit. The caller holds q.mu or is
// the only one that knows q.
func (q *Queue) setSlots(now time.Time, slots int) {
	q.slots = slots
	if slots <= 0 {
		q.log.Warn("queue: the registration has no valid number of slots", zap.String("target", string(q.target)),
			zap.Int("slots", slots), zap.Int("assumed", runqueue.DefaultLimit))
		slots = runqueue.DefaultLimit
	}
	if _, bySlots := q.limit.(slotLimit); bySlots || q.limit == nil {
		q.limit = slotLimit(slots)
	}
	q.queue.SetMaxOpenings(slots)
	q.apply(q.queue.SetLimit(now, q.limit.Limit()))
}

// Await waits until the queue lets the request run. It returns a refusal instead of a turn if the request must not run. It
// sets ID and Expected of the request.
func (q *Queue) Await(r runqueue.Request, class Class) (*Turn, *runqueue.Refuse) {
	decision := make(chan runqueue.Action, 1)
	q.mu.Lock()
	if q.closed { // nothing calls Tick for this queue any more, so that the request would wait past its deadline
		q.mu.Unlock()
		return nil, &runqueue.Refuse{Reason: runqueue.Closed}
	}
	q.lastID++
	r.ID, r.Expected = q.lastID, q.expected[class]
	if r.Opening {
		r.Expected = openingExpected
	}
	now := boottime.Now()
	r, invalid := runqueue.Sanitize(now, r)
	q.waiters[r.ID] = decision
	q.apply(q.queue.Enqueue(now, r))
	q.mu.Unlock()
	if invalid != "" && q.shared.lines.Allow(now) {
		q.log.Warn("queue: invalid fields of a request, defaults used", zap.String("fields", invalid),
			zap.String("database", class.Database), zap.String("workspace", string(r.Workspace)))
	}
	switch a := (<-decision).(type) {
	case runqueue.Start:
		started := boottime.Now()
		q.shared.metrics.observeWait(r.Priority, started.Sub(now))
		return &Turn{queue: q, id: r.ID, class: class, startedAt: started}, nil
	case runqueue.Refuse:
		q.logRefusal(r, a, class)
		return nil, &a
	}
	return nil, &runqueue.Refuse{ID: r.ID, Reason: runqueue.Closed} // there are no other actions
}

// apply delivers the actions to the waiting goroutines. The caller holds q.mu.
func (q *Queue) apply(actions []runqueue.Action) {
	for _, action := range actions {
		var id runqueue.RequestID
		switch a := action.(type) {
		case runqueue.Start:
			id = a.ID
		case runqueue.Refuse:
			id = a.ID
		}
		if waiter, ok := q.waiters[id]; ok {
			delete(q.waiters, id)
			waiter <- action
		}
	}
	if waiting := q.queue.Waiting(); waiting != q.waiting {
		q.shared.metrics.waiting.Add(float64(waiting - q.waiting))
		q.waiting = waiting
	}
}

// logRefusal counts a refusal and logs it with what it was decided from.
func (q *Queue) logRefusal(r runqueue.Request, a runqueue.Refuse, class Class) {
	q.shared.metrics.refused.WithLabelValues(a.Reason.String()).Inc()
	now := boottime.Now()
	if !q.shared.lines.Allow(now) {
		return
	}
	q.mu.Lock()
	waiting, running, limit := q.queue.Waiting(), q.queue.Running(), q.queue.Limit()
	q.mu.Unlock()
	q.log.Info("queue: refused", zap.Stringer("reason", a.Reason), zap.String("target", string(q.target)),
		zap.String("database", class.Database), zap.String("kind", string(class.Kind)), zap.String("workspace", string(r.Workspace)),
		zap.Int("priority", r.Priority), zap.Bool("in_txn", r.InTxn), zap.Duration("wait", a.Wait),
		zap.Duration("expected", r.Expected), zap.Duration("to_latency_target", r.LatencyTarget.Sub(now)),
		zap.Duration("to_deadline", r.Deadline.Sub(now)), zap.Duration("retry_after", a.RetryAfter),
		zap.Int("waiting", waiting), zap.Int("running", running), zap.Int("limit", limit))
}

// End returns the turn, so that another statement may run.
func (t *Turn) End() {
	if t == nil {
		return
	}
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if t.done { // the time of a turn without a connection or an answer says nothing about the next one
		q.learn(t.class, now.Sub(t.startedAt))
	}
	q.apply(q.queue.Finish(now, t.id))
	q.apply(q.queue.SetLimit(now, q.limit.Limit()))
}

// learn adds a sample to the expected time of a class. The caller holds q.mu.
func (q *Queue) learn(class Class, took time.Duration) {
	known, found := q.expected[class]
	if !found {
		known = runqueue.DefaultExpected
	}
	q.expected[class] = known + time.Duration(expectedSmoothing*float64(took-known))
}

// Answered records the outcome of a command of the statement.
func (t *Turn) Answered(outcome concurrency.Outcome) {
	if t != nil {
		t.done = t.done || outcome == concurrency.Done
		t.queue.Answered(outcome)
	}
}

// Answered records the outcome of a command. A learned limit may have changed with it.
func (q *Queue) Answered(outcome concurrency.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if outcome == concurrency.Busy {
		q.busyAt = now
	}
	q.apply(q.queue.SetLimit(now, q.limit.Limit()))
}

// PauseAfterBusy returns the time until retries may be sent to the target again.
func (q *Queue) PauseAfterBusy(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.busyAt.Add(BusyPause).Sub(now))
}

// CountAwaiting counts the statements that have a turn and wait for a connection: change is 1 when the wait begins, and -1
// when it ends.
func (q *Queue) CountAwaiting(change int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.awaiting += change
}

// BeginCovered reports whether a connection that is to be opened is for a statement that has a turn. It needs no turn then,
// and EndCovered must be called when it is open.
func (q *Queue) BeginCovered() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.awaiting <= q.covered {
		return false
	}
	q.covered++
	return true
}

// EndCovered records that a connection for which BeginCovered reported true is open, or was not opened.
func (q *Queue) EndCovered() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.covered--
}

// SetIdle states how many idle connections of a workspace to the target there are.
func (q *Queue) SetIdle(workspace model.Workspace, connections int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetIdle(workspace, connections)
}

// Tick refuses expired requests and adopts changes of the limit. It must be called some 50 times a second.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.apply(q.queue.SetLimit(now, q.limit.Limit()))
	q.apply(q.queue.Tick(now))
}

// Close refuses all waiting requests and those that come later, because the target has left.
func (q *Queue) Close(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.apply(q.queue.RefuseAll(now))
}

// Figures describe the load of a target as its queue on this host sees it.
type Figures struct {
	Limit, Running, Waiting int
	Wait                    time.Duration // expected wait of a statement of the given priority
}

// Figures returns the figures for a statement of the given priority.
func (q *Queue) Figures(now time.Time, priority int) Figures {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := runqueue.Request{Priority: priority, Arrived: now, LatencyTarget: now.Add(time.Second), Deadline: now.Add(time.Second)}
	return Figures{Limit: q.queue.Limit(), Running: q.queue.Running(), Waiting: q.queue.Waiting(), Wait: q.queue.Wait(now, r)}
}

// Length returns the number of waiting requests.
func (q *Queue) Length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Waiting()
}
