// Package daemon is the protocol between daemons: requests by net/rpc over TCP, authenticated with the fleet's peer
// secret, and membership messages over UDP.
package daemon

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// Caller says on whose behalf a request runs. The caller's key itself never leaves the entry host.
type Caller struct {
	Workspace model.Workspace
	Key       model.KeyID
}

// Cells is a list of text values, some of which are null. It is flat because gob cannot encode nil pointers in slices.
type Cells struct {
	Text []string
	Null []bool // empty when no value is null
}

// Append appends a value; nil stands for null.
func (c *Cells) Append(cell *string) {
	if cell != nil {
		c.Text = append(c.Text, *cell)
		if len(c.Null) > 0 {
			c.Null = append(c.Null, false)
		}
		return
	}
	for len(c.Null) < len(c.Text) {
		c.Null = append(c.Null, false)
	}
	c.Text, c.Null = append(c.Text, ""), append(c.Null, true)
}

// IsNull reports whether the value at an index is null.
func (c Cells) IsNull(i int) bool { return i < len(c.Null) && c.Null[i] }

// ExecuteRequest asks the home of a service to run a statement.
type ExecuteRequest struct {
	Caller       Caller
	Service      model.Service
	SQL          string
	Args         Cells
	ReadOnly     bool           // the caller declared that the statement only reads
	Idempotent   bool           // the caller declared that the statement may run more than once
	HasStaleness bool           // MaxStaleness was given
	MaxStaleness time.Duration  // age of data that the caller accepts
	Mark         model.Position // what the session has seen
	MarkUnknown  bool           // the session has seen more than its token can say
	RequestID    string
	Transaction  string        // transaction handle, empty outside a transaction
	Remaining    time.Duration // time that is left for the request
}

// ExecuteReply is the answer of the home.
type ExecuteReply struct {
	Result    model.Result
	Columns   []string
	Cells     Cells // values of all rows, row after row
	Rows      int   // number of rows
	Affected  int64
	Duplicate bool           // the request id had run already
	Target    model.TargetID // target that served the request
	Position  model.Position // position that the session has seen now
	SQLState  string         // SQLSTATE when the target refused the statement
}

// BeginRequest asks the home of a service to begin a transaction.
type BeginRequest struct {
	Caller    Caller
	Service   model.Service
	Mark      model.Position
	RequestID string
	Remaining time.Duration
}

// BeginReply has the handle of the transaction.
type BeginReply struct {
	Result model.Result
	Handle string
}

// EndRequest asks the home of a transaction to commit or roll it back.
type EndRequest struct {
	Caller    Caller
	Service   model.Service
	Handle    string
	Commit    bool
	RequestID string
	Remaining time.Duration
}

// EndReply has the position after a commit.
type EndReply struct {
	Result   model.Result
	Position model.Position
}

// Empty is a message without content.
type Empty struct{}

// Acknowledgement answers an announcement. A host that acknowledged states no outage until it has seen the version.
type Acknowledgement struct{ Acknowledged bool }

// GroupRequest asks the home of a service for the state of its group.
type GroupRequest struct{ Service model.Service }

// GroupStatus is the state of a group as its home knows it.
type GroupStatus struct {
	Known   bool // the host is home and has seen the group
	Term    uint64
	Primary model.TargetID
	Targets map[model.TargetID]TargetStatus
}

// TargetStatus is the state of a target as the home of its service knows it.
type TargetStatus struct {
	Alive    bool
	Leaving  bool
	Position model.Position
}

// RelayRequest is the poll of a host for documents and proofs of their freshness.
type RelayRequest struct {
	From   model.HostID
	Report freshness.Report
}

// RelayReply has the documents that the asking host does not have.
type RelayReply struct {
	Answer        freshness.Answer
	Configuration []byte // empty when the asking host has the newest known one
	Roster        []byte
}

// Confirmation tells which hosts have a version of the configuration in force, as far as the relay knows.
type Confirmation struct {
	Version uint64
	Hosts   []model.HostID
}
