package membership

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// apply merges an update from another host. A higher incarnation wins; within one incarnation the order is alive,
// suspect, dead, left. A sync that reports a live member as suspect or dead
// only causes a ping of that member.
func (t *Table) apply(now time.Time, rng *rand.Rand, u Update, fromSync bool) {
	if u.ID == t.self.ID {
		t.applySelf(now, u)
		return
	}
	e := t.members[u.ID]
	switch {
	case u.State == StateUnknown:
	case e == nil:
		t.applyNew(now, rng, u, fromSync)
	case u.Incarnation < e.Incarnation:
	case fromSync && t.needsRecheck(e, u):
		t.scheduleRecheck(u.ID)
	case u.State == StateDead && e.IsLive():
		t.applyDeath(now, e, u)
	case u.Incarnation > e.Incarnation || u.State > e.State || e.unconfirmed && u.State != StateDead:
		t.setState(now, e, u)
		if !fromSync {
			t.updates.add(e.toUpdate())
		}
	}
}

// needsRecheck reports whether an update from a sync has to be verified by a ping: it reports a live member as
// suspect or dead, or a dead member as alive without a newer incarnation.
func (t *Table) needsRecheck(e *memberEntry, u Update) bool {
	if u.State == StateDead || u.State == StateSuspect {
		return e.IsLive()
	}
	return u.State == StateAlive && u.Incarnation == e.Incarnation && e.State == StateDead
}

// applyDeath handles a death that another host declared. It is accepted if pings of this host have been unanswered for
// suspectPingInterval; otherwise the member becomes suspect and is pinged now.
func (t *Table) applyDeath(now time.Time, e *memberEntry, u Update) {
	if !e.firstPing.IsZero() && now.Sub(e.firstPing) >= suspectPingInterval {
		t.setState(now, e, u)
		t.updates.add(e.toUpdate())
		return
	}
	deadline := now.Add(t.settings.ProbeTimeout)
	if e.State == StateSuspect && !e.firstPing.IsZero() && e.suspicionDeadline.Before(deadline) {
		return
	}
	t.setState(now, e, Update{ID: e.ID, State: StateSuspect, Incarnation: u.Incarnation})
	e.suspicionDeadline = deadline
	e.nextPing = now
}

func (t *Table) applyNew(now time.Time, rng *rand.Rand, u Update, fromSync bool) {
	if u.State != StateAlive {
		return // the member was never known here
	}
	e := t.addMember(rng, Member{ID: u.ID})
	t.setState(now, e, u)
	if !fromSync {
		t.updates.add(e.toUpdate())
	}
}

// applySelf handles an update about this host. StateLeft for the current incarnation is accepted, because
// the platform lists this host as leaving. Any other wrong state is refuted with a higher incarnation.
func (t *Table) applySelf(now time.Time, u Update) {
	switch {
	case t.leaving:
		t.updates.add(t.self.toUpdate())
	case u.State == StateUnknown:
		t.updates.add(t.self.toUpdate())
	case u.State == StateLeft && u.Incarnation == t.self.Incarnation:
		t.setSelfLeft(now)
	case u.State == StateAlive && u.Incarnation <= t.self.Incarnation || u.Incarnation < t.self.Incarnation:
	default:
		t.self.Incarnation = u.Incarnation + 1
		t.updates.add(t.self.toUpdate())
		t.emitChange(t.self.State, t.self)
	}
}

// sendSelf sends this host's row directly to a host that has a different state for it.
func (t *Table) sendSelf(address string, to model.HostID) {
	t.send(address, t.members[to], Message{Kind: KindPing, Target: to, Updates: []Update{t.self.toUpdate()}}, false)
}

func (t *Table) setSelfLeft(now time.Time) {
	if t.self.State == StateLeft {
		return
	}
	previous := t.self.State
	t.self.State = StateLeft
	t.self.StateSince = now
	t.updates.add(t.self.toUpdate())
	t.emitChange(previous, t.self)
}

