package concurrency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var epoch = time.Unix(1000, 0)

// Guards against a burst after a restart, and against limits outside of 1 to slots + 1 for odd entries of the platform.
func TestInitialLimit(t *testing.T) {
	for slots, want := range map[int]int{-3: 2, 0: 2, 1: 1, 2: 1, 4: 2, 9: 4, 16: 8} {
		if got := New(slots, epoch).Limit(); got != want {
			t.Errorf("%d slots: initial limit %d, expected %d", slots, got, want)
		}
	}
}

// Guards against a limit that leaves its range under any sequence of outcomes, also when commands finish that were never
// started.
func TestLimitStaysInRange(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		slots := 1 + rng.IntN(8)
		l, now := New(slots, epoch), epoch
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			if rng.IntN(2) == 0 {
				l.Start(now)
			} else {
				took := time.Duration(math.Exp(rng.NormFloat64()*2) * float64(10*time.Millisecond))
				l.Finish(now, Sample{Class{"r", Kind(rng.IntN(4))}, took, Outcome(rng.IntN(4))})
			}
			if limit := l.Limit(); limit < 1 || limit > slots+1 || l.Running() < 0 {
				t.Fatalf("seed %d: limit %d of %d slots with %d running", seed, limit, slots, l.Running())
			}
			if s := l.Slowdown(); !(s >= 1) || math.IsInf(s, 0) {
				t.Fatalf("seed %d: slowdown %v", seed, s)
			}
		}
	}
}

// Guards against a target that counts as slow because it gets the long statements.
func TestLongStatementsAreNotSlowness(t *testing.T) {
	refs := NewReferences()
	a, b := refs.Limiter("a", 4, epoch), refs.Limiter("b", 4, epoch)
	short, long := Class{"own", Read}, Class{"bounded", Read}
	for i := range 400 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		a.Start(now)
		b.Start(now)
		classA, classB := short, long
		if i%10 == 0 {
			classA, classB = long, short
		}
		took := map[Class]time.Duration{short: 4 * time.Millisecond, long: 40 * time.Millisecond}
		a.Finish(now, Sample{classA, took[classA], Done})
		b.Finish(now, Sample{classB, took[classB], Done})
	}
	if x, y := a.Slowdown(), b.Slowdown(); x > 1.01 || y > 1.01 {
		t.Errorf("slowdown %.2f and %.2f of equally fast targets", x, y)
	}
}

// Guards against a slow target that is not seen as such: because it is measured here, and because another host reports it.
func TestSlowdown(t *testing.T) {
	class := Class{"own", Read}
	refs := NewReferences()
	l := refs.Limiter("slow", 4, epoch)
	for i := range 60 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		l.Start(now)
		l.Finish(now, Sample{class, 60 * time.Millisecond, Done})
	}
	if s := l.Slowdown(); s != 1 {
		t.Errorf("slowdown %.2f of the only known target", s)
	}
	now := epoch.Add(3 * time.Second)
	refs.Report(now, "fast", class, 12*time.Millisecond)
	if s := l.Slowdown(); math.Abs(s-5) > 0.1 {
		t.Errorf("slowdown %.2f, expected 5", s)
	}
	refs.Forget("fast")
	if s := l.Slowdown(); s != 1 {
		t.Errorf("slowdown %.2f after the faster target was removed", s)
	}
}

// Guards against memory that grows with targets and routes that come and go.
func TestReferencesAreBounded(t *testing.T) {
	refs := NewReferences()
	for i := range 10_000 {
		class := Class{fmt.Sprint("r", i%500), Read}
		refs.Observe(epoch.Add(time.Duration(i)), model.TargetID(fmt.Sprint("t", i)), class, time.Second)
	}
	if len(refs.seenAt) > maxTargets || len(refs.classes) > maxClasses || len(refs.list) != len(refs.classes) {
		t.Errorf("%d targets, %d classes, %d in the list", len(refs.seenAt), len(refs.classes), len(refs.list))
	}
}

func BenchmarkFinish(b *testing.B) {
	refs := NewReferences()
	l := refs.Limiter("a", 4, epoch)
	refs.Limiter("b", 4, epoch)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Start(now)
		l.Finish(now, Sample{Class{"own", Read}, 12 * time.Millisecond, Done})
		_ = l.Slowdown()
	}
}
