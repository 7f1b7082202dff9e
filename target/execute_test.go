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
// with a later high-water mark.
func TestWriteAndRead(t *testing.T) {
	lag := standin.GroupOptions{Member: standin.Options{ReplicationLag: time.Hour}}
	withFixture(t, lag, target.Options{}, func(f *fixture) {
		written := f.write("1", upsert("a", "1"))
		f.expect(written, model.OutcomeDone, model.ReasonNone)
		if got := f.group.Members[0].Status().Position; written.Position != got {
			f.Errorf("position of the write is %v, the primary's log ends at %v", written.Position, got)
		}
		replica := f.newPool(f.group.Members[1], target.Options{})
		defer replica.Close()
		behind := replica.Read(f.Context(), selectKey("a"), written.Position)
		f.expect(behind, model.OutcomeNotRun, model.ReasonTargetUnavailable)
		f.expectFailure(behind, target.FailureBehind)
		// Data that is too old may be the cause of a statement error.
		f.expectFailure(replica.Read(f.Context(), statement("SELECT value FROM missing"), written.Position), target.FailureBehind)

		time.Sleep(time.Hour)
		synctest.Wait()
		fresh := replica.Read(f.Context(), selectKey("a"), written.Position)
		f.expect(fresh, model.OutcomeDone, model.ReasonNone)
		if !fresh.Position.Covers(written.Position) || *fresh.Rows.Values[0][0] != "1" {
			f.Errorf("replica returned %+v after the write at %v", fresh, written.Position)
		}
	})
}

// TestSessionAfterFailover guards against a session that no target can serve any more because it read unacknowledged
// writes that were lost in a failover.
func TestSessionAfterFailover(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		old, next := f.group.Members[0], f.group.Members[1]
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Second)
		for _, m := range f.group.Members[1:] {
			old.Partition(m.ID(), standin.Both)
		}
		for i := range 5 {
			f.expect(f.write(fmt.Sprint("lost ", i), appendTo("a", "x")), model.OutcomeDone, model.ReasonNone)
		}
		mark := f.read("a").Position
		f.promote(next, 2)
		primary, replica := f.newPool(next, target.Options{}), f.newPool(f.group.Members[2], target.Options{})
		defer primary.Close()
		defer replica.Close()
		response := primary.Read(f.Context(), selectKey("a"), mark)
		f.expect(response, model.OutcomeDone, model.ReasonNone)
		if mark.Max(response.Position) != response.Position {
			f.Errorf("the high-water mark %v is not replaced by %v", mark, response.Position)
		}
		f.expectFailure(replica.Read(f.Context(), selectKey("a"), mark), target.FailureBehind)
		f.expectFailure(primary.Read(f.Context(), selectKey("a"), model.Position{Term: 3, Offset: 1}), target.FailureBehind)
	})
}

// TestRefusals guards against refused requests that have an effect or are reported with a wrong reason.
func TestRefusals(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		replica := f.newPool(f.group.Members[1], target.Options{})
		defer replica.Close()
		cases := []struct {
			name     string
			response target.Response
			reason   model.Reason
			code     string
		}{
			{"several statements", f.write("2", statement("DELETE FROM kv WHERE key = 'a'; SELECT 1")),
				model.ReasonStatementRefused, "42601"},
			{"several statements in a read", f.pool.Read(f.Context(),
				statement("SELECT 1; DELETE FROM kv WHERE key = 'a'"), model.Position{}),
				model.ReasonStatementRefused, "42601"},
			{"write in a read", f.pool.Read(f.Context(), upsert("a", "2"), model.Position{}), model.ReasonNoPrimary, "25006"},
			{"existing key", f.write("3", statement("INSERT INTO kv (key, value) VALUES ('a', '2')")),
				model.ReasonStatementRefused, "23505"},
			{"write on a replica", replica.Write(f.Context(), request("4"), upsert("a", "2")), model.ReasonNoPrimary, "25006"},
			{"commit as a statement", f.write("5", statement("/* /* x */ */ -- y\n ;Commit")), model.ReasonStatementRefused, ""},
		}
		for _, c := range cases {
			if response := c.response; response.Result.Outcome != model.OutcomeNotRun || response.Failure != target.FailureRefused ||
				response.Result.Reason != c.reason || response.Code != c.code {
				f.Errorf("%s: got %+v, want reason %q and SQLSTATE %q", c.name, response, c.reason, c.code)
			}
		}
		if got := f.readValue(f.group.Members[0], "a"); got != "1" {
			f.Errorf("a refused statement changed the value to %q", got)
		}
		// A refused request leaves no ledger entry, so its ID can be reused.
		f.expect(f.write("3", upsert("a", "3")), model.OutcomeDone, model.ReasonNone)
	})
}

