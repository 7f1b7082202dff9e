package limit

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Holder owns the share slots of this host and lends them to the brokers of the workspaces.
type Holder struct {
	host        model.HostID
	incarnation model.Incarnation
	totalSlots  int // slots of all hosts together
	slots       []Slot
	brokerOf    BrokerLookup
	draining    bool
	lastEpoch   uint64
	shares      map[model.Workspace]*workspaceShare
	order       []model.Workspace // keys of shares, sorted
	brokers     map[model.HostID]*brokerState
}

// workspaceShare is the state of this host's slots for one workspace.
type workspaceShare struct {
	limit      Limit // of the whole workspace
	usable     Limit // of the usable slots, since refilledAt
	level      float64
	refilledAt time.Time // time up to which level is refilled
	removed    bool      // the workspace was deleted; the entry is kept until the loan has ended

	lent              bool
	returning         bool // a return was requested; this epoch is never renewed again
	confirmed         bool // the broker has received the level of this epoch
	idle              bool
	broker            model.HostID
	brokerIncarnation model.Incarnation
	epoch             uint64
	lentLevel         float64
	reclaimAt         time.Time
	due               time.Time // next renewal or return
}

// brokerState is the holder's state for one broker.
type brokerState struct {
	stamp         Stamp
	stampReceived time.Time // arrival time of stamp
	lastSent      time.Time // send time of the last batch
	awaitingReply bool      // the last batch is unanswered
	sequence      uint64
}

// NewHolder returns a holder without slots. totalSlots is the number of slots of all hosts together.
func NewHolder(host model.HostID, incarnation model.Incarnation, totalSlots int) *Holder {
	return &Holder{
		host: host, incarnation: incarnation, totalSlots: totalSlots,
		brokerOf: func(model.Workspace) model.HostID { return "" },
		shares:   map[model.Workspace]*workspaceShare{},
		brokers:  map[model.HostID]*brokerState{},
	}
}

// SetSlots replaces the slots of this host. A slot that is not in the list is given up at once.
func (h *Holder) SetSlots(now time.Time, slots []Slot) {
	h.advance(now)
	h.slots = slices.Clone(slots)
	h.advance(now)
}

// SetLimits replaces the limits of all workspaces. A new workspace starts with level 0.
func (h *Holder) SetLimits(now time.Time, limits map[model.Workspace]Limit) {
	h.advance(now)
	for ws, share := range h.shares {
		if _, ok := limits[ws]; !ok {
			share.limit, share.removed = Limit{}, true
		}
	}
	for ws, l := range limits {
		share := h.shares[ws]
		if share == nil {
			share = &workspaceShare{refilledAt: now, due: now}
			h.shares[ws] = share
		}
		share.limit, share.removed = l, false
	}
	h.order = h.order[:0]
	for ws := range h.shares {
		h.order = append(h.order, ws)
	}
	slices.Sort(h.order)
	h.advance(now)
}

// SetBrokers replaces the assignment of brokers. Call it after each membership change.
func (h *Holder) SetBrokers(brokerOf BrokerLookup) { h.brokerOf = brokerOf }

// Drain makes the holder request the return of all loans and stop lending.
func (h *Holder) Drain() { h.draining = true }

// HasLoans reports whether any slot is lent.
func (h *Holder) HasLoans(now time.Time) bool {
	h.advance(now)
	for _, share := range h.shares {
		if share.lent {
			return true
		}
	}
	return false
}

// Admit admits a request from this host's own share. It returns false if the share is lent or used up.
func (h *Holder) Admit(now time.Time, ws model.Workspace) bool {
	share := h.shares[ws]
	if share == nil {
		return false
	}
	h.advanceShare(now, share)
	if share.lent || share.level < 1-epsilon {
		return false
	}
	share.level--
	return true
}

