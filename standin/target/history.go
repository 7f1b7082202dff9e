package target

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStatement EventKind = "statement" // a statement that executed or was refused
	EventCommit    EventKind = "commit"    // a transaction that appended an entry to the primary's log
	EventRollback  EventKind = "rollback"  // a transaction that was rolled back
	EventAdopt     EventKind = "adopt"
	EventPromote   EventKind = "promote"
	EventFollow    EventKind = "follow"
	EventTruncate  EventKind = "truncate" // a replica discarded the entries after Position
	EventKill      EventKind = "kill"
	EventRestart   EventKind = "restart"
)

// Event is one entry of the history.
type Event struct {
	Sequence    uint64         `json:"sequence"` // total order over all members of the group
	Time        time.Time      `json:"time"`
	Member      string         `json:"member"`
	Kind        EventKind      `json:"kind"`
	Connection  uint32         `json:"connection,omitempty"`
	Transaction uint64         `json:"transaction,omitempty"` // links statements to their commit or rollback
	SQL         string         `json:"sql,omitempty"`
	Args        []string       `json:"args,omitempty"` // a null argument is recorded as an empty string
	Workspace   string         `json:"workspace,omitempty"`
	RequestID   string         `json:"request_id,omitempty"`
	Position    model.Position `json:"position"`
	SQLState    string         `json:"code,omitempty"` // SQLSTATE of a refused statement
}

// History records the statements and state changes of a group's members. It is safe for concurrent use.
type History struct {
	discard bool

	mu       sync.Mutex
	sequence uint64
	events   []Event
	received map[uint32][]byte // bytes received from clients, by connection
}

// NewHistory returns an empty history. If discard is set, it records nothing.
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

// Events returns a copy of the events after the given sequence number, in order.
func (h *History) Events(after uint64) []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	if after >= h.sequence {
		return nil
	}
	return slices.Clone(h.events[after:])
}

// HasReceived reports whether the bytes received on any single client connection contain data.
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

// ReceivedBytes returns a copy of the bytes received from clients, by connection.
func (h *History) ReceivedBytes() map[uint32][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	streams := make(map[uint32][]byte, len(h.received))
	for connection, stream := range h.received {
		streams[connection] = slices.Clone(stream)
	}
	return streams
}
