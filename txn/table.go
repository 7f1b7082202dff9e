package txn

import (
	"cmp"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// DefaultIdleTimeout is the default idle time after which a transaction is rolled back.
const DefaultIdleTimeout = 30 * time.Second

// Config configures a Table.
type Config struct {
	// IdleTimeout is the idle time after which a transaction expires. Zero selects DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxPinsPerWorkspace bounds the connections of one service that one workspace pins. It must be at least 1.
	MaxPinsPerWorkspace int
	// MaxPins bounds the connections of one service that all workspaces pin. It must be at least 1.
	MaxPins int
}

// ID identifies a transaction at its home. IDs are not reused within an incarnation of the home. Zero is not a valid ID.
type ID uint64

// Lease grants one request the exclusive use of a transaction. Each use has its own lease, so that a late Release or End
// by an earlier request does not affect a later one.
type Lease struct {
	ID  ID
	use uint64
}

// EndCause is the reason why a transaction was ended by the table rather than by its caller.
type EndCause uint8

const (
	// EndIdle means that the transaction exceeded the idle timeout.
	EndIdle EndCause = iota + 1
	// EndDrain means that the drain deadline passed.
	EndDrain
)

// EndedTransaction is a transaction that was ended by the table rather than by its caller. The user of the table must
// close the connection in Value, so that the target rolls the transaction back.
type EndedTransaction[V any] struct {
	ID    ID
	Value V
	Cause EndCause
	// InUse means that a request was using the transaction. The outcome of that request is unknown.
	InUse bool
}

type transaction[V any] struct {
	id         ID
	service    model.Service
	owner      Owner
	value      V
	currentUse uint64    // use number of the current lease, zero while idle
	useCount   uint64    // number of leases granted so far
	expiresAt  time.Time // end of the idle timeout; valid only while idle
}

type pinKey struct {
	service   model.Service
	workspace model.Workspace
}

// Table holds the open transactions of a home. V is the resource that a transaction pins, such as its connection.
type Table[V any] struct {
	config        Config
	transactions  map[ID]*transaction[V]
	lastID        ID
	workspacePins map[pinKey]int
	servicePins   map[model.Service]int
	draining      bool
	drainDeadline time.Time
}

// NewTable returns an empty table. It returns an error if a bound is less than 1 or the timeout is negative.
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

// Begin adds a transaction and leases it to the request that begins it. It returns ErrPinLimit or ErrDraining on failure.
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

// Acquire leases a transaction to a request and returns the value that the transaction pins. It returns ErrLost if the
// transaction is unknown or has expired, ErrNotOwner if it belongs to another workspace, key or service, and ErrBusy if
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

// Release ends a lease and keeps the transaction open. It reports whether the lease was valid; if not, the lease or the
// transaction has ended already.
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
// valid.
func (t *Table[V]) End(lease Lease) bool {
	entry, found := t.findHeld(lease)
	if found {
		t.remove(entry)
	}
	return found
}

// Expire removes and returns the transactions that exceeded the idle timeout and, after the drain deadline, all
// transactions. They are ordered by ID.
func (t *Table[V]) Expire(now time.Time) []EndedTransaction[V] {
	var ended []EndedTransaction[V]
	for _, entry := range t.transactions {
		drainExpired := t.draining && !now.Before(t.drainDeadline)
		idleExpired := entry.currentUse == 0 && !now.Before(entry.expiresAt)
		if !drainExpired && !idleExpired {
			continue
		}
		cause := EndIdle
		if !idleExpired {
			cause = EndDrain
		}
		ended = append(ended, EndedTransaction[V]{ID: entry.id, Value: entry.value, Cause: cause, InUse: entry.currentUse != 0})
		t.remove(entry)
	}
	slices.SortFunc(ended, func(a, b EndedTransaction[V]) int { return cmp.Compare(a.ID, b.ID) })
	return ended
}

// NextExpiry returns the earliest time at which a transaction expires, and false if there is none.
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

// Drain rejects new transactions. Open transactions can be finished until the given time, when all of them expire.
func (t *Table[V]) Drain(until time.Time) {
	t.draining = true
	t.drainDeadline = until
}

// Len returns the number of open transactions.
func (t *Table[V]) Len() int { return len(t.transactions) }

// PinCount returns the number of connections of a service that a workspace pins.
func (t *Table[V]) PinCount(service model.Service, workspace model.Workspace) int {
	return t.workspacePins[pinKey{service, workspace}]
}

// expiryOf returns the time at which the transaction expires unless it is used before.
func (t *Table[V]) expiryOf(entry *transaction[V]) time.Time {
	if t.draining && (entry.currentUse != 0 || t.drainDeadline.Before(entry.expiresAt)) {
		return t.drainDeadline
	}
	return entry.expiresAt
}

// findHeld returns the transaction of a lease, and false if the lease has ended.
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
