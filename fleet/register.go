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

// seedSyncInterval is the interval between syncs with the seeds. A fleet has a leader half a second after its start.
const seedSyncInterval = 100 * time.Millisecond

// controlKeysOnlyTime is the time after startup during which a host syncs only the control keys with the seeds, and
// reads the configuration and the targets from the store.
const controlKeysOnlyTime = 400 * time.Millisecond

// storePollInterval is the interval between checks for a reply of the store, about the duration of a call.
const storePollInterval = 5 * time.Millisecond

// Registration is a live registration of a host, with the primary documents as listed after it was written.
type Registration struct {
	Lease     metastore.Lease
	TTL       time.Duration
	Revision  uint64 // of the host's key
	Documents []metastore.Item
}

// keepRegistered keeps this host registered until the context ends. Primaries may be used only after the documents
// were read while the registration was in the store, because the leader fences only registered hosts.
func (a *Agent) keepRegistered(ctx context.Context) {
	dep := dependencyLogger{log: a.Log, name: "store registration"}
	attempts := backoff{agent: a}
	for ctx.Err() == nil {
		a.awaitStore(ctx)
		sent := boottime.Now()
		r, err := a.registerHost(ctx, a.selfWithFences())
		if err != nil {
			sent = boottime.Now()
			if relayed, done := a.registerThroughPeer(); done {
				r, err = relayed, nil
			}
		}
		if dep.observe(err); err != nil {
			attempts.wait(ctx)
			continue
		}
		attempts.reset()
		a.registrationMu.Lock()
		a.lease, a.registeredRevision = r.Lease, r.Revision
		a.registrationMu.Unlock()
		a.follower(controlPrefix, (*control).applyControlKeys).mergeItems(ctx, r.Documents)
		if err := a.runAndWait(ctx, func(*control) {}); err != nil { // waits for all events posted before
			return
		}
		a.Log.Info("registration: active", zap.Int64("lease", int64(r.Lease)), zap.Duration("ttl", r.TTL),
			zap.Uint64("revision", r.Revision))
		a.enforceDocuments()
		a.keepRegistrationLease(ctx, r, sent)
		a.Server.AllowPrimariesUntil(time.Time{})
	}
}

// enforceDocuments puts all known documents into effect before this host may use primaries, and confirms the closed ones.
func (a *Agent) enforceDocuments() {
	for _, doc := range a.view.Load().documents {
		a.Server.ApplyPrimaryDocument(doc.value)
		go a.confirmViaStore(doc.value)
	}
}

// refreshControlKeys reads the control keys from the store and returns once they are in force.
func (a *Agent) refreshControlKeys(ctx context.Context) error {
	items, revision, err := listWithTimeout(ctx, controlPrefix, a.Store.List)
	if err != nil {
		return err
	}
	state := PrefixState{Revision: revision, Items: items}
	a.follower(controlPrefix, (*control).applyControlKeys).replaceState(ctx, state, true)
	return a.runAndWait(ctx, func(*control) {}) // waits for all events posted before
}

// registerHost registers this host, or one that cannot reach the store, and lists the primary documents. It does not list
// the other control keys, whose number grows with the fleet. The write is conditional on the known revision of the host's
// key: a call without a reply may take effect seconds later, and must not replace the current registration by one with an
// older lease.
func (a *Agent) registerHost(ctx context.Context, h Host) (r Registration, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if r.Lease, r.TTL, err = a.Store.Grant(ctx, hostLease); err != nil {
		return r, err
	}
	expected := a.knownHostRevision(h.ID)
	if r.Revision, err = a.Store.Commit(ctx, h.registrationTxn(r.Lease, expected)); errors.Is(err, metastore.ErrConflict) {
		if expected, err = a.storedHostRevision(ctx, h.ID); err == nil {
			r.Revision, err = a.Store.Commit(ctx, h.registrationTxn(r.Lease, expected))
		}
	}
	if err == nil {
		r.Documents, _, err = listWithTimeout(ctx, primaryPrefix, a.Store.List)
	}
	if err != nil {
		go a.revoke(r.Lease)
	}
	return r, err
}

// knownHostRevision returns the revision of a host's registration in this host's copy of the store, or 0.
func (a *Agent) knownHostRevision(id model.HostID) uint64 {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	if f := a.followers[controlPrefix]; f != nil {
		return f.items[hostPrefix+string(id)].Revision
	}
	return 0
}

// storedHostRevision returns the revision of a host's registration in the store, or 0 if there is none.
func (a *Agent) storedHostRevision(ctx context.Context, id model.HostID) (uint64, error) {
	key := hostPrefix + string(id)
	items, _, err := a.Store.List(ctx, key)
	for _, item := range items {
		if item.Key == key {
			return item.Revision, err
		}
	}
	return 0, err
}

// registrationTxn returns the transaction that registers a host whose key has the expected revision.
func (h Host) registrationTxn(lease metastore.Lease, expectedRevision uint64) metastore.Txn {
	key := hostPrefix + string(h.ID)
	return metastore.Txn{Conditions: []metastore.Condition{{Key: key, Revision: expectedRevision}},
		Puts: []metastore.Item{{Key: key, Value: mustEncode(h), Lease: lease}}}
}

// selfWithFences returns the registration of this host, including the epochs that it confirms through the store.
func (a *Agent) selfWithFences() Host {
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	self := a.Self
	self.Fenced = maps.Clone(a.fencedViaStore)
	return self
}

