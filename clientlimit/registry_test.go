package clientlimit

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/budget"
)

func newRegistry(l Limits) *Registry { return New(l, zap.NewNop(), prometheus.NewRegistry()) }

// admit returns a new client and the other end of its connection.
func admit(t *testing.T, r *Registry, k Kind) (*Client, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	c, admitted := r.Admit(k, near)
	if !admitted {
		return nil, far
	}
	return c, far
}

// isClosed reports whether the host has closed the connection.
func isClosed(far net.Conn) bool {
	_ = far.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // a pipe always has deadlines
	_, err := far.Read(make([]byte, 1))
	var network net.Error
	return err != nil && !(errors.As(err, &network) && network.Timeout())
}

// Guards against a budget that refuses the ordinary client instead of the one that holds most, and that is exceeded meanwhile.
func TestGrowClosesLargest(t *testing.T) {
	r := newRegistry(Limits{HeldBytes: 4 << 20})
	large, largeFar := admit(t, r, Caller)
	ordinary, ordinaryFar := admit(t, r, Caller)
	if err := large.Grow(3 << 20); err != nil {
		t.Fatal(err)
	}
	result := make(chan error)
	go func() { result <- ordinary.Grow(1 << 20) }()
	if !isClosedSoon(largeFar) {
		t.Fatal("the client that holds most stays open")
	}
	if held := r.held.Load(); held > 4<<20 {
		t.Errorf("%d bytes are held", held)
	}
	large.Leave() // as the goroutine that serves it does
	if err := <-result; err != nil || isClosed(ordinaryFar) {
		t.Errorf("the ordinary client did not get memory: %v", err)
	}
	if err := ordinary.Grow(4 << 20); !errors.Is(err, ErrOverBudget) || !isClosed(ordinaryFar) {
		t.Errorf("a client got more than there is: %v", err)
	}
	ordinary.Leave()
	if held := r.held.Load(); held != 0 {
		t.Errorf("%d bytes are held without a client", held)
	}
}

func isClosedSoon(far net.Conn) bool {
	for range 100 {
		if isClosed(far) {
			return true
		}
	}
	return false
}

// Guards against clients without a session that keep others out, and against new clients that push out sessions in use.
func TestPlacesAreTakenFromUnknownClients(t *testing.T) {
	r := newRegistry(Limits{Files: 10, ReserveFiles: 8})
	session, sessionFar := admit(t, r, Caller)
	session.AwaitsMessage()
	_, unknownFar := admit(t, r, Caller)
	third, _ := admit(t, r, Caller)
	if third == nil || !isClosed(unknownFar) || isClosed(sessionFar) {
		t.Fatal("a new client did not get the place of the one without a session")
	}
	third.AwaitsMessage()
	if c, _ := admit(t, r, Caller); c != nil {
		t.Error("a client was admitted although all places are in use")
	}
	if link, _ := admit(t, r, Link); link == nil {
		t.Error("a link of another host was refused because of callers")
	}
	third.Leave()
	if c, _ := admit(t, r, Caller); c == nil {
		t.Error("the place of a client that has left is not used")
	}
}

// Guards against time limits that do not end stalled clients, or that end idle sessions and statements that run.
func TestTimeLimits(t *testing.T) {
	limit := 500 * time.Millisecond
	r := newRegistry(Limits{Times: budget.Times{Start: limit, Message: limit, Response: limit}})
	stop := make(chan struct{})
	defer close(stop)
	go r.Run(stop)
	conns := map[string]net.Conn{}
	for name, act := range map[string]func(c *Client){
		"no session": func(*Client) {},
		"message":    func(c *Client) { c.AwaitsMessage(); c.MessageBegan() },
		"response":   func(c *Client) { c.AwaitsMessage(); c.ResponseBegan(1 << 20) },
		"link":       func(c *Client) { c.AwaitsMessage(); c.BodyBegan() },
		"idle":       func(c *Client) { c.AwaitsMessage() },
		"running":    func(c *Client) { c.AwaitsMessage(); c.MessageBegan(); c.MessageEnded() },
		"read":       func(c *Client) { c.AwaitsMessage(); c.ResponseBegan(1); c.ResponseEnded(1) },
	} {
		c, far := admit(t, r, Caller)
		act(c)
		conns[name] = far
	}
	for _, name := range []string{"no session", "message", "response", "link"} {
		if !isClosedSoon(conns[name]) {
			t.Errorf("%s: the connection stays open", name)
		}
	}
	time.Sleep(2 * limit)
	for _, name := range []string{"idle", "running", "read"} {
		if isClosed(conns[name]) {
			t.Errorf("%s: the connection was closed", name)
		}
	}
}

// Guards against a counter that drifts, which would refuse everybody in the end.
func TestCounterReturnsToZero(t *testing.T) {
	const limit = 1 << 20
	r := newRegistry(Limits{HeldBytes: limit, Files: 60, ReserveFiles: 40})
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for range 20 {
				near, far := net.Pipe()
				c, admitted := r.Admit(Kind(i%2), near)
				if admitted {
					c.AwaitsMessage()
					var held int64
					for range random.IntN(5) {
						if n := random.Int64N(100 << 10); c.Grow(n) == nil {
							held += n
						}
					}
					c.Shrink(held / 2)
					c.Hold(1000)
					c.Leave()
					c.Shrink(10) // of a session that is ending
				}
				_ = near.Close()
				_ = far.Close()
			}
		})
	}
	clients.Wait()
	if held := r.held.Load(); held != 0 {
		t.Errorf("%d bytes are held without a client", held)
	}
}

// Guards against a nil registry that limits anything: tests and tools run without one.
func TestNilRegistry(t *testing.T) {
	var r *Registry
	near, _ := net.Pipe()
	c, admitted := r.Admit(Caller, near)
	if !admitted || c.Grow(1<<40) != nil || !r.Reserve(1<<40) {
		t.Error("a limit applies without a registry")
	}
	c.Hold(1)
	c.Shrink(1)
	c.AwaitsMessage()
	c.ResponseBegan(1)
	c.ResponseEnded(1)
	c.BodyBegan()
	c.BodyEnded()
	c.CountRefused(CauseSize)
	c.Leave()
	r.Hold(1)
	r.Release(1)
}
