package clientlimit

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/budget"
)

// ErrOverBudget means that the process has no memory left for the client.
var ErrOverBudget = errors.New("the memory for clients is used up")

// Client is the account of one client. The methods of a nil client do nothing and allow everything. Only one goroutine may change
// the phase at a time.
type Client struct {
	registry *Registry
	kind     Kind
	conn     net.Conn
	held     atomic.Int64
	unread   atomic.Int64
	phase    atomic.Int64 // since<<8 | phase, with since as in Registry.now
	body     atomic.Int64 // since, as in phase, and 1 in the lowest bit while a link's message is being read; otherwise 0
	inTxn    atomic.Bool
	closed   atomic.Bool
	left     atomic.Bool
}

// state returns the client's state for a decision.
func (c *Client) state() budget.Client {
	packed := c.phase.Load()
	since := time.Duration(c.registry.now.Load()-packed>>8) * time.Millisecond
	if body := c.body.Load(); body != 0 && budget.Phase(packed&0xff) == budget.Waiting {
		packed = body&^0xff | int64(budget.Reading)
		since = time.Duration(c.registry.now.Load()-packed>>8) * time.Millisecond
	}
	return budget.Client{Phase: budget.Phase(packed & 0xff), InTxn: c.inTxn.Load(), Held: c.held.Load(), Unread: c.unread.Load(),
		Since: since}
}

// close closes the client's connection, which ends the goroutine that serves it. The caller holds the registry's lock.
func (c *Client) close(cause string) {
	if c.closed.Swap(true) {
		return
	}
	s := c.state()
	c.registry.report(c.kind, cause, c.conn, "client: closed", zap.Int64("held", s.Held), zap.Uint8("phase", uint8(s.Phase)),
		zap.Duration("since", s.Since))
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // unread responses must not stay in the kernel; fails only on a closed connection
	}
	_ = c.conn.Close() // may be closed already
}

// Leave ends the account and releases everything that the client held.
func (c *Client) Leave() {
	if c == nil || c.left.Swap(true) {
		return
	}
	c.registry.mu.Lock()
	delete(c.registry.clients[c.kind], c)
	c.registry.mu.Unlock()
	c.registry.held.Add(-c.held.Swap(0))
}

// Grow charges bytes before they are held. It may wait for other clients to release memory. It returns ErrOverBudget if there is
// none, or if the client itself was closed.
func (c *Client) Grow(n int64) error {
	if c == nil || n <= 0 {
		return nil
	}
	if !c.registry.reserve(c, n) {
		c.registry.mu.Lock()
		defer c.registry.mu.Unlock()
		c.close(causeMemory)
		return ErrOverBudget
	}
	c.held.Add(n)
	return nil
}

// Hold charges bytes that are held already. Others are closed if there are too many.
func (c *Client) Hold(n int64) {
	if c == nil || n <= 0 {
		return
	}
	c.held.Add(n)
	c.registry.hold(c, n)
}

// Shrink releases bytes. It does nothing after Leave.
func (c *Client) Shrink(n int64) {
	if c == nil || n == 0 || c.left.Load() {
		return
	}
	c.held.Add(-n)
	c.registry.held.Add(-n)
}

// MessageBegan records that a part of a message has arrived.
func (c *Client) MessageBegan() { c.setPhase(budget.Reading) }

// BodyBegan records that the header of a link's message has arrived. Responses are written at the same time, so that it does not
// change the phase.
func (c *Client) BodyBegan() {
	if c != nil {
		c.body.Store(c.registry.now.Load()<<8 | 1)
	}
}

// BodyEnded records that a link's message is complete.
func (c *Client) BodyEnded() {
	if c != nil {
		c.body.Store(0)
	}
}

// Known reports whether the client has opened a session or, as a link, completed a message.
func (c *Client) Known() bool {
	return c != nil && budget.Phase(c.phase.Load()&0xff) != budget.Unknown
}

// MessageEnded records that a message is complete and is being handled.
func (c *Client) MessageEnded() { c.setPhase(budget.Running) }

// AwaitsMessage records that the client has a session and that no message has begun.
func (c *Client) AwaitsMessage() { c.setPhase(budget.Waiting) }

// ResponseBegan records that a response of the given size is being written.
func (c *Client) ResponseBegan(n int64) {
	if c != nil {
		if n > 0 {
			c.unread.Store(n)
		}
		c.setPhase(budget.Writing)
	}
}

// ResponseEnded records that a response was written.
func (c *Client) ResponseEnded(n int64) {
	if c != nil {
		if n > 0 {
			c.unread.Store(0)
		}
		c.setPhase(budget.Waiting)
	}
}

func (c *Client) setPhase(p budget.Phase) {
	if c != nil {
		c.phase.Store(c.registry.now.Load()<<8 | int64(p))
	}
}

// SetInTxn records whether a transaction is open.
func (c *Client) SetInTxn(open bool) {
	if c != nil && c.inTxn.Load() != open {
		c.inTxn.Store(open)
	}
}

// CountRefused counts and logs a request of the client that was refused because of a limit.
func (c *Client) CountRefused(cause string) {
	if c == nil {
		return
	}
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	c.registry.report(c.kind, cause, c.conn, "client: request refused")
}
