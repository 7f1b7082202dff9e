package socket

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
)

// ErrExpired is returned by writes to an expired connection. Nothing of them was sent.
var ErrExpired = errors.New("the connection has expired")

// expiryCheckInterval is the interval between checks whether a connection has expired. Timers do not advance while the machine
// is suspended, so a timer for the whole time could fire long after the expiry.
const expiryCheckInterval = 20 * time.Millisecond

// DialExpiring opens a TCP connection for requests that must not arrive after a boot time, because their sender may have lost the
// right to them by then. From the expiry on nothing more is sent, and data that the peer has not acknowledged is discarded: by the
// kernel if this process is frozen or ends, and otherwise by closing the connection. Closing it earlier discards such data as well,
// whereas a usual connection goes on to deliver it. Data that the peer's kernel has acknowledged cannot be taken back.
func DialExpiring(ctx context.Context, address string, timeout time.Duration, expiry time.Time) (net.Conn, error) {
	conn, err := DialResetting(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	c := &expiringConn{Conn: conn, tcp: conn.(*net.TCPConn), expiry: expiry, now: boottime.Now}
	c.scheduleCheck()
	return c, nil
}

// expiringConn is a connection of DialExpiring. All data is sent by its own Write.
type expiringConn struct {
	net.Conn
	tcp    *net.TCPConn // the same connection
	expiry time.Time
	now    func() time.Time

	mu     sync.Mutex
	timer  *time.Timer // of the next check
	closed bool
}

// Write implements net.Conn. It returns ErrExpired, and sends nothing, once the connection has expired.
func (c *expiringConn) Write(p []byte) (int, error) {
	remaining := c.expiry.Sub(c.now())
	if remaining < time.Millisecond {
		return 0, ErrExpired
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := setUserTimeout(raw, remaining); err != nil { // the kernel repeats the data until then
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It resets the connection.
func (c *expiringConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.timer.Stop()
	return c.Conn.Close()
}

// scheduleCheck closes the connection when it has expired.
func (c *expiringConn) scheduleCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.timer = time.AfterFunc(max(min(c.expiry.Sub(c.now()), expiryCheckInterval), 0), func() {
		if c.now().Before(c.expiry) {
			c.scheduleCheck()
			return
		}
		_ = c.Close() // fails only if it is closed already
	})
}
