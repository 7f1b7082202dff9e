package failover

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// closeLag is the age of a position of the primary that a successor must have reached before new work is held. It keeps
// the hold short when a replica is far behind.
const closeLag = 500 * time.Millisecond

// handover is the state of the planned change away from a primary that is leaving. The steps are: wait for a close
// successor, hold new work, let running work finish, let the successor catch up, and change the primary.
type handover struct {
	since    time.Time // when the leave was noticed, zero if the primary stays
	held     bool
	heldAt   time.Time
	idleAt   time.Time // when nothing was running any more, zero if not known
	earlier  mark
	later    mark
	catching bool // probes were made due to see the successor catch up
}

// mark is a position of the primary and when it was known.
type mark struct {
	at       time.Time
	position model.Position
}

func (m *Machine) planHandover() {
	h := &m.handover
	if m.primary == nil || m.primary.dead || !m.primary.leaving {
		if h.held {
			m.changed = true
		}
		m.handover = handover{}
		return
	}
	if h.since.IsZero() {
		h.since = m.now
	}
	if m.now.Sub(h.later.at) >= closeLag {
		h.earlier, h.later = h.later, mark{m.now, m.primary.status.Position}
	}
	if !h.held && (m.successorAt(h.earlier.position) || m.now.Sub(h.since) >= m.timing.HandoverTimeout) {
		h.held, h.heldAt, m.changed = true, m.now, true
	}
	if _, drained := m.drained(); drained && !h.catching {
		h.catching = true
		m.probeSoon()
	}
}

// successorAt reports whether a member that stays has reached position.
func (m *Machine) successorAt(position model.Position) bool {
	for _, x := range m.members {
		if x != m.primary && !x.leaving && answers(x) && position.Term != 0 && m.holdsTerm(x) && x.covers(position) {
			return true
		}
	}
	return false
}

// drained reports since when no work has been running on the primary.
func (m *Machine) drained() (time.Time, bool) {
	h := &m.handover
	switch {
	case !h.held:
		return time.Time{}, false
	case !h.idleAt.IsZero():
		return h.idleAt, true
	}
	end := h.heldAt.Add(m.timing.DrainTimeout)
	return end, !m.now.Before(end)
}

// handoverTarget returns the position that a successor must reach: the end of the primary's log after its last work has
// finished. It is zero when that is not known.
func (m *Machine) handoverTarget() model.Position {
	since, drained := m.drained()
	if !drained || m.primary == nil || m.primary.asked.Before(since) {
		return model.Position{}
	}
	return m.primary.status.Position
}

func (m *Machine) handoverReady() bool {
	return m.successorAt(m.handoverTarget())
}

func (m *Machine) takeIdle(e PrimaryIdle) {
	if m.handover.held && m.handover.idleAt.IsZero() && e.Term == m.term {
		m.handover.idleAt = m.now
	}
}

// probeSoon makes the next probe of all members due.
func (m *Machine) probeSoon() {
	for _, x := range m.members {
		x.nextProbe = m.now
	}
}
