package limit

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Verdict is the decision about one request.
type Status uint8

const (
	// Waiting means that a later call returns the decision, at most Wait after the request arrived.
	Pending Status = iota
	// Admitted means that the request has its token.
	Admitted
	// Refused means that the request gets no token.
	Refused
)

// Decision is the verdict about the request with the given ticket.
type Decision struct {
	Ticket     uint64
	Workspace  model.Workspace
	Status     Status
	RetryAfter time.Duration // for Refused: time after which a repetition may succeed
	Exhausted  bool          // for Refused: a broker said that its bucket is empty
}

// Spender decides on the requests of an entry host. It keeps a few granted tokens per workspace and asks brokers for
// more.
type Spender struct {
	host        model.HostID
	incarnation model.Incarnation
	brokerOf    BrokerLookup
	draining    bool
	sequence    uint64
	caches      map[model.Workspace]*cache
	order       []*cache // all caches in order of creation
	forgotten   time.Time
}

// cache is the state of one workspace at a spender.
type cache struct {
	workspace model.Workspace
	waiters   []waiter
	grants    []*held
	demand    float64 // requests of the last demandWindow, exponentially weighted
	demandAt  time.Time
	used      time.Time
	due       time.Time // when Poll has something to do for this workspace; zero for never

	asks      []sentAsk     // unanswered asks, in order of time
	askedAt   time.Time     // time of the last ask
	interval  time.Duration // half of the time that unspent tokens are kept
	report    time.Duration // time within which spent tokens are reported
	horizon   time.Duration // time for which tokens are asked in advance
	notBefore time.Time     // tokens are scarce: no ask before this time
}

// sentAsk is an ask without an answer. Each is answered once, so that a repeated reply can't bring tokens again.
type sentAsk struct {
	broker   model.HostID
	sequence uint64
	at       time.Time
}

type waiter struct {
	ticket   uint64
	deadline time.Time
}

// held is one grant and what became of its tokens.
type held struct {
	broker    model.HostID
	sequence  uint64
	received  time.Time
	end       time.Time
	left      int
	report    Report    // current totals
	confirmed Report    // totals that the broker has
	sent      Report    // totals in the message sentIn
	sentIn    uint64    // sequence of the last message with a report of this grant
	changed   time.Time // when report last became different from confirmed
}

// NewSpender returns a spender without tokens.
func NewSpender(host model.HostID, incarnation model.Incarnation) *Spender {
	return &Spender{
		host: host, incarnation: incarnation,
		brokerOf: func(model.Workspace) model.HostID { return "" },
		caches:   map[model.Workspace]*cache{},
	}
}

// SetBrokers replaces the choice of brokers. Call it after each change of the membership.
func (s *Spender) SetBrokers(brokerOf BrokerLookup) {
	s.brokerOf = brokerOf
	s.scheduleAll()
}

// Drain makes the spender hand back tokens at once. It still admits requests, but keeps no tokens for later ones.
func (s *Spender) Drain() {
	s.draining = true
	s.scheduleAll()
}

func (s *Spender) scheduleAll() {
	for _, c := range s.order {
		s.schedule(c)
	}
}

// Drained reports whether no token is left and every report has arrived.
func (s *Spender) Drained(now time.Time) bool {
	for _, c := range s.order {
		c.expire(now)
		if len(c.grants) > 0 || len(c.waiters) > 0 {
			return false
		}
	}
	return true
}

// Admit decides on a request. The ticket is the caller's name for the request. If the verdict is Waiting, a later Poll
// or HandleReply returns the decision with the ticket.
func (s *Spender) Admit(now time.Time, ws model.Workspace, ticket uint64) Decision {
	c := s.caches[ws]
	if c == nil {
		c = &cache{workspace: ws, interval: minInterval, horizon: minInterval, demandAt: now, askedAt: now}
		s.caches[ws] = c
		s.order = append(s.order, c)
	}
	c.count(now)
	defer s.schedule(c)
	d := Decision{Ticket: ticket, Workspace: ws}
	if len(c.waiters) == 0 && c.take(now) {
		d.Status = Admitted
		return d
	}
	if wait := c.notBefore.Sub(now); wait >= MaxWait {
		d.Status, d.RetryAfter, d.Exhausted = Refused, wait, true
		return d
	}
	c.waiters = append(c.waiters, waiter{ticket: ticket, deadline: now.Add(MaxWait)})
	return d
}

// Cancel forgets a waiting request whose caller has gone.
func (s *Spender) Cancel(ws model.Workspace, ticket uint64) {
	if c := s.caches[ws]; c != nil {
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool { return w.ticket == ticket })
		s.schedule(c)
	}
}

