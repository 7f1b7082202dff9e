package freshness

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Report is sent by a child to its parent with each poll.
type Report struct {
	Held      Versions // versions that are active on the child
	StoreAge  uint32   // age of the child's store proof in ms, 0 if there is none
	OutageAge uint32   // age of the child's outage proof in ms, 0 if there is none
	Peer      bool     // sender and receiver are both roots
	Token     uint64   // token of the parent's last answer
	Waited    uint32   // time since that answer was received, in ms
	Outage    []byte   // bitmap of the outage votes in the child's subtree, empty if there are none
	SetAge    uint32   // age of the oldest of these votes in ms
	Versions  Versions // greatest versions that the voting hosts hold
	Confirmed []byte   // hosts of the subtree that hold the configuration in Held; only sent for a while after a change
}

// Answer is a parent's answer to a poll.
type Answer struct {
	Token    uint64 // identifies this answer in the child's next report
	Waited   uint32 // time for which the poll was held, in ms
	Held     Versions
	Store    Versions              // versions in the parent's store proofs
	StoreAge [documentCount]uint32 // ages of these proofs in ms, 0 if there is none
	Outage   Versions              // versions that a host must hold to use the outage proof
	// OutageAge is the age of the outage proof in ms, 0 if there is none.
	OutageAge uint32
}

// RelayLink is the child's end of the relay connection to one parent.
type RelayLink struct {
	Parent model.HostID
	Peer   bool // both hosts are roots

	token      uint64
	receivedAt time.Time
}

// ageMillis rounds an age up, so that it never looks smaller, and returns 0 for a missing proof.
func ageMillis(age time.Duration) uint32 {
	if age >= noProofAge {
		return 0
	}
	return uint32(max(1, (age+time.Millisecond-1)/time.Millisecond))
}

// waitMillis rounds down a time that will be subtracted from an age.
func waitMillis(d time.Duration) uint32 { return uint32(max(0, d) / time.Millisecond) }

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// maxTransitTime returns an upper bound of the time that a message was in transit: the time since the request was
// sent, less the time for which the other side reports having kept it. The rates of the two clocks may differ by 2%.
func maxTransitTime(elapsed time.Duration, heldFor uint32) time.Duration {
	return max(0, elapsed-fromMillis(heldFor)) + elapsed/50
}

// Report returns the next report for a link. It must be sent at once.
func (h *Host) Report(now time.Time, link *RelayLink) Report {
	r := Report{Held: h.held, Peer: link.Peer, Token: link.token}
	if link.token != 0 {
		r.Waited = waitMillis(now.Sub(link.receivedAt))
	}
	r.StoreAge = ageMillis(h.storeAge(now))
	if !h.outage.at.IsZero() && now.Sub(h.outage.at) < MaxProofAge {
		r.OutageAge = ageMillis(now.Sub(h.outage.at))
	}
	if set, any := h.subtreeVotes(now, link); any {
		r.Outage = set.hosts.encode()
		r.SetAge = ageMillis(now.Sub(set.oldestAt))
		r.Versions = set.versions
	}
	if h.confirmed != nil && now.Sub(h.confirmedChangedAt) < confirmationPeriod {
		r.Confirmed = h.confirmed.encode()
	}
	return r
}

// subtreeVotes combines the votes of this host and of its children. Votes that came from the receiver, or between
// roots from another root, are left out. The freshest sets come first, and a set that adds no host is skipped, so that
// an echo of this host's own vote does not make the result older. The second result is false if there are no votes.
func (h *Host) subtreeVotes(now time.Time, link *RelayLink) (voteSet, bool) {
	merged := voteSet{hosts: newBitmap(len(h.hosts.IDs)), oldestAt: now}
	for _, set := range h.freshVotes(now, func(from model.HostID, set voteSet) bool {
		return from != link.Parent && !(link.Peer && set.fromPeer)
	}) {
		merged.add(set)
	}
	return merged, merged.hosts.count() > 0
}

// add merges the votes of another set. It ignores a set that contains no new host.
func (s *voteSet) add(other voteSet) {
	if s.hosts.merge(other.hosts) {
		s.versions = s.versions.merge(other.versions)
		if other.oldestAt.Before(s.oldestAt) {
			s.oldestAt = other.oldestAt
		}
	}
}

// freshVotes returns this host's own vote and the selected child sets, the freshest first.
func (h *Host) freshVotes(now time.Time, selected func(model.HostID, voteSet) bool) []voteSet {
	var sets []voteSet
	if h.MayVoteOutage(now) {
		own := voteSet{hosts: newBitmap(len(h.hosts.IDs)), versions: h.held, oldestAt: now}
		own.hosts.set(h.rosterIndex)
		sets = append(sets, own)
	}
	for from, set := range h.childVotes {
		if now.Sub(set.receivedAt) >= voteRetention || now.Sub(set.oldestAt) >= MaxProofAge {
			delete(h.childVotes, from)
			continue
		}
		if selected(from, set) {
			sets = append(sets, set)
		}
	}
	slices.SortFunc(sets, func(a, b voteSet) int {
		if order := b.oldestAt.Compare(a.oldestAt); order != 0 {
			return order
		}
		return slices.Compare(a.hosts, b.hosts) // map iteration has no fixed order
	})
	return sets
}

