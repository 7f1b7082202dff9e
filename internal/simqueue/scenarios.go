package simqueue

import (
	"fmt"
	"io"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	meanServiceTime   = 2 * time.Millisecond
	slowServiceFactor = 20  // service time of slow statements, relative to normal ones
	noisyRateFactor   = 5   // rate of the noisy workspace, relative to its normal rate
	baseLoad          = 0.6 // offered load without noisy and slow workspaces, as a fraction of the capacity
)

// loadShares are the fractions of the offered load of three large and five small workspaces.
var loadShares = []float64{0.25, 0.20, 0.15, 0.08, 0.08, 0.08, 0.08, 0.08}

func baseParams(seed uint64, slots int, load float64) Params {
	p := Params{
		Seed: seed, Duration: 60 * time.Second, Replicas: 2, Slots: slots, MaxQueued: 512,
		Timeout: 500 * time.Millisecond, ReadShare: 2.0 / 3, LogStdDev: 1.2,
	}
	capacity := float64(slots*(1+p.Replicas)) / meanServiceTime.Seconds()
	for i, share := range loadShares {
		name := fmt.Sprintf("large-%d", i+1)
		if i >= 3 {
			name = fmt.Sprintf("small-%d", i-2)
		}
		p.Loads = append(p.Loads, Load{Workspace: model.Workspace(name), Rate: load * share * capacity,
			MeanServiceTime: meanServiceTime})
	}
	return p
}

// MixedLoad returns a scenario with 8 workspaces at 0.6 of the capacity. If noisy is set, the largest workspace sends 5
// times its rate; if slow is set, the statements of the last workspace take 20 times as long.
func MixedLoad(seed uint64, slots int, noisy, slow bool) Params {
	p := baseParams(seed, slots, baseLoad)
	if noisy {
		p.Loads[0].Rate *= noisyRateFactor
	}
	if slow {
		p.Loads[len(p.Loads)-1].MeanServiceTime *= slowServiceFactor
	}
	return p
}

// Overload returns a scenario in which all workspaces together offer the given multiple of the capacity.
func Overload(seed uint64, slots int, factor float64) Params {
	return baseParams(seed, slots, factor)
}

// PrintScenarios runs all scenarios with the given number of slots under all disciplines and prints their reports.
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
