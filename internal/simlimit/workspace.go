package simlimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// workspace is the state of a simulated workspace: arrivals, reference bucket and over-admission check.
type workspace struct {
	Workspace
	name      model.Workspace
	limit     limit.Limit
	removed   bool
	random    *rand.Rand
	hostRank  []int     // hosts in descending order of their share of the load
	weights   []float64 // cumulative Zipf weights by rank
	central   tokenBucket
	checker   checker
	stats     Stats
	owner     int          // host that owns the workspace in DesignOwner, initially -1
	bucket    *tokenBucket // bucket at the owner
	replacing bool         // the owner is dead and has no successor yet
}

func (s *sim) addWorkspace(c Workspace) {
	index := len(s.workspaces)
	w := &workspace{
		Workspace: c, name: c.Name, limit: c.Limit, owner: -1,
		random:  rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+index))),
		central: tokenBucket{limit: c.Limit},
	}
	w.hostRank = w.random.Perm(s.cfg.Hosts)
	sum := 0.0
	for i := range s.cfg.Hosts {
		sum += 1 / math.Pow(float64(i+1), c.ZipfExponent)
		w.weights = append(w.weights, sum)
	}
	w.checker.setLimit(0, c.Limit)
	s.workspaces = append(s.workspaces, w)
}

// scheduleArrival schedules the next arrival of a Poisson process.
func (w *workspace) scheduleArrival(s *sim) {
	rate := w.Limit.Rate * w.Load
	if rate <= 0 {
		return
	}
	if w.PulsePeriod > 0 {
		rate *= 4
	}
	d := time.Duration(w.random.ExpFloat64() / rate * float64(second))
	if w.PulsePeriod > 0 && (s.now+int64(d))%int64(w.PulsePeriod) > int64(w.PulsePeriod)/4 {
		d = w.PulsePeriod - time.Duration(s.now%int64(w.PulsePeriod))
	}
	s.after(d, func() {
		w.arrive(s)
		w.scheduleArrival(s)
	})
}

// arrive sends one request to a host. The load balancer avoids dead and paused hosts.
func (w *workspace) arrive(s *sim) {
	x := w.random.Float64() * w.weights[len(w.weights)-1]
	rank := 0
	for w.weights[rank] < x {
		rank++
	}
	var h *host
	for range s.hosts {
		if c := s.hosts[w.hostRank[rank]]; !c.dead && c.pausedUntil <= s.now {
			h = c
			break
		}
		rank = (rank + 1) % len(w.hostRank)
	}
	if h == nil {
		return
	}
	r := &request{ws: w, central: w.central.admit(s.now, limit.MaxWait)}
	// Requests that may still be waiting at the end of the run are not counted either.
	r.uncounted = s.now < int64(s.cfg.Warmup) || s.now > int64(s.cfg.Duration-2*limit.MaxWait)
	if !r.uncounted {
		w.stats.countOffered(r)
	}
	if !r.uncounted && s.now >= int64(s.cfg.Duration-s.cfg.Tail) {
		r.tail = true
		w.stats.TailOffered++
		if r.central {
			w.stats.TailCentralAdmitted++
		}
	}
	h.execute(func() { s.decideAt(h, r) })
}

// decideAt applies the simulated design to a request that arrived at h.
func (s *sim) decideAt(h *host, r *request) {
	switch s.cfg.Design {
	case DesignStatic:
		s.finish(r, h.admitStaticShare(r.ws))
	case DesignOwner:
		s.askOwner(h, r)
	default:
		if h.holder.Admit(h.clock(), r.ws.name) {
			s.finish(r, true)
			return
		}
		s.lastRequestID++
		s.pending[s.lastRequestID] = r
		s.finishDecided([]limit.Decision{h.spender.Admit(h.clock(), r.ws.name, s.lastRequestID)})
		h.runSpender()
	}
}

