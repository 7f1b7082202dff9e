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
	service   = "stock"
	databases = 3
	// statementWork is the time that a statement takes at a database.
	statementWork = 2 * time.Millisecond
	// drainSeconds is the time between the request to stop a host and its kill.
	drainSeconds = 6
	// restartPause is the time after which a process that has ended starts again.
	restartPause = 300 * time.Millisecond
	// healthInterval is the time between two looks of the balancer at each host.
	healthInterval = time.Second
	// missesOut is the number of looks without an answer after which a host gets no new callers.
	missesOut = 2
	// entryTimeout is the silence after which the entry of a database disappears: three of its heartbeats.
	entryTimeout = 3600 * time.Millisecond
	// drainedAfter is the time for which a draining database serves.
	drainedAfter = 8 * time.Second
	// limitedEvery makes one of so many callers one of the limited workspace, and the next one a user of a changing key.
	limitedEvery = 5
	limitedRate  = 30.0
)

// host is one process of the product.
type host struct {
	number                         int
	callers, direct, health, peers string // callers is the address of the proxy
	settings, log                  string

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	expected bool          // the process was asked to end
	misses   int
}

// world is a system under test.
type world struct {
	options Options
	address string // IP address of the hosts
	history *History
	links   *links
	store   *lines.Store
	group   *lines.Group
	servers []*httptest.Server
	hosts   []*host
	seeds   []string // addresses of the hosts for each other

	stopCallers, stopAll chan struct{}
	sessions             atomic.Int64
	served, played       atomic.Int64
	halted               sync.Once
	background           sync.WaitGroup

	mu      sync.Mutex
	version int
	keys    []string // changing keys, the newest last
	rate    float64
	codes   map[string]int
	active  map[FaultKind]int // faults of stand-ins that overlap
	ended   []Violation       // processes that ended by themselves
}

func newWorld(o Options) (*world, error) {
	w := &world{options: o, address: loopback.Address(1 + int(systems.Add(1)%mostSystems)), history: &History{}, links: newLinks(), store: lines.NewStore(), rate: limitedRate,
		stopCallers: make(chan struct{}), stopAll: make(chan struct{}), codes: map[string]int{}, active: map[FaultKind]int{},
		keys: []string{"key-0"}}
	group, err := lines.NewGroup(w.store, service, databases)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	w.group = group
	group.SetWork(statementWork)
	group.SetSyncReplicas(o.SyncReplicas)
	for i := range databases {
		address, err := w.links.add(databaseLink(i), group.Member(i).Address)
		if err != nil {
			return nil, err
		}
		group.Member(i).Announce(address)
	}
	w.servers = []*httptest.Server{httptest.NewServer(w.store), httptest.NewServer(group)}
	w.configure("", "")
	for i := range o.Hosts {
		h, err := w.newHost(i)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if err := w.start(h); err != nil {
			return nil, err
		}
	}
	w.background.Go(w.balance)
	return w, nil
}

func databaseLink(i int) string { return fmt.Sprintf("%s %d", LinkToDatabase, i) }

func hostLink(peer LinkKind, i int) string { return fmt.Sprintf("%s %d", peer, i) }

// systems counts the systems of this process, of which each has an address of its own.
var systems atomic.Int32

const (
	// mostSystems bounds the systems of a process that run at once.
	mostSystems = 200
	// firstPort and portsPerHost give each host its ports.
	firstPort    = 20000
	portsPerHost = 10
)

// newHost chooses the addresses of a host, starts the proxies before it, and writes its settings.
func (w *world) newHost(number int) (*host, error) {
	h := &host{number: number, settings: filepath.Join(w.options.Dir, fmt.Sprintf("host-%d.ini", number)),
		log: filepath.Join(w.options.Dir, fmt.Sprintf("host-%d.log", number))}
	var metrics, advertised, store string
	for i, address := range []*string{&h.direct, &h.health, &h.peers, &metrics} {
		*address = fmt.Sprintf("%s:%d", w.address, firstPort+number*portsPerHost+i)
	}
	for _, link := range []struct {
		peer     LinkKind
		upstream string
		address  *string
	}{{LinkToCallers, h.direct, &h.callers}, {LinkToHost, h.peers, &advertised}, {LinkToStore, strings.TrimPrefix(w.servers[0].URL, "http://"), &store}} {
		var err error
		if *link.address, err = w.links.add(hostLink(link.peer, number), link.upstream); err != nil {
			return nil, err
		}
	}
	text := fmt.Sprintf("[host]\nname = host-%d\ndata_centre = z%d\ncallers = %s\nhealth = %s\npeers = %s\n"+
		"seeds = %s\nadvertise = %s\nmetrics = %s\nstore = %s\nduties = %s\ndrain_seconds = %d\n", number,
		1+number%3, h.direct, h.health, h.peers, strings.Join(w.seeds, ","), advertised, metrics, store,
		strings.TrimPrefix(w.servers[1].URL, "http://"), drainSeconds)
	w.seeds = append(w.seeds, advertised)
	return h, trace.Wrap(os.WriteFile(h.settings, []byte(text), 0o600))
}

