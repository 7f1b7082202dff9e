// Package evacuation decides what a host may still send to the targets of an evacuated data centre. An operator requests
// the evacuation; after a bounded time no request may reach a target there. Every host enforces this by itself, because
// the leader that replaces primaries may be gone. The package performs no I/O and reads no clock.
//
// It is designed for full load at the time of the request: reads move to other targets at once, a primary serves until
// its planned replacement, and open transactions get a time in which most of them end.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// maxLearningTime is the time after the store's acknowledgement within which hosts learn of a request. A relayed
	// change takes up to 0.3 s, and a host that loses the leader at that moment reads the store after 0.8 s.
	maxLearningTime = 1500 * time.Millisecond
	// endMargin is the time that is left between the last use of a target and the bound. It covers statements that wait for
	// a busy processor or link after the decision to send them.
	endMargin = time.Second
	// rollbackTime is the time between the end of open transactions and the end of all requests to a primary. Rollbacks are
	// requests as well.
	rollbackTime = 500 * time.Millisecond
	// sendMargin is the endMargin of a host that learned of the request late, for example after a partition, where the
	// bound counts from the last time at which the request is known not to have existed.
	sendMargin = 250 * time.Millisecond
)

// MinBound is the smallest bound that leaves time for learning of a request and for rollbacks.
const MinBound = maxLearningTime + endMargin + rollbackTime

// Limits are the times after which a host stops using the targets of an evacuated data centre.
type Limits struct {
	// Bound is the time from the store's acknowledgement of a request until no request may reach a target.
	Bound time.Duration
	// Primary is the maximum use of a replaceable primary after the host has learned of the request.
	Primary time.Duration
	// Transactions is the maximum time that open transactions may continue after the host has learned of the request.
	Transactions time.Duration
}

// NewLimits derives the limits from the bound, which must be at least MinBound.
func NewLimits(bound time.Duration) Limits {
	primary := bound - maxLearningTime - endMargin
	return Limits{Bound: bound, Primary: primary, Transactions: primary - rollbackTime}
}

// request is an evacuation request as this host knows it.
type request struct {
	learnedAt time.Time // boot time at which this host learned of the request
	endsAt    time.Time // boot time from which no request may reach a target of the data centre
}

// State holds the data centres that are evacuated, as known to one host. It is immutable; its zero value holds none.
type State struct {
	limits   Limits
	requests map[model.DataCentre]request
}

// NewState returns a state without evacuated data centres.
func NewState(limits Limits) State { return State{limits: limits} }

// With returns the state with a data centre whose evacuation this host has learned of at the boot time now. absentAt is
// the latest boot time at which the request is known not to have existed, or zero if that is not known; then the bound
// may have passed already. A data centre that is evacuated already keeps its times.
func (s State) With(dc model.DataCentre, now, absentAt time.Time) State {
	if s.Evacuated(dc) {
		return s
	}
	r := request{learnedAt: now, endsAt: now}
	if !absentAt.IsZero() {
		r.endsAt = earlier(now.Add(s.limits.Primary), absentAt.Add(s.limits.Bound-sendMargin))
	}
	requests := maps.Clone(s.requests)
	if requests == nil {
		requests = map[model.DataCentre]request{}
	}
	requests[dc] = r
	return State{s.limits, requests}
}

// Without returns the state without a data centre whose request was withdrawn.
func (s State) Without(dc model.DataCentre) State {
	requests := maps.Clone(s.requests)
	delete(requests, dc)
	return State{s.limits, requests}
}

// Empty reports whether no data centre is evacuated.
func (s State) Empty() bool { return len(s.requests) == 0 }

// DataCentres returns the evacuated data centres in order of their names.
func (s State) DataCentres() []model.DataCentre { return slices.Sorted(maps.Keys(s.requests)) }

// Evacuated reports whether the evacuation of a data centre is requested.
func (s State) Evacuated(dc model.DataCentre) bool {
	_, evacuated := s.requests[dc]
	return evacuated
}

// Since returns the boot time at which this host learned of the request for a data centre.
func (s State) Since(dc model.DataCentre) time.Time { return s.requests[dc].learnedAt }

// MayReach reports whether requests of any kind, also probes and rollbacks, may be sent to a target of a data centre.
func (s State) MayReach(now time.Time, dc model.DataCentre) bool {
	r, evacuated := s.requests[dc]
	return !evacuated || now.Before(r.endsAt)
}

// MayContinue reports whether transactions that are open on a target of a data centre may continue.
func (s State) MayContinue(now time.Time, dc model.DataCentre) bool {
	r, evacuated := s.requests[dc]
	return !evacuated || now.Before(earlier(r.learnedAt.Add(s.limits.Transactions), r.endsAt.Add(-rollbackTime)))
}

// MayStart reports whether a new statement or transaction may start on a target. Targets of an evacuated data centre
// start none, except for a primary that can be replaced, which starts some until its replacement.
func (s State) MayStart(now time.Time, t catalog.Target, primary model.TargetID, targets []catalog.Target) bool {
	if !s.Evacuated(t.DataCentre) {
		return true
	}
	return t.ID == primary && s.MayReach(now, t.DataCentre) && s.Replaceable(primary, targets)
}

// Replaceable reports whether the targets of a service include one that can be promoted instead of the primary: it is in
// a data centre that is not evacuated and does not drain.
func (s State) Replaceable(primary model.TargetID, targets []catalog.Target) bool {
	return slices.ContainsFunc(targets, func(t catalog.Target) bool {
		return t.ID != primary && t.State != catalog.Draining && !s.Evacuated(t.DataCentre)
	})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
