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

// links are the proxies between processes, callers and stand-ins.
type links struct {
	server *toxiproxy.ApiServer

	mu      sync.Mutex
	proxies map[string]*toxiproxy.Proxy
}

func newLinks() *links {
	return &links{server: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		proxies: map[string]*toxiproxy.Proxy{}}
}

// add starts a proxy to an address on a free port and returns its own address.
func (l *links) add(name, upstream string) (string, error) {
	p := toxiproxy.NewProxy(l.server, name, "127.0.0.1:0", upstream)
	if err := p.Start(); err != nil {
		return "", trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proxies[name] = p
	return p.Listen, nil
}

func (l *links) close() {
	for _, p := range l.proxies {
		p.Stop()
	}
}

type toxic struct {
	Name       string         `json:"name"`
	Type       string         `json:"type"`
	Stream     string         `json:"stream"`
	Attributes map[string]any `json:"attributes"`
}

// Names of toxiproxy for the two directions.
const (
	toServer   = "upstream"
	fromServer = "downstream"
)

func silence(stream string) toxic {
	return toxic{Type: "timeout", Stream: stream, Attributes: map[string]any{"timeout": 0}}
}

// toxics are the faults of each kind of fault on a link.
var toxics = map[FaultKind][]toxic{
	LinkBlackholed:       {silence(toServer), silence(fromServer)},
	LinkResponsesDropped: {silence(fromServer)},
	LinkDelayed: {{Type: "latency", Stream: fromServer, Attributes: map[string]any{"latency": 80, "jitter": 60}},
		{Type: "latency", Stream: toServer, Attributes: map[string]any{"latency": 20, "jitter": 20}}},
	LinkReset: {{Type: "reset_peer", Stream: fromServer, Attributes: map[string]any{"timeout": 30}}},
}

// inject puts a fault on a link. The name tells the faults of one link apart.
func (l *links) inject(link, name string, kind FaultKind) error {
	for _, one := range toxics[kind] {
		one.Name = name + "-" + one.Stream
		data, err := json.Marshal(one)
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := l.proxies[link].Toxics.AddToxicJson(strings.NewReader(string(data))); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// heal takes a fault off a link.
func (l *links) heal(link, name string, kind FaultKind) error {
	for _, one := range toxics[kind] {
		if err := l.proxies[link].Toxics.RemoveToxic(context.Background(), name+"-"+one.Stream); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
