package roster

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// State is a member's state as package membership sees it.
type MemberState uint8

// States of members.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateDead
	StateLeft
)

// Member is the state of a host and the time since it entered that state.
type Member struct {
	ID       model.HostID
	State    MemberState
	StateAge time.Duration
}

// Listed is an entry of the platform's host list.
type ListedHost struct {
	ID      model.HostID
	Leaving bool
}

// Observation is what one host knows when it plans a change.
type FleetView struct {
	Members []Member
	// Platform is the platform's host list. It lags, so an entry never outweighs a dead member, and an empty list says
	// nothing.
	HostList []ListedHost
	// Unchanged is the time since the roster's last change. Rebalancing waits for quiet times.
	UnchangedFor time.Duration
}

const (
	// FreeAfter is the time for which a host is dead before its slots go to others. Moved slots are unused for the wait of
	// the new holder, so a host that comes back at once should keep them.
	ReleaseAfter = 3 * time.Second
	// RemoveAfter is the time for which a host is dead before it no longer counts in majorities.
	RemoveAfter = 10 * time.Minute
	// RemoveUnlistedAfter is the same for a host that is not on the platform's list either.
	RemoveUnlistedAfter = time.Minute
	// RebalanceAfter is the time without changes before one slot is moved for balance. Each moved slot is unused for the
	// wait of its new holder.
	RebalanceAfter = time.Minute
)

// Plan returns the next version that the observation calls for, with the reason in one line. It reports false if nothing
// has to change, or if the observer does not see a majority of the registered hosts alive, since it may be the one that
// is cut off.
func Plan(old Document, seen FleetView, changeID string) (Document, string, bool) {
	p := newPlanner(seen)
	if !old.IsMajority(func(h Host) bool { return p.serving(h.ID) }) {
		return old, "", false
	}
	d := old.next(changeID)
	if reason, ok := p.remove(&d); ok {
		p.assign(&d)
		return d, reason, true
	}
	if freed, assigned := p.release(&d), p.assign(&d); freed+assigned > 0 {
		return d, fmt.Sprintf("%d slots freed, %d slots assigned", freed, assigned), true
	}
	if seen.UnchangedFor >= RebalanceAfter {
		if reason, ok := p.rebalance(&d); ok {
			return d, reason, true
		}
	}
	return old, "", false
}

type planner struct {
	members  map[model.HostID]Member
	listed   map[model.HostID]bool
	leaving  map[model.HostID]bool
	haveList bool
}

func newPlanner(seen FleetView) planner {
	p := planner{
		members:  map[model.HostID]Member{},
		listed:   map[model.HostID]bool{},
		leaving:  map[model.HostID]bool{},
		haveList: len(seen.HostList) > 0,
	}
	for _, m := range seen.Members {
		p.members[m.ID] = m
	}
	for _, l := range seen.HostList {
		p.listed[l.ID] = true
		p.leaving[l.ID] = l.Leaving
	}
	return p
}

// serving reports whether a host may get slots.
func (p planner) serving(id model.HostID) bool {
	m, ok := p.members[id]
	return ok && m.State == StateAlive && !p.leaving[id]
}

// gone reports whether a host gives its slots to others. A host that the observer knows nothing about keeps them. A
// living host that leaves calls Release, after which its slots need no wait.
func (p planner) gone(id model.HostID) bool {
	m, ok := p.members[id]
	return ok && (m.State == StateLeft || m.State == StateDead && m.StateAge >= ReleaseAfter)
}

// removable reports whether a host no longer counts in majorities.
func (p planner) removable(id model.HostID) bool {
	m, ok := p.members[id]
	if !ok {
		return false
	}
	if m.State == StateLeft {
		return true
	}
	if m.State != StateDead {
		return false
	}
	return m.StateAge >= RemoveAfter || m.StateAge >= RemoveUnlistedAfter && p.haveList && !p.listed[id]
}

// remove removes one host, so that the majorities of consecutive versions share a host.
func (p planner) remove(d *Document) (string, bool) {
	i := slices.IndexFunc(d.Hosts, func(h Host) bool { return p.removable(h.ID) })
	if i < 0 {
		return "", false
	}
	id := d.Hosts[i].ID
	d.Hosts = slices.Delete(d.Hosts, i, i+1)
	for i := range d.Slots {
		if d.Slots[i].Holder == id {
			d.Slots[i] = Slot{AssignedVersion: d.Version}
		}
	}
	p.release(d)
	return fmt.Sprintf("host %s removed", id), true
}

// release frees the slots of hosts that are gone, and returns their number.
func (p planner) release(d *Document) int {
	n := 0
	for i, s := range d.Slots {
		if s.Holder != "" && p.gone(s.Holder) {
			d.Slots[i] = Slot{AssignedVersion: d.Version}
			n++
		}
	}
	return n
}

// assign gives free slots to the hosts with the fewest slots, and returns their number.
func (p planner) assign(d *Document) int {
	n := 0
	for i, s := range d.Slots {
		if s.Holder != "" {
			continue
		}
		h, ok := p.emptiest(*d, i)
		if !ok {
			break
		}
		d.Slots[i] = Slot{Holder: h.ID, Incarnation: h.Incarnation, AssignedVersion: d.Version, Clean: s.Clean}
		n++
	}
	return n
}

// load counts the slots of a host, and those of its data centre.
type load struct{ host, dataCentre int }

func (l load) less(m load) bool {
	return l.host < m.host || l.host == m.host && l.dataCentre < m.dataCentre
}

func loads(d Document) map[model.HostID]load {
	hosts := map[model.HostID]int{}
	centres := map[model.DataCentre]int{}
	for _, s := range d.Slots {
		if h, ok := d.Host(s.Holder); ok {
			hosts[h.ID]++
			centres[h.DataCentre]++
		}
	}
	out := map[model.HostID]load{}
	for _, h := range d.Hosts {
		out[h.ID] = load{host: hosts[h.ID], dataCentre: centres[h.DataCentre]}
	}
	return out
}

// emptiest returns the serving host with the fewest slots; among equals, one in the data centre with the fewest slots.
// The hash spreads the rest.
func (p planner) emptiest(d Document, slot int) (Host, bool) {
	l := loads(d)
	best, found := Host{}, false
	for _, h := range d.Hosts {
		if !p.serving(h.ID) {
			continue
		}
		better := !found || l[h.ID].less(l[best.ID]) ||
			l[h.ID] == l[best.ID] && weight(slot, h.ID) > weight(slot, best.ID)
		if better {
			best, found = h, true
		}
	}
	return best, found
}

func weight(slot int, id model.HostID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", slot, id))
}

// rebalance moves one slot from the host with the most slots, if it has at least two more than another one.
func (p planner) rebalance(d *Document) (string, bool) {
	l := loads(*d)
	fullest := -1
	for i, s := range d.Slots {
		if s.Holder != "" && (fullest < 0 || l[s.Holder].host > l[d.Slots[fullest].Holder].host) {
			fullest = i
		}
	}
	if fullest < 0 {
		return "", false
	}
	from := d.Slots[fullest].Holder
	to, ok := p.emptiest(*d, fullest)
	if !ok || l[from].host-l[to.ID].host < 2 {
		return "", false
	}
	d.Slots[fullest] = Slot{Holder: to.ID, Incarnation: to.Incarnation, AssignedVersion: d.Version}
	return fmt.Sprintf("slot %d moved from %s to %s for balance", fullest, from, to.ID), true
}
