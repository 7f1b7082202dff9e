package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
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
