// Package share divides the rate and burst of each workspace over the hosts. A small fixed part of each limit belongs to the
// hosts equally; the rest is one bucket at the broker, from which hosts take tokens when their own part is used up. A host
// that does not reach the broker uses its equal part of the whole limit instead, and the broker leaves that much out: it
// hands out the parts of its members only. So hosts that a partition keeps from each other may have a broker on each side.
// The tokens of all hosts together never exceed the limit. The package is pure.
//
// The load that it answers: callers of a workspace that sit on few hosts, so that equal parts would refuse operations
// inside the limit, small workspaces whose equal parts are below one operation a second, and a workspace that asks for many
// times its rate.
package share

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// fixedPart is the usual part of a limit that is divided equally while hosts reach the broker. More of it spares
	// questions to the broker; less of it lies unused at hosts without callers of the workspace.
	fixedPart = 0.1
	// heardFor is the time for which a report proves to the broker that a host uses its fixed part only. It is shorter than
	// aloneAfter, so that the broker leaves the host's equal part out before the host uses it.
	heardFor = 500 * time.Millisecond
	// aloneAfter is the time without an answer of the broker after which a host uses its equal part of the whole limit. It
	// is three reports.
	aloneAfter = 800 * time.Millisecond
	// startingPart is the part of its equal part of a second's rate that a host starts with, and hands over to its broker. All hosts together start with
	// a third of a second's rate after a crash of all, which stays inside the tenth by which a limit may be exceeded in
	// five seconds.
	startingPart = 0.3
	// prefetch is the time whose demand a host takes from the broker at once; it bounds the questions to some ten a second
	// for each workspace.
	prefetch = 60 * time.Millisecond
	// lentFor is the time for which tokens of the broker are kept.
	lentFor = time.Second
	// handOverReserve is the time whose rate a broker keeps while it hands over, which takes two calls of the store.
	handOverReserve = 300 * time.Millisecond
	// unmetMemory is the time after which half of the denied questions have come back or have given up.
	unmetMemory = 50 * time.Millisecond
	// emptyFor is the longest time for which a host does not ask again after the broker had no token.
	emptyFor = 250 * time.Millisecond
)

// fixedPartOf returns the part of a limit that is divided equally while hosts reach the broker. It is nothing where a host's
// bucket would not hold a token: one token at each host of a large fleet could be more than the burst.
func fixedPartOf(limit catalog.Limit, hosts int) float64 {
	if limit.Burst*fixedPart < float64(hosts) {
		return 0
	}
	return fixedPart
}

// Limits are the limits of all workspaces.
type Limits map[model.Workspace]catalog.Limit

type bucket struct {
	level   float64
	updated time.Time
}

// refill adds what a rate has brought since the last refill, up to the burst. At least one token fits.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 && !b.updated.IsZero() {
		b.level += elapsed * rate
	}
	if now.After(b.updated) {
		b.updated = now
	}
	b.level = min(b.level, max(1, burst))
}

// untilToken returns the time until the bucket has a token beyond those that others wait for.
func (b *bucket) untilToken(rate, waiting float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(max(0, 1+waiting-b.level) / rate * float64(time.Second)))
}

// pooled is a broker's bucket of a workspace.
type pooled struct {
	bucket
	unmet  float64 // denied questions that probably wait, averaged
	denied time.Time
}

// deny records a question without a token and returns the number of those before it that probably wait.
func (p *pooled) deny(now time.Time) float64 {
	waiting := p.unmet * math.Exp2(-now.Sub(p.denied).Seconds()/unmetMemory.Seconds())
	p.unmet, p.denied = waiting+1, now
	return waiting
}

// Broker hands out what is not divided. It is not safe for concurrent use.
type Broker struct {
	limits  Limits
	hosts   int
	created time.Time
	heard   map[model.HostID]time.Time // last report of a host that uses its fixed part only
	buckets map[model.Workspace]*pooled
	closed  bool // it has handed over, and has only its reserve
}

// NewBroker returns a broker with empty buckets. It regards every host as alone until it reports.
func NewBroker(now time.Time) *Broker {
	return &Broker{created: now, heard: map[model.HostID]time.Time{}, buckets: map[model.Workspace]*pooled{}, hosts: 1}
}

// State is what a broker that stops hands over to its successor.
type BrokerState struct {
	Levels     map[model.Workspace]float64    // tokens that are left
	ReportAges map[model.HostID]time.Duration // time since the last report of a host that uses its fixed part only
}

