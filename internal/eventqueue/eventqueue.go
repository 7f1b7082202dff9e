// Package eventqueue orders the events of simulations in virtual time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events in the order of their times, and events of the same time in the order of their insertion, so that a
// simulation is deterministic. The zero value is empty. It is not safe for concurrent use.
type Queue[T any] struct {
	entries  entries[T]
	sequence uint64 // of the last event
}

// Push adds an event at the given time.
func (q *Queue[T]) Push(at time.Time, event T) {
	q.sequence++
	heap.Push(&q.entries, entry[T]{at, q.sequence, event})
}

// Pop removes the next event and returns it with its time. The queue must not be empty.
func (q *Queue[T]) Pop() (at time.Time, event T) {
	e := heap.Pop(&q.entries).(entry[T])
	return e.at, e.event
}

// Len returns the number of events.
func (q *Queue[T]) Len() int { return len(q.entries) }

type entry[T any] struct {
	at       time.Time
	sequence uint64
	event    T
}

type entries[T any] []entry[T]

func (e entries[T]) Len() int      { return len(e) }
func (e entries[T]) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)   { *e = append(*e, x.(entry[T])) }

func (e entries[T]) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
