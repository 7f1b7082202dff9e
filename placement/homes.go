package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// connectionsPerHost is the least number of connections to a target that a host of a service gets. With one, a
	// transaction that pauses would stop every other statement of its workspaces.
	connectionsPerHost = 2
	// spareHomes is the number of other hosts that may stand in for the homes of a workspace.
	spareHomes = 2
)

// Plan divides the workspaces of a service over hosts. A connection to a target belongs to one workspace, so the statements
// of a workspace run on few hosts, its homes, which keep connections for it; other hosts pass them on.
type Plan struct {
	// Hosts hold connections to the service's targets, Connections of them each, and one more for the first Extra hosts.
	Hosts              []model.HostID
	ConnectionsPerHost int
	Remainder          int

	homes  map[model.Workspace][]model.HostID
	spares map[model.Workspace][]model.HostID
}

// NewPlan divides the workspaces, whose weights tell how much they ask for, over hosts that may hold the given number of
// connections to each target together. Every host computes the same plan from the same input.
func NewPlan(service model.Service, connections int, weights map[model.Workspace]float64, hosts []model.HostID) Plan {
	candidates := make([]Candidate, len(hosts))
	for i, id := range hosts {
		candidates[i] = Candidate{ID: id}
	}
	used := min(len(hosts), max(1, connections/connectionsPerHost))
	p := Plan{Hosts: Rank(servicePrefix+string(service), candidates)[:used],
		homes: map[model.Workspace][]model.HostID{}, spares: map[model.Workspace][]model.HostID{}}
	if used == 0 {
		return p
	}
	p.ConnectionsPerHost, p.Remainder = max(1, connections/used), connections%used
	p.assign(service, connections, weights)
	return p
}

// assign gives each workspace, the greatest first, the hosts with the most connections to spare, so many that their
// connections match the part of the workspace.
func (p *Plan) assign(service model.Service, connections int, weights map[model.Workspace]float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	order := slices.SortedFunc(maps.Keys(weights), func(a, b model.Workspace) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	spare := make(map[model.HostID]float64, len(p.Hosts))
	for _, id := range p.Hosts {
		spare[id] = float64(p.ConnectionsPerHost)
	}
	for _, workspace := range order {
		need := 0.0
		if total > 0 {
			need = weights[workspace] / total * float64(connections)
		}
		ranked := p.rank(service, workspace, spare)
		n := min(len(ranked), max(1, int(need/float64(p.ConnectionsPerHost)+0.5)))
		p.homes[workspace] = ranked[:n]
		p.spares[workspace] = ranked[n:min(len(ranked), n+spareHomes)]
		for _, id := range p.homes[workspace] {
			spare[id] -= need / float64(n)
		}
	}
}

// rank orders the hosts by spare connections, and by rendezvous order among equals.
func (p *Plan) rank(service model.Service, workspace model.Workspace, spare map[model.HostID]float64) []model.HostID {
	key := servicePrefix + string(service) + "/" + workspacePrefix + string(workspace)
	list := make([]scored, len(p.Hosts))
	for i, id := range p.Hosts {
		list[i] = scored{id, Score(key, id)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(spare[b.host], spare[a.host]), before(a, b))
	})
	ranked := make([]model.HostID, len(list))
	for i, entry := range list {
		ranked[i] = entry.host
	}
	return ranked
}

// Homes returns the hosts that run the statements of a workspace, and those that stand in for them. A workspace that the
// plan does not know has only stand-ins.
func (p *Plan) Homes(workspace model.Workspace) (homes, spares []model.HostID) {
	if len(p.homes[workspace]) == 0 {
		return nil, p.Hosts[:min(len(p.Hosts), spareHomes)]
	}
	return p.homes[workspace], p.spares[workspace]
}

// Limit returns the number of connections to each target that a host may hold.
func (p *Plan) ConnectionLimit(host model.HostID) int {
	at := slices.Index(p.Hosts, host)
	switch {
	case at < 0:
		return 0
	case at < p.Remainder:
		return p.ConnectionsPerHost + 1
	}
	return p.ConnectionsPerHost
}
