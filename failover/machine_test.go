package failover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// bench drives one machine by hand. Members answer as answers says; a nil entry stays silent.
type bench struct {
	t       *testing.T
	machine *failover.Machine
	now     time.Time
	status  map[model.TargetID]*failover.Status
	fresh   map[model.TargetID]*failover.Status // answers on new connections, if they differ
	refuses map[model.TargetID]bool
	accepts bool // members adopt and become primary as asked
	actions []failover.Action
}

// newBench returns a bench with the members a (primary of term 1 at offset 10), b and c.
func newBench(t *testing.T, members ...model.TargetID) *bench {
	b := &bench{t: t, now: time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC), refuses: map[model.TargetID]bool{},
		status: map[model.TargetID]*failover.Status{}, fresh: map[model.TargetID]*failover.Status{}}
	var list []failover.Member
	for _, id := range members {
		list = append(list, failover.Member{Target: id, Address: string(id)})
		b.status[id] = &failover.Status{AdoptedTerm: 1, Role: failover.RoleReplica, Position: position(1, 10), PrimaryAddress: "a"}
	}
	b.status["a"].Role, b.status["a"].PrimaryAddress = failover.RolePrimary, ""
	config := failover.Config{Orderer: "me", Members: list, Rand: func() float64 { return 0.5 }}
	b.machine = failover.New(config, b.now)
	b.run(time.Second)
	if !b.machine.View().Writable {
		t.Fatalf("not writable: %+v", b.machine.View())
	}
	b.actions = nil
	return b
}

func position(term, offset uint64) model.Position { return model.Position{Term: term, Offset: offset} }

func (b *bench) handle(event failover.Event) {
	for _, action := range b.machine.Handle(b.now, event) {
		b.actions = append(b.actions, action)
		b.answer(action)
	}
}

func (b *bench) answer(action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		if b.refuses[a.Target] {
			b.handle(failover.ProbeFailed{Target: a.Target, Seq: a.Seq, Failure: failover.FailureClosed})
		} else if s := b.status[a.Target]; s != nil {
			b.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	case failover.OpenConnection:
		if b.refuses[a.Target] {
			b.handle(failover.ProbeFailed{Target: a.Target, Seq: a.Seq, Failure: failover.FailureRefused})
		} else if s := b.fresh[a.Target]; s != nil {
			b.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		} else if s := b.status[a.Target]; s != nil {
			b.handle(failover.ProbeAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	case failover.AdoptTerm:
		if s := b.status[a.Target]; s != nil && b.accepts {
			s.AdoptedTerm, s.Orderer, s.Role, s.PrimaryAddress = a.Term, a.Orderer, failover.RoleReplica, ""
			b.handle(failover.CommandAnswered{Target: a.Target, Seq: a.Seq, Status: *s})
		}
	}
}

// run lets time pass in steps of the tick interval.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(failover.TickInterval)
		b.handle(failover.Tick{})
	}
}

func count[A failover.Action](b *bench) (list []A) {
	for _, action := range b.actions {
		if a, ok := action.(A); ok {
			list = append(list, a)
		}
	}
	return list
}

// Guards against a failover because of one silent connection: a new connection that works replaces the old ones.
func TestSilentConnection(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	b.fresh["a"], b.status["a"] = b.status["a"], nil
	b.run(850 * ms)
	if got := count[failover.ReplaceConnections](b); len(got) != 1 || got[0].Target != "a" {
		t.Errorf("replaced %v", got)
	}
	if got := count[failover.AdoptTerm](b); len(got) != 0 || !b.machine.View().Writable {
		t.Errorf("adoptions %v", got)
	}
}

// Guards against a detection that is slower or faster than the design: 1 s of silence, which begins with the first probe
// without an answer, or three refused connections.
func TestDetection(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		b := newBench(t, "a", "b", "c")
		start := b.now
		b.status["a"], b.refuses["a"] = nil, refuses
		for len(count[failover.AdoptTerm](b)) == 0 && b.now.Sub(start) < 5*time.Second {
			b.run(failover.TickInterval)
		}
		detected, low, high := b.now.Sub(start), time.Second, 1250*ms
		if refuses {
			low, high = 50*ms, 400*ms
		}
		if detected < low || detected > high {
			t.Errorf("refuses %v: detected after %v", refuses, detected)
		}
		for i, a := range count[failover.AdoptTerm](b) {
			if a.Term != 2 || a.Target != []model.TargetID{"b", "c"}[i] {
				t.Errorf("refuses %v: adoption %+v", refuses, a)
			}
		}
	}
}

