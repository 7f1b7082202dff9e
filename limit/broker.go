package limit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Broker combines the loans of all holders per workspace and grants tokens to spenders. It only grants tokens that were
// lent to it, so several hosts may act as the broker of one workspace at the same time.
type Broker struct {
	incarnation model.Incarnation
	started     time.Time
	lastSweep   time.Time
	holders     map[process]*holderState
	spenders    map[process]*spenderState
	pools       map[model.Workspace]*pool
}

// process identifies one run of the daemon on a host.
type process struct {
	host        model.HostID
	incarnation model.Incarnation
}

// holderState is the broker's state for one holder.
type holderState struct {
	sequence    uint64
	lastMessage time.Time
	loans       map[model.Workspace]*loanRecord // kept as long as the holderState
}

// loanRecord is the last loan of one holder for one workspace. It is kept after the loan has ended, so that no epoch is
// accepted twice.
type loanRecord struct {
	epoch     uint64
	active    bool // part of the pool
	returned  bool
	level     float64 // returned level
	returning bool    // the holder requested a return; the loan backs no new grants
	limit     Limit
	expiry    time.Time
}

// spenderState is the broker's state for one spender.
type spenderState struct {
	sequence    uint64
	lastMessage time.Time
}

// pool is the combined bucket of one workspace.
type pool struct {
	refilledAt  time.Time // time up to which level is refilled
	level       float64
	outstanding float64
	loans       []*loanRecord
	grants      []*grantRecord // ordered by expiry, because all grants have the same duration
	byID        map[grantID]*grantRecord
	lastAsk     time.Time
	underserved map[model.HostID]time.Time // spenders that received too few tokens, with the time of their last ask
}

type grantID struct {
	spender  process
	sequence uint64
}

type grantRecord struct {
	id              grantID
	tokens          int
	spent, returned int
	expiry          time.Time
}

// NewBroker returns a broker without loans. The incarnation must be greater than 0 and greater than all earlier
// incarnations of this host.
func NewBroker(incarnation model.Incarnation, now time.Time) *Broker {
	return &Broker{
		incarnation: incarnation, started: now, lastSweep: now,
		holders:  map[process]*holderState{},
		spenders: map[process]*spenderState{},
		pools:    map[model.Workspace]*pool{},
	}
}

func (b *Broker) stamp(now time.Time) Stamp {
	return Stamp{Incarnation: b.incarnation, At: now.Sub(b.started)}
}

// Idle reports whether no loan is active, so that the host can stop without losing tokens.
func (b *Broker) Idle(now time.Time) bool {
	for _, p := range b.pools {
		p.advance(now)
		if len(p.loans) > 0 {
			return false
		}
	}
	return true
}

// HandleLoans processes a batch of loans and returns the reply.
func (b *Broker) HandleLoans(now time.Time, batch LoanBatch) LoanReply {
	b.sweep(now)
	reply := LoanReply{Sequence: batch.Sequence, Stamp: b.stamp(now)}
	id := process{batch.Holder, batch.Incarnation}
	holder := b.holders[id]
	if holder == nil {
		holder = &holderState{loans: map[model.Workspace]*loanRecord{}}
		b.holders[id] = holder
	}
	holder.lastMessage = now // also for outdated messages, because the reply contains a new stamp
	if batch.Sequence <= holder.sequence {
		return reply // a duplicate or reordered message
	}
	holder.sequence = batch.Sequence
	if batch.Stamp.Incarnation != b.incarnation {
		return reply
	}
	for _, loan := range batch.Loans {
		reply.Loans = append(reply.Loans, b.handleLoan(now, holder, batch.Stamp, loan))
	}
	return reply
}

func (b *Broker) handleLoan(now time.Time, holder *holderState, stamp Stamp, loan Loan) LoanState {
	p := b.pool(now, loan.Workspace)
	record := holder.loans[loan.Workspace]
	if record == nil || record.epoch < loan.Epoch {
		// The holder starts a new epoch only after the old one has ended on both sides.
		if record != nil {
			p.removeLoan(record)
		}
		record = &loanRecord{epoch: loan.Epoch, level: loan.Level}
		holder.loans[loan.Workspace] = record
	}
	state := LoanState{Workspace: loan.Workspace, Epoch: loan.Epoch}
	switch {
	case record.epoch > loan.Epoch:
		state.Returned = true // an epoch that has ended; the holder ignores the answer
		return state
	case loan.Return:
		p.returnLoan(now, record)
	default:
		p.addOrRenewLoan(now, record, b.loanExpiry(now, stamp, loan), loan.Limit)
	}
	if record.returned {
		state.Returned, state.Level = true, record.level
	}
	state.Idle = now.Sub(p.lastAsk) > idleTimeout
	return state
}

// loanExpiry returns the expiry of a loan on the broker's clock.
func (b *Broker) loanExpiry(now time.Time, stamp Stamp, loan Loan) time.Time {
	duration := min(loan.Duration, IdleLoanDuration)
	if disabled.loanTimestamp {
		return now.Add(duration)
	}
	return b.started.Add(stamp.At + duration)
}

