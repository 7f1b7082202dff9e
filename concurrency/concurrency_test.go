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

// saturate runs statements of the same time, always as many as the limit allows, until the given time.
func saturate(l *Limiter, from, until time.Time, took time.Duration) {
	now := from
	for now.Before(until) {
		for l.Running() < l.Limit() {
			l.Start(now)
		}
		now = now.Add(took / time.Duration(l.Running()))
		l.Finish(now, Sample{Class{"own", Read}, took, Done})
	}
}

// Guards against a limit that stays at its initial value while callers wait.
func TestLimitGrowsWithinASecond(t *testing.T) {
	for _, slots := range []int{1, 4, 8} {
		l := New(slots, epoch)
		saturate(l, epoch, epoch.Add(900*time.Millisecond), 12*time.Millisecond)
		if l.Learned() != slots+1 {
			t.Errorf("%d slots: limit %d after 0.9 s", slots, l.Learned())
		}
	}
}

// Guards against a limit that stays reduced when traffic stops during a measurement of the base.
func TestMeasurementEndsWithoutTraffic(t *testing.T) {
	l, now := New(4, epoch), epoch
	for end := epoch.Add(20 * time.Second); l.probe == nil && now.Before(end); now = now.Add(20 * time.Millisecond) {
		saturate(l, now, now.Add(20*time.Millisecond), 12*time.Millisecond)
	}
	if l.Limit() >= l.Learned() {
		t.Fatal("a saturated target was not measured at a reduced limit")
	}
	l.Start(now.Add(time.Minute))
	if l.Limit() != l.Learned() {
		t.Errorf("limit %d a minute after the last statement, expected %d", l.Limit(), l.Learned())
	}
}

// Guards against a cold target that gets as many statements as a warm one, and whose slow start is learned as its speed.
func TestColdTarget(t *testing.T) {
	refs := NewReferences()
	l := refs.Limiter("a", 4, epoch)
	saturate(l, epoch, epoch.Add(time.Second), 12*time.Millisecond)
	cold := epoch.Add(3 * time.Second)
	l.SetCold(cold)
	saturate(l, epoch.Add(time.Second), cold.Add(-200*time.Millisecond), 120*time.Millisecond)
	if l.Limit() != 2 {
		t.Errorf("limit %d of a cold target with 4 slots", l.Limit())
	}
	if typical := refs.Typical("a", Class{"own", Read}); typical.Round(time.Millisecond) != 12*time.Millisecond {
		t.Errorf("typical time %v, expected 12 ms", typical)
	}
	saturate(l, cold, cold.Add(time.Second), 12*time.Millisecond)
	if l.Learned() != 5 {
		t.Errorf("limit %d one second after the target was cold", l.Learned())
	}
}

// Guards against a limit that does not follow BUSY, and against one that stays low afterwards.
func TestBusy(t *testing.T) {
	l := New(4, epoch)
	saturate(l, epoch, epoch.Add(time.Second), 12*time.Millisecond)
	now := epoch.Add(time.Second)
	for range 20 { // sent together
		l.Start(now)
		l.Finish(now, Sample{Outcome: Busy})
	}
	if l.Learned() != 3 {
		t.Errorf("limit %d after statements that were refused together, expected 3", l.Learned())
	}
	for i := range 20 {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		l.Start(at)
		l.Finish(at, Sample{Outcome: Busy})
	}
	if l.Learned() != 1 {
		t.Errorf("limit %d after refusals for a second, expected 1", l.Learned())
	}
	saturate(l, now.Add(time.Second), now.Add(10*time.Second), 12*time.Millisecond)
	if l.Learned() != 5 {
		t.Errorf("limit %d nine seconds after the last refusal", l.Learned())
	}
}
