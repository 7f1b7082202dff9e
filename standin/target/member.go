package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// listenTimeout limits how long a restarted member retries to listen on its port, which an outgoing connection of
	// another program may occupy briefly.
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 10 * time.Millisecond
)

// Status is the result of the group functions.
type Status struct {
	AdoptedTerm    uint64         `json:"adopted_term"`
	Orderer        string         `json:"orderer"`
	Primary        bool           `json:"primary"`
	Position       model.Position `json:"position"`
	PrimaryAddress string         `json:"primary_address"`
}

// durableState is the state of a member that survives Kill and Restart.
type durableState struct {
	adoptedTerm    uint64
	orderer        string
	primaryTerm    uint64 // term in which the member is the primary, 0 for a replica
	primaryAddress string // address of the primary that a replica follows, empty if none
	log            []entry
}

// entry is one entry of the replicated log.
type entry struct {
	Term    uint64
	Offset  uint64 // 1 for the first entry
	Written time.Time
	Changes []change
}

// change sets or deletes one row.
type change struct {
	Table   string
	Key     string
	Deleted bool
	Row     row
}

type row struct {
	Value   string
	Created time.Time // set in the ledger table only
}

type rowKey struct{ table, key string }

// Member is a member of a database group.
type Member struct {
	id      string
	options Options
	faults  *faults
	history *History
	group   *Group
	log     *zap.Logger

	lastConnectionID  *atomic.Uint32 // shared by the members of a group
	lastTransactionID *atomic.Uint64 // shared by the members of a group

	mu                  sync.Mutex
	durable             durableState
	run                 *run // nil while the member is killed
	refusingConnections bool
	address             string
	tables              map[string]map[string]row
	locks               map[rowKey]*transaction
	changed             chan struct{} // closed and replaced when the position or a lock changes
	roleChanged         chan struct{} // closed and replaced when the role or the adopted term changes
}

// run is the state of a member from a start until the next kill.
type run struct {
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	listener     net.Listener // nil while new connections are refused
	conns        map[*faultConn]*session
	slots        chan struct{}
	countedConns int // connections that count towards the connection limit
}

func newMember(o Options, g *Group, lastConnectionID *atomic.Uint32, lastTransactionID *atomic.Uint64) *Member {
	o = o.withDefaults()
	return &Member{
		id:                o.ID,
		options:           o,
		faults:            newFaults(o),
		history:           g.History,
		group:             g,
		log:               o.Logger.With(zap.String("member", o.ID)),
		lastConnectionID:  lastConnectionID,
		lastTransactionID: lastTransactionID,
		address:           o.Address,
		changed:           make(chan struct{}),
		roleChanged:       make(chan struct{}),
	}
}

// ID returns the member's ID, which is unique in the group.
func (m *Member) ID() string { return m.id }

// Address returns the listen address of the member. A restart does not change it.
func (m *Member) Address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.address
}

// Status returns the member's state. It may be called while the member is killed.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// status returns the member's state. m.mu must be held.
func (m *Member) status() Status {
	s := Status{
		AdoptedTerm:    m.durable.adoptedTerm,
		Orderer:        m.durable.orderer,
		Primary:        m.durable.primaryTerm > 0,
		Position:       m.durable.position(),
		PrimaryAddress: m.durable.primaryAddress,
	}
	if s.Primary {
		s.PrimaryAddress = m.address
	}
	return s
}

func (d *durableState) position() model.Position {
	if len(d.log) == 0 {
		return model.Position{}
	}
	last := d.log[len(d.log)-1]
	return model.Position{Term: last.Term, Offset: last.Offset}
}

// start begins a run from the durable state.
func (m *Member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.run != nil {
		return trace.AlreadyExists("member %s runs already", m.id)
	}
	r := &run{conns: map[*faultConn]*session{}, slots: make(chan struct{}, m.options.Slots)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	m.run = r
	m.locks = map[rowKey]*transaction{}
	m.rebuildTables()
	if !m.refusingConnections {
		if err := m.listen(r); err != nil {
			m.run = nil
			r.cancel()
			return trace.Wrap(err)
		}
	}
	r.tasks.Go(func() { m.followLoop(r) })
	return nil
}

// listen opens the listener of a run and accepts connections.
func (m *Member) listen(r *run) error {
	listener, err := m.openListener()
	if err != nil {
		return trace.ConnectionProblem(err, "member %s cannot listen on %s", m.id, m.address)
	}
	m.address = listener.Addr().String()
	r.listener = listener
	r.tasks.Go(func() { m.accept(r, listener) })
	return nil
}

func (m *Member) openListener() (net.Listener, error) {
	if m.group.inMemory {
		return newMemoryListener(m.address), nil
	}
	deadline := time.Now().Add(listenTimeout)
	listener, err := net.Listen("tcp", m.address)
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(listenRetryInterval)
		listener, err = net.Listen("tcp", m.address)
	}
	return listener, err
}

