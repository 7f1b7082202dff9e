package fleet

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/share"
)

// keyChange returns the event of a key that has been written.
func keyChange(key string, value []byte, revision uint64) metastore.Event {
	return metastore.Event{Item: metastore.Item{Key: key, Value: value, Revision: revision}}
}

// startPooledHosts starts a leader in one data centre and two hosts in another; the first of these is larger.
func startPooledHosts(t *testing.T) (leader, pool, host *controlHost) {
	t.Helper()
	s := newScaledFleet(30)
	hosts := []*controlHost{newControlHost(Host{ID: "leader", Incarnation: 1, DataCentre: "a", LinkMbps: 200}),
		newControlHost(Host{ID: "pool", Incarnation: 1, DataCentre: "b", LinkMbps: 200}),
		newControlHost(Host{ID: "host", Incarnation: 1, DataCentre: "b", LinkMbps: 10})}
	for _, h := range hosts {
		h.PoolTokens, h.tokenPool.timeout = true, 5*time.Second // also on a busy machine
		h.Self.Address = startPeer(t, h.Self.ID, map[string]any{"Peer": &Peer{h.Agent}}).Address
	}
	for _, h := range hosts {
		h.list(t, s, firstHostRevision-1)
		for i, other := range hosts {
			revision := uint64(firstHostRevision + 100 + i)
			h.change(t, controlPrefix, keyChange(hostPrefix+string(other.Self.ID), mustEncode(other.Self), revision))
		}
	}
	leader, pool, host = hosts[0], hosts[1], hosts[2]
	leader.lead()
	leader.leadership().broker = share.NewBroker(boottime.Now().Add(-time.Minute))
	for _, h := range hosts {
		leader.leadership().recordReport(ReportRequest{Host: h.Self.ID})
	}
	for _, h := range hosts[1:] {
		h.membership.recordReply(brokerHost{Host: leader.Self}, nil)
	}
	return leader, pool, host
}

// Guards against tokens that are used twice, or lost, because the host of a data centre takes them for the others: what
// the hosts get together is what the leader has granted.
func TestPooledTokens(t *testing.T) {
	const workspace = model.Workspace("workspace-0007")
	leader, pool, host := startPooledHosts(t)
	limit := leader.view.Load().catalog.Limits[workspace]
	got, started := 0.0, time.Now()
	for i := range 4 * int(limit.Burst) {
		granted, _, err := host.takeTokens(workspace, 2)
		if err != nil {
			t.Fatal(err)
		}
		got += granted
		if i%5 == 0 {
			pool.exchangeTokens(leader.Self)
		}
	}
	if host.tokenPool.failed != nil || pool.tokenPool.failed != nil {
		t.Error("a request failed")
	}
	elapsed := time.Since(started).Seconds()
	if got < limit.Burst-3 || got > limit.Burst+elapsed*limit.PerSecond {
		t.Errorf("%v tokens of a burst of %v", got, limit.Burst)
	}
	pool.tokenPool.mu.Lock()
	asked := pool.tokenPool.pool != nil && pool.tokenPool.broker == processOf(leader.Self)
	pool.tokenPool.mu.Unlock()
	if !asked {
		t.Error("the pool of the data centre was not asked")
	}
}

// Guards against operations that are refused because the pool of their data centre does not answer, has another broker, or
// because the leader is of an earlier version.
func TestPooledTokensWithoutPool(t *testing.T) {
	const workspace = model.Workspace("workspace-0007")
	for name, breakPool := range map[string]func(leader, pool *controlHost){
		"the pool has no broker":           func(l, pool *controlHost) { pool.membership.drop(brokerHost{Host: l.Self}, true) },
		"the pool is off":                  func(_, pool *controlHost) { pool.PoolTokens = false },
		"its tokens are of another broker": func(_, pool *controlHost) { pool.tokenPool.of(scaledHost(3)) },
	} {
		leader, pool, host := startPooledHosts(t)
		breakPool(leader, pool)
		if granted, _, err := host.takeTokens(workspace, 2); err != nil || granted == 0 {
			t.Errorf("%s: %v tokens, error %v", name, granted, err)
		}
	}
	_, _, host := startPooledHosts(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := Host{ID: "pool", Incarnation: 2, DataCentre: "b", LinkMbps: 200, Address: listener.Addr().String()}
	_ = listener.Close()
	host.change(t, controlPrefix, keyChange(hostPrefix+"pool", mustEncode(gone), firstHostRevision+200))
	for range 3 {
		if granted, _, err := host.takeTokens(workspace, 2); err != nil || granted == 0 {
			t.Errorf("without the pool: %v tokens, error %v", granted, err)
		}
	}
	if host.tokenPool.available("pool") {
		t.Error("a host that does not answer is asked again by the next operation")
	}
}

// olderBroker has only the method for single tokens.
type olderBroker struct{ taken int }

// Take grants all tokens.
func (b *olderBroker) Take(r TokenRequest, reply *TokenReply) error {
	b.taken++
	reply.Granted = r.Tokens
	return nil
}

// Guards against a rolling upgrade in which a pool gets no tokens from a leader of the version before.
func TestPoolWithOlderLeader(t *testing.T) {
	older := &olderBroker{}
	leader := startPeer(t, "leader", map[string]any{"Peer": older})
	leader.DataCentre = "a"
	pool := newControlHost(Host{ID: "pool", DataCentre: "b"})
	pool.PoolTokens = true
	pool.membership.recordReply(brokerHost{Host: leader}, nil)
	pool.change(t, controlPrefix, keyChange(hostPrefix+"pool", mustEncode(pool.Self), firstHostRevision))
	for i := range 5 {
		if granted, _, err := pool.takeTokens(model.Workspace(fmt.Sprint(i)), 2); err != nil || granted == 0 {
			t.Errorf("%v tokens, error %v", granted, err)
		}
		pool.exchangeTokens(leader)
	}
	if older.taken != 5 {
		t.Errorf("%d requests", older.taken)
	}
}

// Guards against the loss of the pooled tokens of a new leader when a reply of the previous one arrives late.
func TestLateReplyOfPreviousLeader(t *testing.T) {
	previous, current := Host{ID: "a", Incarnation: 1}, Host{ID: "b", Incarnation: 1}
	p := new(tokenPool)
	p.of(previous)
	p.of(current).Add(boottime.Now(), "w", 5)
	p.add(previous, "w", 3)
	if got := p.of(current).Take(boottime.Now(), "w", 5); got != 5 {
		t.Errorf("the pool holds %v tokens of the current leader, want 5", got)
	}
}
