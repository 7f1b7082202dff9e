package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Times of virtual targets, as the platform's pages have them.
const (
	virtualReplicationDelay = 60 * time.Millisecond
	virtualPromotionTime    = 300 * time.Millisecond
	virtualDemotionDelay    = time.Second // until the old primary follows a new one that it reaches
	virtualStatementTime    = 4 * time.Millisecond
)

var errDark = errors.New("the target does not answer")

// virtualTargets is a replicated group of targets in virtual time, with the promotion interface of the platform. It records what breaks a
// promise to callers.
type virtualTargets struct {
	store *lines.Store

	mu         sync.Mutex
	members    []*virtualTarget
	leads      *virtualTarget // named by the last promotion that has taken effect
	acked      []virtualAck
	offsets    map[string]int  // of all commits
	late       map[string]bool // commits at a primary after another target had been promoted
	lastToken  uint64
	violations []string
}

// virtualAck is a commit that was acknowledged to its caller.
type virtualAck struct {
	id string
	at time.Time
}

type virtualTarget struct {
	group    *virtualTargets
	id       model.TargetID
	state    string
	sequence int
	primary  bool
	term     uint64 // as primary or follower
	log      []virtualCommit
	applied  int // entries of log that reads see
	dark     bool
	// reachableBy is the only host that reaches the target, which reaches no other target, or empty.
	reachableBy model.HostID
}

// silentFor reports whether a host gets no answer of the target.
func (m *virtualTarget) silentFor(host model.HostID) bool {
	return m.dark || m.reachableBy != "" && m.reachableBy != host
}

// apart reports whether the other targets get nothing from this one.
func (m *virtualTarget) apart() bool { return m.dark || m.reachableBy != "" }

type virtualCommit struct {
	id   string
	term uint64
}

func newVirtualTargets(store *lines.Store, n int) *virtualTargets {
	g := &virtualTargets{store: store, offsets: map[string]int{}, late: map[string]bool{}}
	for i := range n {
		m := &virtualTarget{group: g, id: model.TargetID(fmt.Sprintf("target-%d", i)), state: "ready", term: 1, primary: i == 0,
			log: []virtualCommit{{"first", 1}}, applied: 1}
		g.members = append(g.members, m)
		m.publish()
	}
	g.leads = g.members[0]
	return g
}

// publish writes the target's entry.
func (m *virtualTarget) publish() {
	m.sequence++
	role := "replica"
	if m.primary {
		role = "primary"
	}
	m.group.store.PutTarget(string(m.id), lines.TargetEntry{Service: "stock", Address: "10.0.0.1:1000", DataCentre: "z", Slots: 8,
		State: m.state, Role: role, Born: 1, Sequence: m.sequence})
}

func (m *virtualTarget) position(entries int) model.Position {
	return model.Position{Term: m.log[entries-1].term, Offset: uint64(entries)}
}

func (g *virtualTargets) violate(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

func (g *virtualTargets) member(id model.TargetID) *virtualTarget {
	i := slices.IndexFunc(g.members, func(m *virtualTarget) bool { return m.id == id })
	return g.members[i]
}

// primary returns the target that was promoted last.
func (g *virtualTargets) primary() *virtualTarget {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leads
}

// replicate has the other targets that follow the primary receive its log, and apply it later.
func (m *virtualTarget) replicate() {
	term, entries := m.term, slices.Clip(m.log)
	time.AfterFunc(virtualReplicationDelay, func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		for _, r := range m.group.members {
			if !m.apart() && r.term == term && !r.primary && !r.apart() && len(entries) > len(r.log) {
				r.log, r.applied = entries, len(entries)
			}
		}
	})
}

// commit appends a write to the log of a primary.
func (m *virtualTarget) commit(id string) (model.Position, frontend.Code) {
	if !m.primary {
		return m.position(m.applied), frontend.ReadOnly
	}
	m.log = append(m.log, virtualCommit{id, m.term})
	m.group.offsets[id], m.group.late[id] = len(m.log), m != m.group.leads
	m.applied = len(m.log)
	m.replicate()
	return m.position(m.applied), frontend.Success
}

// acknowledge records that a caller was told that its write was committed.
func (g *virtualTargets) acknowledge(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked = append(g.acked, virtualAck{id, time.Now()})
	if g.late[id] {
		g.violate("%s was committed after %s had been promoted instead, and acknowledged", id, g.leads.id)
	}
}

func (m *virtualTarget) has(id string) bool {
	offset := m.group.offsets[id]
	return offset <= m.applied && m.log[offset-1].id == id
}

// recentAcks is the number of acknowledged commits that are looked for in a read: the log is in order, so that one which has them has
// the earlier ones.
const recentAcks = 20

// checkRead records a read that ran on a target without a commit that it has to see: that of its session, and those that were
// acknowledged before since. Commits that a promotion has lost do not count.
func (m *virtualTarget) checkRead(r virtualRead) {
	checked := 0
	for _, ack := range slices.Backward(m.group.acked) {
		if ack.id != r.session && !ack.at.Before(r.since) {
			continue
		}
		if !m.has(ack.id) && m.group.leads.has(ack.id) {
			m.group.violate("a read on %s lacked %s, acknowledged %v before", m.id, ack.id, time.Since(ack.at))
		}
		if checked++; checked == recentAcks {
			return
		}
	}
}

