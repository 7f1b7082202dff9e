// Package simlimit simulates package limit and two simpler rate limiter designs in virtual time, with network and host
// faults. Results are deterministic for a configuration and seed.
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

// Design is a distributed rate limiter design.
type Design string

// Designs that can be simulated.
const (
	DesignLent   Design = "lent"   // package limit
	DesignStatic Design = "static" // rate / hosts and burst / hosts at each host
	DesignOwner  Design = "owner"  // each request asks the owner of its workspace
)

// Workspace is a simulated workspace.
type Workspace struct {
	Name         model.Workspace
	Limit        limit.Limit
	Load         float64 // arrivals per second as a multiple of the rate
	ZipfExponent float64 // of the distribution of arrivals over hosts
	// PulsePeriod, if positive, restricts arrivals to the first quarter of each period, at four times the rate. The bucket
	// fills during the pauses, which is required to check the burst exactly.
	PulsePeriod time.Duration
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	KillBroker  FaultKind = "kill-broker"  // the broker or owner of the first workspace dies permanently
	KillHolder  FaultKind = "kill-holder"  // the host with the first slot dies permanently
	PauseBroker FaultKind = "pause-broker" // the broker or owner of the first workspace pauses for a time
	MessageLoss FaultKind = "loss"         // 5% of all messages are lost for a time
	Chaos       FaultKind = "chaos"        // random combination of faults
)

// Fault is a fault to inject.
type Fault struct {
	Kind     FaultKind
	Start    time.Duration
	Duration time.Duration
}

// Config configures a simulation.
type Config struct {
	Design        Design
	Hosts         int
	Slots         int
	Workspaces    []Workspace
	Warmup        time.Duration // requests before this time are checked but not counted
	Duration      time.Duration
	Tail          time.Duration // final part of the run, also counted separately
	Seed          uint64
	Faults        []Fault
	MaxClockDrift float64 // maximum deviation of a clock's rate from 1
	SkipSlotWait  bool    // use moved slots and new incarnations immediately, to test the checks
}

const (
	second = int64(time.Second)
	// maxDocumentAge is the time within which a host either has the latest version of a document or stops serving.
	maxDocumentAge = roster.MaxDocumentAge
	// limitSettleTime is the time after which only the new value of a limit is in force: maxDocumentAge, the longest loan,
	// 1% of clock error, and a margin.
	limitSettleTime = maxDocumentAge + limit.IdleLoanDuration + time.Second
	// slotReleaseDelay is the time after which the slots of a dead host are reassigned. Membership detects the death in
	// 1.5 s.
	slotReleaseDelay = 1500*time.Millisecond + roster.ReleaseAfter
	// ownerReplacementDelay is the time until a dead owner is replaced by one that may start with an empty bucket (level 0).
	ownerReplacementDelay = maxDocumentAge

	meanLatency = 500 * time.Microsecond // one way
)

// slotAdmissionDelay is the time before a new holder uses a slot.
var slotAdmissionDelay = roster.Slot{}.UsableFrom(clockStart).Sub(clockStart)

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

// view holds the broker of each workspace, as derived from one set of live hosts.
type view struct {
	brokers map[model.Workspace]int
}

type sim struct {
	cfg           Config
	random        *rand.Rand // faults and network
	now           int64
	seq           uint64
	queue         eventQueue
	hosts         []*host
	workspaces    []*workspace
	byID          map[model.HostID]*host
	slotHolders   []int // host of each slot in the latest roster
	views         map[string]*view
	currentView   *view
	meter         *trafficMeter
	lossRate      float64
	delayRate     float64 // fraction of messages delayed by up to 3 s
	duplicateRate float64
	slowDocuments bool // documents propagate as slowly as maxDocumentAge allows
	lastRequestID uint64
	pending       map[uint64]*request
}

type request struct {
	ws        *workspace
	central   bool // admitted by the central bucket
	uncounted bool // arrived in the warm-up, or too late to be decided within the run
	tail      bool // arrived in the tail of the run
}

