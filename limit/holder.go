package limit

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Holder has the share slots of this host for every workspace.
type Holder struct {
	host        model.HostID
	incarnation model.Incarnation
	total       int // slots of all hosts together
	slots       []Slot
	brokerOf    BrokerLookup
	draining    bool
	epoch       uint64
	holdings    map[model.Workspace]*holding
	order       []model.Workspace // keys of holdings, sorted
	links       map[model.HostID]*link
}

// holding is the state of this host's slots for one workspace.
type holding struct {
	limit   Limit // of the whole workspace
	share   Limit // of the usable slots; in force since at
	level   float64
	at      time.Time // time up to which level is refilled
	removed bool      // the workspace is gone; the entry remains until the loan has ended

	lent      bool
	returning bool // a return was asked for; this epoch is never renewed again
	confirmed bool // the broker has the level of this epoch
	idle      bool
	broker    model.HostID
	brokerInc model.Incarnation
	epoch     uint64
	lentLevel float64
	takeBack  time.Time
	due       time.Time // next renewal or return
}

// link is what the holder knows about a broker.
type link struct {
	stamp    Stamp
	received time.Time // when stamp arrived
	sent     time.Time // when the last batch went out
	waiting  bool      // the last batch is unanswered
	sequence uint64
}

// NewHolder returns a holder without slots. Total is the number of slots of all hosts together.
func NewHolder(host model.HostID, incarnation model.Incarnation, total int) *Holder {
	return &Holder{
		host: host, incarnation: incarnation, total: total,
		brokerOf: func(model.Workspace) model.HostID { return "" },
		holdings: map[model.Workspace]*holding{},
		links:    map[model.HostID]*link{},
	}
}

// SetSlots replaces the slots of this host. A slot that is missing is given up at once.
func (h *Holder) SetSlots(now time.Time, slots []Slot) {
	h.advance(now)
	h.slots = slices.Clone(slots)
	h.advance(now)
}

// SetLimits replaces the limits of all workspaces. A new workspace begins with level 0.
func (h *Holder) SetLimits(now time.Time, limits map[model.Workspace]Limit) {
	h.advance(now)
	for ws, x := range h.holdings {
		if _, ok := limits[ws]; !ok {
			x.limit, x.removed = Limit{}, true
		}
	}
	for ws, l := range limits {
		x := h.holdings[ws]
		if x == nil {
			x = &holding{at: now, due: now}
			h.holdings[ws] = x
		}
		x.limit, x.removed = l, false
	}
	h.order = h.order[:0]
	for ws := range h.holdings {
		h.order = append(h.order, ws)
	}
	slices.Sort(h.order)
	h.advance(now)
}

// SetBrokers replaces the choice of brokers. Call it after each change of the membership.
func (h *Holder) SetBrokers(brokerOf BrokerLookup) { h.brokerOf = brokerOf }

// Drain makes the holder ask for all its loans and lend nothing more.
func (h *Holder) Drain() { h.draining = true }

// Lent reports whether any slot is lent.
func (h *Holder) HasLoans(now time.Time) bool {
	h.advance(now)
	for _, x := range h.holdings {
		if x.lent {
			return true
		}
	}
	return false
}

// Admit admits a request from this host's own share. It reports false when the share is lent or used up.
func (h *Holder) Admit(now time.Time, ws model.Workspace) bool {
	x := h.holdings[ws]
	if x == nil {
		return false
	}
	h.advanceOne(now, x)
	if x.lent || x.level < 1-epsilon {
		return false
	}
	x.level--
	return true
}

// Messages returns the batches that are due.
func (h *Holder) Messages(now time.Time) []LoanMessage {
	h.advance(now)
	batches := map[model.HostID]*LoanBatch{}
	for _, ws := range h.order {
		x := h.holdings[ws]
		to := h.receiver(ws, x)
		if to == "" || x.due.After(now) && !h.returnDue(ws, x) {
			continue
		}
		if l := h.link(to); l.waiting && now.Sub(l.sent) < loanTimeout {
			continue
		}
		if batches[to] == nil {
			batches[to] = &LoanBatch{Holder: h.host, Incarnation: h.incarnation}
		}
	}
	var out []LoanMessage
	for _, to := range sortedKeys(batches) {
		out = append(out, LoanMessage{To: to, Batch: h.fill(now, to, batches[to])})
	}
	return out
}

// receiver returns the host that the next message about x goes to.
func (h *Holder) receiver(ws model.Workspace, x *holding) model.HostID {
	if x.lent {
		return x.broker
	}
	if h.draining || x.removed || x.share.Burst == 0 {
		return ""
	}
	return h.brokerOf(ws)
}

func (h *Holder) link(broker model.HostID) *link {
	l := h.links[broker]
	if l == nil {
		l = &link{}
		h.links[broker] = l
	}
	return l
}

// fill adds all loans to the broker that are due now or soon, so that renewals of all workspaces share one batch.
func (h *Holder) fill(now time.Time, to model.HostID, batch *LoanBatch) LoanBatch {
	l := h.link(to)
	l.sequence++
	l.sent, l.waiting = now, true
	batch.Sequence, batch.Stamp = l.sequence, l.stamp
	for _, ws := range h.order {
		x := h.holdings[ws]
		if h.receiver(ws, x) != to {
			continue
		}
		if h.returnDue(ws, x) {
			// From here on the epoch is never renewed, because the broker's return may already be on its way.
			x.returning = true
		}
		if loan, ok := h.loan(now, ws, x, l); ok {
			batch.Loans = append(batch.Loans, loan)
		}
	}
	return *batch
}

