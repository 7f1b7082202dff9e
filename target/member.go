package target

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// waitSlice is the longest time that one group_wait call waits, so that a later caller with an earlier position is not
// kept waiting.
const maxWaitCall = 100 * time.Millisecond

const (
	sqlStatus  = "SELECT * FROM group_status()"
	sqlAdopt   = "SELECT * FROM group_adopt($1, $2)"
	sqlPromote = "SELECT * FROM group_promote($1, $2)"
	sqlFollow  = "SELECT * FROM group_follow($1, $2)"
	sqlWait    = "SELECT * FROM group_wait($1, $2, $3)"
)

// groupColumns is the number of columns that the group functions return.
const statusColumnCount = 6

// codeNotInState is the SQLSTATE of an order that the member refuses.
const codeNotInPrerequisiteState = "55000"

// IsRefusedConnection reports whether the target's host refused a connection, so that no target listens there.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsRefusedOrder reports whether the member answered that it does not obey an order because of its adopted term.
func IsCommandRefused(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == codeNotInPrerequisiteState
}

// ControlMember is a Member over PostgreSQL connections. One connection serves calls, another waits for positions. A
// connection on which a call failed is closed, and the next call opens a new one.
type MemberClient struct {
	commands      controlConn
	positionWaits controlConn

	mu              sync.Mutex
	waiters         map[*waiter]struct{}
	waitLoopRunning bool // a goroutine waits on behalf of the waiters
}

// waiter is a caller of WaitPosition.
type waiter struct {
	position model.Position
	result   chan waitResult
}

type waitResult struct {
	status MemberStatus
	err    error
}

// NewControlMember returns the member at address. It opens connections when they are needed.
func NewMemberClient(address string, o Options) *MemberClient {
	o = o.withDefaults()
	return &MemberClient{
		commands:      newControlConn(address, o),
		positionWaits: newControlConn(address, o),
		waiters:       map[*waiter]struct{}{},
	}
}

// Status implements Member.
func (m *MemberClient) Status(ctx context.Context) (MemberStatus, error) {
	return m.commands.call(ctx, sqlStatus)
}

// Adopt implements Member.
func (m *MemberClient) Adopt(ctx context.Context, term uint64, orderer string) (MemberStatus, error) {
	return m.commands.call(ctx, sqlAdopt, formatUint(term), orderer)
}

// Promote implements Member.
func (m *MemberClient) Promote(ctx context.Context, term uint64, orderer string) (MemberStatus, error) {
	return m.commands.call(ctx, sqlPromote, formatUint(term), orderer)
}

// Follow implements Member.
func (m *MemberClient) Follow(ctx context.Context, term uint64, primary string) (MemberStatus, error) {
	return m.commands.call(ctx, sqlFollow, formatUint(term), primary)
}

// WaitPosition implements Member. Overlapping calls share one connection: a single group_wait runs at a time, for the
// earliest position that is wanted, and its answer serves all callers whose position it covers.
func (m *MemberClient) WaitPosition(ctx context.Context, p model.Position) (MemberStatus, error) {
	w := &waiter{position: p, result: make(chan waitResult, 1)}
	m.mu.Lock()
	m.waiters[w] = struct{}{}
	if !m.waitLoopRunning {
		m.waitLoopRunning = true
		go m.runWaitLoop()
	}
	m.mu.Unlock()
	select {
	case r := <-w.result:
		return r.status, r.err
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiters, w)
		return MemberStatus{}, trace.Wrap(ctx.Err())
	}
}

// Close closes the connections. The member can still be used and opens new ones then.
func (m *MemberClient) Close() {
	m.commands.closeConn()
	m.positionWaits.closeConn()
}

// serveWaiters calls group_wait until no caller waits. An error goes to all callers.
func (m *MemberClient) runWaitLoop() {
	// A call must return before its own time ends.
	callDuration := min(maxWaitCall, m.positionWaits.options.ControlTimeout/2)
	for {
		p, found := m.earliestPosition()
		if !found {
			return
		}
		milliseconds := strconv.FormatInt(callDuration.Milliseconds(), 10)
		status, err := m.positionWaits.call(context.Background(), sqlWait, formatUint(p.Term), formatUint(p.Offset), milliseconds)
		m.notifyWaiters(status, err)
	}
}

// earliest returns the earliest position that is wanted. If there is none, the calling goroutine must end.
func (m *MemberClient) earliestPosition() (model.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var earliest model.Position
	found := false
	for w := range m.waiters {
		if !found || earliest.Later(w.position) == earliest {
			earliest = w.position
			found = true
		}
	}
	m.waitLoopRunning = found
	return earliest, found
}

func (m *MemberClient) notifyWaiters(status MemberStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.waiters {
		if err != nil || status.Position.Covers(w.position) {
			w.result <- waitResult{status, err}
			delete(m.waiters, w)
		}
	}
}

// control is a control connection that is opened when needed and replaced after an error.
type controlConn struct {
	address   string
	options   Options
	semaphore chan struct{} // holds a token while a call uses the connection
	conn      *connection   // owned by the holder of the token
}

func newControlConn(address string, o Options) controlConn {
	return controlConn{address: address, options: o, semaphore: make(chan struct{}, 1)}
}

// call runs a group function within ControlTimeout, which includes waiting for calls before it.
func (c *controlConn) call(ctx context.Context, sql string, args ...string) (MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	select {
	case c.semaphore <- struct{}{}:
	case <-ctx.Done():
		return MemberStatus{}, trace.Wrap(ctx.Err())
	}
	defer func() { <-c.semaphore }()
	if c.conn == nil {
		conn, err := openConnection(ctx, c.address, c.options.ControlUser, c.options)
		if err != nil {
			return MemberStatus{}, trace.Wrap(err)
		}
		c.conn = conn
	}
	status, err := c.query(ctx, sql, args)
	if !c.conn.isClean() {
		c.options.Logger.Info("target: control connection replaced", zap.String("address", c.address), zap.Error(err))
		go c.conn.close()
		c.conn = nil
	}
	return status, trace.Wrap(err)
}

func (c *controlConn) query(ctx context.Context, sql string, args []string) (MemberStatus, error) {
	results, err := c.conn.run(ctx, segment{{sql: sql, args: Statement{Args: args}.encodedArgs()}})
	if err != nil {
		return MemberStatus{}, err
	}
	if results[0].err != nil {
		return MemberStatus{}, results[0].err
	}
	return results[0].steps[0].parseStatus()
}

func (c *controlConn) closeConn() {
	c.semaphore <- struct{}{}
	defer func() { <-c.semaphore }()
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// status reads the answer of a group function.
func (r stepResult) parseStatus() (MemberStatus, error) {
	if len(r.rows.Values) != 1 || len(r.rows.Values[0]) != statusColumnCount {
		return MemberStatus{}, trace.BadParameter("the group function did not return one row of %d columns", statusColumnCount)
	}
	columns := make([]string, statusColumnCount)
	for i, value := range r.rows.Values[0] {
		if value != nil {
			columns[i] = *value
		}
	}
	var numbers [statusColumnCount]uint64
	for _, i := range []int{0, 3, 4} {
		number, err := strconv.ParseUint(columns[i], 10, 64)
		if err != nil {
			return MemberStatus{}, trace.BadParameter("column %d of the group function is no number: %q", i, columns[i])
		}
		numbers[i] = number
	}
	return MemberStatus{
		AdoptedTerm:    numbers[0],
		Orderer:        columns[1],
		Role:           Role(columns[2]),
		Position:       model.Position{Term: numbers[3], Offset: numbers[4]},
		PrimaryAddress: columns[5],
	}, nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