// Poll returns the decisions on requests whose time is over and the messages that are due. Call it at Next and after
// each Admit and HandleReply.
func (s *Spender) Poll(now time.Time) ([]TokenMessage, []Decision) {
	var decisions []Decision
	var out []TokenMessage
	for _, c := range s.order {
		if c.due.IsZero() || c.due.After(now) {
			continue
		}
		decisions = append(decisions, c.expireWaiters(now)...)
		c.expire(now)
		c.shed(now, s.draining)
		for _, to := range s.dueBrokers(now, c) {
			out = append(out, s.message(now, to))
		}
		s.schedule(c)
	}
	s.forget(now)
	return out, decisions
}

// HandleReply takes the reply of a broker and returns the decisions that it allows.
func (s *Spender) HandleReply(now time.Time, from model.HostID, reply TokenReply) []Decision {
	if reply.Sequence == 0 {
		return nil
	}
	var decisions []Decision
	for _, c := range s.order {
		confirmed := c.confirm(from, reply.Sequence)
		sent, ok := c.answered(from, reply.Sequence)
		if !ok {
			if confirmed {
				c.expire(now)
				s.schedule(c)
			}
			continue
		}
		for _, g := range reply.Grants {
			if g.Workspace == c.workspace {
				c.receive(now, sent, g)
			}
		}
		for len(c.waiters) > 0 && c.take(now) {
			decisions = append(decisions, Decision{Ticket: c.waiters[0].ticket, Workspace: c.workspace, Status: Admitted})
			c.waiters = c.waiters[1:]
		}
		s.schedule(c)
	}
	return decisions
}

// Next returns the time at which Poll has something to do, or the zero time. It may have passed.
func (s *Spender) NextDue() time.Time {
	var next time.Time
	for _, c := range s.order {
		next = earlier(next, c.due)
	}
	return next
}

// schedule computes when Poll has something to do for c.
func (s *Spender) schedule(c *cache) {
	var due time.Time
	if len(c.waiters) > 0 {
		due = c.waiters[0].deadline
	}
	if s.brokerOf(c.workspace) != "" && c.wanted(s.draining) > 0 {
		due = earlier(due, c.askTime())
	}
	for _, g := range c.grants {
		due = earlier(due, g.end)
		due = earlier(due, c.reportTime(g, s.draining))
		if g.left > 0 {
			due = earlier(due, g.received.Add(c.keep(s.draining)))
		}
	}
	c.due = due
}

// dueBrokers returns the brokers that have to get a message because of c.
func (s *Spender) dueBrokers(now time.Time, c *cache) []model.HostID {
	var out []model.HostID
	if to := s.brokerOf(c.workspace); to != "" && c.wanted(s.draining) > 0 && !c.askTime().After(now) {
		out = append(out, to)
	}
	for _, g := range c.grants {
		if t := c.reportTime(g, s.draining); !t.IsZero() && !t.After(now) && !slices.Contains(out, g.broker) {
			out = append(out, g.broker)
		}
	}
	return out
}

// message builds one request with the asks and reports of all workspaces for the broker.
func (s *Spender) message(now time.Time, to model.HostID) TokenMessage {
	s.sequence++
	req := TokenRequest{Spender: s.host, Incarnation: s.incarnation, Sequence: s.sequence}
	for _, c := range s.order {
		ask := Ask{Workspace: c.workspace, Reports: c.reports(now, to, s.sequence)}
		if s.brokerOf(c.workspace) == to && c.wanted(s.draining) > 0 && !c.askTime().After(now) {
			ask.Need = len(c.waiters)
			ask.Prefetch = c.wanted(s.draining) - ask.Need
			c.asks = append(c.asks, sentAsk{to, s.sequence, now})
			c.askedAt = now
		}
		if ask.Need+ask.Prefetch > 0 || len(ask.Reports) > 0 {
			req.Asks = append(req.Asks, ask)
			s.schedule(c)
		}
	}
	return TokenMessage{To: to, Request: req}
}

// forget removes caches that were not used for a while.
func (s *Spender) forget(now time.Time) {
	if now.Sub(s.forgotten) < demandWindow {
		return
	}
	s.forgotten = now
	s.order = slices.DeleteFunc(s.order, func(c *cache) bool {
		if len(c.grants) > 0 || len(c.waiters) > 0 || now.Sub(c.used) < 10*demandWindow {
			return false
		}
		delete(s.caches, c.workspace)
		return true
	})
}

// count adds one request to the measured demand.
func (c *cache) count(now time.Time) {
	age := max(0, now.Sub(c.demandAt)).Seconds() / demandWindow.Seconds()
	c.demand = c.demand*math.Exp(-age) + 1
	c.demandAt, c.used = now, now
}

// target returns the number of tokens that the demand uses up until the next ask.
func (c *cache) target() int {
	return int(c.demand * float64(c.horizon) / float64(demandWindow))
}

func (c *cache) left() int {
	n := 0
	for _, g := range c.grants {
		n += g.left
	}
	return n
}

// wanted returns the number of tokens to ask for: one for each waiting request, and some in advance when the cache runs
// low.
func (c *cache) wanted(draining bool) int {
	need := len(c.waiters)
	if draining {
		return need
	}
	left, target := c.left(), c.target()
	if need == 0 && left > target/4 || target == 0 {
		return need
	}
	return need + max(0, target-left)
}

