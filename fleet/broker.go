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
	"github.com/waxwingspindle/waxwingspindle/share"
)

// deputies is the number of hosts that may stand in for a leader which other hosts do not reach. They are asked at the same
// time; with six there usually is one on each side of a partition.
const deputies = 6

// deputy divides the parts of hosts that reach this host, but not the leader.
type deputy struct {
	mu     sync.Mutex
	broker *share.Broker // nil while no host is a member
}

// report takes the report of a host.
func (d *deputy) report(now time.Time, r ReportRequest, v *view) {
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

// take hands out tokens of the members' parts.
func (d *deputy) take(now time.Time, r TokenRequest) TokenReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.broker == nil {
		return TokenReply{Wait: replaceInterval}
	}
	granted, wait := d.broker.Take(now, r.Workspace, r.Tokens)
	return TokenReply{granted, wait}
}

// brokerHost is a host that divides the rates.
type brokerHost struct {
	Host
	deputy bool
}

func (b brokerHost) id() share.BrokerID { return share.BrokerID{Host: b.ID, Deputy: b.deputy} }

// membership is this host's relation to the broker that it takes tokens from.
type membership struct {
	joining sync.Mutex // held while the membership changes; a report to the broker is a part of that

	mu      sync.Mutex
	member  share.Membership
	broker  *brokerHost // nil while the host uses its equal part
	doubted bool        // the broker did not answer the last report
}

// current returns the broker, or nil.
func (m *membership) current() *brokerHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broker
}

// trusts reports whether the host takes its tokens from the broker, which has answered the last report.
func (m *membership) trusts(b brokerHost) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broker != nil && m.broker.id() == b.id() && !m.doubted
}

// enter records that a report makes this host a member of the broker, if no other one may count it still.
func (m *membership) enter(now time.Time, b brokerHost) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member.Join(now, b.id())
}

// answered records whether the broker has answered a member's report, and reports whether it is a new one.
func (m *membership) answered(b brokerHost, err error) (news bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.doubted = err != nil; m.doubted {
		return false
	}
	news = m.broker == nil || m.broker.id() != b.id()
	m.broker = &b
	return news
}

// stop stops to use the broker, and reports whether the host used it. After gone, the broker counts this host no more.
func (m *membership) stop(b brokerHost, gone bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if gone {
		m.member.Leave(b.id())
	}
	if m.broker == nil || m.broker.id() != b.id() {
		return false
	}
	m.broker = nil
	return true
}

// stopUsing ends the use of a broker. Unless it has gone it may count this host for a while, which uses its equal part only
// when the last answer is old enough.
func (a *Agent) stopUsing(b brokerHost, gone bool) {
	if !a.membership.stop(b, gone) {
		return
	}
	if gone {
		a.Server.BrokerStopped()
	}
	a.Log.Info("rate: broker not in use", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy), zap.Bool("gone", gone))
}

// leave tells a broker that this host uses its equal part from now on.
func (a *Agent) leave(b brokerHost) {
	_, err := a.send(b, false)
	a.stopUsing(b, err == nil || provesGone(err))
}

// noteBrokerGone stops to rely on a broker if an error proves that it hands out nothing any more.
func (a *Agent) noteBrokerGone(b brokerHost, err error) {
	if provesGone(err) {
		a.stopUsing(b, true)
	}
}

// provesGone reports whether an error proves that a broker has ended: its process has, or says that it does not lead.
func provesGone(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err != nil && err.Error() == errNotLeader.Error()
}

// takeTokens takes tokens from the broker.
func (a *Agent) takeTokens(workspace model.Workspace, n float64) (float64, time.Duration, error) {
	b := a.membership.current()
	if b == nil {
		return 0, 0, errNoLeader
	}
	request, answer := TokenRequest{Workspace: workspace, Tokens: n, Deputy: b.deputy}, TokenReply{}
	err := ask(a, b.Host, "Peer.Take", (*Peer).Take, request, &answer, tokenTimeout)
	a.noteBrokerGone(*b, err)
	return answer.Granted, answer.Wait, err
}

// reportLoop reports to the leader.
func (a *Agent) reportLoop(ctx context.Context) {
	dep := dependency{log: a.Log, name: "leader"}
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		err := a.reportToLeader(ctx)
		dep.observe(err)
		a.leaderLost.Store(err != nil)
		if since(&a.relayHeard) > askSilence && !a.followsStore() {
			go a.askCandidate(ctx) // the leader or the deputy does not hear the store
		}
	}
}

