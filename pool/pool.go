// Package pool implements the connection pool of a host for one service. A connection belongs to one workspace, occupies
// a slot of its target while it is opened, and the number of connections of a host to a target is limited to a few. The
// package is a pure state machine without I/O: the caller reports events and executes the returned actions.
//
// It is designed for more statements than connections, for workspaces that alternate on the same connection, and for
// replicas that lag so that all reads of a service go to its primary.
package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/coldstart"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/region"
)

const (
	// handshakeCost is the cost of opening a connection in the comparison of targets. The unit of costs is the duration of
	// one statement. A handshake occupies a slot for about as long as a short statement.
	handshakeCost = 0.8
	// remoteCost is the cost of a target in another data centre. A round trip between data centres takes about a tenth of
	// the time of a statement.
	remoteCost = 0.1
	// primaryCost is the cost of the primary for reads that a replica can run.
	primaryCost = 1.5
	// lagTTL is the time for which an observed replication lag is used. Afterwards reads may try the replica again. It is
	// half of the shortest maximum staleness of routes.
	lagTTL = 500 * time.Millisecond
	// openBackoff is the time after a failed attempt during which no connection to the target is opened. It is about the
	// duration of ten handshakes.
	openBackoff = 150 * time.Millisecond
	// idleTimeout is the time after which an idle connection is closed, unless the host holds at most retainedFraction of
	// its connections to the target. When a host loses power, a target still counts its connections for three seconds, and
	// has to accept new connections during that time.
	idleTimeout = 400 * time.Millisecond
	// retainedFraction is the fraction of the connections to a target that stay open while they are idle, so that a
	// workspace which is used every few seconds finds its connection open.
	retainedFraction = 0.5
	// maxAffinityWait is the time that a request yields to later requests of other workspaces that can reuse an open
	// connection, because reopening a connection costs as much as a statement. It is the duration of three statements.
	maxAffinityWait = 80 * time.Millisecond
	// maxQueuePerConnection is the maximum queue length per allowed connection. At 25 ms per statement the last request
	// waits about 0.3 s.
	maxQueuePerConnection = 12
)

// ConnID identifies a connection of the pool.
type ConnID uint64

// RequestID identifies a request.
type RequestID uint64

// Target describes a target to the pool.
type Target struct {
	ID         model.TargetID
	DataCentre model.DataCentre
	Limit      int  // maximum number of connections from this host
	Retained   int  // number of connections that stay open while they are idle; 0: retainedFraction of Limit
	Draining   bool // accepts no new work
	// AdaptLimit lowers Limit for a while when the target refuses a connection because it has too many.
	AdaptLimit bool
	// Evacuated targets accept no new work either, also if they are the primary. A request that no other target can run is
	// refused at once.
	Evacuated bool
	// ColdUntil is the time until which the target is cold and gets no more requests than ColdRate, the share of this host.
	ColdUntil time.Time
	ColdRate  coldstart.Rate
}

// acceptsWork reports whether the target may start statements.
func (t Target) acceptsWork() bool { return !t.Draining && !t.Evacuated }

// Request asks for a connection to run one statement or transaction.
type Request struct {
	ID        RequestID
	Workspace model.Workspace
	// Target is the only target that may run the request, or empty. Such a request is refused as soon as this host cannot use
	// the target, because another host can run it.
	Target model.TargetID
	// PrimaryOnly requests run on the primary. Others run on any target that has replicated all commits up to the time
	// AsOf, or only on the primary if AsOf is zero.
	PrimaryOnly bool
	AsOf        time.Time
	GiveUp      bool              // refused with RefusedNoConnection as soon as no connection is idle, opening or can be opened
	Priority    int               // 0 is the highest
	Deadline    time.Time         // time at which the request is refused if it has no connection yet
	Region      region.Constraint // data centres of the targets that may run the request

	enqueuedAt time.Time
}

// RefusalReason is the reason why a request got no connection.
type RefusalReason uint8

