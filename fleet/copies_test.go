package fleet

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Guards against the promotion of a replica that lacks acknowledged commits, because the one that had them has started again without
// its data and counts as if it had not (review/10): the leader records which replicas have every commit, and their starts.
func TestCopiesAreRecorded(t *testing.T) {
	store := newMemoryStore()
	s := newTestSupervisor(t, store)
	position := func(offset uint64) model.Position { return model.Position{Term: 3, Offset: offset} }
	statuses := map[model.TargetID]primacy.Status{"a": {Primary: true, Term: 3, Received: position(50)},
		"b": {Term: 3, Received: position(50)}, "c": {Term: 3, Received: position(20)}}
	s.agent.Prober = silentProber{statuses: statuses}
	doc := primacy.Document{Service: "stock", Epoch: 4, Open: true, Primary: "a", Born: 1, Term: 3}
	key := primaryPrefix + "stock"
	revision, err := store.Commit(t.Context(), metastore.Txn{Puts: []metastore.Item{{Key: key, Value: mustEncode(doc)}}})
	if err != nil {
		t.Fatal(err)
	}
	setTargets := func(startOfC int64) {
		v := newClusterView()
		v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {SyncReplicas: 1}}}
		for id, startedAt := range map[model.TargetID]int64{"a": 1, "b": 2, "c": startOfC} {
			v.targets[id] = catalog.Target{ID: id, Service: "stock", StartedAt: startedAt}
		}
		s.agent.view.Store(v)
	}
	record := func(startOfC int64, want map[model.TargetID]int64) {
		t.Helper()
		setTargets(startOfC) // a stored document replaces the view
		s.copiesCheckedAt = s.copiesCheckedAt.Add(-copiesCheckInterval)
		s.recordCopies(t.Context(), versioned[primacy.Document]{doc, revision})
		var stored primacy.Document
		if err := json.Unmarshal(store.items[key].Value, &stored); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, stored.Copies); diff != "" || stored.Epoch != doc.Epoch || !stored.Open {
			t.Errorf("document of epoch %d, open %t, copies (-want +got):\n%s", stored.Epoch, stored.Open, diff)
		}
		doc, revision = stored, store.items[key].Revision
	}
	record(3, map[model.TargetID]int64{"b": 2}) // c lags
	statuses["c"] = primacy.Status{Term: 3, Received: position(50)}
	record(3, map[model.TargetID]int64{"b": 2, "c": 3})
	statuses["c"] = primacy.Status{Term: 3}
	record(9, map[model.TargetID]int64{"b": 2}) // c has started again and is empty
	delete(statuses, "b")
	record(9, map[model.TargetID]int64{"b": 2}) // no replica is known to have everything
}
