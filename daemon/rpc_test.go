package daemon

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const testSecret = "0123456789abcdef"

// fakeService returns the SQL of each request as its column. If release is set, replies wait until it is closed.
type fakeService struct {
	mu       sync.Mutex
	received []ExecuteRequest
	release  chan struct{}
}

func (f *fakeService) Execute(q ExecuteRequest, r *ExecuteReply) error {
	f.mu.Lock()
	f.received = append(f.received, q)
	release := f.release
	f.mu.Unlock()
	if release != nil {
		<-release
	}
	*r = ExecuteReply{Result: model.Done(), Columns: []string{q.SQL}}
	return nil
}

func (f *fakeService) Begin(BeginRequest, *BeginReply) error { return nil }
func (f *fakeService) End(EndRequest, *EndReply) error       { return nil }
func (f *fakeService) Ping(Empty, *Empty) error              { return nil }

func (f *fakeService) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.received)
}

func startServer(t *testing.T, s Service) string {
	t.Helper()
	server, err := NewServer(s, testSecret, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func execute(t *testing.T, p *ClientPool, address string, q ExecuteRequest, timeout time.Duration) (ExecuteReply, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return Call[ExecuteReply](ctx, p, address, "Execute", q)
}

// TestCallsCarryNulls guards against null arguments that are lost in gob, and against replies that reach another call.
func TestCallsCarryNulls(t *testing.T) {
	f := &fakeService{}
	address := startServer(t, f)
	p := NewClientPool(testSecret)
	defer p.Close()
	var args Cells
	text := "a"
	args.Append(&text)
	args.Append(nil)
	args.Append(&text)
	q := ExecuteRequest{Caller: Caller{Workspace: "w", Key: "k"}, SQL: "SELECT $1", Args: args, Remaining: time.Second}
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			r, err := Call[ExecuteReply](context.Background(), p, address, "Execute", q)
			if err != nil || r.Columns[0] != q.SQL {
				t.Errorf("%v, %v", r, err)
			}
		})
	}
	wg.Wait()
	if diff := cmp.Diff(q, f.received[0]); diff != "" {
		t.Error(diff)
	}
	if !f.received[0].Args.IsNull(1) || f.received[0].Args.IsNull(2) {
		t.Error("the null is at the wrong index")
	}
}

// TestPeersWithoutSecretAreRefused guards against serving a peer that has another secret, and against sending it requests.
func TestPeersWithoutSecretAreRefused(t *testing.T) {
	f := &fakeService{}
	address := startServer(t, f)
	unauthenticated := NewClientPool("another secret 0123")
	defer unauthenticated.Close()
	_, err := execute(t, unauthenticated, address, ExecuteRequest{}, 5*time.Second)
	if !IsNotSent(err) || f.count() != 0 {
		t.Errorf("a peer without the secret got %v after %d calls", err, f.count())
	}
}

// TestRefusedConnectionIsNotSent guards against reporting an unknown outcome for a request that was not sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	p := NewClientPool(testSecret)
	defer p.Close()
	if _, err := execute(t, p, address, ExecuteRequest{}, 5*time.Second); !IsNotSent(err) {
		t.Errorf("got %v", err)
	}
}

// TestMalformedMessageClosesTheConnection guards against a daemon that stops serving, or keeps the connection open, when a
// peer sends a malformed message.
func TestMalformedMessageClosesTheConnection(t *testing.T) {
	f := &fakeService{}
	address := startServer(t, f)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := dialHandshake(c, []byte(testSecret)); err != nil {
		t.Fatal(err)
	}
	c.Write([]byte("\x05garbage that is no gob message"))
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
	p := NewClientPool(testSecret)
	defer p.Close()
	if _, err := execute(t, p, address, ExecuteRequest{SQL: "x"}, 5*time.Second); err != nil {
		t.Errorf("the daemon no longer answers: %v", err)
	}
}

// stallingConn is a connection whose reads block from the moment that stalled is closed until the connection is closed.
type stallingConn struct {
	net.Conn
	stalled, closed chan struct{}
}

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *stallingConn) Close() error {
	close(c.closed)
	return c.Conn.Close()
}

// TestSilentConnectionIsReplaced guards against calls that hang forever on a connection that no longer delivers data, for
// example because a middlebox has dropped its state, while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := &fakeService{}
	address := startServer(t, f)
	p := NewClientPool(testSecret)
	defer p.Close()
	stalled := make(chan struct{})
	dialed := 0
	real := p.dial
	p.dial = func(ctx context.Context, a string) (net.Conn, error) {
		c, err := real(ctx, a)
		dialed++
		if dialed == 1 && err == nil {
			return &stallingConn{Conn: c, stalled: stalled, closed: make(chan struct{})}, nil
		}
		return c, err
	}
	if _, err := execute(t, p, address, ExecuteRequest{SQL: "first"}, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	close(stalled)
	_, err := execute(t, p, address, ExecuteRequest{SQL: "second"}, time.Minute)
	if err == nil || IsNotSent(err) {
		t.Errorf("a call on the silent connection got %v, want an error that does not deny that it ran", err)
	}
	if _, err := execute(t, p, address, ExecuteRequest{SQL: "third"}, 10*time.Second); err != nil {
		t.Errorf("no new connection was opened: %v", err)
	}
}

// TestLateReplyIsDropped guards against the reply of an abandoned call that reaches the next call, or is written into a
// value that the caller still uses. The race detector reports the latter.
func TestLateReplyIsDropped(t *testing.T) {
	f := &fakeService{release: make(chan struct{})}
	address := startServer(t, f)
	p := NewClientPool(testSecret)
	defer p.Close()
	if _, err := execute(t, p, address, ExecuteRequest{SQL: "slow"}, 100*time.Millisecond); err == nil || IsNotSent(err) {
		t.Fatalf("got %v", err)
	}
	close(f.release)
	r, err := execute(t, p, address, ExecuteRequest{SQL: "next"}, 10*time.Second)
	if err != nil || r.Columns[0] != "next" {
		t.Errorf("got %v, %v", r, err)
	}
}
