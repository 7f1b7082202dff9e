package runqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/eventqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// The simulated target: it runs slots requests at once, queues targetQueue more in order of arrival and answers BUSY beyond.
const (
	slots       = 4
	targetQueue = 32
	seeds       = 5 // each scenario runs with so many seeds, and the shares are of all of them together
)

// load is the traffic of one workspace on one route in a simulation.
type load struct {
	workspace   model.Workspace
	weight      float64
	priority    int
	rate        float64 // statements per second
	work        time.Duration
	target      time.Duration // latency target
	timeout     time.Duration
	from, until time.Duration // time in which the load exists; until 0: always
}

// discipline decides which of the requests run when. *Queue is one; the others are baselines.
type discipline interface {
	Enqueue(now time.Time, r Request) []Action
	Finish(now time.Time, id RequestID) []Action
	Tick(now time.Time) []Action
}

// outcome counts what the callers of a load got.
type outcome struct {
	arrived, inTime, late, refused int
	waits                          []time.Duration
}

func (o *outcome) share() float64 { return float64(o.inTime) / float64(max(1, o.arrived)) }

// simulation runs loads against a target with a discipline in front of it, in simulated time.
type simulation struct {
	discipline discipline
	loads      []load
	length     time.Duration
	measured   [2]time.Duration // arrivals in this interval count
	random     []*rand.Rand
	events     eventqueue.Queue[func(now time.Time)]
	now        time.Time
	lastID     RequestID
	requests   map[RequestID]*simRequest
	running    int           // on the target
	queued     []*simRequest // in the target's own queue
	outcomes   []outcome
	busy       int // statements that the target answered with BUSY
	maxRunning int
	conns      *simConnections // nil: connections cost nothing
}

type simRequest struct {
	Request
	load int
	work time.Duration
}

func newSimulation(d discipline, seed uint64, length time.Duration, loads []load) *simulation {
	s := &simulation{discipline: d, loads: loads, length: length, measured: [2]time.Duration{0, length}, now: start,
		requests: map[RequestID]*simRequest{}, outcomes: make([]outcome, len(loads))}
	for i := range loads {
		s.random = append(s.random, rand.New(rand.NewPCG(seed, uint64(i))))
		s.scheduleArrival(i, start.Add(loads[i].from))
	}
	s.events.Push(start, s.tick)
	return s
}

func (s *simulation) tick(now time.Time) {
	s.apply(s.discipline.Tick(now))
	if now.Sub(start) < s.length+5*time.Second {
		s.events.Push(now.Add(20*time.Millisecond), s.tick)
	}
}

func (s *simulation) scheduleArrival(i int, after time.Time) {
	l := s.loads[i]
	at := after.Add(time.Duration(s.random[i].ExpFloat64() / l.rate * float64(time.Second)))
	if offset := at.Sub(start); offset < s.length && (l.until == 0 || offset < l.until) {
		s.events.Push(at, func(now time.Time) { s.arrive(i, now) })
	}
}

// workOf draws the time on the target: one statement in 33 takes 7 times the mean.
func workOf(random *rand.Rand, mean time.Duration) time.Duration {
	if random.IntN(33) == 0 {
		return 7 * mean
	}
	const usual = (33.0 - 7) / 32 // keeps the mean
	return time.Duration(float64(mean) * usual * (0.5 + random.Float64()))
}

func (s *simulation) arrive(i int, now time.Time) {
	s.scheduleArrival(i, now)
	l := s.loads[i]
	s.lastID++
	r := &simRequest{load: i, work: workOf(s.random[i], l.work), Request: Request{ID: s.lastID, Workspace: l.workspace,
		Weight: l.weight, Priority: l.priority, Arrived: now, LatencyTarget: now.Add(l.target), Deadline: now.Add(l.timeout),
		Expected: l.work, Discardable: l.priority > 0}}
	s.requests[r.ID] = r
	if s.counts(r) {
		s.outcomes[i].arrived++
	}
	s.apply(s.discipline.Enqueue(now, r.Request))
}

func (s *simulation) counts(r *simRequest) bool {
	offset := r.Arrived.Sub(start)
	return offset >= s.measured[0] && offset < s.measured[1]
}

func (s *simulation) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			s.send(s.requests[a.ID])
		case Refuse:
			r := s.requests[a.ID]
			delete(s.requests, a.ID)
			if s.counts(r) {
				s.outcomes[r.load].refused++
			}
		}
	}
}

