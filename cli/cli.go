// Package cli is the command line of waxwingspindle. It talks to a running daemon over the operators' service, and
// starts daemons.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/waxwingspindle/waxwingspindle/config"
	genoperator "github.com/waxwingspindle/waxwingspindle/gen/operator"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1 // the command failed
	ExitUsage       = 2 // the command line is wrong
	ExitInvalid     = 3 // the configuration or a parameter is not allowed
	ExitConflict    = 4 // somebody else changed the configuration
	ExitUnavailable = 5 // the daemon or the store cannot be reached, or the outcome of a change is not known
	ExitDifferent   = 6 // config diff found differences
)

// Version is the version that --version prints.
const Version = "0.1.0"

// app is the command line.
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
	Check configCheckCommand `cmd:"" help:"Check a base file with its overlays, without a daemon."`
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

// environment is what commands read and write.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// differentError ends config diff when there are differences.
type differentError struct{}

func (differentError) Error() string { return "the configuration differs" }

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a commandLine
	exited := -1
	parser, err := kong.New(&a, kong.Name("waxwingspindle"),
		kong.Description("A database proxy with session consistency."),
		kong.Vars{"version": "waxwingspindle " + Version}, kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.UsageOnError())
	if err != nil {
		panic(fmt.Sprintf("the command line is declared wrongly: %v", err))
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

// report prints an error and returns the exit code for it.
func report(err error, stderr io.Writer) int {
	var (
		different differentError
		failed    *genoperator.OperatorFailure
		invalid   *config.InvalidError
		path      *os.PathError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &different):
		return ExitDifferent
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

// reportFailure prints an answer of the operators' service other than success.
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
