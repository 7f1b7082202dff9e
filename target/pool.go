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
	// capBackoff is the time for which a pool opens no more connections after the target refused one at its cap.
	capBackoff = time.Second
	// resetTimeout bounds the return of a connection to a clean state.
	resetTimeout = 200 * time.Millisecond
)

const codeTooManyConnections = "53300"

// sqlState asks for the state of another connection by its process id.
const sqlState = "SELECT state FROM pg_stat_activity WHERE pid = $1"

// stateActive is the state of a connection whose statement runs.
const stateActive = "active"

var errPoolClosed = trace.ConnectionProblem(nil, "the connection pool is closed")

// Stats is the state of a pool's connections.
type Stats struct {
	Limit        int // greatest number of connections
	Open         int // open connections, including those that are being opened or closed
	Idle         int
	Waiting      int // requests that wait for a connection
	Opened       uint64
	Discarded    uint64 // connections that were closed because they were not fit for reuse
	SilentClosed uint64 // connections that were closed because they were found silent
}

// Pool holds the connections for traffic to one target. It implements Traffic. Requests get connections in the order
// in which they asked.
type Pool struct {
	address string
	options Options
	log     *zap.Logger
	stop    context.CancelFunc
	ctx     context.Context // ends when the pool is closed

	mu      sync.Mutex
	limit   int
	open    int
	closing int       // open connections that are being closed
	cap     int       // open connections when the target refused another one
	capEnd  time.Time // time until which cap holds
	idle    []*connection
	busy    map[*connection]struct{}
	waiters list.List // of chan *connection; nil permits the waiter to open a connection
	suspect time.Time // connections without a byte since then are probed before use
	silent  time.Time // idle connections without a byte since then are taken for silent
	stats   Stats
}

// NewPool returns a pool of connections to the target at address. Connections are opened when they are needed.
func NewPool(address string, o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{
		address: address,
		options: o,
		log:     o.Logger.With(zap.String("address", address)),
		limit:   o.MaxConnections,
		busy:    map[*connection]struct{}{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	if o.MaintenanceInterval > 0 {
		go p.maintainLoop()
	}
	return p
}

// SetLimit implements Traffic. Connections above a lower limit are closed when their requests end.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open-p.closing > limit && len(p.idle) > 0 {
		p.close(p.takeIdle(len(p.idle) - 1))
	}
	p.permitWaiters()
}

// Stats implements Traffic.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Limit, s.Open, s.Idle, s.Waiting = p.limit, p.open, len(p.idle), p.waiters.Len()
	return s
}

// Close implements Traffic.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		p.close(p.takeIdle(len(p.idle) - 1))
	}
	for c := range p.busy {
		c.clock.Close()
	}
}

