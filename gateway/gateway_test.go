package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Guards against a read that misses the last write of its own session while replicas lag.
func TestSessionReadsItsWrites(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.group.SetReplicationLag(60 * time.Millisecond)
	c := fleet.mustConnect(1, "plans", "workshop-key")
	for i := range 100 {
		want := fmt.Sprintf("value-%d", i)
		if a := c.Query(fmt.Sprintf("w%d", i), "WRITE item "+want); a.Code != "" {
			t.Fatalf("write %d: %+v", i, a)
		}
		if a := c.Query(fmt.Sprintf("r%d", i), "READ item"); len(a.Rows) != 1 || a.Rows[0] != want {
			t.Fatalf("read %d returned %+v, want %s", i, a, want)
		}
	}
}

// Guards against a statement that runs on a connection with the session variables or prepared statements of another
// session, or with another workspace than its session's.
func TestSessionsDoNotMix(t *testing.T) {
	fleet := newTestFleet(t)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			key := []string{"workshop-key", "school-key"}[i%2]
			c, err := fleet.connect(i%3, "plans", key)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.Query("-", fmt.Sprintf("SET owner session-%d", i))
			c.Query("-", "PREPARE s1 "+[]string{"READ", "WRITE"}[i%2]+" shape-"+fmt.Sprint(i))
			for n := range 20 {
				text := []string{"EXECUTE s1 item", "EXECUTE s1 item data"}[i%2]
				if a := c.Query(fmt.Sprintf("mix-%d-%d", i, n), text); a.Code != "" {
					t.Errorf("session %d: %+v", i, a)
				}
			}
		})
	}
	wg.Wait()
	for _, e := range fleet.group.ExecutedStatements() {
		var session, n int
		if _, err := fmt.Sscanf(e.ID, "mix-%d-%d", &session, &n); err != nil {
			continue
		}
		if want := fmt.Sprintf("owner=session-%d", session); e.SessionVariables != want {
			t.Errorf("statement %s ran with session variables %q, want %q", e.ID, e.SessionVariables, want)
		}
		if want := []string{"workshop", "school"}[session%2]; e.Workspace != want {
			t.Errorf("statement %s ran as %q, want %q", e.ID, e.Workspace, want)
		}
		if prefix := []string{"EXECUTE r_shape-", "EXECUTE w_shape-"}[session%2]; !strings.HasPrefix(e.Text,
			prefix+fmt.Sprint(session)+" ") {
			t.Errorf("statement %s of session %d ran as %q", e.ID, session, e.Text)
		}
	}
}

// Guards against losing a committed transaction, and against keeping all or part of one that was rolled back or whose
// caller disconnected.
func TestTransactions(t *testing.T) {
	fleet := newTestFleet(t)
	for host := range 3 { // at least one of them forwards the transaction to another
		c := fleet.mustConnect(host, "orders", "workshop-key")
		id := func(step string) string { return fmt.Sprintf("t%d-%s", host, step) }
		steps := []struct{ id, text, state string }{
			{id("begin"), "BEGIN", "T"}, {id("write"), "WRITE kept yes", "T"}, {id("commit"), "COMMIT", "I"},
			{id("begin2"), "BEGIN", "T"}, {id("dropped"), "WRITE dropped yes", "T"}, {id("rollback"), "ROLLBACK", "I"},
			{id("begin3"), "BEGIN", "T"}, {id("left"), "WRITE left yes", "T"},
		}
		for _, step := range steps {
			if a := c.Query(step.id, step.text); a.Code != "" || a.TxnStatus != step.state {
				t.Fatalf("host %d, %s: %+v", host, step.text, a)
			}
		}
		c.Close()
	}
	time.Sleep(200 * time.Millisecond)
	committed := fleet.group.CommittedIDs()
	for host := range 3 {
		if !slices.Contains(committed, fmt.Sprintf("t%d-write", host)) {
			t.Errorf("the committed transaction of host %d is not in the log", host)
		}
		for _, step := range []string{"dropped", "left"} {
			if slices.Contains(committed, fmt.Sprintf("t%d-%s", host, step)) {
				t.Errorf("the write %q of host %d was committed", step, host)
			}
		}
	}
}

