// Package fleet is the control side of a host: it registers the host in the metadata store, follows the configuration,
// the registered targets, the other hosts and the decisions about primaries, and takes its turn as the leader, which
// replaces primaries and divides rate limits. One goroutine owns the control state; calls run in others and report back.
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

const (
	// hostLease is the time for which a host may use primaries after it was last heard by the store. It outlasts usual
	// outages of the store, and bounds how long a replacement waits for a host that is cut off.
	hostLease = 8 * time.Second
	// leaderLease is the time after which another host takes over from a silent leader.
	leaderLease = 3 * time.Second
	// renewInterval is the time between renewals of the leader's lease; a renewal costs a tenth of a read.
	renewInterval = 700 * time.Millisecond
	// hostRenewInterval is the same for the leases of hosts, which last longer.
	hostRenewInterval = 1100 * time.Millisecond
	// leaseMargin is the part of a lease that is not used, for clocks that run at different rates.
	leaseMargin = 100 * time.Millisecond
	// callTimeout bounds a call of the store. A slow store takes 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// retryInterval is the time between two attempts of a failing call.
	retryInterval = 250 * time.Millisecond
	// confirmAfter is the time that the leader has to ask a host itself to stop using a primary.
	confirmAfter = 250 * time.Millisecond
	// reportInterval is the time between two reports to the leader.
	reportInterval = 250 * time.Millisecond
)

// planPause is the time between two plans in the time that one takes, so that plans take at most a tenth of the control
// goroutine.
const planPause = 10

// queuedEvents bounds the events that wait for the control goroutine; each takes microseconds.
const queuedEvents = 256

// Decoders translate the items of the platform.
type Decoders struct {
	ConfigurationKey string
	TargetPrefix     string
	Configuration    func(value []byte) (*catalog.Catalog, error)
	Target           func(id string, value []byte) (catalog.Target, error)
}

// Prober asks targets for their state. The context has a deadline.
type Prober interface {
	Status(ctx context.Context, t catalog.Target) (primacy.Status, error)
	Demote(ctx context.Context, t catalog.Target, term uint64) (primacy.Status, error)
	Close()
}

// Promoter orders promotions. After an error the order may take effect all the same.
type Promoter interface {
	Promote(ctx context.Context, service model.Service, target model.TargetID, fence uint64) error
}

// Config is what an agent works with.
type Config struct {
	Self     Host
	Store    metastore.Store
	Decoders Decoders
	Prober   Prober
	Promoter Promoter
	Server   *frontend.Server
	Seeds    []string // addresses of other hosts that a starting one asks
	IsSeed   bool     // other hosts ask this one when they start
	Log      *zap.Logger
}

// Agent is the control side of one host.
type Agent struct {
	Config
	peers  *peers // for control calls
	runs   *peers // for statements, which a control call without an answer must not cut off
	homes  homes
	reach  reach
	bulk   bulk
	view   atomic.Pointer[view]
	events chan func(*control)
	ready  atomic.Bool

	successions chan succession // offers to lead
	membership  membership      // at the broker of the rates
	deputy      deputy          // divides the rates for others

	started int64 // boot time in nanoseconds
	// Boot times in nanoseconds of the last fresh answer of a relaying host, and of the last answer of the store.
	relayHeard, storeHeard atomic.Int64
	leaderLost             atomic.Bool // the last report to the leader failed

	confirming sync.Mutex               // held while a confirmation is written
	confirmMu  sync.Mutex               // guards the registration
	lease      metastore.Lease          // of the registration, 0 while there is none
	registered uint64                   // revision of the registration
	told       map[model.Service]uint64 // epochs that the leader has told this host itself
	fenced     map[model.Service]uint64 // epochs that this host confirms through the store

	followMu  sync.Mutex
	followers map[string]*follower // by prefix

	leaderMu sync.Mutex
	leading  *leadership // nil while another host leads
}

// control is the state of the control goroutine.
type control struct {
	agent   *Agent
	view    *view
	removed map[model.TargetID]time.Time // entries that have disappeared, with the time
	left    map[model.HostID]time.Time   // hosts whose registration has disappeared, with the time
	asking  bool                         // an attempt to become the leader is under way
	basis   planBasis

	stale    bool      // the plans do not follow from what is known now
	nextPlan time.Time // they are made anew no earlier
}

