// Package cli implements the command line of waxwingspindle, which starts daemons and manages running ones through the
// HTTP API for operators.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/configcheck"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any failure without a code of its own; config check has findings
	ExitUsage       = 2 // invalid command line; config check cannot run
	ExitInvalid     = 3 // invalid configuration or parameter
	ExitConflict    = 4 // conflict with another change of the configuration
	ExitUnavailable = 5 // the daemon or the store is unreachable, or the outcome of a change is unknown
	ExitDifferent   = 6 // config diff found differences
)

// Version is the version of the program.
const Version = "0.1.0"

// commandLine declares the commands and flags.
type commandLine struct {
	Version kong.VersionFlag `help:"Print the version."`

	Serve     serveCommand   `cmd:"" help:"Run a daemon."`
	Gateway   gatewayCommand `cmd:"" help:"Run a host on a platform with a metadata store and a line protocol."`
	Dev       devCommand     `cmd:"" help:"Run daemons, platform and databases in one process, to try things out."`
	Config    configGroup    `cmd:"" help:"Check, compare, apply and show the configuration."`
	Key       keyGroup       `cmd:"" help:"Create and withdraw callers' keys."`
	Workspace workspaceGroup `cmd:"" help:"Change workspaces."`
	Status    statusCommand  `cmd:"" help:"Show the state of a daemon and of what it sees."`
	Drain     drainCommand   `cmd:"" help:"Start a planned stop of a daemon."`
}

type configGroup struct {
	Check configCheckCommand `cmd:"" help:"Check a base file with its overlays, or a JSON document, without a daemon."`
	Diff  configDiffCommand  `cmd:"" help:"Show what applying the files would change."`
	Apply configApplyCommand `cmd:"" help:"Apply the files."`
	Show  configShowCommand  `cmd:"" help:"Show the configuration in force."`
}

type keyGroup struct {
	Create   keyCreateCommand   `cmd:"" help:"Create a key for a workspace and print it once."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key."`
}

type workspaceGroup struct {
	Set workspaceSetCommand `cmd:"" help:"Set rate, burst or services of a workspace."`
}

// environment holds the context and the output streams of a command.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// differentError is returned by config diff if there are differences; it sets the exit code.
type differentError struct{}

func (differentError) Error() string { return "the configuration differs" }

// Run parses the arguments, runs the command and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a commandLine
	exited := -1 // exit code if kong ended the program, for example after --help
	parser, err := kong.New(&a, kong.Name("waxwingspindle"),
		kong.Description("A database proxy with session consistency."),
		kong.Vars{"version": "waxwingspindle " + Version,
			"statementTime": configcheck.DefaultStatementTime.String()}, kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.UsageOnError())
	if err != nil {
		panic(fmt.Sprintf("invalid command definitions: %v", err))
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(stderr, "waxwingspindle: %v\n", err)
		return ExitUsage
	}
	err = parsed.Run(&environment{ctx: ctx, stdout: stdout, stderr: stderr})
	return report(err, stderr)
}

// report prints an error and returns its exit code.
func report(err error, stderr io.Writer) int {
	var (
		different differentError
		failed    *genoperator.OperatorFailure
		invalid   *config.InvalidError
		path      *os.PathError
		findings  findingsError
		stopped   uncheckableError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &different):
		return ExitDifferent
	case errors.As(err, &findings):
		return ExitFailure
	case errors.As(err, &stopped):
		fmt.Fprintf(stderr, "waxwingspindle: %v\n", err)
		return ExitUsage
	case errors.As(err, &failed):
		return reportFailure(failed, stderr)
	case errors.As(err, &invalid):
		for _, line := range invalid.Lines() {
			fmt.Fprintln(stderr, line)
		}
		return ExitInvalid
	case errors.As(err, &path):
		fmt.Fprintf(stderr, "waxwingspindle: %v\n", err)
		return ExitInvalid
	}
	fmt.Fprintf(stderr, "waxwingspindle: %v\n", err)
	if errors.As(err, new(*unreachableError)) {
		return ExitUnavailable
	}
	return ExitFailure
}

// reportFailure prints an error response of the operators' API and returns its exit code.
func reportFailure(f *genoperator.OperatorFailure, stderr io.Writer) int {
	fmt.Fprintf(stderr, "waxwingspindle: %s (%s, version in force %d)\n", f.Detail, f.Reason, f.Version)
	for _, line := range f.Problems {
		fmt.Fprintf(stderr, "  %s\n", line)
	}
	switch f.Name {
	case "invalid", "not_found", "unauthorized":
		return ExitInvalid
	case "conflict":
		return ExitConflict
	}
	return ExitUnavailable
}
