package fleet

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Guards against a target that stays cold for ever because its entry is listed again and again, and against one that is not taken
// for cold when it turns cold again.
func TestColdTimeOfEntry(t *testing.T) {
	a, c := newEvacuatingAgent(t)
	a.Decoders.Target = func(id string, value []byte) (catalog.Target, error) {
		cold := map[string]time.Duration{"warm": 0, "cold": time.Minute}[string(value)]
		return catalog.Target{ID: model.TargetID(id), Service: "stock", State: catalog.Ready, ColdFor: cold}, nil
	}
	apply := func(value string, listed bool) time.Time {
		event := metastore.Event{Item: metastore.Item{Key: "a", Value: []byte(value)}}
		c.applyTargets(prefixChange{complete: listed, events: []metastore.Event{event}})
		return c.view.targets["a"].ColdUntil
	}
	until := apply("cold", true)
	if left := until.Sub(boottime.Now()); left < 59*time.Second || left > time.Minute {
		t.Errorf("the target is cold for another %s", left)
	}
	time.Sleep(time.Millisecond)
	if again := apply("cold", true); !again.Equal(until) {
		t.Error("a list has prolonged the cold time")
	}
	if again := apply("cold", false); !again.After(until) {
		t.Error("a new entry has not set the cold time again")
	}
	if again := apply("warm", false); !again.IsZero() {
		t.Error("the target stays cold")
	}
}

// Guards against more probes of a cold target than its bound leaves for the leader.
func TestProbesOfColdTargetsAreSpaced(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"a": {}}}
	v := newClusterView()
	v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {ColdPerSecond: 5}}}
	s.agent.view.Store(v)
	cold := catalog.Target{ID: "a", Service: "stock", ColdUntil: boottime.Now().Add(time.Minute)}
	probes := 0
	for started := boottime.Now(); boottime.Now().Sub(started) < 900*time.Millisecond; probes++ {
		if _, err := s.probe(t.Context(), cold); err != nil {
			t.Fatal(err)
		}
	}
	if probes > 4 {
		t.Errorf("%d probes in 0.9 s", probes)
	}
}
