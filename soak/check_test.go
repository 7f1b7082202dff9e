package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// scenario holds a view with a write and a read that satisfies all invariants. Tests modify it to violate one.
type scenario struct{ View }

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return baseTime.Add(time.Duration(ms) * time.Millisecond) }

// newScenario returns an acknowledged write from 0 to 10 ms, and a read in the same session at 20 ms that sees it.
func newScenario(database string) *scenario {
	s := &scenario{View{Now: at(60000), ConfigChanges: []ConfigChange{{At: at(-60000), Rate: 10, Burst: 10}}}}
	commit := &lines.Commit{Term: 1, Offset: 1, StatementIDs: []string{"w"}}
	s.Commits = []*lines.Commit{commit}
	write := &Operation{Session: 1, Database: database, Key: openKey, StartedAt: at(0), EndedAt: at(10), AckedAt: at(10),
		Outcome: OutcomeDone, WriteIDs: []string{"w"}}
	read := &Operation{Session: 1, Database: database, Key: openKey, StartedAt: at(20), EndedAt: at(30), Outcome: OutcomeDone}
	s.Statements = []Statement{
		{ID: "w", Text: "WRITE i d", Operation: write, SentAt: at(0), AnsweredAt: at(10), Signature: "sig.w"},
		{ID: "r", Text: "READ i", Operation: read, SentAt: at(20), AnsweredAt: at(30), Signature: "sig.r", Rows: []string{"d"}}}
	s.ExecutedStatements = []lines.ExecutedStatement{
		{At: at(5), ConnectionID: 1, Workspace: openWorkspace, ID: "w", Text: "WRITE i d", Committed: true},
		{At: at(25), ConnectionID: 1, Workspace: openWorkspace, ID: "r", Text: "READ i", Rows: []string{"d"},
			VisibleLog: s.Commits}}
	return s
}

// otherSession moves the read to another session.
func (s *scenario) otherSession() { s.Statements[1].Operation.Session = 2 }

