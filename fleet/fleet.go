// Package fleet implements the control plane of a host. It registers the host in the metadata store, follows the
// configuration, the registered targets, the other hosts and the primary documents, and takes part in leader
// election. The leader replaces failed primaries and distributes the tokens of rate limits. The control state is
// owned by a single goroutine; blocking calls run in other goroutines and post their results to it as events.
package fleet

import (
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
	"github.com/waxwingspindle/waxwingspindle/clientlimit"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/guard"
	"github.com/waxwingspindle/waxwingspindle/heartbeat"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
)

const (
	// hostLease is the requested time to live of a host's registration. A host may use primaries only until its lease
	// ends. It outlasts typical outages of the store and bounds how long a failover waits for a partitioned host.
	hostLease = 9 * time.Second
	// leaderLease is the time to live of the leader's key, after which another host may take over.
	leaderLease = 3 * time.Second
	// renewInterval is the interval at which the leader renews its lease. The store charges a renewal at a tenth of a
	// read.
	renewInterval = 700 * time.Millisecond
	// hostRenewInterval is the interval at which hosts renew their longer leases. After a failure three more attempts fit
	// into the lease.
	hostRenewInterval = 2200 * time.Millisecond
	// hostRenewRetryInterval is the interval after an attempt that has failed. Together with renewTimeout it decides how soon
	// after the end of a partition a lease is renewed that is about to end.
	hostRenewRetryInterval = 600 * time.Millisecond
	// renewTimeout bounds a renewal. A connection from before a partition stays silent for a while after its end.
	renewTimeout = 600 * time.Millisecond
	// leaseMargin is subtracted from the end of a lease to allow for clocks that run at different rates.
	leaseMargin = 100 * time.Millisecond
	// callTimeout bounds a call of the store. A slow store takes 0.4 s.
	callTimeout = 1200 * time.Millisecond
	// retryInterval is the initial delay between attempts of a failing call, and the interval of the control
	// goroutine's periodic checks.
	retryInterval = 250 * time.Millisecond
	// confirmDelay is the time for which a host waits for the leader's direct fence request before it confirms
	// through the store.
	confirmDelay = 250 * time.Millisecond
	// reportInterval is the interval between reports to the leader.
	reportInterval = 250 * time.Millisecond
)

// planPauseFactor is the pause between two computations of the plans, as a multiple of the duration of the last one.
// Plans therefore take at most a tenth of the control goroutine's time.
const planPauseFactor = 10

// eventQueueLength is the capacity of the control goroutine's event queue. Each event takes microseconds.
const eventQueueLength = 256

// Decoders decode the configuration and the target entries that the platform keeps in the store.
type Decoders struct {
	ConfigurationKey string
	// OperatorPrefix precedes all keys of the operator, including ConfigurationKey. It is used only with an evacuation bound.
	OperatorPrefix string
	TargetPrefix   string
	// Evacuation returns the data centre whose evacuation a key under OperatorPrefix requests. It returns false for other keys
	// and an error for a key without a valid name.
	Evacuation    func(key string) (dc model.DataCentre, isRequest bool, err error)
	Configuration func(value []byte) (*catalog.Catalog, error)
	Target        func(id string, value []byte) (catalog.Target, error)
}

// Prober queries and demotes targets. The context carries a deadline.
type Prober interface {
	Status(ctx context.Context, t catalog.Target) (primacy.Status, error)
	Demote(ctx context.Context, t catalog.Target, term uint64) (primacy.Status, error)
	Close()
}

// Promoter requests promotions from the platform. A request that returns an error may have taken effect, but does not arrive after
// Promote has returned. The context carries a deadline, after which nothing arrives either.
type Promoter interface {
	Promote(ctx context.Context, service model.Service, target model.TargetID, fence uint64) error
}

