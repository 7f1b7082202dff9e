// Package balance chooses the target of a service that a read runs on. The decision is made at the caller's host, from the
// figures that the gateway hosts of the targets return with each response, and from this host's own outstanding statements.
//
// It answers targets that differ in speed by a factor of five or change their speed while traffic runs, targets in other
// data centres, where each statement costs bytes between data centres, and targets that fail, stay silent or refuse.
// Sixty hosts decide independently with little traffic each, so the figures are up to seconds old, and hosts that all
// followed the same figures would move together from one target to the next.
//
// The package is pure: time and randomness are arguments. A Tracker is not safe for concurrent use. A choice takes a few
// hundred nanoseconds and allocates only its result.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// fullWeightAge is the age up to which reported figures count in full. Older waits lose half of their weight in each
	// waitHalfLife, and older slowdowns in each slowdownHalfLife, because queues change within a second and speeds within
	// several.
	fullWeightAge    = time.Second
	waitHalfLife     = time.Second
	slowdownHalfLife = 10 * time.Second
	// defaultService is the assumed time of a statement on a target as long as no host has reported one. It is the middle of
	// the times of the users' routes.
	defaultService = 12 * time.Millisecond
	// defaultLimit is the assumed limit of a target that nothing was reported about.
	defaultLimit = 2
	// serviceSmoothing is the weight of a reported time in the moving average of the service's statements.
	serviceSmoothing = 0.1
	// localShare is the part of the latency target up to which the expected time of a local target is accepted, because
	// bytes between data centres are expensive. From there to localShareEnd a growing part of the reads considers the
	// other data centres, so that the hosts do not move at the same time.
	localShare, localShareEnd = 0.25, 0.35
	// primaryCost is the additional expected time of the primary for reads, in times of one statement. Writes can run
	// nowhere else.
	primaryCost = 1.5
	// defaultPreference is the exponent by which a target with a smaller expected time is preferred: at twice the time it
	// gets an eighth of the reads. With a greater exponent hosts with old figures move together, with a smaller one slow
	// targets get more than they can serve.
	defaultPreference = 3
	// maxFailurePenalty bounds the factor by which failures raise the expected time of a target that is not taken out,
	// because too many others are. The factor is the expected number of attempts.
	maxFailurePenalty = 10
	// exploreInterval and exploreShare bound the statements that a target gets although others are preferred, so that its
	// recovery is seen: one statement a second from each host, and at most one in 20 of its statements.
	exploreInterval = time.Second
	exploreShare    = 0.05
	// maxSlowdown bounds reported slowdowns, so that a mistaken report cannot hide a target for long.
	maxSlowdown = 100
	// entryTTL is the time after which a target without statements, figures and choices is forgotten.
	entryTTL = time.Minute
	// maxTargets bounds the targets in a tracker. The users' services have three.
	maxTargets = 64
	// maxScored is the number of candidates that are scored without an allocation.
	maxScored = 16
)

// Load is what the gateway host of a target reports about it.
type Load struct {
	Limit    int           // statements that may run at once; 0 if nothing is known
	Running  int           // statements that run
	Waiting  int           // statements that wait at the gateway host
	Wait     time.Duration // expected wait of a new statement of the same priority
	Slowdown float64       // time relative to the best targets of the service; 0 or 1 if it is as fast
	// Service is the typical time on the target of statements like the one that the figures are returned with; 0 if it is not
	// known.
	Service time.Duration
}

// Candidate is a target that may run a read.
type Candidate struct {
	Target   model.TargetID
	Crossing time.Duration // round trip to the data centre of the target, 0 inside the host's own
	Primary  bool
}

// Change tells whether an outcome has taken a target out or returned it.
type Change uint8

const (
	// Unchanged means that nothing has changed.
	Unchanged Change = iota
	// TakenOut means that the target has failed too often and gets single probes only.
	TakenOut
	// Returned means that a probe has succeeded and the target is used again.
	Returned
)

// Tracker holds what a host knows about the targets of one service.
type Tracker struct {
	entries    map[model.TargetID]*entry
	service    float64 // moving average of the time of a statement on the best targets, in seconds; 0 if unknown
	group      int     // number of candidates of the last choice
	prunedAt   time.Time
	preference float64
}

