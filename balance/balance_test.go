package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
)

var epoch = time.Unix(1000, 0)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// firsts returns how many of n reads go to each target first, at the given time.
func firsts(t *Tracker, now time.Time, n int, candidates []Candidate, latencyTarget time.Duration) map[model.TargetID]int {
	rng, counts := newRNG(), map[model.TargetID]int{}
	for range n {
		ranking := t.Rank(now, rng, candidates, latencyTarget)
		counts[ranking[0]]++
		if len(ranking) != len(candidates) {
			panic("candidates are missing")
		}
	}
	return counts
}

// Guards against reads that cross to another data centre, where each costs bytes, although the local target answers in
// time, and against reads that stay on a local target that does not.
func TestLocalFirst(t *testing.T) {
	candidates := []Candidate{{Target: "local"}, {Target: "remote", Crossing: 5 * time.Millisecond}}
	for _, test := range []struct {
		name     string
		wait     time.Duration // at the local target
		min, max int           // reads of 1000 that stay
	}{
		{"no wait", 0, 1000, 1000},
		{"within a quarter of the latency target", 45 * time.Millisecond, 1000, 1000},
		{"far beyond it", 500 * time.Millisecond, 0, 100},
		{"no latency target", 500 * time.Millisecond, 1000, 1000},
	} {
		tracker := NewTracker()
		tracker.Report(epoch, "local", Load{Limit: 4, Wait: test.wait, Service: 12 * time.Millisecond})
		tracker.Report(epoch, "remote", Load{Limit: 4, Service: 12 * time.Millisecond})
		latencyTarget := 250 * time.Millisecond
		if test.name == "no latency target" {
			latencyTarget = 0
		}
		local := firsts(tracker, epoch, 1000, candidates, latencyTarget)["local"]
		if local < test.min || local > test.max {
			t.Errorf("%s: %d of 1000 reads stay, expected %d to %d", test.name, local, test.min, test.max)
		}
	}
}

// Guards against a slow target that gets so few reads that its recovery is not seen, or so many that callers wait.
func TestSlowTargetKeepsSomeReads(t *testing.T) {
	tracker, rng := NewTracker(), newRNG()
	candidates := []Candidate{{Target: "fast"}, {Target: "slow"}}
	counts := map[model.TargetID]int{}
	for i := range 2000 { // 100 s with 20 reads a second
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		tracker.Report(now, "fast", Load{Limit: 4, Slowdown: 1, Service: 12 * time.Millisecond})
		tracker.Report(now, "slow", Load{Limit: 4, Slowdown: 20, Service: 240 * time.Millisecond})
		counts[tracker.Rank(now, rng, candidates, time.Second)[0]]++
	}
	if slow := counts["slow"]; slow < 20 || slow > 110 {
		t.Errorf("the slow target gets %d of 2000 reads in 100 s, expected 20 to 110", slow)
	}
}

// Guards against a queue that builds up because the host's own statements since the last report are not counted.
func TestOwnStatementsCount(t *testing.T) {
	tracker := NewTracker()
	candidates := []Candidate{{Target: "a"}, {Target: "b"}}
	for _, c := range candidates {
		tracker.Report(epoch, c.Target, Load{Limit: 2, Service: 12 * time.Millisecond})
	}
	for range 8 {
		tracker.Started("a")
	}
	if counts := firsts(tracker, epoch, 1000, candidates, time.Second); counts["a"] > 50 {
		t.Errorf("%d of 1000 reads go to the target with 8 statements in progress", counts["a"])
	}
}

// Guards against targets that fail, stay silent or refuse everything and are still used, and against the loss of a healthy
// target after a single failure.
func TestTakenOutAndReturned(t *testing.T) {
	candidates := []Candidate{{Target: "a"}, {Target: "b"}, {Target: "c"}}
	for outcome, n := range map[concurrency.Outcome]int{concurrency.Failed: 5, concurrency.NoAnswer: 5, concurrency.Busy: 10} {
		tracker, rng := NewTracker(), newRNG()
		tracker.Rank(epoch, rng, candidates, time.Second)
		for i := range n {
			want := Unchanged
			if i == n-1 {
				want = TakenOut
			}
			if got := tracker.Finished(epoch, "b", outcome); got != want {
				t.Fatalf("%v %d: change %d, expected %d", outcome, i+1, got, want)
			}
		}
		for range 100 {
			if ranking := tracker.Rank(epoch, rng, candidates, time.Second); ranking[2] != "b" {
				t.Fatalf("%v: ranking %v, expected b last", outcome, ranking)
			}
		}
		// Probes fail with growing pauses.
		var probes []time.Duration
		for at := time.Duration(0); at < 40*time.Second; at += 10 * time.Millisecond {
			if tracker.Rank(epoch.Add(at), rng, candidates, time.Second)[0] == "b" {
				probes = append(probes, at)
				tracker.Finished(epoch.Add(at), "b", outcome)
			}
		}
		s := time.Second
		want := []time.Duration{s / 2, 3 * s / 2, 7 * s / 2, 15 * s / 2, 31 * s / 2, 47 * s / 2, 63 * s / 2, 79 * s / 2}
		if !slices.Equal(probes, want) {
			t.Fatalf("%v: probes at %v, expected %v", outcome, probes, want)
		}
		now := epoch.Add(50 * time.Second)
		if tracker.Rank(now, rng, candidates, time.Second)[0] != "b" ||
			tracker.Finished(now, "b", concurrency.Done) != Returned || tracker.TakenOut("b") {
			t.Errorf("%v: not returned after a probe", outcome)
		}
	}
}

