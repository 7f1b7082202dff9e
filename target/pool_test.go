package target_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// TestLimit guards against a pool that opens more connections than it may, or that forgets a waiting request.
func TestLimit(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 2}, func(b *bench) {
		answers := make(chan target.Answer)
		for range 6 {
			go func() { answers <- b.pool.Read(b.Context(), sleepFor("1"), model.Position{}) }()
		}
		synctest.Wait()
		time.Sleep(time.Second / 2)
		if s := b.pool.Stats(); s.Open != 2 || s.Waiting != 4 {
			b.Errorf("got %+v, want 2 open connections and 4 waiting requests", s)
		}
		refused := b.pool.Read(b.within(time.Millisecond), sleepFor("1"), model.Position{})
		b.expect(refused, model.OutcomeNotRun, model.ReasonDeadline)
		b.expectFailure(refused, target.FailureNotSent)
		for range 6 {
			b.expect(<-answers, model.OutcomeDone, model.ReasonNone)
		}
		if got := b.group.Members[0].ConnectionCount(); got != 2 {
			b.Errorf("%d connections at the target, want 2", got)
		}
		b.pool.SetLimit(1)
		time.Sleep(time.Second)
		if s := b.pool.Stats(); s.Open != 1 {
			b.Errorf("got %+v, want 1 open connection after the limit was lowered", s)
		}
	})
}

// TestTargetCap guards against requests that fail because the target refuses a connection that the pool's limit allows.
func TestTargetCap(t *testing.T) {
	capped := standin.GroupOptions{Size: 1, Member: standin.Options{MaxConnections: 2}}
	withBench(t, capped, target.Options{MaxConnections: 5}, func(b *bench) {
		answers := make(chan target.Answer)
		for range 6 {
			go func() { answers <- b.pool.Read(b.Context(), sleepFor("1"), model.Position{}) }()
		}
		for range 6 {
			b.expect(<-answers, model.OutcomeDone, model.ReasonNone)
		}
		other := b.newPool(b.group.Members[0], target.Options{})
		defer other.Close()
		a := other.Read(b.Context(), readKey("a"), model.Position{})
		b.expect(a, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		b.expectFailure(a, target.FailureNotSent)
		if a.Code != "53300" {
			b.Errorf("SQLSTATE %q, want 53300", a.Code)
		}
		if _, err := b.member(b.group.Members[0]).Status(b.Context()); err != nil {
			b.Errorf("a control connection got no place: %v", err)
		}
	})
}

// TestIdleConnections guards against idle connections that are kept for ever.
func TestIdleConnections(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{IdleTimeout: time.Minute, MaintenanceInterval: time.Second}, func(b *bench) {
		b.expect(b.read("a"), model.OutcomeDone, model.ReasonNone)
		time.Sleep(59 * time.Second)
		if s := b.pool.Stats(); s.Idle != 1 {
			b.Errorf("got %+v, want 1 idle connection", s)
		}
		time.Sleep(3 * time.Second)
		if s := b.pool.Stats(); s.Open != 0 {
			b.Errorf("got %+v, want no connection", s)
		}
	})
}

// TestSilentIdleConnections guards against requests that are lost on idle connections which went silent.
func TestSilentIdleConnections(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{}, func(b *bench) {
		answers := make(chan target.Answer)
		for range 3 {
			go func() { answers <- b.pool.Read(b.Context(), sleepFor("1"), model.Position{}) }()
		}
		for range 3 {
			b.expect(<-answers, model.OutcomeDone, model.ReasonNone)
		}
		time.Sleep(2 * time.Second)
		b.group.Members[0].SilenceConnections()
		b.expect(b.read("a"), model.OutcomeDone, model.ReasonNone)
		if s := b.pool.Stats(); s.Opened != 4 || s.Dropped != 3 {
			b.Errorf("got %+v, want the 3 silent connections dropped and 1 opened", s)
		}
	})
}

