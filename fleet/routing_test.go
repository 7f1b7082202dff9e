package fleet

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Guards against connections that all move twice, because the store has lost how statements are assigned to hosts.
func TestRoutingOutlivesReturnOfStore(t *testing.T) {
	before, after := metastore.RevisionInEra(1, 50), metastore.RevisionInEra(2, 40)
	routing := metastore.Event{Item: metastore.Item{Key: routingKey, Value: mustEncode(RoutingDocument{ByTarget: true}), Revision: before}}
	for _, test := range []struct {
		name   string
		change prefixChange
		kept   bool
	}{
		{"lost with the last era, listed", prefixChange{complete: true, revision: after}, true},
		{"the same, relayed", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: routingKey, Revision: after}, Removed: true}}}, true},
		{"removed by an operator", prefixChange{complete: true, revision: before + 1}, false},
		{"the same, relayed", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: routingKey, Revision: before + 1}, Removed: true}}}, false},
	} {
		c := newEntryControl()
		c.applyControlKeys(prefixChange{events: []metastore.Event{routing}})
		c.applyControlKeys(test.change)
		if c.view.routing.ByTarget != test.kept || c.view.routingStored {
			t.Errorf("%s: by target %t, want %t; stored %t", test.name, c.view.routing.ByTarget, test.kept, c.view.routingStored)
		}
	}
}

// Guards against hosts that go on with an assignment which the store does not have any more, so that starting hosts use another one.
func TestLeaderStoresLostRoutingAgain(t *testing.T) {
	store := newMemoryStore()
	s := newTestSupervisor(t, store)
	v := newClusterView()
	v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{}}
	v.routing = RoutingDocument{ByTarget: true, Cause: "load control"}
	s.agent.view.Store(v)
	go s.decideRouting(t.Context())
	stored := func() string {
		store.mu.Lock()
		defer store.mu.Unlock()
		return string(store.items[routingKey].Value)
	}
	for deadline := time.Now().Add(10 * time.Second); stored() == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the assignment was not stored again")
		}
	}
	if want := string(mustEncode(v.routing)); stored() != want {
		t.Errorf("stored %s, want %s", stored(), want)
	}
}
