package target_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	standin "github.com/waxwingspindle/waxwingspindle/standin/target"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// TestWriteAndRead guards against a write whose position does not cover it, and against a replica that serves a session
// which has seen more.
func TestWriteAndRead(t *testing.T) {
	lag := standin.GroupOptions{Member: standin.Options{ReplicationLag: time.Hour}}
	withBench(t, lag, target.Options{}, func(b *bench) {
		written := b.write("1", put("a", "1"))
		b.expect(written, model.OutcomeDone, model.ReasonNone)
		if got := b.group.Members[0].Status().Position; written.Position != got {
			b.Errorf("position of the write is %v, the primary's log ends at %v", written.Position, got)
		}
		replica := b.newPool(b.group.Members[1], target.Options{})
		defer replica.Close()
		behind := replica.Read(b.Context(), readKey("a"), written.Position)
		b.expect(behind, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		b.expectFailure(behind, target.FailureBehind)
		// An error on data that is too old may have its cause there.
		b.expectFailure(replica.Read(b.Context(), statement("SELECT value FROM missing"), written.Position), target.FailureBehind)

		time.Sleep(time.Hour)
		synctest.Wait()
		fresh := replica.Read(b.Context(), readKey("a"), written.Position)
		b.expect(fresh, model.OutcomeDone, model.ReasonNone)
		if !fresh.Position.Covers(written.Position) || *fresh.Rows.Values[0][0] != "1" {
			b.Errorf("replica answered %+v after the write at %v", fresh, written.Position)
		}
	})
}

// TestSessionAfterFailover guards against a session that no target serves any more because it has seen writes which
// were never acknowledged and are lost in a failover.
func TestSessionAfterFailover(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		old, next := b.group.Members[0], b.group.Members[1]
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Second)
		for _, m := range b.group.Members[1:] {
			old.Partition(m.ID(), standin.Both)
		}
		for i := range 5 {
			b.expect(b.write(fmt.Sprint("lost ", i), appendTo("a", "x")), model.OutcomeDone, model.ReasonNone)
		}
		mark := b.read("a").Position
		b.promote(next, 2)
		primary, replica := b.newPool(next, target.Options{}), b.newPool(b.group.Members[2], target.Options{})
		defer primary.Close()
		defer replica.Close()
		a := primary.Read(b.Context(), readKey("a"), mark)
		b.expect(a, model.OutcomeDone, model.ReasonNone)
		if mark.Later(a.Position) != a.Position {
			b.Errorf("the mark %v is not replaced by %v", mark, a.Position)
		}
		b.expectFailure(replica.Read(b.Context(), readKey("a"), mark), target.FailureBehind)
		b.expectFailure(primary.Read(b.Context(), readKey("a"), model.Position{Term: 3, Offset: 1}), target.FailureBehind)
	})
}

// TestRefusals guards against refusals that have an effect or are reported as something else.
func TestRefusals(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		replica := b.newPool(b.group.Members[1], target.Options{})
		defer replica.Close()
		cases := []struct {
			name   string
			answer target.Answer
			reason model.Reason
			code   string
		}{
			{"several statements", b.write("2", statement("DELETE FROM kv WHERE key = 'a'; SELECT 1")), model.ReasonStatementRefused, "42601"},
			{"several statements in a read", b.pool.Read(b.Context(), statement("SELECT 1; DELETE FROM kv WHERE key = 'a'"), model.Position{}), model.ReasonStatementRefused, "42601"},
			{"write in a read", b.pool.Read(b.Context(), put("a", "2"), model.Position{}), model.ReasonNoPrimary, "25006"},
			{"existing key", b.write("3", statement("INSERT INTO kv (key, value) VALUES ('a', '2')")), model.ReasonStatementRefused, "23505"},
			{"write on a replica", replica.Write(b.Context(), request("4"), put("a", "2")), model.ReasonNoPrimary, "25006"},
			{"commit as a statement", b.write("5", statement("/* /* x */ */ -- y\n ;Commit")), model.ReasonStatementRefused, ""},
		}
		for _, c := range cases {
			if a := c.answer; a.Result.Outcome != model.OutcomeNotRun || a.Failure != target.FailureRefused || a.Result.Reason != c.reason || a.Code != c.code {
				b.Errorf("%s: got %+v, want reason %q and SQLSTATE %q", c.name, a, c.reason, c.code)
			}
		}
		if got := b.value(b.group.Members[0], "a"); got != "1" {
			b.Errorf("a refused statement changed the value to %q", got)
		}
		// A refused request leaves no ledger entry, so its id is free.
		b.expect(b.write("3", put("a", "3")), model.OutcomeDone, model.ReasonNone)
	})
}

