package fleet

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/rpccodec"
)

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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := rpc.NewServer()
	for _, name := range []string{"Slow", "Peer"} {
		if err := server.RegisterName(name, Slow{}); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rpccodec.Serve(server, conn)
		}
	}()
	return Host{ID: "slow", Address: listener.Addr().String()}
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
