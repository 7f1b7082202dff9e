package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func planHosts(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{ID: model.HostID(fmt.Sprintf("host-%03d", i)), Capacity: 0.4}
	}
	return list
}

// Guards against more connections than a target allows, against workspaces without a home, and against a home that
// may not hold a connection.
func TestPlanRespectsConnectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := planHosts(rapid.IntRange(1, 120).Draw(t, "hosts"))
		connections := rapid.IntRange(1, 240).Draw(t, "connections")
		weights := map[model.Workspace]float64{}
		for i := range rapid.IntRange(1, 80).Draw(t, "workspaces") {
			weights[model.Workspace(fmt.Sprintf("w%d", i))] = rapid.Float64Range(0, 100).Draw(t, "weight")
		}
		p := NewPlan(PlanInput{Service: "booking", Connections: connections, Rate: rapid.Float64Range(0, 1000).Draw(t, "rate"),
			Weights: weights, Hosts: hosts})
		sum := 0
		for _, host := range hosts {
			sum += p.ConnectionLimit(host.ID)
		}
		if sum > connections {
			t.Fatalf("the hosts may hold %d connections, the target allows %d", sum, connections)
		}
		for workspace := range weights {
			homes, _ := p.Homes(workspace)
			if len(homes) == 0 {
				t.Fatalf("%s has no home", workspace)
			}
			for _, id := range homes {
				if p.ConnectionLimit(id) == 0 {
					t.Fatalf("the home %s of %s may hold no connection", id, workspace)
				}
			}
		}
	})
}

// Guards against a host that is home to much more load than others: eight workspaces of unequal size on eight hosts.
func TestPlanBalancesLoad(t *testing.T) {
	weights := map[model.Workspace]float64{"a": 130, "b": 100, "c": 76, "d": 60, "e": 45, "f": 30, "g": 24, "h": 20}
	p := NewPlan(PlanInput{Service: "booking", Connections: 19, Rate: 485, Weights: weights, Hosts: planHosts(8)})
	load := map[model.HostID]float64{}
	for workspace, weight := range weights {
		homes, _ := p.Homes(workspace)
		for _, id := range homes {
			load[id] += weight / 485 * 19 / float64(len(homes))
		}
	}
	for id, connections := range load {
		if limit := 1.8 * 19 / 8; connections > limit {
			t.Errorf("%s carries %.1f connections, the mean is %.1f", id, connections, 19.0/8)
		}
	}
}

// Guards against callers on one side of a partition that find no host for a service although the targets have room: few
// hosts share a service, and all of them may be on the other side. Two sides of 65% and 35% of 195 hosts, 20 services.
func TestPlanServesBothSidesOfPartition(t *testing.T) {
	weights := map[model.Workspace]float64{"a": 1}
	hosts := planHosts(195)
	without, plays := 0, 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 0))
		minority := map[model.HostID]bool{}
		for _, index := range rng.Perm(len(hosts))[:len(hosts)*35/100] {
			minority[hosts[index].ID] = true
		}
		for service := range 20 {
			p := NewPlan(PlanInput{Service: model.Service(fmt.Sprint("service-", service)), Connections: 178, Rate: 94,
				Weights: weights, Hosts: hosts})
			sides := map[bool]bool{}
			for _, id := range slices.Concat(p.Hosts, p.Reserves) {
				sides[minority[id]] = true
			}
			plays++
			if len(sides) < 2 {
				without++
			}
		}
	}
	if without*200 > plays { // half a percent
		t.Errorf("in %d of %d plays one side had no host of the service", without, plays)
	}
}