// Messages returns the batches that are due.
func (h *Holder) Messages(now time.Time) []LoanMessage {
	h.advance(now)
	batches := map[model.HostID]*LoanBatch{}
	for _, ws := range h.order {
		share := h.shares[ws]
		to := h.destination(ws, share)
		if to == "" || share.due.After(now) && !h.needsReturn(ws, share) {
			continue
		}
		if broker := h.brokerState(to); broker.awaitingReply && now.Sub(broker.lastSent) < loanReplyTimeout {
			continue
		}
		if batches[to] == nil {
			batches[to] = &LoanBatch{Holder: h.host, Incarnation: h.incarnation}
		}
	}
	var messages []LoanMessage
	for _, to := range sortedKeys(batches) {
		messages = append(messages, LoanMessage{To: to, Batch: h.fillBatch(now, to, batches[to])})
	}
	return messages
}

// destination returns the host that receives the next message about a share, or "" if there is none.
func (h *Holder) destination(ws model.Workspace, share *workspaceShare) model.HostID {
	if share.lent {
		return share.broker
	}
	if h.draining || share.removed || share.usable.Burst == 0 {
		return ""
	}
	return h.brokerOf(ws)
}

// brokerState returns the state for a broker and creates it if necessary.
func (h *Holder) brokerState(id model.HostID) *brokerState {
	broker := h.brokers[id]
	if broker == nil {
		broker = &brokerState{}
		h.brokers[id] = broker
	}
	return broker
}

// fillBatch adds all loans to the broker that are due now or soon, so that the renewals of all workspaces share one batch.
func (h *Holder) fillBatch(now time.Time, to model.HostID, batch *LoanBatch) LoanBatch {
	broker := h.brokerState(to)
	broker.sequence++
	broker.lastSent, broker.awaitingReply = now, true
	batch.Sequence, batch.Stamp = broker.sequence, broker.stamp
	for _, ws := range h.order {
		share := h.shares[ws]
		if h.destination(ws, share) != to {
			continue
		}
		if h.needsReturn(ws, share) {
			// From now on the epoch is never renewed, because the return from the broker may already be in flight.
			share.returning = true
		}
		if loan, ok := h.buildLoan(now, ws, share, broker); ok {
			batch.Loans = append(batch.Loans, loan)
		}
	}
	return *batch
}

// needsReturn reports whether a loan has to be returned and its return was not requested yet.
func (h *Holder) needsReturn(ws model.Workspace, share *workspaceShare) bool {
	return share.lent && !share.returning && (h.draining || share.removed || h.brokerOf(ws) != share.broker)
}

// buildLoan returns the next loan message of a share, and false if none is due.
func (h *Holder) buildLoan(now time.Time, ws model.Workspace, share *workspaceShare, broker *brokerState) (Loan, bool) {
	if broker.stamp.Incarnation == 0 || share.lent && share.brokerIncarnation != broker.stamp.Incarnation {
		// A loan to a former incarnation of the broker cannot be renewed. It ends at reclaimAt.
		share.due = now.Add(renewInterval)
		return Loan{}, false
	}
	if share.returning {
		share.due = now.Add(returnRetryInterval)
		return Loan{Workspace: ws, Epoch: share.epoch, Return: true}, true
	}
	duration, interval := LoanDuration, renewInterval
	if share.idle && share.confirmed {
		duration, interval = IdleLoanDuration, idleRenewInterval
	}
	if share.lent && share.confirmed && share.due.Sub(now) > interval/4 {
		return Loan{}, false
	}
	if now.Sub(broker.stampReceived) >= duration/2 {
		// The stamp is too old for a useful loan. The reply to this batch contains a new one.
		share.due = now
		return Loan{}, false
	}
	if !share.lent {
		h.lastEpoch++
		share.lent, share.confirmed, share.idle = true, false, false
		share.broker, share.brokerIncarnation, share.epoch = h.brokerOf(ws), broker.stamp.Incarnation, h.lastEpoch
		share.lentLevel, share.level, share.reclaimAt = share.level, 0, time.Time{}
	}
	share.due = now.Add(interval)
	share.reclaimAt = later(share.reclaimAt, broker.stampReceived.Add(withClockTolerance(duration)))
	loan := Loan{Workspace: ws, Epoch: share.epoch, Limit: share.usable, Duration: duration}
	if !share.confirmed {
		loan.Level = share.lentLevel
	}
	return loan, true
}

