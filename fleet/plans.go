package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
)

// updatePlans recomputes the assignment of workspaces to hosts if its inputs have changed. On large fleets that takes
// a good part of a second and hosts come and go in groups, so the next computation is delayed by a multiple of that
// time and the ticker triggers it. A change of the services is applied immediately.
func (c *control) updatePlans() {
	inputs := planInputs{catalog: c.view.catalog, hosts: c.view.expected, byTarget: c.view.routing.ByTarget}
	if inputs.byTarget {
		inputs.targets = c.view.targetPlanInput()
	}
	if c.view.plans != nil && inputs.equal(c.planInputs) {
		c.plansStale = false
		return
	}
	sameServices := !inputs.byTarget && c.view.plans != nil && c.planInputs.catalog != nil &&
		maps.Equal(c.planInputs.catalog.Services, inputs.catalog.Services)
	if c.plansStale = sameServices && boottime.Now().Before(c.nextPlanTime); c.plansStale {
		return
	}
	started := boottime.Now()
	if inputs.byTarget {
		c.view.plans = map[model.Service]placement.Plan{}
		c.view.targetPlan = placement.NewTargetPlan(inputs.targets, inputs.hosts)
	} else {
		c.view.plans, c.view.targetPlan = c.view.computePlans(), placement.TargetPlan{}
	}
	c.planInputs = inputs
	c.updateGateways()
	ended := boottime.Now()
	c.nextPlanTime = ended.Add(planPauseFactor * ended.Sub(started))
}

func (p planInputs) equal(other planInputs) bool {
	return other.catalog != nil && p.byTarget == other.byTarget && slices.Equal(p.hosts, other.hosts) &&
		slices.Equal(p.targets, other.targets) && (p.byTarget || p.catalog == other.catalog ||
		maps.Equal(p.catalog.Limits, other.catalog.Limits) && maps.Equal(p.catalog.Services, other.catalog.Services))
}

// recordDeparture records that the registration of a host has disappeared. The host stays in the list of expected hosts for
// restartGrace, because most of them return after a restart.
func (c *control) recordDeparture(id model.HostID, now time.Time) {
	if host, registered := c.view.hosts[id]; registered {
		c.departed[id] = departure{host, now}
	}
}

// expireDepartures forgets the departed hosts that have not returned within restartGrace.
func (c *control) expireDepartures() {
	now := boottime.Now()
	for id, d := range c.departed {
		if now.Sub(d.at) > restartGrace {
			delete(c.departed, id)
			c.pending.hosts = true
			c.publishSoon()
		}
	}
}

// updateExpected recomputes the list of expected hosts: the registered ones and those that have departed recently.
func (c *control) updateExpected() {
	expected := make([]placement.Candidate, 0, len(c.view.hosts)+len(c.departed))
	for _, host := range c.view.hosts {
		expected = append(expected, host.candidate())
	}
	for id, d := range c.departed {
		if _, registered := c.view.hosts[id]; registered {
			delete(c.departed, id)
			continue
		}
		expected = append(expected, d.host.candidate())
	}
	slices.SortFunc(expected, func(a, b placement.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	c.view.expected = expected
}
