package target_test

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

// TestStatements guards against a stand-in that does not support all documented statement forms.
func TestStatements(t *testing.T) {
	g := startGroup(t, target.GroupOptions{Size: 1})
	conn := connect(t, g.Members[0])
	steps := []struct {
		sql  string
		args []string
		want [][]string
	}{
		{"INSERT INTO kv (key, value) VALUES ($1, $2)", []string{"a", "1"}, nil},
		{"/* note; */ insert into kv(key,value) values ('b', 'it''s') -- end", nil, nil},
		{"INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value",
			[]string{"a", "2"}, nil},
		{"UPDATE kv SET value = value || $2 WHERE key = $1;", []string{"a", "3"}, nil},
		{"UPDATE kv SET value = $2 WHERE key = $1 AND value = $3", []string{"a", "4", "other"}, nil},
		{"SELECT value FROM kv WHERE key = $1", []string{"a"}, [][]string{{"23"}}},
		{"UPDATE kv SET value = $2 WHERE key = $1 AND value = $3", []string{"a", "23", "23"}, nil},
		{"SELECT value FROM kv WHERE key = $1 FOR UPDATE", []string{"a"}, [][]string{{"23"}}},
		{"SELECT key, value FROM kv", nil, [][]string{{"a", "23"}, {"b", "it's"}}},
		{"UPDATE kv SET value = $2 WHERE key = $1", []string{"b", "x"}, nil},
		{"DELETE FROM kv WHERE key = $1", []string{"a"}, nil},
		{"WITH x AS (INSERT INTO kv (key, value) VALUES ($1, $2) RETURNING key, value) SELECT * FROM x",
			[]string{"c", "9"}, [][]string{{"c", "9"}}},
		{"SELECT value FROM kv", nil, [][]string{{"x"}, {"9"}}},
		{"SELECT pg_sleep($1)", []string{"0"}, [][]string{{""}}},
		{"SELECT $1", []string{"5"}, [][]string{{"5"}}},
		{"SET work_mem = '1'", nil, nil},
		{"SHOW work_mem", nil, [][]string{{"1"}}},
		{"DISCARD ALL", nil, nil},
		{"SHOW work_mem", nil, [][]string{{""}}},
	}
	for _, step := range steps {
		if diff := cmp.Diff(step.want, mustExec(t, conn, step.sql, step.args...)); diff != "" {
			t.Errorf("%s: %s", step.sql, diff)
		}
	}
	if _, err := exec(conn, "SELECT 1; DELETE FROM kv WHERE key = 'b'"); sqlState(err) != "42601" {
		t.Errorf("several statements: %v, want SQLSTATE 42601", err)
	}
	if _, err := exec(conn, "INSERT INTO kv (key, value) VALUES ('b', '')"); sqlState(err) != "23505" {
		t.Errorf("existing key: %v, want SQLSTATE 23505", err)
	}
}

// TestFailover guards against a primary that accepts writes after it adopted a higher term, and against replicas that keep
// log entries that the new primary does not have.
func TestFailover(t *testing.T) {
	g := startGroup(t, target.GroupOptions{})
	old, next, third := g.Members[0], g.Members[1], g.Members[2]
	client := connect(t, old)
	mustExec(t, client, "INSERT INTO kv (key, value) VALUES ('a', '1')")
	awaitValue(t, next, "a", "1")
	awaitValue(t, third, "a", "1")
	if _, err := exec(connect(t, next), "DELETE FROM kv WHERE key = 'a'"); sqlState(err) != "25006" {
		t.Errorf("write on a replica: %v, want SQLSTATE 25006", err)
	}

	old.Partition(next.ID(), target.Both)
	old.Partition(third.ID(), target.Both)
	mustExec(t, client, "UPDATE kv SET value = 'lost' WHERE key = 'a'")
	control := connect(t, next)
	for _, sql := range []string{"SELECT * FROM group_adopt($1, $2)", "SELECT * FROM group_promote($1, $2)"} {
		mustExec(t, control, sql, "2", "home")
	}
	if _, err := exec(control, "SELECT * FROM group_adopt($1, $2)", "2", "other"); sqlState(err) != "55000" {
		t.Errorf("term 2 of another orderer: %v, want SQLSTATE 55000", err)
	}
	mustExec(t, control, "UPDATE kv SET value = '2' WHERE key = 'a'")
	mustExec(t, client, "UPDATE kv SET value = 'lost again' WHERE key = 'a'") // the old primary has not adopted term 2 yet

	old.Heal()
	mustExec(t, client, "SELECT * FROM group_follow($1, $2)", "2", next.Address())
	if _, err := exec(client, "DELETE FROM kv WHERE key = 'a'"); sqlState(err) != "25006" {
		t.Errorf("write on a fenced primary: %v, want SQLSTATE 25006", err)
	}
	status := next.Status()
	waited := mustExec(t, client, "SELECT * FROM group_wait($1, $2, $3)",
		strconv.FormatUint(status.Position.Term, 10), strconv.FormatUint(status.Position.Offset, 10), "60000")
	want := [][]string{{"2", "", "replica", "2", strconv.FormatUint(status.Position.Offset, 10), next.Address()}}
	if diff := cmp.Diff(want, waited); diff != "" {
		t.Error(diff)
	}
	awaitValue(t, old, "a", "2")
}
