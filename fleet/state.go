package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Control keys in the store.
const (
	controlPrefix = "waxwingspindle/"
	hostPrefix    = controlPrefix + "hosts/"
	primaryPrefix = controlPrefix + "primary/"
	leaderKey     = controlPrefix + "leader"
)

const (
	// removalGrace is the time for which a target is still used after its entry has disappeared. Entries that lapsed
	// during an outage of the store are back within two seconds of its return.
	removalGrace = 2500 * time.Millisecond
	// restartGrace is the time for which a departed host is still counted when connections and rates are divided. A
	// restart takes a few seconds.
	restartGrace = 10 * time.Second
	// reservedConnections is the number of connections to each target that are reserved: one for the leader's probes,
	// and one for a connection that is still closing when its replacement is opened.
	reservedConnections = 2
)

// Host is the registration of a host.
type Host struct {
	ID          model.HostID
	Incarnation model.Incarnation
	Address     string // of the peer service
	DataCentre  model.DataCentre
	LinkMbps    float64 // bandwidth of the host's link in Mbit/s
	Cores       float64 // processor time available to the host, in cores
	// Fenced maps each service to the epoch up to which the host no longer uses older documents. Hosts normally
	// confirm to the leader directly and use this field only if the leader cannot reach them.
	Fenced map[model.Service]uint64 `json:",omitempty"`
}

// Leader is the value of the leader's key. The revision of the key is the leader's fencing token.
type Leader struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// versioned is a value with the store revision of its key.
type versioned[T any] struct {
	value    T
	revision uint64
}

// clusterView is the state of the cluster as known from the store. The control goroutine owns one instance and
// publishes immutable copies.
type clusterView struct {
	catalog *catalog.Catalog
	targets map[model.TargetID]catalog.Target
	// drainingSince holds the times at which targets began to drain as seen by this host, independent of the current leader. It is the
	// zero time for a target that drained when this host first saw it, as after a start: it may have to be left at once.
	drainingSince map[model.TargetID]time.Time
	hosts         map[model.HostID]Host
	expected      []placement.Candidate // registered hosts and recently departed ones, sorted
	leader        *versioned[Leader]
	documents     map[model.Service]versioned[primacy.Document]
	plans         map[model.Service]placement.Plan // empty if statements are assigned by target
	routing       RoutingDocument
	routingStored bool // the store has routing
	era           versioned[EraDocument]
	settling      bool // settlingKey exists
	kept          keptState
	targetPlan    placement.TargetPlan // empty unless statements are assigned by target
	byService     *targetIndex         // of a published view, as ordered
	ordered       *hostOrder           // of a published view; nil in that of the control goroutine
	evacuations   evacuation.State     // evacuated data centres; immutable
}

func (v *clusterView) clone() *clusterView {
	return v.cloneChanged(v, pendingChanges{hosts: true, targets: true, documents: true})
}

// applyControlKey applies an event of a control key. A document is never replaced by an older one.
func (v *clusterView) applyControlKey(e metastore.Event) error {
	if id, ok := strings.CutPrefix(e.Key, hostPrefix); ok {
		delete(v.hosts, model.HostID(id))
		if e.Removed {
			return nil
		}
		var h Host
		err := json.Unmarshal(e.Value, &h)
		h.ID = model.HostID(id) // a registration that cannot be read still has to be fenced or to end
		v.hosts[h.ID] = h
		return err
	}
	if e.Key == routingKey {
		return v.applyRouting(e)
	}
	if e.Key == eraKey {
		return v.applyEra(e)
	}
	if e.Key == settlingKey {
		v.settling = !e.Removed
		return nil
	}
	if e.Key == leaderKey {
		if v.leader = nil; e.Removed {
			return nil
		}
		var leader Leader
		err := json.Unmarshal(e.Value, &leader)
		v.leader = &versioned[Leader]{leader, e.Revision}
		return err
	}
	if service, ok := strings.CutPrefix(e.Key, primaryPrefix); ok && !e.Removed {
		var doc primacy.Document
		if err := json.Unmarshal(e.Value, &doc); err != nil {
			return err
		}
		known := v.documents[model.Service(service)]
		// A document sent by the leader carries no revision, which the next conditional write of the document needs.
		if doc.Epoch > known.value.Epoch || doc.Epoch == known.value.Epoch && e.Revision > known.revision {
			v.documents[model.Service(service)] = versioned[primacy.Document]{doc, e.Revision}
		} else if metastore.EraOf(e.Revision) > metastore.EraOf(known.revision) {
			// The store has lost the known document. The next write is conditional on the one that it has.
			v.documents[model.Service(service)] = versioned[primacy.Document]{known.value, e.Revision}
		}
	}
	return nil
}

