package primacy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func openDocument() Document {
	return Document{Service: "booking", Epoch: 4, Open: true, Primary: "a", Born: 7, Term: 3}
}

func healthyPrimary() Health {
	return Health{Registered: true, StartedAt: 7, AllHostsReport: true, StatusKnown: true, IsPrimary: true, Term: 3}
}

func answering() Observation { return Observation{Epoch: 4, ReplyAge: 50 * time.Millisecond} }

func failing() Observation {
	return Observation{Epoch: 4, ReplyAge: 2 * time.Second, UnreachableFor: 2 * time.Second}
}

// Guards against the needless replacement of a primary, and against a lost primary that is never replaced.
func TestReplacementCause(t *testing.T) {
	tests := []struct {
		name   string
		doc    Document
		change func(*Health)
		want   Cause
	}{
		{"a primary that answers stays", openDocument(), func(*Health) {}, CauseNone},
		{"no primary was ever chosen", Document{}, func(*Health) {}, CauseNoPrimary},
		{"its entry has disappeared", openDocument(), func(h *Health) { h.Registered = false }, CauseNotRegistered},
		{"it restarted without its state", openDocument(), func(h *Health) { h.StartedAt = 8 }, CauseRestarted},
		{"it drains and all hosts report", openDocument(), func(h *Health) { h.Draining = true }, CauseDraining},
		{"it drains, but a host does not report", openDocument(), func(h *Health) {
			h.Draining, h.AllHostsReport = true, false
		}, CauseNone},
		{"it drains for longer than maxDrainDelay", openDocument(), func(h *Health) {
			h.Draining, h.AllHostsReport, h.DrainingFor = true, false, maxDrainDelay
		}, CauseDraining},
		{"it was demoted", openDocument(), func(h *Health) { h.IsPrimary, h.Term = false, 4 }, CauseDemoted},
		{"no host reaches it", openDocument(), func(h *Health) {
			h.SilentFor, h.Observations = time.Second, []Observation{failing(), failing()}
		}, CauseUnreachable},
		{"only the leader does not reach it", openDocument(), func(h *Health) {
			h.SilentFor, h.Observations = time.Second, []Observation{answering(), answering()}
		}, CauseNone},
		{"most hosts do not reach it, the leader does", openDocument(), func(h *Health) {
			h.Observations = []Observation{failing(), failing(), failing(), answering()}
		}, CauseCutOff},
		{"the same, but a host that does not report may use it", openDocument(), func(h *Health) {
			h.AllHostsReport, h.Observations = false, []Observation{failing(), failing(), answering()}
		}, CauseNone},
		{"the same after maxCutOffDelay, when that host has confirmed or lost its lease", openDocument(), func(h *Health) {
			h.AllHostsReport, h.UnreachableFor, h.Observations = false, maxCutOffDelay,
				[]Observation{failing(), failing(), answering()}
		}, CauseCutOff},
		{"no host that reports reaches it, and one does not report", openDocument(), func(h *Health) {
			h.AllHostsReport, h.Observations = false, []Observation{failing(), failing()}
		}, CauseCutOff},
		{"a single host does not reach it, and one does not report", openDocument(), func(h *Health) {
			h.AllHostsReport, h.Observations = false, []Observation{failing()}
		}, CauseNone},
		{"the observations are of an earlier primary", openDocument(), func(h *Health) {
			h.Observations = []Observation{{Epoch: 2, UnreachableFor: time.Minute}, {Epoch: 2, UnreachableFor: time.Minute}}
		}, CauseNone},
		{"its data centre is evacuated", openDocument(), func(h *Health) {
			h.Evacuated, h.Replaceable = true, true
		}, CauseEvacuated},
		{"its data centre is evacuated, but a host does not report", openDocument(), func(h *Health) {
			h.Evacuated, h.Replaceable, h.AllHostsReport = true, true, false
		}, CauseNone},
		{"its data centre is evacuated for longer than maxEvacuationDelay", openDocument(), func(h *Health) {
			h.Evacuated, h.Replaceable, h.AllHostsReport, h.EvacuatedFor = true, true, false, maxEvacuationDelay
		}, CauseEvacuated},
		{"its data centre is evacuated, and no target elsewhere can be promoted", openDocument(), func(h *Health) {
			h.Evacuated, h.Draining, h.SilentFor = true, true, time.Minute
			h.Observations = []Observation{failing(), failing()}
		}, CauseNone},
		{"one probe was lost", openDocument(), func(h *Health) { h.SilentFor = unreachableTimeout / 2 }, CauseNone},
	}
	for _, test := range tests {
		health := healthyPrimary()
		test.change(&health)
		if got := ReplacementCause(test.doc, health); got != test.want {
			t.Errorf("%s: cause %q, want %q", test.name, got, test.want)
		}
	}
}

