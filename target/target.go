// Package target is the client side of a service's targets, the members of a replicated database group. It speaks the
// PostgreSQL protocol through pgconn and uses the extended protocol only, which refuses several statements in one
// string.
//
// ControlMember calls the group functions of one target over control connections. Pool holds the connections for
// traffic to one target and runs statements on them. The home of a service drives both through the interfaces Member,
// Traffic and Transaction.
//
// Every call of Traffic and Transaction ends in an Answer, whose Result says whether the request ran and whose Failure
// says how far it came.
package target

import (
	"context"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Statement is one SQL statement with its arguments in text format.
type Statement struct {
	SQL      string
	Args     []string
	NullArgs []bool // NullArgs[i] makes argument i null; may be shorter than Args
}

// values returns the arguments as the protocol takes them.
func (s Statement) encodedArgs() [][]byte {
	values := make([][]byte, len(s.Args))
	for i, arg := range s.Args {
		if i < len(s.NullArgs) && s.NullArgs[i] {
			continue
		}
		values[i] = []byte(arg)
	}
	return values
}

// Rows is the answer to a statement in text format. A nil value is null.
type Rows struct {
	Columns  []string
	Values   [][]*string
	Affected int64
}

// Role is the role of a member in its group.
type Role string

// Roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// MemberStatus is what a member tells about itself.
type MemberStatus struct {
	AdoptedTerm    uint64
	Orderer        string
	Role           Role
	Position       model.Position // Term is the log term
	PrimaryAddress string
}

// Leads reports whether the member is the primary of the term it has adopted.
func (s MemberStatus) IsPrimary() bool {
	return s.Role == RolePrimary && s.AdoptedTerm == s.Position.Term
}

// Serves reports whether a session that has seen mark may read from the member. A replica must have everything up to
// mark. A primary of a later term may have a smaller offset: it has all acknowledged writes of the earlier terms, and
// what it lacks was never acknowledged.
func (s MemberStatus) CanServe(mark model.Position) bool {
	if s.IsPrimary() && s.Position.Term > mark.Term {
		return true
	}
	return s.Position.Covers(mark)
}

// Member is one target of a group, over its control connections. The errors of all methods are for IsRefusedConnection
// and IsRefusedOrder; any other error means that the target gave no usable answer.
type Member interface {
	// Status returns the state of the member.
	Status(ctx context.Context) (MemberStatus, error)
	// Adopt makes the member adopt a term.
	Adopt(ctx context.Context, term uint64, orderer string) (MemberStatus, error)
	// Promote makes the member the primary of its adopted term.
	Promote(ctx context.Context, term uint64, orderer string) (MemberStatus, error)
	// Follow makes the member a replica of the primary at the given address.
	Follow(ctx context.Context, term uint64, primary string) (MemberStatus, error)
	// WaitPosition waits until the member's position covers p or ctx ends. An error of the connection is returned at
	// once.
	WaitPosition(ctx context.Context, p model.Position) (MemberStatus, error)
}

// Request identifies a write in the request ledger.
type Request struct {
	Workspace model.Workspace
	ID        string
}

// Traffic runs statements on one target.
type Executor interface {
	// Read runs a statement in a read-only transaction, on data that a session at mark may read (MemberStatus.Serves).
	Read(ctx context.Context, s Statement, mark model.Position) Response
	// Write runs a statement together with its ledger entry in one transaction on the primary. The write is not
	// acknowledged before the answer's position is durable on a majority of the group.
	Write(ctx context.Context, r Request, s Statement) Response
	// Begin opens a transaction. The Transaction is nil unless the answer's outcome is done.
	Begin(ctx context.Context, readOnly bool) (Transaction, Response)
	// CleanLedger deletes up to limit ledger entries that are older than age. Rows.Affected is their number.
	PruneLedger(ctx context.Context, age time.Duration, limit int) Response
	// SetLimit changes the greatest number of connections.
	SetLimit(limit int)
	// Stats returns the state of the connections.
	Stats() Stats
	// Close closes all connections. Requests that run are lost.
	Close()
}

// Transaction is an explicit transaction on a connection of its own. It must be ended by Commit or Rollback. Calls that
// overlap are refused with model.ReasonTransactionBusy.
type Transaction interface {
	// Execute runs a statement in the transaction.
	Execute(ctx context.Context, s Statement) Response
	// Commit ends the transaction. A commit without an answer is unknown.
	Commit(ctx context.Context) Response
	// Rollback ends the transaction without an effect.
	Rollback(ctx context.Context) Response
}

// Failure tells how far a request came that was not answered as wanted.
type FailureKind uint8

const (
	// FailureNone means that the target answered the request.
	FailureNone FailureKind = iota
	// FailureNotSent means that no byte of the request was sent.
	FailureNotSent
	// FailureRefused means that the target refused the request and that it has no effect.
	FailureRefused
	// FailureBehind means that the target does not serve the mark that a read asked for, or that it changed its term
	// during the read. The read's rows were dropped.
	FailureBehind
	// FailureLost means that the request was sent and no answer came.
	FailureLost
)

// String returns the failure's name for logs.
func (f FailureKind) String() string {
	return [...]string{"none", "not_sent", "refused", "behind", "lost"}[f]
}

// Answer is the answer to a request.
type Response struct {
	Result    model.Result
	Failure   FailureKind
	Code      string // SQLSTATE if the target answered with an error
	Rows      Rows
	Status    MemberStatus   // state of the target after the request, if known
	Position  model.Position // covers everything that the request wrote or saw, if the outcome is done
	Duplicate bool           // the ledger shows that an earlier attempt ran; there are no rows
}
