package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// storeDelay is the response delay of a slow store.
	storeDelay = 300 * time.Millisecond
	// responseLossRate is the fraction of responses that are dropped. Half of the requests to the store without a response are
	// executed late, by up to maxLateExecution.
	responseLossRate = 0.3
	maxLateExecution = 6 * time.Second
	// faultReplicationLag is the replication lag during ReplicationLagging.
	faultReplicationLag = 900 * time.Millisecond
	// registrationDelay is the time until a restarted database updates its registration.
	registrationDelay = 600 * time.Millisecond
	// evacuationDuration is the duration of an evacuation: long enough to check the time after its bound.
	evacuationDuration = 8 * time.Second
	// defaultReplicationLag is the initial replication lag of the stand-in.
	defaultReplicationLag = 20 * time.Millisecond
)

// activeFault is a fault that has started. The end function removes it and may take as long as a restart.
type activeFault struct {
	window *FaultWindow
	end    func()
}

// startFault starts the fault with the given number in the plan. It returns false if the fault
// has no duration or conflicts with active faults.
func (sys *system) startFault(number int, f Fault) (activeFault, bool) {
	window := &FaultWindow{Host: allHosts, From: time.Now()} // callers may notice the fault before it is fully applied
	var end func()
	h := sys.hosts[f.Host]
	switch f.Kind {
	case HostKilled, HostStopped, HostFrozen:
		window.Host, window.HostUnavailable, window.PlannedStop = f.Host, f.Kind != HostStopped, f.Kind == HostStopped
		end = sys.signalHost(h, f.Kind, window)
	case AllHostsKilled:
		window.HostUnavailable = true
		end = sys.killAllHosts()
	case SettingsTouched, HostReloaded:
		if f.Kind == HostReloaded {
			h.signal(syscall.SIGHUP)
		} else if err := os.Chtimes(h.settingsFile, time.Now(), time.Now()); err != nil {
			sys.addViolation(NoUnexpectedExit, "settings of host %d: %v", f.Host, err)
		}
		return activeFault{}, false
	case LinkBlackholed, LinkResponsesDropped, LinkDelayed, LinkReset, LinkHeld:
		end = sys.injectLinkFault(number, f, window)
	case LeaderCutOff:
		var possible bool
		if end, possible = sys.cutLeaderOff(rand.New(rand.NewPCG(sys.options.Seed, uint64(number)))); !possible {
			return activeFault{}, false
		}
	case KeyChanged:
		sys.rotateKey()
		return activeFault{}, false
	case LimitChanged:
		sys.changeLimit(rand.New(rand.NewPCG(sys.options.Seed, uint64(number))))
		return activeFault{}, false
	case StoreCompacted:
		sys.store.Compact()
		return activeFault{}, false
	case StoreRestored:
		end = sys.restoreStore(rand.New(rand.NewPCG(sys.options.Seed, uint64(number))))
	case StoreDown, StoreSlow, StoreDropsResponses:
		sys.adjustActiveFaults(f.Kind, 1)
		end = func() { sys.adjustActiveFaults(f.Kind, -1) }
	default:
		window.DatabasesOnly = true
		window.PlannedOperation = f.Kind == DataCentreEvacuated || f.Kind == DatabaseDrained
		var possible bool
		if end, possible = sys.injectDatabaseFault(f); !possible {
			return activeFault{}, false
		}
	}
	sys.history.addFaultWindow(window)
	return activeFault{window, end}, true
}

// signalHost kills, freezes or stops a host, and returns a function that resumes or restarts it.
func (sys *system) signalHost(h *host, kind FaultKind, window *FaultWindow) func() {
	switch kind {
	case HostFrozen:
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	case HostKilled:
		h.kill()
		return func() { sys.restart(h) }
	}
	h.signal(syscall.SIGTERM)
	done := h.exited()
	killTimer := time.AfterFunc(drainSeconds*time.Second, func() {
		if isClosed(done) {
			return // the fault ends at the same time
		}
		h.signal(syscall.SIGCONT) // a frozen process does not handle SIGTERM
		h.signal(syscall.SIGKILL)
		sys.history.update(func() { window.PlannedStop, window.HostUnavailable = false, true })
	})
	return func() {
		<-done
		killTimer.Stop()
		sys.restart(h)
	}
}

func (sys *system) killAllHosts() func() {
	for _, h := range sys.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range sys.hosts {
		h.kill()
	}
	return func() {
		for _, h := range sys.hosts {
			go sys.restart(h)
		}
		for _, h := range sys.hosts {
			sys.awaitReady(h, drainSeconds*time.Second)
		}
	}
}

