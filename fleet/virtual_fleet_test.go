package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Times of a virtual fleet.
const (
	virtualNetworkDelay = time.Millisecond
	virtualStoreDelay   = 4 * time.Millisecond
	virtualConnections  = 200 // to each target, so that all hosts have some
	virtualCallerPause  = 60 * time.Millisecond
	virtualMaxStaleness = 1500 * time.Millisecond // of the routes of lines.NewConfig
	virtualTimeout      = 2 * time.Second         // of a statement
)

// virtualFleet runs agents and their frontends in virtual time, without sockets: it has to be created inside synctest.Test. Callers write
// and read all the time, some at all hosts in turn and one at each host.
type virtualFleet struct {
	t       *testing.T
	store   *lines.Store
	targets *virtualTargets
	reads   *virtualReads
	hosts   []*virtualHost
	ended   chan struct{}
	stopped chan struct{} // frontends run until all callers have ended, so that statements at killed hosts end as well
	callers sync.WaitGroup
	lastAck []time.Time // of the callers
}

// virtualHost is a process of a host, and whether it reaches the store.
type virtualHost struct {
	fleet       *virtualFleet
	number      int
	incarnation model.Incarnation

	mu     sync.Mutex
	agent  *Agent // nil while the process is not running
	cancel context.CancelFunc
	conns  []net.Conn
	cut    chan struct{} // closed while the host reaches the store
	alone  bool          // no other host reaches this one
}

// newVirtualFleet starts the first hosts of a fleet, and a caller for each of them.
func newVirtualFleet(t *testing.T, started, hosts int) *virtualFleet {
	f := &virtualFleet{t: t, store: lines.NewStore(), reads: &virtualReads{byID: map[string]virtualRead{}}, ended: make(chan struct{}),
		stopped: make(chan struct{})}
	f.targets = newVirtualTargets(f.store, 3)
	config := lines.NewConfig(1, "workshop-key")
	config["services"] = []any{map[string]any{"name": "stock", "maxConns": virtualConnections}}
	f.store.PutConfig(config)
	for i := range hosts {
		open := make(chan struct{})
		close(open)
		f.hosts = append(f.hosts, &virtualHost{fleet: f, number: i, cut: open})
	}
	for _, h := range f.hosts[:started] {
		h.start()
	}
	f.lastAck = make([]time.Time, started)
	for i := range started {
		f.callers.Go(func() { f.runCaller(i) })
	}
	for i := range hosts {
		f.callers.Go(func() { f.runWriter(i) })
	}
	return f
}

func (h *virtualHost) id() model.HostID { return model.HostID(fmt.Sprintf("host-%d", h.number)) }

func (h *virtualHost) start() {
	f := h.fleet
	h.incarnation++
	server := frontend.New("z", virtualDialer{h.id(), f.targets, f.reads}, zap.NewNop(), frontend.NewMetrics(prometheus.NewRegistry()))
	var seeds []string
	for _, other := range f.hosts {
		if other != h {
			seeds = append(seeds, string(other.id()))
		}
	}
	store := platform.NewStoreWithClient("store", &http.Client{Transport: virtualTransport{h}})
	a := New(Config{Self: Host{ID: h.id(), Incarnation: h.incarnation, Address: string(h.id()), DataCentre: "z", LinkMbps: 1000, Cores: 1},
		Store: store, Prober: virtualProber{f.targets, h.id()}, Promoter: virtualPromoter{f.targets, h.id()}, Server: server, Seeds: seeds, IsSeed: true,
		Log: zap.NewNop(), Decoders: Decoders{ConfigurationKey: platform.ConfigurationKey, TargetPrefix: platform.TargetPrefix,
			Configuration: platform.ParseConfiguration, Target: platform.ParseTarget}})
	for _, clients := range []*peerClients{a.controlClients, a.statementClients, a.bulkTransfer.clients} {
		clients.connect = func(address string) (net.Conn, error) { return f.connect(h, model.HostID(address)) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.agent, h.cancel = a, cancel
	h.mu.Unlock()
	go a.Run(ctx)
	go server.Run(f.stopped)
}

// kill ends the process of the host.
func (h *virtualHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.agent == nil {
		return
	}
	h.cancel()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.agent.Server.AllowPrimariesUntil(time.Time{}) // statements in progress end with the process
	h.agent, h.conns = nil, nil
}

func (h *virtualHost) running() *Agent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.agent
}

// setCut cuts the host off from the store, or ends that.
func (h *virtualHost) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if cut {
		h.cut = make(chan struct{})
	} else {
		close(h.cut)
	}
}

// setAlone cuts the host off from the store and from the other hosts, or ends that.
func (h *virtualHost) setAlone(alone bool) {
	h.setCut(alone)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		_ = conn.Close()
	}
	h.alone, h.conns = alone, nil
}

func (h *virtualHost) isAlone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alone
}

// connect opens a connection between two hosts.
func (f *virtualFleet) connect(from *virtualHost, to model.HostID) (net.Conn, error) {
	time.Sleep(virtualNetworkDelay)
	for _, h := range f.hosts {
		if h.id() != to || h.isAlone() || from.isAlone() {
			continue
		}
		here, there := net.Pipe()
		h.mu.Lock()
		a := h.agent
		h.conns = append(h.conns, there)
		h.mu.Unlock()
		from.mu.Lock()
		from.conns = append(from.conns, here)
		from.mu.Unlock()
		if a == nil {
			break
		}
		server := rpc.NewServer()
		if err := server.RegisterName("Peer", &Peer{a}); err != nil {
			return nil, err
		}
		go rpccodec.Serve(server, there, &rpccodec.CallCounter{})
		return here, nil
	}
	return nil, errors.New("no process listens there")
}

