package target

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// GroupOptions are the settings of a group.
type GroupOptions struct {
	Size      int      // number of members; 3 when zero
	Addresses []string // listen addresses; free ports on 127.0.0.1 when empty
	NoPrimary bool     // start without a primary, so that an orderer has to promote one
	InMemory  bool     // no sockets: connections come through Group.Dial only
	Member    Options  // settings of all members; ID and Address are set by the group
}

const defaultGroupSize = 3

// Group is a replicated database group whose members run in this process.
type Group struct {
	Members []*Member
	History *History

	inMemory bool
}

// StartGroup starts a group. Unless it is unordered, the first member is the primary of term 1.
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
	var connections atomic.Uint32
	var transactions atomic.Uint64
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
		g.Members = append(g.Members, newMember(options, g, &connections, &transactions))
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

// memoryGroupAddress returns an address that no other member of a group in memory has.
func memoryGroupAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", i+1) }

// order makes the first member the primary of term 1.
func (g *Group) promoteFirstMember() {
	primary := g.Members[0]
	for _, m := range g.Members {
		// A member that has just started refuses nothing of term 1.
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

// Member returns the member of the given name, or nil.
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

// Adopt is group_adopt.
func (m *Member) AdoptTerm(term uint64, orderer string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	repeated := term == d.adoptedTerm && orderer == d.orderer && orderer != ""
	if term < d.adoptedTerm || term == d.adoptedTerm && !repeated {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "term %d of orderer %q is refused: term %d of orderer %q is adopted", term, orderer, d.adoptedTerm, d.orderer)
	}
	if !repeated {
		m.setTerm(term, orderer)
	}
	return m.status(), nil
}

// adopt raises the adopted term. The member stops leading and following in lower terms.
func (m *Member) setTerm(term uint64, orderer string) {
	m.durable.adoptedTerm = term
	m.durable.orderer = orderer
	m.durable.primaryTerm = 0
	m.durable.primaryAddress = ""
	m.notifyRoleChange()
	m.recordCommand(EventAdopt, term, orderer)
}

// Promote is group_promote.
func (m *Member) Promote(term uint64, orderer string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	if term != d.adoptedTerm || orderer != d.orderer || term == 0 {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "promotion in term %d by %q is refused: term %d of orderer %q is adopted", term, orderer, d.adoptedTerm, d.orderer)
	}
	if d.primaryTerm == term {
		return m.status(), nil
	}
	if d.primaryAddress != "" {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "promotion in term %d is refused: the member follows %s in this term", term, d.primaryAddress)
	}
	d.primaryTerm = term
	m.append(entry{Term: term, Offset: d.position().Offset + 1, Written: time.Now()})
	m.notifyRoleChange()
	m.recordCommand(EventPromote, term, orderer)
	return m.status(), nil
}

// Follow is group_follow.
func (m *Member) FollowPrimary(term uint64, address string) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := &m.durable
	if term < d.adoptedTerm || term == 0 {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "following %s in term %d is refused: term %d is adopted", address, term, d.adoptedTerm)
	}
	if term == d.adoptedTerm && d.primaryTerm == term {
		return m.status(), sqlErrorf(codeNotInPrerequisiteState, "following %s is refused: the member is the primary of term %d", address, term)
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

// awaitPosition is group_wait. It returns when the position is reached, the time has passed or ctx ends.
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

func (m *Member) recordCommand(kind EventKind, term uint64, name string) {
	position := m.durable.position()
	m.history.add(Event{Member: m.id, Kind: kind, SQL: fmt.Sprintf("term %d, %s", term, name), Position: position})
	m.log.Info("standin target: "+string(kind), zap.Uint64("term", term), zap.String("name", name), zap.Any("position", position))
}
