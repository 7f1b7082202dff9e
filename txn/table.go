package txn

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// DefaultIdleTimeout is the time after which an unused transaction is rolled back.
const DefaultIdleTimeout = 30 * time.Second

// Config has the settings of a table.
type Config struct {
	// IdleTimeout is the time after which an unused transaction expires. Zero stands for the default.
	IdleTimeout time.Duration
	// MaxPinsPerWorkspace bounds the connections of a service that a workspace pins. It is at least 1.
	MaxPinsPerWorkspace int
	// MaxPins bounds the connections of a service that all workspaces pin. It is at least 1.
	MaxPins int
}

// ID is the number of a transaction at its home. Numbers are not used twice within an incarnation, and zero is none.
type ID uint64

// Lease is the exclusive use of a transaction by one request. Each use has its own lease, so that a late Release or End
// of an earlier request does not touch the next one.
type Lease struct {
	ID  ID
	use uint64
}

// EndCause tells why a transaction ended without its caller.
type EndCause uint8

const (
	// EndIdle means that the transaction was not used for the idle timeout.
	EndIdle EndCause = iota + 1
	// EndDrain means that the host is leaving.
	EndDrain
)

// Ended is a transaction that has ended without its caller. The connection in Value is closed, which makes the target
// roll the transaction back.
type EndedTransaction[V any] struct {
	ID    ID
	Value V
	Cause EndCause
	// Busy means that a request was using the transaction. The outcome of that request is unknown.
	InUse bool
}

type transaction[V any] struct {
	id         ID
	service    model.Service
	owner      Owner
	value      V
	currentUse uint64    // use that holds the transaction, zero while it is idle
	useCount   uint64    // uses so far
	expiresAt  time.Time // while idle
}

type pinKey struct {
	service   model.Service
	workspace model.Workspace
}

// Table holds the transactions of a home. V is what a transaction pins, such as its connection.
type Table[V any] struct {
	config        Config
	transactions  map[ID]*transaction[V]
	lastID        ID
	workspacePins map[pinKey]int
	servicePins   map[model.Service]int
	draining      bool
	drainDeadline time.Time
}

// NewTable returns an empty table. It fails if a bound is below 1 or the timeout is negative.
func NewTable[V any](config Config) (*Table[V], error) {
	if config.MaxPinsPerWorkspace < 1 || config.MaxPins < 1 || config.IdleTimeout < 0 {
		return nil, trace.BadParameter("the bounds of pinned connections are at least 1, and the timeout is not negative")
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	return &Table[V]{
		config:        config,
		transactions:  make(map[ID]*transaction[V]),
		workspacePins: make(map[pinKey]int),
		servicePins:   make(map[model.Service]int),
	}, nil
}

// Begin adds a transaction that is in use by the request that begins it. It fails with ErrPins or ErrDraining.
func (t *Table[V]) Begin(service model.Service, owner Owner, value V) (Lease, error) {
	if t.draining {
		return Lease{}, ErrDraining
	}
	pin := pinKey{service, owner.Workspace}
	if t.workspacePins[pin] >= t.config.MaxPinsPerWorkspace || t.servicePins[service] >= t.config.MaxPins {
		return Lease{}, ErrPinLimit
	}
	t.workspacePins[pin]++
	t.servicePins[service]++
	t.lastID++
	entry := &transaction[V]{id: t.lastID, service: service, owner: owner, value: value, currentUse: 1, useCount: 1}
	t.transactions[entry.id] = entry
	return Lease{ID: entry.id, use: 1}, nil
}

// Use takes the exclusive use of a transaction and returns what it pins. It fails with ErrLost if the transaction is
// unknown or has expired, with ErrForeign if it belongs to another workspace, key or service, and with ErrBusy if
// another request is using it.
func (t *Table[V]) Acquire(now time.Time, id ID, service model.Service, owner Owner) (Lease, V, error) {
	var none V
	entry, found := t.transactions[id]
	switch {
	case !found:
		return Lease{}, none, ErrLost
	case entry.service != service || entry.owner != owner:
		return Lease{}, none, ErrNotOwner
	case entry.currentUse != 0:
		return Lease{}, none, ErrBusy
	case !now.Before(t.expiryOf(entry)):
		return Lease{}, none, ErrLost
	}
	entry.useCount++
	entry.currentUse = entry.useCount
	return Lease{ID: id, use: entry.currentUse}, entry.value, nil
}

// Release ends the use of a transaction, which stays open. It reports whether the lease was in force; if not, the
// transaction has ended meanwhile.
func (t *Table[V]) Release(now time.Time, lease Lease) bool {
	entry, found := t.findHeld(lease)
	if !found {
		return false
	}
	entry.currentUse = 0
	entry.expiresAt = now.Add(t.config.IdleTimeout)
	return true
}

// End removes a transaction after a commit, a rollback or a failure, and frees its pin. It reports whether the lease was
// in force.
func (t *Table[V]) End(lease Lease) bool {
	entry, found := t.findHeld(lease)
	if found {
		t.remove(entry)
	}
	return found
}

// Expire removes and returns the idle transactions whose time has come and, from the end of a drain on, all
// transactions, in the order of their numbers.
func (t *Table[V]) Expire(now time.Time) []EndedTransaction[V] {
	var ended []EndedTransaction[V]
	for _, entry := range t.transactions {
		drainOver := t.draining && !now.Before(t.drainDeadline)
		idle := entry.currentUse == 0 && !now.Before(entry.expiresAt)
		if !drainOver && !idle {
			continue
		}
		cause := EndIdle
		if !idle {
			cause = EndDrain
		}
		ended = append(ended, EndedTransaction[V]{ID: entry.id, Value: entry.value, Cause: cause, InUse: entry.currentUse != 0})
		t.remove(entry)
	}
	slices.SortFunc(ended, func(a, b EndedTransaction[V]) int { return cmp.Compare(a.ID, b.ID) })
	return ended
}

// NextExpiry returns the earliest time at which Expire has something to do.
func (t *Table[V]) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, entry := range t.transactions {
		if entry.currentUse != 0 && !t.draining {
			continue
		}
		if expiry := t.expiryOf(entry); next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	return next, !next.IsZero()
}

// Drain refuses new transactions. Open ones may be finished until the given time, at which all of them expire.
func (t *Table[V]) Drain(until time.Time) {
	t.draining = true
	t.drainDeadline = until
}

// Len returns the number of open transactions.
func (t *Table[V]) Len() int { return len(t.transactions) }

// Pins returns the connections of a service that a workspace pins.
func (t *Table[V]) PinCount(service model.Service, workspace model.Workspace) int {
	return t.workspacePins[pinKey{service, workspace}]
}

// end returns the time at which the transaction expires if it is not used before.
func (t *Table[V]) expiryOf(entry *transaction[V]) time.Time {
	if t.draining && (entry.currentUse != 0 || t.drainDeadline.Before(entry.expiresAt)) {
		return t.drainDeadline
	}
	return entry.expiresAt
}

func (t *Table[V]) findHeld(lease Lease) (*transaction[V], bool) {
	entry, found := t.transactions[lease.ID]
	return entry, found && lease.use != 0 && entry.currentUse == lease.use
}

func (t *Table[V]) remove(entry *transaction[V]) {
	delete(t.transactions, entry.id)
	pin := pinKey{entry.service, entry.owner.Workspace}
	if t.workspacePins[pin]--; t.workspacePins[pin] == 0 {
		delete(t.workspacePins, pin)
	}
	if t.servicePins[entry.service]--; t.servicePins[entry.service] == 0 {
		delete(t.servicePins, entry.service)
	}
}
