package fleet

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/clientlimit"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
	"github.com/waxwingspindle/waxwingspindle/share"
	"github.com/waxwingspindle/waxwingspindle/socket"
)

var (
	errNoLeader         = errors.New("no leader is known")
	errNotLeader        = errors.New("this host is not the leader")
	errTimeout          = errors.New("the peer did not answer in time")
	errUnreachable      = errors.New("the peer is unreachable")
	errUnknownHost      = errors.New("the host is not registered")
	errNoSuccessor      = errors.New("this host cannot lead")
	errCountedElsewhere = errors.New("another broker may count this host still")
	errStoreSilent      = errors.New("this host does not hear the store")
	errOtherIncarnation = errors.New("this host has another incarnation")
	errLaterDecision    = errors.New("this host knows a later decision")
	errEarlierTerm      = errors.New("the leader's term has ended with an earlier era of the store")
	errEventsQueued     = errors.New("too many events wait at this host")
)

// tokenTimeout bounds a token request to the broker. A caller waits for the reply, which takes some milliseconds.
const tokenTimeout = 120 * time.Millisecond

// successionTimeout bounds a succession offer, which takes two calls of the store.
const successionTimeout = 500 * time.Millisecond

// registerTimeout bounds a registration through another host, which takes four calls of the store.
const registerTimeout = 1500 * time.Millisecond

// reportTimeout bounds a report. The leader replies without blocking. It allows for the retransmission of one lost packet.
const reportTimeout = 300 * time.Millisecond

// peerDialTimeout bounds the connection setup to another host, which takes a few milliseconds.
const peerDialTimeout = 300 * time.Millisecond

// unusedPeerTimeout is the time after which a host that does not lead closes a control connection which it has not used.
// After a start each host has connections to the seeds and to the host that has sent it the configuration; each costs the
// other end 20 KB, and four packets a second to keep it alive.
const unusedPeerTimeout = 10 * time.Second

// dialError reports that no connection could be established, so the request was not sent.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }

// peerClients keeps one RPC connection to each host.
type peerClients struct {
	mu       sync.Mutex
	clients  map[string]*rpccodec.Client
	lastUsed map[string]time.Time // of the clients
	limits   rpccodec.Limits      // of the responses
	// counter returns the function that counts the bytes sent to an address; may be nil.
	counter func(address string) func(method string, size int)
	connect func(address string) (net.Conn, error)
}

func newPeerClients() *peerClients {
	return &peerClients{clients: map[string]*rpccodec.Client{}, lastUsed: map[string]time.Time{}, connect: connectToPeer}
}

// connectToPeer opens a connection to another host. A connection is closed with calls pending only when they are given up.
func connectToPeer(address string) (net.Conn, error) {
	return socket.DialResetting(context.Background(), address, peerDialTimeout)
}

// closeIdle closes the connections that were not used within unusedPeerTimeout, which is longer than any call over them
// lasts.
func (p *peerClients) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		if now.Sub(p.lastUsed[address]) > unusedPeerTimeout {
			delete(p.clients, address)
			_ = client.Close() // fails only if it is closed already
		}
	}
	maps.DeleteFunc(p.lastUsed, func(address string, _ time.Time) bool { return p.clients[address] == nil })
}

// call calls a method that replies without blocking. The connection is closed on a timeout.
func (p *peerClients) call(h Host, method string, args, reply any, timeout time.Duration) error {
	client, err := p.callKeepConn(h, method, args, reply, timeout)
	if errors.Is(err, errTimeout) {
		p.closeClient(h.Address, client)
	}
	return err
}

// callHost calls a method of a host, which may be this one.
func callHost[Q, R any](a *Agent, h Host, name string, method func(*Peer, Q, *R) error, request Q, reply *R,
	timeout time.Duration) error {
	if h.ID == a.Self.ID {
		return method(&Peer{a}, request, reply)
	}
	return a.controlClients.call(h, name, request, reply, timeout)
}

// callKeepConn calls a method and waits for its reply, but keeps the connection on a timeout: a method that waits for
// a target proves nothing about the connection. It also returns the client used, so that the caller can close it.
func (p *peerClients) callKeepConn(h Host, method string, args, reply any, timeout time.Duration) (*rpccodec.Client, error) {
	return p.callUnlessUnreachable(h, method, args, reply, timeout, nil)
}

