package failover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// harness drives one machine with scripted members. Members answer with their entry in statuses; a nil entry gives no
// answer.
type harness struct {
	t                     *testing.T
	machine               *failover.Machine
	now                   time.Time
	statuses              map[model.TargetID]*failover.Status
	newConnectionStatuses map[model.TargetID]*failover.Status // answers over new connections, if they differ
	refusesConnections    map[model.TargetID]bool
	acceptsTerms          bool // members accept AdoptTerm commands
	actions               []failover.Action
}

// newHarness returns a harness with the given members. Member a is the primary of term 1 at offset 10.
func newHarness(t *testing.T, members ...model.TargetID) *harness {
	h := &harness{t: t, now: time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC), refusesConnections: map[model.TargetID]bool{},
		statuses: map[model.TargetID]*failover.Status{}, newConnectionStatuses: map[model.TargetID]*failover.Status{}}
	var list []failover.Member
	for _, id := range members {
		list = append(list, failover.Member{Target: id, Address: string(id)})
		h.statuses[id] = &failover.Status{
			AdoptedTerm: 1, Role: failover.RoleReplica, Position: position(1, 10), PrimaryAddress: "a",
		}
	}
	h.statuses["a"].Role, h.statuses["a"].PrimaryAddress = failover.RolePrimary, ""
	config := failover.Config{Orderer: "me", Members: list, Rand: func() float64 { return 0.5 }}
	h.machine = failover.New(config, h.now)
	h.run(time.Second)
	if !h.machine.View().Writable {
		t.Fatalf("not writable: %+v", h.machine.View())
	}
	h.actions = nil
	return h
}

func position(term, offset uint64) model.Position { return model.Position{Term: term, Offset: offset} }

func (h *harness) handle(event failover.Event) {
	for _, action := range h.machine.Handle(h.now, event) {
		h.actions = append(h.actions, action)
		h.answer(action)
	}
}

