package target_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

// inMemory runs a test on an in-memory group with a fake clock.
func inMemory(t *testing.T, o target.GroupOptions, run func(t *testing.T, g *target.Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o.InMemory = true
		g, err := target.StartGroup(o)
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		run(t, g)
	})
}

func dial(g *target.Group, m *target.Member, user string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://" + user + "@" + m.Address() + "/db?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.DialFunc = g.Dial
	return pgconn.ConnectConfig(context.Background(), config)
}

func mustDial(t *testing.T, g *target.Group, m *target.Member) *pgconn.PgConn {
	t.Helper()
	conn, err := dial(g, m, "app")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestConnectionLimit guards against a member that exceeds its connection limit, reserves no connections for control
// traffic, or does not release closed connections.
func TestConnectionLimit(t *testing.T) {
	inMemory(t, target.GroupOptions{
		Size: 1, Member: target.Options{MaxConnections: 2, ReservedConnections: 1},
	}, func(t *testing.T, g *target.Group) {
		m := g.Members[0]
		conn := mustDial(t, g, m)
		mustDial(t, g, m)
		if _, err := dial(g, m, "app"); sqlState(err) != "53300" {
			t.Errorf("third connection: %v, want SQLSTATE 53300", err)
		}
		if _, err := dial(g, m, target.ControlUser); err != nil {
			t.Errorf("control connection: %v", err)
		}
		if _, err := dial(g, m, target.ControlUser); sqlState(err) != "53300" {
			t.Errorf("second control connection: %v, want SQLSTATE 53300", err)
		}
		conn.Close(context.Background())
		synctest.Wait()
		if m.ConnectionCount() != 2 {
			t.Errorf("%d connections after one was closed, want 2", m.ConnectionCount())
		}
	})
}

// TestSlots guards against more concurrent statements than slots, and against group functions that wait for a slot.
func TestSlots(t *testing.T) {
	inMemory(t, target.GroupOptions{Size: 1, Member: target.Options{Slots: 2}}, func(t *testing.T, g *target.Group) {
		m := g.Members[0]
		control := mustDial(t, g, m)
		done := make(chan error)
		started := time.Now()
		for range 4 {
			conn := mustDial(t, g, m)
			started = time.Now()
			go func() {
				_, err := exec(conn, "SELECT pg_sleep($1)", "10")
				done <- err
			}()
		}
		synctest.Wait()
		mustExec(t, control, "SELECT * FROM group_status()")
		if d := time.Since(started); d != 0 {
			t.Errorf("group_status took %v while the slots were busy", d)
		}
		for range 4 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if d := time.Since(started); d < 19*time.Second || d > 20*time.Second {
			t.Errorf("4 statements of 10 s in 2 slots took %v of fake time", d)
		}
	})
}

// TestLocks guards against an open transaction that blocks reads, concurrent writes of one row, and deadlocks that are not
// detected.
func TestLocks(t *testing.T) {
	inMemory(t, target.GroupOptions{Size: 1}, func(t *testing.T, g *target.Group) {
		m := g.Members[0]
		a, b, reader := mustDial(t, g, m), mustDial(t, g, m), mustDial(t, g, m)
		mustExec(t, a, "INSERT INTO kv (key, value) VALUES ('x', '')")
		mustExec(t, a, "INSERT INTO kv (key, value) VALUES ('y', '')")
		mustExec(t, a, "BEGIN")
		mustExec(t, a, "UPDATE kv SET value = value || 'a' WHERE key = 'x'")
		if rows := mustExec(t, reader, "SELECT value FROM kv WHERE key = 'x'"); rows[0][0] != "" {
			t.Errorf("a reader sees the uncommitted value %q", rows[0][0])
		}
		mustExec(t, b, "BEGIN")
		mustExec(t, b, "UPDATE kv SET value = value || 'b' WHERE key = 'y'")
		waited := make(chan error)
		go func() {
			_, err := exec(b, "UPDATE kv SET value = value || 'b' WHERE key = 'x'")
			waited <- err
		}()
		synctest.Wait()
		if _, err := exec(a, "UPDATE kv SET value = value || 'a' WHERE key = 'y'"); sqlState(err) != "40P01" {
			t.Errorf("got %v, want SQLSTATE 40P01", err)
		}
		mustExec(t, a, "ROLLBACK")
		if err := <-waited; err != nil {
			t.Error(err)
		}
		mustExec(t, b, "COMMIT")
		if rows := mustExec(t, reader, "SELECT value FROM kv"); rows[0][0] != "b" || rows[1][0] != "b" {
			t.Errorf("values are %v, want b and b", rows)
		}
	})
}

// TestFreeze guards against a frozen member that makes progress, and against one that does not resume.
func TestFreeze(t *testing.T) {
	inMemory(t, target.GroupOptions{}, func(t *testing.T, g *target.Group) {
		m, replica := g.Members[0], g.Members[1]
		conn := mustDial(t, g, m)
		replica.SetFrozen(true)
		mustExec(t, conn, "INSERT INTO kv (key, value) VALUES ('x', '1')")
		time.Sleep(time.Hour)
		if p := replica.Status().Position; p.Offset > 1 {
			t.Errorf("the frozen replica advanced to %v", p)
		}
		m.SetFrozen(true)
		done := make(chan error)
		go func() {
			_, err := exec(conn, "UPDATE kv SET value = '2' WHERE key = 'x'")
			done <- err
		}()
		time.Sleep(time.Hour)
		if p := m.Status().Position; p.Offset != 2 {
			t.Errorf("the frozen primary is at %v, want offset 2", p)
		}
		m.SetFrozen(false)
		replica.SetFrozen(false)
		if err := <-done; err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if got, want := replica.Status().Position, m.Status().Position; got != want || got.Offset != 3 {
			t.Errorf("the replica is at %v, the primary at %v, want offset 3", got, want)
		}
	})
}

// TestPartitionDirection guards against a partition in one direction that also blocks the other direction.
func TestPartitionDirection(t *testing.T) {
	inMemory(t, target.GroupOptions{Size: 1}, func(t *testing.T, g *target.Group) {
		m := g.Members[0]
		conn := mustDial(t, g, m)
		done := make(chan error)
		write := func(sql string) {
			_, err := exec(conn, sql)
			done <- err
		}
		m.Partition(target.AllPeers, target.Outbound)
		go write("INSERT INTO kv (key, value) VALUES ('x', '1')")
		time.Sleep(time.Hour)
		if p := m.Status().Position; p.Offset != 2 {
			t.Errorf("with outbound traffic blocked the member is at %v, want offset 2", p)
		}
		m.Heal()
		if err := <-done; err != nil {
			t.Error(err)
		}
		m.Partition(target.AllPeers, target.Inbound)
		go write("UPDATE kv SET value = '2' WHERE key = 'x'")
		time.Sleep(time.Hour)
		if p := m.Status().Position; p.Offset != 2 {
			t.Errorf("with inbound traffic blocked the member is at %v, want offset 2", p)
		}
		m.Heal()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// TestKill guards against a restarted member that has lost its log or adopted term, or has kept an open transaction.
func TestKill(t *testing.T) {
	inMemory(t, target.GroupOptions{Size: 1}, func(t *testing.T, g *target.Group) {
		m := g.Members[0]
		conn := mustDial(t, g, m)
		mustExec(t, conn, "INSERT INTO kv (key, value) VALUES ('x', '1')")
		mustExec(t, conn, "BEGIN")
		mustExec(t, conn, "UPDATE kv SET value = '2' WHERE key = 'x'")
		before := m.Status()
		m.Kill()
		if _, err := exec(conn, "COMMIT"); err == nil {
			t.Error("a killed member answered")
		}
		if err := m.Restart(); err != nil {
			t.Fatal(err)
		}
		if after := m.Status(); after != before {
			t.Errorf("status went from %+v to %+v", before, after)
		}
		conn = mustDial(t, g, m)
		mustExec(t, conn, "UPDATE kv SET value = value || '3' WHERE key = 'x'")
		if rows := mustExec(t, conn, "SELECT value FROM kv WHERE key = 'x'"); rows[0][0] != "13" {
			t.Errorf("value is %q, want %q", rows[0][0], "13")
		}
	})
}

// TestAdmin guards against an admin interface that does not apply faults or does not return the history.
func TestAdmin(t *testing.T) {
	inMemory(t, target.GroupOptions{}, func(t *testing.T, g *target.Group) {
		handler := target.AdminHandler(g)
		call := func(method, path, body string) (int, string) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w.Code, w.Body.String()
		}
		conn := mustDial(t, g, g.Members[0])
		for _, c := range []struct {
			method, path, body string
			status             int
			contains           string
		}{
			{"POST", "/members/m1/faults", `{"cut":[{"peer":"m2","direction":"both"}],"statement_time_ms":1000}`,
				http.StatusOK, `"primary":true`},
			{"POST", "/members/m1/faults", `{"cut":[{"peer":"m2","direction":"up"}]}`, http.StatusBadRequest, "up"},
			{"POST", "/members/m9/kill", "", http.StatusNotFound, "m9"},
			{"POST", "/members/m3/kill", "", http.StatusOK, ""},
			{"POST", "/members/m3/restart", "", http.StatusOK, ""},
		} {
			if status, response := call(c.method, c.path, c.body); status != c.status || !strings.Contains(response, c.contains) {
				t.Errorf("%s %s: got %d %s", c.path, c.body, status, response)
			}
		}
		started := time.Now()
		mustExec(t, conn, "INSERT INTO kv (key, value) VALUES ('x', $1)", "payload")
		if time.Since(started) != time.Second {
			t.Error("the statement time is not in force")
		}
		time.Sleep(time.Second)
		if p := g.Members[1].Status().Position; p.Offset != 1 {
			t.Errorf("the partitioned replica is at %v, want offset 1", p)
		}
		if _, response := call("POST", "/received/contains", "payload"); !strings.Contains(response, "true") {
			t.Errorf("received bytes: %s", response)
		}
		if _, response := call("GET", "/history?after=7", ""); !strings.Contains(response, `"kind":"commit"`) {
			t.Errorf("history: %s", response)
		}
	})
}
