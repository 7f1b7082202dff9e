package failover

import (
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// maxBackoffDoublings bounds the shift that computes the backoff.
const maxBackoffDoublings = 10

// election is the state of an attempt to change the primary, or of the wait for one.
type election struct {
	term    uint64 // of the attempt, 0 when none is under way; never used twice by this machine
	started time.Time
	reason  string
	exclude *member // leaving or stalled primary that is not needed for a majority, so that it cannot be chosen again
	chosen  *member // the only member that is asked to become primary in this term

	attempts  int // that failed in a row
	notBefore time.Time

	noPrimarySince time.Time
	pending        string // reason that waits to become an attempt
	pendingTerm    uint64 // highest when the wait began
	pendingUntil   time.Time
}

// finished ends the attempt when a primary of its term or of a later term exists.
func (e *election) finished(term uint64) {
	if e.term != 0 && term >= e.term {
		e.term, e.chosen, e.exclude, e.attempts = 0, nil, nil, 0
	}
}

// elect starts an attempt when one is needed, or moves the current attempt on.
func (m *Machine) elect() {
	if m.election.term == 0 {
		m.considerElection()
	}
	if m.election.term != 0 {
		m.runElection()
	}
}

func (m *Machine) considerElection() {
	e := &m.election
	reason, wait := m.electionReason()
	if reason == "" {
		e.pending = ""
		return
	}
	if e.pending != reason || e.pendingTerm != m.highest {
		e.pending, e.pendingTerm = reason, m.highest
		e.pendingUntil = m.now.Add(wait + m.jitter(wait))
	}
	if m.now.Before(e.pendingUntil) || m.now.Before(e.notBefore) {
		return
	}
	// Without a majority an attempt cannot succeed, and the members that adopt its term would leave their primary.
	if m.quorum(answers) {
		m.startElection(reason)
	}
}

func answers(x *member) bool { return x.known && !x.dead }

// electionReason returns why the primary must change, and how long to wait for another orderer to do it.
func (m *Machine) electionReason() (string, time.Duration) {
	for _, x := range m.members {
		if answers(x) && x.status.AdoptedTerm > m.term {
			reason := fmt.Sprintf("%s has adopted term %d, which has no primary", x.id, x.status.AdoptedTerm)
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
	case m.stalled():
		return fmt.Sprintf("replicas of %s made no progress for %v", m.primary.id, m.timing.StallTimeout), 0
	case m.handoverReady():
		return fmt.Sprintf("primary %s is leaving", m.primary.id), 0
	}
	return "", 0
}

func (m *Machine) startElection(reason string) {
	m.highest++
	e := &m.election
	e.term, e.started, e.reason, e.chosen, e.exclude = m.highest, m.now, reason, nil, nil
	e.pending = ""
	m.reason, m.changed = "election: "+reason, true
	if m.primary != nil && (m.handover.held || m.stalled()) && m.quorum(m.mayReplace) {
		e.exclude = m.primary
	}
}

func (m *Machine) runElection() {
	e := &m.election
	switch {
	case m.now.Sub(e.started) >= m.timing.ElectionTimeout:
		m.failElection("no result in time")
		return
	case e.chosen == nil && !m.quorum(m.mayAdopt):
		m.failElection("a majority cannot adopt the term any more")
		return
	case e.chosen != nil && e.chosen.dead:
		m.failElection(fmt.Sprintf("%s is dead: %s", e.chosen.id, e.chosen.deadReason))
		return
	case e.chosen != nil && e.chosen.status.AdoptedTerm > e.term:
		m.failElection(fmt.Sprintf("%s has adopted term %d", e.chosen.id, e.chosen.status.AdoptedTerm))
		return
	}
	if e.chosen == nil && m.quorum(m.adopted) {
		e.chosen = m.bestAdopter()
	}
	if e.chosen != nil {
		m.promote(e.chosen)
		return
	}
	for _, x := range m.members {
		if answers(x) && x != e.exclude && x.status.AdoptedTerm < e.term {
			m.adopt(x, e.term, e.reason)
		}
	}
}

// adopted reports whether x is known to have adopted the term of the attempt from this machine. From then on its
// position is final until it gets a primary of that term.
func (m *Machine) adopted(x *member) bool {
	return x.known && x.status.AdoptedTerm == m.election.term && x.status.Orderer == m.config.Orderer
}

func (m *Machine) mayAdopt(x *member) bool {
	return m.adopted(x) || answers(x) && x.status.AdoptedTerm < m.election.term
}

// bestAdopter returns the adopter with the greatest position. Among equal positions a member that stays goes first.
func (m *Machine) bestAdopter() *member {
	var best *member
	for _, x := range m.members {
		if !m.adopted(x) {
			continue
		}
		if best == nil {
			best = x
			continue
		}
		order := comparePositions(x.status.Position, best.status.Position)
		if order > 0 || order == 0 && best.leaving && !x.leaving {
			best = x
		}
	}
	return best
}

// failElection gives the attempt up. The next one uses a greater term, because the outcome of a promotion that got no
// answer is unknown.
func (m *Machine) failElection(reason string) {
	e := &m.election
	limit := min(m.timing.BaseBackoff<<min(e.attempts, maxBackoffDoublings), m.timing.MaxBackoff)
	e.notBefore = m.now.Add(m.jitter(limit))
	e.attempts++
	m.reason, m.changed = fmt.Sprintf("election of term %d failed: %s", e.term, reason), true
	e.term, e.chosen, e.exclude = 0, nil, nil
}

// jitter returns a random duration in [0, limit).
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.config.Rand() * float64(limit))
}