// acquire returns a connection that is fit for a request. It waits while the limit is reached.
func (p *Pool) acquire(ctx context.Context) (*connection, error) {
	for {
		c, err := p.take(ctx)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if c == nil {
			c, err = p.openOne(ctx)
			if err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if c != nil && p.fit(ctx, c) {
			return c, nil
		}
	}
}

// take returns an idle connection, or nil if the caller is to open one.
func (p *Pool) take(ctx context.Context) (*connection, error) {
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
	if p.open < p.currentLimit() {
		defer p.mu.Unlock()
		p.open++
		return nil, nil
	}
	granted := make(chan *connection, 1)
	element := p.waiters.PushBack(granted)
	p.mu.Unlock()
	return p.await(ctx, element, granted)
}

func (p *Pool) await(ctx context.Context, element *list.Element, granted chan *connection) (*connection, error) {
	var err error
	select {
	case c := <-granted:
		return c, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-p.ctx.Done():
		err = errPoolClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case c := <-granted:
		p.passOn(c)
	default:
		p.waiters.Remove(element)
	}
	return nil, err
}

// passOn gives away what a waiter got after it had stopped waiting.
func (p *Pool) passOn(c *connection) {
	if c == nil {
		p.open--
		p.permitWaiters()
		return
	}
	p.give(c)
}

// give hands a connection to the first waiter or keeps it idle.
func (p *Pool) give(c *connection) {
	if p.ctx.Err() != nil || p.open-p.closing > p.limit {
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

// permitWaiters lets waiters open connections up to the limit.
func (p *Pool) permitWaiters() {
	for p.waiters.Len() > 0 && p.open < p.currentLimit() {
		front := p.waiters.Front()
		p.waiters.Remove(front)
		p.open++
		front.Value.(chan *connection) <- nil
	}
}

// currentLimit is the limit, or less for a while after the target refused a connection at its cap. It is at least 1,
// so that the pool finds out when the target has room again.
func (p *Pool) currentLimit() int {
	if time.Now().Before(p.capEnd) {
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

// openOne opens a connection that is already counted. It returns nil without an error if the target is at its cap and
// the caller has to wait for another connection of the pool.
func (p *Pool) openOne(ctx context.Context) (*connection, error) {
	c, err := open(ctx, p.address, p.options.User, p.options)
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
	p.open--
	var refused *pgconn.PgError
	if errors.As(err, &refused) && refused.Code == codeTooManyConnections {
		p.cap = p.open
		p.capEnd = time.Now().Add(capBackoff)
		p.log.Info("target: connection refused at the target's cap", zap.Int("open", p.open))
		if p.open > 0 {
			return nil, nil
		}
	}
	p.permitWaiters()
	return nil, err
}

// fit checks a connection before its use. One that is suspected is probed; one that is not fit is closed.
func (p *Pool) fit(ctx context.Context, c *connection) bool {
	last := c.clock.lastByte()
	p.mu.Lock()
	silent := last.Before(p.silent)
	suspected := last.Before(p.suspect) || time.Since(last) > p.options.ProbeIdleTime
	p.mu.Unlock()
	if silent {
		p.discard(c, "no byte since a connection was found silent")
		return false
	}
	if !suspected {
		return true
	}
	started := time.Now()
	if err := c.probe(ctx, p.options.ProbeTimeout); err != nil {
		p.mu.Lock()
		// A request that ran out of time says nothing about the other connections.
		if ctx.Err() == nil {
			p.silent = started
		}
		p.mu.Unlock()
		p.discard(c, "probe failed")
		return false
	}
	return true
}

// release returns a connection after a request. It is reused only if its state is clean.
func (p *Pool) release(c *connection) {
	if c.pg.IsClosed() || c.pg.IsBusy() {
		p.mu.Lock()
		p.suspect = time.Now()
		p.mu.Unlock()
		p.discard(c, "connection lost or timed out")
		return
	}
	if c.clean() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.give(c)
		return
	}
	go p.reset(c)
}

// reset ends the transaction that a refused statement left and clears the state of the session.
func (p *Pool) reset(c *connection) {
	ctx, cancel := context.WithTimeout(p.ctx, resetTimeout)
	defer cancel()
	answers, err := c.run(ctx, segment{{sql: sqlRollback}}, segment{{sql: sqlDiscard}})
	if err != nil || answers[1].err != nil || !c.clean() {
		p.discard(c, "reset failed")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.give(c)
}

// discard closes a connection that is not fit for reuse.
func (p *Pool) discard(c *connection, reason string) {
	p.log.Debug("target: connection dropped", zap.String("reason", reason))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Discarded++
	p.close(c)
}

// close closes a connection and frees its place when it is closed.
func (p *Pool) close(c *connection) {
	p.busy[c] = struct{}{}
	p.closing++
	go func() {
		c.close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.busy, c)
		p.closing--
		p.open--
		p.permitWaiters()
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

// Maintain closes connections that have been idle for long and connections that are found silent. The pool calls it
// every MaintenanceInterval.
func (p *Pool) Maintain(ctx context.Context) {
	p.closeIdle()
	if suspects := p.waitingConnections(); len(suspects) > 0 {
		p.checkSilence(ctx, suspects)
	}
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if time.Since(p.idle[i].idleSince) >= p.options.IdleTimeout {
			p.close(p.takeIdle(i))
		}
	}
	p.permitWaiters()
}

// waitingConnections returns the connections that have waited for an answer for SilenceAge without a byte.
func (p *Pool) waitingConnections() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*connection
	for c := range p.busy {
		if c.waiting.Load() && time.Since(c.clock.lastByte()) >= p.options.SilenceTimeout {
			found = append(found, c)
		}
	}
	return found
}

// checkSilence asks the target over a new connection what it does for each suspect. A suspect whose statement does not
// run there, and that still has received nothing, is silent: its request or its answer was lost. A slow statement is
// left alone. Nothing is closed when the new connection does not work either.
func (p *Pool) checkSilence(ctx context.Context, suspects []*connection) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ProbeTimeout)
	defer cancel()
	started := time.Now()
	prober, err := open(ctx, p.address, p.options.ControlUser, p.options)
	if err != nil {
		p.log.Info("target: probe on a new connection failed", zap.Error(err))
		return
	}
	defer prober.close()
	var questions []segment
	for _, c := range suspects {
		questions = append(questions, segment{{sql: sqlState, args: [][]byte{[]byte(strconv.FormatUint(uint64(c.pg.PID()), 10))}}})
	}
	answers, err := prober.run(ctx, questions...)
	if err != nil {
		p.log.Info("target: probe on a new connection failed", zap.Error(err))
		return
	}
	for i, c := range suspects {
		if !answers[i].active() && c.waiting.Load() && c.clock.lastByte().Before(started) {
			p.closeSilent(c, started)
		}
	}
}

// active reports whether the target may be running a statement for the connection. An answer that cannot be read
// counts as active.
func (r segmentResult) active() bool {
	if r.err != nil {
		return true
	}
	rows := r.results[0].rows.Values
	if len(rows) == 0 {
		return false
	}
	return rows[0][0] == nil || *rows[0][0] == stateActive
}

// closeSilent closes the socket of a silent connection. Its request fails as lost, and idle connections that have been
// quiet for as long are not used again.
func (p *Pool) closeSilent(c *connection, checked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.SilentClosed++
	p.silent = checked
	p.log.Info("target: silent connection closed", zap.Uint32("process", c.pg.PID()))
	c.clock.Close()
}