// entry is the state of one target.
type entry struct {
	load        Load
	loadAt      time.Time // zero if nothing was reported
	outstanding int       // statements that this host has started and that have not finished
	sinceReport int       // of these, the ones that were started after the last report
	startedAt   time.Time // last choice as the first target
	usedAt      time.Time // last choice, report or outcome
	ejection    ejection
}

// NewTracker returns a tracker without figures.
func NewTracker() *Tracker {
	return &Tracker{entries: map[model.TargetID]*entry{}, preference: defaultPreference}
}

// Report records the figures of a target that its gateway host returned.
func (t *Tracker) Report(now time.Time, target model.TargetID, load Load) {
	e := t.entry(now, target)
	if math.IsNaN(load.Slowdown) {
		load.Slowdown = 1
	}
	load.Slowdown = min(max(1, load.Slowdown), maxSlowdown)
	load.Running, load.Waiting = max(0, load.Running), max(0, load.Waiting)
	load.Wait = max(0, load.Wait)
	e.load, e.loadAt, e.sinceReport = load, now, 0
	if load.Service > 0 {
		best := load.Service.Seconds() / load.Slowdown
		if t.service == 0 {
			t.service = best
		}
		t.service += serviceSmoothing * (best - t.service)
	}
}

// Started records that a statement was sent to the target.
func (t *Tracker) Started(target model.TargetID) {
	if e := t.entries[target]; e != nil {
		e.outstanding++
		e.sinceReport++
	}
}

// Finished records the outcome of a statement that was started.
func (t *Tracker) Finished(now time.Time, target model.TargetID, outcome concurrency.Outcome) Change {
	e := t.entry(now, target)
	e.outstanding = max(0, e.outstanding-1)
	e.sinceReport = min(e.sinceReport, e.outstanding)
	return e.ejection.record(now, outcome, t.mayEject())
}

// Forget drops a target that was removed.
func (t *Tracker) Forget(target model.TargetID) { delete(t.entries, target) }

// Slowdown returns the last reported slowdown of the target, or 1.
func (t *Tracker) Slowdown(target model.TargetID) float64 {
	if e := t.entries[target]; e != nil && e.load.Slowdown > 1 {
		return e.load.Slowdown
	}
	return 1
}

// scored is a candidate with its expected time.
type scored struct {
	target   model.TargetID
	entry    *entry
	expected float64 // seconds
	local    bool
}

// Rank returns all candidates, best first, for a statement with the given latency target. The caller sends the statement
// to the first one that can run it and calls Started with it. Targets that are taken out come last, except one that is due
// for a probe.
func (t *Tracker) Rank(now time.Time, rng *rand.Rand, candidates []Candidate,
	latencyTarget time.Duration) []model.TargetID {
	if len(candidates) == 0 {
		return nil
	}
	t.group = len(candidates)
	var array [maxScored]scored
	list := array[:0]
	for _, c := range candidates {
		e := t.entry(now, c.Target)
		list = append(list, scored{c.Target, e, t.expected(now, e, c), c.Crossing <= 0})
	}
	t.prune(now)
	sortScored(list)
	if first := t.choose(now, rng, list, latencyTarget.Seconds()); first > 0 {
		chosen := list[first]
		copy(list[1:first+1], list[:first])
		list[0] = chosen
	}
	list[0].entry.startedAt = now
	result := make([]model.TargetID, len(list))
	for i := range list {
		result[i] = list[i].target
	}
	return result
}

// sortScored sorts by expected time, targets that are taken out last. An insertion sort needs no allocation.
func sortScored(list []scored) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && list[j].before(list[j-1]); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
}

func (s scored) before(other scored) bool {
	if s.entry.ejection.out != other.entry.ejection.out {
		return other.entry.ejection.out
	}
	return s.expected < other.expected
}

// expected returns the expected time of a statement on the target in seconds: crossing, wait and execution.
func (t *Tracker) expected(now time.Time, e *entry, c Candidate) float64 {
	service := t.service
	if service == 0 {
		service = defaultService.Seconds()
	}
	slowdown, wait, limit, occupied := 1.0, 0.0, float64(defaultLimit), 0.0
	if !e.loadAt.IsZero() {
		age := now.Sub(e.loadAt)
		slowdown = 1 + (e.load.Slowdown-1)*weight(age, slowdownHalfLife)
		fresh := weight(age, waitHalfLife)
		wait = fresh * e.load.Wait.Seconds()
		limit = float64(max(1, e.load.Limit))
		occupied = fresh * float64(e.load.Running+e.load.Waiting)
	}
	own := float64(e.sinceReport)
	if e.loadAt.IsZero() {
		own = float64(e.outstanding)
	}
	// The statements that were sent since the report wait for each other once they fill the limit.
	if excess := min(own, occupied+own+1-limit); excess > 0 {
		wait += excess / limit * service * slowdown
	}
	total := c.Crossing.Seconds() + wait + service*slowdown
	if c.Primary {
		total += primaryCost * service
	}
	return total * e.ejection.penalty()
}

