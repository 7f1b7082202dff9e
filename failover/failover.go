// Package failover is the state machine that the home of a service runs for the service's group of targets. It detects
// failed members, orders changes of the primary, and decides when a write is durable.
//
// The package is pure. The caller hands events to Machine.Handle together with the local time and performs the actions
// that come back. Machine is not safe for concurrent use. Handle must be called at least every TickInterval, with Tick
// when nothing else happened.
//
// # Safety
//
// Any number of machines may work on one group at the same time. Safety rests on these assumptions about the members,
// and never on clocks:
//
//   - A member stores its adopted term and the orderer it adopted the term from durably, before it answers. It adopts a
//     term only if the term is greater than its adopted term, or equal and from the same orderer.
//   - After adopting a term a member accepts no log entries and no promotion from lower terms, and a primary of a lower
//     term stops accepting writes and stops being primary.
//   - Promote succeeds only for the adopted term and for its orderer. A promoted member appends an entry of the new term
//     before it reports that it is primary, and accepts writes only in that term.
//   - Follow succeeds only for the adopted term. The member then drops the entries that its primary does not have and
//     copies the primary's log in order.
//   - A member reports a position only when all log entries up to it are durable. A restart keeps them.
//   - The adopted term, role and position in one status are read at one instant.
//   - A write reports the position of its own commit, or a later position of the same term on the same primary.
//
// On the caller's side, Config.Orderer must be unique for each Machine, over all hosts and restarts, because a member
// lets the same orderer adopt a term twice.
//
// A write of term t is acknowledged when the primary of t and enough replicas to form a majority have it, where a
// replica counts only if one status shows both that it has adopted exactly t and that its log has reached the write.
// Every later primary is the adopter with the greatest position out of a majority, and that majority contains a member
// that has the write.
//
// # Changes of the member list
//
// After a change of the member list, a machine needs majorities of both the old and the new list until the new list
// holds everything that the primary had at the time of the change (View.Settled). A machine that starts later knows the
// new list only. Operators must therefore add or remove one member at a time, and only while the group is settled.
package failover

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Role is the role of a member in its group.
type Role uint8

const (
	// RoleReplica follows a primary or waits for one.
	RoleReplica Role = iota + 1
	// RolePrimary accepts writes in its adopted term.
	RolePrimary
)

// Status is what a member reports about itself.
type Status struct {
	AdoptedTerm    uint64
	Orderer        string // from which the member adopted AdoptedTerm
	Role           Role
	Position       model.Position // end of the log; Term is the term of the last entry
	PrimaryAddress string         // address that Follow named for AdoptedTerm, empty before
}

// Member is one member of the group in the configuration.
type Member struct {
	Target  model.TargetID
	Address string // address that other members use to follow this one
	Leaving bool   // the operator is removing the target
}

// Config holds what a Machine needs to start.
type Config struct {
	Service model.Service
	Orderer string         // unique for each Machine, for example host, incarnation and a counter
	Members []Member       // current configuration
	Timing  Timing         // zero fields take their defaults
	Rand    func() float64 // uniform in [0, 1), for jitter
}

// TickInterval is the longest time between two calls of Machine.Handle.
const TickInterval = 50 * time.Millisecond

// Timing holds the time constants of a Machine. DefaultTiming gives the defaults.
type Timing struct {
	ProbeInterval         time.Duration // between an answer and the next probe
	ReconnectAfter        time.Duration // silence after which a new connection is opened
	DeadAfter             time.Duration // silence after which a member counts as dead
	RedialInterval        time.Duration // between attempts to connect
	DeadRedialInterval    time.Duration // between attempts to connect to a dead member
	CommandTimeout        time.Duration // after which a command is sent again
	ElectionTimeout       time.Duration // after which an attempt is given up
	BaseBackoff           time.Duration // upper bound of the first pause after a failed attempt; doubles up to MaxBackoff
	MaxBackoff            time.Duration
	CompetingElectionWait time.Duration // time that another orderer gets to finish its attempt
	HandoverTimeout       time.Duration // after which a leaving primary takes no new work, even without a close successor
	DrainTimeout          time.Duration // time that running work gets when a leaving primary takes no new work
	AwaitTimeout          time.Duration // longest wait of a member for a position
	StallTimeout          time.Duration // time without any progress of the replicas after which a primary is replaced
	PauseThreshold        time.Duration // time between two calls of Handle that counts as a pause of this process
}

