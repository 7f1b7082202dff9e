// Package pool decides which connection of a host runs which statement of one service. A connection belongs to one
// workspace, costs a slot of its target while it is opened, and every host may hold only a few of them per target. The
// package is pure: it is told what happened and answers with actions.
//
// The load that it answers: more statements than connections, workspaces that alternate on the same connection, and
// replicas that fall behind and send all reads of a service to its primary.
package pool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// handshakeCost is what opening a connection weighs in the choice of a target, in statements that run ahead. A
	// handshake holds a slot for about as long as a short statement.
	handshakeCost = 0.8
	// remoteCost is what another data centre weighs in the choice of a target, in statements that run ahead. A round trip
	// between data centres takes about a tenth of a statement.
	remoteCost = 0.1
	// primaryCost keeps reads that a replica can serve away from the primary, in statements that run ahead.
	primaryCost = 1.5
	// lagMemory is the time after which the lag of a replica is unknown again, so that a read may try it. Half of the
	// shortest staleness that routes allow.
	lagMemory = 500 * time.Millisecond
	// refusedPause is the time for which a target gets no new connection after a failed attempt. It is about ten
	// handshakes.
	refusedPause = 150 * time.Millisecond
	// idleTime is the time after which an idle connection is closed, unless it is the only one to its target. A target
	// counts the connections of hosts that lost power for three seconds, and has to take new ones meanwhile.
	idleTime = 400 * time.Millisecond
	// affinityTime is the time for which a request lets later ones of other workspaces go first on connections that they
	// can use as they are, because reopening a connection costs as much as a statement. Three statements.
	affinityTime = 80 * time.Millisecond
	// queuePerConnection bounds the statements that wait for each connection of the primary; at 25 ms a statement the last
	// one waits about 0.3 s.
	queuePerConnection = 12
)

// ConnID names a connection of the pool.
type ConnID uint64

// Ticket names a request.
type RequestID uint64

// Target is what the pool has to know of a target.
type Target struct {
	ID         model.TargetID
	DataCentre model.DataCentre
	Limit      int  // connections that this host may hold
	Draining   bool // takes no new work
}

// Request asks for a connection to run one statement or transaction.
type Request struct {
	ID        RequestID
	Workspace model.Workspace
	// Primary requests run on the primary only. Others run on any target that has the data of the time DataOf.
	PrimaryOnly bool
	AsOf        time.Time
	Priority    int       // 0 is the highest
	Deadline    time.Time // time at which the request is refused if no connection was free

	arrived time.Time
}

// Refusal tells why a request got no connection.
type RefusalReason uint8

const (
	// RefusedFull means that too many requests wait already.
	RefusedQueueFull RefusalReason = iota + 1
	// RefusedLate means that no connection was free in time.
	RefusedQueueTimeout
	// RefusedNoTarget means that no target can serve the request.
	RefusedNoTarget
)

// String returns the reason as it appears in logs.
func (r RefusalReason) String() string {
	return [...]string{"none", "queue_full", "queue_timeout", "no_target"}[r]
}

// Action is one of Grant, Open, Close and Refuse.
type Action interface{ action() }

// Grant gives a connection to a request, which releases it later.
type Grant struct {
	RequestID RequestID
	Conn      ConnID
	Target    model.TargetID
}

// Open asks for a new connection. Its end is reported with Opened.
type Open struct {
	Conn      ConnID
	Target    model.TargetID
	Workspace model.Workspace
}

// Close asks to close a connection that the pool has already forgotten.
type Close struct{ Conn ConnID }

// Refuse ends a request that has not run.
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

type conn struct {
	id        ConnID
	target    model.TargetID
	workspace model.Workspace
	state     connState
	used      time.Time
}

type target struct {
	Target
	lag         time.Duration // upper bound of the age of the replica's data
	lagSeen     time.Time
	pausedUntil time.Time // no new connections before
}

// Pool is the state of one service at one host. It is not safe for concurrent use.
type Pool struct {
	local   model.DataCentre
	primary model.TargetID // empty while no primary may be used
	targets map[model.TargetID]*target
	conns   []*conn
	waiting []Request // by priority, then by arrival
	lastID  ConnID
}

// New returns a pool without targets for a host in the data centre.
func New(local model.DataCentre) *Pool {
	return &Pool{local: local, targets: map[model.TargetID]*target{}}
}

// SetTargets replaces the targets. Connections to targets that are gone are closed, busy ones when they are released.
func (p *Pool) SetTargets(now time.Time, list []Target) []Action {
	next := make(map[model.TargetID]*target, len(list))
	for _, t := range list {
		known := p.targets[t.ID]
		if known == nil {
			known = &target{}
		}
		known.Target = t
		next[t.ID] = known
	}
	p.targets = next
	actions := p.closeWhere(func(c *conn) bool { return next[c.target] == nil || next[c.target].Draining })
	return append(append(actions, p.trim()...), p.schedule(now)...)
}

