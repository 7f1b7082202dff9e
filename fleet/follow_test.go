package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

func item(key string, revision uint64) metastore.Item {
	return metastore.Item{Key: key, Value: []byte(key), Revision: revision}
}

func newTestFollower(t *testing.T) (*Agent, *prefixFollower) {
	t.Helper()
	a := &Agent{events: make(chan func(*control), eventQueueLength), followers: map[string]*prefixFollower{}}
	a.view.Store(newClusterView())
	return a, a.follower("p/", func(*control, prefixChange) {})
}

func itemRevisions(f *prefixFollower) map[string]uint64 {
	got := map[string]uint64{}
	for key, i := range f.items {
		got[key] = i.Revision
	}
	return got
}

// Guards against a host that misses a change or a removal that another host relays, whatever it knew before.
func TestRelayedChangesAreComplete(t *testing.T) {
	ctx := context.Background()
	_, leader := newTestFollower(t)
	leader.replaceState(ctx, PrefixState{Revision: 10, Items: []metastore.Item{item("p/a", 3), item("p/b", 8)}}, true)
	leader.applyEvents(ctx, []metastore.Event{{Item: item("p/c", 12)}, {Item: item("p/a", 13), Removed: true}}, 13)
	leader.replaceState(ctx, PrefixState{Revision: 20, Items: []metastore.Item{item("p/c", 12), item("p/d", 18)}}, true)
	want := map[string]uint64{"p/c": 12, "p/d": 18}
	for name, known := range map[string]PrefixState{
		"nothing":         {},
		"an early state":  {Revision: 5, Items: []metastore.Item{item("p/a", 3), item("p/z", 4)}},
		"the first list":  {Revision: 10, Items: []metastore.Item{item("p/a", 3), item("p/b", 8)}},
		"the first event": {Revision: 12, Items: []metastore.Item{item("p/a", 3), item("p/b", 8), item("p/c", 12)}},
	} {
		_, host := newTestFollower(t)
		if known.Revision > 0 {
			host.replaceState(ctx, known, true)
		}
		if !host.applyRelayed(ctx, leader.changesSince(host.revision)) {
			t.Errorf("a host that knows %s takes over nothing", name)
		}
		if diff := cmp.Diff(want, itemRevisions(host)); diff != "" {
			t.Errorf("a host that knows %s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against an old state or event that undoes a later one.
func TestOlderStateIsIgnored(t *testing.T) {
	ctx := context.Background()
	_, f := newTestFollower(t)
	f.replaceState(ctx, PrefixState{Revision: 20, Items: []metastore.Item{item("p/a", 20)}}, true)
	if f.applyRelayed(ctx, PrefixState{Revision: 15, Items: []metastore.Item{item("p/a", 9)}}) {
		t.Error("an older state was taken over")
	}
	if f.applyRelayed(ctx, PrefixState{Since: 25, Revision: 30, Items: []metastore.Item{item("p/b", 28)}}) {
		t.Error("a state with a gap before it was taken over")
	}
	f.applyEvents(ctx, []metastore.Event{{Item: item("p/a", 18), Removed: true}}, 18)
	if diff := cmp.Diff(map[string]uint64{"p/a": 20}, itemRevisions(f)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
}

// Guards against a relay that sends whole prefixes for each change: with 70 hosts they filled the link of the leader.
func TestRelaySendsOnlyChanges(t *testing.T) {
	ctx := context.Background()
	_, f := newTestFollower(t)
	f.replaceState(ctx, PrefixState{Revision: 10, Items: []metastore.Item{item("p/a", 3), item("p/b", 8)}}, true)
	f.applyEvents(ctx, []metastore.Event{{Item: item("p/c", 12)}}, 12)
	want := PrefixState{Since: 10, Revision: 12, Items: []metastore.Item{item("p/c", 12)}}
	if diff := cmp.Diff(want, f.changesSince(10), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("state (-want +got):\n%s", diff)
	}
}

// Guards against a draining primary that gets work for too long because each new leader counts from its own beginning.
func TestDrainingSinceSurvivesLeaderChange(t *testing.T) {
	v, start := newClusterView(), time.Unix(1000, 0)
	draining := catalog.Target{ID: "a", Service: "s", State: catalog.Draining}
	v.setTarget(draining, start)
	v.setTarget(draining, start.Add(3*time.Second)) // listed again, as by a host that becomes the leader
	if got := v.clone().drainingSince["a"]; !got.Equal(start) {
		t.Errorf("draining since %s, want %s", got, start)
	}
	v.setTarget(catalog.Target{ID: "a", Service: "s", State: catalog.Ready}, start.Add(4*time.Second))
	if _, noted := v.drainingSince["a"]; noted {
		t.Error("a target that is ready again counts as draining")
	}
}

// Guards against a later decision that is never stored because its condition names the revision of the decision before.
func TestStoreRevisionReplacesRelayedOne(t *testing.T) {
	v := newClusterView()
	c := &control{view: v}
	c.view.documents["s"] = versioned[primacy.Document]{primacy.Document{Service: "s", Epoch: 4}, 40}
	told := primacy.Document{Service: "s", Epoch: 5}
	c.view.documents["s"] = versioned[primacy.Document]{told, 40} // as the leader told it, without its revision
	event := metastore.Event{Item: metastore.Item{Key: primaryPrefix + "s", Value: mustEncode(told), Revision: 47}}
	if err := v.applyControlKey(event); err != nil {
		t.Fatal(err)
	}
	if got := v.documents["s"].revision; got != 47 {
		t.Errorf("the decision has revision %d, want 47", got)
	}
}

// countingStore is a store that does not answer, or whose watches always have an event.
type countingStore struct {
	metastore.Store
	down  bool
	calls int
}

func (s *countingStore) List(context.Context, string) ([]metastore.Item, uint64, error) {
	s.calls++
	if s.down {
		return nil, 0, metastore.ErrNotExecuted
	}
	return nil, 1, nil
}

func (s *countingStore) ListStale(ctx context.Context, prefix string) ([]metastore.Item, uint64, error) {
	return s.List(ctx, prefix)
}

func (s *countingStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]metastore.Event, uint64, error) {
	s.calls++
	return []metastore.Event{{Item: item("p/a", after+1)}}, after + 1, nil
}

// callsIn returns the calls that a host which does not lead makes to keep up with one prefix.
func countCalls(t *testing.T, store *countingStore, span time.Duration) int {
	synctest.Test(t, func(t *testing.T) {
		a := &Agent{Config: Config{Store: store, Log: zap.NewNop(), Decoders: Decoders{ConfigurationKey: "p/"}}, events: make(chan func(*control), 10000),
			followers: map[string]*prefixFollower{}}
		a.view.Store(newClusterView())
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		a.follow(ctx, "p/", func(*control, prefixChange) {})
	})
	return store.calls
}

// Guards against a fleet that asks a store which does not answer so often that the calls grow with the hosts: in the long run
// a host asks twice in longestIdlePause.
func TestStoreOutageBacksOff(t *testing.T) {
	if n := countCalls(t, &countingStore{down: true}, 30*time.Second); n > 5+20 {
		t.Errorf("%d calls for one prefix in 30 s without an answer", n)
	}
}

// Guards against a watch for each change, while all hosts of a fleet register at once.
func TestWatchesBatchChanges(t *testing.T) {
	if n := countCalls(t, &countingStore{}, time.Second); n > 12 {
		t.Errorf("%d calls for one prefix in a second of changes", n)
	}
}
