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
const waitSlice = 100 * time.Millisecond

const (
	sqlStatus  = "SELECT * FROM group_status()"
	sqlAdopt   = "SELECT * FROM group_adopt($1, $2)"
	sqlPromote = "SELECT * FROM group_promote($1, $2)"
	sqlFollow  = "SELECT * FROM group_follow($1, $2)"
	sqlWait    = "SELECT * FROM group_wait($1, $2, $3)"
)

// groupColumns is the number of columns that the group functions return.
const groupColumns = 6

// codeNotInState is the SQLSTATE of an order that the member refuses.
const codeNotInState = "55000"

// IsRefusedConnection reports whether the target's host refused a connection, so that no target listens there.
func IsRefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsRefusedOrder reports whether the member answered that it does not obey an order because of its adopted term.
func IsRefusedOrder(err error) bool {
	var refused *pgconn.PgError
	return errors.As(err, &refused) && refused.Code == codeNotInState
}

// ControlMember is a Member over PostgreSQL connections. One connection serves calls, another waits for positions. A
// connection on which a call failed is closed, and the next call opens a new one.
type ControlMember struct {
	calls control
	waits control

	mu      sync.Mutex
	waiters map[*waiter]struct{}
	running bool // a goroutine waits on behalf of the waiters
}

// waiter is a caller of WaitPosition.
type waiter struct {
	position model.Position
	reached  chan waitResult
}

type waitResult struct {
	status MemberStatus
	err    error
}

// NewControlMember returns the member at address. It opens connections when they are needed.
func NewControlMember(address string, o Options) *ControlMember {
	o = o.withDefaults()
	return &ControlMember{
		calls:   newControl(address, o),
		waits:   newControl(address, o),
		waiters: map[*waiter]struct{}{},
	}
}

// Status implements Member.
func (m *ControlMember) Status(ctx context.Context) (MemberStatus, error) {
	return m.calls.call(ctx, sqlStatus)
}

// Adopt implements Member.
func (m *ControlMember) Adopt(ctx context.Context, term uint64, orderer string) (MemberStatus, error) {
	return m.calls.call(ctx, sqlAdopt, formatNumber(term), orderer)
}

// Promote implements Member.
func (m *ControlMember) Promote(ctx context.Context, term uint64, orderer string) (MemberStatus, error) {
	return m.calls.call(ctx, sqlPromote, formatNumber(term), orderer)
}

// Follow implements Member.
func (m *ControlMember) Follow(ctx context.Context, term uint64, primary string) (MemberStatus, error) {
	return m.calls.call(ctx, sqlFollow, formatNumber(term), primary)
}

// WaitPosition implements Member. Overlapping calls share one connection: a single group_wait runs at a time, for the
// earliest position that is wanted, and its answer serves all callers whose position it covers.
func (m *ControlMember) WaitPosition(ctx context.Context, p model.Position) (MemberStatus, error) {
	w := &waiter{position: p, reached: make(chan waitResult, 1)}
	m.mu.Lock()
	m.waiters[w] = struct{}{}
	if !m.running {
		m.running = true
		go m.serveWaiters()
	}
	m.mu.Unlock()
	select {
	case r := <-w.reached:
		return r.status, r.err
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiters, w)
		return MemberStatus{}, trace.Wrap(ctx.Err())
	}
}

// Close closes the connections. The member can still be used and opens new ones then.
func (m *ControlMember) Close() {
	m.calls.reset()
	m.waits.reset()
}

// serveWaiters calls group_wait until no caller waits. An error goes to all callers.
func (m *ControlMember) serveWaiters() {
	// A call must return before its own time ends.
	slice := min(waitSlice, m.waits.options.ControlTimeout/2)
	for {
		p, found := m.earliest()
		if !found {
			return
		}
		milliseconds := strconv.FormatInt(slice.Milliseconds(), 10)
		status, err := m.waits.call(context.Background(), sqlWait, formatNumber(p.Term), formatNumber(p.Offset), milliseconds)
		m.answerWaiters(status, err)
	}
}

// earliest returns the earliest position that is wanted. If there is none, the calling goroutine must end.
func (m *ControlMember) earliest() (model.Position, bool) {
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
	m.running = found
	return earliest, found
}

func (m *ControlMember) answerWaiters(status MemberStatus, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.waiters {
		if err != nil || status.Position.Covers(w.position) {
			w.reached <- waitResult{status, err}
			delete(m.waiters, w)
		}
	}
}

// control is a control connection that is opened when needed and replaced after an error.
type control struct {
	address string
	options Options
	turn    chan struct{} // holds a token while a call uses the connection
	conn    *connection   // owned by the holder of the token
}

func newControl(address string, o Options) control {
	return control{address: address, options: o, turn: make(chan struct{}, 1)}
}

// call runs a group function within ControlTimeout, which includes waiting for calls before it.
func (c *control) call(ctx context.Context, sql string, args ...string) (MemberStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ControlTimeout)
	defer cancel()
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return MemberStatus{}, trace.Wrap(ctx.Err())
	}
	defer func() { <-c.turn }()
	if c.conn == nil {
		conn, err := open(ctx, c.address, c.options.ControlUser, c.options)
		if err != nil {
			return MemberStatus{}, trace.Wrap(err)
		}
		c.conn = conn
	}
	status, err := c.exchange(ctx, sql, args)
	if !c.conn.clean() {
		c.options.Logger.Info("target: control connection replaced", zap.String("address", c.address), zap.Error(err))
		go c.conn.close()
		c.conn = nil
	}
	return status, trace.Wrap(err)
}

func (c *control) exchange(ctx context.Context, sql string, args []string) (MemberStatus, error) {
	answers, err := c.conn.run(ctx, segment{{sql: sql, args: Statement{Args: args}.values()}})
	if err != nil {
		return MemberStatus{}, err
	}
	if answers[0].err != nil {
		return MemberStatus{}, answers[0].err
	}
	return answers[0].results[0].status()
}

func (c *control) reset() {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// status reads the answer of a group function.
func (r stepResult) status() (MemberStatus, error) {
	if len(r.rows.Values) != 1 || len(r.rows.Values[0]) != groupColumns {
		return MemberStatus{}, trace.BadParameter("the group function did not return one row of %d columns", groupColumns)
	}
	columns := make([]string, groupColumns)
	for i, value := range r.rows.Values[0] {
		if value != nil {
			columns[i] = *value
		}
	}
	var numbers [groupColumns]uint64
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

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }
