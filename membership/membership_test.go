package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var sizes = []int{9, 50, 200, 400, 820}

// smallSizes are the sizes of the partition test, whose running time grows with the square of the size.
var smallSizes = []int{9, 50, 200}

// Guards against tables that do not converge after a start of the whole fleet or after churn, against slow detection
// of a crash, and against false deaths under 5% loss. Every tenth host crashes at once, and half of these restart.
func TestChurn(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			net := newNetwork(t, n, 7)
			joined := net.runUntil(30*time.Second, net.checkAgreement)
			net.run(10 * time.Second)
			net.nodes[1].up = false
			knownToHalf := net.runUntil(10*time.Second, func() error { return net.checkKnownDead(hostID(1), n/2) })
			single := knownToHalf + net.runUntil(20*time.Second, net.checkAgreement)
			net.startHost(1)
			net.runUntil(30*time.Second, net.checkAgreement)
			for _, node := range net.nodes {
				node.deaths = 0
			}
			net.lossRate = 0.05
			net.run(10 * time.Second)
			if deaths := net.deaths(); deaths > 0 {
				t.Errorf("%d false deaths under 5%% loss", deaths)
			}
			for i := range n/10 + 1 {
				net.nodes[i*7%n].up = false
			}
			detected := net.runUntil(40*time.Second, net.checkAgreement)
			net.run(time.Second)
			for i := 0; i < n/10+1; i += 2 {
				net.startHost(i * 7 % n)
			}
			rejoined := net.runUntil(30*time.Second, net.checkAgreement)
			t.Logf("%d hosts: start %v; one crash known to half of the hosts after %v, to all after %v; "+
				"with 5%% loss 10%% crashes known to all after %v, 5%% restarts after %v", n, joined,
				knownToHalf, single, detected, rejoined)
		})
	}
}

// Guards against a partition that remains after the network has healed, and against false deaths on either side while
// it heals.
func TestPartitionHeals(t *testing.T) {
	for _, n := range smallSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			net := newNetwork(t, n, 11)
			net.runUntil(30*time.Second, net.checkAgreement)
			net.linkCut = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }
			net.run(time.Minute)
			for i, node := range net.nodes {
				sameSide := 0
				for _, m := range node.table.LiveMembers() {
					var j int
					_, _ = fmt.Sscanf(string(m.ID), "host-%d", &j)
					if (i%3 == 0) != (j%3 == 0) {
						t.Fatalf("host %d still sees %s in the other partition as live", i, m.ID)
					}
					sameSide++
				}
				node.deaths = 0
				if want := (n + 2) / 3; i%3 == 0 && sameSide != want {
					t.Fatalf("host %d sees %d live hosts in its partition, want %d", i, sameSide, want)
				}
			}
			net.linkCut = func(int, int) bool { return false }
			healed := net.runUntil(time.Minute, net.checkAgreement)
			if deaths := net.deaths(); deaths > 0 {
				t.Errorf("%d deaths while the network healed", deaths)
			}
			t.Logf("%d hosts: healed after %v", n, healed)
		})
	}
}

// Guards against a host that is declared dead although only messages from some hosts to it are lost.
func TestOneWayCut(t *testing.T) {
	net := newNetwork(t, 20, 3)
	net.runUntil(20*time.Second, net.checkAgreement)
	net.linkCut = func(from, to int) bool { return to == 5 && from < 4 }
	net.run(time.Minute)
	if err := net.checkAgreement(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a paused host that declares others dead when it resumes, and against one that remains dead.
func TestPausedHostRefutes(t *testing.T) {
	net := newNetwork(t, 20, 5)
	net.runUntil(20*time.Second, net.checkAgreement)
	before := net.nodes[4].table.Self().Incarnation
	net.nodes[4].paused = true
	net.run(10 * time.Second)
	if m, _ := net.nodes[7].table.Get(hostID(4)); m.State != StateDead {
		t.Fatalf("paused host is %v, want dead", m.State)
	}
	net.resume(4)
	net.runUntil(10*time.Second, net.checkAgreement)
	if net.nodes[4].table.Self().Incarnation <= before {
		t.Error("the host did not raise its incarnation")
	}
	if net.nodes[4].deaths > 0 {
		t.Errorf("the resumed host declared %d members dead", net.nodes[4].deaths)
	}
}

// Guards against a leave that is handled like a crash, and against a host that left and becomes live again without a
// new incarnation.
func TestLeaveAndRestart(t *testing.T) {
	net := newNetwork(t, 20, 9)
	net.runUntil(20*time.Second, net.checkAgreement)
	net.perform(3, net.nodes[3].table.Leave(net.now, net.rng))
	took := net.runUntil(5*time.Second, net.checkAgreement)
	t.Logf("leave known to all after %v", took)
	net.run(10 * time.Second)
	net.nodes[3].up = false
	net.run(5 * time.Second)
	if m, _ := net.nodes[0].table.Get(hostID(3)); m.State != StateLeft {
		t.Fatalf("state %v, want left", m.State)
	}
	net.startHost(3)
	net.runUntil(10*time.Second, net.checkAgreement)
}

// Guards against a host that starts during a partition and never finds the others afterwards.
func TestStartWhileCutOff(t *testing.T) {
	net := newNetwork(t, 9, 13)
	net.runUntil(20*time.Second, net.checkAgreement)
	net.nodes[2].up = false
	net.run(10 * time.Second)
	net.linkCut = func(from, to int) bool { return from == 2 || to == 2 }
	net.startHost(2)
	net.run(20 * time.Second)
	if live := net.nodes[2].table.LiveMembers(); len(live) != 1 {
		t.Fatalf("an isolated host sees %d live hosts", len(live))
	}
	net.linkCut = func(int, int) bool { return false }
	net.runUntil(30*time.Second, net.checkAgreement)
}

// aliveUpdate returns an update with the state of a live host.
func aliveUpdate(i int, incarnation model.Incarnation) Update {
	return Update{ID: hostID(i), State: StateAlive, Incarnation: incarnation, GossipAddress: address(i)}
}

// newTestTable returns the table of host 0, to which hosts 1 and 2 are known.
func newTestTable(t *testing.T) (*Table, *rand.Rand) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	table := New(epoch, Member{ID: hostID(0), GossipAddress: address(0), Incarnation: 100}, Settings{})
	table.HandleMessage(epoch, rng, address(1), Message{Kind: KindPing, From: hostID(1), Incarnation: 50, Target: hostID(0),
		Updates: []Update{aliveUpdate(1, 50), aliveUpdate(2, 50)}})
	return table, rng
}

// Guards against a delayed message that restores an older incarnation of a host, or that declares a newer one dead.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	table, rng := newTestTable(t)
	for _, u := range []Update{
		{ID: hostID(2), State: StateDead, Incarnation: 49},
		{ID: hostID(2), State: StateAlive, Incarnation: 40, GossipAddress: "10.9.9.9:1"},
		{ID: hostID(2), State: StateLeft, Incarnation: 1},
	} {
		table.HandleMessage(epoch, rng, address(1), Message{Kind: KindAck, From: hostID(1), Incarnation: 50,
			Updates: []Update{u}})
	}
	m, _ := table.Get(hostID(2))
	if m.State != StateAlive || m.Incarnation != 50 || m.GossipAddress != address(2) {
		t.Fatalf("member changed to %+v", m)
	}
}

