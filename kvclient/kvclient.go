// Package kvclient is a client of the platform's key-value store and of its list of hosts.
package kvclient

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	goahttp "goa.design/goa/v3/http"

	"github.com/waxwingspindle/waxwingspindle/gen/http/platform/client"
	genplatform "github.com/waxwingspindle/waxwingspindle/gen/platform"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/socket"
)

// Keys in the platform's key-value store.
const (
	ConfigurationKey = "waxwingspindle/configuration"
	RosterKey        = "waxwingspindle/roster"
)

// Timeouts of calls. The proof of an outage relies on swapTimeout: a swap takes effect within 30 s of being sent or never. So the
// kernel must not go on to deliver a swap that was given up.
const (
	readTimeout = 2 * time.Second
	swapTimeout = 5 * time.Second
)

// Entry is a value in the store with its revision, which is 0 if the key does not exist.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap stores a value if the key has the expected revision; 0 requires that the key does not exist. After an
	// error the value may or may not have been stored.
	CompareAndSwap(ctx context.Context, key string, expectedRevision uint64, value []byte) (swapped bool, err error)
	// Watch waits until the key's revision differs from the known one, but no longer than the wait, and returns the entry.
	Watch(ctx context.Context, key string, knownRevision uint64, wait time.Duration) (Entry, error)
}

// HostState is the state of a host according to the platform.
type HostState string

// Values of HostState.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host in the platform's list.
type Host struct {
	ID         model.HostID
	Address    string
	DataCentre model.DataCentre
	State      HostState
}

// HostLister returns the platform's list of hosts, which may be out of date.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Client implements Store and HostLister over the platform's HTTP API.
type Client struct{ api *genplatform.Client }

// NewClient returns a client of the platform at a base URL.
func NewClient(baseURL string) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, trace.BadParameter("platform URL %q: %v", baseURL, err)
	}
	httpClient := &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}}
	c := client.NewClient(u.Scheme, u.Host, httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{api: genplatform.NewClient(c.Get(), c.Swap(), c.Watch(), c.GrantLease(), c.RenewLease(),
		c.RevokeLease(), c.Hosts())}, nil
}

// dial opens a connection that delivers nothing after it has been closed.
func dial(ctx context.Context, _, address string) (net.Conn, error) {
	return socket.DialResetting(ctx, address, 0)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := c.api.Get(ctx, &genplatform.GetPayload{Key: key})
	if err != nil {
		return Entry{}, trace.ConnectionProblem(err, "reading %q from the platform's store", key)
	}
	return Entry{Value: e.Value, Revision: e.Revision}, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expectedRevision uint64, value []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	r, err := c.api.Swap(ctx, &genplatform.SwapPayload{Key: key, Expected: expectedRevision, Value: value})
	if err != nil {
		return false, trace.ConnectionProblem(err, "compare-and-swap of %q in the platform's store", key)
	}
	return r.Swapped, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, knownRevision uint64, wait time.Duration) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	e, err := c.api.Watch(ctx, &genplatform.WatchPayload{Key: key, Known: knownRevision, WaitMs: wait.Milliseconds()})
	if err != nil {
		return Entry{}, trace.ConnectionProblem(err, "watching %q in the platform's store", key)
	}
	return Entry{Value: e.Value, Revision: e.Revision}, nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listed, err := c.api.Hosts(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "reading the platform's list of hosts")
	}
	hosts := make([]Host, len(listed))
	for i, h := range listed {
		hosts[i] = Host{ID: model.HostID(h.ID), Address: h.Address, DataCentre: model.DataCentre(h.DataCentre),
			State: HostState(h.State)}
	}
	return hosts, nil
}
