package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a set of directions of traffic, seen from the member that has the fault.
type Direction uint8

// Directions of a cut.
const (
	Inbound  Direction = 1 << iota // bytes to the member are held back
	Outbound                       // bytes from the member are held back
	Both     = Inbound | Outbound
)

// Everybody stands for all peers of a member in a cut: all other members and all clients.
const AllPeers = "*"

// Clients stands for all clients of a member in a cut. A replication connection that begins during such a cut waits as
// well, because the member learns from its first bytes who it is.
const Clients = ""

// unknownMember is the peer of an outgoing connection until the other end has told its name.
const unknownMember = "?"

// faults is the state of the settable faults of one member. Bytes that a cut or a freeze holds back arrive when it
// ends, as they do on a TCP connection that survives a partition.
type faults struct {
	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at every change
	partitions      map[string]Direction
	frozen          bool
	lag             time.Duration
	statementTime   time.Duration
	responsesToDrop int // commits whose answer will be lost
}

func newFaults(o Options) *faults {
	return &faults{
		changed:       make(chan struct{}),
		partitions:    map[string]Direction{},
		lag:           o.ReplicationLag,
		statementTime: o.StatementTime,
	}
}

// change applies f and wakes everything that waits for a fault to end.
func (f *faults) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

// blocked reports whether bytes between the member and peer are held back. The channel is closed at the next change.
func (f *faults) blocked(peer string, d Direction) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := f.partitions[AllPeers] | f.partitions[peer]
	return f.frozen || cut&d != 0, f.changed
}

// awaitThaw waits while the member is frozen.
func (f *faults) awaitUnfrozen(ctx context.Context) error {
	for {
		f.mu.Lock()
		frozen, changed := f.frozen, f.changed
		f.mu.Unlock()
		if !frozen {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitLag waits until an entry of the given time is as old as the replication lag, which may change meanwhile.
func (f *faults) awaitLag(ctx context.Context, written time.Time) error {
	for {
		f.mu.Lock()
		lag, changed := f.lag, f.changed
		f.mu.Unlock()
		wait := time.Until(written.Add(lag))
		if wait <= 0 {
			return f.awaitUnfrozen(ctx)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (f *faults) currentStatementTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statementTime
}

// takeLostAnswer reports whether the answer to the current commit is to be lost.
func (f *faults) takeDroppedResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop == 0 {
		return false
	}
	f.responsesToDrop--
	return true
}

// faultConn is a connection of a member that obeys the member's faults.
type faultConn struct {
	net.Conn
	ctx    context.Context // ends when the member is killed
	faults *faults
	record func([]byte) // called with the bytes that the member receives, may be nil
	peer   atomic.Value // string: identifier of the member at the other end, Clients otherwise
	silent atomic.Bool
}

func newFaultConn(ctx context.Context, conn net.Conn, f *faults, record func([]byte)) *faultConn {
	c := &faultConn{Conn: conn, ctx: ctx, faults: f, record: record}
	c.peer.Store(Clients)
	return c
}

// Read returns bytes from the peer after holding them back as long as a fault says so. A silent connection discards
// them until the peer closes it.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if waitErr := c.awaitUnblocked(Inbound); waitErr != nil {
			return 0, waitErr
		}
		if c.silent.Load() && err == nil {
			continue
		}
		if n > 0 && c.record != nil {
			c.record(p[:n])
		}
		return n, err
	}
}

// Write sends bytes to the peer when no fault holds them back. A silent connection discards them.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.awaitUnblocked(Outbound); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultConn) awaitUnblocked(d Direction) error {
	for {
		blocked, changed := c.faults.blocked(c.peer.Load().(string), d)
		if !blocked {
			return c.ctx.Err()
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}
