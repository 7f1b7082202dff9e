package freshness

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var sizes = []int{9, 50, 200, 400, 820}

// Guards against a fleet that stops during a full outage of the store, and against store calls or delays that grow with
// the fleet.
func TestOutageOfStore(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, n, 1)
			w.run(10 * time.Second)
			if got := w.serving(); got[ProofStore] != n {
				t.Fatalf("serving before the outage: %v", got)
			}
			calls := w.calls
			w.run(10 * time.Second)
			if perSecond := (w.calls - calls) / 10; perSecond > 15 {
				t.Errorf("%d store calls per second", perSecond)
			}
			w.storeCut = func(int) bool { return true }
			w.idle = 0
			w.oldest = 0
			for i := range 30 {
				w.run(time.Second)
				if w.idle > 0 {
					t.Fatalf("after %d s of the outage hosts stopped serving: %v", i+1, w.serving())
				}
			}
			t.Logf("%d hosts: oldest proof in use %v", n, w.oldest)
			if got := w.serving(); got[ProofOutage] != n {
				t.Errorf("serving at the end of the outage: %v", got)
			}
			w.heal()
			w.run(10 * time.Second)
			if got := w.serving(); got[ProofStore] != n {
				t.Errorf("serving after the outage: %v", got)
			}
		})
	}
}

// Guards against hosts that stop serving because a host of the relay tree dies during an outage of the store: first a
// host in the middle, then a root.
func TestRelayHostDiesDuringOutage(t *testing.T) {
	for _, n := range []int{9, 50, 200} {
		w := newWorld(t, n, 2)
		w.run(10 * time.Second)
		w.storeCut = func(int) bool { return true }
		w.run(10 * time.Second)
		w.idle = 0
		w.oldest = 0
		root := w.tree.Roots()[0]
		for i := range w.hosts {
			if id(i) == root || n > 9 && id(i) == w.tree.Children(root)[0] {
				w.hosts[i].paused = true
				w.run(20 * time.Second)
			}
		}
		if w.idle > 0 {
			t.Errorf("%d hosts: hosts did not serve at %d moments", n, w.idle)
		}
		t.Logf("%d hosts: oldest proof in use %v", n, w.oldest)
	}
}

// Guards against a slow spread of an accepted change.
func TestChangeReachesAll(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, n, 3)
			w.run(10 * time.Second)
			w.change(n/2, Configuration)
			for w.accepted == 0 || w.inForce() < n {
				w.run(10 * time.Millisecond)
				if w.now.Sub(epoch) > 30*time.Second {
					t.Fatalf("in force at %d of %d hosts, refusals %v", w.inForce(), n, w.refused)
				}
			}
			took := w.now.Sub(w.effective[Configuration][2])
			if took > 7*time.Second {
				t.Errorf("in force everywhere after %v", took)
			}
			w.run(5 * time.Second)
			confirmed := 0
			for i := range n {
				if w.hosts[i].upstream.IsRoot() {
					_, ids := w.hosts[i].host.ConfirmedHosts()
					confirmed = max(confirmed, len(ids))
				}
			}
			if confirmed != n {
				t.Errorf("a root knows of %d confirmations, want %d", confirmed, n)
			}
			t.Logf("%d hosts: in force everywhere %v after the acceptance", n, took)
		})
	}
}

// Guards against a cut-off host that serves for longer than F.
func TestCutOffHostStops(t *testing.T) {
	w := newWorld(t, 9, 5)
	w.run(10 * time.Second)
	w.cut = func(from, to int) bool { return from == 4 || to == 4 }
	w.storeCut = func(i int) bool { return i == 4 }
	w.run(MaxProofAge)
	if proof := w.hosts[4].host.ServingProof(w.now); proof.Valid {
		t.Errorf("still serving: %+v", proof)
	}
	if got := w.serving(); got[ProofStore] != 8 {
		t.Errorf("the others: %v", got)
	}
	w.heal()
	w.run(5 * time.Second)
	if got := w.serving(); got[ProofStore] != 9 {
		t.Errorf("after healing: %v", got)
	}
}

