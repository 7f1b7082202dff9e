package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func id(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%d", i)) }

// fleet returns a roster of n living hosts in three data centres.
func fleet(t rapid.TB, n, slots int) (roster.Document, roster.FleetView) {
	d := roster.New(slots)
	var seen roster.FleetView
	for i := range n {
		h := roster.Host{ID: id(i), Incarnation: 1, DataCentre: model.DataCentre(fmt.Sprint(i % 3))}
		next, ok, err := roster.Register(d, h, fmt.Sprint("register ", i))
		if err != nil || !ok {
			t.Fatalf("register: %v, %v", ok, err)
		}
		d = next
		seen.Members = append(seen.Members, roster.Member{ID: h.ID})
	}
	d, _, _ = roster.Plan(d, seen, "assign")
	return d, seen
}

func counts(d roster.Document) map[model.HostID]int {
	n := map[model.HostID]int{}
	for _, s := range d.Slots {
		n[s.Holder]++
	}
	return n
}

// checkStep checks what every change has to keep.
func checkStep(t rapid.TB, old, d roster.Document) {
	if d.Version != old.Version+1 {
		t.Fatalf("version %d follows %d", d.Version, old.Version)
	}
	if len(d.Slots) != len(old.Slots) {
		t.Fatalf("%d slots after %d", len(d.Slots), len(old.Slots))
	}
	union := len(old.Hosts)
	for _, h := range d.Hosts {
		if _, ok := old.Host(h.ID); !ok {
			union++
		}
	}
	if old.Majority()+d.Majority() <= union {
		t.Fatalf("majorities of versions %d and %d may be disjoint", old.Version, d.Version)
	}
	for i, s := range d.Slots {
		o := old.Slots[i]
		moved := s.Holder != o.Holder || s.Incarnation != o.Incarnation
		if moved && s.AssignedVersion != d.Version || !moved && s != o {
			t.Fatalf("slot %d: %+v follows %+v in version %d", i, s, o, d.Version)
		}
		if s.Clean && !o.Clean && s.Holder != "" {
			t.Fatalf("slot %d needs no wait after %+v", i, o)
		}
	}
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := roster.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(d, parsed); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a sequence of changes that loses a slot, repeats a version, makes disjoint majorities, or lets a slot
// move without a new wait; and against a plan that never comes to rest.
func TestChangesKeepRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		d, seen := fleet(t, n, rapid.IntRange(1, 24).Draw(t, "slots"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			old := d
			before, _ := old.Encode()
			changed := step(t, &d, &seen)
			if after, _ := old.Encode(); string(after) != string(before) {
				t.Fatal("the old document has changed")
			}
			if changed {
				checkStep(t, old, d)
			}
		}
		seen.UnchangedFor = time.Hour
		for range 100 {
			old := d
			next, _, ok := roster.Plan(d, seen, "x")
			if !ok {
				return
			}
			checkStep(t, old, next)
			d = next
		}
		t.Fatal("the plan does not come to rest")
	})
}

// step makes one random change of the members or of the roster.
func step(t *rapid.T, d *roster.Document, seen *roster.FleetView) bool {
	i := rapid.IntRange(0, len(seen.Members)-1).Draw(t, "member")
	m := &seen.Members[i]
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		m.State = rapid.SampledFrom([]roster.MemberState{roster.StateAlive, roster.StateSuspect, roster.StateDead, roster.StateLeft}).Draw(t, "state")
		m.StateAge = time.Duration(rapid.IntRange(0, 1000).Draw(t, "seconds")) * time.Second
	case 1:
		seen.HostList = nil
		for j := range seen.Members {
			if rapid.Bool().Draw(t, "listed") {
				leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				seen.HostList = append(seen.HostList, roster.ListedHost{ID: id(j), Leaving: leaving})
			}
		}
	case 2:
		inc := model.Incarnation(rapid.IntRange(1, 5).Draw(t, "incarnation"))
		next, ok, err := roster.Register(*d, roster.Host{ID: m.ID, Incarnation: inc}, "register")
		if err == nil {
			*d = next
		}
		return ok
	default:
		seen.UnchangedFor = time.Duration(rapid.IntRange(0, 100).Draw(t, "unchanged")) * time.Second
		next, _, ok := roster.Plan(*d, *seen, "plan")
		*d = next
		return ok
	}
	return false
}

