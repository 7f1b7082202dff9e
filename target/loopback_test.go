package target_test

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// TestLoopback guards against differences between connections in memory, which the other tests use, and TCP. Its
// timeouts are long, so that a busy machine changes nothing but the duration.
func TestLoopback(t *testing.T) {
	g, err := standin.StartGroup(standin.GroupOptions{Member: standin.Options{ConnectTime: -1}})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	primary := g.Members[0]
	options := target.Options{ConnectTimeout: time.Minute, ControlTimeout: time.Minute, ProbeTimeout: time.Minute, ProbeAge: time.Hour}
	pool := target.NewPool(primary.Address(), options)
	defer pool.Close()
	b := &bench{T: t, group: g, pool: pool}
	b.expect(b.write("1", put("a", "")), model.OutcomeDone, model.ReasonNone)
	primary.DropResponses(1)
	b.expect(b.write("2", appendTo("a", "x")), model.OutcomeUnknown, model.ReasonConnectionLost)
	repeated := b.write("2", appendTo("a", "x"))
	if !repeated.Duplicate {
		t.Errorf("repetition: %+v, want a duplicate", repeated)
	}
	replica := target.NewControlMember(g.Members[1].Address(), options)
	defer replica.Close()
	if _, err := replica.WaitPosition(t.Context(), repeated.Position); err != nil {
		t.Error(err)
	}
	replicaPool := target.NewPool(g.Members[1].Address(), options)
	defer replicaPool.Close()
	a := replicaPool.Read(t.Context(), readKey("a"), repeated.Position)
	b.expect(a, model.OutcomeDone, model.ReasonNone)
	if got := *a.Rows.Values[0][0]; got != "x" {
		t.Errorf("the replica has %q, want %q", got, "x")
	}

	// The pool finds the silent connection while the request waits, long before the test's time ends.
	primary.SilenceConnections()
	silent := b.write("3", appendTo("a", "y"))
	b.expect(silent, model.OutcomeUnknown, model.ReasonConnectionLost)
	b.expect(b.write("3", appendTo("a", "y")), model.OutcomeDone, model.ReasonNone)

	if err := primary.RefuseConnections(true); err != nil {
		t.Fatal(err)
	}
	member := target.NewControlMember(primary.Address(), options)
	if _, err := member.Status(t.Context()); !target.IsRefusedConnection(err) {
		t.Errorf("got %v, want a refused connection", err)
	}
}
