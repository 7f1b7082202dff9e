package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// avoidUnreachable is the time for which no statements are forwarded to a host that did not answer.
	avoidUnreachable = time.Second
	// avoidAfterTimeout is the time for which no statements are forwarded to a host after a timeout, which may be
	// caused by a target.
	avoidAfterTimeout = 300 * time.Millisecond
	// avoidAfterRefusal is the time for which no statements are forwarded to a host that cannot serve at the moment,
	// for example because it has just started.
	avoidAfterRefusal = 300 * time.Millisecond
	// avoidDraining is the time for which no statements are forwarded to a host that is shutting down, which takes
	// some seconds.
	avoidDraining = 5 * time.Second
)

// runMethod and runOnMethod are the RPC methods that run a statement for another host, on a target that this one or the other one
// selects.
const (
	runMethod   = "Peer.Run"
	runOnMethod = "Peer.RunOn"
)

// remoteLoadPenalty is added to the load of hosts in other data centres when a home is chosen, in outstanding
// statements.
const remoteLoadPenalty = 1

// suspectedLoadPenalty is added to the load of hosts that have not answered for a while. They are used only if all others
// are suspected as well.
const suspectedLoadPenalty = 1000

// homeSelector tracks the state used to choose among the homes of a workspace.
type homeSelector struct {
	mu          sync.Mutex
	outstanding map[model.HostID]int       // statements that this host has forwarded and that have not ended
	avoidUntil  map[model.HostID]time.Time // no statements are forwarded to the host before this time
}

// SelectsTargets implements frontend.Forwarder.
func (a *Agent) SelectsTargets() bool { return a.view.Load().routing.ByTarget }

// SelectHost implements frontend.Forwarder. If statements are assigned by workspace, it prefers this host if it is a home, and
// otherwise the home to which this host has forwarded the fewest statements that are still outstanding. If no home is available,
// standbys, other hosts of the service and its reserves are used, in this order.
func (a *Agent) SelectHost(r frontend.SelectRequest, excluded frontend.ExcludedHosts) frontend.Selection {
	v := a.view.Load()
	if v.routing.ByTarget {
		return a.selectTarget(v, r, excluded)
	}
	plan := v.plans[r.Service]
	homes, standbys := plan.Homes(r.Workspace)
	for _, hosts := range [][]model.HostID{homes, standbys, plan.Hosts, plan.Reserves} {
		if host := a.leastLoaded(v, hosts, excluded); host != "" {
			return frontend.Selection{Host: host, Local: host == a.Self.ID}
		}
	}
	return frontend.Selection{Local: true}
}

// selectTarget selects the target that should run a statement, and the host that uses it: its gateway host, or if that is not
// available the standby or a reserve. The selection is empty if no host is available.
func (a *Agent) selectTarget(v *clusterView, r frontend.SelectRequest, excluded frontend.ExcludedHosts) frontend.Selection {
	targets := []model.TargetID{r.Primary}
	if !r.NeedsPrimary {
		targets = a.rankTargets(v, r)
	}
	for _, acceptSuspected := range []bool{false, true} {
		for _, target := range targets {
			for _, h := range v.targetPlan.Hosts(target) {
				if a.canRunOn(v, h.Host, target, r, excluded, acceptSuspected) {
					return frontend.Selection{Host: h.Host, Local: h.Host == a.Self.ID, Target: target}
				}
			}
		}
	}
	return frontend.Selection{}
}

// canRunOn reports whether a host that may connect to the target is available for a statement. A host that has not answered for a
// while is available only if acceptSuspected is set.
func (a *Agent) canRunOn(v *clusterView, host model.HostID, target model.TargetID, r frontend.SelectRequest,
	excluded frontend.ExcludedHosts, acceptSuspected bool) bool {
	if excluded.Contains(host, target) || !excluded.Region.Allows(v.hosts[host].DataCentre) {
		return false
	}
	if host == a.Self.ID {
		return !(excluded.Local && target == r.Primary)
	}
	if _, registered := v.hosts[host]; !registered || a.reachability.isUnreachable(host) {
		return false
	}
	return !a.homes.isAvoided(host) && (acceptSuspected || !a.reachability.isSuspected(host))
}

