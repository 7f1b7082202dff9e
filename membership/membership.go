// Package membership is the SWIM state machine that tells which hosts are alive.
//
// Every host probes one random member at a time and asks three others to probe a member that doesn't answer. A member
// that still doesn't answer becomes suspect, and dead when it doesn't refute the suspicion in time. Changes ride on the
// probe messages. Four rules differ from plain SWIM:
//
//   - Only evidence from one's own pings makes a member dead: a host that only heard of a suspicion or a death pings the
//     member itself before it gives up on it. Lost datagrams therefore don't add up to a false death in a large fleet,
//     and deaths that are still being passed on when a partition heals do no harm.
//   - A message to a host that is believed to be suspect or dead always carries that claim, so the host can refute it
//     with a higher incarnation even when it was paused or cut off.
//   - Hosts compare digests of their tables at a low rate and exchange the members that differ. A death that is learned
//     this way is checked by a ping and not believed, so that two halves of a healed partition don't bury each other.
//   - Dead members are pinged at a low rate for an hour, so that the halves find each other again.
//
// The platform's host list only seeds the table. A listed host counts as live after it, or a member that knows it, has
// answered.
//
// The package is pure: time and randomness are arguments, and what has to be done comes back as actions.
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

// Settings are the timings of the state machine. Zero values are replaced by the defaults.
type Settings struct {
	ProbeInterval        time.Duration // time between two probes (300 ms)
	DirectTimeout        time.Duration // time for the ack before others are asked to probe (130 ms)
	ProbeTimeout         time.Duration // time for any ack before the member becomes suspect (400 ms)
	SuspicionTimeout     time.Duration // time to refute a suspicion (1.2 s)
	RemoteSuspicionDelay time.Duration // added to the suspicion period when the suspicion comes from another host (500 ms)
	SyncInterval         time.Duration // time between two comparisons of tables (5 s)
	DeadPingInterval     time.Duration // time between two pings of dead members (2 s)
	DeadRetention        time.Duration // time for which a dead member is remembered and retried (1 h)
	LeftRetention        time.Duration // time for which a member that left is remembered (10 min)
	PauseThreshold       time.Duration // gap between two ticks that shows that this host was paused (1 s)
	IndirectProbes       int           // members that are asked to probe (3)
	RetransmitFactor     int           // an update is sent RetransmitFactor × log2(members) times (1)
}

