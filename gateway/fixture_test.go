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

	"github.com/waxwingspindle/waxwingspindle/gateway"
	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// testFleet is a platform with three hosts, which run inside the test process, and one service with three targets.
type testFleet struct {
	t             *testing.T
	store         *lines.Store
	group         *lines.Group
	promotionAPI  *httptest.Server
	platformStore *httptest.Server
	hosts         []*hostProcess
	seeds         []string // addresses at which the hosts reach each other
	settings      string   // additional lines of the settings files
	log           *zap.Logger
}

// hostProcess is a running gateway with its addresses.
type hostProcess struct {
	callers string
	relay   *loopback.Relay // carries what other hosts send to this one
	health  string
	stop    chan os.Signal
	done    chan error
}

// assignByTarget makes test fleets assign statements to hosts by target.
var assignByTarget bool

// dataCentreOf returns the data centre of a host of a test fleet.
var dataCentreOf = func(string) string { return "z1" }

// TestMain runs all tests with both ways of assigning statements to hosts.
func TestMain(m *testing.M) {
	code := m.Run()
	assignByTarget = true
	os.Exit(max(code, m.Run()))
}

// newTestFleet starts the platform and the hosts, and waits until all hosts are ready and the primary accepts writes.
func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	return newTestFleetWith(t, "", func(*lines.Group) {})
}

// newTestFleetWith is newTestFleet with additional lines of the settings files, and a function that changes the targets before
// the hosts start.
func newTestFleetWith(t *testing.T, settings string, prepare func(*lines.Group)) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, store: lines.NewStore(), log: zap.NewNop(), settings: settings}
	if os.Getenv("E2E_LOGS") != "" {
		log, err := zap.NewDevelopment() // hosts may log after the end of the test, when t.Log panics
		if err != nil {
			t.Fatal(err)
		}
		fleet.log = log
	}
	group, err := lines.NewGroup(fleet.store, "stock", 3)
	if err != nil {
		t.Fatal(err)
	}
	fleet.group = group
	prepare(group)
	fleet.store.PutConfig(lines.NewConfig(1, "workshop-key"))
	if assignByTarget {
		fleet.store.Put("waxwingspindle/routing", map[string]any{"ByTarget": true})
	}
	platformStore, promotionAPI := httptest.NewServer(fleet.store), httptest.NewServer(group)
	fleet.promotionAPI = promotionAPI
	fleet.platformStore = platformStore
	for i := range 3 {
		fleet.hosts = append(fleet.hosts, fleet.startHost(fmt.Sprintf("host-%d", i), platformStore, promotionAPI))
	}
	t.Cleanup(func() {
		fleet.shutDownAll()
		group.Close()
		platformStore.CloseClientConnections()
		platformStore.Close()
		promotionAPI.Close()
	})
	for _, h := range fleet.hosts {
		fleet.waitFor("a host is ready", 10*time.Second, h.isReady)
	}
	fleet.waitFor("the primary accepts writes", 10*time.Second, func() bool {
		c, err := fleet.connect(0, "orders", "workshop-key")
		if err != nil {
			return false
		}
		defer c.Close()
		return c.Query("warm-up", "WRITE warm-up x").Code == ""
	})
	return fleet
}

// processAddress is the loopback address that this test process uses.
var processAddress = loopback.Address(1)

// lastPort is the offset of the last allocated port. Allocated ports are below the kernel's ephemeral range: an outgoing
// connection could occupy a port from that range at any time.
var lastPort atomic.Int32

// newPortPair returns the first of two consecutive ports that this process has not used yet.
func newPortPair() int { return 20000 + int(lastPort.Add(2)) }

func (fleet *testFleet) startHost(name string, platformStore, promotionAPI *httptest.Server) *hostProcess {
	callerPort, peerPort := newPortPair(), newPortPair()
	settings := fmt.Sprintf("[host]\nname = %s\ndata_centre = %s\ncallers = %s:%d\nhealth = %s:%d\n"+
		"peers = %s:%d\nseeds = %s\nmetrics = %s:%d\nstore = %s\nduties = %s\ndrain_seconds = 6\nfuture_key = 1\n",
		name, dataCentreOf(name), processAddress, callerPort, processAddress, callerPort+1, processAddress, peerPort,
		strings.Join(fleet.seeds, ","), processAddress, peerPort+1, addressOf(platformStore), addressOf(promotionAPI))

	relay, err := loopback.NewRelay(fmt.Sprintf("%s:%d", processAddress, newPortPair()),
		fmt.Sprintf("%s:%d", processAddress, peerPort))
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(relay.Close)
	settings += "advertise = " + relay.Address + "\n" + fleet.settings
	fleet.seeds = append(fleet.seeds, relay.Address)
	path := filepath.Join(fleet.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	h := &hostProcess{relay: relay, callers: fmt.Sprintf("%s:%d", processAddress, callerPort),
		health: fmt.Sprintf("%s:%d", processAddress, callerPort+1), stop: make(chan os.Signal, 1),
		done: make(chan error, 1)}
	go func() { h.done <- gateway.Run(path, fleet.log, gateway.Signals{Stop: h.stop}) }()
	return h
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// shutDown stops a host gracefully and waits until it has ended. Further calls do nothing.
func (h *hostProcess) shutDown() error {
	if h.stop == nil {
		return nil
	}
	h.stop <- syscall.SIGTERM
	h.stop = nil
	return <-h.done
}

// shutDownAll stops all hosts gracefully and waits until they have ended.
func (fleet *testFleet) shutDownAll() {
	var wg sync.WaitGroup
	for _, h := range fleet.hosts {
		wg.Go(func() {
			if err := h.shutDown(); err != nil {
				fleet.t.Error(err)
			}
		})
	}
	wg.Wait()
}

func (h *hostProcess) isReady() bool {
	response, err := http.Get("http://" + h.health + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the index of the host that holds the leader key in the store.
func (fleet *testFleet) leader() int {
	fleet.t.Helper()
	leader := -1
	fleet.waitFor("a host leads", 10*time.Second, func() bool {
		value, _ := fleet.store.Get("waxwingspindle/leader")
		leader = slices.IndexFunc([]string{"host-0", "host-1", "host-2"}, func(name string) bool {
			return strings.Contains(string(value), name)
		})
		return leader >= 0
	})
	return leader
}

// waitFor polls a condition and fails the test if it does not hold before the timeout.
func (fleet *testFleet) waitFor(what string, timeout time.Duration, condition func() bool) {
	fleet.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			fleet.t.Fatalf("after %s still not true: %s", timeout, what)
		}
	}
}

var errRefused = errors.New("the session was refused")

func (fleet *testFleet) connect(host int, database, key string) (*lines.Client, error) {
	conn, err := net.Dial("tcp", fleet.hosts[host].callers)
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

func (fleet *testFleet) mustConnect(host int, database, key string) *lines.Client {
	fleet.t.Helper()
	c, err := fleet.connect(host, database, key)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.t.Cleanup(c.Close)
	return c
}