// Guards against a leaving host that stays live, against an outdated host list that affects a later start of a host,
// and against a host list that overrides a detected death.
func TestHostList(t *testing.T) {
	table, rng := newTestTable(t)
	if actions := table.ApplyHostList(epoch, rng, nil); len(actions) != 0 || len(table.LiveMembers()) != 3 {
		t.Fatal("an empty list changed something")
	}
	leaving := []ListedHost{{ID: hostID(1), GossipAddress: address(1), Leaving: true}}
	table.ApplyHostList(epoch, rng, leaving)
	if m, _ := table.Get(hostID(1)); m.State != StateLeft {
		t.Fatalf("state %v, want left", m.State)
	}
	table.HandleMessage(epoch, rng, address(1), Message{Kind: KindPing, From: hostID(1), Incarnation: 60, Target: hostID(0)})
	table.ApplyHostList(epoch, rng, leaving)
	if m, _ := table.Get(hostID(1)); m.State != StateAlive {
		t.Fatalf("state %v after a newer start, want alive", m.State)
	}
	dead := Update{ID: hostID(2), State: StateDead, Incarnation: 50}
	table.HandleMessage(epoch, rng, address(1), Message{Kind: KindAck, From: hostID(1), Incarnation: 60,
		Updates: []Update{dead}})
	for i := range 20 {
		table.Tick(epoch.Add(time.Duration(i)*tickInterval), rng)
	}
	table.ApplyHostList(epoch.Add(time.Second), rng, []ListedHost{{ID: hostID(2), GossipAddress: address(2)}})
	if m, _ := table.Get(hostID(2)); m.State != StateDead {
		t.Fatalf("state %v, want dead regardless of the list", m.State)
	}
}

// Guards against a reported death that is accepted although the member answers this host's ping.
func TestReportedDeathIsVerified(t *testing.T) {
	table, rng := newTestTable(t)
	dead := Update{ID: hostID(2), State: StateDead, Incarnation: 50}
	actions := table.HandleMessage(epoch, rng, address(1), Message{Kind: KindAck, From: hostID(1), Incarnation: 50,
		Updates: []Update{dead}})
	actions = append(actions, table.Tick(epoch, rng)...)
	informed := false
	for _, action := range actions {
		if action.Send != nil && action.Send.Address == address(2) && len(action.Send.Message.Updates) > 0 {
			informed = informed || action.Send.Message.Updates[0].State == StateSuspect
		}
	}
	if !informed {
		t.Error("the member was not told of the suspicion")
	}
	table.HandleMessage(epoch.Add(50*time.Millisecond), rng, address(2), Message{Kind: KindAck, From: hostID(2),
		Incarnation: 51, Target: hostID(2)})
	for i := range 100 {
		table.Tick(epoch.Add(time.Duration(i)*tickInterval), rng)
		if m, _ := table.Get(hostID(2)); i < 5 && m.State != StateAlive {
			t.Fatalf("state %v after the refutation, want alive", m.State)
		}
	}
}

// Guards against dead members that are never deleted.
func TestDeadMembersArePruned(t *testing.T) {
	table, rng := newTestTable(t)
	for now := epoch; now.Before(epoch.Add(2 * time.Hour)); now = now.Add(500 * time.Millisecond) {
		table.Tick(now, rng)
	}
	if members := table.Members(); len(members) != 1 {
		t.Fatalf("%d members after two hours without an answer, want 1", len(members))
	}
}

// Guards against an encoding that loses fields, and against malformed input that is accepted.
func TestEncoding(t *testing.T) {
	m := Message{Kind: KindSync, Sequence: 1 << 40, From: "a", Incarnation: 1 << 60, Payload: []byte{1}, Target: "b",
		Updates: []Update{aliveUpdate(1, 5)}, Digests: make([]byte, digestsSize), More: true}
	data, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, got); diff != "" {
		t.Fatal(diff)
	}
	for i := range data {
		if _, err := Decode(data[:i]); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: error %v", i, len(data), err)
		}
	}
	if _, err := Decode(make([]byte, 2000)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("error %v, want ErrTooLarge", err)
	}
}
