package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// newSupervisorAfterReturn returns a supervisor whose agent leads since the store came back from a copy, and the documents that the
// agent knows and those that the store has.
func newSupervisorAfterReturn(t *testing.T, known, stored primacy.Document) (*supervisor, *memoryStore) {
	t.Helper()
	store := newMemoryStore()
	store.revision = metastore.RevisionInEra(1, 100)
	s := newTestSupervisor(t, store)
	key := primaryPrefix + "stock"
	if _, err := store.Commit(t.Context(), metastore.Txn{Puts: []metastore.Item{{Key: key, Value: mustEncode(stored)}}}); err != nil {
		t.Fatal(err)
	}
	if err := s.agent.runAndWait(t.Context(), func(c *control) {
		c.view.catalog = &catalog.Catalog{Services: map[model.Service]catalog.Service{"stock": {}}}
		c.view.documents["stock"] = versioned[primacy.Document]{known, 90} // of era 0
		for _, id := range []model.TargetID{"a", "b"} {
			c.view.targets[id] = catalog.Target{ID: id, Service: "stock"}
		}
		c.pending.targets, c.pending.documents = true, true
		c.publish()
	}); err != nil {
		t.Fatal(err)
	}
	return s, store
}

func (s *memoryStore) document(t *testing.T, service string) (doc primacy.Document) {
	t.Helper()
	if err := json.Unmarshal(s.items[primaryPrefix+service].Value, &doc); err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against a decision that is gone with what the store has lost: hosts that start would use the primary before it.
func TestLeaderRestoresLostDecisions(t *testing.T) {
	known := primacy.Document{Service: "stock", Epoch: 5, Open: true, Primary: "b", Term: 3}
	stored := primacy.Document{Service: "stock", Epoch: 3, Open: true, Primary: "a", Term: 2}
	s, store := newSupervisorAfterReturn(t, known, stored)
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"b": {Primary: true, Term: 3}}}
	if !s.settle(t.Context()) {
		t.Fatal("the leader has not reconciled the decisions")
	}
	want := known
	want.Epoch = 1<<epochBits | 6
	if diff := cmp.Diff(want, store.document(t, "stock")); diff != "" {
		t.Errorf("stored decision (-want +got):\n%s", diff)
	}
	v := s.agent.view.Load()
	if !v.reconciled(s.fence) || !v.settling {
		t.Errorf("reconciled %t, replacements wait %t; want both", v.reconciled(s.fence), v.settling)
	}
	if lease := store.items[settlingKey].Lease; lease == 0 {
		t.Error("the wait has no end")
	}
}

// Guards against a primary that is used again although a target has been promoted after it, in a decision that nobody knows any more.
func TestDecisionBeforeLostPromotionIsNotRestored(t *testing.T) {
	doc := primacy.Document{Service: "stock", Epoch: 3, Open: true, Primary: "a", Term: 2}
	s, store := newSupervisorAfterReturn(t, doc, doc)
	s.agent.Prober = silentProber{statuses: map[model.TargetID]primacy.Status{"a": {Primary: true, Term: 2}, "b": {Primary: true, Term: 3}}}
	if !s.settle(t.Context()) {
		t.Fatal("the leader has not reconciled the decisions")
	}
	if stored := store.document(t, "stock"); stored.Open || stored.Cause != primacy.CauseDemoted {
		t.Errorf("stored decision %+v, want a closed one", stored)
	}
}