// injectLinkFault injects a fault into the link of a host or of a database, and returns a function that removes it.
func (sys *system) injectLinkFault(number int, f Fault, window *FaultWindow) func() {
	link := hostLink(f.Link, f.Host)
	window.Host, window.HostUnavailable = f.Host, f.Link == LinkToCallers
	if f.Link == LinkToDatabase {
		link, window.Host, window.DatabasesOnly = databaseLink(f.Database), allHosts, true
	}
	if f.Kind == LinkHeld {
		return sys.proxies.hold(link)
	}
	name := fmt.Sprintf("fault-%d", number)
	if err := sys.proxies.inject(link, name, f.Kind); err != nil {
		sys.addViolation(NoUnexpectedExit, "proxy %s: %v", link, err)
	}
	return func() {
		if err := sys.proxies.heal(link, name, f.Kind); err != nil {
			sys.addViolation(NoUnexpectedExit, "proxy %s: %v", link, err)
		}
	}
}

// maxCopyAge is the greatest age of the copy from which the store comes back.
const maxCopyAge = 5 * time.Second

// maxRewriteDelay is the longest time until the operator and the databases have written their keys again after the store has come back.
const maxRewriteDelay = 1500 * time.Millisecond

// copyInterval is the interval between copies of the store.
const copyInterval = 500 * time.Millisecond

// copyStore copies the store periodically.
func (sys *system) copyStore() {
	for {
		select {
		case <-sys.stopAll:
			return
		case <-time.After(copyInterval):
		}
		copied := sys.store.Copy()
		sys.mu.Lock()
		sys.copies = append(sys.copies, copied)
		if excess := len(sys.copies) - int(maxCopyAge/copyInterval); excess > 0 {
			sys.copies = sys.copies[excess:]
		}
		sys.mu.Unlock()
	}
}

// restoreStore makes the store unavailable, and returns a function that brings it back from an earlier copy.
func (sys *system) restoreStore(random *rand.Rand) func() {
	sys.adjustActiveFaults(StoreDown, 1)
	sys.mu.Lock()
	defer sys.mu.Unlock()
	if len(sys.copies) == 0 {
		return func() { sys.adjustActiveFaults(StoreDown, -1) }
	}
	copied := sys.copies[random.IntN(len(sys.copies))]
	return func() {
		sys.store.Restore(copied, func(string) time.Duration { return time.Duration(random.Int64N(int64(maxRewriteDelay))) })
		sys.adjustActiveFaults(StoreDown, -1)
	}
}

// maxCutDelay is the longest time between a decision to replace the primary and the cut of LeaderCutOff. Statements that run at the
// old primary delay the order of the promotion by up to 0.4 s.
const maxCutDelay = 400 * time.Millisecond

// decisionPollInterval is the interval between checks whether the leader has decided to replace the primary.
const decisionPollInterval = 2 * time.Millisecond

// cutLeaderOff drains the primary and holds the leader's links to the platform while it replaces the primary, until the returned
// function is called.
func (sys *system) cutLeaderOff(random *rand.Rand) (end func(), possible bool) {
	primary := -1
	for i := range databaseCount {
		if sys.group.Member(i) == sys.group.Primary() {
			primary = i
		}
	}
	if primary < 0 {
		return nil, false
	}
	endDrain, possible := sys.injectDatabaseFault(Fault{Kind: DatabaseDrained, Database: primary})
	if !possible {
		return nil, false
	}
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for !sys.replacingPrimary() {
			select {
			case <-ended:
				return
			case <-time.After(decisionPollInterval):
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxCutDelay))))
		leader := sys.leader()
		if leader < 0 {
			return
		}
		for _, link := range []LinkKind{LinkToStore, LinkToDuties} {
			defer sys.proxies.hold(hostLink(link, leader))()
		}
		sys.print("host %d, which leads, is cut off from the platform", leader)
		<-ended
	}()
	return func() {
		close(ended)
		<-done
		endDrain()
	}, true
}

// replacingPrimary reports whether the leader has decided to replace the primary and not yet stored another one.
func (sys *system) replacingPrimary() bool {
	value, _ := sys.store.Get("waxwingspindle/primary/" + serviceName)
	return strings.Contains(string(value), `"Open":false`)
}

// leader returns the number of the host that the store names as the leader, or -1.
func (sys *system) leader() int {
	value, _ := sys.store.Get("waxwingspindle/leader")
	return slices.IndexFunc(sys.hosts, func(h *host) bool { return strings.Contains(string(value), fmt.Sprintf(`"host-%d"`, h.number)) })
}

