// Package membership implements a variant of the SWIM protocol, which detects failed hosts and maintains the list of live
// ones.
//
// Every host probes one random member at a time and asks three others to probe a member that does not answer. A member that
// still does not answer becomes suspect, and dead if it does not refute the suspicion in time. State changes are
// piggybacked on the probe messages. Four rules differ from standard SWIM:
//
//   - Only a host's own pings make a member dead: a host that received a suspicion or a death from another host pings the
//     member itself before it declares the member dead. Lost datagrams therefore do not add up to a false death in a large
//     fleet, and deaths that are still being passed on when a partition heals have no effect.
//   - A message to a suspect or dead host always carries that state, so the host can refute it with a higher incarnation
//     even after it was paused or disconnected.
//   - Hosts compare digests of their tables at a low rate and exchange the members that differ. A death learned this way
//     is verified by a ping, so that the two halves of a healed partition do not declare each other dead.
//   - Dead members are pinged at a low rate for an hour, so that the halves of a partition find each other again.
//
// The platform's host list only seeds the table. A listed host counts as live once it, or a member that lists it, has
// answered.
//
// The package does no I/O: time and randomness are arguments, and results are returned as actions.
package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Settings configures a Table. Zero values are replaced by the defaults, which are given in parentheses.
type Settings struct {
	ProbeInterval        time.Duration // time between two probes (300 ms)
	DirectTimeout        time.Duration // time to wait for an ack before other members are asked to probe (130 ms)
	ProbeTimeout         time.Duration // time to wait for any ack before the member becomes suspect (400 ms)
	SuspicionTimeout     time.Duration // time to refute a suspicion (1.2 s)
	RemoteSuspicionDelay time.Duration // added to SuspicionTimeout if another host raised the suspicion (500 ms)
	SyncInterval         time.Duration // time between two syncs of equal tables (5 s)
	DeadPingInterval     time.Duration // time between two pings of dead members (2 s)
	DeadRetention        time.Duration // time for which a dead member is kept and pinged (1 h)
	LeftRetention        time.Duration // time for which a member that left is kept (10 min)
	PauseThreshold       time.Duration // gap between two ticks above which this host was paused (1 s)
	IndirectProbes       int           // number of members that are asked to probe (3)
	RetransmitFactor     int           // an update is sent RetransmitFactor × log2(members) times (1)
}

const (
	recheckInterval      = 50 * time.Millisecond  // time between two rechecks
	joinSyncInterval     = 50 * time.Millisecond  // time between two syncs of a host that is joining
	catchUpSyncInterval  = 200 * time.Millisecond // time between two syncs after an incomplete reply
	mismatchSyncInterval = 500 * time.Millisecond // time between two syncs while the tables differ
	maxJoinDuration      = 10 * time.Second       // joinSyncInterval is used for no longer than this
	bucketStep           = 27                     // distance between the first buckets of successive syncs, odd to reach all
	suspectPingInterval  = 300 * time.Millisecond // time between two pings of a suspect
	isolatedReadyDelay   = 3 * time.Second        // a host that receives no sync reply is ready after this time
	leavePings           = 8                      // members that are informed of a leave at once
	urgentPings          = 3                      // extra pings after a death or a leave
	urgentPingInterval   = 50 * time.Millisecond  // time between two of these pings
)

func (s Settings) withDefaults() Settings {
	s.ProbeInterval = cmp.Or(s.ProbeInterval, 300*time.Millisecond)
	s.DirectTimeout = cmp.Or(s.DirectTimeout, 130*time.Millisecond)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, 400*time.Millisecond)
	s.SuspicionTimeout = cmp.Or(s.SuspicionTimeout, 1200*time.Millisecond)
	s.RemoteSuspicionDelay = cmp.Or(s.RemoteSuspicionDelay, 500*time.Millisecond)
	s.SyncInterval = cmp.Or(s.SyncInterval, 5*time.Second)
	s.DeadPingInterval = cmp.Or(s.DeadPingInterval, 2*time.Second)
	s.DeadRetention = cmp.Or(s.DeadRetention, time.Hour)
	s.LeftRetention = cmp.Or(s.LeftRetention, 10*time.Minute)
	s.PauseThreshold = cmp.Or(s.PauseThreshold, time.Second)
	s.IndirectProbes = cmp.Or(s.IndirectProbes, 3)
	s.RetransmitFactor = cmp.Or(s.RetransmitFactor, 1)
	return s
}

// Member is a row of the member table.
type Member struct {
	ID            model.HostID
	DataCentre    model.DataCentre
	RPCAddress    string
	GossipAddress string
	Incarnation   model.Incarnation
	State         MemberState
	Payload       []byte    // last payload received from the member, or contained in the update that introduced it
	StateSince    time.Time // time of the last change of State
}

// IsLive reports whether the member may be given work. A suspect is live until it is declared dead.
func (m Member) IsLive() bool { return m.State == StateAlive || m.State == StateSuspect }

