// Command standin-target runs a stand-in for a database replication group, for tests and development.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

type settings struct {
	Listen         []string      `help:"Address of each member, as host:port." default:"127.0.0.1:15432,127.0.0.1:15433,127.0.0.1:15434"`
	Admin          string        `help:"Address of the HTTP admin listener." default:"127.0.0.1:15480"`
	Tables         []string      `help:"Names of the tables." default:"kv"`
	Slots          int           `help:"Statements that execute in a member at a time." default:"3"`
	Connections    int           `help:"Connection cap of a member." default:"20"`
	ConnectTime    time.Duration `help:"Time to open a connection." default:"10ms"`
	StatementTime  time.Duration `help:"Time that a statement takes." default:"0"`
	ReplicationLag time.Duration `help:"Replication lag." default:"0"`
	Unordered      bool          `help:"Start without a primary."`
	DiscardHistory bool          `help:"Record no history, for load measurements."`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Stand-in for a replicated database group."))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(s settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger, err := zap.NewProduction()
	if err != nil {
		return trace.Wrap(err)
	}
	group, err := target.StartGroup(target.GroupOptions{
		Addresses: s.Listen,
		NoPrimary: s.Unordered,
		Member: target.Options{
			Tables: s.Tables, Slots: s.Slots, MaxConnections: s.Connections, ConnectTime: s.ConnectTime,
			StatementTime: s.StatementTime, ReplicationLag: s.ReplicationLag,
			DiscardHistory: s.DiscardHistory, Logger: logger,
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	defer group.Close()
	return trace.Wrap(target.ServeAdmin(ctx, s.Admin, group))
}
