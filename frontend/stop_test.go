package frontend

import (
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
)

// newStoppingServer returns a server with the public database orders whose planned stop is at the given times from now.
func newStoppingServer(transactionsEnd, statementsEnd time.Duration) *Server {
	s := New("z", failingDialer{}, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	route := catalog.Route{Service: "stock", Consistency: catalog.Primary, StatementTimeout: time.Second, Public: true}
	s.SetCatalog(&catalog.Catalog{Version: 1, Routes: map[string]catalog.Route{"orders": route}}, 1)
	now := boottime.Now()
	s.Drain(StopTimes{TransactionsEnd: now.Add(transactionsEnd), StatementsEnd: now.Add(statementsEnd)})
	return s
}

// Guards against statements of open transactions that are accepted too late in a planned stop, so that the process ends while
// they run: they are answered at once, with the promise that nothing is kept.
func TestStopAbortsOpenTransactions(t *testing.T) {
	for _, kind := range []StatementKind{Read, Write, Commit} {
		s := newStoppingServer(0, time.Hour)
		sess := &session{server: s, log: s.log, database: "orders", state: sessionState{}}
		sess.txn = &txn{service: s.service("stock")}
		if a := sess.execute(boottime.Now(), Statement{Kind: kind}); a.Code != Aborted {
			t.Errorf("kind %d: %+v", kind, a)
		}
		want := TxnFailed
		if kind == Commit {
			want = Idle
		}
		if got := sess.txnState(); got != want {
			t.Errorf("kind %d: state %d, want %d", kind, got, want)
		}
	}
}

// Guards against statements that run longer than the process during a planned stop.
func TestStopBoundsStatements(t *testing.T) {
	s := newStoppingServer(time.Second, 2*time.Second)
	now := boottime.Now()
	if left := s.statementDeadline(now, time.Hour).Sub(now); left > 2*time.Second {
		t.Errorf("a statement with a long timeout may run for %s", left)
	}
	if left := s.statementDeadline(now, time.Second).Sub(now); left != time.Second {
		t.Errorf("a statement with a timeout of 1 s may run for %s", left)
	}
}

// idleConn is a caller's connection on which no statement arrives.
type idleConn struct {
	CallerConn
	accepted    chan struct{}
	interrupted chan struct{}
}

func newIdleConn() *idleConn {
	return &idleConn{accepted: make(chan struct{}, 1), interrupted: make(chan struct{}, 1)}
}

func (c *idleConn) Accept() error {
	c.accepted <- struct{}{}
	return nil
}

func (c *idleConn) ReadStatement() (Statement, error) {
	select {
	case <-c.interrupted:
		return Statement{}, ErrInterrupted
	case <-time.After(5 * time.Second):
		return Statement{}, io.ErrNoProgress
	}
}

func (c *idleConn) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default: // the last interrupt has not been noticed yet
	}
}

// Guards against a planned stop that overlooks a session whose caller has just been accepted, and against one that accepts
// sessions which it would have to cut off.
func TestStopKnowsAcceptedSessions(t *testing.T) {
	s, conn, done := newStoppingServer(time.Hour, time.Hour), newIdleConn(), make(chan Code, 1)
	go func() { done <- s.Serve(conn, "orders", "") }()
	<-conn.accepted
	if n := s.CloseSessions(); n != 1 {
		t.Errorf("%d sessions are open, want 1", n)
	}
	if code := <-done; code != Success {
		t.Errorf("the accepted session ended with %v", code)
	}
	if n := s.CloseSessions(); n != 0 {
		t.Errorf("%d sessions are open after the end of the session", n)
	}
	if code := s.Serve(newIdleConn(), "orders", ""); code != Busy {
		t.Errorf("a session after the close was answered with %v", code)
	}
}

// Guards against a planned stop that waits for callers which are idle inside a transaction until the process is killed.
func TestStopEndsIdleTransactions(t *testing.T) {
	s, conn, done := newStoppingServer(0, 100*time.Millisecond), newIdleConn(), make(chan struct{})
	sess := &session{server: s, log: s.log, database: "orders"}
	sess.txn = &txn{service: s.service("stock")}
	if !s.addSession(sess, conn) {
		t.Fatal("the session was refused")
	}
	go func() {
		defer close(done)
		sess.serve(conn)
		s.removeSession(sess)
	}()
	if n := s.CloseSessions(); n != 1 {
		t.Errorf("%d sessions are open, want 1", n)
	}
	select {
	case <-done:
		t.Error("the session ended before the end of statements")
	case <-time.After(50 * time.Millisecond):
	}
	for deadline := time.Now().Add(time.Second); s.CloseSessions() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the session is still open")
		}
	}
	<-done
}