// Config holds the dependencies and settings of an Agent.
type Config struct {
	Self     Host
	Store    metastore.Store
	Decoders Decoders
	Prober   Prober
	Promoter Promoter
	Server   *frontend.Server
	Seeds    []string // addresses of the hosts to sync with at startup
	IsSeed   bool     // this host is listed as a seed by other hosts
	Metrics  *Metrics // may be nil
	// LoadControl is set if the deployment asks for decisions under load. They are also used where statements are assigned by
	// target, unless NoLoadControl is set.
	LoadControl, NoLoadControl bool
	// Evacuation holds the limits of evacuations; with a bound of zero this host does not follow requests for them.
	Evacuation evacuation.Limits
	// PoolTokens lets the hosts of a data centre take tokens of rate limits from one of them, which exchanges them with
	// the leader for all together. They also do so where statements are assigned by target, unless NoPoolTokens is set.
	PoolTokens, NoPoolTokens bool
	Log                      *zap.Logger

	Registry   *clientlimit.Registry // counts what other hosts hold; may be nil
	LinkLimits rpccodec.Limits       // of connections between hosts; the accounts are set by the agent
}

// Agent runs the control plane of one host.
type Agent struct {
	Config
	controlClients   *peerClients // for control calls
	statementClients *peerClients // for statements; not closed when a control call times out
	homes            homeSelector
	reachability     reachability
	bulkTransfer     bulkTransfer
	exchange         heartbeat.Exchange
	view             atomic.Pointer[clusterView]
	events           chan func(*control)
	ready            atomic.Bool
	forwardCounter   rpccodec.CallCounter // statements of other hosts

	successions chan successionOffer // succession offers from a leader that resigns
	membership  brokerMembership     // membership in the rate limit broker
	tokenPool   tokenPool            // tokens for the hosts of this data centre
	deputy      deputyBroker         // broker for hosts that cannot reach the leader

	startTime int64       // boottime.Now when the agent started, in nanoseconds
	renewing  atomic.Bool // this host is registered and renews its lease
	// lastRenewal is the time of the last renewal that the store has confirmed to this host, storeReachableSince that of the
	// first one after the last fresh relay, or 0 if an attempt has failed since.
	lastRenewal, storeReachableSince atomic.Int64
	// lastRelay is the time at which the last request that got a fresh relayed reply was sent, lastStoreReply the time of
	// the last reply of the store for any prefix, both as boottime.Now in nanoseconds.
	lastRelay, lastStoreReply atomic.Int64
	storeEra                  atomic.Uint64 // latest era of the store that this host has seen
	lastBrokerReply           atomic.Int64  // time of the last report that a broker has answered; initially the start
	leaderUnreachable         atomic.Bool   // the last report to the leader failed

	storeConfirm       chan struct{}            // holds a value while a confirmation is written to the store
	registrationMu     sync.Mutex               // guards the fields below
	lease              metastore.Lease          // lease of the registration, 0 if not registered
	registeredRevision uint64                   // store revision of the registration
	permissionEnd      time.Time                // end of the last permission to use primaries, also if it was withdrawn since
	pendingPermission  time.Time                // end of a permission that waits for reconciled decisions, or zero
	continuous         bool                     // the last permission had not ended when this host registered
	fencedByLeader     map[model.Service]uint64 // epochs that the leader has fenced by a direct request
	fencedViaStore     map[model.Service]uint64 // epochs that this host confirms through the store
	unconfirmed        map[model.Service]uint64 // epochs of closed documents that are not confirmed yet

	followMu  sync.Mutex
	followers map[string]*prefixFollower // by key prefix

	leaderMu sync.Mutex
	leading  *leadership // nil unless this host leads
	// lastFence is the fencing token of the last term of this host. claiming is set while a term begins.
	lastFence atomic.Uint64
	claiming  atomic.Bool
}

