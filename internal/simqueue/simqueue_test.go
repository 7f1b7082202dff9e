package simqueue

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// BenchmarkTables prints the reports for 3 and 2 slots. With -v it includes all workspaces:
//
//	go test -run '^$' -bench Tables -benchtime 1x ./internal/simqueue
func BenchmarkTables(b *testing.B) {
	for range b.N {
		for _, slots := range []int{3, 2} {
			if err := PrintScenarios(os.Stdout, 1, slots, testing.Verbose()); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func run(p Params, discipline Discipline) Report {
	p.Duration = 10 * time.Second
	p.Discipline = discipline
	return Run(p)
}

// Guards against a policy under which a noisy workspace, or one with slow statements, starves the others. The other
// disciplines show that the scenarios cause starvation without the policy.
func TestWorstServed(t *testing.T) {
	for name, test := range map[string]struct {
		params     Params
		discipline Discipline
		low, high  float64
	}{
		"calm":           {MixedLoad(1, 3, false, false), SlotTime, 0.99, 1.01},
		"noisy":          {MixedLoad(1, 3, true, false), SlotTime, 0.97, 1.01},
		"noisy, FIFO":    {MixedLoad(1, 3, true, false), FIFO, 0, 0.93},
		"slow":           {MixedLoad(1, 3, false, true), SlotTime, 0.85, 1.01},
		"slow, count":    {MixedLoad(1, 3, false, true), RoundRobin, 0, 0.5},
		"slow, FIFO":     {MixedLoad(1, 3, false, true), FIFO, 0, 0.7},
		"both":           {MixedLoad(1, 3, true, true), SlotTime, 0.85, 1.01},
		"slow, 2 slots":  {MixedLoad(1, 2, false, true), SlotTime, 0.85, 1.01},
		"noisy, 2 slots": {MixedLoad(1, 2, true, false), SlotTime, 0.97, 1.01},
	} {
		report := run(test.params, test.discipline)
		if got := report.WorstServed.FairRatio; got < test.low || got > test.high {
			t.Errorf("%s: %s", name, report.Summary())
		}
	}
}

// Guards against goodput that drops, and queues that exceed their bound, when the offered load exceeds the capacity.
func TestOverload(t *testing.T) {
	atCapacity := run(Overload(1, 3, 1), SlotTime)
	for _, factor := range []float64{2, 4} {
		report := run(Overload(1, 3, factor), SlotTime)
		if report.Goodput < 0.97*atCapacity.Goodput || report.MaxQueued > report.Params.MaxQueued {
			t.Errorf("load %.0f: %s; at capacity %s", factor, report.Summary(), atCapacity.Summary())
		}
	}
}

// Guards against reports that differ between runs, which would make policies incomparable, and against requests that are
// lost in the simulation.
func TestRunIsDeterministic(t *testing.T) {
	params := MixedLoad(7, 2, true, true)
	first, second := run(params, SlotTime), run(params, SlotTime)
	if diff := cmp.Diff(first.String(), second.String()); diff != "" {
		t.Error(diff)
	}
	// The requests do not depend on the discipline.
	other := run(params, FIFO)
	for i, s := range first.Workspaces {
		answered := s.Completed + s.Late
		for _, n := range s.Refused {
			answered += n
		}
		if s.Sent == 0 || answered != s.Sent || other.Workspaces[i].Sent != s.Sent {
			t.Errorf("%s: %d sent, %d answered, %d sent under FIFO", s.Workspace, s.Sent, answered, other.Workspaces[i].Sent)
		}
	}
}

// Guards against an incorrect max-min fair allocation.
func TestMaxMin(t *testing.T) {
	got := maxMinFairShares([]float64{1, 10, 4, 0}, 9)
	if diff := cmp.Diff([]float64{1, 4, 4, 0}, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Error(diff)
	}
}
