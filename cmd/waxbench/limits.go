package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/simlimit"
)

// limitsCommand simulates the limits of workspaces over many hosts.
type limitsCommand struct {
	Design   []string      `default:"lent,static,owner" help:"Designs to simulate."`
	Hosts    []int         `default:"9" help:"Numbers of hosts."`
	Load     []float64     `default:"0.5,0.95,3" help:"Arrivals as multiples of the rate."`
	Fault    []string      `default:"none" help:"Faults: none, kill-broker, kill-holder, pause-broker, loss."`
	Rate     float64       `default:"25" help:"Sum of the rates of all workspaces per host, for more than 9 hosts."`
	Slots    int           `default:"24" help:"Share slots."`
	Duration time.Duration `default:"30s" help:"Simulated time."`
	Warmup   time.Duration `default:"5s" help:"Simulated time at the beginning that is not counted."`
	Seed     uint64        `default:"1" help:"Seed."`
}

// Run prints a table with one row per combination of hosts, load, fault and design.
func (c *limitsCommand) Run() error {
	return c.print(os.Stdout)
}

func (c *limitsCommand) print(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%-7s %5s %5s %-13s %9s %9s %10s %10s %10s %8s %8s %9s %9s\n", "design", "hosts", "load",
		"fault", "requests", "over-adm", "wrongful‰", "shortfall‰", "worst-ws‰", "msg/s", "max", "B/s", "max")
	if err != nil {
		return err
	}
	for _, hosts := range c.Hosts {
		for _, load := range c.Load {
			for _, fault := range c.Fault {
				for _, design := range c.Design {
					if err := c.printRow(out, simlimit.Design(design), hosts, load, simlimit.FaultKind(fault)); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// printRow runs one simulation and prints its results.
func (c *limitsCommand) printRow(out io.Writer, design simlimit.Design, hosts int, load float64,
	fault simlimit.FaultKind) error {
	cfg := simlimit.Scenario(design, hosts, c.Rate, load, fault)
	cfg.Slots, cfg.Duration, cfg.Warmup, cfg.Seed = c.Slots, c.Duration, c.Warmup, c.Seed
	result := simlimit.Run(cfg)
	worst := 0.0
	for _, w := range result.Workspaces {
		worst = max(worst, w.ShortfallPerMille())
	}
	_, err := fmt.Fprintf(out, "%-7s %5d %5.2f %-13s %9d %9.3f %10.3f %10.3f %10.3f %8.1f %8.1f %9.0f %9.0f\n", design, hosts,
		load, fault, result.Total.Offered, result.Total.OverAdmission, result.Total.FalseRefusalsPerMille(),
		result.Total.ShortfallPerMille(), worst, result.Messages.MessagesMean, result.Messages.MessagesMax,
		result.Messages.BytesMean, result.Messages.BytesMax)
	return err
}
