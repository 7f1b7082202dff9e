package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// startProbe probes the next member of the round. Each round visits every member once, in a new random order.
func (t *Table) startProbe(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = now.Add(t.settings.ProbeInterval)
	for range len(t.probeOrder) + 1 {
		if t.probePosition >= len(t.probeOrder) {
			rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
			t.probePosition = 0
		}
		if len(t.probeOrder) == 0 {
			return
		}
		e := t.members[t.probeOrder[t.probePosition]]
		t.probePosition++
		if e != nil && e.IsLive() {
			t.probe(now, e)
			return
		}
	}
}

// sendUrgentPing sends an extra ping to spread a death or a leave, since services and workspaces have to move to other
// hosts. The interval bounds the cost when many hosts die at once.
func (t *Table) sendUrgentPing(now time.Time, rng *rand.Rand) {
	if t.urgentPingsLeft == 0 || now.Before(t.nextUrgentPing) {
		return
	}
	t.urgentPingsLeft--
	t.nextUrgentPing = now.Add(urgentPingInterval)
	for _, e := range t.randomLive(rng, 1, "") {
		t.ping(e, 0)
	}
}

func (t *Table) probe(now time.Time, e *memberEntry) {
	t.lastSequence++
	t.probes[t.lastSequence] = &pendingProbe{target: e.ID, sentAt: now}
	t.ping(e, t.lastSequence)
}

// ping sends a ping. Sequence 0 means that no ack is expected.
func (t *Table) ping(e *memberEntry, sequence uint64) {
	t.send(e.GossipAddress, e, Message{Kind: KindPing, Sequence: sequence, Target: e.ID}, e.State != StateAlive)
}

// expireProbes asks other members to probe a member that did not answer within DirectTimeout, and marks it as suspect
// after ProbeTimeout.
func (t *Table) expireProbes(now time.Time, rng *rand.Rand) {
	for _, sequence := range t.sortedProbes() {
		p := t.probes[sequence]
		age := now.Sub(p.sentAt)
		if age >= t.settings.ProbeTimeout {
			delete(t.probes, sequence)
			t.markSuspect(now, p.target)
			continue
		}
		if age >= t.settings.DirectTimeout && !p.indirectSent {
			p.indirectSent = true
			for _, helper := range t.randomLive(rng, t.settings.IndirectProbes, p.target) {
				t.send(helper.GossipAddress, helper,
					Message{Kind: KindPingRequest, Sequence: sequence, Target: p.target}, false)
			}
		}
	}
	for sequence, p := range t.proxiedPings {
		if !now.Before(p.expires) {
			delete(t.proxiedPings, sequence)
		}
	}
}

func (t *Table) sortedProbes() []uint64 {
	if len(t.probes) == 0 {
		return nil
	}
	list := make([]uint64, 0, len(t.probes))
	for sequence := range t.probes {
		list = append(list, sequence)
	}
	slices.Sort(list)
	return list
}

