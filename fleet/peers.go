package fleet

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
	"github.com/waxwingspindle/waxwingspindle/share"
	"github.com/waxwingspindle/waxwingspindle/socket"
)

var (
	errNoLeader    = errors.New("no leader is known")
	errNotLeader   = errors.New("this host is not the leader")
	errTimeout     = errors.New("the peer did not answer in time")
	errLost        = errors.New("the peer does not answer")
	errUnknownHost = errors.New("the host is not registered")
	errNoSuccessor = errors.New("this host cannot lead")
	errOtherBroker = errors.New("another broker may count this host still")
	errStoreSilent = errors.New("this host does not hear the store")
	errStarted     = errors.New("this host has another incarnation")
)

// tokenTimeout bounds a question to the broker; its caller waits, and an answer takes some milliseconds.
const tokenTimeout = 60 * time.Millisecond

// successionTimeout bounds the offer to lead; it takes two calls of the store.
const successionTimeout = 500 * time.Millisecond

// enterTimeout bounds a registration through another host, which takes four calls of the store.
const enterTimeout = 1500 * time.Millisecond

// reportTimeout bounds a report; the leader answers at once.
const reportTimeout = 500 * time.Millisecond

// peerDialTimeout bounds the opening of a connection to another host, which takes a few milliseconds.
const peerDialTimeout = 300 * time.Millisecond

// dialError means that no connection could be opened, so nothing was sent.
type dialError struct{ error }

func (e *dialError) Unwrap() error { return e.error }

// peers keeps a connection to each host that was called.
type peers struct {
	mu      sync.Mutex
	clients map[string]*rpc.Client
}

func newPeers() *peers { return &peers{clients: map[string]*rpc.Client{}} }

// call calls a method of another host that answers at once. A connection that gave no answer in time is closed.
func (p *peers) call(h Host, method string, args, reply any, timeout time.Duration) error {
	client, err := p.start(h, method, args, reply, timeout)
	if errors.Is(err, errTimeout) {
		p.drop(h.Address, client)
	}
	return err
}

// ask calls a method of a host that may be this one.
func ask[Q, R any](a *Agent, h Host, name string, method func(*Peer, Q, *R) error, request Q, answer *R,
	timeout time.Duration) error {
	if h.ID == a.Self.ID {
		return method(&Peer{a}, request, answer)
	}
	return a.peers.call(h, name, request, answer, timeout)
}

// start calls a method of another host and waits for its answer. A method that waits for a target says nothing of the
// connection when it gives no answer in time.
func (p *peers) start(h Host, method string, args, reply any, timeout time.Duration) (*rpc.Client, error) {
	return p.startUnlessLost(h, method, args, reply, timeout, nil)
}

// startUnlessLost does the same, but after suspectAfter without an answer it calls inquire, and ends when the channel that it
// returns is closed.
func (p *peers) startUnlessLost(h Host, method string, args, reply any, timeout time.Duration,
	inquire func() <-chan struct{}) (*rpc.Client, error) {
	client, err := p.client(h.Address)
	if err != nil {
		return nil, err
	}
	err = await(client, method, args, reply, timeout, inquire)
	var refused rpc.ServerError
	if err != nil && !errors.Is(err, errTimeout) && !errors.Is(err, errLost) && !errors.As(err, &refused) {
		p.drop(h.Address, client)
	}
	return client, err
}

func await(client *rpc.Client, method string, args, reply any, timeout time.Duration, inquire func() <-chan struct{}) error {
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
			if inquire != nil {
				lost = inquire()
			}
		case <-lost:
			return errLost
		case <-timer.C:
			return errTimeout
		}
	}
}