// writer sends writes until it is stopped, and records the answers.
type writer struct {
	acknowledged, notApplied []string // answered with success, or with a code that guarantees that nothing was written
	lastAck                  time.Time
	longestGap               time.Duration
}

// runWriter writes through one host, reconnecting after errors, until the channel is closed.
func (fleet *testFleet) runWriter(name string, host int, stop <-chan struct{}) *writer {
	w := &writer{lastAck: time.Now()}
	var c *lines.Client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return w
		default:
		}
		if c == nil {
			var err error
			if c, err = fleet.connect(host, "orders", "workshop-key"); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a := c.Query(id, "WRITE "+id+" x")
		switch {
		case a.Code == "":
			w.acknowledged = append(w.acknowledged, id)
			w.longestGap = max(w.longestGap, time.Since(w.lastAck))
			w.lastAck = time.Now()
		case slices.Contains(lines.NoEffectCodes, a.Code):
			w.notApplied = append(w.notApplied, id)
		}
		if a.Err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// verify compares the answers that a writer received with the log of the primary.
func (w *writer) verify(t *testing.T, fleet *testFleet) {
	t.Helper()
	count := map[string]int{}
	for _, id := range fleet.group.CommittedIDs() {
		count[id]++
	}
	for id, n := range count {
		if n > 1 {
			t.Errorf("write %s was committed %d times", id, n)
		}
	}
	for _, id := range w.notApplied {
		if count[id] > 0 {
			t.Errorf("write %s was committed although its answer guarantees that it has no effect", id)
		}
	}
}

// runWriters runs writers at two hosts while a function injects faults, and verifies their answers.
func (fleet *testFleet) runWriters(during func()) []*writer {
	stop := make(chan struct{})
	writers := make([]*writer, 2)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { writers[i] = fleet.runWriter(fmt.Sprintf("p%d", i), i, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	during()
	close(stop)
	wg.Wait()
	for _, w := range writers {
		w.verify(fleet.t, fleet)
	}
	return writers
}

// maxWriteGap is the longest time without successful writes that a failover may cause: its objective is 5 s.
const maxWriteGap = 5 * time.Second

// Guards against an unreachable primary that is not replaced in time, and against writes that the replaced primary accepts.
func TestUnreachablePrimaryIsReplaced(t *testing.T) {
	fleet := newTestFleet(t)
	old := fleet.group.Member(0)
	writers := fleet.runWriters(func() {
		old.SetPartitioned(true)
		fleet.waitFor("another target is the primary", maxWriteGap, func() bool { return fleet.group.Primary() != old })
		time.Sleep(time.Second)
		old.SetPartitioned(false)
		time.Sleep(500 * time.Millisecond)
	})
	for i, w := range writers {
		if w.longestGap > maxWriteGap || time.Since(w.lastAck) > time.Second {
			t.Errorf("writer %d: longest gap %s, last success %s ago", i, w.longestGap, time.Since(w.lastAck))
		}
	}
}

// Guards against losing acknowledged writes when the primary is drained and replaced.
func TestDrainingPrimaryLosesNothing(t *testing.T) {
	fleet := newTestFleet(t)
	old := fleet.group.Member(0)
	writers := fleet.runWriters(func() {
		old.Drain()
		fleet.waitFor("another target is the primary", maxWriteGap, func() bool { return fleet.group.Primary() != old })
		time.Sleep(500 * time.Millisecond)
	})
	committed := fleet.group.CommittedIDs()
	for i, w := range writers {
		for _, id := range w.acknowledged {
			if !slices.Contains(committed, id) {
				t.Errorf("writer %d: acknowledged write %s is lost", i, id)
			}
		}
	}
}

// Guards against serving from a primary that has restarted without its data, in the time before its registration or the
// leader shows the restart.
func TestEmptyPrimaryIsNotUsed(t *testing.T) {
	fleet := newTestFleet(t)
	old := fleet.group.Primary()
	c := fleet.mustConnect(0, "orders", "workshop-key")
	if a := c.Query("kept", "WRITE item value"); a.Code != "" {
		t.Fatalf("%+v", a)
	}
	old.RestartEmpty()
	answered := false
	for deadline := time.Now().Add(maxWriteGap); time.Now().Before(deadline) && !answered; time.Sleep(5 * time.Millisecond) {
		for host := range fleet.hosts {
			c, err := fleet.connect(host, "orders", "workshop-key")
			if err != nil {
				continue
			}
			a := c.Query(fmt.Sprintf("read-%d-%d", host, time.Now().UnixNano()), "READ item")
			c.Close()
			if answered = a.Code == ""; answered && (len(a.Rows) != 1 || a.Rows[0] != "value") {
				t.Fatalf("a read after the restart returned %q", a.Rows)
			}
		}
	}
	if !answered {
		t.Error("no read was answered after the restart")
	}
}

// Guards against a commit that takes effect twice, or is reported as not executed, when the target's answer is lost.
func TestLostAnswers(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.runWriters(func() {
		n := 0
		fleet.group.DropResponses(func(*lines.Member, string) bool { n++; return n%5 == 0 })
		time.Sleep(2 * time.Second)
		fleet.group.DropResponses(nil)
	})
}

// Guards against hosts that stop serving during an outage of the metadata store.
func TestStoreOutage(t *testing.T) {
	fleet := newTestFleet(t)
	writers := fleet.runWriters(func() {
		fleet.store.RefuseRequests(func(*http.Request) bool { return true })
		time.Sleep(4 * time.Second)
		fleet.store.RefuseRequests(nil)
		time.Sleep(500 * time.Millisecond)
	})
	for i, w := range writers {
		if w.longestGap > time.Second {
			t.Errorf("writer %d: no write succeeded for %s while the store was down", i, w.longestGap)
		}
	}
}

// configurationTimeout is the time within which every host must apply an accepted configuration.
const configurationTimeout = 3 * time.Second

// Guards against a withdrawn key that is still accepted, also when the watch misses the change because the store has
// compacted its history.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	fleet := newTestFleet(t)
	var sessions []*lines.Client
	for host := range fleet.hosts {
		sessions = append(sessions, fleet.mustConnect(host, "view", "workshop-key"))
	}
	fleet.store.PutConfig(lines.NewConfig(5, "another-key"))
	fleet.store.Compact()
	for host, c := range sessions {
		fleet.waitFor("an open session is refused", configurationTimeout, func() bool {
			return c.Query("q", "READ item").Code == "AUTHFAIL"
		})
		if _, err := fleet.connect(host, "view", "workshop-key"); !errors.Is(err, errRefused) {
			t.Errorf("host %d accepts the withdrawn key: %v", host, err)
		}
	}
	fleet.mustConnect(0, "view", "another-key")
}

// Guards against refusals far below the limit of a workspace in the first second of a fleet, when the hosts have reported
// to the leader that they use their equal shares, and the leader does not grant tokens for them yet.
func TestFirstSecondRefusesNothing(t *testing.T) {
	fleet := newTestFleet(t)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			c, err := fleet.connect(i, "view", "school-key")
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for n := range 100 {
				if a := c.Query(fmt.Sprintf("f-%d-%d", i, n), "READ item"); a.Code == "BUSY" {
					t.Errorf("operation %d at host %d was refused", n, i)
					return
				}
				time.Sleep(4 * time.Millisecond) // the limit is 1,000 operations per second
			}
		})
	}
	wg.Wait()
}

