package roster

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// MemberState is a member's state as reported by package membership.
type MemberState uint8

// States of a member.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateDead
	StateLeft
)

// Member is a host with its state and the time since it entered that state.
type Member struct {
	ID       model.HostID
	State    MemberState
	StateAge time.Duration
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	ID      model.HostID
	Leaving bool
}

// FleetView is the information on which one host bases a plan.
type FleetView struct {
	Members []Member
	// HostList is the platform's host list. It may be outdated, so an entry never overrides a dead member, and an
	// empty list is ignored.
	HostList []ListedHost
	// UnchangedFor is the time since the roster's last change. Slots are only rebalanced after RebalanceAfter without
	// changes.
	UnchangedFor time.Duration
}

const (
	// ReleaseAfter is the time for which a host is dead before its slots go to other hosts. A moved slot is unused
	// until its new holder may use it, so a host that comes back at once should keep its slots.
	ReleaseAfter = 3 * time.Second
	// RemoveAfter is the time for which a host is dead before it no longer counts in majorities.
	RemoveAfter = 10 * time.Minute
	// RemoveUnlistedAfter replaces RemoveAfter for a host that is missing from the platform's host list.
	RemoveUnlistedAfter = time.Minute
	// RebalanceAfter is the time without changes before one slot is moved for balance. A moved slot is unused until
	// its new holder may use it.
	RebalanceAfter = time.Minute
)

// Plan returns the next version that the view calls for and a one-line reason. It returns false if nothing has to
// change, or if the view does not show a majority of the registered hosts as alive, since the observing host may be
// the one that is isolated.
func Plan(old Document, view FleetView, changeID string) (Document, string, bool) {
	p := newPlanner(view)
	if !old.IsMajority(func(h Host) bool { return p.eligible(h.ID) }) {
		return old, "", false
	}
	d := old.nextVersion(changeID)
	if reason, ok := p.removeHost(&d); ok {
		p.assignSlots(&d)
		return d, reason, true
	}
	if freed, assigned := p.releaseSlots(&d), p.assignSlots(&d); freed+assigned > 0 {
		return d, fmt.Sprintf("%d slots freed, %d slots assigned", freed, assigned), true
	}
	if view.UnchangedFor >= RebalanceAfter {
		if reason, ok := p.rebalanceSlot(&d); ok {
			return d, reason, true
		}
	}
	return old, "", false
}

// planner holds a FleetView indexed by host.
type planner struct {
	members      map[model.HostID]Member
	listedHosts  map[model.HostID]bool
	leavingHosts map[model.HostID]bool
	hasHostList  bool
}

func newPlanner(view FleetView) planner {
	p := planner{
		members:      map[model.HostID]Member{},
		listedHosts:  map[model.HostID]bool{},
		leavingHosts: map[model.HostID]bool{},
		hasHostList:  len(view.HostList) > 0,
	}
	for _, m := range view.Members {
		p.members[m.ID] = m
	}
	for _, listed := range view.HostList {
		p.listedHosts[listed.ID] = true
		p.leavingHosts[listed.ID] = listed.Leaving
	}
	return p
}

// eligible reports whether a host may get slots.
func (p planner) eligible(id model.HostID) bool {
	m, ok := p.members[id]
	return ok && m.State == StateAlive && !p.leavingHosts[id]
}

// mustRelease reports whether the slots of a host go to other hosts. A host that is missing from the view keeps them.
// A running host that leaves calls Deregister, after which its slots need no wait.
func (p planner) mustRelease(id model.HostID) bool {
	m, ok := p.members[id]
	return ok && (m.State == StateLeft || m.State == StateDead && m.StateAge >= ReleaseAfter)
}

// mustRemove reports whether a host no longer counts in majorities.
func (p planner) mustRemove(id model.HostID) bool {
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
	return m.StateAge >= RemoveAfter || m.StateAge >= RemoveUnlistedAfter && p.hasHostList && !p.listedHosts[id]
}

