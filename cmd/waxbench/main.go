// Command waxbench runs simulations of the decision packages and a soak test of the program. The simulations are
// deterministic: the same command line gives the same figures.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/waxwingspindle/waxwingspindle/internal/simqueue"
)

type commandLine struct {
	Limits limitsCommand `cmd:"" help:"Simulate the limits of workspaces over many hosts."`
	Queue  queueCommand  `cmd:"" help:"Simulate the fair queue of a home."`
	Soak   soakCommand   `cmd:"" help:"Run hosts as processes under random faults, and check what callers and databases see."`
}

// queueCommand simulates the fair queue of a service's home.
type queueCommand struct {
	Seed    uint64 `help:"Seed of the random numbers." default:"1"`
	Slots   int    `help:"Slots of each target." default:"3"`
	Details bool   `help:"Print a line for each workspace."`
}

// Run prints the reports of all scenarios.
func (c *queueCommand) Run() error {
	return simqueue.PrintScenarios(os.Stdout, c.Seed, c.Slots, c.Details)
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("waxbench"), kong.Description("Measurements of waxwingspindle in simulations."))
	ctx.FatalIfErrorf(ctx.Run())
}
