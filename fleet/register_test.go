package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

var errNoAnswer = errors.New("no answer")

// memoryStore is an in-memory store whose changes can be delayed.
type memoryStore struct {
	metastore.Store

	mu       sync.Mutex
	revision uint64
	items    map[string]metastore.Item
	leases   map[metastore.Lease]bool
	pause    time.Duration   // before each commit
	delay    bool            // commits return an error and are kept in delayed
	delayed  []metastore.Txn // commits not yet applied
	// Leases whose end was requested while delay was set.
	delayedRevocations []metastore.Lease
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: map[string]metastore.Item{}, leases: map[metastore.Lease]bool{}}
}

// setDelay sets whether commits and revocations are delayed. Leases are revoked in the background.
func (s *memoryStore) setDelay(delay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

func (s *memoryStore) Grant(context.Context, time.Duration) (metastore.Lease, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[metastore.Lease(s.revision)] = true
	return metastore.Lease(s.revision), hostLease, nil
}

func (s *memoryStore) Revoke(_ context.Context, lease metastore.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay {
		s.delayedRevocations = append(s.delayedRevocations, lease)
		return errNoAnswer
	}
	s.endLease(lease)
	return nil
}

func (s *memoryStore) endLease(lease metastore.Lease) {
	delete(s.leases, lease)
	for key, item := range s.items {
		if item.Lease == lease {
			s.revision++
			delete(s.items, key)
		}
	}
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]metastore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return withPrefix(s.items, prefix), s.revision, nil
}

