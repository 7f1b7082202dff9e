package target

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// memoryListener is an in-process listener. It lets a group run with the fake clock of testing/synctest, which does not
// support real sockets.
type memoryListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newMemoryListener(address string) *memoryListener {
	return &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return memoryConn{client, l.address}, nil
	case <-l.closed:
		return nil, connectionRefused(l.address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryConn is the client's end of an in-memory connection. Its remote address is that of the member, because the client
// sends cancel requests there.
type memoryConn struct {
	net.Conn
	address string
}

// RemoteAddr implements net.Conn.
func (c memoryConn) RemoteAddr() net.Addr { return memoryAddress(c.address) }

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "tcp" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
}

// Dial connects to the member at an address: in memory if the group was started with InMemory, over the network otherwise.
func (g *Group) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !g.inMemory {
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
	for _, m := range g.Members {
		if listener := m.memoryListener(address); listener != nil {
			return listener.dial(ctx)
		}
	}
	return nil, connectionRefused(address)
}

func (m *Member) memoryListener(address string) *memoryListener {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.address != address || m.run == nil || m.run.listener == nil {
		return nil
	}
	return m.run.listener.(*memoryListener)
}