// adjustActiveFaults changes the number of active faults of a kind and applies the result to the stand-ins.
func (sys *system) adjustActiveFaults(kind FaultKind, change int) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.activeFaults[kind] += change
	on := sys.activeFaults[kind] > 0
	random := func() bool { return rand.Float64() < responseLossRate }
	switch kind {
	case StoreDown:
		sys.store.RefuseRequests(nil)
		if on {
			sys.store.RefuseRequests(func(*http.Request) bool { return true })
		}
	case StoreSlow:
		sys.store.SetResponseDelay(0)
		if on {
			sys.store.SetResponseDelay(storeDelay)
		}
	case StoreDropsResponses:
		sys.store.DropResponses(nil)
		sys.store.ExecuteLate(nil)
		if on {
			sys.store.DropResponses(func(*http.Request) bool { return rand.Float64() < responseLossRate/2 })
			sys.store.ExecuteLate(func(*http.Request) time.Duration {
				if rand.Float64() < responseLossRate/2 {
					return time.Duration(rand.Int64N(int64(maxLateExecution)))
				}
				return 0
			})
		}
	case DatabaseDropsResponses:
		sys.group.DropResponses(nil)
		if on {
			sys.group.DropResponses(func(*lines.Member, string) bool { return random() })
		}
	case ReplicationLagging:
		sys.group.SetReplicationLag(defaultReplicationLag)
		if on {
			sys.group.SetReplicationLag(faultReplicationLag)
		}
	}
}

// tryReserveDatabases reserves the databases for a fault, and reports whether it may start. Each kind is active at most
// once. A fault that destroys data excludes other database faults, because no invariant covers the loss of several copies.
func (sys *system) tryReserveDatabases(kind FaultKind) bool {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	destroying := sys.activeFaults[DatabaseDataLost] + sys.activeFaults[DatabaseDrained]
	others := sys.activeFaults[DatabaseCrashed] + sys.activeFaults[ReplicationBlocked]
	exclusive := kind == DatabaseDataLost || kind == DatabaseDrained
	if destroying > 0 || exclusive && others > 0 || sys.activeFaults[kind] > 0 {
		return false
	}
	sys.activeFaults[kind]++
	return true
}

func (sys *system) releaseDatabases(kind FaultKind) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.activeFaults[kind]--
}

// injectDatabaseFault starts a fault of a database and returns a function that ends it. The fault is not possible while
// a conflicting one is active.
func (sys *system) injectDatabaseFault(f Fault) (end func(), possible bool) {
	if f.Kind == DatabaseDropsResponses || f.Kind == ReplicationLagging {
		sys.adjustActiveFaults(f.Kind, 1)
		return func() { sys.adjustActiveFaults(f.Kind, -1) }, true
	}
	if !sys.tryReserveDatabases(f.Kind) {
		return nil, false
	}
	m := sys.group.Member(f.Database)
	switch f.Kind {
	case DatabaseCrashed:
		m.SetPartitioned(true)
		expiry := time.AfterFunc(registrationTimeout, m.Deregister)
		return func() {
			expiry.Stop()
			m.SetPartitioned(false)
			m.Register()
			sys.releaseDatabases(f.Kind)
		}, true
	case ReplicationBlocked:
		m.SetReplicationBlocked(true)
		return func() {
			m.SetReplicationBlocked(false)
			sys.releaseDatabases(f.Kind)
		}, true
	case DatabaseDataLost:
		m.RestartEmpty()
		time.AfterFunc(registrationDelay, m.Register)
	case DataCentreEvacuated:
		return sys.evacuate(f.Database), true
	case DatabaseDrained:
		m.Drain()
		time.AfterFunc(drainDuration, func() {
			m.SetPartitioned(true)
			m.Deregister()
			time.Sleep(restartPause)
			m.RestartEmpty()
			m.SetPartitioned(false)
			m.Register()
		})
	}
	// Until this member has caught up, the other members hold the only copies.
	return func() { time.AfterFunc(drainDuration+settleTime, func() { sys.releaseDatabases(f.Kind) }) }, true
}

// evacuate requests the evacuation of the data centre of a database, and returns a function that withdraws it.
func (sys *system) evacuate(database int) func() {
	name := databaseDataCentre(database)
	sys.store.RequestEvacuation(name)
	record := &Evacuation{From: time.Now()}
	for i := range databaseCount {
		if databaseDataCentre(i) == name {
			record.Databases = append(record.Databases, sys.group.Member(i).ID)
		}
	}
	sys.history.update(func() { sys.history.evacuations = append(sys.history.evacuations, record) })
	return func() {
		time.Sleep(time.Until(record.From.Add(evacuationDuration)))
		sys.history.update(func() { record.To = time.Now() }) // hosts may learn of the withdrawal before it returns
		sys.store.WithdrawEvacuation(name)
		sys.releaseDatabases(DataCentreEvacuated)
	}
}
