package fleet

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/relay"
)

// applyAllDeltas applies what the leader relays to a host that has the state of the follower, and reports whether all of it
// arrived in the reply.
func applyAllDeltas(tb interface{ Fatal(...any) }, leader *Agent, host *prefixFollower) (complete bool) {
	ctx := context.Background()
	changes := leader.relayedChanges(map[string]uint64{host.prefix: host.revision})
	for _, encoded := range changes.Deltas {
		d, err := relay.Decode(encoded)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err = host.applyDelta(ctx, d); err == nil {
			continue
		}
		if encoded, _, err = leader.encodedDelta(host.prefix, 0, math.MaxInt); err == nil {
			d, err = relay.Decode(encoded)
		}
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := host.applyDelta(ctx, d); err != nil || d.Since != 0 {
			tb.Fatal("the complete state does not apply", err)
		}
	}
	return len(changes.Large) == 0
}

// Guards against a host that misses a change or a removal, or keeps a key that was removed, for any state that it may have
// listed before and any order of changes, lists and reports.
func TestDeltasLeadToStateOfLeader(t *testing.T) {
	const largeKey = controlPrefix + "large" // changes are sent as patches
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		newFollower := func() (*Agent, *prefixFollower) {
			a := &Agent{Config: Config{Log: zap.NewNop()}, events: make(chan func(*control), 1000),
				followers: map[string]*prefixFollower{}}
			a.view.Store(newClusterView())
			return a, a.follower(controlPrefix, func(*control, prefixChange) {})
		}
		leader, leading := newFollower()
		_, follower := newFollower()
		store, revision := map[string]metastore.Item{}, uint64(0)
		snapshot := func() (items []metastore.Item) {
			for _, i := range store {
				items = append(items, i)
			}
			return items
		}
		watched := uint64(0)
		var history []metastore.Event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				revision++
				key := rapid.SampledFrom([]string{hostPrefix + "a", hostPrefix + "b", hostPrefix + "c", leaderKey,
					primaryPrefix + "s", largeKey}).Draw(t, "key")
				changed := item(key, revision)
				if key == largeKey {
					changed.Value = fmt.Appendf(bytes.Repeat([]byte("unchanged"), relay.MinPatchedBytes/8), "%d", revision)
				}
				if _, exists := store[key]; exists && rapid.Bool().Draw(t, "remove") {
					delete(store, key)
					history = append(history, metastore.Event{Item: metastore.Item{Key: key, Revision: revision}, Removed: true})
				} else {
					store[key] = changed
					history = append(history, metastore.Event{Item: changed})
				}
			case 5:
				leading.replaceState(ctx, PrefixState{Revision: revision, Items: snapshot()}, true)
				watched = revision
			case 6:
				if follower.revision <= revision {
					follower.replaceState(ctx, PrefixState{Revision: revision, Items: snapshot()}, true)
				}
			case 7:
				if watched > 0 {
					leading.applyEvents(ctx, history[watched:], revision)
					watched = revision
				}
			case 8:
				leading.relayedAt = time.Time{}
				applyAllDeltas(t, leader, follower)
			case 9:
				applyAllDeltas(t, leader, follower)
			}
		}
		revision++
		last := item(leaderKey, revision)
		store[leaderKey] = last
		leading.replaceState(ctx, PrefixState{Revision: revision, Items: snapshot()}, true)
		applyAllDeltas(t, leader, follower)
		if diff := cmp.Diff(itemRevisions(leading), itemRevisions(follower)); diff != "" || follower.revision != revision {
			t.Fatalf("at revision %d of %d (-leader +host):\n%s", follower.revision, revision, diff)
		}
		if !bytes.Equal(leading.items[largeKey].Value, follower.items[largeKey].Value) {
			t.Fatal("a large value differs")
		}
	})
}

// Guards against a configuration that is sent again to every host that has listed the store before the leader did: at 300
// hosts the leader compressed and sent it for half of them, 81 MB in the first second.
func TestUnchangedValuesAreNotSentAgain(t *testing.T) {
	ctx := t.Context()
	leader, f := newTestFollower(t)
	configuration := metastore.Item{Key: "p/config", Value: bytes.Repeat([]byte("route"), 200_000), Revision: 5}
	f.replaceState(ctx, PrefixState{Revision: 20, Items: []metastore.Item{configuration, item("p/b", 18)}}, true)
	_, host := newTestFollower(t)
	host.replaceState(ctx, PrefixState{Revision: 10, Items: []metastore.Item{configuration, item("p/gone", 7)}}, true)
	changes := leader.relayedChanges(map[string]uint64{"p/": host.revision})
	if size := len(changes.Deltas["p/"]); size == 0 || size > 200 {
		t.Errorf("%d bytes are sent", size)
	}
	if complete := applyAllDeltas(t, leader, host); !complete || host.revision != 20 {
		t.Errorf("complete %t, at revision %d", complete, host.revision)
	}
	if diff := cmp.Diff(itemRevisions(f), itemRevisions(host)); diff != "" {
		t.Errorf("items (-leader +host):\n%s", diff)
	}
	if changes := leader.relayedChanges(map[string]uint64{"p/": host.revision}); changes.Deltas != nil {
		t.Error("the host that has seen all is sent changes again")
	}
}

