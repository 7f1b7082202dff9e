package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// startProbe pings the next member of the round. Each round visits every member once, in a new random order.
func (t *Table) startProbe(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = now.Add(t.settings.ProbeInterval)
	for range len(t.order) + 1 {
		if t.position >= len(t.order) {
			rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
			t.position = 0
		}
		if len(t.order) == 0 {
			return
		}
		e := t.members[t.order[t.position]]
		t.position++
		if e != nil && e.IsLive() {
			t.probe(now, e)
			return
		}
	}
}

// sendUrgent sends extra pings after a death or a leave, because services and workspaces wait for their next host. The
// pause bounds the cost when many hosts die at once.
func (t *Table) sendUrgent(now time.Time, rng *rand.Rand) {
	if t.urgent == 0 || now.Before(t.nextExtra) {
		return
	}
	t.urgent--
	t.nextExtra = now.Add(urgentPause)
	for _, e := range t.pick(rng, 1, "") {
		t.ping(e, 0)
	}
}

func (t *Table) probe(now time.Time, e *entry) {
	t.sequence++
	t.probes[t.sequence] = &probe{target: e.ID, sent: now}
	t.ping(e, t.sequence)
}

// ping sends a ping. Sequence 0 is used when nothing waits for the ack.
func (t *Table) ping(e *entry, sequence uint64) {
	t.send(e.GossipAddress, e, Message{Kind: KindPing, Sequence: sequence, Target: e.ID}, e.State != StateAlive)
}

