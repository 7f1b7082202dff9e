package limit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Broker combines the loans of all holders per workspace and grants tokens to spenders. It grants only what was lent to
// it, so several hosts may act as the broker of one workspace at the same time.
type Broker struct {
	incarnation model.Incarnation
	start       time.Time
	swept       time.Time
	lenders     map[party]*lender
	askers      map[party]*asker
	pools       map[model.Workspace]*pool
}

// party is one start of a host.
type party struct {
	host        model.HostID
	incarnation model.Incarnation
}

// lender is what the broker remembers about a holder.
type lender struct {
	sequence uint64
	heard    time.Time
	loans    map[model.Workspace]*loanRecord // kept as long as the lender is known
}

// loanRecord is the last loan of one holder for one workspace. It stays after the loan has ended, so that an epoch is
// not accepted twice.
type loanRecord struct {
	epoch     uint64
	live      bool // part of the pool
	returned  bool
	level     float64 // level handed back
	returning bool    // a return was asked for; no grant is drawn on the loan any more
	limit     Limit
	end       time.Time
}

// asker is what the broker remembers about a spender.
type asker struct {
	sequence uint64
	heard    time.Time
}

// pool is the combined bucket of one workspace.
type pool struct {
	at          time.Time // time up to which level is refilled
	level       float64
	outstanding float64
	loans       []*loanRecord
	grants      []*grantRecord // ordered by end, because all grants last equally long
	byID        map[grantID]*grantRecord
	asked       time.Time
	scarce      map[model.HostID]time.Time // spenders that got too little, with the time
}

type grantID struct {
	spender  party
	sequence uint64
}

type grantRecord struct {
	id              grantID
	tokens          int
	spent, returned int
	end             time.Time
}

// NewBroker returns a broker without loans. The incarnation must be greater than 0 and those of earlier starts of this
// host.
func NewBroker(incarnation model.Incarnation, now time.Time) *Broker {
	return &Broker{
		incarnation: incarnation, start: now, swept: now,
		lenders: map[party]*lender{},
		askers:  map[party]*asker{},
		pools:   map[model.Workspace]*pool{},
	}
}

func (b *Broker) stamp(now time.Time) Stamp {
	return Stamp{Incarnation: b.incarnation, At: now.Sub(b.start)}
}

// Idle reports whether no loan is live, so that the host may stop without any loss.
func (b *Broker) Idle(now time.Time) bool {
	for _, p := range b.pools {
		p.advance(now)
		if len(p.loans) > 0 {
			return false
		}
	}
	return true
}

// HandleLoans takes a batch of loans.
func (b *Broker) HandleLoans(now time.Time, batch LoanBatch) LoanReply {
	b.sweep(now)
	reply := LoanReply{Sequence: batch.Sequence, Stamp: b.stamp(now)}
	id := party{batch.Holder, batch.Incarnation}
	l := b.lenders[id]
	if l == nil {
		l = &lender{loans: map[model.Workspace]*loanRecord{}}
		b.lenders[id] = l
	}
	l.heard = now // also for old messages, because the reply has a new stamp
	if batch.Sequence <= l.sequence {
		return reply // a repeated or overtaken message
	}
	l.sequence = batch.Sequence
	if batch.Stamp.Incarnation != b.incarnation {
		return reply
	}
	for _, loan := range batch.Loans {
		reply.Loans = append(reply.Loans, b.handleLoan(now, l, batch.Stamp, loan))
	}
	return reply
}

func (b *Broker) handleLoan(now time.Time, l *lender, stamp Stamp, loan Loan) LoanState {
	p := b.pool(now, loan.Workspace)
	r := l.loans[loan.Workspace]
	if r == nil || r.epoch < loan.Epoch {
		// The holder begins a new epoch only after the old one has ended for both sides.
		if r != nil {
			p.drop(r)
		}
		r = &loanRecord{epoch: loan.Epoch, level: loan.Level}
		l.loans[loan.Workspace] = r
	}
	state := LoanState{Workspace: loan.Workspace, Epoch: loan.Epoch}
	switch {
	case r.epoch > loan.Epoch:
		state.Returned = true // an epoch that has ended; the holder ignores the answer
		return state
	case loan.Return:
		p.giveBack(now, r)
	default:
		p.extend(now, r, b.loanEnd(now, stamp, loan), loan.Limit)
	}
	if r.returned {
		state.Returned, state.Level = true, r.level
	}
	state.Idle = now.Sub(p.asked) > idleAfter
	return state
}

