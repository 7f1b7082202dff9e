package primacy

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func open() Document {
	return Document{Service: "booking", Epoch: 4, Open: true, Primary: "a", Born: 7, Term: 3}
}

func healthy() Health {
	return Health{Registered: true, StartedAt: 7, AllHostsReport: true, StatusKnown: true, IsPrimary: true, Term: 3}
}

func reached() Observation { return Observation{Epoch: 4, ReplyAge: 50 * time.Millisecond} }

func unreached() Observation {
	return Observation{Epoch: 4, ReplyAge: 2 * time.Second, UnreachableFor: 2 * time.Second}
}

// Guards against a primary that is replaced without need, and against one that is gone and never replaced.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		doc    Document
		change func(*Health)
		want   Cause
	}{
		{"a primary that answers stays", open(), func(*Health) {}, CauseNone},
		{"no primary was ever named", Document{}, func(*Health) {}, CauseNoPrimary},
		{"its entry has disappeared", open(), func(v *Health) { v.Registered = false }, CauseNotRegistered},
		{"it started again and knows nothing of before", open(), func(v *Health) { v.StartedAt = 8 }, CauseRestarted},
		{"it drains and all hosts report", open(), func(v *Health) { v.Draining = true }, CauseDraining},
		{"it drains, but a host does not report", open(), func(v *Health) { v.Draining, v.AllHostsReport = true, false }, CauseNone},
		{"it drains for long", open(), func(v *Health) {
			v.Draining, v.AllHostsReport, v.DrainingFor = true, false, longestDelay
		}, CauseDraining},
		{"it was made a replica", open(), func(v *Health) { v.IsPrimary, v.Term = false, 4 }, CauseDemoted},
		{"nobody reaches it", open(), func(v *Health) {
			v.SilentFor, v.Observations = time.Second, []Observation{unreached(), unreached()}
		}, CauseUnreachable},
		{"only the leader does not reach it", open(), func(v *Health) {
			v.SilentFor, v.Observations = time.Second, []Observation{reached(), reached()}
		}, CauseNone},
		{"most hosts do not reach it, the leader does", open(), func(v *Health) {
			v.Observations = []Observation{unreached(), unreached(), unreached(), reached()}
		}, CauseCutOff},
		{"the same, but a host does not report and may use it", open(), func(v *Health) {
			v.AllHostsReport, v.Observations = false, []Observation{unreached(), unreached(), reached()}
		}, CauseNone},
		{"the same for so long that the host has confirmed or lost its permission", open(), func(v *Health) {
			v.AllHostsReport, v.UnreachableFor, v.Observations = false, longestCutOff, []Observation{unreached(), unreached(), reached()}
		}, CauseCutOff},
		{"hosts speak of an earlier primary", open(), func(v *Health) {
			v.Observations = []Observation{{Epoch: 2, UnreachableFor: time.Minute}, {Epoch: 2, UnreachableFor: time.Minute}}
		}, CauseNone},
		{"one probe was lost", open(), func(v *Health) { v.SilentFor = unreachableTime / 2 }, CauseNone},
	}
	for _, test := range tests {
		view := healthy()
		test.change(&view)
		if got := ReplacementCause(test.doc, view); got != test.want {
			t.Errorf("%s: cause %q, want %q", test.name, got, test.want)
		}
	}
}

func at(term, offset uint64) model.Position { return model.Position{Term: term, Offset: offset} }

// Guards against the promotion of a target that lacks commits which another one has, and against a second promotion after
// an order whose answer was lost.
func TestChoose(t *testing.T) {
	a := Candidate{ID: "a", StartedAt: 7, IsPrimary: true, Term: 3, Received: at(3, 90)}
	b := Candidate{ID: "b", Term: 3, Received: at(3, 80)}
	c := Candidate{ID: "c", Term: 3, Received: at(3, 85)}
	led := Candidate{ID: "b", IsPrimary: true, Term: 4, Received: at(4, 81)}
	draining := Candidate{ID: "b", Draining: true, Term: 3, Received: at(3, 85)}
	reborn := Candidate{ID: "a", StartedAt: 9, Term: 0}
	tests := []struct {
		name       string
		candidates []Candidate
		sync       int
		want       Choice
		cause      Cause
	}{
		{"the replica that received most", []Candidate{b, c}, 0, Choice{Target: c, Found: true}, CauseUnreachable},
		{"not the old primary if it drains", []Candidate{a, b}, 0, Choice{Target: b, Found: true}, CauseDraining},
		{"not the old primary if most hosts lost it", []Candidate{a, b}, 0, Choice{Target: b, Found: true}, CauseCutOff},
		{"the old primary if it answers again", []Candidate{a, b}, 0, Choice{Target: a, AlreadyPrimary: true, Found: true},
			CauseUnreachable},
		{"one that leads already", []Candidate{a, led}, 0, Choice{Target: led, AlreadyPrimary: true, Found: true}, CauseUnreachable},
		{"not a draining one among equals", []Candidate{draining, c}, 0, Choice{Target: c, Found: true}, CauseUnreachable},
		{"not one that started empty", []Candidate{reborn, b}, 0, Choice{Target: b, Found: true}, CauseRestarted},
		{"nobody answers", nil, 0, Choice{}, CauseUnreachable},
		{"with synchronous replicas, all of them", []Candidate{b, c}, 1, Choice{Target: c, Found: true}, CauseUnreachable},
		{"with synchronous replicas, not one of two", []Candidate{b}, 1, Choice{}, CauseUnreachable},
	}
	for _, test := range tests {
		group := Group{OldPrimary: "a", OldStartedAt: 7, OldTerm: 3, Cause: test.cause, TargetCount: 3, SyncReplicas: test.sync, Candidates: test.candidates}
		if diff := cmp.Diff(test.want, Choose(group)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// Guards against a planned replacement that loses commits which only the old primary has.
func TestCaughtUp(t *testing.T) {
	g := Group{OldPrimary: "a", OldStartedAt: 7, Candidates: []Candidate{{ID: "a", StartedAt: 7, Received: at(3, 90)}}}
	if g.CaughtUp(Candidate{ID: "b", Received: at(3, 89)}) {
		t.Error("a replica that lacks a commit counts as caught up")
	}
	if !g.CaughtUp(Candidate{ID: "b", Received: at(3, 90)}) {
		t.Error("a replica with every commit does not count as caught up")
	}
}