// HandleReply processes the reply of a broker.
func (h *Holder) HandleReply(now time.Time, from model.HostID, reply LoanReply) {
	h.advance(now)
	broker := h.brokerState(from)
	if reply.Sequence == broker.sequence {
		broker.awaitingReply = false
	}
	if reply.Stamp.Incarnation > broker.stamp.Incarnation {
		broker.stamp, broker.stampReceived = reply.Stamp, now
		h.scheduleLoans(now, from)
	} else if reply.Stamp.Incarnation == broker.stamp.Incarnation && reply.Stamp.At > broker.stamp.At {
		broker.stamp, broker.stampReceived = reply.Stamp, now
	}
	for _, s := range reply.Loans {
		share := h.shares[s.Workspace]
		if share == nil || !share.lent || share.broker != from ||
			share.brokerIncarnation != reply.Stamp.Incarnation || share.epoch != s.Epoch {
			continue
		}
		if s.Returned {
			share.endLoan(now, s.Level)
			continue
		}
		if share.idle && !s.Idle {
			share.due = earlier(share.due, now.Add(renewInterval))
		}
		share.confirmed, share.idle = true, s.Idle
	}
}

// scheduleLoans marks the shares as due that can be lent to a broker after its first stamp has arrived.
func (h *Holder) scheduleLoans(now time.Time, broker model.HostID) {
	for ws, share := range h.shares {
		if !share.lent && h.destination(ws, share) == broker {
			share.due = now
		}
	}
}

// NextDue returns the time at which Messages must be called next, which may be in the past, or the zero time.
func (h *Holder) NextDue(now time.Time) time.Time {
	var next time.Time
	for _, ws := range h.order {
		share := h.shares[ws]
		if share.lent {
			next = earlier(next, share.reclaimAt)
		}
		to := h.destination(ws, share)
		if to == "" {
			continue
		}
		due := share.due
		if h.needsReturn(ws, share) {
			due = now // returns are due at once
		}
		if broker := h.brokers[to]; broker != nil && broker.awaitingReply {
			due = later(due, broker.lastSent.Add(loanReplyTimeout))
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

// advance refills all buckets and reclaims the slots of expired loans.
func (h *Holder) advance(now time.Time) {
	for ws, share := range h.shares {
		h.advanceShare(now, share)
		if share.removed && !share.lent {
			delete(h.shares, ws)
			h.order = slices.DeleteFunc(h.order, func(o model.Workspace) bool { return o == ws })
		}
	}
}

func (h *Holder) advanceShare(now time.Time, share *workspaceShare) {
	if share.lent && !now.Before(share.reclaimAt) {
		level := 0.0
		if disabled.zeroLevel {
			level = share.lentLevel
		}
		share.endLoan(share.reclaimAt, level)
	}
	if !share.lent && now.After(share.refilledAt) {
		// A slot that became usable since the last call counts only from now on, so it is never counted too early.
		share.level += refillAmount(share.usable.Rate, now.Sub(share.refilledAt))
	}
	share.refilledAt = later(share.refilledAt, now)
	share.usable = share.limit.scaled(float64(h.usableSlots(now)) / float64(h.totalSlots))
	share.level = min(share.level, share.usable.Burst)
}

// endLoan returns the slots to the holder, with the given level.
func (s *workspaceShare) endLoan(at time.Time, level float64) {
	s.lent, s.returning, s.confirmed = false, false, false
	s.level, s.refilledAt = level, at
	s.lentLevel, s.due = 0, at
}

func (h *Holder) usableSlots(now time.Time) int {
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
