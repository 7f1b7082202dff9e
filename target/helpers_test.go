package target_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/waxwingspindle/waxwingspindle/standin/target"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// bench is a group in memory and a pool of connections to its primary.
type bench struct {
	*testing.T
	group *standin.Group
	pool  *target.Pool
}

// withBench runs a test with fake time. The pool does no maintenance by itself unless the options say so.
func withBench(t *testing.T, g standin.GroupOptions, o target.Options, run func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g.InMemory = true
		group, err := standin.StartGroup(g)
		if err != nil {
			t.Fatal(err)
		}
		defer group.Close()
		b := &bench{T: t, group: group}
		b.pool = b.newPool(group.Members[0], o)
		defer b.pool.Close()
		run(b)
	})
}

func (b *bench) newPool(m *standin.Member, o target.Options) *target.Pool {
	if o.MaintenanceInterval == 0 {
		o.MaintenanceInterval = -1
	}
	o.Dial = b.group.Dial
	return target.NewPool(m.Address(), o)
}

func (b *bench) member(m *standin.Member) *target.MemberClient {
	return target.NewMemberClient(m.Address(), target.Options{Dial: b.group.Dial})
}

// promote makes a member the primary of a term, with the adoption of all members.
func (b *bench) promote(m *standin.Member, term uint64) {
	b.Helper()
	for _, other := range b.group.Members {
		if _, err := b.member(other).Adopt(b.Context(), term, "home"); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := b.member(m).Promote(b.Context(), term, "home"); err != nil {
		b.Fatal(err)
	}
	for _, other := range b.group.Members {
		if other == m {
			continue
		}
		if _, err := b.member(other).Follow(b.Context(), term, m.Address()); err != nil {
			b.Fatal(err)
		}
	}
}

func (b *bench) read(key string) target.Response {
	return b.pool.Read(b.Context(), readKey(key), model.Position{})
}

func (b *bench) write(id string, s target.Statement) target.Response {
	return b.pool.Write(b.Context(), request(id), s)
}

// value returns the value of a key on a member, or an empty string.
func (b *bench) value(m *standin.Member, key string) string {
	b.Helper()
	pool := b.newPool(m, target.Options{})
	defer pool.Close()
	a := pool.Read(b.Context(), readKey(key), model.Position{})
	b.expect(a, model.OutcomeDone, model.ReasonNone)
	if len(a.Rows.Values) == 0 {
		return ""
	}
	return *a.Rows.Values[0][0]
}

// expect checks the outcome and the reason of an answer.
func (b *bench) expect(a target.Response, outcome model.Outcome, reason model.Reason) {
	b.Helper()
	if a.Result.Outcome != outcome || a.Result.Reason != reason {
		b.Fatalf("got %v %q (%s, %s), want %v %q", a.Result.Outcome, a.Result.Reason, a.Failure, a.Result.Detail, outcome, reason)
	}
}

// expectFailure checks how far a request came.
func (b *bench) expectFailure(a target.Response, f target.FailureKind) {
	b.Helper()
	if a.Failure != f {
		b.Fatalf("got failure %s (%+v), want %s", a.Failure, a.Result, f)
	}
}

// within returns a context that ends after d.
func (b *bench) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(b.Context(), d)
	b.Cleanup(cancel)
	return ctx
}

func request(id string) target.Request { return target.Request{Workspace: "north", ID: id} }

func statement(sql string, args ...string) target.Statement {
	return target.Statement{SQL: sql, Args: args}
}

func readKey(key string) target.Statement {
	return statement("SELECT value FROM kv WHERE key = $1", key)
}

func put(key, value string) target.Statement {
	return statement("INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value", key, value)
}

func appendTo(key, value string) target.Statement {
	return statement("UPDATE kv SET value = value || $2 WHERE key = $1", key, value)
}

func sleepFor(seconds string) target.Statement {
	return statement("SELECT pg_sleep($1)", seconds)
}
