// Package concurrency learns how many statements a target can run at once, and how fast it is compared with the other
// targets of its service.
//
// It answers a load in which the targets of one service differ in speed by a factor of five, some of them slow down long
// before their slots are in use, and both change while traffic runs. The statements themselves differ too: one route's take
// five times as long as another's, and one in 33 takes seven times its mean. A limit that is taken from the configuration
// overloads such a target, and its callers wait in the target's queue instead of on a faster one.
//
// A Limiter compares the times of statements under its present limit with those at half of it or less (a latency gradient,
// as in TCP Vegas: Brakmo, O'Malley and Peterson, SIGCOMM 1994). While the ratio is small it raises the limit by one at a
// time; when it is large, or the target answers BUSY, it reduces the limit by a factor. Times are compared by the mean of
// their logarithms after the usual length of the statement's class was subtracted, so that neither a class of long
// statements nor a single slow one counts as slowness of the target.
//
// The package is pure: time is an argument. The types are not safe for concurrent use.
package concurrency

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// DefaultSlots is the assumed number of slots of a target that states none. It is what the users' targets have.
	DefaultSlots = 4
	// windowSamples is the number of times that a decision is based on. The mean logarithm of 24 exponentially distributed
	// times has a standard deviation of 0.26, half of shrinkGradient.
	windowSamples = 24
	// windowAge is the age at which a window that is not full is closed. A target that reaches its limit less often than
	// windowSamples in this time needs no decrease.
	windowAge = 2 * time.Second
	// minGrowthSamples is the number of times that allow an increase when a window is closed by its age.
	minGrowthSamples = 6
	// growGradient is the logarithm of the ratio of times up to which the limit grows: 1.45. With one statement more than
	// slots the ratio is 1.25 at four slots.
	growGradient = 0.37
	// shrinkGradient is the logarithm of the ratio of times from which on the limit shrinks: 1.7. At this ratio each
	// statement of a target with four slots gets less than 0.6 of a slot's work.
	shrinkGradient = 0.53
	// shrinkWindows is the number of windows in a row that must ask for a decrease. One in 20 windows of a healthy target
	// does so by chance.
	shrinkWindows = 2
	// checkSamples is the number of times after a decrease that decide whether it stays.
	checkSamples = 2 * windowSamples
	// checkWindow is the number of times after which it is decided earlier if the throughput differs by more than
	// checkMargin divided by the root of the number of times: three standard deviations of the mean logarithm.
	checkWindow, checkMargin = 12, 1.8
	// maxLoss is the logarithm of the ratio by which throughput may fall after a decrease: 1.1. If it falls more, the slowness
	// has nothing to do with the limit, and the decrease is withdrawn.
	maxLoss = 0.1
	// maxDecrease is the smallest factor of a decrease by times.
	maxDecrease = 0.6
	// minHoldPause and maxHoldPause bound the time without another decrease after one that was withdrawn. The pause doubles
	// with each that is withdrawn in a row.
	minHoldPause, maxHoldPause = 2 * time.Second, 16 * time.Second
	// busyDecrease is the factor of a decrease after BUSY.
	busyDecrease = 0.7
	// busyInterval is the minimum time between two decreases after BUSY: statements that were sent together are often
	// refused together.
	busyInterval = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the time before a limit is tried again that was too high. The pause doubles with
	// each failure.
	minRetryPause, maxRetryPause = time.Second, 16 * time.Second
	// baseSamples is the number of times in the moving average of the base.
	baseSamples = 24
	// firstProbeAfter and probeInterval are the times without a base sample after which a saturated target is measured at
	// half of its limit, as long as the base is known from few samples, and later. A measurement takes 0.1 to 0.5 s, so it
	// costs up to 3% of the throughput.
	firstProbeAfter, probeInterval = time.Second, 8 * time.Second
	// baseProbeSamples ends a measurement of the base, baseProbeTime at the latest.
	baseProbeSamples = 16
	baseProbeTime    = 500 * time.Millisecond
)

