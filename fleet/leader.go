package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/share"
)

const (
	// handOverGrace is the time for which a leader still answers after handing over, until all hosts have learned of
	// the new leader from the reply to a report.
	handOverGrace = 3 * reportInterval
	// maxSuccessors bounds the hosts that are asked to take over. Hosts that are shutting down as well refuse at
	// once.
	maxSuccessors = 8
	// weakHostDelay is the additional time for which hosts wait whose link is below weakHostFraction of the widest one. Such a
	// host cannot carry the reports of a large fleet, and hosts notice the end of a leader's lease up to 0.5 s apart.
	weakHostDelay    = time.Second
	weakHostFraction = 0.5
	// superviseInterval is the interval between checks of a service's primary.
	superviseInterval = 100 * time.Millisecond
)

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// leadership is the state of one term of this host as the leader.
type leadership struct {
	agent           *Agent
	lease           metastore.Lease
	fence           uint64 // revision at which this host became the leader, used as fencing token
	began           time.Time
	stop            context.CancelFunc
	stopSupervision context.CancelFunc // stops the replacement of primaries

	mu          sync.Mutex
	leaseEnd    time.Time      // on this host's clock
	noDecisions bool           // this host decides nothing about primaries any more, although its lease may live on
	orders      sync.WaitGroup // promotions that were ordered and have neither been answered nor given up; added to under mu
	handingOver bool           // another host has been asked to take over
	broker      *share.Broker
	successor   *Host // host that took over the broker state
	reports     map[model.HostID]hostReport
	reporting   reportingHosts
	supervised  map[model.Service]bool // services with a supervisor; used only by superviseServices
}

// hostReport holds the observations of primaries that a host last reported.
type hostReport struct {
	at        time.Time
	byService map[model.Service]primacy.Observation
}

// reportingHosts records that all hosts of a view have reported recently enough until a time.
type reportingHosts struct {
	view  *clusterView
	until time.Time
}

// campaign tries to become the leader while there is none. Hosts try in order of capacity, each after a delay that
// grows with its rank, so that usually only one of them writes and a large host leads.
func (c *control) campaign(ctx context.Context) {
	a := c.agent
	if c.acquiring || !a.Ready() || a.Server.Draining() {
		return
	}
	v := c.view
	var expectedRevision uint64
	if v.leader != nil {
		restored := metastore.EraOf(v.leader.revision) > metastore.EraOf(a.lastFence.Load()) &&
			!a.claiming.Load() && !a.isLeading()
		if v.leader.value.Host != a.Self.ID || v.leader.value.Incarnation == a.Self.Incarnation && !restored {
			return
		}
		expectedRevision = v.leader.revision // this host was the leader before it restarted, or before the store lost its term
	}
	delay, eligible := v.campaignDelay(a.Self)
	if expectedRevision == 0 && !eligible {
		return
	}
	c.acquiring = true
	go func() {
		if expectedRevision == 0 {
			sleep(ctx, delay)
		}
		a.lead(ctx, expectedRevision)
		a.post(ctx, func(c *control) { c.acquiring = false })
	}()
}

// campaignDelay returns the time for which a host waits before it tries to become the leader. It reports false if the view is
// older than the registration of the host, so that larger hosts may be missing.
func (v *clusterView) campaignDelay(self Host) (time.Duration, bool) {
	hosts := v.hostsByCapacity()
	rank := slices.IndexFunc(hosts, func(h Host) bool { return h.ID == self.ID })
	if rank < 0 || hosts[rank].Incarnation != self.Incarnation {
		return 0, false
	}
	delay := time.Duration(rank) * replacePollInterval
	if self.LinkMbps < weakHostFraction*hosts[0].LinkMbps {
		delay += weakHostDelay
	}
	return delay, true
}

// lead becomes the leader if the leader's key has the expected revision, and leads until the lease is lost.
func (a *Agent) lead(ctx context.Context, expectedRevision uint64) {
	if v := a.view.Load(); expectedRevision == 0 && v.leader != nil {
		return
	}
	if term, ttl := a.acquireLeadership(ctx, expectedRevision); term != nil {
		a.serveAsLeader(ctx, term, ttl, share.NewBroker(boottime.Now()))
	}
}

