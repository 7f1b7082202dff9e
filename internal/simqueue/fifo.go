package simqueue

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// fifoQueue is the baseline for the fair queue. It drops expired requests when they reach the head, like a queue whose
// callers cancel.
type fifoQueue struct {
	slots, maxQueued int
	lastTicket       fairqueue.Ticket
	running          int
	tickets          []fairqueue.Ticket
	deadlines        []time.Time
}

func newFIFO(slots, maxQueued int) *fifoQueue { return &fifoQueue{slots: slots, maxQueued: maxQueued} }

func (f *fifoQueue) Push(now time.Time, request fairqueue.Request) (fairqueue.Ticket, []fairqueue.Action) {
	f.lastTicket++
	if len(f.tickets) >= f.maxQueued {
		full := model.NotRun(model.ReasonQueueFull, "")
		return f.lastTicket, []fairqueue.Action{{Ticket: f.lastTicket, Result: full}}
	}
	f.tickets = append(f.tickets, f.lastTicket)
	f.deadlines = append(f.deadlines, request.Deadline)
	return f.lastTicket, f.dispatch(now)
}

func (f *fifoQueue) Finish(now time.Time, _ fairqueue.Ticket) []fairqueue.Action {
	f.running--
	return f.dispatch(now)
}

func (f *fifoQueue) dispatch(now time.Time) []fairqueue.Action {
	var actions []fairqueue.Action
	for f.running < f.slots && len(f.tickets) > 0 {
		action := fairqueue.Action{Ticket: f.tickets[0], Start: true}
		if !f.deadlines[0].After(now) {
			action = fairqueue.Action{Ticket: f.tickets[0], Result: model.NotRun(model.ReasonDeadlineExceeded, "")}
		}
		if action.Start {
			f.running++
		}
		f.tickets, f.deadlines = f.tickets[1:], f.deadlines[1:]
		actions = append(actions, action)
	}
	return actions
}

func (f *fifoQueue) Expire(time.Time) []fairqueue.Action { return nil }

func (f *fifoQueue) EstimatedWait(model.Workspace) time.Duration { return 0 }

func (f *fifoQueue) Stats() fairqueue.Stats {
	return fairqueue.Stats{Queued: len(f.tickets), Running: f.running}
}
