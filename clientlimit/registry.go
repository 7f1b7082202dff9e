// Package clientlimit counts what the clients of this process hold: places, bytes and time. It asks package budget whom to refuse
// or close, and closes them. Clients are callers and the connections that other hosts have opened.
//
// A statement that stays inside the buffers of its connection costs three uncontended atomic stores and no lock. The counter
// shared by all clients changes only for messages, responses and session state that are larger.
package clientlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/budget"
	"github.com/waxwingspindle/waxwingspindle/logging"
)

// Kind is the kind of a client.
type Kind uint8

// Kinds of clients.
const (
	Caller Kind = iota
	Link        // connection of another host
)

func (k Kind) String() string { return [...]string{"caller", "host"}[k] }

// Limits are the limits of all clients of a process. 0 stands for no limit.
type Limits struct {
	HeldBytes    int64 // bytes that all clients hold together
	Files        int   // descriptors of the process
	ReserveFiles int   // descriptors that are not for clients; 0: default
	Times        budget.Times
}

// Places returns how many callers and links of other hosts are accepted at once while there are the given number of links. 0
// stands for no limit.
func (l Limits) Places(links int) (callers, maxLinks int) {
	return budget.Places(l.Files, l.ReserveFiles, links)
}

// Causes of a refusal or a close, which are also labels of the metric.
const (
	causePlaces = "places"
	causeMemory = "memory"
	causeTime   = "time"
	// CauseState means that session state has reached its limit.
	CauseState = "session_state"
	// CauseSize means that a message or a response is larger than allowed.
	CauseSize = "size"
)

const (
	// sweepInterval is the interval between two checks of the time limits, and the resolution of the times.
	sweepInterval = 250 * time.Millisecond
	// shedAfter is the time that a client waits for memory before another one is closed. Statements end within it.
	shedAfter = 250 * time.Millisecond
	// giveUpAfter is the time that a client waits for memory before it is closed itself.
	giveUpAfter = 2 * time.Second
	// waitInterval is the interval between two attempts to get memory.
	waitInterval = 20 * time.Millisecond
)

// Registry counts all clients of a process. A nil registry has no limits.
type Registry struct {
	limits  Limits
	log     *zap.Logger
	reached *prometheus.CounterVec
	held    atomic.Int64
	now     atomic.Int64 // milliseconds since started, updated by Run
	started time.Time

	mu       sync.Mutex
	clients  [2]map[*Client]struct{}
	lastShed time.Time
	lines    logging.LineLimit
}

// New returns a registry without clients and registers its metrics. Run must be called for the time limits to apply.
func New(limits Limits, log *zap.Logger, metrics prometheus.Registerer) *Registry {
	r := &Registry{limits: limits, log: log, started: time.Now(),
		clients: [2]map[*Client]struct{}{{}, {}},
		reached: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "waxwingspindle_client_limits_reached_total",
			Help: "Clients that were refused or closed, and requests refused, by kind of client and limit."},
			[]string{"kind", "limit"})}
	metrics.MustRegister(r.reached,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "waxwingspindle_client_held_bytes",
			Help: "Bytes that clients hold: connections, unhandled messages, unread responses, session state."},
			func() float64 { return float64(r.held.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "waxwingspindle_client_connections",
			Help: "Connections of callers."}, func() float64 { return float64(r.count(Caller)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "waxwingspindle_client_links",
			Help: "Connections that other hosts have opened."}, func() float64 { return float64(r.count(Link)) }))
	return r
}

func (r *Registry) count(k Kind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clients[k])
}

// Run applies the time limits until stop is closed.
func (r *Registry) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.now.Store(time.Since(r.started).Milliseconds())
			r.sweep()
		}
	}
}

func (r *Registry) sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, clients := range r.clients {
		for c := range clients {
			if !c.closed.Load() && r.limits.Times.Expired(c.state()) {
				c.close(causeTime)
			}
		}
	}
}

// Admit registers a client. If all places are taken, a client that uses its place less is closed; if there is none, it returns
// false and the caller of Admit has to close the connection. On a nil registry the client is nil.
func (r *Registry) Admit(kind Kind, conn net.Conn) (*Client, bool) {
	if r == nil {
		return nil, true
	}
	c := &Client{registry: r, kind: kind, conn: conn}
	c.setPhase(budget.Unknown)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full(kind) && !r.replace(kind) {
		r.report(kind, causePlaces, conn, "client: refused")
		return nil, false
	}
	r.clients[kind][c] = struct{}{}
	if kind == Link && r.full(Caller) {
		_ = r.replace(Caller) // if no caller can be closed, the link uses a reserved place
	}
	c.held.Store(budget.ConnectionBytes)
	if r.held.Add(budget.ConnectionBytes) > r.limits.HeldBytes && r.limits.HeldBytes > 0 {
		r.shed(c)
	}
	return c, true
}

