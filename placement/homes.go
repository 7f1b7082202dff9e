package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// minConnectionsPerHost is the minimum number of connections to a target for each host of a service. With a
	// single one, an idle transaction would block all other statements of its workspaces.
	minConnectionsPerHost = 2
	// minHosts is the number of hosts that share a service of low rate, so that the loss of one concerns few workspaces.
	minHosts = 6
	// ratePerHost is the rate of statements per second for which another host is used.
	ratePerHost = 24
	// maxReserves and maxReservedFraction bound the hosts that are used while no other host of the service is reachable, and
	// the fraction of the connections that is set aside for them.
	maxReserves         = 10
	maxReservedFraction = 0.2
	reserveConnections  = 2
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
	// Reserves hold reserveConnections each. They run statements for hosts that reach none of Hosts, in this order.
	Reserves []model.HostID

	homes    map[model.Workspace][]model.HostID
	standbys map[model.Workspace][]model.HostID
}

// PlanInput is what a plan is computed from.
type PlanInput struct {
	Service     model.Service
	Connections int     // to each target that the hosts may hold together
	Rate        float64 // statements per second that the limits of all workspaces allow on the service
	Weights     map[model.Workspace]float64
	Hosts       []Candidate
}

// hostCount returns the number of hosts that hold connections to the service. Few hosts keep a connection for each of their
// workspaces, know how busy the targets are and how far replicas lag, because they see enough statements; with many hosts,
// each of them sees too few. More hosts are used only as far as the rate requires.
func (in PlanInput) hostCount() int {
	wanted := max(minHosts, int(math.Ceil(in.Rate/ratePerHost)))
	return min(len(in.Hosts), max(1, in.Connections/minConnectionsPerHost), wanted)
}

// NewPlan assigns workspaces to hosts. The weights are the expected relative loads of the workspaces. The result is
// deterministic: every host computes the same plan from the same input.
func NewPlan(in PlanInput) Plan {
	hostCount := in.hostCount()
	ranked := RankByCapacity(servicePrefix+string(in.Service), in.Hosts)
	p := Plan{Hosts: ranked[:hostCount],
		homes: map[model.Workspace][]model.HostID{}, standbys: map[model.Workspace][]model.HostID{}}
	if hostCount == 0 {
		return p
	}
	reserves := min(len(ranked)-hostCount, maxReserves,
		int(maxReservedFraction*float64(in.Connections))/reserveConnections)
	p.Reserves = ranked[hostCount : hostCount+reserves]
	connections := in.Connections - reserves*reserveConnections
	p.ConnectionsPerHost, p.Remainder = max(1, connections/hostCount), connections%hostCount
	p.assign(in.Service, connections, in.Weights)
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
	case index < 0 && slices.Contains(p.Reserves, host):
		return reserveConnections
	case index < 0:
		return 0
	case index < p.Remainder:
		return p.ConnectionsPerHost + 1
	}
	return p.ConnectionsPerHost
}