// Guards against changes that are encoded for each host by itself: hosts that have listed the store at different
// revisions, with no change between them, need the same ones.
func TestSameChangesAreEncodedOnce(t *testing.T) {
	leader, f := newTestFollower(t)
	f.replaceState(t.Context(), PrefixState{Revision: 10, Items: []metastore.Item{item("p/a", 3)}}, true)
	f.applyEvents(t.Context(), []metastore.Event{{Item: item("p/b", 100)}}, 100)
	first, _, err := leader.encodedDelta("p/", 11, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if last, _, err := leader.encodedDelta("p/", 90, 1000); err != nil || &first[0] != &last[0] {
		t.Errorf("the changes are encoded again for a host at another revision, error %v", err)
	}
}

// Guards against registrations of a starting fleet that are relayed one by one, and against a decision that waits for them.
func TestOnlyRegistrationsAreCollectedForRelay(t *testing.T) {
	a := &Agent{Config: Config{Log: zap.NewNop()}, events: make(chan func(*control), eventQueueLength),
		followers: map[string]*prefixFollower{}}
	a.view.Store(newClusterView())
	f := a.follower(controlPrefix, func(*control, prefixChange) {})
	f.replaceState(t.Context(), PrefixState{Revision: 10, Items: []metastore.Item{item(leaderKey, 3)}}, true)
	relayed := func(since uint64) bool {
		return a.relayedChanges(map[string]uint64{controlPrefix: since}).Deltas != nil
	}
	if !relayed(5) {
		t.Error("the first state is not relayed")
	}
	f.relayedAt = boottime.Now().Add(time.Hour) // the delay does not pass, also on a busy machine
	f.applyEvents(t.Context(), []metastore.Event{{Item: item(hostPrefix+"a", 11)}}, 11)
	if relayed(10) {
		t.Error("a registration is relayed at once")
	}
	f.relayedAt = boottime.Now().Add(-registrationRelayDelay)
	if !relayed(10) {
		t.Error("a registration is not relayed after the delay")
	}
	f.relayedAt = boottime.Now().Add(time.Hour)
	f.applyEvents(t.Context(), []metastore.Event{{Item: item(hostPrefix+"b", 12)}}, 12)
	f.applyEvents(t.Context(), []metastore.Event{{Item: item(primaryPrefix+"s", 13)}}, 13)
	if !relayed(11) {
		t.Error("a decision waits for registrations")
	}
}

// newReportingAgent returns an agent that reports to peers.
func newReportingAgent(t *testing.T) *Agent {
	t.Helper()
	server := frontend.New("z", nil, zap.NewNop(), frontend.NewMetrics(prometheus.NewRegistry()))
	a := New(Config{Self: Host{ID: "host", Incarnation: 1}, Server: server, Log: zap.NewNop(),
		Decoders: Decoders{ConfigurationKey: "op/config", TargetPrefix: "servers/"}})
	a.leaderUnreachable.Store(false)
	return a
}

// olderPeer has the methods of a host before heartbeats.
type olderPeer struct{ reports, syncs int }

// Report counts a report.
func (p *olderPeer) Report(_ ReportRequest, reply *SyncReply) error {
	p.reports++
	reply.Fresh = true
	reply.Changes = map[string]PrefixState{"servers/": {Revision: 9, Items: []metastore.Item{item("servers/a", 8)}}}
	return nil
}

// Sync counts a sync.
func (p *olderPeer) Sync(ReportRequest, *SyncReply) error {
	p.syncs++
	return nil
}

// Guards against a rolling upgrade in which hosts of this version cannot report to a leader or a deputy of the version
// before.
func TestReportsToOlderLeader(t *testing.T) {
	older := &olderPeer{}
	leader := startPeer(t, "leader", map[string]any{"Peer": older})
	a := newReportingAgent(t)
	for range 3 {
		sent := boottime.Now()
		request := a.newReport(false)
		result, err := a.sendReport(brokerHost{Host: leader}, request)
		if err != nil {
			t.Fatal(err)
		}
		a.applySyncResult(t.Context(), leader, sent, request.Revisions, result)
		if _, err := a.sendReport(brokerHost{leader, true}, request); err != nil {
			t.Fatal(err)
		}
	}
	if older.reports != 3 || older.syncs != 3 {
		t.Errorf("%d reports, %d syncs", older.reports, older.syncs)
	}
	if got := a.followers["servers/"].revision; got != 9 || a.lastRelay.Load() == 0 {
		t.Errorf("the relayed state is not applied: revision %d", got)
	}
	restarted := leader
	restarted.Incarnation++
	if a.exchange.Legacy(processOf(restarted)) {
		t.Error("a restarted leader counts as one of the older version")
	}
}

// startLeader serves an agent that leads.
func startLeader(t *testing.T) (*controlHost, Host) {
	t.Helper()
	leader := newControlHost(Host{ID: "leader"})
	leader.lead()
	return leader, startPeer(t, "leader", map[string]any{"Peer": &Peer{leader.Agent}})
}

// Guards against a leader that loses the content of a report or takes it for that of another host when it is a heartbeat,
// and against a host that cannot report after its leader has started again.
func TestReportsBecomeHeartbeats(t *testing.T) {
	leader, h := startLeader(t)
	a := newReportingAgent(t)
	report := func() error {
		_, err := a.sendReport(brokerHost{Host: h}, a.newReport(true))
		return err
	}
	if err := report(); err != nil {
		t.Fatal(err)
	}
	if _, possible := a.exchange.Request(processOf(h), heartbeatReport(a.newReport(true))); !possible {
		t.Fatal("no heartbeat after a full report")
	}
	term := leader.leadership()
	delete(term.reports, "host")
	if err := report(); err != nil {
		t.Fatal(err)
	}
	if _, reported := term.reports["host"]; !reported || term.broker.MemberCount(boottime.Now()) != 1 {
		t.Error("a heartbeat does not count as a report of a member")
	}
	leader.exchange.Open(heartbeatReport(a.newReport(true))) // ends the session of this host
	delete(term.reports, "host")
	if err := report(); err != nil {
		t.Fatal(err)
	}
	if _, reported := term.reports["host"]; !reported {
		t.Error("no full report after the session has gone")
	}
	leader.setLeading(nil)
	if err := report(); err == nil || err.Error() != errNotLeader.Error() {
		t.Errorf("a report to a host that does not lead ends with %v", err)
	}
	next := h
	next.Incarnation++
	if _, possible := a.exchange.Request(processOf(next), heartbeatReport(a.newReport(true))); possible {
		t.Error("a heartbeat to another process")
	}
}

// Guards against changes that are too large for a reply and never arrive.
func TestLargeDeltasAreFetched(t *testing.T) {
	leader, h := startLeader(t)
	s := newScaledFleet(300)
	leader.list(t, s, firstHostRevision+300)
	a := newControlHost(Host{ID: "host"})
	request := a.newReport(false)
	result, err := a.sendReport(brokerHost{Host: h}, request)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.changes.Large) == 0 {
		t.Fatal("no large changes")
	}
	a.applySyncResult(t.Context(), h, boottime.Now(), request.Revisions, result)
	deadline := time.Now().Add(5 * time.Second)
	for a.Agent.knownRevisions()[s.configuration.Key] == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	a.drain()
	a.control.flush()
	if v := a.view.Load(); v.catalog.Version != 1 || len(v.hosts) != 300 || len(v.targets) != 105 {
		t.Errorf("version %d, %d hosts, %d targets", v.catalog.Version, len(v.hosts), len(v.targets))
	}
}

