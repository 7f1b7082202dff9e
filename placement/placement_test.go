package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{
			ID:         model.HostID(fmt.Sprintf("host-%03d", i)),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%3)),
		}
	}
	return list
}

// Guards against keys that move between two remaining hosts when a third one leaves.
func TestRankIsStableWhenHostLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 60).Draw(t, "hosts"))
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(all), removed, removed+1)
		slices.Reverse(remaining)
		for i := range 50 {
			key := fmt.Sprintf("key-%d", i)
			want := slices.DeleteFunc(Rank(key, all), func(id model.HostID) bool { return id == all[removed].ID })
			if got := Rank(key, remaining); !slices.Equal(got, want) {
				t.Fatalf("key %s: the order of the remaining hosts changed: %v, want %v", key, got, want)
			}
		}
	})
}

// Guards against a home outside the data centres of the targets while a host inside is alive, and against a missing
// home.
func TestHomePrefersDataCentresOfTargets(t *testing.T) {
	all := candidates(30)
	id, _ := Home("booking", []model.DataCentre{"dc1"}, all)
	if i := slices.IndexFunc(all, func(c Candidate) bool { return c.ID == id }); all[i].DataCentre != "dc1" {
		t.Fatalf("home %s is in %s, want dc1", id, all[i].DataCentre)
	}
	if _, found := Home("booking", []model.DataCentre{"elsewhere"}, all); !found {
		t.Fatal("no home although hosts are alive")
	}
	if _, found := Home("booking", nil, nil); found {
		t.Fatal("a home without live hosts")
	}
}

// Guards against an uneven distribution of brokers, which would load one host with most workspaces.
func TestBrokersSpreadEvenly(t *testing.T) {
	count := map[model.HostID]int{}
	for i := range 8200 {
		id, _ := Broker(model.Workspace(fmt.Sprintf("w%d", i)), candidates(82))
		count[id]++
	}
	for id, n := range count {
		if n < 50 || n > 160 {
			t.Errorf("host %s is broker of %d workspaces, expected about 100", id, n)
		}
	}
}

// Guards against cycles, against a fan-out above the limit and against a depth at which proofs become too old.
func TestRelayTreeShape(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 4, 9, 27, 28, 50, 200, 400, 820} {
		all := candidates(n)
		tree := NewRelayTree(all)
		children := 0
		for _, host := range all {
			parents := tree.Parents(host.ID)
			if slices.Contains(parents, host.ID) {
				t.Fatalf("%d hosts: %s is its own parent", n, host.ID)
			}
			if depth := tree.Depth(host.ID); depth > 3 {
				t.Errorf("%d hosts: depth %d of %s", n, depth, host.ID)
			}
			own := tree.Children(host.ID)
			if len(own) > RelayFanOut {
				t.Errorf("%d hosts: %s has %d children", n, host.ID, len(own))
			}
			for _, child := range own {
				if tree.Parents(child)[0] != host.ID {
					t.Errorf("%d hosts: parent of %s is not %s", n, child, host.ID)
				}
			}
			children += len(own)
		}
		if want := max(0, n-RelayRoots); children != want {
			t.Errorf("%d hosts: %d hosts have a parent, want %d", n, children, want)
		}
	}
}