// virtualRead is what a read has to see.
type virtualRead struct {
	session string // id of the session's last commit
	since   time.Time
}

// virtualReads holds the reads in progress by the ids of their statements.
type virtualReads struct {
	mu   sync.Mutex
	byID map[string]virtualRead
}

// Dial implements frontend.Dialer.
func (d virtualDialer) Dial(_ context.Context, t catalog.Target, _ model.Workspace) (frontend.Conn, model.Position, error) {
	time.Sleep(virtualStatementTime)
	m := d.group.member(t.ID)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if m.silentFor(d.host) {
		return nil, model.Position{}, errDark
	}
	return &virtualConn{virtualDialer: d, target: m}, m.position(m.applied), nil
}

type virtualDialer struct {
	host  model.HostID
	group *virtualTargets
	reads *virtualReads
}

type virtualConn struct {
	virtualDialer
	target *virtualTarget
}

// Run implements frontend.Conn.
func (c *virtualConn) Run(_ time.Time, commands []frontend.Command) (replies []frontend.Reply, sent bool, err error) {
	time.Sleep(virtualStatementTime)
	m := c.target
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for _, command := range commands {
		if m.silentFor(c.host) {
			return replies, true, errDark
		}
		reply := frontend.Reply{Position: m.position(m.applied)}
		switch {
		case !reply.Position.Covers(command.MinPosition):
			reply.Code = frontend.Lagging
		case command.Kind == frontend.Write:
			reply.Position, reply.Code = m.commit(command.ID)
		case command.Kind == frontend.Read:
			c.reads.mu.Lock()
			m.checkRead(c.reads.byID[command.ID])
			c.reads.mu.Unlock()
		}
		replies = append(replies, reply)
	}
	return replies, true, nil
}

// Status implements frontend.Conn.
func (c *virtualConn) Status(time.Time) (primacy.Status, error) {
	return virtualProber{c.group, c.host}.Status(context.Background(), catalog.Target{ID: c.target.id})
}

// Close implements frontend.Conn.
func (*virtualConn) Close() {}

// virtualProber is Prober for one host.
type virtualProber struct {
	group *virtualTargets
	host  model.HostID
}

// Status implements Prober.
func (p virtualProber) Status(_ context.Context, t catalog.Target) (primacy.Status, error) {
	time.Sleep(virtualStatementTime)
	p.group.mu.Lock()
	defer p.group.mu.Unlock()
	m := p.group.member(t.ID)
	if m.silentFor(p.host) {
		return primacy.Status{}, errDark
	}
	return primacy.Status{Primary: m.primary, Term: m.term, Received: m.position(len(m.log))}, nil
}

// Demote implements Prober.
func (p virtualProber) Demote(ctx context.Context, t catalog.Target, term uint64) (primacy.Status, error) {
	p.group.mu.Lock()
	if m := p.group.member(t.ID); !m.silentFor(p.host) && m.primary && m.term < term {
		m.follow(p.group.leads)
	}
	p.group.mu.Unlock()
	return p.Status(ctx, t)
}

// Close implements Prober.
func (virtualProber) Close() {}

// follow makes the target a replica of the primary.
func (m *virtualTarget) follow(primary *virtualTarget) {
	if m == primary {
		return
	}
	m.primary, m.term = false, primary.term
	m.log = slices.Clone(primary.log[:min(len(primary.log), len(m.log))])
	m.applied = len(m.log)
	m.publish()
	primary.replicate()
}

// promote implements Promoter for a host: the target leads the next term some time after the order.
func (g *virtualTargets) promote(host model.HostID, id model.TargetID, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.lastToken {
		g.violate("%s promoted %s with token %d after %d", host, id, token, g.lastToken)
	}
	g.lastToken = max(g.lastToken, token)
	if m := g.member(id); m != g.leads {
		time.AfterFunc(virtualPromotionTime, func() { g.takeOver(m) })
	}
	return nil
}

func (g *virtualTargets) takeOver(m *virtualTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.apart() || m == g.leads {
		return
	}
	old := g.leads
	m.primary, m.term, m.applied, g.leads = true, old.term+1, len(m.log), m
	m.publish()
	for _, r := range g.members {
		if r != old && r != m && !r.apart() {
			r.follow(m)
		}
	}
	time.AfterFunc(virtualDemotionDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if old.primary && !old.apart() && g.leads != old {
			old.follow(g.leads)
		}
	})
}

// cutOff cuts a target off from all hosts, or from all but one.
func (g *virtualTargets) cutOff(m *virtualTarget, except model.HostID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.dark, m.reachableBy = except == "", except
}

// heal ends cutOff: the target comes back with its log.
func (g *virtualTargets) heal(m *virtualTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.dark, m.reachableBy = false, ""; m != g.leads {
		m.follow(g.leads)
	}
}

// drain has a target announce that it is about to leave.
func (g *virtualTargets) drain(m *virtualTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.state = "draining"
	m.publish()
}

// virtualPromoter is the promotion interface as used by one host.
type virtualPromoter struct {
	group *virtualTargets
	host  model.HostID
}

// Promote implements Promoter.
func (p virtualPromoter) Promote(_ context.Context, _ model.Service, target model.TargetID, fence uint64) error {
	return p.group.promote(p.host, target, fence)
}