// TestLostAnswer guards against a write that runs twice because its answer was lost after the commit, also when it is
// repeated after a failover.
func TestLostAnswer(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		primary, next := b.group.Members[0], b.group.Members[1]
		b.expect(b.write("1", put("a", "")), model.OutcomeDone, model.ReasonNone)
		primary.DropResponses(1)
		first := b.write("2", appendTo("a", "x"))
		b.expect(first, model.OutcomeUnknown, model.ReasonConnectionLost)
		b.expectFailure(first, target.FailureLost)

		repeated := b.write("2", appendTo("a", "x"))
		b.expect(repeated, model.OutcomeDone, model.ReasonNone)
		if !repeated.Duplicate || repeated.Position.Offset == 0 {
			b.Errorf("repetition on the same primary: %+v, want a duplicate with a position", repeated)
		}
		b.expect(b.write("2", appendTo("a", "other")), model.OutcomeNotRun, model.ReasonRequestIDConflict)
		other := target.Statement{SQL: appendTo("a", "x").SQL, Args: []string{"a", "x"}, NullArgs: []bool{false, true}}
		b.expect(b.write("2", other), model.OutcomeNotRun, model.ReasonRequestIDConflict)

		if _, err := b.member(next).WaitPosition(b.Context(), repeated.Position); err != nil {
			b.Fatal(err)
		}
		b.promote(next, 2)
		pool := b.newPool(next, target.Options{})
		defer pool.Close()
		if a := pool.Write(b.Context(), request("2"), appendTo("a", "x")); !a.Duplicate || a.Position.Term != 2 {
			b.Errorf("repetition on the next primary: %+v, want a duplicate at a position of term 2", a)
		}
		// Another workspace may use the same request id.
		b.expect(pool.Write(b.Context(), target.Request{Workspace: "south", ID: "2"}, appendTo("a", "y")), model.OutcomeDone, model.ReasonNone)
		if got := b.value(next, "a"); got != "xy" {
			b.Errorf("value is %q, want %q", got, "xy")
		}
	})
}

// TestFencedPrimary guards against an acknowledged write on a primary that has been replaced, and against a write that
// is acknowledged at a position of another term than its own.
func TestFencedPrimary(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		old, next := b.group.Members[0], b.group.Members[1]
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		old.SetStatementTime(time.Second)
		answer := make(chan target.Answer)
		go func() { answer <- b.write("2", put("a", "2")) }()
		synctest.Wait()
		b.promote(next, 2)
		refused := <-answer
		b.expect(refused, model.OutcomeNotRun, model.ReasonNoPrimary)
		b.expectFailure(refused, target.FailureRefused)
		b.expect(b.write("3", put("a", "3")), model.OutcomeNotRun, model.ReasonNoPrimary)

		tx, a := b.newPool(next, target.Options{}).Begin(b.Context(), false)
		b.expect(a, model.OutcomeDone, model.ReasonNone)
		b.expect(tx.Execute(b.Context(), put("a", "4")), model.OutcomeDone, model.ReasonNone)
		b.promote(old, 3)
		b.expect(tx.Commit(b.Context()), model.OutcomeNotRun, model.ReasonNoPrimary)
		if got := b.value(next, "a"); got != "1" {
			b.Errorf("a fenced primary changed the value to %q", got)
		}
	})
}

// TestTermChangedDuringCommit guards against a write that is acknowledged at a position of a later term, whose log may
// not hold it.
func TestTermChangedDuringCommit(t *testing.T) {
	withBench(t, standin.GroupOptions{}, target.Options{}, func(b *bench) {
		old, next := b.group.Members[0], b.group.Members[1]
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Second)
		old.Partition(next.ID(), standin.Both)
		old.Partition(b.group.Members[2].ID(), standin.Both)
		// The answer to the commit is held back, so that the target samples its position after the change of term.
		old.Partition(standin.Clients, standin.Outbound)
		answer := make(chan target.Answer)
		go func() { answer <- b.write("2", put("a", "2")) }()
		synctest.Wait()
		for _, m := range b.group.Members {
			if _, err := m.AdoptTerm(2, "home"); err != nil {
				b.Fatal(err)
			}
		}
		if _, err := next.Promote(2, "home"); err != nil {
			b.Fatal(err)
		}
		if _, err := old.FollowPrimary(2, next.Address()); err != nil {
			b.Fatal(err)
		}
		old.Heal()
		b.expect(<-answer, model.OutcomeUnknown, model.ReasonConnectionLost)
		time.Sleep(time.Second)
		if got := b.value(old, "a"); got != "1" {
			b.Errorf("value is %q, want %q: the next primary never had the write", got, "1")
		}
		committed := slices.ContainsFunc(b.group.History.Events(0), func(e standin.Event) bool {
			return e.Kind == standin.EventCommit && e.RequestID == "2"
		})
		if !committed {
			b.Error("the write was not committed, so the test did not produce its failure")
		}
	})
}