// expireProbes asks other members to probe a member that didn't answer, and suspects it after ProbeTimeout.
func (t *Table) expireProbes(now time.Time, rng *rand.Rand) {
	for _, sequence := range t.sortedProbes() {
		p := t.probes[sequence]
		age := now.Sub(p.sent)
		if age >= t.settings.ProbeTimeout {
			delete(t.probes, sequence)
			t.suspect(now, p.target)
			continue
		}
		if age >= t.settings.DirectTimeout && !p.indirect {
			p.indirect = true
			for _, helper := range t.pick(rng, t.settings.IndirectProbes, p.target) {
				t.send(helper.GossipAddress, helper,
					Message{Kind: KindPingRequest, Sequence: sequence, Target: p.target}, false)
			}
		}
	}
	for sequence, p := range t.proxies {
		if !now.Before(p.expires) {
			delete(t.proxies, sequence)
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

// pick returns up to n different random live members other than the excluded one.
func (t *Table) pick(rng *rand.Rand, n int, exclude model.HostID) []*entry {
	var picked []*entry
	for range 4 * n {
		if len(picked) == n || len(t.order) == 0 {
			break
		}
		e := t.members[t.order[rng.IntN(len(t.order))]]
		if e != nil && e.IsLive() && e.ID != exclude && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

// answerPing acks a ping that is meant for this host. Another host may have had this address before.
func (t *Table) answerPing(address string, m Message, claim bool) {
	if m.Target != t.self.ID {
		return
	}
	t.sendClaim(address, m.From, Message{Kind: KindAck, Sequence: m.Sequence, Target: t.self.ID}, claim)
}

func (t *Table) handleAck(m Message) {
	if p := t.probes[m.Sequence]; p != nil && p.target == m.Target {
		delete(t.probes, m.Sequence)
		return
	}
	if p, found := t.proxies[m.Sequence]; found && m.Target == m.From {
		delete(t.proxies, m.Sequence)
		t.send(p.address, nil, Message{Kind: KindAck, Sequence: p.sequence, Target: m.Target}, false)
	}
}

func (t *Table) proxyPing(now time.Time, address string, m Message) {
	e := t.members[m.Target]
	if e == nil {
		return
	}
	t.sequence++
	t.proxies[t.sequence] = proxied{address: address, sequence: m.Sequence, expires: now.Add(t.settings.ProbeTimeout)}
	t.ping(e, t.sequence)
}

// sendClaim is send for a receiver that may be unknown to this host.
func (t *Table) sendClaim(address string, to model.HostID, m Message, claim bool) {
	e := t.members[to]
	if e == nil && claim {
		e = &entry{Member: Member{ID: to}}
	}
	t.send(address, e, m, claim)
}

// send completes the header, adds updates as far as they fit and queues the message. With claim set the first update
// tells the receiver what this host believes about it.
func (t *Table) send(address string, to *entry, m Message, claim bool) {
	m.From = t.self.ID
	m.Incarnation = t.self.Incarnation
	m.Payload = t.self.Payload
	room := maxEncoded - headerReserve - len(m.From) - len(m.Target) - len(m.Payload) - len(m.Digests)
	if claim && to != nil {
		update := to.update()
		if to.listed {
			update.State = StateUnknown
		}
		m.Updates = append(m.Updates, update)
		room -= update.size()
	}
	m.Updates = t.queue.take(m.Updates, room, t.retransmits())
	t.actions = append(t.actions, Action{Send: &Send{Address: address, Message: m}})
}

// scheduleRecheck notes a member whose state is to be settled by a ping.
func (t *Table) scheduleRecheck(id model.HostID) {
	if !slices.Contains(t.rechecks, id) {
		t.rechecks = append(t.rechecks, id)
	}
}

// recheck pings one of the noted members. A live one is probed; a dead one learns that it has to refute.
func (t *Table) recheck(now time.Time) {
	if len(t.rechecks) == 0 || now.Before(t.nextCheck) {
		return
	}
	t.nextCheck = now.Add(recheckPause)
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

// retryDead pings one dead member at a low rate, so that the halves of a healed partition find each other.
func (t *Table) retryDead(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextRetry) {
		return
	}
	t.nextRetry = now.Add(t.settings.DeadPingInterval)
	t.dead = slices.DeleteFunc(t.dead, func(id model.HostID) bool {
		e := t.members[id]
		return e == nil || e.State != StateDead
	})
	if len(t.dead) > 0 {
		t.ping(t.members[t.dead[rng.IntN(len(t.dead))]], 0)
	}
}

// startSync sends the digests of this table to a member.
func (t *Table) startSync(now time.Time, rng *rand.Rand) {
	if now.Before(t.nextSync) {
		return
	}
	if t.joining && now.Sub(t.started) >= joinLimit {
		t.joining = false
		t.syncPause = differPause
	}
	t.nextSync = now.Add(t.syncPause)
	t.group = (t.group + groupStep) % digestBuckets
	partner := t.members[t.syncWith]
	t.syncWith = ""
	if partner == nil {
		picked := t.pick(rng, 1, "")
		if len(picked) == 0 {
			return
		}
		partner = picked[0]
	}
	t.sequence++
	digests := t.digests()
	t.send(partner.GossipAddress, partner,
		Message{Kind: KindSync, Sequence: t.sequence, Target: partner.ID, Digests: digests, FirstBucket: t.group}, partner.State != StateAlive)
}

// afterSync decides how long to wait between two comparisons. The pace does not depend on single replies, so that a lost
// one doesn't hold up a host that joins.
func (t *Table) afterSync(m Message) {
	if !m.More {
		t.joining = false
		t.synced = true
	}
	switch {
	case t.joining:
	case m.More:
		t.syncPause = catchUpPause
	case len(m.Updates) > 0:
		t.syncPause = differPause
	default:
		t.syncPause = t.settings.SyncInterval
	}
}

// mix returns a member's part of the digest of its group. Parts are combined by exclusive or, so that the order doesn't
// matter.
func mix(hash uint64, incarnation model.Incarnation) uint64 {
	mixed := (hash ^ uint64(incarnation)) * 0x9e3779b97f4a7c15 // odd constant that spreads the bits of both
	return mixed ^ mixed>>32
}

// toggle adds a row to the digests or takes it out. It is called before and after each change of a row. Members that are
// not live are left out, because hosts forget them at different times.
func (t *Table) toggle(e *entry) {
	if e.IsLive() && !e.listed {
		t.sums[e.bucket] ^= mix(e.hash, e.Incarnation)
	}
}

func (t *Table) digests() []byte {
	sums := t.sums
	if t.self.IsLive() {
		own := t.ownHash()
		sums[own%digestBuckets] ^= mix(own, t.self.Incarnation)
	}
	digests := make([]byte, digestSize)
	for i, sum := range sums {
		binary.LittleEndian.PutUint16(digests[i*digestBytes:], uint16(sum>>48))
	}
	return digests
}

// answerSync sends the members of the groups that differ, as many as fit.
func (t *Table) answerSync(address string, m Message) {
	reply := Message{Kind: KindSyncReply, Sequence: m.Sequence, Target: m.From}
	room := maxEncoded - headerReserve - len(t.self.ID) - len(m.From) - len(t.self.Payload)
	mine := t.digests()
	var buckets [digestBuckets]bool
	differ := false
	for i := range buckets {
		buckets[i] = mine[i*digestBytes] != m.Digests[i*digestBytes] || mine[i*digestBytes+1] != m.Digests[i*digestBytes+1]
		differ = differ || buckets[i]
	}
	if differ {
		t.fillReply(&reply, int(m.FirstBucket), room, buckets)
	}
	reply.More = reply.More || !t.synced
	reply.From = t.self.ID
	reply.Incarnation = t.self.Incarnation
	reply.Payload = t.self.Payload
	t.actions = append(t.actions, Action{Send: &Send{Address: address, Message: reply}})
}

// fillReply adds groups that differ, in order from the group that the sync names, so that a host which joins gets
// different parts of the table from different hosts.
func (t *Table) fillReply(reply *Message, start, room int, buckets [digestBuckets]bool) {
	var rows [digestBuckets][]Update
	own := t.ownHash() % digestBuckets
	rows[own] = append(rows[own], t.self.update())
	for _, id := range t.order {
		e := t.members[id]
		if e != nil && buckets[e.bucket] && !e.listed && id != reply.Target {
			rows[e.bucket] = append(rows[e.bucket], e.update())
		}
	}
	for i := range digestBuckets {
		bucket := (start + i) % digestBuckets
		if !buckets[bucket] {
			continue
		}
		for _, row := range rows[bucket] {
			if row.size() > room {
				reply.More = true
				return
			}
			reply.Updates = append(reply.Updates, row)
			room -= row.size()
		}
	}
}

func (t *Table) ownHash() uint64 { return xxhash.Sum64String(string(t.self.ID)) }
