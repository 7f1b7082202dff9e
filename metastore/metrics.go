package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// measuredStore counts the calls of a Store.
type measuredStore struct {
	store Store
	calls *prometheus.CounterVec
}

// Measure returns a Store that counts the calls of store by operation and result, and registers the counter with r.
func Measure(store Store, r prometheus.Registerer) Store {
	m := &measuredStore{store: store,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_store_calls_total",
			Help: "Calls of the metadata store by operation and result."}, []string{"operation", "result"})}
	r.MustRegister(m.calls)
	return m
}

// count records a call that returned err.
func (m *measuredStore) count(operation string, err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "ok"
	case errors.Is(err, ErrNotExecuted):
		result = "refused"
	case errors.Is(err, ErrConflict), errors.Is(err, ErrLeaseEnded), errors.Is(err, ErrCompacted):
		result = "rejected"
	}
	m.calls.WithLabelValues(operation, result).Inc()
}

// List implements Store.
func (m *measuredStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := m.store.List(ctx, prefix)
	m.count("list", err)
	return items, revision, err
}

// ListStale implements Store.
func (m *measuredStore) ListStale(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := m.store.ListStale(ctx, prefix)
	m.count("list_stale", err)
	return items, revision, err
}

// Watch implements Store.
func (m *measuredStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64,
	error) {
	events, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.count("watch", err)
	return events, revision, err
}

// Commit implements Store.
func (m *measuredStore) Commit(ctx context.Context, txn Txn) (uint64, error) {
	revision, err := m.store.Commit(ctx, txn)
	m.count("commit", err)
	return revision, err
}

// Grant implements Store.
func (m *measuredStore) Grant(ctx context.Context, ttl time.Duration) (Lease, time.Duration, error) {
	lease, granted, err := m.store.Grant(ctx, ttl)
	m.count("grant", err)
	return lease, granted, err
}

// KeepAlive implements Store.
func (m *measuredStore) KeepAlive(ctx context.Context, lease Lease) error {
	err := m.store.KeepAlive(ctx, lease)
	m.count("keep_alive", err)
	return err
}

// Revoke implements Store.
func (m *measuredStore) Revoke(ctx context.Context, lease Lease) error {
	err := m.store.Revoke(ctx, lease)
	m.count("revoke", err)
	return err
}
