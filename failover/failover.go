// Package failover implements the state machine that manages the replication group of a service. It runs on the
// service's home host, detects failed members, changes the primary, and determines when a write is durable.
//
// The package performs no I/O. The caller passes events and the local time to Machine.Handle and performs the returned
// actions. Machine is not safe for concurrent use. Handle must be called at least every TickInterval, with a Tick event
// if there is no other event.
//
// # Safety
//
// Several machines may manage the same group concurrently. Each machine is an orderer, a failover coordinator identified
// by Config.Orderer. Safety does not depend on clocks, only on these guarantees of the members:
//
//   - A member durably stores its adopted term and the orderer of that term before it answers. It adopts a term only if
//     the term is greater than its adopted term, or equal and requested by the same orderer.
//   - After adopting a term, a member rejects log entries and promotions of lower terms. A primary of a lower term steps
//     down and stops accepting writes.
//   - Promote succeeds only for the adopted term and its orderer. A promoted member appends an entry of the new term
//     before it reports the primary role, and accepts writes only in that term.
//   - FollowPrimary succeeds only for the adopted term. The member then discards the entries that its primary does not
//     have and replicates the primary's log in order.
//   - A member reports a position only when all log entries up to it are durable. They survive a restart.
//   - The adopted term, role and position of a status are read atomically.
//   - A write reports the position of its own commit, or a later position of the same term on the same primary.
//
// Config.Orderer must be unique for each Machine across all hosts and restarts, because a member accepts the same term
// repeatedly from the same orderer.
//
// A write of term t is acknowledged when the primary of t and enough replicas to form a majority have it. A replica
// counts only if a single status shows that it has adopted exactly t and that its log has reached the write. Every later
// primary is the member with the greatest position among a majority that adopted its term. That majority contains a
// member that has the write.
//
// # Changes of the member list
//
// After a change of the member list, a machine requires majorities of both the old and the new list until a majority of
// the new list has everything that the primary had at the time of the change (View.MembersSettled). A machine that
// starts later has only the new list. Operators must therefore add or remove one member at a time, and only while the
// membership is settled.
package failover

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Role is the role of a member in its group.
type Role uint8

const (
	// RoleReplica is the role of a member that follows a primary or waits for one.
	RoleReplica Role = iota + 1
	// RolePrimary is the role of a member that accepts writes in its adopted term.
	RolePrimary
)

// Status is a snapshot of the replication state that a member reports.
type Status struct {
	AdoptedTerm    uint64
	Orderer        string // orderer that requested AdoptedTerm
	Role           Role
	Position       model.Position // end of the durable log; Term is the term of the last entry
	PrimaryAddress string         // address set by FollowPrimary in AdoptedTerm, empty before
}

// Member is the configuration of one group member.
type Member struct {
	Target  model.TargetID
	Address string // replication address for other members
	Leaving bool   // the operator is removing the target
}

// Config is the initial configuration of a Machine.
type Config struct {
	Service model.Service
	Orderer string         // unique ID of the Machine, for example host, incarnation and a counter
	Members []Member       // current member list
	Timing  Timing         // zero fields use the defaults
	Rand    func() float64 // uniform in [0, 1), for jitter
}

// TickInterval is the maximum time between two calls of Machine.Handle.
const TickInterval = 50 * time.Millisecond

// Timing contains the intervals and timeouts of a Machine.
type Timing struct {
	ProbeInterval         time.Duration // time between sending an answered probe and the next probe
	ReconnectAfter        time.Duration // time without an answer before a new connection is opened
	DeadAfter             time.Duration // time without an answer before a member is declared dead
	RedialInterval        time.Duration // time between connection attempts
	DeadRedialInterval    time.Duration // time between connection attempts to a dead member
	CommandTimeout        time.Duration // time before an unanswered command is sent again
	ElectionTimeout       time.Duration // time before an election attempt fails
	BaseBackoff           time.Duration // maximum delay after the first failed election; doubles up to MaxBackoff
	MaxBackoff            time.Duration
	CompetingElectionWait time.Duration // time to wait for the election of another orderer
	HandoverTimeout       time.Duration // time before a leaving primary is drained without a successor close to it
	DrainTimeout          time.Duration // maximum time for running work to finish on a draining primary
	AwaitTimeout          time.Duration // maximum time that a member waits for a position
	StallTimeout          time.Duration // time without replication progress before the primary is replaced
	PauseThreshold        time.Duration // gap between Handle calls that is treated as a pause of this process
}

// MaxRefusedConnections is the number of consecutive refused connections after which a member is declared dead.
const MaxRefusedConnections = 3

// DefaultTiming returns the default intervals and timeouts.
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

// Event is an input of a Machine.
type Event interface{ event() }

// FailureKind classifies the failure of a probe.
type FailureKind uint8

const (
	// FailureTimeout means that no answer arrived before the caller's timeout.
	FailureTimeout FailureKind = iota + 1
	// FailureRefused means that the target refused the connection.
	FailureRefused
	// FailureClosed means that the connection was closed, or could not be opened for another reason.
	FailureClosed
)