// Guards against a promotion while a host may use the old primary whose registration is not in the copy, so that the leader does not
// know of it.
func TestReplacementWaitsForLostRegistrations(t *testing.T) {
	doc := primacy.Document{Service: "stock", Epoch: 1<<epochBits | 4, Primary: "a", Term: 2, Cause: primacy.CauseUnreachable}
	s, store := newSupervisorAfterReturn(t, doc, doc)
	setSettling := func(exists bool) {
		txn := metastore.Txn{Puts: []metastore.Item{{Key: settlingKey}}}
		if !exists {
			txn = metastore.Txn{Removes: []string{settlingKey}}
		}
		revision, err := store.Commit(t.Context(), txn)
		if err != nil {
			t.Fatal(err)
		}
		event := metastore.Event{Item: metastore.Item{Key: settlingKey, Revision: revision}, Removed: !exists}
		if err := s.agent.runAndWait(t.Context(), func(c *control) {
			c.applyControlKeys(prefixChange{events: []metastore.Event{event}})
		}); err != nil {
			t.Fatal(err)
		}
	}
	setSettling(true)
	ctx, cancel := context.WithTimeout(t.Context(), 10*replacePollInterval)
	defer cancel()
	if s.awaitFenced(ctx, doc) {
		t.Error("the primary is replaced while permissions of before may last")
	}
	setSettling(false)
	ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !s.awaitFenced(ctx, doc) {
		t.Error("the primary is not replaced after all permissions have ended")
	}
}

// Guards against a host that registers after the store has come back and uses a primary that has been replaced in a decision that the
// store has lost, and against hosts that stop serving although they know all decisions.
func TestPermissionAfterReturnFromCopy(t *testing.T) {
	for _, test := range []struct {
		name       string
		registered bool // until the store came back
		reconciled bool
		permitted  bool
	}{
		{"a host that has just started", false, false, false},
		{"the same, and the decisions are reconciled", false, true, true},
		{"a host whose permission had not ended", true, false, true},
	} {
		a := newRegisteringAgent(newMemoryStore(), 1)
		a.fencedByLeader, a.fencedViaStore, a.unconfirmed = map[model.Service]uint64{}, map[model.Service]uint64{}, map[model.Service]uint64{}
		v := newClusterView()
		v.era.value = EraDocument{1, test.reconciled}
		a.view.Store(v)
		if test.registered {
			a.permissionEnd = boottime.Now().Add(time.Second)
		}
		r := Registration{Lease: metastore.LeaseInEra(1, 5), Revision: metastore.RevisionInEra(1, 10)}
		a.setRegistration(r, boottime.Now())
		until := boottime.Now().Add(time.Hour)
		a.allowPrimaries(r.Lease, until)
		if permitted := a.permissionEnd.Equal(until); permitted != test.permitted {
			t.Errorf("%s: permitted %t, want %t", test.name, permitted, test.permitted)
		}
		if waits := a.pendingPermission.Equal(until); waits == test.permitted {
			t.Errorf("%s: the permission waits for the leader: %t", test.name, waits)
		}
	}
}

// Guards against a permission that is given back by the return of the store: the host had stopped because its registration was gone, so
// that primaries may have been replaced without it.
func TestLostRegistrationIsNotContinuous(t *testing.T) {
	a := newRegisteringAgent(newMemoryStore(), 1)
	a.view.Store(newClusterView())
	a.setRegistration(Registration{Lease: 5, Revision: 10}, boottime.Now())
	a.allowPrimaries(5, boottime.Now().Add(time.Hour))
	gone := metastore.Event{Item: metastore.Item{Key: hostPrefix + "host", Revision: 12}, Removed: true}
	a.checkRegistration(prefixChange{events: []metastore.Event{gone}})
	r := Registration{Lease: metastore.LeaseInEra(1, 5), Revision: metastore.RevisionInEra(1, 10)}
	a.setRegistration(r, boottime.Now())
	if a.allowPrimaries(r.Lease, boottime.Now().Add(time.Hour)); a.pendingPermission.IsZero() {
		t.Error("the host may use primaries before the decisions are reconciled")
	}
}

