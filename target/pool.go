package target

import (
	"container/list"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"
)

const (
	// capBackoff is the time for which a pool opens no more connections after the target refused one with
	// too_many_connections.
	capBackoff = time.Second
	// resetTimeout bounds the reset of a connection's transaction and session state.
	resetTimeout = 200 * time.Millisecond
)

const codeTooManyConnections = "53300"

// sqlBackendState returns the state of the server process of another connection.
const sqlBackendState = "SELECT state FROM pg_stat_activity WHERE pid = $1"

// backendActive is the pg_stat_activity state of a server process that executes a statement.
const backendActive = "active"

var errPoolClosed = trace.ConnectionProblem(nil, "the connection pool is closed")

// Stats holds the connection counts of a pool.
type Stats struct {
	Limit        int // maximum number of connections
	Open         int // connections, including those that are being opened or closed
	Idle         int
	Waiting      int // requests waiting for a connection
	Opened       uint64
	Discarded    uint64 // connections that were closed because they could not be reused
	SilentClosed uint64 // connections that were closed because no reply could arrive on them
}

// Pool keeps connections to one target and runs statements on them. It implements Executor. Waiting requests get
// connections in first-in, first-out order.
type Pool struct {
	address string
	options Options
	log     *zap.Logger
	cancel  context.CancelFunc
	ctx     context.Context // done when the pool is closed

	mu            sync.Mutex // guards the fields below
	limit         int
	openCount     int       // open connections and reserved slots
	closingCount  int       // part of openCount that is being closed
	cap           int       // openCount when the target refused another connection at its own limit
	capUntil      time.Time // time until which cap applies
	idle          []*connection
	busy          map[*connection]struct{}
	waiters       list.List // values are chan *connection; receiving nil means that a slot is reserved for the waiter
	suspectBefore time.Time // connections without traffic since then are probed before use
	silentBefore  time.Time // idle connections without traffic since then are discarded as silent
	stats         Stats
}

// NewPool returns a pool of connections to the target at address. Connections are opened on demand.
func NewPool(address string, o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{
		address: address,
		options: o,
		log:     o.Logger.With(zap.String("address", address)),
		limit:   o.MaxConnections,
		busy:    map[*connection]struct{}{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if o.MaintenanceInterval > 0 {
		go p.maintainLoop()
	}
	return p
}

// SetLimit implements Executor. Busy connections above a lowered limit are closed when their requests end.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.openCount-p.closingCount > limit && len(p.idle) > 0 {
		p.close(p.takeIdle(len(p.idle) - 1))
	}
	p.admitWaiters()
}

// Stats implements Executor.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Limit, s.Open, s.Idle, s.Waiting = p.limit, p.openCount, len(p.idle), p.waiters.Len()
	return s
}

// Close implements Executor.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.close(p.takeIdle(len(p.idle) - 1))
	}
	for c := range p.busy {
		c.netConn.Close()
	}
}

// acquire returns a usable connection. It waits while the limit is reached.
func (p *Pool) acquire(ctx context.Context) (*connection, error) {
	for {
		c, err := p.takeOrReserve(ctx)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if c == nil {
			c, err = p.openReserved(ctx)
			if err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if c != nil && p.checkUsable(ctx, c) {
			return c, nil
		}
	}
}

// takeOrReserve returns an idle connection. It returns nil without an error after it has reserved a connection slot; the
// caller must then open the connection.
func (p *Pool) takeOrReserve(ctx context.Context) (*connection, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return nil, errPoolClosed
	}
	if len(p.idle) > 0 {
		defer p.mu.Unlock()
		return p.takeIdle(len(p.idle) - 1), nil
	}
	if p.openCount < p.effectiveLimit() {
		defer p.mu.Unlock()
		p.openCount++
		return nil, nil
	}
	grant := make(chan *connection, 1)
	element := p.waiters.PushBack(grant)
	p.mu.Unlock()
	return p.awaitGrant(ctx, element, grant)
}