func (m Member) toUpdate() Update {
	u := Update{ID: m.ID, State: m.State, Incarnation: m.Incarnation}
	if m.State == StateAlive {
		u.DataCentre = m.DataCentre
		u.RPCAddress = m.RPCAddress
		u.GossipAddress = m.GossipAddress
		u.Payload = m.Payload
	}
	return u
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	ID            model.HostID
	DataCentre    model.DataCentre
	RPCAddress    string
	GossipAddress string
	Leaving       bool
}

// Action is an effect that the caller of the state machine has to carry out or to observe. Exactly one field is set.
type Action struct {
	Send   *Send
	Change *Change
}

// Send asks the caller to send a message in one datagram.
type Send struct {
	Address string
	Message Message
}

// Change reports that a member's state, incarnation or address changed. For this host itself it reports a refuted
// suspicion (StateAlive with a higher incarnation) or that the platform lists it as leaving (StateLeft).
type Change struct {
	PreviousState MemberState // StateUnknown for a new member
	Member        Member
}

// memberEntry is a member with its probing state.
type memberEntry struct {
	Member
	bucket            int    // index of its digest
	hash              uint64 // of the ID
	unconfirmed       bool   // only known from the host list
	suspicionDeadline time.Time
	ownSuspicion      bool      // raised by a failed probe of this host
	nextPing          time.Time // next ping of a suspect
	firstPing         time.Time // first ping since the member became suspect, or zero
}

// pendingProbe is a probe of this host without an ack.
type pendingProbe struct {
	target       model.HostID
	sentAt       time.Time
	indirectSent bool // other members were asked to probe
}

// proxiedPing is a ping sent on behalf of another host.
type proxiedPing struct {
	address  string
	sequence uint64
	expires  time.Time
}

// Table is the state machine of one host. It is not safe for concurrent use.
type Table struct {
	settings Settings
	self     Member
	leaving  bool
	started  time.Time
	lastTick time.Time
	synced   bool // the table can be used for placement, see Ready

	members       map[model.HostID]*memberEntry
	probeOrder    []model.HostID
	probePosition int
	suspects      map[model.HostID]*memberEntry
	deadMembers   []model.HostID // pinged at a low rate
	rechecks      []model.HostID // members whose state differs at another host
	listedLeaving map[model.HostID]bool
	bucketDigests [bucketCount]uint64 // without this host

	lastSequence    uint64
	probes          map[uint64]*pendingProbe
	proxiedPings    map[uint64]proxiedPing
	updates         updateQueue
	nextProbe       time.Time
	nextSync        time.Time
	nextDeadPing    time.Time
	nextPrune       time.Time
	nextRecheck     time.Time
	syncPartner     model.HostID // preferred partner of the next sync, if any
	syncInterval    time.Duration
	urgentPingsLeft int
	nextUrgentPing  time.Time
	syncBucket      uint8 // first bucket of the last sync
	joining         bool  // no complete sync reply has arrived and maxJoinDuration has not passed

	actions []Action
}

// New returns the table of a host that starts now. The incarnation of self must be greater than that of its earlier
// starts; the start time in nanoseconds satisfies this.
func New(now time.Time, self Member, settings Settings) *Table {
	self.State = StateAlive
	self.StateSince = now
	t := &Table{
		settings: settings.withDefaults(),
		self:     self,
		started:  now,
		lastTick: now,
		joining:  true,

		syncInterval:  joinSyncInterval,
		members:       map[model.HostID]*memberEntry{},
		suspects:      map[model.HostID]*memberEntry{},
		listedLeaving: map[model.HostID]bool{},
		probes:        map[uint64]*pendingProbe{},
		proxiedPings:  map[uint64]proxiedPing{},
	}
	t.updates.add(t.self.toUpdate())
	return t
}

// Self returns this host's own row.
func (t *Table) Self() Member { return t.self }

// SetPayload sets the payload of this host's messages. It is truncated to MaxPayload bytes.
func (t *Table) SetPayload(payload []byte) {
	t.self.Payload = slices.Clone(payload[:min(len(payload), MaxPayload)])
	t.updates.replace(t.self.toUpdate())
}

// Ready reports whether the table can be used for placement: it was compared with the table of another host, or
// isolatedReadyDelay (3 s) has passed since the start.
func (t *Table) Ready(now time.Time) bool {
	return t.synced || now.Sub(t.started) >= isolatedReadyDelay
}

// Members returns all members, including this host, ordered by ID. Hosts that are only known from the host list are
// left out.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members)+1)
	list = append(list, t.self)
	for _, e := range t.members {
		if !e.unconfirmed {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// LiveMembers returns the live members ordered by ID. It includes this host unless it is leaving.
func (t *Table) LiveMembers() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return !m.IsLive() })
}

// Get returns the row of a member.
func (t *Table) Get(id model.HostID) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if e := t.members[id]; e != nil && !e.unconfirmed {
		return e.Member, true
	}
	return Member{}, false
}

// Tick performs the work that is due. It should be called about every 50 ms.
func (t *Table) Tick(now time.Time, rng *rand.Rand) []Action {
	t.detectPause(now)
	t.synced = t.Ready(now)
	t.expireProbes(now, rng)
	t.checkSuspects(now)
	t.startProbe(now, rng)
	t.sendUrgentPing(now, rng)
	t.recheck(now)
	t.pingDead(now, rng)
	t.sendSync(now, rng)
	t.pruneMembers(now)
	return t.takeActions()
}

