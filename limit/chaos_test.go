package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/waxwingspindle/waxwingspindle/internal/simlimit"
	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// chaosConfig returns a configuration with 40 s of random faults and 40 s without faults. The limits include a burst of 1
// and bursts that are smaller and greater than the number of slots.
func chaosConfig(seed uint64, load float64) simlimit.Config {
	cfg := simlimit.Config{
		Design: simlimit.DesignLent, Hosts: 7, Slots: []int{12, 24}[seed%2], Duration: 80 * time.Second, Tail: 10 * time.Second,
		Seed: seed, MaxClockDrift: 0.00497,
		Faults: []simlimit.Fault{{Kind: simlimit.Chaos, Start: 2 * time.Second, Duration: 40 * time.Second}},
	}
	for i, l := range []limit.Limit{
		{Rate: 200, Burst: 60}, {Rate: 100, Burst: 5}, {Rate: 20, Burst: 1}, {Rate: 50, Burst: 200},
	} {
		cfg.Workspaces = append(cfg.Workspaces, simlimit.Workspace{
			Name: model.Workspace(fmt.Sprintf("w%d", i)), Limit: l, Load: load, ZipfExponent: float64(i) / 2,
			PulsePeriod: []time.Duration{0, 3 * time.Second}[seed%3%2],
		})
	}
	return cfg
}

// runAll simulates the seeds 0 to n − 1 in parallel and returns the results in order.
func runAll(n int, cfg func(seed uint64) simlimit.Config) []simlimit.Result {
	results := make([]simlimit.Result, n)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i := range n {
		group.Go(func() error {
			results[i] = simlimit.Run(cfg(uint64(i)))
			return nil
		})
	}
	_ = group.Wait() // no run returns an error
	return results
}

// Guards against admissions beyond rate and burst under any combination of faults, and against a workspace that does not
// regain its rate after the faults have ended.
func TestChaos(t *testing.T) {
	results := runAll(24, func(seed uint64) simlimit.Config { return chaosConfig(seed, []float64{0.8, 3}[seed/2%2]) })
	for seed, r := range results {
		for i, f := range r.Workspaces {
			if f.OverAdmission > 0 {
				t.Errorf("seed %d, workspace %d: %.3f requests too many", seed, i, f.OverAdmission)
			}
			if f.TailAdmitted < f.TailCentralAdmitted*80/100 {
				t.Errorf("seed %d, workspace %d: %d of %d requests after the faults", seed, i, f.TailAdmitted, f.TailCentralAdmitted)
			}
		}
	}
}

// requireOverAdmission fails the test unless at least one of eight runs detects over-admission.
func requireOverAdmission(t *testing.T, cfg func(seed uint64) simlimit.Config) {
	t.Helper()
	worst := 0.0
	for _, r := range runAll(8, cfg) {
		worst = max(worst, r.Total.OverAdmission)
	}
	t.Logf("%.2f requests too many", worst)
	if worst == 0 {
		t.Error("the check does not detect the disabled guard")
	}
}

// Guards against a check that always passes: TestChaos must detect over-admission if one of these guards is disabled. The
// other guards require exact timing and have their own tests.
func TestChaosFailsWithoutGuard(t *testing.T) {
	overload := func(seed uint64) simlimit.Config { return chaosConfig(seed, 3) }
	for _, guard := range []string{limit.GuardOutstanding, limit.GuardRefillTolerance} {
		t.Run(guard, func(t *testing.T) {
			limit.WithoutGuard(guard, func() { requireOverAdmission(t, overload) })
		})
	}
	t.Run("restart wait", func(t *testing.T) {
		requireOverAdmission(t, func(seed uint64) simlimit.Config {
			cfg := overload(seed)
			cfg.SkipSlotWait = true
			return cfg
		})
	})
}
