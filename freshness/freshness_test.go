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

// Guards against hosts that stop serving during a full outage of the store, and against store calls or delays that
// grow with the fleet.
func TestOutageOfStore(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, n, 1)
			sim.run(10 * time.Second)
			if got := sim.servingHosts(); got[ProofStore] != n {
				t.Fatalf("serving before the outage: %v", got)
			}
			calls := sim.storeCalls
			sim.run(10 * time.Second)
			if perSecond := (sim.storeCalls - calls) / 10; perSecond > 15 {
				t.Errorf("%d store calls per second", perSecond)
			}
			sim.storeCut = func(int) bool { return true }
			sim.notServing = 0
			sim.oldestProof = 0
			for i := range 30 {
				sim.run(time.Second)
				if sim.notServing > 0 {
					t.Fatalf("after %d s of the outage hosts stopped serving: %v", i+1, sim.servingHosts())
				}
			}
			t.Logf("%d hosts: oldest proof in use %v", n, sim.oldestProof)
			if got := sim.servingHosts(); got[ProofOutage] != n {
				t.Errorf("serving at the end of the outage: %v", got)
			}
			sim.heal()
			sim.run(10 * time.Second)
			if got := sim.servingHosts(); got[ProofStore] != n {
				t.Errorf("serving after the outage: %v", got)
			}
		})
	}
}

// Guards against hosts that stop serving because a host of the relay tree fails during an outage of the store: first
// an inner host of the tree, then a root.
func TestRelayHostDiesDuringOutage(t *testing.T) {
	for _, n := range []int{9, 50, 200} {
		sim := newSimulation(t, n, 2)
		sim.run(10 * time.Second)
		sim.storeCut = func(int) bool { return true }
		sim.run(10 * time.Second)
		sim.notServing = 0
		sim.oldestProof = 0
		root := sim.tree.Roots()[0]
		for i := range sim.hosts {
			if id(i) == root || n > 9 && id(i) == sim.tree.Children(root)[0] {
				sim.hosts[i].paused = true
				sim.run(20 * time.Second)
			}
		}
		if sim.notServing > 0 {
			t.Errorf("%d hosts: a host did not serve at %d ticks", n, sim.notServing)
		}
		t.Logf("%d hosts: oldest proof in use %v", n, sim.oldestProof)
	}
}

// Guards against slow propagation of an accepted change.
func TestChangeReachesAll(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, n, 3)
			sim.run(10 * time.Second)
			sim.changeDocument(n/2, Configuration)
			for sim.acceptedChanges == 0 || sim.currentHosts() < n {
				sim.run(10 * time.Millisecond)
				if sim.now.Sub(epoch) > 30*time.Second {
					t.Fatalf("active on %d of %d hosts, refusals %v", sim.currentHosts(), n, sim.refusals)
				}
			}
			took := sim.now.Sub(sim.effectiveAt[Configuration][2])
			if took > 7*time.Second {
				t.Errorf("active on all hosts after %v", took)
			}
			sim.run(5 * time.Second)
			confirmed := 0
			for i := range n {
				if sim.hosts[i].upstream.IsRoot() {
					_, ids := sim.hosts[i].host.ConfirmedHosts()
					confirmed = max(confirmed, len(ids))
				}
			}
			if confirmed != n {
				t.Errorf("a root knows of %d confirmations, want %d", confirmed, n)
			}
			t.Logf("%d hosts: active on all hosts %v after the acceptance", n, took)
		})
	}
}

// Guards against an isolated host that serves for longer than MaxProofAge.
func TestCutOffHostStops(t *testing.T) {
	sim := newSimulation(t, 9, 5)
	sim.run(10 * time.Second)
	sim.linkCut = func(from, to int) bool { return from == 4 || to == 4 }
	sim.storeCut = func(i int) bool { return i == 4 }
	sim.run(MaxProofAge)
	if proof := sim.hosts[4].host.ServingProof(sim.now); proof.Valid {
		t.Errorf("still serving: %+v", proof)
	}
	if got := sim.servingHosts(); got[ProofStore] != 8 {
		t.Errorf("the others: %v", got)
	}
	sim.heal()
	sim.run(5 * time.Second)
	if got := sim.servingHosts(); got[ProofStore] != 9 {
		t.Errorf("after healing: %v", got)
	}
}

// swapUnseenByOthers changes the configuration through host 0 while only host 0 can reach the store.
func swapUnseenByOthers(sim *simulation) {
	sim.run(10 * time.Second)
	sim.storeCut = func(i int) bool { return i != 0 }
	sim.run(8 * time.Second)
	sim.changeDocument(0, Configuration)
	// The change must not reach the others by relay.
	sim.schedule(time.Second, func() { sim.linkCut = func(from, to int) bool { return from == 0 || to == 0 } })
	sim.omitDocuments = true
	sim.run(20 * time.Second)
}

