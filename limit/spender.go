package limit

import (
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Status is the state of the decision on one request.
type Status uint8

const (
	// Pending means that a later call returns the decision, at most MaxWait after the request arrived.
	Pending Status = iota
	// Admitted means that the request has received a token.
	Admitted
	// Refused means that the request receives no token.
	Refused
)

// Decision is the decision on the request with the given ticket.
type Decision struct {
	Ticket     uint64
	Workspace  model.Workspace
	Status     Status
	RetryAfter time.Duration // if Refused: time after which a retry may succeed
	Exhausted  bool          // if Refused: the broker has reported an empty bucket
}

// Spender decides on the requests of an entry host. It caches a few granted tokens per workspace and asks the brokers for
// more.
type Spender struct {
	host        model.HostID
	incarnation model.Incarnation
	brokerOf    BrokerLookup
	draining    bool
	sequence    uint64
	caches      map[model.Workspace]*tokenCache
	order       []*tokenCache // all caches, in order of creation
	lastCleanup time.Time
}

// tokenCache is the state of one workspace at a spender.
type tokenCache struct {
	workspace     model.Workspace
	waiters       []waiter
	grants        []*heldGrant
	demand        float64 // requests in the last demandWindow, exponentially weighted
	demandUpdated time.Time
	lastUsed      time.Time
	due           time.Time // when Poll must process this workspace; zero means never

	pendingAsks      []pendingAsk // unanswered asks, oldest first
	lastAsk          time.Time
	prefetchInterval time.Duration // unspent tokens are kept for twice this time
	reportDelay      time.Duration // spent tokens are reported within this time
	askHorizon       time.Duration // period whose expected demand is requested in advance
	nextAsk          time.Time     // earliest time of the next ask while tokens are short
}

// pendingAsk is an unanswered ask. Each one is answered only once, so that a duplicate reply cannot add its tokens again.
type pendingAsk struct {
	broker   model.HostID
	sequence uint64
	sentAt   time.Time
}

type waiter struct {
	ticket   uint64
	deadline time.Time
}

// heldGrant is one grant with the numbers of its unspent, spent and returned tokens.
type heldGrant struct {
	broker         model.HostID
	sequence       uint64
	received       time.Time
	expiry         time.Time
	unspent        int
	report         Report    // current totals
	confirmed      Report    // totals that the broker has received
	sent           Report    // totals in the message reportSequence
	reportSequence uint64    // sequence number of the last message with a report of this grant
	reportChanged  time.Time // when report began to differ from confirmed, or was last sent
}

// NewSpender returns a spender without tokens.
func NewSpender(host model.HostID, incarnation model.Incarnation) *Spender {
	return &Spender{
		host: host, incarnation: incarnation,
		brokerOf: func(model.Workspace) model.HostID { return "" },
		caches:   map[model.Workspace]*tokenCache{},
	}
}

// SetBrokers replaces the assignment of brokers. Call it after each membership change.
func (s *Spender) SetBrokers(brokerOf BrokerLookup) {
	s.brokerOf = brokerOf
	s.scheduleAll()
}

// Drain makes the spender return unspent tokens at once. It still admits requests, but caches no tokens for later ones.
func (s *Spender) Drain() {
	s.draining = true
	s.scheduleAll()
}

func (s *Spender) scheduleAll() {
	for _, c := range s.order {
		s.schedule(c)
	}
}

// Drained reports whether no request is waiting, no token is left and all reports are confirmed.
func (s *Spender) Drained(now time.Time) bool {
	for _, c := range s.order {
		c.removeExpired(now)
		if len(c.grants) > 0 || len(c.waiters) > 0 {
			return false
		}
	}
	return true
}

// Admit decides on a request. The ticket identifies the request. If the status is Pending, a later call of Poll or
// HandleReply returns the decision with the same ticket.
func (s *Spender) Admit(now time.Time, ws model.Workspace, ticket uint64) Decision {
	c := s.caches[ws]
	if c == nil {
		c = &tokenCache{
			workspace: ws, prefetchInterval: minPrefetchInterval, askHorizon: minPrefetchInterval,
			demandUpdated: now, lastAsk: now,
		}
		s.caches[ws] = c
		s.order = append(s.order, c)
	}
	c.recordDemand(now)
	defer s.schedule(c)
	d := Decision{Ticket: ticket, Workspace: ws}
	if len(c.waiters) == 0 && c.spendToken(now) {
		d.Status = Admitted
		return d
	}
	if wait := c.nextAsk.Sub(now); wait >= MaxWait {
		d.Status, d.RetryAfter, d.Exhausted = Refused, wait, true
		return d
	}
	c.waiters = append(c.waiters, waiter{ticket: ticket, deadline: now.Add(MaxWait)})
	return d
}

// Cancel removes a waiting request whose caller is gone.
func (s *Spender) Cancel(ws model.Workspace, ticket uint64) {
	if c := s.caches[ws]; c != nil {
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool { return w.ticket == ticket })
		s.schedule(c)
	}
}

