// Package freshness decides whether a host may serve keyed requests, that is, whether its configuration and roster were
// current at most MaxProofAge (5 s) ago.
//
// A host serves with a store proof or with an outage proof. A store proof is a read of the document's version in the store,
// made by the host itself or relayed by another host. Its age counts from the moment the read was sent, and every hop adds
// the longest time that the proof may have been in transit, so an age is never too small. An outage proof is a majority of
// the roster's hosts that voted, within MaxProofAge, that they have no contact with the store and that no change is
// pending at them.
//
// No host serves with a version that was replaced more than MaxProofAge ago. A store proof older than MaxProofAge is not
// used. For an outage proof, suppose that version v+1 of a document was accepted. Before the swap was sent, a majority of
// the roster acknowledged its announcement. None of these hosts votes for an outage until it holds v+1 or has read from
// the store, at a time when the swap can no longer take effect, that the swap failed. Any other majority contains one of
// these hosts, so a majority of votes cast after the acceptance contains a host that holds v+1. Every vote names the
// versions that its host holds, and an outage proof counts only for hosts that hold at least these versions. Votes cast
// before the acceptance have expired once MaxProofAge has passed since the acceptance.
//
// Four further rules close gaps that this argument would otherwise have:
//
//   - A host may lose an acknowledgement when it restarts, so its start counts as an announcement of any change. This does
//     not apply if the host still has the incarnation under which the roster lists it, because it has lost nothing.
//   - The swap is sent at most MaxSwapDelay after the announcement, since announcements expire.
//   - Majorities of two different rosters need not share a host. A host therefore acknowledges a change of one document
//     only while no change of the other one is pending at it, and only for the roster that it holds. After a host has
//     activated a roster, it does not vote until it has a store proof for the configuration from a later read: that read
//     shows every change that was accepted under the earlier roster.
//   - A vote travels with a child's request to its parent, and the parent cannot tell how long a request was delayed. The
//     parent therefore numbers its answers, and a vote counts from the time at which the parent sent the answer that the
//     child's request names.
//
// Votes are combined along the relay tree as bitmaps over the roster, 103 bytes for 820 hosts. Counts would not be
// sufficient: when hosts see different trees or a child changes its parent, one host's vote arrives by two paths, and a sum
// would count it twice and could produce a majority that does not exist. A bitmap has one age, that of its oldest vote.
//
// The package performs no I/O: the time is an argument, and the caller sends all messages. Clocks are only assumed to run
// at the right rate within 1%.
package freshness

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MaxProofAge is the greatest age of a proof with which a host serves.
	MaxProofAge = 5 * time.Second
	// MaxSwapDelay is the time after an announcement within which its swap must be sent to the store.
	MaxSwapDelay = 5 * time.Second
	// MaxSwapDuration is the time after which a swap that was sent can no longer take effect.
	MaxSwapDuration = 30 * time.Second
	// Quarantine is the time after an announcement from which a store proof shows whether the swap has failed:
	// MaxSwapDelay plus MaxSwapDuration plus 1 s for clocks whose rates differ by 2%.
	Quarantine = MaxSwapDelay + MaxSwapDuration + time.Second
	// OutageVoteAge is the age of the store proof at which a host begins to vote for an outage. Votes need up to 2.5 s
	// through the relay tree, so they arrive before the store proofs reach MaxProofAge.
	OutageVoteAge = 2 * time.Second

	servingAgeLimit    = MaxProofAge - MaxProofAge/50 // MaxProofAge on a clock that is 1% slow, less 1% for the measured ages
	pollHold           = time.Second                  // longest hold of a poll while store proofs arrive
	outagePollHold     = 400 * time.Millisecond       // the same during an outage, when votes pass up the tree with the polls
	storeProofGain     = 800 * time.Millisecond       // a store proof that is newer by this much ends the hold of a poll
	outageProofGain    = 300 * time.Millisecond       // the same for outage proofs
	voteRetention      = 1200 * time.Millisecond      // lifetime of a child's votes; those of a lost child would age the others
	confirmationPeriod = 10 * time.Second             // reports carry confirmations for this long after the last new one
)

// Document identifies one of the two documents in the store.
type Document uint8

const (
	// Configuration is the operators' document.
	Configuration Document = iota
	// Roster is the list of hosts with their share slots.
	Roster

	documentCount = 2
)

// Versions holds one version for each document. Version 0 means that there is none.
type Versions [documentCount]uint64

// covers reports whether no version in v is older than the one in w.
func (v Versions) covers(w Versions) bool { return v[0] >= w[0] && v[1] >= w[1] }

// merge returns the newer version of each document.
func (v Versions) merge(w Versions) Versions { return Versions{max(v[0], w[0]), max(v[1], w[1])} }

// VotingHosts is the part of the roster that majorities are counted over.
type VotingHosts struct {
	Version uint64
	IDs     []model.HostID
	// Incarnations holds each host's incarnation at its registration in the roster. It may be nil if they are unknown.
	Incarnations []model.Incarnation
}

