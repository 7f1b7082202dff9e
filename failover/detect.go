package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// detectFailures sends probes, opens connections and declares unresponsive members dead.
func (m *Machine) detectFailures() {
	for _, member := range m.members {
		m.probe(member)
		m.checkDeadTimeout(member)
		m.reconnect(member)
	}
}

func (m *Machine) probe(member *memberState) {
	if member.disconnected || member.dead || member.probeRequest.isPending() || m.now.Before(member.nextProbeAt) {
		return
	}
	member.probeRequest = pendingRequest{m.nextSeq(), m.now}
	if member.unansweredSince.IsZero() {
		member.unansweredSince = m.now
	}
	m.emit(Probe{Target: member.id, Seq: member.probeRequest.seq})
}

func (m *Machine) checkDeadTimeout(member *memberState) {
	if !member.dead && !member.unansweredSince.IsZero() && m.now.Sub(member.unansweredSince) >= m.timing.DeadAfter {
		m.declareDead(member, fmt.Sprintf("no answer for %v", m.timing.DeadAfter))
	}
}

func (m *Machine) reconnect(member *memberState) {
	if member.dialRequest.isPending() && m.now.Sub(member.dialRequest.sentAt) >= m.timing.DeadAfter {
		member.dialRequest = pendingRequest{}
	}
	if member.dialRequest.isPending() || !m.needsReconnect(member) || m.now.Before(member.nextDialAt) {
		return
	}
	member.dialRequest = pendingRequest{m.nextSeq(), m.now}
	reason := fmt.Sprintf("no answer for %v", m.timing.ReconnectAfter)
	switch {
	case member.disconnected:
		reason = "no control connection"
	case member.dead:
		reason = "target is dead"
	}
	m.emit(OpenConnection{Target: member.id, Seq: member.dialRequest.seq, Reason: reason})
}

func (m *Machine) needsReconnect(member *memberState) bool {
	if member.disconnected || member.dead {
		return true
	}
	return !member.unansweredSince.IsZero() && m.now.Sub(member.unansweredSince) >= m.timing.ReconnectAfter
}

func (m *Machine) declareDead(member *memberState, reason string) {
	member.dead, member.deadReason, m.viewChanged = true, reason, true
	member.commandRequest, member.awaitRequest = pendingRequest{}, pendingRequest{}
}

func (m *Machine) handleProbeAnswered(e ProbeAnswered) {
	member := m.findMember(e.Target)
	if member == nil {
		return
	}
	switch {
	case member.probeRequest.isPending() && member.probeRequest.seq == e.Seq:
		m.recordStatus(member, e.Status, member.probeRequest.sentAt)
		m.markAlive(member)
	case member.dialRequest.isPending() && member.dialRequest.seq == e.Seq:
		m.recordStatus(member, e.Status, member.dialRequest.sentAt)
		m.handleConnected(member)
	}
}

func (m *Machine) markAlive(member *memberState) {
	member.nextProbeAt = member.probeRequest.sentAt.Add(m.timing.ProbeInterval)
	member.probeRequest, member.unansweredSince, member.refusedDials = pendingRequest{}, time.Time{}, 0
	member.dead, member.deadReason = false, ""
}

// handleConnected uses or discards a new connection that has answered.
func (m *Machine) handleConnected(member *memberState) {
	member.dialRequest = pendingRequest{}
	if !m.needsReconnect(member) {
		m.emit(DiscardConnection{Target: member.id})
		return
	}
	m.emit(ReplaceConnections{Target: member.id, Reason: "a new connection works"})
	member.disconnected = false
	m.markAlive(member)
}

func (m *Machine) handleProbeFailed(e ProbeFailed) {
	member := m.findMember(e.Target)
	if member == nil {
		return
	}
	switch {
	case member.probeRequest.isPending() && member.probeRequest.seq == e.Seq:
		member.probeRequest, member.disconnected, member.nextDialAt = pendingRequest{}, true, m.now
	case member.dialRequest.isPending() && member.dialRequest.seq == e.Seq:
		member.dialRequest = pendingRequest{}
		m.recordDialFailure(member, e.Failure)
	}
}

func (m *Machine) recordDialFailure(member *memberState, failure FailureKind) {
	member.nextDialAt = m.now.Add(m.timing.RedialInterval)
	if member.dead {
		member.nextDialAt = m.now.Add(m.timing.DeadRedialInterval)
	}
	if failure != FailureRefused {
		member.refusedDials = 0
		return
	}
	member.refusedDials++
	if member.refusedDials >= MaxRefusedConnections && !member.dead {
		m.declareDead(member, fmt.Sprintf("refused %d connections", member.refusedDials))
	}
}

// stallState detects a primary that answers probes but cannot replicate, so that no write is acknowledged.
type stallState struct {
	// startedAt is the time since which the end of the primary's log is not durable and no replica has made progress.
	startedAt        time.Time
	replicaPositions []model.Position // at startedAt
}

func (m *Machine) updateStall() {
	stall := &m.stall
	if m.primary == nil || m.isDurable(m.primary.status.Position) {
		*stall = stallState{}
		return
	}
	var positions []model.Position
	for _, member := range m.members {
		if member != m.primary {
			positions = append(positions, member.status.Position)
		}
	}
	if stall.startedAt.IsZero() || !slices.Equal(positions, stall.replicaPositions) {
		*stall = stallState{m.now, positions}
	}
}

// isStalled reports whether the primary must be replaced because replication has stalled. Without a majority of other
// members, an election could only choose the same primary again.
func (m *Machine) isStalled() bool {
	stall := &m.stall
	return !stall.startedAt.IsZero() && m.now.Sub(stall.startedAt) >= m.timing.StallTimeout &&
		m.hasMajority(m.canReplacePrimary)
}

// canReplacePrimary reports whether member can take part in the election of a different primary.
func (m *Machine) canReplacePrimary(member *memberState) bool {
	return isResponsive(member) && member != m.primary
}

// restartDetection restarts all detection timeouts after a pause of this process, because unread answers may still be
// buffered.
func (m *Machine) restartDetection(now time.Time) {
	m.stall = stallState{}
	for _, member := range m.members {
		if !member.unansweredSince.IsZero() && !member.dead {
			member.unansweredSince = now
		}
	}
}