// callUnlessUnreachable is callKeepConn, but after suspectAfter without a reply it calls startProbe, if that is not nil,
// and fails with errUnreachable when the channel that startProbe returned is closed.
func (p *peerClients) callUnlessUnreachable(h Host, method string, args, reply any, timeout time.Duration,
	startProbe func() <-chan struct{}) (*rpccodec.Client, error) {
	client, err := p.client(h.Address)
	if err != nil {
		return nil, err
	}
	err = awaitReply(client, method, args, reply, timeout, startProbe)
	var refused rpc.ServerError
	if err != nil && !errors.Is(err, errTimeout) && !errors.Is(err, errUnreachable) && !errors.As(err, &refused) {
		p.closeClient(h.Address, client)
	}
	return client, err
}

func awaitReply(client *rpccodec.Client, method string, args, reply any, timeout time.Duration,
	startProbe func() <-chan struct{}) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer, suspect := time.NewTimer(timeout), time.NewTimer(suspectAfter)
	defer timer.Stop()
	defer suspect.Stop()
	var lost <-chan struct{}
	for {
		select {
		case <-call.Done:
			return call.Error
		case <-suspect.C:
			if startProbe != nil {
				lost = startProbe()
			}
		case <-lost:
			return errUnreachable
		case <-timer.C:
			return errTimeout
		}
	}
}

func (p *peerClients) client(address string) (*rpccodec.Client, error) {
	if client := p.openClient(address); client != nil {
		return client, nil
	}
	client, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil && !other.Ended() {
		_ = client.Close() // another goroutine has connected first
		return other, nil
	}
	p.clients[address], p.lastUsed[address] = client, boottime.Now()
	return client, nil
}

// openClient returns the client for an address, or nil if there is none whose connection is open. A call over one that has
// ended, for example because the host was restarted, would fail as if it might have run.
func (p *peerClients) openClient(address string) *rpccodec.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	p.lastUsed[address] = boottime.Now()
	if client != nil && client.Ended() {
		delete(p.clients, address)
		_ = client.Close() // fails only if it is closed already
		return nil
	}
	return client
}

func (p *peerClients) dial(address string) (*rpccodec.Client, error) {
	conn, err := p.connect(address)
	if err != nil {
		return nil, &dialError{err}
	}
	limits := p.limits
	if p.counter != nil {
		limits.Written = p.counter(address)
	}
	return rpccodec.NewClientWithLimits(conn, limits), nil
}

// reconnect replaces the connection to a host by a new one that has answered a ping. Calls pending on the old
// connection fail.
func (p *peerClients) reconnect(h Host, timeout time.Duration) error {
	client, err := p.dial(h.Address)
	if err != nil {
		return err
	}
	if err := awaitReply(client, "Peer.Ping", struct{}{}, &struct{}{}, timeout, nil); err != nil {
		_ = client.Close()
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.clients[h.Address]; old != nil {
		_ = old.Close()
	}
	p.clients[h.Address] = client
	return nil
}

func (p *peerClients) closeClient(address string, client *rpccodec.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close() // may be closed already
}

// RenewRequest asks the leader to renew a lease.
type RenewRequest struct{ Lease metastore.Lease }

// ReportRequest is the periodic report of a host to the leader, or to a deputy broker.
type ReportRequest struct {
	Host         model.HostID
	Standalone   bool // the host uses its equal share of the rate limits
	Observations map[model.Service]primacy.Observation
	Revisions    map[string]uint64           // revisions of the last observed store changes, by prefix
	Deposit      map[model.Workspace]float64 // tokens handed over by a host that joins the broker
}

// SyncReply carries the store changes that the requesting host has not seen.
type SyncReply struct {
	Changes  map[string]PrefixState
	TooLarge bool // the changes are not included; use Fetch
	Fresh    bool // the replying host follows the store and has received a reply from it recently
}

// FenceRequest asks a host to put a document into effect.
type FenceRequest struct {
	Incarnation model.Incarnation // expected incarnation of the receiving host
	Document    primacy.Document
}

// Peer is the RPC service for other hosts.
type Peer struct{ agent *Agent }

// ServePeers serves other hosts until the listener is closed.
func (a *Agent) ServePeers(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Peer{a}); err != nil {
		return err
	}
	go a.acceptPeers(listener, server)
	return nil
}

func (a *Agent) acceptPeers(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.Log.Warn("peer: accept failed", zap.Error(err))
			time.Sleep(retryInterval)
			continue
		}
		link, admitted := a.Registry.Admit(clientlimit.Link, conn)
		if !admitted {
			_ = conn.Close() // the other host learns it from the end of the connection
			continue
		}
		go func() {
			defer link.Leave()
			limits := a.LinkLimits
			limits.Client, limits.Sent = link, a.releaseReply
			limits.Written = a.countSent(conn.RemoteAddr().String())
			rpccodec.ServeWithLimits(server, conn, &a.forwardCounter, limits)
		}()
	}
}