// planBasis is what the plans of the services were made from.
type planBasis struct {
	catalog *catalog.Catalog
	hosts   []model.HostID
}

func (b planBasis) equal(other planBasis) bool {
	return other.catalog != nil && slices.Equal(b.hosts, other.hosts) && (b.catalog == other.catalog ||
		maps.Equal(b.catalog.Limits, other.catalog.Limits) && maps.Equal(b.catalog.Services, other.catalog.Services))
}

// New returns an agent that does nothing until Run.
func New(c Config) *Agent {
	a := &Agent{Config: c, peers: newPeers(), runs: newPeers(), bulk: bulk{peers: newPeers()},
		homes: homes{outstanding: map[model.HostID]int{}, avoid: map[model.HostID]time.Time{}}, events: make(chan func(*control), queuedEvents),
		reach: reach{patience: pingTimeout, hosts: map[model.HostID]*contact{}}, successions: make(chan succession, 1), followers: map[string]*follower{}, told: map[model.Service]uint64{},
		fenced: map[model.Service]uint64{}}
	a.view.Store(newView())
	a.leaderLost.Store(true)
	a.follower(a.Decoders.ConfigurationKey, (*control).applyConfiguration)
	a.follower(a.Decoders.TargetPrefix, (*control).applyTargets)
	a.follower(prefix, (*control).applyOwn)
	c.Server.SetTokenSource(a.takeTokens)
	c.Server.SetForwarder(a)
	return a
}

func newView() *view {
	return &view{catalog: &catalog.Catalog{}, targets: map[model.TargetID]catalog.Target{},
		drainingSince: map[model.TargetID]time.Time{},
		hosts:         map[model.HostID]Host{}, docs: map[model.Service]versioned[primacy.Document]{}}
}

// Ready reports whether the host can serve callers.
func (a *Agent) Ready() bool { return a.ready.Load() && a.view.Load().catalog.Version > 0 }

// Run follows the store until the context ends.
func (a *Agent) Run(ctx context.Context) {
	c := &control{agent: a, view: newView(), removed: map[model.TargetID]time.Time{},
		left: map[model.HostID]time.Time{}}
	a.started = boottime.Now().UnixNano()
	a.relayHeard.Store(a.started) // usually a leader relays before a host that starts has to watch the store
	go a.follow(ctx, a.Decoders.ConfigurationKey, (*control).applyConfiguration)
	go a.follow(ctx, a.Decoders.TargetPrefix, (*control).applyTargets)
	go a.follow(ctx, prefix, (*control).applyOwn)
	go a.askSeeds(ctx)
	go a.register(ctx)
	go a.reportLoop(ctx)
	go a.deputyLoop(ctx)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.events:
			event(c)
		case offer := <-a.successions:
			go a.succeed(ctx, offer)
		case <-ticker.C:
			c.removeExpired()
			if len(c.left) > 0 {
				c.noteLeft(c.view.hosts)
			}
			if c.stale && !boottime.Now().Before(c.nextPlan) {
				c.publish()
			}
			c.seekLeadership(ctx)
		}
	}
}

// post hands an event to the control goroutine.
func (a *Agent) post(ctx context.Context, event func(*control)) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

