package failover

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Machine is the failover state machine of one replication group.
type Machine struct {
	config      Config
	timing      Timing
	now         time.Time
	seq         uint64
	members     []*memberState     // members of the current list, then members that only earlier lists contain
	memberLists [][]model.TargetID // current list and unsettled earlier lists; a majority is required in each
	highestTerm uint64             // greatest term observed or used
	actions     []Action

	term        uint64 // term of the last known primary
	primary     *memberState
	reason      string
	writable    bool
	viewChanged bool // the view must be published again

	election   electionState
	handover   handoverState
	membership membershipState
	stall      stallState
	writes     []pendingWrite
}

// New returns a machine without any state of its group. The first call of Handle returns probes for all members.
func New(config Config, now time.Time) *Machine {
	m := &Machine{config: config, timing: withDefaults(config.Timing), now: now, reason: "no member has answered"}
	m.election.noPrimarySince = now
	m.setMembers(config.Members)
	m.membership = membershipState{settled: true}
	m.memberLists = m.memberLists[:1]
	return m
}

// Handle processes an event at local time now and returns the actions to perform, in order. The time must not decrease
// between calls.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if pause := now.Sub(m.now); pause > m.timing.PauseThreshold {
		m.restartDetection(now)
	}
	m.now = now
	m.actions = nil
	m.dispatch(event)
	m.updatePrimary()
	m.settleMembership()
	m.detectFailures()
	m.updateHandover()
	m.updateStall()
	m.elect()
	m.attachReplicas()
	m.processWrites()
	m.publish()
	return m.actions
}

// View returns the current state of the group.
func (m *Machine) View() View { return m.view() }

