package simlimit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// clockStart is the base time of the hosts' local clocks.
var clockStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type host struct {
	sim              *sim
	index            int
	id               model.HostID
	incarnation      model.Incarnation
	epoch            int // incremented at each start and death; events of earlier epochs are ignored
	dead             bool
	suspected        bool // the other members consider the host dead
	pausedUntil      int64
	partitionedUntil int64 // messages are dropped until this time
	clockRate        float64
	clockOffset      time.Duration
	nextDocumentRead int64 // time from which the host must read the documents
	slotUsableFrom   map[int]time.Time

	holder       *limit.Holder
	broker       *limit.Broker
	spender      *limit.Spender
	holderTimer  int64
	spenderTimer int64
	staticShares map[model.Workspace]*tokenBucket // for DesignStatic
}

// start starts the host with empty state. Its slots become usable after the wait.
func (h *host) start(wait time.Duration) {
	s := h.sim
	h.dead = false
	h.epoch++
	h.incarnation++
	h.pausedUntil, h.nextDocumentRead = 0, math.MaxInt64
	h.clockRate = 1 + s.cfg.MaxClockDrift*(2*s.random.Float64()-1)
	h.clockOffset = time.Duration(s.random.Int64N(int64(time.Hour)))
	h.holder = limit.NewHolder(h.id, h.incarnation, s.cfg.Slots)
	h.broker = limit.NewBroker(h.incarnation, h.clock())
	h.spender = limit.NewSpender(h.id, h.incarnation)
	h.holderTimer, h.spenderTimer = math.MaxInt64, math.MaxInt64
	h.slotUsableFrom = map[int]time.Time{}
	h.applyView(s.currentView)
	h.readDocuments(wait)
	h.staticShares = nil
	h.runHolder()
}

// clock returns the host's local time.
func (h *host) clock() time.Time {
	return clockStart.Add(h.clockOffset + time.Duration(float64(h.sim.now)*h.clockRate))
}

// simTime converts a local time to simulation time, rounded up.
func (h *host) simTime(t time.Time) int64 {
	return int64(math.Ceil(float64(t.Sub(clockStart)-h.clockOffset)/h.clockRate)) + 1
}

// execute calls fn on the host. A paused host calls it after the pause, unless it dies or restarts first.
func (h *host) execute(fn func()) {
	if h.dead {
		return
	}
	if h.pausedUntil > h.sim.now {
		epoch := h.epoch
		h.sim.at(h.pausedUntil, func() {
			if epoch == h.epoch {
				h.execute(fn)
			}
		})
		return
	}
	if h.nextDocumentRead <= h.sim.now {
		// A host that cannot prove that its documents are current must read them before doing anything else.
		h.nextDocumentRead = math.MaxInt64
		h.readDocuments(slotAdmissionDelay)
		h.runHolder()
	}
	fn()
}

// readDocuments applies the current roster and limits. Slots that are new to this host become usable after the wait.
func (h *host) readDocuments(wait time.Duration) {
	s, now := h.sim, h.clock()
	if s.cfg.SkipSlotWait {
		wait = 0
	}
	var slots []limit.Slot
	for i, holder := range s.slotHolders {
		if holder != h.index {
			delete(h.slotUsableFrom, i)
			continue
		}
		if _, ok := h.slotUsableFrom[i]; !ok {
			h.slotUsableFrom[i] = now.Add(wait)
		}
		slots = append(slots, limit.Slot{Number: i, UsableFrom: h.slotUsableFrom[i]})
	}
	limits := map[model.Workspace]limit.Limit{}
	for _, w := range s.workspaces {
		if !w.removed {
			limits[w.name] = w.limit
		}
	}
	h.holder.SetSlots(now, slots)
	h.holder.SetLimits(now, limits)
}

// applyView applies a membership view.
func (h *host) applyView(v *view) {
	brokerOf := func(ws model.Workspace) model.HostID {
		i, ok := v.brokers[ws]
		if !ok || i < 0 {
			return ""
		}
		return h.sim.hosts[i].id
	}
	h.holder.SetBrokers(brokerOf)
	h.spender.SetBrokers(brokerOf)
	h.runHolder()
	h.runSpender()
}

// runHolder sends the holder's pending messages and sets its timer.
func (h *host) runHolder() {
	if h.sim.cfg.Design != DesignLent {
		return
	}
	s := h.sim
	epoch := h.epoch
	for _, m := range h.holder.Messages(h.clock()) {
		to := s.byID[m.To]
		s.send(h, to, s.meter.size(m.Batch), func() {
			reply := to.broker.HandleLoans(to.clock(), m.Batch)
			s.send(to, h, s.meter.size(reply), func() {
				if epoch != h.epoch {
					return
				}
				h.holder.HandleReply(h.clock(), m.To, reply)
				h.runHolder()
			})
		})
	}
	if t := h.holder.NextDue(h.clock()); !t.IsZero() {
		h.schedule(&h.holderTimer, t, h.runHolder)
	}
}

// runSpender sends the spender's pending messages, applies its decisions and sets its timer.
func (h *host) runSpender() {
	if h.sim.cfg.Design != DesignLent {
		return
	}
	s := h.sim
	messages, decisions := h.spender.Poll(h.clock())
	s.finishDecided(decisions)
	epoch := h.epoch
	for _, m := range messages {
		to := s.byID[m.To]
		s.send(h, to, s.meter.size(m.Request), func() {
			reply := to.broker.HandleTokens(to.clock(), m.Request)
			s.send(to, h, s.meter.size(reply), func() {
				if epoch != h.epoch {
					return
				}
				s.finishDecided(h.spender.HandleReply(h.clock(), m.To, reply))
				h.runSpender()
			})
		})
	}
	if t := h.spender.NextDue(); !t.IsZero() {
		h.schedule(&h.spenderTimer, t, h.runSpender)
	}
}

// schedule calls fn at a local time, unless an earlier call is already scheduled in *timer.
func (h *host) schedule(timer *int64, t time.Time, fn func()) {
	at := max(h.simTime(t), h.sim.now+int64(100*time.Microsecond))
	if *timer <= at && *timer > h.sim.now {
		return
	}
	*timer = at
	epoch := h.epoch
	h.sim.at(at, func() {
		if epoch != h.epoch || *timer != at {
			return
		}
		h.execute(func() {
			if epoch == h.epoch {
				*timer = math.MaxInt64
				fn()
			}
		})
	})
}
