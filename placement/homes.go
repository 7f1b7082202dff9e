package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

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

	assignment *assignment // nil if there are no hosts
}

// assignment holds the homes of the workspaces. They are computed at the first use: a host forwards statements of few of
// the services of a large fleet, and computes a plan for each of them whenever hosts come or go.
type assignment struct {
	service            model.Service
	hosts              []model.HostID
	connectionsPerHost int
	connections        int // to each target without those of the reserves
	weights            map[model.Workspace]float64

	once    sync.Once
	ranked  map[model.Workspace]homeRanking
	indexes []uint16 // the rankings of all workspaces, one after another
}

// homeRanking locates the ranking of a workspace in assignment.indexes: its homes, followed by the standbys.
type homeRanking struct{ start, homes, standbys int32 }

// equal reports whether both assign the workspaces to the same hosts.
func (a *assignment) equal(b *assignment) bool {
	return a != nil && b != nil && a.service == b.service && a.connectionsPerHost == b.connectionsPerHost &&
		a.connections == b.connections && slices.Equal(a.hosts, b.hosts) && maps.Equal(a.weights, b.weights)
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
func NewPlan(in PlanInput) Plan { return Plan{}.Next(in) }

// Next returns the plan for another input. If the hosts of the service stay the same, as when another host of a large
// fleet comes or goes, it keeps the homes that have been computed. The plan keeps the map of weights, which must not be
// modified.
func (p Plan) Next(in PlanInput) Plan {
	hostCount := in.hostCount()
	if hostCount == 0 {
		return Plan{}
	}
	reserves := min(len(in.Hosts)-hostCount, maxReserves, int(maxReservedFraction*float64(in.Connections))/reserveConnections)
	ranked := topByCapacity(servicePrefix+string(in.Service), in.Hosts, hostCount+reserves)
	next := Plan{Hosts: ranked[:hostCount], Reserves: ranked[hostCount:]}
	connections := in.Connections - reserves*reserveConnections
	next.ConnectionsPerHost, next.Remainder = max(1, connections/hostCount), connections%hostCount
	next.assignment = &assignment{service: in.Service, hosts: next.Hosts, connectionsPerHost: next.ConnectionsPerHost,
		connections: connections, weights: in.Weights}
	if next.assignment.equal(p.assignment) {
		next.assignment = p.assignment
	}
	return next
}

// topByCapacity returns the first n hosts of RankByCapacity without ranking the others.
func topByCapacity(key string, hosts []Candidate, n int) []model.HostID {
	top := make([]weightedHost, 0, n+1)
	for _, host := range hosts {
		entry := newWeightedHost(key, host)
		if len(top) == n && compareWeighted(entry, top[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, entry, compareWeighted)
		top = slices.Insert(top, at, entry)
		top = top[:min(n, len(top))]
	}
	return hostIDs(top)
}

// compute processes the workspaces by decreasing weight. Each gets the hosts with the most spare connections, and as
// many of them as its share of the connections requires.
func (a *assignment) compute() {
	order := slices.SortedFunc(maps.Keys(a.weights), func(x, y model.Workspace) int {
		return cmp.Or(cmp.Compare(a.weights[y], a.weights[x]), cmp.Compare(x, y))
	})
	total := 0.0
	for _, workspace := range order { // in this order, because the rounding of the sum depends on it
		total += a.weights[workspace]
	}
	spareConnections := make([]float64, len(a.hosts))
	for i := range spareConnections {
		spareConnections[i] = float64(a.connectionsPerHost)
	}
	a.ranked = make(map[model.Workspace]homeRanking, len(order))
	scored := make([]scoredIndex, len(a.hosts))
	for _, workspace := range order {
		need := 0.0
		if total > 0 {
			need = a.weights[workspace] / total * float64(a.connections)
		}
		a.rank(workspace, spareConnections, scored)
		n := min(len(scored), max(1, int(need/float64(a.connectionsPerHost)+0.5)))
		ranking := homeRanking{start: int32(len(a.indexes)), homes: int32(n), standbys: int32(min(len(scored)-n, maxStandbys))}
		for _, entry := range scored[:ranking.homes+ranking.standbys] {
			a.indexes = append(a.indexes, entry.index)
		}
		a.ranked[workspace] = ranking
		for _, entry := range scored[:n] {
			spareConnections[entry.index] -= need / float64(n)
		}
	}
}

// scoredIndex is a host by its index, with its rendezvous score.
type scoredIndex struct {
	scoredHost
	index uint16
}

// rank sorts the hosts by decreasing spare connections, and by rendezvous score if those are equal.
func (a *assignment) rank(workspace model.Workspace, spare []float64, scored []scoredIndex) {
	key := servicePrefix + string(a.service) + "/" + workspacePrefix + string(workspace)
	for i, id := range a.hosts {
		scored[i] = scoredIndex{scoredHost{id, Score(key, id)}, uint16(i)}
	}
	slices.SortFunc(scored, func(x, y scoredIndex) int {
		return cmp.Or(cmp.Compare(spare[y.index], spare[x.index]), compareScores(x.scoredHost, y.scoredHost))
	})
}

// Homes returns the hosts that run the statements of a workspace, and the standbys that may replace them. A workspace
// that is not part of the plan has only standbys. It may be called by several goroutines.
func (p *Plan) Homes(workspace model.Workspace) (homes, standbys []model.HostID) {
	if p.assignment != nil {
		p.assignment.once.Do(p.assignment.compute)
		if r, known := p.assignment.ranked[workspace]; known {
			ids := make([]model.HostID, r.homes+r.standbys)
			for i, index := range p.assignment.indexes[r.start : r.start+r.homes+r.standbys] {
				ids[i] = p.assignment.hosts[index]
			}
			return ids[:r.homes], ids[r.homes:]
		}
	}
	return nil, p.Hosts[:min(len(p.Hosts), maxStandbys)]
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
