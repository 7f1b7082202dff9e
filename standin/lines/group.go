// Package lines stands in for the lantern platform in tests: its metadata store, its databases with their line protocol,
// and its duty of promotion. It follows the platform's published pages and runs in one process.
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

// Commit is an entry of the log of a group's databases.
type Commit struct {
	Sequence      int // place among all commits of the group
	Term, Offset  uint64
	StatementIDs  []string // of the statements that wrote
	RolledBack    bool     // a promotion dropped it
	StaleTerm     bool     // made after another database led a newer term
	writes        []write
	receivedCount int // replicas that have received it
}

type write struct{ id, item, data string }

// Executed is a statement that a database ran.
type ExecutedStatement struct {
	At                            time.Time
	ConnectionID                  int // connection that it came on
	Database, Workspace, ID, Text string
	SessionVariables              string // session values of the connection
	Shape                         string // kind and shape of the prepared statement that it executed
	TransactionID                 string // id of the first statement of the transaction that it ran in
	Rows                          []string
	VisibleLog                    []*Commit // log that a read saw
	Committed                     bool      // the statement was a write or a commit that took effect
}

// Promotion is a call of the duty of promotion.
type Promotion struct {
	At           time.Time
	LeaseHolder  string
	FencingToken uint64
	Target       string
}

// Group is a service of replicated databases.
type Group struct {
	Service        string
	ReplicationLag time.Duration // after which replicas apply a commit
	MaxConns       int
	store          *Store

	mu            sync.Mutex
	members       []*Member
	term          uint64
	syncReplicas  int           // that have to receive a commit before it is acknowledged
	statementTime time.Duration // that a statement takes
	executed      []ExecutedStatement
	commits       []*Commit
	promotions    []Promotion
	connections   int
	dropResponse  func(member *Member, text string) bool // loses the answer of a statement that ran
}

// Member is one database of a group.
type Member struct {
	ID                 string
	Address            string
	group              *Group
	listener           net.Listener
	primary            bool
	partitioned        bool
	replicationBlocked bool // receives no commits
	state              string
	advertisedAddress  string // address in its entry, which differs from Address behind a proxy
	startedAt          int64
	term               uint64
	log                []*Commit
	applied            int // entries of the log that reads see
	conns              map[net.Conn]bool
}

// NewGroup starts a group of databases on loopback. The first one is the primary.
func NewGroup(store *Store, service string, members int) (*Group, error) {
	g := &Group{Service: service, ReplicationLag: 20 * time.Millisecond, MaxConns: 20, store: store, term: 1}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &Member{ID: fmt.Sprintf("%s-%d", service, i), Address: l.Addr().String(), group: g, listener: l,
			primary: i == 0, term: 1, startedAt: 1, state: "ready", advertisedAddress: l.Addr().String(), conns: map[net.Conn]bool{}}
		g.members = append(g.members, m)
		m.publishEntry()
		go m.accept()
	}
	return g, nil
}

// Close stops all databases.
func (g *Group) Close() {
	for _, m := range g.members {
		_ = m.listener.Close() // nothing is left to be done
	}
}

// Member returns a database by its number.
func (g *Group) Member(i int) *Member { return g.members[i] }

// SetLose lets databases lose the answers of statements that match, after running them.
func (g *Group) DropResponses(match func(m *Member, text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dropResponse = match
}

// SetLag changes the time after which replicas apply a commit.
func (g *Group) SetReplicationLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ReplicationLag = lag
}

// Executed returns what all databases ran, in order.
func (g *Group) ExecutedStatements() []ExecutedStatement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]ExecutedStatement(nil), g.executed...)
}

// Committed returns the ids of the writes in the log of the primary, in order.
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

// Primary returns the database that leads the newest term.
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

// SetWork changes the time that a statement takes.
func (g *Group) SetStatementTime(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.statementTime = d
}

// SetSyncReplicas changes the number of replicas that have to receive a commit before it is acknowledged.
func (g *Group) SetSyncReplicas(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = n
}

// Inspect shows what has happened so far; nothing happens meanwhile.
func (g *Group) Inspect(inspect func(executed []ExecutedStatement, commits []*Commit, promotions []Promotion)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inspect(g.executed, g.commits, g.promotions)
}

