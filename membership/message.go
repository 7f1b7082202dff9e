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
	// fits into one packet on all common networks.
	MaxDatagram = 1200
	// MaxPayload is the greatest size of a member's payload in bytes.
	MaxPayload = 16
	// MaxUpdates is the greatest number of updates in a probe message.
	MaxUpdates = 6

	maxStringBytes   = 64                             // of an ID, a data centre or an address
	tagReserve       = 16                             // bytes reserved for the authentication tag of the transport
	headerOverhead   = 48                             // bytes of a message's numbers and length prefixes
	updateOverhead   = 22                             // bytes of an update's numbers and length prefixes
	bucketCount      = 64                             // a sync compares one digest for each bucket of members
	bucketDigestSize = 2                              // bytes of the digest of a bucket
	maxEncodedSize   = MaxDatagram - tagReserve       // bytes of an encoded message
	digestsSize      = bucketCount * bucketDigestSize // bytes of all digests
)

// MemberState is the state of a member as seen by one host.
type MemberState uint8

const (
	// StateUnknown means that the host has no row for the member. In an update about its receiver it requests an
	// introduction.
	StateUnknown MemberState = iota
	// StateAlive means that the member answers probes.
	StateAlive
	// StateSuspect means that a probe of the member failed. The member is still live.
	StateSuspect
	// StateDead means that the member did not refute a suspicion in time.
	StateDead
	// StateLeft means that the member announced its leave or that the platform lists it as leaving.
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

// MessageKind is the kind of a Message.
type MessageKind uint8

const (
	// KindPing asks the target for an ack.
	KindPing MessageKind = iota + 1
	// KindAck answers a ping. The target is the host that the ack proves to be alive.
	KindAck
	// KindPingRequest asks the receiver to ping the target and to forward the ack.
	KindPingRequest
	// KindSync carries digests of the sender's table and asks for the members that differ.
	KindSync
	// KindSyncReply answers a sync with members. More is set if not all of them fit into the datagram, or if the
	// sender's own table is not complete yet.
	KindSyncReply
)

// Message is the content of one datagram. It is encoded as a msgpack array, so the order of the fields is the format.
type Message struct {
	Kind        MessageKind
	Sequence    uint64
	From        model.HostID
	Incarnation model.Incarnation // of the sender
	Payload     []byte            // of the sender
	Target      model.HostID      // host that a ping or an ack refers to
	Updates     []Update
	Digests     []byte // in a sync: two bytes for each bucket of members
	FirstBucket uint8  // in a sync: bucket that the reply starts with
	More        bool   // in a sync reply: the reply is incomplete
}

// Update is the sender's view of a member. Addresses, data centre and payload are only set for StateAlive.
type Update struct {
	ID            model.HostID
	State         MemberState
	Incarnation   model.Incarnation
	DataCentre    model.DataCentre
	RPCAddress    string
	GossipAddress string
	Payload       []byte
}

// Errors of Encode and Decode.
var (
	ErrMalformed = errors.New("malformed membership message")
	ErrTooLarge  = errors.New("membership message too large")
)

// size returns an upper bound of the encoded size in bytes.
func (u Update) size() int {
	return updateOverhead + len(u.ID) + len(u.DataCentre) + len(u.RPCAddress) + len(u.GossipAddress) + len(u.Payload)
}

func (u Update) valid() bool {
	longest := max(len(u.ID), len(u.DataCentre), len(u.RPCAddress), len(u.GossipAddress))
	if u.ID == "" || longest > maxStringBytes || len(u.Payload) > MaxPayload || u.State > StateLeft {
		return false
	}
	return u.State != StateAlive || u.GossipAddress != ""
}

// Encode returns the msgpack encoding of the message. It returns ErrTooLarge if the message does not fit into a
// datagram.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseCompactInts(true)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(&m); err != nil {
		return nil, err
	}
	if buffer.Len() > maxEncodedSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, buffer.Len())
	}
	return buffer.Bytes(), nil
}

// Decode parses a message and validates its fields. Errors wrap ErrMalformed or ErrTooLarge.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > maxEncodedSize {
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
	if len(m.From) > maxStringBytes || len(m.Target) > maxStringBytes {
		return false
	}
	if m.Kind == KindSync && len(m.Digests) != digestsSize {
		return false
	}
	if m.FirstBucket >= bucketCount {
		return false
	}
	for _, update := range m.Updates {
		if !update.valid() {
			return false
		}
	}
	return true
}
