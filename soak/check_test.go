package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// story builds a view of one or two operations that keep all promises, which tests then spoil.
type story struct{ View }

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// newStory is an acknowledged write at 0 to 10 ms, and a read of the same session at 20 ms that sees it.
func newStory(database string) *story {
	s := &story{View{Now: at(60000), Changes: []Change{{At: at(-60000), Rate: 10, Burst: 10}}}}
	commit := &lines.Commit{Term: 1, Offset: 1, StatementIDs: []string{"w"}}
	s.Commits = []*lines.Commit{commit}
	write := &Operation{Session: 1, Database: database, Key: openKey, Began: at(0), Ended: at(10), Acked: at(10), Outcome: Done,
		Writes: []string{"w"}}
	read := &Operation{Session: 1, Database: database, Key: openKey, Began: at(20), Ended: at(30), Outcome: Done}
	s.Statements = []Statement{
		{ID: "w", Text: "WRITE i d", Operation: write, Sent: at(0), Answered: at(10), Signature: "sig.w"},
		{ID: "r", Text: "READ i", Operation: read, Sent: at(20), Answered: at(30), Signature: "sig.r", Rows: []string{"d"}}}
	s.Executed = []lines.ExecutedStatement{
		{At: at(5), ConnectionID: 1, Workspace: openWorkspace, ID: "w", Text: "WRITE i d", Committed: true},
		{At: at(25), ConnectionID: 1, Workspace: openWorkspace, ID: "r", Text: "READ i", Rows: []string{"d"}, VisibleLog: s.Commits}}
	return s
}

// otherSession makes the read one of another session.
func (s *story) otherSession() { s.Statements[1].Operation.Session = 2 }

// Guards against a checker that misses a broken promise, or reports one that was kept.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name     string
		database string
		spoil    func(*story)
		want     Promise
	}{
		{"nothing is wrong", "orders", func(*story) {}, ""},
		{"a write takes effect twice", "orders", func(s *story) {
			s.Commits = append(s.Commits, &lines.Commit{Sequence: 1, Term: 1, Offset: 2, StatementIDs: []string{"w"}})
			s.Executed[1].VisibleLog = s.Commits
		}, Twice},
		{"a denied write is kept", "orders", func(s *story) { s.Statements[0].Operation.Outcome = Denied }, Refused},
		{"a write of an unfinished transaction is kept", "orders",
			func(s *story) { s.Statements[0].Operation.Outcome = GivenUp }, Unasked},
		{"an unknown write is kept", "orders", func(s *story) { s.Statements[0].Operation.Outcome = Unknown }, ""},
		{"an acknowledged write is nowhere", "orders", func(s *story) {
			s.Commits[0].StatementIDs = nil
		}, Kept},
		{"a promotion drops a synchronous commit", "orders", func(s *story) {
			s.SyncReplicas, s.Commits[0].RolledBack = 1, true
		}, Kept},
		{"a promotion drops another commit", "orders", func(s *story) {
			s.Commits[0].RolledBack = true
			s.Executed[1].VisibleLog = nil
		}, ""},
		{"a replaced primary acknowledges", "orders", func(s *story) {
			s.Commits[0].StaleTerm, s.Commits[0].RolledBack = true, true
		}, OnePrimary},
		{"a replaced primary gets what a frozen host had sent", "orders", func(s *story) {
			s.Commits[0].StaleTerm, s.Commits[0].RolledBack = true, true
			s.Disturbances = []Disturbance{{From: at(-1000), To: at(-100)}}
		}, ""},
		{"a read of the primary misses a commit", "orders", func(s *story) {
			s.otherSession()
			s.Executed[1].VisibleLog = nil
		}, Stale},
		{"a read that may be old misses a commit", "view", func(s *story) {
			s.otherSession()
			s.Executed[1].VisibleLog = nil
		}, ""},
		{"a read that may be old misses an old commit", "view", func(s *story) {
			s.otherSession()
			s.Statements[1].Operation.Began = at(1511)
			s.Executed[1].VisibleLog = nil
		}, Stale},
		{"a session misses its own commit", "plans", func(s *story) { s.Executed[1].VisibleLog = nil }, Stale},
		{"a session misses a commit of another", "plans", func(s *story) {
			s.otherSession()
			s.Executed[1].VisibleLog = nil
		}, ""},
		{"a read sees another history", "orders", func(s *story) {
			s.Executed[1].VisibleLog = []*lines.Commit{{Term: 1, Offset: 1}}
		}, Stale},
		{"tokens shrink", "orders", func(s *story) {
			s.Promotions = []lines.Promotion{{LeaseHolder: "a", FencingToken: 7}, {LeaseHolder: "b", FencingToken: 6}}
		}, Fenced},
		{"two holders have one token", "orders", func(s *story) {
			s.Promotions = []lines.Promotion{{LeaseHolder: "a", FencingToken: 7}, {LeaseHolder: "b", FencingToken: 7}}
		}, Fenced},
		{"a statement runs with other values", "orders", func(s *story) { s.Executed[1].SessionVariables = "v0=1" }, Pinned},
		{"a prepared name stands for another statement", "orders", func(s *story) {
			s.Statements[1].Text, s.Statements[1].Shape = "EXECUTE a i", "READ x"
			s.Executed[1].Text, s.Executed[1].Shape = "EXECUTE r_y i", "READ y"
		}, Pinned},
		{"a prepared name is another one", "orders", func(s *story) {
			s.Statements[1].Text, s.Statements[1].Shape = "EXECUTE a i", "READ x"
			s.Executed[1].Text, s.Executed[1].Shape = "EXECUTE r_x i", "READ x"
		}, ""},
		{"a statement runs in another's transaction", "orders", func(s *story) { s.Executed[1].TransactionID = "w" }, Pinned},
		{"a statement runs outside its transaction", "orders",
			func(s *story) { s.Statements[1].Operation.Transaction = true }, Pinned},
		{"another workspace", "orders", func(s *story) { s.Executed[1].Workspace = limitedWorkspace }, Unasked},
		{"another text", "orders", func(s *story) { s.Executed[1].Text = "READ j" }, Unasked},
		{"a statement that nobody sent", "orders", func(s *story) {
			s.Executed = append(s.Executed, lines.ExecutedStatement{ID: "x", Workspace: openWorkspace})
		}, Unasked},
		{"another statement's signature", "orders", func(s *story) { s.Statements[1].Signature = "sig.w" }, Mixed},
		{"rows that no database returned", "orders", func(s *story) { s.Statements[1].Rows = []string{"e"} }, Mixed},
		{"no answer", "orders", func(s *story) { s.Statements[1].Answered = time.Time{} }, Answered},
		{"no answer of a frozen host", "orders", func(s *story) {
			s.Statements[1].Answered = time.Time{}
			s.Disturbances = []Disturbance{{From: at(0), To: at(5000), Callers: true}}
		}, ""},
		{"a planned stop cuts a statement off", "orders", func(s *story) {
			s.Statements[1].Code = lines.CodeLost
			s.Disturbances = []Disturbance{{From: at(0), To: at(5000), Planned: true}}
		}, Uncut},
		{"a reset cuts a statement off", "orders", func(s *story) {
			s.Statements[1].Code = lines.CodeLost
			s.Disturbances = []Disturbance{{From: at(0), To: at(5000), Planned: true}, {From: at(0), To: at(5000)}}
		}, ""},
		{"a withdrawn key works on", "orders", func(s *story) {
			s.Changes = append(s.Changes, Change{At: at(-3001), Withdrawn: openKey})
		}, Withdrawn},
		{"a withdrawn key works for a moment", "orders", func(s *story) {
			s.Changes = append(s.Changes, Change{At: at(-2900), Withdrawn: openKey})
		}, ""},
		{"a new key is refused", "orders", func(s *story) {
			s.Changes = append(s.Changes, Change{At: at(-3001), Added: openKey})
			s.Statements[1].Code = "AUTHFAIL"
		}, Admitted},
		{"a workspace exceeds its limit", "orders", func(s *story) { s.addLimited(87) }, Quota},
		{"a workspace keeps to its limit", "orders", func(s *story) { s.addLimited(86) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStory(c.database)
			c.spoil(s)
			found := Check(s.View)
			if c.want == "" && len(found) > 0 || c.want != "" && !slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == c.want }) {
				t.Errorf("found %v, want %q", found, c.want)
			}
		})
	}
}

