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

// newFleet returns a roster of n live hosts in three data centres, and the matching view.
func newFleet(t rapid.TB, n, slots int) (roster.Document, roster.FleetView) {
	d := roster.New(slots)
	var view roster.FleetView
	for i := range n {
		h := roster.Host{ID: id(i), Incarnation: 1, DataCentre: model.DataCentre(fmt.Sprint(i % 3))}
		next, ok, err := roster.Register(d, h, fmt.Sprint("register ", i))
		if err != nil || !ok {
			t.Fatalf("register: %v, %v", ok, err)
		}
		d = next
		view.Members = append(view.Members, roster.Member{ID: h.ID})
	}
	d, _, _ = roster.Plan(d, view, "assign")
	return d, view
}

// slotsByHost returns the number of slots of each host.
func slotsByHost(d roster.Document) map[model.HostID]int {
	n := map[model.HostID]int{}
	for _, s := range d.Slots {
		n[s.Holder]++
	}
	return n
}

// checkStep checks the invariants of a change.
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

// Guards against a sequence of changes that loses a slot, repeats a version, allows disjoint majorities or moves a
// slot without a new wait, and against planning that never terminates.
func TestChangesKeepRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		d, view := newFleet(t, n, rapid.IntRange(1, 24).Draw(t, "slots"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			old := d
			before, _ := old.Encode()
			changed := randomChange(t, &d, &view)
			if after, _ := old.Encode(); string(after) != string(before) {
				t.Fatal("the old document has changed")
			}
			if changed {
				checkStep(t, old, d)
			}
		}
		view.UnchangedFor = time.Hour
		for range 100 {
			old := d
			next, _, ok := roster.Plan(d, view, "x")
			if !ok {
				return
			}
			checkStep(t, old, next)
			d = next
		}
		t.Fatal("planning does not terminate")
	})
}

