package failover

import (
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// maxBackoffDoublings limits the exponent of the backoff, so that the shift does not overflow.
const maxBackoffDoublings = 10

// electionState is the state of the current or the next election.
type electionState struct {
	term      uint64 // term of the current election, 0 if there is none; never reused by this machine
	startedAt time.Time
	reason    string
	excluded  *memberState // leaving or stalled primary that must not be chosen again, nil if it is needed for a majority
	candidate *memberState // the only member that is promoted in this term

	failedAttempts int // consecutive failed elections
	retryAt        time.Time

	noPrimarySince time.Time
	pendingReason  string // reason for an election that has not started
	pendingTerm    uint64 // highestTerm at the time pendingReason was set
	pendingUntil   time.Time
}

// endElection ends the current election if term, in which a member reported the primary role, is the election's term or
// a later one.
func (e *electionState) endElection(term uint64) {
	if e.term != 0 && term >= e.term {
		e.term, e.candidate, e.excluded, e.failedAttempts = 0, nil, nil, 0
	}
}

// elect starts an election if one is needed, and advances the current one.
func (m *Machine) elect() {
	if m.election.term == 0 {
		m.scheduleElection()
	}
	if m.election.term != 0 {
		m.advanceElection()
	}
}

func (m *Machine) scheduleElection() {
	e := &m.election
	reason, wait := m.electionReason()
	if reason == "" {
		e.pendingReason = ""
		return
	}
	if e.pendingReason != reason || e.pendingTerm != m.highestTerm {
		e.pendingReason, e.pendingTerm = reason, m.highestTerm
		e.pendingUntil = m.now.Add(wait + m.jitter(wait))
	}
	if m.now.Before(e.pendingUntil) || m.now.Before(e.retryAt) {
		return
	}
	// Without a majority the election cannot succeed, and members that adopt its term would stop following their primary.
	if m.hasMajority(isResponsive) {
		m.startElection(reason)
	}
}

func isResponsive(member *memberState) bool { return member.hasStatus && !member.dead }

// electionReason returns the reason for an election, or "", and the time to wait for another orderer to complete one.
func (m *Machine) electionReason() (string, time.Duration) {
	for _, member := range m.members {
		if isResponsive(member) && member.status.AdoptedTerm > m.term {
			reason := fmt.Sprintf("%s has adopted term %d, which has no primary", member.id, member.status.AdoptedTerm)
			return reason, m.timing.CompetingElectionWait
		}
	}
	switch {
	case m.primary == nil && m.term == 0:
		return "no member is primary", m.timing.CompetingElectionWait
	case m.primary == nil:
		return fmt.Sprintf("the primary of term %d lost its role", m.term), 0
	case m.primary.dead:
		return fmt.Sprintf("primary %s is dead: %s", m.primary.id, m.primary.deadReason), 0
	case m.isStalled():
		return fmt.Sprintf("replicas of %s made no progress for %v", m.primary.id, m.timing.StallTimeout), 0
	case m.isHandoverReady():
		return fmt.Sprintf("primary %s is leaving", m.primary.id), 0
	}
	return "", 0
}

func (m *Machine) startElection(reason string) {
	m.highestTerm++
	e := &m.election
	e.term, e.startedAt, e.reason, e.candidate, e.excluded = m.highestTerm, m.now, reason, nil, nil
	e.pendingReason = ""
	m.reason, m.viewChanged = "election: "+reason, true
	if m.primary != nil && (m.handover.draining || m.isStalled()) && m.hasMajority(m.canReplacePrimary) {
		e.excluded = m.primary
	}
}

func (m *Machine) advanceElection() {
	e := &m.election
	switch {
	case m.now.Sub(e.startedAt) >= m.timing.ElectionTimeout:
		m.failElection("timed out")
		return
	case e.candidate == nil && !m.hasMajority(m.canAdopt):
		m.failElection("no majority can adopt the term")
		return
	case e.candidate != nil && e.candidate.dead:
		m.failElection(fmt.Sprintf("%s is dead: %s", e.candidate.id, e.candidate.deadReason))
		return
	case e.candidate != nil && e.candidate.status.AdoptedTerm > e.term:
		m.failElection(fmt.Sprintf("%s has adopted term %d", e.candidate.id, e.candidate.status.AdoptedTerm))
		return
	}
	if e.candidate == nil && m.hasMajority(m.hasAdopted) {
		e.candidate = m.bestAdopter()
	}
	if e.candidate != nil {
		m.sendPromote(e.candidate)
		return
	}
	for _, member := range m.members {
		if isResponsive(member) && member != e.excluded && member.status.AdoptedTerm < e.term {
			m.sendAdoptTerm(member, e.term, e.reason)
		}
	}
}

// hasAdopted reports whether member has adopted the term of the current election from this machine. Its position cannot
// change any more until it follows a primary of that term.
func (m *Machine) hasAdopted(member *memberState) bool {
	return member.hasStatus && member.status.AdoptedTerm == m.election.term && member.status.Orderer == m.config.Orderer
}

func (m *Machine) canAdopt(member *memberState) bool {
	return m.hasAdopted(member) || isResponsive(member) && member.status.AdoptedTerm < m.election.term
}

// bestAdopter returns the member with the greatest position among those that adopted the election's term. Of equal
// positions, members that are not leaving are preferred.
func (m *Machine) bestAdopter() *memberState {
	var best *memberState
	for _, member := range m.members {
		if !m.hasAdopted(member) {
			continue
		}
		if best == nil {
			best = member
			continue
		}
		order := comparePositions(member.status.Position, best.status.Position)
		if order > 0 || order == 0 && best.leaving && !member.leaving {
			best = member
		}
	}
	return best
}

// failElection ends the current election. The next one uses a greater term, because an unanswered promotion may have
// succeeded.
func (m *Machine) failElection(reason string) {
	e := &m.election
	limit := min(m.timing.BaseBackoff<<min(e.failedAttempts, maxBackoffDoublings), m.timing.MaxBackoff)
	e.retryAt = m.now.Add(m.jitter(limit))
	e.failedAttempts++
	m.reason, m.viewChanged = fmt.Sprintf("election of term %d failed: %s", e.term, reason), true
	e.term, e.candidate, e.excluded = 0, nil, nil
}

// jitter returns a random duration in [0, limit).
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.config.Rand() * float64(limit))
}

