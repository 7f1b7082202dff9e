// Package share divides the rate and burst of each workspace over the hosts. One host, the broker, gives every host a
// fraction of each limit in proportion to what its callers ask for; a host that the broker does not reach falls back to a
// small fixed part. The fractions that are out at any moment add up to at most one. The package is pure.
//
// The load that it answers: callers of a workspace that sit on few hosts, so that equal parts would refuse requests inside
// the limit, and a workspace that asks for many times its rate.
package share

import (
	"maps"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// fixedPart is the part of a limit that is divided equally and needs no broker. A quarter leaves three quarters to
	// follow the callers.
	fixedPart = 0.25
	// Validity is the time for which a host may use a fraction, from the time at which it asked. It outlasts the usual
	// outages of the store, during which no new broker can be chosen.
	Validity = 10 * time.Second
	// validityMargin is added by the broker for clocks that run at different rates.
	validityMargin = 200 * time.Millisecond
	// idleWeight is what a host without demand counts in the division, as a part of the mean demand, so that a first
	// request finds a token.
	idleWeight = 0.3
	// demandDecay is the part of the previous demand that a report keeps; a change of load shows after about three
	// reports.
	demandDecay = 0.7
)

// Demand is the number of operations that callers of a host asked for since its last report, by workspace.
type Demand map[model.Workspace]float64

// Fractions are the parts of the limits that a host may use beyond its fixed part, by workspace.
type Fractions map[model.Workspace]float64

// Report is what a host tells the broker.
type Report struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Received    uint64 // number of the last grant that the host received from this broker
	Held        Fractions
	Demand      Demand
}

// Granted is the broker's answer to a report.
type Granted struct {
	Number    uint64
	Fractions Fractions
}

type borrower struct {
	incarnation model.Incarnation
	number      uint64
	demand      Demand
	latest      Fractions // the last grant
	previous    Fractions // what the host may still use until it confirms the last grant
	until       time.Time
}

// Broker divides the limits. It is not safe for concurrent use.
type Broker struct {
	hosts    map[model.HostID]*borrower
	openFrom time.Time // until then hosts may hold fractions that this broker has not heard of
}

// NewBroker returns a broker. Unless it is the first broker of all, other hosts may hold fractions of an earlier one, so
// it only renews what hosts report until those have expired.
func NewBroker(now time.Time, first bool) *Broker {
	b := &Broker{hosts: map[model.HostID]*borrower{}}
	if !first {
		b.openFrom = now.Add(Validity + validityMargin)
	}
	return b
}

// Known tells the broker that it has heard of every host that can hold a fraction, so that it need not wait for old ones
// to expire.
func (b *Broker) Known() { b.openFrom = time.Time{} }

// Heard reports whether the incarnation of the host has reported to this broker.
func (b *Broker) Heard(host model.HostID, incarnation model.Incarnation) bool {
	h := b.hosts[host]
	return h != nil && h.incarnation == incarnation
}

// Report takes the report of a host and returns its new fractions.
func (b *Broker) Report(now time.Time, r Report) Granted {
	h := b.hosts[r.Host]
	if h == nil || h.incarnation != r.Incarnation {
		h = &borrower{incarnation: r.Incarnation, demand: Demand{}, latest: r.Held}
		b.hosts[r.Host] = h
	}
	if r.Received == h.number {
		h.previous = nil
	}
	h.observe(r.Demand)
	b.expire(now)
	next := Fractions{}
	for workspace := range h.demand {
		wanted := (1 - fixedPart) * b.weight(h, workspace)
		next[workspace] = max(0, min(wanted, 1-fixedPart-b.outstanding(h, workspace)))
		if now.Before(b.openFrom) {
			next[workspace] = min(next[workspace], h.holds(workspace))
		}
	}
	h.previous = h.upper()
	h.latest = next
	h.number++
	h.until = now.Add(Validity + validityMargin)
	return Granted{Number: h.number, Fractions: next}
}

func (h *borrower) observe(d Demand) {
	for workspace := range h.demand {
		h.demand[workspace] *= demandDecay
	}
	for workspace, n := range d {
		h.demand[workspace] += n
	}
}

// holds returns the greatest fraction of a workspace that the host may be using.
func (h *borrower) holds(workspace model.Workspace) float64 {
	return max(h.latest[workspace], h.previous[workspace])
}

