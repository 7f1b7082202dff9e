// Package socket has the options of the TCP connections of this program.
package socket

import (
	"net"
	"time"
)

// KeepAlive finds peers that went silent: the first probe follows a second without traffic, and the connection is lost after
// two more without an answer. Connections can go silent for good without a reset while new ones work.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Dialer returns a dialer with KeepAlive. A timeout of zero leaves the limit to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}
