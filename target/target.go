// Package target is a client for the targets of a service, which are the members of a replicated database group. It
// uses only the extended query protocol of PostgreSQL (through pgconn), which rejects several statements in one string.
//
// MemberClient calls the group functions of one target over control connections. Pool keeps connections to one target
// and runs statements on them. The home of a service uses both through the interfaces Member, Executor and Transaction.
//
// Every call of Executor and Transaction returns a Response. Its Result is the outcome of the request, and its Failure
// tells at which stage the request failed.
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

// encodedArgs returns the arguments in the text format of the protocol; nil encodes null.
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

// Rows is the result of a statement in text format. A nil value is null.
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

// MemberStatus is the state of a member as returned by its group functions.
type MemberStatus struct {
	AdoptedTerm    uint64
	Orderer        string // failover coordinator of the adopted term
	Role           Role
	Position       model.Position // its Term is the term of the log, which may differ from AdoptedTerm
	PrimaryAddress string
}

// IsPrimary reports whether the member is the primary of its adopted term.
func (s MemberStatus) IsPrimary() bool {
	return s.Role == RolePrimary && s.AdoptedTerm == s.Position.Term
}

// CanServe reports whether a session with the given high-water mark may read from the member. A replica's position must
// cover mark. A primary of a later term may have a smaller offset: it has all acknowledged writes of earlier terms, so
// the writes that it lacks were never acknowledged.
func (s MemberStatus) CanServe(mark model.Position) bool {
	if s.IsPrimary() && s.Position.Term > mark.Term {
		return true
	}
	return s.Position.Covers(mark)
}

// Member sends control commands to one target of a group. IsConnectionRefused and IsCommandRefused classify the errors
// of its methods; any other error means that the target returned no usable reply.
type Member interface {
	// Status returns the state of the member.
	Status(ctx context.Context) (MemberStatus, error)
	// Adopt makes the member adopt a term for an orderer, the failover coordinator that manages the term.
	Adopt(ctx context.Context, term uint64, orderer string) (MemberStatus, error)
	// Promote makes the member the primary of its adopted term.
	Promote(ctx context.Context, term uint64, orderer string) (MemberStatus, error)
	// Follow makes the member a replica of the primary at the given address.
	Follow(ctx context.Context, term uint64, primary string) (MemberStatus, error)
	// WaitPosition waits until the member's position covers p or ctx is done. It returns at once on a connection error.
	WaitPosition(ctx context.Context, p model.Position) (MemberStatus, error)
}

// Request identifies a write in the request ledger.
type Request struct {
	Workspace model.Workspace
	ID        string
}

// Executor runs statements on one target.
type Executor interface {
	// Read runs a statement in a read-only transaction, on data that a session with the high-water mark may read
	// (MemberStatus.CanServe).
	Read(ctx context.Context, s Statement, mark model.Position) Response
	// Write runs a statement and inserts its ledger entry in one transaction on the primary. The caller must not
	// acknowledge the write before the position of the response is durable on a majority of the group.
	Write(ctx context.Context, r Request, s Statement) Response
	// Begin starts a transaction. The Transaction is nil unless the outcome of the response is done.
	Begin(ctx context.Context, readOnly bool) (Transaction, Response)
	// PruneLedger deletes up to limit ledger entries older than age. Rows.Affected is the number of deleted entries.
	PruneLedger(ctx context.Context, age time.Duration, limit int) Response
	// SetLimit changes the maximum number of connections.
	SetLimit(limit int)
	// Stats returns the connection counts.
	Stats() Stats
	// Close closes all connections. Running requests fail with FailureLost.
	Close()
}

// Transaction is an explicit transaction on a dedicated connection. It must be ended by Commit or Rollback. Concurrent
// calls are rejected with model.ReasonTransactionBusy.
type Transaction interface {
	// Execute runs a statement in the transaction.
	Execute(ctx context.Context, s Statement) Response
	// Commit commits the transaction. The outcome is unknown if the target does not reply.
	Commit(ctx context.Context) Response
	// Rollback rolls the transaction back.
	Rollback(ctx context.Context) Response
}

// FailureKind is the stage at which a request failed.
type FailureKind uint8

const (
	// FailureNone means that the request succeeded.
	FailureNone FailureKind = iota
	// FailureNotSent means that no bytes of the request were sent.
	FailureNotSent
	// FailureRefused means that the request was refused and had no effect.
	FailureRefused
	// FailureBehind means that the target's data is older than the high-water mark of a read, or that its term changed
	// during the read. The rows were discarded.
	FailureBehind
	// FailureLost means that at least a part of the request was sent and no complete reply arrived.
	FailureLost
)

// String returns the name that logs use.
func (f FailureKind) String() string {
	return [...]string{"none", "not_sent", "refused", "behind", "lost"}[f]
}

// Response is the result of a request.
type Response struct {
	Result    model.Result
	Failure   FailureKind
	Code      string // SQLSTATE of the error that the target returned, if any
	Rows      Rows
	Status    MemberStatus   // status of the target after the request, if known
	Position  model.Position // covers everything that the request wrote or read, if the outcome is done
	Duplicate bool           // the ledger has an entry of an earlier attempt; Rows is empty
}
