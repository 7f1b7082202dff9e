package placement

import (
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// RelayRoots is the number of hosts that watch the store. Three roots keep the relay working while one of them
	// has failed and another is partitioned.
	RelayRoots = 3
	// RelayFanOut is the maximum number of children of a host. With 820 hosts every host is at most three hops from a
	// root.
	RelayFanOut = 8
)

// RelayTree is the relay tree over one list of live hosts. Hosts are ordered by rank; the first RelayRoots are the
// roots, and every other host has a parent of a lower rank, so the parents within one list never form a cycle.
//
// Hosts with different lists may build different trees, whose parents may form a cycle for a while. A cycle is safe,
// because the age of a proof grows at every hop, so no host in the cycle can make a proof look newer than the read it
// came from. But a cycle without a path to a root delivers no new proofs. A host therefore leaves a parent whose
// replies do not renew its proof and goes on to the next entry of Parents, and finally to the store (see
// freshness.Upstream).
type RelayTree struct {
	order    []model.HostID
	position map[model.HostID]int
}

// NewRelayTree builds the relay tree over the live hosts.
func NewRelayTree(live []Candidate) RelayTree {
	order := Rank(relayKey, live)
	position := make(map[model.HostID]int, len(order))
	for i, id := range order {
		position[id] = i
	}
	return RelayTree{order: order, position: position}
}

// Roots returns the hosts that watch the store.
func (t RelayTree) Roots() []model.HostID {
	return t.order[:min(RelayRoots, len(t.order))]
}

// IsRoot reports whether the host watches the store. A host that is missing from the list counts as a root, since no
// other host is known to relay proofs to it.
func (t RelayTree) IsRoot(host model.HostID) bool {
	position, found := t.position[host]
	return !found || position < RelayRoots
}

// Parents returns the hosts that the host may request proofs from, in order of preference: its parent, and then the
// roots, starting with the root of the host's subtree. For a root these are the other roots.
func (t RelayTree) Parents(host model.HostID) []model.HostID {
	position, found := t.position[host]
	if !found {
		return slices.Clone(t.Roots())
	}
	if position < RelayRoots {
		return slices.DeleteFunc(slices.Clone(t.Roots()), func(id model.HostID) bool { return id == host })
	}
	parent := parentOf(position)
	parents := []model.HostID{t.order[parent]}
	start := rootOf(parent)
	for i := range RelayRoots {
		root := (start + i) % RelayRoots
		if root != parent {
			parents = append(parents, t.order[root])
		}
	}
	return parents
}

// Children returns the hosts whose parent is the host.
func (t RelayTree) Children(host model.HostID) []model.HostID {
	position, found := t.position[host]
	if !found {
		return nil
	}
	from := min(RelayRoots+position*RelayFanOut, len(t.order))
	to := min(from+RelayFanOut, len(t.order))
	return t.order[from:to]
}

// Depth returns the number of hops from the host to its root.
func (t RelayTree) Depth(host model.HostID) int {
	depth := 0
	for position := t.position[host]; position >= RelayRoots; position = parentOf(position) {
		depth++
	}
	return depth
}

// parentOf returns the position of the parent of the host at a position, which must not be a root.
func parentOf(position int) int { return (position - RelayRoots) / RelayFanOut }

// rootOf returns the position of the root whose subtree contains the host at a position.
func rootOf(position int) int {
	for position >= RelayRoots {
		position = parentOf(position)
	}
	return position
}
