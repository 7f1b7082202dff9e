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
	server    *Server
	rng       *rand.Rand
	table     *membership.Table
	proofs    *proofs
	tenure    *roster.Tenure
	document  *config.Document
	settings  *config.Settings
	keys      *key.Set
	tokens    *session.Codec
	roster    roster.Document
	rosterAt  time.Time // time at which the roster last changed here
	owned     map[model.Service]*ownedHome
	live      string // fingerprint of the live members that brokers and homes were computed from
	homes     map[model.Service]model.HostID
	leaving   bool
	listed    []roster.Listed // the platform's list of hosts
	sentBytes uint64          // bytes of membership messages at the last tick
	changed   bool            // more than the proof of freshness has changed since the last snapshot
	placeDue  bool            // a member changed since the live members were compared
	placedAt  time.Time       // time at which the live members were compared
	rebuiltAt time.Time       // time at which all of the snapshot was computed
	proofKind freshness.Kind  // kind of proof that the host serves by
	orderers  uint64          // number of failover machines that this process has started
}

// ownedHome is a home on this host with the control of its group.
type ownedHome struct {
	home     *home
	group    *groupControl
	retireAt time.Time // time by which a retiring home is closed, zero while it is home
}

// retiringLimit bounds the time in which a home that moved away finishes its transactions.
const retiringLimit = 40 * time.Second

func newControlState(s *Server, now time.Time) *controlState {
	d := s.options.Daemon
	self := membership.Member{ID: d.Host, DataCentre: d.DataCentre, RPCAddress: d.PeerListen, GossipAddress: d.PeerListen,
		Incarnation: s.incarnation}
	return &controlState{
		server: s,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		table:  membership.New(now, self, membership.Settings{}),
		proofs: newProofs(now, s),
		tenure: roster.NewTenure(d.Host, s.incarnation),
		owned:  map[model.Service]*ownedHome{},
		homes:  map[model.Service]model.HostID{},
	}
}

// tick does what is due.
func (c *controlState) tick(now time.Time) {
	c.perform(c.table.Tick(now, c.rng))
	c.place(now)
	c.proofs.tick(now)
	for _, o := range c.owned {
		o.group.tick(now)
	}
	c.closeRetired(now)
	c.publish(now)
	sent := c.server.gossip.Counters().SentBytes
	c.server.metrics.ControlBytes("membership", int(sent-c.sentBytes))
	c.sentBytes = sent
}