func (m *Machine) dispatch(event Event) {
	switch e := event.(type) {
	case ProbeAnswered:
		m.handleProbeAnswered(e)
	case ProbeFailed:
		m.handleProbeFailed(e)
	case CommandAnswered:
		m.handleCommandResult(e.Target, e.Seq, &e.Status)
	case CommandFailed:
		m.handleCommandResult(e.Target, e.Seq, nil)
	case WriteFinished:
		m.handleWriteFinished(e)
	case PrimaryIdle:
		m.handlePrimaryIdle(e)
	case TermObserved:
		m.observeTerm(e.Term)
	case MembersChanged:
		m.setMembers(e.Members)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) findMember(id model.TargetID) *memberState {
	for _, member := range m.members {
		if member.id == id {
			return member
		}
	}
	return nil
}

// observeTerm records a term and makes the probes of all members due if the term is new.
func (m *Machine) observeTerm(term uint64) {
	if term <= m.highestTerm {
		return
	}
	m.highestTerm = term
	for _, member := range m.members {
		member.nextProbeAt = m.now
	}
}

// hasMajority reports whether the members that satisfy condition are a majority of every list in memberLists.
func (m *Machine) hasMajority(condition func(*memberState) bool) bool {
	for _, list := range m.memberLists {
		n := 0
		for _, id := range list {
			if member := m.findMember(id); member != nil && condition(member) {
				n++
			}
		}
		if n <= len(list)/2 {
			return false
		}
	}
	return true
}

// updatePrimary sets the primary to the member with the primary role in the greatest term. Only a member's own status
// shows that it is primary.
func (m *Machine) updatePrimary() {
	for _, member := range m.members {
		later := member.status.AdoptedTerm > m.term || member.status.AdoptedTerm == m.term && m.primary == nil
		if member.hasStatus && member.status.Role == RolePrimary && later {
			m.setPrimary(member, member.status.AdoptedTerm,
				fmt.Sprintf("%s is primary of term %d", member.id, member.status.AdoptedTerm))
		}
	}
	if m.primary != nil && (m.primary.status.Role != RolePrimary || m.primary.status.AdoptedTerm != m.term) {
		reason := fmt.Sprintf("%s is no longer primary of term %d", m.primary.id, m.term)
		m.setPrimary(nil, m.term, reason)
	}
}

func (m *Machine) setPrimary(member *memberState, term uint64, reason string) {
	m.primary, m.term, m.reason, m.viewChanged = member, term, reason, true
	m.election.noPrimarySince = m.now
	m.abandonWrites(reason)
	m.handover, m.stall = handoverState{}, stallState{}
	for _, other := range m.members {
		other.provenPosition = model.Position{}
		if other.hasStatus {
			other.recordProvenPosition(other.status, term)
		}
	}
	if member != nil {
		m.election.endElection(term)
	}
}

// hasPrimaryTerm reports whether member has adopted the term of the primary, according to its last status.
func (m *Machine) hasPrimaryTerm(member *memberState) bool {
	return member.hasStatus && member.status.AdoptedTerm == m.term
}

func (m *Machine) publish() {
	writable, reason := m.checkWritable()
	if writable != m.writable {
		m.writable, m.viewChanged = writable, true
		if reason != "" {
			m.reason = reason
		}
	}
	if m.viewChanged {
		m.viewChanged = false
		m.emit(PublishView{m.view()})
	}
}

// checkWritable reports whether a write that starts now is likely to be acknowledged, and the reason. Without a primary
// the reason is empty, so that the view keeps the reason for which the primary was lost.
func (m *Machine) checkWritable() (bool, string) {
	switch {
	case m.primary == nil:
		return false, ""
	case m.primary.dead:
		return false, fmt.Sprintf("primary %s is dead: %s", m.primary.id, m.primary.deadReason)
	case m.handover.draining:
		return false, fmt.Sprintf("primary %s is leaving", m.primary.id)
	case m.election.term != 0:
		return false, "election: " + m.election.reason
	case !m.hasMajority(func(member *memberState) bool { return !member.dead && m.hasPrimaryTerm(member) }):
		return false, fmt.Sprintf("no majority has adopted term %d", m.term)
	}
	return true, fmt.Sprintf("a majority has adopted term %d", m.term)
}

func (m *Machine) view() View {
	v := View{
		Service:        m.config.Service,
		Term:           m.term,
		Writable:       m.writable,
		Draining:       m.handover.draining,
		Electing:       m.election.term != 0,
		MembersSettled: m.membership.settled,
		ConfirmedAt:    m.majorityConfirmedAt(),
		Reason:         m.reason,
	}
	if m.primary != nil {
		v.Primary = m.primary.id
	}
	for _, member := range m.members {
		v.Members = append(v.Members, MemberView{
			Target:            member.id,
			HasStatus:         member.hasStatus,
			Alive:             member.hasStatus && !member.dead,
			Leaving:           member.leaving,
			AdoptedTerm:       member.status.AdoptedTerm,
			Role:              member.status.Role,
			Position:          member.status.Position,
			Replicated:        slices.Contains(member.followedTerms, member.status.Position.Term),
			StatusRequestedAt: member.statusRequestedAt,
		})
	}
	return v
}

// majorityConfirmedAt returns the latest time t such that a majority reported the primary's term in statuses that were
// requested at t or later. No later term had a majority before t.
func (m *Machine) majorityConfirmedAt() time.Time {
	var times []time.Time
	for _, member := range m.members {
		if m.hasPrimaryTerm(member) {
			times = append(times, member.statusRequestedAt)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	for _, t := range times {
		if m.hasMajority(func(member *memberState) bool {
			return m.hasPrimaryTerm(member) && !member.statusRequestedAt.Before(t)
		}) {
			return t
		}
	}
	return time.Time{}
}

// comparePositions compares positions by log term, then by offset.
func comparePositions(a, b model.Position) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Offset, b.Offset))
}

func withDefaults(t Timing) Timing {
	d := DefaultTiming()
	set := func(value *time.Duration, fallback time.Duration) { *value = cmp.Or(*value, fallback) }
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