// Guards against a checker that misses a violation or reports a false one.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		database string
		mutate   func(*scenario)
		want     Invariant
	}{
		{"a valid history", "orders", func(*scenario) {}, ""},
		{"a write takes effect twice", "orders", func(s *scenario) {
			s.Commits = append(s.Commits, &lines.Commit{Sequence: 1, Term: 1, Offset: 2, StatementIDs: []string{"w"}})
			s.ExecutedStatements[1].VisibleLog = s.Commits
		}, AtMostOnce},
		{"a denied write is committed", "orders",
			func(s *scenario) { s.Statements[0].Operation.Outcome = OutcomeDenied }, NoDeniedWrites},
		{"a write of an aborted transaction is committed", "orders",
			func(s *scenario) { s.Statements[0].Operation.Outcome = OutcomeAborted }, NoUnsentStatements},
		{"a write with an unknown outcome is committed", "orders",
			func(s *scenario) { s.Statements[0].Operation.Outcome = OutcomeUnknown }, ""},
		{"an acknowledged write is in no log", "orders", func(s *scenario) {
			s.Commits[0].StatementIDs = nil
		}, Durability},
		{"a promotion loses a synchronously replicated commit", "orders", func(s *scenario) {
			s.SyncReplicas, s.Commits[0].RolledBack = 1, true
		}, Durability},
		{"a promotion loses an asynchronously replicated commit", "orders", func(s *scenario) {
			s.Commits[0].RolledBack = true
			s.ExecutedStatements[1].VisibleLog = nil
		}, ""},
		{"a replaced primary acknowledges a commit", "orders", func(s *scenario) {
			s.Commits[0].StaleTerm, s.Commits[0].RolledBack = true, true
		}, SinglePrimary},
		{"a replaced primary commits a statement that a fault delayed", "orders", func(s *scenario) {
			s.Commits[0].StaleTerm, s.Commits[0].RolledBack = true, true
			s.FaultWindows = []FaultWindow{{From: at(-1000), To: at(-100)}}
		}, ""},
		{"a database runs a statement after the bound of its evacuation", "orders", func(s *scenario) {
			s.ExecutedStatements[1].Database = "stock-0"
			s.Evacuations = []Evacuation{{From: at(24).Add(-evacuationBound), Databases: []string{"stock-0"}}}
		}, EvacuationBound},
		{"a database runs a statement before the bound of its evacuation", "orders", func(s *scenario) {
			s.ExecutedStatements[1].Database = "stock-0"
			s.Evacuations = []Evacuation{{From: at(26).Add(-evacuationBound), Databases: []string{"stock-0"}}}
		}, ""},
		{"a database runs a statement after the withdrawal of its evacuation", "orders", func(s *scenario) {
			s.ExecutedStatements[1].Database = "stock-0"
			s.Evacuations = []Evacuation{{From: at(-60000), To: at(20), Databases: []string{"stock-0"}}}
		}, ""},
		{"a fault hides an evacuation from a host", "orders", func(s *scenario) {
			s.ExecutedStatements[1].Database = "stock-0"
			s.Evacuations = []Evacuation{{From: at(-60000), Databases: []string{"stock-0"}}}
			s.FaultWindows = []FaultWindow{{From: at(-1000), To: at(-100)}}
		}, ""},
		{"a read of the primary misses a commit", "orders", func(s *scenario) {
			s.otherSession()
			s.ExecutedStatements[1].VisibleLog = nil
		}, ReadFreshness},
		{"a bounded-staleness read misses a recent commit", "view", func(s *scenario) {
			s.otherSession()
			s.ExecutedStatements[1].VisibleLog = nil
		}, ""},
		{"a bounded-staleness read misses a commit beyond its bound", "view", func(s *scenario) {
			s.otherSession()
			s.Statements[1].Operation.StartedAt = at(1511)
			s.ExecutedStatements[1].VisibleLog = nil
		}, ReadFreshness},
		{"a session misses its own commit", "plans",
			func(s *scenario) { s.ExecutedStatements[1].VisibleLog = nil }, ReadFreshness},
		{"a session misses a commit of another session", "plans", func(s *scenario) {
			s.otherSession()
			s.ExecutedStatements[1].VisibleLog = nil
		}, ""},
		{"a read sees another log", "orders", func(s *scenario) {
			s.ExecutedStatements[1].VisibleLog = []*lines.Commit{{Term: 1, Offset: 1}}
		}, ReadFreshness},
		{"a fencing token decreases", "orders", func(s *scenario) {
			s.Promotions = []lines.Promotion{{LeaseHolder: "a", FencingToken: 7}, {LeaseHolder: "b", FencingToken: 6}}
		}, MonotonicFencing},
		{"two lease holders use the same fencing token", "orders", func(s *scenario) {
			s.Promotions = []lines.Promotion{{LeaseHolder: "a", FencingToken: 7}, {LeaseHolder: "b", FencingToken: 7}}
		}, MonotonicFencing},
		{"a statement runs with other session variables", "orders",
			func(s *scenario) { s.ExecutedStatements[1].SessionVariables = "v0=1" }, SessionIsolation},
		{"a prepared statement has another shape", "orders", func(s *scenario) {
			s.Statements[1].Text, s.Statements[1].Shape = "EXECUTE a i", "READ x"
			s.ExecutedStatements[1].Text, s.ExecutedStatements[1].Shape = "EXECUTE r_y i", "READ y"
		}, SessionIsolation},
		{"a prepared statement is renamed", "orders", func(s *scenario) {
			s.Statements[1].Text, s.Statements[1].Shape = "EXECUTE a i", "READ x"
			s.ExecutedStatements[1].Text, s.ExecutedStatements[1].Shape = "EXECUTE r_x i", "READ x"
		}, ""},
		{"a statement runs in another's transaction", "orders",
			func(s *scenario) { s.ExecutedStatements[1].TransactionID = "w" }, SessionIsolation},
		{"a statement runs outside its transaction", "orders",
			func(s *scenario) { s.Statements[1].Operation.Transaction = true }, SessionIsolation},
		{"a statement runs for another workspace", "orders",
			func(s *scenario) { s.ExecutedStatements[1].Workspace = limitedWorkspace }, NoUnsentStatements},
		{"a statement runs with another text", "orders",
			func(s *scenario) { s.ExecutedStatements[1].Text = "READ j" }, NoUnsentStatements},
		{"a statement runs that no caller sent", "orders", func(s *scenario) {
			s.ExecutedStatements = append(s.ExecutedStatements, lines.ExecutedStatement{ID: "x", Workspace: openWorkspace})
		}, NoUnsentStatements},
		{"a response has another statement's signature", "orders",
			func(s *scenario) { s.Statements[1].Signature = "sig.w" }, ResponseMatching},
		{"a response has rows that no database returned", "orders",
			func(s *scenario) { s.Statements[1].Rows = []string{"e"} }, ResponseMatching},
		{"a statement gets no response", "orders", func(s *scenario) { s.Statements[1].AnsweredAt = time.Time{} }, ResponseTime},
		{"a statement gets no response from a frozen host", "orders", func(s *scenario) {
			s.Statements[1].AnsweredAt = time.Time{}
			s.FaultWindows = []FaultWindow{{From: at(0), To: at(5000), HostUnavailable: true}}
		}, ""},
		{"a planned stop interrupts a statement", "orders", func(s *scenario) {
			s.Statements[1].Code = lines.CodeLost
			s.FaultWindows = []FaultWindow{{From: at(0), To: at(5000), PlannedStop: true}}
		}, GracefulStop},
		{"a connection reset interrupts a statement", "orders", func(s *scenario) {
			s.Statements[1].Code = lines.CodeLost
			s.FaultWindows = []FaultWindow{{From: at(0), To: at(5000), PlannedStop: true}, {From: at(0), To: at(5000)}}
		}, ""},
		{"a withdrawn key still works after the maximum delay", "orders", func(s *scenario) {
			s.ConfigChanges = append(s.ConfigChanges, ConfigChange{At: at(-3001), WithdrawnKey: openKey})
		}, KeyWithdrawal},
		{"a withdrawn key works within the maximum delay", "orders", func(s *scenario) {
			s.ConfigChanges = append(s.ConfigChanges, ConfigChange{At: at(-2900), WithdrawnKey: openKey})
		}, ""},
		{"an added key is refused after the maximum delay", "orders", func(s *scenario) {
			s.ConfigChanges = append(s.ConfigChanges, ConfigChange{At: at(-3001), AddedKey: openKey})
			s.Statements[1].Code = "AUTHFAIL"
		}, KeyAcceptance},
		{"a workspace exceeds its limit", "orders", func(s *scenario) { s.addLimitedOperations(87) }, RateLimit},
		{"a workspace keeps to its limit", "orders", func(s *scenario) { s.addLimitedOperations(86) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(c.database)
			c.mutate(s)
			found := CheckInvariants(s.View)
			if c.want == "" && len(found) > 0 || c.want != "" &&
				!slices.ContainsFunc(found, func(v Violation) bool { return v.Invariant == c.want }) {
				t.Errorf("found %v, want %q", found, c.want)
			}
		})
	}
}