// Guards against homes that see too few statements: a read that may be 1.5 s old can run on a replica only if its home knows
// a position of the primary that is as recent, and otherwise adds to the load of the primary. The load is that of one of 20
// services on 195 hosts: 58 operations a second of 140 workspaces, a quarter of which run on the primary.
func TestHomesKnowRecentPositions(t *testing.T) {
	const (
		rate         = 58.0
		primaryShare = 0.25
		maxStaleness = 1500 * time.Millisecond
		wantShare    = 0.9 // of the reads, so that the primary gets few that a replica could run
	)
	weights := map[model.Workspace]float64{}
	var workspaces []model.Workspace
	var cumulative []float64
	total := 0.0
	for i := range 140 {
		workspace := model.Workspace(fmt.Sprintf("w%d", i))
		weights[workspace] = 1 / math.Pow(float64(i+1), 0.8)
		total += weights[workspace]
		workspaces, cumulative = append(workspaces, workspace), append(cumulative, total)
	}
	p := NewPlan(PlanInput{Service: "booking", Connections: 178, Rate: 1.6 * rate, Weights: weights, Hosts: planHosts(195)})
	rng := rand.New(rand.NewPCG(1, 0))
	lastSample := map[model.HostID]time.Duration{}
	reads, known := 0, 0
	for now := time.Duration(0); now < time.Minute; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		index, _ := slices.BinarySearch(cumulative, rng.Float64()*total)
		homes, _ := p.Homes(workspaces[index])
		home := homes[rng.IntN(len(homes))]
		at, sampled := lastSample[home]
		recent := sampled && now-at <= maxStaleness
		onPrimary := rng.Float64() < primaryShare
		if !onPrimary {
			reads++
			if recent {
				known++
			}
		}
		if onPrimary || !recent { // the read runs on the primary as well, whose answer is the next sample
			lastSample[home] = now
		}
	}
	if share := float64(known) / float64(reads); share < wantShare {
		t.Errorf("%.2f of the reads found a recent position at their home, want %.2f", share, wantShare)
	}
}

// Guards against a plan that differs from host to host, or from one computed anew, because homes are kept while hosts
// come and go.
func TestNextPlanEqualsNewPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var plan Plan
		in := PlanInput{Service: "booking", Connections: 68, Rate: 130, Hosts: planHosts(40),
			Weights: map[model.Workspace]float64{}}
		for i := range 20 {
			in.Weights[model.Workspace(fmt.Sprintf("w%d", i))] = float64(i % 4)
		}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				in.Hosts = planHosts(rapid.IntRange(0, 60).Draw(t, "hosts"))
			case 1:
				in.Connections = rapid.IntRange(1, 100).Draw(t, "connections")
			case 2:
				in.Rate = rapid.Float64Range(0, 1000).Draw(t, "rate")
			case 3:
				in.Weights = maps.Clone(in.Weights)
				in.Weights["w3"] = rapid.Float64Range(0, 100).Draw(t, "weight")
			}
			plan = plan.Next(in)
			fresh := NewPlan(in)
			if !slices.Equal(plan.Hosts, fresh.Hosts) || !slices.Equal(plan.Reserves, fresh.Reserves) ||
				plan.ConnectionsPerHost != fresh.ConnectionsPerHost || plan.Remainder != fresh.Remainder {
				t.Fatalf("the plan is %+v, computed anew %+v", plan, fresh)
			}
			for workspace := range in.Weights {
				homes, standbys := plan.Homes(workspace)
				freshHomes, freshStandbys := fresh.Homes(workspace)
				if !slices.Equal(homes, freshHomes) || !slices.Equal(standbys, freshStandbys) {
					t.Fatalf("%s: homes %v and %v, computed anew %v and %v", workspace, homes, standbys, freshHomes, freshStandbys)
				}
			}
		}
	})
}

// Guards against other hosts of a service than those of the complete order, by which hosts of earlier versions choose them.
func TestTopHostsAreFirstOfRanking(t *testing.T) {
	hosts := planHosts(200)
	for i := range hosts {
		hosts[i].Capacity = []float64{0.192, 0.8, 0}[i%3]
	}
	for service := range 20 {
		key := servicePrefix + fmt.Sprint(service)
		for _, n := range []int{1, 6, 16, 200} {
			if got, want := topByCapacity(key, hosts, n), RankByCapacity(key, hosts)[:n]; !slices.Equal(got, want) {
				t.Errorf("%s: the first %d hosts are %v, want %v", key, n, got, want)
			}
		}
	}
}

// Guards against homes that are computed for each host that comes or goes and is not one of the service.
func TestHomesAreKeptWhenOtherHostsChange(t *testing.T) {
	in := PlanInput{Service: "booking", Connections: 68, Rate: 130, Hosts: planHosts(300),
		Weights: map[model.Workspace]float64{"a": 1, "b": 2}}
	plan := NewPlan(in)
	other := slices.IndexFunc(in.Hosts, func(h Candidate) bool { return plan.ConnectionLimit(h.ID) == 0 })
	in.Hosts = slices.Delete(slices.Clone(in.Hosts), other, other+1)
	if next := plan.Next(in); next.assignment != plan.assignment {
		t.Error("the homes are not kept when a host leaves that is not one of the service")
	}
	in.Hosts = slices.DeleteFunc(slices.Clone(in.Hosts), func(h Candidate) bool { return h.ID == plan.Hosts[0] })
	if next := plan.Next(in); next.assignment == plan.assignment {
		t.Error("the homes are kept although one has left")
	}
}