// HandOver returns the state that the successor goes on from. The broker keeps a reserve, at most half of what is left, and
// hands out nothing else afterwards.
func (b *Broker) HandOver(now time.Time) BrokerState {
	s := BrokerState{Levels: map[model.Workspace]float64{}, ReportAges: map[model.HostID]time.Duration{}}
	for workspace, limit := range b.limits {
		part, k := b.part(now, limit), b.bucket(workspace)
		k.refill(now, part*limit.PerSecond, part*limit.Burst)
		reserve := math.Floor(min(part*limit.PerSecond*handOverReserve.Seconds(), k.level/2))
		s.Levels[workspace] = k.level - reserve
		k.level = reserve
	}
	for host, at := range b.heard {
		s.ReportAges[host] = now.Sub(at)
	}
	b.closed = true
	return s
}

// Succeed returns a broker that goes on from the state of another one.
func RestoreBroker(now time.Time, s BrokerState) *Broker {
	b := NewBroker(now)
	for workspace, level := range s.Levels {
		b.buckets[workspace] = &pooled{bucket: bucket{level: level, updated: now}}
	}
	for host, age := range s.ReportAges {
		b.heard[host] = now.Add(-age)
	}
	return b
}

// SetLimits replaces the limits and the number of registered hosts.
func (b *Broker) SetLimits(limits Limits, hosts int) { b.limits, b.hosts = limits, max(hosts, 1) }

// Report takes a report of a host. A host that is alone uses its equal part of the whole limit.
func (b *Broker) HandleReport(now time.Time, host model.HostID, alone bool) {
	if alone {
		delete(b.heard, host)
		return
	}
	b.heard[host] = now
}

// Deposit takes over the tokens that a host has left when it becomes a member.
func (b *Broker) Deposit(now time.Time, tokens map[model.Workspace]float64) {
	if b.closed {
		return
	}
	for workspace, n := range tokens {
		limit := b.limits[workspace]
		part, k := b.part(now, limit), b.bucket(workspace)
		k.refill(now, part*limit.PerSecond, part*limit.Burst)
		k.level = min(k.level+n, max(1, part*limit.Burst))
	}
}

// Take hands out up to n tokens, whole ones. Without a token the wait tells when there may be one, after those that others
// were denied before.
func (b *Broker) Take(now time.Time, workspace model.Workspace, n float64) (granted float64, wait time.Duration) {
	limit := b.limits[workspace]
	part, k := b.part(now, limit), b.bucket(workspace)
	if !b.closed {
		k.refill(now, part*limit.PerSecond, part*limit.Burst)
	}
	granted = math.Floor(min(n, k.level))
	if granted > 0 {
		k.level -= granted
		return granted, 0
	}
	return 0, k.untilToken(part*limit.PerSecond, k.deny(now))
}

// bucket returns the bucket of a workspace, which has filled since the broker was created.
func (b *Broker) bucket(workspace model.Workspace) *pooled {
	k := b.buckets[workspace]
	if k == nil {
		k = &pooled{bucket: bucket{updated: b.created}}
		b.buckets[workspace] = k
	}
	return k
}

// Members returns the number of hosts that use their fixed part only.
func (b *Broker) MemberCount(now time.Time) int {
	for host, at := range b.heard {
		if now.Sub(at) > heardFor {
			delete(b.heard, host)
		}
	}
	return len(b.heard)
}

// part returns the part of a limit that no host uses on its own.
func (b *Broker) part(now time.Time, limit catalog.Limit) float64 {
	members := float64(min(b.MemberCount(now), b.hosts)) / float64(b.hosts)
	return members * (1 - fixedPartOf(limit, b.hosts))
}

type account struct {
	bucket
	lent      float64 // tokens of the broker
	lentUntil time.Time
	empty     time.Time // until then the broker is not asked
	demand    float64   // operations a second, averaged
	seen      time.Time
}

// Verdict is the answer to an operation that wants to start.
type Decision struct {
	Admitted bool
	// Ask is the number of tokens to ask the broker for, if the operation is not admitted yet.
	TokensToRequest float64
	// Wait is the time until this host will have a token of its own.
	Wait time.Duration
}

// Limiter admits the operations of one host. It is not safe for concurrent use.
type Limiter struct {
	limits   Limits
	hosts    int
	answered time.Time // when the last report that the broker answered was sent
	accounts map[model.Workspace]*account
}

// NewLimiter returns a limiter without limits, which admits everything.
func NewLimiter() *Limiter {
	return &Limiter{hosts: 1, accounts: map[model.Workspace]*account{}}
}