// askTime returns the time at which the next ask may be sent.
func (c *cache) askTime() time.Time {
	t := c.askedAt
	if n := len(c.asks); n > 0 && c.asks[n-1].at.Equal(c.askedAt) {
		t = t.Add(askTimeout)
	}
	if len(c.waiters) == 0 {
		t = later(t, c.askedAt.Add(c.horizon/2))
	}
	return later(c.notBefore, t)
}

// answered removes the ask that a reply belongs to.
func (c *cache) answered(from model.HostID, sequence uint64) (sentAsk, bool) {
	for i, a := range c.asks {
		if a.sequence == sequence && a.broker == from {
			c.asks = slices.Delete(c.asks, i, i+1)
			return a, true
		}
	}
	return sentAsk{}, false
}

// keep returns how long unspent tokens are kept.
func (c *cache) keep(draining bool) time.Duration {
	if draining {
		return 0
	}
	return max(2*c.interval, c.horizon)
}

// reportTime returns when a report about g is due, or the zero time.
func (c *cache) reportTime(g *held, draining bool) time.Time {
	if g.report == g.confirmed {
		return time.Time{}
	}
	t := g.changed.Add(c.report)
	if draining || g.report.Returned != g.confirmed.Returned {
		t = g.changed
	}
	if g.sentIn != 0 && g.sent == g.report {
		t = later(t, g.changed.Add(c.report+askTimeout))
	}
	return t
}

// take spends one token.
func (c *cache) take(now time.Time) bool {
	for _, g := range c.grants {
		if g.left == 0 || !now.Before(g.end) && !disabled.grantEnd {
			continue
		}
		g.left--
		g.change(now, Report{Grant: g.sequence, Spent: g.report.Spent + 1, Returned: g.report.Returned})
		return true
	}
	return false
}

func (g *held) change(now time.Time, r Report) {
	if g.report == g.confirmed {
		g.changed = now
	}
	g.report = r
}

// receive takes the tokens of a reply. The grant counts from the time of the request.
func (c *cache) receive(now time.Time, sent sentAsk, g Grant) {
	c.interval = max(g.Interval, minInterval)
	c.horizon = max(c.interval, g.Retry)
	c.report = g.Report
	c.notBefore = time.Time{}
	if g.Retry > 0 {
		c.notBefore = now.Add(g.Retry)
	}
	end := sent.at.Add(GrantDuration)
	if g.Tokens <= 0 || !now.Before(end) {
		return
	}
	c.grants = append(c.grants, &held{
		broker: sent.broker, sequence: sent.sequence, received: now, end: end, left: g.Tokens,
		report: Report{Grant: sent.sequence}, confirmed: Report{Grant: sent.sequence},
	})
}

// shed gives up tokens that were not used soon, so that the broker can grant them to other hosts.
func (c *cache) shed(now time.Time, draining bool) {
	for _, g := range c.grants {
		if g.left > 0 && now.Sub(g.received) >= c.keep(draining) {
			g.change(now, Report{Grant: g.sequence, Spent: g.report.Spent, Returned: g.report.Returned + g.left})
			g.changed = now
			g.left = 0
		}
	}
}

// expire drops grants that have ended or are completely reported, and asks whose grant would have ended.
func (c *cache) expire(now time.Time) {
	c.asks = slices.DeleteFunc(c.asks, func(a sentAsk) bool { return now.Sub(a.at) >= GrantDuration })
	c.grants = slices.DeleteFunc(c.grants, func(g *held) bool {
		ended := !now.Before(g.end) && !disabled.grantEnd
		return ended || g.left == 0 && g.report == g.confirmed
	})
}

func (c *cache) expireWaiters(now time.Time) []Decision {
	var out []Decision
	for len(c.waiters) > 0 && !now.Before(c.waiters[0].deadline) {
		d := Decision{Ticket: c.waiters[0].ticket, Workspace: c.workspace, Status: Refused}
		d.RetryAfter, d.Exhausted = max(minRetry, c.notBefore.Sub(now)), c.notBefore.After(now)
		out = append(out, d)
		c.waiters = c.waiters[1:]
	}
	return out
}

// reports returns the totals that the broker does not have yet.
func (c *cache) reports(now time.Time, to model.HostID, sequence uint64) []Report {
	var out []Report
	for _, g := range c.grants {
		if g.broker != to || g.report == g.confirmed {
			continue
		}
		g.sent, g.sentIn, g.changed = g.report, sequence, now
		out = append(out, g.report)
	}
	return out
}

// confirm notes that the broker has the totals of a message, and reports whether it had any of c.
func (c *cache) confirm(from model.HostID, sequence uint64) bool {
	found := false
	for _, g := range c.grants {
		if g.broker == from && g.sentIn == sequence {
			g.confirmed = g.sent
			found = true
		}
	}
	return found
}
