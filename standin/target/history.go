package target

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// EventKind tells what an Event records.
type EventKind string

// Kinds of events.
const (
	EventStatement EventKind = "statement" // a statement that executed or was refused
	EventCommit    EventKind = "commit"    // a transaction that appended an entry to the primary's log
	EventRollback  EventKind = "rollback"  // a transaction that was rolled back
	EventAdopt     EventKind = "adopt"
	EventPromote   EventKind = "promote"
	EventFollow    EventKind = "follow"
	EventTruncate  EventKind = "truncate" // a replica dropped the entries after Position
	EventKill      EventKind = "kill"
	EventRestart   EventKind = "restart"
)

// Event is one entry of the history.
type Event struct {
	Sequence    uint64         `json:"sequence"` // order over all members of the group
	Time        time.Time      `json:"time"`
	Member      string         `json:"member"`
	Kind        EventKind      `json:"kind"`
	Connection  uint32         `json:"connection,omitempty"`
	Transaction uint64         `json:"transaction,omitempty"` // links statements with their commit or rollback
	SQL         string         `json:"sql,omitempty"`
	Args        []string       `json:"args,omitempty"` // a null argument is recorded as an empty string
	Workspace   string         `json:"workspace,omitempty"`
	RequestID   string         `json:"request_id,omitempty"`
	Position    model.Position `json:"position"`
	SQLState    string         `json:"code,omitempty"` // SQLSTATE of a refused statement
}

// History records what ran on the members of a group. It is safe for concurrent use.
type History struct {
	discard bool

	mu       sync.Mutex
	sequence uint64
	events   []Event
	received map[uint32][]byte // bytes from clients by connection
}

// NewHistory returns an empty history. With discard set it records nothing.
func NewHistory(discard bool) *History {
	return &History{discard: discard, received: map[uint32][]byte{}}
}

func (h *History) add(e Event) {
	if h.discard {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	e.Sequence = h.sequence
	e.Time = time.Now()
	h.events = append(h.events, e)
}

func (h *History) addReceived(connection uint32, data []byte) {
	if h.discard {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received[connection] = append(h.received[connection], data...)
}

func (h *History) dropReceived(connection uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.received, connection)
}

// Events returns a copy of the events after the given sequence number, in time order.
func (h *History) Events(after uint64) []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after >= h.sequence {
		return nil
	}
	return slices.Clone(h.events[after:])
}

// Received reports whether any client sent the given bytes within one connection.
func (h *History) HasReceived(data []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, stream := range h.received {
		if bytes.Contains(stream, data) {
			return true
		}
	}
	return false
}

// ReceivedBytes returns a copy of all bytes from clients by connection number.
func (h *History) ReceivedBytes() map[uint32][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	streams := make(map[uint32][]byte, len(h.received))
	for connection, stream := range h.received {
		streams[connection] = slices.Clone(stream)
	}
	return streams
}