// lateSwap lets nobody but host 0 see the store during a change through host 0.
func lateSwap(w *world) {
	w.run(10 * time.Second)
	w.storeCut = func(i int) bool { return i != 0 }
	w.run(8 * time.Second)
	w.change(0, Configuration)
	// The change must not reach the others by relay.
	w.after(time.Second, func() { w.cut = func(from, to int) bool { return from == 0 || to == 0 } })
	w.noRelay = true
	w.run(20 * time.Second)
}

// restartAfterAcknowledging sends a swap that takes effect 10 s later, restarts every other host meanwhile and lets it
// read the store before the swap takes effect.
func restartAfterAcknowledging(w *world) {
	w.run(10 * time.Second)
	w.change(0, Configuration)
	w.storeDelay = func() time.Duration { return 10 * time.Second }
	w.run(500 * time.Millisecond)
	w.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	for i := 1; i < len(w.hosts); i++ {
		w.start(i)
	}
	w.cut = func(from, to int) bool { return from == 0 || to == 0 }
	w.run(4 * time.Second)
	w.storeCut = func(i int) bool { return true }
	w.run(20 * time.Second)
}

// slowRelay lets only one root see the store, and what it sends to the others takes 2 s.
func slowRelay(w *world) {
	w.run(10 * time.Second)
	reader := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.upstream.IsRoot() })
	w.storeCut = func(i int) bool { return i != reader }
	w.delay = func(from, to int) time.Duration {
		if from == reader || to == reader {
			return 2 * time.Second
		}
		return time.Millisecond
	}
	w.run(20 * time.Second)
	w.noRelay = true
	w.change(reader, Configuration)
	w.run(20 * time.Second)
}

// lateReturn cuts host 8 off during a change and brings it back during an outage of the store, without the document.
func lateReturn(w *world) {
	w.run(10 * time.Second)
	w.cut = func(from, to int) bool { return from == 8 || to == 8 }
	w.storeCut = func(i int) bool { return i == 8 }
	w.run(time.Second)
	w.change(0, Configuration)
	w.run(10 * time.Second)
	w.storeCut = func(int) bool { return true }
	w.run(10 * time.Second)
	w.noRelay = true
	w.cut = func(int, int) bool { return false }
	w.run(20 * time.Second)
}

// disjointRosters moves the roster from hosts 0-4 to hosts 4-8 while a change of the configuration, announced to the
// old majority, is still on its way to the store. The hosts of the new roster never hear of it.
func disjointRosters(w *world) {
	w.rosterOf = func(version uint64) VotingHosts {
		first := 4 * (int(version) - 1)
		hosts := VotingHosts{Version: version}
		for i := first; i < first+5; i++ {
			hosts.IDs = append(hosts.IDs, id(i))
			hosts.Incarnations = append(hosts.Incarnations, 1)
		}
		return hosts
	}
	w.run(10 * time.Second)
	w.change(0, Configuration)
	w.storeDelay = func() time.Duration { return 20 * time.Second }
	w.run(500 * time.Millisecond)
	w.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	w.change(1, Roster)
	w.run(6 * time.Second)
	w.storeCut = func(int) bool { return true }
	w.noRelay = true
	w.run(30 * time.Second)
}