// send sends a request to the target.
func (s *simulation) send(r *simRequest) {
	if s.counts(r) {
		s.outcomes[r.load].waits = append(s.outcomes[r.load].waits, s.now.Sub(r.Arrived))
	}
	switch {
	case s.running < slots:
		s.run(r)
	case len(s.queued) < targetQueue:
		s.queued = append(s.queued, r)
	default:
		s.busy++
		s.answerBusy(r)
	}
}

// answerBusy retries a statement after 20 ms, up to five attempts, as a frontend without the queue does.
func (s *simulation) answerBusy(r *simRequest) {
	retries, ok := s.discipline.(interface{ retry(*simRequest) bool })
	if ok && retries.retry(r) {
		s.events.Push(s.now.Add(20*time.Millisecond), func(time.Time) { s.send(r) })
		return
	}
	if s.counts(r) {
		s.outcomes[r.load].refused++
	}
	s.finish(r)
}

func (s *simulation) run(r *simRequest) {
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.events.Push(s.now.Add(r.work+s.conns.take(r.Workspace)), func(now time.Time) {
		s.running--
		s.conns.release(r.Workspace)
		if len(s.queued) > 0 {
			next := s.queued[0]
			s.queued = s.queued[1:]
			s.run(next)
		}
		if s.counts(r) {
			if now.After(r.LatencyTarget) {
				s.outcomes[r.load].late++
			} else {
				s.outcomes[r.load].inTime++
			}
		}
		s.finish(r)
	})
}

func (s *simulation) finish(r *simRequest) {
	delete(s.requests, r.ID)
	s.apply(s.discipline.Finish(s.now, r.ID))
}

// play runs the simulation to its end.
func (s *simulation) play() *simulation {
	for s.events.Len() > 0 {
		at, run := s.events.Pop()
		s.now = at
		run(at)
	}
	return s
}

// simConnections are the connections of a host to the target. The least recently used idle one is closed for another
// workspace.
type simConnections struct {
	free   int               // connections that may be opened without closing another
	idle   []model.Workspace // least recently used first
	opened int
	notify func(workspace model.Workspace, idle int) // nil if the discipline doesn't know connections
}

// take takes a connection of the workspace and returns the time of opening one, if none is idle.
func (c *simConnections) take(w model.Workspace) time.Duration {
	if c == nil {
		return 0
	}
	if i := slices.Index(c.idle, w); i >= 0 {
		c.idle = slices.Delete(c.idle, i, i+1)
		c.changed(w)
		return 0
	}
	c.opened++
	if c.free > 0 {
		c.free--
	} else {
		victim := c.idle[0]
		c.idle = c.idle[1:]
		c.changed(victim)
	}
	return 12 * time.Millisecond
}

func (c *simConnections) release(w model.Workspace) {
	if c != nil {
		c.idle = append(c.idle, w)
		c.changed(w)
	}
}

func (c *simConnections) changed(w model.Workspace) {
	if c.notify == nil {
		return
	}
	n := 0
	for _, other := range c.idle {
		if other == w {
			n++
		}
	}
	c.notify(w, n)
}

// result is what the callers of each priority got, over all seeds.
type result struct {
	byPriority map[int]*outcome
	byLoad     []outcome
	busy       int
}

// playAll plays the loads with each seed and adds up what callers got from the loads that arrived in the measured interval.
func playAll(create func(seed uint64) discipline, length time.Duration, measured [2]time.Duration, loads []load) result {
	sum := result{byPriority: map[int]*outcome{}, byLoad: make([]outcome, len(loads))}
	for seed := range uint64(seeds) {
		s := newSimulation(create(seed), seed, length, loads)
		s.measured = measured
		s.play()
		for i, o := range s.outcomes {
			p := sum.byPriority[loads[i].priority]
			if p == nil {
				p = &outcome{}
				sum.byPriority[loads[i].priority] = p
			}
			for _, total := range []*outcome{p, &sum.byLoad[i]} {
				total.arrived += o.arrived
				total.inTime += o.inTime
				total.late += o.late
				total.refused += o.refused
				total.waits = append(total.waits, o.waits...)
			}
		}
		sum.busy += s.busy
	}
	return sum
}

// String reports the shares of the requests of each priority that were answered in time, late, and not run.
func (r result) String() string {
	var b strings.Builder
	for priority := range LowestPriority + 1 {
		if o := r.byPriority[priority]; o != nil {
			n := float64(max(1, o.arrived))
			fmt.Fprintf(&b, " [priority %d: in time %.3f late %.3f refused %.3f of %d]", priority, float64(o.inTime)/n,
				float64(o.late)/n, float64(o.refused)/n, o.arrived)
		}
	}
	fmt.Fprintf(&b, " busy %d", r.busy)
	return b.String()
}