// restartAfterAcknowledgement sends a swap that takes effect after 10 s. Meanwhile all other hosts restart and read
// the store before the swap takes effect.
func restartAfterAcknowledgement(sim *simulation) {
	sim.run(10 * time.Second)
	sim.changeDocument(0, Configuration)
	sim.storeDelay = func() time.Duration { return 10 * time.Second }
	sim.run(500 * time.Millisecond)
	sim.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	for i := 1; i < len(sim.hosts); i++ {
		sim.startHost(i)
	}
	sim.linkCut = func(from, to int) bool { return from == 0 || to == 0 }
	sim.run(4 * time.Second)
	sim.storeCut = func(i int) bool { return true }
	sim.run(20 * time.Second)
}

// slowRelay lets only one root reach the store, and delays its messages to other hosts by 2 s.
func slowRelay(sim *simulation) {
	sim.run(10 * time.Second)
	reader := slices.IndexFunc(sim.hosts, func(h *simHost) bool { return h.upstream.IsRoot() })
	sim.storeCut = func(i int) bool { return i != reader }
	sim.linkDelay = func(from, to int) time.Duration {
		if from == reader || to == reader {
			return 2 * time.Second
		}
		return time.Millisecond
	}
	sim.run(20 * time.Second)
	sim.omitDocuments = true
	sim.changeDocument(reader, Configuration)
	sim.run(20 * time.Second)
}

// rejoinDuringOutage isolates host 8 during a change and reconnects it during an outage of the store, without passing
// it the new document.
func rejoinDuringOutage(sim *simulation) {
	sim.run(10 * time.Second)
	sim.linkCut = func(from, to int) bool { return from == 8 || to == 8 }
	sim.storeCut = func(i int) bool { return i == 8 }
	sim.run(time.Second)
	sim.changeDocument(0, Configuration)
	sim.run(10 * time.Second)
	sim.storeCut = func(int) bool { return true }
	sim.run(10 * time.Second)
	sim.omitDocuments = true
	sim.linkCut = func(int, int) bool { return false }
	sim.run(20 * time.Second)
}

// disjointRosters moves the roster from hosts 0-4 to hosts 4-8 while a change of the configuration, announced to a
// majority of the old roster, is still in transit to the store. No majority of the new roster receives the
// announcement.
func disjointRosters(sim *simulation) {
	sim.rosterAt = func(version uint64) VotingHosts {
		first := 4 * (int(version) - 1)
		hosts := VotingHosts{Version: version}
		for i := first; i < first+5; i++ {
			hosts.IDs = append(hosts.IDs, id(i))
			hosts.Incarnations = append(hosts.Incarnations, 1)
		}
		return hosts
	}
	sim.run(10 * time.Second)
	sim.changeDocument(0, Configuration)
	sim.storeDelay = func() time.Duration { return 20 * time.Second }
	sim.run(500 * time.Millisecond)
	sim.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	sim.changeDocument(1, Roster)
	sim.run(6 * time.Second)
	sim.storeCut = func(int) bool { return true }
	sim.omitDocuments = true
	sim.run(30 * time.Second)
}

// Guards against a rule that is missing or has no effect: the scenario must pass with all rules and must cause a
// violation when the rule is disabled.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, test := range []struct {
		name              string
		scenario          func(*simulation)
		skipAnnouncements bool
		disabledRules     ruleSet
	}{
		{"announcement to a majority", swapUnseenByOthers, true, ruleSet{}},
		{"vote withheld while pending", swapUnseenByOthers, false, ruleSet{withheldVotes: true}},
		{"start counts as announcement", restartAfterAcknowledgement, false, ruleSet{startQuarantine: true}},
		{"ages add up", slowRelay, false, ruleSet{relayAges: true}},
		{"outage proof names versions", rejoinDuringOutage, false, ruleSet{proofVersions: true}},
		{"changes of the two documents are serialised", disjointRosters, false, ruleSet{serialChanges: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			allRules := newSimulation(t, 9, 7)
			test.scenario(allRules)
			if allRules.violation != "" {
				t.Errorf("with all rules: %s", allRules.violation)
			}
			if allRules.acceptedChanges == 0 {
				t.Errorf("no change was accepted, so the scenario shows nothing: %v", allRules.refusals)
			}
			sim := newSimulation(t, 9, 7)
			sim.skipAnnouncements = test.skipAnnouncements
			sim.disabledRules = test.disabledRules
			for i := range sim.hosts {
				sim.hosts[i].host.disabledRules = test.disabledRules
			}
			test.scenario(sim)
			if sim.violation == "" {
				t.Errorf("no violation without the rule, so the scenario does not test it (accepted %d)", sim.acceptedChanges)
			}
		})
	}
}

