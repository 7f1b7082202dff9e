package target_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// TestConnectionLimit guards against a pool that exceeds its connection limit or never serves a waiting request.
func TestConnectionLimit(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 2}, func(f *fixture) {
		responses := make(chan target.Response)
		for range 6 {
			go func() { responses <- f.pool.Read(f.Context(), sleepFor("1"), model.Position{}) }()
		}
		synctest.Wait()
		time.Sleep(time.Second / 2)
		if s := f.pool.Stats(); s.Open != 2 || s.Waiting != 4 {
			f.Errorf("got %+v, want 2 open connections and 4 waiting requests", s)
		}
		refused := f.pool.Read(f.timeoutContext(time.Millisecond), sleepFor("1"), model.Position{})
		f.expect(refused, model.OutcomeNotRun, model.ReasonDeadlineExceeded)
		f.expectFailure(refused, target.FailureNotSent)
		for range 6 {
			f.expect(<-responses, model.OutcomeDone, model.ReasonNone)
		}
		if got := f.group.Members[0].ConnectionCount(); got != 2 {
			f.Errorf("%d connections at the target, want 2", got)
		}
		f.pool.SetLimit(1)
		time.Sleep(time.Second)
		if s := f.pool.Stats(); s.Open != 1 {
			f.Errorf("got %+v, want 1 open connection after the limit was lowered", s)
		}
	})
}

// TestTargetConnectionLimit guards against requests that fail because the target's connection limit is lower than that of
// the pool.
func TestTargetConnectionLimit(t *testing.T) {
	capped := standin.GroupOptions{Size: 1, Member: standin.Options{MaxConnections: 2}}
	withFixture(t, capped, target.Options{MaxConnections: 5}, func(f *fixture) {
		responses := make(chan target.Response)
		for range 6 {
			go func() { responses <- f.pool.Read(f.Context(), sleepFor("1"), model.Position{}) }()
		}
		for range 6 {
			f.expect(<-responses, model.OutcomeDone, model.ReasonNone)
		}
		other := f.newPool(f.group.Members[0], target.Options{})
		defer other.Close()
		response := other.Read(f.Context(), selectKey("a"), model.Position{})
		f.expect(response, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		f.expectFailure(response, target.FailureNotSent)
		if response.Code != "53300" {
			f.Errorf("SQLSTATE %q, want 53300", response.Code)
		}
		if _, err := f.member(f.group.Members[0]).Status(f.Context()); err != nil {
			f.Errorf("the control connection failed: %v", err)
		}
	})
}

// TestIdleConnections guards against idle connections that are never closed.
func TestIdleConnections(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{IdleTimeout: time.Minute,
		MaintenanceInterval: time.Second}, func(f *fixture) {
		f.expect(f.read("a"), model.OutcomeDone, model.ReasonNone)
		time.Sleep(59 * time.Second)
		if s := f.pool.Stats(); s.Idle != 1 {
			f.Errorf("got %+v, want 1 idle connection", s)
		}
		time.Sleep(3 * time.Second)
		if s := f.pool.Stats(); s.Open != 0 {
			f.Errorf("got %+v, want no connection", s)
		}
	})
}

// TestSilentIdleConnections guards against requests that are lost because an idle connection became silent.
func TestSilentIdleConnections(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{}, func(f *fixture) {
		responses := make(chan target.Response)
		for range 3 {
			go func() { responses <- f.pool.Read(f.Context(), sleepFor("1"), model.Position{}) }()
		}
		for range 3 {
			f.expect(<-responses, model.OutcomeDone, model.ReasonNone)
		}
		time.Sleep(2 * time.Second)
		f.group.Members[0].SilenceConnections()
		f.expect(f.read("a"), model.OutcomeDone, model.ReasonNone)
		if s := f.pool.Stats(); s.Opened != 4 || s.Discarded != 3 {
			f.Errorf("got %+v, want the 3 silent connections dropped and 1 opened", s)
		}
	})
}

