// Package simqueue simulates the queues of a home with one primary and several replicas in virtual time. It measures
// what each workspace gets under a queue discipline. The same parameters always give the same report.
package simqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Discipline is the way in which requests wait for the slots of a target.
type Discipline uint8

const (
	// SlotTime is the fair queue of the product; reads go to the replica with the least estimated wait.
	SlotTime Discipline = iota
	// Count is the fair queue with a charge of 1 per statement, which is deficit round robin.
	RoundRobin
	// FIFO is a bounded queue in the order of arrival; reads go to the replicas in turn.
	FIFO
)

// String returns the name in reports.
func (d Discipline) String() string {
	return [...]string{"slot time", "count", "FIFO"}[d]
}

// Load is what a workspace sends.
type Load struct {
	Workspace       model.Workspace
	Rate            float64       // statements per second
	MeanServiceTime time.Duration // mean service time
}

// Params has the settings of a simulation.
type Params struct {
	Seed       uint64
	Discipline Discipline
	Duration   time.Duration
	Replicas   int
	Slots      int           // per target
	MaxQueued  int           // per target
	Timeout    time.Duration // of each request
	ReadShare  float64       // part of the statements that may run on a replica
	// Spread is the standard deviation of the logarithm of the service time. At 1.2, one statement in 100 takes more
	// than 8 times the mean.
	LogStdDev float64
	Loads     []Load
}

type request struct {
	load     int
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	read     bool
}

type event struct {
	at     time.Time
	order  uint64
	load   int              // of the next arrival, or -1 if a request ends
	target int              // of the request that ends
	ticket fairqueue.Ticket // of the request that ends
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// queue is what the disciplines have in common. The fair queue of the product implements it.
type queue interface {
	Push(time.Time, fairqueue.Request) (fairqueue.Ticket, []fairqueue.Action)
	Finish(time.Time, fairqueue.Ticket) []fairqueue.Action
	Expire(time.Time) []fairqueue.Action
	EstimatedWait(model.Workspace) time.Duration
	Stats() fairqueue.Stats
}

type target struct {
	queue    queue
	requests map[fairqueue.Ticket]request
}

type simulation struct {
	params  Params
	now     time.Time
	events  events
	order   uint64
	random  []*rand.Rand // one per load, so that all disciplines see the same requests
	targets []target     // the primary is the first
	turn    int
	report  *Report
}

// Run simulates a home. It panics if the settings of the queue are not valid.
func Run(params Params) Report {
	s := &simulation{params: params, now: time.Unix(0, 0), report: newReport(params)}
	for range 1 + params.Replicas {
		s.targets = append(s.targets, target{queue: newQueue(params), requests: make(map[fairqueue.Ticket]request)})
	}
	for i := range params.Loads {
		s.random = append(s.random, rand.New(rand.NewPCG(params.Seed, uint64(i))))
		s.scheduleArrival(i)
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		if next.load >= 0 {
			s.arrive(next.load)
		} else {
			s.finish(next.target, next.ticket)
		}
	}
	s.report.complete()
	return *s.report
}

func newQueue(params Params) queue {
	if params.Discipline == FIFO {
		return newFIFO(params.Slots, params.MaxQueued)
	}
	policy := fairqueue.PolicySlotTime
	if params.Discipline == RoundRobin {
		policy = fairqueue.PolicyRoundRobin
	}
	q, err := fairqueue.New(fairqueue.Config{Slots: params.Slots, MaxQueued: params.MaxQueued, Policy: policy})
	if err != nil {
		panic(err)
	}
	return q
}

func (s *simulation) schedule(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// scheduleArrival draws the next arrival of a Poisson process.
func (s *simulation) scheduleArrival(load int) {
	gap := s.random[load].ExpFloat64() / s.params.Loads[load].Rate
	at := s.now.Add(time.Duration(gap * float64(time.Second)))
	if at.Sub(time.Unix(0, 0)) < s.params.Duration {
		s.schedule(event{at: at, load: load})
	}
}

func (s *simulation) arrive(load int) {
	random := s.random[load]
	r := request{load: load, arrived: s.now, deadline: s.now.Add(s.params.Timeout)}
	r.read = random.Float64() < s.params.ReadShare
	r.service = lognormal(random, s.params.Loads[load].MeanServiceTime, s.params.LogStdDev)
	s.scheduleArrival(load)
	place := s.choose(r)
	t := &s.targets[place]
	name := s.params.Loads[load].Workspace
	ticket, actions := t.queue.Push(s.now, fairqueue.Request{Workspace: name, Deadline: r.deadline})
	t.requests[ticket] = r
	s.apply(place, actions)
}

func lognormal(random *rand.Rand, mean time.Duration, spread float64) time.Duration {
	factor := math.Exp(random.NormFloat64()*spread - spread*spread/2)
	return max(time.Microsecond, time.Duration(factor*float64(mean)))
}

// choose returns the target of a request: the primary for a write, a replica for a read.
func (s *simulation) choose(r request) int {
	if !r.read || s.params.Replicas == 0 {
		return 0
	}
	s.turn++
	first := s.turn % s.params.Replicas
	if s.params.Discipline == FIFO {
		return 1 + first
	}
	best, least := 0, time.Duration(math.MaxInt64)
	for i := range s.params.Replicas {
		place := 1 + (first+i)%s.params.Replicas
		stats := s.targets[place].queue.Stats()
		wait := s.targets[place].queue.EstimatedWait(s.params.Loads[r.load].Workspace)
		// Between equal waits, such as those of queues that are empty, the target with fewer running statements is free
		// earlier.
		wait += time.Duration(stats.Running)
		if wait < least {
			best, least = place, wait
		}
	}
	return best
}

func (s *simulation) finish(place int, ticket fairqueue.Ticket) {
	t := &s.targets[place]
	r := t.requests[ticket]
	delete(t.requests, ticket)
	s.report.finished(r, s.now)
	s.apply(place, t.queue.Expire(s.now))
	s.apply(place, t.queue.Finish(s.now, ticket))
}

func (s *simulation) apply(place int, actions []fairqueue.Action) {
	t := &s.targets[place]
	for _, action := range actions {
		r := t.requests[action.Ticket]
		if action.Start {
			s.schedule(event{at: s.now.Add(r.service), load: -1, target: place, ticket: action.Ticket})
			continue
		}
		delete(t.requests, action.Ticket)
		s.report.refused(r, action.Result.Reason)
	}
	s.report.MaxQueued = max(s.report.MaxQueued, t.queue.Stats().Queued)
}