const (
	// RefusedQueueFull means that the queue is full.
	RefusedQueueFull RefusalReason = iota + 1
	// RefusedQueueTimeout means that no connection became free before the deadline.
	RefusedQueueTimeout
	// RefusedNoTarget means that there is no target that this host may connect to.
	RefusedNoTarget
	// RefusedLagging means that the target which the request names lags too much for it.
	RefusedLagging
	// RefusedNoConnection means that a request with GiveUp would have to wait for more than the opening of a connection.
	RefusedNoConnection
	// RefusedEvacuated means that only targets of evacuated data centres can run the request.
	RefusedEvacuated
	// RefusedRegion means that there is no usable target in the regions of the request.
	RefusedRegion
)

// String returns the reason as it appears in logs.
func (r RefusalReason) String() string {
	return [...]string{"none", "queue_full", "queue_timeout", "no_target", "lagging", "no_connection", "evacuated", "region"}[r]
}

// Action is an instruction to the caller of the pool: Grant, Open, Close or Refuse.
type Action interface{ action() }

// Grant assigns a connection to a request. The connection is returned with Release or Discard.
type Grant struct {
	RequestID RequestID
	Conn      ConnID
	Target    model.TargetID
}

// Open instructs the caller to open a connection and to report the result with OpenFinished.
type Open struct {
	Conn      ConnID
	Target    model.TargetID
	Workspace model.Workspace
}

// Close instructs the caller to close a connection. The pool has removed it already.
type Close struct{ Conn ConnID }

// Refuse rejects a request that has not been granted a connection.
type Refuse struct {
	RequestID RequestID
	Reason    RefusalReason
}

func (Grant) action()  {}
func (Open) action()   {}
func (Close) action()  {}
func (Refuse) action() {}

type connState uint8

const (
	opening connState = iota
	idle
	busy
)

// conn is a connection that is open or being opened.
type conn struct {
	id        ConnID
	target    model.TargetID
	workspace model.Workspace
	state     connState
	lastUsed  time.Time
}

// target is a Target with its observed state.
type target struct {
	Target
	lag           time.Duration // upper bound of the replication lag
	lagObservedAt time.Time
	backoffUntil  time.Time // no connections are opened before this time
	refusedLimit  refusedLimit
	coldRequests  coldstart.Bucket
}

// Pool holds the connections and queued requests of one service on one host. It is not safe for concurrent use.
type Pool struct {
	dataCentre model.DataCentre
	primary    model.TargetID
	closed     bool // the primary is being replaced and must not be used
	targets    map[model.TargetID]*target
	conns      []*conn
	queue      []Request // ordered by priority, then by arrival
	lastConnID ConnID
}

// New returns a pool without targets for a host in the given data centre.
func New(dataCentre model.DataCentre) *Pool {
	return &Pool{dataCentre: dataCentre, targets: map[model.TargetID]*target{}}
}

// SetTargets replaces the targets. Connections to removed, draining or evacuated targets are closed; busy ones when they
// are released.
func (p *Pool) SetTargets(now time.Time, list []Target) []Action {
	registered := make(map[model.TargetID]*target, len(list))
	for _, t := range list {
		state := p.targets[t.ID]
		if state == nil {
			state = &target{}
		}
		state.Target = t
		registered[t.ID] = state
	}
	p.targets = registered
	actions := p.closeIdleWhere(func(c *conn) bool {
		return registered[c.target] == nil || !registered[c.target].acceptsWork()
	})
	return append(append(actions, p.closeAboveLimits()...), p.schedule(now)...)
}

// SetPrimary sets the primary. While id is empty or the primary is not open for use, requests that need it stay in the
// queue; the others run on the other targets.
func (p *Pool) SetPrimary(now time.Time, id model.TargetID, open bool) []Action {
	p.primary, p.closed = id, !open
	return p.schedule(now)
}

// CanConnect reports whether there is a target that this host may connect to.
func (p *Pool) CanConnect() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(p.targets)), func(t *target) bool { return t.Limit > 0 })
}

// CanConnectTo reports whether this host may connect to a target.
func (p *Pool) CanConnectTo(id model.TargetID) bool {
	t := p.targets[id]
	return t != nil && t.Limit > 0 && !t.Draining
}

