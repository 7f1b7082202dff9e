package server

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/membership"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/roster"
	"github.com/waxwingspindle/waxwingspindle/session"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// controlState is the control state of a daemon. It is accessed by the control loop only.
type controlState struct {
	server             *Server
	rng                *rand.Rand
	membershipTable    *membership.Table
	relay              *documentRelay
	slotTracker        *roster.SlotTracker
	configuration      *config.Document
	settings           *config.Settings
	keys               *key.Set
	tokens             *session.Codec
	roster             roster.Document
	rosterAppliedAt    time.Time // time at which the current roster version was applied
	localHomes         map[model.Service]*localHome
	liveFingerprint    string                         // identifies the live members that the placement was computed from
	homes              map[model.Service]model.HostID // host of the home of each service
	leaving            bool
	listedHosts        []roster.ListedHost // hosts listed by the platform
	sentBytes          uint64              // bytes of membership messages sent until the last tick
	snapshotDirty      bool                // state other than the proof of freshness changed since the last snapshot
	placementDue       bool                // a member changed since the last placement check
	placementCheckedAt time.Time           // time of the last placement check
	rebuiltAt          time.Time           // time at which the snapshot was last rebuilt in full
	proofKind          freshness.ProofKind // kind of the proof in use, ProofNone while not serving
	orderersCreated    uint64              // number of orderer ids assigned by this process
}

// localHome is a home on this host with the controller of its replication group.
type localHome struct {
	home          *home
	group         *groupController
	closeDeadline time.Time // latest time at which a retiring home is closed, zero if it is not retiring
}

// homeDrainTimeout bounds the time for which a home that has moved to another host finishes its requests and transactions.
const homeDrainTimeout = 40 * time.Second

func newControlState(s *Server, now time.Time) *controlState {
	d := s.options.Daemon
	self := membership.Member{ID: d.Host, DataCentre: d.DataCentre, RPCAddress: d.PeerListen, GossipAddress: d.PeerListen,
		Incarnation: s.incarnation}
	return &controlState{
		server:          s,
		rng:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		membershipTable: membership.New(now, self, membership.Settings{}),
		relay:           newDocumentRelay(now, s),
		slotTracker:     roster.NewSlotTracker(d.Host, s.incarnation),
		localHomes:      map[model.Service]*localHome{},
		homes:           map[model.Service]model.HostID{},
	}
}

// tick advances membership, placement, document relay and failover, and publishes a new snapshot.
func (c *controlState) tick(now time.Time) {
	c.applyMembershipActions(c.membershipTable.Tick(now, c.rng))
	c.updatePlacement(now)
	c.relay.tick(now)
	for _, local := range c.localHomes {
		local.group.tick(now)
	}
	c.closeRetiredHomes(now)
	c.publishSnapshot(now)
	sent := c.server.gossip.Counters().SentBytes
	c.server.metrics.AddControlBytes("membership", int(sent-c.sentBytes))
	c.sentBytes = sent
}

// applyMembershipActions sends membership messages and handles changes of members.
func (c *controlState) applyMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		if a.Send != nil {
			c.server.gossip.Send(*a.Send)
			continue
		}
		c.snapshotDirty, c.placementDue = true, true
		c.server.log.Info("membership: member changed", zap.String("member", string(a.Change.Member.ID)),
			zap.Stringer("from", a.Change.PreviousState), zap.Stringer("to", a.Change.Member.State))
		if a.Change.Member.ID == c.server.options.Daemon.Host && a.Change.Member.State == membership.StateLeft {
			c.server.log.Warn("membership: platform lists this host as leaving, draining")
			c.server.startDrain()
		}
	}
}

// receiveGossip passes a membership message to the control loop.
func (s *Server) receiveGossip(from string, m membership.Message) {
	s.controlLoop.post(func(now time.Time) {
		s.state.applyMembershipActions(s.state.membershipTable.HandleMessage(now, s.state.rng, from, m))
	})
}

// setHostList updates the membership from the platform's list of hosts.
func (c *controlState) setHostList(now time.Time, list []membership.ListedHost) {
	c.listedHosts = nil
	for _, h := range list {
		c.listedHosts = append(c.listedHosts, roster.ListedHost{ID: h.ID, Leaving: h.Leaving})
	}
	c.applyMembershipActions(c.membershipTable.ApplyHostList(now, c.rng, list))
}

