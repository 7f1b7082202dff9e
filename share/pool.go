package share

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// poolWindow is the period whose expected demand a pool holds tokens for. It is the interval of its exchanges with
	// the broker.
	poolWindow = 250 * time.Millisecond
	// poolTTL is the time after which a pool returns tokens that nobody has taken. It bounds how many tokens beyond the
	// burst can be used at once after a time with less demand: those of half a second.
	poolTTL = 500 * time.Millisecond
	// minPooledDemand is the demand in operations per second below which a pool holds no tokens of a workspace.
	minPooledDemand = 0.5
)

// Pool holds tokens that one host has taken from the broker for all hosts of its data centre. In a fleet whose limits are
// too small for fixed shares nearly each operation needs a token from the broker, and its host sees too few operations of
// a workspace to request several at once; the hosts of a data centre together see enough. A token is granted by the
// broker, and passed on by the pool or returned, once; so the limits hold with any number of pools. It is not safe for
// concurrent use.
type Pool struct {
	buckets map[model.Workspace]*hostBucket
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{buckets: map[model.Workspace]*hostBucket{}} }

func (p *Pool) bucket(workspace model.Workspace) *hostBucket {
	b := p.buckets[workspace]
	if b == nil {
		b = &hostBucket{}
		p.buckets[workspace] = b
	}
	return b
}

// Take takes up to n whole tokens that the pool holds.
func (p *Pool) Take(now time.Time, workspace model.Workspace, n float64) (granted float64) {
	b := p.bucket(workspace)
	b.recordDemand(now)
	for granted+1 <= n && b.takeUnexpired(now) {
		granted++
	}
	return granted
}

// takeUnexpired takes a token that has not expired. Expired ones stay until they are returned.
func (b *hostBucket) takeUnexpired(now time.Time) bool {
	for i := range b.grants {
		if b.grants[i].tokens >= 1 && now.Before(b.grants[i].expiry) {
			b.grants[i].tokens--
			return true
		}
	}
	return false
}

// Add adds tokens that the broker has granted.
func (p *Pool) Add(now time.Time, workspace model.Workspace, tokens float64) {
	if tokens >= 1 {
		p.bucket(workspace).addGranted(math.Floor(tokens), now.Add(poolTTL))
	}
}

// Exchange returns the tokens that the pool requests from the broker for the next poolWindow, and those that it gives
// back because nobody has taken them.
func (p *Pool) Exchange(now time.Time) (wanted, returned map[model.Workspace]float64) {
	wanted, returned = map[model.Workspace]float64{}, map[model.Workspace]float64{}
	for workspace, b := range p.buckets {
		held := 0.0
		kept := b.grants[:0]
		for _, g := range b.grants {
			switch {
			case g.tokens < 1:
			case now.Before(g.expiry):
				held += g.tokens
				kept = append(kept, g)
			default:
				returned[workspace] += g.tokens
			}
		}
		b.grants = kept
		demand := b.demand * math.Exp2(-now.Sub(b.demandUpdated).Seconds())
		if demand < minPooledDemand {
			if len(kept) == 0 {
				delete(p.buckets, workspace)
			}
			continue
		}
		if missing := math.Ceil(demand*poolWindow.Seconds()) + 1 - held; missing >= 1 {
			wanted[workspace] = missing
		}
	}
	return wanted, returned
}
