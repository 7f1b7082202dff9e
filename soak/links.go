package soak

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// proxySet holds the fault-injecting proxies between hosts, callers and stand-ins.
type proxySet struct {
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[string]*toxiproxy.Proxy
}

func newProxySet() *proxySet {
	return &proxySet{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{}}
}

// add starts a proxy to an upstream address on a free port and returns the proxy's address.
func (s *proxySet) add(name, upstream string) (string, error) {
	p := toxiproxy.NewProxy(s.server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[name] = p
	return p.Listen, nil
}

func (s *proxySet) close() {
	for _, p := range s.proxies {
		p.Stop()
	}
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
