// Package simqueue simulates the request queues for one primary and several replicas in virtual time. It measures the
// service that each workspace receives under a queue discipline. Reports are deterministic for a set of parameters.
package simqueue

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/internal/eventqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Discipline is the queue discipline for the slots of a target.
type Discipline uint8

const (
	// SlotTime is the product's fair queue. Reads go to the replica with the shortest estimated wait.
	SlotTime Discipline = iota
	// RoundRobin is the fair queue with a cost of 1 per statement, which is deficit round robin.
	RoundRobin
	// FIFO is a bounded first-in, first-out queue. Reads go to the replicas in turn.
	FIFO
)

// String returns the name used in reports.
func (d Discipline) String() string {
	return [...]string{"slot time", "count", "FIFO"}[d]
}

// Load describes the requests of a workspace.
type Load struct {
	Workspace       model.Workspace
	Rate            float64       // statements per second
	MeanServiceTime time.Duration // mean service time
}

// Params configures a simulation.
type Params struct {
	Seed       uint64
	Discipline Discipline
	Duration   time.Duration
	Replicas   int
	Slots      int           // per target
	MaxQueued  int           // per target
	Timeout    time.Duration // of each request
	ReadShare  float64       // fraction of the statements that may run on a replica
	// LogStdDev is the standard deviation of the logarithm of the service time. At 1.2, one statement in 100 takes more
	// than 8 times the mean.
	LogStdDev float64
	Loads     []Load
}

type request struct {
	load        int
	arrived     time.Time
	deadline    time.Time
	serviceTime time.Duration
	read        bool
}

type event struct {
	load   int              // load of the next arrival, or -1 if a request finishes
	target int              // target of the finishing request
	ticket fairqueue.Ticket // ticket of the finishing request
}

// queue is the common interface of the disciplines. fairqueue.Queue implements it.
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
	params      Params
	now         time.Time
	events      eventqueue.Queue[event]
	random      []*rand.Rand // one per load, so that all disciplines get the same requests
	targets     []target     // the primary is the first
	nextReplica int
	report      *Report
}

// Run runs a simulation. It panics if the queue parameters are invalid.
func Run(params Params) Report {
	s := &simulation{params: params, now: time.Unix(0, 0), report: newReport(params)}
	for range 1 + params.Replicas {
		s.targets = append(s.targets, target{queue: newQueue(params), requests: make(map[fairqueue.Ticket]request)})
	}
	for i := range params.Loads {
		s.random = append(s.random, rand.New(rand.NewPCG(params.Seed, uint64(i))))
		s.scheduleArrival(i)
	}
	for s.events.Len() > 0 {
		at, next := s.events.Pop()
		s.now = at
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

// scheduleArrival schedules the next arrival of a Poisson process.
func (s *simulation) scheduleArrival(load int) {
	gap := s.random[load].ExpFloat64() / s.params.Loads[load].Rate
	at := s.now.Add(time.Duration(gap * float64(time.Second)))
	if at.Sub(time.Unix(0, 0)) < s.params.Duration {
		s.events.Push(at, event{load: load})
	}
}

func (s *simulation) arrive(load int) {
	random := s.random[load]
	r := request{load: load, arrived: s.now, deadline: s.now.Add(s.params.Timeout)}
	r.read = random.Float64() < s.params.ReadShare
	r.serviceTime = lognormal(random, s.params.Loads[load].MeanServiceTime, s.params.LogStdDev)
	s.scheduleArrival(load)
	targetIndex := s.chooseTarget(r)
	t := &s.targets[targetIndex]
	name := s.params.Loads[load].Workspace
	ticket, actions := t.queue.Push(s.now, fairqueue.Request{Workspace: name, Deadline: r.deadline})
	t.requests[ticket] = r
	s.apply(targetIndex, actions)
}

func lognormal(random *rand.Rand, mean time.Duration, logStdDev float64) time.Duration {
	factor := math.Exp(random.NormFloat64()*logStdDev - logStdDev*logStdDev/2)
	return max(time.Microsecond, time.Duration(factor*float64(mean)))
}

// chooseTarget returns the index of the target for a request: the primary for a write, a replica for a read.
func (s *simulation) chooseTarget(r request) int {
	if !r.read || s.params.Replicas == 0 {
		return 0
	}
	s.nextReplica++
	first := s.nextReplica % s.params.Replicas
	if s.params.Discipline == FIFO {
		return 1 + first
	}
	best, least := 0, time.Duration(math.MaxInt64)
	for i := range s.params.Replicas {
		targetIndex := 1 + (first+i)%s.params.Replicas
		stats := s.targets[targetIndex].queue.Stats()
		wait := s.targets[targetIndex].queue.EstimatedWait(s.params.Loads[r.load].Workspace)
		// If the estimated waits are equal, for example with empty queues, the target with fewer running statements has a
		// free slot earlier.
		wait += time.Duration(stats.Running)
		if wait < least {
			best, least = targetIndex, wait
		}
	}
	return best
}

func (s *simulation) finish(targetIndex int, ticket fairqueue.Ticket) {
	t := &s.targets[targetIndex]
	r := t.requests[ticket]
	delete(t.requests, ticket)
	s.report.recordFinished(r, s.now)
	s.apply(targetIndex, t.queue.Expire(s.now))
	s.apply(targetIndex, t.queue.Finish(s.now, ticket))
}

func (s *simulation) apply(targetIndex int, actions []fairqueue.Action) {
	t := &s.targets[targetIndex]
	for _, action := range actions {
		r := t.requests[action.Ticket]
		if action.Start {
			s.events.Push(s.now.Add(r.serviceTime), event{load: -1, target: targetIndex, ticket: action.Ticket})
			continue
		}
		delete(t.requests, action.Ticket)
		s.report.recordRefused(r, action.Result.Reason)
	}
	s.report.MaxQueued = max(s.report.MaxQueued, t.queue.Stats().Queued)
}