// RefusedLimit is the number of refused connections in a row after which a member counts as dead.
const MaxRefusedConnections = 3

// DefaultTiming returns the time constants of the design.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:         200 * time.Millisecond,
		ReconnectAfter:        600 * time.Millisecond,
		DeadAfter:             time.Second,
		RedialInterval:        50 * time.Millisecond,
		DeadRedialInterval:    250 * time.Millisecond,
		CommandTimeout:        200 * time.Millisecond,
		ElectionTimeout:       700 * time.Millisecond,
		BaseBackoff:           200 * time.Millisecond,
		MaxBackoff:            1600 * time.Millisecond,
		CompetingElectionWait: 400 * time.Millisecond,
		HandoverTimeout:       3 * time.Second,
		DrainTimeout:          2 * time.Second,
		AwaitTimeout:          100 * time.Millisecond,
		StallTimeout:          1500 * time.Millisecond,
		PauseThreshold:        400 * time.Millisecond,
	}
}

// Event is an input of the machine.
type Event interface{ event() }

// Failure tells how a probe or command failed.
type FailureKind uint8

const (
	// FailureTimeout means that no answer came in the caller's time.
	FailureTimeout FailureKind = iota + 1
	// FailureRefused means that the target refused the connection.
	FailureRefused
	// FailureClosed means that the connection ended or could not be opened for another reason.
	FailureClosed
)

type (
	// ProbeAnswered reports the answer to a Probe or to an OpenConnection with the same Seq.
	ProbeAnswered struct {
		Target model.TargetID
		Seq    uint64
		Status Status
	}

	// ProbeFailed reports that a Probe or an OpenConnection with the same Seq failed. It is optional for timeouts,
	// which the machine finds by itself.
	ProbeFailed struct {
		Target  model.TargetID
		Seq     uint64
		Failure FailureKind
	}

	// CommandAnswered reports the status that a member returned for an Adopt, Promote, Follow or AwaitPosition,
	// whether it accepted or refused. The machine judges by the status.
	CommandAnswered struct {
		Target model.TargetID
		Seq    uint64
		Status Status
	}

	// CommandFailed reports that a command got no answer. It may have run.
	CommandFailed struct {
		Target model.TargetID
		Seq    uint64
	}

	// WriteFinished reports that a statement or a commit finished on a target, and asks for its durability. It is used
	// for reads of a primary too, when the caller must not see data that a failover could remove.
	WriteFinished struct {
		ID       uint64 // chosen by the caller, unique among the writes that are not decided
		Target   model.TargetID
		Position model.Position // see the package comment
		Deadline time.Time      // after which the write is given up as unknown
	}

	// PrimaryIdle reports that no statement and no transaction is running on the primary of term Term. It is sent after
	// a view with Held, and lets the handover begin before DrainLimit.
	PrimaryIdle struct {
		Term uint64
	}

	// TermSeen reports a term that came from elsewhere, for example from a session token. It makes the machine probe
	// all members at once.
	TermObserved struct {
		Term uint64
	}

	// MembersChanged reports a new configuration.
	MembersChanged struct {
		Members []Member
	}

	// Tick reports that time has passed.
	Tick struct{}
)

func (ProbeAnswered) event()   {}
func (ProbeFailed) event()     {}
func (CommandAnswered) event() {}
func (CommandFailed) event()   {}
func (WriteFinished) event()   {}
func (PrimaryIdle) event()     {}
func (TermObserved) event()    {}
func (MembersChanged) event()  {}
func (Tick) event()            {}

