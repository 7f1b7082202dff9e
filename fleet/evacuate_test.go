package fleet

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// newEvacuatingAgent returns an agent that follows evacuation requests under p/evacuate/, with its control state.
func newEvacuatingAgent(t *testing.T) (*Agent, *control) {
	t.Helper()
	a := newRegisteringAgent(newMemoryStore(), 1)
	a.events = make(chan func(*control), eventQueueLength)
	a.Evacuation = evacuation.NewLimits(5 * time.Second)
	a.Decoders = Decoders{ConfigurationKey: "p/config", OperatorPrefix: "p/",
		Configuration: func(value []byte) (*catalog.Catalog, error) {
			return &catalog.Catalog{Version: int64(len(value))}, nil
		},
		Evacuation: func(key string) (model.DataCentre, bool, error) {
			name, isRequest := strings.CutPrefix(key, "p/evacuate/")
			return model.DataCentre(name), isRequest, nil
		}}
	a.view.Store(a.newClusterView())
	a.follower(a.configurationPrefix(), (*control).applyOperatorKeys)
	return a, &control{agent: a, view: a.newClusterView(), entries: newTargetEntries(),
		departed: map[model.HostID]departure{}}
}

// runEvents runs the posted events.
func (c *control) runEvents() {
	for len(c.agent.events) > 0 {
		(<-c.agent.events)(c)
	}
}

// Guards against a request that a host misses, or keeps after its removal, for both forms of a change.
func TestEvacuationRequestsAreFollowed(t *testing.T) {
	a, c := newEvacuatingAgent(t)
	ctx := context.Background()
	f := a.followers["p/"]
	evacuated := func() []model.DataCentre {
		c.runEvents()
		return a.view.Load().evacuations.DataCentres()
	}
	f.replaceState(ctx, PrefixState{Revision: 5, Items: []metastore.Item{item("p/config", 3), item("p/evacuate/a", 4),
		item("p/other", 5)}}, true)
	if diff := cmp.Diff([]model.DataCentre{"a"}, evacuated()); diff != "" || a.view.Load().catalog.Version == 0 {
		t.Errorf("after the list (-want +got):\n%s", diff)
	}
	f.applyEvents(ctx, []metastore.Event{{Item: item("p/evacuate/b", 6)}, {Item: item("p/evacuate/a", 7), Removed: true}}, 7)
	if diff := cmp.Diff([]model.DataCentre{"b"}, evacuated()); diff != "" {
		t.Errorf("after the events (-want +got):\n%s", diff)
	}
	f.replaceState(ctx, PrefixState{Revision: 9, Items: []metastore.Item{item("p/config", 3)}}, true)
	if got := evacuated(); len(got) != 0 {
		t.Errorf("evacuated after the removal: %v", got)
	}
}

// Guards against a host that learns of a request after a partition, or at its start, and uses a primary beyond the bound.
func TestAgeOfEvacuationRequest(t *testing.T) {
	request := prefixChange{events: []metastore.Event{{Item: item("p/evacuate/a", 6)}}}
	for _, test := range []struct {
		name   string
		silent time.Duration // since the last reply of the store, negative if there was none
		want   bool          // the primary may be used
	}{{"started", -1, false}, {"followed", 100 * time.Millisecond, true}, {"cut off", 20 * time.Second, false}} {
		a, c := newEvacuatingAgent(t)
		if test.silent >= 0 {
			a.followers["p/"].lastStoreReply = boottime.Now().Add(-test.silent)
		}
		c.trackOperatorKeys()
		c.trackOperatorKeys()
		a.followers["p/"].recordStoreReply() // the reply that carries the request
		c.trackOperatorKeys()                // before the request is applied
		c.applyOperatorKeys(request)
		if got := c.view.evacuations.MayReach(boottime.Now(), "a"); got != test.want {
			t.Errorf("%s: the primary may be used: %t", test.name, got)
		}
	}
}

// Guards against hosts that miss a configuration while hosts with and without an evacuation bound run in one fleet.
func TestConfigurationIsRelayedBetweenBothForms(t *testing.T) {
	ctx := context.Background()
	evacuating, c := newEvacuatingAgent(t)
	plain, plainControl := newEvacuatingAgent(t)
	plain.Evacuation, plain.followers = evacuation.Limits{}, map[string]*prefixFollower{}
	plain.follower(plain.configurationPrefix(), (*control).applyOperatorKeys)

	state := PrefixState{Revision: 8, Items: []metastore.Item{item("p/config", 7), item("p/evacuate/a", 8)}}
	evacuating.followers["p/"].replaceState(ctx, state, true)
	plain.applyRelayed(ctx, "other", evacuating.changesSince(plain.knownRevisions()))
	plainControl.runEvents()
	if plain.view.Load().catalog.Version == 0 {
		t.Error("a host that follows the key alone misses the configuration")
	}
	if again := evacuating.changesSince(plain.knownRevisions()); len(again) > 0 {
		t.Errorf("the configuration is sent again: %v", again)
	}
	if diff := cmp.Diff(1, len(evacuating.changesSince(map[string]uint64{"p/": 0, "p/config": 0}))); diff != "" {
		t.Errorf("relayed prefixes (-want +got):\n%s", diff)
	}

	late, lateControl := newEvacuatingAgent(t)
	late.applyRelayed(ctx, "other", plain.changesSince(late.knownRevisions()))
	lateControl.runEvents()
	if late.view.Load().catalog.Version == 0 {
		t.Error("a host that follows all keys misses the configuration")
	}
	c.runEvents()
}

// Guards against probes of targets that may not be reached, and against a primary that counts as unreachable because it
// is not probed.
func TestEvacuatedTargetsAreNotProbed(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"a": {Primary: true, Term: 3}, "b": {Term: 3}}}
	v := newClusterView()
	v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {}}}
	v.targets["a"] = catalog.Target{ID: "a", Service: "stock", DataCentre: "north"}
	v.targets["b"] = catalog.Target{ID: "b", Service: "stock", DataCentre: "south"}
	passed := boottime.Now().Add(-time.Minute)
	v.evacuations = evacuation.NewState(evacuation.NewLimits(5*time.Second)).With("north", passed, passed)
	s.agent.view.Store(v)
	doc := primacy.Document{Service: "stock", Epoch: 4, Primary: "a", Term: 3, Open: true, Cause: primacy.CauseEvacuated}
	for range 3 {
		health := s.observe(t.Context(), doc)
		if health.StatusKnown || health.SilentFor > 0 || !health.Evacuated || !health.Replaceable {
			t.Errorf("health %+v", health)
		}
	}
	group := s.collectGroup(t.Context(), doc, true)
	if len(group.Candidates) != 1 || group.Candidates[0].ID != "b" || s.blockedByEvacuation() {
		t.Errorf("candidates %+v", group.Candidates)
	}
	v = v.clone()
	v.evacuations = v.evacuations.With("south", passed, passed)
	s.agent.view.Store(v)
	if health := s.observe(t.Context(), doc); health.Replaceable || !s.blockedByEvacuation() {
		t.Errorf("all targets are evacuated, health %+v", health)
	}
}
