package server

import (
	"context"
	"time"
)

const (
	// eventQueueSize is the capacity of the event queue. Posting blocks while the queue is full.
	eventQueueSize = 4096
	// tickInterval is the interval at which the control loop calls its tick function.
	tickInterval = 50 * time.Millisecond
)

// controlLoop serializes access to the control state: membership, freshness, configuration, roster and failover. Events
// are functions that run on its goroutine. Request goroutines read immutable snapshots of the state instead.
type controlLoop struct {
	events chan func(now time.Time)
	done   chan struct{} // closed when the loop has stopped
}

func newControlLoop() *controlLoop {
	return &controlLoop{events: make(chan func(time.Time), eventQueueSize), done: make(chan struct{})}
}

// post queues an event for the control loop. It returns false if the loop has stopped.
func (c *controlLoop) post(event func(now time.Time)) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.events <- event:
		return true
	case <-c.done:
		return false
	}
}

// run executes events until the context is cancelled, and calls tick at every tickInterval.
func (c *controlLoop) run(ctx context.Context, tick func(now time.Time)) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(time.Now())
		case <-ticker.C:
			tick(time.Now())
		}
	}
}
