package failover

import (
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// awaitSpacing is the least time between two AwaitPosition for one member, so that a member that answers early is not
// asked in a loop.
const awaitSpacing = 2 * time.Millisecond

// write is a finished write whose durability is not decided.
type write struct {
	id       uint64
	position model.Position
	deadline time.Time
}

// takeWrite accepts a write of the current primary. Other writes cannot be proven durable any more, because the replicas
// that would prove it have adopted a later term.
func (m *Machine) takeWrite(e WriteFinished) {
	if m.primary == nil || m.primary.id != e.Target || m.term != e.Position.Term {
		reason := fmt.Sprintf("%s is not primary of term %d", e.Target, e.Position.Term)
		m.emit(AbandonWrite{ID: e.ID, Reason: reason})
		return
	}
	m.writes = append(m.writes, write{e.ID, e.Position, e.Deadline})
}

func (m *Machine) giveUpAll(reason string) {
	for _, w := range m.writes {
		m.emit(AbandonWrite{ID: w.id, Reason: reason})
	}
	m.writes = nil
}

// trackWrites decides writes and asks replicas for the positions of the others.
func (m *Machine) trackWrites() {
	m.writes = slices.DeleteFunc(m.writes, m.decide)
	last := m.handoverTarget()
	for _, w := range m.writes {
		last = last.Later(w.position)
	}
	if last != (model.Position{}) {
		m.awaitReplicas(last)
	}
}

// decide reports whether w is acknowledged or given up.
func (m *Machine) decide(w write) bool {
	if m.durable(w.position) {
		m.emit(AcknowledgeWrite{ID: w.id})
		return true
	}
	if !m.now.Before(w.deadline) {
		m.emit(AbandonWrite{ID: w.id, Reason: "no majority confirmed the write in time"})
		return true
	}
	return false
}

// durable reports whether a majority is proven to have the entry at position, which the primary has.
func (m *Machine) durable(position model.Position) bool {
	return m.quorum(func(x *member) bool { return x == m.primary || x.covers(position) })
}

// awaitReplicas asks each replica for the greatest position that is wanted. One question covers all earlier writes.
func (m *Machine) awaitReplicas(position model.Position) {
	for _, x := range m.members {
		if x == m.primary || !answers(x) || !m.holdsTerm(x) || x.covers(position) {
			continue
		}
		overdue := m.now.Sub(x.await.sent) >= 2*m.timing.AwaitTimeout
		if x.await.open() && !overdue || m.now.Before(x.nextAwait) {
			continue
		}
		x.await = request{m.nextSeq(), m.now}
		m.emit(AwaitPosition{Target: x.id, Seq: x.await.seq, Position: position, Timeout: m.timing.AwaitTimeout})
	}
}