// Guards against a configuration of a megabyte that is sent whole to every host for each change (300 hosts: 150 MB, 6 s
// on the leader's link), and against one that a host cannot assemble and never gets.
func TestConfigurationIsPatched(t *testing.T) {
	leader, h := startLeader(t)
	s := newScaledFleet(300)
	leader.list(t, s, firstHostRevision)
	a := newControlHost(Host{ID: "host"})
	a.list(t, s, firstHostRevision)
	value := bytes.Replace(s.configuration.Value, []byte(`"workspace-0123"`), []byte(`"workspace-0123b"`), 1)
	value = bytes.Replace(value, []byte(`"version":1}`), []byte(`"version":2}`), 1)
	next := metastore.Item{Key: s.configuration.Key, Value: value, Revision: firstHostRevision + 10}
	leader.change(t, next.Key, metastore.Event{Item: next})
	changes := leader.relayedChanges(a.Agent.knownRevisions())
	if size := len(changes.Deltas[next.Key]); len(changes.Large) > 0 || size == 0 || size > 500 {
		t.Errorf("%d bytes are sent, fetched are %v", size, changes.Large)
	}
	a.applySyncResult(t.Context(), h, boottime.Now(), nil, syncResult{changes: changes})
	a.drain()
	if got := a.followers[next.Key].items[next.Key]; !bytes.Equal(got.Value, value) || a.view.Load().catalog.Version != 2 {
		t.Errorf("the host has version %d", a.view.Load().catalog.Version)
	}

	other := newControlHost(Host{ID: "other"})
	other.list(t, s, firstHostRevision)
	f := other.followers[next.Key]
	known := f.items[next.Key]
	known.Revision--
	f.items[next.Key] = known // a version that the leader has not seen
	other.applySyncResult(t.Context(), h, boottime.Now(), nil, syncResult{changes: changes})
	deadline := time.Now().Add(5 * time.Second)
	for other.Agent.knownRevisions()[next.Key] != next.Revision && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	other.drain()
	if v := other.view.Load(); v.catalog.Version != 2 {
		t.Errorf("a host with another version has version %d", v.catalog.Version)
	}
}