// Majority returns the number of hosts that form a majority.
func (h VotingHosts) Majority() int { return len(h.IDs)/2 + 1 }

// ProofKind is the kind of a Proof.
type ProofKind uint8

const (
	// ProofNone means that there is no proof.
	ProofNone ProofKind = iota
	// ProofStore is a read of the store, made by the host itself or relayed.
	ProofStore
	// ProofOutage is a majority of votes for an outage of the store.
	ProofOutage
)

// String returns the name of the kind.
func (k ProofKind) String() string { return [...]string{"none", "store", "outage"}[k] }

// Proof is the result of checking whether a host may serve keyed requests.
type Proof struct {
	Kind       ProofKind
	Age        time.Duration // of the newest proof, even if it is too old to serve with
	ValidUntil time.Time     // the host may serve before this time without checking again
	Valid      bool
}

// storeRead is a version that the store returned to a call sent at sentAt.
type storeRead struct {
	version uint64
	sentAt  time.Time
}

// outageProof is a majority of outage votes. It applies to hosts that hold at least the given versions.
type outageProof struct {
	versions Versions
	at       time.Time // time of the oldest vote
}

// pendingChanges holds the reasons why a host must not vote for an outage: its recent start and the announced changes
// of a document.
type pendingChanges struct {
	startQuarantine bool // a change may have been acknowledged before the start
	startedAt       time.Time
	announced       map[uint64]announcedChange // by announcement ID
}

// announcedChange is a change that was announced to this host.
type announcedChange struct {
	version uint64
	at      time.Time
}

func (p pendingChanges) active() bool { return p.startQuarantine || len(p.announced) > 0 }

// voteSet is a set of outage votes, such as those of the subtree of one child.
type voteSet struct {
	hosts      bitmap
	versions   Versions
	oldestAt   time.Time // time of the oldest vote in the set
	receivedAt time.Time
	fromPeer   bool // sent by another root
}

// issuedAnswer is the last answer that was sent to a child.
type issuedAnswer struct {
	token  uint64
	sentAt time.Time
}

// Host is the freshness state of one host. It is not safe for concurrent use.
type Host struct {
	self         model.HostID
	incarnation  model.Incarnation
	rosterIndex  int // index of this host in the roster, -1 if it is not listed
	hosts        VotingHosts
	rosterSetAt  time.Time
	held         Versions
	storeProofs  [documentCount]storeRead // newest read whose version is held
	futureReads  [documentCount]storeRead // newest read whose version is not held yet
	pending      [documentCount]pendingChanges
	outage       outageProof
	futureOutage outageProof // newest outage proof for versions that are not held yet

	childVotes    map[model.HostID]voteSet
	issuedAnswers map[model.HostID]issuedAnswer
	lastToken     uint64

	confirmed          bitmap // hosts known to hold the same configuration as this host
	confirmedChangedAt time.Time

	disabledRules ruleSet
}

// ruleSet names rules that tests disable to show that each of them is needed.
type ruleSet struct {
	withheldVotes   bool // votes are withheld while a change is pending
	startQuarantine bool // a start counts as an announcement
	relayAges       bool // every relay hop adds its transit time to ages
	serialChanges   bool // changes of the two documents are serialised
	proofVersions   bool // an outage proof counts only for hosts that hold its versions
}

// New returns the state of a host that starts now with the given incarnation.
func New(now time.Time, self model.HostID, incarnation model.Incarnation) *Host {
	h := &Host{
		self:          self,
		incarnation:   incarnation,
		rosterIndex:   -1,
		childVotes:    map[model.HostID]voteSet{},
		issuedAnswers: map[model.HostID]issuedAnswer{},
		lastToken:     uint64(incarnation),
	}
	for d := range h.pending {
		h.pending[d] = pendingChanges{startQuarantine: true, startedAt: now, announced: map[uint64]announcedChange{}}
	}
	return h
}

// HeldVersions returns the versions that are active on this host.
func (h *Host) HeldVersions() Versions { return h.held }

// SetConfiguration records that a version of the configuration is active on this host. Versions older than the current
// one are ignored.
func (h *Host) SetConfiguration(now time.Time, version uint64) {
	if version <= h.held[Configuration] {
		return
	}
	h.held[Configuration] = version
	h.confirmed = newBitmap(len(h.hosts.IDs))
	h.confirmSelf(now)
	h.applyFutureProofs(now)
}

// SetRoster records that a roster is active on this host. Versions older than the current one are ignored.
func (h *Host) SetRoster(now time.Time, hosts VotingHosts) {
	if hosts.Version <= h.held[Roster] {
		return
	}
	h.held[Roster] = hosts.Version
	h.hosts = hosts
	h.rosterSetAt = now
	h.rosterIndex = slices.Index(hosts.IDs, h.self)
	clear(h.childVotes)
	h.confirmed = newBitmap(len(hosts.IDs))
	h.confirmSelf(now)
	if h.rosterIndex >= 0 && h.rosterIndex < len(hosts.Incarnations) && hosts.Incarnations[h.rosterIndex] == h.incarnation {
		h.endStartQuarantine()
	}
	h.applyFutureProofs(now)
}

