//go:build review

// Package stand runs a small deployment on loopback addresses for the cases of the review: gateway processes started with the
// command of the deploy file, and the stand-ins of package lines for the store, the databases and the promotion API.
package stand

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// GraceSeconds is graceS of the first sites: the time between SIGTERM and SIGKILL.
const GraceSeconds = 6

// readyTimeout bounds the start of a host.
const readyTimeout = 15 * time.Second

// Options are the settings of a system.
type Options struct {
	Hosts      int
	Record     string                          // path of the record file
	WrapStore  func(http.Handler) http.Handler // may be nil
	WrapDuties func(http.Handler) http.Handler // may be nil
	// StoreFor and DutiesFor return the addresses at which a host reaches the store and the promotion API. They may be nil.
	StoreFor, DutiesFor func(host int, address string) string
}

// System is the deployment under test.
type System struct {
	Store  *lines.Store
	Group  *lines.Group
	Hosts  []*Host
	Record *Record

	options Options
	dir     string
	servers []*httptest.Server
}

// Host is one gateway process.
type Host struct {
	Number                 int
	Name                   string
	Callers, Health, Peers string
	settings, log          string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Record writes what was sent, answered and run, with the time since the start of the test.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Add writes a line to the record.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes a line about an event at the given time.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption of the case is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Unable ends the program with the exit status of a case that could not run.
func Unable(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// Start starts the stand-ins and the hosts and waits until the hosts are ready.
func Start(o Options) (*System, error) {
	file, err := os.Create(o.Record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	sys := &System{Store: lines.NewStore(), options: o, dir: dir, Record: &Record{file: file, start: time.Now()}}
	if sys.Group, err = lines.NewGroup(sys.Store, "stock", 3); err != nil {
		return nil, err
	}
	store, duties := http.Handler(sys.Store), http.Handler(sys.Group)
	if o.WrapStore != nil {
		store = o.WrapStore(store)
	}
	if o.WrapDuties != nil {
		duties = o.WrapDuties(duties)
	}
	sys.servers = []*httptest.Server{httptest.NewServer(store), httptest.NewServer(duties)}
	return sys, nil
}

// StartHosts starts the hosts and waits until all of them are ready. The configuration has to be in the store.
func (s *System) StartHosts() error {
	var seeds []string
	for i := range s.options.Hosts {
		h := &Host{Number: i, Name: fmt.Sprintf("front-%d", i+1)}
		ports, err := freePorts(s.ip(i), 4)
		if err != nil {
			return err
		}
		h.Callers, h.Health, h.Peers = ports[0], ports[1], ports[2]
		h.settings, h.log = filepath.Join(s.dir, h.Name+".ini"), filepath.Join(s.dir, h.Name+".log")
		s.Hosts = append(s.Hosts, h)
		if len(seeds) < 3 {
			seeds = append(seeds, h.Peers)
		}
		if err := s.writeSettings(h, ports[3], ""); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		text, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		withSeeds := strings.Replace(string(text), "seeds = \n", "seeds = "+strings.Join(seeds, ",")+"\n", 1)
		if err := os.WriteFile(h.settings, []byte(withSeeds), 0o600); err != nil {
			return err
		}
		if err := s.StartHost(h); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		if !h.AwaitReady() {
			return fmt.Errorf("%s is not ready after %v", h.Name, readyTimeout)
		}
	}
	return nil
}

func (s *System) ip(host int) string { return loopback.Address(host + 1) }

// writeSettings fills in deploy/settings.ini.tmpl for a host of the first sites.
func (s *System) writeSettings(h *Host, metrics, seeds string) error {
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return err
	}
	store, duties := address(s.servers[0]), address(s.servers[1])
	if s.options.StoreFor != nil {
		store = s.options.StoreFor(h.Number, store)
	}
	if s.options.DutiesFor != nil {
		duties = s.options.DutiesFor(h.Number, duties)
	}
	text := strings.NewReplacer("{{ip}}:9464", metrics, "{{nodeName}}", h.Name, "{{zone}}", fmt.Sprintf("z%d", 1+h.Number%3),
		"{{limits.memoryMb}}", "284", "{{limits.linkMbps}}", "1000.0", "{{limits.cpuShare}}", "0.4",
		"{{listen.front}}", h.Callers, "{{listen.ready}}", h.Health, "{{listen.control}}", h.Peers, "{{seeds}}", seeds,
		"{{platform.address}}", store, "{{cloud.address}}", duties,
		"{{bounds.graceS}}", fmt.Sprint(GraceSeconds)).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the settings template has a field that this stand-in does not know:\n%s", text)
	}
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func freePorts(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// StartHost starts the process of a host with the command of the deploy file.
func (s *System) StartHost(h *Host) error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command("target/bin/waxwingspindle", "gateway")
	h.cmd.Env = append(os.Environ(), "WAXWINGSPINDLE_SETTINGS="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	s.Record.Add("%s: process started", h.Name)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		out.Close()
		s.Record.Add("%s: process ended: %v", h.Name, err)
		close(done)
	}(h.cmd, h.done)
	return nil
}

// AwaitReady waits until a host is ready.
func (h *Host) AwaitReady() bool {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.Ready() {
			return true
		}
	}
	return false
}

var healthClient = &http.Client{Timeout: time.Second}

// Ready asks a host whether it is ready, as the platform does.
func (h *Host) Ready() bool {
	response, err := healthClient.Get("http://" + h.Health + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process of a host.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(signal) // the process may have ended
}

// Stop sends SIGTERM, and SIGKILL after graceS, and waits for the end of the process.
func (h *Host) Stop() {
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.Exited():
	case <-time.After(GraceSeconds * time.Second):
		h.Signal(syscall.SIGKILL)
		<-h.Exited()
	}
}

// Exited returns a channel that is closed when the process of a host has ended.
func (h *Host) Exited() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// LogContains reports whether the log of a host contains a text.
func (h *Host) LogContains(text string) bool {
	log, err := os.ReadFile(h.log)
	return err == nil && strings.Contains(string(log), text)
}

// Close ends all processes and stand-ins. With KEEP set, the logs of the hosts stay.
func (s *System) Close() {
	for _, h := range s.Hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
		<-h.Exited()
	}
	s.Group.Close()
	for _, server := range s.servers {
		server.CloseClientConnections()
	}
	s.Record.file.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// Dial opens a session of a client.
func Dial(address, database, key string, timeout time.Duration) (*lines.Client, lines.Response) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, lines.Response{Code: lines.CodeLost, Err: err}
	}
	c := lines.NewClient(conn, timeout)
	if response := c.Start(database, key); response.Code != "" {
		c.Close()
		return nil, response
	}
	return c, lines.Response{}
}