// pool returns the pool of a workspace, advanced to now, and creates it if necessary.
func (b *Broker) pool(now time.Time, ws model.Workspace) *pool {
	p := b.pools[ws]
	if p == nil {
		p = &pool{
			refilledAt: now, lastAsk: now,
			byID:        map[grantID]*grantRecord{},
			underserved: map[model.HostID]time.Time{},
		}
		b.pools[ws] = p
	}
	p.advance(now)
	return p
}

// addOrRenewLoan adds a loan to the pool or extends it. The level of an epoch is added only once.
func (p *pool) addOrRenewLoan(now time.Time, record *loanRecord, end time.Time, limit Limit) {
	if record.returned || !end.After(now) {
		return
	}
	record.limit = limit
	if !record.active {
		record.active = true
		p.loans = append(p.loans, record)
		p.level += min(record.level, limit.Burst)
		record.level = 0
	}
	record.expiry = later(record.expiry, end)
	p.capLevel()
}

// returnLoan ends a loan early. While the burst of the loan is needed for outstanding tokens, the loan stays in the pool
// but backs no new grants.
func (p *pool) returnLoan(now time.Time, record *loanRecord) {
	if !record.active {
		if !record.returned {
			record.returned, record.level = true, 0
		}
		return
	}
	record.returning = true
	until := now
	if n := len(p.grants); n > 0 {
		until = p.grants[n-1].expiry
	}
	if p.outstanding > epsilon && p.outstanding > p.burstUntil(until)+epsilon && !disabled.outstanding {
		return
	}
	level := 0.0
	if total := p.totalLimit().Burst; total > 0 {
		level = max(0, p.level*record.limit.Burst/total)
	}
	p.level -= level
	p.removeLoan(record)
	record.returned, record.level = true, level
}

// removeLoan removes a loan from the pool.
func (p *pool) removeLoan(record *loanRecord) {
	for i, other := range p.loans {
		if other == record {
			p.loans = append(p.loans[:i], p.loans[i+1:]...)
			break
		}
	}
	record.active = false
	p.capLevel()
}

// totalLimit returns the sum of the rates and bursts of all loans.
func (p *pool) totalLimit() Limit {
	var t Limit
	for _, r := range p.loans {
		t.Rate += r.limit.Rate
		t.Burst += r.limit.Burst
	}
	return t
}

// burstUntil returns the total burst of the loans that last until the given time and are not being returned.
func (p *pool) burstUntil(until time.Time) float64 {
	sum := 0.0
	for _, r := range p.loans {
		if !r.returning && (!r.expiry.Before(until) || disabled.loanOutlastsGrant) {
			sum += r.limit.Burst
		}
	}
	return sum
}

// capLevel maintains the invariant level + outstanding ≤ burst.
func (p *pool) capLevel() {
	available := p.totalLimit().Burst
	if !disabled.outstanding {
		available -= p.outstanding
	}
	p.level = min(p.level, max(0, available))
}

// advance refills the bucket up to now and removes expired loans and grants, each at its own expiry.
func (p *pool) advance(now time.Time) {
	for {
		at, loan := p.nextExpiry()
		if at.IsZero() || at.After(now) {
			p.refill(now)
			return
		}
		p.refill(at)
		if loan != nil {
			p.removeLoan(loan)
			continue
		}
		g := p.grants[0]
		p.grants = p.grants[1:]
		p.outstanding -= float64(g.tokens - g.spent - g.returned)
		delete(p.byID, g.id)
	}
}

// nextExpiry returns the earliest expiry of a loan or grant. The loan is nil if a grant expires first.
func (p *pool) nextExpiry() (time.Time, *loanRecord) {
	var at time.Time
	var loan *loanRecord
	if len(p.grants) > 0 {
		at = p.grants[0].expiry
	}
	for _, r := range p.loans {
		if at.IsZero() || r.expiry.Before(at) {
			at, loan = r.expiry, r
		}
	}
	return at, loan
}

func (p *pool) refill(to time.Time) {
	if to.After(p.refilledAt) {
		p.level += refillAmount(p.totalLimit().Rate, to.Sub(p.refilledAt))
		p.refilledAt = to
	}
	p.capLevel()
}

