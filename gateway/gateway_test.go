package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Guards against a read that misses the last write of its own session while replicas lag.
func TestSessionReadsItsWrites(t *testing.T) {
	s := newSystem(t)
	s.group.SetLag(60 * time.Millisecond)
	c := s.mustConnect(1, "plans", "workshop-key")
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

// Guards against statements on connections with the values or prepared statements of another session, against a prepared
// name that stands for the statement of another session, and against a workspace that targets are not told.
func TestSessionsDoNotMix(t *testing.T) {
	s := newSystem(t)
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			key := []string{"workshop-key", "school-key"}[i%2]
			c, err := s.connect(i%3, "plans", key)
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
	for _, e := range s.group.Executed() {
		var session, n int
		if _, err := fmt.Sscanf(e.ID, "mix-%d-%d", &session, &n); err != nil {
			continue
		}
		if want := fmt.Sprintf("owner=session-%d", session); e.Values != want {
			t.Errorf("statement %s ran with values %q, want %q", e.ID, e.Values, want)
		}
		if want := []string{"workshop", "school"}[session%2]; e.Workspace != want {
			t.Errorf("statement %s ran as %q, want %q", e.ID, e.Workspace, want)
		}
		if prefix := []string{"EXECUTE r_shape-", "EXECUTE w_shape-"}[session%2]; !strings.HasPrefix(e.Text, prefix+fmt.Sprint(session)+" ") {
			t.Errorf("statement %s of session %d ran as %q", e.ID, session, e.Text)
		}
	}
}

// Guards against a transaction that is kept although its caller left or rolled it back, and against half of one.
func TestTransactions(t *testing.T) {
	s := newSystem(t)
	for host := range 3 { // on one of them the transaction runs at another host
		c := s.mustConnect(host, "orders", "workshop-key")
		id := func(step string) string { return fmt.Sprintf("t%d-%s", host, step) }
		steps := []struct{ id, text, state string }{
			{id("begin"), "BEGIN", "T"}, {id("write"), "WRITE kept yes", "T"}, {id("commit"), "COMMIT", "I"},
			{id("begin2"), "BEGIN", "T"}, {id("dropped"), "WRITE dropped yes", "T"}, {id("rollback"), "ROLLBACK", "I"},
			{id("begin3"), "BEGIN", "T"}, {id("left"), "WRITE left yes", "T"},
		}
		for _, step := range steps {
			if a := c.Query(step.id, step.text); a.Code != "" || a.State != step.state {
				t.Fatalf("host %d, %s: %+v", host, step.text, a)
			}
		}
		c.Close()
	}
	time.Sleep(200 * time.Millisecond)
	committed := s.group.Committed()
	for host := range 3 {
		if !slices.Contains(committed, fmt.Sprintf("t%d-write", host)) {
			t.Errorf("the committed transaction of host %d is not in the log", host)
		}
		for _, step := range []string{"dropped", "left"} {
			if slices.Contains(committed, fmt.Sprintf("t%d-%s", host, step)) {
				t.Errorf("the write %q of host %d was kept", step, host)
			}
		}
	}
}

// writer writes until it is stopped, and notes what was promised.
type writer struct {
	acked, promised []string // answered with success, and with a code that promises that nothing is kept
	lastAck         time.Time
	longestGap      time.Duration
}

func (s *system) write(name string, host int, stop <-chan struct{}) *writer {
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
			if c, err = s.connect(host, "orders", "workshop-key"); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		a := c.Query(id, "WRITE "+id+" x")
		switch {
		case a.Code == "":
			w.acked = append(w.acked, id)
			w.longestGap = max(w.longestGap, time.Since(w.lastAck))
			w.lastAck = time.Now()
		case slices.Contains(lines.Promising, a.Code):
			w.promised = append(w.promised, id)
		}
		if a.Err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// check compares what a writer was told with the log of the primary.
func (w *writer) check(t *testing.T, s *system) {
	t.Helper()
	count := map[string]int{}
	for _, id := range s.group.Committed() {
		count[id]++
	}
	for id, n := range count {
		if n > 1 {
			t.Errorf("write %s took effect %d times", id, n)
		}
	}
	for _, id := range w.promised {
		if count[id] > 0 {
			t.Errorf("write %s was kept although its caller was told otherwise", id)
		}
	}
}

// play runs writers at two hosts while faults happen.
func (s *system) play(during func()) []*writer {
	stop := make(chan struct{})
	writers := make([]*writer, 2)
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { writers[i] = s.write(fmt.Sprintf("p%d", i), i, stop) })
	}
	time.Sleep(300 * time.Millisecond)
	during()
	close(stop)
	wg.Wait()
	for _, w := range writers {
		w.check(s.t, s)
	}
	return writers
}