// perform sends membership messages and logs changes.
func (c *controlState) perform(actions []membership.Action) {
	for _, a := range actions {
		if a.Send != nil {
			c.server.gossip.Send(*a.Send)
			continue
		}
		c.changed, c.placeDue = true, true
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
	s.control.post(func(now time.Time) { s.state.perform(s.state.table.Handle(now, s.state.rng, from, m)) })
}

// hostList takes over the platform's list of hosts.
func (c *controlState) hostList(now time.Time, list []membership.ListedHost) {
	c.listed = nil
	for _, h := range list {
		c.listed = append(c.listed, roster.Listed{ID: h.ID, Leaving: h.Leaving})
	}
	c.perform(c.table.HostList(now, c.rng, list))
}

// setDocument puts a newer document in force. A document that this build cannot read changes nothing.
func (c *controlState) setDocument(now time.Time, d *config.Document) error {
	if c.document != nil && d.Version <= c.document.Version {
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
	c.document, c.settings, c.keys, c.tokens = d, settings, keys, tokens
	c.server.decisions.setSample(settings.Log.DecisionSample)
	c.server.setLevel(settings.Log.Level)
	c.server.limiter.setLimits(limitsOf(settings))
	c.table.SetPayload(payload(d.Version))
	c.proofs.host.Hold(now, d.Version)
	c.server.log.Info("config: version in force", zap.Uint64("version", d.Version))
	c.live, c.changed = "", true
	c.configureHomes(now)
	c.publish(now)
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

func limitsOf(s *config.Settings) map[model.Workspace]limit.Limit {
	limits := map[model.Workspace]limit.Limit{}
	for name, w := range s.Workspaces {
		limits[name] = limit.Limit{Rate: w.Rate, Burst: w.Burst}
	}
	return limits
}

// setRoster puts a newer roster in force.
func (c *controlState) setRoster(now time.Time, d roster.Document) {
	if d.Version <= c.roster.Version {
		return
	}
	c.roster, c.rosterAt, c.changed = d, now, true
	c.server.limiter.setSlots(c.tenure.Update(now, d))
	c.proofs.holdRoster(now, d)
	select {
	case c.server.rosterChanged <- struct{}{}:
	default:
	}
	c.server.log.Info("roster: version in force", zap.Uint64("version", d.Version), zap.Int("hosts", len(d.Hosts)))
	c.publish(now)
}

// payload is what a host's membership messages carry: the version of the configuration that it has in force.
func payload(version uint64) []byte { return binary.BigEndian.AppendUint64(nil, version) }

func payloadVersion(p []byte) uint64 {
	if len(p) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(p)
}

// place computes the relay tree, homes and brokers from the live members, when these or the configuration have changed.
func (c *controlState) place(now time.Time) {
	if !c.table.Ready(now) || !c.placeDue && c.live != "" && now.Sub(c.placedAt) < placeInterval {
		return
	}
	c.placedAt, c.placeDue = now, false
	live := c.candidates()
	fingerprint := fmt.Sprint(live)
	if fingerprint == c.live {
		return
	}
	c.live, c.changed = fingerprint, true
	c.proofs.setLive(now, live)
	if c.settings == nil {
		return
	}
	c.server.limiter.setBrokers(brokersOf(c.settings, live))
	c.homes = homesOf(c.settings, live)
	c.reconcileHomes(now)
}

// placeInterval is the time after which the live members are compared again although no change was reported. Comparing
// them at each tick cost as much as the membership itself at 820 hosts.
const placeInterval = time.Second

// candidates returns the live members, from which this host is missing once it leaves.
func (c *controlState) candidates() []placement.Candidate {
	var out []placement.Candidate
	for _, m := range c.table.Live() {
		out = append(out, placement.Candidate{ID: m.ID, DataCentre: m.DataCentre})
	}
	return out
}

func brokersOf(s *config.Settings, live []placement.Candidate) limit.BrokerLookup {
	brokers := map[model.Workspace]model.HostID{}
	for w := range s.Workspaces {
		if host, ok := placement.Broker(w, live); ok {
			brokers[w] = host
		}
	}
	return func(w model.Workspace) model.HostID { return brokers[w] }
}

func homesOf(s *config.Settings, live []placement.Candidate) map[model.Service]model.HostID {
	homes := map[model.Service]model.HostID{}
	for name, service := range s.Services {
		var dcs []model.DataCentre
		for _, t := range service.Targets {
			dcs = append(dcs, t.DataCentre)
		}
		if host, ok := placement.Home(name, dcs, live); ok {
			homes[name] = host
		}
	}
	return homes
}

// reconcileHomes starts the homes that this host has been given and retires those that moved away.
func (c *controlState) reconcileHomes(now time.Time) {
	self := c.server.options.Daemon.Host
	for name, host := range c.homes {
		o := c.owned[name]
		switch {
		case host == self && o == nil:
			c.startHome(name)
		case host == self && !o.retireAt.IsZero():
			o.retireAt = time.Time{}
			o.home.retiring.Store(false)
		}
	}
	for name, o := range c.owned {
		if c.homes[name] != self && o.retireAt.IsZero() {
			c.server.log.Info("placement: home moves away", zap.String("service", string(name)),
				zap.String("to", string(c.homes[name])))
			o.home.retiring.Store(true)
			o.retireAt = now.Add(retiringLimit)
		}
	}
}

func (c *controlState) startHome(name model.Service) {
	s := c.server
	service := c.settings.Services[name]
	c.orderers++
	orderer := fmt.Sprintf("%s/%d/%d", s.options.Daemon.Host, s.incarnation, c.orderers)
	h := &home{service: name, retry: s.retry, metrics: s.metrics, log: s.decisions, recheck: s.recheck,
		targets: map[model.TargetID]*homeTarget{},
		dial:    func(address string) target.Traffic { return target.NewPool(address, c.trafficOptions(name)) }}
	if err := h.configure(service, c.settings.Timing.ReplicaWait); err != nil {
		s.log.Error("placement: home cannot start", zap.String("service", string(name)), zap.Error(err))
		return
	}
	dial := func(address string) *target.ControlMember {
		return target.NewControlMember(address, c.controlOptions(name))
	}
	h.group = newGroupControl(service, orderer, s.control, dial, s.metrics, s.log.With(zap.String("service", string(name))))
	h.group.publish, h.group.replace = h.publish, h.replaceConnections
	h.group.idle = func(t model.TargetID) bool { return h.idle(t) && s.transaction.open(name) == 0 }
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go h.cleanLedger(ctx)
	c.owned[name] = &ownedHome{home: h, group: h.group}
	s.homes.Store(name, h)
	s.log.Info("placement: this host is home", zap.String("service", string(name)), zap.String("orderer", orderer))
}

// configureHomes follows a change of the configuration.
func (c *controlState) configureHomes(now time.Time) {
	for name, o := range c.owned {
		service, ok := c.settings.Services[name]
		if !ok {
			continue
		}
		if err := o.home.configure(service, c.settings.Timing.ReplicaWait); err != nil {
			c.server.log.Error("placement: home cannot be configured", zap.String("service", string(name)), zap.Error(err))
		}
		o.group.configure(now, service)
	}
}

// closeRetired closes homes that moved away, when nothing runs on them any more.
func (c *controlState) closeRetired(now time.Time) {
	for name, o := range c.owned {
		if o.retireAt.IsZero() {
			continue
		}
		busy := o.home.busy() || c.server.transaction.open(name) > 0
		if busy && now.Before(o.retireAt) {
			continue
		}
		delete(c.owned, name)
		c.server.homes.CompareAndDelete(name, o.home)
		o.group.stop()
		go o.home.close()
		c.server.log.Info("placement: home closed", zap.String("service", string(name)))
	}
}

// Connections of a home to a target: control and its spare, so that the rest is for traffic.
const controlConnections = 3

// trafficConnections returns the connections for traffic that a home opens to a target. An old and a new home must fit
// under the target's limit together, so each uses at most half of it.
func trafficConnections(s config.Service) int { return s.Connections/2 - controlConnections }

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
func (c *controlState) leave(now time.Time) {
	c.leaving = true
	c.perform(c.table.Leave(now, c.rng))
	c.live, c.changed = "", true
	c.place(now)
	c.publish(now)
}

// releaseRoster returns the roster in which this host has given its slots back.
func (c *controlState) releaseRoster(now time.Time) (roster.Document, bool) {
	return roster.Release(c.roster, now, c.tenure, uuid.NewString())
}

// left runs at the end of a planned stop.
func (c *controlState) left(now time.Time) { c.perform(c.table.Tick(now, c.rng)) }

// publish replaces the snapshot that traffic reads.
func (c *controlState) publish(now time.Time) {
	next := *c.server.snapshot.Load()
	if c.changed || now.Sub(c.rebuiltAt) >= rebuildInterval {
		next = c.rebuild()
		c.changed, c.rebuiltAt = false, now
	}
	proof := c.proofs.serving(now)
	next.proofKind, next.proofAt, next.servingUntil = proof.Kind.String(), now.Add(-proof.Age), time.Time{}
	if proof.OK {
		next.servingUntil = proof.Until
	}
	c.logProof(proof)
	c.server.snapshot.Store(&next)
	c.server.metrics.Control(next.fresh(now), proof.Age, next.version, next.roster)
}

// rebuildInterval is the time after which all of the snapshot is computed again. In between only the proof of freshness
// is renewed, which is all that most events change; copying the members at each event was most of the cost of control.
const rebuildInterval = 500 * time.Millisecond

// rebuild returns a snapshot without the proof of freshness.
func (c *controlState) rebuild() snapshot {
	s := snapshot{roster: c.roster.Version, members: c.table.Members(), homes: c.homes,
		addresses: map[model.HostID]string{}, hosts: rosterHosts(c.roster), roots: c.proofs.roots}
	_, s.confirmed = c.proofs.host.Confirmed()
	if c.document != nil {
		s.version, s.settings, s.keys, s.tokens, s.secret = c.document.Version, c.settings, c.keys, c.tokens, c.document.Secret
		s.document = c.document
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
func (c *controlState) logProof(p freshness.Proof) {
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
func (s *Server) documentInForce() *config.Document { return s.snapshot.Load().document }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
