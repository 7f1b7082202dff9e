// Package lines is a stand-in for the lantern platform in tests. It implements the metadata store, replicated databases
// that speak the line protocol, and the promotion API, all in one process, as the platform's documentation describes them.
package lines

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Commit is an entry of the replicated log.
type Commit struct {
	Sequence      int // index among all commits of the group
	Term, Offset  uint64
	StatementIDs  []string // IDs of the statements that wrote
	RolledBack    bool     // discarded by a promotion
	StaleTerm     bool     // committed by an old primary after the start of a newer term
	writes        []write
	receivedCount int // number of replicas that have received it
}

// write is an update of an item by the statement with the given ID.
type write struct{ id, item, data string }

// ExecutedStatement is a record of a statement that a database ran.
type ExecutedStatement struct {
	At                            time.Time
	ConnectionID                  int
	Database, Workspace, ID, Text string
	SessionVariables              string // name=value pairs, sorted and separated by commas
	Shape                         string // kind and shape of the executed prepared statement, if any
	TransactionID                 string // ID of the first statement of its transaction
	Rows                          []string
	VisibleLog                    []*Commit // log entries visible to a read
	Committed                     bool      // the statement was a write or a commit that took effect
}

// Promotion is a record of a request to the promotion API.
type Promotion struct {
	At           time.Time
	LeaseHolder  string
	FencingToken uint64
	Target       string
}

// Group is a service with a primary database and its replicas.
type Group struct {
	Service        string
	ReplicationLag time.Duration // delay before a replica applies a commit
	MaxConns       int
	store          *Store

	mu               sync.Mutex
	members          []*Member
	term             uint64
	syncReplicas     int           // replicas that must receive a commit before it is acknowledged
	statementTime    time.Duration // execution time of a statement
	executed         []ExecutedStatement
	commits          []*Commit
	promotions       []Promotion
	lastConnectionID int
	openTransactions int
	dropResponse     func(member *Member, text string) bool // statements whose response is dropped after they ran
}

// Member is one database of a group.
type Member struct {
	ID                 string
	Address            string
	group              *Group
	listener           net.Listener
	primary            bool
	partitioned        bool
	replicationBlocked bool // the replica receives no commits
	state              string
	dataCentre         string
	requestTimes       []time.Time // of the lines received, also of the hosts' own statements
	coldRemaining      time.Duration
	advertisedAddress  string // address in the store entry; differs from Address behind a proxy
	incarnation        int64  // "born" in the store entry; incremented by a restart without data
	sequence           int    // of the reports since the start
	term               uint64
	log                []*Commit
	applied            int // number of log entries visible to reads
	conns              map[net.Conn]bool
}

// NewGroup starts a group of databases that listen on loopback addresses. The first member is the primary.
func NewGroup(store *Store, service string, members int) (*Group, error) {
	g := &Group{Service: service, ReplicationLag: 20 * time.Millisecond, MaxConns: 20, store: store, term: 1}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &Member{ID: fmt.Sprintf("%s-%d", service, i), Address: l.Addr().String(), group: g, listener: l,
			primary: i == 0, term: 1, incarnation: 1, state: "ready", dataCentre: "z1", advertisedAddress: l.Addr().String(),
			conns: map[net.Conn]bool{}}
		g.members = append(g.members, m)
		m.publishEntry()
		go m.accept()
	}
	return g, nil
}

// Close closes the listeners of all members.
func (g *Group) Close() {
	for _, m := range g.members {
		_ = m.listener.Close() // an error leaves nothing to clean up
	}
}

// Member returns the member at index i.
func (g *Group) Member(i int) *Member { return g.members[i] }

// DropResponses makes members execute matching statements and close the connection without a response.
func (g *Group) DropResponses(match func(m *Member, text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropResponse = match
}

// SetReplicationLag sets the delay before replicas apply a commit.
func (g *Group) SetReplicationLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ReplicationLag = lag
}

// ExecutedStatements returns the statements that all members ran, in execution order.
func (g *Group) ExecutedStatements() []ExecutedStatement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]ExecutedStatement(nil), g.executed...)
}

// OpenTransactions returns the number of transactions that are open on the members.
func (g *Group) OpenTransactions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openTransactions
}

// CommittedIDs returns the statement IDs of the writes in the log of the primary, in log order.
func (g *Group) CommittedIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, m := range g.members {
		if m.primary && m.term == g.term {
			for _, c := range m.log {
				ids = append(ids, c.StatementIDs...)
			}
		}
	}
	return ids
}