func withPrefix(all map[string]metastore.Item, prefix string) (items []metastore.Item) {
	for key, item := range all {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items
}

func (s *memoryStore) Commit(_ context.Context, txn metastore.Txn) (uint64, error) {
	time.Sleep(s.pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delay {
		s.delayed = append(s.delayed, txn)
		return 0, errNoAnswer
	}
	return s.apply(txn)
}

func (s *memoryStore) apply(txn metastore.Txn) (uint64, error) {
	for _, c := range txn.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return 0, metastore.ErrConflict
		}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && !s.leases[put.Lease] {
			return 0, metastore.ErrLeaseEnded
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		put.Revision = s.revision
		s.items[put.Key] = put
	}
	for _, key := range txn.Removes {
		delete(s.items, key)
	}
	return s.revision, nil
}

// applyDelayed executes the delayed calls.
func (s *memoryStore) applyDelayed() (errs []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.delayed {
		_, err := s.apply(txn)
		errs = append(errs, err)
	}
	for _, lease := range s.delayedRevocations {
		s.endLease(lease)
	}
	s.delayed, s.delayedRevocations = nil, nil
	return errs
}

// Guards against a registration whose reply was lost and which takes effect after a later one. Its older lease would
// end while the host is connected, and a leader that replaces a primary would not fence the host.
func TestLateRegistrationChangesNothing(t *testing.T) {
	store := newMemoryStore()
	a := &Agent{Config: Config{Self: Host{ID: "host"}, Store: store, Log: zap.NewNop()},
		followers: map[string]*prefixFollower{}}
	store.setDelay(true)
	if _, err := a.registerHost(t.Context(), a.Self); !errors.Is(err, errNoAnswer) {
		t.Fatalf("the delayed registration ended with %v", err)
	}
	store.setDelay(false)
	r, err := a.registerHost(t.Context(), a.Self)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.apply(store.delayed[0]); !errors.Is(err, metastore.ErrConflict) {
		t.Errorf("the late registration ended with %v", err)
	}
	if lease := store.items[hostPrefix+"host"].Lease; lease != r.Lease {
		t.Errorf("the host is registered under lease %d, not %d", lease, r.Lease)
	}
}

// newRegisteringAgent returns an agent that can register with a store and be told of changes.
func newRegisteringAgent(store metastore.Store, incarnation model.Incarnation) *Agent {
	a := &Agent{Config: Config{Self: Host{ID: "host", Incarnation: incarnation}, Store: store, Log: zap.NewNop(),
		Server: frontend.New("z", nil, zap.NewNop(), frontend.NewMetrics(prometheus.NewRegistry()))},
		followers: map[string]*prefixFollower{}}
	a.follower(controlPrefix, (*control).applyControlKeys)
	return a
}

// Guards against a deregistration that takes effect after the host has started again: it deleted the registration of the new
// process, which went on using primaries while the leader replaced them without it (review/1).
func TestLateDeregistrationChangesNothing(t *testing.T) {
	store := newMemoryStore()
	stopping := newRegisteringAgent(store, 1)
	r, err := stopping.registerHost(t.Context(), stopping.Self)
	if err != nil {
		t.Fatal(err)
	}
	stopping.setRegistration(r, boottime.Now())
	store.setDelay(true)
	stopping.Deregister(t.Context())
	store.setDelay(false)
	started := newRegisteringAgent(store, 2)
	if r, err = started.registerHost(t.Context(), started.Self); err != nil {
		t.Fatal(err)
	}
	store.applyDelayed()
	if item := store.items[hostPrefix+"host"]; item.Lease != r.Lease || item.Revision != r.Revision {
		t.Errorf("the registration after the restart is %+v, want lease %d at revision %d", item, r.Lease, r.Revision)
	}
}

// Guards against a registration through another host that is processed late and replaces the one that the host has made since by
// one whose lease nobody renews.
func TestLateEnterChangesNothing(t *testing.T) {
	store := newMemoryStore()
	peer, host := newRegisteringAgent(store, 1), newRegisteringAgent(store, 1)
	peer.lastStoreReply.Store(boottime.Now().UnixNano())
	late := EnterRequest{host.Self, host.knownHostRevision("host")}
	r, err := host.registerHost(t.Context(), host.Self)
	if err != nil {
		t.Fatal(err)
	}
	peer.followers[controlPrefix].items[hostPrefix+"host"] = store.items[hostPrefix+"host"] // the peer knows it
	var reply EnterReply
	if err := (&Peer{peer}).Enter(late, &reply); err != nil || !reply.Conflict || reply.StoredRevision != r.Revision {
		t.Errorf("the late request was answered with %+v, error %v", reply, err)
	}
	if item := store.items[hostPrefix+"host"]; item.Lease != r.Lease {
		t.Errorf("the host is registered under lease %d, not %d", item.Lease, r.Lease)
	}
	reply = EnterReply{}
	if err := (&Peer{peer}).Enter(EnterRequest{host.Self, r.Revision}, &reply); err != nil || reply.Conflict {
		t.Errorf("a request with the stored revision was answered with %+v, error %v", reply, err)
	}
}

// Guards against a host that uses primaries although its registration is gone, because its lease lives on: the leader fences only
// registered hosts.
func TestRegistrationGoneStopsPrimaries(t *testing.T) {
	key := hostPrefix + "host"
	registered := metastore.Event{Item: metastore.Item{Key: key, Revision: 10, Lease: 5}}
	other := metastore.Event{Item: metastore.Item{Key: hostPrefix + "other", Revision: 30, Lease: 6}}
	for _, test := range []struct {
		name   string
		change prefixChange
		gone   bool
	}{
		{"removed", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: key, Revision: 11}, Removed: true}}}, true},
		{"replaced", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: key, Revision: 11, Lease: 7}}}}, true},
		{"not listed", prefixChange{complete: true, revision: 30, events: []metastore.Event{other}}, true},
		{"listed", prefixChange{complete: true, revision: 30, events: []metastore.Event{other, registered}}, false},
		{"an earlier list", prefixChange{complete: true, revision: 9, events: []metastore.Event{other}}, false},
		{"an earlier removal", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: key, Revision: 9}, Removed: true}}},
			false},
		{"confirmed by this host", prefixChange{events: []metastore.Event{{Item: metastore.Item{Key: key, Revision: 12, Lease: 5}}}},
			false},
		{"another host", prefixChange{events: []metastore.Event{other}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newRegisteringAgent(nil, 1)
			a.setRegistration(Registration{Lease: 5, Revision: 10}, boottime.Now())
			until := boottime.Now().Add(time.Hour)
			a.allowPrimaries(5, until)
			a.checkRegistration(test.change)
			if got := !a.isRegisteredUnder(5); got != test.gone {
				t.Errorf("gone is %t, want %t", got, test.gone)
			}
			if renewed := a.allowPrimaries(5, until); renewed == test.gone {
				t.Errorf("a renewal of the lease permits the use of primaries: %t", renewed)
			}
		})
	}
}

// Guards against a host that cannot register because its key from before its restart still exists, and against a list that
// grows with the number of hosts for each host that starts: the store charges each page of some 50 keys.
func TestRegistrationAfterRestart(t *testing.T) {
	store := newMemoryStore()
	store.items[hostPrefix+"host"] = metastore.Item{Key: hostPrefix + "host", Revision: 7}
	store.items[hostPrefix+"host-2"] = metastore.Item{Key: hostPrefix + "host-2", Revision: 9}
	store.items[primaryPrefix+"stock"] = metastore.Item{Key: primaryPrefix + "stock", Revision: 8}
	a := &Agent{Config: Config{Self: Host{ID: "host"}, Store: store, Log: zap.NewNop()},
		followers: map[string]*prefixFollower{}}
	r, err := a.registerHost(t.Context(), a.Self)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Documents) != 1 || r.Revision != store.items[hostPrefix+"host"].Revision {
		t.Errorf("registered at %d with %d documents listed, want one", r.Revision, len(r.Documents))
	}
}

