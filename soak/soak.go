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
	// startTimeout is the maximum time until a host is ready at the start of a run.
	startTimeout = 20 * time.Second
	// checkInterval is the time between two checks of the invariants during a run.
	checkInterval = 3 * time.Second
	// recoveryTime is the time after the last fault within which the system must serve again.
	recoveryTime = 12 * time.Second
	// minServedShare is the fraction of operations that must be served after recoveryTime; a quarter is guaranteed.
	minServedShare = 0.25
	// servedShareWindow is the time after recoveryTime over which the served fraction is measured.
	servedShareWindow = 3 * time.Second
	// keyChangeDelay is the time after the last fault at which a key is rotated, so that all hosts are stable by then.
	keyChangeDelay = settleTime + time.Second
)

// Options configures a soak run.
type Options struct {
	Program       string // path of the product's executable
	Dir           string // directory for settings and logs
	Seed          uint64
	Hosts         int
	Callers       int
	FaultDuration time.Duration // length of the phase with faults
	SyncReplicas  int
	PlannedOnly   bool // only planned operations are injected, so that no fault excuses a lost statement
	// LongTransactions makes some callers pause between the statements of transactions that take seconds in all.
	LongTransactions bool
	LoadControl      bool      // hosts use load control, with statements assigned by target
	Output           io.Writer // receives a line for each fault; may be nil
}

// Result is the result of a soak run.
type Result struct {
	Violations    []Violation
	CodeCounts    map[string]int // number of statements by response code; "" is success
	Operations    int64
	SkippedFaults int     // faults without a duration, or in conflict with active ones
	ServedShare   float64 // fraction of operations served during servedShareWindow
}

// Run executes the plan of a seed. It returns an error if the system does not start.
func Run(o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, trace.Wrap(err)
	}
	sys, err := newSystem(o)
	if err != nil {
		return Result{}, err
	}
	defer sys.close()
	for _, h := range sys.hosts {
		if !sys.awaitReady(h, startTimeout) {
			return Result{}, trace.Errorf("host %d is not ready after %s", h.number, startTimeout)
		}
	}
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &caller{system: sys, number: i, database: []string{"orders", "plans", "view", "plans"}[i%4],
			random: rand.New(rand.NewPCG(o.Seed, uint64(100+i)))}
		callers.Go(c.run)
	}
	r := Result{}
	found := make(chan []Violation, 1)
	sys.background.Go(func() { found <- sys.checkPeriodically() })
	plan := GeneratePlan(o.Seed, o.Hosts, databaseCount, o.FaultDuration)
	if o.PlannedOnly {
		plan = GeneratePlannedOperations(o.Seed, o.Hosts, o.FaultDuration)
	}
	r.SkippedFaults = sys.runPlan(plan)
	time.Sleep(keyChangeDelay)
	sys.rotateKey()
	time.Sleep(recoveryTime - keyChangeDelay)
	served, finished := sys.servedOperations.Load(), sys.finishedOperations.Load()
	time.Sleep(servedShareWindow)
	served, finished = sys.servedOperations.Load()-served, sys.finishedOperations.Load()-finished
	r.ServedShare = float64(served) / float64(max(finished, 1))
	if r.ServedShare < minServedShare {
		sys.addViolation(Recovery, "%d of %d operations were served %s after the last fault", served, finished, recoveryTime)
	}
	close(sys.stopCallers)
	callers.Wait()
	sys.stopHosts()
	r.Operations = sys.finishedOperations.Load()
	r.Violations = sys.checkInvariants()
	r.CodeCounts = sys.codeCounts
	sys.stopBackground()
	r.Violations = removeDuplicates(append(<-found, r.Violations...))
	return r, nil
}

// runPlan injects the faults of a plan and returns the number of skipped ones. All faults have ended when it returns.
func (sys *system) runPlan(plan []Fault) (skipped int) {
	started := time.Now()
	active := map[int]activeFault{}
	var ends sync.WaitGroup
	for _, s := range planSteps(plan) {
		time.Sleep(time.Until(started.Add(s.at)))
		if s.end {
			if fault, ok := active[s.faultIndex]; ok {
				ends.Go(func() {
					fault.end()
					sys.history.closeFaultWindow(fault.window)
				})
			}
			continue
		}
		fault, ok := sys.startFault(s.faultIndex, plan[s.faultIndex])
		if ok {
			active[s.faultIndex] = fault
		}
		sys.print("%v active=%v", plan[s.faultIndex], ok)
	}
	ends.Wait()
	for _, h := range sys.hosts { // a signal may have been lost in a process that was exiting
		h.signal(syscall.SIGCONT)
		if !h.running() {
			sys.restart(h)
		}
	}
	return len(plan) - len(active)
}

// print writes a line with a timestamp to the configured output.
func (sys *system) print(format string, args ...any) {
	if sys.options.Output != nil {
		fmt.Fprintf(sys.options.Output, time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
	}
}

// checkPeriodically checks the invariants during the run and returns the first violations found.
func (sys *system) checkPeriodically() []Violation {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sys.stopAll:
			return nil
		case <-ticker.C:
			if found := sys.checkInvariants(); len(found) > 0 {
				sys.print("violation: %v", found[0])
				<-sys.stopAll
				return found
			}
		}
	}
}

// checkInvariants checks what callers and databases have observed so far. The databases are paused during the check.
func (sys *system) checkInvariants() []Violation {
	var found []Violation
	sys.group.Inspect(func(executed []lines.ExecutedStatement, commits []*lines.Commit, promotions []lines.Promotion) {
		v := View{ExecutedStatements: executed, Commits: commits, Promotions: promotions, SyncReplicas: sys.options.SyncReplicas}
		sys.history.copyTo(&v)
		found = CheckInvariants(v)
	})
	sys.mu.Lock()
	defer sys.mu.Unlock()
	return append(found, sys.violations...)
}

// stopHosts shuts all hosts down gracefully.
func (sys *system) stopHosts() {
	var stops sync.WaitGroup
	for _, h := range sys.hosts {
		stops.Go(func() {
			h.signal(syscall.SIGTERM)
			select {
			case <-h.exited():
			case <-time.After(drainSeconds * time.Second):
				sys.addViolation(NoUnexpectedExit, "host %d did not stop within %d s", h.number, drainSeconds)
			}
		})
	}
	stops.Wait()
}

// removeDuplicates removes repeated violations.
func removeDuplicates(all []Violation) []Violation {
	seen := map[Violation]bool{}
	return slices.DeleteFunc(all, func(v Violation) bool {
		duplicate := seen[v]
		seen[v] = true
		return duplicate
	})
}