// holdReply counts the memory of an answer until it has been sent to the host that asked.
func (a *Agent) holdReply(reply *frontend.ForwardReply) { a.Registry.Hold(reply.Answer.HeldBytes()) }

// releaseReply releases what holdReply counted, after the response has been sent or lost.
func (a *Agent) releaseReply(body any) {
	switch reply := body.(type) {
	case *frontend.ForwardReply:
		a.Registry.Release(reply.Answer.HeldBytes())
	case *RunOnReply:
		a.Registry.Release(reply.Reply.Answer.HeldBytes())
	}
}

// RunningForwards returns the number of statements of other hosts that have not been answered yet.
func (a *Agent) RunningForwards() int { return a.forwardCounter.Running() }

// Renew renews a lease on behalf of a host that the store rejects.
func (p *Peer) Renew(r RenewRequest, _ *struct{}) error {
	return p.agent.renewLease(context.Background(), r.Lease)
}

// Fence puts a document into effect. Once it returns nil, this host no longer uses the primary of an older document.
func (p *Peer) Fence(r FenceRequest, _ *struct{}) error {
	a := p.agent
	if r.Incarnation != a.Self.Incarnation {
		return errOtherIncarnation
	}
	a.Server.ApplyPrimaryDocument(r.Document)
	if a.Server.DecisionEpoch(r.Document.Service) > r.Document.Epoch {
		return errLaterDecision // which may have opened the primary again
	}
	a.registrationMu.Lock()
	a.fencedByLeader[r.Document.Service] = max(a.fencedByLeader[r.Document.Service], r.Document.Epoch)
	a.registrationMu.Unlock()
	select {
	case a.events <- func(c *control) { c.setDocument(r.Document) }:
		return nil
	default:
		return errEventsQueued // the leader asks again
	}
}

// EraFenceRequest is a FenceRequest with the era in which the leader's term began.
type EraFenceRequest struct {
	Era   uint64
	Fence FenceRequest
}

// FenceInEra is Fence, but does not confirm a decision of a leader whose term has ended with an earlier era. A host that has confirmed one
// knows it before it sees the next era, so that it is among the decisions which the next leader collects.
func (p *Peer) FenceInEra(r EraFenceRequest, reply *struct{}) error {
	if err := p.Fence(r.Fence, reply); err != nil {
		return err
	}
	if p.agent.storeEra.Load() > r.Era { // after the decision is known
		return errEarlierTerm
	}
	return nil
}

// Report processes a report and replies with the store changes that the host has not seen.
func (p *Peer) Report(r ReportRequest, reply *SyncReply) error {
	a := p.agent
	term := a.leadership()
	if term == nil {
		return errNotLeader
	}
	term.recordReport(r)
	*reply = a.syncReply(r.Revisions)
	return nil
}

// Sync serves a host that cannot reach the leader. Unless the host is standalone, its share of the rates is added to
// the deputy broker.
func (p *Peer) Sync(r ReportRequest, reply *SyncReply) error {
	p.agent.deputy.report(boottime.Now(), r, p.agent.view.Load())
	*reply = p.agent.syncReply(r.Revisions)
	return nil
}

// TokenRequest asks the broker for tokens of a workspace's limit.
type TokenRequest struct {
	Workspace model.Workspace
	Tokens    float64
	Deputy    bool // addressed to the deputy broker
}

// TokenReply is the reply to a TokenRequest.
type TokenReply struct {
	Granted float64
	Wait    time.Duration
}

// Take grants tokens of a workspace's limit.
func (p *Peer) Take(r TokenRequest, reply *TokenReply) error {
	if r.Deputy {
		*reply = p.agent.deputy.take(boottime.Now(), r)
		return nil
	}
	term := p.agent.leadership()
	if term == nil {
		return errNotLeader
	}
	leaderReply, successor := term.takeTokens(r)
	if successor != nil {
		return p.agent.controlClients.call(*successor, "Peer.Take", r, reply, tokenTimeout)
	}
	*reply = leaderReply
	return nil
}

// SuccessionRequest is the offer of a resigning leader.
type SuccessionRequest struct {
	Fence  uint64 // revision of the leader's key
	Broker share.BrokerState
}

// Succeed asks this host to become the leader. Once it returns nil, the store names this host as the leader.
func (p *Peer) Succeed(r SuccessionRequest, _ *struct{}) error {
	result := make(chan error, 1)
	select {
	case p.agent.successions <- successionOffer{r, result}:
		return <-result
	default:
		return errNoSuccessor
	}
}