func (m *Member) accept(r *run, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := m.newSession(r, conn)
		m.mu.Lock()
		if r.ctx.Err() != nil {
			m.mu.Unlock()
			conn.Close()
			return
		}
		r.conns[s.conn] = s
		r.tasks.Go(func() { m.serve(r, s) })
		m.mu.Unlock()
	}
}

func (m *Member) serve(r *run, s *session) {
	s.serve()
	s.conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(r.conns, s.conn)
	if s.counted {
		r.countedConns--
	}
}

// Kill stops the member immediately: it closes the listener and all connections and discards open transactions. The
// durable state stays.
func (m *Member) Kill() {
	m.mu.Lock()
	r := m.run
	if r == nil {
		m.mu.Unlock()
		return
	}
	m.run = nil
	r.cancel()
	if r.listener != nil {
		r.listener.Close()
	}
	for conn := range r.conns {
		conn.Close()
	}
	m.mu.Unlock()
	r.tasks.Wait()
	m.history.add(Event{Member: m.id, Kind: EventKill, Position: m.Status().Position})
}

// Restart starts a killed member at the same address from its durable state. Injected faults stay in force.
func (m *Member) Restart() error {
	if err := m.start(); err != nil {
		return trace.Wrap(err)
	}
	m.history.add(Event{Member: m.id, Kind: EventRestart, Position: m.Status().Position})
	return nil
}

// Partition delays all traffic between the member and peer in the given directions until the partition ends. Peer is the
// name of a member, Clients or AllPeers. Direction 0 ends the partition.
func (m *Member) Partition(peer string, d Direction) {
	m.faults.update(func() {
		if d == 0 {
			delete(m.faults.partitions, peer)
			return
		}
		m.faults.partitions[peer] = d
	})
}

// Heal ends all partitions of the member.
func (m *Member) Heal() {
	m.faults.update(func() { clear(m.faults.partitions) })
}

// SetFrozen stops the member as SIGSTOP does, or resumes it.
func (m *Member) SetFrozen(frozen bool) {
	m.faults.update(func() { m.faults.frozen = frozen })
}

// SetReplicationLag sets the minimum age of an entry when the member applies it as a replica.
func (m *Member) SetReplicationLag(lag time.Duration) {
	m.faults.update(func() { m.faults.lag = lag })
}

// SetStatementTime sets the time for which each statement occupies its slot.
func (m *Member) SetStatementTime(d time.Duration) {
	m.faults.update(func() { m.faults.statementTime = d })
}

// DropResponses makes the next count commits take effect and then close their connection without a response.
func (m *Member) DropResponses(count int) {
	m.faults.update(func() { m.faults.responsesToDrop = count })
}

// SilenceConnections silences all open client connections permanently: their traffic is discarded in both directions. New
// connections are not affected.
func (m *Member) SilenceConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.run == nil {
		return
	}
	for conn := range m.run.conns {
		if conn.peer.Load() == Clients {
			conn.silent.Store(true)
		}
	}
}

// RefuseConnections makes the member refuse new connections, or accept them again. Open connections stay.
func (m *Member) RefuseConnections(refuse bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusingConnections = refuse
	if m.run == nil {
		return nil
	}
	if refuse && m.run.listener != nil {
		m.run.listener.Close()
		m.run.listener = nil
	}
	if !refuse && m.run.listener == nil {
		return trace.Wrap(m.listen(m.run))
	}
	return nil
}

// ConnectionCount returns the number of connections that count towards the connection limit.
func (m *Member) ConnectionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.run == nil {
		return 0
	}
	return m.run.countedConns
}

// notifyWaiters wakes the goroutines that wait for a position or a lock.
func (m *Member) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// notifyRoleChange wakes the goroutines that wait for a change of the role or the adopted term.
func (m *Member) notifyRoleChange() {
	close(m.roleChanged)
	m.roleChanged = make(chan struct{})
	m.notifyWaiters()
}

// append appends entries to the log and applies them.
func (m *Member) append(entries ...entry) {
	for _, e := range entries {
		m.durable.log = append(m.durable.log, e)
		m.apply(e)
	}
	m.notifyWaiters()
}

// apply changes the tables according to an entry.
func (m *Member) apply(e entry) {
	for _, c := range e.Changes {
		if c.Deleted {
			delete(m.tables[c.Table], c.Key)
			continue
		}
		m.tables[c.Table][c.Key] = c.Row
	}
}

// rebuildTables replays the log into empty tables.
func (m *Member) rebuildTables() {
	m.tables = map[string]map[string]row{LedgerTable: {}}
	for _, name := range m.options.Tables {
		m.tables[name] = map[string]row{}
	}
	for _, e := range m.durable.log {
		m.apply(e)
	}
}
