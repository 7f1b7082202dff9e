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

// withdrawalLimit is the time after which a withdrawn key is refused everywhere: 5 s of the specification, and slack for
// a busy machine.
const withdrawalLimit = 10 * time.Second

// createKey creates a key and returns it with its id.
func (s *system) createKey(workspace string) (key, id string) {
	s.t.Helper()
	var created struct{ Key, KeyID string }
	s.eventually("a key is created", func() error { return s.command(&created, "key", "create", workspace) })
	return created.Key, created.KeyID
}

// hammer sends reads with a key through all daemons at once for a time. It returns the number of requests that were done
// and the time from before the first request to after the last answer that was done.
func hammer(s *system, key string, length time.Duration) (int, time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	done, elapsed := 0, time.Duration(0)
	start := time.Now()
	for _, d := range s.daemons {
		for range 3 {
			wg.Go(func() {
				for time.Since(start) < length {
					q := s.statement(d, "", selectSQL, "rate")
					q.key, q.timeout = key, time.Second
					a, err := q.do()
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

// TestInvariantRate guards against a workspace that gets more than its burst and rate over all hosts together, also
// while a host is frozen or dies, and against hosts that keep a workspace far below its rate.
func TestInvariantRate(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, _ := s.createKey("school")
	s.eventually("the key works", func() error {
		q := s.statement(s.daemons[0], "", selectSQL, "rate")
		q.key = key
		a, err := q.do()
		if err == nil && a.Outcome != "done" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	check := func(name string, fault func()) int {
		go fault()
		done, elapsed := hammer(s, key, 3*time.Second)
		most := schoolBurst + schoolRate*elapsed.Seconds()
		t.Logf("%s: %d requests done in %v, allowed %.1f", name, done, elapsed, most)
		if float64(done) > most {
			t.Errorf("%s: %d requests were done in %v, which is more than %.1f", name, done, elapsed, most)
		}
		return done
	}
	if done := check("no fault", func() {}); float64(done) < schoolRate*3/2 {
		t.Errorf("only %d requests were done in 3 s", done)
	}
	frozen := s.home()
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

// withdraw withdraws a key through a daemon.
func (s *system) withdraw(d *daemonProcess, id string) {
	s.t.Helper()
	s.eventually("the key is withdrawn", func() error {
		return s.commandOn(d, nil, "key", "withdraw", id, "--change-id", "withdraw-"+id)
	})
}

// TestInvariantWithdrawnKey guards against a withdrawn key that a kept-alive connection can go on using.
func TestInvariantWithdrawnKey(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	var dials atomic.Int32
	kept := &http.Client{Timeout: patience, Transport: &http.Transport{MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, addr)
		}}}
	q := s.statement(s.daemons[0], "", selectSQL, "kit")
	q.key, q.client = key, kept
	s.eventually("the key works", func() error {
		a, err := q.do()
		if err == nil && a.Outcome != "done" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	s.withdraw(s.daemons[1], id)
	withdrawn := time.Now()
	refused := 0
	for time.Since(withdrawn) < withdrawalLimit+time.Second {
		sent := time.Since(withdrawn)
		a, err := q.do()
		switch {
		case err != nil:
			t.Fatal(err)
		case a.Reason == "key_invalid":
			refused++
		case sent > withdrawalLimit || refused > 0:
			t.Fatalf("%v after the withdrawal and after %d refusals: %+v", sent, refused, a)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if dials.Load() != 1 {
		t.Errorf("the requests used %d connections", dials.Load())
	}
}

// TestInvariantWithdrawnKeyFrozenHost guards against a host that slept through a withdrawal and runs requests with the
// withdrawn key when it wakes.
func TestInvariantWithdrawnKeyFrozenHost(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	frozen := s.home()
	other := s.daemons[0]
	if other == frozen {
		other = s.daemons[1]
	}
	q := s.statement(frozen, "", selectSQL, "kit")
	q.key = key
	s.must(q)
	frozen.signal(syscall.SIGSTOP)
	s.withdraw(other, id)
	time.Sleep(withdrawalLimit)
	var wg sync.WaitGroup
	ask := func() {
		if a, err := q.do(); err == nil && a.Outcome != "not_run" {
			t.Errorf("a request with the withdrawn key got %+v", a)
		}
	}
	for range 8 { // these wait in the frozen host's sockets
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

// TestInvariantWithdrawnKeyStoreDown guards against hosts that go on serving a withdrawn key because the store went down
// right after the withdrawal.
func TestInvariantWithdrawnKeyStoreDown(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	key, id := s.createKey("workshop")
	q := s.statement(s.daemons[0], "", selectSQL, "kit")
	q.key = key
	s.must(q)
	s.withdraw(s.daemons[1], id)
	s.platformFaults(map[string]any{"down": true})
	time.Sleep(withdrawalLimit)
	for range 20 {
		for _, d := range s.daemons {
			q.daemon = d
			a, err := q.do()
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

// begin begins a transaction and returns its handle.
func (s *system) begin(d *daemonProcess) string {
	s.t.Helper()
	a := s.must(request{daemon: d, key: s.key, path: "/transactions"})
	if a.Transaction == "" {
		s.t.Fatal("a transaction has no handle")
	}
	return a.Transaction
}

// within returns the request for a statement in a transaction.
func (s *system) within(d *daemonProcess, handle, sql string, args ...any) request {
	q := s.statement(d, "", sql, args...)
	q.body["transaction"] = handle
	return q
}

// end returns the request that commits or rolls back a transaction.
func (s *system) end(d *daemonProcess, handle, how string) request {
	return request{daemon: d, key: s.key, path: "/transactions/" + handle + "/" + how}
}

// TestInvariantNoKeyAtTargets guards against a caller's key that reaches a target on any route.
func TestInvariantNoKeyAtTargets(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	for i, d := range s.daemons {
		a := s.must(s.statement(d, "", insertSQL, "seen", fmt.Sprint(i)))
		s.must(s.statement(d, a.Session, selectSQL, "seen"))
		stale := s.statement(d, "", selectSQL, "seen")
		stale.body["max_staleness_ms"] = 60000
		s.must(stale)
		for _, how := range []string{"commit", "rollback"} {
			handle := s.begin(d)
			s.must(s.within(d, handle, insertSQL, "seen-"+how, fmt.Sprint(i)))
			s.must(s.end(s.daemons[(i+1)%3], handle, how))
		}
		repeated := s.statement(d, "", insertSQL, "seen-id", fmt.Sprint(i))
		repeated.id = fmt.Sprintf("seen-%d", i)
		s.must(repeated)
		s.must(repeated)
	}
	if !s.received("INSERT INTO kv (key, value)") {
		t.Fatal("the group has not received a statement that ran on it")
	}
	parts := strings.SplitN(s.key, "_", 3)
	for name, text := range map[string]string{"key": s.key, "secret": parts[2], "end of the secret": parts[2][len(parts[2])/2:]} {
		if s.received(text) {
			t.Errorf("the group received the %s", name)
		}
	}
}

// value reads the value of a key without a session mark of an earlier request; the read goes to the primary.
func (s *system) value(d *daemonProcess, key string) (string, bool) {
	s.t.Helper()
	handle := s.begin(d)
	a := s.must(s.within(d, handle, selectSQL, key))
	s.must(s.end(d, handle, "rollback"))
	if len(a.Rows) == 0 {
		return "", false
	}
	text, _ := a.Rows[0][0].(string)
	return text, true
}

// expectValue checks the value of a key; "" stands for no value.
func (s *system) expectValue(d *daemonProcess, key, want string) {
	s.t.Helper()
	if got, _ := s.value(d, key); got != want {
		s.t.Errorf("%s is %q, want %q", key, got, want)
	}
}

// TestInvariantTransactionsApart guards against transactions that mix, against handles that another workspace's key can
// use, and against a rolled back transaction that leaves a write.
func TestInvariantTransactionsApart(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	foreign, _ := s.createKey("school")
	for i, d := range s.daemons {
		next := s.daemons[(i+1)%3]
		for _, other := range []*daemonProcess{d, next} {
			name := fmt.Sprintf("%s-%s", d.id, other.id)
			a, b := s.begin(d), s.begin(d)
			s.must(s.within(d, a, insertSQL, "a-"+name, "a"))
			s.must(s.within(other, b, insertSQL, "b-"+name, "b"))
			s.must(s.within(other, a, insertSQL, "a2-"+name, "a"))
			s.must(s.within(d, b, insertSQL, "b2-"+name, "b"))
			if r := s.must(s.within(other, b, selectSQL, "a-"+name)); len(r.Rows) != 0 {
				t.Errorf("%s: a transaction read another one's write that is not committed: %v", name, r.Rows)
			}
			if r := s.must(s.within(other, a, selectSQL, "a-"+name)); len(r.Rows) != 1 {
				t.Errorf("%s: a transaction does not read its own write: %v", name, r.Rows)
			}
			for _, q := range []request{s.within(other, a, insertSQL, "foreign-"+name, "x"), s.end(other, a, "commit"),
				s.end(d, a, "rollback")} {
				q.key = foreign
				r, err := q.do()
				if err != nil || r.Outcome != "not_run" || r.Reason != "transaction_foreign" {
					t.Errorf("%s: a foreign key got %+v, %v", name, r, err)
				}
			}
			s.must(s.end(other, b, "rollback"))
			s.must(s.end(other, a, "commit"))
			s.expectValue(d, "a-"+name, "a")
			s.expectValue(d, "a2-"+name, "a")
			s.expectValue(d, "b-"+name, "")
			s.expectValue(d, "b2-"+name, "")
			s.expectValue(d, "foreign-"+name, "")
		}
	}
}

// TestInvariantTransactionHomeKilled guards against a transaction that is reported as done, or leaves a write, although
// its home died before the commit.
func TestInvariantTransactionHomeKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	home := s.home()
	entry := s.daemons[0]
	if entry == home {
		entry = s.daemons[1]
	}
	s.must(s.statement(entry, "", insertSQL, "before", "x"))
	handle := s.begin(entry)
	s.must(s.within(entry, handle, insertSQL, "lost", "x"))
	home.kill()
	for _, q := range []request{s.within(entry, handle, insertSQL, "lost", "y"), s.end(entry, handle, "commit")} {
		a, err := q.do()
		if err != nil || a.Outcome == "done" || a.Outcome == "" {
			t.Errorf("%s after the home's death: %+v, %v", q.path, a, err)
		}
	}
	s.eventually("another host is home", func() error {
		a, err := s.statement(entry, "", insertSQL, "after", "x").do()
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

// TestInvariantAtMostOnce guards against a non-idempotent request that runs more than once when it is repeated with its
// request id, and against a request id that stands for two statements.
func TestInvariantAtMostOnce(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	s.must(s.statement(s.daemons[0], "", insertSQL, "log", "-"))
	want := "-"
	var duplicates atomic.Int32
	ask := func(d *daemonProcess, id, text string) (answer, error) {
		q := s.statement(d, "", appendSQL, "log", text)
		q.id = id
		a, err := q.do()
		if a.Duplicate {
			duplicates.Add(1)
		}
		return a, err
	}
	// repeat sends a request until it is done. Its outcome may be unknown before.
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
			s.memberFaults("m1", map[string]any{"lose_answers": 2})
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
			s.memberFaults("m1", map[string]any{"lose_answers": 2})
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
	s.memberFaults("m1", map[string]any{"lose_answers": 0})
	if duplicates.Load() == 0 {
		t.Error("no answer says that the request is a duplicate")
	}
	for _, d := range s.daemons {
		other := s.statement(d, "", insertSQL, "log", "overwritten")
		other.id = "serial-0"
		a, err := other.do()
		if err != nil || a.Status != http.StatusConflict || a.Reason != "request_id_conflict" {
			t.Errorf("another statement with a used request id got %+v, %v", a, err)
		}
	}
	s.expectValue(s.daemons[0], "log", want)
	s.checkRunOnce()
}

// edit returns a copy of the base file with a text replaced.
func (s *system) edit(name, old, with string) string {
	s.t.Helper()
	data, err := os.ReadFile(s.base)
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

// difference is the output of config diff.
type difference struct {
	Version     uint64
	Differences []string
}

// diff compares a base file with the configuration in force.
func (s *system) diff(d *daemonProcess, path string) difference {
	s.t.Helper()
	out := difference{}
	s.eventually("config diff answers", func() error {
		if err := s.commandOn(d, &out, "config", "diff", path); err != nil && len(out.Differences) == 0 {
			return err
		}
		return nil
	})
	return out
}

// apply applies a base file at the version that config diff prints.
func (s *system) apply(d *daemonProcess, path string) {
	s.t.Helper()
	seen := s.diff(d, path)
	if seen.Version == 0 || len(seen.Differences) == 0 {
		s.t.Fatalf("config diff of a changed file: %+v", seen)
	}
	if err := s.commandOn(d, nil, "config", "apply", path, "--expect-version", fmt.Sprint(seen.Version)); err != nil {
		s.t.Fatal(err)
	}
}

// leavingLimit is the time after which a leaving target gets no new work: "a few seconds" of the specification, and
// slack for a busy machine.
const leavingLimit = 10 * time.Second

// TestInvariantLeavingTarget guards against new work on a target that leaves, for a replica and for the primary, and
// against writes that stop meanwhile.
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
				line := "address = " + s.targets[leaving-1] + "\n"
				s.apply(s.daemons[0], s.edit("leaving.ini", line, line+"state = leaving\n"))
				time.Sleep(leavingLimit)
				since = time.Now()
				time.Sleep(3 * time.Second)
				until = time.Now()
			}()
			roamers := roam(t, s, 4, uint64(leaving), stop)
			summarize(t, roamers)
			s.checkRunOnce()
			before, after, elsewhere := 0, 0, 0
			for _, e := range s.events() {
				if e.Kind != target.EventStatement || !strings.Contains(e.SQL, " kv ") {
					continue // a statement of the proxy
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
				t.Errorf("%d statements ran on %s more than %v after it began to leave", after, member, leavingLimit)
			}
			for _, r := range roamers {
				if r.lastOK.Before(since) {
					t.Errorf("session %d: no write was done after %s left", r.id, member)
				}
			}
		})
	}
}

// TestInvariantPlannedStop guards against a planned stop under load that loses requests, reads stale data, loses writes
// or ends with an error.
func TestInvariantPlannedStop(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)
	leaving := s.home()
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
	// These callers repeat a request through another daemon when it is refused because of draining, or when its
	// connection is refused. Every other request needs an answer.
	var wg sync.WaitGroup
	for caller := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(roamPause):
				}
				for attempt := range len(s.daemons) {
					q := s.statement(s.daemons[(n+attempt)%len(s.daemons)], "", insertSQL, fmt.Sprintf("caller-%d", caller), fmt.Sprint(n))
					q.id = fmt.Sprintf("caller-%d-%d", caller, n)
					a, err := q.do()
					if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
						unanswered.Add(1)
						t.Errorf("request %s through %s was not answered: %v", q.id, q.daemon.id, err)
					}
					if err == nil && a.Outcome == "" {
						t.Errorf("request %s has no outcome: %+v", q.id, a)
					}
					if err == nil && a.Reason != "draining" {
						break
					}
				}
			}
		})
	}
	roamers := roam(t, s, 4, 12, stop)
	wg.Wait()
	summarize(t, roamers)
	s.checkRunOnce()
	if code != 0 {
		t.Errorf("the planned stop ended with exit code %d", code)
	}
	t.Logf("%d requests without an answer", unanswered.Load())
	for _, r := range roamers {
		if r.lastOK.Before(stopped) {
			t.Errorf("session %d: no write was done after the stop", r.id)
		}
	}
}

// TestInvariantBadInput guards against bad input that runs, or that is refused without a clear reason and outcome.
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
		{"several statements", "stock", write("INSERT INTO kv (key, value) VALUES ('bad', 'x'); DELETE FROM kv WHERE key = 'bad'"),
			"", 0, ""},
		{"SET outside a transaction", "stock", write("SET statement_timeout = 1000"), "", 0, "session_state_refused"},
		{"COMMIT as a statement", "stock", write("COMMIT"), "", 0, ""},
	}
	send := func(d *daemonProcess, key, service, session, body string) answer {
		q, err := http.NewRequest(http.MethodPost, "http://"+d.caller+"/v1/services/"+service+"/statements", strings.NewReader(body))
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
		a := answer{}
		if err := json.Unmarshal(text, &a); err != nil {
			t.Errorf("the answer is not JSON: %s: %q", r.Status, text)
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
	s.must(s.statement(s.daemons[0], "", insertSQL, "good", "x"))
	s.expectValue(s.daemons[0], "bad", "")

	// A workspace that loses the service is refused there.
	s.apply(s.daemons[0], s.edit("forbidden.ini", "rate = 1000\nburst = 1000\nservices = stock\n",
		"rate = 1000\nburst = 1000\nservices = other\n[service other]\nslots = 3\nconnections = 20\n"+
			"[target other/db1]\naddress = "+s.targets[0]+"\ndata_centre = brest\n"))
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
// store loses its answer, and against a refused change that takes effect.
func TestInvariantConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3)

	// Two operators apply different files for the same version.
	files := []string{s.edit("first.ini", "burst = 20\n", "burst = 21\n"), s.edit("second.ini", "burst = 20\n", "burst = 22\n")}
	version := s.diff(s.daemons[0], files[0]).Version
	var wg sync.WaitGroup
	errs := make([]error, len(files))
	for i, path := range files {
		wg.Go(func() {
			errs[i] = s.commandOn(s.daemons[i], nil, "config", "apply", path, "--expect-version", fmt.Sprint(version))
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
			if out := s.diff(d, files[won]); len(out.Differences) > 0 {
				return fmt.Errorf("%v", out.Differences)
			}
			return nil
		})
	}

	// The store loses the answers to the swap that creates a key.
	s.platformFaults(map[string]any{"lose_answers": 2})
	var created struct{ Key, KeyID string }
	if err := s.commandOn(s.daemons[1], &created, "key", "create", "workshop", "--change-id", "lost-answer"); err != nil {
		t.Errorf("a key was not created although the store only lost answers: %v", err)
	}
	s.platformFaults(map[string]any{})
	if keys := s.keysOf(s.daemons[2], "workshop"); len(keys) != 2 {
		t.Errorf("the workspace has keys %v, want two", keys)
	}
	for _, d := range s.daemons {
		s.eventually("the key works through "+d.id, func() error {
			q := s.statement(d, "", selectSQL, "kit")
			q.key = created.Key
			a, err := q.do()
			if err == nil && a.Outcome != "done" {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}

	// The store is down: a change is refused, and nothing changes, then or later.
	before := s.diff(s.daemons[0], files[1-won])
	s.platformFaults(map[string]any{"down": true})
	err := s.command(nil, "config", "apply", files[1-won], "--expect-version", fmt.Sprint(before.Version))
	if err == nil || !strings.Contains(err.Error(), "not accepted") {
		t.Errorf("a change while the store is down got %v", err)
	}
	s.platformFaults(map[string]any{})
	time.Sleep(2 * time.Second)
	for _, d := range s.daemons {
		if out := s.diff(d, files[won]); out.Version != before.Version || len(out.Differences) > 0 {
			t.Errorf("%s after the refused change: %+v, want version %d without differences", d.id, out, before.Version)
		}
	}
}

// keysOf returns the ids of a workspace's keys in the configuration in force.
func (s *system) keysOf(d *daemonProcess, workspace string) []string {
	s.t.Helper()
	var shown struct {
		Document struct {
			Keys []struct{ ID, Workspace string }
		}
	}
	s.eventually("config show answers", func() error { return s.commandOn(d, &shown, "config", "show") })
	var ids []string
	for _, k := range shown.Document.Keys {
		if k.Workspace == workspace {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