// Guards against an uneven start and against a slot that waits although nobody has held it.
func TestFirstAssignmentIsEvenAndUsable(t *testing.T) {
	d, _ := fleet(t, 9, 12)
	for h, n := range counts(d) {
		if n < 1 || n > 2 {
			t.Errorf("host %s has %d slots", h, n)
		}
	}
	for _, s := range roster.NewSlotTracker(id(0), 1).Update(start, d) {
		if !s.UsableFrom.Equal(start) {
			t.Errorf("slot %d waits until %v", s.Number, s.UsableFrom)
		}
	}
}

// Guards against a dead host that keeps its slots, and against a live entry of the platform's list that outweighs it.
func TestDeadHostLosesSlots(t *testing.T) {
	d, seen := fleet(t, 9, 12)
	seen.Members[4] = roster.Member{ID: id(4), State: roster.StateDead, StateAge: roster.ReleaseAfter}
	seen.HostList = []roster.ListedHost{{ID: id(4)}}
	next, _, ok := roster.Plan(d, seen, "free")
	if !ok || counts(next)[id(4)] != 0 {
		t.Fatalf("planned %v, %d slots", ok, counts(next)[id(4)])
	}
	if _, registered := next.Host(id(4)); !registered {
		t.Error("the host must count in majorities until it is dead for longer")
	}
	for i, s := range next.Slots {
		wait := s.UsableFrom(start).Sub(start)
		if s.Holder != d.Slots[i].Holder && wait < roster.MaxDocumentAge+limit.IdleLoanDuration {
			t.Errorf("slot %d is usable after %v", i, wait)
		}
	}
}

// Guards against a planned stop that leaves slots unused for the whole wait, and against a slot that skips the wait
// although the host that released it was still waiting itself.
func TestReleasedSlotNeedsNoWait(t *testing.T) {
	d, seen := fleet(t, 5, 5)
	dead := d.Slots[0].Holder
	for i := range seen.Members {
		if seen.Members[i].ID == dead {
			seen.Members[i].State, seen.Members[i].StateAge = roster.StateDead, roster.ReleaseAfter
		}
	}
	d, _, _ = roster.Plan(d, seen, "free")
	holder := d.Slots[0].Holder // has its own clean slot and, still waiting, that of the dead host
	if counts(d)[holder] != 2 {
		t.Fatalf("the holder has %d slots, want 2", counts(d)[holder])
	}
	tenure := roster.NewSlotTracker(holder, 1)
	tenure.Update(start, d)
	released, ok := roster.Deregister(d, start.Add(time.Second), tenure, "release")
	if !ok || counts(released)[holder] != 0 {
		t.Fatalf("released %v, %d slots left", ok, counts(released)[holder])
	}
	for i, s := range d.Slots {
		if s.Holder == holder && released.Slots[i].Clean != s.Clean {
			t.Errorf("slot %d: clean is %v after %+v", i, released.Slots[i].Clean, s)
		}
	}
	late, _ := roster.Deregister(d, start.Add(time.Minute), tenure, "release")
	for i, s := range late.Slots {
		if d.Slots[i].Holder == holder && !s.Clean {
			t.Errorf("slot %d needs a wait although its holder could use it", i)
		}
	}
	for i := range seen.Members {
		if seen.Members[i].ID == holder {
			seen.Members[i].State = roster.StateLeft
		}
	}
	next, _, ok := roster.Plan(late, seen, "assign")
	if !ok || next.Slots[0].Holder == "" || next.Slots[0].UsableFrom(start).After(start) {
		t.Errorf("planned %v; the released slot became %+v", ok, next.Slots[0])
	}
}

