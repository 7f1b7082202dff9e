// Package share implements distributed rate limiting: it divides the rate and burst of each workspace among the hosts.
//
// A small fixed fraction of each limit is divided equally among the hosts. The rest is a token bucket at the broker, from
// which hosts request tokens when their fixed share is used up. A host that cannot reach the broker is standalone: it uses
// its equal share of the whole limit, and the broker excludes that share from its own bucket. A broker only hands out the
// shares of its members, so each side of a network partition can have a broker. The tokens of all hosts together never
// exceed the limit.
//
// The scheme is designed for workspaces whose callers connect to few hosts (equal shares would refuse operations inside the
// limit), for small workspaces whose equal shares are below one operation per second, and for workspaces that request many
// times their rate.
//
// The package performs no I/O and reads no clock: the time is an argument.
package share

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// fixedFraction is the fraction of a limit that is divided equally among hosts that reach the broker. A larger fraction
	// saves requests to the broker; a smaller one leaves fewer tokens unused at hosts without callers of the workspace.
	fixedFraction = 0.1
	// memberTTL is how long a host stays a member of a broker after a report. It is shorter than standaloneTimeout, so that
	// the broker excludes the host's equal share before the host starts to use it.
	memberTTL = 500 * time.Millisecond
	// standaloneTimeout is the time without an answer from the broker after which a host uses its equal share of the whole
	// limit. It covers three reports.
	standaloneTimeout = 800 * time.Millisecond
	// initialFraction is the initial level of a host's bucket, as a fraction of its equal share of one second's rate. The
	// host passes these tokens on to its broker. After a crash of all hosts they start with a third of a second's rate in
	// total, which stays within the tenth by which a limit may be exceeded in five seconds.
	initialFraction = 0.3
	// prefetchWindow is the period whose expected demand one request to the broker covers. It bounds the requests to about
	// ten per second and workspace.
	prefetchWindow = 60 * time.Millisecond
	// grantTTL is how long a host may use tokens granted by the broker.
	grantTTL = time.Second
	// handOverReserve is the period whose rate a broker keeps for itself during a hand-over, which takes two store calls.
	handOverReserve = 300 * time.Millisecond
	// denialHalfLife is the time after which half of the denied requests have been repeated or abandoned.
	denialHalfLife = 50 * time.Millisecond
	// unknownHostsWait is the time in which a starting host learns how many hosts share the limits.
	unknownHostsWait = 50 * time.Millisecond
	// maxRequestBackoff is the longest time that a host waits before its next request after the broker had no token.
	maxRequestBackoff = 250 * time.Millisecond
)

// fixedFractionOf returns the fraction of a limit that is divided equally among hosts that reach the broker. It is zero if
// the fixed share of a host would not hold a token: one token at each host of a large fleet could exceed the burst.
func fixedFractionOf(limit catalog.Limit, hosts int) float64 {
	if limit.Burst*fixedFraction < float64(hosts) {
		return 0
	}
	return fixedFraction
}

// Limits maps each workspace to its limit.
type Limits map[model.Workspace]catalog.Limit

type tokenBucket struct {
	level   float64
	updated time.Time
}

// refill adds the tokens accumulated since the last refill, up to the burst. The capacity is at least one token.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 && !b.updated.IsZero() {
		b.level += elapsed * rate
	}
	if now.After(b.updated) {
		b.updated = now
	}
	b.level = min(b.level, max(1, burst))
}

// timeUntilToken returns the time until the bucket holds one token more than the number of waiting requests.
func (b *tokenBucket) timeUntilToken(rate, waiting float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(max(0, 1+waiting-b.level) / rate * float64(time.Second)))
}

// brokerBucket is a broker's token bucket for one workspace.
type brokerBucket struct {
	tokenBucket
	recentDenials float64 // denied requests that are probably still waiting, exponentially decayed
	lastDenial    time.Time
}

// recordDenial records a denied request and returns the number of earlier ones that are probably still waiting.
func (b *brokerBucket) recordDenial(now time.Time) float64 {
	waiting := b.recentDenials * math.Exp2(-now.Sub(b.lastDenial).Seconds()/denialHalfLife.Seconds())
	b.recentDenials, b.lastDenial = waiting+1, now
	return waiting
}

// Broker grants tokens from the part of the limits that is not divided among the hosts. It is not safe for concurrent
// use.
type Broker struct {
	limits     Limits
	hosts      int
	created    time.Time
	lastReport map[model.HostID]time.Time // last report of each member
	nextExpiry time.Time                  // no member expires before this time
	buckets    map[model.Workspace]*brokerBucket
	handedOver bool // only the reserve is left
}

