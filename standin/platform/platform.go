// Package platform is an in-memory stand-in for the platform's key-value service and host list, for tests and for the
// development mode. It can inject the faults of the real service: outages, slow calls, and responses that are lost after
// the change took effect.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/waxwingspindle/waxwingspindle/gen/http/platform/server"
	"github.com/waxwingspindle/waxwingspindle/gen/platform"
)

// maxValueBytes is the largest accepted size of a value.
const maxValueBytes = 1_000_000

// Faults are the faults that the stand-in injects.
type Faults struct {
	Unavailable    bool `json:"down"`          // every call fails
	DelayMillis    int  `json:"slow_ms"`       // delay of every call, in milliseconds
	DropResponses  int  `json:"lose_answers"`  // number of swaps that take effect and then return an error
	FreezeHosts    bool `json:"hosts_frozen"`  // ignore updates of the host list
	EmptyHosts     bool `json:"empty_hosts"`   // return an empty host list
	HostsLagMillis int  `json:"hosts_lag_ms"`  // age of the returned host list, in milliseconds
	ExpireLeases   bool `json:"leases_lapse"`  // expire all leases immediately
	HangRequests   bool `json:"hang_silently"` // block every call until its context ends
}

// CallCounts are the numbers of calls by method. Lease counts granting, renewing and revoking.
type CallCounts struct {
	Get, Swap, Watch, Lease, Hosts int
}

type entry struct {
	value    []byte
	revision uint64
	lease    string
}

// Platform is the stand-in. It implements the goa service interface of the platform.
type Platform struct {
	mu             sync.Mutex
	entries        map[string]entry
	leaseDeadlines map[string]time.Time // time at which each lease expires
	leaseTTLs      map[string]time.Duration
	hostLists      []hostList
	faults         Faults
	counts         CallCounts
	changed        chan struct{} // closed and replaced whenever a key changes
	sequence       uint64        // source of revisions and lease IDs
}

// hostList is a version of the host list and the time from which it is valid.
type hostList struct {
	since time.Time
	hosts []*platform.PlatformHost
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{entries: map[string]entry{}, leaseDeadlines: map[string]time.Time{},
		leaseTTLs: map[string]time.Duration{}, changed: make(chan struct{})}
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if f.ExpireLeases {
		for id := range p.leaseDeadlines {
			p.endLease(id)
		}
	}
}

// CallCounts returns the numbers of calls since the start.
func (p *Platform) CallCounts() CallCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts replaces the host list unless it is frozen.
func (p *Platform) SetHosts(list []*platform.PlatformHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.FreezeHosts {
		return
	}
	p.hostLists = append(p.hostLists, hostList{since: time.Now(), hosts: list})
}

// beginCall counts a call and applies the faults that prevent or delay its execution.
func (p *Platform) beginCall(ctx context.Context, counter *int) error {
	p.mu.Lock()
	*counter++
	f := p.faults
	p.mu.Unlock()
	if f.HangRequests {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMillis) * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Unavailable {
		return platform.MakeUnavailable(errors.New("the store is down"))
	}
	return nil
}

// Get implements the goa service.
func (p *Platform) Get(ctx context.Context, q *platform.GetPayload) (*platform.Entry, error) {
	if err := p.beginCall(ctx, &p.counts.Get); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readEntry(q.Key), nil
}

// readEntry expires leases and returns the entry of a key, with revision 0 if the key does not exist.
func (p *Platform) readEntry(key string) *platform.Entry {
	p.expireLeases()
	e := p.entries[key]
	return &platform.Entry{Key: key, Value: e.value, Revision: e.revision}
}

