package fleet

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// silentRelay is a TCP relay to a host that can stop to pass bytes on while its connections stay open.
type silentRelay struct {
	mu     sync.Mutex
	silent bool
}

func (r *silentRelay) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

func (r *silentRelay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *silentRelay) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isSilent() {
			continue // the bytes are lost
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// before puts the relay before a host.
func (r *silentRelay) before(t *testing.T, h Host) Host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", h.Address)
			if err != nil {
				_ = conn.Close()
				continue
			}
			go r.copy(upstream, conn)
			go r.copy(conn, upstream)
		}
	}()
	return Host{ID: h.ID, Address: l.Addr().String()}
}

func reachingAgent(h Host) *Agent {
	a := &Agent{Config: Config{Log: zap.NewNop()}, peers: newPeers(), runs: newPeers(),
		reach: reach{patience: time.Minute, hosts: map[model.HostID]*contact{}}}
	v := newView()
	v.hosts[h.ID] = h
	a.view.Store(v)
	return a
}

// Guards against statements that wait for their whole time for a host behind a partition, and against a host that is not used
// any more after the partition.
func TestLostHostIsGivenUpAndFoundAgain(t *testing.T) {
	var relay silentRelay
	h := relay.before(t, slowPeer(t))
	a := reachingAgent(h)
	wait := func(pause, timeout time.Duration) error {
		_, err := a.runs.startUnlessLost(h, "Slow.Wait", pause, new(time.Duration), timeout,
			func() <-chan struct{} { return a.inquire(h) })
		return err
	}
	if err := wait(2*suspectAfter, 5*time.Second); err != nil {
		t.Fatalf("a slow statement of a host that is there ended with %v", err)
	}
	relay.setSilent(true)
	a.reach.patience = pingTimeout
	if err := wait(time.Millisecond, time.Minute); !errors.Is(err, errLost) {
		t.Errorf("a statement of a lost host ended with %v", err)
	}
	if !a.reach.isLost(h.ID) {
		t.Error("the host is used")
	}
	relay.setSilent(false)
	// The wait is long beside the pauses of the search, for machines under load.
	for end := time.Now().Add(searchTime); a.reach.isLost(h.ID); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host is not found again")
		}
	}
	if err := wait(time.Millisecond, 5*time.Second); err != nil {
		t.Errorf("a statement after the partition ended with %v", err)
	}
}
