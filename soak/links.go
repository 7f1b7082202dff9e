package soak

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
)

// proxySet holds the fault-injecting proxies between hosts, callers and stand-ins. In front of each of them is a relay, which can
// hold what is sent and deliver it later; a proxy can only discard or delay it.
type proxySet struct {
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[string]*toxiproxy.Proxy
	relays  map[string]*loopback.Relay
	holds   map[string]int // number of faults that hold a link
}

func newProxySet() *proxySet {
	return &proxySet{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{}, relays: map[string]*loopback.Relay{}, holds: map[string]int{}}
}

// add starts a relay and a proxy to an upstream address on free ports and returns the relay's address.
func (s *proxySet) add(name, upstream string) (string, error) {
	p := toxiproxy.NewProxy(s.server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", trace.Wrap(err)
	}
	relay, err := loopback.NewRelay("127.0.0.1:0", p.Listen)
	if err != nil {
		p.Stop()
		return "", trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[name], s.relays[name] = p, relay
	return relay.Address, nil
}

func (s *proxySet) close() {
	for name, p := range s.proxies {
		s.relays[name].Close()
		p.Stop()
	}
}

// hold holds what is sent over a link, and returns a function that ends this. The link is released when no fault holds it.
func (s *proxySet) hold(link string) (release func()) {
	change := func(n int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holds[link] += n
		s.relays[link].SetHeld(s.holds[link] > 0)
	}
	change(1)
	return func() { change(-1) }
}

type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

// Directions of a stream as named by toxiproxy.
const (
	requestStream  = "upstream"
	responseStream = "downstream"
)

func blackhole(stream string) toxic {
	return toxic{Type: "timeout", Stream: stream, Attributes: map[string]any{"timeout": 0}}
}

// linkToxics lists the toxics that implement each kind of link fault.
var linkToxics = map[FaultKind][]toxic{
	LinkBlackholed:       {blackhole(requestStream), blackhole(responseStream)},
	LinkResponsesDropped: {blackhole(responseStream)},
	LinkDelayed: {{Type: "latency", Stream: responseStream, Attributes: map[string]any{"latency": 80, "jitter": 60}},
		{Type: "latency", Stream: requestStream, Attributes: map[string]any{"latency": 20, "jitter": 20}}},
	LinkReset: {{Type: "reset_peer", Stream: responseStream, Attributes: map[string]any{"timeout": 30}}},
}

// inject adds a fault to a link. The name is unique among the faults of a link.
func (s *proxySet) inject(link, name string, kind FaultKind) error {
	for _, t := range linkToxics[kind] {
		t.Name = name + "-" + t.Stream
		data, err := json.Marshal(t)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := s.proxies[link].Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// heal removes a fault from a link.
func (s *proxySet) heal(link, name string, kind FaultKind) error {
	for _, t := range linkToxics[kind] {
		if err := s.proxies[link].Toxics.RemoveToxic(context.Background(), name+"-"+t.Stream); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
