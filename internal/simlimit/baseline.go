package simlimit

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// admitStaticShare decides on a request with this host's fixed share of the rate and burst.
func (h *host) admitStaticShare(w *workspace) bool {
	if h.staticShares == nil {
		h.staticShares = map[model.Workspace]*tokenBucket{}
	}
	bucket := h.staticShares[w.name]
	if bucket == nil {
		n := float64(len(h.sim.hosts))
		bucket = &tokenBucket{limit: limit.Limit{Rate: w.limit.Rate / n, Burst: w.limit.Burst / n}, updatedAt: h.sim.now}
		if h.incarnation == 1 {
			bucket.updatedAt = 0 // filling since the start of the simulation; after a restart the bucket starts empty
		}
		h.staticShares[w.name] = bucket
	}
	return bucket.admit(h.sim.now, limit.MaxWait)
}

// ownerMessage represents the smallest possible request to an owner, and the reply.
type ownerMessage struct {
	Sequence  uint64
	Workspace model.Workspace
	Admitted  bool
}

// ownerHost returns the index of the host that owns the workspace. The initial owner is the broker in the initial view.
func (w *workspace) ownerHost(s *sim) int {
	if w.owner < 0 {
		w.owner = s.currentView.brokers[w.name]
		w.bucket = &tokenBucket{limit: w.limit}
	}
	h := s.hosts[w.owner]
	if h.dead && !w.replacing {
		w.replacing = true
		s.after(ownerReplacementDelay, func() {
			w.owner, w.replacing = s.currentView.brokers[w.name], false
			w.bucket = &tokenBucket{limit: w.limit, updatedAt: s.now}
		})
	}
	return w.owner
}

// askOwner requests one token from the owner. The request is refused if the reply takes longer than limit.MaxWait.
func (s *sim) askOwner(h *host, r *request) {
	owner := s.hosts[r.ws.ownerHost(s)]
	pending := true
	s.after(limit.MaxWait+2*time.Millisecond, func() {
		if pending {
			pending = false
			s.finish(r, false)
		}
	})
	size := s.meter.size(ownerMessage{Sequence: 1 << 20, Workspace: r.ws.name})
	s.send(h, owner, size, func() {
		d, ok := r.ws.bucket.delay(s.now, limit.MaxWait)
		s.after(d, func() {
			s.send(owner, h, size, func() {
				if pending {
					pending = false
					s.finish(r, ok)
				}
			})
		})
	})
}
