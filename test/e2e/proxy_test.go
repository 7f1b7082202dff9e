package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxyNetwork is a set of fault-injecting proxies between processes.
type proxyNetwork struct {
	t       *testing.T
	server  *toxiproxy.ApiServer
	proxies map[string]*toxiproxy.Proxy
}

func newProxyNetwork(t *testing.T) *proxyNetwork {
	n := &proxyNetwork{t: t, server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{}}
	t.Cleanup(func() {
		for _, p := range n.proxies {
			p.Stop()
		}
	})
	return n
}

// addProxy starts a proxy to an upstream address and returns the proxy's address.
func (n *proxyNetwork) addProxy(name, upstream string) string {
	n.t.Helper()
	p := toxiproxy.NewProxy(n.server, name, localAddress(unusedPort(n.t)), upstream)
	if err := p.Start(); err != nil {
		n.t.Fatal(err)
	}
	n.proxies[name] = p
	return p.Listen
}

// toxic is a fault of a proxy in toxiproxy's JSON format.
type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

// inject adds faults to a proxy.
func (n *proxyNetwork) inject(name string, toxics ...toxic) {
	n.t.Helper()
	for i, t := range toxics {
		t.Name = fmt.Sprintf("%s-%d", t.Type, i)
		data, err := json.Marshal(t)
		if err != nil {
			n.t.Fatal(err)
		}
		if _, err := n.proxies[name].Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
			n.t.Fatal(err)
		}
	}
}

// heal removes all faults of a proxy.
func (n *proxyNetwork) heal(name string) { n.proxies[name].Toxics.ResetToxics(context.Background()) }

// blackhole returns a toxic that drops all data in one direction while connections stay open.
func blackhole(stream string) toxic {
	return toxic{Type: "timeout", Stream: stream, Attributes: map[string]any{"timeout": 0}}
}

// networkFaults are faults of the connections from daemons and other members to the primary.
var networkFaults = []struct {
	name   string
	toxics []toxic
}{
	{"cut both ways", []toxic{blackhole("upstream"), blackhole("downstream")}},
	{"answers lost", []toxic{blackhole("downstream")}},
	{"requests lost", []toxic{blackhole("upstream")}},
	{"slow and jittery", []toxic{{Type: "latency", Stream: "downstream",
		Attributes: map[string]any{"latency": 40, "jitter": 30}}}},
	{"connections reset", []toxic{{Type: "reset_peer", Stream: "downstream", Attributes: map[string]any{"timeout": 100}}}},
	{"answers in pieces", []toxic{{Type: "slicer", Stream: "downstream",
		Attributes: map[string]any{"average_size": 7, "size_variation": 3, "delay": 200}}}},
}

// TestSessionsBehindFaultingProxies guards against stale session reads and lost or duplicate writes while the network
// between the daemons and the primary, and between the members, fails in different ways.
func TestSessionsBehindFaultingProxies(t *testing.T) {
	for i, f := range networkFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			n := newProxyNetwork(t)
			s := startDependencies(t)
			for j, a := range s.targetAddresses {
				s.targetAddresses[j] = n.addProxy(fmt.Sprintf("db%d", j+1), a)
			}
			s.startDaemons(3)
			stop := make(chan struct{})
			go func() {
				defer close(stop)
				time.Sleep(faultDelay)
				n.inject("db1", f.toxics...)
				time.Sleep(faultDuration)
				n.heal("db1")
				time.Sleep(recoveryDuration)
			}()
			clients := runSessions(t, s, 4, uint64(100+i), stop)
			logSummary(t, clients)
			s.checkNoDuplicateCommits()
			for _, c := range clients {
				if c.sinceLastWrite > recoveryDuration {
					t.Errorf("session %d: no write was done after the fault ended", c.id)
				}
			}
		})
	}
}

// TestWithdrawnKeyBehindCutStore guards against a withdrawn key that keeps working at a daemon without a connection to the
// store. The daemon receives the withdrawal from other daemons and continues to serve valid keys.
func TestWithdrawnKeyBehindCutStore(t *testing.T) {
	t.Parallel()
	n := newProxyNetwork(t)
	s := startDependencies(t)
	s.platformURLs = map[string]string{
		"host-3": "http://" + n.addProxy("platform", strings.TrimPrefix(s.platformURL, "http://"))}
	s.startDaemons(3)
	cut := s.daemons[2]
	time.Sleep(faultDelay)
	n.inject("platform", blackhole("upstream"), blackhole("downstream"))

	var other struct{ Key, KeyID string }
	s.eventually("another key is created", func() error { return s.runJSON(&other, "key", "create", "workshop") })
	if err := s.runJSON(nil, "key", "withdraw", s.keyID); err != nil {
		t.Fatal(err)
	}
	withdrawn := time.Now()
	probe := s.statementRequest(cut, "", selectSQL, "x")
	for {
		a, err := probe.send()
		if err == nil && a.Outcome == "not_run" && a.Reason == "key_invalid" {
			break
		}
		if time.Since(withdrawn) > maxWithdrawalDelay {
			t.Fatalf("the withdrawn key still gets %+v, %v", a, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the key stopped working at the cut daemon after %v", time.Since(withdrawn))
	valid := s.statementRequest(cut, "", selectSQL, "x")
	valid.key = other.Key
	s.mustDo(valid)
}