func (h *harness) answer(action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		if h.refusesConnections[a.Target] {
			h.handle(failover.ProbeFailed{Target: a.Target, Seq: a.Seq, Failure: failover.FailureClosed})
		} else if s := h.statuses[a.Target]; s != nil {
			h.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	case failover.OpenConnection:
		if h.refusesConnections[a.Target] {
			h.handle(failover.ProbeFailed{Target: a.Target, Seq: a.Seq, Failure: failover.FailureRefused})
		} else if s := h.newConnectionStatuses[a.Target]; s != nil {
			h.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		} else if s := h.statuses[a.Target]; s != nil {
			h.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	case failover.AdoptTerm:
		if s := h.statuses[a.Target]; s != nil && h.acceptsTerms {
			s.AdoptedTerm, s.Orderer, s.Role, s.PrimaryAddress = a.Term, a.Orderer, failover.RoleReplica, ""
			h.handle(failover.CommandAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	}
}

// run advances the time by d in steps of TickInterval.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(failover.TickInterval)
		h.handle(failover.Tick{})
	}
}

func actionsOf[A failover.Action](h *harness) (list []A) {
	for _, action := range h.actions {
		if a, ok := action.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// Guards against a failover caused by one silent connection: a new connection that works must replace the old ones.
func TestSilentConnection(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.newConnectionStatuses["a"], h.statuses["a"] = h.statuses["a"], nil
	h.run(850 * ms)
	if got := actionsOf[failover.ReplaceConnections](h); len(got) != 1 || got[0].Target != "a" {
		t.Errorf("replaced %v", got)
	}
	if got := actionsOf[failover.AdoptTerm](h); len(got) != 0 || !h.machine.View().Writable {
		t.Errorf("adoptions %v", got)
	}
}

// Guards against failure detection that is slower or faster than specified: a member is dead 1 s after the first
// unanswered probe, or after three refused connections.
func TestFailureDetectionTime(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		h := newHarness(t, "a", "b", "c")
		start := h.now
		h.statuses["a"], h.refusesConnections["a"] = nil, refuses
		for len(actionsOf[failover.AdoptTerm](h)) == 0 && h.now.Sub(start) < 5*time.Second {
			h.run(failover.TickInterval)
		}
		detected, low, high := h.now.Sub(start), time.Second, 1250*ms
		if refuses {
			low, high = 50*ms, 400*ms
		}
		if detected < low || detected > high {
			t.Errorf("refuses %v: detected after %v", refuses, detected)
		}
		for i, a := range actionsOf[failover.AdoptTerm](h) {
			if a.Term != 2 || a.Target != []model.TargetID{"b", "c"}[i] {
				t.Errorf("refuses %v: adoption %+v", refuses, a)
			}
		}
	}
}

// Guards against a failover by a process that was paused and resumes with unanswered probes.
func TestNoElectionAfterProcessPause(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.statuses["a"], h.newConnectionStatuses["a"] = nil, h.statuses["a"]
	h.run(300 * ms)
	h.now = h.now.Add(time.Minute)
	h.handle(failover.Tick{})
	h.statuses["a"] = h.newConnectionStatuses["a"]
	h.run(900 * ms)
	if got := actionsOf[failover.AdoptTerm](h); len(got) != 0 {
		t.Errorf("adoptions %v", got)
	}
}

// Guards against elections that cannot succeed: a home that reaches no majority, or that manages a group of two without
// its primary, must not request the adoption of a new term.
func TestNoElectionWithoutMajority(t *testing.T) {
	for _, members := range [][]model.TargetID{{"a", "b", "c"}, {"a", "b"}} {
		h := newHarness(t, members...)
		h.statuses["a"], h.statuses["c"] = nil, nil
		h.run(5 * time.Second)
		if got := actionsOf[failover.AdoptTerm](h); len(got) != 0 {
			t.Errorf("%v: adoptions %v", members, got)
		}
		if h.machine.View().Writable {
			t.Errorf("%v: writable without the primary", members)
		}
	}
}

// Guards against a group of one that waits for other members: its only member must acknowledge writes alone, and must be
// promoted again after it lost the primary role.
func TestGroupOfOne(t *testing.T) {
	h := newHarness(t, "a")
	h.acceptsTerms = true
	h.handle(failover.WriteFinished{ID: 7, Target: "a", Position: position(1, 11), Deadline: h.now.Add(time.Second)})
	if diff := cmp.Diff([]failover.AcknowledgeWrite{{ID: 7}}, actionsOf[failover.AcknowledgeWrite](h)); diff != "" {
		t.Error(diff)
	}
	h.statuses["a"].Role = failover.RoleReplica
	h.run(time.Second)
	if got := actionsOf[failover.Promote](h); len(got) == 0 || got[0].Target != "a" || got[0].Term != 2 {
		t.Errorf("promotions %v", got)
	}
}

// Guards against two primaries in one term: an unanswered promotion may be resent only to the same member, and the next
// election must use a greater term.
func TestPromotionWithoutAnswer(t *testing.T) {
	h := newHarness(t, "a", "b", "c")
	h.statuses["a"], h.acceptsTerms = nil, true
	h.statuses["c"].Position = position(1, 12)
	h.run(6 * time.Second)
	targets := map[uint64]model.TargetID{}
	for _, p := range actionsOf[failover.Promote](h) {
		if old, ok := targets[p.Term]; ok && old != p.Target || p.Target != "c" {
			t.Errorf("term %d: promotion of %s, before of %q", p.Term, p.Target, old)
		}
		targets[p.Term] = p.Target
	}
	if len(targets) < 2 {
		t.Errorf("promotions in %d terms", len(targets))
	}
}

// Guards against an acknowledgement without proof: a replica counts only if it has adopted exactly the term of the write
// and its log has reached the write in that term.
func TestAcknowledgementRequiresMajority(t *testing.T) {
	cases := []struct {
		name      string
		write     model.Position
		target    model.TargetID
		status    failover.Status
		acked     bool
		abandoned bool
	}{
		{"replica has the write", position(1, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, true, false},
		{"replica is behind", position(1, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 10)}, false, true},
		{"replica has adopted a later term", position(1, 11), "a",
			failover.Status{AdoptedTerm: 2, Position: position(1, 11)}, false, true},
		{"replica has a longer log of an earlier term", position(1, 11), "a",
			failover.Status{AdoptedTerm: 1, Position: position(0, 50)}, false, true},
		{"write of another term", position(2, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, false, true},
		{"write of another target", position(1, 11), "b",
			failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, false, true},
	}
	for _, c := range cases {
		h := newHarness(t, "a", "b", "c")
		h.handle(failover.WriteFinished{ID: 1, Target: c.target, Position: c.write, Deadline: h.now.Add(300 * ms)})
		if got := actionsOf[failover.AcknowledgeWrite](h); len(got) != 0 {
			t.Errorf("%s: acknowledged without a majority", c.name)
		}
		c.status.Role = failover.RoleReplica
		for _, a := range actionsOf[failover.AwaitPosition](h) {
			if a.Target == "b" {
				h.handle(failover.CommandAnswered{Target: "b", Seq: a.Seq, Status: c.status})
			}
		}
		h.run(350 * ms)
		acked, abandoned := len(actionsOf[failover.AcknowledgeWrite](h)) == 1, len(actionsOf[failover.AbandonWrite](h)) == 1
		if acked != c.acked || abandoned != c.abandoned {
			t.Errorf("%s: acknowledged %v, abandoned %v", c.name, acked, abandoned)
		}
	}
}

// Guards against lost writes, writes with unknown outcome and a long write gap when the primary leaves, and against a
// leaving primary that keeps its role for more than a few seconds.
func TestPlannedHandover(t *testing.T) {
	t.Parallel()
	var longest time.Duration
	for seed := range uint64(30) {
		for _, members := range []int{2, 3} {
			sim := newSimulation(seed, members, 2, 5)
			sim.run(3 * time.Second)
			old, before := sim.latestPrimary(), sim.unknownWrites
			old.leaving = true
			sim.distributeConfiguration(2 * time.Second)
			sim.run(12 * time.Second)
			if sim.latestPrimary() == old || sim.unknownWrites != before {
				t.Errorf("seed %d, %d members: primary %s leaves, primary is now %s, %d unknown writes",
					seed, members, old.id, sim.latestPrimary().id, sim.unknownWrites-before)
			}
			if changed := sim.promoted[sim.lastTerm].at - 3*time.Second; changed > 4*time.Second {
				t.Errorf("seed %d: handover after %v", seed, changed)
			}
			for property, violations := range sim.violations {
				t.Errorf("seed %d: %s: %s", seed, property, violations[0])
			}
			for i := range sim.acknowledged[1:] {
				longest = max(longest, sim.acknowledged[i+1].at-sim.acknowledged[i].at)
			}
		}
	}
	t.Logf("60 handovers, longest time without an acknowledged write %v", longest.Round(ms))
}

// Guards against writes that only removed members have. The test adds a member and removes another, each time waiting
// until the membership is settled. Afterwards the group must survive a failure.
func TestReplaceMember(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newSimulation(seed, 3, 2, 5)
		sim.run(2 * time.Second)
		settled := func(step string) {
			sim.run(sim.now + 4*time.Second)
			for _, h := range sim.homes {
				if !h.view.MembersSettled {
					t.Fatalf("seed %d: %s is not settled after %s", seed, h.id, step)
				}
			}
		}
		sim.addMember()
		sim.distributeConfiguration(time.Second)
		settled("adding a member")
		old := sim.latestPrimary()
		old.removed = true
		sim.distributeConfiguration(time.Second)
		settled("removing the primary")
		if sim.latestPrimary() == old {
			t.Errorf("seed %d: removed member %s is still primary", seed, old.id)
		}
		old.up = false
		sim.latestPrimary().up = false
		acked := len(sim.acknowledged)
		sim.run(sim.now + 4*time.Second)
		if len(sim.acknowledged) == acked {
			t.Errorf("seed %d: no write after the failure", seed)
		}
		for property, violations := range sim.violations {
			t.Errorf("seed %d: %s: %s", seed, property, violations[0])
		}
	}
}

// Guards against an election without the old members after most members were replaced at once: until the new list has all
// entries, an election also requires a majority of the old list.
func TestUnsettledChangeNeedsBothMajorities(t *testing.T) {
	for _, caughtUp := range []bool{false, true} {
		h := newHarness(t, "a", "b", "c")
		h.statuses["b"], h.statuses["c"] = nil, nil
		added := failover.Status{AdoptedTerm: 1, Role: failover.RoleReplica, Position: position(1, 9), PrimaryAddress: "a"}
		if caughtUp {
			added.Position = position(1, 10)
		}
		h.statuses["d"], h.statuses["e"] = &added, &added
		list := []failover.Member{{Target: "a", Address: "a"}, {Target: "d", Address: "d"}, {Target: "e", Address: "e"}}
		h.handle(failover.MembersChanged{Members: list})
		h.run(1500 * ms)
		view := h.machine.View()
		h.statuses["a"] = nil
		h.run(2 * time.Second)
		elected := len(actionsOf[failover.AdoptTerm](h)) > 0
		if view.MembersSettled != caughtUp || view.Writable != caughtUp || elected != caughtUp {
			t.Errorf("caught up %v: election %v, view %+v", caughtUp, elected, view)
		}
	}
}

// Guards against a panic and against two promotions in one term when members and the caller report arbitrary events.
func TestArbitraryEvents(t *testing.T) {
	promotions := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		ids := []model.TargetID{"a", "b", "c", "d"}
		id := func() model.TargetID { return ids[rng.IntN(len(ids))] }
		number := func() uint64 { return rng.Uint64N(6) }
		list := func() (list []failover.Member) {
			for _, i := range rng.Perm(len(ids))[:rng.IntN(len(ids))] {
				list = append(list, failover.Member{Target: ids[i], Address: string(ids[i]), Leaving: rng.IntN(3) == 0})
			}
			return list
		}
		now, seq := time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC), map[model.TargetID]uint64{}
		m := failover.New(failover.Config{Orderer: "me", Members: list(), Rand: rng.Float64}, now)
		promoted, term := map[uint64]model.TargetID{}, uint64(0)
		for range 2000 {
			now = now.Add(time.Duration(rng.Int64N(int64(100 * ms))))
			target := id()
			status := failover.Status{
				AdoptedTerm: []uint64{number(), term}[rng.IntN(2)], Orderer: "me", Role: failover.Role(1 + rng.IntN(2)),
				Position: position(number(), number()),
			}
			event := []failover.Event{
				failover.ProbeAnswered{Target: target, Seq: seq[target], Status: status},
				failover.ProbeFailed{Target: target, Seq: seq[target], Failure: failover.FailureKind(1 + rng.IntN(3))},
				failover.CommandAnswered{Target: target, Seq: seq[target], Status: status},
				failover.CommandFailed{Target: target, Seq: seq[target]},
				failover.WriteFinished{
					ID: number(), Target: target, Position: position(number(), number()), Deadline: now.Add(time.Second),
				},
				failover.PrimaryIdle{Term: number()}, failover.TermObserved{Term: number()}, failover.Tick{}, failover.Tick{},
			}[rng.IntN(9)]
			if rng.IntN(300) == 0 {
				event = failover.MembersChanged{Members: list()}
			}
			for _, action := range m.Handle(now, event) {
				switch a := action.(type) {
				case failover.Probe:
					seq[a.Target] = a.Seq
				case failover.OpenConnection:
					seq[a.Target] = a.Seq
				case failover.AdoptTerm:
					seq[a.Target], term = a.Seq, a.Term
				case failover.Promote:
					seq[a.Target] = a.Seq
					if old, ok := promoted[a.Term]; ok && old != a.Target {
						t.Fatalf("seed %d: term %d: promotions of %s and %s", seed, a.Term, old, a.Target)
					}
					promoted[a.Term] = a.Target
					promotions++
				}
			}
		}
	}
	if promotions == 0 {
		t.Error("no run reached a promotion")
	}
}
