package gateway_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"

	"github.com/waxwingspindle/waxwingspindle/gateway"
	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// system is a platform with three hosts and one service of three databases.
type system struct {
	t      *testing.T
	store  *lines.Store
	group  *lines.Group
	duties *httptest.Server
	hosts  []*hostProcess
	seeds  []string // addresses of the hosts for each other
	log    *zap.Logger
}

type hostProcess struct {
	callers string
	relay   *loopback.Relay // before what other hosts send
	health  string
	stop    chan os.Signal
	done    chan error
}

// newSystem starts the platform and the hosts, and waits until they are ready.
func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, store: lines.NewStore(), log: zap.NewNop()}
	if os.Getenv("E2E_LOGS") != "" {
		s.log = zaptest.NewLogger(t)
	}
	group, err := lines.NewGroup(s.store, "stock", 3)
	if err != nil {
		t.Fatal(err)
	}
	s.group = group
	s.store.PutConfig(lines.NewConfig(1, "workshop-key"))
	platformStore, duties := httptest.NewServer(s.store), httptest.NewServer(group)
	s.duties = duties
	for i := range 3 {
		s.hosts = append(s.hosts, s.startHost(fmt.Sprintf("host-%d", i), platformStore, duties))
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, h := range s.hosts {
			wg.Go(func() {
				if err := h.end(); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		group.Close()
		platformStore.CloseClientConnections()
		platformStore.Close()
		duties.Close()
	})
	for _, h := range s.hosts {
		s.await("a host is ready", 10*time.Second, h.ready)
	}
	s.await("the primary takes writes", 10*time.Second, func() bool {
		c, err := s.connect(0, "orders", "workshop-key")
		if err != nil {
			return false
		}
		defer c.Close()
		return c.Query("warm-up", "WRITE warm-up x").Code == ""
	})
	return s
}

// ownAddress is the address of this test process.
var ownAddress = loopback.Address(1)

// lastPort is the last port that was given out. Ports are below those that the kernel takes for outgoing connections, which
// would take one of the others at any time.
var lastPort atomic.Int32

// newPorts returns the first of two neighbouring ports that this process has not used yet.
func newPorts() int { return 20000 + int(lastPort.Add(2)) }

func (s *system) startHost(name string, platformStore, duties *httptest.Server) *hostProcess {
	front, peers := newPorts(), newPorts()
	settings := fmt.Sprintf("[host]\nname = %s\ndata_centre = z1\ncallers = %s:%d\nhealth = %s:%d\n"+
		"peers = %s:%d\nseeds = %s\nmetrics = %s:%d\nstore = %s\nduties = %s\ndrain_seconds = 6\nfuture_key = 1\n",
		name, ownAddress, front, ownAddress, front+1, ownAddress, peers, strings.Join(s.seeds, ","), ownAddress, peers+1,
		address(platformStore), address(duties))

	relay, err := loopback.NewRelay(fmt.Sprintf("%s:%d", ownAddress, newPorts()), fmt.Sprintf("%s:%d", ownAddress, peers))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(relay.Close)
	settings += "advertise = " + relay.Address + "\n"
	s.seeds = append(s.seeds, relay.Address)
	path := filepath.Join(s.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	h := &hostProcess{relay: relay, callers: fmt.Sprintf("%s:%d", ownAddress, front), health: fmt.Sprintf("%s:%d", ownAddress, front+1),
		stop: make(chan os.Signal, 1), done: make(chan error, 1)}
	go func() { h.done <- gateway.Run(path, s.log, gateway.Signals{Stop: h.stop}) }()
	return h
}

func address(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// end stops a host as planned and waits until it has ended.
func (h *hostProcess) end() error {
	if h.stop == nil {
		return nil
	}
	h.stop <- syscall.SIGTERM
	h.stop = nil
	return <-h.done
}

func (h *hostProcess) ready() bool {
	response, err := http.Get("http://" + h.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the number of the host that leads.
func (s *system) leader() int {
	s.t.Helper()
	leader := -1
	s.await("a host leads", 10*time.Second, func() bool {
		value, _ := s.store.Get("waxwingspindle/leader")
		leader = slices.IndexFunc([]string{"host-0", "host-1", "host-2"}, func(name string) bool { return strings.Contains(string(value), name) })
		return leader >= 0
	})
	return leader
}

// await waits until a condition holds.
func (s *system) await(what string, limit time.Duration, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not after %s: %s", limit, what)
		}
	}
}

var errRefused = errors.New("the session was refused")

func (s *system) connect(host int, database, key string) (*lines.Client, error) {
	conn, err := net.Dial("tcp", s.hosts[host].callers)
	if err != nil {
		return nil, err
	}
	c := lines.NewClient(conn, 10*time.Second)
	if a := c.Start(database, key); a.Err != nil {
		return nil, errors.Join(a.Err, conn.Close())
	} else if a.Code != "" {
		return nil, errors.Join(fmt.Errorf("%w: %s", errRefused, a.Code), conn.Close())
	}
	return c, nil
}

func (s *system) mustConnect(host int, database, key string) *lines.Client {
	s.t.Helper()
	c, err := s.connect(host, database, key)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}
