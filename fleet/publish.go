package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// registrationDelay is the time for which registrations of hosts are collected before they are published. All hosts of a
// fleet start within some 0.3 s, and publishing each registration by itself costs time that grows with the square of
// their number.
const registrationDelay = 20 * time.Millisecond

// pendingChanges records which parts of the view have changed since it was published.
type pendingChanges struct {
	hosts, targets, documents bool
	// due fires when the changes have to be published. It is nil if there are none to wait for.
	due <-chan time.Time
}

// passedOn is what the control goroutine has passed on to the server. Only differences are passed on.
type passedOn struct {
	catalog   *catalog.Catalog
	hosts     int
	targets   map[model.Service]serviceTargets
	documents map[model.Service]uint64 // epochs
}

// serviceTargets holds the arguments of a call of Server.SetTargets.
type serviceTargets struct {
	list   []catalog.Target
	limits []frontend.ConnectionLimits // of this host, in the order of list
}

func newPassedOn() passedOn {
	return passedOn{targets: map[model.Service]serviceTargets{}, documents: map[model.Service]uint64{}}
}

// publishSoon publishes the view after registrationDelay, with what else changes until then.
func (c *control) publishSoon() {
	if c.pending.due == nil {
		c.pending.due = time.After(registrationDelay)
	}
}

// flush publishes the changes that publishSoon has postponed.
func (c *control) flush() {
	if c.pending.due != nil {
		c.publish()
	}
}

// publish recomputes the plans if needed, publishes a copy of the view and passes the changes on to the server.
func (c *control) publish() {
	if c.pending.hosts {
		c.updateExpected()
	}
	if c.passedOn.documents == nil {
		c.passedOn = newPassedOn()
	}
	plansBefore := c.planInputs
	c.updatePlans()
	a := c.agent
	c.view.kept = c.keep()
	v := c.view.cloneChanged(a.view.Load(), c.pending)
	a.view.Store(v)
	for service, doc := range v.documents {
		if doc.value.Epoch > c.passedOn.documents[service] {
			c.passedOn.documents[service] = doc.value.Epoch
			go a.applyDocument(doc.value)
		}
	}
	if v.routing.ByTarget && !a.NoLoadControl {
		a.Server.SetLoadControl(true)
	}
	if a.evacuates() {
		a.Server.SetEvacuations(v.evacuations, v.dataCentres())
	}
	newCatalog := v.catalog != c.passedOn.catalog
	if hosts := v.sharingHosts(a.Self); newCatalog || hosts != c.passedOn.hosts {
		c.passedOn.catalog, c.passedOn.hosts = v.catalog, hosts
		a.Server.SetCatalog(v.catalog, hosts)
	}
	if v.catalog.Version > 0 && (newCatalog || c.pending.targets || !plansBefore.equal(c.planInputs)) {
		c.passTargets(v)
	}
	c.pending = pendingChanges{}
}

// passTargets passes the targets on to the services for which they or the limit of this host have changed.
func (c *control) passTargets(v *clusterView) {
	for service := range v.catalog.Services {
		c.agent.setColdRate(v, service)
		limits := v.connectionLimits(service, c.agent.Self.ID)
		next := serviceTargets{list: v.targetsOf(service)}
		for _, t := range next.list {
			next.limits = append(next.limits, limits(t.ID))
		}
		if last, known := c.passedOn.targets[service]; known && slices.Equal(last.limits, next.limits) &&
			slices.Equal(last.list, next.list) {
			continue
		}
		c.passedOn.targets[service] = next
		c.agent.Server.SetTargets(service, next.list, limits)
	}
}

// cloneChanged returns a copy of the view that shares the parts which have not changed with the last published one.
func (v *clusterView) cloneChanged(last *clusterView, changed pendingChanges) *clusterView {
	c := *v
	if c.targets, c.drainingSince, c.byService = last.targets, last.drainingSince, last.byService; changed.targets {
		c.targets, c.drainingSince, c.byService = maps.Clone(v.targets), maps.Clone(v.drainingSince), &targetIndex{}
	}
	if c.hosts, c.ordered = last.hosts, last.ordered; changed.hosts {
		c.hosts, c.ordered = maps.Clone(v.hosts), &hostOrder{}
	}
	if c.documents = last.documents; changed.documents {
		c.documents = maps.Clone(v.documents)
	}
	return &c
}

// targetIndex holds the registered targets of a published view by service. It is computed at the first use.
type targetIndex struct {
	once      sync.Once
	byService map[model.Service][]catalog.Target
}

// targetsOf returns the registered targets of a service sorted by id. The list is shared and must not be modified.
func (v *clusterView) targetsOf(service model.Service) []catalog.Target {
	index := v.byService
	if index == nil {
		index = &targetIndex{} // the view of the control goroutine, which changes
	}
	index.once.Do(func() {
		index.byService = make(map[model.Service][]catalog.Target, len(v.catalog.Services))
		for _, t := range v.targets {
			index.byService[t.Service] = append(index.byService[t.Service], t)
		}
		for _, list := range index.byService {
			slices.SortFunc(list, func(a, b catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
		}
	})
	return index.byService[service]
}

// hostOrder holds the registered hosts of a published view in the orders that are used many times a second. They are
// computed at the first use.
type hostOrder struct {
	once             sync.Once
	byID, byCapacity []Host
}

// order returns the registered hosts sorted by id, and by decreasing link bandwidth and processor capacity. The lists are
// shared and must not be modified.
func (v *clusterView) order() *hostOrder {
	o := v.ordered
	if o == nil {
		o = &hostOrder{} // the view of the control goroutine, which changes
	}
	o.once.Do(func() {
		o.byID = make([]Host, 0, len(v.hosts))
		for _, h := range v.hosts {
			o.byID = append(o.byID, h)
		}
		slices.SortFunc(o.byID, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
		o.byCapacity = slices.Clone(o.byID)
		slices.SortStableFunc(o.byCapacity, func(a, b Host) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.Cores, a.Cores))
		})
	})
	return o
}

// sortedHosts returns the registered hosts sorted by id. The list is shared and must not be modified.
func (v *clusterView) sortedHosts() []Host { return v.order().byID }

// hostsByCapacity returns the registered hosts in order of decreasing link bandwidth and processor capacity. The leader
// communicates with all hosts, so the largest hosts are preferred. The list is shared and must not be modified.
func (v *clusterView) hostsByCapacity() []Host { return v.order().byCapacity }

// largestHostsExcept returns up to n hosts of highest capacity without the given one.
func (v *clusterView) largestHostsExcept(excluded model.HostID, n int) []Host {
	list := make([]Host, 0, n)
	for _, h := range v.hostsByCapacity() {
		if len(list) == n {
			break
		}
		if h.ID != excluded {
			list = append(list, h)
		}
	}
	return list
}

// lastLeader returns the host named in the leader's key, or an empty id.
func (v *clusterView) lastLeader() model.HostID {
	if v.leader == nil {
		return ""
	}
	return v.leader.value.Host
}
