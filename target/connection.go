package target

import (
	"context"
	"errors"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// closeTimeout bounds a graceful close, which may send the target a cancel request for the running statement.
	closeTimeout = 200 * time.Millisecond
	// messageOverheadBytes is added to MaxAnswerBytes to get the limit of a protocol message, which also has headers.
	messageOverheadBytes = 64 << 10
)

// activityConn is a net.Conn that records the time of the last traffic and the number of bytes sent.
type activityConn struct {
	net.Conn
	lastActive atomic.Pointer[time.Time]
	bytesSent  atomic.Int64
}

func newActivityConn(conn net.Conn) *activityConn {
	c := &activityConn{Conn: conn}
	c.markActive()
	return c
}

func (c *activityConn) markActive() {
	now := time.Now()
	c.lastActive.Store(&now)
}

// lastActiveAt returns the time at which bytes were last sent or received.
func (c *activityConn) lastActiveAt() time.Time { return *c.lastActive.Load() }

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// Write implements net.Conn.
func (c *activityConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.bytesSent.Add(int64(n))
		c.markActive()
	}
	return n, err
}

// connection is an open connection to a target. It serves one request at a time.
type connection struct {
	pg             *pgconn.PgConn
	netConn        *activityConn
	maxAnswerBytes int
	awaitingReply  atomic.Bool // a request waits for the reply of the target
	dirty          bool        // callers' statements ran since the session state was last reset
	idleSince      time.Time   // guarded by the pool's mutex
}

// openConnection connects to the target within ConnectTimeout.
func openConnection(ctx context.Context, address, user string, o Options) (*connection, error) {
	connURL := url.URL{Scheme: "postgres", User: url.UserPassword(user, o.Password), Host: address,
		Path: "/" + o.Database, RawQuery: "sslmode=disable"}
	config, err := pgconn.ParseConfig(connURL.String())
	if err != nil {
		return nil, trace.BadParameter("target address %q is no address", address)
	}
	var netConn *activityConn
	config.ConnectTimeout = o.ConnectTimeout
	config.MaxProtocolMessageBodyLen = o.MaxAnswerBytes + messageOverheadBytes
	config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newActivityConn(conn), nil
	}
	config.AfterNetConnect = func(_ context.Context, _ *pgconn.Config, conn net.Conn) (net.Conn, error) {
		netConn, _ = conn.(*activityConn)
		return conn, nil
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &connection{pg: pg, netConn: netConn, maxAnswerBytes: o.MaxAnswerBytes}, nil
}

// isClean reports whether the connection may be reused for another request.
func (c *connection) isClean() bool {
	return !c.pg.IsClosed() && !c.pg.IsBusy() && c.pg.TxStatus() == 'I' && !c.dirty
}

// close closes the connection and waits until its socket is closed, for at most closeTimeout.
func (c *connection) close() {
	defer c.netConn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Close fails if the target does not accept the termination message. The socket is closed in any case.
	_ = c.pg.Close(ctx)
	select {
	case <-c.pg.CleanupDone():
	case <-ctx.Done():
	}
}

// probe makes a round trip without a statement.
func (c *connection) probe(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := c.run(ctx, segment{})
	return trace.Wrap(err)
}

// step is one statement of a segment.
type step struct {
	sql  string
	args [][]byte
}

// segment is a list of pipelined statements that ends with a Sync message. After an error the target skips the rest of
// the segment.
type segment []step

// stepResult is the result of one step.
type stepResult struct {
	rows     Rows
	tag      string
	tooLarge bool // the values exceeded the limit and were discarded
}

// segmentResult is the result of one segment. If err is set, the step after the last of steps failed.
type segmentResult struct {
	steps []stepResult
	err   *pgconn.PgError
}

// run sends the segments in one flush and reads their results. A non-nil error means that the connection is lost. The
// results that arrived before are returned with it, including that of a segment for which the target reported an error
// before the connection was lost.
func (c *connection) run(ctx context.Context, segments ...segment) ([]segmentResult, error) {
	c.awaitingReply.Store(true)
	defer c.awaitingReply.Store(false)
	pipeline := c.pg.StartPipeline(ctx)
	for _, steps := range segments {
		for _, s := range steps {
			pipeline.SendQueryParams(s.sql, s.args, nil, nil, nil)
		}
		pipeline.SendPipelineSync()
	}
	if err := pipeline.Flush(); err != nil {
		return nil, trace.Wrap(err)
	}
	var results []segmentResult
	for _, steps := range segments {
		result, err := c.readSegment(pipeline)
		if err == nil || result.err != nil {
			results = append(results, result)
		}
		if len(steps) == 1 && steps[0].sql == sqlDiscardAll && err == nil && result.err == nil {
			c.dirty = false
		}
		if err != nil {
			// The connection is lost, and the first error is more specific than that of Close.
			_ = pipeline.Close()
			return results, trace.Wrap(err)
		}
	}
	return results, trace.Wrap(pipeline.Close())
}

// readSegment reads results up to the next Sync response.
func (c *connection) readSegment(pipeline *pgconn.Pipeline) (segmentResult, error) {
	var result segmentResult
	for {
		item, err := pipeline.GetResults()
		if err == nil {
			switch item := item.(type) {
			case *pgconn.PipelineSync:
				return result, nil
			case *pgconn.ResultReader:
				var r stepResult
				if r, err = c.readResult(item); err == nil {
					result.steps = append(result.steps, r)
				}
			default:
				return result, trace.ConnectionProblem(nil, "the target ended the pipeline without an answer")
			}
		}
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) {
			if result.err == nil {
				result.err = pgErr
			}
		} else if err != nil {
			return result, trace.Wrap(err)
		}
	}
}

func (c *connection) readResult(reader *pgconn.ResultReader) (stepResult, error) {
	var r stepResult
	size := 0
	for reader.NextRow() {
		for _, value := range reader.Values() {
			size += len(value)
		}
		if size > c.maxAnswerBytes {
			r.tooLarge = true
			r.rows.Values = nil
			continue
		}
		r.rows.Values = append(r.rows.Values, copyRow(reader.Values()))
	}
	for _, field := range reader.FieldDescriptions() {
		r.rows.Columns = append(r.rows.Columns, field.Name)
	}
	tag, err := reader.Close()
	r.tag = tag.String()
	r.rows.Affected = tag.RowsAffected()
	return r, err
}

func copyRow(values [][]byte) []*string {
	row := make([]*string, len(values))
	for i, value := range values {
		if value != nil {
			text := string(value)
			row[i] = &text
		}
	}
	return row
}