// sharingHosts returns the number of hosts that divide the rate limits, or 0 if it is not known: a host that has just started
// may know no other, until its own registration is among those that it knows.
func (v *clusterView) sharingHosts(self Host) int {
	own, registered := v.hosts[self.ID]
	if registered && own.Incarnation == self.Incarnation || len(v.hosts) > 1 {
		return len(v.expected)
	}
	return 0
}

// setTarget applies the entry of a target.
func (v *clusterView) setTarget(t catalog.Target, now time.Time) {
	_, known := v.targets[t.ID]
	_, recorded := v.drainingSince[t.ID]
	v.targets[t.ID] = t
	switch {
	case t.State != catalog.Draining:
		delete(v.drainingSince, t.ID)
	case recorded:
	case known:
		v.drainingSince[t.ID] = now
	default:
		v.drainingSince[t.ID] = time.Time{}
	}
}

// computePlans assigns the workspaces of all services to the expected hosts. Workspaces are weighted by their rate
// limits, which count the operations on all services together.
func (v *clusterView) computePlans() map[model.Service]placement.Plan {
	weights := make(map[model.Workspace]float64, len(v.catalog.Limits))
	rate := 0.0
	// In this order on all hosts, because the rounding of the sum depends on it.
	for _, workspace := range slices.Sorted(maps.Keys(v.catalog.Limits)) {
		limit := v.catalog.Limits[workspace]
		weights[workspace] = limit.PerSecond
		rate += limit.PerSecond
	}
	plans := make(map[model.Service]placement.Plan, len(v.catalog.Services))
	for name, service := range v.catalog.Services {
		plans[name] = v.plans[name].Next(placement.PlanInput{Service: name,
			Connections: max(1, service.MaxConnections-reservedConnections),
			Rate:        rate / float64(len(v.catalog.Services)), Weights: weights, Hosts: v.expected})
	}
	return plans
}

// connectingHosts returns the hosts that may connect to targets of a service, in the same order on every host.
func (v *clusterView) connectingHosts(service model.Service) []model.HostID {
	if !v.routing.ByTarget {
		plan := v.plans[service]
		return slices.Concat(plan.Hosts, plan.Reserves)
	}
	var hosts []model.HostID
	for _, t := range v.targetsOf(service) {
		for _, h := range v.targetPlan.Hosts(t.ID) {
			hosts = append(hosts, h.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// connectionWeight returns the number of connections to targets of a service that a host may hold, as its weight among the hosts.
func (v *clusterView) connectionWeight(service model.Service, host model.HostID) float64 {
	if !v.routing.ByTarget {
		plan := v.plans[service]
		return float64(plan.ConnectionLimit(host))
	}
	sum := 0
	for _, t := range v.targetsOf(service) {
		sum += v.targetPlan.ConnectionLimit(t.ID, host)
	}
	return float64(sum)
}

// connectionLimits returns the connections that a host may hold to a target of a service.
func (v *clusterView) connectionLimits(service model.Service, host model.HostID) func(model.TargetID) frontend.ConnectionLimits {
	if !v.routing.ByTarget {
		plan := v.plans[service]
		limits := frontend.ConnectionLimits{Max: plan.ConnectionLimit(host)}
		return func(model.TargetID) frontend.ConnectionLimits { return limits }
	}
	plan := v.targetPlan // the function must not keep the view in memory
	return func(target model.TargetID) frontend.ConnectionLimits {
		limit := plan.ConnectionLimit(target, host)
		return frontend.ConnectionLimits{Max: limit, Retained: int(targetRetainedFraction * float64(limit)), Adaptive: true}
	}
}

// candidate returns the host as a candidate for placement.
func (h Host) candidate() placement.Candidate {
	return placement.Candidate{ID: h.ID, DataCentre: h.DataCentre, Capacity: h.Cores}
}
