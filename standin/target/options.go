package target

import (
	"time"

	"go.uber.org/zap"
)

const (
	// DefaultTable is the only table besides the ledger when Options names none.
	DefaultTable = "kv"
	// LedgerTable is the table of the request ledger, which exists on every member.
	LedgerTable = "waxwingspindle_request"
	// ControlUser is the user that may open the reserved connections.
	ControlUser = "waxwingspindle_control"
	// InitialOrderer is the orderer of term 1 in a group that starts with a primary.
	InitialOrderer = "initial"
)

const (
	defaultSlots               = 3
	defaultConnections         = 20
	defaultReservedConnections = 5
	defaultConnectTime         = 10 * time.Millisecond
)

// Options configures a member.
type Options struct {
	ID                  string        // name of the member in faults and in the history
	Address             string        // listen address; port 0 picks a free port
	Tables              []string      // names of the tables; DefaultTable when empty
	Slots               int           // maximum number of concurrent statements; 3 when zero
	MaxConnections      int           // maximum number of connections; 20 when zero
	ReservedConnections int           // connections of ControlUser beyond MaxConnections; 5 when zero
	ConnectTime         time.Duration // time to open a connection; 10 ms when zero, no delay when negative
	StatementTime       time.Duration // time for which each statement occupies its slot
	ReplicationLag      time.Duration // minimum age of an entry when the member applies it as a replica
	DiscardHistory      bool          // record neither events nor received bytes, for load measurements
	Logger              *zap.Logger   // no logging when nil
}

func (o Options) withDefaults() Options {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if len(o.Tables) == 0 {
		o.Tables = []string{DefaultTable}
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = defaultConnections
	}
	if o.ReservedConnections == 0 {
		o.ReservedConnections = defaultReservedConnections
	}
	if o.ConnectTime == 0 {
		o.ConnectTime = defaultConnectTime
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}