// followPrimary brings members that are not with the primary back to it.
func (m *Machine) followPrimary() {
	if m.primary == nil || m.primary.dead || m.election.term != 0 {
		return
	}
	for _, x := range m.members {
		switch {
		case x == m.primary || !answers(x) || x.status.AdoptedTerm > m.term:
		case x.status.AdoptedTerm < m.term:
			m.adopt(x, m.term, fmt.Sprintf("%s is primary of term %d", m.primary.id, m.term))
		case x.status.PrimaryAddress != m.primary.address:
			m.follow(x)
		}
	}
}

type commandKind uint8

const (
	commandAdopt commandKind = iota + 1
	commandPromote
	commandFollow
)

// commandKey identifies a command to one member. Sending a command again is harmless.
type commandKey struct {
	kind    commandKind
	term    uint64
	address string
}

func (m *Machine) adopt(x *member, term uint64, reason string) {
	if seq, due := m.commandDue(x, commandKey{kind: commandAdopt, term: term}); due {
		m.emit(AdoptTerm{Target: x.id, Seq: seq, Term: term, Orderer: m.config.Orderer, Reason: reason})
	}
}

func (m *Machine) promote(x *member) {
	e := &m.election
	if seq, due := m.commandDue(x, commandKey{kind: commandPromote, term: e.term}); due {
		reason := fmt.Sprintf("greatest position %v among the adopters", x.status.Position)
		m.emit(Promote{Target: x.id, Seq: seq, Term: e.term, Orderer: m.config.Orderer, Reason: reason})
	}
}

func (m *Machine) follow(x *member) {
	key := commandKey{kind: commandFollow, term: m.term, address: m.primary.address}
	if seq, due := m.commandDue(x, key); due {
		m.emit(FollowPrimary{Target: x.id, Seq: seq, Term: m.term, Primary: m.primary.id, Address: m.primary.address})
	}
}

// commandDue reports whether a command must be sent to x now, and under which number. A repetition keeps its number, so
// that an answer counts however late it comes.
func (m *Machine) commandDue(x *member, key commandKey) (uint64, bool) {
	same := x.commandKey == key
	switch {
	case same && x.command.open() && m.now.Sub(x.commandLast) < m.timing.CommandTimeout:
		return 0, false
	case same && !x.command.open() && m.now.Before(x.nextCommand):
		return 0, false
	case !same || !x.command.open():
		x.command = request{m.nextSeq(), m.now}
	}
	x.commandKey, x.commandLast = key, m.now
	return x.command.seq, true
}

// takeCommand takes the answer to a command, or its failure when status is nil.
func (m *Machine) takeCommand(target model.TargetID, seq uint64, status *Status) {
	x := m.member(target)
	if x == nil {
		return
	}
	var asked time.Time
	switch {
	case x.command.open() && x.command.seq == seq:
		asked, x.command = x.command.sent, request{}
		x.nextCommand = m.now.Add(m.timing.CommandTimeout / 2)
	case x.await.open() && x.await.seq == seq:
		asked, x.await = x.await.sent, request{}
		x.nextAwait = m.now.Add(awaitSpacing)
	default:
		return
	}
	if status != nil {
		m.learn(x, *status, asked)
	}
}