const (
	recheckPause  = 50 * time.Millisecond  // time between two rechecks
	joinPause     = 50 * time.Millisecond  // time between two syncs of a host that has just started
	catchUpPause  = 200 * time.Millisecond // time between two syncs while members were left out
	differPause   = 500 * time.Millisecond // time between two syncs while the tables differ
	joinLimit     = 10 * time.Second       // a host syncs at the pace of joinPause for no longer than this
	groupStep     = 27                     // distance of the groups that successive syncs start with, odd to reach all
	suspectPings  = 300 * time.Millisecond
	readyAfter    = 3 * time.Second // a host that hears from nobody is ready after this time
	leaveMessages = 8               // members that are told of a leave at once
	urgentPings   = 3               // extra pings that spread a death or a leave
	urgentPause   = 50 * time.Millisecond
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

// Member is one row of the member table.
type Member struct {
	ID            model.HostID
	DataCentre    model.DataCentre
	RPCAddress    string
	GossipAddress string
	Incarnation   model.Incarnation
	State         MemberState
	Payload       []byte    // last payload that the member sent to this host, or that came with its introduction
	StateSince    time.Time // time of the last change of State
}

// Live reports whether the member may be given work. A suspect counts as live until it is declared dead.
func (m Member) IsLive() bool { return m.State == StateAlive || m.State == StateSuspect }

func (m Member) update() Update {
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

// Action is one thing that the caller of the state machine has to do or may want to know. Exactly one field is set.
type Action struct {
	Send   *Send
	Change *Change
}

// Send asks the caller to send a message in one datagram.
type Send struct {
	Address string
	Message Message
}

// Change tells that a member's state, incarnation or address changed. For this host itself it tells of a refuted
// suspicion (StateAlive with a higher incarnation) or that the platform wants it to leave (StateLeft).
type Change struct {
	PreviousState MemberState // StateUnknown for a new member
	Member        Member
}

type entry struct {
	Member
	bucket     int    // group in the digests
	hash       uint64 // of the id
	listed     bool   // seeded from the host list and not yet confirmed
	deadline   time.Time
	ownSuspect bool      // the suspicion came from a probe of this host
	nextPing   time.Time // next ping of a suspect
	firstPing  time.Time // first ping since it became suspect, zero before that
}

type probe struct {
	target   model.HostID
	sent     time.Time
	indirect bool // other members were asked
}

type proxied struct {
	address  string
	sequence uint64
	expires  time.Time
}

// Table is the state machine of one host. Use it from one goroutine.
type Table struct {
	settings Settings
	self     Member
	leaving  bool
	started  time.Time
	lastTick time.Time
	synced   bool

	members  map[model.HostID]*entry
	order    []model.HostID // probe order
	position int
	suspects map[model.HostID]*entry
	dead     []model.HostID // members that are retried
	rechecks []model.HostID // members whose state another host sees differently
	leftList map[model.HostID]bool
	sums     [digestBuckets]uint64 // digests of the groups, this host left out

	sequence  uint64
	probes    map[uint64]*probe
	proxies   map[uint64]proxied
	queue     updateQueue
	nextProbe time.Time
	nextSync  time.Time
	nextRetry time.Time
	nextPrune time.Time
	nextCheck time.Time
	syncWith  model.HostID // preferred partner of the next sync
	syncPause time.Duration
	urgent    int // extra pings still to be sent
	nextExtra time.Time
	group     uint8 // group that the next sync starts with
	joining   bool  // no host with a complete table has sent everything yet

	actions []Action
}

// New returns the table of a host that starts now. The incarnation of self must be greater than that of its earlier
// starts; the start time in nanoseconds serves.
func New(now time.Time, self Member, settings Settings) *Table {
	self.State = StateAlive
	self.StateSince = now
	t := &Table{
		settings: settings.withDefaults(),
		self:     self,
		started:  now,
		lastTick: now,
		joining:  true,

		syncPause: joinPause,
		members:   map[model.HostID]*entry{},
		suspects:  map[model.HostID]*entry{},
		leftList:  map[model.HostID]bool{},
		probes:    map[uint64]*probe{},
		proxies:   map[uint64]proxied{},
	}
	t.queue.add(t.self.update())
	return t
}

// Self returns this host's own row.
func (t *Table) Self() Member { return t.self }

// SetPayload sets the payload that this host's messages carry, at most MaxPayload bytes.
func (t *Table) SetPayload(payload []byte) {
	t.self.Payload = slices.Clone(payload[:min(len(payload), MaxPayload)])
	t.queue.replace(t.self.update())
}

// Ready reports whether the table can be used for placement: it was compared with another host's, or nobody answered
// for three seconds after the start.
func (t *Table) Ready(now time.Time) bool {
	return t.synced || now.Sub(t.started) >= readyAfter
}

// Members returns all known members, this host included, ordered by id. Hosts that are only known from the host list
// are left out.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members)+1)
	list = append(list, t.self)
	for _, e := range t.members {
		if !e.listed {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Live returns the live members, this host included, ordered by id. This host is left out once it leaves.
func (t *Table) LiveMembers() []Member {
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return !m.IsLive() })
}

// Get returns the row of a member.
func (t *Table) Get(id model.HostID) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	if e := t.members[id]; e != nil && !e.listed {
		return e.Member, true
	}
	return Member{}, false
}

// Tick does what is due. Call it about every 50 ms.
func (t *Table) Tick(now time.Time, rng *rand.Rand) []Action {
	t.noticePause(now)
	t.synced = t.Ready(now)
	t.expireProbes(now, rng)
	t.checkSuspects(now)
	t.startProbe(now, rng)
	t.sendUrgent(now, rng)
	t.recheck(now)
	t.retryDead(now, rng)
	t.startSync(now, rng)
	t.prune(now)
	return t.take()
}

// Handle processes a message that came from the address.
func (t *Table) HandleMessage(now time.Time, rng *rand.Rand, address string, m Message) []Action {
	if m.From == t.self.ID {
		return nil
	}
	claimed := false
	for _, update := range m.Updates {
		claimed = claimed || update.ID == t.self.ID && update.State != StateAlive
		t.apply(now, rng, update, m.Kind == KindSyncReply)
	}
	if claimed && t.self.State == StateAlive {
		t.introduce(address, m.From)
	}
	stale := t.hearSender(now, m)
	switch m.Kind {
	case KindPing:
		t.answerPing(address, m, stale)
	case KindAck:
		t.handleAck(m)
	case KindPingRequest:
		t.proxyPing(now, address, m)
	case KindSync:
		t.answerSync(address, m)
	case KindSyncReply:
		t.afterSync(m)
	}
	return t.take()
}

// Leave announces that this host leaves. Call it after ownership has been handed over, and keep calling Tick and Handle
// until the process ends.
func (t *Table) Leave(now time.Time, rng *rand.Rand) []Action {
	t.leaving = true
	t.self.State = StateLeft
	t.self.StateSince = now
	t.queue.add(t.self.update())
	for _, e := range t.pick(rng, leaveMessages, "") {
		t.ping(e, 0)
	}
	return t.take()
}

// HostList takes over the platform's list. Unknown hosts are probed. A host that appears as leaving is marked as left;
// this is done once, so that a list that lags behind doesn't hold back a later start of the host. An empty list changes
// nothing.
func (t *Table) ApplyHostList(now time.Time, rng *rand.Rand, list []ListedHost) []Action {
	for _, host := range list {
		if host.Leaving {
			t.listedLeaving(now, rng, host)
			continue
		}
		delete(t.leftList, host.ID)
		if host.ID == t.self.ID || t.members[host.ID] != nil {
			continue
		}
		e := t.add(rng, Member{ID: host.ID, DataCentre: host.DataCentre, RPCAddress: host.RPCAddress,
			GossipAddress: host.GossipAddress, State: StateAlive, StateSince: now})
		e.listed = true
		t.nextSync = now
	}
	return t.take()
}

func (t *Table) listedLeaving(now time.Time, rng *rand.Rand, host ListedHost) {
	if t.leftList[host.ID] {
		return
	}
	t.leftList[host.ID] = true
	if host.ID == t.self.ID {
		t.apply(now, rng, Update{ID: host.ID, State: StateLeft, Incarnation: t.self.Incarnation}, false)
		return
	}
	if e := t.members[host.ID]; e != nil {
		t.apply(now, rng, Update{ID: host.ID, State: StateLeft, Incarnation: e.Incarnation}, false)
	}
}

func (t *Table) take() []Action {
	actions := t.actions
	t.actions = nil
	return actions
}

// noticePause drops the probes of a host that was paused: their acks may have been lost in its full receive buffer, and
// suspects had no chance to be heard.
func (t *Table) noticePause(now time.Time) {
	if now.Sub(t.lastTick) > t.settings.PauseThreshold {
		clear(t.probes)
		t.nextSync = now
		for _, e := range t.suspects {
			e.deadline = now.Add(t.settings.SuspicionTimeout + t.settings.RemoteSuspicionDelay)
			e.nextPing = now
		}
	}
	t.lastTick = now
}

// add inserts a member and gives it a random place among the probes that are still due in this round.
func (t *Table) add(rng *rand.Rand, m Member) *entry {
	hash := xxhash.Sum64String(string(m.ID))
	e := &entry{Member: m, hash: hash, bucket: int(hash % digestBuckets)}
	t.members[m.ID] = e
	t.order = append(t.order, m.ID)
	last := len(t.order) - 1
	place := t.position + rng.IntN(last-min(t.position, last)+1)
	t.order[place], t.order[last] = t.order[last], t.order[place]
	return e
}

func (t *Table) prune(now time.Time) {
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
	gone := func(id model.HostID) bool { return t.members[id] == nil }
	t.order = slices.DeleteFunc(t.order, gone)
	t.position = min(t.position, len(t.order))
	t.dead = slices.DeleteFunc(t.dead, gone)
}

func (t *Table) retransmits() int {
	return t.settings.RetransmitFactor * bits.Len(uint(len(t.members)+1))
}

func (t *Table) changed(previous MemberState, m Member) {
	t.actions = append(t.actions, Action{Change: &Change{PreviousState: previous, Member: m}})
}