// Guards against refusals below the limit of a workspace because the leader, which divides the limit, stops gracefully.
func TestLeaderStopsWithoutRefusals(t *testing.T) {
	fleet := newTestFleet(t)
	configuration := lines.NewConfig(5, "workshop-key")
	configuration.SetLimit("workshop", 60, 60)
	fleet.store.PutConfig(configuration)
	time.Sleep(2 * time.Second) // until the configuration is applied and the token buckets are full
	leader := fleet.leader()
	c := fleet.mustConnect((leader+1)%3, "view", "workshop-key")
	var refused []string
	stopped := make(chan error, 1)
	for n := range 200 { // 40 operations per second
		if n == 40 {
			go func() { stopped <- fleet.hosts[leader].shutDown() }()
		}
		if a := c.Query(fmt.Sprintf("l-%d", n), "READ item"); a.Code != "" {
			refused = append(refused, fmt.Sprint(n, " ", a.Code))
		}
		time.Sleep(25 * time.Millisecond)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if len(refused) > 0 {
		t.Errorf("refused: %v", refused)
	}
}

// Guards against hosts that serve a workspace at a fraction of its limit because they cannot reach the leader.
func TestRatesWithoutLeader(t *testing.T) {
	fleet := newTestFleet(t)
	configuration := lines.NewConfig(5, "workshop-key")
	configuration.SetLimit("workshop", 60, 60)
	fleet.store.PutConfig(configuration)
	leader := fleet.leader()
	c := fleet.mustConnect((leader+1)%3, "view", "workshop-key")
	fleet.hosts[leader].relay.SetPartitioned(true)
	admitted := 0
	for n := 0; admitted < 120; n++ { // 30 operations per second; an equal share refills at 20 and starts with 20 tokens
		if a := c.Query(fmt.Sprintf("p-%d", n), "READ item"); a.Code == "BUSY" {
			admitted = -1
		}
		if admitted++; n > 900 {
			t.Fatal("operations at half of the limit are refused for 30 s")
		}
		time.Sleep(33 * time.Millisecond)
	}
	fleet.hosts[leader].relay.SetPartitioned(false)
}

// Guards against a host that starts while the store refuses its calls, but not those of other hosts, and cannot serve.
func TestStartWhileStoreRefusesHost(t *testing.T) {
	fleet := newTestFleet(t)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	fleet.hosts = append(fleet.hosts, fleet.startHost("host-3", refusing, fleet.promotionAPI))
	t.Cleanup(func() {
		if err := fleet.hosts[3].shutDown(); err != nil {
			t.Error(err)
		}
	})
	fleet.waitFor("the host is ready", 10*time.Second, fleet.hosts[3].isReady)
	c := fleet.mustConnect(3, "orders", "workshop-key")
	for n := range 20 { // lasts longer than the first lease of the host
		if a := c.Query(fmt.Sprintf("t-%d", n), "WRITE item x"); a.Code != "" {
			t.Errorf("write %d: %+v", n, a)
		}
		time.Sleep(450 * time.Millisecond)
	}
}

// Guards against a graceful stop that cuts off replies of running statements, and against one that takes too long.
func TestPlannedStopCutsNothing(t *testing.T) {
	fleet := newTestFleet(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			c, err := fleet.connect(2, "orders", "workshop-key")
			for n := 0; err == nil; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.Query(fmt.Sprintf("s%d-%d", i, n), "WRITE x y")
				if a.Code == lines.CodeLost && slices.ContainsFunc(fleet.group.ExecutedStatements(),
					func(e lines.ExecutedStatement) bool { return e.ID == fmt.Sprintf("s%d-%d", i, n) }) {
					t.Errorf("the answer of statement s%d-%d was cut off", i, n)
				}
				if a.Err != nil {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	started := time.Now()
	if err := fleet.hosts[2].shutDown(); err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 6*time.Second {
		t.Errorf("the stop took %s", took)
	}
	close(stop)
	wg.Wait()
	c := fleet.mustConnect(0, "orders", "workshop-key")
	if a := c.Query("after", "WRITE after x"); a.Code != "" {
		t.Errorf("another host does not serve after the stop: %+v", a)
	}
}

// Guards against a planned stop that ends the process while statements of open transactions are running: their callers would
// get no answer. A transaction that cannot end in time is told so by an answer that promises that nothing was kept.
func TestPlannedStopAnswersOpenTransactions(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.group.SetStatementTime(40 * time.Millisecond)
	type span struct{ from, to time.Time }
	var (
		mu      sync.Mutex
		running []span // statements that were answered or lost
		wg      sync.WaitGroup
	)
	for i := range 8 {
		c := fleet.mustConnect(2, "view", "workshop-key")
		wg.Go(func() {
			text, state := "BEGIN READ", ""
			for n := 0; ; n++ {
				sent := time.Now()
				a := c.Query(fmt.Sprintf("t%d-%d", i, n), text)
				mu.Lock()
				running = append(running, span{sent, time.Now()})
				mu.Unlock()
				executed := slices.ContainsFunc(fleet.group.ExecutedStatements(),
					func(e lines.ExecutedStatement) bool { return e.ID == fmt.Sprintf("t%d-%d", i, n) })
				switch {
				case a.Err != nil:
					if executed {
						t.Errorf("the answer of statement t%d-%d was cut off", i, n)
					}
					return
				case a.Code != "" && !slices.Contains(lines.NoEffectCodes, a.Code):
					t.Errorf("statement t%d-%d was answered with %s", i, n, a.Code)
				}
				if text, state = "READ item", a.TxnStatus; state == "E" {
					text = "ROLLBACK"
				}
				if state == "I" {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	started := time.Now()
	if err := fleet.hosts[2].shutDown(); err != nil {
		t.Error(err)
	}
	ended := time.Now() // the process exits
	if took := ended.Sub(started); took < 3*time.Second || took > 6*time.Second {
		t.Errorf("the stop took %s; open transactions have 3 s to end, and the process is killed after 6 s", took)
	}
	wg.Wait()
	for _, s := range running {
		if s.from.Before(ended) && s.to.After(ended) {
			t.Errorf("a statement that was sent %s before the process exits is still running", ended.Sub(s.from))
		}
	}
}

// Guards against one odd entry of another writer among the registrations of targets that ends processes, takes statements or
// stops hosts from following the list.
func TestOddTargetEntries(t *testing.T) {
	fleet := newTestFleet(t)
	entry := func(address, extra string) string {
		return fmt.Sprintf(`{"service":"stock","address":%q,"state":"ready","dbRole":"primary","born":1%s}`, address, extra)
	}
	writers := fleet.runWriters(func() {
		for name, value := range map[string]string{
			"nested":    entry("127.0.0.1:1", `,"slots":`+strings.Repeat("[", 500_000)),
			"deep":      entry("127.0.0.1:1", `,"more":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)+`,"slots":"x"`),
			"number":    entry("127.0.0.1:1", `,"sequence":1e999`),
			"port":      entry("127.0.0.1:99999", ""),
			"huge-port": entry("127.0.0.1:99999999999999999999", ""),
			"bytes":     "\xff\x00\xfe",
			"two words": entry("127.0.0.1:1", ""),
			"":          entry("127.0.0.1:1", ""),
		} {
			fleet.store.PutRaw("servers/"+name, []byte(value))
		}
		time.Sleep(time.Second)
		old := fleet.group.Primary()
		old.Drain() // hosts have to notice this change
		fleet.waitFor("another target is the primary", maxWriteGap, func() bool { return fleet.group.Primary() != old })
		time.Sleep(500 * time.Millisecond)
	})
	for i, w := range writers {
		if w.longestGap > time.Second || time.Since(w.lastAck) > time.Second {
			t.Errorf("writer %d: longest gap %s, last success %s ago", i, w.longestGap, time.Since(w.lastAck))
		}
	}
}

// Guards against the registration of a host that has started again being deleted by a call of its last process, which the store
// executes late: the host would use primaries that are replaced without it (review/1).
func TestLateDeregistration(t *testing.T) {
	fleet := newTestFleet(t)
	const lateBy = 4 * time.Second
	platformStore := httptest.NewServer(fleet.store)
	t.Cleanup(platformStore.Close)
	fleet.store.ExecuteLate(func(r *http.Request) time.Duration {
		if lines.ChangesItems(r) {
			return lateBy
		}
		return 0
	})
	if err := fleet.hosts[2].shutDown(); err != nil {
		t.Fatal(err)
	}
	fleet.store.ExecuteLate(nil)
	fleet.hosts[2] = fleet.startHost("host-2", platformStore, fleet.promotionAPI)
	fleet.waitFor("the host is ready again", 3*time.Second, fleet.hosts[2].isReady)
	for end := time.Now().Add(lateBy + 500*time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, registered := fleet.store.Get("waxwingspindle/hosts/host-2"); !registered {
			t.Fatal("the registration after the restart is gone")
		}
	}
}

// Guards against hosts that start and read from a primary that has started again without its data, before the leader replaces it
// (review/2). The registration of the target shows its restart at once, or later.
func TestStartingHostsDoNotUseEmptyPrimary(t *testing.T) {
	for _, registeredAfter := range []time.Duration{0, time.Second} {
		t.Run(registeredAfter.String(), func(t *testing.T) {
			fleet := newTestFleet(t)
			platformStore := httptest.NewServer(fleet.store)
			t.Cleanup(platformStore.Close)
			c := fleet.mustConnect(0, "orders", "workshop-key")
			for i := range 20 {
				if a := c.Query(fmt.Sprintf("kept-%d", i), fmt.Sprintf("WRITE item-%d value", i)); a.Code != "" {
					t.Fatalf("%+v", a)
				}
			}
			c.Close()
			fleet.shutDownAll()
			old := fleet.group.Primary()
			old.RestartEmpty()
			time.AfterFunc(registeredAfter, old.Register)
			for i := range fleet.hosts {
				fleet.hosts[i] = fleet.startHost(fmt.Sprintf("host-%d", i), platformStore, fleet.promotionAPI)
			}
			answered := 0
			for deadline := time.Now().Add(3 * maxWriteGap); time.Now().Before(deadline) && answered < 100; {
				for host := range fleet.hosts {
					c, err := fleet.connect(host, "orders", "workshop-key")
					if err != nil {
						continue
					}
					id := fmt.Sprintf("read-%d-%d", host, time.Now().UnixNano())
					a := c.Query(id, fmt.Sprintf("READ item-%d", answered%20))
					c.Close()
					if a.Code != "" {
						continue
					}
					if answered++; len(a.Rows) != 1 || a.Rows[0] != "value" {
						t.Fatalf("a read after the restart of all hosts returned %q", a.Rows)
					}
				}
				time.Sleep(2 * time.Millisecond)
			}
			if answered < 100 {
				t.Errorf("%d reads were answered after the restart of all hosts", answered)
			}
		})
	}
}

// Guards against statements on a target that is leaving, because it is ahead of the others when the primary is lost (review/4),
// and against losing the commits that only this target has.
func TestLeavingTargetOnlyHandsOver(t *testing.T) {
	fleet := newTestFleet(t)
	leaving, behind := fleet.group.Member(0), fleet.group.Member(2)
	behind.SetReplicationBlocked(true)
	leaving.Drain()
	fleet.waitFor("the leaving target is replaced", maxWriteGap, func() bool { return fleet.group.Primary() == fleet.group.Member(1) })
	c := fleet.mustConnect(0, "orders", "workshop-key")
	fleet.waitFor("a write is acknowledged", maxWriteGap, func() bool {
		return c.Query(fmt.Sprintf("kept-%d", time.Now().UnixNano()), "WRITE item value").Code == ""
	})
	time.Sleep(100 * time.Millisecond) // until the leaving target has received the write
	var lost time.Time
	fleet.runWriters(func() {
		fleet.group.Member(1).SetPartitioned(true)
		lost = time.Now()
		time.AfterFunc(2*time.Second, func() { behind.SetReplicationBlocked(false) })
		fleet.waitFor("the target that stays is the primary", 2*maxWriteGap, func() bool { return fleet.group.Primary() == behind })
		fleet.waitFor("the acknowledged write is read", maxWriteGap, func() bool {
			a := c.Query(fmt.Sprintf("read-%d", time.Now().UnixNano()), "READ item")
			if a.Code == "" && (len(a.Rows) != 1 || a.Rows[0] != "value") {
				t.Fatalf("the read returned %q", a.Rows)
			}
			return a.Code == ""
		})
	})
	for _, e := range fleet.group.ExecutedStatements() {
		if e.Database == leaving.ID && e.At.After(lost) {
			t.Errorf("statement %s ran on the leaving target %s after the loss of the primary", e.ID, e.At.Sub(lost))
		}
	}
}

// Guards against hosts that go on with an old configuration because the leader, whose state they take for fresh, is refused the
// configuration by the store while its watches of other keys go on (review/5).
func TestLeaderIsRefusedConfiguration(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.shutDownAll()
	var refused atomic.Int32 // index of the host that is refused the configuration, plus one
	for i := range fleet.hosts {
		platformStore := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if int(refused.Load()) == i+1 && lines.ReadsConfiguration(r) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fleet.store.ServeHTTP(w, r)
		}))
		t.Cleanup(platformStore.Close)
		fleet.hosts[i] = fleet.startHost(fmt.Sprintf("host-%d", i), platformStore, fleet.promotionAPI)
	}
	for _, h := range fleet.hosts {
		fleet.waitFor("a host is ready", 10*time.Second, h.isReady)
	}
	leader := fleet.leader()
	var sessions []*lines.Client
	for host := range fleet.hosts {
		if host != leader {
			sessions = append(sessions, fleet.mustConnect(host, "view", "workshop-key"))
		}
	}
	refused.Store(int32(leader) + 1)
	time.Sleep(2 * time.Second) // the leader has nothing new to relay meanwhile
	fleet.store.PutConfig(lines.NewConfig(5, "another-key"))
	changed := time.Now()
	for _, c := range sessions {
		fleet.waitFor("an open session is refused", configurationTimeout-time.Since(changed), func() bool {
			return c.Query("q", "READ item").Code == "AUTHFAIL"
		})
	}
}

// Guards against a withdrawn key that goes on working in a transaction that was open, and against one that ends the transactions
// of other keys.
func TestWithdrawnKeyEndsTransactions(t *testing.T) {
	fleet := newTestFleet(t)
	version := 10
	putKey := func(key string) {
		version++
		fleet.store.PutConfig(lines.NewConfig(version, key))
	}
	for host := range fleet.hosts { // at least one of them forwards the transaction to another
		for _, last := range []string{"WRITE item late", "COMMIT"} {
			id := fmt.Sprintf("%s-%d", last[:1], host)
			withdrawn, kept := fleet.mustConnect(host, "orders", "workshop-key"), fleet.mustConnect(host, "orders", "school-key")
			for _, text := range []string{"BEGIN", "WRITE item early"} {
				if a := withdrawn.Query("withdrawn-"+text[:1]+id, text); a.Code != "" {
					t.Fatalf("%s: %+v", text, a)
				}
				if a := kept.Query("kept-"+text[:1]+id, text); a.Code != "" {
					t.Fatalf("%s: %+v", text, a)
				}
			}
			putKey("another-key")
			fleet.waitFor("new sessions are refused", configurationTimeout, func() bool {
				_, err := fleet.connect(host, "orders", "workshop-key")
				return errors.Is(err, errRefused)
			})
			if a := withdrawn.Query("last-"+id, last); a.Code != "AUTHFAIL" {
				t.Errorf("host %d: %s with the withdrawn key was answered with %+v", host, last, a)
			}
			if a := kept.Query("commit-"+id, "COMMIT"); a.Code != "" {
				t.Errorf("host %d: the commit with another key was answered with %+v", host, a)
			}
			putKey("workshop-key")
			for other := range fleet.hosts { // the next transactions run on any of them
				fleet.waitFor("new sessions are accepted", configurationTimeout, func() bool {
					c, err := fleet.connect(other, "orders", "workshop-key")
					if err == nil {
						c.Close()
					}
					return err == nil
				})
			}
		}
	}
	for _, id := range fleet.group.CommittedIDs() {
		if strings.HasPrefix(id, "withdrawn-") {
			t.Errorf("the write %s of a withdrawn key was committed", id)
		}
	}
}