// Guards against writes of decisions that can never succeed, because they are conditional on revisions of an earlier history.
func TestDecisionsAreRebased(t *testing.T) {
	v := newClusterView()
	c := &control{view: v, agent: newRegisteringAgent(newMemoryStore(), 1), departed: map[model.HostID]departure{}}
	c.agent.events = make(chan func(*control), eventQueueLength)
	known := primacy.Document{Service: "s", Epoch: 5, Open: true, Primary: "b"}
	v.documents["s"], v.documents["lost"] = versioned[primacy.Document]{known, 90}, versioned[primacy.Document]{known, 91}
	earlier := primacy.Document{Service: "s", Epoch: 3, Open: true, Primary: "a"}
	revision := metastore.RevisionInEra(1, 40)
	change := prefixChange{complete: true, revision: metastore.RevisionInEra(1, 60), events: []metastore.Event{
		{Item: metastore.Item{Key: primaryPrefix + "s", Value: mustEncode(earlier), Revision: revision}}}}
	v.rebaseDocuments(change)
	for _, e := range change.events {
		if err := v.applyControlKey(e); err != nil {
			t.Fatal(err)
		}
	}
	if doc := v.documents["s"]; doc.revision != revision || doc.value.Epoch != 5 {
		t.Errorf("decision of epoch %d at revision %d, want 5 at %d", doc.value.Epoch, doc.revision, revision)
	}
	if doc := v.documents["lost"]; doc.revision != 0 || doc.value.Epoch != 5 {
		t.Errorf("lost decision of epoch %d at revision %d, want 5 and no revision", doc.value.Epoch, doc.revision)
	}
}

// Guards against a promotion by a leader whose term has ended with the era of the store: the hosts that it has to fence are not in its
// list any more, because their registrations are not in the copy.
func TestLeaderOfEarlierEraPromotesNothing(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	doc := primacy.Document{Service: "stock", Epoch: 5, Primary: "a", Term: 2, Cause: primacy.CauseUnreachable}
	listed := PrefixState{Revision: metastore.RevisionInEra(1, 40)}
	s.agent.follower(controlPrefix, (*control).applyControlKeys).replaceState(t.Context(), listed, true)
	if s.listedEpoch = doc.Epoch; s.awaitFenced(t.Context(), doc) {
		t.Error("all hosts count as fenced")
	}
	if _, allowed := s.beginOrder(); allowed {
		t.Error("a promotion may be ordered")
	}
}

// Guards against a promotion beside hosts that use the old primary: one that has a later decision, which the leader of another era has
// restored, has not confirmed an earlier one.
func TestHostWithLaterDecisionDoesNotConfirmEarlierOne(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	peer := &Peer{s.agent}
	restored := primacy.Document{Service: "stock", Epoch: 1<<epochBits | 5, Open: true, Primary: "a", Term: 2}
	if err := peer.Fence(FenceRequest{Incarnation: 1, Document: restored}, &struct{}{}); err != nil {
		t.Fatal(err)
	}
	closed := primacy.Document{Service: "stock", Epoch: 5, Primary: "a", Term: 2}
	if err := peer.Fence(FenceRequest{Incarnation: 1, Document: closed}, &struct{}{}); !errors.Is(err, errLaterDecision) {
		t.Errorf("the host answered the earlier decision with %v", err)
	}
}

// Guards against a decision that is restored while the leader of the earlier era may still have it replaced: its lease is lost with the
// store, so that the next one leads at once.
func TestDecisionsAreRestoredAfterTheLastLease(t *testing.T) {
	doc := primacy.Document{Service: "stock", Epoch: 5, Open: true, Primary: "a", Term: 2}
	s, _ := newSupervisorAfterReturn(t, doc, doc)
	s.agent.Prober = silentProber{}
	s.began = boottime.Now().Add(300*time.Millisecond - leaderLease)
	if !s.settle(t.Context()) {
		t.Fatal("the leader has not reconciled the decisions")
	}
	if took := boottime.Now().Sub(s.began); took < leaderLease {
		t.Errorf("the decisions were restored %v after the term began, a lease lasts %v", took, leaderLease)
	}
}

