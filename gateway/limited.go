package gateway

import (
	"net"
	"sync"
)

// limitedListener accepts at most as many connections at once as it has places. Further ones are closed, so that they occupy
// no descriptor.
type limitedListener struct {
	net.Listener
	places chan struct{}
}

func newLimitedListener(l net.Listener, places int) *limitedListener {
	return &limitedListener{l, make(chan struct{}, places)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.places <- struct{}{}:
			return &placedConn{Conn: conn, free: sync.OnceFunc(func() { <-l.places })}, nil
		default:
			_ = conn.Close() // the client learns the refusal from the end of the connection
		}
	}
}

// placedConn frees its place when it is closed.
type placedConn struct {
	net.Conn
	free func()
}

// Close implements net.Conn.
func (c *placedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
