package server

import (
	"context"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// slotQueue assigns the slots of one target to waiting request goroutines in the order of a fair queue.
type slotQueue struct {
	mu      sync.Mutex
	queue   *fairqueue.Queue
	waiting map[fairqueue.Ticket]chan model.Result
}

func newSlotQueue(slots int) (*slotQueue, error) {
	q, err := fairqueue.New(fairqueue.Config{
		Slots:                 slots,
		MaxQueued:             fairqueue.DefaultMaxQueued,
		MaxQueuedPerWorkspace: fairqueue.DefaultMaxQueuedPerWorkspace,
		Policy:                fairqueue.PolicySlotTime,
		ServiceTime:           fairqueue.DefaultServiceTime,
	})
	if err != nil {
		return nil, err
	}
	return &slotQueue{queue: q, waiting: map[fairqueue.Ticket]chan model.Result{}}, nil
}

// acquire waits for a slot. If the outcome is OutcomeDone, the request may run and the caller must release the ticket.
func (s *slotQueue) acquire(ctx context.Context, r fairqueue.Request) (fairqueue.Ticket, model.Result) {
	answer := make(chan model.Result, 1)
	s.mu.Lock()
	ticket, actions := s.queue.Push(time.Now(), r)
	s.waiting[ticket] = answer
	s.deliver(actions)
	s.mu.Unlock()
	select {
	case result := <-answer:
		return ticket, result
	case <-ctx.Done():
		return s.cancelWait(ticket, answer)
	}
}

// cancelWait removes a request from the queue after its context is done. If the request got a slot in the meantime, it
// releases the slot.
func (s *slotQueue) cancelWait(ticket fairqueue.Ticket, answer chan model.Result) (fairqueue.Ticket, model.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ticket)
	if s.queue.Cancel(ticket) {
		return ticket, model.NotRun(model.ReasonDeadlineExceeded, "the time of the request ended while it waited for a slot")
	}
	result := <-answer
	if result.Outcome == model.OutcomeDone {
		s.deliver(s.queue.Finish(time.Now(), ticket))
		return ticket, model.NotRun(model.ReasonDeadlineExceeded, "the time of the request ended when it got a slot")
	}
	return ticket, result
}

// release frees the slot of a ticket.
func (s *slotQueue) release(ticket fairqueue.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.queue.Finish(time.Now(), ticket))
}

// setSlots changes the number of slots.
func (s *slotQueue) setSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.queue.SetSlots(time.Now(), n))
}

// close refuses new requests. Requests already queued still run.
func (s *slotQueue) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Close()
}

func (s *slotQueue) stats() fairqueue.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Stats()
}

// deliver sends the results of queue actions to the waiting goroutines. s.mu must be held.
func (s *slotQueue) deliver(actions []fairqueue.Action) {
	for _, a := range actions {
		answer, ok := s.waiting[a.Ticket]
		if !ok {
			continue
		}
		delete(s.waiting, a.Ticket)
		result := a.Result
		if a.Start {
			result = model.Done()
		}
		answer <- result
	}
}
