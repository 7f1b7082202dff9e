package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// maxDeputies is the number of hosts that may act as broker for hosts that cannot reach the leader. They are queried
// concurrently; with six there is usually one on each side of a partition.
const maxDeputies = 6

const (
	// brokerChangeTime is the time in which a host that has lost its broker usually joins another one: a report times out,
	// and the deputies answer.
	brokerChangeTime = 1500 * time.Millisecond
	// nextLeaderTime is the time in which another leader is usually found after a restart or a planned stop. A host that can
	// serve without a broker spares the two changes to a deputy and back.
	nextLeaderTime = time.Second
	// deputyAnswerTime is the time for which answers of further deputies are awaited after the first one. All hosts on one
	// side of a partition should choose the same deputy.
	deputyAnswerTime = 60 * time.Millisecond
	// tokenHedgeDelay is the time without a reply after which a token request is repeated on another connection.
	tokenHedgeDelay = 30 * time.Millisecond
	// lateTokenTimeout is the time after which the reply to a token request is no longer of use: granted tokens expire.
	lateTokenTimeout = time.Second
)

// deputyBroker distributes the rate shares of hosts that reach this host but not the leader.
type deputyBroker struct {
	mu     sync.Mutex
	broker *share.Broker // nil while there are no members
}

// report processes the report of a host. The first report of a member creates the broker.
func (d *deputyBroker) report(now time.Time, r ReportRequest, v *clusterView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.broker != nil && d.broker.MemberCount(now) == 0 {
		d.broker = nil // the next members start with empty buckets
	}
	if d.broker == nil {
		if r.Standalone {
			return
		}
		d.broker = share.NewBroker(now)
	}
	d.broker.SetLimits(v.catalog.Limits, len(v.expected))
	d.broker.HandleReport(now, r.Host, r.Standalone)
	d.broker.Deposit(now, r.Deposit)
}

// take grants tokens from the members' shares.
func (d *deputyBroker) take(now time.Time, r TokenRequest) TokenReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.broker == nil {
		return TokenReply{Wait: replacePollInterval}
	}
	granted, wait := d.broker.Take(now, r.Workspace, r.Tokens)
	return TokenReply{granted, wait}
}

// brokerHost is a host that acts as broker: the leader or a deputy broker.
type brokerHost struct {
	Host
	deputy bool
}

func (b brokerHost) id() share.BrokerID { return share.BrokerID{Host: b.ID, Deputy: b.deputy} }

// brokerMembership tracks which broker grants tokens to this host.
type brokerMembership struct {
	joinMu sync.Mutex // held while the membership changes, including the report to the broker

	mu           sync.Mutex
	member       share.Membership
	broker       *brokerHost // nil while the host uses its equal share
	unresponsive bool        // the broker did not answer the last report
}

// current returns the broker, or nil.
func (membership *brokerMembership) current() *brokerHost {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.broker
}

// isResponsive reports whether b is this host's broker and answered the last report.
func (membership *brokerMembership) isResponsive(b brokerHost) bool {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.broker != nil && membership.broker.id() == b.id() && !membership.unresponsive
}

// join records that a report makes this host a member of the broker. It fails if another broker may still count this
// host.
func (membership *brokerMembership) join(now time.Time, b brokerHost) bool {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	return membership.member.Join(now, b.id())
}

// recordReply records the outcome of a member's report and reports whether the broker has changed.
func (membership *brokerMembership) recordReply(b brokerHost, err error) (changed bool) {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if membership.unresponsive = err != nil; membership.unresponsive {
		return false
	}
	changed = membership.broker == nil || membership.broker.id() != b.id()
	membership.broker = &b
	return changed
}

// drop ends the use of the broker and reports whether it was in use. If ended is true, the broker no longer counts
// this host.
func (membership *brokerMembership) drop(b brokerHost, ended bool) bool {
	membership.mu.Lock()
	defer membership.mu.Unlock()
	if ended {
		membership.member.Leave(b.id())
	}
	if membership.broker == nil || membership.broker.id() != b.id() {
		return false
	}
	membership.broker = nil
	return true
}

// dropBroker stops using a broker. A broker that has not ended may still count this host for a while, so the host
// falls back to its equal share only once the last reply is old enough.
func (a *Agent) dropBroker(b brokerHost, ended bool) {
	if !a.membership.drop(b, ended) {
		return
	}
	if ended {
		a.Server.BrokerStopped()
	}
	a.Log.Info("rate: broker not in use", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy),
		zap.Bool("gone", ended))
}

// leaveBroker notifies a broker that this host uses its equal share from now on.
func (a *Agent) leaveBroker(b brokerHost) {
	_, err := a.reportMembership(b, false)
	a.dropBroker(b, err == nil || provesBrokerEnded(err))
}