type (
	// ProbeAnswered reports the answer to the Probe or OpenConnection action with the same Seq.
	ProbeAnswered struct {
		Target model.TargetID
		Seq    uint64
		Status Status
	}

	// ProbeFailed reports that the Probe or OpenConnection action with the same Seq failed. It is optional for
	// timeouts, because the machine detects them itself.
	ProbeFailed struct {
		Target  model.TargetID
		Seq     uint64
		Failure FailureKind
	}

	// CommandAnswered reports the status that a member returned for an AdoptTerm, Promote, FollowPrimary or
	// AwaitPosition action, whether it accepted or refused the command. The machine evaluates only the status.
	CommandAnswered struct {
		Target model.TargetID
		Seq    uint64
		Status Status
	}

	// CommandFailed reports that a command got no answer. The command may have run.
	CommandFailed struct {
		Target model.TargetID
		Seq    uint64
	}

	// WriteFinished reports that a statement or a commit finished on a target, and requests confirmation that it is
	// durable. It also applies to reads from the primary whose results must survive a failover.
	WriteFinished struct {
		ID       uint64 // chosen by the caller, unique among the unresolved writes
		Target   model.TargetID
		Position model.Position // see the package comment
		Deadline time.Time      // time after which the outcome of the write is reported as unknown
	}

	// PrimaryIdle reports that no statement and no transaction is running on the primary of Term. The caller sends it
	// after a view with Draining set, so that the handover does not wait for DrainTimeout.
	PrimaryIdle struct {
		Term uint64
	}

	// TermObserved reports a term from another source, for example from a session token. If the term is new, the
	// machine probes all members immediately.
	TermObserved struct {
		Term uint64
	}

	// MembersChanged reports a new member list.
	MembersChanged struct {
		Members []Member
	}

	// Tick reports the passage of time.
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

// Action is an output of a Machine, to be performed by the caller.
type Action interface{ action() }

type (
	// Probe requests the status of a member over its control connection.
	Probe struct {
		Target model.TargetID
		Seq    uint64
	}

	// OpenConnection opens a new control connection in addition to the existing one and requests the status over it.
	// It cancels an earlier attempt for the same target that is still in progress.
	OpenConnection struct {
		Target model.TargetID
		Seq    uint64
		Reason string
	}

	// ReplaceConnections uses the connection of the last OpenConnection as the control connection and closes all older
	// connections to the target. Statements that run on the closed connections have an unknown outcome.
	ReplaceConnections struct {
		Target model.TargetID
		Reason string
	}

	// DiscardConnection closes the connection of the last OpenConnection, because the old connection answers again.
	DiscardConnection struct {
		Target model.TargetID
	}

	// AdoptTerm requests that a member adopt Term from Orderer.
	AdoptTerm struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Orderer string
		Reason  string
	}

	// Promote requests that a member become the primary of Term.
	Promote struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Orderer string
		Reason  string
	}

	// FollowPrimary requests that a member replicate from the primary of Term.
	FollowPrimary struct {
		Target  model.TargetID
		Seq     uint64
		Term    uint64
		Primary model.TargetID
		Address string
	}

	// AwaitPosition requests the status of a member as soon as its log has reached Position, or after Timeout. It must
	// not block probes of the member. At most one request per member is pending.
	AwaitPosition struct {
		Target   model.TargetID
		Seq      uint64
		Position model.Position
		Timeout  time.Duration
	}

	// PublishView replaces the View that requests are routed by.
	PublishView struct {
		View View
	}

	// AcknowledgeWrite reports that a write is durable on a majority.
	AcknowledgeWrite struct {
		ID uint64
	}

	// AbandonWrite reports that the outcome of a write is unknown.
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

// View is an immutable snapshot of the group state for routing requests.
type View struct {
	Service        model.Service
	Term           uint64         // term of the last known primary
	Primary        model.TargetID // empty when no primary is known
	Writable       bool           // writes are likely to be acknowledged; otherwise they should wait
	Draining       bool           // the primary is leaving and accepts no new work
	Electing       bool           // this machine is running an election
	MembersSettled bool           // the member list may be changed; see the package comment
	ConfirmedAt    time.Time      // a majority had adopted Term at this time or later
	Members        []MemberView
	Reason         string // reason for the last change of Primary or Writable
}

// PrimarySample returns a position of the primary and a time at which the primary had not yet passed it. Such samples
// bound the replication lag of replicas. The last result is false if no status of the primary is available.
func (v View) PrimarySample() (time.Time, model.Position, bool) {
	for _, m := range v.Members {
		if m.Target == v.Primary && m.Role == RolePrimary && m.AdoptedTerm == v.Term {
			return m.StatusRequestedAt, m.Position, true
		}
	}
	return time.Time{}, model.Position{}, false
}

// MemberView is the state of one group member in a View.
type MemberView struct {
	Target            model.TargetID
	HasStatus         bool // the member has answered at least once
	Alive             bool
	Leaving           bool // leaving, or no longer in the configuration
	AdoptedTerm       uint64
	Role              Role
	Position          model.Position
	Replicated        bool      // it replicated the entries of its last term; in groups of up to three, a failover keeps them
	StatusRequestedAt time.Time // send time of the status request; Position was read at this time or later
}