// applyConfiguration activates a configuration document. Older versions are ignored. A document that this build cannot
// parse returns an error and leaves the active configuration unchanged.
func (c *controlState) applyConfiguration(now time.Time, d *config.Document) error {
	if c.configuration != nil && d.Version <= c.configuration.Version {
		return nil
	}
	settings, err := config.ParseDocument(d, c.server.options.Daemon.DataCentre)
	if err != nil {
		return fmt.Errorf("configuration version %d is not valid on this host: %w", d.Version, err)
	}
	keys, err := key.NewSet(slices.Collect(maps.Values(d.Keys)))
	if err != nil {
		return err
	}
	tokens, err := session.NewCodec(d.Secret, nil)
	if err != nil {
		return err
	}
	c.configuration, c.settings, c.keys, c.tokens = d, settings, keys, tokens
	c.server.decisions.setSample(settings.Log.DecisionSampleInterval)
	c.server.setLevel(settings.Log.Level)
	c.server.limiter.setLimits(workspaceLimits(settings))
	c.membershipTable.SetPayload(encodeVersionPayload(d.Version))
	c.relay.host.SetConfiguration(now, d.Version)
	c.server.log.Info("config: version applied", zap.Uint64("version", d.Version))
	c.liveFingerprint, c.snapshotDirty = "", true
	c.configureHomes(now)
	c.publishSnapshot(now)
	return nil
}

// setLevel sets the log level. Unknown levels are ignored.
func (s *Server) setLevel(level string) {
	if s.options.Level == (zap.AtomicLevel{}) {
		return
	}
	if parsed, err := zapcore.ParseLevel(level); err == nil {
		s.options.Level.SetLevel(parsed)
	}
}