// control is the state owned by the control goroutine.
type control struct {
	agent                 *Agent
	view                  *clusterView
	entries               targetEntries
	controlEra            uint64                     // latest era of the control keys
	departed              map[model.HostID]departure // hosts whose registration has disappeared
	configurationRevision uint64                     // of the last configuration that was decoded
	configurationValue    []byte                     // encoded form of view.catalog
	configurationOutdated bool                       // the store has an earlier version, from a copy
	acquiring             bool                       // an attempt to become the leader is in progress
	planInputs            planInputs
	pending               pendingChanges // changes that are not published yet
	passedOn              passedOn

	plansStale   bool      // the plans do not reflect the current inputs
	nextPlanTime time.Time // earliest time of the next computation
	operatorKeys operatorKeysAge
}

// departure is a host whose registration has disappeared.
type departure struct {
	host Host
	at   time.Time
}

// planInputs holds the inputs from which the plans of the services were computed.
type planInputs struct {
	catalog  *catalog.Catalog
	hosts    []placement.Candidate
	byTarget bool
	targets  []placement.PlacedTarget // nil unless byTarget
}

// New returns an agent that is idle until Run is called.
func New(c Config) *Agent {
	a := &Agent{Config: c, controlClients: newPeerClients(), statementClients: newPeerClients(),
		bulkTransfer:   bulkTransfer{clients: newPeerClients()},
		homes:          homeSelector{outstanding: map[model.HostID]int{}, avoidUntil: map[model.HostID]time.Time{}},
		events:         make(chan func(*control), eventQueueLength),
		reachability:   reachability{timeout: pingTimeout, hosts: map[model.HostID]*hostProbe{}},
		forwardCounter: rpccodec.CallCounter{Methods: []string{runMethod, runOnMethod}},
		tokenPool:      tokenPool{timeout: poolTimeout},
		successions:    make(chan successionOffer, 1), followers: map[string]*prefixFollower{},
		fencedByLeader: map[model.Service]uint64{}, fencedViaStore: map[model.Service]uint64{},
		unconfirmed: map[model.Service]uint64{}, storeConfirm: make(chan struct{}, 1)}
	for _, clients := range []*peerClients{a.controlClients, a.statementClients, a.bulkTransfer.clients} {
		clients.limits = c.LinkLimits
		clients.limits.Registry = c.Registry
		clients.counter = a.countSent
	}
	a.view.Store(a.newClusterView())
	a.leaderUnreachable.Store(true)
	a.follower(a.configurationPrefix(), (*control).applyOperatorKeys)
	a.follower(a.Decoders.TargetPrefix, (*control).applyTargets)
	a.follower(controlPrefix, (*control).applyControlKeys)
	c.Server.SetTokenSource(a.takeTokens, a.brokerChanging)
	c.Server.SetForwarder(a)
	return a
}

func newControl(a *Agent) *control {
	return &control{agent: a, view: a.newClusterView(), entries: newTargetEntries(), departed: map[model.HostID]departure{}}
}

func (a *Agent) newClusterView() *clusterView {
	v := newClusterView()
	v.evacuations = evacuation.NewState(a.Evacuation)
	return v
}

func newClusterView() *clusterView {
	return &clusterView{catalog: &catalog.Catalog{}, targets: map[model.TargetID]catalog.Target{},
		drainingSince: map[model.TargetID]time.Time{},
		hosts:         map[model.HostID]Host{}, documents: map[model.Service]versioned[primacy.Document]{}}
}

// Ready reports whether the host can serve callers.
func (a *Agent) Ready() bool { return a.ready.Load() && a.view.Load().catalog.Version > 0 }