// dropBrokerIfEnded drops a broker if the error proves that it no longer grants tokens.
func (a *Agent) dropBrokerIfEnded(b brokerHost, err error) {
	if provesBrokerEnded(err) {
		a.dropBroker(b, true)
	}
}

// provesBrokerEnded reports whether an error proves that a broker has ended: its process is gone, or it is not the
// leader.
func provesBrokerEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err != nil && err.Error() == errNotLeader.Error()
}

// takeTokens requests tokens of a workspace from the broker.
func (a *Agent) takeTokens(workspace model.Workspace, n float64) (float64, time.Duration, error) {
	b := a.membership.current()
	if b == nil {
		return 0, 0, errNoLeader
	}
	request := TokenRequest{Workspace: workspace, Tokens: n, Deputy: b.deputy}
	var reply TokenReply
	var err error
	if a.poolsTokens() && !b.deputy {
		reply, err = a.takePooled(b.Host, request)
	} else {
		reply, err = a.requestTokens(b.Host, request, a.Server.AddTokens)
	}
	a.dropBrokerIfEnded(*b, err)
	return reply.Granted, reply.Wait, err
}

// brokerChanging reports whether this host has no broker that answers, but had one until a short time ago, so that it soon
// has one again.
func (a *Agent) brokerChanging(requestFailed bool) bool {
	b := a.membership.current()
	if !requestFailed && b != nil && a.membership.isResponsive(*b) {
		return false
	}
	return elapsedSince(&a.lastBrokerReply) < brokerChangeTime
}

// requestTokens sends a token request to a host, and repeats it on another connection after tokenHedgeDelay without a
// reply: a lost packet is retransmitted only after 200 ms, and a connection can be silent while others work. addLate gets
// the tokens of replies that arrive after the first one or after tokenTimeout, up to lateTokenTimeout.
func (a *Agent) requestTokens(h Host, request TokenRequest, addLate func(model.Workspace, float64)) (TokenReply, error) {
	if h.ID == a.Self.ID {
		var reply TokenReply
		err := (&Peer{a}).Take(request, &reply)
		return reply, err
	}
	type result struct {
		reply TokenReply
		err   error
	}
	results, answered := make(chan result), make(chan struct{})
	defer close(answered)
	send := func(clients *peerClients, closeSilent bool) {
		var r result
		var client *rpccodec.Client
		client, r.err = clients.callKeepConn(h, "Peer.Take", request, &r.reply, lateTokenTimeout)
		if closeSilent && errors.Is(r.err, errTimeout) {
			clients.closeClient(h.Address, client)
		}
		select {
		case results <- r:
		case <-answered:
			if r.err == nil && r.reply.Granted > 0 {
				addLate(request.Workspace, r.reply.Granted)
			}
		}
	}
	go send(a.controlClients, true)
	hedge, timeout := time.NewTimer(tokenHedgeDelay), time.NewTimer(tokenTimeout)
	defer hedge.Stop()
	defer timeout.Stop()
	for pending := 1; ; {
		select {
		case r := <-results:
			if pending--; r.err == nil || pending == 0 {
				return r.reply, r.err
			}
		case <-hedge.C:
			pending++
			go send(a.statementClients, false)
		case <-timeout.C:
			return TokenReply{}, errTimeout
		}
	}
}

// reportLoop reports to the leader at intervals.
func (a *Agent) reportLoop(ctx context.Context) {
	dep := dependencyLogger{log: a.Log, name: "leader"}
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		err := a.reportToLeader(ctx)
		dep.observe(err)
		a.leaderUnreachable.Store(err != nil)
		if elapsedSince(&a.lastRelay) > candidateSyncDelay && !a.followsStore() {
			go a.syncWithCandidate(ctx) // neither the leader nor a deputy relays a fresh state
		}
	}
}

func (a *Agent) reportToLeader(ctx context.Context) error {
	leader, ok := a.view.Load().leaderHost()
	if !ok {
		if b := a.membership.current(); b != nil && !b.deputy {
			a.leaveBroker(*b)
		}
		return errNoLeader
	}
	b := brokerHost{Host: leader}
	if a.membership.isResponsive(b) && !a.Server.Standalone() {
		return a.reportAsMember(ctx, b)
	}
	// Report with the equal share first, so that only a broker that answers is joined.
	sent, request := boottime.Now(), a.newReport(false)
	reply, err := a.sendReport(b, request)
	if err != nil {
		a.dropBrokerIfEnded(b, err)
		return err
	}
	a.applySyncResult(ctx, leader, sent, request.Revisions, reply)
	a.leaderUnreachable.Store(false)
	a.joinBroker(ctx, b)
	return nil
}

// joinBroker makes this host a member of a broker that has answered, after leaving any previous broker.
func (a *Agent) joinBroker(ctx context.Context, b brokerHost) {
	a.membership.joinMu.Lock()
	defer a.membership.joinMu.Unlock()
	if b.deputy && !a.leaderUnreachable.Load() {
		return // the leader has become reachable in the meantime
	}
	if old := a.membership.current(); old != nil && old.id() != b.id() {
		a.leaveBroker(*old)
	}
	if err := a.reportAsMember(ctx, b); err != nil {
		a.Log.Info("rate: broker not joined", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy),
			zap.Error(err))
	}
}