// weight returns the weight of a figure of the given age: 1 up to fullWeightAge, then half as much after each half-life.
func weight(age, halfLife time.Duration) float64 {
	if age <= fullWeightAge {
		return 1
	}
	return math.Exp2(-float64(age-fullWeightAge) / float64(halfLife))
}

// choose returns the index of the target that gets the statement. The list is sorted.
func (t *Tracker) choose(now time.Time, rng *rand.Rand, list []scored, latencyTarget float64) int {
	usable := 0
	for i := range list {
		if list[i].entry.ejection.takeProbe(now) {
			return i
		}
		if !list[i].entry.ejection.out {
			usable++
		}
	}
	if usable <= 1 {
		return 0
	}
	localOnly := stayLocal(rng, list[:usable], latencyTarget)
	if i := explore(now, rng, list[:usable], localOnly); i > 0 {
		return i
	}
	best := math.Inf(1)
	for _, s := range list[:usable] {
		if s.local || !localOnly {
			best = min(best, s.expected)
		}
	}
	total := 0.0
	for _, s := range list[:usable] {
		if s.local || !localOnly {
			total += t.share(best, s.expected)
		}
	}
	point := rng.Float64() * total
	last := 0
	for i, s := range list[:usable] {
		if !s.local && localOnly {
			continue
		}
		last = i
		if point -= t.share(best, s.expected); point < 0 {
			break
		}
	}
	return last
}

// share returns the relative share of the reads of a target with the expected time.
func (t *Tracker) share(best, expected float64) float64 { return math.Pow(best/expected, t.preference) }

// stayLocal reports whether the read runs in the host's own data centre.
func stayLocal(rng *rand.Rand, list []scored, latencyTarget float64) bool {
	for _, s := range list {
		if s.local {
			if latencyTarget <= 0 {
				return true // not configured
			}
			// The list is sorted, so this is the best local target.
			excess := (s.expected/latencyTarget - localShare) / (localShareEnd - localShare)
			return excess <= 0 || excess < 1 && rng.Float64() >= excess
		}
	}
	return false
}

// explore returns the index of a target that has had no statement of this host for a while, in a small share of the
// choices, or 0.
func explore(now time.Time, rng *rand.Rand, list []scored, localOnly bool) int {
	for i, s := range list {
		if i == 0 || !s.local && localOnly || now.Sub(s.entry.startedAt) < exploreInterval {
			continue
		}
		if rng.Float64() < exploreShare {
			return i
		}
	}
	return 0
}

// mayEject reports whether one more target of the group may be taken out: a third of the group at most, but one of two.
func (t *Tracker) mayEject() bool {
	out := 0
	for _, e := range t.entries {
		if e.ejection.out {
			out++
		}
	}
	group := max(t.group, 1)
	return group > 1 && out < max(1, group/3)
}

// entry returns the state of the target and marks it as used.
func (t *Tracker) entry(now time.Time, target model.TargetID) *entry {
	e := t.entries[target]
	if e == nil {
		if len(t.entries) >= maxTargets {
			t.dropOldest()
		}
		e = &entry{startedAt: now}
		t.entries[target] = e
	}
	e.usedAt = now
	return e
}

// prune forgets targets that have not been used for a long time. Those of a service that is not used any more stay, which
// is bounded by maxTargets.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.prunedAt) < entryTTL {
		return
	}
	t.prunedAt = now
	for id, e := range t.entries {
		if now.Sub(e.usedAt) > entryTTL {
			delete(t.entries, id)
		}
	}
}

// dropOldest forgets the target that was used longest ago.
func (t *Tracker) dropOldest() {
	var oldest model.TargetID
	var at time.Time
	for id, e := range t.entries {
		if at.IsZero() || e.usedAt.Before(at) || e.usedAt.Equal(at) && id < oldest {
			oldest, at = id, e.usedAt
		}
	}
	delete(t.entries, oldest)
}
