// Package simlimit simulates package limit and two simpler designs in virtual time, with the faults that a fleet meets.
// The same configuration and seed always give the same result.
package simlimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// Design is a way to keep limits.
type Design string

// Designs that can be simulated.
const (
	DesignLent   Design = "lent"   // package limit
	DesignStatic Design = "static" // rate / hosts and burst / hosts at each host
	DesignOwner  Design = "owner"  // one owner per workspace is asked for each request
)

// Workspace is a simulated workspace.
type Workspace struct {
	Name         model.Workspace
	Limit        limit.Limit
	Load         float64 // arrivals per second as a multiple of the rate
	ZipfExponent float64 // Zipf exponent of the distribution of arrivals over hosts
	// Pulse makes arrivals come only in the first quarter of each period, four times as many. The pauses fill the
	// bucket, which an exact check of the burst needs.
	PulsePeriod time.Duration
}

// Kind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	KillBroker  FaultKind = "kill-broker"  // the broker or owner of the first workspace dies for good
	KillHolder  FaultKind = "kill-holder"  // the host with the first slot dies for good
	PauseBroker FaultKind = "pause-broker" // the broker or owner of the first workspace stops for a time
	MessageLoss FaultKind = "loss"         // 5% of all messages are lost for a time
	Chaos       FaultKind = "chaos"        // random combination of all faults for a time
)

// Fault is one fault of a run.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration
	Duration time.Duration
}

// Config describes a run.
type Config struct {
	Design        Design
	Hosts         int
	Slots         int
	Workspaces    []Workspace
	Warmup        time.Duration // requests before this time are checked but not counted
	Duration      time.Duration
	Tail          time.Duration // last part of the run that is counted separately
	Seed          uint64
	Faults        []Fault
	MaxClockDrift float64 // greatest deviation of a clock's rate
	SkipSlotWait  bool    // moved slots and new incarnations are used at once; for tests of the checks
}

const (
	second = int64(time.Second)
	// freshness is the time within which a host has a document's last version or has stopped.
	freshness = roster.Freshness
	// settle is the time after which only the new version of a limit is in force: freshness, the longest loan, 1%, and
	// a margin.
	settle = freshness + limit.IdleLoanDuration + time.Second
	// deadAfter is the time after which the slots of a dead host are given away: membership takes 1.5 s to notice.
	deadAfter = 1500*time.Millisecond + roster.FreeAfter
	// ownerReplaced is the time until a dead owner has a successor that may begin with level 0.
	ownerReplaced = freshness

	latency = 500 * time.Microsecond // one way
)

// slotWait is the time before a new holder uses a slot.
var slotWait = roster.Slot{}.UsableFrom(epoch).Sub(epoch)

type event struct {
	at  int64
	seq uint64
	fn  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// view is an opinion about which hosts live, with the brokers that follow from it.
type view struct {
	brokers map[model.Workspace]int
}

type sim struct {
	cfg        Config
	rng        *rand.Rand // faults and network
	now        int64
	seq        uint64
	queue      eventQueue
	hosts      []*host
	workspaces []*workspace
	byID       map[model.HostID]*host
	slotOf     []int // host of each slot in the last roster
	views      map[string]*view
	truth      *view
	meter      *meter
	lossRate   float64
	tailRate   float64 // messages that are delayed by up to 3 s
	dupRate    float64
	slowNews   bool // documents spread as slowly as the freshness bound allows
	ticket     uint64
	pending    map[uint64]*request
}

type request struct {
	ws        *workspace
	central   bool // the central bucket admits it
	uncounted bool
	tail      bool
}

// Run runs a simulation to its end.
func Run(cfg Config) Result {
	s := &sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID: map[model.HostID]*host{}, views: map[string]*view{},
		pending: map[uint64]*request{}, meter: newMeter(cfg.Hosts),
	}
	for _, w := range cfg.Workspaces {
		s.addWorkspace(w)
	}
	for i := range cfg.Hosts {
		s.hosts = append(s.hosts, &host{sim: s, index: i, id: model.HostID(fmt.Sprintf("host-%03d", i))})
		s.byID[s.hosts[i].id] = s.hosts[i]
	}
	s.truth = s.viewOf()
	for i := range cfg.Slots {
		s.slotOf = append(s.slotOf, i*max(1, cfg.Hosts/cfg.Slots)%cfg.Hosts)
	}
	for _, h := range s.hosts {
		h.start(0)
	}
	for _, f := range cfg.Faults {
		s.after(f.Start, func() { s.inject(f) })
	}
	for _, w := range s.workspaces {
		w.next(s)
	}
	s.run(int64(cfg.Duration))
	return s.result()
}