// NewBroker returns a broker with empty buckets and no members. Every host counts as standalone until it reports.
func NewBroker(now time.Time) *Broker {
	return &Broker{
		created: now, lastReport: map[model.HostID]time.Time{}, buckets: map[model.Workspace]*brokerBucket{}, hosts: 1,
	}
}

// BrokerState is the state that a stopping broker hands over to its successor.
type BrokerState struct {
	Levels     map[model.Workspace]float64    // remaining tokens
	ReportAges map[model.HostID]time.Duration // time since the last report of each member
}

// HandOver returns the state for the successor. The broker keeps a reserve of at most half of the remaining tokens and
// grants nothing beyond it afterwards.
func (b *Broker) HandOver(now time.Time) BrokerState {
	state := BrokerState{Levels: map[model.Workspace]float64{}, ReportAges: map[model.HostID]time.Duration{}}
	for workspace, limit := range b.limits {
		fraction, bucket := b.fraction(now, limit), b.bucket(workspace)
		bucket.refill(now, fraction*limit.PerSecond, fraction*limit.Burst)
		reserve := math.Floor(min(fraction*limit.PerSecond*handOverReserve.Seconds(), bucket.level/2))
		state.Levels[workspace] = bucket.level - reserve
		bucket.level = reserve
	}
	for host, at := range b.lastReport {
		state.ReportAges[host] = now.Sub(at)
	}
	b.handedOver = true
	return state
}

// RestoreBroker returns a broker that continues from the state of its predecessor.
func RestoreBroker(now time.Time, state BrokerState) *Broker {
	b := NewBroker(now)
	for workspace, level := range state.Levels {
		b.buckets[workspace] = &brokerBucket{tokenBucket: tokenBucket{level: level, updated: now}}
	}
	for host, age := range state.ReportAges {
		b.lastReport[host] = now.Add(-age)
	}
	return b
}

// SetLimits replaces the limits and the number of registered hosts.
func (b *Broker) SetLimits(limits Limits, hosts int) { b.limits, b.hosts = limits, max(hosts, 1) }

// HandleReport handles a report of a host. A standalone host uses its equal share of the whole limit and is no member.
func (b *Broker) HandleReport(now time.Time, host model.HostID, standalone bool) {
	if standalone {
		delete(b.lastReport, host)
		return
	}
	b.lastReport[host] = now
	if expiry := now.Add(memberTTL); expiry.Before(b.nextExpiry) {
		b.nextExpiry = expiry
	}
}

// Deposit adds the surplus tokens that a host passes on when it becomes a member. After HandOver they are discarded.
func (b *Broker) Deposit(now time.Time, tokens map[model.Workspace]float64) {
	if b.handedOver {
		return
	}
	for workspace, n := range tokens {
		limit := b.limits[workspace]
		fraction, bucket := b.fraction(now, limit), b.bucket(workspace)
		bucket.refill(now, fraction*limit.PerSecond, fraction*limit.Burst)
		bucket.level = min(bucket.level+n, max(1, fraction*limit.Burst))
	}
}

// Take grants up to n whole tokens. If there is none, wait is the estimated time until one is available, after the requests
// that were denied earlier.
func (b *Broker) Take(now time.Time, workspace model.Workspace, n float64) (granted float64, wait time.Duration) {
	limit := b.limits[workspace]
	fraction, bucket := b.fraction(now, limit), b.bucket(workspace)
	if !b.handedOver {
		bucket.refill(now, fraction*limit.PerSecond, fraction*limit.Burst)
	}
	granted = math.Floor(min(n, bucket.level))
	if granted > 0 {
		bucket.level -= granted
		return granted, 0
	}
	return 0, bucket.timeUntilToken(fraction*limit.PerSecond, bucket.recordDenial(now))
}

// bucket returns the bucket of a workspace. A new bucket is refilled from the time at which the broker was created.
func (b *Broker) bucket(workspace model.Workspace) *brokerBucket {
	bucket := b.buckets[workspace]
	if bucket == nil {
		bucket = &brokerBucket{tokenBucket: tokenBucket{updated: b.created}}
		b.buckets[workspace] = bucket
	}
	return bucket
}

// MemberCount removes expired members and returns the number of the others. Members only use their fixed share.
func (b *Broker) MemberCount(now time.Time) int {
	if !now.After(b.nextExpiry) {
		return len(b.lastReport) // each grant of a token needs the number
	}
	b.nextExpiry = now.Add(memberTTL)
	for host, at := range b.lastReport {
		if now.Sub(at) > memberTTL {
			delete(b.lastReport, host)
		} else if expiry := at.Add(memberTTL); expiry.Before(b.nextExpiry) {
			b.nextExpiry = expiry
		}
	}
	return len(b.lastReport)
}

