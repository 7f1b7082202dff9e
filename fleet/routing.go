package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
)

// routingKey holds the RoutingDocument.
const routingKey = controlPrefix + "routing"

const (
	// routingCheckInterval is the interval at which the leader checks how statements should be assigned to hosts, until it has
	// decided for an assignment by target.
	routingCheckInterval = 2 * time.Second
	// crossingProbesPerDataCentre is the number of hosts of each other data centre whose round trip is measured. A single one
	// may be busy.
	crossingProbesPerDataCentre = 3
	// crossingProbeRounds is the number of measurements per host. The shortest one has the least waiting in it.
	crossingProbeRounds = 3
	// targetRetainedFraction is the fraction of the connections to a target that its gateway host and the standby keep open while
	// they are idle. The fraction of all connections that a target counts for a host without power stays below a half.
	targetRetainedFraction = 0.8
)

// RoutingDocument records how statements are assigned to hosts. The leader writes it once. It stays in force, because each change
// moves all connections; an operator removes the key to have it decided again.
type RoutingDocument struct {
	ByTarget bool // hosts are assigned to targets, see placement.TargetPlan, instead of workspaces
	Cause    string
	Crossing time.Duration // round trip between data centres when the decision was made
}

// rebaseRouting prepares for the routing document of a complete list, or its absence, at a revision. One that the store has lost with
// its last era stays in force, and the leader stores it again: each change moves all connections.
func (c *control) rebaseRouting(revision uint64) {
	c.view.routingStored = false
	if metastore.EraOf(revision) <= c.controlEra {
		c.view.routing = RoutingDocument{}
	}
}

// applyRouting applies an event of routingKey.
func (v *clusterView) applyRouting(e metastore.Event) error {
	v.routingStored = !e.Removed
	if v.routing = (RoutingDocument{}); e.Removed {
		return nil
	}
	return json.Unmarshal(e.Value, &v.routing)
}

// targetPlanInput returns the registered targets of configured services as inputs of a plan, sorted by id.
func (v *clusterView) targetPlanInput() []placement.PlacedTarget {
	list := make([]placement.PlacedTarget, 0, len(v.targets))
	for _, t := range v.targets {
		if service, configured := v.catalog.Services[t.Service]; configured {
			list = append(list, placement.PlacedTarget{ID: t.ID, DataCentre: t.DataCentre,
				Connections: max(1, service.MaxConnections-reservedConnections)})
		}
	}
	slices.SortFunc(list, func(a, b placement.PlacedTarget) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// decideRouting has statements assigned to hosts by target if the settings or the round trips between data centres call for it.
func (term *leadership) decideRouting(ctx context.Context) {
	for ctx.Err() == nil {
		v := term.agent.view.Load()
		if v.routing.ByTarget && v.routingStored {
			return
		}
		doc, target := v.routing, tightestLatencyTarget(v.catalog)
		if !doc.ByTarget {
			in := placement.RoutingInput{LoadControl: term.agent.LoadControl, LatencyTarget: target, Crossing: term.agent.measureCrossing(v)}
			doc.ByTarget, doc.Cause = placement.DecideRouting(in)
			doc.Crossing = in.Crossing
		}
		if doc.ByTarget {
			term.writeRouting(ctx, doc, target)
		}
		sleep(ctx, routingCheckInterval)
	}
}

// writeRouting stores the document unless there is one already.
func (term *leadership) writeRouting(ctx context.Context, doc RoutingDocument, latencyTarget time.Duration) {
	if !term.leaseValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := mustEncode(doc)
	revision, err := term.agent.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: routingKey}, {Key: leaderKey, Revision: term.fence}},
		Puts:       []metastore.Item{{Key: routingKey, Value: value}}})
	term.agent.Log.Info("routing: statements are assigned by target", zap.String("cause", doc.Cause),
		zap.Duration("crossing", doc.Crossing), zap.Duration("latency_target", latencyTarget), zap.Error(err))
	if err != nil {
		return // the next check finds the document, or writes it again
	}
	event := metastore.Event{Item: metastore.Item{Key: routingKey, Value: value, Revision: revision}}
	term.agent.post(ctx, func(c *control) { c.applyControlKeys(prefixChange{events: []metastore.Event{event}}) })
}

// tightestLatencyTarget returns the shortest latency target of the routes, or 0 if none has one.
func tightestLatencyTarget(c *catalog.Catalog) time.Duration {
	tightest := time.Duration(0)
	for _, route := range c.Routes {
		if route.LatencyTarget > 0 && (tightest == 0 || route.LatencyTarget < tightest) {
			tightest = route.LatencyTarget
		}
	}
	return tightest
}

// measureCrossing returns the median over the other data centres of the shortest round trip to one of their hosts, or 0 if none
// answered.
func (a *Agent) measureCrossing(v *clusterView) time.Duration {
	hosts := map[model.DataCentre][]Host{}
	for _, h := range v.hostsByCapacity() {
		if h.DataCentre != a.Self.DataCentre && len(hosts[h.DataCentre]) < crossingProbesPerDataCentre {
			hosts[h.DataCentre] = append(hosts[h.DataCentre], h)
		}
	}
	var shortest []time.Duration
	for _, group := range hosts {
		best := time.Duration(0)
		for _, h := range group {
			for range crossingProbeRounds {
				sent := boottime.Now()
				err := a.controlClients.call(h, "Peer.Ping", struct{}{}, &struct{}{}, pingTimeout)
				if took := boottime.Now().Sub(sent); err == nil && (best == 0 || took < best) {
					best = took
				}
			}
		}
		if best > 0 {
			shortest = append(shortest, best)
		}
	}
	if len(shortest) == 0 {
		return 0
	}
	slices.Sort(shortest)
	return shortest[len(shortest)/2]
}
