package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// avoidLost is the time for which nothing is passed on to a host that did not answer.
	avoidLost = time.Second
	// avoidSlow is the time for which nothing is passed on to a host that gave no answer in time, which may be the fault of
	// a target.
	avoidSlow = 300 * time.Millisecond
	// avoidUnable is the time for which nothing is passed on to a host that cannot serve at the moment, as one that has just
	// started.
	avoidUnable = 300 * time.Millisecond
	// avoidDraining is the time for which nothing is passed on to a host that is about to stop, which takes some seconds.
	avoidDraining = 5 * time.Second
)

// remoteLoad is what another data centre weighs in the choice of a home, in statements that it runs for this host.
const remoteLoad = 1

// homes keeps what this host needs to choose among the homes of a workspace.
type homes struct {
	mu          sync.Mutex
	outstanding map[model.HostID]int
	avoid       map[model.HostID]time.Time
}

// Home implements frontend.Forwarder. This host comes first if it is a home; otherwise the home with the fewest statements
// of this host does.
func (a *Agent) SelectHost(service model.Service, workspace model.Workspace, unable frontend.ExcludedHosts) (model.HostID, bool) {
	v := a.view.Load()
	plan := v.plans[service]
	first, spares := plan.Homes(workspace)
	for _, list := range [][]model.HostID{first, spares, plan.Hosts} {
		if host := a.leastBusy(v, list, unable); host != "" {
			return host, host == a.Self.ID
		}
	}
	return "", true
}

func (a *Agent) leastBusy(v *view, list []model.HostID, unable frontend.ExcludedHosts) model.HostID {
	a.homes.mu.Lock()
	defer a.homes.mu.Unlock()
	now := boottime.Now()
	var best model.HostID
	least := 0
	for _, id := range list {
		if id == a.Self.ID {
			if unable.Local {
				continue
			}
			return id
		}
		if slices.Contains(unable.Remote, id) {
			continue
		}
		if _, registered := v.hosts[id]; !registered || now.Before(a.homes.avoid[id]) || a.reach.isLost(id) {
			continue
		}
		load := a.homes.outstanding[id]
		if v.hosts[id].DataCentre != a.Self.DataCentre {
			load += remoteLoad
		}
		if best == "" || load < least {
			best, least = id, load
		}
	}
	return best
}

// Forward implements frontend.Forwarder.
func (a *Agent) Forward(host model.HostID, f frontend.ForwardRequest, timeout time.Duration) (frontend.ForwardReply, bool, error) {
	h, registered := a.view.Load().hosts[host]
	if !registered {
		return frontend.ForwardReply{}, false, errUnknownHost
	}
	f.Origin, f.Incarnation = a.Self.ID, a.Self.Incarnation
	a.homes.count(host, 1)
	defer a.homes.count(host, -1)
	// The answer of a call that has timed out may still arrive, so each call has its own.
	answer := new(frontend.ForwardReply)
	_, err := a.runs.startUnlessLost(h, "Peer.Run", f, answer, timeout, func() <-chan struct{} {
		lost := a.inquire(h)
		if f.SafeToRetry() {
			return lost
		}
		return nil // the answer may still come, and nothing else tells what has become of the statement
	})
	if err == nil {
		return *answer, true, nil
	}
	return frontend.ForwardReply{}, a.noteForwardFailure(h, err), err
}

// noteForwardFailure avoids a host that has not run a statement or gave no answer, and reports whether it may have run it.
func (a *Agent) noteForwardFailure(h Host, err error) (mayHaveRun bool) {
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
		a.homes.avoidFor(h.ID, avoidUnable)
		return false
	case errors.As(err, &notSent):
		if errors.As(err, &network) && network.Timeout() {
			a.presumeLost(h)
		}
		a.homes.avoidFor(h.ID, avoidLost)
		return false
	case errors.Is(err, errTimeout):
		a.homes.avoidFor(h.ID, avoidSlow)
	default:
		a.homes.avoidFor(h.ID, avoidLost)
	}
	return true
}

func (h *homes) count(host model.HostID, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outstanding[host] += n
}

func (h *homes) avoidFor(host model.HostID, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[host] = boottime.Now().Add(d)
}

// Run runs a statement for another host. An error means that it has not run.
func (p *Peer) Run(f frontend.ForwardRequest, answer *frontend.ForwardReply) error {
	var err error
	*answer, err = p.agent.Server.RunForwarded(f)
	return err
}
