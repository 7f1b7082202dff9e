package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// startTimeout bounds the start of all hosts.
	startTimeout = 20 * time.Second
	// checkInterval is the time between two checks while the soak runs.
	checkInterval = 3 * time.Second
	// recovery is the time after the last fault in which the system has to serve again.
	recovery = 12 * time.Second
	// recovered is the share of the operations after recovery that has to be served; a quarter is promised.
	recovered = 0.25
	// measured is the time after recovery over which the share is taken.
	measured = 3 * time.Second
	// calmChange is the time after the last fault at which a key changes, so that the change meets calm hosts.
	calmChange = stable + time.Second
)

// Options are what a soak is run with.
type Options struct {
	Program       string // path of the product's program
	Dir           string // for settings and logs
	Seed          uint64
	Hosts         int
	Callers       int
	FaultDuration time.Duration // of the part with faults
	SyncReplicas  int
	Output        io.Writer // for the faults as they come
}

// Result is what a soak has shown.
type Result struct {
	Violations    []Violation
	CodeCounts    map[string]int // statements by the code of their answer; empty for success
	Operations    int64
	SkippedFaults int // faults that could not come beside others
	ServedShare   float64
}

// Run plays the plan of a seed. It fails if the system does not start.
func Run(o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, trace.Wrap(err)
	}
	w, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	for _, h := range w.hosts {
		if !w.awaitReady(h, startTimeout) {
			return Result{}, trace.Errorf("host %d is not ready after %s", h.number, startTimeout)
		}
	}
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &caller{world: w, number: i, database: []string{"orders", "plans", "view", "plans"}[i%4],
			random: rand.New(rand.NewPCG(o.Seed, uint64(100+i)))}
		callers.Go(c.run)
	}
	r := Result{}
	found := make(chan []Violation, 1)
	w.background.Go(func() { found <- w.watch() })
	r.SkippedFaults = w.play(GeneratePlan(o.Seed, o.Hosts, databases, o.FaultDuration))
	time.Sleep(calmChange)
	w.changeKey()
	time.Sleep(recovery - calmChange)
	served, played := w.served.Load(), w.played.Load()
	time.Sleep(measured)
	served, played = w.served.Load()-served, w.played.Load()-played
	r.ServedShare = float64(served) / float64(max(played, 1))
	if r.ServedShare < recovered {
		w.violation(Recovery, "%d of %d operations were served %s after the last fault", served, played, recovery)
	}
	close(w.stopCallers)
	callers.Wait()
	w.stopHosts()
	r.Operations = w.played.Load()
	r.Violations = w.check()
	r.CodeCounts = w.codes
	w.halt()
	r.Violations = distinct(append(<-found, r.Violations...))
	return r, nil
}

// play plays the faults of a plan, and returns how many could not come. All have ended when it returns.
func (w *world) play(plan []Fault) (skipped int) {
	started := time.Now()
	under := map[int]ongoing{}
	var ends sync.WaitGroup
	for _, s := range steps(plan) {
		time.Sleep(time.Until(started.Add(s.at)))
		if s.end {
			if fault, begun := under[s.fault]; begun {
				ends.Go(func() {
					fault.end()
					w.history.calm(fault.disturbance)
				})
			}
			continue
		}
		fault, begun := w.begin(s.fault, plan[s.fault])
		if begun {
			under[s.fault] = fault
		}
		w.print("%v lasting=%v", plan[s.fault], begun)
	}
	ends.Wait()
	for _, h := range w.hosts { // a signal may have been lost with a process that was ending
		h.signal(syscall.SIGCONT)
		if !h.running() {
			w.restart(h)
		}
	}
	return len(plan) - len(under)
}

// print writes a line with the time for whoever watches the soak.
func (w *world) print(format string, args ...any) {
	if w.options.Output != nil {
		fmt.Fprintf(w.options.Output, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
	}
}

// watch checks the promises while the soak runs, and returns what was broken.
func (w *world) watch() []Violation {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopAll:
			return nil
		case <-ticker.C:
			if found := w.check(); len(found) > 0 {
				w.print("broken: %v", found[0])
				<-w.stopAll
				return found
			}
		}
	}
}

// check compares what callers and databases have seen so far. The databases stand still meanwhile.
func (w *world) check() []Violation {
	var found []Violation
	w.group.Inspect(func(executed []lines.Executed, commits []*lines.Commit, promotions []lines.Promotion) {
		v := View{ExecutedStatements: executed, Commits: commits, Promotions: promotions, SyncReplicas: w.options.SyncReplicas}
		w.history.fill(&v)
		found = CheckInvariants(v)
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(found, w.ended...)
}

// stopHosts stops all hosts as planned.
func (w *world) stopHosts() {
	var stops sync.WaitGroup
	for _, h := range w.hosts {
		stops.Go(func() {
			h.signal(syscall.SIGTERM)
			select {
			case <-h.ended():
			case <-time.After(drainSeconds * time.Second):
				w.violation(NoUnexpectedExit, "host %d did not stop within %d s", h.number, drainSeconds)
			}
		})
	}
	stops.Wait()
}

// distinct removes what was found twice.
func distinct(all []Violation) []Violation {
	seen := map[Violation]bool{}
	return slices.DeleteFunc(all, func(v Violation) bool {
		again := seen[v]
		seen[v] = true
		return again
	})
}
