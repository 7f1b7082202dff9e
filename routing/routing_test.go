package routing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Guards against statements that write, lock rows or change session state but are classified as harmless, in unusual SQL
// syntax. They would run on a replica or a shared connection.
func TestClassify(t *testing.T) {
	cases := []struct {
		want Class
		sql  []string
	}{
		{ClassRead, []string{
			"select 1", " \n\t-- note\n/* a /* b */ c */ SELECT * FROM t;", "((select 1))", "select 1;;",
			"select 'insert into t' from t", "select 'it''s; update'", `select "update" from t`, "select $1, $2",
			"select $$ for update; $$", "select $q$ $$ nextval $q$", `select e'\'; delete from t'`, "select 1e5, 0x1f",
			"select substring(a from 1 for 2) from t", "with a as (select 1) select * from a",
			"select a/*x*/--y\n from t", "select 1-- ; delete from t", "select a$b from t",
		}},
		{ClassPrimary, []string{
			"", "  -- only a comment", "insert into t values (1)", "select 1; select 2", "select 1; delete from t",
			"select * from t for update", "select * from t FOR /* x */ NO KEY UPDATE", "select * from t for share",
			"select * into x from t", "with a as (insert into t values (1) returning *) select * from a",
			"with a as (delete from t returning *) select * from a", "select nextval('s')",
			`select "nextval"('s')`, "select pg_catalog . SETVAL('s', 1)", "select lo_create(0)", "table t", "values (1)",
			"explain analyze select 1", "do $$ begin end $$", "call p()", "copy t from stdin", "lock table t",
			`select 'a\'; delete from t --'`, `select U&"\006eextval"('s')`, "select 'open", "select /* open", `select "open`,
			"select $a$ open", "select 1 \x00", "merge into t using u on true when matched then delete", "notify c",
			"select dblink_exec('x', 'y')", "select txid_current()", "show search_path", "éselect 1",
			"select 1for update", "select $1for update", "select 1into x",
		}},
		{ClassSessionState, []string{
			"set search_path = x", "SET LOCAL a = 1", "reset all", "discard all", "prepare p as select 1", "execute p",
			"listen c", "unlisten *", "select pg_advisory_lock(1)", `select "pg_try_advisory_lock_shared"(1)`,
			"select set_config('a', 'b', false)", "create temp table t (a int)", "create local temporary table t (a int)",
			"create or replace temporary view v as select 1", "select * into temp x from t", "select 1; set a = b",
			"/* x */ (set a = b", "savepoint a",
			"release savepoint a", "rollback to a", "rollback work to savepoint a", "ROLLBACK /* x */ TRANSACTION TO a",
			"declare c cursor for select 1", "insert into t select pg_advisory_xact_lock(1)",
		}},
		{ClassTransactionControl, []string{
			"begin", "START TRANSACTION", "commit", "commit prepared 'x'", "rollback and chain", "rollback work", "end", "abort",
			"rollback prepared 'x'", "prepare transaction 'x'", "select 1; commit", "-- x\nbegin read only",
		}},
		{ClassGroupCommand, []string{
			"select * from group_promote(9, 'x')", "select 1; select group_adopt(9, 'x')", `select "group_follow"(1, 'x')`,
		}},
	}
	for _, c := range cases {
		for _, sql := range c.sql {
			if got := Classify(sql); got.Class != c.want {
				t.Errorf("%q is %v (%s), want %v", sql, got.Class, got.Reason, c.want)
			}
		}
	}
	if !Classify("values (1)").MayRunOnReplica(true) || Classify("set a = b").MayRunOnReplica(true) {
		t.Error("a read-only declaration must override ClassPrimary and no other class")
	}
}

// Guards against a panic of the scanner, against a class that changes when a comment precedes the statement, and against a
// read that is followed by a write.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{
		"select 1", "select $a$b$a$", "select 'a", `u&"`, "$", "/*", "e'\\", "((", ";", "\"", "$1$",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		if got, want := Classify("/* x */"+sql).Class, Classify(sql).Class; got != want {
			t.Errorf("%q is %v, preceded by a comment %v", sql, want, got)
		}
		if got := Classify(sql + ";insert into t values (1)").Class; got == ClassRead {
			t.Errorf("%q followed by an insert is a read", sql)
		}
	})
}

var epoch = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func position(term, offset uint64) model.Position { return model.Position{Term: term, Offset: offset} }

