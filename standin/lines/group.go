// Package lines stands in for the lantern platform in tests: its metadata store, its databases with their line protocol,
// and its duty of promotion. It follows the platform's published pages and runs in one process.
package lines

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// commit is an entry of a database's log.
type commit struct {
	term, number uint64
	writes       []write
}

type write struct{ id, item, data string }

// Executed is a statement that a database ran.
type Executed struct {
	Database, Workspace, ID, Text string
	Values                        string // session values of the connection
	Committed                     bool   // the statement was a write or a commit that took effect
}

// Group is a service of replicated databases.
type Group struct {
	Service  string
	Lag      time.Duration // after which replicas apply a commit
	MaxConns int
	store    *Store

	mu       sync.Mutex
	members  []*Member
	term     uint64
	executed []Executed
	lose     func(member *Member, text string) bool // loses the answer of a statement that ran
}

// Member is one database of a group.
type Member struct {
	ID       string
	Address  string
	group    *Group
	listener net.Listener
	primary  bool
	dark     bool
	term     uint64
	log      []commit
	applied  int // entries of the log that reads see
	conns    map[net.Conn]bool
}

// NewGroup starts a group of databases on loopback. The first one is the primary.
func NewGroup(store *Store, service string, members int) (*Group, error) {
	g := &Group{Service: service, Lag: 20 * time.Millisecond, MaxConns: 20, store: store, term: 1}
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m := &Member{ID: fmt.Sprintf("%s-%d", service, i), Address: l.Addr().String(), group: g, listener: l,
			primary: i == 0, term: 1, conns: map[net.Conn]bool{}}
		g.members = append(g.members, m)
		m.register("ready")
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
func (g *Group) SetLose(match func(m *Member, text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lose = match
}

// SetLag changes the time after which replicas apply a commit.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = lag
}

// Executed returns what all databases ran, in order.
func (g *Group) Executed() []Executed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Executed(nil), g.executed...)
}

// Committed returns the ids of the writes in the log of the primary, in order.
func (g *Group) Committed() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, m := range g.members {
		if m.primary && m.term == g.term {
			for _, c := range m.log {
				for _, w := range c.writes {
					ids = append(ids, w.id)
				}
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

// Drain lets a database report that it is about to stop.
func (m *Member) Drain() { m.register("draining") }

// SetDark cuts a database off: connections hang and are lost. Its entry stays.
func (m *Member) SetDark(dark bool) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.dark = dark
	for conn := range m.conns {
		_ = conn.Close() // the far end notices
	}
}

func (m *Member) register(state string) {
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.group.store.Put("servers/"+m.ID, map[string]any{"service": m.group.Service, "address": m.Address, "zone": "z1",
		"slots": 3, "state": state, "dbRole": role, "sequence": 1, "born": 1})
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
	for _, m := range g.members {
		if m.ID == request.InstanceID {
			time.AfterFunc(50*time.Millisecond, func() { g.promote(m) })
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

func (g *Group) promote(next *Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if next.primary && next.term == g.term {
		return
	}
	g.term++
	next.primary, next.term = true, g.term
	next.applied = len(next.log)
	for _, m := range g.members {
		if m != next && !m.primary {
			m.log = append([]commit(nil), next.log...)
			m.applied = min(m.applied, len(m.log))
			m.term = g.term
		}
	}
	go next.register("ready")
}

// demote makes a primary of an older term a replica that holds what the new primary has.
func (m *Member) demote(term uint64) {
	if !m.primary || m.term >= term {
		return
	}
	m.primary, m.term = false, term
	for _, next := range m.group.members {
		if next.primary {
			m.log = append([]commit(nil), next.log...)
			m.applied = len(m.log)
		}
	}
}

// position returns the position that reads see.
func (m *Member) position() string {
	if m.applied == 0 {
		return fmt.Sprintf("%d.0", 1)
	}
	c := m.log[m.applied-1]
	return fmt.Sprintf("%d.%d", c.term, c.number)
}

// append commits writes at the primary and sends them to the replicas.
func (m *Member) append(writes []write) {
	number := uint64(len(m.log)) + 1
	c := commit{m.term, number, writes}
	m.log = append(m.log, c)
	m.applied = len(m.log)
	for _, other := range m.group.members {
		if other == m || other.primary || other.dark || m.dark || len(other.log) != len(m.log)-1 {
			continue
		}
		other.log = append(other.log, c)
		other.term = m.term
		time.AfterFunc(m.group.Lag, func() {
			m.group.mu.Lock()
			defer m.group.mu.Unlock()
			other.applied = min(len(other.log), max(other.applied, int(number)))
		})
	}
}

// read returns the value of an item as reads see it, with the uncommitted writes of a transaction.
func (m *Member) read(name string, pending []write) string {
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
func (m *Member) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	if number == "0" {
		return false
	}
	for _, c := range m.log[:m.applied] {
		if fmt.Sprint(c.term) == term && fmt.Sprint(c.number) == number {
			return false
		}
	}
	return true
}
