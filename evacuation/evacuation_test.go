package evacuation

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const bound = 5 * time.Second

var (
	primary  = catalog.Target{ID: "a", DataCentre: "north", State: catalog.Ready}
	neighbor = catalog.Target{ID: "b", DataCentre: "north", State: catalog.Ready}
	distant  = catalog.Target{ID: "c", DataCentre: "south", State: catalog.Ready}
	leaving  = catalog.Target{ID: "d", DataCentre: "south", State: catalog.Draining}
)

func at(ms int) time.Time { return time.UnixMilli(1_000_000).Add(time.Duration(ms) * time.Millisecond) }

// Guards against new work on an evacuated data centre, and against the loss of a primary before its replacement.
func TestMayStart(t *testing.T) {
	all := []catalog.Target{primary, neighbor, distant}
	tests := []struct {
		name    string
		target  catalog.Target
		targets []catalog.Target
		ms      int
		want    bool
	}{
		{"a replica there starts nothing", neighbor, all, 0, false},
		{"a replica elsewhere is used", distant, all, 0, true},
		{"a primary is used until its replacement", primary, all, 2499, true},
		{"a primary is not used for longer than its limit", primary, all, 2500, false},
		{"a primary without a successor elsewhere is not used", primary, []catalog.Target{primary, neighbor}, 0, false},
		{"a draining target is no successor", primary, []catalog.Target{primary, leaving}, 0, false},
	}
	s := NewState(NewLimits(bound)).With("north", at(0), at(-300))
	for _, test := range tests {
		if got := s.MayStart(at(test.ms), test.target, primary.ID, test.targets); got != test.want {
			t.Errorf("%s: got %t", test.name, got)
		}
	}
	if s = s.With("south", at(0), at(-300)); s.MayStart(at(0), primary, primary.ID, all) || s.MayStart(at(0), distant,
		primary.ID, all) {
		t.Error("a target is used although all data centres are evacuated")
	}
	if s = s.Without("north"); !s.MayStart(at(10_000), neighbor, primary.ID, all) {
		t.Error("a target is not used although the request was withdrawn")
	}
}

// Guards against requests that reach a target after the bound, for every delay in learning of the request that the
// configuration follower may cause, and for hosts that were cut off.
func TestNothingReachesTargetAfterBound(t *testing.T) {
	for learned := 0; learned <= 30_000; learned += 100 {
		for _, absent := range []int{-1800, -500, 0} { // last known absence before the acknowledgement at 0
			s := NewState(NewLimits(bound)).With("north", at(learned), at(absent))
			end := 0
			for s.MayReach(at(end), "north") && end < 60_000 {
				end += 10
			}
			if limit := int(bound.Milliseconds()); end > limit && end > learned {
				t.Errorf("learned after %d ms, known to be absent at %d ms: used until %d ms", learned, absent, end)
			}
			if s.MayContinue(at(end-int(rollbackTime.Milliseconds())), "north") {
				t.Errorf("learned after %d ms: transactions continue until the end at %d ms", learned, end)
			}
		}
	}
}

// Guards against a host that learns of a request 1.5 s late and therefore misses the bound, and against limits other than
// those of the design.
func TestLimits(t *testing.T) {
	l := NewLimits(bound)
	if l.Primary != 2500*time.Millisecond || l.Transactions != 2*time.Second {
		t.Errorf("limits of a bound of 5 s: %+v", l)
	}
	s := NewState(l).With("north", at(1500), at(-250))
	if s.MayReach(at(4000), "north") || !s.MayReach(at(3999), "north") {
		t.Error("a host that learns of the request after 1.5 s has to stop after 4 s")
	}
	if s.MayContinue(at(3500), "north") || !s.MayContinue(at(3499), "north") {
		t.Error("transactions have to end 2 s after the host has learned of the request")
	}
	if NewLimits(MinBound).Transactions != 0 {
		t.Error("MinBound leaves time for transactions")
	}
}

// Guards against a host that starts during an evacuation and uses the primary because it takes the request for a new one.
func TestRequestOfUnknownAge(t *testing.T) {
	s := NewState(NewLimits(bound)).With("north", at(0), time.Time{})
	if s.MayReach(at(0), "north") || s.MayContinue(at(0), "north") ||
		s.MayStart(at(0), primary, primary.ID, []catalog.Target{primary, distant}) {
		t.Error("a target is used although the bound may have passed")
	}
}

// Guards against a request that is stored again and thereby prolonged, and against a change of a published state.
func TestStateIsImmutable(t *testing.T) {
	first := NewState(NewLimits(bound)).With("north", at(0), at(0))
	second := first.With("north", at(2000), at(2000)).With("south", at(2000), at(2000))
	if second.MayReach(at(2600), "north") {
		t.Error("the repetition of a request has prolonged it")
	}
	second.Without("north")
	if first.Evacuated("south") || !second.Evacuated("north") || len(second.DataCentres()) != 2 {
		t.Error("a state was changed")
	}
	if !second.Since("north").Equal(at(0)) {
		t.Error("the time of the request was changed")
	}
	var none State
	if !none.Empty() || none.Evacuated(model.DataCentre("north")) || !none.MayReach(at(0), "north") {
		t.Error("the zero value evacuates a data centre")
	}
}
