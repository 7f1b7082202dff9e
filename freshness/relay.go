package freshness

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Report is what a child sends to its parent with a poll.
type Report struct {
	Held      Versions // versions in force at the child
	StoreAge  uint32   // age of the child's store proof in ms, 0 when there is none
	OutageAge uint32   // age of the child's outage proof in ms, 0 when there is none
	Peer      bool     // sender and receiver are both roots
	Token     uint64   // of the parent's last answer
	Waited    uint32   // time since that answer was received in ms
	Outage    []byte   // hosts of the child's subtree that state an outage, empty when there are none
	SetAge    uint32   // age of the oldest of these statements in ms
	Versions  Versions // greatest versions that these hosts hold
	Confirmed []byte   // hosts of the subtree that hold the configuration in Held; only for a while after a change
}

// Answer is what a parent answers.
type Answer struct {
	Token    uint64 // names this answer in the child's next report
	Waited   uint32 // time for which the poll was held in ms
	Held     Versions
	Store    Versions          // versions in the parent's store proofs
	StoreAge [documents]uint32 // their ages in ms, 0 when there is none
	Outage   Versions          // versions that a host must hold to use the outage proof
	// OutageAge is the age of the outage proof in ms, 0 when there is none.
	OutageAge uint32
}

// Link is the child's side of the relay to one parent.
type RelayLink struct {
	Parent model.HostID
	Peer   bool // both hosts are roots

	token    uint64
	received time.Time
}

// milliseconds rounds an age up, so that it never looks smaller, and keeps 0 for a proof that doesn't exist.
func milliseconds(age time.Duration) uint32 {
	if age >= never {
		return 0
	}
	return uint32(max(1, (age+time.Millisecond-1)/time.Millisecond))
}

// waited rounds a time down that will be subtracted from an age.
func waited(d time.Duration) uint32 { return uint32(max(0, d) / time.Millisecond) }

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// onTheWay bounds the time that a message was on its way: the time since the request was sent, without the time for
// which the other side says it kept the request. Both clocks may differ by 2% in rate.
func onTheWay(elapsed time.Duration, kept uint32) time.Duration {
	return max(0, elapsed-duration(kept)) + elapsed/50
}

// Report returns the next report for a link. The report belongs to a request that is sent now.
func (h *Host) Report(now time.Time, link *RelayLink) Report {
	r := Report{Held: h.held, Peer: link.Peer, Token: link.token}
	if link.token != 0 {
		r.Waited = waited(now.Sub(link.received))
	}
	r.StoreAge = milliseconds(h.storeAge(now))
	if !h.outage.at.IsZero() && now.Sub(h.outage.at) < MaxProofAge {
		r.OutageAge = milliseconds(now.Sub(h.outage.at))
	}
	if set, any := h.subtree(now, link); any {
		r.Outage = set.bits.pack()
		r.SetAge = milliseconds(now.Sub(set.at))
		r.Versions = set.versions
	}
	if h.confirmed != nil && now.Sub(h.confirmedChanged) < confirmPeriod {
		r.Confirmed = h.confirmed.pack()
	}
	return r
}

// subtree combines the statements of this host and of its children, without those that came from the receiver itself
// or, between roots, from another root. Fresh sets come first, and a set that adds no host is left out, so that an echo
// of this host's own statement doesn't make the result older.
func (h *Host) subtree(now time.Time, link *RelayLink) (childSet, bool) {
	merged := childSet{bits: newBitmap(len(h.hosts.IDs)), at: now}
	for _, set := range h.freshSets(now, func(from model.HostID, set childSet) bool {
		return from != link.Parent && !(link.Peer && set.peer)
	}) {
		merged.add(set)
	}
	return merged, merged.bits.count() > 0
}

func (s *childSet) add(other childSet) {
	if s.bits.merge(other.bits) {
		s.versions = s.versions.later(other.versions)
		if other.at.Before(s.at) {
			s.at = other.at
		}
	}
}

// freshSets returns this host's own statement and the selected sets, the freshest first.
func (h *Host) freshSets(now time.Time, selected func(model.HostID, childSet) bool) []childSet {
	var sets []childSet
	if h.MayVoteOutage(now) {
		own := childSet{bits: newBitmap(len(h.hosts.IDs)), versions: h.held, at: now}
		own.bits.set(h.place)
		sets = append(sets, own)
	}
	for from, set := range h.sets {
		if now.Sub(set.received) >= setRetention || now.Sub(set.at) >= MaxProofAge {
			delete(h.sets, from)
			continue
		}
		if selected(from, set) {
			sets = append(sets, set)
		}
	}
	slices.SortFunc(sets, func(a, b childSet) int {
		if order := b.at.Compare(a.at); order != 0 {
			return order
		}
		return slices.Compare(a.bits, b.bits) // fixed order, because maps have none
	})
	return sets
}

