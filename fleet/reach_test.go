package fleet

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/region"
)

// startRelay starts a relay in front of a host.
func startRelay(t *testing.T, h Host) (Host, *loopback.Relay) {
	t.Helper()
	relay, err := loopback.NewRelay("127.0.0.1:0", h.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	return Host{ID: h.ID, Address: relay.Address}, relay
}

func newProbingAgent(h Host) *Agent {
	a := &Agent{Config: Config{Log: zap.NewNop()}, controlClients: newPeerClients(), statementClients: newPeerClients(),
		reachability: reachability{timeout: time.Minute, hosts: map[model.HostID]*hostProbe{}}}
	v := newClusterView()
	v.hosts[h.ID] = h
	a.view.Store(v)
	return a
}

// Guards against statements that wait for their whole timeout for a host behind a partition, and against a host that
// stays unused after the partition.
func TestUnreachableHostIsAvoidedAndReconnected(t *testing.T) {
	h, relay := startRelay(t, startSlowPeer(t))
	a := newProbingAgent(h)
	wait := func(pause, timeout time.Duration) error {
		_, err := a.statementClients.callUnlessUnreachable(h, "Slow.Wait", pause, new(time.Duration), timeout,
			func() <-chan struct{} { return a.probeHost(h) })
		return err
	}
	if err := wait(2*suspectAfter, 5*time.Second); err != nil {
		t.Fatalf("a slow statement on a reachable host ended with %v", err)
	}
	relay.SetPartitioned(true)
	a.reachability.timeout = pingTimeout
	if err := wait(time.Millisecond, time.Minute); !errors.Is(err, errUnreachable) {
		t.Errorf("a statement on an unreachable host ended with %v", err)
	}
	if !a.reachability.isUnreachable(h.ID) {
		t.Error("the host counts as reachable")
	}
	relay.SetPartitioned(false)
	// The wait is long compared with pingInterval, for machines under load.
	for end := time.Now().Add(reconnectTimeout); a.reachability.isUnreachable(h.ID); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host is still unreachable")
		}
	}
	if err := wait(time.Millisecond, 5*time.Second); err != nil {
		t.Errorf("a statement after the partition ended with %v", err)
	}
}

// Guards against a statement with regions that is forwarded to a host outside them.
func TestForwardingKeepsToRegions(t *testing.T) {
	a := newProbingAgent(Host{ID: "far", DataCentre: "north"})
	v := a.view.Load().clone()
	v.hosts["near"] = Host{ID: "near", DataCentre: "south"}
	v.plans = map[model.Service]placement.Plan{"stock": {Hosts: []model.HostID{"far", "near"}, ConnectionsPerHost: 1}}
	a.view.Store(v)
	a.homes = homeSelector{outstanding: map[model.HostID]int{"near": 9}, avoidUntil: map[model.HostID]time.Time{}}
	excluded := frontend.ExcludedHosts{}
	request := frontend.SelectRequest{Service: "stock", Workspace: "w"}
	if selected := a.SelectHost(request, excluded); selected.Host != "far" {
		t.Errorf("without regions the statement goes to %q", selected.Host)
	}
	excluded.Region = region.Constraint{Limited: true, Allowed: map[model.DataCentre]bool{"south": true}}
	if selected := a.SelectHost(request, excluded); selected.Host != "near" {
		t.Errorf("the statement goes to %q", selected.Host)
	}
	excluded.Region.Allowed = nil
	if selected := a.SelectHost(request, excluded); !selected.Local {
		t.Errorf("the statement goes to %q although no host is allowed", selected.Host)
	}
}
