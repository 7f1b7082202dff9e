package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/soak"
)

// soakCommand runs hosts as processes under random faults and checks the product's invariants.
type soakCommand struct {
	Program string        `help:"Program of the product." default:"target/bin/waxwingspindle" type:"existingfile"`
	Dir     string        `help:"Directory for settings and logs; those of seeds without a finding are removed." default:"target/soak" type:"path"`
	Seed    uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of seeds." default:"1"`
	Jobs    int           `help:"Seeds that run at once." default:"1"`
	Hosts   int           `help:"Hosts of a system." default:"5"`
	Callers int           `help:"Callers of a system." default:"30"`
	Length  time.Duration `help:"Time in which faults come." default:"30s"`
	Sync    int           `help:"Replicas that have to receive a commit; -1 means none for even seeds and one for odd ones." default:"-1"`
	Planned bool          `help:"Inject planned operations only, and use long transactions."`
	Load    bool          `help:"Use load control, with statements assigned by target."`
	Keep    bool          `help:"Keep all logs."`
	Verbose bool          `help:"Print the faults as they come."`

	Regressions bool `help:"Play the plans that once showed a broken promise instead."`

	failures int // seeds that ended with an error or a violation
	mu       sync.Mutex
}

// Run runs all seeds, c.Jobs at a time, and returns an error if one of them fails or violates an invariant.
func (c *soakCommand) Run() error {
	var running sync.WaitGroup
	slots := make(chan struct{}, c.Jobs)
	runs := c.runOptions()
	for _, options := range runs {
		slots <- struct{}{}
		running.Go(func() {
			c.runSeed(options)
			<-slots
		})
	}
	running.Wait()
	fmt.Printf("%d seeds, %d failed\n", len(runs), c.failures)
	if c.failures > 0 {
		return trace.Errorf("at least one seed failed")
	}
	return nil
}

// runOptions returns the options of each seed or recorded regression.
func (c *soakCommand) runOptions() []soak.Options {
	var runs []soak.Options
	if c.Regressions {
		for _, r := range soak.Regressions {
			runs = append(runs, soak.Options{Seed: r.Seed, Hosts: r.Hosts, Callers: r.Callers, FaultDuration: r.FaultDuration,
				SyncReplicas: r.SyncReplicas})
		}
		return runs
	}
	for i := range c.Seeds {
		o := soak.Options{Seed: c.Seed + uint64(i), Hosts: c.Hosts, Callers: c.Callers, FaultDuration: c.Length,
			SyncReplicas: c.Sync, PlannedOnly: c.Planned, LongTransactions: c.Planned, LoadControl: c.Load}
		if c.Sync < 0 {
			o.SyncReplicas = int(o.Seed % 2)
		}
		runs = append(runs, o)
	}
	return runs
}

// runSeed runs one seed and prints its result. The directory of a successful seed is removed unless c.Keep is set.
func (c *soakCommand) runSeed(o soak.Options) {
	o.Program, o.Dir = c.Program, filepath.Join(c.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if c.Verbose {
		o.Output = io.Writer(os.Stdout)
	}
	r, err := soak.Run(o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || len(r.Violations) > 0 {
		c.failures++
	} else if !c.Keep {
		err = trace.Wrap(os.RemoveAll(o.Dir))
	}
	fmt.Printf("seed %d, synchronous replicas %d: %d operations, answers %v, served after the faults %.2f, "+
		"faults skipped %d, violations %d %v\n", o.Seed, o.SyncReplicas, r.Operations, r.CodeCounts, r.ServedShare,
		r.SkippedFaults, len(r.Violations), err)
	for i, v := range r.Violations {
		if i < 10 {
			fmt.Printf("  %v\n", v)
		}
	}
}