// countOutageVotes creates an outage proof if the votes at this host are a majority.
func (h *Host) countOutageVotes(now time.Time) {
	if len(h.childVotes) == 0 && len(h.hosts.IDs) > 1 || len(h.hosts.IDs) == 0 || h.storeAge(now) < OutageVoteAge {
		return
	}
	total := voteSet{hosts: newBitmap(len(h.hosts.IDs)), oldestAt: now}
	for _, set := range h.freshVotes(now, func(model.HostID, voteSet) bool { return true }) {
		total.add(set)
		if total.hosts.count() >= h.hosts.Majority() {
			h.applyOutageProof(outageProof{versions: total.versions, at: total.oldestAt})
			return
		}
	}
}

// HandleReport processes a child's report when its poll arrives.
func (h *Host) HandleReport(now time.Time, from model.HostID, r Report) {
	h.mergeConfirmed(now, r)
	last := h.issuedAnswers[from]
	if r.Token == 0 || r.Token != last.token {
		return // the age of a report is only known relative to an answer
	}
	transit := maxTransitTime(now.Sub(last.sentAt), r.Waited)
	if h.disabledRules.relayAges {
		transit = 0
	}
	hosts, valid := decodeBitmap(r.Outage, len(h.hosts.IDs))
	if !valid || r.Versions[Roster] != h.held[Roster] || h.held[Roster] == 0 {
		delete(h.childVotes, from)
		return
	}
	h.childVotes[from] = voteSet{
		hosts:      hosts,
		versions:   r.Versions,
		oldestAt:   now.Add(-transit - fromMillis(r.SetAge)),
		receivedAt: now,
		fromPeer:   r.Peer,
	}
	h.countOutageVotes(now)
}

// mergeConfirmed adds the hosts that a child has confirmed to hold the same versions as this host.
func (h *Host) mergeConfirmed(now time.Time, r Report) {
	if r.Held != h.held || len(r.Confirmed) == 0 {
		return
	}
	if hosts, valid := decodeBitmap(r.Confirmed, len(h.hosts.IDs)); valid && h.confirmed.merge(hosts) {
		h.confirmedChangedAt = now
	}
}

// ShouldAnswer reports whether a held poll that arrived at the given time should be answered now: because this host
// holds a newer document or a proof that is newer by a fixed step, or because the poll was held long enough. The early
// answer lets a store read pass through the whole tree without waiting at every hop.
func (h *Host) ShouldAnswer(now, received time.Time, r Report) bool {
	held := now.Sub(received)
	if !r.Held.covers(h.held) {
		return true
	}
	storeAge := h.storeAge(now)
	if storeAge < OutageVoteAge {
		childAge := held + fromMillis(r.StoreAge)
		return held >= pollHold || r.StoreAge == 0 || childAge-storeAge >= storeProofGain
	}
	if held >= outagePollHold {
		return true
	}
	childAge := held + fromMillis(r.OutageAge)
	return !h.outage.at.IsZero() && (r.OutageAge == 0 && held >= outageProofGain/2 ||
		childAge-now.Sub(h.outage.at) >= outageProofGain)
}

// Answer returns the answer to a poll that arrived at the given time. It must be sent at once; any delay counts as
// transit time.
func (h *Host) Answer(now, received time.Time, to model.HostID) Answer {
	h.lastToken++
	h.issuedAnswers[to] = issuedAnswer{token: h.lastToken, sentAt: now}
	a := Answer{Token: h.lastToken, Waited: waitMillis(now.Sub(received)), Held: h.held}
	for d := range documentCount {
		if proof := h.storeProofs[d]; !proof.sentAt.IsZero() && now.Sub(proof.sentAt) < MaxProofAge {
			a.Store[d] = proof.version
			a.StoreAge[d] = ageMillis(now.Sub(proof.sentAt))
		}
	}
	if !h.outage.at.IsZero() && now.Sub(h.outage.at) < MaxProofAge {
		a.Outage = h.outage.versions
		a.OutageAge = ageMillis(now.Sub(h.outage.at))
	}
	return a
}

// HandleAnswer processes the answer to a poll that was sent at the given time. It reports whether the answer contained
// a proof fresh enough to serve with. The caller should activate the documents in the answer first.
func (h *Host) HandleAnswer(now, sent time.Time, link *RelayLink, a Answer) bool {
	link.token = a.Token
	link.receivedAt = now
	transit := maxTransitTime(now.Sub(sent), a.Waited)
	if h.disabledRules.relayAges {
		transit = 0
	}
	useful := false
	for d := range documentCount {
		if a.StoreAge[d] != 0 {
			at := now.Add(-transit - fromMillis(a.StoreAge[d]))
			h.applyRead(now, Document(d), storeRead{version: a.Store[d], sentAt: at})
			useful = useful || now.Sub(at) < OutageVoteAge
		}
	}
	if a.OutageAge != 0 {
		at := now.Add(-transit - fromMillis(a.OutageAge))
		h.applyOutageProof(outageProof{versions: a.Outage, at: at})
		useful = useful || now.Sub(at) < servingAgeLimit
	}
	return useful
}

// RemoveChild drops the state of a child that is no longer a member.
func (h *Host) RemoveChild(child model.HostID) {
	delete(h.childVotes, child)
	delete(h.issuedAnswers, child)
}
