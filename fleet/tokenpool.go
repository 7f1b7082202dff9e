package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/heartbeat"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/share"
)

const (
	// poolExchangeInterval is the interval at which a pool requests tokens from the broker and returns those that are left.
	poolExchangeInterval = 250 * time.Millisecond
	// poolTimeout bounds a request to the pool of the data centre, which takes a millisecond, or a round trip to the
	// broker more.
	poolTimeout = 60 * time.Millisecond
	// poolRetryInterval is the interval at which a host that has failed as a pool is pinged, so that no operation waits
	// for it.
	poolRetryInterval = time.Second
)

// errNoPool means that a host holds no tokens of the broker that the requesting host uses.
var errNoPool = errors.New("this host has no tokens of that broker")

// PoolTokenRequest asks the host that holds the tokens of a data centre for some of a workspace's limit.
type PoolTokenRequest struct {
	Broker      model.HostID // leader that has granted them
	Incarnation model.Incarnation
	Workspace   model.Workspace
	Tokens      float64
}

// PoolExchangeRequest asks the leader for tokens of several workspaces, and returns some.
type PoolExchangeRequest struct {
	Wanted, Returned map[model.Workspace]float64
}

// PoolExchangeReply is the reply to a PoolExchangeRequest.
type PoolExchangeReply struct {
	Granted map[model.Workspace]float64
}

// tokenPool is the pool of tokens for the hosts of this data centre.
type tokenPool struct {
	timeout time.Duration // of a request to another host's pool

	mu     sync.Mutex
	pool   *share.Pool
	broker heartbeat.Process     // that has granted its tokens
	failed map[model.HostID]bool // hosts that are not asked until they answer a ping
}

// of returns the pool of a broker's tokens. Tokens of an earlier broker are dropped. The caller holds mu.
func (t *tokenPool) of(broker Host) *share.Pool {
	if t.pool == nil || t.broker != processOf(broker) {
		t.pool, t.broker = share.NewPool(), processOf(broker)
	}
	return t.pool
}

// add adds tokens that a broker has granted, unless another one grants tokens by now. The caller holds t.mu.
func (t *tokenPool) add(broker Host, workspace model.Workspace, n float64) {
	if t.pool != nil && t.broker == processOf(broker) {
		t.pool.Add(boottime.Now(), workspace, n)
	}
}

// available reports whether another host can be asked.
func (t *tokenPool) available(id model.HostID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.failed[id]
}

// setFailed records whether another host cannot be asked, and reports whether that has changed.
func (t *tokenPool) setFailed(id model.HostID, failed bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if changed = t.failed[id] != failed; changed && failed {
		if t.failed == nil {
			t.failed = map[model.HostID]bool{}
		}
		t.failed[id] = true
	} else if changed {
		delete(t.failed, id)
	}
	return changed
}

// recordPoolFailure stops requests for pooled tokens to a host until it answers a ping.
func (a *Agent) recordPoolFailure(h Host, err error) {
	if !a.tokenPool.setFailed(h.ID, true) {
		return
	}
	a.Log.Info("rate: host does not pool tokens at the moment", zap.String("host", string(h.ID)), zap.Error(err))
	go func() {
		defer a.tokenPool.setFailed(h.ID, false)
		for registered := true; registered; {
			time.Sleep(poolRetryInterval)
			if err := a.controlClients.call(h, "Peer.Ping", struct{}{}, &struct{}{}, poolTimeout); err == nil {
				return
			}
			var current Host
			current, registered = a.view.Load().hosts[h.ID]
			registered = registered && current.Incarnation == h.Incarnation
		}
	}()
}

// poolsTokens reports whether the hosts of a data centre take tokens from one of them.
func (a *Agent) poolsTokens() bool {
	return a.PoolTokens || a.view.Load().routing.ByTarget && !a.NoPoolTokens
}

// poolHost returns the host that holds tokens for this data centre: its host of highest capacity.
func (a *Agent) poolHost() (Host, bool) {
	for _, h := range a.view.Load().hostsByCapacity() {
		if h.DataCentre == a.Self.DataCentre {
			return h, true
		}
	}
	return Host{}, false
}