// do runs a step on the control goroutine and waits until it is done.
func (a *Agent) do(ctx context.Context, step func(*control)) error {
	done := make(chan struct{})
	a.post(ctx, func(c *control) {
		step(c)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// timed lists a prefix within the timeout of calls.
func timed(ctx context.Context, prefix string,
	list func(context.Context, string) ([]metastore.Item, uint64, error)) ([]metastore.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return list(ctx, prefix)
}

// applyConfiguration takes over a newer configuration.
func (c *control) applyConfiguration(ch change) {
	for _, e := range ch.events {
		if !e.Removed && e.Key == c.agent.Decoders.ConfigurationKey {
			c.takeConfiguration(e.Value)
		}
	}
}

func (c *control) takeConfiguration(value []byte) {
	next, err := c.agent.Decoders.Configuration(value)
	if err != nil {
		c.agent.Log.Error("configuration: rejected", zap.Error(err))
		return
	}
	if next.Version > c.view.catalog.Version {
		c.view.catalog = next
		c.publish()
	}
}

// applyTargets takes over changes of the registered targets.
func (c *control) applyTargets(ch change) {
	now := boottime.Now()
	listed := map[model.TargetID]bool{}
	for _, e := range ch.events {
		name := strings.TrimPrefix(e.Key, c.agent.Decoders.TargetPrefix)
		id := model.TargetID(name)
		if e.Removed {
			c.markRemoved(id, now)
			continue
		}
		t, err := c.agent.Decoders.Target(name, e.Value)
		if err != nil {
			c.agent.Log.Warn("targets: entry ignored", zap.String("key", e.Key), zap.Error(err))
			c.markRemoved(id, now)
			continue
		}
		listed[id] = true
		delete(c.removed, id)
		if known, ok := c.view.targets[id]; !ok || known != t {
			c.agent.Log.Info("targets: entry in force", zap.String("target", name), zap.Uint64("revision", e.Revision),
				zap.String("service", string(t.Service)), zap.Bool("draining", t.State == catalog.Draining),
				zap.Bool("says_primary", t.ReportsPrimary), zap.Int64("born", t.StartedAt))
		}
		c.view.takeTarget(t, now)
	}
	if ch.whole {
		for id := range c.view.targets {
			if !listed[id] {
				c.markRemoved(id, now)
			}
		}
	}
	c.removeExpired()
	c.publish()
}

// markRemoved notes that an entry has disappeared. A target that announced its end is removed at once.
func (c *control) markRemoved(id model.TargetID, now time.Time) {
	t, known := c.view.targets[id]
	if _, noted := c.removed[id]; !known || noted {
		return
	}
	c.removed[id] = now
	if t.State == catalog.Draining {
		c.removed[id] = now.Add(-removalGrace)
	}
}

// removeExpired removes targets whose entries have been missing for long enough.
func (c *control) removeExpired() {
	now, changed := boottime.Now(), false
	for id, since := range c.removed {
		if now.Sub(since) >= removalGrace {
			c.agent.Log.Info("targets: removed", zap.String("target", string(id)), zap.Duration("missing", now.Sub(since)))
			delete(c.removed, id)
			delete(c.view.targets, id)
			delete(c.view.drainingSince, id)
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}

// applyOwn takes over changes of the product's own keys.
func (c *control) applyOwn(ch change) {
	before := maps.Clone(c.view.hosts)
	if ch.whole {
		c.view.hosts, c.view.leader = map[model.HostID]Host{}, nil
	}
	for _, e := range ch.events {
		if err := c.view.applyOwn(e); err != nil {
			c.agent.Log.Error("store: value ignored", zap.String("key", e.Key), zap.Error(err))
		}
	}
	c.noteLeft(before)
	c.publish()
}

// noteLeft remembers hosts whose registration has disappeared, because most of them come back after a restart.
func (c *control) noteLeft(before map[model.HostID]Host) {
	now := boottime.Now()
	for id := range before {
		if _, registered := c.view.hosts[id]; !registered {
			c.left[id] = now
		}
	}
	for id, at := range c.left {
		if _, registered := c.view.hosts[id]; registered || now.Sub(at) > returnGrace {
			delete(c.left, id)
		}
	}
	c.view.expected = slices.Sorted(maps.Keys(c.view.hosts))
	for id := range c.left {
		c.view.expected = append(c.view.expected, id)
	}
	slices.Sort(c.view.expected)
}

// takeDocument takes over a decision that the leader has sent.
func (c *control) takeDocument(doc primacy.Document) {
	if known := c.view.docs[doc.Service]; doc.Epoch > known.value.Epoch {
		c.view.docs[doc.Service] = versioned[primacy.Document]{doc, known.revision}
		c.publish()
	}
}

// publish brings the view in force.
func (c *control) publish() {
	c.replan()
	v := c.view.clone()
	a := c.agent
	a.view.Store(v)
	for _, doc := range v.docs {
		go a.fence(doc.value)
	}
	a.Server.SetCatalog(v.catalog, len(v.expected))
	if v.catalog.Version == 0 {
		return
	}
	for service := range v.catalog.Services {
		plan := v.plans[service]
		a.Server.SetTargets(service, v.of(service), plan.ConnectionLimit(a.Self.ID))
	}
}

// replan divides the workspaces anew if what the plans follow from has changed. On large fleets that takes a good part of a
// second, and hosts come and go in numbers, so the next one waits for a multiple of that time; the ticker brings it then. A
// change of the services does not wait.
func (c *control) replan() {
	basis := planBasis{c.view.catalog, slices.Clone(c.view.expected)}
	if c.view.plans != nil && basis.equal(c.basis) {
		c.stale = false
		return
	}
	sameServices := c.view.plans != nil && c.basis.catalog != nil && maps.Equal(c.basis.catalog.Services, basis.catalog.Services)
	if c.stale = sameServices && boottime.Now().Before(c.nextPlan); c.stale {
		return
	}
	started := boottime.Now()
	c.view.plans, c.basis = c.view.plan(), basis
	ended := boottime.Now()
	c.nextPlan = ended.Add(planPause * ended.Sub(started))
}

// fence puts a decision in force.
func (a *Agent) fence(doc primacy.Document) {
	if a.Server.ApplyPrimaryDocument(doc) {
		a.confirm(doc)
	}
}

// confirm confirms through the store that this host uses a primary no more, unless the leader asks for it itself.
func (a *Agent) confirm(doc primacy.Document) {
	if doc.Open {
		return
	}
	time.Sleep(confirmAfter)
	a.confirming.Lock() // each confirmation has the revision that the one before has left
	defer a.confirming.Unlock()
	txn, needed := a.confirmation(doc)
	if !needed {
		return
	}
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	revision, err := a.Store.Commit(ctx, txn)
	a.Log.Info("primary: confirmed through the store", zap.String("service", string(doc.Service)),
		zap.Uint64("epoch", doc.Epoch), zap.Error(err))
	if err == nil {
		a.confirmMu.Lock()
		a.registered = max(a.registered, revision)
		a.confirmMu.Unlock()
	}
}

// confirmation returns the registration with the epoch of a closed decision, unless the leader has told this host itself.
func (a *Agent) confirmation(doc primacy.Document) (txn metastore.Txn, needed bool) {
	a.confirmMu.Lock()
	defer a.confirmMu.Unlock()
	if a.told[doc.Service] >= doc.Epoch || a.lease == 0 {
		return metastore.Txn{}, false
	}
	a.fenced[doc.Service] = doc.Epoch
	self := a.Self
	self.Fenced = maps.Clone(a.fenced)
	return self.put(a.lease, a.registered), true
}

// dependency logs once when a dependency is lost and once when it is back.
type dependency struct {
	log  *zap.Logger
	name string
	lost time.Time
}

func (d *dependency) observe(err error) {
	switch {
	case err != nil && d.lost.IsZero():
		d.lost = time.Now()
		d.log.Warn("dependency: lost", zap.String("dependency", d.name), zap.Error(err))
	case err == nil && !d.lost.IsZero():
		d.log.Info("dependency: regained", zap.String("dependency", d.name), zap.Duration("after", time.Since(d.lost)))
		d.lost = time.Time{}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("fleet: a document cannot be encoded: " + err.Error())
	}
	return data
}

// byCapacity returns the registered hosts, those with the widest links and the most processor time first: the leader
// talks to all hosts.
func (v *view) byCapacity() []Host {
	list := v.hostList()
	slices.SortStableFunc(list, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.Cores, a.Cores))
	})
	return list
}

// withoutLeader returns the same without the last leader.
func (v *view) withoutLeader() []Host {
	return slices.DeleteFunc(v.byCapacity(), func(h Host) bool { return v.leader != nil && h.ID == v.leader.value.Host })
}

// hostList returns the registered hosts in the order of their ids.
func (v *view) hostList() []Host {
	list := make([]Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
