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
	// handOverTime is the time for which a leader that has handed over still answers, until all hosts have learned in a
	// report who leads now.
	handOverTime = 3 * reportInterval
	// mostSuccessors bounds the hosts that are asked to take over; those that stop as well refuse at once.
	mostSuccessors = 8
	// superviseInterval is the time between two looks at the primary of a service.
	superviseInterval = 100 * time.Millisecond
)

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// leadership is one term of this host as the leader.
type leadership struct {
	agent *Agent
	lease metastore.Lease
	fence uint64 // revision at which this host became the leader
	stop  context.CancelFunc
	rest  context.CancelFunc // ends the replacement of primaries

	mu       sync.Mutex
	until    time.Time // end of the lease on this host's clock
	yielding bool      // another host is asked to take over
	broker   *share.Broker
	next     *Host // the successor that the broker was handed over to
	opinions map[model.HostID]opinion
	watched  map[model.Service]bool
}

// opinion is what a host said of its primaries.
type opinion struct {
	at       time.Time
	byTarget map[model.Service]primacy.Observation
}

// seekLeadership tries to become the leader while there is none. Hosts try one after the other, so that usually only one
// of them writes.
func (c *control) seekLeadership(ctx context.Context) {
	a := c.agent
	if c.asking || !a.Ready() || a.Server.Draining() {
		return
	}
	v := c.view
	var known uint64
	if v.leader != nil {
		if v.leader.value.Host != a.Self.ID || v.leader.value.Incarnation == a.Self.Incarnation {
			return
		}
		known = v.leader.revision // this host was the leader before it restarted
	}
	rank := slices.IndexFunc(v.byCapacity(), func(h Host) bool { return h.ID == a.Self.ID })
	if rank < 0 {
		return
	}
	c.asking = true
	go func() {
		if known == 0 {
			sleep(ctx, time.Duration(rank)*replaceInterval)
		}
		a.lead(ctx, known)
		a.post(ctx, func(c *control) { c.asking = false })
	}()
}

// lead becomes the leader if the leader's key still has the given revision, and leads until the lease is lost.
func (a *Agent) lead(ctx context.Context, known uint64) {
	if v := a.view.Load(); known == 0 && v.leader != nil {
		return
	}
	if l, ttl := a.acquire(ctx, known); l != nil {
		a.serveAsLeader(ctx, l, ttl, share.NewBroker(boottime.Now()))
	}
}

// acquire takes the leader's key if it has the given revision, and returns nil otherwise.
func (a *Agent) acquire(ctx context.Context, known uint64) (*leadership, time.Duration) {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := boottime.Now()
	lease, ttl, err := a.Store.Grant(call, leaderLease)
	if err != nil {
		a.Log.Info("leader: no lease", zap.Error(err))
		return nil, 0
	}
	fence, err := a.Store.Commit(call, metastore.Txn{Conditions: []metastore.Condition{{Key: leaderKey, Revision: known}},
		Puts: []metastore.Item{{Key: leaderKey, Lease: lease,
			Value: mustEncode(Leader{Host: a.Self.ID, Incarnation: a.Self.Incarnation})}}})
	if err != nil {
		if errors.Is(err, metastore.ErrConflict) {
			a.revoke(lease)
		}
		return nil, 0
	}
	return &leadership{agent: a, lease: lease, fence: fence, until: sent.Add(ttl - leaseMargin),
		opinions: map[model.HostID]opinion{}, watched: map[model.Service]bool{}}, ttl
}

// serveAsLeader leads until the lease is lost.
func (a *Agent) serveAsLeader(ctx context.Context, l *leadership, ttl time.Duration, broker *share.Broker) {
	run, stop := context.WithCancel(ctx)
	defer stop()
	work, rest := context.WithCancel(run)
	defer rest()
	l.stop, l.rest, l.broker = stop, rest, broker
	v := a.view.Load()
	broker.SetLimits(v.catalog.Limits, len(v.expected))
	a.Log.Info("leader: this host leads", zap.Uint64("fence", l.fence))
	a.setLeading(l)
	go l.supervise(work)
	l.keep(run, ttl)
	a.setLeading(nil)
	a.Prober.Close()
	a.Log.Info("leader: this host leads no more", zap.Uint64("fence", l.fence))
}

// succession is an offer of a leader that stops to lead in its place.
type succession struct {
	request  SuccessionRequest
	accepted chan<- error
}

