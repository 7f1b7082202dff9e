package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// minConnectionsPerHost is the minimum number of connections to a target for each host of a service. With a
	// single one, an idle transaction would block all other statements of its workspaces.
	minConnectionsPerHost = 2
	// maxStandbys is the number of other hosts that may replace the homes of a workspace.
	maxStandbys = 2
)

// Plan assigns the workspaces of a service to hosts. A connection to a target belongs to one workspace, so the
// statements of a workspace run on few hosts, its homes, which keep connections for it; other hosts forward them.
type Plan struct {
	// Hosts hold ConnectionsPerHost connections to each target of the service, and the first Remainder hosts hold one
	// more.
	Hosts              []model.HostID
	ConnectionsPerHost int
	Remainder          int

	homes    map[model.Workspace][]model.HostID
	standbys map[model.Workspace][]model.HostID
}

// NewPlan assigns workspaces to hosts that together may hold the given number of connections to each target. The
// weights are the expected relative loads of the workspaces. The result is deterministic: every host computes the
// same plan from the same input.
func NewPlan(service model.Service, connections int, weights map[model.Workspace]float64, hosts []model.HostID) Plan {
	candidates := make([]Candidate, len(hosts))
	for i, id := range hosts {
		candidates[i] = Candidate{ID: id}
	}
	hostCount := min(len(hosts), max(1, connections/minConnectionsPerHost))
	p := Plan{Hosts: Rank(servicePrefix+string(service), candidates)[:hostCount],
		homes: map[model.Workspace][]model.HostID{}, standbys: map[model.Workspace][]model.HostID{}}
	if hostCount == 0 {
		return p
	}
	p.ConnectionsPerHost, p.Remainder = max(1, connections/hostCount), connections%hostCount
	p.assign(service, connections, weights)
	return p
}

// assign processes the workspaces by decreasing weight. Each gets the hosts with the most spare connections, and as
// many of them as its share of the connections requires.
func (p *Plan) assign(service model.Service, connections int, weights map[model.Workspace]float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	order := slices.SortedFunc(maps.Keys(weights), func(a, b model.Workspace) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	spareConnections := make(map[model.HostID]float64, len(p.Hosts))
	for _, id := range p.Hosts {
		spareConnections[id] = float64(p.ConnectionsPerHost)
	}
	for _, workspace := range order {
		need := 0.0
		if total > 0 {
			need = weights[workspace] / total * float64(connections)
		}
		ranked := p.rank(service, workspace, spareConnections)
		n := min(len(ranked), max(1, int(need/float64(p.ConnectionsPerHost)+0.5)))
		p.homes[workspace] = ranked[:n]
		p.standbys[workspace] = ranked[n:min(len(ranked), n+maxStandbys)]
		for _, id := range p.homes[workspace] {
			spareConnections[id] -= need / float64(n)
		}
	}
}

// rank sorts the hosts by decreasing spare connections, and by rendezvous score if those are equal.
func (p *Plan) rank(service model.Service, workspace model.Workspace, spare map[model.HostID]float64) []model.HostID {
	key := servicePrefix + string(service) + "/" + workspacePrefix + string(workspace)
	scored := make([]scoredHost, len(p.Hosts))
	for i, id := range p.Hosts {
		scored[i] = scoredHost{id, Score(key, id)}
	}
	slices.SortFunc(scored, func(a, b scoredHost) int {
		return cmp.Or(cmp.Compare(spare[b.host], spare[a.host]), compareScores(a, b))
	})
	ranked := make([]model.HostID, len(scored))
	for i, entry := range scored {
		ranked[i] = entry.host
	}
	return ranked
}

// Homes returns the hosts that run the statements of a workspace, and the standbys that may replace them. A workspace
// that is not part of the plan has only standbys.
func (p *Plan) Homes(workspace model.Workspace) (homes, standbys []model.HostID) {
	if len(p.homes[workspace]) == 0 {
		return nil, p.Hosts[:min(len(p.Hosts), maxStandbys)]
	}
	return p.homes[workspace], p.standbys[workspace]
}

// ConnectionLimit returns the number of connections to each target that a host may hold.
func (p *Plan) ConnectionLimit(host model.HostID) int {
	index := slices.Index(p.Hosts, host)
	switch {
	case index < 0:
		return 0
	case index < p.Remainder:
		return p.ConnectionsPerHost + 1
	}
	return p.ConnectionsPerHost
}