// Run runs the control plane until the context ends.
func (a *Agent) Run(ctx context.Context) {
	c := newControl(a)
	a.startTime = boottime.Now().UnixNano()
	a.lastBrokerReply.Store(a.startTime)
	a.lastRelay.Store(a.startTime) // a leader usually relays the state before a starting host has to watch the store
	go a.follow(ctx, a.configurationPrefix(), (*control).applyOperatorKeys)
	go a.follow(ctx, a.Decoders.TargetPrefix, (*control).applyTargets)
	go a.follow(ctx, controlPrefix, (*control).applyControlKeys)
	go a.syncWithSeeds(ctx)
	go a.keepRegistered(ctx)
	go a.learnKept(ctx)
	go a.reportLoop(ctx)
	go a.deputyLoop(ctx)
	go a.poolLoop(ctx)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.events:
			event(c)
		case offer := <-a.successions:
			go a.takeOverLeadership(ctx, offer)
		case <-c.pending.due:
			c.publish()
		case <-ticker.C:
			c.trackOperatorKeys()
			c.expireEntries()
			c.expireDepartures()
			if !a.isLeading() { // a leader keeps its connections, so that it can fence hosts at once
				a.controlClients.closeIdle(boottime.Now())
				a.bulkTransfer.clients.closeIdle(boottime.Now())
			}
			if c.plansStale && !boottime.Now().Before(c.nextPlanTime) {
				c.publish()
			}
			c.campaign(ctx)
		}
	}
}

// post queues an event for the control goroutine.
func (a *Agent) post(ctx context.Context, event func(*control)) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