// succeed takes over from a leader that stops, if it still leads. It answers when the store names this host the leader.
func (a *Agent) succeed(ctx context.Context, s succession) {
	if !a.Ready() || a.Server.Draining() || a.isLeading() {
		s.accepted <- errNoSuccessor
		return
	}
	l, ttl := a.acquire(ctx, s.request.Fence)
	if l == nil {
		s.accepted <- errNoSuccessor
		return
	}
	s.accepted <- nil
	a.serveAsLeader(ctx, l, ttl, share.RestoreBroker(boottime.Now(), s.request.Broker))
}

func (a *Agent) setLeading(l *leadership) {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	a.leading = l
}

// leadership returns this host's present term as the leader, or nil.
func (a *Agent) leadership() *leadership {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	return a.leading
}

func (a *Agent) revoke(lease metastore.Lease) {
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	if err := a.Store.Revoke(ctx, lease); err != nil {
		a.Log.Warn("store: a lease could not be ended", zap.Int64("lease", int64(lease)), zap.Error(err))
	}
}

// Resign gives the leadership up, if this host has it. Another host takes over first, with what the broker has, so that
// callers notice nothing of it.
func (a *Agent) Resign() {
	l := a.leadership()
	if l == nil {
		return
	}
	if l.handOver() {
		time.Sleep(handOverTime)
	}
	l.stop()
	a.revoke(l.lease)
}

// handOver asks other hosts to lead, until one does. From its beginning this host replaces no primary and hands out only the
// reserve of its broker, because it may not learn that a host has taken over.
func (l *leadership) handOver() bool {
	a := l.agent
	l.rest() // an order of promotion that is under way must not come after one of the successor
	l.mu.Lock()
	l.yielding = true
	request := SuccessionRequest{Fence: l.fence, Broker: l.broker.HandOver(boottime.Now())}
	l.mu.Unlock()
	hosts := slices.DeleteFunc(a.view.Load().byCapacity(), func(h Host) bool { return h.ID == a.Self.ID })
	for _, h := range hosts[:min(len(hosts), mostSuccessors)] {
		err := a.peers.call(h, "Peer.Succeed", request, &struct{}{}, successionTimeout)
		a.Log.Info("leader: handed over", zap.String("to", string(h.ID)), zap.Error(err))
		if err == nil {
			l.mu.Lock()
			l.next = &h
			l.mu.Unlock()
			return true
		}
		if err.Error() != errNoSuccessor.Error() {
			return false // it may lead
		}
	}
	return false
}

// take hands out tokens, or returns the successor that does when the reserve for the hand-over is used up.
func (l *leadership) take(r TokenRequest) (answer TokenReply, next *Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer.Granted, answer.Wait = l.broker.Take(boottime.Now(), r.Workspace, r.Tokens)
	if answer.Granted == 0 && l.yielding {
		return TokenReply{Wait: replaceInterval}, l.next
	}
	return answer, nil
}

// keep renews the lease and returns when it has ended, or another host leads. While the store is silent this host promotes
// nothing after its lease has run out, but goes on as the broker: a broker hands out only the parts of the hosts that report
// to it, so several of them exceed no limit.
func (l *leadership) keep(ctx context.Context, ttl time.Duration) {
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		now := boottime.Now()
		err := l.agent.renew(ctx, l.lease)
		if err == nil {
			l.mu.Lock()
			l.until = now.Add(ttl - leaseMargin)
			l.mu.Unlock()
		}
		if errors.Is(err, metastore.ErrLeaseEnded) || l.superseded() && !l.handedOver() {
			return
		}
	}
}

// handedOver reports whether this host answers for its successor; Resign ends that.
func (l *leadership) handedOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next != nil
}

// superseded reports whether the store names another leader.
func (l *leadership) superseded() bool {
	known := l.agent.view.Load().leader
	return known != nil && known.revision > l.fence
}

// remaining returns the time for which this host may replace primaries: until its lease ends, or it yields.
func (l *leadership) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.yielding {
		return 0
	}
	return l.until.Sub(boottime.Now())
}

func (l *leadership) valid() bool { return l.remaining() > 0 }

// report takes a host's report.
func (l *leadership) report(r ReportRequest) {
	v := l.agent.view.Load()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opinions[r.Host] = opinion{now, r.Observations}
	l.broker.SetLimits(v.catalog.Limits, len(v.expected))
	l.broker.HandleReport(now, r.Host, r.Standalone)
	l.broker.Deposit(now, r.Deposit)
}

// supervise starts a supervisor for each service of the configuration.
func (l *leadership) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		for service := range l.agent.view.Load().catalog.Services {
			if !l.watched[service] {
				l.watched[service] = true
				s := &supervisor{leadership: l, service: service, answered: boottime.Now(),
					log: l.agent.Log.With(zap.String("service", string(service)), zap.Uint64("fence", l.fence))}
				go s.run(ctx)
			}
		}
		sleep(ctx, superviseInterval)
	}
}
