package fleet

import (
	"testing"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Guards against changes that are not passed on to the server, or not published in time, because only differences are: a
// host that departs and returns, a target that leaves, a document, and the limit of connections that follows from the
// hosts.
func TestPublishedViewFollowsChanges(t *testing.T) {
	s := newScaledFleet(30)
	h := newControlHost(scaledHost(1))
	h.list(t, s, firstHostRevision+30)
	if got := len(h.view.Load().hosts); got != 30 {
		t.Fatalf("%d hosts are published", got)
	}
	departed := s.registrations[4]
	departed.Revision = firstHostRevision + 100
	h.change(t, controlPrefix, metastore.Event{Item: departed, Removed: true})
	v := h.view.Load()
	if len(v.hosts) != 29 || len(v.expected) != 30 || len(v.sortedHosts()) != 29 || len(v.hostsByCapacity()) != 29 {
		t.Errorf("%d hosts, %d expected after a departure", len(v.hosts), len(v.expected))
	}
	h.control.departed[scaledHost(4).ID] = departure{scaledHost(4), boottime.Now().Add(-2 * restartGrace)}
	h.control.expireDepartures()
	h.control.flush()
	if v = h.view.Load(); len(v.expected) != 29 {
		t.Errorf("%d hosts are expected after the grace time", len(v.expected))
	}
	returned := s.registrations[4]
	returned.Revision = firstHostRevision + 101
	h.change(t, controlPrefix, metastore.Event{Item: returned})
	if v = h.view.Load(); len(v.hosts) != 30 || len(v.expected) != 30 {
		t.Errorf("%d hosts, %d expected after a return", len(v.hosts), len(v.expected))
	}
	gone := s.targets[1]
	gone.Revision = firstHostRevision + 102
	h.change(t, platform.TargetPrefix, metastore.Event{Item: gone, Removed: true})
	h.control.entries.removed["target-000-1"] = boottime.Now().Add(-2 * removalGrace)
	h.control.expireEntries()
	if got := len(h.control.passedOn.targets["service-00"].list); got != 2 {
		t.Errorf("the service has %d targets after one has left", got)
	}
	doc := primacy.Document{Service: "service-00", Epoch: 9, Open: true, Primary: "target-000-2", Born: 1, Term: 3}
	h.change(t, controlPrefix, metastore.Event{Item: metastore.Item{Key: primaryPrefix + "service-00", Value: mustEncode(doc),
		Revision: firstHostRevision + 103}})
	if got := h.view.Load().documents["service-00"].value.Epoch; got != 9 {
		t.Errorf("the published document has epoch %d", got)
	}
	for service, plan := range h.view.Load().plans {
		limits := h.control.passedOn.targets[service].limits
		if len(limits) == 0 {
			t.Errorf("%s: no limits of connections are passed on", service)
		}
		for _, got := range limits {
			if want := plan.ConnectionLimit(h.Self.ID); got.Max != want {
				t.Errorf("%s: the limit of connections is %d, the plan says %d", service, got.Max, want)
			}
		}
	}
}

// Guards against a decision, the leader or a configuration that waits for registrations to be collected.
func TestOnlyRegistrationsWait(t *testing.T) {
	s := newScaledFleet(30)
	h := newControlHost(scaledHost(1))
	h.list(t, s, firstHostRevision+10)
	h.register(t, s.registrations[11:20])
	if got := len(h.view.Load().hosts); got != 11 {
		t.Errorf("%d hosts are published before the delay", got)
	}
	leader := metastore.Item{Key: leaderKey, Value: mustEncode(Leader{Host: scaledHost(0).ID}),
		Revision: firstHostRevision + 50}
	h.followers[controlPrefix].applyEvents(t.Context(), []metastore.Event{{Item: leader}}, leader.Revision)
	h.drain()
	if v := h.view.Load(); v.leader == nil || len(v.hosts) != 20 {
		t.Errorf("the leader is not published with %d hosts", len(v.hosts))
	}
	h.register(t, s.registrations[20:25])
	configuration := metastore.Item{Key: platform.ConfigurationKey, Value: s.encodeConfiguration(7),
		Revision: firstHostRevision + 60}
	h.followers[platform.ConfigurationKey].applyEvents(t.Context(), []metastore.Event{{Item: configuration}},
		configuration.Revision)
	h.drain()
	if v := h.view.Load(); v.catalog.Version != 7 {
		t.Errorf("configuration %d is published", v.catalog.Version)
	}
}

// Guards against a configuration of a megabyte that is decoded again each time its prefix is listed, and against one that
// is not decoded because it has another revision.
func TestConfigurationIsDecodedOnce(t *testing.T) {
	h := newControlHost(scaledHost(1))
	decoded := 0
	h.Decoders.Configuration = func([]byte) (*catalog.Catalog, error) {
		decoded++
		return &catalog.Catalog{Version: int64(decoded)}, nil
	}
	list := func(revision, changed uint64) {
		state := PrefixState{Revision: revision, Items: []metastore.Item{{Key: platform.ConfigurationKey, Revision: changed}}}
		h.followers[platform.ConfigurationKey].replaceState(t.Context(), state, true)
		h.drain()
	}
	for i, test := range []struct {
		revision, changed uint64
		want              int
	}{{10, 5, 1}, {10, 5, 1}, {20, 5, 1}, {30, 25, 2}} {
		if list(test.revision, test.changed); decoded != test.want || h.view.Load().catalog.Version != int64(test.want) {
			t.Errorf("list %d: decoded %d times, want %d", i, decoded, test.want)
		}
	}
}
