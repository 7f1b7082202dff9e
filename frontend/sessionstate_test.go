package frontend

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// recordingHolder records what a session holds.
type recordingHolder struct {
	held    int64
	refused int
}

func (h *recordingHolder) HoldState(n int64) { h.held += n }
func (h *recordingHolder) StateRefused()     { h.refused++ }

// Guards against session state without a bound, against a refusal that changes the state, and against bytes that are counted
// twice when an entry is replaced.
func TestSessionStateLimits(t *testing.T) {
	s, h := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry())), &recordingHolder{}
	s.SetStateLimits(StateLimits{Entries: 3, Bytes: 1000})
	sess := &session{server: s, log: s.log, holder: h,
		state: sessionState{variables: map[string]string{}, prepared: map[string]PreparedStatement{}}}
	run := func(kind StatementKind, name, args string) Code {
		return sess.execute(boottime.Now(), Statement{ID: "q", Kind: kind, Name: name, Args: args}).Code
	}
	for i, step := range []struct {
		kind       StatementKind
		name, args string
		want       Code
		held       int64
	}{
		{Set, "a", "12345", Success, 70},
		{Set, "a", "123", Success, 68},
		{PrepareRead, "s", "shape", Success, 138},
		{PrepareWrite, "s", "shape", Success, 138},
		{Set, "a", strings.Repeat("x", 1000), TooLarge, 138},
		{Set, "b", strings.Repeat("x", 797), Success, 1000},
		{Set, "c", "", TooLarge, 1000},
		{Set, "b", strings.Repeat("x", 798), TooLarge, 1000},
		{Set, "b", "", Success, 203},
		{Set, "c", "", TooLarge, 203}, // three entries
		{Deallocate, "s", "", Success, 133},
		{Deallocate, "s", "", Success, 133},
		{Set, "c", "", Success, 198},
	} {
		if code := run(step.kind, step.name, step.args); code != step.want || h.held != step.held {
			t.Errorf("step %d: %v with %d bytes held, want %v with %d", i, code, h.held, step.want, step.held)
		}
	}
	if h.refused != 4 || sess.state.variables["a"] != "123" {
		t.Errorf("%d refusals, variable %q", h.refused, sess.state.variables["a"])
	}
	if len(sess.state.variables) != 3 || len(sess.state.prepared) != 0 {
		t.Errorf("state %+v", sess.state)
	}
}

// Guards against a statement that runs with the old value after a refused SET inside a transaction.
func TestRefusedStateFailsTransaction(t *testing.T) {
	s := New("z", nil, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
	s.SetStateLimits(StateLimits{Entries: 1})
	sess := &session{server: s, log: s.log, txn: &txn{service: s.service("stock")},
		state: sessionState{variables: map[string]string{"a": "1"}, prepared: map[string]PreparedStatement{}}}
	if a := sess.execute(boottime.Now(), Statement{Kind: Set, Name: "b", Args: "2"}); a.Code != TooLarge {
		t.Errorf("the answer is %v", a.Code)
	}
	if state := sess.txnState(); state != TxnFailed {
		t.Errorf("the transaction is in state %d", state)
	}
}

// Guards against large values that stay in memory with the connections to targets, and against different values that count as the
// same there.
func TestValueOnConn(t *testing.T) {
	seen := map[string]string{}
	for _, value := range []string{"", "a", strings.Repeat("x", maxPlainValueBytes), strings.Repeat("x", maxPlainValueBytes+1),
		strings.Repeat("x", 1<<20), strings.Repeat("x", 1<<20-1) + "y"} {
		kept := valueOnConn(value)
		if other, known := seen[kept]; known || len(kept) > maxPlainValueBytes {
			t.Errorf("a value of %d bytes is kept as %d bytes, like one of %d bytes", len(value), len(kept), len(other))
		}
		seen[kept] = value
	}
}

// largeConn answers every statement with a response that is too large.
type largeConn struct{ runs *int }

func (c largeConn) Run(time.Time, []Command) ([]Reply, bool, error) {
	*c.runs++
	return nil, true, ErrResponseTooLarge
}

func (largeConn) Status(time.Time) (primacy.Status, error) {
	return primacy.Status{Primary: true, Term: 1}, nil
}
func (largeConn) Close() {}

type largeDialer struct{ runs *int }

func (d largeDialer) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	return largeConn(d), model.Position{Term: 1}, nil
}

// Guards against reads that run again and again on a target that answers without end, and against a write that is reported as not
// run because its response was too large.
func TestTooLargeResponses(t *testing.T) {
	for kind, want := range map[StatementKind]Code{Read: OtherError, Write: InDoubt} {
		runs := 0
		s := New("z", largeDialer{&runs}, zap.NewNop(), NewMetrics(prometheus.NewRegistry()))
		s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
		s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", DataCentre: "z", StartedAt: 1}}, maxConnections(4))
		s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 1, Open: true, Primary: "a", Term: 1, Born: 1})
		f := ForwardRequest{Route: catalog.Route{Service: "stock", Consistency: catalog.Primary, LatencyTarget: time.Second},
			Workspace: "w", Statement: Statement{ID: "q", Kind: kind, Args: "x"}, IsWrite: kind == Write, Remaining: 2 * time.Second}
		reply, err := s.RunForwarded(f)
		if err != nil || reply.Answer.Code != want || runs != 1 {
			t.Errorf("kind %d: answered with %s after %d runs, error %v", kind, fmt.Sprint(reply.Answer.Code), runs, err)
		}
	}
}
