package failover_test

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const requestTimeout = 1500 * ms

// client is a session that sends sequential requests, each to a random home. It writes increasing values to its own key,
// reads them back and sometimes reads the key of another client.
type client struct {
	sim     *simulation
	key     int
	value   int
	mark    model.Position
	reads   uint
	stopped bool
}

// request is one read or write. Only the first result is recorded.
type request struct {
	*client
	home         *home
	key          int
	value        int
	maxStaleness time.Duration
	start        time.Duration
	deadline     time.Duration
	done         bool
}

func (c *client) startRequest() {
	if c.stopped {
		return
	}
	sim := c.sim
	home := sim.homes[sim.rng.IntN(len(sim.homes))]
	r := &request{client: c, home: home, key: c.key, start: sim.now, deadline: sim.now + requestTimeout}
	sim.after(requestTimeout, func() { r.finish(func() { sim.recordTimeout(r) }) })
	switch p := sim.rng.Float64(); {
	case p < 0.5:
		c.value++
		r.value = c.value
		r.runAtHome(r.write)
	case p < 0.9:
		r.runAtHome(r.read)
	default:
		r.key, r.maxStaleness = sim.rng.IntN(len(sim.clients)), time.Second+sim.randomDuration(time.Second)
		r.runAtHome(r.read)
	}
}

// finish records the result and schedules the next request.
func (r *request) finish(recordResult func()) {
	if r.done {
		return
	}
	r.done = true
	recordResult()
	r.sim.after(time.Millisecond+r.sim.randomDuration(20*ms), r.startRequest)
}

func (r *request) retryLater(f func()) {
	r.sim.after(5*ms, func() { r.runAtHome(f) })
}

// runAtHome runs f on the home, retrying until the home is up.
func (r *request) runAtHome(f func()) {
	switch {
	case r.done:
	case !r.home.up:
		r.retryLater(f)
	default:
		r.home.runLocally(f)
	}
}

func (r *request) write() {
	h := r.home
	if r.done {
		return
	}
	decision := routing.ChooseWrite(r.sim.clock(), h.group(), r.mark, r.sim.clock().Add(r.deadline-r.sim.now))
	if decision.Kind != routing.KindPrimary {
		r.retryLater(r.write)
		return
	}
	target := decision.Target
	var position model.Position
	var ran bool
	h.runningWrites++
	counted := true
	endWrite := func() {
		if counted {
			counted, h.runningWrites = false, h.runningWrites-1
		}
	}
	r.sim.after(requestTimeout, endWrite)
	answered := false
	r.resendAfterFailover(h.view.Term, &answered)
	var ranAt time.Duration
	run := func(f *fakeMember) {
		if !ran { // messages may be duplicated
			position, ran = f.write(r.key, r.value)
			ranAt = r.sim.now
		}
	}
	h.call(target, false, run, func() {
		endWrite()
		if r.done || answered {
			return
		}
		answered = true
		if !ran {
			r.retryLater(r.write)
			return
		}
		h.confirmDurable(target, position, r.deadline, func(ok bool) {
			switch {
			case r.done:
			case !ok:
				r.retryLater(r.write)
			default:
				r.mark = r.mark.Max(position)
				r.finish(func() { r.sim.recordAcknowledged(r, position.Term, ranAt) })
			}
		})
	})
}

// resendAfterFailover sends an unanswered write again when the primary or the home has changed. Members detect the
// duplicate, as the request ledger does.
func (r *request) resendAfterFailover(term uint64, answered *bool) {
	r.sim.after(10*ms, func() {
		switch {
		case r.done || *answered:
		case r.home.view.Term == term:
			r.resendAfterFailover(term, answered)
		default:
			*answered = true
			r.runAtHome(r.write)
		}
	})
}

func (r *request) read() {
	h, sim := r.home, r.sim
	if r.done {
		return
	}
	r.reads++
	read := routing.ReadRequest{Mark: r.mark, MaxStaleness: r.maxStaleness, Rotation: r.reads}
	read.WaitUntil = sim.clock().Add(r.start + routing.DefaultMarkWait - sim.now)
	read.Deadline = sim.clock().Add(r.deadline - sim.now)
	if sim.ignoreMark || r.key != r.client.key {
		read.Mark = model.Position{}
	}
	if sim.ignoreStaleness {
		read.MaxStaleness = 0
	}
	decision := routing.ChooseRead(sim.clock(), h.group(), read)
	switch decision.Kind {
	case routing.KindReplica, routing.KindPrimary:
		r.readFrom(decision)
	default:
		if decision.ResolvePrimary {
			h.handle(failover.TermObserved{Term: r.mark.Term})
		}
		r.retryLater(r.read)
	}
}

// readFrom runs a read on its target. A read from the primary is confirmed like a write, so that a session never sees data
// that a failover discards.
func (r *request) readFrom(decision routing.Decision) {
	var position model.Position
	var value int
	var primary bool
	get := func(f *fakeMember) {
		position, value, primary = f.position(), f.read(r.key), f.role == failover.RolePrimary
	}
	decidedAt := r.sim.now // a request can read several times if answers are duplicated
	finish := func() {
		r.finish(func() {
			if r.key == r.client.key {
				r.mark = r.mark.Max(position)
			}
			r.sim.recordRead(r, value, decision.Kind, decidedAt)
		})
	}
	r.home.call(decision.Target, false, get, func() {
		switch {
		case r.done:
		case decision.Kind == routing.KindReplica:
			finish()
		case !primary:
			r.retryLater(r.read)
		default:
			r.home.confirmDurable(decision.Target, position, r.deadline, func(ok bool) {
				if ok {
					finish()
				} else if !r.done {
					r.retryLater(r.read)
				}
			})
		}
	})
}
