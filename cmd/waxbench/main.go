// Waxbench measures the pure packages in simulations. The same command line gives the same figures.
package main

import (
	"github.com/alecthomas/kong"
)

type commandLine struct {
	Limits limitsCommand `cmd:"" help:"Simulate the limits of workspaces over many hosts."`
}

func main() {
	var c commandLine
	ctx := kong.Parse(&c, kong.Name("waxbench"), kong.Description("Measurements of waxwingspindle in simulations."))
	ctx.FatalIfErrorf(ctx.Run())
}
