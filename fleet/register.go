package fleet

import (
	"context"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// registration is a live registration of this host.
type registration struct {
	lease metastore.Lease
	ttl   time.Duration
}

// register keeps this host registered until the context ends. Primaries may be used only after the decisions about them
// were read while the registration was in the store, because the leader asks only registered hosts to stop using one.
func (a *Agent) register(ctx context.Context) {
	dep := dependency{log: a.Log, name: "store registration"}
	attempts := backoff{agent: a}
	for ctx.Err() == nil {
		r, sent, err := a.enter(ctx)
		if dep.observe(err); err != nil {
			attempts.wait(ctx)
			continue
		}
		attempts.reset()
		if err := a.refreshOwn(ctx); err != nil {
			a.Log.Warn("registration: decisions not read", zap.Error(err))
			a.revoke(r.lease)
			continue
		}
		a.Log.Info("registration: in force", zap.Int64("lease", int64(r.lease)), zap.Duration("ttl", r.ttl))
		a.keep(ctx, r, sent)
		a.Server.AllowPrimaries(time.Time{})
	}
}

// refreshOwn reads the product's own keys and returns when they are in force.
func (a *Agent) refreshOwn(ctx context.Context) error {
	items, revision, err := timed(ctx, prefix, a.Store.List)
	if err != nil {
		return err
	}
	a.follower(prefix, (*control).applyOwn).replace(ctx, PrefixState{Revision: revision, Items: items}, true)
	return a.do(ctx, func(*control) {}) // what was posted before is in force then
}

// enter writes the registration.
func (a *Agent) enter(ctx context.Context) (registration, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := boottime.Now()
	lease, ttl, err := a.Store.Grant(ctx, hostLease)
	if err != nil {
		return registration{}, sent, err
	}
	a.confirmMu.Lock()
	a.lease = lease
	txn := a.registrationTxn()
	a.confirmMu.Unlock()
	_, err = a.Store.Commit(ctx, txn)
	return registration{lease, ttl}, sent, err
}

// registrationTxn returns the change that registers this host. The lock confirmMu is held.
func (a *Agent) registrationTxn() metastore.Txn {
	self := a.Self
	self.Fenced = maps.Clone(a.fenced)
	return metastore.Txn{Puts: []metastore.Item{{Key: hostPrefix + string(self.ID), Value: mustEncode(self),
		Lease: a.lease}}}
}

// keep renews the registration until its lease has ended.
func (a *Agent) keep(ctx context.Context, r registration, sent time.Time) {
	dep := dependency{log: a.Log, name: "store lease"}
	until := sent.Add(r.ttl - leaseMargin)
	a.Server.AllowPrimaries(until)
	a.ready.Store(true)
	for ctx.Err() == nil {
		sleep(ctx, hostRenewInterval)
		now := boottime.Now()
		err := a.renew(ctx, r.lease)
		if err != nil && !errors.Is(err, metastore.ErrLeaseEnded) {
			if relayed := a.renewThroughLeader(r.lease); relayed == nil {
				err = nil
			}
		}
		dep.observe(err)
		switch {
		case err == nil:
			until = now.Add(r.ttl - leaseMargin)
			a.Server.AllowPrimaries(until)
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

// leaderHost returns the registration of the leader.
func (v *view) leaderHost() (Host, bool) {
	if v.leader == nil {
		return Host{}, false
	}
	h, ok := v.hosts[v.leader.value.Host]
	return h, ok && h.Incarnation == v.leader.value.Incarnation
}

// Leave ends this host's registration and leadership, so that nobody waits for it.
func (a *Agent) Leave(ctx context.Context) {
	a.Resign()
	key := hostPrefix + string(a.Self.ID)
	_, err := a.Store.Commit(ctx, metastore.Txn{Removes: []string{key}})
	a.Log.Info("registration: removed", zap.Error(err))
}