// fraction returns the fraction of a limit that the broker hands out: all but the shares that hosts use themselves.
func (b *Broker) fraction(now time.Time, limit catalog.Limit) float64 {
	members := float64(min(b.MemberCount(now), b.hosts)) / float64(b.hosts)
	return members * (1 - fixedFractionOf(limit, b.hosts))
}

// hostBucket is a host's token bucket for one workspace, with the tokens granted by the broker.
type hostBucket struct {
	tokenBucket
	grants        []grant   // unused tokens from the broker, those that expire first at the front
	nextRequest   time.Time // earliest time of the next request to the broker
	demand        float64   // operations per second, exponentially decayed
	demandUpdated time.Time
}

// grant is a number of whole tokens from the broker that expire at the same time.
type grant struct {
	tokens float64
	expiry time.Time
}

// takeGranted takes a token from the broker that has not expired, and returns its expiry.
func (b *hostBucket) takeGranted(now time.Time) (expiry time.Time, taken bool) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return g.tokens < 1 || !now.Before(g.expiry) })
	if len(b.grants) == 0 {
		return time.Time{}, false
	}
	b.grants[0].tokens--
	return b.grants[0].expiry, true
}

// addGranted adds tokens from the broker that can be used until the expiry.
func (b *hostBucket) addGranted(tokens float64, expiry time.Time) {
	i, found := slices.BinarySearchFunc(b.grants, expiry, func(g grant, at time.Time) int { return g.expiry.Compare(at) })
	if !found {
		b.grants = slices.Insert(b.grants, i, grant{expiry: expiry})
	}
	b.grants[i].tokens += tokens
}

// Token is a token that an operation has taken. The zero value is from the host's own share.
type Token struct {
	grantExpiry time.Time // zero for a token that the broker has not granted
}

// Decision is the admission decision for one operation.
type Decision struct {
	Admitted bool
	Token    Token // the token of an admitted operation
	// TokensToRequest is the number of tokens to request from the broker if the operation is not admitted. Zero means none.
	TokensToRequest float64
	// Wait is the time after which to retry an operation that is not admitted: until this host has a token without the
	// broker, or may send the broker its next request if that is earlier.
	Wait time.Duration
}

// Limiter admits the operations of one host. It is not safe for concurrent use.
type Limiter struct {
	limits       Limits
	hosts        int       // 0 if not known yet; nothing is admitted then
	lastAnswered time.Time // send time of the last report that the broker answered
	buckets      map[model.Workspace]*hostBucket
}

// NewLimiter returns a limiter without limits, which admits everything.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[model.Workspace]*hostBucket{}}
}

// SetLimits replaces the limits and the number of hosts that the limits are divided among. If the number is 0, it is not
// known, and the last one stays.
func (l *Limiter) SetLimits(now time.Time, limits Limits, hosts int) {
	for workspace := range l.limits {
		l.bucket(now, workspace) // refill at the old rate up to now
	}
	l.limits = limits
	if hosts > 0 {
		l.hosts = hosts
	}
}

// SharesHoldTokens reports whether the equal share of a host holds a token of most limits, so that a host can serve callers
// without a broker for a while. In a large fleet it does not. As long as the limits or the hosts are not known, it is true.
func (l *Limiter) SharesHoldTokens() bool {
	holding := 0
	for _, limit := range l.limits {
		if fixedFractionOf(limit, l.hosts) > 0 {
			holding++
		}
	}
	return 2*holding >= len(l.limits)
}

// JoinBroker restricts this host to its fixed share, from the time at which it sends its report to a broker. It returns the
// tokens that exceed the fixed share, to be passed on to the broker.
func (l *Limiter) JoinBroker(now, sent time.Time) map[model.Workspace]float64 {
	surplus := map[model.Workspace]float64{}
	for workspace, limit := range l.limits {
		bucket := l.bucket(now, workspace)
		if excess := bucket.level - fixedFractionOf(limit, l.hosts)/float64(l.hosts)*limit.Burst; excess > 0 {
			surplus[workspace] = excess
			bucket.level -= excess
		}
	}
	l.lastAnswered = sent
	return surplus
}

// BrokerAnswered records that the broker has answered the report that was sent at the given time.
func (l *Limiter) BrokerAnswered(now, sent time.Time) {
	for workspace := range l.limits {
		l.bucket(now, workspace)
	}
	l.lastAnswered = sent
}

