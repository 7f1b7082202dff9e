package simqueue

import (
	"fmt"
	"io"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	meanService = 2 * time.Millisecond
	slowFactor  = 20  // service time of slow statements, in normal ones
	noisyFactor = 5   // rate of the noisy workspace, in its usual one
	calmLoad    = 0.6 // offered load without noisy and slow workspaces, in parts of the capacity
)

// parts of the offered load, of three large and five small workspaces.
var parts = []float64{0.25, 0.20, 0.15, 0.08, 0.08, 0.08, 0.08, 0.08}

func base(seed uint64, slots int, load float64) Params {
	p := Params{
		Seed: seed, Duration: 60 * time.Second, Replicas: 2, Slots: slots, MaxQueued: 512,
		Timeout: 500 * time.Millisecond, ReadShare: 2.0 / 3, LogStdDev: 1.2,
	}
	capacity := float64(slots*(1+p.Replicas)) / meanService.Seconds()
	for i, part := range parts {
		name := fmt.Sprintf("large-%d", i+1)
		if i >= 3 {
			name = fmt.Sprintf("small-%d", i-2)
		}
		p.Loads = append(p.Loads, Load{Workspace: model.Workspace(name), Rate: load * part * capacity, MeanServiceTime: meanService})
	}
	return p
}

// Mixed returns the scenario of 8 workspaces at 0.6 of the capacity. If noisy, the largest sends 5 times its rate; if
// slow, the statements of the last take 20 times as long.
func MixedLoad(seed uint64, slots int, noisy, slow bool) Params {
	p := base(seed, slots, calmLoad)
	if noisy {
		p.Loads[0].Rate *= noisyFactor
	}
	if slow {
		p.Loads[len(p.Loads)-1].MeanServiceTime *= slowFactor
	}
	return p
}

// Overload returns the scenario in which all workspaces together offer the given multiple of the capacity.
func Overload(seed uint64, slots int, factor float64) Params {
	return base(seed, slots, factor)
}

// Print runs all scenarios for a number of slots under all disciplines and prints their reports.
func PrintScenarios(w io.Writer, seed uint64, slots int, details bool) error {
	type scenario struct {
		name   string
		params Params
	}
	scenarios := []scenario{
		{"calm", MixedLoad(seed, slots, false, false)}, {"noisy", MixedLoad(seed, slots, true, false)},
		{"slow", MixedLoad(seed, slots, false, true)}, {"noisy and slow", MixedLoad(seed, slots, true, true)},
	}
	for _, factor := range []float64{0.5, 1, 2, 4} {
		scenarios = append(scenarios, scenario{fmt.Sprintf("load %.1f", factor), Overload(seed, slots, factor)})
	}
	for _, scenario := range scenarios {
		for _, discipline := range []Discipline{SlotTime, RoundRobin, FIFO} {
			scenario.params.Discipline = discipline
			report := Run(scenario.params)
			text := report.Summary() + "\n"
			if details {
				text = "\n" + report.String()
			}
			if _, err := fmt.Fprintf(w, "%d slots, %-14s %-9s %s", slots, scenario.name, discipline, text); err != nil {
				return err
			}
		}
	}
	return nil
}