// Action is an output of the machine.
type Action interface{ action() }

type (
	// Probe asks for the status of a member on its control connection.
	Probe struct {
		Target model.TargetID
		Seq    uint64
	}

	// OpenConnection opens a new control connection next to the old one and asks for the status on it. An earlier
	// attempt for the same target that is still under way is dropped.
	OpenConnection struct {
		Target model.TargetID
		Seq    uint64
		Reason string
	}

	// ReplaceConnections makes the connection of the last OpenConnection the control connection and closes all older
	// connections to the target. Statements that run on them have an unknown outcome.
	ReplaceConnections struct {
		Target model.TargetID
		Reason string
	}

	// DiscardConnection closes the connection of the last OpenConnection, because the old one works after all.
	DiscardConnection struct {
		Target model.TargetID
	}

	// Adopt asks a member to adopt Term from Orderer.
	AdoptTerm struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Orderer string
		Reason  string
	}

	// Promote asks a member to become primary of Term.
	Promote struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Orderer string
		Reason  string
	}

	// Follow asks a member to follow the primary of Term.
	FollowPrimary struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Primary model.TargetID
		Address string
	}

	// AwaitPosition asks a member to answer with its status as soon as its log has reached Position, or after Timeout.
	// It must not block the probes of the member. At most one is under way for each member.
	AwaitPosition struct {
		Target   model.TargetID
		Seq      uint64
		Position model.Position
		Timeout  time.Duration
	}

	// PublishView replaces the view that traffic uses.
	PublishView struct {
		View View
	}

	// AcknowledgeWrite reports that a write is durable on a majority.
	AcknowledgeWrite struct {
		ID uint64
	}

	// GiveUpWrite reports that the outcome of a write is unknown.
	AbandonWrite struct {
		ID     uint64
		Reason string
	}
)

func (Probe) action()              {}
func (OpenConnection) action()     {}
func (ReplaceConnections) action() {}
func (DiscardConnection) action()  {}
func (AdoptTerm) action()          {}
func (Promote) action()            {}
func (FollowPrimary) action()      {}
func (AwaitPosition) action()      {}
func (PublishView) action()        {}
func (AcknowledgeWrite) action()   {}
func (AbandonWrite) action()       {}

// View is the state of the group as traffic needs it. It is immutable.
type View struct {
	Service        model.Service
	Term           uint64         // term of the last known primary
	Primary        model.TargetID // empty when no primary is known
	Writable       bool           // writes can be acknowledged; otherwise they should wait
	Draining       bool           // the primary is leaving and takes no new work
	Electing       bool           // this machine is changing the primary
	MembersSettled bool           // the member list may be changed, see the package comment
	ConfirmedAt    time.Time      // a majority had adopted Term at this time or later
	Members        []MemberView
	Reason         string // of the last change of the primary or of Writable
}

// Sample returns a position of the primary with a time at which the primary had not passed it, for proofs of the lag of
// replicas. It reports false when no status of the primary is known.
func (v View) PrimarySample() (time.Time, model.Position, bool) {
	for _, m := range v.Members {
		if m.Target == v.Primary && m.Role == RolePrimary && m.AdoptedTerm == v.Term {
			return m.StatusRequestedAt, m.Position, true
		}
	}
	return time.Time{}, model.Position{}, false
}

// MemberView is the state of one member in a View.
type MemberView struct {
	Target            model.TargetID
	HasStatus         bool // the member has answered at least once
	Alive             bool
	Leaving           bool // leaving, or no longer in the configuration
	AdoptedTerm       uint64
	Role              Role
	Position          model.Position
	Replicated        bool      // the entries of the last term are copies, so no failover drops them in a group of up to three
	StatusRequestedAt time.Time // time at which the status was asked for; Position dates from then or later
}