// testGroup returns a group with primary a of term 2 at offset 100 and replicas b and c at the given positions. A majority
// confirmed the primary at 900 ms.
func testGroup(b, c model.Position) Group {
	samples := &PositionSamples{}
	samples.Add(at(0), position(2, 50))
	samples.Add(at(500), position(2, 80))
	samples.Add(at(1000), position(2, 100))
	return Group{Term: 2, Primary: "a", ConfirmedAt: at(900), Samples: samples, Targets: []Target{
		{ID: "a", Alive: true, AdoptedTerm: 2, Position: position(2, 100), Slots: 3},
		{ID: "b", Alive: true, Replicated: true, AdoptedTerm: 2, Position: b, Slots: 3, ActiveStatements: 2},
		{ID: "c", Alive: true, Replicated: true, AdoptedTerm: 2, Position: c, Slots: 3, ActiveStatements: 1},
	}}
}

// Guards against reads that miss the session's writes, unproven staleness, reads from leaving or dead targets, and reads
// from a primary with a lower term than the session's mark.
func TestChooseRead(t *testing.T) {
	now, current, behind := at(1010), position(2, 100), position(2, 60)
	cases := []struct {
		name   string
		b, c   model.Position
		change func(*Group, *ReadRequest)
		want   DecisionKind
		target model.TargetID
	}{
		{"no mark: least loaded replica", behind, behind, func(*Group, *ReadRequest) {}, KindReplica, "c"},
		{"load is relative to slots", behind, behind, func(g *Group, _ *ReadRequest) {
			g.Targets[1].Slots = 9
		}, KindReplica, "b"},
		{"replica behind the mark", current, behind, func(_ *Group, r *ReadRequest) {
			r.Mark = position(2, 90)
		}, KindReplica, "b"},
		{"mark of an earlier term compares offsets", current, position(2, 60), func(_ *Group, r *ReadRequest) {
			r.Mark = position(1, 90)
		}, KindReplica, "b"},
		{"greater offset of a lower term does not cover", position(1, 500), position(1, 500), func(_ *Group, r *ReadRequest) {
			r.Mark, r.WaitUntil = position(2, 90), now
		}, KindPrimary, "a"},
		{"wait for the closest replica", behind, position(2, 89), func(_ *Group, r *ReadRequest) {
			r.Mark = position(2, 90)
		}, KindWait, "c"},
		{"primary after the wait", behind, behind, func(_ *Group, r *ReadRequest) {
			r.Mark, r.WaitUntil = position(2, 90), now
		}, KindPrimary, "a"},
		{"leaving replica", current, behind, func(g *Group, _ *ReadRequest) {
			g.Targets[2].Leaving = true
		}, KindReplica, "b"},
		{"dead replica", current, behind, func(g *Group, _ *ReadRequest) { g.Targets[2].Alive = false }, KindReplica, "b"},
		{"former primary", current, behind, func(g *Group, _ *ReadRequest) {
			g.Targets[2].Replicated = false
		}, KindReplica, "b"},
		{"primary of a lower term than the mark", behind, behind, func(_ *Group, r *ReadRequest) {
			r.Mark = position(3, 1)
		}, KindRefused, "a"},
		{"unknown mark", current, current, func(_ *Group, r *ReadRequest) { r.MarkUnknown = true }, KindPrimary, "a"},
		{"no primary", behind, behind, func(g *Group, r *ReadRequest) {
			g.Primary, r.MarkUnknown = "", true
		}, KindWait, ""},
		{"no primary until the deadline", behind, behind, func(g *Group, r *ReadRequest) {
			g.Primary, r.MarkUnknown, r.Deadline = "", true, now
		}, KindRefused, ""},
		{"dead primary", behind, behind, func(g *Group, r *ReadRequest) {
			g.Targets[0].Alive, r.MarkUnknown = false, true
		}, KindWait, ""},
		{"draining primary", behind, behind, func(g *Group, r *ReadRequest) {
			g.Draining, r.MarkUnknown = true, true
		}, KindWait, ""},
		{"proven staleness", position(2, 85), behind, func(_ *Group, r *ReadRequest) {
			r.MaxStaleness = 600 * time.Millisecond
		}, KindReplica, "b"},
		{"staleness proven by an older sample", position(2, 85), behind, func(_ *Group, r *ReadRequest) {
			r.MaxStaleness = 1100 * time.Millisecond
		}, KindReplica, "c"},
		{"staleness not proven", behind, behind, func(_ *Group, r *ReadRequest) {
			r.MaxStaleness = 600 * time.Millisecond
		}, KindPrimary, "a"},
		{"sample newer than the confirmation", current, current, func(_ *Group, r *ReadRequest) {
			r.MaxStaleness = 50 * time.Millisecond
		}, KindPrimary, "a"},
		{"mark applies to a read with maximum staleness", position(2, 85), behind, func(_ *Group, r *ReadRequest) {
			r.MaxStaleness, r.Mark, r.WaitUntil = time.Second, position(2, 90), now
		}, KindPrimary, "a"},
		{"primary without confirmation", behind, behind, func(g *Group, r *ReadRequest) {
			r.MaxStaleness, g.ConfirmedAt = 500*time.Millisecond, at(0)
		}, KindRefused, "a"},
	}
	for _, c := range cases {
		group, read := testGroup(c.b, c.c), ReadRequest{WaitUntil: now.Add(DefaultMarkWait), Deadline: now.Add(time.Second)}
		c.change(&group, &read)
		got := ChooseRead(now, group, read)
		if got.Kind != c.want || got.Target != c.target {
			t.Errorf("%s: got %v, want %v %s", c.name, got, c.want, c.target)
		}
		if got.Explanation == "" || got.Kind == KindRefused && got.RefusalReason == model.ReasonNone {
			t.Errorf("%s: decision without explanation or refusal reason: %+v", c.name, got)
		}
	}
}

