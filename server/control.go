package server

import (
	"context"
	"time"
)

const (
	// controlQueue bounds the events that wait for the control goroutine.
	eventQueueSize = 4096
	// controlTick is the time between two ticks of the control goroutine.
	tickInterval = 50 * time.Millisecond
)

// control is the goroutine that owns all control state: membership, freshness, configuration, roster and failover. An
// event is a function that runs on it. Traffic goroutines read immutable snapshots instead.
type controlLoop struct {
	events chan func(now time.Time)
	done   chan struct{} // closed when the goroutine has stopped
}

func newControlLoop() *controlLoop {
	return &controlLoop{events: make(chan func(time.Time), eventQueueSize), done: make(chan struct{})}
}

// post hands an event to the control goroutine. It reports false when the goroutine has stopped.
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

// run handles events until the context ends. Tick runs every controlTick.
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