// Guards against a rule that is missing or has no effect: with all rules the promise holds in the scenario, and without
// the rule the same scenario breaks it.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, test := range []struct {
		name      string
		scenario  func(*world)
		unfounded bool
		without   guards
	}{
		{"announcement to a majority", lateSwap, true, guards{}},
		{"statement withheld while pending", lateSwap, false, guards{withheld: true}},
		{"start counts as announcement", restartAfterAcknowledging, false, guards{start: true}},
		{"ages add up", slowRelay, false, guards{ages: true}},
		{"outage proof names versions", lateReturn, false, guards{versions: true}},
		{"changes of the two documents are serialised", disjointRosters, false, guards{serial: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			with := newWorld(t, 9, 7)
			test.scenario(with)
			if with.violation != "" {
				t.Errorf("with all rules: %s", with.violation)
			}
			if with.accepted == 0 {
				t.Errorf("no change was accepted, so the scenario shows nothing: %v", with.refused)
			}
			w := newWorld(t, 9, 7)
			w.unfounded = test.unfounded
			w.without = test.without
			for i := range w.hosts {
				w.hosts[i].host.without = test.without
			}
			test.scenario(w)
			if w.violation == "" {
				t.Errorf("the promise holds without the rule, so the scenario does not test it (accepted %d)", w.accepted)
			}
		})
	}
}

// fault sets random faults for a while.
func (w *world) fault() {
	w.heal()
	n := len(w.hosts)
	side := make([]bool, n)
	blind := make([]bool, n)
	for i := range n {
		side[i] = w.rng.IntN(3) == 0
		blind[i] = w.rng.IntN(2) == 0
	}
	switch w.rng.IntN(7) {
	case 0:
		w.storeCut = func(int) bool { return true }
	case 1:
		w.cut = func(from, to int) bool { return side[from] != side[to] }
	case 2:
		w.storeCut = func(i int) bool { return blind[i] }
		w.cut = func(from, to int) bool { return side[from] && !side[to] }
	case 3:
		w.storeDelay = func() time.Duration { return time.Duration(w.rng.Int64N(int64(12 * time.Second))) }
	case 4:
		w.answerLost = func() bool { return w.rng.IntN(2) == 0 }
	case 5:
		w.delay = func(int, int) time.Duration { return time.Duration(w.rng.Int64N(int64(3 * time.Second))) }
	}
	for i := range n {
		switch w.rng.IntN(25) {
		case 0:
			if !w.hosts[i].paused {
				w.pause(i, time.Duration(w.rng.Int64N(int64(12*time.Second))))
			}
		case 1:
			if !w.hosts[i].paused {
				w.start(i)
			}
		}
	}
}

// Guards against a host that serves with a version that was replaced more than F ago, under random combinations of
// outages, slowness, lost answers, cuts, delays, pauses, restarts and racing operators, and changing rosters.
func TestRandomFaults(t *testing.T) {
	accepted := 0
	refused := map[string]int{}
	for seed := range uint64(60) {
		w := newWorld(t, 9, 100+seed)
		all := w.rosterOf
		if seed%2 == 1 {
			w.rosterOf = func(version uint64) VotingHosts {
				hosts := VotingHosts{Version: version}
				for k := range 5 {
					hosts.IDs = append(hosts.IDs, all(1).IDs[(int(version)*3+k)%9])
				}
				return hosts
			}
		}
		w.run(45 * time.Second)
		for range 25 {
			w.fault()
			for range w.rng.IntN(4) {
				d := Configuration
				if w.rng.IntN(4) == 0 {
					d = Roster
				}
				i := w.rng.IntN(len(w.hosts))
				w.after(time.Duration(w.rng.Int64N(int64(5*time.Second))), func() {
					if !w.hosts[i].paused {
						w.change(i, d)
					}
				})
			}
			w.run(time.Duration(w.rng.Int64N(int64(12 * time.Second))))
		}
		if w.violation != "" {
			t.Errorf("seed %d: %s", 100+seed, w.violation)
		}
		w.heal()
		w.run(20 * time.Second)
		if got := w.serving(); got[ProofStore] != len(w.hosts) || w.inForce() != len(w.hosts) {
			t.Errorf("seed %d: after healing %v serve and %d are current", 100+seed, got, w.inForce())
		}
		accepted += w.accepted
		for reason, n := range w.refused {
			refused[reason] += n
		}
	}
	t.Logf("%d changes accepted, refusals %v", accepted, refused)
	if accepted < 300 {
		t.Errorf("only %d changes were accepted", accepted)
	}
}