func (p *peers) client(address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	client, err := dial(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.clients[address]; other != nil {
		_ = client.Close() // another goroutine was faster
		return other, nil
	}
	p.clients[address] = client
	return client, nil
}

func dial(address string) (*rpc.Client, error) {
	conn, err := socket.Dialer(peerDialTimeout).Dial("tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	return rpccodec.NewClient(conn), nil
}

// renew replaces the connection to a host by a new one that has answered. What waits on the old one ends.
func (p *peers) renew(h Host, timeout time.Duration) error {
	client, err := dial(h.Address)
	if err != nil {
		return err
	}
	if err := await(client, "Peer.Ping", struct{}{}, &struct{}{}, timeout, nil); err != nil {
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

func (p *peers) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close() // it may be closed already
}

// RenewRequest asks the leader to renew a lease.
type RenewRequest struct{ Lease metastore.Lease }

// ReportRequest is what a host tells the leader, or the deputy that stands in for it, at intervals.
type ReportRequest struct {
	Host         model.HostID
	Standalone   bool // the host uses its equal part of the rates
	Observations map[model.Service]primacy.Observation
	Revisions    map[string]uint64           // last changes of the store that the host knows, by prefix
	Deposit      map[model.Workspace]float64 // tokens of a host that becomes a member of the broker
}

// SyncAnswer brings a host what it has not seen of the store.
type SyncReply struct {
	Changes  map[string]PrefixState
	TooLarge bool // there is more than fits here; Fetch returns it
	Fresh    bool // the host follows the store and has heard it lately
}

// FenceRequest asks a host to put a decision in force.
type FenceRequest struct {
	Incarnation model.Incarnation // of the host that is asked
	Document    primacy.Document
}

// Peer is the service for other hosts.
type Peer struct{ agent *Agent }

// ServePeers serves other hosts until the listener is closed.
func (a *Agent) ServePeers(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &Peer{a}); err != nil {
		return err
	}
	go a.acceptPeers(l, server)
	return nil
}

func (a *Agent) acceptPeers(l net.Listener, server *rpc.Server) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.Log.Warn("peer: accept failed", zap.Error(err))
			time.Sleep(retryInterval)
			continue
		}
		go rpccodec.Serve(server, conn)
	}
}

// Renew renews a lease for a host that the store turns away.
func (p *Peer) Renew(r RenewRequest, _ *struct{}) error {
	return p.agent.renew(context.Background(), r.Lease)
}

// Fence puts a decision in force. When it returns nil, this host uses no older one.
func (p *Peer) Fence(r FenceRequest, _ *struct{}) error {
	a := p.agent
	if r.Incarnation != a.Self.Incarnation {
		return errStarted
	}
	a.Server.ApplyPrimaryDocument(r.Document)
	a.confirmMu.Lock()
	a.told[r.Document.Service] = max(a.told[r.Document.Service], r.Document.Epoch)
	a.confirmMu.Unlock()
	select {
	case a.events <- func(c *control) { c.takeDocument(r.Document) }:
	default: // the watch brings it as well
	}
	return nil
}

// Report takes a report and answers with what the host lacks.
func (p *Peer) Report(r ReportRequest, answer *SyncReply) error {
	a := p.agent
	l := a.leadership()
	if l == nil {
		return errNotLeader
	}
	l.report(r)
	*answer = a.relay(r.Revisions)
	return nil
}

// Sync answers a host that does not reach the leader, and counts its part of the rates unless it is alone.
func (p *Peer) Sync(r ReportRequest, answer *SyncReply) error {
	p.agent.deputy.report(boottime.Now(), r, p.agent.view.Load())
	*answer = p.agent.relay(r.Revisions)
	return nil
}

// TokenRequest asks the broker for tokens of a workspace's limit.
type TokenRequest struct {
	Workspace model.Workspace
	Tokens    float64
	Deputy    bool // the question is for the host that stands in for the leader
}

// TokenAnswer is the broker's answer.
type TokenReply struct {
	Granted float64
	Wait    time.Duration
}

// Take hands out tokens of a workspace's limit.
func (p *Peer) Take(r TokenRequest, answer *TokenReply) error {
	if r.Deputy {
		*answer = p.agent.deputy.take(boottime.Now(), r)
		return nil
	}
	l := p.agent.leadership()
	if l == nil {
		return errNotLeader
	}
	granted, next := l.take(r)
	if next != nil {
		return p.agent.peers.call(*next, "Peer.Take", r, answer, tokenTimeout)
	}
	*answer = granted
	return nil
}

// SuccessionRequest is the offer of a leader that stops.
type SuccessionRequest struct {
	Fence  uint64 // revision of the leader's key
	Broker share.BrokerState
}

// Succeed lets this host lead in place of another one. When it returns nil, the store names this host the leader.
func (p *Peer) Succeed(r SuccessionRequest, _ *struct{}) error {
	accepted := make(chan error, 1)
	select {
	case p.agent.successions <- succession{r, accepted}:
		return <-accepted
	default:
		return errNoSuccessor
	}
}