// Guards against a service that loses most of its targets because all of them fail: a third is taken out, but one of two.
func TestAtMostAThirdIsTakenOut(t *testing.T) {
	for group, want := range map[int]int{1: 0, 2: 1, 3: 1, 5: 1, 6: 2, 9: 3} {
		tracker, rng := NewTracker(), newRNG()
		var candidates []Candidate
		for i := range group {
			candidates = append(candidates, Candidate{Target: model.TargetID(fmt.Sprint("t", i))})
		}
		tracker.Rank(epoch, rng, candidates, time.Second)
		out := 0
		for range 20 {
			for _, c := range candidates {
				if tracker.Finished(epoch, c.Target, concurrency.Failed) == TakenOut {
					out++
				}
			}
		}
		if out != want {
			t.Errorf("%d of %d targets are taken out, expected %d", out, group, want)
		}
	}
}

// Guards against a choice that loses, repeats or invents a target, or fails, for figures and settings of any kind.
func TestRankingIsComplete(t *testing.T) {
	numbers := []float64{0, 1, 5, -3, 1e300, math.NaN(), math.Inf(1), math.Inf(-1)}
	times := []time.Duration{0, -time.Second, 1, time.Millisecond, math.MaxInt64, math.MinInt64}
	counts := []int{0, 1, 4, -7, math.MaxInt32}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		tracker, now := NewTracker(), epoch
		var candidates []Candidate
		var want []model.TargetID
		for i := range 1 + rng.IntN(20) {
			id := model.TargetID(fmt.Sprintf("t%02d", i))
			candidates = append(candidates, Candidate{id, times[rng.IntN(4)], i == 0})
			want = append(want, id)
		}
		for range 200 {
			now = now.Add(time.Duration(rng.IntN(700)) * time.Millisecond)
			target := candidates[rng.IntN(len(candidates))].Target
			switch rng.IntN(3) {
			case 0:
				tracker.Report(now, target, Load{counts[rng.IntN(5)], counts[rng.IntN(5)], counts[rng.IntN(5)],
					times[rng.IntN(6)], numbers[rng.IntN(8)], times[rng.IntN(6)]})
			case 1:
				tracker.Started(target)
			case 2:
				tracker.Finished(now, target, concurrency.Outcome(rng.IntN(4)))
			}
			got := tracker.Rank(now, rng, candidates, times[rng.IntN(6)])
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d: ranking of %v, expected all of %v", seed, got, want)
			}
		}
	}
	if got := NewTracker().Rank(epoch, newRNG(), nil, time.Second); got != nil {
		t.Errorf("ranking %v of no targets", got)
	}
}

// Guards against memory that grows with targets that come and go.
func TestTrackerIsBounded(t *testing.T) {
	tracker, rng := NewTracker(), newRNG()
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Second)
		tracker.Rank(now, rng, []Candidate{{Target: model.TargetID(fmt.Sprint("t", i))}, {Target: "x"}}, time.Second)
		if len(tracker.entries) > maxTargets {
			t.Fatalf("%d targets", len(tracker.entries))
		}
	}
	now := epoch.Add(2000 * time.Second)
	tracker.Rank(now, rng, []Candidate{{Target: "x"}}, time.Second)
	if len(tracker.entries) != 1 {
		t.Errorf("%d targets are known after a minute without use of all but one", len(tracker.entries))
	}
}

func BenchmarkRank(b *testing.B) {
	tracker, rng := NewTracker(), newRNG()
	candidates := []Candidate{{Target: "a"}, {Target: "b", Crossing: time.Millisecond}, {Target: "c", Primary: true}}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		target := tracker.Rank(now, rng, candidates, time.Second)[0]
		tracker.Started(target)
		tracker.Finished(now, target, concurrency.Done)
		tracker.Report(now, target, Load{Limit: 4, Slowdown: 1, Service: 12 * time.Millisecond})
	}
}

// TakenOut reports whether the target gets single probes only.
func (t *Tracker) TakenOut(target model.TargetID) bool {
	e := t.entries[target]
	return e != nil && e.ejection.out
}
