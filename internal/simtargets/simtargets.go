// Package simtargets simulates, in virtual time, the reads of many hosts on the targets of one service. Each target has a
// gateway host, which queues statements under a limit and returns figures with each response. The package measures what
// callers get under a choice of targets and a limit. Results are deterministic for a set of parameters.
package simtargets

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/internal/eventqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// targetQueue is the number of statements that a full target queues before it answers BUSY.
	targetQueue = 32
	// maxAttempts is the number of targets that a read is sent to.
	maxAttempts = 3
	// slowShare is the share of statements that take slowFactor times their class's mean.
	slowShare, slowFactor = 1.0 / 33, 7
	// logStdDev is the standard deviation of the logarithm of the other statements' times.
	logStdDev = 0.4
)

// Epoch is the time at which simulations start.
var Epoch = time.Unix(0, 0)

// Target describes a target.
type Target struct {
	ID       model.TargetID
	Slots    int
	Crossing time.Duration // round trip to every host
	// Factor returns the factor of the times of a statement that starts at the time since Epoch, while running statements are
	// in progress, including itself. Nil is a factor of 1.
	Factor func(at time.Duration, running int) float64
	// Outcome returns the outcome of statements that start at the time. Nil is concurrency.Done. A statement without an answer
	// ends after the class's latency target.
	Outcome func(at time.Duration) concurrency.Outcome
}

// Class describes the statements of a route.
type Class struct {
	Route   string
	Share   float64 // of all statements
	Mean    time.Duration
	Latency time.Duration // latency target
}

// Figures are returned with each response.
type Figures struct {
	Limit, Running, Waiting int
	Wait                    time.Duration
	Service                 time.Duration // typical time of the class on the target
}

// Chooser chooses targets for the reads of one host.
type Chooser interface {
	// Rank returns the indexes of the targets, best first.
	Rank(now time.Time, class Class) []int
	Started(target int)
	Finished(now time.Time, target int, class Class, outcome concurrency.Outcome, took time.Duration, figures Figures)
}

// Limit selects how many statements a gateway host sends to its target at once.
type Limit uint8

const (
	// Learned is the limit of a concurrency.Limiter.
	Learned Limit = iota
	// Slots is the number of slots.
	Slots
	// Unlimited sends all statements to the target at once.
	Unlimited
)

// String returns the name used in reports.
func (l Limit) String() string { return [...]string{"learned", "slots", "none"}[l] }

// Params configures a simulation.
type Params struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Rate     func(at time.Duration) float64 // statements per second of all hosts together
	Classes  []Class
	Targets  []Target
	Limit    Limit
	// FixedLimit replaces the number of slots as the limit under Slots if it is not 0.
	FixedLimit int
	// Timeout is the time after which a queued statement is refused. It applies to all attempts together.
	Timeout time.Duration
	// NewChooser returns the chooser of a host.
	NewChooser func(host int, rng *rand.Rand) Chooser
	// Skip is the time at the start that is not counted.
	Skip time.Duration
}

type statement struct {
	host, class int
	arrived     time.Time
	sent        time.Time // of this attempt
	started     time.Time // of this attempt on the target
	ranking     []int
	attempt     int
	noise       float64 // time relative to the class's mean
}

type eventKind uint8

const (
	arrival eventKind = iota
	reachGateway
	finish
	respond
)

type event struct {
	kind      eventKind
	target    int
	statement *statement
	outcome   concurrency.Outcome
	figures   Figures
}

// gateway is the gateway host of a target together with the target.
type gateway struct {
	Target
	limiter *concurrency.Limiter
	refs    *concurrency.References
	queue   []*statement
	passed  int          // statements at the target
	running int          // statements in slots
	backlog []*statement // queue of the target
	service float64      // moving average of the times on the target in seconds
}

type simulation struct {
	params   Params
	now      time.Time
	events   eventqueue.Queue[event]
	random   *rand.Rand
	choosers []Chooser
	gateways []*gateway
	report   *Report
}

// Run runs a simulation.
func Run(p Params) *Report {
	s := &simulation{params: p, now: Epoch, random: rand.New(rand.NewPCG(p.Seed, 1)), report: newReport(p)}
	for _, t := range p.Targets {
		refs := concurrency.NewReferences()
		s.gateways = append(s.gateways, &gateway{Target: t, refs: refs, limiter: refs.Limiter(t.ID, t.Slots, s.now)})
	}
	for host := range p.Hosts {
		s.choosers = append(s.choosers, p.NewChooser(host, rand.New(rand.NewPCG(p.Seed, uint64(host+2)))))
	}
	s.scheduleArrival()
	for s.events.Len() > 0 {
		at, e := s.events.Pop()
		s.now = at
		switch e.kind {
		case arrival:
			s.arrive()
		case reachGateway:
			s.enqueue(e.target, e.statement)
		case finish:
			s.finish(e.target, e.statement, e.outcome)
		case respond:
			s.respond(e.target, e.statement, e.outcome, e.figures)
		}
	}
	for i, g := range s.gateways {
		s.report.Targets[i].Limit = g.limiter.Limit()
	}
	s.report.complete()
	return s.report
}

func (s *simulation) schedule(after time.Duration, e event) {
	s.events.Push(s.now.Add(after), e)
}

// scheduleArrival schedules the next arrival of a Poisson process.
func (s *simulation) scheduleArrival() {
	gap := time.Duration(s.random.ExpFloat64() / s.params.Rate(s.now.Sub(Epoch)) * float64(time.Second))
	if s.now.Add(gap).Sub(Epoch) < s.params.Duration {
		s.schedule(gap, event{kind: arrival})
	}
}