// TestLateAnswer guards against an answer that arrives after its request has timed out and is given to the next one.
func TestLateAnswer(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 1}, func(b *bench) {
		b.expect(b.write("1", put("a", "of a")), model.OutcomeDone, model.ReasonNone)
		b.expect(b.write("2", put("b", "of b")), model.OutcomeDone, model.ReasonNone)
		m := b.group.Members[0]
		m.Partition(standin.Clients, standin.Outbound)
		late := b.pool.Read(b.within(time.Second), readKey("a"), model.Position{})
		b.expect(late, model.OutcomeUnknown, model.ReasonDeadline)
		b.expectFailure(late, target.FailureLost)
		m.Heal()
		a := b.read("b")
		b.expect(a, model.OutcomeDone, model.ReasonNone)
		if got := *a.Rows.Values[0][0]; got != "of b" {
			b.Errorf("the answer of another request was given: %q", got)
		}
		if s := b.pool.Stats(); s.Opened != 2 || s.Dropped != 1 {
			b.Errorf("the connection that timed out was kept: %+v", s)
		}
	})
}

// TestAnswerTooLarge guards against answers that are cut off, and against a refusal that does not say what became of a
// write.
func TestAnswerTooLarge(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{MaxAnswerBytes: 100}, func(b *bench) {
		long := strings.Repeat("x", 101)
		huge := strings.Repeat("x", 100<<10) // larger than the limit of one protocol message
		b.expect(b.write("1", put("long", long)), model.OutcomeDone, model.ReasonNone)
		b.expect(b.write("2", put("huge", huge)), model.OutcomeDone, model.ReasonNone)
		b.expect(b.read("long"), model.OutcomeNotRun, model.ReasonAnswerTooLarge)
		b.expect(b.read("huge"), model.OutcomeNotRun, model.ReasonAnswerTooLarge)

		insert := "WITH x AS (INSERT INTO kv (key, value) VALUES ($1, $2) RETURNING key, value) SELECT * FROM x"
		a := b.write("3", statement(insert, "c", long))
		b.expect(a, model.OutcomeDone, model.ReasonAnswerTooLarge)
		if len(a.Rows.Values) != 0 {
			b.Errorf("%d rows of an incomplete answer", len(a.Rows.Values))
		}
		b.expect(b.write("4", statement(insert, "d", huge)), model.OutcomeUnknown, model.ReasonAnswerTooLarge)
		if a := b.write("4", statement(insert, "d", huge)); !a.Duplicate {
			b.Errorf("repetition: %+v, want a duplicate", a)
		}

		tx, _ := b.pool.Begin(b.Context(), false)
		b.expect(tx.Execute(b.Context(), put("e", "1")), model.OutcomeDone, model.ReasonNone)
		b.expect(tx.Execute(b.Context(), readKey("long")), model.OutcomeNotRun, model.ReasonAnswerTooLarge)
		b.expect(tx.Commit(b.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
		if a := b.read("e"); len(a.Rows.Values) != 0 {
			b.Error("the transaction with the refused answer was committed")
		}
	})
}

// TestSessionState guards against a setting of one request that is in force for the next one.
func TestSessionState(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 1}, func(b *bench) {
		setting := statement("SET search_path = 'north'")
		show := statement("SHOW search_path")
		check := func(after string) {
			b.Helper()
			a := b.pool.Read(b.Context(), show, model.Position{})
			b.expect(a, model.OutcomeDone, model.ReasonNone)
			if got := *a.Rows.Values[0][0]; got != "" {
				b.Errorf("after %s: the setting is still %q", after, got)
			}
		}
		b.expect(b.pool.Read(b.Context(), setting, model.Position{}), model.OutcomeDone, model.ReasonNone)
		check("a read")
		b.expect(b.write("1", setting), model.OutcomeDone, model.ReasonNone)
		check("a write")
		ends := map[string]func(target.Transaction) target.Answer{
			"a commit":   func(tx target.Transaction) target.Answer { return tx.Commit(b.Context()) },
			"a rollback": func(tx target.Transaction) target.Answer { return tx.Rollback(b.Context()) },
			"an error": func(tx target.Transaction) target.Answer {
				b.expect(tx.Execute(b.Context(), statement("nonsense")), model.OutcomeNotRun, model.ReasonStatementRefused)
				b.expect(tx.Commit(b.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
				return target.Answer{Result: model.Done()}
			},
		}
		for name, end := range ends {
			tx, a := b.pool.Begin(b.Context(), false)
			b.expect(a, model.OutcomeDone, model.ReasonNone)
			b.expect(tx.Execute(b.Context(), setting), model.OutcomeDone, model.ReasonNone)
			b.expect(end(tx), model.OutcomeDone, model.ReasonNone)
			check(name)
		}
		if s := b.pool.Stats(); s.Opened != 1 {
			b.Errorf("%d connections were opened, so the test did not see a reset one", s.Opened)
		}
	})
}

// TestTransaction guards against transactions that mix, that commit a part, or that report a commit which was lost as
// not run.
func TestTransaction(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{}, func(b *bench) {
		primary := b.group.Members[0]
		b.expect(b.write("1", put("a", "1")), model.OutcomeDone, model.ReasonNone)
		tx, _ := b.pool.Begin(b.Context(), false)
		b.expect(tx.Execute(b.Context(), appendTo("a", "2")), model.OutcomeDone, model.ReasonNone)
		if got := b.value(primary, "a"); got != "1" {
			b.Errorf("another request sees the uncommitted value %q", got)
		}
		b.expect(tx.Execute(b.Context(), statement("COMMIT")), model.OutcomeNotRun, model.ReasonStatementRefused)
		running := make(chan target.Answer)
		go func() { running <- tx.Execute(b.Context(), sleepFor("1")) }()
		synctest.Wait()
		b.expect(tx.Commit(b.Context()), model.OutcomeNotRun, model.ReasonTransactionBusy)
		b.expect(<-running, model.OutcomeDone, model.ReasonNone)
		committed := tx.Commit(b.Context())
		b.expect(committed, model.OutcomeDone, model.ReasonNone)
		if committed.Position != primary.Status().Position {
			b.Errorf("committed at %v, the log ends at %v", committed.Position, primary.Status().Position)
		}
		b.expect(tx.Execute(b.Context(), readKey("a")), model.OutcomeNotRun, model.ReasonTransactionLost)

		tx, _ = b.pool.Begin(b.Context(), false)
		b.expect(tx.Execute(b.Context(), appendTo("a", "3")), model.OutcomeDone, model.ReasonNone)
		primary.DropResponses(1)
		b.expect(tx.Commit(b.Context()), model.OutcomeUnknown, model.ReasonConnectionLost)

		tx, _ = b.pool.Begin(b.Context(), false)
		b.expect(tx.Execute(b.Context(), appendTo("a", "4")), model.OutcomeDone, model.ReasonNone)
		timedOut := tx.Execute(b.within(time.Second), sleepFor("5"))
		b.expect(timedOut, model.OutcomeNotRun, model.ReasonTransactionLost)
		b.expect(tx.Commit(b.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
		if got := b.value(primary, "a"); got != "123" {
			b.Errorf("value is %q, want %q", got, "123")
		}

		readOnly, _ := b.pool.Begin(b.Context(), true)
		b.expect(readOnly.Execute(b.Context(), appendTo("a", "5")), model.OutcomeNotRun, model.ReasonNoPrimary)
		b.expect(readOnly.Rollback(b.Context()), model.OutcomeDone, model.ReasonNone)
	})
}

// TestCleanLedger guards against ledger entries that are forgotten too early or never.
func TestCleanLedger(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{}, func(b *bench) {
		b.expect(b.write("old", put("a", "")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(24 * time.Hour)
		b.expect(b.write("new", appendTo("a", "x")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Hour)
		a := b.pool.CleanLedger(b.Context(), 24*time.Hour, 10)
		b.expect(a, model.OutcomeDone, model.ReasonNone)
		if a.Rows.Affected != 1 {
			b.Errorf("%d entries were deleted, want 1", a.Rows.Affected)
		}
		if a := b.write("new", appendTo("a", "x")); !a.Duplicate {
			b.Errorf("the entry of an hour ago was deleted: %+v", a)
		}
	})
}

// TestReceivedBytes guards against a stand-in that cannot prove which bytes a target has seen, as the check for
// callers' keys needs.
func TestReceivedBytes(t *testing.T) {
	withBench(t, standin.GroupOptions{Size: 1}, target.Options{}, func(b *bench) {
		b.expect(b.write("request-17", put("a", "payload-17")), model.OutcomeDone, model.ReasonNone)
		for _, seen := range []string{"request-17", "payload-17", "north"} {
			if !b.group.History.HasReceived([]byte(seen)) {
				b.Errorf("%q was sent and not recorded", seen)
			}
		}
		if b.group.History.HasReceived([]byte("wsk_")) {
			b.Error("a caller's key reached the target")
		}
	})
}