// Guards against writes on a replaced primary and against writes that cannot be acknowledged.
func TestChooseWrite(t *testing.T) {
	group, now := testGroup(position(2, 1), position(2, 1)), at(1010)
	for _, c := range []struct {
		writable bool
		mark     uint64
		deadline int
		want     DecisionKind
	}{{true, 2, 2000, KindPrimary}, {false, 2, 2000, KindWait}, {false, 2, 1000, KindRefused}, {true, 3, 2000, KindRefused}} {
		group.Writable = c.writable
		if got := ChooseWrite(now, group, position(c.mark, 1), at(c.deadline)); got.Kind != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// Guards against sending all reads to one of several equally loaded replicas.
func TestRotation(t *testing.T) {
	group, seen := testGroup(position(2, 100), position(2, 100)), map[model.TargetID]int{}
	group.Targets[1].ActiveStatements = 1
	for i := range uint(10) {
		seen[ChooseRead(at(1010), group, ReadRequest{Rotation: i}).Target]++
	}
	if diff := cmp.Diff(map[model.TargetID]int{"b": 5, "c": 5}, seen); diff != "" {
		t.Error(diff)
	}
}

// Guards against a staleness check that mixes terms: a position of the replaced primary, sampled after a majority had
// confirmed its successor, proves nothing about the staleness of a replica that still follows the old primary.
func TestSampleOfReplacedPrimary(t *testing.T) {
	group, behind := testGroup(position(2, 100), position(1, 60)), position(1, 60)
	group.Targets[1].Alive = false
	group.Samples = &PositionSamples{}
	group.Samples.Add(at(950), behind)
	read := ReadRequest{MaxStaleness: 500 * time.Millisecond, Deadline: at(2000)}
	if got := ChooseRead(at(1010), group, read); got.Kind != KindPrimary {
		t.Errorf("sample of the replaced primary only: got %v", got)
	}
	group.Samples.Add(at(960), position(2, 100))
	group.Samples.Add(at(970), behind)
	if got := ChooseRead(at(1010), group, read); got.Kind != KindPrimary {
		t.Errorf("samples of both primaries: got %v", got)
	}
}

// Guards against unbounded samples and against a covered time later than the sample.
func TestSamplesAreBounded(t *testing.T) {
	samples := &PositionSamples{}
	for i := range 10 * MaxSamples {
		samples.Add(at(i*200), position(1, uint64(i)))
	}
	if len(samples.entries) > MaxSamples {
		t.Errorf("%d samples exceed MaxSamples", len(samples.entries))
	}
	for i := range uint64(10 * MaxSamples) {
		coveredAt, ok := samples.LatestCovered(1, position(1, i))
		if ok && coveredAt.After(at(int(i)*200)) {
			t.Fatalf("offset %d covers the later time %v", i, coveredAt.Sub(epoch))
		}
		if recent := 10*MaxSamples - i; recent < MaxSamples/2 && !coveredAt.Equal(at(int(i)*200)) {
			t.Fatalf("sample of offset %d is missing", i)
		}
	}
}
