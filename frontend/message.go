package frontend

import (
	"context"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Kind is the kind of a caller's statement.
type StatementKind uint8

// Kinds of statements.
const (
	Invalid StatementKind = iota
	Begin
	BeginRead // begins a transaction that only reads
	Commit
	Rollback
	Read
	Write
	Set
	PrepareRead
	PrepareWrite
	Execute
	Deallocate
	Reset  // drops the values and prepared statements of a connection
	Status // asks a target for its state
	Demote // makes a primary of an older term a replica
)

// Statement is a request of a caller inside its session.
type Statement struct {
	ID   string
	Kind StatementKind
	// Name is the name of a session value or of a prepared statement. Targets may see a prepared statement under another
	// name.
	Name string
	// Args is what follows the name, or the whole argument text of statements without a name, passed on as it is.
	Args string
}

// Command is a statement for a target.
type Command struct {
	Statement
	// After is the position that the target must have, or it refuses the command. The zero position asks for nothing.
	MinPosition model.Position
}

// Code is the kind of an error answer, of a target or of this host.
type Code uint8

// Codes of answers.
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

// notRun reports whether a target answers with the code only to what it has not run.
func (c Code) notRun() bool {
	return c == Busy || c == Lagging || c == ReadOnly || c == WrongTarget || c == UnknownStatement
}

// Answer is the complete answer to a statement.
type Answer struct {
	Rows      []string // data rows, passed on as they are
	Signature string   // proof of the target that it ran the statement; empty for what this host answered itself
	Code      Code
	Detail    string
}

// TxnState is the state of a session after an answer.
type TxnState uint8

const (
	// Idle sessions have no transaction.
	Idle TxnState = iota
	// InTxn sessions have an open transaction.
	InTxn
	// TxnFailed sessions have a transaction that can only be ended, which rolls it back.
	TxnFailed
)

// Reply is a target's answer to a command.
type Reply struct {
	Answer
	State    TxnState
	Position model.Position // of the target's log, as it answered
}

// CallerConn is the connection of a caller. Only Interrupt may be called from another goroutine.
type CallerConn interface {
	// ReadStatement waits for the next statement. It fails with ErrInterrupted after Interrupt, if no part of a statement
	// has arrived, and with io.EOF when the caller has ended the session.
	ReadStatement() (Statement, error)
	WriteAnswer(a Answer, state TxnState) error
	// Interrupt wakes ReadStatement, once.
	Interrupt()
}

// Conn is a connection to a target as one workspace.
type Conn interface {
	// Run sends the commands together and returns their replies in order. When it fails, the commands without a reply may
	// or may not have run, and the connection must be closed. sent is false if nothing has left this host.
	Run(deadline time.Time, commands []Command) (replies []Reply, sent bool, err error)
	// Close ends the connection, which rolls back an open transaction, also while Run waits.
	Close()
}

// Dialer opens connections to targets.
type Dialer interface {
	// Dial connects to the target that is registered under the id, as the workspace. It fails with a *RefusedError if the
	// target answers with an error.
	Dial(ctx context.Context, t catalog.Target, workspace model.Workspace) (Conn, model.Position, error)
}

// RefusedError is the error of a target that does not accept a connection.
type TargetError struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *TargetError) Error() string {
	return "the target refused the connection: " + e.Code.String() + " " + e.Detail
}

// FromTarget reports that the target itself has answered, so it can be reached.
func (e *TargetError) FromTarget() bool { return true }
