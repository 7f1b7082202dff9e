package fairqueue

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time in which the weight of used slot time decays to 1/e. It bounds the debt of a workspace
	// after slow statements, and its credit after a pause, to one second per slot.
	usageTimeConstant = time.Second
	// MaxCredit bounds, in seconds of slot time, how much less usage a workspace may have than the next waiting one. Without
	// it, a workspace that returns after a pause would take every slot for 0.7 × usageTimeConstant.
	MaxCredit = 0.2
	// maxExponent is the age of an epoch, in multiples of usageTimeConstant, at which a new one begins. It is far below
	// the exponent at which the weights would overflow.
	maxExponent = 100
)

// Decay weighs used slot time so that it decays exponentially. Decaying it as time passes would require an update of every
// workspace. Instead, later slot time has a greater weight, by a factor of e for each second since the epoch. The order of
// the workspaces is the same. The zero value is ready for use.
type Decay struct{ epoch time.Time }

// Advance begins a new epoch if the current one is old, and must be called before the other methods. If it reports true,
// the caller multiplies every amount of weighted slot time by scale.
func (d *Decay) Advance(now time.Time) (scale float64, advanced bool) {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	exponent := now.Sub(d.epoch).Seconds() / usageTimeConstant.Seconds()
	if exponent < maxExponent {
		return 1, false
	}
	d.epoch = now
	return math.Exp(-exponent), true
}

// Weight returns the weight of slot time used at the given time, in the scale of the epoch.
func (d *Decay) Weight(at time.Time) float64 {
	return math.Exp(at.Sub(d.epoch).Seconds() / usageTimeConstant.Seconds())
}

// SlotTime returns the weighted slot time between two times in seconds, in the scale of the epoch.
func (d *Decay) SlotTime(from, to time.Time) float64 {
	if !to.After(from) {
		return 0
	}
	return usageTimeConstant.Seconds() * (d.Weight(to) - d.Weight(from))
}
