package daemon

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/membership"
)

const (
	gossipTagBytes    = 8         // length of the HMAC tag at the end of a datagram
	gossipBufferBytes = 256 << 10 // size of the socket's buffers, which hold the datagrams that arrive during a short pause
	// gossipKeyLabel derives the key of the tags from the shared secret, apart from the other uses of that secret.
	gossipKeyLabel = "waxwingspindle gossip tag v1"
)

// GossipCounters holds the numbers of datagrams and bytes since the socket was opened.
type GossipCounters struct {
	SentDatagrams     uint64
	SentBytes         uint64
	ReceivedDatagrams uint64 // valid datagrams
	ReceivedBytes     uint64 // includes dropped datagrams
	SendErrors        uint64
	BadTag            uint64 // dropped because it is too short or its tag does not match
	Malformed         uint64 // dropped because the message cannot be decoded although the tag matches
	TooLarge          uint64 // dropped because it is larger than membership.MaxDatagram
	ReceiveErrors     uint64
	InvalidAddress    uint64 // messages not sent because the receiver's address is not an IP address with a port
}

// GossipHandler is called for each valid message with the address of its sender, on the goroutine that runs Serve.
type GossipHandler func(address string, message membership.Message)

// GossipTransport sends and receives membership messages in UDP datagrams. Each datagram ends with a tag, the first 8 bytes
// of an HMAC-SHA256 keyed from the shared secret, so that foreign datagrams are dropped. The tag does not prevent replays;
// the membership protocol ignores old messages.
type GossipTransport struct {
	conn *net.UDPConn
	key  []byte

	sentDatagrams     atomic.Uint64
	sentBytes         atomic.Uint64
	receivedDatagrams atomic.Uint64
	receivedBytes     atomic.Uint64
	sendErrors        atomic.Uint64
	badTag            atomic.Uint64
	malformed         atomic.Uint64
	tooLarge          atomic.Uint64
	receiveErrors     atomic.Uint64
	invalidAddress    atomic.Uint64
}

// ListenGossip opens a UDP socket on an IP address with a port. The secret must not be empty.
func ListenGossip(address string, secret []byte) (*GossipTransport, error) {
	if len(secret) == 0 {
		return nil, trace.BadParameter("gossip needs a shared secret")
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.BadParameter("gossip address %q: %v", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Smaller buffers only drop more datagrams after a pause, so it is no error if the kernel refuses the size.
	_ = conn.SetReadBuffer(gossipBufferBytes)
	_ = conn.SetWriteBuffer(gossipBufferBytes)
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(gossipKeyLabel))
	return &GossipTransport{conn: conn, key: mac.Sum(nil)}, nil
}

// Address returns the local address. If ListenGossip was called with port 0, it has the port that the kernel chose.
func (g *GossipTransport) Address() string { return g.conn.LocalAddr().String() }

// Close closes the socket and makes Serve return nil.
func (g *GossipTransport) Close() error { return trace.Wrap(g.conn.Close()) }

// Counters returns the current values of the counters.
func (g *GossipTransport) Counters() GossipCounters {
	return GossipCounters{
		SentDatagrams:     g.sentDatagrams.Load(),
		SentBytes:         g.sentBytes.Load(),
		ReceivedDatagrams: g.receivedDatagrams.Load(),
		ReceivedBytes:     g.receivedBytes.Load(),
		SendErrors:        g.sendErrors.Load(),
		BadTag:            g.badTag.Load(),
		Malformed:         g.malformed.Load(),
		TooLarge:          g.tooLarge.Load(),
		ReceiveErrors:     g.receiveErrors.Load(),
		InvalidAddress:    g.invalidAddress.Load(),
	}
}

// Send sends a message in one datagram. Failures are counted but not returned, since datagrams may be lost anyway.
func (g *GossipTransport) Send(outgoing membership.Send) {
	address, err := netip.ParseAddrPort(outgoing.Address)
	if err != nil {
		g.invalidAddress.Add(1)
		return
	}
	data, err := membership.Encode(outgoing.Message)
	if err != nil {
		g.sendErrors.Add(1)
		return
	}
	data = append(data, g.tag(data)...)
	if _, err := g.conn.WriteToUDPAddrPort(data, address); err != nil {
		g.sendErrors.Add(1)
		return
	}
	g.sentDatagrams.Add(1)
	g.sentBytes.Add(uint64(len(data)))
}

// Serve receives datagrams and passes valid messages to the handler. It returns nil after Close.
func (g *GossipTransport) Serve(handler GossipHandler) error {
	buffer := make([]byte, membership.MaxDatagram+1) // the extra byte reveals datagrams that are too large
	for {
		n, sender, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			g.receiveErrors.Add(1) // for example an ICMP error for an earlier datagram
			continue
		}
		g.receivedBytes.Add(uint64(n))
		if message, valid := g.decode(buffer[:n]); valid {
			g.receivedDatagrams.Add(1)
			handler(netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()).String(), message)
		}
	}
}

// decode verifies the tag and decodes the message. It returns false for a datagram that is dropped.
// The message does not alias the datagram's memory.
func (g *GossipTransport) decode(datagram []byte) (membership.Message, bool) {
	if len(datagram) > membership.MaxDatagram {
		g.tooLarge.Add(1)
		return membership.Message{}, false
	}
	bodyLength := len(datagram) - gossipTagBytes
	if bodyLength <= 0 || !hmac.Equal(datagram[bodyLength:], g.tag(datagram[:bodyLength])) {
		g.badTag.Add(1)
		return membership.Message{}, false
	}
	message, err := membership.Decode(datagram[:bodyLength])
	if err != nil {
		g.malformed.Add(1)
		return membership.Message{}, false
	}
	return message, true
}

// tag returns the truncated HMAC of a message.
func (g *GossipTransport) tag(body []byte) []byte {
	mac := hmac.New(sha256.New, g.key)
	mac.Write(body)
	return mac.Sum(nil)[:gossipTagBytes]
}
