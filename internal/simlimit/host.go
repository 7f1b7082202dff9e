package simlimit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// epoch is the reading of a local clock at the beginning of a run.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type host struct {
	sim         *sim
	index       int
	id          model.HostID
	incarnation model.Incarnation
	run         int // changes with every start and death; older events are void
	dead        bool
	suspected   bool // the members take the host for dead
	pausedUntil int64
	cutUntil    int64 // no messages until this time
	clockRate   float64
	clockOffset time.Duration
	newsAt      int64 // time at which documents are read again
	slotFrom    map[int]time.Time

	holder      *limit.Holder
	broker      *limit.Broker
	spender     *limit.Spender
	holderTimer int64
	spendTimer  int64
	shares      map[model.Workspace]*central // for design Static
}

// start starts the host with empty state. Its slots wait, except at the beginning of the run.
func (h *host) start(wait time.Duration) {
	s := h.sim
	h.dead = false
	h.run++
	h.incarnation++
	h.pausedUntil, h.newsAt = 0, math.MaxInt64
	h.clockRate = 1 + s.cfg.MaxClockDrift*(2*s.rng.Float64()-1)
	h.clockOffset = time.Duration(s.rng.Int64N(int64(time.Hour)))
	h.holder = limit.NewHolder(h.id, h.incarnation, s.cfg.Slots)
	h.broker = limit.NewBroker(h.incarnation, h.clock())
	h.spender = limit.NewSpender(h.id, h.incarnation)
	h.holderTimer, h.spendTimer = math.MaxInt64, math.MaxInt64
	h.slotFrom = map[int]time.Time{}
	h.see(s.truth)
	h.read(wait)
	h.shares = nil
	h.runHolder()
}

// clock returns the local time.
func (h *host) clock() time.Time {
	return epoch.Add(h.clockOffset + time.Duration(float64(h.sim.now)*h.clockRate))
}

// trueTime returns the time of the run at which the local clock shows t.
func (h *host) trueTime(t time.Time) int64 {
	return int64(math.Ceil(float64(t.Sub(epoch)-h.clockOffset)/h.clockRate)) + 1
}

// do runs fn on the host: later if it is paused, never if it has died or restarted meanwhile.
func (h *host) do(fn func()) {
	if h.dead {
		return
	}
	if h.pausedUntil > h.sim.now {
		run := h.run
		h.sim.at(h.pausedUntil, func() {
			if run == h.run {
				h.do(fn)
			}
		})
		return
	}
	if h.newsAt <= h.sim.now {
		// A host that can't prove that its documents are current does nothing before it has read them.
		h.newsAt = math.MaxInt64
		h.read(slotWait)
		h.runHolder()
	}
	fn()
}

// read takes over the roster and the limits. Slots that are new to this host wait.
func (h *host) read(wait time.Duration) {
	s, now := h.sim, h.clock()
	if s.cfg.SkipSlotWait {
		wait = 0
	}
	var slots []limit.Slot
	for i, o := range s.slotOf {
		if o != h.index {
			delete(h.slotFrom, i)
			continue
		}
		if _, ok := h.slotFrom[i]; !ok {
			h.slotFrom[i] = now.Add(wait)
		}
		slots = append(slots, limit.Slot{Number: i, UsableFrom: h.slotFrom[i]})
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

// see takes over a view of the members.
func (h *host) see(v *view) {
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

// runHolder sends what the holder has to send and sets its timer.
func (h *host) runHolder() {
	if h.sim.cfg.Design != DesignLent {
		return
	}
	s := h.sim
	run := h.run
	for _, m := range h.holder.Messages(h.clock()) {
		to := s.byID[m.To]
		s.send(h, to, s.meter.size(m.Batch), func() {
			reply := to.broker.HandleLoans(to.clock(), m.Batch)
			s.send(to, h, s.meter.size(reply), func() {
				if run != h.run {
					return
				}
				h.holder.HandleReply(h.clock(), m.To, reply)
				h.runHolder()
			})
		})
	}
	if t := h.holder.NextDue(h.clock()); !t.IsZero() {
		h.timer(&h.holderTimer, t, h.runHolder)
	}
}

// runSpender sends what the spender has to send, notes its decisions and sets its timer.
func (h *host) runSpender() {
	if h.sim.cfg.Design != DesignLent {
		return
	}
	s := h.sim
	messages, decisions := h.spender.Poll(h.clock())
	s.decide(decisions)
	run := h.run
	for _, m := range messages {
		to := s.byID[m.To]
		s.send(h, to, s.meter.size(m.Request), func() {
			reply := to.broker.HandleTokens(to.clock(), m.Request)
			s.send(to, h, s.meter.size(reply), func() {
				if run != h.run {
					return
				}
				s.decide(h.spender.HandleReply(h.clock(), m.To, reply))
				h.runSpender()
			})
		})
	}
	if t := h.spender.NextDue(); !t.IsZero() {
		h.timer(&h.spendTimer, t, h.runSpender)
	}
}

// timer calls fn at a local time, unless an earlier call is set.
func (h *host) timer(set *int64, t time.Time, fn func()) {
	at := max(h.trueTime(t), h.sim.now+int64(100*time.Microsecond))
	if *set <= at && *set > h.sim.now {
		return
	}
	*set = at
	run := h.run
	h.sim.at(at, func() {
		if run != h.run || *set != at {
			return
		}
		h.do(func() {
			if run == h.run {
				*set = math.MaxInt64
				fn()
			}
		})
	})
}