// virtualTransport carries the calls of a host to the store.
type virtualTransport struct{ host *virtualHost }

// RoundTrip implements http.RoundTripper.
func (v virtualTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	v.host.mu.Lock()
	cut := v.host.cut
	v.host.mu.Unlock()
	select {
	case <-cut:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	time.Sleep(virtualStoreDelay / 2)
	recorder, served := httptest.NewRecorder(), make(chan bool, 1)
	go func() {
		defer func() { served <- recover() == nil }() // the store aborts connections by a panic
		v.host.fleet.store.ServeHTTP(recorder, r)
	}()
	select {
	case ok := <-served:
		if !ok {
			return nil, errors.New("connection reset")
		}
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	time.Sleep(virtualStoreDelay / 2)
	v.host.mu.Lock()
	cut = v.host.cut
	v.host.mu.Unlock()
	select {
	case <-cut:
		return recorder.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// pause waits between two operations of a caller, and reports false if the run has ended.
func (f *virtualFleet) pause() bool {
	select {
	case <-f.ended:
		return false
	case <-time.After(virtualCallerPause):
		return true
	}
}

// runCaller runs a session that writes, and reads what it has written at the other hosts, until the run ends.
func (f *virtualFleet) runCaller(number int) {
	var mark frontend.HighWaterMark
	written := ""
	for i := 0; f.pause(); i++ {
		id := fmt.Sprintf("w%d-%d", number, i)
		write := frontend.Statement{ID: id, Kind: frontend.Write, Args: "item value"}
		if reply, ok := f.run(number+i, "orders", write, frontend.HighWaterMark{}); ok {
			f.targets.acknowledge(id)
			mark, written, f.lastAck[number] = reply.Mark, id, time.Now()
		}
		for j, database := range []string{"plans", "view", "orders"} {
			id := fmt.Sprintf("r%d-%d-%d", number, i, j)
			read := virtualRead{since: time.Now().Add(-virtualMaxStaleness)}
			switch database {
			case "plans":
				read.session = written
			case "orders":
				read.since = time.Now()
			}
			f.reads.mu.Lock()
			f.reads.byID[id] = read
			f.reads.mu.Unlock()
			f.run(number+i+j+1, database, frontend.Statement{ID: id, Kind: frontend.Read, Args: "item"}, mark)
			f.reads.mu.Lock()
			delete(f.reads.byID, id)
			f.reads.mu.Unlock()
		}
	}
}

// runWriter writes at one host until the run ends, also while the others do not serve.
func (f *virtualFleet) runWriter(host int) {
	for i := 0; f.pause(); i++ {
		write := frontend.Statement{ID: fmt.Sprintf("h%d-%d", host, i), Kind: frontend.Write, Args: "item value"}
		if _, ok := f.run(host, "orders", write, frontend.HighWaterMark{}); ok {
			f.targets.acknowledge(write.ID)
		}
	}
}

// run runs a statement at the host with a number, as another host would have it run, and reports whether it succeeded.
func (f *virtualFleet) run(number int, database string, st frontend.Statement, mark frontend.HighWaterMark) (frontend.ForwardReply, bool) {
	a := f.hosts[number%len(f.hosts)].running()
	if a == nil {
		return frontend.ForwardReply{}, false
	}
	route := catalog.Route{Database: database, Service: "stock", MaxStaleness: virtualMaxStaleness, StatementTimeout: virtualTimeout,
		LatencyTarget: 400 * time.Millisecond, Consistency: catalog.Primary}
	switch database {
	case "plans":
		route.Consistency = catalog.ReadYourWrites
	case "view":
		route.Consistency = catalog.BoundedStaleness
	}
	reply, err := a.Server.RunForwarded(frontend.ForwardRequest{Origin: "caller", Incarnation: 1, Statement: st, Mark: mark, Route: route,
		Workspace: "workshop", IsWrite: st.Kind == frontend.Write, Remaining: virtualTimeout})
	return reply, err == nil && reply.Answer.Code == frontend.Success
}

// leader returns the host that leads, or nil.
func (f *virtualFleet) leader() *virtualHost {
	for _, h := range f.hosts {
		if a := h.running(); a != nil && a.isLeading() {
			return h
		}
	}
	return nil
}

// follower returns a host that runs and does not lead, or nil.
func (f *virtualFleet) follower() *virtualHost {
	for _, h := range f.hosts {
		if a := h.running(); a != nil && !a.isLeading() {
			return h
		}
	}
	return nil
}

// end stops everything and returns what broke a promise to callers.
func (f *virtualFleet) end() []string {
	close(f.ended)
	f.callers.Wait()
	for _, h := range f.hosts {
		h.kill()
	}
	close(f.stopped)
	time.Sleep(20 * time.Second) // calls in progress end; time stands still afterwards
	f.targets.mu.Lock()
	defer f.targets.mu.Unlock()
	return f.targets.violations
}

// useVirtualTime makes the agents of a synctest bubble use its time.
func useVirtualTime(t *testing.T) { t.Cleanup(boottime.Replace(time.Now)) }
