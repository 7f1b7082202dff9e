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

// fixture is an in-memory group and a pool of connections to its primary.
type fixture struct {
	*testing.T
	group *standin.Group
	pool  *target.Pool
}

// withFixture runs a test with fake time. The pool runs no maintenance unless the options set an interval.
func withFixture(t *testing.T, g standin.GroupOptions, o target.Options, run func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g.InMemory = true
		group, err := standin.StartGroup(g)
		if err != nil {
			t.Fatal(err)
		}
		defer group.Close()
		f := &fixture{T: t, group: group}
		f.pool = f.newPool(group.Members[0], o)
		defer f.pool.Close()
		run(f)
	})
}

func (f *fixture) newPool(m *standin.Member, o target.Options) *target.Pool {
	if o.MaintenanceInterval == 0 {
		o.MaintenanceInterval = -1
	}
	o.Dial = f.group.Dial
	return target.NewPool(m.Address(), o)
}

func (f *fixture) member(m *standin.Member) *target.MemberClient {
	return target.NewMemberClient(m.Address(), target.Options{Dial: f.group.Dial})
}

// promote makes a member the primary of a term after all members adopted the term.
func (f *fixture) promote(m *standin.Member, term uint64) {
	f.Helper()
	for _, other := range f.group.Members {
		if _, err := f.member(other).Adopt(f.Context(), term, "home"); err != nil {
			f.Fatal(err)
		}
	}
	if _, err := f.member(m).Promote(f.Context(), term, "home"); err != nil {
		f.Fatal(err)
	}
	for _, other := range f.group.Members {
		if other == m {
			continue
		}
		if _, err := f.member(other).Follow(f.Context(), term, m.Address()); err != nil {
			f.Fatal(err)
		}
	}
}

func (f *fixture) read(key string) target.Response {
	return f.pool.Read(f.Context(), selectKey(key), model.Position{})
}

func (f *fixture) write(id string, s target.Statement) target.Response {
	return f.pool.Write(f.Context(), request(id), s)
}

// readValue returns the value of a key on a member, or an empty string if there is none.
func (f *fixture) readValue(m *standin.Member, key string) string {
	f.Helper()
	pool := f.newPool(m, target.Options{})
	defer pool.Close()
	response := pool.Read(f.Context(), selectKey(key), model.Position{})
	f.expect(response, model.OutcomeDone, model.ReasonNone)
	if len(response.Rows.Values) == 0 {
		return ""
	}
	return *response.Rows.Values[0][0]
}

// expect checks the outcome and the reason of a response.
func (f *fixture) expect(response target.Response, outcome model.Outcome, reason model.Reason) {
	f.Helper()
	if response.Result.Outcome != outcome || response.Result.Reason != reason {
		f.Fatalf("got %v %q (%s, %s), want %v %q", response.Result.Outcome, response.Result.Reason, response.Failure,
			response.Result.Detail, outcome, reason)
	}
}

// expectFailure checks the failure kind of a response.
func (f *fixture) expectFailure(response target.Response, want target.FailureKind) {
	f.Helper()
	if response.Failure != want {
		f.Fatalf("got failure %s (%+v), want %s", response.Failure, response.Result, want)
	}
}

// timeoutContext returns a context that expires after d.
func (f *fixture) timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(f.Context(), d)
	f.Cleanup(cancel)
	return ctx
}

func request(id string) target.Request { return target.Request{Workspace: "north", ID: id} }

func statement(sql string, args ...string) target.Statement {
	return target.Statement{SQL: sql, Args: args}
}

func selectKey(key string) target.Statement {
	return statement("SELECT value FROM kv WHERE key = $1", key)
}

func upsert(key, value string) target.Statement {
	return statement("INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value",
		key, value)
}

func appendTo(key, value string) target.Statement {
	return statement("UPDATE kv SET value = value || $2 WHERE key = $1", key, value)
}

func sleepFor(seconds string) target.Statement {
	return statement("SELECT pg_sleep($1)", seconds)
}