// Swap implements the goa service.
func (p *Platform) Swap(ctx context.Context, q *platform.SwapPayload) (*platform.SwapResult, error) {
	if err := p.beginCall(ctx, &p.counts.Swap); err != nil {
		return nil, err
	}
	if len(q.Value) > maxValueBytes {
		return nil, platform.MakeBadRequest(fmt.Errorf("the value has %d bytes; at most %d are allowed", len(q.Value),
			maxValueBytes))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	e := p.entries[q.Key]
	if e.revision != q.Expected {
		return &platform.SwapResult{Swapped: false, Revision: e.revision}, nil
	}
	lease := ""
	if q.Lease != nil {
		lease = *q.Lease
		if _, ok := p.leaseDeadlines[lease]; !ok {
			return nil, platform.MakeNotFound(fmt.Errorf("lease %q does not exist", lease))
		}
	}
	p.sequence++
	p.entries[q.Key] = entry{value: q.Value, revision: p.sequence, lease: lease}
	p.notify()
	if p.faults.DropResponses > 0 {
		p.faults.DropResponses--
		return nil, platform.MakeUnavailable(errors.New("the answer was lost"))
	}
	return &platform.SwapResult{Swapped: true, Revision: p.sequence}, nil
}

// Watch implements the goa service.
func (p *Platform) Watch(ctx context.Context, q *platform.WatchPayload) (*platform.Entry, error) {
	if err := p.beginCall(ctx, &p.counts.Watch); err != nil {
		return nil, err
	}
	deadline := time.After(time.Duration(q.WaitMs) * time.Millisecond)
	for {
		p.mu.Lock()
		e, changed, down := p.readEntry(q.Key), p.changed, p.faults.Unavailable || p.faults.HangRequests
		p.mu.Unlock()
		if down {
			return nil, platform.MakeUnavailable(errors.New("the store is down"))
		}
		if e.Revision != q.Known {
			return e, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return e, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// GrantLease implements the goa service.
func (p *Platform) GrantLease(ctx context.Context, q *platform.GrantLeasePayload) (*platform.GrantLeaseResult, error) {
	if err := p.beginCall(ctx, &p.counts.Lease); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	id := fmt.Sprintf("lease-%d", p.sequence)
	p.leaseTTLs[id] = time.Duration(q.TTLMs) * time.Millisecond
	p.leaseDeadlines[id] = time.Now().Add(p.leaseTTLs[id])
	return &platform.GrantLeaseResult{Lease: id}, nil
}

// RenewLease implements the goa service.
func (p *Platform) RenewLease(ctx context.Context, q *platform.RenewLeasePayload) error {
	if err := p.beginCall(ctx, &p.counts.Lease); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLeases()
	if _, ok := p.leaseDeadlines[q.Lease]; !ok {
		return platform.MakeNotFound(fmt.Errorf("lease %q does not exist", q.Lease))
	}
	p.leaseDeadlines[q.Lease] = time.Now().Add(p.leaseTTLs[q.Lease])
	return nil
}

// RevokeLease implements the goa service.
func (p *Platform) RevokeLease(ctx context.Context, q *platform.RevokeLeasePayload) error {
	if err := p.beginCall(ctx, &p.counts.Lease); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endLease(q.Lease)
	return nil
}

// Hosts implements the goa service.
func (p *Platform) Hosts(ctx context.Context) ([]*platform.PlatformHost, error) {
	if err := p.beginCall(ctx, &p.counts.Hosts); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.EmptyHosts {
		return nil, nil
	}
	asOf := time.Now().Add(-time.Duration(p.faults.HostsLagMillis) * time.Millisecond)
	for i := len(p.hostLists) - 1; i >= 0; i-- {
		if !p.hostLists[i].since.After(asOf) {
			return p.hostLists[i].hosts, nil
		}
	}
	return nil, nil
}

// expireLeases ends the leases whose deadline has passed.
func (p *Platform) expireLeases() {
	now := time.Now()
	for id, deadline := range p.leaseDeadlines {
		if now.After(deadline) {
			p.endLease(id)
		}
	}
}

// endLease removes a lease and deletes the keys attached to it.
func (p *Platform) endLease(id string) {
	delete(p.leaseDeadlines, id)
	delete(p.leaseTTLs, id)
	for key, e := range p.entries {
		if e.lease == id {
			delete(p.entries, key)
			p.notify()
		}
	}
}

// notify wakes the pending watches.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the HTTP handler of the platform service.
func (p *Platform) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(platform.NewEndpoints(p), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil,
		goahttp.NewErrorResponse)
	s.Mount(mux)
	return mux
}

// Serve handles HTTP requests on the listener until the context ends.
func (p *Platform) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: p.Handler()}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