// removeHost removes at most one host, so that the majorities of consecutive versions share a host. If it removes one, it
// also frees that host's slots and those that other hosts must release, and returns the reason for the new version.
func (p planner) removeHost(d *Document) (string, bool) {
	i := slices.IndexFunc(d.Hosts, func(h Host) bool { return p.mustRemove(h.ID) })
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
	p.releaseSlots(d)
	return fmt.Sprintf("host %s removed", id), true
}

// releaseSlots frees the slots of hosts that left or are dead, and returns the number of these slots.
func (p planner) releaseSlots(d *Document) int {
	n := 0
	for i, s := range d.Slots {
		if s.Holder != "" && p.mustRelease(s.Holder) {
			d.Slots[i] = Slot{AssignedVersion: d.Version}
			n++
		}
	}
	return n
}

// assignSlots assigns free slots to the hosts with the fewest slots, and returns the number of assigned slots.
func (p planner) assignSlots(d *Document) int {
	n := 0
	for i, s := range d.Slots {
		if s.Holder != "" {
			continue
		}
		h, ok := p.leastLoaded(*d, i)
		if !ok {
			break
		}
		d.Slots[i] = Slot{Holder: h.ID, Incarnation: h.Incarnation, AssignedVersion: d.Version, Clean: s.Clean}
		n++
	}
	return n
}

// slotCounts holds the number of slots of a host and that of its data centre.
type slotCounts struct{ onHost, inDataCentre int }

func (c slotCounts) less(other slotCounts) bool {
	return c.onHost < other.onHost || c.onHost == other.onHost && c.inDataCentre < other.inDataCentre
}

func countSlots(d Document) map[model.HostID]slotCounts {
	hosts := map[model.HostID]int{}
	centres := map[model.DataCentre]int{}
	for _, s := range d.Slots {
		if h, ok := d.Host(s.Holder); ok {
			hosts[h.ID]++
			centres[h.DataCentre]++
		}
	}
	out := map[model.HostID]slotCounts{}
	for _, h := range d.Hosts {
		out[h.ID] = slotCounts{onHost: hosts[h.ID], inDataCentre: centres[h.DataCentre]}
	}
	return out
}

// leastLoaded returns the eligible host with the fewest slots. Ties go to the data centre with the fewest slots, then
// to the highest hash, which spreads the slots. It returns false if no host is eligible.
func (p planner) leastLoaded(d Document, slot int) (Host, bool) {
	counts := countSlots(d)
	best, found := Host{}, false
	for _, h := range d.Hosts {
		if !p.eligible(h.ID) {
			continue
		}
		better := !found || counts[h.ID].less(counts[best.ID]) ||
			counts[h.ID] == counts[best.ID] && tieBreakHash(slot, h.ID) > tieBreakHash(slot, best.ID)
		if better {
			best, found = h, true
		}
	}
	return best, found
}

func tieBreakHash(slot int, id model.HostID) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d/%s", slot, id))
}

// rebalanceSlot moves one slot from the host with the most slots if that host has at least two more than another one. It
// returns the reason for the new version.
func (p planner) rebalanceSlot(d *Document) (string, bool) {
	counts := countSlots(*d)
	slot := -1
	for i, s := range d.Slots {
		if s.Holder != "" && (slot < 0 || counts[s.Holder].onHost > counts[d.Slots[slot].Holder].onHost) {
			slot = i
		}
	}
	if slot < 0 {
		return "", false
	}
	from := d.Slots[slot].Holder
	to, ok := p.leastLoaded(*d, slot)
	if !ok || counts[from].onHost-counts[to.ID].onHost < 2 {
		return "", false
	}
	d.Slots[slot] = Slot{Holder: to.ID, Incarnation: to.Incarnation, AssignedVersion: d.Version}
	return fmt.Sprintf("slot %d moved from %s to %s for balance", slot, from, to.ID), true
}
