package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// assign finds a connection for one request and reports whether it was granted or refused. Otherwise the request waits for a
// connection that is being opened or becomes free.
func (p *Pool) assign(now time.Time, r Request, claimed map[ConnID]bool) (bool, []Action) {
	candidates := p.candidates(now, r)
	best, bestCost := (*conn)(nil), 0.0
	for _, t := range candidates {
		if c := p.findConn(t.ID, func(c *conn) bool { return c.state == idle && c.workspace == r.Workspace }); c != nil {
			if cost := p.estimateCost(t, r); best == nil || cost < bestCost {
				best, bestCost = c, cost
			}
		}
	}
	openTarget, openCost := p.cheapestOpening(now, r, candidates)
	if best != nil && (openTarget == nil || bestCost <= openCost) {
		best.state = busy
		p.targets[best.target].countRequests(now, 1)
		return true, []Action{Grant{r.ID, best.id, best.target}}
	}
	for _, t := range candidates {
		openingConn := p.findConn(t.ID, func(c *conn) bool {
			return c.state == opening && c.workspace == r.Workspace && !claimed[c.id]
		})
		if openingConn != nil {
			claimed[openingConn.id] = true
			return false, nil
		}
	}
	if openTarget == nil && r.GiveUp {
		return true, []Action{Refuse{r.ID, RefusedNoConnection}}
	}
	if openTarget == nil {
		return false, nil
	}
	var actions []Action
	if p.connCount(openTarget.ID) >= openTarget.limit(now) {
		victim := p.leastRecentlyUsedIdle(openTarget.ID)
		if p.hasWaiter(victim, r) && now.Sub(r.enqueuedAt) < maxAffinityWait {
			return false, nil
		}
		p.remove(victim.id)
		actions = append(actions, Close{victim.id})
	}
	p.lastConnID++
	p.conns = append(p.conns, &conn{id: p.lastConnID, target: openTarget.ID, workspace: r.Workspace, state: opening,
		lastUsed: now})
	claimed[p.lastConnID] = true
	openTarget.countRequests(now, 1)
	return false, append(actions, Open{p.lastConnID, openTarget.ID, r.Workspace})
}

// hasWaiter reports whether a queued request of at least the priority of r can use an idle connection without reopening
// it.
func (p *Pool) hasWaiter(c *conn, r Request) bool {
	for _, other := range p.queue {
		if other.Workspace == c.workspace && other.Priority <= r.Priority && (!other.PrimaryOnly || c.target == p.primary) &&
			(other.Target == "" || other.Target == c.target) {
			return true
		}
	}
	return false
}

// candidates returns the targets that can run the request, replicas first.
func (p *Pool) candidates(now time.Time, r Request) []*target {
	var list []*target
	primary := p.targets[p.primary]
	if r.Target != "" && r.Target != p.primary {
		primary = nil
	}
	// Without the primary, a replica that seems to lag may still have the data, and no other target has it.
	withoutPrimary := primary != nil && (primary.Evacuated || !r.Region.Allows(primary.DataCentre))
	if !r.PrimaryOnly && !r.AsOf.IsZero() {
		for id, t := range p.targets {
			if r.Target != "" && r.Target != id {
				continue
			}
			if id != p.primary && t.acceptsWork() && r.Region.Allows(t.DataCentre) && t.mayTakeRequest(now) &&
				(withoutPrimary || t.mayHaveData(now, r.AsOf)) {
				list = append(list, t)
			}
		}
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if primary != nil && !p.closed && !withoutPrimary && primary.mayTakeRequest(now) {
		list = append(list, primary)
	}
	return list
}

// Choose returns the target that should run a request which waits for its turn before it is enqueued, or "" if no target has a
// connection for it that is idle or can be opened. waiting returns the number of such requests that wait for a target.
func (p *Pool) Choose(now time.Time, r Request, waiting func(model.TargetID) int) model.TargetID {
	var best *target
	bestCost := 0.0
	for _, t := range p.candidates(now, r) {
		cost := p.estimateCost(t, r) + float64(waiting(t.ID))
		if p.findConn(t.ID, func(c *conn) bool { return c.state == idle && c.workspace == r.Workspace }) == nil {
			full := p.connCount(t.ID) >= t.limit(now)
			if now.Before(t.backoffUntil) || full && p.leastRecentlyUsedIdle(t.ID) == nil {
				continue
			}
			cost += handshakeCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// mayHaveData reports whether a replica probably has all commits up to the given time. The target verifies it when it runs
// the statement.
func (t *target) mayHaveData(now time.Time, asOf time.Time) bool {
	return now.Sub(t.lagObservedAt) > lagTTL || now.Sub(asOf) >= t.lag
}

// cheapestOpening returns the target to which a connection can be opened at the lowest cost, and the cost, or nil.
func (p *Pool) cheapestOpening(now time.Time, r Request, candidates []*target) (*target, float64) {
	var best *target
	bestCost := 0.0
	for _, t := range candidates {
		full := p.connCount(t.ID) >= t.limit(now)
		if now.Before(t.backoffUntil) || full && p.leastRecentlyUsedIdle(t.ID) == nil {
			continue
		}
		if cost := p.estimateCost(t, r) + handshakeCost; best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost
}

// estimateCost estimates the time that a statement takes on a target, in durations of one statement. Each connection that
// is in use or being opened counts as one.
func (p *Pool) estimateCost(t *target, r Request) float64 {
	cost := 0.0
	for _, c := range p.conns {
		if c.target == t.ID && c.state != idle {
			cost++
		}
	}
	if t.DataCentre != p.dataCentre {
		cost += remoteCost
	}
	if t.ID == p.primary && !r.PrimaryOnly {
		cost += primaryCost
	}
	return cost
}

// unusable returns why this host cannot use the target that the request names, or 0 if it can. It cannot while connections to the
// target fail and none is open.
func (p *Pool) unusable(now time.Time, r Request) RefusalReason {
	if r.Target == "" || r.GiveUp {
		return 0
	}
	t := p.targets[r.Target]
	if t == nil || t.Limit == 0 || now.Before(t.backoffUntil) && p.connCount(t.ID) == 0 {
		return RefusedNoTarget
	}
	if len(p.candidates(now, r)) > 0 {
		return 0
	}
	if r.Target != p.primary && t.acceptsWork() && !r.PrimaryOnly && !t.mayHaveData(now, r.AsOf) {
		return RefusedLagging
	}
	return RefusedNoTarget
}