// HandleTokens processes the reports of a request and grants tokens.
func (b *Broker) HandleTokens(now time.Time, req TokenRequest) TokenReply {
	b.sweep(now)
	reply := TokenReply{Sequence: req.Sequence}
	id := process{req.Spender, req.Incarnation}
	spender := b.spenders[id]
	if spender == nil {
		spender = &spenderState{}
		b.spenders[id] = spender
	}
	isNew := req.Sequence > spender.sequence
	if isNew {
		spender.sequence = req.Sequence
	} else {
		// A duplicate or reordered request is granted nothing, because the reply to its first copy may still arrive.
		reply.Sequence = 0
	}
	spender.lastMessage = now
	for _, ask := range req.Asks {
		p := b.pool(now, ask.Workspace)
		for _, r := range ask.Reports {
			p.applyReport(grantID{id, r.Grant}, r)
		}
		if !isNew || ask.Need+ask.Prefetch == 0 {
			continue
		}
		p.lastAsk = now
		g := Grant{Workspace: ask.Workspace}
		g.Tokens = p.grant(now, grantID{id, req.Sequence}, ask)
		g.Interval, g.Report = p.prefetchInterval(), p.reportDelay()
		g.Retry = p.retryDelay(now, id.host, p.shouldThrottle(ask, g.Tokens))
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// applyReport updates the totals of a grant. Outdated totals have no effect.
func (p *pool) applyReport(id grantID, r Report) {
	g := p.byID[id]
	if g == nil || r.Spent < 0 || r.Returned < 0 || r.Spent+r.Returned > g.tokens {
		return
	}
	if d := r.Spent - g.spent; d > 0 && g.spent+d+g.returned <= g.tokens {
		g.spent = r.Spent
		p.outstanding -= float64(d)
	}
	if d := r.Returned - g.returned; d > 0 && g.spent+g.returned+d <= g.tokens {
		g.returned = r.Returned
		p.outstanding -= float64(d)
		p.level += float64(d)
	}
	p.capLevel()
}

// grant grants as many whole tokens as the ask, the level and the loans that outlast the grant allow.
func (p *pool) grant(now time.Time, id grantID, ask Ask) int {
	expiry := now.Add(withClockTolerance(GrantDuration))
	available := p.burstUntil(expiry)
	if !disabled.outstanding {
		available -= p.outstanding
	}
	grantable := int(math.Floor(min(p.level, available) + epsilon))
	if grantable <= 0 {
		return 0
	}
	granted := min(ask.Need, grantable)
	// Prefetched tokens may stay unused, so they are limited to a fraction of the level.
	granted += min(ask.Prefetch, int(float64(grantable-granted)*prefetchFraction))
	if granted == 0 {
		return 0
	}
	g := &grantRecord{id: id, tokens: granted, expiry: expiry}
	p.grants = append(p.grants, g)
	p.byID[id] = g
	p.level -= float64(granted)
	p.outstanding += float64(granted)
	return granted
}

// prefetchInterval returns the time in which the workspace spends the fraction of its burst that caches may hold.
func (p *pool) prefetchInterval() time.Duration {
	t := p.totalLimit()
	if t.Rate <= 0 {
		return minPrefetchInterval
	}
	return clamp(seconds(t.Burst*cachedBurstFraction/t.Rate), minPrefetchInterval, maxPrefetchInterval)
}

// reportDelay returns the time within which spenders should report spent tokens.
func (p *pool) reportDelay() time.Duration {
	available := p.totalLimit().Burst - p.outstanding
	switch {
	case available < 2: // no token can be added before a report
		return urgentReportDelay
	case p.outstanding > urgentOutstandingFraction*p.totalLimit().Burst:
		return p.prefetchInterval() / reportsPerInterval
	}
	return relaxedReportDelay
}

// shouldThrottle reports whether a spender should ask less often, because it received too few tokens for its waiting
// requests. While many spenders compete, this includes a spender that only received too few tokens for expected requests,
// because it would ask again just as soon.
func (p *pool) shouldThrottle(ask Ask, granted int) bool {
	return granted < ask.Need || granted < ask.Need+ask.Prefetch && len(p.underserved) > manySpenders
}

// retryDelay returns how long a throttled spender should wait before its next ask. It increases with the number of
// competing spenders, so that the message rate at the broker is bounded.
func (p *pool) retryDelay(now time.Time, spender model.HostID, throttle bool) time.Duration {
	if !throttle {
		delete(p.underserved, spender)
		return 0
	}
	p.underserved[spender] = now
	n := len(p.underserved)
	wait := max(min(minRetryDelay, time.Duration(n)*retryStepFewSpenders), time.Duration(n)*retryStepManySpenders)
	if rate := p.totalLimit().Rate; rate > 0 {
		// The spenders together must ask often enough to fetch the tokens before the bucket is full.
		wait = min(wait, time.Duration(n)*p.prefetchInterval())
		wait = max(wait, seconds((1-p.level)/rate))
	}
	return min(wait, maxRetryDelay)
}

// sweep deletes the state of holders and spenders from which no valid old message can arrive any more, and empty pools.
func (b *Broker) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < time.Second {
		return
	}
	b.lastSweep = now
	for id, holder := range b.holders {
		// Every stamp that an older message can contain was issued before lastMessage.
		if now.Sub(holder.lastMessage) > IdleLoanDuration {
			delete(b.holders, id)
		}
	}
	for id, spender := range b.spenders {
		if now.Sub(spender.lastMessage) > 2*withClockTolerance(GrantDuration) {
			delete(b.spenders, id)
		}
	}
	for ws, p := range b.pools {
		p.advance(now)
		for spender, at := range p.underserved {
			if now.Sub(at) > 2*maxRetryDelay {
				delete(p.underserved, spender)
			}
		}
		if len(p.loans) == 0 && len(p.grants) == 0 && now.Sub(p.lastAsk) > idleTimeout {
			delete(b.pools, ws)
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

func clamp(d, low, high time.Duration) time.Duration {
	return min(max(d, low), high)
}