// Kind is the kind of a command, as far as its usual time is concerned.
type Kind uint8

// Kinds of commands.
const (
	Read Kind = iota
	Write
	Commit
	Open // the opening of a connection
)

// Class groups commands that usually take the same time.
type Class struct {
	Route string // database name of the route; empty for the opening of connections
	Kind  Kind
}

// Outcome is the result of a command on a target.
type Outcome uint8

const (
	// Done means that the target ran the command.
	Done Outcome = iota
	// Busy means that the target refused the command because it is full.
	Busy
	// Failed means that the target answered with an error or refused the connection. The time says nothing about its speed.
	Failed
	// NoAnswer means that the target did not answer in time. The time counts as a lower bound.
	NoAnswer
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string { return [...]string{"done", "busy", "failed", "no_answer"}[o] }

// Sample is the measurement of one command.
type Sample struct {
	Class   Class
	Took    time.Duration // from sending the command to its answer
	Outcome Outcome
}

// Limiter learns the limit of one target. The limit is between 1 and one more than the slots, so that the target always has
// the next statement when one ends.
type Limiter struct {
	refs     *References
	target   model.TargetID
	slots    int
	limit    float64
	running  int
	starting bool // no decrease was necessary yet: the limit grows with each round of statements

	base      float64 // mean logarithm of the times at half of the limit or less, relative to the class
	baseCount int
	baseAt    time.Time // last base sample

	window      window
	slowSum     float64 // sum of their mean logarithms
	slowWindows int     // windows in a row that asked for a decrease
	skip        int     // samples to ignore after a change: the statements that were started under the earlier limit
	decrease    *decrease
	tooHigh     int // limit that was too high, 0 if none; retried at retryAt
	wasTooHigh  int // last such limit, until it is in use again
	retryAt     time.Time
	retryPause  time.Duration
	holdUntil   time.Time     // no decrease by times before
	holdPause   time.Duration // after the next decrease that is withdrawn
	busyAt      time.Time
	probe       *baseProbe
	coldUntil   time.Time
}

// window accumulates times at the limit.
type window struct {
	start time.Time
	sum   float64
	count int
}

// decrease is a decrease that was not confirmed yet by better times.
type decrease struct {
	from int     // limit before
	mean float64 // mean logarithm of the times before
	// sum and count are those of the times since.
	sum   float64
	count int
}

// baseProbe is a measurement of the base under a reduced limit.
type baseProbe struct {
	until time.Time
	limit int // limit during the measurement
	sum   float64
	count int
}

// New returns a limiter for a target with the given number of slots (DefaultSlots if not positive), which has its own
// References. Its limit is half of the slots.
func New(slots int, now time.Time) *Limiter { return NewReferences().Limiter("", slots, now) }

// Limiter returns a limiter whose times are compared with those of the other targets of r.
func (r *References) Limiter(id model.TargetID, slots int, now time.Time) *Limiter {
	if slots <= 0 {
		slots = DefaultSlots
	}
	return &Limiter{refs: r, target: id, slots: slots, limit: max(1, float64(slots/2)), starting: true, baseAt: now,
		window: window{start: now}, retryPause: minRetryPause, holdPause: minHoldPause}
}

// SetSlots changes the number of slots. A number that is not positive changes nothing.
func (l *Limiter) SetSlots(slots int) {
	if slots > 0 && slots != l.slots {
		l.slots, l.tooHigh, l.starting = slots, 0, true
		l.limit = min(l.limit, float64(slots+1))
	}
}

// SetCold states that the target has just started and is slow until the given time. Until then its limit is at most half of
// the slots, and nothing is learned from its times.
func (l *Limiter) SetCold(until time.Time) { l.coldUntil = until }

// Limit returns the number of statements that may run on the target at once: from 1 to one more than the slots.
func (l *Limiter) Limit() int {
	if l.probe != nil {
		return max(1, l.probe.limit)
	}
	return l.Learned()
}

// Learned returns the limit without its reduction during a measurement of the base, which takes half a second at most. It
// is what metrics, logs and other hosts show.
func (l *Limiter) Learned() int { return max(1, int(l.limit)) }

// Running returns the number of commands that were started and have not finished.
func (l *Limiter) Running() int { return l.running }

// Slowdown returns the target's time relative to the best targets of the service for the same classes: 1 if it is as fast,
// or if nothing is known.
func (l *Limiter) Slowdown() float64 { return l.refs.Slowdown(l.target) }

// Start records that a command was sent to the target.
func (l *Limiter) Start(now time.Time) {
	l.running++
	if l.probe != nil && !now.Before(l.probe.until) {
		l.endProbe(now) // no statement has ended since
	}
	if l.coldUntil.After(now) {
		l.limit = min(l.limit, max(1, float64(l.slots/2)))
	}
}

// Finish records the result of a command that was started.
func (l *Limiter) Finish(now time.Time, s Sample) {
	atFinish := l.running
	l.running = max(0, l.running-1)
	switch {
	case s.Outcome == Busy:
		l.busy(now)
		return
	case s.Outcome == Failed || s.Took <= 0 || now.Before(l.coldUntil):
		return
	}
	l.refs.Observe(now, l.target, s.Class, s.Took)
	if length, known := l.refs.length(s.Class); known {
		l.observe(now, math.Log(s.Took.Seconds())-length, atFinish)
	}
}

// observe evaluates the relative time x of a command that ended while running commands were in progress, including itself.
func (l *Limiter) observe(now time.Time, x float64, running int) {
	if l.skip > 0 {
		l.skip--
		return
	}
	if l.probe != nil {
		l.observeProbe(now, x, running)
		return
	}
	limit := l.Limit()
	if running <= max(1, limit/2) {
		l.addBase(now, x)
	}
	if running < limit {
		return
	}
	if running > l.slots {
		x -= math.Log(float64(running) / float64(l.slots)) // the wait for a slot
	}
	l.window.sum += x
	l.window.count++
	full := l.window.count >= windowSamples || l.starting && l.window.count >= limit ||
		l.decrease != nil && l.window.count >= checkWindow
	old := now.Sub(l.window.start) >= windowAge
	if full || old {
		l.evaluate(now, l.window.sum/float64(l.window.count), l.window.count)
		l.window = window{start: now}
	}
	if l.probe == nil && limit > 1 && now.Sub(l.baseAt) > l.probeAfter() {
		l.probe = &baseProbe{until: now.Add(baseProbeTime), limit: max(1, limit/2)}
		l.skip = max(0, l.running-l.probe.limit)
	}
}

// probeAfter returns the time without a base sample after which the base is measured.
func (l *Limiter) probeAfter() time.Duration {
	if l.baseCount < baseSamples {
		return firstProbeAfter
	}
	return probeInterval
}

// observeProbe adds a sample to the measurement of the base.
func (l *Limiter) observeProbe(now time.Time, x float64, running int) {
	p := l.probe
	if running <= p.limit {
		p.sum += x
		p.count++
	}
	if p.count >= baseProbeSamples || !now.Before(p.until) {
		l.endProbe(now)
	}
}

// endProbe ends the measurement of the base and returns to the earlier limit.
func (l *Limiter) endProbe(now time.Time) {
	p := l.probe
	if p.count > 0 {
		weight := float64(p.count) / float64(p.count+baseProbeSamples/4)
		l.base += weight * (p.sum/float64(p.count) - l.base)
	}
	l.baseAt, l.probe = now, nil
	l.baseCount = min(l.baseCount+p.count, baseSamples)
	l.window = window{start: now}
}

// addBase adds a time at low concurrency to the base.
func (l *Limiter) addBase(now time.Time, x float64) {
	l.baseCount = min(l.baseCount+1, baseSamples)
	l.base += (x - l.base) / float64(l.baseCount)
	l.baseAt = now
}

// evaluate adjusts the limit by the mean logarithm of count times at the limit.
func (l *Limiter) evaluate(now time.Time, mean float64, count int) {
	if l.baseCount == 0 {
		l.base, l.baseCount = mean, baseSamples/4 // the target has been saturated since the start; a later probe corrects this
	}
	if d := l.decrease; d != nil {
		d.sum += mean * float64(count)
		d.count += count
		mean = d.sum / float64(d.count)
		gain := d.mean - mean - math.Log(float64(min(d.from, l.slots))/float64(l.Limit())) + maxLoss
		if d.count < checkSamples && math.Abs(gain) < checkMargin/math.Sqrt(float64(d.count)) {
			return
		}
		l.decrease = nil
		if gain < 0 {
			l.base, l.baseCount = mean, baseSamples
			l.tooHigh = 0
			l.holdUntil, l.holdPause = now.Add(l.holdPause), min(2*l.holdPause, maxHoldPause)
			l.change(float64(d.from))
			return
		}
		l.holdPause = minHoldPause
	}
	gradient := mean - l.base
	switch {
	case gradient > shrinkGradient && now.Before(l.holdUntil):
	case gradient > shrinkGradient && count >= windowSamples:
		l.slowSum += mean
		if l.slowWindows++; l.slowWindows >= shrinkWindows {
			mean = l.slowSum / float64(l.slowWindows)
			l.shrink(now, mean, mean-l.base)
		}
		return
	case gradient > shrinkGradient:
		l.starting = false
	case gradient < growGradient && count >= min(minGrowthSamples, l.Limit()):
		if l.Limit() >= l.wasTooHigh {
			l.retryPause, l.wasTooHigh = minRetryPause, 0
		}
		if gradient < -growGradient {
			l.base = mean // the target has recovered
		}
		l.grow(now)
	}
	l.slowWindows, l.slowSum = 0, 0
}

// grow raises the limit by one, unless the higher one was too high recently.
func (l *Limiter) grow(now time.Time) {
	next := l.Limit() + 1
	if next > l.slots+1 || now.Before(l.coldUntil) {
		return
	}
	if l.tooHigh > 0 && next >= l.tooHigh {
		if now.Before(l.retryAt) {
			return
		}
		l.tooHigh = 0
	}
	l.change(float64(next))
}

// shrink reduces the limit by the gradient: to one less if that one was raised because its times were good.
func (l *Limiter) shrink(now time.Time, mean, gradient float64) {
	l.starting, l.slowWindows, l.slowSum = false, 0, 0
	limit := l.Limit()
	if limit == 1 {
		l.base = mean // there is nothing to gain from a lower limit
		return
	}
	l.decrease = &decrease{from: limit, mean: mean}
	l.rememberTooHigh(now, limit)
	l.change(max(1, math.Round(float64(min(limit, l.slots))*max(maxDecrease, math.Exp(-gradient)))))
}

// busy reduces the limit after BUSY.
func (l *Limiter) busy(now time.Time) {
	l.starting = false
	if now.Sub(l.busyAt) < busyInterval {
		return
	}
	l.busyAt = now
	limit := l.Learned()
	l.decrease, l.probe = nil, nil
	if limit == 1 {
		return
	}
	l.rememberTooHigh(now, limit)
	l.change(max(1, math.Floor(float64(limit)*busyDecrease)))
	l.window = window{start: now}
}

// rememberTooHigh keeps the limit from being reached again for a while.
func (l *Limiter) rememberTooHigh(now time.Time, limit int) {
	l.tooHigh, l.wasTooHigh, l.retryAt = limit, limit, now.Add(l.retryPause)
	l.retryPause = min(2*l.retryPause, maxRetryPause)
}

// change sets the limit. Commands that were started under the earlier limit are not counted.
func (l *Limiter) change(limit float64) {
	l.limit, l.skip = limit, min(l.running, l.slots+1)
}
