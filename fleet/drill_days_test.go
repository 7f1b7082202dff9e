package fleet

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// drillDay is a return of the store with what happens beside it. Times count from the return; a time of noTime means that it does not
// happen.
type drillDay struct {
	// primary is drain, dark, or alone: cut off, with a host whose registration is not in the copy, from all others.
	primary         string
	primaryAt       time.Duration
	leader          string // killed or cut
	leaderAt        time.Duration
	secondReturn    time.Duration
	restartedHostAt time.Duration
}

const noTime = -time.Hour

func (d drillDay) String() string {
	name := func(what string, at time.Duration) string {
		if at == noTime {
			return ""
		}
		return fmt.Sprintf(" %s at %v", what, at)
	}
	return "return" + name("primary "+d.primary, d.primaryAt) + name("leader "+d.leader, d.leaderAt) +
		name("second return", d.secondReturn) + name("host restarted", d.restartedHostAt)
}

// drillDays returns all combinations of what happens beside a return, and when.
func drillDays() (days []drillDay) {
	times := func(list ...float64) []time.Duration {
		result := []time.Duration{noTime}
		for _, seconds := range list {
			result = append(result, time.Duration(seconds*float64(time.Second)))
		}
		return result
	}
	for _, primaryAt := range times(-1.6, -0.4, 0, 0.2, 0.8, 2, 4) {
		for _, primary := range []string{"drain", "dark", "alone"} {
			for _, leaderAt := range times(-1, -0.2, 0.1, 0.6, 2) {
				for _, leader := range []string{"killed", "cut"} {
					for _, second := range times(0.2, 0.7, 1.5, 3.5) {
						for _, restarted := range times(-0.3, 0.1) {
							if primaryAt == noTime && primary != "drain" || leaderAt == noTime && leader != "killed" {
								continue // the same as another one
							}
							days = append(days, drillDay{primary, primaryAt, leader, leaderAt, second, restarted})
						}
					}
				}
			}
		}
	}
	return days
}

// Times of a drill day from the start of the fleet.
const (
	drillCopyAt   = 5 * time.Second
	drillReturnAt = 8200 * time.Millisecond
	drillAbsence  = 300 * time.Millisecond // of the store before it returns
	drillEnd      = 26 * time.Second       // from the return: two settlings and a replacement
	drillRewrite  = 500 * time.Millisecond // until the operator and the targets have written their keys again
	drillOutage   = 4 * time.Second        // of a leader or a primary
	// drillIsolation is longer than a permission to use primaries.
	drillIsolation = 10 * time.Second
	drillRestart   = time.Second
	maxDrillGap    = 3 * time.Second // since the last write of each caller at the end
)

// play plays the day and returns what broke a promise to callers.
func (d drillDay) play(t *testing.T) (problems []string) {
	f := newVirtualFleet(t, 3, 4)
	time.Sleep(drillCopyAt)
	copied := f.store.Copy()
	comeBack := func() {
		f.store.RefuseRequests(nil)
		f.store.Restore(copied, func(string) time.Duration { return drillRewrite })
	}
	at := func(offset time.Duration, event func()) {
		if offset != noTime {
			time.AfterFunc(drillReturnAt-drillCopyAt+offset, event)
		}
	}
	alone := f.hosts[3]
	if d.primary == "alone" {
		alone.start()
	}
	at(-drillAbsence, func() { f.store.RefuseRequests(func(*http.Request) bool { return true }) })
	at(0, comeBack)
	at(d.secondReturn, comeBack)
	at(d.primaryAt, func() {
		m := f.targets.primary()
		switch d.primary {
		case "drain":
			f.targets.drain(m)
			return
		case "alone":
			f.targets.cutOff(m, alone.id())
			alone.setAlone(true)
			time.AfterFunc(drillIsolation, func() { alone.setAlone(false) })
			time.AfterFunc(drillIsolation, func() { f.targets.heal(m) })
		default:
			f.targets.cutOff(m, "")
			time.AfterFunc(drillOutage, func() { f.targets.heal(m) })
		}
	})
	at(d.leaderAt, func() {
		switch h := f.leader(); {
		case h == nil:
		case d.leader == "cut":
			h.setCut(true)
			time.AfterFunc(drillOutage, func() { h.setCut(false) })
		default:
			h.kill()
			time.AfterFunc(drillRestart, h.start)
		}
	})
	at(d.restartedHostAt, func() {
		if h := f.follower(); h != nil && h != alone {
			h.kill()
			time.AfterFunc(drillRestart, h.start)
		}
	})
	time.Sleep(drillReturnAt - drillCopyAt + drillEnd)
	now := time.Now()
	problems = f.end()
	for i, last := range f.lastAck {
		if gap := now.Sub(last); gap > maxDrillGap {
			problems = append(problems, fmt.Sprintf("caller %d has written nothing for %v", i, gap))
		}
	}
	return problems
}

// Guards against commits at a primary that has been replaced, reads without a commit that they have to see, tokens that go back, and
// services that stay without a primary, in combinations of a return of the store with a second one, a primary that drains or goes dark, a
// leader that is killed or cut off from the store, and a host that starts again.
func TestDrillDays(t *testing.T) {
	useVirtualTime(t)
	days, stride := drillDays(), drillStride()
	failed := make([][]string, len(days))
	t.Run("days", func(t *testing.T) {
		for i := 0; i < len(days); i += stride {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { failed[i] = days[i].play(t) })
			})
		}
	})
	for i, problems := range failed {
		for _, problem := range problems {
			t.Errorf("day %d, %v: %s", i, days[i], problem)
		}
	}
	t.Logf("%d of %d days", (len(days)+stride-1)/stride, len(days))
}

// drillStride returns the distance between the days that are played: all of them take minutes.
func drillStride() int {
	if n, err := strconv.Atoi(os.Getenv("DRILL_STRIDE")); err == nil && n > 0 {
		return n
	}
	return 61
}