// awaitGrant waits until the pool grants a connection or, as nil, a reserved slot. If it stops waiting, it returns a grant
// that has arrived in the meantime to the pool.
func (p *Pool) awaitGrant(ctx context.Context, element *list.Element, grant chan *connection) (*connection, error) {
	var err error
	select {
	case c := <-grant:
		return c, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-p.ctx.Done():
		err = errPoolClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case c := <-grant:
		p.returnGrant(c)
	default:
		p.waiters.Remove(element)
	}
	return nil, err
}

// returnGrant returns a connection or a reserved slot that was granted to a waiter after it stopped waiting.
func (p *Pool) returnGrant(c *connection) {
	if c == nil {
		p.openCount--
		p.admitWaiters()
		return
	}
	p.put(c)
}

// put passes a connection to the first waiter or makes it idle.
func (p *Pool) put(c *connection) {
	if p.ctx.Err() != nil || p.openCount-p.closingCount > p.limit {
		p.close(c)
		return
	}
	if front := p.waiters.Front(); front != nil {
		p.waiters.Remove(front)
		p.busy[c] = struct{}{}
		front.Value.(chan *connection) <- c
		return
	}
	delete(p.busy, c)
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// admitWaiters lets waiters open connections up to the limit.
func (p *Pool) admitWaiters() {
	for p.waiters.Len() > 0 && p.openCount < p.effectiveLimit() {
		front := p.waiters.Front()
		p.waiters.Remove(front)
		p.openCount++
		front.Value.(chan *connection) <- nil
	}
}

// effectiveLimit returns the limit, lowered to cap for capBackoff after the target refused a connection at its own limit.
// The lowered limit is at least 1, so that the pool keeps trying to connect.
func (p *Pool) effectiveLimit() int {
	if time.Now().Before(p.capUntil) {
		return min(p.limit, max(p.cap, 1))
	}
	return p.limit
}

func (p *Pool) takeIdle(i int) *connection {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.busy[c] = struct{}{}
	return c
}

// openReserved opens a connection whose slot is reserved. It returns nil without an error if the target is at its own
// connection limit and the caller must wait for another connection of the pool.
func (p *Pool) openReserved(ctx context.Context) (*connection, error) {
	c, err := openConnection(ctx, p.address, p.options.User, p.options)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.ctx.Err() != nil {
		go c.close()
		err = errPoolClosed
	}
	if err == nil {
		p.stats.Opened++
		p.busy[c] = struct{}{}
		return c, nil
	}
	p.openCount--
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == codeTooManyConnections {
		p.cap = p.openCount
		p.capUntil = time.Now().Add(capBackoff)
		p.log.Info("target: connection refused at the target's connection limit", zap.Int("open", p.openCount))
		if p.openCount > 0 {
			return nil, nil
		}
	}
	p.admitWaiters()
	return nil, err
}

// checkUsable checks a connection before use. A suspect connection is probed; an unusable one is closed.
func (p *Pool) checkUsable(ctx context.Context, c *connection) bool {
	lastActive := c.netConn.lastActiveAt()
	p.mu.Lock()
	isSilent := lastActive.Before(p.silentBefore)
	isSuspect := lastActive.Before(p.suspectBefore) || time.Since(lastActive) > p.options.ProbeIdleTime
	p.mu.Unlock()
	if isSilent {
		p.discard(c, "no traffic since another connection was found silent")
		return false
	}
	if !isSuspect {
		return true
	}
	started := time.Now()
	if err := c.probe(ctx, p.options.ProbeTimeout); err != nil {
		p.mu.Lock()
		// An expired request context is no evidence that other connections are silent.
		if ctx.Err() == nil {
			p.silentBefore = started
		}
		p.mu.Unlock()
		p.discard(c, "probe failed")
		return false
	}
	return true
}

// release returns a connection to the pool after a request. A connection that is not clean is reset first. One that is
// closed or still busy is discarded, and the other connections are probed before their next use.
func (p *Pool) release(c *connection) {
	if c.pg.IsClosed() || c.pg.IsBusy() {
		p.mu.Lock()
		p.suspectBefore = time.Now()
		p.mu.Unlock()
		p.discard(c, "connection lost or timed out")
		return
	}
	if c.isClean() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.put(c)
		return
	}
	go p.reset(c)
}

