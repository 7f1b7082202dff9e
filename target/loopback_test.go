package target_test

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// TestLoopback guards against differences between the in-memory connections of the other tests and TCP connections. The
// long timeouts prevent failures on a busy machine.
func TestLoopback(t *testing.T) {
	g, err := standin.StartGroup(standin.GroupOptions{Member: standin.Options{ConnectTime: -1}})
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	primary := g.Members[0]
	options := target.Options{ConnectTimeout: time.Minute, ControlTimeout: time.Minute,
		ProbeTimeout: time.Minute, ProbeIdleTime: time.Hour}
	pool := target.NewPool(primary.Address(), options)
	defer pool.Close()
	f := &fixture{T: t, group: g, pool: pool}
	f.expect(f.write("1", upsert("a", "")), model.OutcomeDone, model.ReasonNone)
	primary.DropResponses(1)
	f.expect(f.write("2", appendTo("a", "x")), model.OutcomeUnknown, model.ReasonConnectionLost)
	repeated := f.write("2", appendTo("a", "x"))
	if !repeated.Duplicate {
		t.Errorf("retry: %+v, want a duplicate", repeated)
	}
	replica := target.NewMemberClient(g.Members[1].Address(), options)
	defer replica.Close()
	if _, err := replica.WaitPosition(t.Context(), repeated.Position); err != nil {
		t.Error(err)
	}
	replicaPool := target.NewPool(g.Members[1].Address(), options)
	defer replicaPool.Close()
	response := replicaPool.Read(t.Context(), selectKey("a"), repeated.Position)
	f.expect(response, model.OutcomeDone, model.ReasonNone)
	if got := *response.Rows.Values[0][0]; got != "x" {
		t.Errorf("the replica has %q, want %q", got, "x")
	}

	// The pool detects the silent connection while the request waits, long before the test times out.
	primary.SilenceConnections()
	silent := f.write("3", appendTo("a", "y"))
	f.expect(silent, model.OutcomeUnknown, model.ReasonConnectionLost)
	f.expect(f.write("3", appendTo("a", "y")), model.OutcomeDone, model.ReasonNone)

	if err := primary.RefuseConnections(true); err != nil {
		t.Fatal(err)
	}
	member := target.NewMemberClient(primary.Address(), options)
	if _, err := member.Status(t.Context()); !target.IsConnectionRefused(err) {
		t.Errorf("got %v, want a refused connection", err)
	}
}
