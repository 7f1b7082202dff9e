package fleet

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
)

// Guards against a request that another host receives after its sender has given it up, such as a registration or a statement.
func TestPeerCallGivenUpDoesNotArrive(t *testing.T) {
	const callLimit = 200 * time.Millisecond
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
	clients := newPeerClients()
	if _, err := clients.client(relay.Address); err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan int, 1)
	go func() {
		data, _ := io.ReadAll(peer) // ends with an error if the connection is reset
		received <- len(data)
	}()
	relay.SetHeld(true)
	if err := clients.call(Host{Address: relay.Address}, "Peer.Enter", EnterRequest{}, &EnterReply{}, callLimit); !errors.Is(err, errTimeout) {
		t.Fatalf("the call ended with %v", err)
	}
	time.Sleep(callLimit)
	relay.SetHeld(false)
	if n := <-received; n != 0 {
		t.Errorf("%d bytes of the call arrived", n)
	}
}

// Guards against an offer of the leadership that another host accepts after the leader has ended its term: both the store's record of
// the term and the state of the broker in the offer are old then.
func TestLateSuccessionIsRefused(t *testing.T) {
	store := newMemoryStore()
	leaving, successor := newRegisteringAgent(store, 1), newRegisteringAgent(store, 1)
	term, _ := leaving.acquireLeadership(t.Context(), 0)
	if term == nil {
		t.Fatal("the first host does not lead")
	}
	if err := store.Revoke(t.Context(), term.lease); err != nil {
		t.Fatal(err)
	}
	if late, _ := successor.acquireLeadership(t.Context(), term.fence); late != nil {
		t.Error("the late offer was accepted")
	}
	if item, exists := store.items[leaderKey]; exists {
		t.Errorf("the store names a leader: %s", item.Value)
	}
	if next, _ := successor.acquireLeadership(t.Context(), 0); next == nil || next.fence <= term.fence {
		t.Errorf("the next leader has term %+v, want a token above %d", next, term.fence)
	}
}

// Guards against a confirmation by a host that has started again since the leader asked: what it confirms is not what the leader wants
// to know.
func TestFenceOfEarlierIncarnationIsRefused(t *testing.T) {
	a := newRegisteringAgent(newMemoryStore(), 2)
	if err := (&Peer{a}).Fence(FenceRequest{Incarnation: 1}, &struct{}{}); !errors.Is(err, errOtherIncarnation) {
		t.Errorf("the late request ended with %v", err)
	}
}
