package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Machine is the state machine of one group.
type Machine struct {
	config  Config
	timing  Timing
	now     time.Time
	seq     uint64
	members []*member          // current members, then members of earlier lists that are not settled
	groups  [][]model.TargetID // the current list and earlier lists that are not settled; each needs its majority
	highest uint64             // greatest term that was seen or used
	actions []Action

	term     uint64 // of the last known primary
	primary  *member
	reason   string
	writable bool
	changed  bool // the view must be published

	election election
	handover handover
	settle   settlement
	stall    stall
	writes   []write
}

// New returns a machine that knows nothing about the state of its group. The first Handle sends probes.
func New(config Config, now time.Time) *Machine {
	m := &Machine{config: config, timing: withDefaults(config.Timing), now: now, reason: "no member has answered"}
	m.election.noPrimarySince = now
	m.changeMembers(config.Members)
	m.settle = settlement{settled: true}
	m.groups = m.groups[:1]
	return m
}

// Handle takes one event at local time now and returns the actions to perform, in order. Time must not go back.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if pause := now.Sub(m.now); pause > m.timing.PauseThreshold {
		m.forgiveSilence(now)
	}
	m.now = now
	m.actions = nil
	m.take(event)
	m.resolve()
	m.settleMembers()
	m.detect()
	m.planHandover()
	m.checkStall()
	m.elect()
	m.followPrimary()
	m.trackWrites()
	m.publish()
	return m.actions
}

// View returns the current view.
func (m *Machine) View() View { return m.view() }

