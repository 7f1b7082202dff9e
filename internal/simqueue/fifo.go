package simqueue

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// fifo is the queue that the fair queue is compared with. It drops a request whose time has ended when its turn comes,
// as a queue does whose callers cancel.
type fifo struct {
	slots, bound int
	last         fairqueue.Ticket
	running      int
	tickets      []fairqueue.Ticket
	deadlines    []time.Time
}

func newFIFO(slots, bound int) *fifo { return &fifo{slots: slots, bound: bound} }

func (f *fifo) Push(now time.Time, request fairqueue.Request) (fairqueue.Ticket, []fairqueue.Action) {
	f.last++
	if len(f.tickets) >= f.bound {
		full := model.NotRun(model.ReasonQueueFull, "")
		return f.last, []fairqueue.Action{{Ticket: f.last, Result: full}}
	}
	f.tickets = append(f.tickets, f.last)
	f.deadlines = append(f.deadlines, request.Deadline)
	return f.last, f.dispatch(now)
}

func (f *fifo) Finish(now time.Time, _ fairqueue.Ticket) []fairqueue.Action {
	f.running--
	return f.dispatch(now)
}

func (f *fifo) dispatch(now time.Time) []fairqueue.Action {
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

func (f *fifo) Expire(time.Time) []fairqueue.Action { return nil }

func (f *fifo) EstimatedWait(model.Workspace) time.Duration { return 0 }

func (f *fifo) Stats() fairqueue.Stats {
	return fairqueue.Stats{Queued: len(f.tickets), Running: f.running}
}