// loadsOfA returns the traffic of customer A on one target in its busiest hour: 10 workspaces, 78% of the slots. The
// bounded route has the given factor in the interval.
func loadsOfA(factor float64, from, until time.Duration) []load {
	var loads []load
	for i := range 10 {
		workspace := model.Workspace(fmt.Sprintf("w%d", i))
		loads = append(loads,
			load{workspace: workspace, weight: 10, priority: 0, rate: 15, work: 4500 * time.Microsecond,
				target: 150 * time.Millisecond, timeout: time.Second},
			load{workspace: workspace, weight: 10, priority: 2, rate: 6, work: 22 * time.Millisecond,
				target: 800 * time.Millisecond, timeout: 2 * time.Second},
			load{workspace: workspace, weight: 10, priority: 1, rate: 8, work: 14 * time.Millisecond,
				target: 250 * time.Millisecond, timeout: time.Second})
		if factor > 1 {
			loads = append(loads, load{workspace: workspace, weight: 10, priority: 2, rate: 6 * (factor - 1),
				work: 22 * time.Millisecond, target: 800 * time.Millisecond, timeout: 2 * time.Second, from: from, until: until})
		}
	}
	return loads
}

func newQueue(seed uint64) discipline { return New(slots+1, rand.New(rand.NewPCG(seed, 99)).Float64) }

// Guards against serving the callers of the highest priority worst in a burst: in order of arrival they wait behind the
// statements of a route that bursts.
func TestBurstOfRoute(t *testing.T) {
	loads := loadsOfA(2.5, 5*time.Second, 15*time.Second)
	measured := [2]time.Duration{5 * time.Second, 15 * time.Second}
	got := playAll(newQueue, 20*time.Second, measured, loads)
	t.Logf("queue:            %s", got)
	for name, create := range baselines {
		t.Logf("%-17s %s", name+":", playAll(create, 20*time.Second, measured, loads))
	}
	if share := got.byPriority[0].share(); share < 0.95 {
		t.Errorf("%.3f of priority 0 are answered in their latency target, want 0.95", share)
	}
	if got.byPriority[1].share() < 0.9 || got.byPriority[2].inTime == 0 {
		t.Errorf("the lower priorities get too little: %s", got)
	}
	if base := playAll(newArrivalOrder, 20*time.Second, measured, loads); base.byPriority[0].share() >= 0.95 {
		t.Errorf("the order of arrival does as well, so that this test shows nothing: %s", base)
	}
}

// Guards against a workspace at a multiple of its usual load that takes the target from the others. All callers have the
// same priority, so that only the fairness between workspaces can protect them.
func TestWorkspaceAboveItsLoad(t *testing.T) {
	var loads []load
	for i := range 10 {
		l := load{workspace: model.Workspace(fmt.Sprintf("w%d", i)), weight: 20, priority: 1, rate: 20,
			work: 14 * time.Millisecond, target: 250 * time.Millisecond, timeout: time.Second}
		if i == 0 {
			l.rate *= 7
		}
		loads = append(loads, l)
	}
	others := func(name string, create func(uint64) discipline) float64 {
		r := playAll(create, 10*time.Second, [2]time.Duration{time.Second, 10 * time.Second}, loads)
		sum := outcome{}
		for _, o := range r.byLoad[1:] {
			sum.arrived, sum.inTime = sum.arrived+o.arrived, sum.inTime+o.inTime
		}
		t.Logf("%-17s the others: in time %.3f; the workspace: in time %.3f", name+":", sum.share(), r.byLoad[0].share())
		return sum.share()
	}
	for name, create := range baselines {
		others(name, create)
	}
	got, base := others("queue", newQueue), others("order of arrival", newArrivalOrder)
	if got < 0.95 || base >= 0.95 {
		t.Errorf("%.3f of the statements of the other workspaces are in time, %.3f in order of arrival", got, base)
	}
}

// Guards against priorities that get nothing while higher ones alone need more than the target has.
func TestLowPrioritiesDoNotStarve(t *testing.T) {
	var loads []load
	for priority := range 3 {
		rate := 400.0
		if priority == 0 {
			rate = 1200 // 1.35 times the capacity
		}
		loads = append(loads, load{workspace: "w", weight: 10, priority: priority, rate: rate, work: 4500 * time.Microsecond,
			target: 400 * time.Millisecond, timeout: time.Second})
	}
	r := playAll(newQueue, 10*time.Second, [2]time.Duration{0, 10 * time.Second}, loads)
	t.Log(r)
	served := 0
	for _, o := range r.byPriority {
		served += o.inTime + o.late
	}
	for priority := 1; priority <= 2; priority++ {
		o := r.byPriority[priority]
		if share := float64(o.inTime+o.late) / float64(served); share < 0.08 {
			t.Errorf("priority %d gets %.3f of the starts", priority, share)
		}
	}
}

