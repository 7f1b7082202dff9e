package fleet

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// seedInterval is the time between two questions to a seed; a fleet has a leader half a second after its start.
const seedInterval = 100 * time.Millisecond

// seedPatience is the time for which a host that starts leaves the configuration and the targets to the store.
const seedPatience = 400 * time.Millisecond

// awaitInterval is the time between two looks whether the store has been heard, about the time of a call.
const awaitInterval = 5 * time.Millisecond

// Registration is a live registration of a host, with the product's keys as they were listed after it.
type Registration struct {
	Lease        metastore.Lease
	TTL          time.Duration
	Revision     uint64 // of the host's key
	ControlState PrefixState
}

// register keeps this host registered until the context ends. Primaries may be used only after the decisions about them
// were read while the registration was in the store, because the leader asks only registered hosts to stop using one.
func (a *Agent) register(ctx context.Context) {
	dep := dependency{log: a.Log, name: "store registration"}
	attempts := backoff{agent: a}
	for ctx.Err() == nil {
		a.awaitStore(ctx)
		sent := boottime.Now()
		r, err := a.enter(ctx, a.self())
		if err != nil {
			sent = boottime.Now()
			if relayed, done := a.enterThroughPeer(); done {
				r, err = relayed, nil
			}
		}
		if dep.observe(err); err != nil {
			attempts.wait(ctx)
			continue
		}
		attempts.reset()
		a.confirmMu.Lock()
		a.lease, a.registered = r.Lease, r.Revision
		a.confirmMu.Unlock()
		a.follower(prefix, (*control).applyOwn).replace(ctx, r.ControlState, true)
		if err := a.do(ctx, func(*control) {}); err != nil { // what was posted before is in force then
			return
		}
		a.Log.Info("registration: in force", zap.Int64("lease", int64(r.Lease)), zap.Duration("ttl", r.TTL),
			zap.Uint64("revision", r.Revision))
		for _, doc := range a.view.Load().docs {
			go a.confirm(doc.value)
		}
		a.keep(ctx, r, sent)
		a.Server.AllowPrimariesUntil(time.Time{})
	}
}

// refreshOwn reads the product's own keys and returns when they are in force.
func (a *Agent) refreshOwn(ctx context.Context) error {
	state, err := a.listOwn(ctx)
	if err != nil {
		return err
	}
	a.follower(prefix, (*control).applyOwn).replace(ctx, state, true)
	return a.do(ctx, func(*control) {}) // what was posted before is in force then
}

func (a *Agent) listOwn(ctx context.Context) (PrefixState, error) {
	items, revision, err := timed(ctx, prefix, a.Store.List)
	return PrefixState{Revision: revision, Items: items}, err
}

// enter registers a host, which is this one or one that does not reach the store, and lists the decisions. The key must be as
// it is known: a call that got no answer may take effect seconds later, and must not put its older lease in the place of the
// registration in force.
func (a *Agent) enter(ctx context.Context, h Host) (r Registration, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if r.Lease, r.TTL, err = a.Store.Grant(ctx, hostLease); err != nil {
		return r, err
	}
	known := a.registeredRevision(h.ID)
	if r.Revision, err = a.Store.Commit(ctx, h.put(r.Lease, known)); errors.Is(err, metastore.ErrConflict) {
		if known, err = a.storedRevision(ctx, h.ID); err == nil {
			r.Revision, err = a.Store.Commit(ctx, h.put(r.Lease, known))
		}
	}
	if err == nil {
		r.ControlState, err = a.listOwn(ctx)
	}
	if err != nil {
		go a.revoke(r.Lease)
	}
	return r, err
}

// registeredRevision returns the revision of a host's registration as this host knows it, or 0.
func (a *Agent) registeredRevision(id model.HostID) uint64 {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	if f := a.followers[prefix]; f != nil {
		return f.items[hostPrefix+string(id)].Revision
	}
	return 0
}

// storedRevision returns the revision of a host's registration in the store, or 0 if there is none.
func (a *Agent) storedRevision(ctx context.Context, id model.HostID) (uint64, error) {
	key := hostPrefix + string(id)
	items, _, err := a.Store.List(ctx, key)
	for _, item := range items {
		if item.Key == key {
			return item.Revision, err
		}
	}
	return 0, err
}

// put returns the change that registers a host whose key has the given revision.
func (h Host) put(lease metastore.Lease, known uint64) metastore.Txn {
	key := hostPrefix + string(h.ID)
	return metastore.Txn{Conditions: []metastore.Condition{{Key: key, Revision: known}},
		Puts: []metastore.Item{{Key: key, Value: mustEncode(h), Lease: lease}}}
}