// runAndWait runs a step on the control goroutine and waits until its changes, and all that were posted before, are
// published.
func (a *Agent) runAndWait(ctx context.Context, step func(*control)) error {
	done := make(chan struct{})
	a.post(ctx, func(c *control) {
		step(c)
		c.flush()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// listWithTimeout lists a prefix with callTimeout.
func listWithTimeout(ctx context.Context, prefix string,
	list func(context.Context, string) ([]metastore.Item, uint64, error)) ([]metastore.Item, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return list(ctx, prefix)
}

// applyConfiguration applies a new version of the configuration.
func (c *control) applyConfiguration(change prefixChange) {
	for _, e := range change.events {
		if e.Removed || e.Key != c.agent.Decoders.ConfigurationKey || e.Revision > 0 && e.Revision == c.configurationRevision {
			continue // a configuration that is listed again may have a megabyte
		}
		c.configurationRevision = e.Revision
		c.setConfiguration(e.Value, true)
	}
}

// setConfiguration puts a configuration into effect unless a later version is in effect. stored is true if the store has it, and false
// if another host has kept it.
func (c *control) setConfiguration(value []byte, stored bool) {
	var next *catalog.Catalog
	err := guard.Decode(func() (err error) {
		next, err = c.agent.Decoders.Configuration(value)
		return err
	})
	if err != nil {
		c.agent.Log.Error("configuration: rejected", zap.Error(err))
		return
	}
	switch known := c.view.catalog.Version; {
	case next.Version > known:
		c.view.catalog, c.configurationValue, c.configurationOutdated = next, value, !stored
	case stored && c.configurationOutdated != (next.Version < known):
		c.configurationOutdated = next.Version < known
		c.agent.Log.Info("configuration: version in the store", zap.Int64("version", next.Version), zap.Int64("in_force", known))
	default:
		return
	}
	c.publish()
}

// applyControlKeys applies changes of the control keys (see controlPrefix). Registrations of other hosts are published
// after a short delay, the rest at once.
func (c *control) applyControlKeys(change prefixChange) {
	c.agent.checkRegistration(change)
	hostsOnly := !change.complete && !slices.ContainsFunc(change.events, func(e metastore.Event) bool {
		return !strings.HasPrefix(e.Key, hostPrefix)
	})
	before := c.view.hosts
	era := c.view.era.value
	if change.complete {
		c.view.hosts, c.view.leader = make(map[model.HostID]Host, len(before)), nil
		c.view.era, c.view.settling = versioned[EraDocument]{}, false
		c.view.rebaseDocuments(change)
		c.rebaseRouting(change.revision)
	}
	now := boottime.Now()
	for _, e := range change.events {
		if id, isHost := strings.CutPrefix(e.Key, hostPrefix); isHost && !change.complete && e.Removed {
			c.recordDeparture(model.HostID(id), now)
		}
		if e.Key == routingKey && e.Removed && metastore.EraOf(e.Revision) > c.controlEra {
			c.rebaseRouting(e.Revision)
			continue
		}
		if err := c.view.applyControlKey(e); err != nil {
			c.agent.Log.Error("store: value ignored", zap.String("key", e.Key), zap.Error(err))
		}
	}
	c.controlEra = max(c.controlEra, metastore.EraOf(change.lastRevision()))
	if next := c.view.era.value; next.Reconciled && next != era {
		go c.agent.releasePermission()
	}
	if change.complete {
		for id, host := range before {
			if _, registered := c.view.hosts[id]; !registered {
				c.departed[id] = departure{host, now}
			}
		}
	}
	c.pending.documents = c.pending.documents || !hostsOnly
	c.pending.hosts = c.pending.hosts || change.complete || hostsOnly ||
		slices.ContainsFunc(change.events, func(e metastore.Event) bool { return strings.HasPrefix(e.Key, hostPrefix) })
	if hostsOnly {
		c.publishSoon()
	} else {
		c.publish()
	}
}

// setDocument applies a document received directly from the leader, unless a later one is known.
func (c *control) setDocument(doc primacy.Document) {
	if known := c.view.documents[doc.Service]; doc.Epoch > known.value.Epoch {
		c.view.documents[doc.Service] = versioned[primacy.Document]{doc, known.revision}
		c.pending.documents = true
		c.publish()
	}
}

// applyDocument puts a document into effect on this host and confirms it if it closes a primary.
func (a *Agent) applyDocument(doc primacy.Document) {
	if a.Server.ApplyPrimaryDocument(doc) {
		a.confirmViaStore(doc)
	}
}

// confirmViaStore records in the store that this host no longer uses a primary, unless the leader sends a direct
// fence request first.
func (a *Agent) confirmViaStore(doc primacy.Document) {
	if doc.Open || doc.First() {
		return
	}
	a.registrationMu.Lock()
	a.unconfirmed[doc.Service] = max(a.unconfirmed[doc.Service], doc.Epoch)
	a.registrationMu.Unlock()
	time.Sleep(confirmDelay)
	a.storeConfirm <- struct{}{} // each confirmation is conditional on the revision written by the previous one
	defer func() { <-a.storeConfirm }()
	txn, confirmed := a.confirmationTxn()
	if len(confirmed) == 0 {
		return
	}
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	revision, err := a.Store.Commit(ctx, txn)
	a.Log.Info("primary: confirmed through the store", zap.Any("epochs", confirmed), zap.Error(err))
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	if err == nil {
		a.registeredRevision = max(a.registeredRevision, revision)
		return
	}
	for service, epoch := range confirmed { // the next confirmation includes them
		a.unconfirmed[service] = max(a.unconfirmed[service], epoch)
	}
}

// confirmationTxn returns the transaction that adds the epochs of all closed documents to this host's registration that the
// leader has not fenced directly, and these epochs. There are none if the host is not registered.
func (a *Agent) confirmationTxn() (txn metastore.Txn, confirmed map[model.Service]uint64) {
	a.registrationMu.Lock()
	defer a.registrationMu.Unlock()
	confirmed = maps.Clone(a.unconfirmed)
	maps.DeleteFunc(confirmed, func(service model.Service, epoch uint64) bool {
		return a.fencedByLeader[service] >= epoch
	})
	clear(a.unconfirmed)
	if len(confirmed) == 0 || a.lease == 0 {
		return metastore.Txn{}, nil
	}
	maps.Copy(a.fencedViaStore, confirmed)
	self := a.Self
	self.Fenced = maps.Clone(a.fencedViaStore)
	return self.registrationTxn(a.lease, a.registeredRevision), confirmed
}

// dependencyLogger logs once when a dependency fails and once when it recovers.
type dependencyLogger struct {
	log  *zap.Logger
	name string
	lost time.Time
}

func (d *dependencyLogger) observe(err error) {
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
		panic("fleet: encoding a value of the store: " + err.Error())
	}
	return data
}
