package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	serviceName   = "stock"
	databaseCount = 3
	// statementTime is the execution time of a statement in a database.
	statementTime = 2 * time.Millisecond
	// drainSeconds is the time between SIGTERM and SIGKILL when a host is stopped.
	drainSeconds = 6
	// restartPause is the delay before an exited process is started again.
	restartPause = 300 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a host by the load balancer.
	healthCheckInterval = time.Second
	// maxMissedChecks is the number of failed health checks after which a host gets no new callers.
	maxMissedChecks = 2
	// registrationTimeout is the time after which the registration of a silent database expires: three heartbeats.
	registrationTimeout = 3600 * time.Millisecond
	// drainDuration is the time for which a draining database still serves.
	drainDuration = 8 * time.Second
	// keyGroupSize is the size of a group of callers. One caller of each group uses the limited workspace, another one
	// a rotating key.
	keyGroupSize       = 5
	initialLimitedRate = 30.0
)

// host is one gateway process under test.
type host struct {
	number                                                   int
	callerAddress, listenAddress, healthAddress, peerAddress string // callerAddress is a proxy to listenAddress
	settingsFile, logFile                                    string

	mu           sync.Mutex
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has exited
	exitExpected bool          // the process was told to exit
	missedChecks int
}

// system is the system under test with its stand-ins, proxies and callers' state.
type system struct {
	options       Options
	hostIP        string // IP address of the hosts
	history       *History
	proxies       *proxySet
	store         *lines.Store
	group         *lines.Group
	servers       []*httptest.Server
	hosts         []*host
	seedAddresses []string // peer addresses of the hosts started so far

	stopCallers, stopAll                 chan struct{}
	sessions                             atomic.Int64
	servedOperations, finishedOperations atomic.Int64
	stopOnce                             sync.Once
	background                           sync.WaitGroup

	mu           sync.Mutex
	version      int
	rotatingKeys []string // the newest last; only the newest is configured
	limitedRate  float64
	codeCounts   map[string]int
	activeFaults map[FaultKind]int // number of active faults of the stand-ins by kind
	copies       []lines.Copy      // of the store, oldest first
	violations   []Violation       // violations not found by CheckInvariants, such as unexpected exits
}

func newSystem(o Options) (*system, error) {
	sys := &system{options: o, hostIP: loopback.Address(1 + int(systemCount.Add(1)%maxSystems)), history: &History{},
		proxies: newProxySet(), store: lines.NewStore(), limitedRate: initialLimitedRate, stopCallers: make(chan struct{}),
		stopAll: make(chan struct{}), codeCounts: map[string]int{}, activeFaults: map[FaultKind]int{},
		rotatingKeys: []string{"key-0"}}
	group, err := lines.NewGroup(sys.store, serviceName, databaseCount)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sys.group = group
	group.SetStatementTime(statementTime)
	group.SetSyncReplicas(o.SyncReplicas)
	for i := range databaseCount {
		address, err := sys.proxies.add(databaseLink(i), group.Member(i).Address)
		if err != nil {
			return nil, err
		}
		group.Member(i).SetAdvertisedAddress(address)
		group.Member(i).SetDataCentre(databaseDataCentre(i))
	}
	sys.servers = []*httptest.Server{httptest.NewServer(sys.store), httptest.NewServer(group)}
	sys.writeConfiguration("", "")
	for i := range o.Hosts {
		h, err := sys.newHost(i)
		if err != nil {
			return nil, err
		}
		sys.hosts = append(sys.hosts, h)
		if err := sys.start(h); err != nil {
			return nil, err
		}
	}
	sys.background.Go(sys.runBalancer)
	sys.background.Go(sys.copyStore)
	return sys, nil
}

// databaseDataCentre returns the data centre of a database. Hosts are in the same three.
func databaseDataCentre(i int) string { return fmt.Sprintf("z%d", 1+i%3) }

func databaseLink(i int) string { return fmt.Sprintf("%s %d", LinkToDatabase, i) }