// leastLoaded returns this host if it is one of the hosts, and otherwise the available host with the fewest outstanding
// statements, or an empty id if none is available. Remote data centres count as additional load.
func (a *Agent) leastLoaded(v *clusterView, hosts []model.HostID, excluded frontend.ExcludedHosts) model.HostID {
	a.homes.mu.Lock()
	defer a.homes.mu.Unlock()
	now := boottime.Now()
	var best model.HostID
	lowestLoad := 0
	for _, id := range hosts {
		if id == a.Self.ID {
			if excluded.Local {
				continue
			}
			return id
		}
		if excluded.Contains(id, "") || !excluded.Region.Allows(v.hosts[id].DataCentre) {
			continue
		}
		if _, registered := v.hosts[id]; !registered || now.Before(a.homes.avoidUntil[id]) ||
			a.reachability.isUnreachable(id) {
			continue
		}
		load := a.homes.outstanding[id]
		if a.reachability.isSuspected(id) {
			load += suspectedLoadPenalty
		}
		if v.hosts[id].DataCentre != a.Self.DataCentre {
			load += remoteLoadPenalty
		}
		if best == "" || load < lowestLoad {
			best, lowestLoad = id, load
		}
	}
	return best
}

// Forward implements frontend.Forwarder.
func (a *Agent) Forward(host model.HostID, f frontend.ForwardRequest,
	timeout time.Duration) (frontend.ForwardReply, bool, error) {
	h, registered := a.view.Load().hosts[host]
	if !registered {
		return frontend.ForwardReply{}, false, errUnknownHost
	}
	f.Origin, f.Incarnation = a.Self.ID, a.Self.Incarnation
	a.homes.addOutstanding(host, 1)
	defer a.homes.addOutstanding(host, -1)
	probe := func() <-chan struct{} {
		lost := a.probeHost(h)
		if f.SafeToRetry() {
			return lost
		}
		return nil // the reply may still arrive, and is the only evidence of whether the statement ran
	}
	// A reply may still arrive after a timeout, so each call needs its own.
	reply, err := new(RunOnReply), error(nil)
	if f.Target == "" {
		_, err = a.statementClients.callUnlessUnreachable(h, runMethod, f, &reply.Reply, timeout, probe)
	} else {
		request := RunOnRequest{f, f.Target}
		_, err = a.statementClients.callUnlessUnreachable(h, runOnMethod, request, reply, timeout, probe)
	}
	if err == nil {
		reply.Reply.Elsewhere, reply.Reply.Load = reply.Elsewhere, reply.Load.load()
		return reply.Reply, true, nil
	}
	return frontend.ForwardReply{}, a.recordForwardFailure(h, err), err
}

// recordForwardFailure avoids a host that refused a statement or did not answer, and reports whether the statement
// may have run.
func (a *Agent) recordForwardFailure(h Host, err error) (mayHaveRun bool) {
	var refused rpc.ServerError
	var notSent *dialError
	var network net.Error
	switch {
	case errors.As(err, &refused) && err.Error() == frontend.ErrDraining.Error():
		a.homes.avoidFor(h.ID, avoidDraining)
		return false
	case errors.As(err, &refused) && err.Error() == frontend.ErrPrimaryUnreachable.Error():
		return false
	case errors.As(err, &refused):
		a.homes.avoidFor(h.ID, avoidAfterRefusal)
		return false
	case errors.As(err, &notSent):
		if errors.As(err, &network) && network.Timeout() {
			a.presumeUnreachable(h)
		}
		a.homes.avoidFor(h.ID, avoidUnreachable)
		return false
	case errors.Is(err, errTimeout):
		a.homes.avoidFor(h.ID, avoidAfterTimeout)
	default:
		a.homes.avoidFor(h.ID, avoidUnreachable)
	}
	return true
}

func (h *homeSelector) addOutstanding(host model.HostID, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding[host] += n
}

// isAvoided reports whether no statements are forwarded to the host at the moment.
func (h *homeSelector) isAvoided(host model.HostID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return boottime.Now().Before(h.avoidUntil[host])
}

func (h *homeSelector) avoidFor(host model.HostID, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidUntil[host] = boottime.Now().Add(d)
}

// Run executes a statement for another host. An error means that it has not run.
func (p *Peer) Run(f frontend.ForwardRequest, reply *frontend.ForwardReply) error {
	var err error
	*reply, err = p.agent.Server.RunForwarded(f)
	if err == nil {
		p.agent.holdReply(reply)
	}
	return err
}