// Run runs a simulation and returns its result.
func Run(cfg Config) Result {
	s := &sim{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID: map[model.HostID]*host{}, views: map[string]*view{},
		pending: map[uint64]*request{}, meter: newTrafficMeter(cfg.Hosts),
	}
	for _, w := range cfg.Workspaces {
		s.addWorkspace(w)
	}
	for i := range cfg.Hosts {
		s.hosts = append(s.hosts, &host{sim: s, index: i, id: model.HostID(fmt.Sprintf("host-%03d", i))})
		s.byID[s.hosts[i].id] = s.hosts[i]
	}
	s.currentView = s.viewWithout()
	for i := range cfg.Slots {
		s.slotHolders = append(s.slotHolders, i*max(1, cfg.Hosts/cfg.Slots)%cfg.Hosts)
	}
	for _, h := range s.hosts {
		h.start(0)
	}
	for _, f := range cfg.Faults {
		s.after(f.Start, func() { s.inject(f) })
	}
	for _, w := range s.workspaces {
		w.scheduleArrival(s)
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

// send calls fn on the receiving host after the network latency, subject to injected network faults.
func (s *sim) send(from, to *host, size int, fn func()) {
	if from == to {
		to.execute(fn)
		return
	}
	s.meter.count(from, to, size)
	if from.partitionedUntil > s.now || to.partitionedUntil > s.now {
		return
	}
	copies := 1
	if s.duplicateRate > 0 && s.random.Float64() < s.duplicateRate {
		copies = 2
	}
	for range copies {
		if s.lossRate > 0 && s.random.Float64() < s.lossRate {
			continue
		}
		d := meanLatency/2 + time.Duration(s.random.Int64N(int64(meanLatency)))
		if s.delayRate > 0 && s.random.Float64() < s.delayRate {
			d += time.Duration(s.random.Int64N(int64(3 * time.Second)))
		}
		s.after(d, func() { to.execute(fn) })
	}
}

// viewWithout returns the membership view in which the given hosts, and those that are dead or suspected, are not alive.
func (s *sim) viewWithout(except ...int) *view {
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

// announceMembers propagates the current membership to all hosts, each with its own delay.
func (s *sim) announceMembers() {
	s.currentView = s.viewWithout()
	for _, h := range s.hosts {
		s.after(time.Second+time.Duration(s.random.Int64N(second)), func() { h.execute(func() { h.applyView(s.currentView) }) })
	}
}

// announceDocuments propagates the current roster and limits to all hosts: usually within a second, during chaos within
// maxDocumentAge. A host that is paused reads them before it does anything else.
// The empty function makes a running host read them as well.
func (s *sim) announceDocuments() {
	within := time.Second
	if s.slowDocuments {
		within = maxDocumentAge
	}
	for _, h := range s.hosts {
		at := s.now + s.random.Int64N(int64(within))
		h.nextDocumentRead = min(h.nextDocumentRead, at)
		s.at(at, func() { h.execute(func() {}) })
	}
}

func (s *sim) kill(h *host) {
	if h.dead {
		return
	}
	h.dead = true
	h.epoch++
	s.announceMembers()
	s.after(slotReleaseDelay, func() {
		if h.dead {
			s.moveSlots(h.index)
		}
	})
}

// moveSlots reassigns the slots of a host to other live hosts.
func (s *sim) moveSlots(from int) {
	for i, holder := range s.slotHolders {
		if holder != from {
			continue
		}
		for range 100 {
			if to := s.random.IntN(len(s.hosts)); !s.hosts[to].dead && to != from {
				s.slotHolders[i] = to
				break
			}
		}
	}
	s.announceDocuments()
}

func (s *sim) pause(h *host, d time.Duration) {
	h.pausedUntil = max(h.pausedUntil, s.now+int64(d))
}

// pauseUntilSuspected pauses a host. The other members consider it dead until the pause ends.
func (s *sim) pauseUntilSuspected(h *host, d time.Duration) {
	s.pause(h, d)
	h.suspected = true
	s.announceMembers()
	s.after(d, func() {
		h.suspected = false
		s.announceMembers()
	})
}

func (s *sim) inject(f Fault) {
	first := s.workspaces[0]
	switch f.Kind {
	case KillBroker:
		h := s.hosts[s.currentView.brokers[first.name]]
		if s.cfg.Design == DesignOwner {
			h = s.hosts[first.ownerHost(s)]
		}
		s.kill(h)
	case KillHolder:
		s.kill(s.hosts[s.slotHolders[0]])
	case PauseBroker:
		s.pauseUntilSuspected(s.hosts[s.currentView.brokers[first.name]], f.Duration)
	case MessageLoss:
		s.lossRate = 0.05
		s.after(f.Duration, func() { s.lossRate = 0 })
	case Chaos:
		s.chaos(f.Duration)
	}
}

// result collects the stats of the run.
func (s *sim) result() Result {
	r := Result{Hosts: s.cfg.Hosts, Messages: s.meter.rates(s.cfg.Duration)}
	for _, w := range s.workspaces {
		r.Workspaces = append(r.Workspaces, w.stats)
		r.Total.add(w.stats)
	}
	r.Total.OverAdmission = math.Max(0, r.Total.OverAdmission)
	return r
}