// Guards against a return of all callers after the loss of all hosts in which the highest priority waits behind the others,
// and more connections are opened at once than the target has slots. Every statement opens a connection first.
func TestReturnAfterLoss(t *testing.T) {
	play := func(d discipline) (waits [3][]time.Duration, maxRunning int) {
		random := rand.New(rand.NewPCG(1, 1))
		requests := map[RequestID]Request{}
		var events eventqueue.Queue[func(now time.Time)]
		running := 0
		var apply func(now time.Time, actions []Action)
		apply = func(now time.Time, actions []Action) {
			for _, action := range actions {
				a, started := action.(Start)
				if !started {
					continue
				}
				r := requests[a.ID]
				running++
				maxRunning = max(maxRunning, running)
				waits[r.Priority] = append(waits[r.Priority], now.Sub(r.Arrived))
				events.Push(now.Add(r.Expected), func(now time.Time) {
					running--
					apply(now, d.Finish(now, r.ID))
				})
			}
		}
		for id := range RequestID(60) {
			arrived := start.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			r := Request{ID: id + 1, Workspace: model.Workspace(fmt.Sprint(id)), Weight: 10, Priority: int(id % 3), Arrived: arrived,
				LatencyTarget: arrived.Add(400 * time.Millisecond), Deadline: arrived.Add(2 * time.Second),
				Expected: 22 * time.Millisecond}
			requests[r.ID] = r
			events.Push(arrived, func(now time.Time) { apply(now, d.Enqueue(now, r)) })
		}
		for events.Len() > 0 {
			at, run := events.Pop()
			run(at)
		}
		return waits, maxRunning
	}
	q := New(slots+1, func() float64 { return 0 })
	q.SetMaxOpenings(slots)
	q.SetRecovery(start.Add(time.Second))
	got, running := play(q)
	base, _ := play(&fifo{limit: slots + 1})
	t.Logf("longest wait of priority 0: %s, in order of arrival %s; connections opened at once: up to %d", slices.Max(got[0]),
		slices.Max(base[0]), running)
	if running > slots {
		t.Errorf("%d connections were opened at once on %d slots", running, slots)
	}
	if slices.Max(got[0]) > 150*time.Millisecond || slices.Max(base[0]) <= 150*time.Millisecond {
		t.Errorf("priority 0 waits up to %s, in order of arrival up to %s", slices.Max(got[0]), slices.Max(base[0]))
	}
	if len(got[1])+len(got[2]) < 30 {
		t.Errorf("only %d statements of the lower priorities ran", len(got[1])+len(got[2]))
	}
}

// Guards against a queue that ignores connections: with more workspaces than connections, most statements would open one
// first, which costs the target as much as a short statement.
func TestPrefersOpenConnections(t *testing.T) {
	var loads []load
	for i := range 60 {
		loads = append(loads, load{workspace: model.Workspace(fmt.Sprintf("w%d", i)), weight: 10, priority: 1, rate: 6,
			work: 10 * time.Millisecond, target: 250 * time.Millisecond, timeout: time.Second})
	}
	play := func(knowsConnections bool) (inTime, arrived, opened int) {
		for seed := range uint64(seeds) {
			q := New(slots+1, rand.New(rand.NewPCG(seed, 99)).Float64)
			s := newSimulation(q, seed, 10*time.Second, loads)
			s.conns = &simConnections{free: 33}
			if knowsConnections {
				s.conns.notify = q.SetIdle
			}
			for _, o := range s.play().outcomes {
				inTime, arrived = inTime+o.inTime, arrived+o.arrived
			}
			opened += s.conns.opened
		}
		t.Logf("knows connections: %t; in time %.3f, connections opened for a statement %.3f", knowsConnections,
			float64(inTime)/float64(arrived), float64(opened)/float64(arrived))
		return inTime, arrived, opened
	}
	got, _, opened := play(true)
	base, _, baseOpened := play(false)
	if got <= base || opened >= baseOpened {
		t.Errorf("%d are in time with %d openings, without knowing connections %d with %d", got, opened, base, baseOpened)
	}
}
