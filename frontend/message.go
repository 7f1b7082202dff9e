package frontend

import (
	"context"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// StatementKind is the type of a statement or command.
type StatementKind uint8

// Statement kinds.
const (
	Invalid StatementKind = iota
	Begin
	BeginRead // begins a read-only transaction
	Commit
	Rollback
	Read
	Write
	Set
	PrepareRead
	PrepareWrite
	Execute
	Deallocate
	Reset  // clears the session variables and prepared statements of a connection
	Status // requests the state of a target
	Demote // turns a primary of an older term into a replica
)

// runsOnTarget reports whether statements of this kind run on a target or end a transaction there. A host answers the others
// itself and forwards none of them.
func (k StatementKind) runsOnTarget() bool {
	switch k {
	case Read, Write, Execute, Commit, Rollback:
		return true
	}
	return false
}

// Statement is one request of a session.
type Statement struct {
	ID   string
	Kind StatementKind
	// Name is the name of a session variable or of a prepared statement. A prepared statement may have a different name on
	// targets, see PreparedStatement.
	Name string
	// Args is the text after the name, or the whole argument text of statements without a name. It is forwarded verbatim.
	Args string
}

// Command is a statement that is sent to a target.
type Command struct {
	Statement
	// MinPosition is the log position that the target must have reached to run the command; otherwise it answers Lagging.
	// The zero position sets no requirement.
	MinPosition model.Position
}

// Code classifies an answer of a target or of this host: success, or the kind of the error.
type Code uint8

// Answer codes.
const (
	Success Code = iota
	Busy
	Aborted
	Lagging
	ReadOnly
	WrongTarget
	ConnectionLimit
	Failed
	UnknownStatement
	Timeout
	Unauthenticated
	UnknownDatabase
	TooLarge
	Malformed
	InDoubt
	OtherError
)

var codeNames = [...]string{"success", "busy", "aborted", "lagging", "read_only", "wrong_target", "connection_limit",
	"failed", "unknown_statement", "timeout", "unauthenticated", "unknown_database", "too_large", "malformed", "in_doubt",
	"other_error"}

// String returns the name of the code as it appears in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// provesNotRun reports whether targets use the code only for commands that they have not run.
func (c Code) provesNotRun() bool {
	return c == Busy || c == Lagging || c == ReadOnly || c == WrongTarget || c == UnknownStatement
}

// Answer is the complete answer to a statement.
type Answer struct {
	Rows      []string // data rows, forwarded verbatim
	Signature string   // the target's proof that it ran the statement; empty for answers that this host produced itself
	Code      Code
	Detail    string
}

// TxnState is the transaction state of a session after an answer.
type TxnState uint8

const (
	// Idle means that no transaction is open.
	Idle TxnState = iota
	// InTxn means that a transaction is open.
	InTxn
	// TxnFailed means that the open transaction has failed. It can only be ended, which rolls it back.
	TxnFailed
)

// Reply is a target's answer to a command.
type Reply struct {
	Answer
	State    TxnState
	Position model.Position // log position of the target when it answered
}

// CallerConn is the connection of a caller. Only Interrupt may be called concurrently with the other methods.
type CallerConn interface {
	// Accept tells the caller that the session is open.
	Accept() error
	// ReadStatement waits for the next statement. It returns ErrInterrupted after a call of Interrupt if no part of a
	// statement has arrived, and io.EOF when the caller has ended the session. A statement that has arrived is returned first.
	ReadStatement() (Statement, error)
	// WriteAnswer sends the answer to the last statement and the resulting transaction state.
	WriteAnswer(a Answer, state TxnState) error
	// Interrupt ends the current call of ReadStatement, or the next one if none is running.
	Interrupt()
}

// Conn is a connection to a target that is authenticated as one workspace.
type Conn interface {
	// Run pipelines the commands and returns their replies in order. After an error, commands without a reply may or may
	// not have run, and the connection must be closed. sent is false if nothing was sent.
	Run(deadline time.Time, commands []Command) (replies []Reply, sent bool, err error)
	// Status asks the target for its role, its term and the position that it has received. It returns a *TargetError if the
	// target answers with an error.
	Status(deadline time.Time) (primacy.Status, error)
	// Close closes the connection, which rolls back an open transaction. It may be called while Run waits.
	Close()
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial connects to the registered target t as the workspace and returns the target's log position. It returns a
	// *TargetError if the target answers with an error.
	Dial(ctx context.Context, t catalog.Target, workspace model.Workspace) (Conn, model.Position, error)
}

// TargetError is an error answer of a target to a connection attempt or to a command.
type TargetError struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *TargetError) Error() string {
	return "error answer of the target: " + e.Code.String() + " " + e.Detail
}

// FromTarget reports true: the target itself has answered, so it is reachable.
func (e *TargetError) FromTarget() bool { return true }
