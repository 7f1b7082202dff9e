package failover

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// membershipState tracks whether a majority of the current member list has everything written under earlier lists.
type membershipState struct {
	settled          bool
	changedAt        time.Time      // last change of the member list
	requiredPosition model.Position // position of the primary after the change, zero until it is reported
}

// setMembers applies a new member list. Removed members stay in m.members until the new list is settled.
func (m *Machine) setMembers(members []Member) {
	var ids []model.TargetID
	for _, member := range members {
		ids = append(ids, member.Target)
	}
	slices.Sort(ids)
	if len(m.memberLists) == 0 || !slices.Equal(ids, m.memberLists[0]) {
		m.memberLists = slices.DeleteFunc(m.memberLists, func(old []model.TargetID) bool { return slices.Equal(old, ids) })
		m.memberLists = slices.Insert(m.memberLists, 0, ids)
		m.membership = membershipState{changedAt: m.now}
	}
	for _, member := range m.members {
		member.leaving = true
	}
	for _, entry := range members {
		member := m.findMember(entry.Target)
		if member == nil {
			member = &memberState{id: entry.Target, disconnected: true, unansweredSince: m.now}
			m.members = append(m.members, member)
		}
		member.address, member.leaving = entry.Address, entry.Leaving
	}
	m.viewChanged = true
}

// settleMembership drops earlier lists when a majority of the current list has reached a position that the primary
// reported after the change. The primary must be in the current list.
func (m *Machine) settleMembership() {
	membership := &m.membership
	if membership.settled || m.primary == nil || !slices.Contains(m.memberLists[0], m.primary.id) {
		return
	}
	if membership.requiredPosition.Term != m.term {
		if m.primary.statusRequestedAt.Before(membership.changedAt) {
			return
		}
		membership.requiredPosition = m.primary.status.Position
	}
	if !m.hasCurrentMajority(func(member *memberState) bool {
		return member == m.primary || member.hasReached(membership.requiredPosition)
	}) {
		return
	}
	m.membership = membershipState{settled: true}
	m.memberLists = m.memberLists[:1]
	m.members = slices.DeleteFunc(m.members, func(member *memberState) bool {
		return !slices.Contains(m.memberLists[0], member.id)
	})
	m.viewChanged = true
}

func (m *Machine) hasCurrentMajority(condition func(*memberState) bool) bool {
	n := 0
	for _, id := range m.memberLists[0] {
		if condition(m.findMember(id)) {
			n++
		}
	}
	return n > len(m.memberLists[0])/2
}