func (h *borrower) upper() Fractions {
	all := maps.Clone(h.latest)
	if all == nil {
		all = Fractions{}
	}
	for workspace, f := range h.previous {
		all[workspace] = max(all[workspace], f)
	}
	return all
}

func (b *Broker) outstanding(except *borrower, workspace model.Workspace) float64 {
	sum := 0.0
	for _, h := range b.hosts {
		if h != except {
			sum += h.holds(workspace)
		}
	}
	return sum
}

func (b *Broker) weight(h *borrower, workspace model.Workspace) float64 {
	total := 0.0
	for _, other := range b.hosts {
		total += other.demand[workspace]
	}
	if total == 0 {
		return 1 / float64(len(b.hosts))
	}
	idle := idleWeight * total / float64(len(b.hosts))
	return (h.demand[workspace] + idle) / (total * (1 + idleWeight))
}

func (b *Broker) expire(now time.Time) {
	maps.DeleteFunc(b.hosts, func(_ model.HostID, h *borrower) bool {
		return !h.until.IsZero() && now.After(h.until)
	})
}

type bucket struct {
	level   float64
	updated time.Time
}

// Limiter admits the operations of one host. It is not safe for concurrent use.
type Limiter struct {
	limits    map[model.Workspace]catalog.Limit
	hosts     int
	fractions Fractions
	until     time.Time
	received  uint64
	buckets   map[model.Workspace]*bucket
	demand    Demand
}

// NewLimiter returns a limiter without limits, which admits nothing.
func NewLimiter() *Limiter {
	return &Limiter{hosts: 1, buckets: map[model.Workspace]*bucket{}, demand: Demand{}}
}

// SetLimits replaces the limits and the number of hosts that the fixed part is divided by.
func (l *Limiter) SetLimits(now time.Time, limits map[model.Workspace]catalog.Limit, hosts int) {
	for workspace := range limits {
		l.refill(now, workspace)
	}
	l.limits, l.hosts = limits, max(hosts, 1)
}

// Grant takes over an answer of the broker to a question that was asked at the given time.
func (l *Limiter) Grant(now, asked time.Time, g Granted) {
	for workspace := range l.limits {
		l.refill(now, workspace)
	}
	l.fractions, l.until, l.received = g.Fractions, asked.Add(Validity), g.Number
}

// Report returns the report for the broker and starts to count demand anew.
func (l *Limiter) Report(now time.Time) Report {
	r := Report{Received: l.received, Demand: l.demand}
	if now.Before(l.until) {
		r.Held = l.fractions
	}
	l.demand = make(Demand, len(l.limits))
	for workspace := range l.limits {
		l.demand[workspace] = 0
	}
	return r
}

// Admit takes a token for an operation of the workspace. The operation may start after the returned wait; it is refused
// when no token comes within the longest wait, and then the wait tells when one will.
func (l *Limiter) Admit(now time.Time, workspace model.Workspace, longest time.Duration) (bool, time.Duration) {
	limit, known := l.limits[workspace]
	if !known {
		return true, 0 // only callers of public routes have no workspace with a limit
	}
	l.demand[workspace]++
	b := l.refill(now, workspace)
	if b.level >= 1 {
		b.level--
		return true, 0
	}
	rate := l.fraction(now, workspace) * limit.PerSecond
	if rate <= 0 {
		return false, time.Second
	}
	wait := time.Duration((1 - b.level) / rate * float64(time.Second))
	if wait > longest {
		return false, wait
	}
	b.level--
	return true, wait
}

// Fraction returns the part of the workspace's limit that this host may use now.
func (l *Limiter) fraction(now time.Time, workspace model.Workspace) float64 {
	f := fixedPart / float64(l.hosts)
	if now.Before(l.until) {
		f += l.fractions[workspace]
	}
	return f
}

func (l *Limiter) refill(now time.Time, workspace model.Workspace) *bucket {
	b := l.buckets[workspace]
	if b == nil {
		b = &bucket{updated: now}
		l.buckets[workspace] = b
	}
	limit, f := l.limits[workspace], l.fraction(now, workspace)
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level += elapsed * f * limit.PerSecond
		b.updated = now
	}
	b.level = min(b.level, max(1, f*limit.Burst))
	return b
}