func hostLink(peer LinkKind, i int) string { return fmt.Sprintf("%s %d", peer, i) }

// systemCount is the number of systems created by this process. Each one gets its own IP address.
var systemCount atomic.Int32

const (
	// maxSystems is the maximum number of systems that one process can run at once.
	maxSystems = 200
	// firstPort and portsPerHost determine the ports of each host.
	firstPort    = 20000
	portsPerHost = 10
)

// newHost assigns the addresses of a host, starts the proxies for its links, and writes its settings file.
func (sys *system) newHost(number int) (*host, error) {
	h := &host{number: number, settingsFile: filepath.Join(sys.options.Dir, fmt.Sprintf("host-%d.ini", number)),
		logFile: filepath.Join(sys.options.Dir, fmt.Sprintf("host-%d.log", number))}
	var metrics, advertised, store, duties string
	for i, address := range []*string{&h.listenAddress, &h.healthAddress, &h.peerAddress, &metrics} {
		*address = fmt.Sprintf("%s:%d", sys.hostIP, firstPort+number*portsPerHost+i)
	}
	for _, link := range []struct {
		peer     LinkKind
		upstream string
		address  *string
	}{{LinkToCallers, h.listenAddress, &h.callerAddress}, {LinkToHost, h.peerAddress, &advertised},
		{LinkToStore, strings.TrimPrefix(sys.servers[0].URL, "http://"), &store},
		{LinkToDuties, strings.TrimPrefix(sys.servers[1].URL, "http://"), &duties}} {
		var err error
		if *link.address, err = sys.proxies.add(hostLink(link.peer, number), link.upstream); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[host]\nname = host-%d\ndata_centre = z%d\ncallers = %s\nhealth = %s\npeers = %s\n"+
		"seeds = %s\nadvertise = %s\nmetrics = %s\nstore = %s\nduties = %s\ndrain_seconds = %d\n"+
		"evacuation_ms = %d\n", number,
		1+number%3, h.listenAddress, h.healthAddress, h.peerAddress, strings.Join(sys.seedAddresses, ","), advertised,
		metrics, store, duties, drainSeconds, evacuationBound.Milliseconds())
	if sys.options.LoadControl {
		text += "load_control = on\n"
	}
	sys.seedAddresses = append(sys.seedAddresses, advertised)
	return h, trace.Wrap(os.WriteFile(h.settingsFile, []byte(text), 0o600))
}

// start starts the process of a host unless it is running, and waits for its exit in the background. An unexpected exit is
// a violation. Two faults that end at the same time may both start the host.
func (sys *system) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.done != nil && !isClosed(h.done) {
		return nil
	}
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	h.cmd = exec.Command(sys.options.Program, "gateway", "--settings", h.settingsFile)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return errors.Join(trace.Wrap(err), out.Close())
	}
	h.done, h.exitExpected = make(chan struct{}), false
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := errors.Join(cmd.Wait(), out.Close())
		h.mu.Lock()
		expected := h.exitExpected
		h.mu.Unlock()
		if !expected {
			sys.addViolation(NoUnexpectedExit, "host %d exited unexpectedly: %v", h.number, err)
		}
		close(done)
	}(h.cmd, h.done)
	return nil
}

// addViolation records a violation that is not visible in the history of callers and databases.
func (sys *system) addViolation(invariant Invariant, format string, args ...any) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.violations = append(sys.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// signal sends a signal to the process of a host. After SIGKILL or SIGTERM, its exit is expected.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.exitExpected = true
	}
	_ = h.cmd.Process.Signal(s) // the process may have exited already
}

// kill kills the process of a host and waits for its exit.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited()
}

// exited returns a channel that is closed when the current process of a host has exited.
func (h *host) exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// running reports whether the process of a host is running.
func (h *host) running() bool { return !isClosed(h.exited()) }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// restart starts a host whose process has exited and waits until it is ready.
func (sys *system) restart(h *host) {
	time.Sleep(restartPause)
	if err := sys.start(h); err != nil {
		sys.addViolation(NoUnexpectedExit, "host %d failed to start: %v", h.number, err)
		return
	}
	sys.awaitReady(h, drainSeconds*time.Second)
}