// TestLostAnswer guards against a write that runs twice because the reply to its commit was lost, including a retry after
// a failover.
func TestLostAnswer(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		primary, next := f.group.Members[0], f.group.Members[1]
		f.expect(f.write("1", upsert("a", "")), model.OutcomeDone, model.ReasonNone)
		primary.DropResponses(1)
		first := f.write("2", appendTo("a", "x"))
		f.expect(first, model.OutcomeUnknown, model.ReasonConnectionLost)
		f.expectFailure(first, target.FailureLost)

		repeated := f.write("2", appendTo("a", "x"))
		f.expect(repeated, model.OutcomeDone, model.ReasonNone)
		if !repeated.Duplicate || repeated.Position.Offset == 0 {
			f.Errorf("retry on the same primary: %+v, want a duplicate with a position", repeated)
		}
		f.expect(f.write("2", appendTo("a", "other")), model.OutcomeNotRun, model.ReasonRequestIDConflict)
		other := target.Statement{SQL: appendTo("a", "x").SQL, Args: []string{"a", "x"}, NullArgs: []bool{false, true}}
		f.expect(f.write("2", other), model.OutcomeNotRun, model.ReasonRequestIDConflict)

		if _, err := f.member(next).WaitPosition(f.Context(), repeated.Position); err != nil {
			f.Fatal(err)
		}
		f.promote(next, 2)
		pool := f.newPool(next, target.Options{})
		defer pool.Close()
		if a := pool.Write(f.Context(), request("2"), appendTo("a", "x")); !a.Duplicate || a.Position.Term != 2 {
			f.Errorf("retry on the next primary: %+v, want a duplicate at a position of term 2", a)
		}
		// Request IDs of different workspaces are independent.
		f.expect(pool.Write(f.Context(), target.Request{Workspace: "south", ID: "2"}, appendTo("a", "y")),
			model.OutcomeDone, model.ReasonNone)
		if got := f.readValue(next, "a"); got != "xy" {
			f.Errorf("value is %q, want %q", got, "xy")
		}
	})
}

// TestFencedPrimary guards against writes and commits that succeed on a primary that has been replaced, and against a
// write that is acknowledged at a position of a term other than its own.
func TestFencedPrimary(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		old, next := f.group.Members[0], f.group.Members[1]
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		old.SetStatementTime(time.Second)
		writeDone := make(chan target.Response)
		go func() { writeDone <- f.write("2", upsert("a", "2")) }()
		synctest.Wait()
		f.promote(next, 2)
		refused := <-writeDone
		f.expect(refused, model.OutcomeNotRun, model.ReasonNoPrimary)
		f.expectFailure(refused, target.FailureRefused)
		f.expect(f.write("3", upsert("a", "3")), model.OutcomeNotRun, model.ReasonNoPrimary)

		tx, response := f.newPool(next, target.Options{}).Begin(f.Context(), false)
		f.expect(response, model.OutcomeDone, model.ReasonNone)
		f.expect(tx.Execute(f.Context(), upsert("a", "4")), model.OutcomeDone, model.ReasonNone)
		f.promote(old, 3)
		f.expect(tx.Commit(f.Context()), model.OutcomeNotRun, model.ReasonNoPrimary)
		if got := f.readValue(next, "a"); got != "1" {
			f.Errorf("a fenced primary changed the value to %q", got)
		}
	})
}

// TestTermChangedDuringCommit guards against a write that is reported as done at a position of a later term, whose log may
// not contain it.
func TestTermChangedDuringCommit(t *testing.T) {
	withFixture(t, standin.GroupOptions{}, target.Options{}, func(f *fixture) {
		old, next := f.group.Members[0], f.group.Members[1]
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Second)
		old.Partition(next.ID(), standin.Both)
		old.Partition(f.group.Members[2].ID(), standin.Both)
		// The reply to the commit is held back, so that the target reports its position after the term change.
		old.Partition(standin.Clients, standin.Outbound)
		writeDone := make(chan target.Response)
		go func() { writeDone <- f.write("2", upsert("a", "2")) }()
		synctest.Wait()
		for _, m := range f.group.Members {
			if _, err := m.AdoptTerm(2, "home"); err != nil {
				f.Fatal(err)
			}
		}
		if _, err := next.Promote(2, "home"); err != nil {
			f.Fatal(err)
		}
		if _, err := old.FollowPrimary(2, next.Address()); err != nil {
			f.Fatal(err)
		}
		old.Heal()
		f.expect(<-writeDone, model.OutcomeUnknown, model.ReasonConnectionLost)
		time.Sleep(time.Second)
		if got := f.readValue(old, "a"); got != "1" {
			f.Errorf("value is %q, want %q: the next primary never had the write", got, "1")
		}
		committed := slices.ContainsFunc(f.group.History.Events(0), func(e standin.Event) bool {
			return e.Kind == standin.EventCommit && e.RequestID == "2"
		})
		if !committed {
			f.Error("the write was not committed, so the test did not cause the failure it tests")
		}
	})
}