func (s *simulation) arrive() {
	st := &statement{host: s.random.IntN(s.params.Hosts), arrived: s.now, noise: s.drawNoise()}
	point := s.random.Float64()
	for st.class = 0; st.class < len(s.params.Classes)-1; st.class++ {
		if point -= s.params.Classes[st.class].Share; point < 0 {
			break
		}
	}
	s.scheduleArrival()
	st.ranking = s.choosers[st.host].Rank(s.now, s.params.Classes[st.class])
	s.send(st)
}

// drawNoise returns a random factor with a mean of 1.
func (s *simulation) drawNoise() float64 {
	slow := s.random.Float64() < slowShare
	factor := math.Exp(s.random.NormFloat64()*logStdDev - logStdDev*logStdDev/2)
	if slow {
		return slowFactor
	}
	return factor * (1 - slowShare*slowFactor) / (1 - slowShare)
}

func (s *simulation) send(st *statement) {
	target := st.ranking[st.attempt]
	st.sent = s.now
	s.choosers[st.host].Started(target)
	s.schedule(s.gateways[target].Crossing/2, event{kind: reachGateway, target: target, statement: st})
}

func (s *simulation) enqueue(target int, st *statement) {
	g := s.gateways[target]
	g.queue = append(g.queue, st)
	s.dispatch(target)
}

// limit returns the number of statements that may be at the target.
func (s *simulation) limit(g *gateway) int {
	switch s.params.Limit {
	case Slots:
		if s.params.FixedLimit > 0 {
			return s.params.FixedLimit
		}
		return g.Slots
	case Unlimited:
		return math.MaxInt
	}
	return g.limiter.Limit()
}

// dispatch sends queued statements to the target. Statements whose time is up are refused.
func (s *simulation) dispatch(target int) {
	g := s.gateways[target]
	for len(g.queue) > 0 {
		st := g.queue[0]
		if s.now.Sub(st.arrived) >= s.params.Timeout {
			g.queue = g.queue[1:]
			s.answer(target, st, concurrency.Busy)
			continue
		}
		if g.passed >= s.limit(g) {
			return
		}
		g.queue = g.queue[1:]
		st.started = s.now
		if g.running >= g.Slots && len(g.backlog) >= targetQueue {
			g.limiter.Start(s.now)
			g.limiter.Finish(s.now, concurrency.Sample{Outcome: concurrency.Busy})
			s.answer(target, st, concurrency.Busy)
			continue
		}
		g.passed++
		g.limiter.Start(s.now)
		if g.running < g.Slots {
			s.execute(target, st)
		} else {
			g.backlog = append(g.backlog, st)
		}
	}
}

// execute runs a statement in a slot of the target.
func (s *simulation) execute(target int, st *statement) {
	g := s.gateways[target]
	g.running++
	at := s.now.Sub(Epoch)
	outcome := concurrency.Done
	if g.Outcome != nil {
		outcome = g.Outcome(at)
	}
	class := s.params.Classes[st.class]
	took := float64(class.Mean) * st.noise
	if g.Factor != nil {
		took *= g.Factor(at, g.running)
	}
	switch outcome {
	case concurrency.Failed, concurrency.Busy:
		took = float64(time.Millisecond)
	case concurrency.NoAnswer:
		took = float64(class.Latency)
	}
	s.schedule(time.Duration(took), event{kind: finish, target: target, statement: st, outcome: outcome})
}

func (s *simulation) finish(target int, st *statement, outcome concurrency.Outcome) {
	g := s.gateways[target]
	g.running--
	g.passed--
	class := s.params.Classes[st.class]
	took := s.now.Sub(st.started)
	g.limiter.Finish(s.now, concurrency.Sample{Class: concurrency.Class{Route: class.Route}, Took: took, Outcome: outcome})
	if g.service == 0 {
		g.service = took.Seconds()
	}
	g.service += 0.05 * (took.Seconds() - g.service)
	s.answer(target, st, outcome)
	if len(g.backlog) > 0 {
		next := g.backlog[0]
		g.backlog = g.backlog[1:]
		s.execute(target, next)
	}
	s.dispatch(target)
}

// answer sends the response of the gateway host to the caller's host.
func (s *simulation) answer(target int, st *statement, outcome concurrency.Outcome) {
	g := s.gateways[target]
	class := s.params.Classes[st.class]
	limit := min(s.limit(g), g.Slots+1)
	wait := float64(max(0, len(g.queue)+g.passed+1-limit)) / float64(limit) * g.service
	figures := Figures{Limit: limit, Running: g.passed, Waiting: len(g.queue),
		Wait:    time.Duration(wait * float64(time.Second)),
		Service: g.refs.Typical(g.ID, concurrency.Class{Route: class.Route})}
	s.schedule(g.Crossing/2, event{kind: respond, target: target, statement: st, outcome: outcome, figures: figures})
}

func (s *simulation) respond(target int, st *statement, outcome concurrency.Outcome, figures Figures) {
	s.choosers[st.host].Finished(s.now, target, s.params.Classes[st.class], outcome, s.now.Sub(st.sent), figures)
	s.report.attempt(s.now, target, outcome, s.gateways[target].Crossing > 0)
	st.attempt++
	if outcome != concurrency.Done && st.attempt < min(maxAttempts, len(st.ranking)) &&
		s.now.Sub(st.arrived) < s.params.Timeout {
		s.send(st)
		return
	}
	s.report.finished(s.params.Classes[st.class], st, s.now, outcome)
}