// acquireLeadership writes the leader's key if it has the expected revision. It returns the new term and the TTL of its
// lease, or nil if that fails.
func (a *Agent) acquireLeadership(ctx context.Context, expectedRevision uint64) (*leadership, time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	a.claiming.Store(true) // until the term has begun
	sent := boottime.Now()
	lease, ttl, err := a.Store.Grant(callCtx, leaderLease)
	if err != nil {
		a.Log.Info("leader: lease not granted", zap.Error(err))
		a.claiming.Store(false)
		return nil, 0
	}
	fence, err := a.Store.Commit(callCtx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: leaderKey, Revision: expectedRevision}},
		Puts: []metastore.Item{{Key: leaderKey, Lease: lease,
			Value: mustEncode(Leader{Host: a.Self.ID, Incarnation: a.Self.Incarnation})}}})
	if err != nil {
		a.Log.Info("leader: key not written", zap.Uint64("expected_revision", expectedRevision), zap.Error(err))
		if !errors.Is(err, metastore.ErrNotExecuted) {
			// A write without a reply may take effect later. The key would name a host that does not lead, until the lease ends.
			go a.revoke(lease)
		}
		a.claiming.Store(false)
		return nil, 0
	}
	a.lastFence.Store(fence)
	return &leadership{agent: a, lease: lease, fence: fence, began: boottime.Now(), leaseEnd: sent.Add(ttl - leaseMargin),
		reports: map[model.HostID]hostReport{}, supervised: map[model.Service]bool{}}, ttl
}

// serveAsLeader leads until the lease is lost.
func (a *Agent) serveAsLeader(ctx context.Context, term *leadership, ttl time.Duration, broker *share.Broker) {
	leaderCtx, cancelLeader := context.WithCancel(ctx)
	defer cancelLeader()
	superviseCtx, cancelSupervision := context.WithCancel(leaderCtx)
	defer cancelSupervision()
	term.stop, term.stopSupervision, term.broker = cancelLeader, cancelSupervision, broker
	v := a.view.Load()
	broker.SetLimits(v.catalog.Limits, len(v.expected))
	a.Log.Info("leader: this host leads", zap.Uint64("fence", term.fence))
	a.setLeading(term)
	a.claiming.Store(false)
	go func() {
		if term.settle(superviseCtx) {
			go term.decideRouting(superviseCtx)
			term.superviseServices(superviseCtx)
		}
	}()
	term.keepLease(leaderCtx, ttl)
	a.setLeading(nil)
	a.Prober.Close()
	a.Log.Info("leader: this host no longer leads", zap.Uint64("fence", term.fence))
}

// successionOffer is a resigning leader's request that this host take over, with the channel for the result.
type successionOffer struct {
	request SuccessionRequest
	result  chan<- error
}

// takeOverLeadership takes over from a resigning leader if it still leads. The result is sent once the store names
// this host as the leader.
func (a *Agent) takeOverLeadership(ctx context.Context, s successionOffer) {
	if !a.Ready() || a.Server.Draining() || a.isLeading() {
		s.result <- errNoSuccessor
		return
	}
	term, ttl := a.acquireLeadership(ctx, s.request.Fence)
	if term == nil {
		s.result <- errNoSuccessor
		return
	}
	s.result <- nil
	a.serveAsLeader(ctx, term, ttl, share.RestoreBroker(boottime.Now(), s.request.Broker))
}

func (a *Agent) setLeading(term *leadership) {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	a.leading = term
}

// leadership returns this host's current term as the leader, or nil.
func (a *Agent) leadership() *leadership {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	return a.leading
}

func (a *Agent) revoke(lease metastore.Lease) {
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	if err := a.Store.Revoke(ctx, lease); err != nil {
		a.Log.Warn("store: lease not revoked", zap.Int64("lease", int64(lease)), zap.Error(err))
	}
}

// Resign gives up the leadership if this host has it. The state of the broker is handed over to another host first,
// so that callers are not affected.
func (a *Agent) Resign() {
	term := a.leadership()
	if term == nil {
		return
	}
	if term.handOver() {
		time.Sleep(handOverGrace)
	}
	term.stop()
	a.revoke(term.lease)
}

// handOver offers the leadership to other hosts until one accepts, and reports whether one did. From the start of the
// hand-over this host replaces no primary and grants only the reserve of its broker, because it may not learn that a
// successor has taken over.
func (term *leadership) handOver() bool {
	a := term.agent
	term.endDecisions()
	term.mu.Lock()
	term.handingOver = true
	request := SuccessionRequest{Fence: term.fence, Broker: term.broker.HandOver(boottime.Now())}
	term.mu.Unlock()
	for _, h := range a.view.Load().largestHostsExcept(a.Self.ID, maxSuccessors) {
		err := a.controlClients.call(h, "Peer.Succeed", request, &struct{}{}, successionTimeout)
		a.Log.Info("leader: hand-over offered", zap.String("to", string(h.ID)), zap.Error(err))
		if err == nil {
			term.mu.Lock()
			term.successor = &h
			term.mu.Unlock()
			return true
		}
		if err.Error() != errNoSuccessor.Error() {
			return false // the host may have taken over
		}
	}
	return false
}

