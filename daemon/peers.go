package daemon

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pingInterval is the time between pings on a connection with pending calls.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is the time after which a connection with an unanswered ping is closed. A connection can stop delivering
	// data for good without an error while new connections to the same host work.
	pingTimeout = 750 * time.Millisecond
)

// NotSentError reports that a call failed before any byte of it was sent, so that it has certainly not run.
type NotSentError struct{ Err error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the error that prevented sending.
func (e *NotSentError) Unwrap() error { return e.Err }

// IsNotSent reports whether an error contains a *NotSentError.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ClientPool holds one client connection to each daemon that has been called. Concurrent calls share it.
type ClientPool struct {
	secret []byte
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// NewClientPool returns a pool without connections. Its connections are authenticated with the peer secret.
func NewClientPool(secret string) *ClientPool {
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	return &ClientPool{secret: []byte(secret), dial: dial, peers: map[string]*peer{}}
}

// Call calls a method of the daemon at an address. When the context ends before the reply arrives, the call may still run
// there. A *NotSentError reports that it did not run. A late reply is decoded into a value that no caller can reach.
func Call[Reply any](ctx context.Context, p *ClientPool, address, method string, args any) (Reply, error) {
	return callMethod[Reply](ctx, p, address, method, args, false)
}

// LongPoll is Call for methods that delay their reply until there is news. It does not ping the connection while it waits,
// which would cost more than the poll itself; it sends one ping if no reply has arrived when the context ends.
func LongPoll[Reply any](ctx context.Context, p *ClientPool, address, method string, args any) (Reply, error) {
	return callMethod[Reply](ctx, p, address, method, args, true)
}

func callMethod[Reply any](ctx context.Context, p *ClientPool, address, method string, args any,
	longPoll bool) (Reply, error) {
	reply := new(Reply)
	if err := p.peer(address).call(ctx, "Daemon."+method, args, reply, longPoll); err != nil {
		var zero Reply
		return zero, err
	}
	return *reply, nil
}

// Close closes all connections.
func (p *ClientPool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = map[string]*peer{}
	p.mu.Unlock()
	for _, entry := range peers {
		entry.close()
	}
}

// peer returns the entry of an address, which it creates at the first call.
func (p *ClientPool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.peers[address]
	if found == nil {
		found = &peer{pool: p, address: address}
		p.peers[address] = found
	}
	return found
}

// peer manages the connection to one daemon. It is opened at the first call and replaced when it fails or does not answer
// a ping.
type peer struct {
	pool    *ClientPool
	address string

	mu   sync.Mutex
	conn *rpcConn
}

// rpcConn is an open connection with the number of calls that are pending on it.
type rpcConn struct {
	client *rpc.Client

	mu           sync.Mutex
	pendingCalls int
	pinging      bool
}

func (p *peer) call(ctx context.Context, method string, args, reply any, longPoll bool) error {
	c, err := p.connect(ctx)
	if err != nil {
		return &NotSentError{Err: err}
	}
	if !longPoll {
		if c.beginCall() {
			go p.ping(c)
		}
		defer c.endCall()
	}
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return p.callError(c, call.Error)
	case <-ctx.Done():
		if longPoll {
			go p.probe(c)
		}
		return trace.LimitExceeded("no answer from the daemon at %s: %v", p.address, ctx.Err())
	}
}

// callError converts the error of a finished call, and discards the connection unless the method itself returned the error.
// rpc.ErrShutdown means that the connection was closed before the call was sent.
func (p *peer) callError(conn *rpcConn, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return trace.Wrap(err)
	}
	p.discard(conn)
	if errors.Is(err, rpc.ErrShutdown) {
		return &NotSentError{Err: err}
	}
	return trace.ConnectionProblem(err, "the connection to the daemon at %s was lost", p.address)
}

// connect returns the open connection, or dials and authenticates a new one.
func (p *peer) connect(ctx context.Context) (*rpcConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.pool.dial(ctx, p.address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "connecting to the daemon at %s", p.address)
	}
	if err := dialHandshake(conn, p.pool.secret); err != nil {
		conn.Close()
		return nil, err
	}
	p.conn = &rpcConn{client: rpc.NewClient(writeDeadlineConn{conn})}
	return p.conn, nil
}

// discard closes a connection, and removes it from the peer if it is still the current one.
func (p *peer) discard(c *rpcConn) {
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil
	}
	p.mu.Unlock()
	c.client.Close()
}

func (p *peer) close() {
	p.mu.Lock()
	c := p.conn
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

// beginCall counts a pending call. It reports whether the caller must start the pings that detect an unresponsive
// connection.
func (c *rpcConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls++
	startPing := !c.pinging
	c.pinging = true
	return startPing
}

// endCall removes a pending call from the count.
func (c *rpcConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls--
}

// ping sends pings while calls are pending, and ends when one is not answered, which discards the connection.
func (p *peer) ping(c *rpcConn) {
	for c.continuePinging() {
		time.Sleep(pingInterval)
		if !p.probe(c) {
			return
		}
	}
}

// probe sends one ping and reports whether it was answered. It discards the connection after pingTimeout.
func (p *peer) probe(c *rpcConn) bool {
	call := c.client.Go("Daemon.Ping", Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error == nil
	case <-time.After(pingTimeout):
		p.discard(c)
		return false
	}
}

// continuePinging reports whether calls are pending. If none are, the next call starts the pings again.
func (c *rpcConn) continuePinging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinging = c.pendingCalls > 0
	return c.pinging
}
