package target

import (
	"time"

	"go.uber.org/zap"
)

const (
	// DefaultTable is the table that a member has when Options names none.
	DefaultTable = "kv"
	// LedgerTable is the request ledger, which every member has.
	LedgerTable = "waxwingspindle_request"
	// ControlUser is the user whose connections may use the reserved connections.
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

// Options are the settings of one member.
type Options struct {
	ID                  string        // name of the member in faults and histories
	Address             string        // listen address; port 0 picks a free port
	Tables              []string      // names of the tables; DefaultTable when empty
	Slots               int           // statements that execute at a time; 3 when zero
	MaxConnections      int           // connection cap; 20 when zero
	ReservedConnections int           // connections of ControlUser beyond the cap; 5 when zero
	ConnectTime         time.Duration // time to open a connection; 10 ms when zero, none when negative
	StatementTime       time.Duration // time that each statement takes in its slot
	ReplicationLag      time.Duration // least age of an entry when this member applies it as a replica
	DiscardHistory      bool          // keep neither events nor received bytes, for load measurements
	Logger              *zap.Logger   // no logs when nil
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
