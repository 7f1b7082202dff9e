// Package coldstart limits the requests to targets that have just started and are slow until their caches are filled. A
// cold target may get a few requests a second from all hosts together, so each host keeps to a share without asking the
// others. The package performs no I/O and reads no clock.
//
// It is designed for full load on many hosts at the moment when targets start, or become usable at the end of an
// evacuation: the first requests of all hosts together must stay within the bound.
package coldstart

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A cold target of a service with a rate of c requests a second may get 1.5 c + 5 requests in any second. Hosts send at
// most c + burstFraction c + baseBurst; the rest is for the leader, which sends at most three requests in a second
// (ProbeInterval), and for hosts that divide the rate differently for a moment because they know of different hosts.
const (
	burstFraction = 0.4
	baseBurst     = 2.0
)

// ProbeInterval is the minimum time between the leader's requests to a cold target.
const ProbeInterval = 400 * time.Millisecond

// Rate is the share of a host: PerSecond requests a second in the long run and Burst at once.
type Rate struct{ PerSecond, Burst float64 }

// Share returns the share of the host own of a rate perSecond for each cold target. weights holds the weight of each host
// that may connect to the target, for example its number of connections, in an order that is the same on all hosts. A
// request needs a whole token, so only as many hosts as the common burst has tokens get a share: those of the highest
// weight.
func Share(perSecond float64, weights []float64, own int) Rate {
	order := make([]int, 0, len(weights))
	for i, w := range weights {
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	burst := burstFraction*perSecond + baseBurst
	order = order[:min(len(order), int(math.Floor(burst)))]
	if !slices.Contains(order, own) {
		return Rate{}
	}
	total := 0.0
	for _, i := range order {
		total += weights[i]
	}
	fraction := weights[own] / total
	return Rate{PerSecond: perSecond * fraction, Burst: 1 + (burst-float64(len(order)))*fraction}
}

// Bucket counts the requests of a host to a cold target. Its zero value is full. Requests that cannot be held back, such
// as those of open transactions, may leave a debt.
type Bucket struct {
	tokens float64
	at     time.Time // zero before the first use
}

// Allows reports whether a request may be sent at the time now.
func (b *Bucket) Allows(now time.Time, r Rate) bool {
	b.fill(now, r)
	return b.tokens >= 1
}

// Take takes tokens for n requests that are sent at the time now.
func (b *Bucket) Take(now time.Time, r Rate, n int) {
	b.fill(now, r)
	b.tokens -= float64(n)
}

func (b *Bucket) fill(now time.Time, r Rate) {
	if b.at.IsZero() {
		b.tokens = r.Burst
	} else if now.After(b.at) {
		b.tokens += now.Sub(b.at).Seconds() * r.PerSecond
	}
	b.tokens, b.at = min(b.tokens, r.Burst), now
}