// Primary returns the primary of the current term, or nil.
func (g *Group) Primary() *Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && m.term == g.term {
			return m
		}
	}
	return nil
}

// SetStatementTime sets the execution time of a statement.
func (g *Group) SetStatementTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statementTime = d
}

// SetSyncReplicas sets the number of replicas that must receive a commit before it is acknowledged.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = n
}

// Inspect calls inspect with the recorded statements, commits and promotions while the group is locked.
func (g *Group) Inspect(inspect func(executed []ExecutedStatement, commits []*Commit, promotions []Promotion)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inspect(g.executed, g.commits, g.promotions)
}

// Drain sets the state in the member's store entry to "draining".
func (m *Member) Drain() { m.setState("draining") }

// Deregister removes the member's store entry, as the platform does for a member that is unresponsive or has left.
func (m *Member) Deregister() { m.setState("gone") }

// Register writes the member's store entry again with the state "ready".
func (m *Member) Register() { m.setState("ready") }

func (m *Member) setState(state string) {
	m.group.mu.Lock()
	m.state = state
	m.group.mu.Unlock()
	m.publishEntry()
}

// SetDataCentre sets the data centre in the member's store entry. Initially it is z1.
func (m *Member) SetDataCentre(name string) {
	m.group.mu.Lock()
	m.dataCentre = name
	m.group.mu.Unlock()
	m.publishEntry()
}

// SetColdRemaining sets the time in the member's store entry for which it stays cold.
func (m *Member) SetColdRemaining(d time.Duration) {
	m.group.mu.Lock()
	m.coldRemaining = d
	m.group.mu.Unlock()
	m.publishEntry()
}

// RequestTimes returns the times at which the member received a line: a statement of any kind, or the start of a session.
func (m *Member) RequestTimes() []time.Time {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return slices.Clone(m.requestTimes)
}

// LastRequest returns the last of RequestTimes, or the zero time if there is none.
func (m *Member) LastRequest() time.Time {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if len(m.requestTimes) == 0 {
		return time.Time{}
	}
	return m.requestTimes[len(m.requestTimes)-1]
}

// recordRequest records that the member has received a line.
func (m *Member) recordRequest() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.requestTimes = append(m.requestTimes, time.Now())
}

// SetAdvertisedAddress replaces the address in the member's store entry, for example by that of a proxy.
func (m *Member) SetAdvertisedAddress(address string) {
	m.group.mu.Lock()
	m.advertisedAddress = address
	m.group.mu.Unlock()
	m.publishEntry()
}

// SetPartitioned cuts the member off from clients and from the other members, or reconnects it. It closes all connections
// of the member, and a partitioned member closes new ones at once. The store entry stays.
func (m *Member) SetPartitioned(partitioned bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.partitioned = partitioned
	for conn := range m.conns {
		_ = conn.Close() // the client detects the closed connection
	}
	m.group.replicate()
	time.AfterFunc(demoteDelay, m.group.demoteOldPrimaries)
}

// SetReplicationBlocked blocks or resumes the replication of commits to the member.
func (m *Member) SetReplicationBlocked(blocked bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicationBlocked = blocked
	m.group.replicate()
}

// RestartEmpty restarts the member under the same ID without its data. The store entry shows the new start only after the
// next registration.
func (m *Member) RestartEmpty() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for conn := range m.conns {
		_ = conn.Close() // the client detects the closed connection
	}
	m.incarnation++
	m.sequence = 0
	m.log, m.applied, m.primary = nil, 0, false
}

// publishEntry writes the member's store entry, or removes it if the state is "gone".
func (m *Member) publishEntry() {
	g := m.group
	g.mu.Lock()
	role, state := "replica", m.state
	if m.primary {
		role = "primary"
	}
	m.sequence++
	entry := TargetEntry{Service: g.Service, Address: m.advertisedAddress, DataCentre: m.dataCentre, Slots: 3, State: state, Role: role,
		Sequence: m.sequence, Born: m.incarnation, ColdRemainingMs: m.coldRemaining.Milliseconds()}
	g.mu.Unlock()
	if state == "gone" {
		g.store.Remove(targetPrefix + m.ID)
		return
	}
	g.store.PutTarget(m.ID, entry)
}