// injectFault replaces the current faults by random ones, and pauses or restarts random hosts.
func (sim *simulation) injectFault() {
	sim.heal()
	n := len(sim.hosts)
	minority := make([]bool, n)
	storeUnreachable := make([]bool, n)
	for i := range n {
		minority[i] = sim.rng.IntN(3) == 0
		storeUnreachable[i] = sim.rng.IntN(2) == 0
	}
	switch sim.rng.IntN(7) {
	case 0:
		sim.storeCut = func(int) bool { return true }
	case 1:
		sim.linkCut = func(from, to int) bool { return minority[from] != minority[to] }
	case 2:
		sim.storeCut = func(i int) bool { return storeUnreachable[i] }
		sim.linkCut = func(from, to int) bool { return minority[from] && !minority[to] }
	case 3:
		sim.storeDelay = func() time.Duration { return time.Duration(sim.rng.Int64N(int64(12 * time.Second))) }
	case 4:
		sim.loseAnswer = func() bool { return sim.rng.IntN(2) == 0 }
	case 5:
		sim.linkDelay = func(int, int) time.Duration { return time.Duration(sim.rng.Int64N(int64(3 * time.Second))) }
	}
	for i := range n {
		switch sim.rng.IntN(25) {
		case 0:
			if !sim.hosts[i].paused {
				sim.pauseHost(i, time.Duration(sim.rng.Int64N(int64(12*time.Second))))
			}
		case 1:
			if !sim.hosts[i].paused {
				sim.startHost(i)
			}
		}
	}
}

// Guards against a host that serves with a version that was replaced more than MaxProofAge ago, under random
// combinations of store outages, slow store calls, lost answers, partitions, delays, pauses, restarts, concurrent
// operators and changing rosters.
func TestRandomFaults(t *testing.T) {
	accepted := 0
	refused := map[string]int{}
	for seed := range uint64(60) {
		sim := newSimulation(t, 9, 100+seed)
		all := sim.rosterAt
		if seed%2 == 1 {
			sim.rosterAt = func(version uint64) VotingHosts {
				hosts := VotingHosts{Version: version}
				for k := range 5 {
					hosts.IDs = append(hosts.IDs, all(1).IDs[(int(version)*3+k)%9])
				}
				return hosts
			}
		}
		sim.run(45 * time.Second)
		for range 25 {
			sim.injectFault()
			for range sim.rng.IntN(4) {
				d := Configuration
				if sim.rng.IntN(4) == 0 {
					d = Roster
				}
				i := sim.rng.IntN(len(sim.hosts))
				sim.schedule(time.Duration(sim.rng.Int64N(int64(5*time.Second))), func() {
					if !sim.hosts[i].paused {
						sim.changeDocument(i, d)
					}
				})
			}
			sim.run(time.Duration(sim.rng.Int64N(int64(12 * time.Second))))
		}
		if sim.violation != "" {
			t.Errorf("seed %d: %s", 100+seed, sim.violation)
		}
		sim.heal()
		sim.run(20 * time.Second)
		if got := sim.servingHosts(); got[ProofStore] != len(sim.hosts) || sim.currentHosts() != len(sim.hosts) {
			t.Errorf("seed %d: after healing %v serve and %d are current", 100+seed, got, sim.currentHosts())
		}
		accepted += sim.acceptedChanges
		for reason, n := range sim.refusals {
			refused[reason] += n
		}
	}
	t.Logf("%d changes accepted, refusals %v", accepted, refused)
	if accepted < 300 {
		t.Errorf("only %d changes were accepted", accepted)
	}
}

// Guards against a swap without a majority or too long after its announcement.
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

// Guards against an encoding that loses or adds hosts, which could produce a false majority.
func TestBitmapEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 900).Draw(t, "hosts")
		want := newBitmap(hosts)
		for _, i := range rapid.SliceOf(rapid.IntRange(0, hosts-1)).Draw(t, "set") {
			want.set(i)
		}
		got, valid := decodeBitmap(want.encode(), hosts)
		if !valid || string(got) != string(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		noise := rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
		if got, valid := decodeBitmap(noise, hosts); valid && got.count() > hosts {
			t.Fatalf("%d hosts out of %d", got.count(), hosts)
		}
	})
}

// Guards against clock-rate differences and rounding that make a relayed proof look newer than it is.
func TestRelayedAgeIsNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		onSlowClock := func(d time.Duration) time.Duration { return d - d/100 }
		trip := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "trip"))
		heldFor := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "heldFor"))
		if transit := maxTransitTime(onSlowClock(trip+heldFor), waitMillis(heldFor+heldFor/100)); transit < onSlowClock(trip) {
			t.Fatalf("%v in transit count as %v", trip, transit)
		}
	})
}

// Guards against changes and outage votes that wait for the quarantine of a cancelled change, and against a
// cancellation that removes the announcement of another change.
func TestCancelledAnnouncementUnblocksChanges(t *testing.T) {
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
		t.Errorf("the cancellation removed another pending change: %v", err)
	}
	h.CancelAnnouncement(second)
	if err := h.HandleAnnouncement(epoch, roster); err != nil {
		t.Errorf("a cancelled change still blocks the roster: %v", err)
	}
}

// Guards against a fleet that cannot start again after a planned stop of all hosts.
func TestEmptyRosterCanBeChanged(t *testing.T) {
	change, err := NewChange(epoch, 1, Roster, 8, VotingHosts{Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	if err := change.CheckSwap(epoch); err != nil {
		t.Errorf("the first host cannot register: %v", err)
	}
}
