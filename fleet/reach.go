package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// suspectAfter is the time without an answer to a statement after which the host that runs it is asked whether it is
	// there. Nine of ten statements take less.
	suspectAfter = 120 * time.Millisecond
	// pingTimeout bounds the answer to that question. A host whose share of a processor is a quota may stand still for a
	// tenth of a second.
	pingTimeout = 180 * time.Millisecond
	// pingInterval is the time between two attempts to reach a lost host.
	pingInterval = 300 * time.Millisecond
	// searchTime is the time for which a lost host is searched; after it the next statement finds out.
	reconnectTimeout = 15 * time.Second
)

// reach knows which hosts do not answer, so that statements which can run elsewhere do not wait for them. A host is asked only
// while a statement waits for it for long, and while it is lost.
type reachability struct {
	timeout time.Duration // for the answer to a question

	mu    sync.Mutex
	hosts map[model.HostID]*hostProbe
}

// contact is a host that is asked whether it is there.
type hostProbe struct {
	failed      chan struct{} // closed when it does not answer
	unreachable bool
}

// isLost reports whether the host does not answer at the moment.
func (r *reachability) isUnreachable(host model.HostID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.hosts[host]
	return c != nil && c.unreachable
}

// begin returns the contact with a host and whether it is new, so that the caller has to ask the host.
func (r *reachability) startProbe(host model.HostID) (c *hostProbe, begun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.hosts[host]; c == nil {
		c, begun = &hostProbe{failed: make(chan struct{})}, true
		r.hosts[host] = c
	}
	return c, begun
}

// lose records that the host does not answer.
func (r *reachability) markUnreachable(c *hostProbe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.unreachable {
		c.unreachable = true
		close(c.failed)
	}
}

// end forgets the contact: the host answers, or nobody asks it any more.
func (r *reachability) endProbe(host model.HostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hosts, host)
}

// inquire asks a host whether it is there, unless it is being asked. The channel is closed when it does not answer.
func (a *Agent) probeHost(h Host) <-chan struct{} {
	c, begun := a.reachability.startProbe(h.ID)
	if begun {
		go a.pingHost(h, c)
	}
	return c.failed
}

// presumeLost does the same for a host that could not be connected to.
func (a *Agent) presumeUnreachable(h Host) {
	c, begun := a.reachability.startProbe(h.ID)
	a.reachability.markUnreachable(c)
	if begun {
		go a.reconnect(h)
	}
}

// contact asks a host whether it is there, and searches it if it is not.
func (a *Agent) pingHost(h Host, c *hostProbe) {
	if _, err := a.statementClients.callKeepConn(h, "Peer.Ping", struct{}{}, &struct{}{}, a.reachability.timeout); err == nil {
		a.reachability.endProbe(h.ID)
		return
	}
	a.reachability.markUnreachable(c)
	a.reconnect(h)
}

// search asks a lost host on new connections until it answers. Statements that wait on the old connection for an answer end
// then, because connections can go silent for good while new ones work.
func (a *Agent) reconnect(h Host) {
	defer a.reachability.endProbe(h.ID)
	since := boottime.Now()
	a.Log.Info("peer: lost", zap.String("peer", string(h.ID)))
	for boottime.Now().Sub(since) < reconnectTimeout {
		if current, registered := a.view.Load().hosts[h.ID]; !registered || current.Incarnation != h.Incarnation {
			a.Log.Info("peer: registered no more", zap.String("peer", string(h.ID)))
			return
		}
		if err := a.statementClients.reconnect(h, a.reachability.timeout); err == nil {
			a.Log.Info("peer: reached again", zap.String("peer", string(h.ID)), zap.Duration("after", boottime.Now().Sub(since)))
			return
		}
		time.Sleep(pingInterval)
	}
	a.Log.Info("peer: not searched any more", zap.String("peer", string(h.ID)))
}

// Ping answers a host that wants to know whether this one is there.
func (p *Peer) Ping(struct{}, *struct{}) error { return nil }