// Poll returns the messages that are due and refuses requests that have waited for MaxWait. Call it at NextDue and after
// each Admit and HandleReply.
func (s *Spender) Poll(now time.Time) ([]TokenMessage, []Decision) {
	var decisions []Decision
	var messages []TokenMessage
	for _, c := range s.order {
		if c.due.IsZero() || c.due.After(now) {
			continue
		}
		decisions = append(decisions, c.refuseExpired(now)...)
		c.removeExpired(now)
		c.returnUnspent(now, s.draining)
		for _, to := range s.dueBrokers(now, c) {
			messages = append(messages, s.buildRequest(now, to))
		}
		s.schedule(c)
	}
	s.removeIdleCaches(now)
	return messages, decisions
}

// HandleReply processes the reply of a broker and returns the requests that it admits.
func (s *Spender) HandleReply(now time.Time, from model.HostID, reply TokenReply) []Decision {
	if reply.Sequence == 0 { // the broker received a duplicate or reordered request and granted nothing
		return nil
	}
	var decisions []Decision
	for _, c := range s.order {
		confirmed := c.confirmReports(from, reply.Sequence)
		sent, ok := c.takePendingAsk(from, reply.Sequence)
		if !ok {
			if confirmed {
				c.removeExpired(now)
				s.schedule(c)
			}
			continue
		}
		for _, g := range reply.Grants {
			if g.Workspace == c.workspace {
				c.addGrant(now, sent, g)
			}
		}
		for len(c.waiters) > 0 && c.spendToken(now) {
			decisions = append(decisions, Decision{Ticket: c.waiters[0].ticket, Workspace: c.workspace, Status: Admitted})
			c.waiters = c.waiters[1:]
		}
		s.schedule(c)
	}
	return decisions
}

// NextDue returns the time at which Poll must be called next, which may be in the past, or the zero time.
func (s *Spender) NextDue() time.Time {
	var next time.Time
	for _, c := range s.order {
		next = earlier(next, c.due)
	}
	return next
}

// schedule computes when Poll must process c.
func (s *Spender) schedule(c *tokenCache) {
	var due time.Time
	if len(c.waiters) > 0 {
		due = c.waiters[0].deadline
	}
	if s.brokerOf(c.workspace) != "" && c.tokensToRequest(s.draining) > 0 {
		due = earlier(due, c.nextAskTime())
	}
	for _, g := range c.grants {
		due = earlier(due, g.expiry)
		due = earlier(due, c.nextReportTime(g, s.draining))
		if g.unspent > 0 {
			due = earlier(due, g.received.Add(c.unspentTTL(s.draining)))
		}
	}
	c.due = due
}

// dueBrokers returns the brokers for which c has a due ask or report.
func (s *Spender) dueBrokers(now time.Time, c *tokenCache) []model.HostID {
	var brokers []model.HostID
	if to := s.brokerOf(c.workspace); to != "" && c.tokensToRequest(s.draining) > 0 && !c.nextAskTime().After(now) {
		brokers = append(brokers, to)
	}
	for _, g := range c.grants {
		if t := c.nextReportTime(g, s.draining); !t.IsZero() && !t.After(now) && !slices.Contains(brokers, g.broker) {
			brokers = append(brokers, g.broker)
		}
	}
	return brokers
}