// setState changes a row and updates the digests and the lists of suspects and dead members.
func (t *Table) setState(now time.Time, e *memberEntry, u Update) {
	previous := e.State
	if e.unconfirmed {
		previous = StateUnknown
	}
	t.toggleDigest(e)
	e.unconfirmed = false
	e.Incarnation = u.Incarnation
	e.State = u.State
	if u.State == StateAlive && u.GossipAddress != "" {
		e.DataCentre = u.DataCentre
		e.RPCAddress = u.RPCAddress
		e.GossipAddress = u.GossipAddress
		e.Payload = slices.Clone(u.Payload)
	}
	t.toggleDigest(e)
	if previous != u.State {
		e.StateSince = now
	}
	delete(t.suspects, e.ID)
	e.firstPing = time.Time{}
	if u.State == StateSuspect {
		e.ownSuspicion = false
		e.suspicionDeadline = now.Add(t.settings.SuspicionTimeout + t.settings.RemoteSuspicionDelay)
		e.nextPing = now.Add(suspectPingInterval)
		t.suspects[e.ID] = e
	}
	if u.State == StateDead || u.State == StateLeft {
		t.urgentPingsLeft = urgentPings
	}
	if u.State == StateDead && previous != StateDead {
		t.deadMembers = append(t.deadMembers, e.ID)
	}
	t.emitChange(previous, e.Member)
}

// markSuspect records that this host's own probe of a member failed.
func (t *Table) markSuspect(now time.Time, id model.HostID) {
	e := t.members[id]
	if e == nil || !e.IsLive() || e.State == StateSuspect && e.ownSuspicion {
		return
	}
	if e.unconfirmed {
		e.State = StateDead // never confirmed, so not announced to others; pinged like any dead member
		e.StateSince = now
		t.deadMembers = append(t.deadMembers, id)
		return
	}
	if e.State == StateAlive {
		t.setState(now, e, Update{ID: id, State: StateSuspect, Incarnation: e.Incarnation})
		t.updates.add(e.toUpdate())
	}
	e.ownSuspicion = true
	e.nextPing = now
	if deadline := now.Add(t.settings.SuspicionTimeout); deadline.Before(e.suspicionDeadline) {
		e.suspicionDeadline = deadline
	}
}

// checkSuspects pings suspects, which informs them of the suspicion, and declares those dead whose deadline has
// passed.
func (t *Table) checkSuspects(now time.Time) {
	for _, id := range t.sortedSuspects() {
		e := t.suspects[id]
		if !now.Before(e.suspicionDeadline) {
			t.setState(now, e, Update{ID: id, State: StateDead, Incarnation: e.Incarnation})
			t.updates.add(e.toUpdate())
			continue
		}
		if !now.Before(e.nextPing) {
			e.nextPing = now.Add(suspectPingInterval)
			if e.firstPing.IsZero() {
				e.firstPing = now
			}
			t.ping(e, 0)
		}
	}
}

// sortedSuspects returns the suspects in a fixed order, so that the same inputs produce the same actions.
func (t *Table) sortedSuspects() []model.HostID {
	if len(t.suspects) == 0 {
		return nil
	}
	ids := make([]model.HostID, 0, len(t.suspects))
	for id := range t.suspects {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// applySender processes the header of a message. It reports whether the sender must be sent this host's view of it,
// because the sender is unknown, is not alive in the table, or has an outdated incarnation.
func (t *Table) applySender(now time.Time, m Message) bool {
	e := t.members[m.From]
	if e == nil || e.unconfirmed && e.Incarnation == 0 && m.Incarnation == 0 {
		return true
	}
	if m.Incarnation < e.Incarnation {
		return true
	}
	if m.Incarnation > e.Incarnation || e.unconfirmed {
		t.applyNewerSender(now, e, m)
	}
	if !bytes.Equal(e.Payload, m.Payload) {
		e.Payload = slices.Clone(m.Payload) // queued updates keep the old payload
	}
	if e.State == StateDead {
		t.syncPartner = e.ID // a partition has healed
		t.nextSync = now
	}
	return e.State != StateAlive
}

// applyNewerSender handles a sender with a newer incarnation. A host that was only listed is not announced to others,
// because it introduces itself to them.
func (t *Table) applyNewerSender(now time.Time, e *memberEntry, m Message) {
	known := !e.unconfirmed
	t.setState(now, e, Update{ID: m.From, State: StateAlive, Incarnation: m.Incarnation})
	if known {
		t.updates.add(e.toUpdate())
	}
}
