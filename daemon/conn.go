package daemon

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
)

const (
	nonceBytes       = 32
	handshakeTimeout = 2 * time.Second
)

// protocolName is part of the authenticated text, so that the handshake with a daemon of another protocol version fails.
const protocolName = "waxwingspindle/1"

// errHandshake reports a peer with another peer secret or another protocol version.
var errHandshake = errors.New("the peer did not prove that it knows the peer secret")

// handshakeMAC returns the HMAC of the protocol name, a role and a nonce. The two sides have different roles, so that a
// peer cannot authenticate by returning the MAC that it received.
func handshakeMAC(secret, nonce []byte, role string) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(protocolName))
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// acceptHandshake authenticates a connecting daemon: it sends a nonce, checks the HMAC that the daemon returns, and answers
// with its own HMAC of the same nonce.
func acceptHandshake(c net.Conn, secret []byte) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	if _, err := c.Write(nonce); err != nil {
		return trace.ConnectionProblem(err, "sending the handshake nonce")
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, mac); err != nil {
		return trace.ConnectionProblem(err, "reading the handshake MAC")
	}
	if !hmac.Equal(mac, handshakeMAC(secret, nonce, "connecting")) {
		return trace.AccessDenied("%v", errHandshake)
	}
	_, err := c.Write(handshakeMAC(secret, nonce, "accepting"))
	return trace.Wrap(err)
}

// dialHandshake authenticates this daemon to the accepting one, and checks that the accepting one has the secret too.
func dialHandshake(c net.Conn, secret []byte) error {
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	defer c.SetDeadline(time.Time{})
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, nonce); err != nil {
		return trace.ConnectionProblem(err, "reading the handshake nonce")
	}
	if _, err := c.Write(handshakeMAC(secret, nonce, "connecting")); err != nil {
		return trace.ConnectionProblem(err, "sending the handshake MAC")
	}
	mac := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, mac); err != nil {
		return trace.AccessDenied("%v", errHandshake)
	}
	if !hmac.Equal(mac, handshakeMAC(secret, nonce, "accepting")) {
		return trace.AccessDenied("%v", errHandshake)
	}
	return nil
}

// writeTimeout bounds a write to another daemon. Without it, an unresponsive connection with full send buffers would block
// all callers that share it.
const writeTimeout = 2 * time.Second

// writeDeadlineConn sets a deadline for each write.
type writeDeadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeDeadlineConn) Write(b []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}