func (s *sim) finishDecided(decisions []limit.Decision) {
	for _, d := range decisions {
		r := s.pending[d.Ticket]
		if r == nil || d.Status == limit.Pending {
			continue
		}
		delete(s.pending, d.Ticket)
		s.finish(r, d.Status == limit.Admitted)
	}
}

// finish records the decision on a request.
func (s *sim) finish(r *request, admitted bool) {
	stats := &r.ws.stats
	if admitted {
		stats.OverAdmission = math.Max(stats.OverAdmission, r.ws.checker.admit(s.now))
	}
	if r.uncounted {
		return
	}
	if admitted {
		stats.Admitted++
		if r.tail {
			stats.TailAdmitted++
		}
	} else if r.central {
		stats.FalseRefusals++
	}
}

// tokenBucket is a token bucket whose requests may queue for a token. It is used as the central reference, as a static
// share and as an owner's bucket.
type tokenBucket struct {
	limit     limit.Limit
	tokens    float64 // negative if tokens are reserved for waiting requests
	updatedAt int64
}

// admit takes a token and reports true if it is available within the wait.
func (b *tokenBucket) admit(now int64, wait time.Duration) bool {
	_, ok := b.delay(now, wait)
	return ok
}

// delay takes a token and returns the time until it is available, or false if that exceeds the wait.
func (b *tokenBucket) delay(now int64, wait time.Duration) (time.Duration, bool) {
	b.tokens = math.Min(b.limit.Burst, b.tokens+b.limit.Rate*float64(now-b.updatedAt)/float64(second))
	b.updatedAt = now
	if b.limit.Rate <= 0 || b.limit.Burst < 1 {
		return 0, false
	}
	d := time.Duration(math.Max(0, (1-b.tokens)/b.limit.Rate) * float64(second))
	if d > wait {
		return 0, false
	}
	b.tokens--
	return d, true
}

// checker incrementally computes the largest over-admission of all windows of a sequence of admissions. While a limit
// change propagates, the largest limit that may be in force applies.
type checker struct {
	limits        []limitInterval
	excess        float64 // maximum of count − rate × length over the windows that end now
	settledExcess float64 // excess over the windows that start after the last change settled
	updatedAt     int64
	settled       bool
}

type limitInterval struct {
	limit limit.Limit
	until int64 // the limit may be in force until this time
}

func (c *checker) setLimit(now int64, l limit.Limit) {
	c.advance(now)
	if n := len(c.limits); n > 0 {
		c.limits[n-1].until = now + int64(limitSettleTime)
	}
	c.limits = append(c.limits, limitInterval{limit: l, until: math.MaxInt64})
	c.settled = false
}

// advance reduces the excess by the highest rate in force, separately for each interval between two limit expiries.
func (c *checker) advance(now int64) {
	for c.updatedAt < now {
		to, rate := now, 0.0
		for _, b := range c.limits {
			if b.until > c.updatedAt {
				to = min(to, b.until)
				rate = math.Max(rate, b.limit.Rate)
			}
		}
		d := rate * float64(to-c.updatedAt) / float64(second)
		c.excess, c.settledExcess = math.Max(0, c.excess-d), math.Max(0, c.settledExcess-d)
		c.updatedAt = to
		if !c.settled && c.activeLimits() == 1 {
			c.settled, c.settledExcess = true, 0
		}
	}
}

func (c *checker) activeLimits() int {
	n := 0
	for _, b := range c.limits {
		if b.until > c.updatedAt {
			n++
		}
	}
	return n
}

// admit records an admission and returns the maximum of count − rate × length − burst over the windows that end now.
func (c *checker) admit(now int64) float64 {
	c.advance(now)
	c.excess++
	c.settledExcess++
	burst := 0.0
	for _, b := range c.limits {
		burst = math.Max(burst, b.limit.Burst)
	}
	over := c.excess - burst
	if c.settled {
		over = math.Max(over, c.settledExcess-c.limits[len(c.limits)-1].limit.Burst)
	}
	if over < 1e-6 {
		return 0
	}
	return over
}