// randomLive returns up to n different random live members other than the excluded one.
func (t *Table) randomLive(rng *rand.Rand, n int, exclude model.HostID) []*memberEntry {
	var picked []*memberEntry
	for range 4 * n {
		if len(picked) == n || len(t.probeOrder) == 0 {
			break
		}
		e := t.members[t.probeOrder[rng.IntN(len(t.probeOrder))]]
		if e != nil && e.IsLive() && e.ID != exclude && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

// handlePing acks a ping. A ping for another host, which had this address before, is ignored.
func (t *Table) handlePing(address string, m Message, includeState bool) {
	if m.Target != t.self.ID {
		return
	}
	t.sendTo(address, m.From, Message{Kind: KindAck, Sequence: m.Sequence, Target: t.self.ID}, includeState)
}

func (t *Table) handleAck(m Message) {
	if p := t.probes[m.Sequence]; p != nil && p.target == m.Target {
		delete(t.probes, m.Sequence)
		return
	}
	if p, found := t.proxiedPings[m.Sequence]; found && m.Target == m.From {
		delete(t.proxiedPings, m.Sequence)
		t.send(p.address, nil, Message{Kind: KindAck, Sequence: p.sequence, Target: m.Target}, false)
	}
}

func (t *Table) handlePingRequest(now time.Time, address string, m Message) {
	e := t.members[m.Target]
	if e == nil {
		return
	}
	t.lastSequence++
	t.proxiedPings[t.lastSequence] = proxiedPing{address: address, sequence: m.Sequence,
		expires: now.Add(t.settings.ProbeTimeout)}
	t.ping(e, t.lastSequence)
}

// sendTo sends a message to a host that may have no row in the table.
func (t *Table) sendTo(address string, to model.HostID, m Message, includeState bool) {
	e := t.members[to]
	if e == nil && includeState {
		e = &memberEntry{Member: Member{ID: to}}
	}
	t.send(address, e, m, includeState)
}

// send fills in the header, adds as many updates as fit and emits the message. With includeState, the first update is
// this host's view of the receiver.
func (t *Table) send(address string, to *memberEntry, m Message, includeState bool) {
	m.From = t.self.ID
	m.Incarnation = t.self.Incarnation
	m.Payload = t.self.Payload
	freeBytes := maxEncodedSize - headerOverhead - len(m.From) - len(m.Target) - len(m.Payload) - len(m.Digests)
	if includeState && to != nil {
		update := to.toUpdate()
		if to.unconfirmed {
			update.State = StateUnknown
		}
		m.Updates = append(m.Updates, update)
		freeBytes -= update.size()
	}
	m.Updates = t.updates.take(m.Updates, freeBytes, t.maxTransmissions())
	t.actions = append(t.actions, Action{Send: &Send{Address: address, Message: m}})
}

// scheduleRecheck queues a member whose state has to be verified by a ping.
func (t *Table) scheduleRecheck(id model.HostID) {
	if !slices.Contains(t.rechecks, id) {
		t.rechecks = append(t.rechecks, id)
	}
}

// recheck pings a queued member. A live member is probed; a dead one is sent its state, which it refutes if it is
// alive.
func (t *Table) recheck(now time.Time) {
	if len(t.rechecks) == 0 || now.Before(t.nextRecheck) {
		return
	}
	t.nextRecheck = now.Add(recheckInterval)
	e := t.members[t.rechecks[0]]
	t.rechecks = t.rechecks[1:]
	switch {
	case e == nil:
	case e.IsLive():
		t.probe(now, e)
	case e.State == StateDead:
		t.ping(e, 0)
	}
}

// pingDead pings a dead member at a low rate, so that the halves of a healed partition find each other.
func (t *Table) pingDead(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextDeadPing) {
		return
	}
	t.nextDeadPing = now.Add(t.settings.DeadPingInterval)
	t.deadMembers = slices.DeleteFunc(t.deadMembers, func(id model.HostID) bool {
		e := t.members[id]
		return e == nil || e.State != StateDead
	})
	if len(t.deadMembers) > 0 {
		t.ping(t.members[t.deadMembers[rng.IntN(len(t.deadMembers))]], 0)
	}
}

// sendSync sends the digests of this table to another member.
func (t *Table) sendSync(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextSync) {
		return
	}
	if t.joining && now.Sub(t.started) >= maxJoinDuration {
		t.joining = false
		t.syncInterval = mismatchSyncInterval
	}
	t.nextSync = now.Add(t.syncInterval)
	t.syncBucket = (t.syncBucket + bucketStep) % bucketCount
	partner := t.members[t.syncPartner]
	t.syncPartner = ""
	if partner == nil {
		picked := t.randomLive(rng, 1, "")
		if len(picked) == 0 {
			return
		}
		partner = picked[0]
	}
	t.lastSequence++
	digests := t.digests()
	t.send(partner.GossipAddress, partner,
		Message{Kind: KindSync, Sequence: t.lastSequence, Target: partner.ID, Digests: digests,
			FirstBucket: t.syncBucket}, partner.State != StateAlive)
}

