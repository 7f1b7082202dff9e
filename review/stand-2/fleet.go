//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// promotionTime is the time from a promotion request until the target leads. Targets of the stand-in take 50 ms of it.
const promotionTime = 300 * time.Millisecond

// order is a request to the promotion API.
type order struct {
	at             time.Time
	holder, target string
	token          uint64
}

// platform is the stand-in of the platform: the store, the promotion API, and one service.
type platform struct {
	store     *lines.Store
	group     *lines.Group
	storeAddr string
	apiAddr   string

	mu     sync.Mutex
	orders []order
	onPut  func(key string, value []byte) // called for each put of a transaction, before the store runs it
}

func newPlatform(members int) (*platform, error) {
	p := &platform{store: lines.NewStore()}
	var err error
	if p.group, err = lines.NewGroup(p.store, "stock", members); err != nil {
		return nil, err
	}
	if p.storeAddr, err = serve(http.HandlerFunc(p.serveStore)); err != nil {
		return nil, err
	}
	p.apiAddr, err = serve(http.HandlerFunc(p.servePromotion))
	return p, err
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }() // until the process ends
	return l.Addr().String(), nil
}

func (p *platform) setOnPut(f func(key string, value []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onPut = f
}

func (p *platform) serveStore(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	onPut := p.onPut
	p.mu.Unlock()
	if onPut != nil && strings.HasSuffix(r.URL.Path, "/kv-txn") {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the host has closed the connection
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var txn struct {
			Puts []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"puts"`
		}
		if json.Unmarshal(body, &txn) == nil {
			for _, put := range txn.Puts {
				onPut(put.Key, put.Value)
			}
		}
	}
	p.store.ServeHTTP(w, r)
}

// servePromotion records the order and has the target promoted promotionTime later. It does not check the token.
func (p *platform) servePromotion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the host has closed the connection
	}
	var request struct {
		InstanceID string `json:"instanceId"`
	}
	token, tokenErr := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.Unmarshal(body, &request) != nil || tokenErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{time.Now(), r.Header.Get("X-Lease-Holder"), request.InstanceID, token}
	p.mu.Lock()
	p.orders = append(p.orders, o)
	p.mu.Unlock()
	note("promotion API: holder %s, token %d, target %s", o.holder, o.token, o.target)
	time.AfterFunc(promotionTime-50*time.Millisecond, func() {
		late, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/promote", bytes.NewReader(body))
		if err != nil {
			return // the address is valid
		}
		late.Header = r.Header
		p.group.ServeHTTP(&discard{header: http.Header{}}, late)
	})
	w.WriteHeader(http.StatusOK)
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

// lowerToken returns the first order whose token is below that of an earlier one.
func (p *platform) lowerToken() (before, lower order, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.orders {
		if o.token < before.token {
			return before, o, true
		}
		before = o
	}
	return before, lower, false
}

// host is a process of the program under test, with a link to the store and one to the promotion API.
type host struct {
	name, callers, health string
	store, api            *link
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// cut cuts the host off from the platform, or ends the cut.
func (h *host) cut(on bool) {
	h.store.setCut(on)
	h.api.setCut(on)
}

// usedPorts are the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a free loopback address. Its port is below the kernel's ephemeral range, so that no outgoing connection takes
// it before a host listens there.
func freeAddress() (string, error) {
	for range 100 {
		port := 20000 + rand.IntN(12000)
		address := fmt.Sprint("127.0.0.1:", port)
		l, err := net.Listen("tcp", address)
		if err != nil || usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		return address, l.Close()
	}
	return "", errors.New("no free port found")
}

// fleet is the platform with its hosts.
type fleet struct {
	*platform
	hosts []*host
	dir   string
}

func newFleet(p *platform, hosts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{platform: p, dir: dir}
	var seeds []string
	peers := make([]string, hosts)
	for i := range peers {
		if peers[i], err = freeAddress(); err != nil {
			return nil, err
		}
		seeds = append(seeds, peers[i])
	}
	for i := range hosts {
		h, err := f.startHost(i, peers[i], strings.Join(seeds, ","))
		if err != nil {
			f.stop()
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	if err := f.await("all hosts are ready", 20*time.Second, func() bool {
		for _, h := range f.hosts {
			if !h.ready() {
				return false
			}
		}
		return true
	}); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// startHost starts a host with the command of deploy/system.toml, and settings as deploy/settings.ini.tmpl has them.
func (f *fleet) startHost(i int, peers, seeds string) (*host, error) {
	h := &host{name: fmt.Sprint("front-", i), ended: make(chan struct{})}
	var err error
	if h.store, err = newLink(f.storeAddr); err != nil {
		return nil, err
	}
	if h.api, err = newLink(f.apiAddr); err != nil {
		return nil, err
	}
	var metrics string
	for _, address := range []*string{&h.callers, &h.health, &metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings := fmt.Sprintf("[host]\nname = %s\ndata_centre = z1\nmemory_mb = 284\nmax_files = 4200\nlink_mbps = 1000\n"+
		"cores = 0.4\ncallers = %s\nhealth = %s\npeers = %s\nseeds = %s\nmetrics = %s\nstore = %s\nduties = %s\n"+
		"drain_seconds = 6\ncontracts = base,drain,config,cost,recover,sql,tenants,quota,platform\nevacuation_ms =\n"+
		"regions = z1:armorique\n", h.name, h.callers, h.health, peers, seeds, metrics, h.store.address, h.api.address)
	file := filepath.Join(f.dir, h.name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(f.dir, h.name+".log"))
	if err != nil {
		return nil, err
	}
	h.cmd = exec.Command("target/bin/waxwingspindle", "gateway")
	h.cmd.Env = append(os.Environ(), "WAXWINGSPINDLE_SETTINGS="+file)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	go func() {
		_ = h.cmd.Wait() // the state is not needed
		_ = out.Close()
		close(h.ended)
	}()
	return h, nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL) // fails only if it has exited
		<-h.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir) // a folder of temporary files
	} else {
		note("logs are in %s", f.dir)
	}
}

func (h *host) ready() bool {
	response, err := http.Get("http://" + h.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await polls a condition until the timeout.
func (f *fleet) await(what string, timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s still not true: %s", timeout, what)
		}
	}
	return nil
}

// leader returns the host that the store names as the leader, or nil.
func (f *fleet) leader() *host {
	value, _ := f.platform.store.Get("waxwingspindle/leader")
	for _, h := range f.hosts {
		if bytes.Contains(value, []byte(`"`+h.name+`"`)) {
			return h
		}
	}
	return nil
}

// connect opens a session.
func (h *host) connect(database, key string) (*lines.Client, error) {
	conn, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return nil, err
	}
	c := lines.NewClient(conn, 5*time.Second)
	if r := c.Start(database, key); r.Code != "" {
		c.Close()
		return nil, fmt.Errorf("the session was refused: %s", r.Code)
	}
	return c, nil
}
