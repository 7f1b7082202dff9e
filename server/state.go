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

// controlState is the control state of a daemon. Only the control goroutine uses it.
type controlState struct {
	server             *Server
	rng                *rand.Rand
	membershipTable    *membership.Table
	relay              *documentRelay
	tenure             *roster.Tenure
	configuration      *config.Document
	settings           *config.Settings
	keys               *key.Set
	tokens             *session.Codec
	roster             roster.Document
	rosterAppliedAt    time.Time // time at which the roster last changed here
	localHomes         map[model.Service]*localHome
	liveFingerprint    string // fingerprint of the live members that brokers and homes were computed from
	homes              map[model.Service]model.HostID
	leaving            bool
	listedHosts        []roster.Listed // the platform's list of hosts
	sentBytes          uint64          // bytes of membership messages at the last tick
	snapshotDirty      bool            // more than the proof of freshness has changed since the last snapshot
	placementDue       bool            // a member changed since the live members were compared
	placementCheckedAt time.Time       // time at which the live members were compared
	rebuiltAt          time.Time       // time at which all of the snapshot was computed
	proofKind          freshness.Kind  // kind of proof that the host serves by
	orderersCreated    uint64          // number of failover machines that this process has started
}

// ownedHome is a home on this host with the control of its group.
type localHome struct {
	home          *home
	group         *groupController
	closeDeadline time.Time // time by which a retiring home is closed, zero while it is home
}

// retiringLimit bounds the time in which a home that moved away finishes its transactions.
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
		tenure:          roster.NewTenure(d.Host, s.incarnation),
		localHomes:      map[model.Service]*localHome{},
		homes:           map[model.Service]model.HostID{},
	}
}

// tick does what is due.
func (c *controlState) tick(now time.Time) {
	c.applyMembershipActions(c.membershipTable.Tick(now, c.rng))
	c.updatePlacement(now)
	c.relay.tick(now)
	for _, owned := range c.localHomes {
		owned.group.tick(now)
	}
	c.closeRetiredHomes(now)
	c.publishSnapshot(now)
	sent := c.server.gossip.Counters().SentBytes
	c.server.metrics.ControlBytes("membership", int(sent-c.sentBytes))
	c.sentBytes = sent
}

// perform sends membership messages and logs changes.
func (c *controlState) applyMembershipActions(actions []membership.Action) {
	for _, a := range actions {
		if a.Send != nil {
			c.server.gossip.Send(*a.Send)
			continue
		}
		c.snapshotDirty, c.placementDue = true, true
		c.server.log.Info("membership: member changed", zap.String("member", string(a.Change.Member.ID)),
			zap.Stringer("from", a.Change.Previous), zap.Stringer("to", a.Change.Member.State))
		if a.Change.Member.ID == c.server.options.Daemon.Host && a.Change.Member.State == membership.StateLeft {
			c.server.log.Warn("membership: the platform lists this host as leaving")
			c.server.startDrain()
		}
	}
}

// receiveGossip hands a membership message to the control goroutine.
func (s *Server) receiveGossip(from string, m membership.Message) {
	s.controlLoop.post(func(now time.Time) {
		s.state.applyMembershipActions(s.state.membershipTable.Handle(now, s.state.rng, from, m))
	})
}

// hostList takes over the platform's list of hosts.
func (c *controlState) setHostList(now time.Time, list []membership.ListedHost) {
	c.listedHosts = nil
	for _, h := range list {
		c.listedHosts = append(c.listedHosts, roster.Listed{ID: h.ID, Leaving: h.Leaving})
	}
	c.applyMembershipActions(c.membershipTable.HostList(now, c.rng, list))
}

