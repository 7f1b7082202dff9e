package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// newTestSupervisor returns a supervisor of the service stock whose agent leads, and whose control goroutine runs until the end of
// the test.
func newTestSupervisor(t *testing.T, store *memoryStore) *supervisor {
	t.Helper()
	a := newRegisteringAgent(store, 1)
	a.events = make(chan func(*control), eventQueueLength)
	a.fencedByLeader, a.fencedViaStore = map[model.Service]uint64{}, map[model.Service]uint64{}
	a.unconfirmed, a.storeConfirm = map[model.Service]uint64{}, make(chan struct{}, 1)
	a.view.Store(newClusterView())
	c := &control{agent: a, view: newClusterView(), entries: newTargetEntries(),
		departed: map[model.HostID]departure{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case event := <-a.events:
				event(c)
			case <-ctx.Done():
				return
			}
		}
	}()
	fence, err := store.Commit(ctx, metastore.Txn{Puts: []metastore.Item{{Key: leaderKey, Value: mustEncode(Leader{Host: "host"})}}})
	if err != nil {
		t.Fatal(err)
	}
	return &supervisor{service: "stock", log: zap.NewNop(),
		leadership: &leadership{agent: a, fence: fence, leaseEnd: boottime.Now().Add(time.Hour)}}
}

// silentProber returns the status of some targets; the others do not answer.
type silentProber struct {
	Prober
	statuses map[model.TargetID]primacy.Status
}

func (p silentProber) Status(_ context.Context, t catalog.Target) (primacy.Status, error) {
	if status, answers := p.statuses[t.ID]; answers {
		return status, nil
	}
	return primacy.Status{}, errNoAnswer
}

// Guards against the loss of a commit that one synchronous replica has: if the entry of the old primary is gone, a replica that does
// not answer must not be taken for it.
func TestMissingPrimaryIsNoReplica(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"b": {Term: 3}}}
	v := newClusterView()
	v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {SyncReplicas: 1}}}
	v.targets["b"] = catalog.Target{ID: "b", Service: "stock"}
	v.targets["c"] = catalog.Target{ID: "c", Service: "stock"}
	s.agent.view.Store(v)
	doc := primacy.Document{Service: "stock", Epoch: 4, Primary: "a", Term: 3, Cause: primacy.CauseNotRegistered}
	if choice := primacy.Choose(s.collectGroup(t.Context(), doc, true)); choice.Found {
		t.Errorf("%s was chosen although a replica with the last commit may not have answered", choice.Target.ID)
	}
}

// Guards against a decision that was stored without a reply and takes effect when another target has been promoted: hosts would
// write to a primary that has been replaced.
func TestLateDecisionChangesNothing(t *testing.T) {
	store := newMemoryStore()
	s, ctx := newTestSupervisor(t, store), context.Background()
	closed := primacy.Document{Service: "stock", Epoch: 3, Primary: "a", Cause: primacy.CauseUnreachable}
	key := primaryPrefix + "stock"
	revision, err := store.Commit(ctx, metastore.Txn{Puts: []metastore.Item{{Key: key, Value: mustEncode(closed)}}})
	if err != nil {
		t.Fatal(err)
	}
	store.setDelay(true)
	opened := closed
	opened.Epoch, opened.Open, opened.Primary = 4, true, "b"
	if s.writeDocument(ctx, revision, opened) {
		t.Fatal("the decision without a reply counts as stored")
	}
	store.setDelay(false)
	s.replacePrimary(ctx, versioned[primacy.Document]{closed, revision})
	for _, err := range store.applyDelayed() {
		if !errors.Is(err, metastore.ErrConflict) {
			t.Errorf("the late decision ended with %v", err)
		}
	}
	var stored primacy.Document
	if err := json.Unmarshal(store.items[key].Value, &stored); err != nil {
		t.Fatal(err)
	}
	if stored.Open || stored.Epoch != 4 {
		t.Errorf("the stored decision is %+v, want a closed one of epoch 4", stored)
	}
}

// Guards against a service that stays without a primary: the old one answers again, but it was silent moments ago and is not asked, and
// no other target can be promoted.
func TestSilentPrimaryIsAskedIfNoOtherCanBePromoted(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	returned := primacy.Status{Primary: true, Term: 4, Received: model.Position{Term: 4, Offset: 60}}
	diverged := primacy.Status{Primary: true, Term: 2, Received: model.Position{Term: 2, Offset: 80}}
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"a": returned, "b": diverged}}
	v := newClusterView()
	v.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {}}}
	for _, id := range []model.TargetID{"a", "b", "c"} {
		v.targets[id] = catalog.Target{ID: id, Service: "stock"}
	}
	s.agent.view.Store(v)
	doc := primacy.Document{Service: "stock", Epoch: 4, Primary: "a", Term: 4, Received: model.Position{Term: 2, Offset: 50},
		Cause: primacy.CauseUnreachable}
	choice, found := s.choosePrimary(t.Context(), doc, false)
	if !found || choice.Target.ID != "a" || !choice.AlreadyPrimary {
		t.Errorf("chosen %+v, want the old primary", choice)
	}
}