// takePooled takes tokens granted by the leader, from the pool of this data centre if the leader is in another one. With
// pools a request covers no expected demand of this host, whose tokens would mostly expire.
func (a *Agent) takePooled(leader Host, request TokenRequest) (TokenReply, error) {
	request.Tokens = max(1, request.Tokens-1)
	if h, found := a.poolHost(); found && leader.DataCentre != a.Self.DataCentre {
		if h.ID == a.Self.ID {
			return a.takeFromPool(leader, request)
		}
		if a.tokenPool.available(h.ID) {
			reply := new(TokenReply)
			_, err := a.controlClients.callKeepConn(h, "Peer.TakePooled", PoolTokenRequest{leader.ID, leader.Incarnation,
				request.Workspace, request.Tokens}, reply, a.tokenPool.timeout)
			if err == nil {
				return *reply, nil
			}
			a.recordPoolFailure(h, err)
		}
	}
	return a.requestTokens(leader, request, a.Server.AddTokens)
}

// takeFromPool takes tokens from this host's pool, or if it holds none, from the leader.
func (a *Agent) takeFromPool(leader Host, request TokenRequest) (TokenReply, error) {
	t := &a.tokenPool
	t.mu.Lock()
	granted := t.of(leader).Take(boottime.Now(), request.Workspace, request.Tokens)
	t.mu.Unlock()
	if granted > 0 {
		return TokenReply{Granted: granted}, nil
	}
	return a.requestTokens(leader, request, func(workspace model.Workspace, n float64) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.add(leader, workspace, n)
	})
}

// TakePooled grants tokens from the pool of this host.
func (p *Peer) TakePooled(r PoolTokenRequest, reply *TokenReply) (err error) {
	a := p.agent
	b := a.membership.current()
	broker := heartbeat.Process{Host: r.Broker, Incarnation: r.Incarnation}
	if !a.poolsTokens() || b == nil || b.deputy || processOf(b.Host) != broker {
		return errNoPool
	}
	*reply, err = a.takeFromPool(b.Host, TokenRequest{Workspace: r.Workspace, Tokens: r.Tokens})
	return err
}

// ExchangeTokens grants tokens of several workspaces to the pool of a data centre, and takes back what it has not used.
func (p *Peer) ExchangeTokens(r PoolExchangeRequest, reply *PoolExchangeReply) error {
	term := p.agent.leadership()
	if term == nil {
		return errNotLeader
	}
	reply.Granted = map[model.Workspace]float64{}
	term.mu.Lock()
	defer term.mu.Unlock()
	now := boottime.Now()
	term.broker.Deposit(now, r.Returned)
	for workspace, n := range r.Wanted {
		if granted, _ := term.broker.Take(now, workspace, n); granted > 0 {
			reply.Granted[workspace] = granted
		}
	}
	return nil
}

// poolLoop exchanges the tokens of this host's pool with the leader.
func (a *Agent) poolLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, poolExchangeInterval)
		b := a.membership.current()
		if a.poolsTokens() && b != nil && !b.deputy && a.membership.isResponsive(*b) {
			a.exchangeTokens(b.Host)
		}
	}
}

// exchangeTokens requests and returns tokens of this host's pool. Those returned in a request that fails are lost, because the
// leader may have taken them back.
func (a *Agent) exchangeTokens(leader Host) {
	t := &a.tokenPool
	if !t.available(leader.ID) {
		return
	}
	t.mu.Lock()
	request := PoolExchangeRequest{}
	request.Wanted, request.Returned = t.of(leader).Exchange(boottime.Now())
	t.mu.Unlock()
	if len(request.Wanted) == 0 && len(request.Returned) == 0 {
		return
	}
	reply := new(PoolExchangeReply)
	if _, err := a.controlClients.callKeepConn(leader, "Peer.ExchangeTokens", request, reply, tokenTimeout); err != nil {
		a.recordPoolFailure(leader, err) // the leader may be of an earlier version; then tokens are taken one by one
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for workspace, n := range reply.Granted {
		t.add(leader, workspace, n)
	}
}