// endStartQuarantine lifts the start quarantine. The roster must show that this host has not restarted since it was
// registered.
func (h *Host) endStartQuarantine() {
	for d := range h.pending {
		h.pending[d].startQuarantine = false
	}
}

func (h *Host) confirmSelf(now time.Time) {
	if h.rosterIndex >= 0 && h.held[Configuration] > 0 {
		h.confirmed.set(h.rosterIndex)
	}
	h.confirmedChangedAt = now
}

// ConfirmedHosts returns the configuration version that this host holds and the hosts of its subtree known to hold it
// too. On a root it covers the subtrees of all roots.
func (h *Host) ConfirmedHosts() (uint64, []model.HostID) {
	var ids []model.HostID
	for i, id := range h.hosts.IDs {
		if h.confirmed.has(i) {
			ids = append(ids, id)
		}
	}
	return h.held[Configuration], ids
}

// RecordStoreRead records that a call sent to the store at the given time returned this version of the document, or 0
// if the store has none. It must also be called for reads that show no change and for answers of watches.
func (h *Host) RecordStoreRead(now time.Time, document Document, sent time.Time, version uint64) {
	h.applyRead(now, document, storeRead{version: version, sentAt: sent})
}

// applyRead stores a read if it is newer than the last one. A read of a version that is not held yet is kept until the
// document arrives.
func (h *Host) applyRead(now time.Time, d Document, r storeRead) {
	if r.sentAt.IsZero() || r.sentAt.After(now) {
		return
	}
	if r.version > h.held[d] {
		if r.sentAt.After(h.futureReads[d].sentAt) {
			h.futureReads[d] = r
		}
		return
	}
	if !r.sentAt.After(h.storeProofs[d].sentAt) {
		return
	}
	h.storeProofs[d] = r
	h.resolveAnnouncements(d, r)
}

// resolveAnnouncements removes the announcements of changes whose outcome the read shows.
func (h *Host) resolveAnnouncements(d Document, r storeRead) {
	p := &h.pending[d]
	if !r.sentAt.Before(p.startedAt.Add(Quarantine)) {
		p.startQuarantine = false
	}
	for id, a := range p.announced {
		if r.version >= a.version || !r.sentAt.Before(a.at.Add(Quarantine)) {
			delete(p.announced, id)
		}
	}
}

// applyFutureProofs applies the proofs that were kept for a document that has arrived.
func (h *Host) applyFutureProofs(now time.Time) {
	for d := range documentCount {
		h.applyRead(now, Document(d), h.futureReads[d])
	}
	h.applyOutageProof(h.futureOutage)
}

// ServingProof returns the newest proof. It is valid if the host may serve keyed requests now.
func (h *Host) ServingProof(now time.Time) Proof {
	if len(h.hosts.IDs) == 1 {
		h.countOutageVotes(now) // a single host receives no reports
	}
	store := Proof{Kind: ProofStore, Age: h.storeAge(now)}
	best := store
	if !h.outage.at.IsZero() && (h.held.covers(h.outage.versions) || h.disabledRules.proofVersions) {
		if age := now.Sub(h.outage.at); age < store.Age {
			best = Proof{Kind: ProofOutage, Age: age}
		}
	}
	best.Valid = best.Age < servingAgeLimit && h.held[Configuration] > 0
	best.ValidUntil = now.Add(servingAgeLimit - best.Age)
	if best.Age == noProofAge {
		best.Kind = ProofNone
		best.ValidUntil = time.Time{}
	}
	return best
}

// noProofAge stands for the age of a missing proof.
const noProofAge = 1000 * time.Hour

// storeAge returns the age of the older of the two store proofs. The absence of a roster needs a proof too, a read
// that found version 0; otherwise a host that has just started could miss the roster.
func (h *Host) storeAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for d := range documentCount {
		if h.storeProofs[d].sentAt.IsZero() {
			return noProofAge
		}
		oldest = max(oldest, now.Sub(h.storeProofs[d].sentAt))
	}
	return min(oldest, noProofAge)
}

// MayVoteOutage reports whether the host may vote that it has no contact with the store and that no change is pending.
func (h *Host) MayVoteOutage(now time.Time) bool {
	if h.rosterIndex < 0 || h.held[Configuration] == 0 || h.storeAge(now) < OutageVoteAge {
		return false
	}
	for _, p := range h.pending {
		if p.startQuarantine && !h.disabledRules.startQuarantine || len(p.announced) > 0 && !h.disabledRules.withheldVotes {
			return false
		}
	}
	return h.disabledRules.serialChanges || h.storeProofs[Configuration].sentAt.After(h.rosterSetAt)
}

// applyOutageProof stores an outage proof if it is newer than the last one. A proof for versions that are not held yet
// is kept until they are.
func (h *Host) applyOutageProof(o outageProof) {
	if !h.held.covers(o.versions) && !h.disabledRules.proofVersions {
		if o.at.After(h.futureOutage.at) {
			h.futureOutage = o
		}
		return
	}
	if o.at.After(h.outage.at) {
		h.outage = o
	}
}