// TestSilentBusyConnection guards against a request that waits on a silent connection until its time ends, and against
// a slow statement that is taken for a silent connection.
func TestSilentBusyConnection(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{MaintenanceInterval: 200 * time.Millisecond}, func(b *bench) {
		b.expect(b.write("1", put("a", "")), model.OutcomeDone, model.ReasonNone)
		b.expect(b.pool.Read(b.Context(), sleepFor("5"), model.Position{}), model.OutcomeDone, model.ReasonNone)

		b.group.Members[0].SetStatementTime(time.Second)
		answer := make(chan target.Answer)
		go func() { answer <- b.write("2", appendTo("a", "x")) }()
		synctest.Wait()
		b.group.Members[0].SilenceConnections()
		b.expect(<-answer, model.OutcomeUnknown, model.ReasonConnectionLost)
		if s := b.pool.Stats(); s.Silent != 1 {
			b.Errorf("got %+v, want 1 silent connection", s)
		}
		b.group.Members[0].SetStatementTime(0)
		if a := b.write("2", appendTo("a", "x")); !a.Duplicate {
			b.Errorf("repetition: %+v, want a duplicate", a)
		}
		if got := b.value(b.group.Members[0], "a"); got != "x" {
			b.Errorf("value is %q, want %q", got, "x")
		}
	})
}

// TestRestartedTarget guards against a pool that keeps the connections of a target that was restarted, and against a
// refused connection that is reported as a lost request.
func TestRestartedTarget(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{}, func(b *bench) {
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		m := b.group.Members[0]
		m.Kill()
		time.Sleep(2 * time.Second)
		a := b.read("a")
		b.expect(a, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		b.expectFailure(a, target.FailureNotSent)
		if err := m.Restart(); err != nil {
			b.Fatal(err)
		}
		if a := b.read("a"); len(a.Rows.Values) != 1 {
			b.Errorf("the restarted target answered %+v, want its durable row", a)
		}
	})
}

// TestControlMember guards against a member that stays unusable after a silent connection, that calls a refused
// connection something else, or that does not tell a refused order from an unreachable member.
func TestControlMember(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		primary := b.group.Members[0]
		m := b.member(primary)
		status, err := m.Status(b.Context())
		if err != nil || !status.Leads() || status.Position != (model.Position{Term: 1, Offset: 1}) {
			b.Fatalf("got %+v, %v, want the primary of term 1", status, err)
		}
		primary.SilenceConnections()
		if _, err := m.Status(b.Context()); err == nil {
			b.Error("a silent connection answered")
		}
		if _, err := m.Status(b.Context()); err != nil {
			b.Errorf("the connection was not replaced: %v", err)
		}
		if _, err := m.Adopt(b.Context(), 1, "other"); !target.IsRefusedOrder(err) {
			b.Errorf("got %v, want a refused order", err)
		}
		m.Close()
		if err := primary.RefuseConnections(true); err != nil {
			b.Fatal(err)
		}
		if _, err := m.Status(b.Context()); !target.IsRefusedConnection(err) {
			b.Errorf("got %v, want a refused connection", err)
		}
	})
}

// TestWaitPosition guards against callers that wait for a position which is reached already, or are told too early.
func TestWaitPosition(t *testing.T) {
	lag := standin.GroupOptions{Member: standin.Options{ReplicationLag: 10 * time.Second}}
	withBench(t, lag, target.Options{}, func(b *bench) {
		replica := b.member(b.group.Members[1])
		defer replica.Close()
		time.Sleep(time.Minute)
		reached := make(chan model.Position)
		wait := func(p model.Position) {
			status, err := replica.WaitPosition(b.Context(), p)
			if err != nil || !status.Position.Covers(p) {
				b.Errorf("wait for %v returned %+v, %v", p, status, err)
			}
			reached <- p
		}
		first := b.write("1", put("a", "1")).Position
		time.Sleep(time.Second)
		second := b.write("2", put("a", "2")).Position
		go wait(second)
		synctest.Wait()
		go wait(first)
		if got := <-reached; got != first {
			b.Errorf("%v was reached first, want %v", got, first)
		}
		<-reached
		if _, err := replica.WaitPosition(b.within(time.Second), model.Position{Term: 1, Offset: 100}); err == nil {
			b.Error("a position that does not exist was reached")
		}
	})
}
