package simlimit

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// static decides with this host's fixed part of the rate and burst.
func (h *host) static(w *workspace) bool {
	if h.shares == nil {
		h.shares = map[model.Workspace]*central{}
	}
	c := h.shares[w.name]
	if c == nil {
		n := float64(len(h.sim.hosts))
		c = &central{limit: limit.Limit{Rate: w.limit.Rate / n, Burst: w.limit.Burst / n}, at: h.sim.now}
		if h.incarnation == 1 {
			c.at = 0
		}
		h.shares[w.name] = c
	}
	return c.admit(h.sim.now, limit.MaxWait)
}

// ownerMessage stands for the smallest request to an owner and its answer.
type ownerMessage struct {
	Sequence  uint64
	Workspace model.Workspace
	Admitted  bool
}

// ownerHost returns the host that owns the workspace. The first owner is the broker of the first view.
func (w *workspace) ownerHost(s *sim) int {
	if w.owner < 0 {
		w.owner = s.truth.brokers[w.name]
		w.bucket = &central{limit: w.limit}
	}
	h := s.hosts[w.owner]
	if h.dead && !w.replacing {
		w.replacing = true
		s.after(ownerReplaced, func() {
			w.owner, w.replacing = s.truth.brokers[w.name], false
			w.bucket = &central{limit: w.limit, at: s.now}
		})
	}
	return w.owner
}

// askOwner asks the owner for one token. An answer that takes longer than the wait is a refusal.
func (s *sim) askOwner(h *host, r *request) {
	owner := s.hosts[r.ws.ownerHost(s)]
	open := true
	s.after(limit.MaxWait+2*time.Millisecond, func() {
		if open {
			open = false
			s.finish(r, false)
		}
	})
	size := s.meter.size(ownerMessage{Sequence: 1 << 20, Workspace: r.ws.name})
	s.send(h, owner, size, func() {
		d, ok := r.ws.bucket.delay(s.now, limit.MaxWait)
		s.after(d, func() {
			s.send(owner, h, size, func() {
				if open {
					open = false
					s.finish(r, ok)
				}
			})
		})
	})
}