// buildRequest returns one request with the asks and reports of all workspaces for the broker.
func (s *Spender) buildRequest(now time.Time, to model.HostID) TokenMessage {
	s.sequence++
	req := TokenRequest{Spender: s.host, Incarnation: s.incarnation, Sequence: s.sequence}
	for _, c := range s.order {
		ask := Ask{Workspace: c.workspace, Reports: c.unconfirmedReports(now, to, s.sequence)}
		if s.brokerOf(c.workspace) == to && c.tokensToRequest(s.draining) > 0 && !c.nextAskTime().After(now) {
			ask.Need = len(c.waiters)
			ask.Prefetch = c.tokensToRequest(s.draining) - ask.Need
			c.pendingAsks = append(c.pendingAsks, pendingAsk{to, s.sequence, now})
			c.lastAsk = now
		}
		if ask.Need+ask.Prefetch > 0 || len(ask.Reports) > 0 {
			req.Asks = append(req.Asks, ask)
			s.schedule(c)
		}
	}
	return TokenMessage{To: to, Request: req}
}

// removeIdleCaches removes empty caches that were not used for ten times demandWindow.
func (s *Spender) removeIdleCaches(now time.Time) {
	if now.Sub(s.lastCleanup) < demandWindow {
		return
	}
	s.lastCleanup = now
	s.order = slices.DeleteFunc(s.order, func(c *tokenCache) bool {
		if len(c.grants) > 0 || len(c.waiters) > 0 || now.Sub(c.lastUsed) < 10*demandWindow {
			return false
		}
		delete(s.caches, c.workspace)
		return true
	})
}

// recordDemand adds one request to the measured demand.
func (c *tokenCache) recordDemand(now time.Time) {
	age := max(0, now.Sub(c.demandUpdated)).Seconds() / demandWindow.Seconds()
	c.demand = c.demand*math.Exp(-age) + 1
	c.demandUpdated, c.lastUsed = now, now
}

// expectedDemand returns the number of tokens that are expected to be spent within askHorizon.
func (c *tokenCache) expectedDemand() int {
	return int(c.demand * float64(c.askHorizon) / float64(demandWindow))
}

func (c *tokenCache) unspent() int {
	n := 0
	for _, g := range c.grants {
		n += g.unspent
	}
	return n
}

// tokensToRequest returns the number of tokens to ask for: one for each waiting request, and some in advance if the cache
// runs low.
func (c *tokenCache) tokensToRequest(draining bool) int {
	need := len(c.waiters)
	if draining {
		return need
	}
	unspent, expected := c.unspent(), c.expectedDemand()
	if need == 0 && unspent > expected/4 || expected == 0 {
		return need
	}
	return need + max(0, expected-unspent)
}

// nextAskTime returns the earliest time of the next ask.
func (c *tokenCache) nextAskTime() time.Time {
	t := c.lastAsk
	if n := len(c.pendingAsks); n > 0 && c.pendingAsks[n-1].sentAt.Equal(c.lastAsk) {
		t = t.Add(askTimeout)
	}
	if len(c.waiters) == 0 {
		t = later(t, c.lastAsk.Add(c.askHorizon/2))
	}
	return later(c.nextAsk, t)
}

// takePendingAsk removes and returns the ask that a reply answers. It returns false if no ask is pending
// for the reply, for example because it was answered already.
func (c *tokenCache) takePendingAsk(from model.HostID, sequence uint64) (pendingAsk, bool) {
	for i, a := range c.pendingAsks {
		if a.sequence == sequence && a.broker == from {
			c.pendingAsks = slices.Delete(c.pendingAsks, i, i+1)
			return a, true
		}
	}
	return pendingAsk{}, false
}

// unspentTTL returns how long unspent tokens are kept.
func (c *tokenCache) unspentTTL(draining bool) time.Duration {
	if draining {
		return 0
	}
	return max(2*c.prefetchInterval, c.askHorizon)
}

// nextReportTime returns when a report of g is due, or the zero time if the broker has the current totals.
func (c *tokenCache) nextReportTime(g *heldGrant, draining bool) time.Time {
	if g.report == g.confirmed {
		return time.Time{}
	}
	t := g.reportChanged.Add(c.reportDelay)
	if draining || g.report.Returned != g.confirmed.Returned {
		t = g.reportChanged
	}
	if g.reportSequence != 0 && g.sent == g.report {
		t = later(t, g.reportChanged.Add(c.reportDelay+askTimeout))
	}
	return t
}