func (m *Machine) take(event Event) {
	switch e := event.(type) {
	case ProbeAnswered:
		m.takeAnswer(e)
	case ProbeFailed:
		m.takeProbeFailure(e)
	case CommandAnswered:
		m.takeCommand(e.Target, e.Seq, &e.Status)
	case CommandFailed:
		m.takeCommand(e.Target, e.Seq, nil)
	case WriteFinished:
		m.takeWrite(e)
	case PrimaryIdle:
		m.takeIdle(e)
	case TermObserved:
		m.takeTerm(e.Term)
	case MembersChanged:
		m.changeMembers(e.Members)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) member(id model.TargetID) *member {
	for _, x := range m.members {
		if x.id == id {
			return x
		}
	}
	return nil
}

// takeTerm notes a term and, when it is new, makes all probes due.
func (m *Machine) takeTerm(term uint64) {
	if term <= m.highest {
		return
	}
	m.highest = term
	for _, x := range m.members {
		x.nextProbe = m.now
	}
}

// quorum reports whether the members that satisfy has are a majority of every list that counts.
func (m *Machine) quorum(has func(*member) bool) bool {
	for _, group := range m.groups {
		n := 0
		for _, id := range group {
			if x := m.member(id); x != nil && has(x) {
				n++
			}
		}
		if n <= len(group)/2 {
			return false
		}
	}
	return true
}

// resolve finds the primary of the greatest term. Its own report is the only evidence that a member is primary.
func (m *Machine) resolve() {
	for _, x := range m.members {
		later := x.status.AdoptedTerm > m.term || x.status.AdoptedTerm == m.term && m.primary == nil
		if x.known && x.status.Role == RolePrimary && later {
			m.setPrimary(x, x.status.AdoptedTerm, fmt.Sprintf("%s is primary of term %d", x.id, x.status.AdoptedTerm))
		}
	}
	if m.primary != nil && (m.primary.status.Role != RolePrimary || m.primary.status.AdoptedTerm != m.term) {
		reason := fmt.Sprintf("%s is no longer primary of term %d", m.primary.id, m.term)
		m.setPrimary(nil, m.term, reason)
	}
}

func (m *Machine) setPrimary(x *member, term uint64, reason string) {
	m.primary, m.term, m.reason, m.changed = x, term, reason, true
	m.election.noPrimarySince = m.now
	m.giveUpAll(reason)
	m.handover, m.stall = handover{}, stall{}
	for _, y := range m.members {
		y.holds = model.Position{}
		if y.known {
			y.noteHolds(y.status, term)
		}
	}
	if x != nil {
		m.election.finished(term)
	}
}

// holdsTerm reports whether x is known to have adopted the term of the primary.
func (m *Machine) holdsTerm(x *member) bool {
	return x.known && x.status.AdoptedTerm == m.term
}

func (m *Machine) publish() {
	writable, reason := m.checkWritable()
	if writable != m.writable {
		m.writable, m.changed = writable, true
		if reason != "" {
			m.reason = reason
		}
	}
	if m.changed {
		m.changed = false
		m.emit(PublishView{m.view()})
	}
}

// checkWritable reports whether a write that starts now is likely to be acknowledged, and why not.
func (m *Machine) checkWritable() (bool, string) {
	switch {
	case m.primary == nil:
		return false, ""
	case m.primary.dead:
		return false, fmt.Sprintf("primary %s is dead: %s", m.primary.id, m.primary.deadReason)
	case m.handover.held:
		return false, fmt.Sprintf("primary %s is leaving", m.primary.id)
	case m.election.term != 0:
		return false, "election: " + m.election.reason
	case !m.quorum(func(x *member) bool { return !x.dead && m.holdsTerm(x) }):
		return false, fmt.Sprintf("no majority has adopted term %d", m.term)
	}
	return true, fmt.Sprintf("a majority has adopted term %d", m.term)
}

func (m *Machine) view() View {
	v := View{
		Service:        m.config.Service,
		Term:           m.term,
		Writable:       m.writable,
		Draining:       m.handover.held,
		Electing:       m.election.term != 0,
		MembersSettled: m.settle.settled,
		ConfirmedAt:    m.confirmed(),
		Reason:         m.reason,
	}
	if m.primary != nil {
		v.Primary = m.primary.id
	}
	for _, x := range m.members {
		v.Members = append(v.Members, MemberView{
			Target:            x.id,
			HasStatus:         x.known,
			Alive:             x.known && !x.dead,
			Leaving:           x.leaving,
			AdoptedTerm:       x.status.AdoptedTerm,
			Role:              x.status.Role,
			Position:          x.status.Position,
			Replicated:        slices.Contains(x.followed, x.status.Position.Term),
			StatusRequestedAt: x.asked,
		})
	}
	return v
}

// confirmed returns the latest time t such that a majority reported the term of the primary in statuses that were asked
// for at t or later. No later term had a majority before t.
func (m *Machine) confirmed() time.Time {
	var times []time.Time
	for _, x := range m.members {
		if m.holdsTerm(x) {
			times = append(times, x.asked)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if m.quorum(func(x *member) bool { return m.holdsTerm(x) && !x.asked.Before(t) }) {
			return t
		}
	}
	return time.Time{}
}

// comparePositions orders positions by log term and then by offset.
func comparePositions(a, b model.Position) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Offset, b.Offset))
}

func withDefaults(t Timing) Timing {
	d := DefaultTiming()
	set := func(value *time.Duration, standard time.Duration) { *value = cmp.Or(*value, standard) }
	set(&t.ProbeInterval, d.ProbeInterval)
	set(&t.ReconnectAfter, d.ReconnectAfter)
	set(&t.DeadAfter, d.DeadAfter)
	set(&t.RedialInterval, d.RedialInterval)
	set(&t.DeadRedialInterval, d.DeadRedialInterval)
	set(&t.CommandTimeout, d.CommandTimeout)
	set(&t.ElectionTimeout, d.ElectionTimeout)
	set(&t.BaseBackoff, d.BaseBackoff)
	set(&t.MaxBackoff, d.MaxBackoff)
	set(&t.CompetingElectionWait, d.CompetingElectionWait)
	set(&t.HandoverTimeout, d.HandoverTimeout)
	set(&t.DrainTimeout, d.DrainTimeout)
	set(&t.AwaitTimeout, d.AwaitTimeout)
	set(&t.StallTimeout, d.StallTimeout)
	set(&t.PauseThreshold, d.PauseThreshold)
	return t
}
