package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// detect sends probes and opens connections, and declares members dead.
func (m *Machine) detect() {
	for _, x := range m.members {
		m.probe(x)
		m.checkSilence(x)
		m.dial(x)
	}
}

func (m *Machine) probe(x *member) {
	if x.closed || x.dead || x.probe.open() || m.now.Before(x.nextProbe) {
		return
	}
	x.probe = request{m.nextSeq(), m.now}
	if x.silentSince.IsZero() {
		x.silentSince = m.now
	}
	m.emit(Probe{Target: x.id, Seq: x.probe.seq})
}

func (m *Machine) checkSilence(x *member) {
	if !x.dead && !x.silentSince.IsZero() && m.now.Sub(x.silentSince) >= m.timing.DeadAfter {
		m.declareDead(x, fmt.Sprintf("no answer for %v", m.timing.DeadAfter))
	}
}

func (m *Machine) dial(x *member) {
	if x.dial.open() && m.now.Sub(x.dial.sent) >= m.timing.DeadAfter {
		x.dial = request{}
	}
	if x.dial.open() || !m.needsConnection(x) || m.now.Before(x.nextDial) {
		return
	}
	x.dial = request{m.nextSeq(), m.now}
	reason := fmt.Sprintf("no answer for %v", m.timing.ReconnectAfter)
	switch {
	case x.closed:
		reason = "no control connection"
	case x.dead:
		reason = "target is dead"
	}
	m.emit(OpenConnection{Target: x.id, Seq: x.dial.seq, Reason: reason})
}

func (m *Machine) needsConnection(x *member) bool {
	if x.closed || x.dead {
		return true
	}
	return !x.silentSince.IsZero() && m.now.Sub(x.silentSince) >= m.timing.ReconnectAfter
}

func (m *Machine) declareDead(x *member, reason string) {
	x.dead, x.deadReason, m.changed = true, reason, true
	x.command, x.await = request{}, request{}
}

func (m *Machine) takeAnswer(e ProbeAnswered) {
	x := m.member(e.Target)
	if x == nil {
		return
	}
	switch {
	case x.probe.open() && x.probe.seq == e.Seq:
		m.learn(x, e.Status, x.probe.sent)
		m.markAlive(x)
	case x.dial.open() && x.dial.seq == e.Seq:
		m.learn(x, e.Status, x.dial.sent)
		m.useConnection(x)
	}
}

func (m *Machine) markAlive(x *member) {
	x.nextProbe = x.probe.sent.Add(m.timing.ProbeInterval)
	x.probe, x.silentSince, x.refused = request{}, time.Time{}, 0
	x.dead, x.deadReason = false, ""
}

// useConnection decides what becomes of a new connection that works.
func (m *Machine) useConnection(x *member) {
	x.dial = request{}
	if !m.needsConnection(x) {
		m.emit(DiscardConnection{Target: x.id})
		return
	}
	m.emit(ReplaceConnections{Target: x.id, Reason: "a new connection works"})
	x.closed = false
	m.markAlive(x)
}

func (m *Machine) takeProbeFailure(e ProbeFailed) {
	x := m.member(e.Target)
	if x == nil {
		return
	}
	switch {
	case x.probe.open() && x.probe.seq == e.Seq:
		x.probe, x.closed, x.nextDial = request{}, true, m.now
	case x.dial.open() && x.dial.seq == e.Seq:
		x.dial = request{}
		m.countRefusal(x, e.Failure)
	}
}

func (m *Machine) countRefusal(x *member, failure FailureKind) {
	x.nextDial = m.now.Add(m.timing.RedialInterval)
	if x.dead {
		x.nextDial = m.now.Add(m.timing.DeadRedialInterval)
	}
	if failure != FailureRefused {
		x.refused = 0
		return
	}
	x.refused++
	if x.refused >= MaxRefusedConnections && !x.dead {
		m.declareDead(x, fmt.Sprintf("refused %d connections", x.refused))
	}
}

// stall notices a primary that answers its probes but does not reach its replicas, so that no write is acknowledged.
type stall struct {
	since     time.Time        // since then the end of the primary's log is not durable and no replica made progress
	positions []model.Position // of the replicas at that time
}

func (m *Machine) checkStall() {
	s := &m.stall
	if m.primary == nil || m.durable(m.primary.status.Position) {
		*s = stall{}
		return
	}
	var positions []model.Position
	for _, x := range m.members {
		if x != m.primary {
			positions = append(positions, x.status.Position)
		}
	}
	if s.since.IsZero() || !slices.Equal(positions, s.positions) {
		*s = stall{m.now, positions}
	}
}

// stalled reports whether the primary must be replaced because of a stall. Without a majority of other members it would
// only be chosen again.
func (m *Machine) stalled() bool {
	s := &m.stall
	return !s.since.IsZero() && m.now.Sub(s.since) >= m.timing.StallTimeout && m.quorum(m.mayReplace)
}

// mayReplace reports whether x could vote for another primary than the current one.
func (m *Machine) mayReplace(x *member) bool { return answers(x) && x != m.primary }

// forgiveSilence restarts the detection after a pause of this process, because answers may be waiting in its buffers.
func (m *Machine) forgiveSilence(now time.Time) {
	m.stall = stall{}
	for _, x := range m.members {
		if !x.silentSince.IsZero() && !x.dead {
			x.silentSince = now
		}
	}
}