// SetPrimary names the target that requests for the primary run on; an empty id holds them back.
func (p *Pool) SetPrimary(now time.Time, id model.TargetID) []Action {
	p.primary = id
	return p.schedule(now)
}

// Connects reports whether there is a target that this host may connect to.
func (p *Pool) CanConnect() bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(p.targets)), func(t *target) bool { return t.Limit > 0 })
}

// Push adds a request. It is granted or refused by an action of this call or of a later one.
func (p *Pool) Enqueue(now time.Time, r Request) []Action {
	r.arrived = now
	if !p.CanConnect() {
		return []Action{Refuse{r.ID, RefusedNoTarget}}
	}
	if len(p.waiting) >= p.queueLimit() {
		last := p.waiting[len(p.waiting)-1]
		if last.Priority <= r.Priority {
			return []Action{Refuse{r.ID, RefusedQueueFull}}
		}
		p.waiting = p.waiting[:len(p.waiting)-1]
		return append([]Action{Refuse{last.ID, RefusedQueueFull}}, p.Enqueue(now, r)...)
	}
	at, _ := slices.BinarySearchFunc(p.waiting, r, func(a, b Request) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), -1) // equal priorities keep the order of arrival
	})
	p.waiting = slices.Insert(p.waiting, at, r)
	return p.schedule(now)
}

// Cancel forgets a request that still waits.
func (p *Pool) Cancel(ticket RequestID) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool { return r.ID == ticket })
}

// Opened reports the end of an attempt to open a connection.
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
			t.pausedUntil = now.Add(refusedPause)
		}
		return p.schedule(now)
	}
	if t == nil || t.Draining {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	c.state, c.used = idle, now
	t.pausedUntil = time.Time{}
	return p.schedule(now)
}

// Release returns a granted connection.
func (p *Pool) Release(now time.Time, id ConnID) []Action {
	c := p.conn(id)
	if c == nil {
		return nil
	}
	t := p.targets[c.target]
	if t == nil || t.Draining {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	if p.count(c.target) > t.Limit {
		p.remove(id)
		return append([]Action{Close{id}}, p.schedule(now)...)
	}
	c.state, c.used = idle, now
	return p.schedule(now)
}

// Forget removes a connection that is broken; its owner closes it.
func (p *Pool) Discard(now time.Time, id ConnID) []Action {
	p.remove(id)
	return p.schedule(now)
}

// CloseTarget closes the idle connections of a target.
func (p *Pool) CloseIdle(id model.TargetID) []Action {
	return p.closeWhere(func(c *conn) bool { return c.target == id })
}

// ObserveLag records that a replica has all data that is older than lag.
func (p *Pool) ObserveLag(now time.Time, id model.TargetID, lag time.Duration) {
	if t := p.targets[id]; t != nil {
		t.lag, t.lagSeen = lag, now
	}
}

// Tick refuses requests whose time is over and uses targets whose pause is over.
func (p *Pool) Tick(now time.Time) []Action {
	var actions []Action
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool {
		if now.Before(r.Deadline) {
			return false
		}
		actions = append(actions, Refuse{r.ID, RefusedQueueTimeout})
		return true
	})
	actions = append(actions, p.closeLeastUsed(func(t *target, c *conn, count int) bool {
		return count > 1 && now.Sub(c.used) > idleTime
	})...)
	return append(actions, p.schedule(now)...)
}

// Waiting returns the number of requests without a connection.
func (p *Pool) QueueLength() int { return len(p.waiting) }

// TargetLoad is how a target's connections are used.
type TargetLoad struct {
	Target              model.TargetID
	Limit               int
	Opening, Idle, Busy int
	Lag                 time.Duration // last known one
}

// Load returns the use of all targets.
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

// Connections returns the number of connections of any state.
func (p *Pool) Connections() int { return len(p.conns) }