// addLimited adds operations of the limited workspace within one window.
func (s *story) addLimited(n int) {
	for i := range n {
		id := fmt.Sprintf("l%d", i)
		sent := at(100 + 50*i)
		o := &Operation{Session: 100 + i, Database: "view", Key: limitedKey, Began: sent, Outcome: Done}
		s.Statements = append(s.Statements, Statement{ID: id, Text: "READ i", Operation: o, Sent: sent, Answered: sent.Add(time.Millisecond),
			Signature: "sig." + id})
		s.Executed = append(s.Executed, lines.ExecutedStatement{At: sent, Workspace: limitedWorkspace, ID: id, Text: "READ i", Rows: []string{""},
			VisibleLog: s.Commits})
	}
}

// Guards against plans that differ between runs of one seed, that reach past their length, or that never overlap.
func TestPlan(t *testing.T) {
	const length = 30 * time.Second
	kinds, overlapping := map[Kind]bool{}, 0
	for seed := range uint64(40) {
		plan := Plan(seed, 5, 3, length)
		if !slices.Equal(plan, Plan(seed, 5, 3, length)) {
			t.Fatalf("seed %d has two plans", seed)
		}
		for i, f := range plan {
			kinds[f.Kind] = true
			if f.At+f.For > length || f.Host >= 5 || f.Database >= 3 {
				t.Errorf("seed %d: %v", seed, f)
			}
			if i > 0 && plan[i-1].At+plan[i-1].For > f.At {
				overlapping++
			}
		}
	}
	if len(kinds) != len(weights) || overlapping == 0 {
		t.Errorf("%d of %d kinds, %d faults overlap", len(kinds), len(weights), overlapping)
	}
}
