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
		a.setRegistration(r, sent)
		a.follower(controlPrefix, (*control).applyControlKeys).mergeItems(ctx, r.Documents)
		if err := a.runAndWait(ctx, func(*control) {}); err != nil { // waits for all events posted before
			return
		}
		a.checkRegistration(a.knownRegistration())
		a.Log.Info("registration: active", zap.Int64("lease", int64(r.Lease)), zap.Duration("ttl", r.TTL),
			zap.Uint64("revision", r.Revision))
		a.enforceDocuments()
		a.keepRegistrationLease(ctx, r, sent)
		a.endPermission(ctx, r.Lease)
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

// registerHost registers this host and lists the primary documents. It does not list the other control keys, whose number grows
// with the fleet. The write is conditional on the known revision of the host's key: a call without a reply may take effect
// seconds later, and must not replace the current registration by one with an older lease.
func (a *Agent) registerHost(ctx context.Context, h Host) (Registration, error) {
	return a.registerAt(ctx, h, a.knownHostRevision(h.ID), true)
}

// registerAt registers a host whose key has the expected revision. If the key has another revision, it registers the host at that
// one if retry is set, and fails with metastore.ErrConflict otherwise.
func (a *Agent) registerAt(ctx context.Context, h Host, expected uint64, retry bool) (r Registration, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if r.Lease, r.TTL, err = a.Store.Grant(ctx, hostLease); err != nil {
		return r, err
	}
	r.Revision, err = a.Store.Commit(ctx, h.registrationTxn(r.Lease, expected))
	if retry && errors.Is(err, metastore.ErrConflict) {
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

// knownRegistration returns the last change of this host's registration in its copy of the store.
func (a *Agent) knownRegistration() (change prefixChange) {
	key := hostPrefix + string(a.Self.ID)
	a.followMu.Lock()
	defer a.followMu.Unlock()
	f := a.followers[controlPrefix]
	if item, exists := f.items[key]; exists {
		change.events = append(change.events, metastore.Event{Item: item})
	} else if revision, removed := f.removed[key]; removed {
		change.events = append(change.events, metastore.Event{Item: metastore.Item{Key: key, Revision: revision}, Removed: true})
	}
	return change
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
	if !a.allowPrimaries(r.Lease, sent.Add(r.TTL-leaseMargin)) {
		go a.revoke(r.Lease)
		return
	}
	a.ready.Store(true)
	a.renewing.Store(true)
	defer a.renewing.Store(false)
	pause := hostRenewInterval
	for ctx.Err() == nil {
		a.awaitRenewal(ctx, r.Lease, pause)
		if ctx.Err() == nil && !a.isRegisteredUnder(r.Lease) {
			go a.revoke(r.Lease)
			return
		}
		now := boottime.Now()
		err := a.renewLease(ctx, r.Lease)
		a.recordRenewal(err)
		if err != nil && !errors.Is(err, metastore.ErrLeaseEnded) {
			switch leaderErr := a.renewLeaseThroughLeader(r.Lease); {
			case leaderErr == nil:
				err = nil
			case leaderErr.Error() == metastore.ErrLeaseEnded.Error(): // as an answer of the other host, which has only the text
				err = metastore.ErrLeaseEnded
			}
		}
		dep.observe(err)
		pause = hostRenewRetryInterval
		switch {
		case err == nil:
			pause = hostRenewInterval
			a.allowPrimaries(r.Lease, now.Add(r.TTL-leaseMargin))
		case errors.Is(err, metastore.ErrLeaseEnded):
			return
		}
	}
}

// awaitRenewal waits until the lease should be renewed again. While no fresh state is relayed, hosts renew early: the reply
// tells whether this host reaches the store.
func (a *Agent) awaitRenewal(ctx context.Context, lease metastore.Lease, pause time.Duration) {
	started := boottime.Now()
	for ctx.Err() == nil && boottime.Now().Sub(started) < pause && a.isRegisteredUnder(lease) {
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
	self := a.selfWithFences()
	for _, h := range a.knownPeers() {
		request := EnterRequest{self, a.knownHostRevision(self.ID)}
		for range 2 { // the first reply may name another revision
			reply := EnterReply{}
			err := a.controlClients.call(h, "Peer.Enter", request, &reply, registerTimeout)
			a.Log.Info("registration: requested through a peer", zap.String("peer", string(h.ID)),
				zap.Uint64("expected_revision", request.ExpectedRevision), zap.Bool("conflict", reply.Conflict), zap.Error(err))
			if err == nil && !reply.Conflict {
				return reply.Registration, true
			}
			if err != nil {
				break
			}
			request.ExpectedRevision = reply.StoredRevision
		}
	}
	return r, false
}

// EnterRequest asks a host to register another one. ExpectedRevision is the revision of the host's key as known to the sender, so
// that a request which is processed late does not replace a registration that was made since.
type EnterRequest struct {
	Host             Host
	ExpectedRevision uint64
}

// EnterReply is the reply to an EnterRequest: the registration, or the revision of the host's key if it is not the expected one.
type EnterReply struct {
	Registration   Registration
	Conflict       bool
	StoredRevision uint64
}

// Enter registers a host that the store rejects. It fails without a call of the store if the store has not answered
// this host recently.
func (p *Peer) Enter(r EnterRequest, reply *EnterReply) (err error) {
	if elapsedSince(&p.agent.lastStoreReply) > relayFreshness {
		return errStoreSilent
	}
	ctx := context.Background()
	reply.Registration, err = p.agent.registerAt(ctx, r.Host, r.ExpectedRevision, false)
	if !errors.Is(err, metastore.ErrConflict) {
		return err
	}
	reply.Conflict = true
	reply.StoredRevision, err = p.agent.storedHostRevision(ctx, r.Host.ID)
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

// Deregister resigns the leadership and ends this host's registration, so that other hosts do not wait for its leases. It ends the
// lease instead of removing the key: a call without a reply may take effect seconds later, when the host has started again and
// registered under another lease.
func (a *Agent) Deregister(ctx context.Context) {
	a.Resign()
	a.registrationMu.Lock()
	lease := a.lease
	a.registrationMu.Unlock()
	if lease == 0 {
		return
	}
	err := a.Store.Revoke(ctx, lease)
	a.Log.Info("registration: ended", zap.Int64("lease", int64(lease)), zap.Error(err))
}

// setRegistration records a new registration of this host, which it requested at the given time.
func (a *Agent) setRegistration(r Registration, sent time.Time) {
	a.observeEra(hostPrefix, r.Revision)
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	a.lease, a.registeredRevision, a.continuous = r.Lease, r.Revision, sent.Before(a.permissionEnd)
	a.pendingPermission = time.Time{} // of an earlier registration
}

// isRegisteredUnder reports whether the current registration of this host has the lease.
func (a *Agent) isRegisteredUnder(lease metastore.Lease) bool {
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	return a.lease == lease
}

// allowPrimaries permits the use of primaries until the given time if the current registration of this host has the lease.
func (a *Agent) allowPrimaries(lease metastore.Lease, until time.Time) bool {
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	if a.lease != lease {
		return false
	}
	a.permitPrimaries(until)
	return true
}

// checkRegistration has the host register again if a change shows that its registration is gone or has been replaced, and stops the use
// of primaries until then unless the store has lost the registration: the leader does not fence a host that it does not know, even if
// its lease lives on.
func (a *Agent) checkRegistration(change prefixChange) {
	key := hostPrefix + string(a.Self.ID)
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	if a.lease == 0 {
		return
	}
	gone := change.complete && change.revision > a.registeredRevision
	var revision uint64
	for _, e := range change.events {
		if e.Key != key {
			continue
		}
		revision, gone = e.Revision, false
		if e.Revision <= a.registeredRevision {
			continue
		}
		if gone = e.Removed || e.Lease != a.lease; !gone {
			a.registeredRevision = e.Revision // a write of this host whose reply was lost
		}
	}
	if !gone {
		return
	}
	seen := max(revision, change.revision)
	a.Log.Warn("registration: gone", zap.Int64("lease", int64(a.lease)), zap.Uint64("registered_revision", a.registeredRevision),
		zap.Uint64("seen_revision", seen), zap.Time("permission_end", a.permissionEnd))
	a.lease = 0
	if metastore.EraOf(seen) > metastore.EraOf(a.registeredRevision) {
		return // no primary is replaced until all permissions of before have ended, see settlingKey
	}
	a.Server.AllowPrimariesUntil(time.Time{})
	a.permissionEnd = time.Time{} // primaries may have been replaced without this host
}

// endPermission stops the use of primaries after the lease of the registration has ended, unless the store has lost the lease.
func (a *Agent) endPermission(ctx context.Context, lease metastore.Lease) {
	if ctx.Err() == nil && !lease.IsOfEra(a.storeEra.Load()) {
		return
	}
	a.Server.AllowPrimariesUntil(time.Time{})
}
