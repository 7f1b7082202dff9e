package simlimit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// workspace is a workspace with its arrivals and checks.
type workspace struct {
	Workspace
	name      model.Workspace
	limit     limit.Limit
	removed   bool
	rng       *rand.Rand
	hostRank  []int     // hosts in order of their part of the load
	weights   []float64 // cumulated Zipf weights by rank
	central   central
	checker   checker
	figures   Stats
	owner     int // host that owns the workspace in design Owner, -1 at the beginning
	bucket    *central
	replacing bool // the owner is dead and has no successor yet
}

func (s *sim) addWorkspace(c Workspace) {
	index := len(s.workspaces)
	w := &workspace{
		Workspace: c, name: c.Name, limit: c.Limit, owner: -1,
		rng:     rand.New(rand.NewPCG(s.cfg.Seed, uint64(1000+index))),
		central: central{limit: c.Limit},
	}
	w.hostRank = w.rng.Perm(s.cfg.Hosts)
	sum := 0.0
	for i := range s.cfg.Hosts {
		sum += 1 / math.Pow(float64(i+1), c.ZipfExponent)
		w.weights = append(w.weights, sum)
	}
	w.checker.change(0, c.Limit)
	s.workspaces = append(s.workspaces, w)
}

// next schedules the next arrival of a Poisson process.
func (w *workspace) next(s *sim) {
	rate := w.Limit.Rate * w.Load
	if rate <= 0 {
		return
	}
	if w.PulsePeriod > 0 {
		rate *= 4
	}
	d := time.Duration(w.rng.ExpFloat64() / rate * float64(second))
	if w.PulsePeriod > 0 && (s.now+int64(d))%int64(w.PulsePeriod) > int64(w.PulsePeriod)/4 {
		d = w.PulsePeriod - time.Duration(s.now%int64(w.PulsePeriod))
	}
	s.after(d, func() {
		w.arrive(s)
		w.next(s)
	})
}

// arrive sends one request to a host. The load balancer avoids dead hosts and those that do not answer.
func (w *workspace) arrive(s *sim) {
	x := w.rng.Float64() * w.weights[len(w.weights)-1]
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
	// Requests that may still wait at the end of the run are not counted either.
	r.uncounted = s.now < int64(s.cfg.Warmup) || s.now > int64(s.cfg.Duration-2*limit.MaxWait)
	if !r.uncounted {
		w.figures.offered(r)
	}
	if !r.uncounted && s.now >= int64(s.cfg.Duration-s.cfg.Tail) {
		r.tail = true
		w.figures.TailOffered++
		if r.central {
			w.figures.TailCentralAdmitted++
		}
	}
	h.do(func() { s.decideAt(h, r) })
}

// decideAt lets the design decide on a request that arrived at h.
func (s *sim) decideAt(h *host, r *request) {
	switch s.cfg.Design {
	case DesignStatic:
		s.finish(r, h.static(r.ws))
	case DesignOwner:
		s.askOwner(h, r)
	default:
		if h.holder.Admit(h.clock(), r.ws.name) {
			s.finish(r, true)
			return
		}
		s.ticket++
		s.pending[s.ticket] = r
		s.decide([]limit.Decision{h.spender.Admit(h.clock(), r.ws.name, s.ticket)})
		h.runSpender()
	}
}

func (s *sim) decide(decisions []limit.Decision) {
	for _, d := range decisions {
		r := s.pending[d.Ticket]
		if r == nil || d.Status == limit.Pending {
			continue
		}
		delete(s.pending, d.Ticket)
		s.finish(r, d.Status == limit.Admitted)
	}
}

// finish notes the decision on a request.
func (s *sim) finish(r *request, admitted bool) {
	f := &r.ws.figures
	if admitted {
		f.OverAdmission = math.Max(f.OverAdmission, r.ws.checker.admit(s.now))
	}
	if r.uncounted {
		return
	}
	if admitted {
		f.Admitted++
		if r.tail {
			f.TailAdmitted++
		}
	} else if r.central {
		f.FalseRefusals++
	}
}

// central is a token bucket whose requests may wait for their token in a queue. It serves as the reference, as a static
// share, and as an owner.
type central struct {
	limit limit.Limit
	level float64 // negative when tokens are promised to waiting requests
	at    int64
}

// admit reports whether a request gets its token within the wait.
func (c *central) admit(now int64, wait time.Duration) bool {
	_, ok := c.delay(now, wait)
	return ok
}

// delay returns how long a request waits for its token.
func (c *central) delay(now int64, wait time.Duration) (time.Duration, bool) {
	c.level = math.Min(c.limit.Burst, c.level+c.limit.Rate*float64(now-c.at)/float64(second))
	c.at = now
	if c.limit.Rate <= 0 || c.limit.Burst < 1 {
		return 0, false
	}
	d := time.Duration(math.Max(0, (1-c.level)/c.limit.Rate) * float64(second))
	if d > wait {
		return 0, false
	}
	c.level--
	return d, true
}

// checker computes the greatest over-admission of all windows of a sequence of admissions. While a change of the limit
// spreads, the greatest of the limits that may be in force counts.
type checker struct {
	limits  []bound
	excess  float64 // greatest count − rate × length over the windows that end now
	recent  float64 // the same for windows that begin after the last change has settled
	at      int64
	settled bool
}

type bound struct {
	limit limit.Limit
	until int64 // the limit may be in force until this time
}

func (c *checker) change(now int64, l limit.Limit) {
	c.advance(now)
	if n := len(c.limits); n > 0 {
		c.limits[n-1].until = now + int64(settle)
	}
	c.limits = append(c.limits, bound{limit: l, until: math.MaxInt64})
	c.settled = false
}

// advance lowers the excess by what the rates allow, piece by piece between the ends of the bounds.
func (c *checker) advance(now int64) {
	for c.at < now {
		to, rate := now, 0.0
		for _, b := range c.limits {
			if b.until > c.at {
				to = min(to, b.until)
				rate = math.Max(rate, b.limit.Rate)
			}
		}
		d := rate * float64(to-c.at) / float64(second)
		c.excess, c.recent = math.Max(0, c.excess-d), math.Max(0, c.recent-d)
		c.at = to
		if !c.settled && c.active() == 1 {
			c.settled, c.recent = true, 0
		}
	}
}

func (c *checker) active() int {
	n := 0
	for _, b := range c.limits {
		if b.until > c.at {
			n++
		}
	}
	return n
}

// admit notes an admission and returns count − rate × length − burst for the worst window that ends now.
func (c *checker) admit(now int64) float64 {
	c.advance(now)
	c.excess++
	c.recent++
	burst := 0.0
	for _, b := range c.limits {
		burst = math.Max(burst, b.limit.Burst)
	}
	over := c.excess - burst
	if c.settled {
		over = math.Max(over, c.recent-c.limits[len(c.limits)-1].limit.Burst)
	}
	if over < 1e-6 {
		return 0
	}
	return over
}