// reportAsMember reports to a broker as a member. From then on this host uses only its fixed share.
func (a *Agent) reportAsMember(ctx context.Context, b brokerHost) error {
	sent := boottime.Now()
	if !a.membership.join(sent, b) {
		return errCountedElsewhere
	}
	request := a.newReport(true)
	if !a.membership.isResponsive(b) {
		request.Deposit = a.Server.JoinBroker(sent) // the broker may grant the remainder as soon as it has the report
	}
	reply, err := a.sendReport(b, request)
	changed := a.membership.recordReply(b, err)
	if err != nil {
		a.dropBrokerIfEnded(b, err)
		return err
	}
	a.lastBrokerReply.Store(boottime.Now().UnixNano())
	a.Server.BrokerAnswered(sent)
	if changed {
		a.Log.Info("rate: broker in use", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy))
	}
	a.applySyncResult(ctx, b.Host, sent, request.Revisions, reply)
	return nil
}

// reportMembership reports to a broker, either as a member or as a host that uses its equal share.
func (a *Agent) reportMembership(b brokerHost, member bool) (syncResult, error) {
	return a.sendReport(b, a.newReport(member))
}

func (a *Agent) newReport(member bool) ReportRequest {
	return ReportRequest{Host: a.Self.ID, Standalone: !member, Revisions: a.knownRevisions()}
}

// deputyLoop syncs with other hosts while the leader is unreachable, and uses one of them as a deputy broker.
func (a *Agent) deputyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		b := a.membership.current()
		usesDeputy := b != nil && b.deputy
		if usesDeputy {
			sleep(ctx, reportInterval)
		} else {
			sleep(ctx, relayCheckInterval)
		}
		if !a.leaderUnreachable.Load() || !usesDeputy && a.expectsNextLeader() {
			continue
		}
		b = a.membership.current()
		if b != nil && (!a.membership.isResponsive(*b) || a.Server.Standalone()) {
			a.dropBroker(*b, false)
		}
		if b = a.membership.current(); b == nil || !b.deputy {
			if b = a.findDeputy(ctx); b == nil {
				continue
			}
		}
		a.joinBroker(ctx, *b)
	}
}

// expectsNextLeader reports whether this host should rather serve without a broker until the next leader than use a deputy.
func (a *Agent) expectsNextLeader() bool {
	return a.Server.ServesWithoutBroker() && elapsedSince(&a.lastBrokerReply) < nextLeaderTime
}

// syncWithCandidate syncs with one of the hosts that follow the store while there is no leader.
func (a *Agent) syncWithCandidate(ctx context.Context) {
	hosts := slices.DeleteFunc(a.candidateHosts(), func(h Host) bool { return h.ID == a.Self.ID })
	if len(hosts) > 0 {
		a.syncWith(ctx, hosts[rand.IntN(len(hosts))], a.knownRevisions())
	}
}

// syncWith fetches the store changes that a host has seen since the given revisions, and reports whether it answered.
func (a *Agent) syncWith(ctx context.Context, h Host, since map[string]uint64) bool {
	if b := a.membership.current(); b != nil && b.deputy && b.ID == h.ID {
		return true // syncs with each report to the broker
	}
	sent, request := boottime.Now(), a.newReport(false)
	request.Revisions = since
	reply, err := a.sendReport(brokerHost{h, true}, request)
	if err != nil {
		a.Log.Info("peer: sync failed", zap.String("peer", string(h.ID)), zap.Error(err))
		return false
	}
	a.applySyncResult(ctx, h, sent, since, reply)
	return true
}

// findDeputy queries the hosts of highest capacity and returns the first in that order that answers, or nil. It does not
// wait for all of them, because those on the other side of a partition do not answer.
func (a *Agent) findDeputy(ctx context.Context) *brokerHost {
	v := a.view.Load()
	hosts := v.largestHostsExcept(v.lastLeader(), maxDeputies)
	answers := make(chan int, len(hosts)) // index of the host that has answered, or -1
	for i, h := range hosts {
		go func() {
			if !a.syncWith(ctx, h, a.knownRevisions()) {
				i = -1
			}
			answers <- i
		}()
	}
	first := -1
	var ended <-chan time.Time
	for range hosts {
		select {
		case i := <-answers:
			if i >= 0 && (first < 0 || i < first) {
				first = i
			}
			if i >= 0 && ended == nil {
				ended = time.After(deputyAnswerTime)
			}
			continue
		case <-ended:
		}
		break
	}
	if first < 0 {
		return nil
	}
	return &brokerHost{hosts[first], true}
}