// start starts the process of a host and watches its end. A process that ends by itself is a broken promise.
func (w *world) start(h *host) error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.Wrap(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(w.options.Program, "gateway", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return errors.Join(trace.Wrap(err), out.Close())
	}
	h.done, h.expected = make(chan struct{}), false
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := errors.Join(cmd.Wait(), out.Close())
		h.mu.Lock()
		expected := h.expected
		h.mu.Unlock()
		if !expected {
			w.violation(NoUnexpectedExit, "host %d ended by itself: %v", h.number, err)
		}
		close(done)
	}(h.cmd, h.done)
	return nil
}

// violation notes a promise that was broken outside what callers and databases see.
func (w *world) violation(p Invariant, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, Violation{p, fmt.Sprintf(format, args...)})
}

// signal sends a signal to the process of a host. One that ends it is expected to.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.expected = true
	}
	_ = h.cmd.Process.Signal(s) // it may have ended before
}

// kill ends the process of a host and waits until it has ended.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended()
}

// ended returns the channel that is closed when the present process of a host has ended.
func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// running reports whether the process of a host has not ended.
func (h *host) running() bool {
	select {
	case <-h.ended():
		return false
	default:
		return true
	}
}

// restart starts a host whose process has ended, and waits until it is ready.
func (w *world) restart(h *host) {
	time.Sleep(restartPause)
	if h.running() {
		return
	}
	if err := w.start(h); err != nil {
		w.violation(NoUnexpectedExit, "host %d does not start: %v", h.number, err)
		return
	}
	w.awaitReady(h, drainSeconds*time.Second)
}

// awaitReady waits until a host is ready, or for the given time.
func (w *world) awaitReady(h *host, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return true
		}
	}
	return false
}

var healthClient = &http.Client{Timeout: healthInterval}

func (h *host) ready() bool {
	response, err := healthClient.Get("http://" + h.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing is read of it
	return response.StatusCode == http.StatusOK
}

// balance takes hosts that are not ready out of rotation.
func (w *world) balance() {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopAll:
			return
		case <-ticker.C:
		}
		for _, h := range w.hosts {
			go func() {
				ready := h.ready()
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.misses++; ready {
					h.misses = 0
				}
			}()
		}
	}
}

// pick returns a host in rotation with the address for its callers. If fewer than half are in rotation, all are.
func (w *world) pick(random *rand.Rand) (int, string) {
	var in []*host
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.misses < missesOut {
			in = append(in, h)
		}
		h.mu.Unlock()
	}
	if 2*len(in) < len(w.hosts) {
		in = w.hosts
	}
	h := in[random.IntN(len(in))]
	return h.number, h.callers
}

func (w *world) newSession() int { return int(w.sessions.Add(1)) }

// keyFor returns the key that a caller uses in its next session.
func (w *world) keyFor(caller int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch caller % limitedEvery {
	case 0:
		return limitedKey
	case 1:
		return w.keys[max(0, len(w.keys)-1-caller%2)]
	}
	return openKey
}

func (w *world) count(code string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.codes[code]++
}

// configure writes a version of the configuration with the present keys and limits.
func (w *world) configure(added, withdrawn string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	c := lines.Configuration(w.version, openKey, w.keys[len(w.keys)-1])
	c.SetSyncReplicas(w.options.SyncReplicas)
	c.SetLimit(limitedWorkspace, w.rate, w.rate)
	w.store.Configure(c)
	w.history.changed(ConfigChange{AddedKey: added, WithdrawnKey: withdrawn, Rate: w.rate, Burst: w.rate})
}

// changeKey replaces the newest of the changing keys.
func (w *world) changeKey() {
	w.mu.Lock()
	old := w.keys[len(w.keys)-1]
	next := fmt.Sprintf("key-%d", len(w.keys))
	w.keys = append(w.keys, next)
	w.mu.Unlock()
	w.configure(next, old)
}

func (w *world) changeLimit(random *rand.Rand) {
	w.mu.Lock()
	w.rate = []float64{15, 30, 60}[random.IntN(3)]
	w.mu.Unlock()
	w.configure("", "")
}

// halt ends the balancer and the checks.
func (w *world) halt() { w.halted.Do(func() { close(w.stopAll) }) }

// close ends the processes that are left, and the stand-ins.
func (w *world) close() {
	w.halt()
	w.background.Wait()
	for _, h := range w.hosts {
		if h.running() {
			h.kill()
		}
	}
	w.links.close()
	w.group.Close()
	for _, s := range w.servers {
		s.CloseClientConnections()
		s.Close()
	}
}