// Enqueue adds a request. It is granted or refused by an action that this call or a later one returns.
func (p *Pool) Enqueue(now time.Time, r Request) []Action {
	r.enqueuedAt = now
	if !p.CanConnect() {
		return []Action{Refuse{r.ID, RefusedNoTarget}}
	}
	if reason := p.unusable(now, r); reason != 0 {
		return []Action{Refuse{r.ID, reason}}
	}
	if len(p.queue) >= p.queueLimit() {
		last := p.queue[len(p.queue)-1]
		if last.Priority <= r.Priority {
			return []Action{Refuse{r.ID, RefusedQueueFull}}
		}
		p.queue = p.queue[:len(p.queue)-1]
		return append([]Action{Refuse{last.ID, RefusedQueueFull}}, p.Enqueue(now, r)...)
	}
	index, _ := slices.BinarySearchFunc(p.queue, r, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -1) // keeps the order of arrival within a priority
	})
	p.queue = slices.Insert(p.queue, index, r)
	return p.schedule(now)
}

// Cancel removes a request from the queue.
func (p *Pool) Cancel(id RequestID) {
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool { return r.ID == id })
}

// OpenFinished reports the result of an Open action. See OpenRefused for a target that has too many connections.
func (p *Pool) OpenFinished(now time.Time, id ConnID, ok bool) []Action {
	c := p.conn(id)
	if c == nil {
		if ok {
			return []Action{Close{id}}
		}
		return nil
	}
	t := p.targets[c.target]
	if !ok {
		p.remove(id)
		if t != nil {
			t.backoffUntil = now.Add(openBackoff)
		}
		return p.schedule(now)
	}
	if t == nil || !t.acceptsWork() {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	c.state, c.lastUsed = idle, now
	t.backoffUntil = time.Time{}
	t.refusedLimit.opened(p.connCount(t.ID))
	return p.schedule(now)
}

// Release returns a granted connection to the pool. The pool closes it if the target was removed, is draining or
// evacuated, or has more connections than its limit.
func (p *Pool) Release(now time.Time, id ConnID) []Action {
	c := p.conn(id)
	if c == nil {
		return nil
	}
	t := p.targets[c.target]
	if t == nil || !t.acceptsWork() {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	if p.connCount(c.target) > t.limit(now) {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	c.state, c.lastUsed = idle, now
	return p.schedule(now)
}

// Discard removes a broken connection. The caller closes it.
func (p *Pool) Discard(now time.Time, id ConnID) []Action {
	p.remove(id)
	return p.schedule(now)
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(id model.TargetID) []Action {
	return p.closeIdleWhere(func(c *conn) bool { return c.target == id })
}

// ObserveLag records that a replica has replicated all commits older than lag.
func (p *Pool) ObserveLag(now time.Time, id model.TargetID, lag time.Duration) {
	if t := p.targets[id]; t != nil {
		t.lag, t.lagObservedAt = lag, now
	}
}

// Tick refuses requests whose deadline has passed, closes connections that exceeded the idle timeout, and opens
// connections to targets whose backoff has ended.
func (p *Pool) Tick(now time.Time) []Action {
	var actions []Action
	p.queue = slices.DeleteFunc(p.queue, func(r Request) bool {
		if now.Before(r.Deadline) {
			return false
		}
		actions = append(actions, Refuse{r.ID, RefusedQueueTimeout})
		return true
	})
	actions = append(actions, p.closeLeastRecentlyUsed(func(t *target, c *conn, count int) bool {
		return count > t.retained() && now.Sub(c.lastUsed) > idleTimeout
	})...)
	return append(actions, p.schedule(now)...)
}

// QueueLength returns the number of requests that wait for a connection.
func (p *Pool) QueueLength() int { return len(p.queue) }

// TargetLoad is the number of connections to a target by state.
type TargetLoad struct {
	Target              model.TargetID
	Limit               int
	Opening, Idle, Busy int
	Lag                 time.Duration // last observed replication lag
}

// Load returns the load of all targets, ordered by id.
func (p *Pool) Load() []TargetLoad {
	list := make([]TargetLoad, 0, len(p.targets))
	for id, t := range p.targets {
		load := TargetLoad{Target: id, Limit: t.Limit, Lag: t.lag}
		for _, c := range p.conns {
			switch {
			case c.target != id:
			case c.state == opening:
				load.Opening++
			case c.state == idle:
				load.Idle++
			default:
				load.Busy++
			}
		}
		list = append(list, load)
	}
	slices.SortFunc(list, func(a, b TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Connections returns the number of connections in all states.
func (p *Pool) Connections() int { return len(p.conns) }

// queueLimit returns the maximum queue length.
func (p *Pool) queueLimit() int {
	limit := 0
	for _, t := range p.targets {
		limit += t.Limit
	}
	return max(limit, 1) * maxQueuePerConnection
}

func (p *Pool) conn(id ConnID) *conn {
	for _, c := range p.conns {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (p *Pool) remove(id ConnID) {
	p.conns = slices.DeleteFunc(p.conns, func(c *conn) bool { return c.id == id })
}

// closeIdleWhere closes the idle connections that match.
func (p *Pool) closeIdleWhere(match func(*conn) bool) []Action {
	var actions []Action
	p.conns = slices.DeleteFunc(p.conns, func(c *conn) bool {
		if c.state != idle || !match(c) {
			return false
		}
		actions = append(actions, Close{c.id})
		return true
	})
	return actions
}

// closeAboveLimits closes idle connections in excess of the targets' limits.
func (p *Pool) closeAboveLimits() []Action {
	return p.closeLeastRecentlyUsed(func(t *target, _ *conn, count int) bool { return count > t.Limit })
}

// closeLeastRecentlyUsed closes idle connections of each target, least recently used first, while surplus returns true
// for the connection and the number of connections to the target.
func (p *Pool) closeLeastRecentlyUsed(surplus func(t *target, c *conn, count int) bool) []Action {
	var actions []Action
	for id, t := range p.targets {
		for {
			victim := p.leastRecentlyUsedIdle(id)
			if victim == nil || !surplus(t, victim, p.connCount(id)) {
				break
			}
			p.remove(victim.id)
			actions = append(actions, Close{victim.id})
		}
	}
	return actions
}

// schedule assigns connections to queued requests in order and opens connections for requests that found none.
func (p *Pool) schedule(now time.Time) []Action {
	actions := p.refuseImpossible()
	claimed := map[ConnID]bool{} // connections being opened that an earlier request waits for
	for i := 0; i < len(p.queue); {
		if reason := p.unusable(now, p.queue[i]); reason != 0 {
			actions = append(actions, Refuse{p.queue[i].ID, reason})
			p.queue = slices.Delete(p.queue, i, i+1)
			continue
		}
		done, more := p.assign(now, p.queue[i], claimed)
		actions = append(actions, more...)
		if done {
			p.queue = slices.Delete(p.queue, i, i+1)
		} else {
			i++
		}
	}
	return actions
}

func (p *Pool) findConn(id model.TargetID, match func(*conn) bool) *conn {
	for _, c := range p.conns {
		if c.target == id && match(c) {
			return c
		}
	}
	return nil
}

func (p *Pool) connCount(id model.TargetID) int {
	n := 0
	for _, c := range p.conns {
		if c.target == id {
			n++
		}
	}
	return n
}

func (p *Pool) leastRecentlyUsedIdle(id model.TargetID) *conn {
	var least *conn
	for _, c := range p.conns {
		if c.target == id && c.state == idle && (least == nil || c.lastUsed.Before(least.lastUsed)) {
			least = c
		}
	}
	return least
}

// IdleConnections returns the number of idle connections of a workspace to a target.
func (p *Pool) IdleConnections(id model.TargetID, workspace model.Workspace) int {
	n := 0
	for _, c := range p.conns {
		if c.target == id && c.workspace == workspace && c.state == idle {
			n++
		}
	}
	return n
}

// Busy reports whether the connection is in use.
func (p *Pool) Busy(id ConnID) bool {
	c := p.conn(id)
	return c != nil && c.state == busy
}
