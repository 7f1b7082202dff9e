package daemon

import (
	"context"
	"net"

	"github.com/waxwingspindle/waxwingspindle/membership"
)

// Gossip carries membership messages over UDP.
type Gossip struct{ conn net.PacketConn }

// NewGossip returns the transport on a socket.
func NewGossip(conn net.PacketConn, _ string) *Gossip { return &Gossip{conn: conn} }

// Send sends a message and returns the number of bytes.
func (g *Gossip) Send(address string, m membership.Message) int {
	data, err := membership.Encode(m)
	if err != nil {
		return 0
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return 0
	}
	n, _ := g.conn.WriteTo(data, to)
	return n
}

// Run hands received messages on until the context ends.
func (g *Gossip) Run(ctx context.Context, receive func(from string, m membership.Message)) {
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		if m, err := membership.Decode(buffer[:n]); err == nil {
			receive(from.String(), m)
		}
	}
}
