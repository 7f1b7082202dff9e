package balance

import (
	"math/bits"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
)

const (
	// outcomeWindow is the number of statements that a target is judged by.
	outcomeWindow = 16
	// minOutcomes is the number of statements after which a target can be taken out.
	minOutcomes = 5
	// maxFailureShare is the share of failures from which on a target is taken out. A healthy target that answers one
	// statement in 33 late stays far below it.
	maxFailureShare = 0.5
	// minBusyOutcomes and maxBusyShare apply to BUSY, which a healthy target answers under overload too: a target that answers
	// almost nothing else serves nobody.
	minBusyOutcomes = 10
	maxBusyShare    = 0.9
	// minProbePause and maxProbePause bound the time between the probes of a target that was taken out. The pause doubles
	// with each failed probe.
	minProbePause, maxProbePause = 500 * time.Millisecond, 8 * time.Second
	// relapseTime is the time after the return in which a target that fails again continues with its last pause.
	relapseTime = 30 * time.Second
)

// ejection decides whether a target is taken out.
type ejection struct {
	failures uint32 // bit i is set if the i-th last statement failed
	busy     uint32 // bit i is set if the i-th last statement was answered BUSY
	count    int
	out      bool
	probing  bool
	probeAt  time.Time     // next probe
	pause    time.Duration // after the next failed probe
	returned time.Time
}

// record adds an outcome. The target is taken out only if allowed is true.
func (j *ejection) record(now time.Time, outcome concurrency.Outcome, allowed bool) Change {
	failed := outcome == concurrency.Failed || outcome == concurrency.NoAnswer
	if j.out {
		return j.recordProbe(now, failed, outcome == concurrency.Busy)
	}
	const mask = 1<<outcomeWindow - 1
	j.failures = j.failures << 1 & mask
	j.busy = j.busy << 1 & mask
	if failed {
		j.failures |= 1
	}
	if outcome == concurrency.Busy {
		j.busy |= 1
	}
	j.count = min(j.count+1, outcomeWindow)
	if !allowed || outcome == concurrency.Done || !j.misbehaves() {
		return Unchanged
	}
	if j.pause == 0 || now.Sub(j.returned) > relapseTime {
		j.pause = minProbePause
	}
	j.out, j.probing = true, false
	j.scheduleProbe(now)
	return TakenOut
}

// misbehaves reports whether the outcomes are those of a target that serves nobody.
func (j *ejection) misbehaves() bool {
	failures, busy := bits.OnesCount32(j.failures), bits.OnesCount32(j.busy)
	return j.count >= minOutcomes && float64(failures) >= maxFailureShare*float64(j.count) ||
		j.count >= minBusyOutcomes && float64(failures+busy) >= maxBusyShare*float64(j.count)
}

// penalty returns the expected number of attempts that a statement needs on the target, maxFailurePenalty at most.
func (j *ejection) penalty() float64 {
	if j.failures == 0 || j.count < minOutcomes {
		return 1
	}
	succeeded := 1 - float64(bits.OnesCount32(j.failures))/float64(j.count)
	return 1 / max(succeeded, 1.0/maxFailurePenalty)
}

// scheduleProbe sets the time of the next probe and doubles the pause.
func (j *ejection) scheduleProbe(now time.Time) {
	j.probeAt = now.Add(j.pause)
	j.pause = min(2*j.pause, maxProbePause)
}

// recordProbe evaluates the outcome of a statement on a target that is taken out. Outcomes before the first probe change
// nothing. A late answer to an earlier statement may be taken for that of the probe: it shows as well that the target
// serves.
func (j *ejection) recordProbe(now time.Time, failed, busy bool) Change {
	if !j.probing {
		return Unchanged
	}
	j.probing = false
	if failed || busy {
		return Unchanged // the next probe is scheduled
	}
	j.out, j.failures, j.busy, j.count, j.returned = false, 0, 0, 0, now
	return Returned
}

// takeProbe reports whether the target is due for a probe, which is the statement that the caller is about to send. The
// next one is due after the pause, also if the statement is not sent.
func (j *ejection) takeProbe(now time.Time) bool {
	if !j.out || now.Before(j.probeAt) {
		return false
	}
	j.probing = true
	j.scheduleProbe(now)
	return true
}