// full reports whether all places for clients of a kind are taken. The caller holds r.mu.
func (r *Registry) full(kind Kind) bool {
	limit, maxLinks := r.limits.Places(len(r.clients[Link]))
	if kind == Link {
		limit = maxLinks
	}
	return limit > 0 && len(r.clients[kind]) >= limit
}

// replace closes the client that uses its place least, and reports whether there was one. The caller holds r.mu.
func (r *Registry) replace(kind Kind) bool {
	list, states := r.snapshot(r.clients[kind])
	i := budget.Replace(states)
	if i < 0 {
		return false
	}
	list[i].close(causePlaces)
	// The descriptor is closed already, so the place can be used before the goroutine of the client has ended.
	delete(r.clients[kind], list[i])
	return true
}

// snapshot returns the clients that have not been closed, with their states. The caller holds r.mu.
func (r *Registry) snapshot(sets ...map[*Client]struct{}) ([]*Client, []budget.Client) {
	var list []*Client
	var states []budget.Client
	for _, set := range sets {
		for c := range set {
			if !c.closed.Load() {
				list, states = append(list, c), append(states, c.state())
			}
		}
	}
	return list, states
}

// shed closes the client that the budget names, other than the given one, unless one was closed so recently that its memory may
// not have been released yet. The caller holds r.mu.
func (r *Registry) shed(except *Client) {
	over := r.held.Load() - r.limits.HeldBytes
	if over <= 0 || time.Since(r.lastShed) < waitInterval {
		return
	}
	r.lastShed = time.Now()
	for _, set := range r.clients {
		for c := range set {
			if c.closed.Load() {
				over -= c.held.Load() // released when the goroutine of the client ends
			}
		}
	}
	list, states := r.snapshot(r.clients[Caller], r.clients[Link])
	for over > 0 {
		i := budget.Shed(states)
		if i < 0 {
			return
		}
		if list[i] != except {
			over -= states[i].Held
			list[i].close(causeMemory)
		}
		list[i], states[i] = list[len(list)-1], states[len(states)-1]
		list, states = list[:len(list)-1], states[:len(states)-1]
	}
}

// reserve adds bytes to the counter of all clients if they fit. It waits for other clients to release memory, and closes others
// when that takes too long. The wait ends when the client itself, which may be nil, is closed.
func (r *Registry) reserve(c *Client, n int64) bool {
	for began := time.Now(); ; time.Sleep(waitInterval) {
		for held := r.held.Load(); r.limits.HeldBytes <= 0 || held+n <= r.limits.HeldBytes; held = r.held.Load() {
			if r.held.CompareAndSwap(held, held+n) {
				return true
			}
		}
		waited := time.Since(began)
		if c != nil && c.closed.Load() || waited > giveUpAfter || n > r.limits.HeldBytes {
			return false
		}
		if waited >= shedAfter {
			r.mu.Lock()
			r.shedFor(n)
			r.mu.Unlock()
		}
	}
}

// shedFor closes clients until n more bytes fit. The one that waits for them may be among them. The caller holds r.mu.
func (r *Registry) shedFor(n int64) {
	r.held.Add(n)
	r.shed(nil)
	r.held.Add(-n)
}

// Reserve reserves bytes that belong to no client, such as a part of a response of a target, and reports whether they fit.
// Release must be called for them.
func (r *Registry) Reserve(n int64) bool {
	if r == nil {
		return true
	}
	if r.reserve(nil, n) {
		return true
	}
	r.reached.WithLabelValues("target", causeMemory).Inc()
	return false
}

// Hold counts bytes that are held already and belong to no client. Clients are closed if there are too many. Release must be
// called for them.
func (r *Registry) Hold(n int64) {
	if r != nil && n > 0 {
		r.hold(nil, n)
	}
}

// hold counts bytes that are held already and closes clients other than the given one if there are too many.
func (r *Registry) hold(except *Client, n int64) {
	if r.held.Add(n) > r.limits.HeldBytes && r.limits.HeldBytes > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.shed(except)
	}
}

// Release releases reserved bytes.
func (r *Registry) Release(n int64) {
	if r != nil {
		r.held.Add(-n)
	}
}

// CountTooLarge counts a response of a target or a message of another host that was larger than allowed.
func (r *Registry) CountTooLarge(kind string) {
	if r != nil {
		r.reached.WithLabelValues(kind, CauseSize).Inc()
	}
}

// report counts and logs a client that was refused or closed, with a bounded number of lines. The caller holds r.mu.
func (r *Registry) report(kind Kind, cause string, conn net.Conn, message string, fields ...zap.Field) {
	r.reached.WithLabelValues(kind.String(), cause).Inc()
	now := time.Now()
	allowed := r.lines.Allow(now)
	if n := r.lines.Suppressed(now); n > 0 {
		r.log.Warn("client: further ones refused or closed", zap.Int("count", n))
	}
	if !allowed {
		return
	}
	r.log.Warn(message, append(fields, zap.Stringer("kind", kind), zap.String("limit", cause),
		zap.Stringer("from", conn.RemoteAddr()), zap.Int64("held_by_all", r.held.Load()))...)
}