// handleSyncReply adjusts the interval between syncs to the completeness of the reply. Syncs are sent without
// waiting for replies, so that a lost one does not delay a host that joins.
func (t *Table) handleSyncReply(m Message) {
	if !m.More {
		t.joining = false
		t.synced = true
	}
	switch {
	case t.joining:
	case m.More:
		t.syncInterval = catchUpSyncInterval
	case len(m.Updates) > 0:
		t.syncInterval = mismatchSyncInterval
	default:
		t.syncInterval = t.settings.SyncInterval
	}
}

// digestOf returns a member's contribution to the digest of its bucket. Contributions are combined by XOR, so their
// order does not matter.
func digestOf(hash uint64, incarnation model.Incarnation) uint64 {
	mixed := (hash ^ uint64(incarnation)) * 0x9e3779b97f4a7c15 // odd constant that spreads the bits of both values
	return mixed ^ mixed>>32
}

// toggleDigest adds a row to the digest of its bucket or removes it. It must be called before and after each change of
// a row. Members that are not live are left out, because hosts delete them at different times.
func (t *Table) toggleDigest(e *memberEntry) {
	if e.IsLive() && !e.unconfirmed {
		t.bucketDigests[e.bucket] ^= digestOf(e.hash, e.Incarnation)
	}
}

func (t *Table) digests() []byte {
	sums := t.bucketDigests
	if t.self.IsLive() {
		own := t.ownHash()
		sums[own%bucketCount] ^= digestOf(own, t.self.Incarnation)
	}
	digests := make([]byte, digestsSize)
	for i, sum := range sums {
		binary.LittleEndian.PutUint16(digests[i*bucketDigestSize:], uint16(sum>>48))
	}
	return digests
}

// handleSync replies with the members of the buckets that differ, as many as fit.
func (t *Table) handleSync(address string, m Message) {
	reply := Message{Kind: KindSyncReply, Sequence: m.Sequence, Target: m.From}
	freeBytes := maxEncodedSize - headerOverhead - len(t.self.ID) - len(m.From) - len(t.self.Payload)
	ownDigests := t.digests()
	var mismatched [bucketCount]bool
	anyMismatch := false
	for i := range mismatched {
		mismatched[i] = ownDigests[i*bucketDigestSize] != m.Digests[i*bucketDigestSize] ||
			ownDigests[i*bucketDigestSize+1] != m.Digests[i*bucketDigestSize+1]
		anyMismatch = anyMismatch || mismatched[i]
	}
	if anyMismatch {
		t.fillReply(&reply, int(m.FirstBucket), freeBytes, mismatched)
	}
	reply.More = reply.More || !t.synced
	reply.From = t.self.ID
	reply.Incarnation = t.self.Incarnation
	reply.Payload = t.self.Payload
	t.actions = append(t.actions, Action{Send: &Send{Address: address, Message: reply}})
}

// fillReply adds the members of differing buckets, starting at the bucket that the sync names, so that a joining host
// gets different parts of the table from different hosts.
func (t *Table) fillReply(reply *Message, start, freeBytes int, mismatched [bucketCount]bool) {
	var rows [bucketCount][]Update
	own := t.ownHash() % bucketCount
	rows[own] = append(rows[own], t.self.toUpdate())
	for _, id := range t.probeOrder {
		e := t.members[id]
		if e != nil && mismatched[e.bucket] && !e.unconfirmed && id != reply.Target {
			rows[e.bucket] = append(rows[e.bucket], e.toUpdate())
		}
	}
	for i := range bucketCount {
		bucket := (start + i) % bucketCount
		if !mismatched[bucket] {
			continue
		}
		for _, row := range rows[bucket] {
			if row.size() > freeBytes {
				reply.More = true
				return
			}
			reply.Updates = append(reply.Updates, row)
			freeBytes -= row.size()
		}
	}
}

func (t *Table) ownHash() uint64 { return xxhash.Sum64String(string(t.self.ID)) }
