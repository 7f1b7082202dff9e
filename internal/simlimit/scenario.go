package simlimit

import (
	"fmt"
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// Scenario returns the benchmark configuration: 8 workspaces with 3,000 requests/s in total on up to 9 hosts, otherwise 64
// workspaces with the given rate per host. A few workspaces are large, bursts are between 50 ms and 1 s of the rate, and
// arrivals are unevenly distributed over the hosts.
func Scenario(design Design, hosts int, ratePerHost, load float64, fault FaultKind) Config {
	count, total := 8, 3000.0
	if hosts > 9 {
		count, total = 64, ratePerHost*float64(hosts)
	}
	cfg := Config{
		Design: design, Hosts: hosts, Slots: roster.DefaultSlotCount, Warmup: 5 * time.Second,
		Duration: 30 * time.Second, Seed: 1,
		Tail: 5 * time.Second, MaxClockDrift: 0.0001,
	}
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+1)
	}
	burstTimes := []float64{0.2, 0.1, 1, 0.05, 0.5}
	for i := range count {
		rate := math.Round(total / sum / float64(i+1))
		burst := math.Max(1, math.Round(rate*burstTimes[i%len(burstTimes)]))
		cfg.Workspaces = append(cfg.Workspaces, Workspace{
			Name: model.Workspace(fmt.Sprintf("workspace-%02d", i)), Limit: limit.Limit{Rate: rate, Burst: burst},
			Load: load, ZipfExponent: 1,
		})
	}
	if fault != "none" {
		cfg.Faults = []Fault{{Kind: fault, Start: 10 * time.Second, Duration: 5 * time.Second}}
	}
	return cfg
}