// endDecisions ends the replacement of primaries. It waits until no order is on its way: the platform could carry it out after one
// of the next leader. Cancelling the order would not help, because the platform may have received it already.
func (term *leadership) endDecisions() {
	term.mu.Lock()
	term.noDecisions = true
	term.mu.Unlock()
	term.orders.Wait() // each ends within promoteCallTimeout
	term.stopSupervision()
}

// beginOrder returns the time in which this host may order a promotion. It reports false if it may not. Otherwise the caller
// calls orders.Done when the order has been answered or given up.
func (term *leadership) beginOrder() (remaining time.Duration, allowed bool) {
	term.mu.Lock()
	defer term.mu.Unlock()
	if remaining = term.remaining(); remaining <= 0 {
		return 0, false
	}
	term.orders.Add(1)
	return remaining, true
}

// takeTokens grants tokens. Once the reserve for the hand-over is used up, it returns the successor to forward the
// request to.
func (term *leadership) takeTokens(r TokenRequest) (reply TokenReply, successor *Host) {
	term.mu.Lock()
	defer term.mu.Unlock()
	reply.Granted, reply.Wait = term.broker.Take(boottime.Now(), r.Workspace, r.Tokens)
	if reply.Granted == 0 && term.handingOver {
		return TokenReply{Wait: replacePollInterval}, term.successor
	}
	return reply, nil
}

// keepLease renews the lease and returns when it has ended or another host leads. While the store is unreachable this
// host stops promoting targets when its lease runs out, but continues as the broker: a broker grants only the shares
// of the hosts that report to it, so several brokers together exceed no limit.
func (term *leadership) keepLease(ctx context.Context, ttl time.Duration) {
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		now := boottime.Now()
		err := term.agent.renewLease(ctx, term.lease)
		if err == nil {
			term.mu.Lock()
			term.leaseEnd = now.Add(ttl - leaseMargin)
			term.mu.Unlock()
		}
		if errors.Is(err, metastore.ErrLeaseEnded) || term.superseded() && !term.handedOver() {
			return
		}
	}
}

// handedOver reports whether a successor has taken over. The term then lasts until Resign ends it.
func (term *leadership) handedOver() bool {
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.successor != nil
}

// superseded reports whether the store names another leader.
func (term *leadership) superseded() bool {
	leader := term.agent.view.Load().leader
	return leader != nil && leader.revision > term.fence
}

// remainingLease returns the time for which this host may replace primaries: until its lease ends, or 0 once endDecisions was
// called or a later era of the store was seen, which has lost the lease.
func (term *leadership) remainingLease() time.Duration {
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.remaining()
}

// remaining is remainingLease for callers that hold mu.
func (term *leadership) remaining() time.Duration {
	if term.noDecisions || metastore.EraOf(term.fence) < term.agent.storeEra.Load() {
		return 0
	}
	return term.leaseEnd.Sub(boottime.Now())
}

func (term *leadership) leaseValid() bool { return term.remainingLease() > 0 }

// recordReport processes the report of a host.
func (term *leadership) recordReport(r ReportRequest) {
	v := term.agent.view.Load()
	now := boottime.Now()
	term.mu.Lock()
	defer term.mu.Unlock()
	term.reports[r.Host] = hostReport{now, r.Observations}
	term.broker.SetLimits(v.catalog.Limits, len(v.expected))
	term.broker.HandleReport(now, r.Host, r.Standalone)
	term.broker.Deposit(now, r.Deposit)
}

// superviseServices starts a supervisor for each configured service.
func (term *leadership) superviseServices(ctx context.Context) {
	for ctx.Err() == nil {
		for service := range term.agent.view.Load().catalog.Services {
			if !term.supervised[service] {
				term.supervised[service] = true
				s := &supervisor{leadership: term, service: service, answeredAt: boottime.Now(),
					log: term.agent.Log.With(zap.String("service", string(service)), zap.Uint64("fence", term.fence))}
				go s.run(ctx)
			}
		}
		sleep(ctx, superviseInterval)
	}
}