func workspaceLimits(s *config.Settings) map[model.Workspace]limit.Limit {
	limits := map[model.Workspace]limit.Limit{}
	for name, w := range s.Workspaces {
		limits[name] = limit.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	return limits
}

// applyRoster activates a roster. Older versions are ignored.
func (c *controlState) applyRoster(now time.Time, d roster.Document) {
	if d.Version <= c.roster.Version {
		return
	}
	c.roster, c.rosterAppliedAt, c.snapshotDirty = d, now, true
	c.server.limiter.setSlots(c.slotTracker.Update(now, d))
	c.relay.setRoster(now, d)
	select {
	case c.server.rosterChanged <- struct{}{}:
	default:
	}
	c.server.log.Info("roster: version applied", zap.Uint64("version", d.Version), zap.Int("hosts", len(d.Hosts)))
	c.publishSnapshot(now)
}

// encodeVersionPayload returns the payload of membership messages: the version of the active configuration.
func encodeVersionPayload(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }

func decodeVersionPayload(p []byte) uint64 {
	if len(p) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(p)
}

// updatePlacement computes the relay tree, the homes and the brokers if the live members or the configuration have
// changed.
func (c *controlState) updatePlacement(now time.Time) {
	if !c.membershipTable.Ready(now) ||
		!c.placementDue && c.liveFingerprint != "" && now.Sub(c.placementCheckedAt) < placementInterval {
		return
	}
	c.placementCheckedAt, c.placementDue = now, false
	live := c.liveCandidates()
	fingerprint := fmt.Sprint(live)
	if fingerprint == c.liveFingerprint {
		return
	}
	c.liveFingerprint, c.snapshotDirty = fingerprint, true
	c.relay.setLiveHosts(now, live)
	if c.settings == nil {
		return
	}
	c.server.limiter.setBrokers(assignBrokers(c.settings, live))
	c.homes = assignHomes(c.settings, live)
	c.reconcileHomes(now)
}

// placementInterval is the interval at which placement is checked if no member change was reported. At 820 hosts a check
// at every tick costs as much as the membership protocol itself.
const placementInterval = time.Second

// liveCandidates returns the live members. This host is not among them once it leaves.
func (c *controlState) liveCandidates() []placement.Candidate {
	var out []placement.Candidate
	for _, m := range c.membershipTable.LiveMembers() {
		out = append(out, placement.Candidate{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

func assignBrokers(s *config.Settings, live []placement.Candidate) limit.BrokerLookup {
	brokers := map[model.Workspace]model.HostID{}
	for w := range s.Workspaces {
		if host, ok := placement.Broker(w, live); ok {
			brokers[w] = host
		}
	}
	return func(w model.Workspace) model.HostID { return brokers[w] }
}

func assignHomes(s *config.Settings, live []placement.Candidate) map[model.Service]model.HostID {
	homes := map[model.Service]model.HostID{}
	for name, service := range s.Services {
		var dataCentres []model.DataCentre
		for _, t := range service.Targets {
			dataCentres = append(dataCentres, t.DataCentre)
		}
		if host, ok := placement.Home(name, dataCentres, live); ok {
			homes[name] = host
		}
	}
	return homes
}

// reconcileHomes starts the homes that are placed on this host and retires those that have moved to another host.
func (c *controlState) reconcileHomes(now time.Time) {
	self := c.server.options.Daemon.Host
	for name, host := range c.homes {
		local := c.localHomes[name]
		switch {
		case host == self && local == nil:
			c.startHome(name)
		case host == self && !local.closeDeadline.IsZero():
			local.closeDeadline = time.Time{}
			local.home.retiring.Store(false)
		}
	}
	for name, local := range c.localHomes {
		if c.homes[name] != self && local.closeDeadline.IsZero() {
			c.server.log.Info("placement: home moves to another host", zap.String("service", string(name)),
				zap.String("to", string(c.homes[name])))
			local.home.retiring.Store(true)
			local.closeDeadline = now.Add(homeDrainTimeout)
		}
	}
}

func (c *controlState) startHome(name model.Service) {
	s := c.server
	service := c.settings.Services[name]
	c.orderersCreated++
	orderer := fmt.Sprintf("%s/%d/%d", s.options.Daemon.Host, s.incarnation, c.orderersCreated)
	h := &home{service: name, retrier: s.retrier, metrics: s.metrics, log: s.decisions, reauthorize: s.reauthorize,
		targets: map[model.TargetID]*homeTarget{},
		dial:    func(address string) target.Executor { return target.NewPool(address, c.trafficOptions(name)) }}
	if err := h.configure(service, c.settings.Timing.ReplicaWait); err != nil {
		s.log.Error("placement: failed to start home", zap.String("service", string(name)), zap.Error(err))
		return
	}
	dial := func(address string) *target.MemberClient {
		return target.NewMemberClient(address, c.controlOptions(name))
	}
	h.group = newGroupController(service, orderer, s.controlLoop, dial, s.metrics,
		s.log.With(zap.String("service", string(name))))
	h.group.publish, h.group.replaceTraffic = h.publishView, h.replaceConnections
	h.group.isIdle = func(t model.TargetID) bool { return h.idle(t) && s.transactions.openCount(name) == 0 }
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.pruneLedger(ctx)
	c.localHomes[name] = &localHome{home: h, group: h.group}
	s.homes.Store(name, h)
	s.log.Info("placement: home started on this host", zap.String("service", string(name)), zap.String("orderer", orderer))
}

// configureHomes applies the active configuration to the homes on this host.
func (c *controlState) configureHomes(now time.Time) {
	for name, local := range c.localHomes {
		service, ok := c.settings.Services[name]
		if !ok {
			continue
		}
		if err := local.home.configure(service, c.settings.Timing.ReplicaWait); err != nil {
			c.server.log.Error("placement: failed to configure home", zap.String("service", string(name)), zap.Error(err))
		}
		local.group.configure(now, service)
	}
}

// closeRetiredHomes closes retiring homes that are idle or past their deadline.
func (c *controlState) closeRetiredHomes(now time.Time) {
	for name, local := range c.localHomes {
		if local.closeDeadline.IsZero() {
			continue
		}
		busy := local.home.busy() || c.server.transactions.openCount(name) > 0
		if busy && now.Before(local.closeDeadline) {
			continue
		}
		delete(c.localHomes, name)
		c.server.homes.CompareAndDelete(name, local.home)
		local.group.stop()
		go local.home.close()
		c.server.log.Info("placement: home closed", zap.String("service", string(name)))
	}
}

// reservedConnections is the number of connections per target that a home keeps for control: the control connection and
// its replacements.
const reservedConnections = 3

// trafficConnections returns the maximum number of traffic connections from a home to a target. While a home moves, the
// old and the new one share the target's connection limit, so each uses at most half of it.
func trafficConnections(s config.Service) int { return s.Connections/2 - reservedConnections }

func (c *controlState) trafficOptions(name model.Service) target.Options {
	s := c.settings.Services[name]
	return target.Options{User: s.User, ControlUser: controlUser, Password: s.Password, Database: s.Database,
		MaxConnections: trafficConnections(s), MaxAnswerBytes: c.settings.Limits.MaxAnswerBytes, Logger: c.server.log}
}

// controlUser is the database user of control connections.
const controlUser = "waxwingspindle_control"

func (c *controlState) controlOptions(name model.Service) target.Options {
	s := c.settings.Services[name]
	return target.Options{User: controlUser, ControlUser: controlUser, Password: s.Password, Database: s.Database,
		Logger: c.server.log}
}

// announceLeave announces that this host leaves. Its homes, broker roles and relay duties move to other hosts.
func (c *controlState) announceLeave(now time.Time) {
	c.leaving = true
	c.applyMembershipActions(c.membershipTable.Leave(now, c.rng))
	c.liveFingerprint, c.snapshotDirty = "", true
	c.updatePlacement(now)
	c.publishSnapshot(now)
}

// rosterWithoutOwnSlots returns the roster with this host's share slots released, and whether it differs from the current
// one.
func (c *controlState) rosterWithoutOwnSlots(now time.Time) (roster.Document, bool) {
	return roster.Deregister(c.roster, now, c.slotTracker, uuid.NewString())
}

// finishLeave sends the outstanding membership messages at the end of the shutdown.
func (c *controlState) finishLeave(now time.Time) {
	c.applyMembershipActions(c.membershipTable.Tick(now, c.rng))
}

// publishSnapshot replaces the snapshot that request goroutines read, and updates the metrics.
func (c *controlState) publishSnapshot(now time.Time) {
	next := *c.server.snapshot.Load()
	if c.snapshotDirty || now.Sub(c.rebuiltAt) >= snapshotRebuildInterval {
		next = c.buildSnapshot()
		c.snapshotDirty, c.rebuiltAt = false, now
	}
	proof := c.relay.servingProof(now)
	next.proofKind, next.proofTime, next.servingUntil = proof.Kind.String(), now.Add(-proof.Age), time.Time{}
	if proof.Valid {
		next.servingUntil = proof.ValidUntil
	}
	c.logProofChange(proof)
	c.server.snapshot.Store(&next)
	c.server.metrics.SetControlState(next.fresh(now), proof.Age, next.version, next.rosterVersion)
}

// snapshotRebuildInterval is the longest time between full rebuilds of the snapshot. Most events change only the proof of
// freshness, which is updated without a rebuild: copying the members at every event dominates the cost of the control loop.
const snapshotRebuildInterval = 500 * time.Millisecond

// buildSnapshot returns a full snapshot without the proof of freshness.
func (c *controlState) buildSnapshot() snapshot {
	s := snapshot{rosterVersion: c.roster.Version, members: c.membershipTable.Members(), homes: c.homes,
		addresses: map[model.HostID]string{}, hosts: votingHosts(c.roster), roots: c.relay.roots}
	_, s.confirmed = c.relay.host.ConfirmedHosts()
	if c.configuration != nil {
		s.version, s.settings, s.keys, s.tokens, s.secret =
			c.configuration.Version, c.settings, c.keys, c.tokens, c.configuration.Secret
		s.document = c.configuration
	}
	states := map[string]int{}
	for i, m := range s.members {
		s.members[i].Payload = slices.Clone(m.Payload) // the table reuses the buffer
		states[m.State.String()]++
		if m.IsLive() || m.State == membership.StateLeft {
			s.addresses[m.ID] = m.RPCAddress
		}
	}
	for _, slot := range c.roster.Slots {
		if slot.Holder == "" {
			s.freeSlots++
		} else {
			s.heldSlots++
		}
	}
	c.server.metrics.SetMembers(states)
	return s
}

// logProofChange logs a change of the kind of proof that the host serves with, including its loss.
func (c *controlState) logProofChange(p freshness.Proof) {
	kind := freshness.ProofNone
	if p.Valid {
		kind = p.Kind
	}
	if kind == c.proofKind {
		return
	}
	c.server.log.Info("config: proof of freshness changed", zap.Stringer("from", c.proofKind), zap.Stringer("to", kind),
		zap.Duration("age", p.Age))
	c.proofKind = kind
}

// activeDocument returns the active configuration document, or nil if there is none.
func (s *Server) activeDocument() *config.Document { return s.snapshot.Load().document }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