// countOutage makes an outage proof when the statements at this host are a majority.
func (h *Host) countOutage(now time.Time) {
	if len(h.sets) == 0 && len(h.hosts.IDs) > 1 || len(h.hosts.IDs) == 0 || h.storeAge(now) < OutageVoteAge {
		return
	}
	total := childSet{bits: newBitmap(len(h.hosts.IDs)), at: now}
	for _, set := range h.freshSets(now, func(model.HostID, childSet) bool { return true }) {
		total.add(set)
		if total.bits.count() >= h.hosts.Majority() {
			h.adoptOutage(outage{versions: total.versions, at: total.at})
			return
		}
	}
}

// HandleReport takes over a child's report when its poll arrives.
func (h *Host) HandleReport(now time.Time, from model.HostID, r Report) {
	h.takeConfirmed(now, r)
	last := h.issued[from]
	if r.Token == 0 || r.Token != last.token {
		return // without the name of an answer the age of the report is not known
	}
	way := onTheWay(now.Sub(last.at), r.Waited)
	if h.without.ages {
		way = 0
	}
	bits, valid := unpack(r.Outage, len(h.hosts.IDs))
	if !valid || r.Versions[Roster] != h.held[Roster] || h.held[Roster] == 0 {
		delete(h.sets, from)
		return
	}
	h.sets[from] = childSet{
		bits:     bits,
		versions: r.Versions,
		at:       now.Add(-way - duration(r.SetAge)),
		received: now,
		peer:     r.Peer,
	}
	h.countOutage(now)
}

func (h *Host) takeConfirmed(now time.Time, r Report) {
	if r.Held != h.held || len(r.Confirmed) == 0 {
		return
	}
	if bits, valid := unpack(r.Confirmed, len(h.hosts.IDs)); valid && h.confirmed.merge(bits) {
		h.confirmedChanged = now
	}
}

// Due reports whether a held poll that arrived at the time should be answered now: when this host holds a newer
// document or a clearly newer proof, or when the poll was held long enough. A poll is answered early so that one store
// read passes through the whole tree without waiting at every hop.
func (h *Host) ShouldAnswer(now, received time.Time, r Report) bool {
	held := now.Sub(received)
	if !r.Held.covers(h.held) {
		return true
	}
	storeAge := h.storeAge(now)
	if storeAge < OutageVoteAge {
		theirs := held + duration(r.StoreAge)
		return held >= holdCalm || r.StoreAge == 0 || theirs-storeAge >= renewStep
	}
	if held >= holdOutage {
		return true
	}
	theirs := held + duration(r.OutageAge)
	return !h.outage.at.IsZero() && (r.OutageAge == 0 && held >= outageStep/2 || theirs-now.Sub(h.outage.at) >= outageStep)
}

// Answer returns the answer to a poll that arrived at the time. It has to be sent at once; a delay counts as time on
// the way.
func (h *Host) Answer(now, received time.Time, to model.HostID) Answer {
	h.lastToken++
	h.issued[to] = issued{token: h.lastToken, at: now}
	a := Answer{Token: h.lastToken, Waited: waited(now.Sub(received)), Held: h.held}
	for d := range documents {
		if proof := h.proofs[d]; !proof.at.IsZero() && now.Sub(proof.at) < MaxProofAge {
			a.Store[d] = proof.version
			a.StoreAge[d] = milliseconds(now.Sub(proof.at))
		}
	}
	if !h.outage.at.IsZero() && now.Sub(h.outage.at) < MaxProofAge {
		a.Outage = h.outage.versions
		a.OutageAge = milliseconds(now.Sub(h.outage.at))
	}
	return a
}

// HandleAnswer takes over the answer to a poll that was sent at the time. It reports whether the answer had a proof
// that was fresh enough to serve with. Documents that came with the answer should be put in force before.
func (h *Host) HandleAnswer(now, sent time.Time, link *RelayLink, a Answer) bool {
	link.token = a.Token
	link.received = now
	way := onTheWay(now.Sub(sent), a.Waited)
	if h.without.ages {
		way = 0
	}
	useful := false
	for d := range documents {
		if a.StoreAge[d] != 0 {
			at := now.Add(-way - duration(a.StoreAge[d]))
			h.adopt(now, Document(d), reading{version: a.Store[d], at: at})
			useful = useful || now.Sub(at) < OutageVoteAge
		}
	}
	if a.OutageAge != 0 {
		at := now.Add(-way - duration(a.OutageAge))
		h.adoptOutage(outage{versions: a.Outage, at: at})
		useful = useful || now.Sub(at) < serveLimit
	}
	return useful
}

// Forget drops what is known of a child that is no longer a member.
func (h *Host) RemoveChild(child model.HostID) {
	delete(h.sets, child)
	delete(h.issued, child)
}