// spendToken spends one token and returns false if there is none.
func (c *tokenCache) spendToken(now time.Time) bool {
	for _, g := range c.grants {
		if g.unspent == 0 || !now.Before(g.expiry) && !disabled.grantExpiry {
			continue
		}
		g.unspent--
		g.updateReport(now, Report{Grant: g.sequence, Spent: g.report.Spent + 1, Returned: g.report.Returned})
		return true
	}
	return false
}

func (g *heldGrant) updateReport(now time.Time, r Report) {
	if g.report == g.confirmed {
		g.reportChanged = now
	}
	g.report = r
}

// addGrant adds the tokens of a reply. The lifetime of the grant starts at the time of the request.
func (c *tokenCache) addGrant(now time.Time, sent pendingAsk, g Grant) {
	c.prefetchInterval = max(g.Interval, minPrefetchInterval)
	c.askHorizon = max(c.prefetchInterval, g.Retry)
	c.reportDelay = g.Report
	c.nextAsk = time.Time{}
	if g.Retry > 0 {
		c.nextAsk = now.Add(g.Retry)
	}
	end := sent.sentAt.Add(GrantDuration)
	if g.Tokens <= 0 || !now.Before(end) {
		return
	}
	c.grants = append(c.grants, &heldGrant{
		broker: sent.broker, sequence: sent.sequence, received: now, expiry: end, unspent: g.Tokens,
		report: Report{Grant: sent.sequence}, confirmed: Report{Grant: sent.sequence},
	})
}

// returnUnspent returns tokens that were not spent within unspentTTL, so that the broker can grant them to other hosts.
func (c *tokenCache) returnUnspent(now time.Time, draining bool) {
	for _, g := range c.grants {
		if g.unspent > 0 && now.Sub(g.received) >= c.unspentTTL(draining) {
			g.updateReport(now, Report{Grant: g.sequence, Spent: g.report.Spent, Returned: g.report.Returned + g.unspent})
			g.reportChanged = now
			g.unspent = 0
		}
	}
}

// removeExpired removes grants that have expired or are completely reported, and asks whose grant would have expired.
func (c *tokenCache) removeExpired(now time.Time) {
	c.pendingAsks = slices.DeleteFunc(c.pendingAsks, func(a pendingAsk) bool { return now.Sub(a.sentAt) >= GrantDuration })
	c.grants = slices.DeleteFunc(c.grants, func(g *heldGrant) bool {
		ended := !now.Before(g.expiry) && !disabled.grantExpiry
		return ended || g.unspent == 0 && g.report == g.confirmed
	})
}

// refuseExpired removes the requests that have waited for MaxWait and returns their refusals.
func (c *tokenCache) refuseExpired(now time.Time) []Decision {
	var decisions []Decision
	for len(c.waiters) > 0 && !now.Before(c.waiters[0].deadline) {
		d := Decision{Ticket: c.waiters[0].ticket, Workspace: c.workspace, Status: Refused}
		d.RetryAfter, d.Exhausted = max(minRetryDelay, c.nextAsk.Sub(now)), c.nextAsk.After(now)
		decisions = append(decisions, d)
		c.waiters = c.waiters[1:]
	}
	return decisions
}

// unconfirmedReports returns the reports that the broker has not confirmed yet, and marks them as sent.
func (c *tokenCache) unconfirmedReports(now time.Time, to model.HostID, sequence uint64) []Report {
	var reports []Report
	for _, g := range c.grants {
		if g.broker != to || g.report == g.confirmed {
			continue
		}
		g.sent, g.reportSequence, g.reportChanged = g.report, sequence, now
		reports = append(reports, g.report)
	}
	return reports
}

// confirmReports marks the reports in the given message as confirmed. It returns false if the message had none of c.
func (c *tokenCache) confirmReports(from model.HostID, sequence uint64) bool {
	found := false
	for _, g := range c.grants {
		if g.broker == from && g.reportSequence == sequence {
			g.confirmed = g.sent
			found = true
		}
	}
	return found
}
