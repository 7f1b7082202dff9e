package failover

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// maxSuccessorLag is the age of the primary position that a successor must have reached before the primary is drained. It
// keeps the time without a writable primary short when replicas are far behind.
const maxSuccessorLag = 500 * time.Millisecond

// handoverState is the state of the planned replacement of a leaving primary: wait until a successor is close to the
// primary, stop accepting new work, wait for running work, wait until the successor has caught up, and run an election.
type handoverState struct {
	detectedAt     time.Time // zero if the primary is not leaving
	draining       bool
	drainingSince  time.Time
	idleSince      time.Time // zero until the caller reports an idle primary
	previousSample positionSample
	latestSample   positionSample
	catchUpProbed  bool // probes were scheduled early to detect that the successor has caught up
}

// positionSample is a position of the primary and the time at which it was recorded.
type positionSample struct {
	takenAt  time.Time
	position model.Position
}

func (m *Machine) updateHandover() {
	h := &m.handover
	if m.primary == nil || m.primary.dead || !m.primary.leaving {
		if h.draining {
			m.viewChanged = true
		}
		m.handover = handoverState{}
		return
	}
	if h.detectedAt.IsZero() {
		h.detectedAt = m.now
	}
	if m.now.Sub(h.latestSample.takenAt) >= maxSuccessorLag {
		h.previousSample, h.latestSample = h.latestSample, positionSample{m.now, m.primary.status.Position}
	}
	if !h.draining && (m.hasSuccessorAt(h.previousSample.position) || m.now.Sub(h.detectedAt) >= m.timing.HandoverTimeout) {
		h.draining, h.drainingSince, m.viewChanged = true, m.now, true
	}
	if _, drained := m.drainedSince(); drained && !h.catchUpProbed {
		h.catchUpProbed = true
		m.scheduleProbes()
	}
}

// hasSuccessorAt reports whether a replica that is not leaving has reached position.
func (m *Machine) hasSuccessorAt(position model.Position) bool {
	for _, member := range m.members {
		if member != m.primary && !member.leaving && isResponsive(member) && position.Term != 0 &&
			m.hasPrimaryTerm(member) && member.hasReached(position) {
			return true
		}
	}
	return false
}

// drainedSince returns the time from which the primary counts as drained, because it became idle or DrainTimeout expires,
// and whether it is drained now.
func (m *Machine) drainedSince() (time.Time, bool) {
	h := &m.handover
	switch {
	case !h.draining:
		return time.Time{}, false
	case !h.idleSince.IsZero():
		return h.idleSince, true
	}
	end := h.drainingSince.Add(m.timing.DrainTimeout)
	return end, !m.now.Before(end)
}

// handoverPosition returns the position that a successor must reach: the end of the primary's log after its last work has
// finished. It is zero if the primary has not reported that position yet.
func (m *Machine) handoverPosition() model.Position {
	since, drained := m.drainedSince()
	if !drained || m.primary == nil || m.primary.statusRequestedAt.Before(since) {
		return model.Position{}
	}
	return m.primary.status.Position
}

func (m *Machine) isHandoverReady() bool {
	return m.hasSuccessorAt(m.handoverPosition())
}

func (m *Machine) handlePrimaryIdle(e PrimaryIdle) {
	if m.handover.draining && m.handover.idleSince.IsZero() && e.Term == m.term {
		m.handover.idleSince = m.now
	}
}

// scheduleProbes makes the next probe of every member due immediately.
func (m *Machine) scheduleProbes() {
	for _, member := range m.members {
		member.nextProbeAt = m.now
	}
}