func position(term, offset uint64) model.Position { return model.Position{Term: term, Offset: offset} }

// Guards against the promotion of a target in an evacuated data centre for use, and against a service that stays without
// a primary after the request was withdrawn.
func TestChooseDuringEvacuation(t *testing.T) {
	old := Candidate{ID: "a", StartedAt: 7, IsPrimary: true, Term: 3, Received: position(3, 90), Evacuated: true}
	returned := old
	returned.Evacuated = false
	ahead := Candidate{ID: "b", Term: 3, Received: position(3, 85), Evacuated: true}
	equal := Candidate{ID: "c", Term: 3, Received: position(3, 85)}
	behind := Candidate{ID: "c", Term: 3, Received: position(3, 80)}
	handing := Candidate{ID: "b", IsPrimary: true, Term: 4, Received: position(4, 85), Evacuated: true}
	follower := Candidate{ID: "c", Term: 4, Received: position(3, 85)}
	tests := []struct {
		name       string
		candidates []Candidate
		ordered    bool
		want       Choice
	}{
		{"the one elsewhere", []Candidate{old, ahead, equal}, false, Choice{Target: equal, Found: true}},
		{"one there only hands over the commits that no other has", []Candidate{old, ahead, behind}, false,
			Choice{Target: ahead, HandsOver: true, Found: true}},
		{"wait for the commits that it hands over", []Candidate{handing, behind}, false,
			Choice{Target: behind, AwaitsCatchUp: true}},
		{"it has handed over its commits", []Candidate{handing, follower}, false, Choice{Target: follower, Found: true}},
		{"none if all are evacuated", []Candidate{old, ahead}, false, Choice{}},
		{"the primary of a later term is recorded as it is", []Candidate{handing}, false,
			Choice{Target: handing, AlreadyPrimary: true, Found: true}},
		{"the old primary after the withdrawal, if no replica answers", []Candidate{returned}, false,
			Choice{Target: returned, AlreadyPrimary: true, Found: true}},
		{"not the old primary if a promotion may take effect late", []Candidate{returned}, true, Choice{}},
		{"a replica elsewhere also after the withdrawal", []Candidate{returned, behind}, false,
			Choice{Target: behind, Found: true}},
	}
	for _, test := range tests {
		group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 3, Cause: CauseEvacuated, ReplicaCount: 2,
			PromotionOrdered: test.ordered, Candidates: test.candidates}
		if diff := cmp.Diff(test.want, Choose(group)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
	cold := equal
	cold.ID, cold.Cold = "b", true
	group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 3, Cause: CauseEvacuated, Candidates: []Candidate{old, cold, equal}}
	if got := Choose(group).Target.ID; got != "c" {
		t.Errorf("the cold target %s was chosen", got)
	}
	group.Candidates = []Candidate{old, cold, behind}
	if chosen := Choose(group).Target; !group.WarmBehind(chosen) || group.WarmBehind(behind) {
		t.Error("the choice does not wait for a target that is not cold")
	}
	if !CauseEvacuated.WaitsForCatchUp() || !CauseEvacuated.Planned() {
		t.Error("the replacement of an evacuated primary loses commits or transactions")
	}
}

