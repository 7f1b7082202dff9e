package target

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// GroupOptions configures a group.
type GroupOptions struct {
	Size      int      // number of members; when zero, the number of Addresses, or 3 if there are none
	Addresses []string // listen addresses; free ports on 127.0.0.1 when empty
	NoPrimary bool     // start without a primary; an orderer has to promote one
	InMemory  bool     // use no sockets; members are reached with Group.Dial only
	Member    Options  // options of all members; the group sets ID and Address
}

const defaultGroupSize = 3

// Group is a replicated database group that runs in this process.
type Group struct {
	Members []*Member
	History *History

	inMemory bool
}

// StartGroup starts a group. Unless NoPrimary is set, the first member is the primary of term 1.
func StartGroup(o GroupOptions) (*Group, error) {
	if o.Size == 0 {
		o.Size = max(len(o.Addresses), 1)
		if len(o.Addresses) == 0 {
			o.Size = defaultGroupSize
		}
	}
	if len(o.Addresses) > 0 && len(o.Addresses) != o.Size {
		return nil, trace.BadParameter("%d addresses do not fit %d members", len(o.Addresses), o.Size)
	}
	g := &Group{History: NewHistory(o.Member.DiscardHistory), inMemory: o.InMemory}
	var lastConnectionID atomic.Uint32
	var lastTransactionID atomic.Uint64
	for i := range o.Size {
		options := o.Member
		options.ID = fmt.Sprintf("m%d", i+1)
		options.Address = ""
		if len(o.Addresses) > 0 {
			options.Address = o.Addresses[i]
		}
		if o.InMemory {
			options.Address = memoryGroupAddress(i)
		}
		g.Members = append(g.Members, newMember(options, g, &lastConnectionID, &lastTransactionID))
	}
	for _, m := range g.Members {
		if err := m.start(); err != nil {
			g.Close()
			return nil, trace.Wrap(err)
		}
	}
	if !o.NoPrimary {
		g.promoteFirstMember()
	}
	return g, nil
}

// memoryGroupAddress returns the address of the member at index i of an in-memory group.
func memoryGroupAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", i+1) }

// promoteFirstMember makes the first member the primary of term 1.
func (g *Group) promoteFirstMember() {
	primary := g.Members[0]
	for _, m := range g.Members {
		// A new member has adopted no term, so it accepts term 1.
		if _, err := m.AdoptTerm(1, InitialOrderer); err != nil {
			panic(err)
		}
	}
	if _, err := primary.Promote(1, InitialOrderer); err != nil {
		panic(err)
	}
	for _, m := range g.Members[1:] {
		if _, err := m.FollowPrimary(1, primary.Address()); err != nil {
			panic(err)
		}
	}
}

// Member returns the member with the given ID, or nil.
func (g *Group) Member(id string) *Member {
	for _, m := range g.Members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// Close kills all members.
func (g *Group) Close() {
	for _, m := range g.Members {
		m.Kill()
	}
}

// AdoptTerm implements group_adopt.
func (m *Member) AdoptTerm(term uint64, orderer string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	repeated := term == d.adoptedTerm && orderer == d.orderer && orderer != ""
	if term < d.adoptedTerm || term == d.adoptedTerm && !repeated {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState,
			"term %d of orderer %q is refused: term %d of orderer %q is adopted",
			term, orderer, d.adoptedTerm, d.orderer)
	}
	if !repeated {
		m.setTerm(term, orderer)
	}
	return m.status(), nil
}

// setTerm records a newly adopted term. m.mu must be held. The member is then neither a primary nor the follower of one.
func (m *Member) setTerm(term uint64, orderer string) {
	m.durable.adoptedTerm = term
	m.durable.orderer = orderer
	m.durable.primaryTerm = 0
	m.durable.primaryAddress = ""
	m.notifyRoleChange()
	m.recordCommand(EventAdopt, term, orderer)
}

// Promote implements group_promote.
func (m *Member) Promote(term uint64, orderer string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	if term != d.adoptedTerm || orderer != d.orderer || term == 0 {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState,
			"promotion in term %d by %q is refused: term %d of orderer %q is adopted",
			term, orderer, d.adoptedTerm, d.orderer)
	}
	if d.primaryTerm == term {
		return m.status(), nil
	}
	if d.primaryAddress != "" {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState,
			"promotion in term %d is refused: the member follows %s in this term",
			term, d.primaryAddress)
	}
	d.primaryTerm = term
	m.append(entry{Term: term, Offset: d.position().Offset + 1, Written: time.Now()})
	m.notifyRoleChange()
	m.recordCommand(EventPromote, term, orderer)
	return m.status(), nil
}

// FollowPrimary implements group_follow.
func (m *Member) FollowPrimary(term uint64, address string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	if term < d.adoptedTerm || term == 0 {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "following %s in term %d is refused: term %d is adopted",
			address, term, d.adoptedTerm)
	}
	if term == d.adoptedTerm && d.primaryTerm == term {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "following %s is refused: the member is the primary of term %d",
			address, term)
	}
	if term > d.adoptedTerm {
		m.setTerm(term, "")
	}
	if d.primaryAddress != address {
		d.primaryAddress = address
		m.notifyRoleChange()
		m.recordCommand(EventFollow, term, address)
	}
	return m.status(), nil
}

// awaitPosition implements group_wait. It returns when the position is reached, the timeout expires or ctx ends.
func (m *Member) awaitPosition(ctx context.Context, term, offset uint64, timeout time.Duration) Status {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		m.mu.Lock()
		status, changed := m.status(), m.changed
		m.mu.Unlock()
		if status.Position.Term >= term && status.Position.Offset >= offset {
			return status
		}
		select {
		case <-changed:
		case <-timer.C:
			return status
		case <-ctx.Done():
			return status
		}
	}
}

// recordCommand records and logs a group function that changed the state of the member.
func (m *Member) recordCommand(kind EventKind, term uint64, name string) {
	position := m.durable.position()
	m.history.add(Event{Member: m.id, Kind: kind, SQL: fmt.Sprintf("term %d, %s", term, name), Position: position})
	m.log.Info("standin target: "+string(kind), zap.Uint64("term", term), zap.String("name", name),
		zap.Any("position", position))
}