func (s *sim) run(end int64) {
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *sim) at(t int64, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{at: max(t, s.now), seq: s.seq, fn: fn})
}

func (s *sim) after(d time.Duration, fn func()) { s.at(s.now+int64(d), fn) }

// send delivers a message to a host, subject to the faults of the network.
func (s *sim) send(from, to *host, size int, fn func()) {
	if from == to {
		to.do(fn)
		return
	}
	s.meter.count(from, to, size)
	if from.cutUntil > s.now || to.cutUntil > s.now {
		return
	}
	copies := 1
	if s.dupRate > 0 && s.rng.Float64() < s.dupRate {
		copies = 2
	}
	for range copies {
		if s.lossRate > 0 && s.rng.Float64() < s.lossRate {
			continue
		}
		d := latency/2 + time.Duration(s.rng.Int64N(int64(latency)))
		if s.tailRate > 0 && s.rng.Float64() < s.tailRate {
			d += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
		}
		s.after(d, func() { to.do(fn) })
	}
}

// viewOf returns the view in which all living hosts live, except the given ones.
func (s *sim) viewOf(except ...int) *view {
	var live []int
	for _, h := range s.hosts {
		if !h.dead && !h.suspected && !slices.Contains(except, h.index) {
			live = append(live, h.index)
		}
	}
	key := fmt.Sprint(live)
	if v := s.views[key]; v != nil {
		return v
	}
	v := &view{brokers: map[model.Workspace]int{}}
	for _, w := range s.workspaces {
		best, weight := -1, uint64(0)
		for _, i := range live {
			if x := xxhash.Sum64String(string(w.name) + "/" + string(s.hosts[i].id)); best < 0 || x > weight {
				best, weight = i, x
			}
		}
		v.brokers[w.name] = best
	}
	s.views[key] = v
	return v
}

// spread makes all hosts learn of the present members, each after its own time.
func (s *sim) spread() {
	s.truth = s.viewOf()
	for _, h := range s.hosts {
		s.after(time.Second+time.Duration(s.rng.Int64N(second)), func() { h.do(func() { h.see(s.truth) }) })
	}
}

// tell makes all hosts learn of the present roster and limits: usually within a second, in chaos within the freshness
// bound, also after a pause.
func (s *sim) tell() {
	within := time.Second
	if s.slowNews {
		within = freshness
	}
	for _, h := range s.hosts {
		at := s.now + s.rng.Int64N(int64(within))
		h.newsAt = min(h.newsAt, at)
		s.at(at, func() { h.do(func() {}) })
	}
}

func (s *sim) kill(h *host) {
	if h.dead {
		return
	}
	h.dead = true
	h.run++
	s.spread()
	s.after(deadAfter, func() {
		if h.dead {
			s.moveSlots(h.index)
		}
	})
}

// moveSlots gives the slots of a host to other hosts.
func (s *sim) moveSlots(from int) {
	for i, o := range s.slotOf {
		if o != from {
			continue
		}
		for range 100 {
			if to := s.rng.IntN(len(s.hosts)); !s.hosts[to].dead && to != from {
				s.slotOf[i] = to
				break
			}
		}
	}
	s.tell()
}

func (s *sim) pause(h *host, d time.Duration) {
	h.pausedUntil = max(h.pausedUntil, s.now+int64(d))
}

// pauseNoticed pauses a host for so long that the members take it for dead.
func (s *sim) pauseNoticed(h *host, d time.Duration) {
	s.pause(h, d)
	h.suspected = true
	s.spread()
	s.after(d, func() {
		h.suspected = false
		s.spread()
	})
}

func (s *sim) inject(f Fault) {
	first := s.workspaces[0]
	switch f.Kind {
	case KillBroker:
		h := s.hosts[s.truth.brokers[first.name]]
		if s.cfg.Design == DesignOwner {
			h = s.hosts[first.ownerHost(s)]
		}
		s.kill(h)
	case KillHolder:
		s.kill(s.hosts[s.slotOf[0]])
	case PauseBroker:
		s.pauseNoticed(s.hosts[s.truth.brokers[first.name]], f.Duration)
	case MessageLoss:
		s.lossRate = 0.05
		s.after(f.Duration, func() { s.lossRate = 0 })
	case Chaos:
		s.chaos(f.Duration)
	}
}

// result gathers the figures of the run.
func (s *sim) result() Result {
	r := Result{Hosts: s.cfg.Hosts, Messages: s.meter.rates(s.cfg.Duration)}
	for _, w := range s.workspaces {
		r.Workspaces = append(r.Workspaces, w.figures)
		r.Total.add(w.figures)
	}
	r.Total.OverAdmission = math.Max(0, r.Total.OverAdmission)
	return r
}
