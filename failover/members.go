package failover

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// settlement tells whether the current list of members holds everything that was written under earlier lists.
type settlement struct {
	settled  bool
	since    time.Time      // of the last change
	position model.Position // of the primary after the change, zero if not known
}

// changeMembers takes a new configuration. Members that it no longer has stay until the new list is settled.
func (m *Machine) changeMembers(list []Member) {
	var ids []model.TargetID
	for _, x := range list {
		ids = append(ids, x.Target)
	}
	slices.Sort(ids)
	if len(m.groups) == 0 || !slices.Equal(ids, m.groups[0]) {
		m.groups = slices.DeleteFunc(m.groups, func(old []model.TargetID) bool { return slices.Equal(old, ids) })
		m.groups = slices.Insert(m.groups, 0, ids)
		m.settle = settlement{since: m.now}
	}
	for _, x := range m.members {
		x.leaving = true
	}
	for _, entry := range list {
		x := m.member(entry.Target)
		if x == nil {
			x = &member{id: entry.Target, closed: true, silentSince: m.now}
			m.members = append(m.members, x)
		}
		x.address, x.leaving = entry.Address, entry.Leaving
	}
	m.changed = true
}

// settleMembers drops earlier lists when a majority of the current list has reached a position that the primary, itself
// in that list, reported after the change.
func (m *Machine) settleMembers() {
	s := &m.settle
	if s.settled || m.primary == nil || !slices.Contains(m.groups[0], m.primary.id) {
		return
	}
	if s.position.Term != m.term {
		if m.primary.asked.Before(s.since) {
			return
		}
		s.position = m.primary.status.Position
	}
	if !m.majorityOfCurrent(func(x *member) bool { return x == m.primary || x.covers(s.position) }) {
		return
	}
	m.settle = settlement{settled: true}
	m.groups = m.groups[:1]
	m.members = slices.DeleteFunc(m.members, func(x *member) bool { return !slices.Contains(m.groups[0], x.id) })
	m.changed = true
}

func (m *Machine) majorityOfCurrent(has func(*member) bool) bool {
	n := 0
	for _, id := range m.groups[0] {
		if has(m.member(id)) {
			n++
		}
	}
	return n > len(m.groups[0])/2
}