// awaitReady waits until a host is ready. It returns false if the time limit is reached.
func (sys *system) awaitReady(h *host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return true
		}
	}
	return false
}

var healthClient = &http.Client{Timeout: healthCheckInterval}

func (h *host) ready() bool {
	response, err := healthClient.Get("http://" + h.healthAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK
}

// runBalancer checks the health of the hosts periodically; pickHost avoids those that are not ready.
func (sys *system) runBalancer() {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sys.stopAll:
			return
		case <-ticker.C:
		}
		for _, h := range sys.hosts {
			go func() {
				ready := h.ready()
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.missedChecks++; ready {
					h.missedChecks = 0
				}
			}()
		}
	}
}

// pickHost returns the number and the caller address of a random healthy host. If fewer than half of the hosts are
// healthy, it picks from all of them.
func (sys *system) pickHost(random *rand.Rand) (int, string) {
	var candidates []*host
	for _, h := range sys.hosts {
		h.mu.Lock()
		if h.missedChecks < maxMissedChecks {
			candidates = append(candidates, h)
		}
		h.mu.Unlock()
	}
	if 2*len(candidates) < len(sys.hosts) {
		candidates = sys.hosts
	}
	h := candidates[random.IntN(len(candidates))]
	return h.number, h.callerAddress
}

func (sys *system) newSession() int { return int(sys.sessions.Add(1)) }

// keyFor returns the key for the next session of a caller. Callers with an odd number use the previous rotating key, which
// has been withdrawn, if they use a rotating key at all.
func (sys *system) keyFor(caller int) string {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	switch caller % keyGroupSize {
	case 0:
		return limitedKey
	case 1:
		return sys.rotatingKeys[max(0, len(sys.rotatingKeys)-1-caller%2)]
	}
	return openKey
}

func (sys *system) countCode(code string) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.codeCounts[code]++
}

// writeConfiguration stores a new version of the configuration with the current keys and limits.
func (sys *system) writeConfiguration(added, withdrawn string) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	sys.version += 1 + sys.version%3
	c := lines.NewConfig(sys.version, openKey, sys.rotatingKeys[len(sys.rotatingKeys)-1])
	c.SetSyncReplicas(sys.options.SyncReplicas)
	c.SetLimit(limitedWorkspace, sys.limitedRate, sys.limitedRate)
	sys.store.PutConfig(c)
	sys.history.recordConfigChange(ConfigChange{AddedKey: added, WithdrawnKey: withdrawn, Rate: sys.limitedRate,
		Burst: sys.limitedRate})
}

// rotateKey withdraws the newest rotating key and adds another one.
func (sys *system) rotateKey() {
	sys.mu.Lock()
	old := sys.rotatingKeys[len(sys.rotatingKeys)-1]
	next := fmt.Sprintf("key-%d", len(sys.rotatingKeys))
	sys.rotatingKeys = append(sys.rotatingKeys, next)
	sys.mu.Unlock()
	sys.writeConfiguration(next, old)
}

func (sys *system) changeLimit(random *rand.Rand) {
	sys.mu.Lock()
	sys.limitedRate = []float64{15, 30, 60}[random.IntN(3)]
	sys.mu.Unlock()
	sys.writeConfiguration("", "")
}

// stopBackground stops the load balancer and the periodic checks.
func (sys *system) stopBackground() { sys.stopOnce.Do(func() { close(sys.stopAll) }) }

// close kills the remaining processes and stops the proxies and the stand-ins.
func (sys *system) close() {
	sys.stopBackground()
	sys.background.Wait()
	for _, h := range sys.hosts {
		if h.running() {
			h.kill()
		}
	}
	sys.proxies.close()
	sys.group.Close()
	for _, s := range sys.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