// setDocument puts a newer document in force. A document that this build cannot read changes nothing.
func (c *controlState) applyConfiguration(now time.Time, d *config.Document) error {
	if c.configuration != nil && d.Version <= c.configuration.Version {
		return nil
	}
	settings, err := config.ParseDocument(d, c.server.options.Daemon.DataCentre)
	if err != nil {
		return fmt.Errorf("version %d of the configuration is not valid here: %w", d.Version, err)
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
	c.server.decisions.setSample(settings.Log.DecisionSample)
	c.server.setLevel(settings.Log.Level)
	c.server.limiter.setLimits(workspaceLimits(settings))
	c.membershipTable.SetPayload(encodeVersionPayload(d.Version))
	c.relay.host.Hold(now, d.Version)
	c.server.log.Info("config: version in force", zap.Uint64("version", d.Version))
	c.liveFingerprint, c.snapshotDirty = "", true
	c.configureHomes(now)
	c.publishSnapshot(now)
	return nil
}

// setLevel sets the level of the log.
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

// setRoster puts a newer roster in force.
func (c *controlState) applyRoster(now time.Time, d roster.Document) {
	if d.Version <= c.roster.Version {
		return
	}
	c.roster, c.rosterAppliedAt, c.snapshotDirty = d, now, true
	c.server.limiter.setSlots(c.tenure.Update(now, d))
	c.relay.setRoster(now, d)
	select {
	case c.server.rosterChanged <- struct{}{}:
	default:
	}
	c.server.log.Info("roster: version in force", zap.Uint64("version", d.Version), zap.Int("hosts", len(d.Hosts)))
	c.publishSnapshot(now)
}

// payload is what a host's membership messages carry: the version of the configuration that it has in force.
func encodeVersionPayload(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }

func decodeVersionPayload(p []byte) uint64 {
	if len(p) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(p)
}

// place computes the relay tree, homes and brokers from the live members, when these or the configuration have changed.
func (c *controlState) updatePlacement(now time.Time) {
	if !c.membershipTable.Ready(now) || !c.placementDue && c.liveFingerprint != "" && now.Sub(c.placementCheckedAt) < placementInterval {
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

// placeInterval is the time after which the live members are compared again although no change was reported. Comparing
// them at each tick cost as much as the membership itself at 820 hosts.
const placementInterval = time.Second

// candidates returns the live members, from which this host is missing once it leaves.
func (c *controlState) liveCandidates() []placement.Candidate {
	var out []placement.Candidate
	for _, m := range c.membershipTable.Live() {
		out = append(out, placement.Candidate{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

func assignBrokers(s *config.Settings, live []placement.Candidate) limit.BrokerOf {
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

// reconcileHomes starts the homes that this host has been given and retires those that moved away.
func (c *controlState) reconcileHomes(now time.Time) {
	self := c.server.options.Daemon.Host
	for name, host := range c.homes {
		owned := c.localHomes[name]
		switch {
		case host == self && owned == nil:
			c.startHome(name)
		case host == self && !owned.closeDeadline.IsZero():
			owned.closeDeadline = time.Time{}
			owned.home.retiring.Store(false)
		}
	}
	for name, owned := range c.localHomes {
		if c.homes[name] != self && owned.closeDeadline.IsZero() {
			c.server.log.Info("placement: home moves away", zap.String("service", string(name)),
				zap.String("to", string(c.homes[name])))
			owned.home.retiring.Store(true)
			owned.closeDeadline = now.Add(homeDrainTimeout)
		}
	}
}

func (c *controlState) startHome(name model.Service) {
	s := c.server
	service := c.settings.Services[name]
	c.orderersCreated++
	orderer := fmt.Sprintf("%s/%d/%d", s.options.Daemon.Host, s.incarnation, c.orderersCreated)
	h := &home{service: name, retry: s.retrier, metrics: s.metrics, log: s.decisions, reauthorize: s.reauthorize,
		targets: map[model.TargetID]*homeTarget{},
		dial:    func(address string) target.Traffic { return target.NewPool(address, c.trafficOptions(name)) }}
	if err := h.configure(service, c.settings.Timing.ReplicaWait); err != nil {
		s.log.Error("placement: home cannot start", zap.String("service", string(name)), zap.Error(err))
		return
	}
	dial := func(address string) *target.ControlMember {
		return target.NewControlMember(address, c.controlOptions(name))
	}
	h.group = newGroupController(service, orderer, s.controlLoop, dial, s.metrics, s.log.With(zap.String("service", string(name))))
	h.group.publish, h.group.replaceTraffic = h.publishView, h.replaceConnections
	h.group.isIdle = func(t model.TargetID) bool { return h.idle(t) && s.transactions.openCount(name) == 0 }
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.cleanLedger(ctx)
	c.localHomes[name] = &localHome{home: h, group: h.group}
	s.homes.Store(name, h)
	s.log.Info("placement: this host is home", zap.String("service", string(name)), zap.String("orderer", orderer))
}

// configureHomes follows a change of the configuration.
func (c *controlState) configureHomes(now time.Time) {
	for name, owned := range c.localHomes {
		service, ok := c.settings.Services[name]
		if !ok {
			continue
		}
		if err := owned.home.configure(service, c.settings.Timing.ReplicaWait); err != nil {
			c.server.log.Error("placement: home cannot be configured", zap.String("service", string(name)), zap.Error(err))
		}
		owned.group.configure(now, service)
	}
}

// closeRetired closes homes that moved away, when nothing runs on them any more.
func (c *controlState) closeRetiredHomes(now time.Time) {
	for name, owned := range c.localHomes {
		if owned.closeDeadline.IsZero() {
			continue
		}
		busy := owned.home.busy() || c.server.transactions.openCount(name) > 0
		if busy && now.Before(owned.closeDeadline) {
			continue
		}
		delete(c.localHomes, name)
		c.server.homes.CompareAndDelete(name, owned.home)
		owned.group.stop()
		go owned.home.close()
		c.server.log.Info("placement: home closed", zap.String("service", string(name)))
	}
}

// Connections of a home to a target: control and its spare, so that the rest is for traffic.
const reservedConnections = 3

// trafficConnections returns the connections for traffic that a home opens to a target. An old and a new home must fit
// under the target's limit together, so each uses at most half of it.
func trafficConnections(s config.Service) int { return s.Connections/2 - reservedConnections }

func (c *controlState) trafficOptions(name model.Service) target.Options {
	s := c.settings.Services[name]
	return target.Options{User: s.User, ControlUser: controlUser, Password: s.Password, Database: s.Database,
		MaxConnections: trafficConnections(s), MaxAnswerBytes: c.settings.Limits.MaxAnswerBytes, Logger: c.server.log}
}

// controlUser is the user of control connections.
const controlUser = "waxwingspindle_control"

func (c *controlState) controlOptions(name model.Service) target.Options {
	s := c.settings.Services[name]
	return target.Options{User: controlUser, ControlUser: controlUser, Password: s.Password, Database: s.Database,
		Logger: c.server.log}
}

// leave announces that this host leaves. Its homes move away and its work for other hosts ends.
func (c *controlState) announceLeave(now time.Time) {
	c.leaving = true
	c.applyMembershipActions(c.membershipTable.Leave(now, c.rng))
	c.liveFingerprint, c.snapshotDirty = "", true
	c.updatePlacement(now)
	c.publishSnapshot(now)
}

// releaseRoster returns the roster in which this host has given its slots back.
func (c *controlState) rosterWithoutOwnSlots(now time.Time) (roster.Document, bool) {
	return roster.Release(c.roster, now, c.tenure, uuid.NewString())
}

// left runs at the end of a planned stop.
func (c *controlState) finishLeave(now time.Time) {
	c.applyMembershipActions(c.membershipTable.Tick(now, c.rng))
}

// publish replaces the snapshot that traffic reads.
func (c *controlState) publishSnapshot(now time.Time) {
	next := *c.server.snapshot.Load()
	if c.snapshotDirty || now.Sub(c.rebuiltAt) >= snapshotRebuildInterval {
		next = c.buildSnapshot()
		c.snapshotDirty, c.rebuiltAt = false, now
	}
	proof := c.relay.servingProof(now)
	next.proofKind, next.proofTime, next.servingUntil = proof.Kind.String(), now.Add(-proof.Age), time.Time{}
	if proof.OK {
		next.servingUntil = proof.Until
	}
	c.logProofChange(proof)
	c.server.snapshot.Store(&next)
	c.server.metrics.Control(next.fresh(now), proof.Age, next.version, next.rosterVersion)
}

// rebuildInterval is the time after which all of the snapshot is computed again. In between only the proof of freshness
// is renewed, which is all that most events change; copying the members at each event was most of the cost of control.
const snapshotRebuildInterval = 500 * time.Millisecond

// rebuild returns a snapshot without the proof of freshness.
func (c *controlState) buildSnapshot() snapshot {
	s := snapshot{rosterVersion: c.roster.Version, members: c.membershipTable.Members(), homes: c.homes,
		addresses: map[model.HostID]string{}, hosts: votingHosts(c.roster), roots: c.relay.roots}
	_, s.confirmed = c.relay.host.Confirmed()
	if c.configuration != nil {
		s.version, s.settings, s.keys, s.tokens, s.secret = c.configuration.Version, c.settings, c.keys, c.tokens, c.configuration.Secret
		s.document = c.configuration
	}
	states := map[string]int{}
	for i, m := range s.members {
		s.members[i].Payload = slices.Clone(m.Payload) // the table reuses the memory
		states[m.State.String()]++
		if m.Live() || m.State == membership.StateLeft {
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
	c.server.metrics.Members(states)
	return s
}

// logProof writes a line when the host serves by another kind of proof than before, or no longer serves.
func (c *controlState) logProofChange(p freshness.Proof) {
	kind := freshness.KindNone
	if p.OK {
		kind = p.Kind
	}
	if kind == c.proofKind {
		return
	}
	c.server.log.Info("config: proof of freshness changed", zap.Stringer("from", c.proofKind), zap.Stringer("to", kind),
		zap.Duration("age", p.Age))
	c.proofKind = kind
}

// documentInForce returns the document in force, or nil.
func (s *Server) activeDocument() *config.Document { return s.snapshot.Load().document }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