// addLimitedOperations adds operations of the limited workspace within one window.
func (s *scenario) addLimitedOperations(n int) {
	for i := range n {
		id := fmt.Sprintf("l%d", i)
		sent := at(100 + 50*i)
		o := &Operation{Session: 100 + i, Database: "view", Key: limitedKey, StartedAt: sent, Outcome: OutcomeDone}
		s.Statements = append(s.Statements, Statement{ID: id, Text: "READ i", Operation: o, SentAt: sent,
			AnsweredAt: sent.Add(time.Millisecond), Signature: "sig." + id})
		s.ExecutedStatements = append(s.ExecutedStatements, lines.ExecutedStatement{At: sent, Workspace: limitedWorkspace, ID: id,
			Text: "READ i", Rows: []string{""}, VisibleLog: s.Commits})
	}
}

// Guards against plans that differ between runs with the same seed, faults that end after the plan, and plans without
// overlapping faults.
func TestPlan(t *testing.T) {
	const length = 30 * time.Second
	kinds, overlapping := map[FaultKind]bool{}, 0
	for seed := range uint64(40) {
		plan := GeneratePlan(seed, 5, 3, length)
		if !slices.Equal(plan, GeneratePlan(seed, 5, 3, length)) {
			t.Fatalf("seed %d: the plan differs between two calls", seed)
		}
		for i, f := range plan {
			kinds[f.Kind] = true
			if f.Start+f.Duration > length || f.Host >= 5 || f.Database >= 3 {
				t.Errorf("seed %d: %v", seed, f)
			}
			if i > 0 && plan[i-1].Start+plan[i-1].Duration > f.Start {
				overlapping++
			}
		}
	}
	wanted := len(faultWeights) + 4 // these have no weight
	if len(kinds) != wanted || !kinds[DataCentreEvacuated] || !kinds[LinkHeld] || !kinds[LeaderCutOff] || !kinds[StoreRestored] || overlapping == 0 {
		t.Errorf("%d of %d kinds, %d faults overlap", len(kinds), wanted, overlapping)
	}
}