// SetLimits replaces the limits and the number of hosts that the fixed part is divided by.
func (l *Limiter) SetLimits(now time.Time, limits Limits, hosts int) {
	for workspace := range l.limits {
		l.account(now, workspace) // what has come in so far came in at the old rate
	}
	l.limits, l.hosts = limits, max(hosts, 1)
}

// Join lets this host use its fixed part only, from the time at which it reports that to a broker. It returns the tokens that
// do not fit into the fixed part, for the broker.
func (l *Limiter) JoinBroker(now, sent time.Time) map[model.Workspace]float64 {
	surplus := map[model.Workspace]float64{}
	for workspace, limit := range l.limits {
		a := l.account(now, workspace)
		if over := a.level - fixedPartOf(limit, l.hosts)/float64(l.hosts)*limit.Burst; over > 0 {
			surplus[workspace] = over
			a.level -= over
		}
	}
	l.answered = sent
	return surplus
}

// Answered records that the broker has answered a report that was sent at the given time.
func (l *Limiter) BrokerAnswered(now, sent time.Time) {
	for workspace := range l.limits {
		l.account(now, workspace)
	}
	l.answered = sent
}

// Alone reports whether the host uses its equal part of the whole limit.
func (l *Limiter) Standalone(now time.Time) bool { return now.Sub(l.answered) > aloneAfter }

// Admit takes a token for an operation of the workspace. An operation that is not admitted may ask the broker, add what it
// gets, and try Take; or it tries again after the wait.
func (l *Limiter) Admit(now time.Time, workspace model.Workspace, again bool) Decision {
	limit, known := l.limits[workspace]
	if !known {
		return Decision{Admitted: true} // only callers of public routes have no workspace with a limit
	}
	a := l.account(now, workspace)
	if !again {
		a.count(now)
	}
	if l.Take(now, workspace) {
		return Decision{Admitted: true}
	}
	v := Decision{Wait: a.untilToken(l.part(now, limit)*limit.PerSecond, 0)}
	switch {
	case l.Standalone(now):
	case now.Before(a.empty):
		v.Wait = min(v.Wait, a.empty.Sub(now))
	default:
		v.TokensToRequest = math.Ceil(1 + a.demand*prefetch.Seconds())
	}
	return v
}

// Take takes a token if there is one.
func (l *Limiter) Take(now time.Time, workspace model.Workspace) bool {
	a := l.account(now, workspace)
	switch {
	case a.lent >= 1 && now.Before(a.lentUntil):
		a.lent--
	case a.level >= 1:
		a.level--
	default:
		return false
	}
	return true
}

// Lend adds tokens of the broker. If there were none, the broker is not asked again for a moment.
func (l *Limiter) AddGrant(now time.Time, workspace model.Workspace, granted float64, wait time.Duration) {
	a := l.account(now, workspace)
	if granted == 0 {
		a.empty = now.Add(min(wait, emptyFor))
		return
	}
	if now.After(a.lentUntil) {
		a.lent = 0
	}
	a.lent += granted
	a.lentUntil = now.Add(lentFor)
}

// BrokerGone records that the broker has stopped, so that nobody hands out the rest of the limits any more.
func (l *Limiter) BrokerGone(now time.Time) {
	for workspace := range l.limits {
		l.account(now, workspace)
	}
	l.answered = time.Time{}
}

// Refund gives a token back whose operation has not run.
func (l *Limiter) Refund(now time.Time, workspace model.Workspace) {
	if _, known := l.limits[workspace]; known {
		l.AddGrant(now, workspace, 1, 0)
	}
}

func (l *Limiter) part(now time.Time, limit catalog.Limit) float64 {
	if l.Standalone(now) {
		return 1 / float64(l.hosts)
	}
	return fixedPartOf(limit, l.hosts) / float64(l.hosts)
}

func (l *Limiter) account(now time.Time, workspace model.Workspace) *account {
	limit := l.limits[workspace]
	part := l.part(now, limit)
	a := l.accounts[workspace]
	if a == nil {
		a = &account{}
		a.level = startingPart * min(limit.PerSecond, limit.Burst) / float64(l.hosts)
		l.accounts[workspace] = a
	}
	a.refill(now, part*limit.PerSecond, part*limit.Burst)
	return a
}

// count adds an operation to the average demand, which forgets half of the past in a second.
func (a *account) count(now time.Time) {
	a.demand = a.demand*math.Exp2(-now.Sub(a.seen).Seconds()) + math.Ln2
	a.seen = now
}
