// Package metastore defines the interface to the platform's metadata store: linearizable items with revisions,
// conditional transactions, leases and watches.
package metastore

import (
	"context"
	"errors"
	"time"
)

// Errors of Store. After any other error it is unknown whether the call took effect.
var (
	// ErrNotExecuted means that the store refused the call without executing it.
	ErrNotExecuted = errors.New("the store refused the call")
	// ErrCompacted means that the history after the given revision is gone, so the keys have to be listed again.
	ErrCompacted = errors.New("the store no longer has the history")
	// ErrLeaseEnded means that the lease does not exist any more.
	ErrLeaseEnded = errors.New("the lease has ended")
	// ErrConflict means that a key of a transaction did not have the expected revision. Nothing was changed.
	ErrConflict = errors.New("a key has another revision than expected")
)

// Lease identifies a lease of the store. The zero value means no lease.
type Lease int64

// Item is a key-value pair with its revisions.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // revision of the last change
	Created  uint64 // revision at which the key was created
	Lease    Lease
}

// Event is a change of a key. For a removal only the key and the revision are set.
type Event struct {
	Item
	Removed bool
}

// Condition requires a key to have a revision. Revision zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Txn is a set of changes that are applied atomically if all conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Item // only Key, Value and Lease are used
	Removes    []string
}

// Store is the platform's metadata store. All methods are safe for concurrent use.
type Store interface {
	// List returns all items under a prefix, and the lowest revision reflected by any page of the result. A watch
	// from that revision misses no change.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// ListStale is List at a tenth of the cost. The result may be seconds old, as its revision shows.
	ListStale(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits up to the given time for changes after a revision, and returns them with the revision to continue
	// from. It fails with ErrCompacted if the store no longer has the history after that revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a transaction and returns its revision. It fails with ErrConflict if a condition does not hold, and
	// with ErrLeaseEnded if the lease of an item has ended.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant creates a lease and returns the time to live that the store chose.
	Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error)
	// KeepAlive renews a lease as of the arrival of the call. It fails with ErrLeaseEnded.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}
