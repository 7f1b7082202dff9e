package simlimit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/limit"
)

// maxOverAdmission returns the largest over-admission of all windows of a sequence of admissions.
func maxOverAdmission(at []int64, l limit.Limit) float64 {
	worst := 0.0
	for i, from := range at {
		for j, to := range at[i:] {
			worst = math.Max(worst, float64(j+1)-l.Rate*float64(to-from)/float64(second)-l.Burst)
		}
	}
	return worst
}

// Guards against an incremental checker that misses a window or reports one that is within the limit.
func TestCheckerFindsWorstWindow(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		l := limit.Limit{Rate: 10 + 90*rng.Float64(), Burst: 1 + 20*rng.Float64()}
		var c checker
		c.setLimit(0, l)
		var at []int64
		now, worst := int64(0), 0.0
		for range 200 {
			now += int64(rng.ExpFloat64() / l.Rate * float64(second))
			at = append(at, now)
			worst = math.Max(worst, c.admit(now))
		}
		if want := maxOverAdmission(at, l); math.Abs(worst-want) > 1e-6 {
			t.Errorf("seed %d: over-admission %.6f, want %.6f", seed, worst, want)
		}
	}
}

// Guards against a checker that still allows the old limit after a limit was lowered.
func TestCheckerUsesNewLimitAfterChange(t *testing.T) {
	var c checker
	c.setLimit(0, limit.Limit{Rate: 100, Burst: 100})
	c.setLimit(second, limit.Limit{Rate: 10, Burst: 10})
	now := second + int64(limitSettleTime) + 1
	over := 0.0
	for range 20 {
		over = math.Max(over, c.admit(now))
	}
	if math.Abs(over-10) > 1e-6 {
		t.Errorf("over-admission %.3f, want 10", over)
	}
}

// Guards against a reference bucket that admits more or fewer requests than a token bucket.
func TestCentralBucketAdmitsRateAndBurst(t *testing.T) {
	c := tokenBucket{limit: limit.Limit{Rate: 100, Burst: 20}, tokens: 20}
	n := 0
	for i := range 1000 { // 1,000 requests in 1 s
		if c.admit(int64(i)*second/1000, 0) {
			n++
		}
	}
	if n < 119 || n > 120 {
		t.Errorf("%d admitted, want 119 or 120", n)
	}
}

// Guards against a simulation that is not deterministic for its configuration.
func TestSameSeedSameResult(t *testing.T) {
	for _, design := range []Design{DesignLent, DesignStatic, DesignOwner} {
		cfg := Scenario(design, 9, 25, 0.95, Chaos)
		cfg.Duration, cfg.Tail, cfg.MaxClockDrift = 12*time.Second, time.Second, 0.004
		if diff := cmp.Diff(Run(cfg), Run(cfg)); diff != "" {
			t.Errorf("design %s: %s", design, diff)
		}
	}
}
