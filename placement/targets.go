package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// gatewayShare and standbyShare are the shares of a target's connections for its gateway host and for the host that replaces
	// it. The rest is left for reserves and for the next process of a host that lost power: a target counts the connections
	// of the last one for three more seconds.
	gatewayShare = 0.72
	standbyShare = 0.14
	// maxTargetReserves bounds the hosts that may use a target while they reach neither its gateway host nor the standby.
	maxTargetReserves = 5
	// roleSlack is the factor by which the roles of a host may exceed its part of the capacity of its data centre.
	roleSlack = 1.25
)

// PlacedTarget is a target as an input of a TargetPlan.
type PlacedTarget struct {
	ID          model.TargetID
	DataCentre  model.DataCentre
	Connections int // that all hosts together may hold
}

// TargetHost is a host that may connect to a target, and the number of connections that it may hold.
type TargetHost struct {
	Host        model.HostID
	Connections int
}

// TargetPlan assigns each target to hosts of its data centre. All statements for a target run on its first host, the gateway
// host, while that host can be reached. It therefore knows how busy the target is and keeps the connections of all
// workspaces, and a statement crosses between data centres once at most.
//
// The assignment is made for fleets where a crossing takes a good part of a statement's time, or where callers compete for the
// slots of a target.
type TargetPlan struct {
	hosts map[model.TargetID][]TargetHost
}

// NewTargetPlan computes the plan. It is deterministic: every host computes the same plan from the same hosts and targets, in
// any order. A host gets roles in proportion to its capacity.
func NewTargetPlan(targets []PlacedTarget, hosts []Candidate) TargetPlan {
	p := TargetPlan{hosts: make(map[model.TargetID][]TargetHost, len(targets))}
	targets = slices.SortedFunc(slices.Values(targets), func(a, b PlacedTarget) int { return cmp.Compare(a.ID, b.ID) })
	local := map[model.DataCentre][]Candidate{}
	for _, h := range hosts {
		local[h.DataCentre] = append(local[h.DataCentre], h)
	}
	count := map[model.DataCentre]int{}
	for _, t := range targets {
		count[t.DataCentre]++
	}
	roles := newRoleLimits(local, count)
	for _, t := range targets {
		key := targetPrefix + string(t.ID)
		near := roles.preferFree(RankByCapacity(key, local[t.DataCentre]))
		if len(near) > 0 {
			roles.used[near[0]]++
		}
		p.hosts[t.ID] = shareConnections(t.Connections, addReserves(near, Rank(key, hosts)))
	}
	return p
}

// addReserves returns the gateway host, the standby and the reserves of a target, given the hosts of its data centre and all
// hosts in the order of preference. Every second reserve is in another data centre if there is one, because a partition may
// separate the whole data centre from callers whose hosts reach the target.
func addReserves(near, all []model.HostID) []model.HostID {
	far := slices.DeleteFunc(all, func(id model.HostID) bool { return slices.Contains(near, id) })
	result, near := slices.Clone(near[:min(2, len(near))]), near[min(2, len(near)):]
	for len(result) < 2+maxTargetReserves && len(near)+len(far) > 0 {
		if len(far) > 0 {
			result, far = append(result, far[0]), far[1:]
		}
		if len(near) > 0 && len(result) < 2+maxTargetReserves {
			result, near = append(result, near[0]), near[1:]
		}
	}
	return result
}

// shareConnections divides the connections of a target among the ranked hosts.
func shareConnections(connections int, ranked []model.HostID) []TargetHost {
	shares := make([]TargetHost, 0, len(ranked))
	left := connections
	for i, id := range ranked {
		n := reserveConnections
		switch i {
		case 0:
			n = max(1, int(gatewayShare*float64(connections)))
		case 1:
			n = max(1, int(standbyShare*float64(connections)))
		}
		if n = min(n, left); n <= 0 {
			break
		}
		shares, left = append(shares, TargetHost{id, n}), left-n
	}
	return shares
}

// roleLimits bounds the number of targets that a host is the gateway host of.
type roleLimits struct {
	limit, used map[model.HostID]int
}

// newRoleLimits divides the targets of each data centre among its hosts by capacity.
func newRoleLimits(local map[model.DataCentre][]Candidate, targets map[model.DataCentre]int) roleLimits {
	r := roleLimits{limit: map[model.HostID]int{}, used: map[model.HostID]int{}}
	for dataCentre, hosts := range local {
		capacity := 0.0
		for _, h := range hosts {
			capacity += max(h.Capacity, minCapacity)
		}
		for _, h := range hosts {
			part := float64(targets[dataCentre]) * max(h.Capacity, minCapacity) / capacity
			r.limit[h.ID] = int(math.Ceil(roleSlack * part))
		}
	}
	return r
}

// preferFree moves the hosts that have all their roles behind the others, without changing the order otherwise.
func (r roleLimits) preferFree(ranked []model.HostID) []model.HostID {
	slices.SortStableFunc(ranked, func(a, b model.HostID) int {
		return cmp.Compare(r.excess(a), r.excess(b))
	})
	return ranked
}

// excess returns the number of roles that a host would have above its limit with one more.
func (r roleLimits) excess(id model.HostID) int { return max(0, r.used[id]+1-r.limit[id]) }

// Hosts returns the hosts that may connect to a target: the gateway host, the standby, and the reserves in the order in which
// they are used. It is empty for a target that is not part of the plan.
func (p *TargetPlan) Hosts(target model.TargetID) []TargetHost { return p.hosts[target] }

// ConnectionLimit returns the number of connections to a target that a host may hold.
func (p *TargetPlan) ConnectionLimit(target model.TargetID, host model.HostID) int {
	for _, h := range p.hosts[target] {
		if h.Host == host {
			return h.Connections
		}
	}
	return 0
}

// IsGateway reports whether the host is the gateway host of a target.
func (p *TargetPlan) IsGateway(target model.TargetID, host model.HostID) bool {
	hosts := p.hosts[target]
	return len(hosts) > 0 && hosts[0].Host == host
}
