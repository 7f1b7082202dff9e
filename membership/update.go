package membership

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// apply takes over another host's belief about a member. A higher incarnation wins; within one incarnation the order is
// alive, suspect, dead, left. Deaths from a sync are checked and not believed.
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
	case fromSync && t.differs(e, u):
		t.scheduleRecheck(u.ID)
	case u.State == StateDead && e.IsLive():
		t.verifyDeath(now, e, u)
	case u.Incarnation > e.Incarnation || u.State > e.State || e.listed && u.State != StateDead:
		t.become(now, e, u)
		if !fromSync {
			t.queue.add(e.update())
		}
	}
}

// differs reports whether a sync shows a belief that a ping has to settle: a death of a live member, or life of a dead
// one without a newer incarnation.
func (t *Table) differs(e *entry, u Update) bool {
	if u.State == StateDead || u.State == StateSuspect {
		return e.IsLive()
	}
	return u.State == StateAlive && u.Incarnation == e.Incarnation && e.State == StateDead
}

// verifyDeath handles a death that another host declared. It is believed when a ping of this host has been unanswered
// for a while; otherwise the member is pinged now.
func (t *Table) verifyDeath(now time.Time, e *entry, u Update) {
	if !e.firstPing.IsZero() && now.Sub(e.firstPing) >= suspectPings {
		t.become(now, e, u)
		t.queue.add(e.update())
		return
	}
	deadline := now.Add(t.settings.ProbeTimeout)
	if e.State == StateSuspect && !e.firstPing.IsZero() && e.deadline.Before(deadline) {
		return
	}
	t.become(now, e, Update{ID: e.ID, State: StateSuspect, Incarnation: u.Incarnation})
	e.deadline = deadline
	e.nextPing = now
}

func (t *Table) applyNew(now time.Time, rng *rand.Rand, u Update, fromSync bool) {
	if u.State != StateAlive {
		return // nothing to do for a member that this host never knew
	}
	e := t.add(rng, Member{ID: u.ID})
	t.become(now, e, u)
	if !fromSync {
		t.queue.add(e.update())
	}
}

// applySelf refutes a wrong belief about this host with a higher incarnation. A host that the platform lists as leaving
// doesn't refute that.
func (t *Table) applySelf(now time.Time, u Update) {
	switch {
	case t.leaving:
		t.queue.add(t.self.update())
	case u.State == StateUnknown:
		t.queue.add(t.self.update())
	case u.State == StateLeft && u.Incarnation == t.self.Incarnation:
		t.setSelfLeft(now)
	case u.State == StateAlive && u.Incarnation <= t.self.Incarnation || u.Incarnation < t.self.Incarnation:
	default:
		t.self.Incarnation = u.Incarnation + 1
		t.queue.add(t.self.update())
		t.changed(t.self.State, t.self)
	}
}

// introduce answers a claim about this host with its row, directly to the host that made the claim.
func (t *Table) introduce(address string, to model.HostID) {
	t.send(address, t.members[to], Message{Kind: KindPing, Target: to, Updates: []Update{t.self.update()}}, false)
}

func (t *Table) setSelfLeft(now time.Time) {
	if t.self.State == StateLeft {
		return
	}
	previous := t.self.State
	t.self.State = StateLeft
	t.self.StateSince = now
	t.queue.add(t.self.update())
	t.changed(previous, t.self)
}

// become changes a row and keeps the lists of suspects and dead members in step.
func (t *Table) become(now time.Time, e *entry, u Update) {
	previous := e.State
	if e.listed {
		previous = StateUnknown
	}
	t.toggle(e)
	e.listed = false
	e.Incarnation = u.Incarnation
	e.State = u.State
	if u.State == StateAlive && u.GossipAddress != "" {
		e.DataCentre = u.DataCentre
		e.RPCAddress = u.RPCAddress
		e.GossipAddress = u.GossipAddress
		e.Payload = slices.Clone(u.Payload)
	}
	t.toggle(e)
	if previous != u.State {
		e.StateSince = now
	}
	delete(t.suspects, e.ID)
	e.firstPing = time.Time{}
	if u.State == StateSuspect {
		e.ownSuspect = false
		e.deadline = now.Add(t.settings.SuspicionTimeout + t.settings.RemoteSuspicionDelay)
		e.nextPing = now.Add(suspectPings)
		t.suspects[e.ID] = e
	}
	if u.State == StateDead || u.State == StateLeft {
		t.urgent = urgentPings
	}
	if u.State == StateDead && previous != StateDead {
		t.dead = append(t.dead, e.ID)
	}
	t.changed(previous, e.Member)
}

// suspect records that this host's own probe failed.
func (t *Table) suspect(now time.Time, id model.HostID) {
	e := t.members[id]
	if e == nil || !e.IsLive() || e.State == StateSuspect && e.ownSuspect {
		return
	}
	if e.listed {
		e.State = StateDead // never confirmed, so nobody needs to hear of it; it is retried like a dead member
		e.StateSince = now
		t.dead = append(t.dead, id)
		return
	}
	if e.State == StateAlive {
		t.become(now, e, Update{ID: id, State: StateSuspect, Incarnation: e.Incarnation})
		t.queue.add(e.update())
	}
	e.ownSuspect = true
	e.nextPing = now
	if deadline := now.Add(t.settings.SuspicionTimeout); deadline.Before(e.deadline) {
		e.deadline = deadline
	}
}

// checkSuspects pings suspects, so that they learn of the suspicion, and declares those dead whose time is up.
func (t *Table) checkSuspects(now time.Time) {
	for _, id := range t.sortedSuspects() {
		e := t.suspects[id]
		if !now.Before(e.deadline) {
			t.become(now, e, Update{ID: id, State: StateDead, Incarnation: e.Incarnation})
			t.queue.add(e.update())
			continue
		}
		if !now.Before(e.nextPing) {
			e.nextPing = now.Add(suspectPings)
			if e.firstPing.IsZero() {
				e.firstPing = now
			}
			t.ping(e, 0)
		}
	}
}

// sortedSuspects gives the suspects a fixed order, so that the same inputs give the same actions.
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

// hearSender takes over the header of a message. It reports whether the sender has to be told what this host believes
// about it, because it is unknown, or is not believed to be alive, or sends with an older incarnation.
func (t *Table) hearSender(now time.Time, m Message) bool {
	e := t.members[m.From]
	if e == nil || e.listed && e.Incarnation == 0 && m.Incarnation == 0 {
		return true
	}
	if m.Incarnation < e.Incarnation {
		return true
	}
	if m.Incarnation > e.Incarnation || e.listed {
		t.hearNewer(now, e, m)
	}
	if !bytes.Equal(e.Payload, m.Payload) {
		e.Payload = slices.Clone(m.Payload) // queued updates keep the old one
	}
	if e.State == StateDead {
		t.syncWith = e.ID // a partition has healed
		t.nextSync = now
	}
	return e.State != StateAlive
}

// hearNewer handles a sender with a newer incarnation. A host that was only listed introduces itself to the others, so
// it is not passed on.
func (t *Table) hearNewer(now time.Time, e *entry, m Message) {
	known := !e.listed
	t.become(now, e, Update{ID: m.From, State: StateAlive, Incarnation: m.Incarnation})
	if known {
		t.queue.add(e.update())
	}
}