// keepRegistrationLease renews the registration until its lease has ended.
func (a *Agent) keepRegistrationLease(ctx context.Context, r Registration, sent time.Time) {
	dep := dependencyLogger{log: a.Log, name: "store lease"}
	leaseEnd := sent.Add(r.TTL - leaseMargin)
	a.Server.AllowPrimariesUntil(leaseEnd)
	a.ready.Store(true)
	a.renewing.Store(true)
	defer a.renewing.Store(false)
	pause := hostRenewInterval
	for ctx.Err() == nil {
		a.awaitRenewal(ctx, pause)
		now := boottime.Now()
		err := a.renewLease(ctx, r.Lease)
		a.recordRenewal(err)
		if err != nil && !errors.Is(err, metastore.ErrLeaseEnded) {
			if leaderErr := a.renewLeaseThroughLeader(r.Lease); leaderErr == nil {
				err = nil
			}
		}
		dep.observe(err)
		pause = hostRenewRetryInterval
		switch {
		case err == nil:
			pause = hostRenewInterval
			leaseEnd = now.Add(r.TTL - leaseMargin)
			a.Server.AllowPrimariesUntil(leaseEnd)
		case errors.Is(err, metastore.ErrLeaseEnded):
			return
		}
	}
}

// awaitRenewal waits until the lease should be renewed again. While no fresh state is relayed, hosts renew early: the reply
// tells whether this host reaches the store.
func (a *Agent) awaitRenewal(ctx context.Context, pause time.Duration) {
	started := boottime.Now()
	for ctx.Err() == nil && boottime.Now().Sub(started) < pause {
		sleep(ctx, min(pause, 2*relayCheckInterval))
		if boottime.Now().Sub(started) >= hostRenewRetryInterval && elapsedSince(&a.lastRelay) > relayTimeout &&
			a.storeReachableSince.Load() <= a.lastRelay.Load() {
			return
		}
	}
}

// recordRenewal records whether the store has confirmed a renewal directly to this host.
func (a *Agent) recordRenewal(err error) {
	if err != nil {
		a.storeReachableSince.Store(0)
		return
	}
	now := boottime.Now().UnixNano()
	a.lastRenewal.Store(now)
	if a.storeReachableSince.Load() <= a.lastRelay.Load() {
		a.storeReachableSince.Store(now)
	}
}

func (a *Agent) renewLease(ctx context.Context, lease metastore.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	return a.Store.KeepAlive(ctx, lease)
}

// renewLeaseThroughLeader renews a lease through the leader, which may reach a store that rejects this host.
func (a *Agent) renewLeaseThroughLeader(lease metastore.Lease) error {
	leader, ok := a.view.Load().leaderHost()
	if !ok || leader.ID == a.Self.ID {
		return errNoLeader
	}
	return a.controlClients.call(leader, "Peer.Renew", RenewRequest{lease}, &struct{}{}, callTimeout)
}

// registerThroughPeer registers this host through another host that reaches the store. A host that has just started
// knows only the seeds in its settings. done is false if none of the hosts registered it.
func (a *Agent) registerThroughPeer() (r Registration, done bool) {
	hosts := a.candidateHosts()
	if leader, ok := a.view.Load().leaderHost(); ok {
		hosts = append([]Host{leader}, hosts...)
	}
	for _, seed := range a.Seeds {
		hosts = append(hosts, Host{ID: model.HostID(seed), Address: seed})
	}
	self := a.selfWithFences()
	for _, h := range hosts {
		if h.ID == self.ID {
			continue
		}
		err := a.controlClients.call(h, "Peer.Enter", self, &r, registerTimeout)
		a.Log.Info("registration: requested through a peer", zap.String("peer", string(h.ID)), zap.Error(err))
		if err == nil {
			return r, true
		}
	}
	return r, false
}

// Enter registers a host that the store rejects. It fails without a call of the store if the store has not answered
// this host recently.
func (p *Peer) Enter(h Host, reply *Registration) (err error) {
	if elapsedSince(&p.agent.lastStoreReply) > relayFreshness {
		return errStoreSilent
	}
	*reply, err = p.agent.registerHost(context.Background(), h)
	return err
}

// syncWithSeeds syncs with the seeds until a leader relays the state. Otherwise each registration in a starting fleet
// would end the watches of all hosts.
func (a *Agent) syncWithSeeds(ctx context.Context) {
	for ctx.Err() == nil && a.leaderUnreachable.Load() {
		since := a.knownRevisions()
		if boottime.Now().UnixNano()-a.startTime < controlKeysOnlyTime.Nanoseconds() {
			since = map[string]uint64{controlPrefix: since[controlPrefix]} // the others may be large
		}
		for _, seed := range a.Seeds {
			if a.syncWith(ctx, Host{ID: model.HostID(seed), Address: seed}, since) {
				break
			}
		}
		sleep(ctx, seedSyncInterval)
	}
}

// awaitStore waits for a recent reply of the store to this host or a relaying host. The followers probe an
// unresponsive store often enough.
func (a *Agent) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		lastReply := max(a.lastStoreReply.Load(), a.lastRelay.Load())
		if lastReply > a.startTime && boottime.Now().UnixNano()-lastReply < relayFreshness.Nanoseconds() {
			return
		}
		sleep(ctx, storePollInterval)
	}
}

// leaderHost returns the registration of the leader. It reports false if no leader is known, or if the leader is not
// registered with the incarnation that acquired the leadership.
func (v *clusterView) leaderHost() (Host, bool) {
	if v.leader == nil {
		return Host{}, false
	}
	h, ok := v.hosts[v.leader.value.Host]
	return h, ok && h.Incarnation == v.leader.value.Incarnation
}

// Deregister resigns the leadership and removes this host's registration, so that other hosts do not wait for its
// leases.
func (a *Agent) Deregister(ctx context.Context) {
	a.Resign()
	key := hostPrefix + string(a.Self.ID)
	_, err := a.Store.Commit(ctx, metastore.Txn{Removes: []string{key}})
	a.Log.Info("registration: removed", zap.Error(err))
}