// self returns the registration of this host with what it confirms through the store.
func (a *Agent) self() Host {
	a.confirmMu.Lock()
	defer a.confirmMu.Unlock()
	self := a.Self
	self.Fenced = maps.Clone(a.fenced)
	return self
}

// keep renews the registration until its lease has ended.
func (a *Agent) keep(ctx context.Context, r Registration, sent time.Time) {
	dep := dependency{log: a.Log, name: "store lease"}
	until := sent.Add(r.TTL - leaseMargin)
	a.Server.AllowPrimariesUntil(until)
	a.ready.Store(true)
	for ctx.Err() == nil {
		sleep(ctx, hostRenewInterval)
		now := boottime.Now()
		err := a.renew(ctx, r.Lease)
		if err != nil && !errors.Is(err, metastore.ErrLeaseEnded) {
			if relayed := a.renewThroughLeader(r.Lease); relayed == nil {
				err = nil
			}
		}
		dep.observe(err)
		switch {
		case err == nil:
			until = now.Add(r.TTL - leaseMargin)
			a.Server.AllowPrimariesUntil(until)
		case errors.Is(err, metastore.ErrLeaseEnded):
			return
		}
	}
}

func (a *Agent) renew(ctx context.Context, lease metastore.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.Store.KeepAlive(ctx, lease)
}

// renewThroughLeader renews a lease through the leader, which may reach a store that turns this host away.
func (a *Agent) renewThroughLeader(lease metastore.Lease) error {
	leader, ok := a.view.Load().leaderHost()
	if !ok || leader.ID == a.Self.ID {
		return errNoLeader
	}
	return a.peers.call(leader, "Peer.Renew", RenewRequest{lease}, &struct{}{}, callTimeout)
}

// enterThroughPeer registers this host through another one that reaches the store. Hosts that have just started know only the
// seeds of their settings.
func (a *Agent) enterThroughPeer() (r Registration, done bool) {
	hosts := a.candidateHosts()
	if leader, ok := a.view.Load().leaderHost(); ok {
		hosts = append([]Host{leader}, hosts...)
	}
	for _, seed := range a.Seeds {
		hosts = append(hosts, Host{ID: model.HostID(seed), Address: seed})
	}
	self := a.self()
	for _, h := range hosts {
		if h.ID == self.ID {
			continue
		}
		err := a.peers.call(h, "Peer.Enter", self, &r, enterTimeout)
		a.Log.Info("registration: asked a peer", zap.String("peer", string(h.ID)), zap.Error(err))
		if err == nil {
			return r, true
		}
	}
	return r, false
}

// Enter registers a host that the store turns away. A host that has not heard the store lately does not ask it.
func (p *Peer) Enter(h Host, answer *Registration) (err error) {
	if since(&p.agent.storeHeard) > freshFor {
		return errStoreSilent
	}
	*answer, err = p.agent.enter(context.Background(), h)
	return err
}

// askSeeds asks the hosts of the settings what they have seen of the store until a leader relays it, so that the watches of a
// fleet that starts do not all end with each registration.
func (a *Agent) askSeeds(ctx context.Context) {
	for ctx.Err() == nil && a.leaderLost.Load() {
		known := a.revisions()
		if boottime.Now().UnixNano()-a.started < seedPatience.Nanoseconds() {
			known = map[string]uint64{prefix: known[prefix]} // the store brings the rest, which may be large
		}
		for _, seed := range a.Seeds {
			if a.syncWith(ctx, Host{ID: model.HostID(seed), Address: seed}, known) {
				break
			}
		}
		sleep(ctx, seedInterval)
	}
}

// awaitStore waits until this host, or one that relays, has heard the store lately: the followers ask a silent store often
// enough.
func (a *Agent) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		heard := max(a.storeHeard.Load(), a.relayHeard.Load())
		if heard > a.started && boottime.Now().UnixNano()-heard < freshFor.Nanoseconds() {
			return
		}
		sleep(ctx, awaitInterval)
	}
}

// leaderHost returns the registration of the leader.
func (v *view) leaderHost() (Host, bool) {
	if v.leader == nil {
		return Host{}, false
	}
	h, ok := v.hosts[v.leader.value.Host]
	return h, ok && h.Incarnation == v.leader.value.Incarnation
}

// Leave ends this host's registration and leadership, so that nobody waits for it.
func (a *Agent) Deregister(ctx context.Context) {
	a.Resign()
	key := hostPrefix + string(a.Self.ID)
	_, err := a.Store.Commit(ctx, metastore.Txn{Removes: []string{key}})
	a.Log.Info("registration: removed", zap.Error(err))
}
