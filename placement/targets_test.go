package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// unevenHosts returns hosts of which the first two of each data centre have four times the capacity of the others.
func unevenHosts(dataCentres, perDataCentre int) []Candidate {
	var list []Candidate
	for d := range dataCentres {
		for i := range perDataCentre {
			capacity := 0.192
			if i < 2 {
				capacity = 0.8
			}
			list = append(list, Candidate{ID: model.HostID(fmt.Sprintf("host-%d-%03d", d, i)),
				DataCentre: model.DataCentre(fmt.Sprint("dc", d)), Capacity: capacity})
		}
	}
	return list
}

func placedTargets(services, dataCentres, connections int) []PlacedTarget {
	var list []PlacedTarget
	for s := range services {
		for d := range dataCentres {
			list = append(list, PlacedTarget{ID: model.TargetID(fmt.Sprintf("t%d-%d", s, d)),
				DataCentre: model.DataCentre(fmt.Sprint("dc", d)), Connections: connections})
		}
	}
	return list
}

// Guards against more connections than a target allows, and against a target without a host while there are hosts.
func TestTargetPlanRespectsConnectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := unevenHosts(rapid.IntRange(1, 4).Draw(t, "data centres"), rapid.IntRange(1, 25).Draw(t, "hosts"))
		connections := rapid.IntRange(1, 100).Draw(t, "connections")
		targets := placedTargets(rapid.IntRange(1, 8).Draw(t, "services"), rapid.IntRange(1, 5).Draw(t, "targets"), connections)
		p := NewTargetPlan(targets, hosts)
		for _, target := range targets {
			sum := 0
			for _, h := range hosts {
				sum += p.ConnectionLimit(target.ID, h.ID)
			}
			if sum > connections || len(p.Hosts(target.ID)) == 0 {
				t.Fatalf("%d hosts hold %d connections to a target that allows %d", len(p.Hosts(target.ID)), sum, connections)
			}
		}
	})
}

// Guards against gateway hosts outside the data centre of their target, against small hosts with several targets while others have
// none, and against reserves that a partition of the data centre takes away all at once.
func TestTargetPlanFollowsDataCentresAndCapacity(t *testing.T) {
	hosts, targets := unevenHosts(3, 25), placedTargets(8, 3, 54)
	p := NewTargetPlan(targets, hosts)
	byID := map[model.HostID]Candidate{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	roles := map[model.HostID]int{}
	for _, target := range targets {
		assigned := p.Hosts(target.ID)
		for _, h := range assigned[:2] {
			if byID[h.Host].DataCentre != target.DataCentre {
				t.Errorf("%s of %s is in %s", target.ID, target.DataCentre, byID[h.Host].DataCentre)
			}
		}
		if !slices.ContainsFunc(assigned, func(h TargetHost) bool { return byID[h.Host].DataCentre != target.DataCentre }) {
			t.Errorf("%s has no reserve in another data centre", target.ID)
		}
		roles[assigned[0].Host]++
	}
	for id, n := range roles {
		if limit := map[float64]int{0.192: 1, 0.8: 2}[byID[id].Capacity]; n > limit {
			t.Errorf("%s with %.3f cores is the gateway host of %d targets", id, byID[id].Capacity, n)
		}
	}
}

// Guards against hosts that compute different plans because they learnt of hosts and targets in another order, and against targets
// that move between hosts which stay: each move closes the connections of all workspaces.
func TestTargetPlanIsStable(t *testing.T) {
	hosts, targets := unevenHosts(4, 16), placedTargets(8, 3, 68)
	p := NewTargetPlan(targets, hosts)
	shuffledHosts, shuffledTargets := slices.Clone(hosts), slices.Clone(targets)
	rng := rand.New(rand.NewPCG(1, 0))
	rng.Shuffle(len(hosts), func(i, j int) { shuffledHosts[i], shuffledHosts[j] = shuffledHosts[j], shuffledHosts[i] })
	rng.Shuffle(len(targets), func(i, j int) { shuffledTargets[i], shuffledTargets[j] = shuffledTargets[j], shuffledTargets[i] })
	if diff := cmp.Diff(p.hosts, NewTargetPlan(shuffledTargets, shuffledHosts).hosts); diff != "" {
		t.Errorf("the plan depends on the order of its input:\n%s", diff)
	}
	moved := 0
	for removed := range hosts {
		rest := slices.Delete(slices.Clone(hosts), removed, removed+1)
		q := NewTargetPlan(targets, rest)
		for _, target := range targets {
			old := p.Hosts(target.ID)[0].Host
			if old != hosts[removed].ID && q.Hosts(target.ID)[0].Host != old {
				moved++
			}
		}
	}
	// A removal changes the role limits of a data centre and moves at most one further target now and then.
	if moved > len(hosts)/4 {
		t.Errorf("%d removals moved %d targets between hosts that stay", len(hosts), moved)
	}
}