// Guards against statements that fail at each return of the store, because hosts stop using primaries until they are registered again.
func TestPermissionOutlivesLostRegistration(t *testing.T) {
	for _, test := range []struct {
		name      string
		revision  uint64 // at which the registration is gone
		permitted bool
	}{
		{"lost by the store", metastore.RevisionInEra(2, 10), true},
		{"removed", metastore.RevisionInEra(1, 30), false},
	} {
		a := newRegisteringAgent(newMemoryStore(), 1)
		a.view.Store(newClusterView())
		lease := metastore.LeaseInEra(1, 5)
		a.setRegistration(Registration{Lease: lease, Revision: metastore.RevisionInEra(1, 20)}, boottime.Now())
		a.continuous = true
		a.allowPrimaries(lease, boottime.Now().Add(time.Hour))
		a.observeEra(controlPrefix, test.revision)
		a.checkRegistration(prefixChange{complete: true, revision: test.revision})
		a.endPermission(t.Context(), lease)
		if a.lease != 0 {
			t.Errorf("%s: the host does not register again", test.name)
		}
		if permitted := a.Server.PrimaryAllowed(boottime.Now()); permitted != test.permitted {
			t.Errorf("%s: primaries are used %t, want %t", test.name, permitted, test.permitted)
		}
	}
}

// Guards against a replica without its data that counts for synchronous replication, because the copies of the decision were lost on the
// way from the host that knew it.
func TestCollectedDecisionsHaveTheirCopies(t *testing.T) {
	doc := primacy.Document{Service: "stock", Epoch: 6, Open: true, Primary: "a", Term: 2, Copies: map[model.TargetID]int64{"b": 100}}
	known := doc
	known.Epoch, known.Copies = 5, nil
	s, _ := newSupervisorAfterReturn(t, known, known)
	other := newEntryControl()
	other.view.documents["stock"] = versioned[primacy.Document]{doc, 90}
	other.pending.documents = true
	other.publish()
	peer := startPeer(t, "other", map[string]any{"Peer": &Peer{other.agent}})
	s.agent.controlClients = newPeerClients()
	if err := s.agent.runAndWait(t.Context(), func(c *control) {
		c.view.hosts["other"] = peer
		c.pending.hosts = true
		c.publish()
	}); err != nil {
		t.Fatal(err)
	}
	latest, err := s.collectDocuments(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(doc, latest["stock"]); diff != "" {
		t.Errorf("collected decision (-want +got):\n%s", diff)
	}
}

// Guards against a wait for the lease of the last leader that is not needed, in which no primary is supervised.
func TestRegisteredLeaderRestoresDecisionsAtOnce(t *testing.T) {
	doc := primacy.Document{Service: "stock", Epoch: 5, Open: true, Primary: "a", Term: 2}
	s, _ := newSupervisorAfterReturn(t, doc, doc)
	s.agent.Prober, s.agent.continuous, s.began = silentProber{}, true, boottime.Now()
	if !s.settle(t.Context()) {
		t.Fatal("the leader has not reconciled the decisions")
	}
	if took := boottime.Now().Sub(s.began); took >= leaderLease {
		t.Errorf("the decisions were restored after %v", took)
	}
}

// Guards against a decision of the last leader that is confirmed by a host which restores the one before, or has it restored.
func TestHostInLaterEraConfirmsNoEarlierLeader(t *testing.T) {
	s := newTestSupervisor(t, newMemoryStore())
	peer := &Peer{s.agent}
	closed := primacy.Document{Service: "stock", Epoch: 5, Primary: "a", Term: 2}
	request := EraFenceRequest{Era: 1, Fence: FenceRequest{Incarnation: 1, Document: closed}}
	if err := peer.FenceInEra(request, &struct{}{}); err != nil {
		t.Errorf("the leader of the present era is answered with %v", err)
	}
	if err := s.agent.runAndWait(t.Context(), func(*control) {}); err != nil {
		t.Fatal(err)
	}
	if got := s.agent.view.Load().documents["stock"].value.Epoch; got != 5 {
		t.Errorf("the confirmed decision is not known: epoch %d", got)
	}
	s.agent.observeEra(controlPrefix, metastore.RevisionInEra(2, 1))
	request.Fence.Document.Epoch = 6
	if err := peer.FenceInEra(request, &struct{}{}); !errors.Is(err, errEarlierTerm) {
		t.Errorf("the leader of an earlier era is answered with %v", err)
	}
}