// returnDue reports whether a loan has to be returned for which no return was asked yet.
func (h *Holder) returnDue(ws model.Workspace, x *holding) bool {
	return x.lent && !x.returning && (h.draining || x.removed || h.brokerOf(ws) != x.broker)
}

func (h *Holder) loan(now time.Time, ws model.Workspace, x *holding, l *link) (Loan, bool) {
	if l.stamp.Incarnation == 0 || x.lent && x.brokerInc != l.stamp.Incarnation {
		// A loan of a former incarnation of the broker can't be renewed; it ends at takeBack.
		x.due = now.Add(lendEvery)
		return Loan{}, false
	}
	if x.returning {
		x.due = now.Add(returnEvery)
		return Loan{Workspace: ws, Epoch: x.epoch, Return: true}, true
	}
	duration, every := LoanDuration, lendEvery
	if x.idle && x.confirmed {
		duration, every = IdleLoanDuration, idleLendEvery
	}
	if x.lent && x.confirmed && x.due.Sub(now) > every/4 {
		return Loan{}, false
	}
	if now.Sub(l.received) >= duration/2 {
		// The stamp is too old for a useful loan. The reply to this batch brings a new one.
		x.due = now
		return Loan{}, false
	}
	if !x.lent {
		h.epoch++
		x.lent, x.confirmed, x.idle = true, false, false
		x.broker, x.brokerInc, x.epoch = h.brokerOf(ws), l.stamp.Incarnation, h.epoch
		x.lentLevel, x.level, x.takeBack = x.level, 0, time.Time{}
	}
	x.due = now.Add(every)
	x.takeBack = later(x.takeBack, l.received.Add(extend(duration)))
	loan := Loan{Workspace: ws, Epoch: x.epoch, Limit: x.share, Duration: duration}
	if !x.confirmed {
		loan.Level = x.lentLevel
	}
	return loan, true
}

// HandleReply takes the reply of a broker.
func (h *Holder) HandleReply(now time.Time, from model.HostID, reply LoanReply) {
	h.advance(now)
	l := h.link(from)
	if reply.Sequence == l.sequence {
		l.waiting = false
	}
	if reply.Stamp.Incarnation > l.stamp.Incarnation {
		l.stamp, l.received = reply.Stamp, now
		h.lendSoon(now, from)
	} else if reply.Stamp.Incarnation == l.stamp.Incarnation && reply.Stamp.At > l.stamp.At {
		l.stamp, l.received = reply.Stamp, now
	}
	for _, s := range reply.Loans {
		x := h.holdings[s.Workspace]
		if x == nil || !x.lent || x.broker != from || x.brokerInc != reply.Stamp.Incarnation || x.epoch != s.Epoch {
			continue
		}
		if s.Returned {
			x.end(now, s.Level)
			continue
		}
		if x.idle && !s.Idle {
			x.due = earlier(x.due, now.Add(lendEvery))
		}
		x.confirmed, x.idle = true, s.Idle
	}
}

// lendSoon makes the shares due that can be lent to a broker whose first stamp has arrived.
func (h *Holder) lendSoon(now time.Time, broker model.HostID) {
	for ws, x := range h.holdings {
		if !x.lent && h.receiver(ws, x) == broker {
			x.due = now
		}
	}
}

// Next returns the time at which Messages has something to do, or the zero time. It may have passed.
func (h *Holder) NextDue(now time.Time) time.Time {
	var next time.Time
	for _, ws := range h.order {
		x := h.holdings[ws]
		if x.lent {
			next = earlier(next, x.takeBack)
		}
		to := h.receiver(ws, x)
		if to == "" {
			continue
		}
		due := x.due
		if h.returnDue(ws, x) {
			due = now // a return is due at once
		}
		if l := h.links[to]; l != nil && l.waiting {
			due = later(due, l.sent.Add(loanTimeout))
		}
		next = earlier(next, due)
	}
	for _, s := range h.slots {
		if s.UsableFrom.After(now) {
			next = earlier(next, s.UsableFrom)
		}
	}
	return next
}

// advance refills all buckets and takes back the loans that have ended.
func (h *Holder) advance(now time.Time) {
	for ws, x := range h.holdings {
		h.advanceOne(now, x)
		if x.removed && !x.lent {
			delete(h.holdings, ws)
			h.order = slices.DeleteFunc(h.order, func(o model.Workspace) bool { return o == ws })
		}
	}
}

func (h *Holder) advanceOne(now time.Time, x *holding) {
	if x.lent && !now.Before(x.takeBack) {
		level := 0.0
		if disabled.levelZero {
			level = x.lentLevel
		}
		x.end(x.takeBack, level)
	}
	if !x.lent && now.After(x.at) {
		// A slot that became usable since the last call counts from now on, which is never too early.
		x.level += refilled(x.share.Rate, now.Sub(x.at))
	}
	x.at = later(x.at, now)
	x.share = x.limit.scaled(float64(h.usable(now)) / float64(h.total))
	x.level = min(x.level, x.share.Burst)
}

// end gives the slots back to the holder.
func (x *holding) end(at time.Time, level float64) {
	x.lent, x.returning, x.confirmed = false, false, false
	x.level, x.at = level, at
	x.lentLevel, x.due = 0, at
}

func (h *Holder) usable(now time.Time) int {
	n := 0
	for _, s := range h.slots {
		if !now.Before(s.UsableFrom) {
			n++
		}
	}
	return n
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