// mostWriteGap is the longest gap in writes that a replaced primary may cause, from the target of 5 s for a failover.
const mostWriteGap = 5 * time.Second

// Guards against a primary that is gone and never replaced, and against writes of the replaced one.
func TestDarkPrimaryIsReplaced(t *testing.T) {
	s := newSystem(t)
	old := s.group.Member(0)
	writers := s.play(func() {
		old.SetDark(true)
		s.await("another database leads", mostWriteGap, func() bool { return s.group.Primary() != old })
		time.Sleep(time.Second)
		old.SetDark(false)
		time.Sleep(500 * time.Millisecond)
	})
	for i, w := range writers {
		if w.longestGap > mostWriteGap || time.Since(w.lastAck) > time.Second {
			t.Errorf("writer %d: longest gap %s, last success %s ago", i, w.longestGap, time.Since(w.lastAck))
		}
	}
}

// Guards against a planned replacement that loses acknowledged writes.
func TestDrainingPrimaryLosesNothing(t *testing.T) {
	s := newSystem(t)
	old := s.group.Member(0)
	writers := s.play(func() {
		old.Drain()
		s.await("another database leads", mostWriteGap, func() bool { return s.group.Primary() != old })
		time.Sleep(500 * time.Millisecond)
	})
	committed := s.group.Committed()
	for i, w := range writers {
		for _, id := range w.acked {
			if !slices.Contains(committed, id) {
				t.Errorf("writer %d: acknowledged write %s is lost", i, id)
			}
		}
	}
}

// Guards against reads and writes at a primary that has restarted without its data, before its entry or the leader tells so.
func TestEmptyPrimaryIsNotUsed(t *testing.T) {
	s := newSystem(t)
	old := s.group.Primary()
	c := s.mustConnect(0, "orders", "workshop-key")
	if a := c.Query("kept", "WRITE item value"); a.Code != "" {
		t.Fatalf("%+v", a)
	}
	old.Empty()
	answered := false
	for end := time.Now().Add(mostWriteGap); time.Now().Before(end) && !answered; time.Sleep(5 * time.Millisecond) {
		for host := range s.hosts {
			c, err := s.connect(host, "orders", "workshop-key")
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

// Guards against a commit that takes effect twice, or is denied, when the target's answer is lost.
func TestLostAnswers(t *testing.T) {
	s := newSystem(t)
	s.play(func() {
		n := 0
		s.group.SetLose(func(*lines.Member, string) bool { n++; return n%5 == 0 })
		time.Sleep(2 * time.Second)
		s.group.SetLose(nil)
	})
}

// Guards against hosts that stop to serve while the store is down.
func TestStoreOutage(t *testing.T) {
	s := newSystem(t)
	writers := s.play(func() {
		s.store.SetRefuse(func(*http.Request) bool { return true })
		time.Sleep(4 * time.Second)
		s.store.SetRefuse(nil)
		time.Sleep(500 * time.Millisecond)
	})
	for i, w := range writers {
		if w.longestGap > time.Second {
			t.Errorf("writer %d: no write for %s while the store was down", i, w.longestGap)
		}
	}
}

// configurationBound is the time in which an accepted configuration has to be in force everywhere.
const configurationBound = 3 * time.Second

// Guards against a key that works on after it was withdrawn, also when the watch has missed the change because the store
// dropped its history.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	s := newSystem(t)
	var sessions []*lines.Client
	for host := range s.hosts {
		sessions = append(sessions, s.mustConnect(host, "view", "workshop-key"))
	}
	s.store.Configure(lines.Configuration(5, "another-key"))
	s.store.Compact()
	for host, c := range sessions {
		s.await("an open session is refused", configurationBound, func() bool { return c.Query("q", "READ item").Code == "AUTHFAIL" })
		if _, err := s.connect(host, "view", "workshop-key"); !errors.Is(err, errRefused) {
			t.Errorf("host %d accepts the withdrawn key: %v", host, err)
		}
	}
	s.mustConnect(0, "view", "another-key")
}

// Guards against operations refused far inside the limit of their workspace in the first second of a fleet, when hosts have
// told the leader that they use their equal parts, and the leader hands out nothing for them yet.
func TestFirstSecondRefusesNothing(t *testing.T) {
	s := newSystem(t)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			c, err := s.connect(i, "view", "school-key")
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
				time.Sleep(4 * time.Millisecond) // of 1,000 a second
			}
		})
	}
	wg.Wait()
}