// Guards against the promotion of a target that lacks commits which another one has, and against a second promotion
// when the reply to the first request was lost.
func TestChoose(t *testing.T) {
	a := Candidate{ID: "a", StartedAt: 7, IsPrimary: true, Term: 3, Received: position(3, 90)}
	b := Candidate{ID: "b", Term: 3, Received: position(3, 80)}
	c := Candidate{ID: "c", Term: 3, Received: position(3, 85)}
	promoted := Candidate{ID: "b", IsPrimary: true, Term: 4, Received: position(4, 81)}
	draining := Candidate{ID: "b", Draining: true, Term: 3, Received: position(3, 85)}
	handing := Candidate{ID: "b", Draining: true, IsPrimary: true, Term: 4, Received: position(3, 85)}
	behind := Candidate{ID: "c", Term: 3, Received: position(3, 80)}
	newTerm := Candidate{ID: "b", Draining: true, IsPrimary: true, Term: 4, Received: position(4, 85)}
	follower := Candidate{ID: "c", Term: 4, Received: position(3, 85)}
	restarted := Candidate{ID: "a", StartedAt: 9, Term: 0}
	tests := []struct {
		name       string
		candidates []Candidate
		sync       int
		want       Choice
		cause      Cause
	}{
		{"the replica that received most", []Candidate{b, c}, 0, Choice{Target: c, Found: true}, CauseUnreachable},
		{"not the old primary if it drains", []Candidate{a, b}, 0, Choice{Target: b, Found: true}, CauseDraining},
		{"not the old primary if most hosts cannot reach it", []Candidate{a, b}, 0,
			Choice{Target: b, Found: true}, CauseCutOff},
		{"the old primary if it answers again", []Candidate{a, b}, 0,
			Choice{Target: a, AlreadyPrimary: true, Found: true}, CauseUnreachable},
		{"one that is the primary already", []Candidate{a, promoted}, 0,
			Choice{Target: promoted, AlreadyPrimary: true, Found: true}, CauseUnreachable},
		{"not the draining one of two equal replicas", []Candidate{draining, c}, 0,
			Choice{Target: c, Found: true}, CauseUnreachable},
		{"a draining replica that is ahead only hands over its commits", []Candidate{draining, behind}, 0,
			Choice{Target: draining, HandsOver: true, Found: true}, CauseUnreachable},
		{"a draining replica if no other one replies", []Candidate{draining}, 0,
			Choice{Target: draining, Found: true}, CauseUnreachable},
		{"wait for the commits of a draining target that was promoted", []Candidate{handing, behind}, 0,
			Choice{Target: behind, AwaitsCatchUp: true}, CauseUnreachable},
		{"not a draining target that was promoted and has handed over its commits", []Candidate{handing, c}, 0,
			Choice{Target: c, Found: true}, CauseUnreachable},
		{"the same, and its position carries the new term already", []Candidate{newTerm, follower}, 0,
			Choice{Target: follower, Found: true}, CauseUnreachable},
		{"wait if its position carries the new term and the replica does not follow it", []Candidate{newTerm, c}, 0,
			Choice{Target: c, AwaitsCatchUp: true}, CauseUnreachable},
		{"a draining target that was promoted, if no other one replies", []Candidate{a, handing}, 0,
			Choice{Target: handing, AlreadyPrimary: true, Found: true}, CauseUnreachable},
		{"not a target that restarted without data", []Candidate{restarted, b}, 0,
			Choice{Target: b, Found: true}, CauseRestarted},
		{"no target replies", nil, 0, Choice{}, CauseUnreachable},
		{"synchronous replicas, and all replicas reply", []Candidate{b, c}, 1,
			Choice{Target: c, Found: true}, CauseUnreachable},
		{"synchronous replicas, and only one of two replicas replies", []Candidate{b}, 1, Choice{}, CauseUnreachable},
		{"synchronous replicas, and a restarted primary replies in place of a replica", []Candidate{restarted, b}, 1, Choice{},
			CauseRestarted},
	}
	for _, test := range tests {
		group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 3, Cause: test.cause, ReplicaCount: 2,
			SyncReplicas: test.sync, Candidates: test.candidates}
		if diff := cmp.Diff(test.want, Choose(group)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against the promotion of a target that has not followed the last primary: the commits of its term are lost, and those come
// back that were lost when it was promoted (review/7).
func TestChooseKeepsLastTerm(t *testing.T) {
	// Primary a of term 4 had received up to 2.50 of b, the primary before it, which went on to 2.80 while it was cut off.
	diverged := Candidate{ID: "b", IsPrimary: true, Term: 2, Received: position(2, 80)}
	lagging := Candidate{ID: "c", Term: 2, Received: position(2, 40)}
	follower := Candidate{ID: "c", Term: 4, Received: position(4, 51)}
	followerWithoutCommits := Candidate{ID: "c", Term: 4, Received: position(2, 45)}
	tests := []struct {
		name               string
		candidates         []Candidate
		unansweredReplicas int
		closedFor          time.Duration
		want               Choice
	}{
		{"the follower", []Candidate{diverged, follower}, 0, 0, Choice{Target: follower, Found: true}},
		{"the follower that has received less", []Candidate{diverged, followerWithoutCommits}, 0, 0,
			Choice{Target: followerWithoutCommits, Found: true}},
		{"none while the old primary may return with its log", []Candidate{diverged}, 0, maxLogWait - time.Second, Choice{}},
		{"the last one that is left", []Candidate{diverged}, 0, maxLogWait, Choice{Target: diverged, Found: true}},
		{"one that lags, in place of the old primary", []Candidate{lagging}, 0, 0, Choice{Target: lagging, Found: true}},
		{"one that lags, and not one that has diverged", []Candidate{diverged, lagging}, 0, 0, Choice{Target: lagging, Found: true}},
		{"not one that lags while another may have followed", []Candidate{lagging}, 1, 0, Choice{}},
	}
	for _, test := range tests {
		group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 4, OldReceived: position(2, 50), Cause: CauseUnreachable,
			ReplicaCount: 2, Candidates: test.candidates, UnansweredReplicas: test.unansweredReplicas, ClosedFor: test.closedFor}
		if diff := cmp.Diff(test.want, Choose(group)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against the promotion of a replica that lacks acknowledged commits: with one synchronous replica, the other one may have been
// the only one that received them, and has started again without its data or left since (review/10).
func TestChooseAwaitsCopies(t *testing.T) {
	old := Candidate{ID: "a", StartedAt: 7, IsPrimary: true, Term: 3, Received: position(3, 90)}
	deaf := Candidate{ID: "c", StartedAt: 3, Term: 3, Received: position(3, 40)}
	current := Candidate{ID: "b", StartedAt: 2, Term: 3, Received: position(3, 90)}
	empty := Candidate{ID: "b", StartedAt: 8, Term: 3}
	refilled := Candidate{ID: "b", StartedAt: 8, Term: 3, Received: position(3, 90)}
	both := map[model.TargetID]int64{"b": 2, "c": 3}
	tests := []struct {
		name       string
		registered []model.TargetID
		copies     map[model.TargetID]int64
		cause      Cause
		candidates []Candidate
		closedFor  time.Duration
		want       Choice
	}{
		{"both have replied", []model.TargetID{"b", "c"}, both, CauseUnreachable, []Candidate{current, deaf}, 0,
			Choice{Target: current, Found: true}},
		{"one has started again", []model.TargetID{"b", "c"}, both, CauseUnreachable, []Candidate{empty, deaf}, 0, Choice{}},
		{"one has left", []model.TargetID{"c"}, both, CauseUnreachable, []Candidate{deaf}, 0, Choice{}},
		{"one was not recorded", []model.TargetID{"b", "c"}, map[model.TargetID]int64{"c": 3}, CauseUnreachable,
			[]Candidate{current, deaf}, 0, Choice{}},
		{"the old primary is back", []model.TargetID{"a", "b", "c"}, both, CauseUnreachable, []Candidate{old, empty, deaf}, 0,
			Choice{Target: old, AlreadyPrimary: true, Found: true}},
		{"one has started again, and has everything that the draining primary has", []model.TargetID{"a", "b", "c"}, both,
			CauseDraining, []Candidate{old, refilled, deaf}, 0, Choice{Target: refilled, Found: true}},
		{"what is lost for good is not awaited", []model.TargetID{"b", "c"}, both, CauseUnreachable, []Candidate{empty, deaf},
			maxLogWait, Choice{Target: deaf, Found: true}},
	}
	for _, test := range tests {
		replicas := 0
		for _, id := range test.registered {
			if id != "a" {
				replicas++
			}
		}
		group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 3, Cause: test.cause, Registered: test.registered, ReplicaCount: replicas,
			SyncReplicas: 1, Copies: test.copies, Candidates: test.candidates, ClosedFor: test.closedFor}
		if diff := cmp.Diff(test.want, Choose(group)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against copies that are forgotten with a change of primary, and against a new primary that counts as a copy of itself.
func TestCopiesAfter(t *testing.T) {
	d := Document{Primary: "a", Born: 7, Copies: map[model.TargetID]int64{"b": 2, "c": 3}}
	if diff := cmp.Diff(map[model.TargetID]int64{"a": 7, "c": 3}, d.CopiesAfter("b")); diff != "" {
		t.Errorf("copies (-want +got):\n%s", diff)
	}
	if copies := (Document{Primary: "a"}).CopiesAfter("b"); copies != nil {
		t.Errorf("copies %v without synchronous replicas", copies)
	}
}

// Guards against a planned replacement that loses commits which only the old primary has.
func TestCaughtUp(t *testing.T) {
	g := Group{OldPrimary: "a", OldStartedAt: 7,
		Candidates: []Candidate{{ID: "a", StartedAt: 7, Received: position(3, 90)}}}
	if g.CaughtUp(Candidate{ID: "b", Received: position(3, 89)}) {
		t.Error("a replica that lacks a commit counts as caught up")
	}
	if !g.CaughtUp(Candidate{ID: "b", Received: position(3, 90)}) {
		t.Error("a replica with every commit does not count as caught up")
	}
}
