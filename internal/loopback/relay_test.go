package loopback

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// quietTime is the time without data after which a test takes it that none arrives.
const quietTime = 200 * time.Millisecond

// deliveryTimeout bounds the wait for data that should arrive.
const deliveryTimeout = 10 * time.Second

// newRelayedPair returns a connection through a relay and the other end of it.
func newRelayedPair(t *testing.T) (*Relay, *net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	relay, err := NewRelay("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	sender, err := net.Dial("tcp", relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	receiver, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = receiver.Close() })
	return relay, sender.(*net.TCPConn), receiver
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// Guards against a relay that loses what it holds, so that tests of late requests would show nothing.
func TestHeldRelayDeliversLater(t *testing.T) {
	for _, c := range []struct {
		name     string
		end      func(*net.TCPConn) // what the sender does while the data is held
		delivers bool
	}{
		{"open", func(*net.TCPConn) {}, true},
		{"closed", func(c *net.TCPConn) { _ = c.Close() }, true},
		{"reset", func(c *net.TCPConn) { reset(c) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			relay, sender, receiver := newRelayedPair(t)
			relay.SetHeld(true)
			write(t, sender, "late\n")
			time.Sleep(quietTime / 2)
			c.end(sender)
			_ = receiver.SetReadDeadline(time.Now().Add(quietTime)) // fails only on a closed connection
			reader := bufio.NewReader(receiver)
			if line, err := reader.ReadString('\n'); err == nil {
				t.Fatalf("%q arrived while the relay held it", line)
			}
			relay.SetHeld(false)
			_ = receiver.SetReadDeadline(time.Now().Add(deliveryTimeout))
			if line, err := reader.ReadString('\n'); (err == nil) != c.delivers {
				t.Errorf("received %q, %v", line, err)
			}
		})
	}
}