// loanEnd returns the end of a loan on the broker's clock.
func (b *Broker) loanEnd(now time.Time, stamp Stamp, loan Loan) time.Time {
	duration := min(loan.Duration, IdleLoanDuration)
	if disabled.loanDating {
		return now.Add(duration)
	}
	return b.start.Add(stamp.At + duration)
}

func (b *Broker) pool(now time.Time, ws model.Workspace) *pool {
	p := b.pools[ws]
	if p == nil {
		p = &pool{
			at: now, asked: now,
			byID:   map[grantID]*grantRecord{},
			scarce: map[model.HostID]time.Time{},
		}
		b.pools[ws] = p
	}
	p.advance(now)
	return p
}

// extend adds a loan to the pool or prolongs it. The level of an epoch is added once.
func (p *pool) extend(now time.Time, r *loanRecord, end time.Time, limit Limit) {
	if r.returned || !end.After(now) {
		return
	}
	r.limit = limit
	if !r.live {
		r.live = true
		p.loans = append(p.loans, r)
		p.level += min(r.level, limit.Burst)
		r.level = 0
	}
	r.end = later(r.end, end)
	p.clip()
}

// giveBack ends a loan early. While outstanding tokens need its burst it stays, without new grants on it.
func (p *pool) giveBack(now time.Time, r *loanRecord) {
	if !r.live {
		if !r.returned {
			r.returned, r.level = true, 0
		}
		return
	}
	r.returning = true
	until := now
	if n := len(p.grants); n > 0 {
		until = p.grants[n-1].end
	}
	if p.outstanding > epsilon && p.outstanding > p.burst(until)+epsilon && !disabled.outstanding {
		return
	}
	level := 0.0
	if total := p.total().Burst; total > 0 {
		level = max(0, p.level*r.limit.Burst/total)
	}
	p.level -= level
	p.drop(r)
	r.returned, r.level = true, level
}

// drop removes a loan from the pool.
func (p *pool) drop(r *loanRecord) {
	for i, x := range p.loans {
		if x == r {
			p.loans = append(p.loans[:i], p.loans[i+1:]...)
			break
		}
	}
	r.live = false
	p.clip()
}

// total returns the rate and burst of all loans.
func (p *pool) total() Limit {
	var t Limit
	for _, r := range p.loans {
		t.Rate += r.limit.Rate
		t.Burst += r.limit.Burst
	}
	return t
}

// burst returns the burst of the loans that last until the given time and are not being returned.
func (p *pool) burst(until time.Time) float64 {
	sum := 0.0
	for _, r := range p.loans {
		if !r.returning && (!r.end.Before(until) || disabled.loanOutlast) {
			sum += r.limit.Burst
		}
	}
	return sum
}

// clip keeps level + outstanding ≤ burst.
func (p *pool) clip() {
	room := p.total().Burst
	if !disabled.outstanding {
		room -= p.outstanding
	}
	p.level = min(p.level, max(0, room))
}

// advance refills the bucket and ends loans and grants, each at its own time.
func (p *pool) advance(now time.Time) {
	for {
		at, loan := p.nextEnd()
		if at.IsZero() || at.After(now) {
			p.refill(now)
			return
		}
		p.refill(at)
		if loan != nil {
			p.drop(loan)
			continue
		}
		g := p.grants[0]
		p.grants = p.grants[1:]
		p.outstanding -= float64(g.tokens - g.spent - g.returned)
		delete(p.byID, g.id)
	}
}

// nextEnd returns the earliest end, and the loan if it is the end of a loan.
func (p *pool) nextEnd() (time.Time, *loanRecord) {
	var at time.Time
	var loan *loanRecord
	if len(p.grants) > 0 {
		at = p.grants[0].end
	}
	for _, r := range p.loans {
		if at.IsZero() || r.end.Before(at) {
			at, loan = r.end, r
		}
	}
	return at, loan
}

func (p *pool) refill(to time.Time) {
	if to.After(p.at) {
		p.level += refilled(p.total().Rate, to.Sub(p.at))
		p.at = to
	}
	p.clip()
}

