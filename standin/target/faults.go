package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a set of traffic directions from the point of view of the faulty member.
type Direction uint8

// Directions of a partition.
const (
	Inbound  Direction = 1 << iota // bytes to the member are delayed
	Outbound                       // bytes from the member are delayed
	Both     = Inbound | Outbound
)

// AllPeers selects all peers of a member in a partition: the other members and all clients.
const AllPeers = "*"

// Clients selects all clients of a member in a partition. A replication connection that is opened during such a partition
// waits as well, because its first bytes identify the peer.
const Clients = ""

// unknownMember is the peer of an outgoing connection until the other end has sent its name.
const unknownMember = "?"

// faults holds the injected faults of one member. Bytes that a partition or a freeze delays arrive when it ends, as on a
// TCP connection that survives a network partition.
type faults struct {
	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at every change
	partitions      map[string]Direction
	frozen          bool
	lag             time.Duration
	statementTime   time.Duration
	responsesToDrop int // remaining commits without a response
}

func newFaults(o Options) *faults {
	return &faults{
		changed:       make(chan struct{}),
		partitions:    map[string]Direction{},
		lag:           o.ReplicationLag,
		statementTime: o.StatementTime,
	}
}

// update applies a change and wakes the goroutines that wait for a fault to end.
func (f *faults) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

// blocked reports whether traffic between the member and peer is delayed. The channel is closed at the next change.
func (f *faults) blocked(peer string, d Direction) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	blockedDirections := f.partitions[AllPeers] | f.partitions[peer]
	return f.frozen || blockedDirections&d != 0, f.changed
}

// awaitUnfrozen waits while the member is frozen.
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

// awaitLag waits until an entry written at the given time is older than the replication lag, which may change meanwhile.
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

// takeDroppedResponse reports whether to drop the response to the current commit, and counts the drop.
func (f *faults) takeDroppedResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop == 0 {
		return false
	}
	f.responsesToDrop--
	return true
}

// faultConn is a connection that applies the faults of a member to its traffic.
type faultConn struct {
	net.Conn
	ctx    context.Context // ends when the member is killed
	faults *faults
	record func([]byte) // called with the received bytes unless nil
	peer   atomic.Value // string: name of the member at the other end, or Clients
	silent atomic.Bool
}

func newFaultConn(ctx context.Context, conn net.Conn, f *faults, record func([]byte)) *faultConn {
	c := &faultConn{Conn: conn, ctx: ctx, faults: f, record: record}
	c.peer.Store(Clients)
	return c
}

// Read returns bytes from the peer once no fault blocks them. A silent connection discards them until the peer closes it.
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

// Write sends bytes to the peer once no fault blocks them. A silent connection discards them.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.awaitUnblocked(Outbound); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// awaitUnblocked waits until no fault blocks traffic in the given direction.
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