// Drain lets a database report that it is about to stop.
func (m *Member) Drain() { m.setState("draining") }

// Withdraw removes the entry of a database, as the platform does for one that is silent or has left.
func (m *Member) Deregister() { m.setState("gone") }

// Register writes the entry of a database again.
func (m *Member) Register() { m.setState("ready") }

func (m *Member) setState(state string) {
	m.group.mu.Lock()
	m.state = state
	m.group.mu.Unlock()
	m.publishEntry()
}

// Announce puts another address into the entry of a database, that of a proxy.
func (m *Member) SetAdvertisedAddress(address string) {
	m.group.mu.Lock()
	m.advertisedAddress = address
	m.group.mu.Unlock()
	m.publishEntry()
}

// SetDark cuts a database off: connections hang and are lost. Its entry stays.
func (m *Member) SetPartitioned(partitioned bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.partitioned = partitioned
	for conn := range m.conns {
		_ = conn.Close() // the far end notices
	}
	m.group.replicate()
	time.AfterFunc(demoteDelay, m.group.demoteOldPrimaries)
}

// SetDeaf keeps a replica from receiving commits.
func (m *Member) SetReplicationBlocked(blocked bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.replicationBlocked = blocked
	m.group.replicate()
}

// Empty restarts a database under its id without anything that it held. Its entry tells that when it registers the next
// time.
func (m *Member) RestartEmpty() {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for conn := range m.conns {
		_ = conn.Close() // the far end notices
	}
	m.startedAt++
	m.log, m.applied, m.primary = nil, 0, false
}

// register writes or removes the entry of a database.
func (m *Member) publishEntry() {
	g := m.group
	g.mu.Lock()
	role, state := "replica", m.state
	if m.primary {
		role = "primary"
	}
	entry := map[string]any{"service": g.Service, "address": m.advertisedAddress, "zone": "z1", "slots": 3, "state": state,
		"dbRole": role, "sequence": 1, "born": m.startedAt}
	g.mu.Unlock()
	if state == "gone" {
		g.store.Remove("servers/" + m.ID)
		return
	}
	g.store.Put("servers/"+m.ID, entry)
}

// ServeHTTP is the platform's duty of promotion.
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

// demoteAfter is the time after which an old primary that reaches the new one becomes a replica by itself.
const demoteDelay = time.Second

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

// settle demotes the old primaries that reach the present one.
func (g *Group) demoteOldPrimaries() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.primary && !m.partitioned {
			m.demote(g.term)
		}
	}
}

// demote makes a primary of an older term a replica that holds what the new primary has.
func (m *Member) demote(term uint64) {
	if !m.primary || m.term >= term {
		return
	}
	m.primary, m.term = false, term
	m.group.replicate()
	go m.publishEntry()
}

// replicate sends the log of the present primary to the replicas that it reaches.
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

// receive takes the log of the primary. What it has not, is rolled back.
func (m *Member) receive(leading *Member) {
	common := sort.Search(min(len(m.log), len(leading.log)), func(i int) bool { return m.log[i] != leading.log[i] })
	for _, c := range leading.log[common:] {
		c.receivedCount++
	}
	m.log, m.term, m.applied = slices.Clip(leading.log), leading.term, min(m.applied, common)
	log := m.log
	time.AfterFunc(m.group.ReplicationLag, func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		if n := len(log); n == 0 || len(m.log) >= n && m.log[n-1] == log[n-1] {
			m.applied = max(m.applied, n)
		}
	})
}

// position returns the position that reads see.
func (m *Member) position() string {
	if m.applied == 0 {
		return fmt.Sprintf("%d.0", 1)
	}
	c := m.log[m.applied-1]
	return fmt.Sprintf("%d.%d", c.Term, c.Offset)
}

// append commits writes at the primary and sends them to the replicas.
func (m *Member) appendCommit(writes []write) *Commit {
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

// read returns the value of an item as reads see it, with the uncommitted writes of a transaction.
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

// lacks reports whether the visible log lacks a position.
func (m *Member) isBehind(position string) bool {
	termText, offsetText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	offset, _ := strconv.ParseUint(offsetText, 10, 64)
	if offset == 0 {
		return false
	}
	return offset > uint64(m.applied) || m.log[offset-1].Term != term
}
