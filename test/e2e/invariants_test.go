package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

// Limits of the workspace "school" in the base file of the tests.
const (
	schoolRate  = 50.0
	schoolBurst = 20.0
)

// maxWithdrawalDelay is the time after which a withdrawn key is refused everywhere: 5 s as specified, plus slack for a
// loaded machine.
const maxWithdrawalDelay = 10 * time.Second

// createKey creates a key and returns it with its id.
func (s *system) createKey(workspace string) (key, id string) {
	s.t.Helper()
	var created struct{ Key, KeyID string }
	s.eventually("a key is created", func() error { return s.runJSON(&created, "key", "create", workspace) })
	return created.Key, created.KeyID
}

// sendReads concurrently sends reads with a key through all daemons for the given time. It returns the number of
// successful requests and the time from the first request to the last successful response.
func sendReads(s *system, key string, length time.Duration) (int, time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	done, elapsed := 0, time.Duration(0)
	start := time.Now()
	for _, d := range s.daemons {
		for range 3 {
			wg.Go(func() {
				for time.Since(start) < length {
					q := s.statementRequest(d, "", selectSQL, "rate")
					q.key, q.timeout = key, time.Second
					a, err := q.send()
					if err == nil && a.Outcome == "done" {
						mu.Lock()
						done++
						elapsed = max(elapsed, time.Since(start))
						mu.Unlock()
						continue
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return done, elapsed
}

// TestInvariantRate guards against a workspace that exceeds its rate and burst summed over all hosts, also while a host is
// frozen or dies, and against hosts that limit a workspace far below its rate.
func TestInvariantRate(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, _ := s.createKey("school")
	s.eventually("the key works", func() error {
		q := s.statementRequest(s.daemons[0], "", selectSQL, "rate")
		q.key = key
		a, err := q.send()
		if err == nil && a.Outcome != "done" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	check := func(name string, fault func()) int {
		go fault()
		done, elapsed := sendReads(s, key, 3*time.Second)
		allowed := schoolBurst + schoolRate*elapsed.Seconds()
		t.Logf("%s: %d requests done in %v, allowed %.1f", name, done, elapsed, allowed)
		if float64(done) > allowed {
			t.Errorf("%s: %d requests were done in %v, which is more than %.1f", name, done, elapsed, allowed)
		}
		return done
	}
	if done := check("no fault", func() {}); float64(done) < schoolRate*3/2 {
		t.Errorf("only %d requests were done in 3 s", done)
	}
	frozen := s.homeDaemon()
	check("home frozen", func() {
		time.Sleep(500 * time.Millisecond)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		frozen.signal(syscall.SIGCONT)
	})
	check("home killed", func() {
		time.Sleep(500 * time.Millisecond)
		frozen.kill()
	})
}

// withdrawKey withdraws a key through a daemon.
func (s *system) withdrawKey(d *daemonProcess, id string) {
	s.t.Helper()
	s.eventually("the key is withdrawn", func() error {
		return s.runJSONOn(d, nil, "key", "withdraw", id, "--change-id", "withdraw-"+id)
	})
}

// TestInvariantWithdrawnKey guards against a withdrawn key that keeps working on a keep-alive connection.
func TestInvariantWithdrawnKey(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	var dials atomic.Int32
	keepAlive := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}}}
	q := s.statementRequest(s.daemons[0], "", selectSQL, "kit")
	q.key, q.client = key, keepAlive
	s.eventually("the key works", func() error {
		a, err := q.send()
		if err == nil && a.Outcome != "done" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	s.withdrawKey(s.daemons[1], id)
	withdrawn := time.Now()
	refused := 0
	for time.Since(withdrawn) < maxWithdrawalDelay+time.Second {
		sent := time.Since(withdrawn)
		a, err := q.send()
		switch {
		case err != nil:
			t.Fatal(err)
		case a.Reason == "key_invalid":
			refused++
		case sent > maxWithdrawalDelay || refused > 0:
			t.Fatalf("%v after the withdrawal and after %d refusals: %+v", sent, refused, a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if dials.Load() != 1 {
		t.Errorf("the requests used %d connections", dials.Load())
	}
}

// TestInvariantWithdrawnKeyFrozenHost guards against a host that was frozen during a withdrawal and runs requests with the
// withdrawn key when it resumes.
func TestInvariantWithdrawnKeyFrozenHost(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	frozen := s.homeDaemon()
	other := s.daemons[0]
	if other == frozen {
		other = s.daemons[1]
	}
	q := s.statementRequest(frozen, "", selectSQL, "kit")
	q.key = key
	s.mustDo(q)
	frozen.signal(syscall.SIGSTOP)
	s.withdrawKey(other, id)
	time.Sleep(maxWithdrawalDelay)
	var wg sync.WaitGroup
	ask := func() {
		if a, err := q.send(); err == nil && a.Outcome != "not_run" {
			t.Errorf("a request with the withdrawn key got %+v", a)
		}
	}
	for range 8 { // queued in the socket buffers of the frozen host
		wg.Go(ask)
	}
	time.Sleep(200 * time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	wg.Wait()
	for range 50 {
		ask()
		time.Sleep(20 * time.Millisecond)
	}
}

// TestInvariantWithdrawnKeyStoreDown guards against hosts that keep serving a withdrawn key because the store went down
// right after the withdrawal.
func TestInvariantWithdrawnKeyStoreDown(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	q := s.statementRequest(s.daemons[0], "", selectSQL, "kit")
	q.key = key
	s.mustDo(q)
	s.withdrawKey(s.daemons[1], id)
	s.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(maxWithdrawalDelay)
	for range 20 {
		for _, d := range s.daemons {
			q.daemon = d
			a, err := q.send()
			if err != nil {
				t.Fatal(err)
			}
			if a.Outcome != "not_run" || (a.Reason != "key_invalid" && a.Reason != "configuration_stale") {
				t.Errorf("a request with the withdrawn key got %+v", a)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// beginTransaction starts a transaction and returns its handle.
func (s *system) beginTransaction(d *daemonProcess) string {
	s.t.Helper()
	a := s.mustDo(request{daemon: d, key: s.key, path: "/transactions"})
	if a.Transaction == "" {
		s.t.Fatal("a transaction has no handle")
	}
	return a.Transaction
}

// transactionStatement returns the request for a statement in a transaction.
func (s *system) transactionStatement(d *daemonProcess, handle, sql string, args ...any) request {
	q := s.statementRequest(d, "", sql, args...)
	q.body["transaction"] = handle
	return q
}

// endRequest returns the request that commits or rolls back a transaction.
func (s *system) endRequest(d *daemonProcess, handle, how string) request {
	return request{daemon: d, key: s.key, path: "/transactions/" + handle + "/" + how}
}

// TestInvariantNoKeyAtTargets guards against a caller's key being sent to a target by any kind of request.
func TestInvariantNoKeyAtTargets(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	for i, d := range s.daemons {
		a := s.mustDo(s.statementRequest(d, "", insertSQL, "seen", fmt.Sprint(i)))
		s.mustDo(s.statementRequest(d, a.Session, selectSQL, "seen"))
		stale := s.statementRequest(d, "", selectSQL, "seen")
		stale.body["max_staleness_ms"] = 60000
		s.mustDo(stale)
		for _, how := range []string{"commit", "rollback"} {
			handle := s.beginTransaction(d)
			s.mustDo(s.transactionStatement(d, handle, insertSQL, "seen-"+how, fmt.Sprint(i)))
			s.mustDo(s.endRequest(s.daemons[(i+1)%3], handle, how))
		}
		repeated := s.statementRequest(d, "", insertSQL, "seen-id", fmt.Sprint(i))
		repeated.requestID = fmt.Sprintf("seen-%d", i)
		s.mustDo(repeated)
		s.mustDo(repeated)
	}
	if !s.groupReceived("INSERT INTO kv (key, value)") {
		t.Fatal("the group has not received a statement that ran on it")
	}
	parts := strings.SplitN(s.key, "_", 3)
	for name, text := range map[string]string{"key": s.key, "secret": parts[2],
		"end of the secret": parts[2][len(parts[2])/2:]} {
		if s.groupReceived(text) {
			t.Errorf("the group received the %s", name)
		}
	}
}

// readValue reads the value of a key on the primary, independent of the session mark of an earlier request.
func (s *system) readValue(d *daemonProcess, key string) (string, bool) {
	s.t.Helper()
	handle := s.beginTransaction(d)
	a := s.mustDo(s.transactionStatement(d, handle, selectSQL, key))
	s.mustDo(s.endRequest(d, handle, "rollback"))
	if len(a.Rows) == 0 {
		return "", false
	}
	text, _ := a.Rows[0][0].(string)
	return text, true
}

// expectValue checks the value of a key; "" means that the key does not exist.
func (s *system) expectValue(d *daemonProcess, key, want string) {
	s.t.Helper()
	if got, _ := s.readValue(d, key); got != want {
		s.t.Errorf("%s is %q, want %q", key, got, want)
	}
}

// TestInvariantTransactionsApart guards against transactions that are not isolated, handles that a key of another
// workspace can use, and rolled-back transactions that leave a write.
func TestInvariantTransactionsApart(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	foreign, _ := s.createKey("school")
	for i, d := range s.daemons {
		next := s.daemons[(i+1)%3]
		for _, other := range []*daemonProcess{d, next} {
			name := fmt.Sprintf("%s-%s", d.id, other.id)
			a, b := s.beginTransaction(d), s.beginTransaction(d)
			s.mustDo(s.transactionStatement(d, a, insertSQL, "a-"+name, "a"))
			s.mustDo(s.transactionStatement(other, b, insertSQL, "b-"+name, "b"))
			s.mustDo(s.transactionStatement(other, a, insertSQL, "a2-"+name, "a"))
			s.mustDo(s.transactionStatement(d, b, insertSQL, "b2-"+name, "b"))
			if r := s.mustDo(s.transactionStatement(other, b, selectSQL, "a-"+name)); len(r.Rows) != 0 {
				t.Errorf("%s: a transaction read an uncommitted write of another one: %v", name, r.Rows)
			}
			if r := s.mustDo(s.transactionStatement(other, a, selectSQL, "a-"+name)); len(r.Rows) != 1 {
				t.Errorf("%s: a transaction does not read its own write: %v", name, r.Rows)
			}
			for _, q := range []request{s.transactionStatement(other, a, insertSQL, "foreign-"+name, "x"),
				s.endRequest(other, a, "commit"), s.endRequest(d, a, "rollback")} {
				q.key = foreign
				r, err := q.send()
				if err != nil || r.Outcome != "not_run" || r.Reason != "transaction_foreign" {
					t.Errorf("%s: a foreign key got %+v, %v", name, r, err)
				}
			}
			s.mustDo(s.endRequest(other, b, "rollback"))
			s.mustDo(s.endRequest(other, a, "commit"))
			s.expectValue(d, "a-"+name, "a")
			s.expectValue(d, "a2-"+name, "a")
			s.expectValue(d, "b-"+name, "")
			s.expectValue(d, "b2-"+name, "")
			s.expectValue(d, "foreign-"+name, "")
		}
	}
}

// TestInvariantTransactionHomeKilled guards against a transaction that is reported as done, or leaves a write, although
// its home was killed before the commit.
func TestInvariantTransactionHomeKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	home := s.homeDaemon()
	entry := s.daemons[0]
	if entry == home {
		entry = s.daemons[1]
	}
	s.mustDo(s.statementRequest(entry, "", insertSQL, "before", "x"))
	handle := s.beginTransaction(entry)
	s.mustDo(s.transactionStatement(entry, handle, insertSQL, "lost", "x"))
	home.kill()
	for _, q := range []request{s.transactionStatement(entry, handle, insertSQL, "lost", "y"),
		s.endRequest(entry, handle, "commit")} {
		a, err := q.send()
		if err != nil || a.Outcome == "done" || a.Outcome == "" {
			t.Errorf("%s after the home was killed: %+v, %v", q.path, a, err)
		}
	}
	s.eventually("another host is home", func() error {
		a, err := s.statementRequest(entry, "", insertSQL, "after", "x").send()
		if err == nil && a.Outcome != "done" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	s.expectValue(entry, "lost", "")
	s.expectValue(entry, "after", "x")
	s.expectValue(entry, "before", "x")
}

const appendSQL = "UPDATE kv SET value = value || $2 WHERE key = $1"

// TestInvariantAtMostOnce guards against a non-idempotent request that runs more than once when it is retried with its
// request id, and against a request id that is accepted for two statements.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	s.mustDo(s.statementRequest(s.daemons[0], "", insertSQL, "log", "-"))
	want := "-"
	var duplicates atomic.Int32
	ask := func(d *daemonProcess, id, text string) (response, error) {
		q := s.statementRequest(d, "", appendSQL, "log", text)
		q.requestID = id
		a, err := q.send()
		if a.Duplicate {
			duplicates.Add(1)
		}
		return a, err
	}
	// repeat retries a request until it is done. Earlier attempts may have an unknown outcome.
	repeat := func(d *daemonProcess, id, text string) {
		s.eventually("request "+id+" is done", func() error {
			a, err := ask(d, id, text)
			if err == nil && a.Outcome != "done" {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
	for round := range 6 {
		if round >= 3 {
			s.setMemberFaults("m1", map[string]any{"lose_answers": 2})
		}
		id, text := fmt.Sprintf("serial-%d", round), fmt.Sprintf("s%d ", round)
		for range 2 {
			for _, d := range s.daemons {
				repeat(d, id, text)
			}
		}
		want += text
		s.expectValue(s.daemons[round%3], "log", want)

		if round >= 3 {
			s.setMemberFaults("m1", map[string]any{"lose_answers": 2})
		}
		id, text = fmt.Sprintf("parallel-%d", round), fmt.Sprintf("p%d ", round)
		var wg sync.WaitGroup
		for range 4 {
			for _, d := range s.daemons {
				wg.Go(func() { ask(d, id, text) })
			}
		}
		wg.Wait()
		repeat(s.daemons[round%3], id, text)
		want += text
		s.expectValue(s.daemons[round%3], "log", want)
	}
	s.setMemberFaults("m1", map[string]any{"lose_answers": 0})
	if duplicates.Load() == 0 {
		t.Error("no response is marked as a duplicate")
	}
	for _, d := range s.daemons {
		other := s.statementRequest(d, "", insertSQL, "log", "overwritten")
		other.requestID = "serial-0"
		a, err := other.send()
		if err != nil || a.Status != http.StatusConflict || a.Reason != "request_id_conflict" {
			t.Errorf("another statement with a used request id got %+v, %v", a, err)
		}
	}
	s.expectValue(s.daemons[0], "log", want)
	s.checkNoDuplicateCommits()
}

// editBaseFile writes a copy of the base file with a text replaced and returns its path.
func (s *system) editBaseFile(name, old, with string) string {
	s.t.Helper()
	data, err := os.ReadFile(s.baseFile)
	if err != nil {
		s.t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		s.t.Fatalf("the base file has no %q", old)
	}
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, with, 1)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// configDiff is the JSON output of config diff.
type configDiff struct {
	Version     uint64
	Differences []string
}

// diffConfiguration compares a base file with the configuration in force.
func (s *system) diffConfiguration(d *daemonProcess, path string) configDiff {
	s.t.Helper()
	out := configDiff{}
	s.eventually("config diff answers", func() error {
		if err := s.runJSONOn(d, &out, "config", "diff", path); err != nil && len(out.Differences) == 0 {
			return err
		}
		return nil
	})
	return out
}

// applyConfiguration applies a base file at the version returned by config diff.
func (s *system) applyConfiguration(d *daemonProcess, path string) {
	s.t.Helper()
	diff := s.diffConfiguration(d, path)
	if diff.Version == 0 || len(diff.Differences) == 0 {
		s.t.Fatalf("config diff of a changed file: %+v", diff)
	}
	if err := s.runJSONOn(d, nil, "config", "apply", path, "--expect-version", fmt.Sprint(diff.Version)); err != nil {
		s.t.Fatal(err)
	}
}

// maxLeavingDelay is the time after which a leaving target gets no new statements: "a few seconds" as specified, plus
// slack for a loaded machine.
const maxLeavingDelay = 10 * time.Second

// TestInvariantLeavingTarget guards against new statements on a target that is leaving, for a replica and for the
// primary, and against writes that fail in the meantime.
func TestInvariantLeavingTarget(t *testing.T) {
	for _, leaving := range []int{3, 1} {
		member := fmt.Sprintf("m%d", leaving)
		t.Run(member, func(t *testing.T) {
			t.Parallel()
			s := startSystem(t, 3)
			stop := make(chan struct{})
			var since, until time.Time
			go func() {
				defer close(stop)
				time.Sleep(2 * time.Second)
				line := "address = " + s.targetAddresses[leaving-1] + "\n"
				s.applyConfiguration(s.daemons[0], s.editBaseFile("leaving.ini", line, line+"state = leaving\n"))
				time.Sleep(maxLeavingDelay)
				since = time.Now()
				time.Sleep(3 * time.Second)
				until = time.Now()
			}()
			clients := runSessions(t, s, 4, uint64(leaving), stop)
			logSummary(t, clients)
			s.checkNoDuplicateCommits()
			before, after, elsewhere := 0, 0, 0
			for _, e := range s.events() {
				if e.Kind != target.EventStatement || !strings.Contains(e.SQL, " kv ") {
					continue // an internal statement of the daemon
				}
				switch {
				case e.Member == member && e.Time.Before(since):
					before++
				case e.Member == member && e.Time.Before(until):
					after++
				case e.Time.After(since) && e.Time.Before(until):
					elsewhere++
				}
			}
			t.Logf("statements on %s: %d before, %d after; elsewhere after: %d", member, before, after, elsewhere)
			if before == 0 || elsewhere == 0 {
				t.Errorf("%d statements ran on %s before it left, and %d elsewhere afterwards", before, member, elsewhere)
			}
			if after > 0 {
				t.Errorf("%d statements ran on %s more than %v after it began to leave", after, member, maxLeavingDelay)
			}
			for _, c := range clients {
				if c.lastWrite.Before(since) {
					t.Errorf("session %d: no write was done after %s left", c.id, member)
				}
			}
		})
	}
}

// TestInvariantPlannedStop guards against a planned stop under load that loses requests or writes, serves stale data or
// exits with an error.
func TestInvariantPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	leaving := s.homeDaemon()
	var unanswered atomic.Int32
	stop := make(chan struct{})
	code := -1
	var stopped time.Time
	go func() {
		defer close(stop)
		time.Sleep(3 * time.Second)
		code = leaving.stop(t)
		stopped = time.Now()
		time.Sleep(2 * time.Second)
	}()
	// These callers retry a request through another daemon if it is refused because of draining or if the connection is
	// refused. Every other request must get a response.
	var wg sync.WaitGroup
	for caller := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(sessionRequestPause):
				}
				for attempt := range len(s.daemons) {
					q := s.statementRequest(s.daemons[(n+attempt)%len(s.daemons)], "", insertSQL,
						fmt.Sprintf("caller-%d", caller), fmt.Sprint(n))
					q.requestID = fmt.Sprintf("caller-%d-%d", caller, n)
					a, err := q.send()
					if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
						unanswered.Add(1)
						t.Errorf("request %s through %s got no response: %v", q.requestID, q.daemon.id, err)
					}
					if err == nil && a.Outcome == "" {
						t.Errorf("request %s has no outcome: %+v", q.requestID, a)
					}
					if err == nil && a.Reason != "draining" {
						break
					}
				}
			}
		})
	}
	clients := runSessions(t, s, 4, 12, stop)
	wg.Wait()
	logSummary(t, clients)
	s.checkNoDuplicateCommits()
	if code != 0 {
		t.Errorf("the planned stop ended with exit code %d", code)
	}
	t.Logf("%d requests without a response", unanswered.Load())
	for _, c := range clients {
		if c.lastWrite.Before(stopped) {
			t.Errorf("session %d: no write was done after the stop", c.id)
		}
	}
}

// TestInvariantBadInput guards against invalid input that is executed, or refused without a reason and an outcome.
func TestInvariantBadInput(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	forbidden, _ := s.createKey("workshop")
	good := `{"sql": "` + selectSQL + `", "args": ["bad"]}`
	write := func(sql string) string { return `{"sql": "` + sql + `", "args": []}` }
	cases := []struct {
		name, service, body, session string
		status                       int // 0 means any refusal
		reason                       string
	}{
		{"broken JSON", "stock", `{"sql": "INSERT`, "", http.StatusBadRequest, "bad_request"},
		{"no JSON", "stock", "INSERT INTO kv (key, value) VALUES ('bad', 'x')", "", http.StatusBadRequest, "bad_request"},
		{"empty body", "stock", "", "", http.StatusBadRequest, "bad_request"},
		{"no statement", "stock", "{}", "", http.StatusBadRequest, "bad_request"},
		{"wrong type", "stock", `{"sql": 7}`, "", http.StatusBadRequest, "bad_request"},
		{"body above 1 MiB", "stock", `{"sql": "` + insertSQL + `", "args": ["bad", "` + strings.Repeat("x", 1<<20) + `"]}`, "",
			http.StatusRequestEntityTooLarge, "bad_request"},
		{"session token that is no token", "stock", good, "AAAA", http.StatusBadRequest, "session_token_invalid"},
		{"session token with other characters", "stock", good, "!!", http.StatusBadRequest, "session_token_invalid"},
		{"unknown service", "nothing", good, "", http.StatusNotFound, "service_unknown"},
		{"several statements", "stock",
			write("INSERT INTO kv (key, value) VALUES ('bad', 'x'); DELETE FROM kv WHERE key = 'bad'"),
			"", 0, ""},
		{"SET outside a transaction", "stock", write("SET statement_timeout = 1000"), "", 0, "session_state_refused"},
		{"COMMIT as a statement", "stock", write("COMMIT"), "", 0, ""},
	}
	send := func(d *daemonProcess, key, service, session, body string) response {
		q, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/v1/services/"+service+"/statements",
			strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("Authorization", "Bearer "+key)
		if session != "" {
			q.Header.Set("X-Session-Token", session)
		}
		r, err := client.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, _ := io.ReadAll(r.Body)
		a := response{}
		if err := json.Unmarshal(text, &a); err != nil {
			t.Errorf("the response is not JSON: %s: %q", r.Status, text)
		}
		a.Status = r.StatusCode
		return a
	}
	for _, d := range s.daemons {
		for _, c := range cases {
			a := send(d, s.key, c.service, c.session, c.body)
			if a.Status < 400 || a.Status >= 500 || a.Outcome != "not_run" || a.Reason == "" || a.Detail == "" ||
				(c.status != 0 && a.Status != c.status) || (c.reason != "" && a.Reason != c.reason) {
				t.Errorf("%s through %s: %+v", c.name, d.id, a)
			}
		}
	}
	s.mustDo(s.statementRequest(s.daemons[0], "", insertSQL, "good", "x"))
	s.expectValue(s.daemons[0], "bad", "")

	// Requests of a workspace that is no longer allowed to use the service are refused.
	s.applyConfiguration(s.daemons[0], s.editBaseFile("forbidden.ini", "rate = 1000\nburst = 1000\nservices = stock\n",
		"rate = 1000\nburst = 1000\nservices = other\n[service other]\nslots = 3\nconnections = 20\n"+
			"[target other/db1]\naddress = "+s.targetAddresses[0]+"\ndata_centre = brest\n"))
	for _, d := range s.daemons {
		s.eventually("the service is forbidden through "+d.id, func() error {
			a := send(d, forbidden, "stock", "", good)
			if a.Status != http.StatusForbidden || a.Outcome != "not_run" || a.Reason != "service_forbidden" {
				return fmt.Errorf("%+v", a)
			}
			return nil
		})
	}
}

// TestInvariantConfigurationNeverReverts guards against an accepted change that is lost when operators race or when the
// store's response is lost, and against a refused change that takes effect.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)

	// Two operators concurrently apply different files at the same version.
	files := []string{s.editBaseFile("first.ini", "burst = 20\n", "burst = 21\n"),
		s.editBaseFile("second.ini", "burst = 20\n", "burst = 22\n")}
	version := s.diffConfiguration(s.daemons[0], files[0]).Version
	var wg sync.WaitGroup
	errs := make([]error, len(files))
	for i, path := range files {
		wg.Go(func() {
			errs[i] = s.runJSONOn(s.daemons[i], nil, "config", "apply", path, "--expect-version", fmt.Sprint(version))
		})
	}
	wg.Wait()
	won := 0
	if errs[0] != nil {
		won = 1
	}
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("two operators changed the same version: %v, %v", errs[0], errs[1])
	}
	t.Logf("the other operator was refused: %v", errs[1-won])
	for _, d := range s.daemons {
		s.eventually("the accepted change is in force on "+d.id, func() error {
			if out := s.diffConfiguration(d, files[won]); len(out.Differences) > 0 {
				return fmt.Errorf("%v", out.Differences)
			}
			return nil
		})
	}

	// The store drops the responses to the compare-and-swap that creates a key.
	s.setPlatformFaults(map[string]any{"lose_answers": 2})
	var created struct{ Key, KeyID string }
	if err := s.runJSONOn(s.daemons[1], &created, "key", "create", "workshop", "--change-id", "lost-answer"); err != nil {
		t.Errorf("a key was not created although the store only dropped responses: %v", err)
	}
	s.setPlatformFaults(map[string]any{})
	if keys := s.keyIDs(s.daemons[2], "workshop"); len(keys) != 2 {
		t.Errorf("the workspace has keys %v, want two", keys)
	}
	for _, d := range s.daemons {
		s.eventually("the key works through "+d.id, func() error {
			q := s.statementRequest(d, "", selectSQL, "kit")
			q.key = created.Key
			a, err := q.send()
			if err == nil && a.Outcome != "done" {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}

	// While the store is down, a change is refused, and it does not take effect later either.
	before := s.diffConfiguration(s.daemons[0], files[1-won])
	s.setPlatformFaults(map[string]any{"down": true})
	err := s.runJSON(nil, "config", "apply", files[1-won], "--expect-version", fmt.Sprint(before.Version))
	if err == nil || !strings.Contains(err.Error(), "not accepted") {
		t.Errorf("a change while the store is down got %v", err)
	}
	s.setPlatformFaults(map[string]any{})
	time.Sleep(2 * time.Second)
	for _, d := range s.daemons {
		if out := s.diffConfiguration(d, files[won]); out.Version != before.Version || len(out.Differences) > 0 {
			t.Errorf("%s after the refused change: %+v, want version %d without differences", d.id, out, before.Version)
		}
	}
}

// keyIDs returns the ids of a workspace's keys in the configuration in force.
func (s *system) keyIDs(d *daemonProcess, workspace string) []string {
	s.t.Helper()
	var shown struct {
		Document struct {
			Keys []struct{ ID, Workspace string }
		}
	}
	s.eventually("config show answers", func() error { return s.runJSONOn(d, &shown, "config", "show") })
	var ids []string
	for _, k := range shown.Document.Keys {
		if k.Workspace == workspace {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