// HandleTokens takes reports and grants tokens.
func (b *Broker) HandleTokens(now time.Time, req TokenRequest) TokenReply {
	b.sweep(now)
	reply := TokenReply{Sequence: req.Sequence}
	id := party{req.Spender, req.Incarnation}
	a := b.askers[id]
	if a == nil {
		a = &asker{}
		b.askers[id] = a
	}
	fresh := req.Sequence > a.sequence
	if fresh {
		a.sequence = req.Sequence
	} else {
		// A repeated or overtaken request gets nothing, and its first answer may still arrive.
		reply.Sequence = 0
	}
	a.heard = now
	for _, ask := range req.Asks {
		p := b.pool(now, ask.Workspace)
		for _, r := range ask.Reports {
			p.report(grantID{id, r.Grant}, r)
		}
		if !fresh || ask.Need+ask.Prefetch == 0 {
			continue
		}
		p.asked = now
		g := Grant{Workspace: ask.Workspace}
		g.Tokens = p.grant(now, grantID{id, req.Sequence}, ask)
		g.Interval, g.Report = p.interval(), p.reportWithin()
		g.Retry = p.retry(now, id.host, p.short(ask, g.Tokens))
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// report takes over the totals of a grant, if they are later than the known ones.
func (p *pool) report(id grantID, r Report) {
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
	p.clip()
}

// grant hands out as many whole tokens as the level, the loans that outlast the grant, and the ask allow.
func (p *pool) grant(now time.Time, id grantID, ask Ask) int {
	end := now.Add(extend(GrantDuration))
	room := p.burst(end)
	if !disabled.outstanding {
		room -= p.outstanding
	}
	free := int(math.Floor(min(p.level, room) + epsilon))
	if free <= 0 {
		return 0
	}
	n := min(ask.Need, free)
	// Prefetched tokens may not be used, so only a part of the level is given for it.
	n += min(ask.Prefetch, int(float64(free-n)*prefetchPart))
	if n == 0 {
		return 0
	}
	g := &grantRecord{id: id, tokens: n, end: end}
	p.grants = append(p.grants, g)
	p.byID[id] = g
	p.level -= float64(n)
	p.outstanding += float64(n)
	return n
}

// interval returns the time in which the workspace uses the part of its burst that may lie in caches.
func (p *pool) interval() time.Duration {
	t := p.total()
	if t.Rate <= 0 {
		return minInterval
	}
	return clamp(seconds(t.Burst*cachedBurst/t.Rate), minInterval, maxInterval)
}

// reportWithin returns the time within which spenders should report.
func (p *pool) reportWithin() time.Duration {
	room := p.total().Burst - p.outstanding
	switch {
	case room < 2: // no token can be added before a report
		return urgentReport
	case p.outstanding > tightBurst*p.total().Burst:
		return p.interval() / reportPart
	}
	return lazyReport
}

// short reports whether a spender should slow down. While many compete, this includes those that got all they needed at
// once, because their next ask would come as soon.
func (p *pool) short(ask Ask, granted int) bool {
	return granted < ask.Need || granted < ask.Need+ask.Prefetch && len(p.scarce) > manySpenders
}

// retry returns how long a spender that got too little should wait. The more spenders compete, the longer it is, so
// that the message rate at the broker stays bounded.
func (p *pool) retry(now time.Time, spender model.HostID, short bool) time.Duration {
	if !short {
		delete(p.scarce, spender)
		return 0
	}
	p.scarce[spender] = now
	n := len(p.scarce)
	wait := max(min(minRetry, time.Duration(n)*fewRetry), time.Duration(n)*retrySpread)
	if rate := p.total().Rate; rate > 0 {
		// The spenders together have to come often enough to fetch the tokens before the bucket is full.
		wait = min(wait, time.Duration(n)*p.interval())
		wait = max(wait, seconds((1-p.level)/rate))
	}
	return min(wait, maxRetry)
}

// sweep forgets parties from whom no valid old message can arrive any more, and empty pools.
func (b *Broker) sweep(now time.Time) {
	if now.Sub(b.swept) < time.Second {
		return
	}
	b.swept = now
	for id, l := range b.lenders {
		// Every stamp that an older message can name was issued before l.heard.
		if now.Sub(l.heard) > IdleLoanDuration {
			delete(b.lenders, id)
		}
	}
	for id, a := range b.askers {
		if now.Sub(a.heard) > 2*extend(GrantDuration) {
			delete(b.askers, id)
		}
	}
	for ws, p := range b.pools {
		p.advance(now)
		for h, t := range p.scarce {
			if now.Sub(t) > 2*maxRetry {
				delete(p.scarce, h)
			}
		}
		if len(p.loans) == 0 && len(p.grants) == 0 && now.Sub(p.asked) > idleAfter {
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
