package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
)

// slowBroker is an RPC service that answers its first token request late.
type slowBroker struct {
	requests atomic.Int32
	delay    time.Duration
}

// Take grants as many tokens as there were requests.
func (b *slowBroker) Take(_ TokenRequest, reply *TokenReply) error {
	n := b.requests.Add(1)
	if n == 1 {
		time.Sleep(b.delay)
	}
	reply.Granted = float64(n)
	return nil
}

// Guards against an operation inside its rate that is refused because one message between its host and the broker was
// lost, and against granted tokens that nobody uses because their reply was late.
func TestTokenRequestIsRepeatedOnAnotherConnection(t *testing.T) {
	for _, test := range []struct {
		name        string
		delay       time.Duration
		wantGranted float64
		wantLate    float64
	}{
		{"answered at once", 0, 1, 0},
		{"first reply late", 2 * tokenTimeout, 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newPeerServer(t, map[string]any{"Peer": &slowBroker{delay: test.delay}})
				a := &Agent{controlClients: newPipeClients(t, server), statementClients: newPipeClients(t, server)}
				late := make(chan float64, 2)
				started := time.Now()
				reply, err := a.requestTokens(Host{ID: "broker"}, TokenRequest{Workspace: "w", Tokens: 1},
					func(_ model.Workspace, n float64) { late <- n })
				if took := time.Since(started); err != nil || reply.Granted != test.wantGranted || took > tokenTimeout {
					t.Errorf("granted %v after %v, error %v; want %v within %v", reply.Granted, took, err, test.wantGranted,
						tokenTimeout)
				}
				select {
				case n := <-late:
					if n != test.wantLate {
						t.Errorf("%v late tokens, want %v", n, test.wantLate)
					}
				case <-time.After(3 * tokenTimeout):
					if test.wantLate > 0 {
						t.Error("the tokens of the late reply are lost")
					}
				}
			})
		})
	}
}

// newPipeClients returns clients whose connections are pipes to a server, which work in the virtual time of package synctest. They are
// closed at the end of the test.
func newPipeClients(t *testing.T, server *rpc.Server) *peerClients {
	t.Helper()
	p := newPeerClients()
	p.connect = func(string) (net.Conn, error) {
		near, far := net.Pipe()
		go rpccodec.Serve(server, far, &rpccodec.CallCounter{})
		return near, nil
	}
	t.Cleanup(func() {
		for address, client := range p.clients {
			p.closeClient(address, client)
		}
	})
	return p
}

// Slow is an RPC service whose replies are delayed by the caller's argument.
type Slow struct{}

// Wait replies after a pause.
func (Slow) Wait(pause time.Duration, reply *time.Duration) error {
	time.Sleep(pause)
	*reply = pause
	return nil
}

// Ping replies at once.
func (Slow) Ping(struct{}, *struct{}) error { return nil }

func startSlowPeer(t *testing.T) Host {
	t.Helper()
	return startPeer(t, "slow", map[string]any{"Slow": Slow{}, "Peer": Slow{}})
}

// newPeerServer returns a server of RPC services under the given names.
func newPeerServer(t *testing.T, services map[string]any) *rpc.Server {
	t.Helper()
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			t.Fatal(err)
		}
	}
	return server
}

// startPeer serves RPC services under the given names.
func startPeer(t *testing.T, id model.HostID, services map[string]any) Host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := newPeerServer(t, services)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rpccodec.Serve(server, conn, &rpccodec.CallCounter{})
		}
	}()
	return Host{ID: id, Address: listener.Addr().String()}
}

// Guards against a statement whose outcome is unknown because another one on the same connection timed out, for
// example when a target of the home does not answer.
func TestCallTimeoutKeepsConnection(t *testing.T) {
	p, h := newPeerClients(), startSlowPeer(t)
	done := make(chan error, 1)
	go func() {
		var reply time.Duration
		_, err := p.callKeepConn(h, "Slow.Wait", 300*time.Millisecond, &reply, 5*time.Second)
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	var reply time.Duration
	if _, err := p.callKeepConn(h, "Slow.Wait", 10*time.Second, &reply, 50*time.Millisecond); !errors.Is(err, errTimeout) {
		t.Errorf("the slow statement ended with %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("the other statement ended with %v", err)
	}
}

// Guards against a refused connection that is taken for a statement which may have run.
func TestRefusedConnectionIsDialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := Host{ID: "gone", Address: listener.Addr().String()}
	_ = listener.Close()
	var reply time.Duration
	_, err = newPeerClients().callKeepConn(h, "Slow.Wait", time.Second, &reply, time.Second)
	var notSent *dialError
	if !errors.As(err, &notSent) {
		t.Errorf("error %v", err)
	}
}

// Guards against a statement that counts as sent, so that its caller gets an answer in doubt, although the connection had ended
// before, when the other host was stopped and started again.
func TestCallAfterRestartOfPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := rpc.NewServer()
	if err := server.RegisterName("Slow", Slow{}); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			go rpccodec.Serve(server, conn, &rpccodec.CallCounter{})
		}
	}()
	p, h := newPeerClients(), Host{ID: "restarted", Address: listener.Addr().String()}
	for n := range 3 {
		var reply time.Duration
		if _, err := p.callKeepConn(h, "Slow.Wait", 0, &reply, time.Second); err != nil {
			t.Errorf("call %d: %v", n, err)
		}
		if n < 2 { // the process of the other host ends
			select {
			case conn := <-accepted:
				_ = conn.Close()
			case <-time.After(time.Second):
				t.Fatal("the call used no new connection")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// Guards against connections to seeds that stay open for good, one from each host of the fleet, and against one that is
// closed while it is in use.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	p, h := newPeerClients(), startSlowPeer(t)
	call := func() *rpccodec.Client {
		t.Helper()
		var reply time.Duration
		client, err := p.callKeepConn(h, "Slow.Wait", time.Duration(0), &reply, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return client
	}
	p.openClient(h.Address)
	p.closeIdle(boottime.Now()) // before the connection is established
	first := call()
	p.closeIdle(boottime.Now().Add(unusedPeerTimeout / 2))
	if call() != first {
		t.Error("a connection in use was closed")
	}
	p.closeIdle(boottime.Now().Add(2 * unusedPeerTimeout))
	if len(p.clients) != 0 || len(p.lastUsed) != 0 {
		t.Errorf("%d connections, %d times of use are left", len(p.clients), len(p.lastUsed))
	}
	if call() == first {
		t.Error("a closed connection is used")
	}
}
