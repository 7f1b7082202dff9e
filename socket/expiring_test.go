package socket

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
)

const (
	// dialTimeout bounds the dialing of a loopback address.
	dialTimeout = 10 * time.Second
	// farExpiry is an expiry that no test reaches.
	farExpiry = time.Hour
	// nearExpiry is an expiry that tests wait for. Connecting takes less.
	nearExpiry = 500 * time.Millisecond
	// relayTime is the time after which the relay has seen what the sender did.
	relayTime = 300 * time.Millisecond
)

// dialThroughRelay opens an expiring connection through a relay, and returns what arrives at the other end once it has ended.
func dialThroughRelay(t *testing.T, expiry time.Duration) (*expiringConn, *loopback.Relay, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	relay, err := loopback.NewRelay("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	conn, err := DialExpiring(t.Context(), relay.Address, dialTimeout, boottime.Now().Add(expiry))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	receiver, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 1)
	go func() {
		data, _ := io.ReadAll(receiver) // ends with an error if the connection is reset
		received <- string(data)
	}()
	return conn.(*expiringConn), relay, received
}

// Guards against the delivery of a request after its sender has given up on it, or has lost the right to it.
func TestExpiringConnDeliversNothingLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		expiry time.Duration
		end    func(*expiringConn)
	}{
		{"closed", farExpiry, func(c *expiringConn) { _ = c.Close() }},
		{"expired", nearExpiry, func(c *expiringConn) { time.Sleep(2 * nearExpiry) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, relay, received := dialThroughRelay(t, c.expiry)
			relay.SetHeld(true)
			if _, err := io.WriteString(conn, "request"); err != nil {
				t.Fatal(err)
			}
			c.end(conn)
			time.Sleep(relayTime)
			relay.SetHeld(false)
			if data := <-received; data != "" {
				t.Errorf("%q arrived", data)
			}
		})
	}
}

// Guards against a request that is sent by a process which was frozen between the check of its lease and the write.
func TestExpiredConnSendsNothing(t *testing.T) {
	conn, _, received := dialThroughRelay(t, farExpiry)
	conn.now = func() time.Time { return boottime.Now().Add(2 * farExpiry) }
	if n, err := io.WriteString(conn, "request"); n != 0 || !errors.Is(err, ErrExpired) {
		t.Errorf("wrote %d bytes, %v; want ErrExpired", n, err)
	}
	_ = conn.Close()
	if data := <-received; data != "" {
		t.Errorf("%q arrived", data)
	}
}

// Guards against data that the kernel goes on to repeat for a process that is frozen.
func TestKernelDropsExpiredConn(t *testing.T) {
	const expiry = 700 * time.Millisecond
	conn, _, _ := dialThroughRelay(t, expiry)
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	if d := userTimeout(t, conn.tcp); d <= 0 || d > expiry {
		t.Errorf("the kernel repeats data for %s, want more than 0 and at most %s", d, expiry)
	}
}

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(t *testing.T, conn *net.TCPConn) time.Duration {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var milliseconds int
	if controlErr := raw.Control(func(fd uintptr) {
		milliseconds, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// Guards against a late detection of silent connections: with TCP_USER_TIMEOUT the kernel ignores the number of unanswered probes, so
// that connections to the store, to targets and to other hosts would stay silent for 10 s instead of 2 s.
func TestDialedConnHasNoUserTimeout(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := Dialer(dialTimeout).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if d := userTimeout(t, conn.(*net.TCPConn)); d != 0 {
		t.Errorf("TCP_USER_TIMEOUT is %s, want none", d)
	}
}

// Guards against a connection that loses data before its expiry.
func TestExpiringConnWorksUntilExpiry(t *testing.T) {
	conn, _, received := dialThroughRelay(t, farExpiry)
	if _, err := io.WriteString(conn, "request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(relayTime)
	_ = conn.Close()
	if data := <-received; data != "request" {
		t.Errorf("received %q, want the request", data)
	}
}
