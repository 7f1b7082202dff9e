package failover_test

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const requestTime = 1500 * ms

// client is a session that runs one request after the other, each through a home of its choice. It writes rising values
// to its own key and reads them back.
type client struct {
	w     *world
	key   int
	value int
	mark  model.Position
	reads uint
	stop  bool
}

// request is one read or write. Only its first result counts.
type request struct {
	*client
	home     *home
	key      int
	value    int
	age      time.Duration
	start    time.Duration
	deadline time.Duration
	done     bool
}

func (c *client) next() {
	if c.stop {
		return
	}
	w := c.w
	home := w.homes[w.rng.IntN(len(w.homes))]
	r := &request{client: c, home: home, key: c.key, start: w.now, deadline: w.now + requestTime}
	w.after(requestTime, func() { r.finish(func() { w.noteTimeout(r) }) })
	switch p := w.rng.Float64(); {
	case p < 0.5:
		c.value++
		r.value = c.value
		r.try(r.write)
	case p < 0.9:
		r.try(r.read)
	default:
		r.key, r.age = w.rng.IntN(len(w.clients)), time.Second+w.upTo(time.Second)
		r.try(r.read)
	}
}

// finish notes the result and begins the next request.
func (r *request) finish(note func()) {
	if r.done {
		return
	}
	r.done = true
	note()
	r.w.after(time.Millisecond+r.w.upTo(20*ms), r.next)
}

func (r *request) again(f func()) {
	r.w.after(5*ms, func() { r.try(f) })
}

// try runs f on the home, as soon as the home is up.
func (r *request) try(f func()) {
	switch {
	case r.done:
	case !r.home.up:
		r.again(f)
	default:
		r.home.local(f)
	}
}

func (r *request) write() {
	h := r.home
	if r.done {
		return
	}
	decision := routing.ChooseWrite(r.w.clock(), h.group(), r.mark, r.w.clock().Add(r.deadline-r.w.now))
	if decision.Kind != routing.KindPrimary {
		r.again(r.write)
		return
	}
	target := decision.Target
	var position model.Position
	var ran bool
	h.running++
	counted := true
	end := func() {
		if counted {
			counted, h.running = false, h.running-1
		}
	}
	r.w.after(requestTime, end)
	answered := false
	r.repeat(h.view.Term, &answered)
	var at time.Duration
	run := func(f *fake) {
		if !ran { // the message may be duplicated
			position, ran = f.write(r.key, r.value)
			at = r.w.now
		}
	}
	h.call(target, false, run, func() {
		end()
		if r.done || answered {
			return
		}
		answered = true
		if !ran {
			r.again(r.write)
			return
		}
		h.confirm(target, position, r.deadline, func(ok bool) {
			switch {
			case r.done:
			case !ok:
				r.again(r.write)
			default:
				r.mark = r.mark.Later(position)
				r.finish(func() { r.w.noteAcknowledged(r, position.Term, at) })
			}
		})
	})
}

// repeat runs a write without answer again when the primary or the home has changed. The members find a repetition, as the request
// ledger does.
func (r *request) repeat(term uint64, answered *bool) {
	r.w.after(10*ms, func() {
		switch {
		case r.done || *answered:
		case r.home.view.Term == term:
			r.repeat(term, answered)
		default:
			*answered = true
			r.try(r.write)
		}
	})
}

func (r *request) read() {
	h, w := r.home, r.w
	if r.done {
		return
	}
	r.reads++
	read := routing.ReadRequest{Mark: r.mark, MaxStaleness: r.age, Rotation: r.reads}
	read.WaitUntil = w.clock().Add(r.start + routing.DefaultMarkWait - w.now)
	read.Deadline = w.clock().Add(r.deadline - w.now)
	if w.ignoreMark || r.key != r.client.key {
		read.Mark = model.Position{}
	}
	if w.ignoreStaleness {
		read.MaxStaleness = 0
	}
	decision := routing.ChooseRead(w.clock(), h.group(), read)
	switch decision.Kind {
	case routing.KindReplica, routing.KindPrimary:
		r.fetch(decision)
	default:
		if decision.ResolvePrimary {
			h.handle(failover.TermObserved{Term: r.mark.Term})
		}
		r.again(r.read)
	}
}

// fetch runs a read on its target. A read of the primary is confirmed like a write, so that a session never sees data
// that a failover removes.
func (r *request) fetch(decision routing.Decision) {
	var position model.Position
	var value int
	var primary bool
	get := func(f *fake) {
		position, value, primary = f.position(), f.read(r.key), f.role == failover.RolePrimary
	}
	decided := r.w.now // duplicated answers can make several reads of one request
	finish := func() {
		r.finish(func() {
			if r.key == r.client.key {
				r.mark = r.mark.Later(position)
			}
			r.w.noteRead(r, value, decision.Kind, decided)
		})
	}
	r.home.call(decision.Target, false, get, func() {
		switch {
		case r.done:
		case decision.Kind == routing.KindReplica:
			finish()
		case !primary:
			r.again(r.read)
		default:
			r.home.confirm(decision.Target, position, r.deadline, func(ok bool) {
				if ok {
					finish()
				} else if !r.done {
					r.again(r.read)
				}
			})
		}
	})
}
