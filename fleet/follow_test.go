package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
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

// Guards against a host that misses a relayed change or removal, for different states that it may have seen before.
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
			t.Errorf("a host that has seen %s applied no changes", name)
		}
		if diff := cmp.Diff(want, itemRevisions(host)); diff != "" {
			t.Errorf("a host that has seen %s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against an older state or event that overwrites a later one.
func TestOlderStateIsIgnored(t *testing.T) {
	ctx := context.Background()
	_, f := newTestFollower(t)
	f.replaceState(ctx, PrefixState{Revision: 20, Items: []metastore.Item{item("p/a", 20)}}, true)
	if f.applyRelayed(ctx, PrefixState{Revision: 15, Items: []metastore.Item{item("p/a", 9)}}) {
		t.Error("an older state was applied")
	}
	if f.applyRelayed(ctx, PrefixState{Since: 25, Revision: 30, Items: []metastore.Item{item("p/b", 28)}}) {
		t.Error("a state that does not follow on was applied")
	}
	f.applyEvents(ctx, []metastore.Event{{Item: item("p/a", 18), Removed: true}}, 18)
	if diff := cmp.Diff(map[string]uint64{"p/a": 20}, itemRevisions(f)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
}

// Guards against a host that misses changes of other keys because it has listed a part of the prefix, and against a listed
// item that replaces a later one.
func TestMergedItemsKeepRevision(t *testing.T) {
	ctx := context.Background()
	_, leader := newTestFollower(t)
	leader.replaceState(ctx, PrefixState{Revision: 20, Items: []metastore.Item{item("p/a", 3), item("p/b", 15),
		item("p/d", 18)}}, true)
	_, f := newTestFollower(t)
	f.replaceState(ctx, PrefixState{Revision: 10, Items: []metastore.Item{item("p/a", 3), item("p/c", 9)}}, true)
	f.mergeItems(ctx, []metastore.Item{item("p/d", 18), item("p/a", 2)})
	if diff := cmp.Diff(map[string]uint64{"p/a": 3, "p/c": 9, "p/d": 18}, itemRevisions(f)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}
	if !f.applyRelayed(ctx, leader.changesSince(f.revision)) || f.items["p/b"].Revision != 15 {
		t.Errorf("after the merge the host is at revision %d and misses a change", f.revision)
	}
}

// Guards against a relay that sends whole prefixes for each change: with 70 hosts they saturated the link of the
// leader.
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

// Guards against a draining primary that gets work for too long because each new leader starts to count anew.
func TestDrainingSinceSurvivesLeaderChange(t *testing.T) {
	v, start := newClusterView(), time.Unix(1000, 0)
	draining := catalog.Target{ID: "a", Service: "s", State: catalog.Draining}
	v.setTarget(catalog.Target{ID: "a", Service: "s", State: catalog.Ready}, start.Add(-time.Second))
	v.setTarget(draining, start)
	v.setTarget(draining, start.Add(3*time.Second)) // listed again, as by a new leader
	if got := v.clone().drainingSince["a"]; !got.Equal(start) {
		t.Errorf("draining since %s, want %s", got, start)
	}
	v.setTarget(catalog.Target{ID: "a", Service: "s", State: catalog.Ready}, start.Add(4*time.Second))
	if _, recorded := v.drainingSince["a"]; recorded {
		t.Error("a target that is ready again counts as draining")
	}
}

// Guards against a leader that has just started and waits anew for hosts that do not report, while a target has been draining for long:
// its time may be over (review/9).
func TestDrainingTargetAtFirstSight(t *testing.T) {
	v, start := newClusterView(), time.Unix(1000, 0)
	v.setTarget(catalog.Target{ID: "a", Service: "s", State: catalog.Draining}, start)
	health := primacy.Health{Registered: true, Draining: true, DrainingFor: start.Sub(v.drainingSince["a"])}
	if cause := primacy.ReplacementCause(primacy.Document{Service: "s", Open: true, Primary: "a"}, health); cause != primacy.CauseDraining {
		t.Errorf("cause %q, want %q", cause, primacy.CauseDraining)
	}
}

// Guards against a document that can never be stored because its write is conditional on the revision of an earlier
// one: documents sent by the leader carry no revision.
func TestStoreRevisionReplacesRelayedOne(t *testing.T) {
	v := newClusterView()
	c := &control{view: v}
	c.view.documents["s"] = versioned[primacy.Document]{primacy.Document{Service: "s", Epoch: 4}, 40}
	relayed := primacy.Document{Service: "s", Epoch: 5}
	c.view.documents["s"] = versioned[primacy.Document]{relayed, 40} // as sent by the leader, without its revision
	event := metastore.Event{Item: metastore.Item{Key: primaryPrefix + "s", Value: mustEncode(relayed), Revision: 47}}
	if err := v.applyControlKey(event); err != nil {
		t.Fatal(err)
	}
	if got := v.documents["s"].revision; got != 47 {
		t.Errorf("the decision has revision %d, want 47", got)
	}
}

// countingStore counts calls. It either fails all of them, or returns an event from each watch.
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

func (s *countingStore) Watch(_ context.Context, _ string, after uint64,
	_ time.Duration) ([]metastore.Event, uint64, error) {
	s.calls++
	return []metastore.Event{{Item: item("p/a", after+1)}}, after + 1, nil
}

// countCalls returns the number of store calls that a host which does not lead makes to follow one prefix.
func countCalls(t *testing.T, store *countingStore, span time.Duration) int {
	synctest.Test(t, func(t *testing.T) {
		a := &Agent{Config: Config{Store: store, Log: zap.NewNop(), Decoders: Decoders{ConfigurationKey: "p/"}},
			events:    make(chan func(*control), 10000),
			followers: map[string]*prefixFollower{}}
		a.view.Store(newClusterView())
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		a.follow(ctx, "p/", func(*control, prefixChange) {})
	})
	return store.calls
}

// Guards against store calls during an outage that grow with the number of hosts. In the long run a host makes two
// calls in maxIdleBackoff.
func TestStoreOutageBacksOff(t *testing.T) {
	if n := countCalls(t, &countingStore{down: true}, 30*time.Second); n > 5+20 {
		t.Errorf("%d calls for one prefix in 30 s without an answer", n)
	}
}

// newOrdinaryHost returns the agent of a registered host that is not a candidate.
func newOrdinaryHost(store metastore.Store) *Agent {
	a := &Agent{Config: Config{Self: Host{ID: "small"}, Store: store, Log: zap.NewNop(),
		Decoders: Decoders{ConfigurationKey: "p/"}}, followers: map[string]*prefixFollower{},
		events: make(chan func(*control), eventQueueLength)}
	v := newClusterView()
	v.hosts["small"] = Host{ID: "small"}
	for _, id := range []model.HostID{"a", "b", "c"} {
		v.hosts[id] = Host{ID: id, LinkMbps: 100}
	}
	a.view.Store(v)
	a.renewing.Store(true)
	return a
}

// Guards against calls of a store that answers nobody, and against a store that is listed by all hosts at the moment of its
// return, while candidates are about to relay its state. A host must follow the store if it reaches it and nobody relays.
func TestOrdinaryHostsLeaveSilentStoreToCandidates(t *testing.T) {
	a := newOrdinaryHost(nil)
	a.lastRelay.Store(boottime.Now().UnixNano())
	pass := func(d time.Duration) { // the boot time cannot be replaced, so the recorded times are moved back
		a.lastRelay.Add(-d.Nanoseconds())
		if a.storeReachableSince.Load() != 0 {
			a.storeReachableSince.Add(-d.Nanoseconds())
		}
	}
	expect := func(when string, want bool) {
		t.Helper()
		if got := a.followsStore(); got != want {
			t.Errorf("%s: follows the store %t, want %t", when, got, want)
		}
	}
	expect("while the state is relayed", false)
	pass(2 * relayTimeout)
	a.recordRenewal(metastore.ErrNotExecuted)
	expect("the store refuses its renewals", false)
	a.recordRenewal(nil)
	expect("the store has just returned", false)
	pass(2 * storeReturnGrace)
	expect("the store has returned and nobody relays", true)
	a.recordRenewal(metastore.ErrNotExecuted)
	expect("the store is lost again", false)
	a.recordRenewal(nil)
	a.lastRelay.Store(boottime.Now().UnixNano())
	pass(2 * storeReturnGrace)
	expect("the state is relayed again", false)
}

// Guards against one watch call for each change while all hosts of a fleet register at once.
func TestWatchesBatchChanges(t *testing.T) {
	if n := countCalls(t, &countingStore{}, time.Second); n > 12 {
		t.Errorf("%d calls for one prefix in a second of changes", n)
	}
}

// Guards against a leader that relays an old configuration as fresh because the store still answers its watches of other prefixes
// (review/5): the other hosts, which reach the store, would not ask it themselves.
func TestRelayIsFreshForEachPrefix(t *testing.T) {
	now := boottime.Now()
	for _, test := range []struct {
		name  string
		ages  map[string]time.Duration // of the last reply of the store for each prefix
		fresh bool
	}{
		{"all prefixes are answered", map[string]time.Duration{"config": 0, "targets": 0}, true},
		{"the store answers slowly", map[string]time.Duration{"config": relayFreshness + 200*time.Millisecond, "targets": 0}, true},
		{"one prefix has no answer", map[string]time.Duration{"config": prefixFreshness, "targets": 0}, false},
		{"the store is silent", map[string]time.Duration{"config": relayFreshness, "targets": relayFreshness}, false},
	} {
		a := &Agent{followers: map[string]*prefixFollower{}, leading: &leadership{}}
		youngest := time.Hour
		for prefix, age := range test.ages {
			a.follower(prefix, nil).lastStoreReply = now.Add(-age)
			youngest = min(youngest, age)
		}
		a.lastStoreReply.Store(now.Add(-youngest).UnixNano())
		if fresh := a.isFreshRelay(); fresh != test.fresh {
			t.Errorf("%s: fresh is %t, want %t", test.name, fresh, test.fresh)
		}
	}
}