// Guards against extra load on an unresponsive store: peers must not call it for each host that tries to register.
func TestEnterRefusedWhileStoreIsSilent(t *testing.T) {
	store := newMemoryStore()
	a := &Agent{Config: Config{Self: Host{ID: "host"}, Store: store, Log: zap.NewNop()},
		followers: map[string]*prefixFollower{}}
	var r EnterReply
	if err := (&Peer{a}).Enter(EnterRequest{Host: Host{ID: "other"}}, &r); !errors.Is(err, errStoreSilent) {
		t.Errorf("error %v", err)
	}
	if store.revision != 1 {
		t.Error("the store was called")
	}
}

// Guards against concurrent confirmations of several services of which only the first is stored. A leader that cannot
// reach this host would then wait for the end of its lease.
func TestConcurrentConfirmationsAreAllStored(t *testing.T) {
	store := newMemoryStore()
	a := &Agent{Config: Config{Self: Host{ID: "host"}, Store: store, Log: zap.NewNop()},
		followers:      map[string]*prefixFollower{},
		fencedByLeader: map[model.Service]uint64{}, fencedViaStore: map[model.Service]uint64{},
		unconfirmed: map[model.Service]uint64{}, storeConfirm: make(chan struct{}, 1)}
	r, err := a.registerHost(t.Context(), a.Self)
	if err != nil {
		t.Fatal(err)
	}
	a.lease, a.registeredRevision = r.Lease, r.Revision
	store.pause = 20 * time.Millisecond
	var wg sync.WaitGroup
	for _, service := range []model.Service{"a", "b", "c"} {
		wg.Go(func() { a.confirmViaStore(primacy.Document{Service: service, Epoch: 3}) })
	}
	wg.Wait()
	var stored Host
	if err := json.Unmarshal(store.items[hostPrefix+"host"].Value, &stored); err != nil {
		t.Fatal(err)
	}
	if commits := store.items[hostPrefix+"host"].Revision - r.Revision; commits != 1 {
		t.Errorf("%d commits confirm the decisions, want one for all", commits)
	}
	want := map[model.Service]uint64{"a": 3, "b": 3, "c": 3}
	if diff := cmp.Diff(want, stored.Fenced); diff != "" {
		t.Errorf("confirmed decisions (-want +got):\n%s", diff)
	}
}

// Guards against a write to the store for each host and service while a fleet starts (1,349 of 195 hosts): nobody has used a
// primary before the first decision.
func TestFirstDecisionNeedsNoConfirmation(t *testing.T) {
	store := newMemoryStore()
	store.leases[1] = true
	a := &Agent{Config: Config{Self: Host{ID: "host"}, Store: store, Log: zap.NewNop()},
		fencedByLeader: map[model.Service]uint64{}, fencedViaStore: map[model.Service]uint64{},
		unconfirmed: map[model.Service]uint64{}, lease: 1, storeConfirm: make(chan struct{}, 1)}
	a.confirmViaStore(primacy.Document{Service: "a", Epoch: 1})
	if store.revision != 1 {
		t.Error("the first decision was confirmed through the store")
	}
	a.confirmViaStore(primacy.Document{Service: "a", Epoch: 3, Primary: "t"})
	if store.revision != 2 {
		t.Error("a later decision was not confirmed through the store")
	}
}

// Guards against a host that starts, knows no other host, and uses the whole limit of each workspace: so would each of the
// others.
func TestStartingHostDoesNotKnowFleetSize(t *testing.T) {
	self := Host{ID: "host", Incarnation: 2}
	for _, test := range []struct {
		name  string
		hosts []Host
		want  int
	}{
		{"nobody is known", nil, 0},
		{"only this host before its restart", []Host{{ID: "host", Incarnation: 1}}, 0},
		{"this host is the only one", []Host{self}, 1},
		{"others from before the restart of all", []Host{{ID: "host", Incarnation: 1}, {ID: "other", Incarnation: 1}}, 2},
	} {
		c := &control{view: newClusterView(), departed: map[model.HostID]departure{}}
		for _, h := range test.hosts {
			c.view.hosts[h.ID] = h
		}
		c.updateExpected()
		if got := c.view.sharingHosts(self); got != test.want {
			t.Errorf("%s: %d hosts, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a host that uses a replaced primary in the moment after its registration, because the decision that closed
// the primary was not in effect yet.
func TestDocumentsAreInEffectBeforePrimariesAreAllowed(t *testing.T) {
	server := frontend.New("z", nil, zap.NewNop(), frontend.NewMetrics(prometheus.NewRegistry()))
	a := &Agent{Config: Config{Server: server, Log: zap.NewNop()}, unconfirmed: map[model.Service]uint64{}, storeConfirm: make(chan struct{}, 1)}
	server.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "old"})
	closed := primacy.Document{Service: "stock", Epoch: 3, Primary: "old"}
	v := newClusterView()
	v.documents["stock"] = versioned[primacy.Document]{closed, 7}
	a.view.Store(v)
	a.enforceDocuments()
	if server.ApplyPrimaryDocument(closed) {
		t.Error("the closed decision was not in effect")
	}
}