// Guards against a failover by a process that was paused and finds old probes unanswered.
func TestPause(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	b.status["a"], b.fresh["a"] = nil, b.status["a"]
	b.run(300 * ms)
	b.now = b.now.Add(time.Minute)
	b.handle(failover.Tick{})
	b.status["a"] = b.fresh["a"]
	b.run(900 * ms)
	if got := count[failover.AdoptTerm](b); len(got) != 0 {
		t.Errorf("adoptions %v", got)
	}
}

// Guards against terms that are raised without a chance of success: a home that reaches no majority, and a group of two
// that lost its primary, order nothing.
func TestNoElectionWithoutMajority(t *testing.T) {
	for _, members := range [][]model.TargetID{{"a", "b", "c"}, {"a", "b"}} {
		b := newBench(t, members...)
		b.status["a"], b.status["c"] = nil, nil
		b.run(5 * time.Second)
		if got := count[failover.AdoptTerm](b); len(got) != 0 {
			t.Errorf("%v: adoptions %v", members, got)
		}
		if b.machine.View().Writable {
			t.Errorf("%v: writable without the primary", members)
		}
	}
}

// Guards against a group of one that needs more than itself: it acknowledges alone, and a member that lost its role is
// promoted again.
func TestGroupOfOne(t *testing.T) {
	b := newBench(t, "a")
	b.accepts = true
	b.handle(failover.WriteFinished{ID: 7, Target: "a", Position: position(1, 11), Deadline: b.now.Add(time.Second)})
	if diff := cmp.Diff([]failover.AcknowledgeWrite{{ID: 7}}, count[failover.AcknowledgeWrite](b)); diff != "" {
		t.Error(diff)
	}
	b.status["a"].Role = failover.RoleReplica
	b.run(time.Second)
	if got := count[failover.Promote](b); len(got) == 0 || got[0].Target != "a" || got[0].Term != 2 {
		t.Errorf("promotions %v", got)
	}
}

// Guards against two primaries of one term: a promotion without an answer is repeated to the same member only, and the
// next attempt has a greater term.
func TestPromotionWithoutAnswer(t *testing.T) {
	b := newBench(t, "a", "b", "c")
	b.status["a"], b.accepts = nil, true
	b.status["c"].Position = position(1, 12)
	b.run(6 * time.Second)
	targets := map[uint64]model.TargetID{}
	for _, p := range count[failover.Promote](b) {
		if old, ok := targets[p.Term]; ok && old != p.Target || p.Target != "c" {
			t.Errorf("term %d: promotion of %s, before of %q", p.Term, p.Target, old)
		}
		targets[p.Term] = p.Target
	}
	if len(targets) < 2 {
		t.Errorf("promotions in %d terms", len(targets))
	}
}

// Guards against an acknowledgement that is not proven: the replica must have adopted exactly the term of the write, and
// its log must have reached the write in that term.
func TestDurability(t *testing.T) {
	cases := []struct {
		name   string
		write  model.Position
		target model.TargetID
		status failover.Status
		acked  bool
		gaveUp bool
	}{
		{"replica has the write", position(1, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, true, false},
		{"replica is behind", position(1, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 10)}, false, true},
		{"replica has adopted a later term", position(1, 11), "a", failover.Status{AdoptedTerm: 2, Position: position(1, 11)}, false, true},
		{"replica has a longer log of an earlier term", position(1, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(0, 50)}, false, true},
		{"write of another term", position(2, 11), "a", failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, false, true},
		{"write of another target", position(1, 11), "b", failover.Status{AdoptedTerm: 1, Position: position(1, 11)}, false, true},
	}
	for _, c := range cases {
		b := newBench(t, "a", "b", "c")
		b.handle(failover.WriteFinished{ID: 1, Target: c.target, Position: c.write, Deadline: b.now.Add(300 * ms)})
		if got := count[failover.AcknowledgeWrite](b); len(got) != 0 {
			t.Errorf("%s: acknowledged on the primary alone", c.name)
		}
		c.status.Role = failover.RoleReplica
		for _, a := range count[failover.AwaitPosition](b) {
			if a.Target == "b" {
				b.handle(failover.CommandAnswered{Target: "b", Seq: a.Seq, Status: c.status})
			}
		}
		b.run(350 * ms)
		acked, gaveUp := len(count[failover.AcknowledgeWrite](b)) == 1, len(count[failover.AbandonWrite](b)) == 1
		if acked != c.acked || gaveUp != c.gaveUp {
			t.Errorf("%s: acknowledged %v, given up %v", c.name, acked, gaveUp)
		}
	}
}

