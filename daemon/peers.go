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
	// pingInterval is the time between pings on a connection with calls that wait for an answer.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is the time without an answer to a ping after which a connection is given up. Connections can go
	// silent for good while new ones work.
	pingTimeout = 750 * time.Millisecond
)

// NotSentError reports that a call failed before any byte of it left this host, so that it has not run.
type NotSentError struct{ Err error }

// Error returns the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// IsNotSent reports whether a call failed before it was sent.
func IsNotSent(err error) bool {
	var e *NotSentError
	return errors.As(err, &e)
}

// ClientPool keeps one connection for each daemon that is called.
type ClientPool struct {
	secret []byte
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[string]*peer
}

// NewClientPool returns the connections of a daemon, authenticated with the peer secret.
func NewClientPool(secret string) *ClientPool {
	var d net.Dialer
	dial := func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	return &ClientPool{secret: []byte(secret), dial: dial, peers: map[string]*peer{}}
}

// Call calls a method of the daemon at an address. When the context ends first, the call may still run there. A
// *NotSentError reports that it did not run. A late answer is dropped: it is decoded into a value that nobody has.
func Call[Reply any](ctx context.Context, p *ClientPool, address, method string, args any) (Reply, error) {
	return callMethod[Reply](ctx, p, address, method, args, false)
}

// LongPoll is Call for methods that hold their answer back on purpose. The connection is not probed while it waits, which
// would cost more than the poll itself, but only when no answer came in time.
func LongPoll[Reply any](ctx context.Context, p *ClientPool, address, method string, args any) (Reply, error) {
	return callMethod[Reply](ctx, p, address, method, args, true)
}

func callMethod[Reply any](ctx context.Context, p *ClientPool, address, method string, args any, longPoll bool) (Reply, error) {
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
	for _, peerConn := range peers {
		peerConn.close()
	}
}

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

// peer is the connection to one daemon. It is opened at the first call and replaced when it is lost or silent.
type peer struct {
	pool    *ClientPool
	address string

	mu   sync.Mutex
	conn *rpcConn
}

// client is one connection with the number of calls that wait on it.
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

// callError maps the error of a finished call. rpc.ErrShutdown means that the connection was closed before the call was
// sent.
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

// discard forgets a connection, unless it has been replaced already.
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

// beginCall counts a waiting call. It reports whether pings have to be started, which find out whether the connection has
// gone silent.
func (c *rpcConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls++
	startPing := !c.pinging
	c.pinging = true
	return startPing
}

func (c *rpcConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls--
}

// ping sends pings while calls wait and drops the connection when one is not answered.
func (p *peer) ping(c *rpcConn) {
	for c.continuePinging() {
		time.Sleep(pingInterval)
		if !p.probe(c) {
			return
		}
	}
}

// probe sends one ping. It drops the connection and reports false when the ping is not answered.
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

func (c *rpcConn) continuePinging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinging = c.pendingCalls > 0
	return c.pinging
}
