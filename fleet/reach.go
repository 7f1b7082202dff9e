package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// suspectAfter is the time without a reply to a statement after which the host that runs it is pinged. Nine of
	// ten statements take less.
	suspectAfter = 120 * time.Millisecond
	// pingTimeout bounds the reply to a ping. A host with a CPU quota may be throttled for a tenth of a second.
	pingTimeout = 180 * time.Millisecond
	// pingInterval is the interval between attempts to reach an unreachable host.
	pingInterval = 300 * time.Millisecond
	// reconnectTimeout is the time after which attempts to reach an unreachable host end; the next statement starts
	// them again.
	reconnectTimeout = 15 * time.Second
)

// reachability tracks which hosts do not answer, so that statements which can run elsewhere do not wait for them. A
// host is pinged only while a statement has waited for it for suspectAfter, and while it is unreachable.
type reachability struct {
	timeout time.Duration // of a ping

	mu    sync.Mutex
	hosts map[model.HostID]*hostProbe
}

// hostProbe is the state of probing one host.
type hostProbe struct {
	failed      chan struct{} // closed when the host becomes unreachable
	unreachable bool
}

// isUnreachable reports whether the host is currently considered unreachable.
func (r *reachability) isUnreachable(host model.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	probe := r.hosts[host]
	return probe != nil && probe.unreachable
}

// isSuspected reports whether the host is being probed, because a statement has waited for it for suspectAfter.
func (r *reachability) isSuspected(host model.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[host] != nil
}

// startProbe returns the probe of a host, and whether it is new and has to be run by the caller.
func (r *reachability) startProbe(host model.HostID) (probe *hostProbe, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if probe = r.hosts[host]; probe == nil {
		probe, started = &hostProbe{failed: make(chan struct{})}, true
		r.hosts[host] = probe
	}
	return probe, started
}

// markUnreachable records that the host does not answer.
func (r *reachability) markUnreachable(probe *hostProbe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !probe.unreachable {
		probe.unreachable = true
		close(probe.failed)
	}
}

// endProbe removes the probe: the host answers, or the attempts to reach it have ended.
func (r *reachability) endProbe(host model.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, host)
}

// probeHost pings a host unless a probe is running. The returned channel is closed if the host does not answer.
func (a *Agent) probeHost(h Host) <-chan struct{} {
	probe, started := a.reachability.startProbe(h.ID)
	if started {
		go a.pingHost(h, probe)
	}
	return probe.failed
}

// presumeUnreachable marks a host unreachable without a ping, after a connection attempt has timed out.
func (a *Agent) presumeUnreachable(h Host) {
	probe, started := a.reachability.startProbe(h.ID)
	a.reachability.markUnreachable(probe)
	if started {
		go a.reconnect(h)
	}
}

// pingHost pings a host and starts reconnecting if it does not answer.
func (a *Agent) pingHost(h Host, probe *hostProbe) {
	if _, err := a.statementClients.callKeepConn(h, "Peer.Ping", struct{}{}, &struct{}{},
		a.reachability.timeout); err == nil {
		a.reachability.endProbe(h.ID)
		return
	}
	a.reachability.markUnreachable(probe)
	a.reconnect(h)
}

// reconnect tries new connections to an unreachable host until it answers. Statements that wait on the old connection
// then fail, because a connection can stay silent for good while new ones work.
func (a *Agent) reconnect(h Host) {
	defer a.reachability.endProbe(h.ID)
	lostAt := boottime.Now()
	a.Log.Info("peer: unreachable", zap.String("peer", string(h.ID)))
	for boottime.Now().Sub(lostAt) < reconnectTimeout {
		if current, registered := a.view.Load().hosts[h.ID]; !registered || current.Incarnation != h.Incarnation {
			a.Log.Info("peer: no longer registered", zap.String("peer", string(h.ID)))
			return
		}
		if err := a.statementClients.reconnect(h, a.reachability.timeout); err == nil {
			a.Log.Info("peer: reachable again", zap.String("peer", string(h.ID)),
				zap.Duration("after", boottime.Now().Sub(lostAt)))
			return
		}
		time.Sleep(pingInterval)
	}
	a.Log.Info("peer: no more attempts to reconnect", zap.String("peer", string(h.ID)))
}

// Ping replies at once, to show that this host is reachable.
func (p *Peer) Ping(struct{}, *struct{}) error { return nil }