// Standalone reports whether the host uses its equal share of the whole limit, because no broker has answered recently.
func (l *Limiter) Standalone(now time.Time) bool { return now.Sub(l.lastAnswered) > standaloneTimeout }

// Admit takes a token for an operation of the workspace. If the operation is not admitted, the caller can request tokens
// from the broker, add them with AddGrant and call Take, or retry after the wait. A retry does not count as demand again.
func (l *Limiter) Admit(now time.Time, workspace model.Workspace, retry bool) Decision {
	limit, known := l.limits[workspace]
	if !known {
		return Decision{Admitted: true} // only callers of public routes belong to no workspace with a limit
	}
	if l.hosts == 0 {
		return Decision{Wait: unknownHostsWait}
	}
	bucket := l.bucket(now, workspace)
	if !retry {
		bucket.recordDemand(now)
	}
	if token, taken := l.Take(now, workspace); taken {
		return Decision{Admitted: true, Token: token}
	}
	decision := Decision{Wait: bucket.timeUntilToken(l.fraction(now, limit)*limit.PerSecond, 0)}
	switch {
	case l.Standalone(now):
	case now.Before(bucket.nextRequest):
		decision.Wait = min(decision.Wait, bucket.nextRequest.Sub(now))
	default:
		decision.TokensToRequest = math.Ceil(1 + bucket.demand*prefetchWindow.Seconds())
	}
	return decision
}

// Take takes a token if one is available, first from those granted by the broker.
func (l *Limiter) Take(now time.Time, workspace model.Workspace) (Token, bool) {
	bucket := l.bucket(now, workspace)
	if expiry, taken := bucket.takeGranted(now); taken {
		return Token{expiry}, true
	}
	if bucket.level < 1 {
		return Token{}, false
	}
	bucket.level--
	return Token{}, true
}

// AddGrant adds tokens granted by the broker. If there are none, the next request is delayed by
// wait, but at most by maxRequestBackoff.
func (l *Limiter) AddGrant(now time.Time, workspace model.Workspace, granted float64, wait time.Duration) {
	bucket := l.bucket(now, workspace)
	if granted == 0 {
		bucket.nextRequest = now.Add(min(wait, maxRequestBackoff))
		return
	}
	bucket.addGranted(granted, now.Add(grantTTL))
}

// BrokerGone records that the broker has stopped granting tokens. From now on the host uses its equal share of the whole
// limit.
func (l *Limiter) BrokerGone(now time.Time) {
	for workspace := range l.limits {
		l.bucket(now, workspace)
	}
	l.lastAnswered = time.Time{}
}

// Refund returns the token of an operation that has not run to where it came from: to the host's share, which holds no more than
// the share of the burst, or to the tokens from the broker, with the expiry that it had. Tokens that are taken and refunded again
// and again would otherwise add up while the buckets refill.
func (l *Limiter) Refund(now time.Time, workspace model.Workspace, token Token) {
	if _, known := l.limits[workspace]; !known {
		return
	}
	bucket := l.bucket(now, workspace)
	if !token.grantExpiry.IsZero() {
		bucket.addGranted(1, token.grantExpiry)
		return
	}
	bucket.level++
	l.bucket(now, workspace) // limits the level
}

// fraction returns the fraction of a limit that this host uses without the broker.
func (l *Limiter) fraction(now time.Time, limit catalog.Limit) float64 {
	if l.Standalone(now) {
		return 1 / float64(l.hosts)
	}
	return fixedFractionOf(limit, l.hosts) / float64(l.hosts)
}

// bucket returns the refilled bucket of a workspace.
func (l *Limiter) bucket(now time.Time, workspace model.Workspace) *hostBucket {
	if l.hosts == 0 {
		return &hostBucket{} // the initial level depends on the number of hosts
	}
	limit := l.limits[workspace]
	fraction := l.fraction(now, limit)
	bucket := l.buckets[workspace]
	if bucket == nil {
		bucket = &hostBucket{}
		bucket.level = initialFraction * min(limit.PerSecond, limit.Burst) / float64(l.hosts)
		l.buckets[workspace] = bucket
	}
	bucket.refill(now, fraction*limit.PerSecond, fraction*limit.Burst)
	return bucket
}

// recordDemand adds an operation to the average demand, which has a half-life of one second.
func (b *hostBucket) recordDemand(now time.Time) {
	b.demand = b.demand*math.Exp2(-now.Sub(b.demandUpdated).Seconds()) + math.Ln2
	b.demandUpdated = now
}