// Guards against lost or unknown writes and against a long gap when the primary's target leaves, and against new work on
// it after a few seconds.
func TestPlannedHandover(t *testing.T) {
	t.Parallel()
	var longest time.Duration
	for seed := range uint64(30) {
		for _, members := range []int{2, 3} {
			w := newWorld(seed, members, 2, 5)
			w.run(3 * time.Second)
			old, before := w.leader(), w.unknown
			old.leaving = true
			w.configure(2 * time.Second)
			w.run(12 * time.Second)
			if w.leader() == old || w.unknown != before {
				t.Errorf("seed %d, %d members: primary %s leaves, now %s, %d unknown writes", seed, members, old.id, w.leader().id, w.unknown-before)
			}
			if changed := w.promoted[w.lastTerm].at - 3*time.Second; changed > 4*time.Second {
				t.Errorf("seed %d: handover after %v", seed, changed)
			}
			for property, violations := range w.faults {
				t.Errorf("seed %d: %s: %s", seed, property, violations[0])
			}
			for i := range w.acked[1:] {
				longest = max(longest, w.acked[i+1].at-w.acked[i].at)
			}
		}
	}
	t.Logf("60 handovers, longest time without an acknowledged write %v", longest.Round(ms))
}

// Guards against writes that only removed members hold: a member is replaced by adding one and removing another, each
// when the group is settled, and afterwards the group survives a failure.
func TestReplaceMember(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newWorld(seed, 3, 2, 5)
		w.run(2 * time.Second)
		settled := func(step string) {
			w.run(w.now + 4*time.Second)
			for _, h := range w.homes {
				if !h.view.MembersSettled {
					t.Fatalf("seed %d: %s is not settled after %s", seed, h.id, step)
				}
			}
		}
		w.addMember()
		w.configure(time.Second)
		settled("adding a member")
		old := w.leader()
		old.removed = true
		w.configure(time.Second)
		settled("removing the primary")
		if w.leader() == old {
			t.Errorf("seed %d: removed member %s is still primary", seed, old.id)
		}
		old.up = false
		w.leader().up = false
		acked := len(w.acked)
		w.run(w.now + 4*time.Second)
		if len(w.acked) == acked {
			t.Errorf("seed %d: no write after the failure", seed)
		}
		for property, violations := range w.faults {
			t.Errorf("seed %d: %s: %s", seed, property, violations[0])
		}
	}
}

// Guards against a change of most members at once that forgets the old ones: until the new list has everything, nothing
// is ordered without a majority of the old list too.
func TestUnsettledChangeNeedsBothMajorities(t *testing.T) {
	for _, caughtUp := range []bool{false, true} {
		b := newBench(t, "a", "b", "c")
		b.status["b"], b.status["c"] = nil, nil
		fresh := failover.Status{AdoptedTerm: 1, Role: failover.RoleReplica, Position: position(1, 9), PrimaryAddress: "a"}
		if caughtUp {
			fresh.Position = position(1, 10)
		}
		b.status["d"], b.status["e"] = &fresh, &fresh
		list := []failover.Member{{Target: "a", Address: "a"}, {Target: "d", Address: "d"}, {Target: "e", Address: "e"}}
		b.handle(failover.MembersChanged{Members: list})
		b.run(1500 * ms)
		view := b.machine.View()
		b.status["a"] = nil
		b.run(2 * time.Second)
		elected := len(count[failover.AdoptTerm](b)) > 0
		if view.MembersSettled != caughtUp || view.Writable != caughtUp || elected != caughtUp {
			t.Errorf("caught up %v: election %v, view %+v", caughtUp, elected, view)
		}
	}
}

// Guards against a panic and against two promotions in one term, whatever the members and the caller report.
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
			status := failover.Status{AdoptedTerm: []uint64{number(), term}[rng.IntN(2)], Orderer: "me", Role: failover.Role(1 + rng.IntN(2)), Position: position(number(), number())}
			event := []failover.Event{
				failover.ProbeAnswered{Target: target, Seq: seq[target], Status: status},
				failover.ProbeFailed{Target: target, Seq: seq[target], Failure: failover.FailureKind(1 + rng.IntN(3))},
				failover.CommandAnswered{Target: target, Seq: seq[target], Status: status},
				failover.CommandFailed{Target: target, Seq: seq[target]},
				failover.WriteFinished{ID: number(), Target: target, Position: position(number(), number()), Deadline: now.Add(time.Second)},
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
		t.Error("no run came to a promotion")
	}
}