// HandleMessage processes a message received from the given address.
func (t *Table) HandleMessage(now time.Time, rng *rand.Rand, address string, m Message) []Action {
	if m.From == t.self.ID {
		return nil
	}
	selfDisputed := false
	for _, update := range m.Updates {
		selfDisputed = selfDisputed || update.ID == t.self.ID && update.State != StateAlive
		t.apply(now, rng, update, m.Kind == KindSyncReply)
	}
	if selfDisputed && t.self.State == StateAlive {
		t.sendSelf(address, m.From)
	}
	senderOutdated := t.applySender(now, m)
	switch m.Kind {
	case KindPing:
		t.handlePing(address, m, senderOutdated)
	case KindAck:
		t.handleAck(m)
	case KindPingRequest:
		t.handlePingRequest(now, address, m)
	case KindSync:
		t.handleSync(address, m)
	case KindSyncReply:
		t.handleSyncReply(m)
	}
	return t.takeActions()
}

// Leave announces that this host leaves. It should be called after ownership has been handed over. Tick and
// HandleMessage must still be called until the process ends.
func (t *Table) Leave(now time.Time, rng *rand.Rand) []Action {
	t.leaving = true
	t.self.State = StateLeft
	t.self.StateSince = now
	t.updates.add(t.self.toUpdate())
	for _, e := range t.randomLive(rng, leavePings, "") {
		t.ping(e, 0)
	}
	return t.takeActions()
}

// ApplyHostList adds the unknown hosts of the platform's host list to the table and marks hosts that are listed as
// leaving as left. A host is only marked once, so that an outdated list does not affect a later start of the host. An
// empty list has no effect.
func (t *Table) ApplyHostList(now time.Time, rng *rand.Rand, list []ListedHost) []Action {
	for _, host := range list {
		if host.Leaving {
			t.applyListedLeaving(now, rng, host)
			continue
		}
		delete(t.listedLeaving, host.ID)
		if host.ID == t.self.ID || t.members[host.ID] != nil {
			continue
		}
		e := t.addMember(rng, Member{ID: host.ID, DataCentre: host.DataCentre, RPCAddress: host.RPCAddress,
			GossipAddress: host.GossipAddress, State: StateAlive, StateSince: now})
		e.unconfirmed = true
		t.nextSync = now
	}
	return t.takeActions()
}

func (t *Table) applyListedLeaving(now time.Time, rng *rand.Rand, host ListedHost) {
	if t.listedLeaving[host.ID] {
		return
	}
	t.listedLeaving[host.ID] = true
	if host.ID == t.self.ID {
		t.apply(now, rng, Update{ID: host.ID, State: StateLeft, Incarnation: t.self.Incarnation}, false)
		return
	}
	if e := t.members[host.ID]; e != nil {
		t.apply(now, rng, Update{ID: host.ID, State: StateLeft, Incarnation: e.Incarnation}, false)
	}
}

func (t *Table) takeActions() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// detectPause drops the pending probes if this host was paused, because their acks may have been lost in its full
// receive buffer, and restarts the deadlines of the suspects, whose refutations could not be received.
func (t *Table) detectPause(now time.Time) {
	if now.Sub(t.lastTick) > t.settings.PauseThreshold {
		clear(t.probes)
		t.nextSync = now
		for _, e := range t.suspects {
			e.suspicionDeadline = now.Add(t.settings.SuspicionTimeout + t.settings.RemoteSuspicionDelay)
			e.nextPing = now
		}
	}
	t.lastTick = now
}

// addMember inserts a member at a random position among the probes that are still due in this round.
func (t *Table) addMember(rng *rand.Rand, m Member) *memberEntry {
	hash := xxhash.Sum64String(string(m.ID))
	e := &memberEntry{Member: m, hash: hash, bucket: int(hash % bucketCount)}
	t.members[m.ID] = e
	t.probeOrder = append(t.probeOrder, m.ID)
	last := len(t.probeOrder) - 1
	index := t.probePosition + rng.IntN(last-min(t.probePosition, last)+1)
	t.probeOrder[index], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[index]
	return e
}

func (t *Table) pruneMembers(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(10 * time.Second)
	for id, e := range t.members {
		age := now.Sub(e.StateSince)
		if e.State == StateDead && age > t.settings.DeadRetention || e.State == StateLeft && age > t.settings.LeftRetention {
			delete(t.members, id)
		}
	}
	pruned := func(id model.HostID) bool { return t.members[id] == nil }
	t.probeOrder = slices.DeleteFunc(t.probeOrder, pruned)
	t.probePosition = min(t.probePosition, len(t.probeOrder))
	t.deadMembers = slices.DeleteFunc(t.deadMembers, pruned)
}

func (t *Table) maxTransmissions() int {
	return t.settings.RetransmitFactor * bits.Len(uint(len(t.members)+1))
}

func (t *Table) emitChange(previous MemberState, m Member) {
	t.actions = append(t.actions, Action{Change: &Change{PreviousState: previous, Member: m}})
}
