// Package socket has the options of the TCP connections of this program.
package socket

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// KeepAlive finds peers that went silent: the first probe follows a second without traffic, and the connection is lost after
// two more without an answer. Connections can go silent for good without a reset while new ones work.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// tcpUserTimeout is the time after which a connection is lost whose peer acknowledges nothing, or does not read. It is
// above every deadline of callers.
const tcpUserTimeout = 10 * time.Second

// Listen opens a listener whose connections have KeepAlive and are lost when their peer does not read.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive, Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
				int(tcpUserTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Dialer returns a dialer with KeepAlive. A timeout of zero leaves the limit to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}
