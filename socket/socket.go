// Package socket sets the options of this program's TCP connections.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive detects unresponsive peers: the kernel sends the first probe after one second without traffic, and closes the
// connection after two unanswered probes. A connection can stop delivering data for good without a reset while new ones
// work.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// tcpUserTimeout is the time after which the kernel closes a connection whose peer acknowledges no data or does not read.
// It exceeds all deadlines of callers.
const tcpUserTimeout = 10 * time.Second

// Listen opens a TCP listener whose connections use KeepAlive and tcpUserTimeout.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		return setUserTimeout(c, tcpUserTimeout)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Dialer returns a dialer whose connections use KeepAlive. With a timeout of zero only the context limits dialing. The connections
// have no TCP_USER_TIMEOUT, which would replace the number of unanswered probes of KeepAlive.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}

// DialResetting opens a TCP connection with KeepAlive for which ResetOnClose was called. With a timeout of zero only the context limits
// dialing.
func DialResetting(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	conn, err := Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := ResetOnClose(conn); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// ResetOnClose makes closing a TCP connection discard what the peer has not acknowledged. By default the kernel goes on to deliver it
// after the connection has been closed, for minutes if the peer does not answer. It does nothing for other connections.
func ResetOnClose(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// setUserTimeout sets the time after which the kernel closes a connection whose peer acknowledges no data.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