// reset rolls back a transaction that a refused statement left open and resets the session state.
func (p *Pool) reset(c *connection) {
	ctx, cancel := context.WithTimeout(p.ctx, resetTimeout)
	defer cancel()
	results, err := c.run(ctx, segment{{sql: sqlRollback}}, segment{{sql: sqlDiscardAll}})
	if err != nil || results[1].err != nil || !c.isClean() {
		p.discard(c, "reset failed")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(c)
}

// discard closes a connection that cannot be reused.
func (p *Pool) discard(c *connection, reason string) {
	p.log.Debug("target: connection discarded", zap.String("reason", reason))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Discarded++
	p.close(c)
}

// close closes a connection in the background and then releases its slot.
func (p *Pool) close(c *connection) {
	p.busy[c] = struct{}{}
	p.closingCount++
	go func() {
		c.close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.busy, c)
		p.closingCount--
		p.openCount--
		p.admitWaiters()
	}()
}

func (p *Pool) maintainLoop() {
	ticker := time.NewTicker(p.options.MaintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.Maintain(p.ctx)
		case <-p.ctx.Done():
			return
		}
	}
}

// Maintain closes connections that exceeded IdleTimeout and connections that are silent. The pool calls it every
// MaintenanceInterval.
func (p *Pool) Maintain(ctx context.Context) {
	p.closeExpiredIdle()
	if suspects := p.unresponsiveConnections(); len(suspects) > 0 {
		p.checkSuspects(ctx, suspects)
	}
}

func (p *Pool) closeExpiredIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if time.Since(p.idle[i].idleSince) >= p.options.IdleTimeout {
			p.close(p.takeIdle(i))
		}
	}
	p.admitWaiters()
}

// unresponsiveConnections returns the connections that await a reply and had no traffic for SilenceTimeout.
func (p *Pool) unresponsiveConnections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*connection
	for c := range p.busy {
		if c.awaitingReply.Load() && time.Since(c.netConn.lastActiveAt()) >= p.options.SilenceTimeout {
			found = append(found, c)
		}
	}
	return found
}

// checkSuspects queries the target on a new connection for the state of each suspect's server process. A suspect is
// silent if its process is not running a statement and the connection still had no traffic: the request or the reply was
// lost. Connections with slow statements stay open. If the new connection fails as well, nothing is closed.
func (p *Pool) checkSuspects(ctx context.Context, suspects []*connection) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ProbeTimeout)
	defer cancel()
	started := time.Now()
	probeConn, err := openConnection(ctx, p.address, p.options.ControlUser, p.options)
	if err != nil {
		p.log.Info("target: probe on a new connection failed", zap.Error(err))
		return
	}
	defer probeConn.close()
	var queries []segment
	for _, c := range suspects {
		queries = append(queries, segment{{sql: sqlBackendState,
			args: [][]byte{[]byte(strconv.FormatUint(uint64(c.pg.PID()), 10))}}})
	}
	results, err := probeConn.run(ctx, queries...)
	if err != nil {
		p.log.Info("target: probe on a new connection failed", zap.Error(err))
		return
	}
	for i, c := range suspects {
		if !results[i].mayBeActive() && c.awaitingReply.Load() && c.netConn.lastActiveAt().Before(started) {
			p.closeSilent(c, started)
		}
	}
}

// mayBeActive reports whether the target may be running a statement for the connection. An error or a null state counts
// as active.
func (r segmentResult) mayBeActive() bool {
	if r.err != nil {
		return true
	}
	rows := r.steps[0].rows.Values
	if len(rows) == 0 {
		return false
	}
	return rows[0][0] == nil || *rows[0][0] == backendActive
}

// closeSilent closes the socket of a silent connection, so that its request fails with FailureLost. Idle connections
// without traffic since the check began are not reused.
func (p *Pool) closeSilent(c *connection, checkedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.SilentClosed++
	p.silentBefore = checkedAt
	p.log.Info("target: silent connection closed", zap.Uint32("process", c.pg.PID()))
	c.netConn.Close()
}