func (p *Pool) queueLimit() int {
	limit := 0
	for _, t := range p.targets {
		limit += t.Limit
	}
	return max(limit, 1) * queuePerConnection
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

// closeWhere closes the idle connections that match.
func (p *Pool) closeWhere(match func(*conn) bool) []Action {
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

// trim closes idle connections above the limits.
func (p *Pool) trim() []Action {
	return p.closeLeastUsed(func(t *target, _ *conn, count int) bool { return count > t.Limit })
}

// closeLeastUsed closes the least used idle connections of each target while the condition holds for them and for the number
// of connections to the target.
func (p *Pool) closeLeastUsed(surplus func(t *target, c *conn, count int) bool) []Action {
	var actions []Action
	for id, t := range p.targets {
		for {
			victim := p.leastUsedIdle(id)
			if victim == nil || !surplus(t, victim, p.count(id)) {
				break
			}
			p.remove(victim.id)
			actions = append(actions, Close{victim.id})
		}
	}
	return actions
}

// schedule gives connections to waiting requests in order and opens connections for those that got none.
func (p *Pool) schedule(now time.Time) []Action {
	var actions []Action
	claimed := map[ConnID]bool{} // openings that an earlier request waits for
	for i := 0; i < len(p.waiting); {
		settled, more := p.place(now, p.waiting[i], claimed)
		actions = append(actions, more...)
		if settled {
			p.waiting = slices.Delete(p.waiting, i, i+1)
		} else {
			i++
		}
	}
	return actions
}

// place finds a connection for one request and reports whether the request is settled.
func (p *Pool) place(now time.Time, r Request, claimed map[ConnID]bool) (bool, []Action) {
	candidates := p.candidates(now, r)
	best, bestCost := (*conn)(nil), 0.0
	for _, t := range candidates {
		if c := p.find(t.ID, func(c *conn) bool { return c.state == idle && c.workspace == r.Workspace }); c != nil {
			if cost := p.cost(t, r); best == nil || cost < bestCost {
				best, bestCost = c, cost
			}
		}
	}
	opener, openCost := p.cheapestOpening(now, r, candidates)
	if best != nil && (opener == nil || bestCost <= openCost) {
		best.state = busy
		return true, []Action{Grant{r.ID, best.id, best.target}}
	}
	for _, t := range candidates {
		pending := p.find(t.ID, func(c *conn) bool {
			return c.state == opening && c.workspace == r.Workspace && !claimed[c.id]
		})
		if pending != nil {
			claimed[pending.id] = true
			return false, nil
		}
	}
	if opener == nil {
		return false, nil
	}
	var actions []Action
	if p.count(opener.ID) >= opener.Limit {
		victim := p.leastUsedIdle(opener.ID)
		if p.wanted(victim, r) && now.Sub(r.arrived) < affinityTime {
			return false, nil
		}
		p.remove(victim.id)
		actions = append(actions, Close{victim.id})
	}
	p.lastID++
	p.conns = append(p.conns, &conn{id: p.lastID, target: opener.ID, workspace: r.Workspace, state: opening, used: now})
	claimed[p.lastID] = true
	return false, append(actions, Open{p.lastID, opener.ID, r.Workspace})
}

// wanted reports whether a waiting request of the same priority as r can use an idle connection as it is.
func (p *Pool) wanted(c *conn, r Request) bool {
	for _, other := range p.waiting {
		if other.Workspace == c.workspace && other.Priority <= r.Priority && (!other.PrimaryOnly || c.target == p.primary) {
			return true
		}
	}
	return false
}

// candidates returns the targets that may run the request, replicas first.
func (p *Pool) candidates(now time.Time, r Request) []*target {
	var list []*target
	primary := p.targets[p.primary]
	if !r.PrimaryOnly && !r.AsOf.IsZero() {
		for id, t := range p.targets {
			if id != p.primary && !t.Draining && t.mayHave(now, r.AsOf) {
				list = append(list, t)
			}
		}
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if primary != nil {
		list = append(list, primary)
	}
	return list
}

// mayHave reports whether a replica probably has the data of the given time. The target itself checks it.
func (t *target) mayHave(now time.Time, dataOf time.Time) bool {
	return now.Sub(t.lagSeen) > lagMemory || now.Sub(dataOf) >= t.lag
}

// cheapestOpening returns the target at which a connection can be opened at the lowest cost, or nil.
func (p *Pool) cheapestOpening(now time.Time, r Request, candidates []*target) (*target, float64) {
	var best *target
	bestCost := 0.0
	for _, t := range candidates {
		full := p.count(t.ID) >= t.Limit
		if now.Before(t.pausedUntil) || full && p.leastUsedIdle(t.ID) == nil {
			continue
		}
		if cost := p.cost(t, r) + handshakeCost; best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost
}

// cost estimates how long a statement takes at a target, in statements that run ahead.
func (p *Pool) cost(t *target, r Request) float64 {
	cost := 0.0
	for _, c := range p.conns {
		if c.target == t.ID && c.state != idle {
			cost++
		}
	}
	if t.DataCentre != p.local {
		cost += remoteCost
	}
	if t.ID == p.primary && !r.PrimaryOnly {
		cost += primaryCost
	}
	return cost
}

func (p *Pool) find(id model.TargetID, match func(*conn) bool) *conn {
	for _, c := range p.conns {
		if c.target == id && match(c) {
			return c
		}
	}
	return nil
}

func (p *Pool) count(id model.TargetID) int {
	n := 0
	for _, c := range p.conns {
		if c.target == id {
			n++
		}
	}
	return n
}

func (p *Pool) leastUsedIdle(id model.TargetID) *conn {
	var least *conn
	for _, c := range p.conns {
		if c.target == id && c.state == idle && (least == nil || c.used.Before(least.used)) {
			least = c
		}
	}
	return least
}

// Busy reports whether the connection is in use.
func (p *Pool) Busy(id ConnID) bool {
	c := p.conn(id)
	return c != nil && c.state == busy
}
