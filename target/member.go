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

// maxWaitCall bounds the duration of one group_wait call, because a caller that arrives during the call may wait for an
// earlier position.
const maxWaitCall = 100 * time.Millisecond

const (
	sqlStatus  = "SELECT * FROM group_status()"
	sqlAdopt   = "SELECT * FROM group_adopt($1, $2)"
	sqlPromote = "SELECT * FROM group_promote($1, $2)"
	sqlFollow  = "SELECT * FROM group_follow($1, $2)"
	sqlWait    = "SELECT * FROM group_wait($1, $2, $3)"
)

// statusColumnCount is the number of columns that each group function returns.
const statusColumnCount = 6

// codeNotInPrerequisiteState is the SQLSTATE of a command that the member refuses because of its state.
const codeNotInPrerequisiteState = "55000"

// IsConnectionRefused reports whether the connection was refused, which means that no target listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsCommandRefused reports whether the member refused a command because of its adopted term.
func IsCommandRefused(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == codeNotInPrerequisiteState
}

// MemberClient implements Member with two PostgreSQL connections, one for commands and one for waiting for positions. If
// a call fails, its connection is closed, and the next call opens a new one.
type MemberClient struct {
	commands      controlConn
	positionWaits controlConn

	mu              sync.Mutex
	waiters         map[*waiter]struct{}
	waitLoopRunning bool // runWaitLoop is running
}

// waiter is a pending call of WaitPosition.
type waiter struct {
	position model.Position
	result   chan waitResult
}

type waitResult struct {
	status MemberStatus
	err    error
}

// NewMemberClient returns a client for the member at address. It connects on the first call.
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

// WaitPosition implements Member. Concurrent calls share one connection: one group_wait call runs at a time, for the
// earliest requested position, and its result completes all calls whose position it covers.
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

// Close closes the connections. The client remains usable and reconnects on the next call.
func (m *MemberClient) Close() {
	m.commands.closeConn()
	m.positionWaits.closeConn()
}

// runWaitLoop calls group_wait until there are no waiters. An error is returned to all waiters.
func (m *MemberClient) runWaitLoop() {
	// The call must return before its ControlTimeout expires.
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

// earliestPosition returns the earliest requested position. If there is none, it marks the wait loop as stopped and the
// calling goroutine must return.
func (m *MemberClient) earliestPosition() (model.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var earliest model.Position
	found := false
	for w := range m.waiters {
		if !found || earliest.Max(w.position) == earliest {
			earliest = w.position
			found = true
		}
	}
	m.waitLoopRunning = found
	return earliest, found
}

// notifyWaiters completes the calls whose position the status covers or, after an error, all calls.
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

// controlConn is a control connection that is opened on demand and replaced after an error.
type controlConn struct {
	address   string
	options   Options
	semaphore chan struct{} // holds one element while a call uses the connection
	conn      *connection   // guarded by semaphore
}

func newControlConn(address string, o Options) controlConn {
	return controlConn{address: address, options: o, semaphore: make(chan struct{}, 1)}
}

// call runs a group function within ControlTimeout, which includes the wait for earlier calls.
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
		c.options.Logger.Info("target: closing failed control connection", zap.String("address", c.address), zap.Error(err))
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

// parseStatus parses the row that a group function returned.
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
