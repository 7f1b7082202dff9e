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
	// closeTimeout bounds a polite close, in which the target may be asked to cancel the running statement.
	closeTimeout = 200 * time.Millisecond
	// messageSlack is added to MaxAnswerBytes for the largest protocol message, which has headers beside the values.
	messageOverheadBytes = 64 << 10
)

// clock notes when bytes last passed a network connection and how many were sent.
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

// lastByte returns the time at which a byte was last sent or received.
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

// connection is an open connection to a target. One request uses it at a time.
type connection struct {
	pg             *pgconn.PgConn
	netConn        *activityConn
	maxAnswerBytes int
	awaitingReply  atomic.Bool // a request waits for its answer
	dirty          bool        // callers' statements ran since the session's state was last reset
	idleSince      time.Time   // guarded by the pool's mutex
}

// open opens a connection within the options' ConnectTimeout.
func openConnection(ctx context.Context, address, user string, o Options) (*connection, error) {
	connURL := url.URL{Scheme: "postgres", User: url.UserPassword(user, o.Password), Host: address, Path: "/" + o.Database, RawQuery: "sslmode=disable"}
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

// clean reports whether the connection may be used for another request.
func (c *connection) isClean() bool {
	return !c.pg.IsClosed() && !c.pg.IsBusy() && c.pg.TxStatus() == 'I' && !c.dirty
}

// close ends the connection and returns when its socket is closed, after closeTimeout at the latest.
func (c *connection) close() {
	defer c.netConn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Close fails when the target does not take the message; the socket is closed all the same.
	_ = c.pg.Close(ctx)
	select {
	case <-c.pg.CleanupDone():
	case <-ctx.Done():
	}
}

// probe makes one round trip without a statement.
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

// segment is a list of statements up to a synchronisation point. After an error the target skips the rest of it.
type segment []step

// stepResult is the answer to one step.
type stepResult struct {
	rows     Rows
	tag      string
	tooLarge bool // the values exceed the limit and were dropped
}

// segmentResult is the answer to one segment. The step after the last result failed if err is set.
type segmentResult struct {
	steps []stepResult
	err   *pgconn.PgError
}

// run sends segments in one flush and reads their answers. A non-nil error means that the connection is lost; the
// answers that came before are returned with it, and also that of a segment which the target refused before the end.
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
			// The connection is lost already; the first error tells more than that of Close.
			_ = pipeline.Close()
			return results, trace.Wrap(err)
		}
	}
	return results, trace.Wrap(pipeline.Close())
}

// readSegment reads answers up to the next synchronisation point.
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