// randomChange makes one random change of the view or of the roster.
func randomChange(t *rapid.T, d *roster.Document, view *roster.FleetView) bool {
	i := rapid.IntRange(0, len(view.Members)-1).Draw(t, "member")
	m := &view.Members[i]
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		m.State = rapid.SampledFrom([]roster.MemberState{roster.StateAlive, roster.StateSuspect,
			roster.StateDead, roster.StateLeft}).Draw(t, "state")
		m.StateAge = time.Duration(rapid.IntRange(0, 1000).Draw(t, "seconds")) * time.Second
	case 1:
		view.HostList = nil
		for j := range view.Members {
			if rapid.Bool().Draw(t, "listed") {
				leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				view.HostList = append(view.HostList, roster.ListedHost{ID: id(j), Leaving: leaving})
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
		view.UnchangedFor = time.Duration(rapid.IntRange(0, 100).Draw(t, "unchanged")) * time.Second
		next, _, ok := roster.Plan(*d, *view, "plan")
		*d = next
		return ok
	}
	return false
}

// Guards against an uneven first assignment, and against a wait for a slot that has never had a holder.
func TestFirstAssignmentIsEvenAndUsable(t *testing.T) {
	d, _ := newFleet(t, 9, 12)
	for h, n := range slotsByHost(d) {
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

// Guards against a dead host that keeps its slots, and against an entry of the platform's host list that overrides its
// death.
func TestDeadHostLosesSlots(t *testing.T) {
	d, view := newFleet(t, 9, 12)
	view.Members[4] = roster.Member{ID: id(4), State: roster.StateDead, StateAge: roster.ReleaseAfter}
	view.HostList = []roster.ListedHost{{ID: id(4)}}
	next, _, ok := roster.Plan(d, view, "free")
	if !ok || slotsByHost(next)[id(4)] != 0 {
		t.Fatalf("planned %v, %d slots", ok, slotsByHost(next)[id(4)])
	}
	if _, registered := next.Host(id(4)); !registered {
		t.Error("the host must count in majorities until RemoveAfter")
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
	d, view := newFleet(t, 5, 5)
	dead := d.Slots[0].Holder
	for i := range view.Members {
		if view.Members[i].ID == dead {
			view.Members[i].State, view.Members[i].StateAge = roster.StateDead, roster.ReleaseAfter
		}
	}
	d, _, _ = roster.Plan(d, view, "free")
	holder := d.Slots[0].Holder // has its own clean slot and, still waiting, that of the dead host
	if slotsByHost(d)[holder] != 2 {
		t.Fatalf("the holder has %d slots, want 2", slotsByHost(d)[holder])
	}
	tracker := roster.NewSlotTracker(holder, 1)
	tracker.Update(start, d)
	released, ok := roster.Deregister(d, start.Add(time.Second), tracker, "release")
	if !ok || slotsByHost(released)[holder] != 0 {
		t.Fatalf("released %v, %d slots left", ok, slotsByHost(released)[holder])
	}
	for i, s := range d.Slots {
		if s.Holder == holder && released.Slots[i].Clean != s.Clean {
			t.Errorf("slot %d: clean is %v after %+v", i, released.Slots[i].Clean, s)
		}
	}
	late, _ := roster.Deregister(d, start.Add(time.Minute), tracker, "release")
	for i, s := range late.Slots {
		if d.Slots[i].Holder == holder && !s.Clean {
			t.Errorf("slot %d needs a wait although its holder could use it", i)
		}
	}
	for i := range view.Members {
		if view.Members[i].ID == holder {
			view.Members[i].State = roster.StateLeft
		}
	}
	next, _, ok := roster.Plan(late, view, "assign")
	if !ok || next.Slots[0].Holder == "" || next.Slots[0].UsableFrom(start).After(start) {
		t.Errorf("planned %v; the released slot became %+v", ok, next.Slots[0])
	}
}

// Guards against an isolated host that takes the slots of all others.
func TestMinorityPlansNothing(t *testing.T) {
	d, view := newFleet(t, 9, 12)
	for i := range 5 {
		view.Members[i] = roster.Member{ID: id(i), State: roster.StateDead, StateAge: time.Hour}
	}
	if _, reason, ok := roster.Plan(d, view, "x"); ok {
		t.Errorf("planned %q without a majority", reason)
	}
}

// Guards against removing hosts because the platform's host list is empty.
func TestEmptyPlatformListChangesNothing(t *testing.T) {
	d, view := newFleet(t, 9, 12)
	view.HostList = nil
	if _, reason, ok := roster.Plan(d, view, "x"); ok {
		t.Errorf("planned %q", reason)
	}
}

// Guards against a restarted host that uses its slots without a wait, and against an old incarnation that takes them
// back.
func TestRestartedHostWaits(t *testing.T) {
	d, _ := newFleet(t, 9, 12)
	tracker := roster.NewSlotTracker(id(0), 1)
	tracker.Update(start, d)
	next, ok, err := roster.Register(d, roster.Host{ID: id(0), Incarnation: 2}, "restart")
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	if slots := tracker.Update(start, next); len(slots) != 0 {
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

// Guards against restarting a slot's wait with every roster version, and against skipping the wait of a slot that moved to
// another host and back between two versions that this host processed.
func TestSlotTrackerFollowsAssignedVersion(t *testing.T) {
	d, _ := newFleet(t, 3, 1)
	holder := d.Slots[0].Holder
	tracker := roster.NewSlotTracker(holder, 1)
	d.Slots[0].Clean, d.Slots[0].AssignedVersion = false, 5
	first := tracker.Update(start, d)[0].UsableFrom
	d.Version++
	if again := tracker.Update(start.Add(time.Second), d)[0].UsableFrom; !again.Equal(first) {
		t.Errorf("the wait has changed from %v to %v", first, again)
	}
	d.Slots[0].AssignedVersion = 7
	if moved := tracker.Update(start.Add(time.Second), d)[0].UsableFrom; !moved.After(first) {
		t.Error("a slot that moved back does not wait")
	}
}

// Guards against a lost answer to a swap that is taken for a failure.
func TestChangeIsFoundByID(t *testing.T) {
	d, _ := newFleet(t, 3, 12)
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

// Guards against a fleet of two in which the remaining host cannot change anything, because the host that left still
// counts in majorities.
func TestDeregisterRemovesHost(t *testing.T) {
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
		t.Errorf("a roster without hosts cannot be parsed: %v", err)
	}
}
