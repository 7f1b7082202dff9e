package failover

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// member is what the machine knows about one member.
type member struct {
	id      model.TargetID
	address string
	leaving bool // leaving, or only in a list that is not settled

	known     bool // a status has arrived
	status    Status
	asked     time.Time      // the status dates from then or later
	primaryAt time.Time      // when a status with RolePrimary last arrived
	holds     model.Position // greatest position reported together with the term of the primary
	followed  []uint64       // terms in which the member followed a primary, from the term of its position on

	probe       request // on the control connection
	dial        request // on a new connection
	nextProbe   time.Time
	nextDial    time.Time
	silentSince time.Time // first request without an answer, zero if the member answers
	closed      bool      // there is no control connection
	refused     int       // refused connections in a row
	dead        bool
	deadReason  string

	command     request // Adopt, Promote or Follow
	commandKey  commandKey
	commandLast time.Time // when the command was last sent
	nextCommand time.Time // earliest repetition after an answer
	await       request   // AwaitPosition
	nextAwait   time.Time
}

// request is a question that is under way. Its zero value is none.
type request struct {
	seq  uint64
	sent time.Time
}

func (r request) open() bool { return r.seq != 0 }

// learn takes a status that was asked for at the given time and has arrived now. Statuses can overtake each other. A
// lower adopted term is always older. Within a term a member becomes primary at most once, so the role primary is newer
// than the role replica, unless the replica status was asked for after the role primary had arrived.
func (x *member) learn(status Status, asked, now time.Time) {
	sameTerm := x.known && status.AdoptedTerm == x.status.AdoptedTerm
	gains := sameTerm && status.Role == RolePrimary && x.status.Role != RolePrimary
	loses := sameTerm && status.Role != RolePrimary && x.status.Role == RolePrimary
	switch {
	case x.known && status.AdoptedTerm < x.status.AdoptedTerm:
		return
	case loses && asked.Before(x.primaryAt):
		return
	case sameTerm && !gains && asked.Before(x.asked):
		return
	}
	x.known, x.status = true, status
	if asked.After(x.asked) {
		x.asked = asked
	}
	if status.Role == RolePrimary {
		x.primaryAt = now
	}
	x.noteFollowed()
}

// noteFollowed records that the member follows a primary. A member that followed the primary of a term was not that
// primary itself, so all its entries of the term are copies.
func (x *member) noteFollowed() {
	x.followed = slices.DeleteFunc(x.followed, func(term uint64) bool { return term < x.status.Position.Term })
	term := x.status.AdoptedTerm
	if x.status.Role != RolePrimary && x.status.PrimaryAddress != "" && !slices.Contains(x.followed, term) {
		x.followed = append(x.followed, term)
	}
}

// noteHolds records what the member is proven to have of the log of term.
func (x *member) noteHolds(status Status, term uint64) {
	if status.AdoptedTerm == term && status.Position.Term == term {
		x.holds = x.holds.Later(status.Position)
	}
}

// covers reports whether the member is proven to have the entry at p, where p is in the term of the primary.
func (x *member) covers(p model.Position) bool {
	return x.holds.Term == p.Term && x.holds.Offset >= p.Offset
}

// learn takes a status of x from any answer.
func (m *Machine) learn(x *member, status Status, asked time.Time) {
	x.learn(status, asked, m.now)
	x.noteHolds(status, m.term)
	m.takeTerm(max(status.AdoptedTerm, status.Position.Term))
	m.changed = true
}