// TestSilentBusyConnection guards against a request that waits on a silent connection until its deadline, and against a
// slow statement whose connection is treated as silent.
func TestSilentBusyConnection(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{
		MaintenanceInterval: 200 * time.Millisecond}, func(f *fixture) {
		f.expect(f.write("1", upsert("a", "")), model.OutcomeDone, model.ReasonNone)
		f.expect(f.pool.Read(f.Context(), sleepFor("5"), model.Position{}), model.OutcomeDone, model.ReasonNone)

		f.group.Members[0].SetStatementTime(time.Second)
		writeDone := make(chan target.Response)
		go func() { writeDone <- f.write("2", appendTo("a", "x")) }()
		synctest.Wait()
		f.group.Members[0].SilenceConnections()
		f.expect(<-writeDone, model.OutcomeUnknown, model.ReasonConnectionLost)
		if s := f.pool.Stats(); s.SilentClosed != 1 {
			f.Errorf("got %+v, want 1 silent connection", s)
		}
		f.group.Members[0].SetStatementTime(0)
		if a := f.write("2", appendTo("a", "x")); !a.Duplicate {
			f.Errorf("retry: %+v, want a duplicate", a)
		}
		if got := f.readValue(f.group.Members[0], "a"); got != "x" {
			f.Errorf("value is %q, want %q", got, "x")
		}
	})
}

// TestRestartedTarget guards against a pool that reuses connections from before a restart of the target, and against a
// refused connection that is reported as a lost request.
func TestRestartedTarget(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{}, func(f *fixture) {
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		m := f.group.Members[0]
		m.Kill()
		time.Sleep(2 * time.Second)
		response := f.read("a")
		f.expect(response, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		f.expectFailure(response, target.FailureNotSent)
		if err := m.Restart(); err != nil {
			f.Fatal(err)
		}
		if a := f.read("a"); len(a.Rows.Values) != 1 {
			f.Errorf("the restarted target returned %+v, want its durable row", a)
		}
	})
}

// TestMemberClient guards against a client that stays unusable after a silent connection, and against errors that are not
// recognized as a refused connection or a refused command.
func TestMemberClient(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		primary := f.group.Members[0]
		m := f.member(primary)
		status, err := m.Status(f.Context())
		if err != nil || !status.IsPrimary() || status.Position != (model.Position{Term: 1, Offset: 1}) {
			f.Fatalf("got %+v, %v, want the primary of term 1", status, err)
		}
		primary.SilenceConnections()
		if _, err := m.Status(f.Context()); err == nil {
			f.Error("a call on a silent connection succeeded")
		}
		if _, err := m.Status(f.Context()); err != nil {
			f.Errorf("the connection was not replaced: %v", err)
		}
		if _, err := m.Adopt(f.Context(), 1, "other"); !target.IsCommandRefused(err) {
			f.Errorf("got %v, want a refused command", err)
		}
		m.Close()
		if err := primary.RefuseConnections(true); err != nil {
			f.Fatal(err)
		}
		if _, err := m.Status(f.Context()); !target.IsConnectionRefused(err) {
			f.Errorf("got %v, want a refused connection", err)
		}
	})
}

// TestWaitPosition guards against a wait that continues after its position is reached, or returns before.
func TestWaitPosition(t *testing.T) {
	lag := standin.GroupOptions{Member: standin.Options{ReplicationLag: 10 * time.Second}}
	withFixture(t, lag, target.Options{}, func(f *fixture) {
		replica := f.member(f.group.Members[1])
		defer replica.Close()
		time.Sleep(time.Minute)
		reached := make(chan model.Position)
		wait := func(p model.Position) {
			status, err := replica.WaitPosition(f.Context(), p)
			if err != nil || !status.Position.Covers(p) {
				f.Errorf("waiting for %v returned %+v, %v", p, status, err)
			}
			reached <- p
		}
		first := f.write("1", upsert("a", "1")).Position
		time.Sleep(time.Second)
		second := f.write("2", upsert("a", "2")).Position
		go wait(second)
		synctest.Wait()
		go wait(first)
		if got := <-reached; got != first {
			f.Errorf("%v was reached first, want %v", got, first)
		}
		<-reached
		if _, err := replica.WaitPosition(f.timeoutContext(time.Second), model.Position{Term: 1, Offset: 100}); err == nil {
			f.Error("waiting for a position beyond the end of the log succeeded")
		}
	})
}