// ServeHTTP implements the platform's promotion API.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Service    string `json:"service"`
		InstanceID string `json:"instanceId"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Service != g.Service {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	g.mu.Lock()
	g.promotions = append(g.promotions, Promotion{time.Now(), r.Header.Get("X-Lease-Holder"), token, request.InstanceID})
	g.mu.Unlock()
	for _, m := range g.members {
		if m.ID == request.InstanceID && !m.isPartitioned() {
			time.AfterFunc(50*time.Millisecond, func() { g.promote(m) })
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

func (m *Member) isPartitioned() bool {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.partitioned
}

// demoteDelay is the time after which an old primary that can reach the new one demotes itself.
const demoteDelay = time.Second

// promote makes a member the primary of a new term. Commits that it does not have are rolled back.
func (g *Group) promote(candidate *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if candidate.primary && candidate.term == g.term || candidate.partitioned {
		return
	}
	g.term++
	candidate.primary, candidate.term = true, g.term
	candidate.applied = len(candidate.log)
	for _, c := range g.commits {
		c.RolledBack = !slices.Contains(candidate.log, c)
	}
	g.replicate()
	go candidate.publishEntry()
	time.AfterFunc(demoteDelay, g.demoteOldPrimaries)
}

// demoteOldPrimaries demotes the primaries of older terms that are not partitioned.
func (g *Group) demoteOldPrimaries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && !m.partitioned {
			m.demote(g.term)
		}
	}
}

// demote turns a primary of a term before the given one into a replica and resynchronises its log with the primary's.
func (m *Member) demote(term uint64) {
	if !m.primary || m.term >= term {
		return
	}
	m.primary, m.term = false, term
	m.group.replicate()
	go m.publishEntry()
}

// replicate copies the log of the current primary to the replicas that it can reach.
func (g *Group) replicate() {
	for _, primary := range g.members {
		if !primary.primary || primary.term != g.term || primary.partitioned {
			continue
		}
		for _, m := range g.members {
			if !m.primary && !m.partitioned && !m.replicationBlocked {
				m.receive(primary)
			}
		}
	}
}

// receive replaces the log by that of the primary. Entries that the primary does not have are rolled back; new entries
// become visible to reads after the replication lag.
func (m *Member) receive(primary *Member) {
	common := sort.Search(min(len(m.log), len(primary.log)), func(i int) bool { return m.log[i] != primary.log[i] })
	for _, c := range primary.log[common:] {
		c.receivedCount++
	}
	m.log, m.term, m.applied = slices.Clip(primary.log), primary.term, min(m.applied, common)
	log := m.log
	time.AfterFunc(m.group.ReplicationLag, func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		if n := len(log); n == 0 || len(m.log) >= n && m.log[n-1] == log[n-1] {
			m.applied = max(m.applied, n)
		}
	})
}

// position returns the position of the last applied log entry.
func (m *Member) position() string {
	if m.applied == 0 {
		return fmt.Sprintf("%d.0", 1)
	}
	c := m.log[m.applied-1]
	return fmt.Sprintf("%d.%d", c.Term, c.Offset)
}

// append commits writes on the primary and replicates them.
func (m *Member) append(writes []write) *Commit {
	g := m.group
	c := &Commit{Sequence: len(g.commits), Term: m.term, Offset: uint64(len(m.log)) + 1, writes: writes,
		StaleTerm: m.term < g.term, RolledBack: m.term < g.term}
	for _, w := range writes {
		c.StatementIDs = append(c.StatementIDs, w.id)
	}
	g.commits = append(g.commits, c)
	m.log = append(slices.Clip(m.log), c)
	m.applied = len(m.log)
	if !c.StaleTerm {
		g.replicate()
	}
	return c
}

// readItem returns the value of an item from the applied log and the uncommitted writes of the transaction.
func (m *Member) readItem(name string, pending []write) string {
	value := ""
	for _, c := range m.log[:m.applied] {
		for _, w := range c.writes {
			if w.item == name {
				value = w.data
			}
		}
	}
	for _, w := range pending {
		if w.item == name {
			value = w.data
		}
	}
	return value
}

// isBehind reports whether the applied log does not contain the given position.
func (m *Member) isBehind(position string) bool {
	termText, offsetText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	offset, _ := strconv.ParseUint(offsetText, 10, 64)
	if offset == 0 {
		return false
	}
	return offset > uint64(m.applied) || m.log[offset-1].Term != term
}