// Guards against operations refused inside the limit of their workspace because the host that divides it stops as planned.
func TestLeaderStopsWithoutRefusals(t *testing.T) {
	s := newSystem(t)
	configuration := lines.Configuration(5, "workshop-key")
	configuration.SetLimit("workshop", 60, 60)
	s.store.Configure(configuration)
	time.Sleep(2 * time.Second) // it is in force, and the buckets have filled
	leader := s.leader()
	c := s.mustConnect((leader+1)%3, "view", "workshop-key")
	var refused []string
	stopped := make(chan error, 1)
	for n := range 200 { // 40 a second
		if n == 40 {
			go func() { stopped <- s.hosts[leader].end() }()
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

// Guards against hosts that serve a workspace at a fraction of its limit because they do not reach the leader.
func TestRatesWithoutLeader(t *testing.T) {
	s := newSystem(t)
	configuration := lines.Configuration(5, "workshop-key")
	configuration.SetLimit("workshop", 60, 60)
	s.store.Configure(configuration)
	leader := s.leader()
	c := s.mustConnect((leader+1)%3, "view", "workshop-key")
	s.hosts[leader].relay.SetPartitioned(true)
	admitted := 0
	for n := 0; admitted < 120; n++ { // 30 a second: an equal part brings 20, and has 20 to begin with
		if a := c.Query(fmt.Sprintf("p-%d", n), "READ item"); a.Code == "BUSY" {
			admitted = -1
		}
		if admitted++; n > 900 {
			t.Fatal("operations at half of the limit are refused for 30 s")
		}
		time.Sleep(33 * time.Millisecond)
	}
	s.hosts[leader].relay.SetPartitioned(false)
}

// Guards against a host that does not serve after its start because the store turns it away, while it serves others.
func TestStartWhileStoreTurnsHostAway(t *testing.T) {
	s := newSystem(t)
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refusing.Close)
	s.hosts = append(s.hosts, s.startHost("host-3", refusing, s.duties))
	t.Cleanup(func() {
		if err := s.hosts[3].end(); err != nil {
			t.Error(err)
		}
	})
	s.await("the host is ready", 10*time.Second, s.hosts[3].ready)
	c := s.mustConnect(3, "orders", "workshop-key")
	for n := range 20 { // longer than its first lease
		if a := c.Query(fmt.Sprintf("t-%d", n), "WRITE item x"); a.Code != "" {
			t.Errorf("write %d: %+v", n, a)
		}
		time.Sleep(450 * time.Millisecond)
	}
}

// Guards against a planned stop that cuts statements off, and against one that takes too long.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := newSystem(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			c, err := s.connect(2, "orders", "workshop-key")
			for n := 0; err == nil; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.Query(fmt.Sprintf("s%d-%d", i, n), "WRITE x y")
				if a.Code == lines.Lost && slices.ContainsFunc(s.group.Executed(), func(e lines.Executed) bool {
					return e.ID == fmt.Sprintf("s%d-%d", i, n)
				}) {
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
	if err := s.hosts[2].end(); err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 6*time.Second {
		t.Errorf("the stop took %s", took)
	}
	close(stop)
	wg.Wait()
	c := s.mustConnect(0, "orders", "workshop-key")
	if a := c.Query("after", "WRITE after x"); a.Code != "" {
		t.Errorf("another host does not serve after the stop: %+v", a)
	}
}
