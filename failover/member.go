package failover

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// memberState is the state that the machine keeps for one member.
type memberState struct {
	id      model.TargetID
	address string
	leaving bool // leaving, or only in an unsettled earlier list

	hasStatus         bool // at least one status has arrived
	status            Status
	statusRequestedAt time.Time      // status was read at this time or later
	primaryReportedAt time.Time      // last arrival of a status with RolePrimary
	provenPosition    model.Position // greatest position reported together with the primary's term
	followedTerms     []uint64       // terms in which the member followed a primary, from the term of its position on

	probeRequest    pendingRequest // over the control connection
	dialRequest     pendingRequest // over a new connection
	nextProbeAt     time.Time
	nextDialAt      time.Time
	unansweredSince time.Time // time of the first unanswered probe, zero if the member answers
	disconnected    bool      // there is no usable control connection
	refusedDials    int       // consecutive refused connections
	dead            bool
	deadReason      string

	commandRequest pendingRequest // AdoptTerm, Promote or FollowPrimary
	commandKey     commandKey
	commandSentAt  time.Time      // last transmission of the command
	nextCommandAt  time.Time      // earliest repetition of an answered command
	awaitRequest   pendingRequest // AwaitPosition
	nextAwaitAt    time.Time
}

// pendingRequest is a request that awaits its answer. The zero value means no request.
type pendingRequest struct {
	seq    uint64
	sentAt time.Time
}

func (r pendingRequest) isPending() bool { return r.seq != 0 }

// updateStatus stores a status that was requested at requestedAt and arrived now, unless it is older than the stored one.
// Statuses can arrive out of order. A lower adopted term is always older. Within a term a member becomes primary at most
// once, so a primary status is newer than a replica status, unless the replica status was requested after the primary
// status had arrived.
func (s *memberState) updateStatus(status Status, requestedAt, now time.Time) {
	sameTerm := s.hasStatus && status.AdoptedTerm == s.status.AdoptedTerm
	promoted := sameTerm && status.Role == RolePrimary && s.status.Role != RolePrimary
	demoted := sameTerm && status.Role != RolePrimary && s.status.Role == RolePrimary
	switch {
	case s.hasStatus && status.AdoptedTerm < s.status.AdoptedTerm:
		return
	case demoted && requestedAt.Before(s.primaryReportedAt):
		return
	case sameTerm && !promoted && requestedAt.Before(s.statusRequestedAt):
		return
	}
	s.hasStatus, s.status = true, status
	if requestedAt.After(s.statusRequestedAt) {
		s.statusRequestedAt = requestedAt
	}
	if status.Role == RolePrimary {
		s.primaryReportedAt = now
	}
	s.recordFollowedTerm()
}

// recordFollowedTerm records the term in which the member follows a primary. A member that follows the primary of a term
// was not that primary itself, so it received all its entries of the term by replication.
func (s *memberState) recordFollowedTerm() {
	s.followedTerms = slices.DeleteFunc(s.followedTerms, func(term uint64) bool { return term < s.status.Position.Term })
	term := s.status.AdoptedTerm
	if s.status.Role != RolePrimary && s.status.PrimaryAddress != "" && !slices.Contains(s.followedTerms, term) {
		s.followedTerms = append(s.followedTerms, term)
	}
}

// recordProvenPosition records the position that the member is proven to have reached in the log of term.
func (s *memberState) recordProvenPosition(status Status, term uint64) {
	if status.AdoptedTerm == term && status.Position.Term == term {
		s.provenPosition = s.provenPosition.Max(status.Position)
	}
}

// hasReached reports whether the member is proven to have the entry at p, a position in the term of the primary.
func (s *memberState) hasReached(p model.Position) bool {
	return s.provenPosition.Term == p.Term && s.provenPosition.Offset >= p.Offset
}

// recordStatus processes a status of member from any kind of answer.
func (m *Machine) recordStatus(member *memberState, status Status, requestedAt time.Time) {
	member.updateStatus(status, requestedAt, m.now)
	member.recordProvenPosition(status, m.term)
	m.observeTerm(max(status.AdoptedTerm, status.Position.Term))
	m.viewChanged = true
}
