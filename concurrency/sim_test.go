package concurrency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/internal/simtargets"
)

// onlyTarget is the choice of hosts that know one target.
type onlyTarget struct{}

func (onlyTarget) Rank(time.Time, simtargets.Class) []int { return []int{0} }

func (onlyTarget) Started(int) {}

func (onlyTarget) Finished(time.Time, int, simtargets.Class, concurrency.Outcome, time.Duration, simtargets.Figures) {
}

// meanTime is the mean time of a statement of classes.
const meanTime = 0.18*0.019 + 0.82*0.012

// skip is the time at the start that is not counted.
const skip = 2 * time.Second

var classes = []simtargets.Class{
	{Route: "bounded", Share: 0.18, Mean: 19 * time.Millisecond, Latency: 400 * time.Millisecond},
	{Route: "own", Share: 0.82, Mean: 12 * time.Millisecond, Latency: 250 * time.Millisecond},
}

// saturated returns a service with one target that gets more statements than it can run.
func saturated(seed uint64, duration time.Duration, slots int, factor func(time.Duration, int) float64) simtargets.Params {
	return simtargets.Params{Seed: seed, Duration: duration, Skip: skip, Hosts: 1, Classes: classes,
		Targets: []simtargets.Target{{ID: "a", Slots: slots, Factor: factor}}, Timeout: 400 * time.Millisecond,
		Rate:       func(time.Duration) float64 { return 1.3 * float64(slots) / meanTime },
		NewChooser: func(int, *rand.Rand) simtargets.Chooser { return onlyTarget{} }}
}

func byRunning(factors ...float64) func(time.Duration, int) float64 {
	return func(_ time.Duration, running int) float64 { return factors[min(running, len(factors))-1] }
}

var targets = []struct {
	name   string
	slots  int
	factor func(time.Duration, int) float64
	best   int // limit with the greatest throughput
}{
	{"healthy", 4, nil, 4},
	{"five times the time", 4, byRunning(5), 4},
	{"degrades above 2", 4, byRunning(1, 1, 1.8, 2.6), 2},
	{"degrades above 1", 4, byRunning(1, 2.2, 3.6, 5), 1},
	{"degrades a little", 4, byRunning(1, 1.05, 1.1, 1.2), 4},
	{"healthy, 16 slots", 16, nil, 16},
	{"16 slots, degrades above 8", 16, func(_ time.Duration, n int) float64 { return max(1, float64(n-8)*0.5) }, 10},
	{"turns slow and recovers", 4, func(at time.Duration, _ int) float64 {
		if at > 10*time.Second && at < 20*time.Second {
			return 5
		}
		return 1
	}, 4},
	{"speed changes every 3 s", 4, func(at time.Duration, _ int) float64 { return 1 + 2*float64(int(at.Seconds())/3%2) }, 4},
}

// BenchmarkLimits prints the throughput of saturated targets under the learned limit and under fixed ones:
//
//	go test -run '^$' -bench Limits -benchtime 1x ./concurrency
func BenchmarkLimits(b *testing.B) {
	for range b.N {
		for _, target := range targets {
			fmt.Printf("%-28s", target.name)
			for seed := range uint64(3) {
				p := saturated(seed, time.Minute, target.slots, target.factor)
				learned := simtargets.Run(p)
				p.Limit = simtargets.Slots
				fixed := simtargets.Run(p)
				p.FixedLimit = target.best
				best := simtargets.Run(p)
				fmt.Printf("  learned %5.1f/s (limit %d) slots %5.1f best %5.1f/s", perSecond(p, learned), learned.Targets[0].Limit,
					perSecond(p, fixed), perSecond(p, best))
			}
			fmt.Println()
		}
	}
}

// perSecond returns the throughput in statements per second.
func perSecond(p simtargets.Params, r *simtargets.Report) float64 {
	return float64(r.Done) / (p.Duration - p.Skip).Seconds()
}

// Guards against a limit that stays above what a target can run, which halves its throughput, and against one that shrinks
// because of single slow statements, or because the target is slow at any limit.
func TestThroughputOfSaturatedTargets(t *testing.T) {
	for _, target := range targets {
		want, lower := map[string]float64{"degrades above 2": 0.8, "degrades above 1": 0.75,
			"16 slots, degrades above 8": 0.55}[target.name]
		if !lower {
			want = 0.92
		}
		for seed := range uint64(2) {
			p := saturated(seed, 30*time.Second, target.slots, target.factor)
			learned := simtargets.Run(p)
			p.Limit, p.FixedLimit = simtargets.Slots, target.best
			best := simtargets.Run(p)
			if share := perSecond(p, learned) / perSecond(p, best); share < want {
				t.Errorf("%s, seed %d: %.1f/s, %.2f of the best fixed limit's %.1f/s, expected %.2f", target.name, seed,
					perSecond(p, learned), share, perSecond(p, best), want)
			}
		}
	}
}
