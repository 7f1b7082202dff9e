package pool

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/region"
)

// mayTakeRequest reports whether a request may be sent to the target: it is not cold, or this host's share allows it.
func (t *target) mayTakeRequest(now time.Time) bool {
	return !now.Before(t.ColdUntil) || t.coldRequests.Allows(now, t.ColdRate)
}

// countRequests counts requests that are sent to the target.
func (t *target) countRequests(now time.Time, n int) {
	if now.Before(t.ColdUntil) {
		t.coldRequests.Take(now, t.ColdRate, n)
	}
}

// CountRequests counts requests to a target other than the first statement of a grant and the opening of a connection,
// which the pool counts itself.
func (p *Pool) CountRequests(now time.Time, id model.TargetID, n int) {
	if t := p.targets[id]; t != nil {
		t.countRequests(now, n)
	}
}

// MayTakeRequest reports whether a request may be sent to a target, which may be cold.
func (p *Pool) MayTakeRequest(now time.Time, id model.TargetID) bool {
	t := p.targets[id]
	return t == nil || t.mayTakeRequest(now)
}

// refuseImpossible refuses the queued requests that no target can run because of an evacuation or of their regions. A
// request that needs the primary waits while it is being replaced, unless no target may become the next one.
func (p *Pool) refuseImpossible() []Action {
	var evacuated, usable bool // there are targets that are evacuated, and others that accept work
	for _, t := range p.targets {
		evacuated, usable = evacuated || t.Evacuated, usable || t.acceptsWork()
	}
	var actions []Action
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool {
		switch {
		case evacuated && (!usable || p.needsPrimaryWhere(r, func(t *target) bool { return t.Evacuated })):
			actions = append(actions, Refuse{r.ID, RefusedEvacuated})
		case r.Region.Limited && (!p.usableIn(r.Region) ||
			p.needsPrimaryWhere(r, func(t *target) bool { return !r.Region.Allows(t.DataCentre) })):
			actions = append(actions, Refuse{r.ID, RefusedRegion})
		default:
			return false
		}
		return true
	})
	return actions
}

// needsPrimaryWhere reports whether the request needs the primary, and that is in use and meets the condition.
func (p *Pool) needsPrimaryWhere(r Request, condition func(*target) bool) bool {
	primary := p.targets[p.primary]
	return (r.PrimaryOnly || r.AsOf.IsZero()) && primary != nil && !p.closed && condition(primary)
}

// usableIn reports whether a target in the data centres of a constraint accepts work.
func (p *Pool) usableIn(c region.Constraint) bool {
	for _, t := range p.targets {
		if t.acceptsWork() && c.Allows(t.DataCentre) {
			return true
		}
	}
	return false
}
