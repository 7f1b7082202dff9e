package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/membership"
)

// startGossip runs a transport on a loopback port until the test ends, and returns the messages that it receives.
func startGossip(t *testing.T, secret string) (*GossipTransport, <-chan membership.Message) {
	t.Helper()
	gossip, err := ListenGossip("127.0.0.1:0", []byte(secret))
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan membership.Message, 100)
	done := make(chan error, 1)
	go func() {
		done <- gossip.Serve(func(_ string, m membership.Message) { received <- m })
	}()
	t.Cleanup(func() {
		if err := gossip.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Errorf("Serve after Close: %v", err)
		}
	})
	return gossip, received
}

// receiveMessage waits for a message. The loopback interface loses no datagrams at this rate; the timeout only bounds a
// failing test.
func receiveMessage(t *testing.T, received <-chan membership.Message) membership.Message {
	t.Helper()
	select {
	case m := <-received:
		return m
	case <-time.After(10 * time.Second):
		t.Fatal("no datagram arrived")
		return membership.Message{}
	}
}

// Guards against messages that are altered in transit, and against foreign, forged, malformed and oversized datagrams that
// are delivered or stop the receiver.
func TestGossipDropsInvalidDatagrams(t *testing.T) {
	a, _ := startGossip(t, "secret")
	b, received := startGossip(t, "secret")
	unauthenticated, _ := startGossip(t, "other secret")
	valid := membership.Message{Kind: membership.KindAck, Sequence: 9, From: "a", Incarnation: 3, Target: "b",
		Updates: []membership.Update{{ID: "c", State: membership.StateSuspect, Incarnation: 4}}}

	unauthenticated.Send(membership.Send{Address: b.Address(), Message: valid})
	raw, err := net.Dial("udp", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	malformed := []byte{0xc1, 0xff, 0x00}
	for _, datagram := range [][]byte{
		{},
		[]byte("short"),
		append(malformed, a.tag(malformed)...),
		make([]byte, membership.MaxDatagram+100),
	} {
		if _, err := raw.Write(datagram); err != nil {
			t.Fatal(err)
		}
	}
	a.Send(membership.Send{Address: b.Address(), Message: valid})
	if diff := cmp.Diff(valid, receiveMessage(t, received)); diff != "" {
		t.Error(diff)
	}
	got := b.Counters()
	if got.ReceivedDatagrams != 1 || got.BadTag != 3 || got.Malformed != 1 || got.TooLarge != 1 {
		t.Errorf("counters %+v", got)
	}
	a.Send(membership.Send{Address: "host.example:1", Message: valid})
	a.Send(membership.Send{Address: b.Address(), Message: membership.Message{Payload: make([]byte, 2000)}})
	if got := a.Counters(); got.InvalidAddress != 1 || got.SendErrors != 1 {
		t.Errorf("counters of the sender %+v", got)
	}
}

// Guards against a transport without a secret, and against a listen address that needs name resolution.
func TestListenGossipRefuses(t *testing.T) {
	if _, err := ListenGossip("127.0.0.1:0", nil); err == nil {
		t.Error("no error without a secret")
	}
	if _, err := ListenGossip("localhost:0", []byte("x")); err == nil {
		t.Error("no error for a host name")
	}
}