func (a *Agent) reportToLeader(ctx context.Context) error {
	leader, ok := a.view.Load().leaderHost()
	if !ok {
		if b := a.membership.current(); b != nil && !b.deputy {
			a.leave(*b)
		}
		return errNoLeader
	}
	b := brokerHost{Host: leader}
	if a.membership.trusts(b) && !a.Server.Standalone() {
		return a.reportAsMember(ctx, b)
	}
	// A report that this host uses its own part comes first, so that only a broker that answers becomes its broker.
	sent, request := boottime.Now(), a.request(false)
	answer, err := a.report(b, request)
	if err != nil {
		a.noteBrokerGone(b, err)
		return err
	}
	a.adopt(ctx, leader, sent, request.Revisions, answer)
	a.leaderLost.Store(false)
	a.join(ctx, b)
	return nil
}

// join makes this host a member of a broker that has answered, once no other one counts it.
func (a *Agent) join(ctx context.Context, b brokerHost) {
	a.membership.joining.Lock()
	defer a.membership.joining.Unlock()
	if b.deputy && !a.leaderLost.Load() {
		return // the leader was reached meanwhile
	}
	if old := a.membership.current(); old != nil && old.id() != b.id() {
		a.leave(*old)
	}
	if err := a.reportAsMember(ctx, b); err != nil {
		a.Log.Info("rate: broker not joined", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy), zap.Error(err))
	}
}

// reportAsMember lets a broker count this host, which uses only its fixed part from then on.
func (a *Agent) reportAsMember(ctx context.Context, b brokerHost) error {
	sent := boottime.Now()
	if !a.membership.enter(sent, b) {
		return errOtherBroker
	}
	request := a.request(true)
	if !a.membership.trusts(b) {
		request.Deposit = a.Server.JoinBroker(sent) // the broker hands out the rest as soon as it has the report
	}
	answer, err := a.report(b, request)
	news := a.membership.answered(b, err)
	if err != nil {
		a.noteBrokerGone(b, err)
		return err
	}
	a.Server.BrokerAnswered(sent)
	if news {
		a.Log.Info("rate: broker in use", zap.String("broker", string(b.ID)), zap.Bool("deputy", b.deputy))
	}
	a.adopt(ctx, b.Host, sent, request.Revisions, answer)
	return nil
}

// send reports to a broker as a member, or as a host that uses its equal part.
func (a *Agent) send(b brokerHost, member bool) (SyncReply, error) {
	return a.report(b, a.request(member))
}

func (a *Agent) request(member bool) ReportRequest {
	return ReportRequest{Host: a.Self.ID, Standalone: !member, Revisions: a.revisions()}
}

func (a *Agent) report(b brokerHost, request ReportRequest) (answer SyncReply, err error) {
	if b.deputy {
		err = ask(a, b.Host, "Peer.Sync", (*Peer).Sync, request, &answer, reportTimeout)
		return answer, err
	}
	request.Observations = a.Server.PrimaryObservations()
	err = ask(a, b.Host, "Peer.Report", (*Peer).Report, request, &answer, reportTimeout)
	return answer, err
}

// deputyLoop asks other hosts what they have seen of the store while the leader is not reached, and takes tokens from one
// of them.
func (a *Agent) deputyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		if !a.leaderLost.Load() {
			continue
		}
		b := a.membership.current()
		if b != nil && (!a.membership.trusts(*b) || a.Server.Standalone()) {
			a.stopUsing(*b, false)
		}
		if b = a.membership.current(); b == nil || !b.deputy {
			if b = a.findDeputy(ctx); b == nil {
				continue
			}
		}
		a.join(ctx, *b)
	}
}

// askCandidate asks one of the hosts that follow the store without a leader what it has seen.
func (a *Agent) askCandidate(ctx context.Context) {
	hosts := slices.DeleteFunc(a.candidateHosts(), func(h Host) bool { return h.ID == a.Self.ID })
	if len(hosts) > 0 {
		a.syncWith(ctx, hosts[rand.IntN(len(hosts))], a.revisions())
	}
}

// syncWith asks a host what it has seen of the store since the known revisions, and reports whether it answered.
func (a *Agent) syncWith(ctx context.Context, h Host, known map[string]uint64) bool {
	if b := a.membership.current(); b != nil && b.deputy && b.ID == h.ID {
		return true // it is asked as the broker
	}
	sent, request := boottime.Now(), a.request(false)
	request.Revisions = known
	answer, err := a.report(brokerHost{h, true}, request)
	if err != nil {
		a.Log.Info("peer: no answer", zap.String("peer", string(h.ID)), zap.Error(err))
		return false
	}
	a.adopt(ctx, h, sent, known, answer)
	return true
}

// findDeputy returns the first of the hosts that can carry most which answers, or nil.
func (a *Agent) findDeputy(ctx context.Context) *brokerHost {
	hosts := a.view.Load().withoutLeader()
	hosts = hosts[:min(deputies, len(hosts))]
	answered := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() { answered[i] = a.syncWith(ctx, h, a.revisions()) })
	}
	wg.Wait()
	if first := slices.Index(answered, true); first >= 0 {
		return &brokerHost{hosts[first], true}
	}
	return nil
}