// TestLateAnswer guards against a reply that arrives after its request timed out and is returned to the next request.
func TestLateAnswer(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 1}, func(f *fixture) {
		f.expect(f.write("1", upsert("a", "of a")), model.OutcomeDone, model.ReasonNone)
		f.expect(f.write("2", upsert("b", "of b")), model.OutcomeDone, model.ReasonNone)
		m := f.group.Members[0]
		m.Partition(standin.Clients, standin.Outbound)
		late := f.pool.Read(f.timeoutContext(time.Second), selectKey("a"), model.Position{})
		f.expect(late, model.OutcomeUnknown, model.ReasonDeadlineExceeded)
		f.expectFailure(late, target.FailureLost)
		m.Heal()
		response := f.read("b")
		f.expect(response, model.OutcomeDone, model.ReasonNone)
		if got := *response.Rows.Values[0][0]; got != "of b" {
			f.Errorf("got the result of another request: %q", got)
		}
		if s := f.pool.Stats(); s.Opened != 2 || s.Discarded != 1 {
			f.Errorf("the connection that timed out was kept: %+v", s)
		}
	})
}

// TestAnswerTooLarge guards against truncated results, and against a wrong outcome of a write whose result is too large.
func TestAnswerTooLarge(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{MaxAnswerBytes: 100}, func(f *fixture) {
		long := strings.Repeat("x", 101)
		huge := strings.Repeat("x", 100<<10) // larger than the limit of one protocol message
		f.expect(f.write("1", upsert("long", long)), model.OutcomeDone, model.ReasonNone)
		f.expect(f.write("2", upsert("huge", huge)), model.OutcomeDone, model.ReasonNone)
		f.expect(f.read("long"), model.OutcomeNotRun, model.ReasonAnswerTooLarge)
		f.expect(f.read("huge"), model.OutcomeNotRun, model.ReasonAnswerTooLarge)

		insert := "WITH x AS (INSERT INTO kv (key, value) VALUES ($1, $2) RETURNING key, value) SELECT * FROM x"
		response := f.write("3", statement(insert, "c", long))
		f.expect(response, model.OutcomeDone, model.ReasonAnswerTooLarge)
		if len(response.Rows.Values) != 0 {
			f.Errorf("got %d rows of an incomplete result", len(response.Rows.Values))
		}
		f.expect(f.write("4", statement(insert, "d", huge)), model.OutcomeUnknown, model.ReasonAnswerTooLarge)
		if a := f.write("4", statement(insert, "d", huge)); !a.Duplicate {
			f.Errorf("retry: %+v, want a duplicate", a)
		}

		tx, _ := f.pool.Begin(f.Context(), false)
		f.expect(tx.Execute(f.Context(), upsert("e", "1")), model.OutcomeDone, model.ReasonNone)
		f.expect(tx.Execute(f.Context(), selectKey("long")), model.OutcomeNotRun, model.ReasonAnswerTooLarge)
		f.expect(tx.Commit(f.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
		if a := f.read("e"); len(a.Rows.Values) != 0 {
			f.Error("the transaction with the refused result was committed")
		}
	})
}

// TestSessionState guards against a session setting of one request that affects the next request.
func TestSessionState(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{MaxConnections: 1}, func(f *fixture) {
		setting := statement("SET search_path = 'north'")
		show := statement("SHOW search_path")
		check := func(after string) {
			f.Helper()
			response := f.pool.Read(f.Context(), show, model.Position{})
			f.expect(response, model.OutcomeDone, model.ReasonNone)
			if got := *response.Rows.Values[0][0]; got != "" {
				f.Errorf("after %s: the setting is still %q", after, got)
			}
		}
		f.expect(f.pool.Read(f.Context(), setting, model.Position{}), model.OutcomeDone, model.ReasonNone)
		check("a read")
		f.expect(f.write("1", setting), model.OutcomeDone, model.ReasonNone)
		check("a write")
		ends := map[string]func(target.Transaction) target.Response{
			"a commit":   func(tx target.Transaction) target.Response { return tx.Commit(f.Context()) },
			"a rollback": func(tx target.Transaction) target.Response { return tx.Rollback(f.Context()) },
			"an error": func(tx target.Transaction) target.Response {
				f.expect(tx.Execute(f.Context(), statement("nonsense")), model.OutcomeNotRun, model.ReasonStatementRefused)
				f.expect(tx.Commit(f.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
				return target.Response{Result: model.Done()}
			},
		}
		for name, end := range ends {
			tx, response := f.pool.Begin(f.Context(), false)
			f.expect(response, model.OutcomeDone, model.ReasonNone)
			f.expect(tx.Execute(f.Context(), setting), model.OutcomeDone, model.ReasonNone)
			f.expect(end(tx), model.OutcomeDone, model.ReasonNone)
			check(name)
		}
		if s := f.pool.Stats(); s.Opened != 1 {
			f.Errorf("%d connections were opened, so the test did not reuse a reset connection", s.Opened)
		}
	})
}

// TestTransaction guards against transactions that see each other's statements or commit partially, and against a lost
// commit that is reported as not run.
func TestTransaction(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{}, func(f *fixture) {
		primary := f.group.Members[0]
		f.expect(f.write("1", upsert("a", "1")), model.OutcomeDone, model.ReasonNone)
		tx, _ := f.pool.Begin(f.Context(), false)
		f.expect(tx.Execute(f.Context(), appendTo("a", "2")), model.OutcomeDone, model.ReasonNone)
		if got := f.readValue(primary, "a"); got != "1" {
			f.Errorf("another request read the uncommitted value %q", got)
		}
		f.expect(tx.Execute(f.Context(), statement("COMMIT")), model.OutcomeNotRun, model.ReasonStatementRefused)
		running := make(chan target.Response)
		go func() { running <- tx.Execute(f.Context(), sleepFor("1")) }()
		synctest.Wait()
		f.expect(tx.Commit(f.Context()), model.OutcomeNotRun, model.ReasonTransactionBusy)
		f.expect(<-running, model.OutcomeDone, model.ReasonNone)
		committed := tx.Commit(f.Context())
		f.expect(committed, model.OutcomeDone, model.ReasonNone)
		if committed.Position != primary.Status().Position {
			f.Errorf("committed at %v, the log ends at %v", committed.Position, primary.Status().Position)
		}
		f.expect(tx.Execute(f.Context(), selectKey("a")), model.OutcomeNotRun, model.ReasonTransactionLost)

		tx, _ = f.pool.Begin(f.Context(), false)
		f.expect(tx.Execute(f.Context(), appendTo("a", "3")), model.OutcomeDone, model.ReasonNone)
		primary.DropResponses(1)
		f.expect(tx.Commit(f.Context()), model.OutcomeUnknown, model.ReasonConnectionLost)

		tx, _ = f.pool.Begin(f.Context(), false)
		f.expect(tx.Execute(f.Context(), appendTo("a", "4")), model.OutcomeDone, model.ReasonNone)
		timedOut := tx.Execute(f.timeoutContext(time.Second), sleepFor("5"))
		f.expect(timedOut, model.OutcomeNotRun, model.ReasonTransactionLost)
		f.expect(tx.Commit(f.Context()), model.OutcomeNotRun, model.ReasonTransactionLost)
		if got := f.readValue(primary, "a"); got != "123" {
			f.Errorf("value is %q, want %q", got, "123")
		}

		readOnly, _ := f.pool.Begin(f.Context(), true)
		f.expect(readOnly.Execute(f.Context(), appendTo("a", "5")), model.OutcomeNotRun, model.ReasonNoPrimary)
		f.expect(readOnly.Rollback(f.Context()), model.OutcomeDone, model.ReasonNone)
	})
}

// TestPruneLedger guards against ledger entries that are deleted too early or never.
func TestPruneLedger(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{}, func(f *fixture) {
		f.expect(f.write("old", upsert("a", "")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(24 * time.Hour)
		f.expect(f.write("new", appendTo("a", "x")), model.OutcomeDone, model.ReasonNone)
		time.Sleep(time.Hour)
		response := f.pool.PruneLedger(f.Context(), 24*time.Hour, 10)
		f.expect(response, model.OutcomeDone, model.ReasonNone)
		if response.Rows.Affected != 1 {
			f.Errorf("%d entries were deleted, want 1", response.Rows.Affected)
		}
		if a := f.write("new", appendTo("a", "x")); !a.Duplicate {
			f.Errorf("an entry that is one hour old was deleted: %+v", a)
		}
	})
}

// TestReceivedBytes guards against a stand-in that does not record all received bytes, which the check that callers' keys
// never reach a target relies on.
func TestReceivedBytes(t *testing.T) {
	withFixture(t, standin.GroupOptions{Size: 1}, target.Options{}, func(f *fixture) {
		f.expect(f.write("request-17", upsert("a", "payload-17")), model.OutcomeDone, model.ReasonNone)
		for _, seen := range []string{"request-17", "payload-17", "north"} {
			if !f.group.History.HasReceived([]byte(seen)) {
				f.Errorf("%q was sent and not recorded", seen)
			}
		}
		if f.group.History.HasReceived([]byte("wsk_")) {
			f.Error("a caller's key reached the target")
		}
	})
}