// Guards against a swap without a majority or long after its announcement.
func TestChange(t *testing.T) {
	hosts := VotingHosts{Version: 3, IDs: []model.HostID{"a", "b", "c", "d"}}
	change, err := NewChange(epoch, 1, Configuration, 8, hosts)
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range []model.HostID{"a", "b", "b", "stranger"} {
		change.RecordAcknowledgement(host)
	}
	if err := change.CheckSwap(epoch); !errors.Is(err, ErrNoMajority) {
		t.Errorf("two of four acknowledged: %v", err)
	}
	change.RecordAcknowledgement("d")
	if err := change.CheckSwap(epoch); err != nil {
		t.Errorf("three of four acknowledged: %v", err)
	}
	if err := change.CheckSwap(epoch.Add(MaxSwapDelay + 1)); !errors.Is(err, ErrAnnouncementExpired) {
		t.Errorf("late: %v", err)
	}
	if _, err := NewChange(epoch, 1, Configuration, 1, VotingHosts{}); !errors.Is(err, ErrNoRoster) {
		t.Errorf("without a roster: %v", err)
	}
}

// Guards against a set that loses or invents hosts on the wire, which would make up a majority.
func TestPackedSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 900).Draw(t, "hosts")
		want := newBitmap(hosts)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, hosts-1)).Draw(t, "set") {
			want.set(i)
		}
		got, valid := unpack(want.pack(), hosts)
		if !valid || string(got) != string(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		noise := rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
		if got, valid := unpack(noise, hosts); valid && got.count() > hosts {
			t.Fatalf("%d hosts out of %d", got.count(), hosts)
		}
	})
}

// Guards against clock-rate differences and rounding that make a relayed proof look newer than it is.
func TestRelayedAgeIsNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slow := func(d time.Duration) time.Duration { return d - d/100 }
		trip := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "trip"))
		kept := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "kept"))
		if way := onTheWay(slow(trip+kept), waited(kept+kept/100)); way < slow(trip) {
			t.Fatalf("%v on the way count as %v", trip, way)
		}
	})
}

// TestCancelledAnnouncementHoldsNothingUp guards against changes and outage statements that wait for the quarantine of a
// change that was given up, and against a cancellation that ends the effect of another change.
func TestCancelledAnnouncementHoldsNothingUp(t *testing.T) {
	h := New(epoch, "a", 1)
	h.SetRoster(epoch, VotingHosts{Version: 1, IDs: []model.HostID{"a"}, Incarnations: []model.Incarnation{1}})
	h.SetConfiguration(epoch, 1)
	first := Announcement{ID: 1, Document: Configuration, Version: 2, Roster: 1}
	second := Announcement{ID: 2, Document: Configuration, Version: 2, Roster: 1}
	roster := Announcement{ID: 3, Document: Roster, Version: 2, Roster: 1}
	for _, a := range []Announcement{first, second} {
		if err := h.HandleAnnouncement(epoch, a); err != nil {
			t.Fatal(err)
		}
	}
	h.CancelAnnouncement(first)
	if err := h.HandleAnnouncement(epoch, roster); !errors.Is(err, ErrConflictingChange) {
		t.Errorf("a pending change was forgotten with another one: %v", err)
	}
	h.CancelAnnouncement(second)
	if err := h.HandleAnnouncement(epoch, roster); err != nil {
		t.Errorf("a cancelled change still holds up the roster: %v", err)
	}
}

// TestEmptyRosterCanBeChanged guards against a fleet that cannot start again after a planned stop of all hosts.
func TestEmptyRosterCanBeChanged(t *testing.T) {
	change, err := NewChange(epoch, 1, Roster, 8, VotingHosts{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	if err := change.CheckSwap(epoch); err != nil {
		t.Errorf("the first host cannot register: %v", err)
	}
}
