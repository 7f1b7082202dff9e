package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// minAwaitInterval is the minimum time between two AwaitPosition requests to a member. It prevents a busy loop if the
// member answers before it has reached the position.
const minAwaitInterval = 2 * time.Millisecond

// pendingWrite is a finished write that is neither acknowledged nor abandoned.
type pendingWrite struct {
	id       uint64
	position model.Position
	deadline time.Time
}

// handleWriteFinished queues a write of the current primary. Other writes are abandoned: they can no longer be confirmed,
// because the replicas have adopted a later term.
func (m *Machine) handleWriteFinished(e WriteFinished) {
	if m.primary == nil || m.primary.id != e.Target || m.term != e.Position.Term {
		reason := fmt.Sprintf("%s is not primary of term %d", e.Target, e.Position.Term)
		m.emit(AbandonWrite{ID: e.ID, Reason: reason})
		return
	}
	m.writes = append(m.writes, pendingWrite{e.ID, e.Position, e.Deadline})
}

func (m *Machine) abandonWrites(reason string) {
	for _, w := range m.writes {
		m.emit(AbandonWrite{ID: w.id, Reason: reason})
	}
	m.writes = nil
}

// processWrites acknowledges or abandons pending writes and requests replica positions for the remaining ones.
func (m *Machine) processWrites() {
	m.writes = slices.DeleteFunc(m.writes, m.resolveWrite)
	last := m.handoverPosition()
	for _, w := range m.writes {
		last = last.Max(w.position)
	}
	if last != (model.Position{}) {
		m.requestPositions(last)
	}
}

// resolveWrite acknowledges or abandons w if possible, and reports whether it did.
func (m *Machine) resolveWrite(w pendingWrite) bool {
	if m.isDurable(w.position) {
		m.emit(AcknowledgeWrite{ID: w.id})
		return true
	}
	if !m.now.Before(w.deadline) {
		m.emit(AbandonWrite{ID: w.id, Reason: "no majority confirmed the write in time"})
		return true
	}
	return false
}

// isDurable reports whether a majority, including the primary, is proven to have the entry at position.
func (m *Machine) isDurable(position model.Position) bool {
	return m.hasMajority(func(member *memberState) bool { return member == m.primary || member.hasReached(position) })
}

// requestPositions sends an AwaitPosition for position to each replica that has not reached it. A single request for the
// greatest position covers all earlier writes.
func (m *Machine) requestPositions(position model.Position) {
	for _, member := range m.members {
		if member == m.primary || !isResponsive(member) || !m.hasPrimaryTerm(member) || member.hasReached(position) {
			continue
		}
		overdue := m.now.Sub(member.awaitRequest.sentAt) >= 2*m.timing.AwaitTimeout
		if member.awaitRequest.isPending() && !overdue || m.now.Before(member.nextAwaitAt) {
			continue
		}
		member.awaitRequest = pendingRequest{m.nextSeq(), m.now}
		m.emit(AwaitPosition{Target: member.id, Seq: member.awaitRequest.seq, Position: position, Timeout: m.timing.AwaitTimeout})
	}
}