// Guards against an observer that is cut off and takes the slots of everybody else.
func TestMinorityPlansNothing(t *testing.T) {
	d, seen := fleet(t, 9, 12)
	for i := range 5 {
		seen.Members[i] = roster.Member{ID: id(i), State: roster.StateDead, StateAge: time.Hour}
	}
	if _, reason, ok := roster.Plan(d, seen, "x"); ok {
		t.Errorf("planned %q without a majority", reason)
	}
}

// Guards against an empty platform list that removes hosts.
func TestEmptyPlatformListChangesNothing(t *testing.T) {
	d, seen := fleet(t, 9, 12)
	seen.HostList = nil
	if _, reason, ok := roster.Plan(d, seen, "x"); ok {
		t.Errorf("planned %q", reason)
	}
}

// Guards against a restarted host that uses its slots without a wait, and against an old start that takes them back.
func TestRestartedHostWaits(t *testing.T) {
	d, _ := fleet(t, 9, 12)
	tenure := roster.NewSlotTracker(id(0), 1)
	tenure.Update(start, d)
	next, ok, err := roster.Register(d, roster.Host{ID: id(0), Incarnation: 2}, "restart")
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	if slots := tenure.Update(start, next); len(slots) != 0 {
		t.Errorf("the old incarnation has slots %v", slots)
	}
	slots := roster.NewSlotTracker(id(0), 2).Update(start, next)
	if len(slots) == 0 {
		t.Error("the new incarnation has no slots")
	}
	for _, s := range slots {
		if s.UsableFrom.Sub(start) < roster.MaxDocumentAge+limit.IdleLoanDuration {
			t.Errorf("slot %d is usable after %v", s.Number, s.UsableFrom.Sub(start))
		}
	}
	if _, _, err := roster.Register(next, roster.Host{ID: id(0), Incarnation: 1}, "late"); err != roster.ErrOldIncarnation {
		t.Errorf("registration of an old incarnation: %v", err)
	}
}

// Guards against a slot whose wait begins anew with every version, or not at all when it left and came back unseen.
func TestTenureFollowsVersionOfSlot(t *testing.T) {
	d, _ := fleet(t, 3, 1)
	holder := d.Slots[0].Holder
	tenure := roster.NewSlotTracker(holder, 1)
	d.Slots[0].Clean, d.Slots[0].AssignedVersion = false, 5
	first := tenure.Update(start, d)[0].UsableFrom
	d.Version++
	if again := tenure.Update(start.Add(time.Second), d)[0].UsableFrom; !again.Equal(first) {
		t.Errorf("the wait has changed from %v to %v", first, again)
	}
	d.Slots[0].AssignedVersion = 7
	if moved := tenure.Update(start.Add(time.Second), d)[0].UsableFrom; !moved.After(first) {
		t.Error("a slot that came back does not wait")
	}
}

// Guards against a lost answer to a swap that is taken for a failure.
func TestChangeIsFoundByID(t *testing.T) {
	d, _ := fleet(t, 3, 12)
	for i := range 60 {
		d, _, _ = roster.Register(d, roster.Host{ID: id(0), Incarnation: model.Incarnation(i + 2)}, fmt.Sprint("restart ", i))
	}
	if !d.HasChange("restart 0") || !d.HasChange("restart 59") || d.HasChange("restart 60") {
		t.Error("wrong set of applied changes")
	}
	if len(d.Changes) > 64 {
		t.Errorf("%d change ids are kept", len(d.Changes))
	}
}

// TestReleaseRemovesTheHost guards against a fleet of two in which the host that stays can change nothing, because the
// one that left still counts in majorities.
func TestReleaseRemovesTheHost(t *testing.T) {
	d, _, err := roster.Register(roster.New(4), roster.Host{ID: "a", Incarnation: 1}, "a")
	if err != nil {
		t.Fatal(err)
	}
	released, ok := roster.Deregister(d, start, roster.NewSlotTracker("a", 1), "release")
	if _, registered := released.Host("a"); !ok || registered {
		t.Errorf("the host is still registered: %+v", released)
	}
	data, err := released.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := roster.Parse(data); err != nil {
		t.Errorf("a roster without hosts cannot be read: %v", err)
	}
}
