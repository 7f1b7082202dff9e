package membership

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MaxDatagram is the greatest size of a datagram in bytes, including the authentication tag of the transport. It
	// fits into one packet on any usual network.
	MaxDatagram = 1200
	// MaxPayload is the greatest size of a member's payload in bytes.
	MaxPayload = 16
	// MaxUpdates is the greatest number of updates that ride on a probe message.
	MaxUpdates = 6

	maxString     = 64                          // bytes of an id, a data centre or an address
	tagReserve    = 16                          // bytes kept free for the authentication tag of the transport
	headerReserve = 48                          // bytes of a message's numbers and length prefixes
	updateReserve = 22                          // bytes of an update's numbers and length prefixes
	digestBuckets = 64                          // groups of members that a sync compares
	digestBytes   = 2                           // bytes of the digest of a group
	maxEncoded    = MaxDatagram - tagReserve    // bytes of an encoded message
	digestSize    = digestBuckets * digestBytes // bytes of all digests
)

// State is what a host believes about a member.
type MemberState uint8

const (
	// StateUnknown means that nothing is known. In a message to a host it asks that host to introduce itself.
	StateUnknown MemberState = iota
	// StateAlive means that the member answers.
	StateAlive
	// StateSuspect means that a probe of the member failed. The member still counts as live.
	StateSuspect
	// StateDead means that the member didn't refute a suspicion in time.
	StateDead
	// StateLeft means that the member announced its leave, or that the platform lists it as leaving.
	StateLeft
)

// String returns the name of the state.
func (s MemberState) String() string {
	names := [...]string{"unknown", "alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Kind is the kind of a message.
type MessageKind uint8

const (
	// KindPing asks the target for an ack.
	KindPing MessageKind = iota + 1
	// KindAck answers a ping. Target is the host that is proven to be alive.
	KindAck
	// KindPingRequest asks the receiver to ping the target and to pass the ack on.
	KindPingRequest
	// KindSync carries digests of the sender's table and asks for the members that differ.
	KindSync
	// KindSyncReply answers a sync with members. More is set when there were more than fit into the datagram, or when
	// the sender's own table is not complete yet.
	KindSyncReply
)

// Message is one datagram. It is coded as a msgpack array.
type Message struct {
	Kind        MessageKind
	Sequence    uint64
	From        model.HostID
	Incarnation model.Incarnation // of the sender
	Payload     []byte            // of the sender
	Target      model.HostID      // the host that a ping or ack is about
	Updates     []Update
	Digests     []byte // in a sync: two bytes for each group of members
	FirstBucket uint8  // in a sync: the group that the reply starts with
	More        bool   // in a sync reply: there may be more members
}

// Update tells what the sender of a message believes about a member. Addresses are only filled in for StateAlive.
type Update struct {
	ID            model.HostID
	State         MemberState
	Incarnation   model.Incarnation
	DataCentre    model.DataCentre
	RPCAddress    string
	GossipAddress string
	Payload       []byte
}

// Errors of Decode and Encode.
var (
	ErrMalformed = errors.New("malformed membership message")
	ErrTooLarge  = errors.New("membership message too large")
)

func (u Update) size() int {
	return updateReserve + len(u.ID) + len(u.DataCentre) + len(u.RPCAddress) + len(u.GossipAddress) + len(u.Payload)
}

func (u Update) valid() bool {
	longest := max(len(u.ID), len(u.DataCentre), len(u.RPCAddress), len(u.GossipAddress))
	if u.ID == "" || longest > maxString || len(u.Payload) > MaxPayload || u.State > StateLeft {
		return false
	}
	return u.State != StateAlive || u.GossipAddress != ""
}

// Encode returns the msgpack form of the message.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&m); err != nil {
		return nil, err
	}
	if buffer.Len() > maxEncoded {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, buffer.Len())
	}
	return buffer.Bytes(), nil
}

// Decode parses a message and checks its bounds. It returns ErrMalformed or ErrTooLarge.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > maxEncoded {
		return m, ErrTooLarge
	}
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if !m.valid() {
		return m, ErrMalformed
	}
	return m, nil
}

func (m Message) valid() bool {
	if m.Kind < KindPing || m.Kind > KindSyncReply || m.From == "" || len(m.Payload) > MaxPayload {
		return false
	}
	if len(m.From) > maxString || len(m.Target) > maxString {
		return false
	}
	if m.Kind == KindSync && len(m.Digests) != digestSize {
		return false
	}
	if m.FirstBucket >= digestBuckets {
		return false
	}
	for _, update := range m.Updates {
		if !update.valid() {
			return false
		}
	}
	return true
}