// attachReplicas makes members that do not follow the primary adopt its term and follow it.
func (m *Machine) attachReplicas() {
	if m.primary == nil || m.primary.dead || m.election.term != 0 {
		return
	}
	for _, member := range m.members {
		switch {
		case member == m.primary || !isResponsive(member) || member.status.AdoptedTerm > m.term:
		case member.status.AdoptedTerm < m.term:
			m.sendAdoptTerm(member, m.term, fmt.Sprintf("%s is primary of term %d", m.primary.id, m.term))
		case member.status.PrimaryAddress != m.primary.address:
			m.sendFollowPrimary(member)
		}
	}
}

type commandKind uint8

const (
	commandAdopt commandKind = iota + 1
	commandPromote
	commandFollow
)

// commandKey identifies a command to a member. Commands are idempotent.
type commandKey struct {
	kind    commandKind
	term    uint64
	address string
}

func (m *Machine) sendAdoptTerm(member *memberState, term uint64, reason string) {
	if seq, due := m.commandDue(member, commandKey{kind: commandAdopt, term: term}); due {
		m.emit(AdoptTerm{Target: member.id, Seq: seq, Term: term, Orderer: m.config.Orderer, Reason: reason})
	}
}

func (m *Machine) sendPromote(member *memberState) {
	e := &m.election
	if seq, due := m.commandDue(member, commandKey{kind: commandPromote, term: e.term}); due {
		reason := fmt.Sprintf("greatest position %v among the adopters", member.status.Position)
		m.emit(Promote{Target: member.id, Seq: seq, Term: e.term, Orderer: m.config.Orderer, Reason: reason})
	}
}

func (m *Machine) sendFollowPrimary(member *memberState) {
	key := commandKey{kind: commandFollow, term: m.term, address: m.primary.address}
	if seq, due := m.commandDue(member, key); due {
		m.emit(FollowPrimary{Target: member.id, Seq: seq, Term: m.term, Primary: m.primary.id, Address: m.primary.address})
	}
}

// commandDue reports whether a command must be sent to member now, and returns its sequence number. Resending keeps the
// sequence number, so that a late answer to any of the messages is accepted.
func (m *Machine) commandDue(member *memberState, key commandKey) (uint64, bool) {
	sameCommand := member.commandKey == key
	switch {
	case sameCommand && member.commandRequest.isPending() && m.now.Sub(member.commandSentAt) < m.timing.CommandTimeout:
		return 0, false
	case sameCommand && !member.commandRequest.isPending() && m.now.Before(member.nextCommandAt):
		return 0, false
	case !sameCommand || !member.commandRequest.isPending():
		member.commandRequest = pendingRequest{m.nextSeq(), m.now}
	}
	member.commandKey, member.commandSentAt = key, m.now
	return member.commandRequest.seq, true
}

// handleCommandResult processes the answer to a command or to AwaitPosition. A nil status means that it failed.
func (m *Machine) handleCommandResult(target model.TargetID, seq uint64, status *Status) {
	member := m.findMember(target)
	if member == nil {
		return
	}
	var requestedAt time.Time
	switch {
	case member.commandRequest.isPending() && member.commandRequest.seq == seq:
		requestedAt, member.commandRequest = member.commandRequest.sentAt, pendingRequest{}
		member.nextCommandAt = m.now.Add(m.timing.CommandTimeout / 2)
	case member.awaitRequest.isPending() && member.awaitRequest.seq == seq:
		requestedAt, member.awaitRequest = member.awaitRequest.sentAt, pendingRequest{}
		member.nextAwaitAt = m.now.Add(minAwaitInterval)
	default:
		return
	}
	if status != nil {
		m.recordStatus(member, *status, requestedAt)
	}
}
