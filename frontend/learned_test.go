package frontend

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// newLearningService returns a service with two targets whose limits are learned if on is set, its metrics, and its log.
func newLearningService(on bool) (*service, *prometheus.Registry, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	s := New("z", failingDialer{}, zap.New(core), NewMetrics(registry))
	s.SetLoadControl(on)
	s.SetTargets("stock", []catalog.Target{{ID: "a", Slots: 4, StartedAt: 1}, {ID: "b", Slots: 4, StartedAt: 1}}, maxConnections(2))
	return s.service("stock"), registry, logs
}

// gauges returns the values of the learned limits by target.
func gauges(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		if !strings.HasPrefix(family.GetName(), "waxwingspindle_target_limit") {
			continue
		}
		for _, metric := range family.GetMetric() {
			for _, label := range metric.GetLabel() {
				if label.GetName() == "target" {
					values[label.GetValue()] = metric.GetGauge().GetValue()
				}
			}
		}
	}
	return values
}

// repeat measures n statements on a target one after the other, and reports them as the caller's host would.
func repeat(s *service, now time.Time, target model.TargetID, n int, took time.Duration, outcome concurrency.Outcome) {
	for range n {
		m := s.measure(now, target, concurrency.Class{Route: "orders"})
		now = now.Add(took)
		m.finish(now, target, outcome)
	}
}

// Guards against deployments without load control that behave differently or have new metrics.
func TestNothingIsLearnedWithoutLoadControl(t *testing.T) {
	s, registry, _ := newLearningService(false)
	repeat(s, boottime.Now(), "a", 100, 10*time.Millisecond, concurrency.Done)
	s.server.ReportTargetLoad("stock", "b", "orders", concurrency.Read, balance.Load{Limit: 4, Service: time.Second})
	if diff := cmp.Diff(balance.Load{}, s.targetLoad("a", concurrency.Class{Route: "orders"}, 0)); diff != "" {
		t.Errorf("reported load (-want +got):\n%s", diff)
	}
	if len(s.learned.limits) > 0 || s.learned.refs.Typical("b", concurrency.Class{Route: "orders"}) > 0 {
		t.Errorf("learned limits %v", s.learned.limits)
	}
	if values := gauges(t, registry); len(values) > 0 {
		t.Errorf("metrics %v", values)
	}
}

// Guards against figures that callers' hosts do not get, or that compare a target only with itself.
func TestTargetLoad(t *testing.T) {
	s, _, _ := newLearningService(true)
	now, class := boottime.Now(), concurrency.Class{Route: "orders"}
	repeat(s, now, "a", 40, 60*time.Millisecond, concurrency.Done)
	s.measure(now, "a", class)
	s.reportLoad(now, "b", class, balance.Load{Limit: 4, Service: 12 * time.Millisecond})
	load := s.targetLoad("a", class, 0)
	if load.Running != 1 || load.Limit < 2 || load.Slowdown < 4.9 || load.Slowdown > 5.1 ||
		load.Service.Round(time.Millisecond) != 60*time.Millisecond {
		t.Errorf("load %+v, expected 1 running, a slowdown of 5 and 60 ms", load)
	}
	s.reportLoad(now, "a", class, balance.Load{Limit: 4, Slowdown: 1, Service: 60 * time.Millisecond})
	if slowdown := s.learned.tracker.Slowdown("a"); slowdown < 4 {
		t.Errorf("slowdown %.1f at the caller's host, which knows both targets", slowdown)
	}
}

// Guards against an operator who does not see that a limit has shrunk, and against a line for each statement.
func TestLimitChangeIsLogged(t *testing.T) {
	s, registry, logs := newLearningService(true)
	now := boottime.Now()
	repeat(s, now, "a", 60, 10*time.Millisecond, concurrency.Done)
	s.mu.Lock()
	l := s.learned.limits["a"]
	for range 4 {
		l.Start(now)
	}
	s.mu.Unlock()
	before := s.limitOf(t, "a")
	for i := range 200 {
		repeat(s, now.Add(time.Duration(i)*20*time.Millisecond), "a", 1, time.Millisecond, concurrency.Busy)
	}
	if after := s.limitOf(t, "a"); after != 1 || before < 2 {
		t.Errorf("limit %d before and %d after 200 answers BUSY in 4 s", before, after)
	}
	if n := logs.FilterMessage("target: limit changed").Len(); n == 0 || n > 5 {
		t.Errorf("%d lines about changed limits in 4 s", n)
	}
	if values := gauges(t, registry); values["a"] != 1 {
		t.Errorf("metric of the limit %v, expected 1", values)
	}
}

func (s *service) limitOf(t *testing.T, id model.TargetID) int {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter(id).Limit()
}

// Guards against metrics of targets that are gone, and against figures of a target that has started again.
func TestRemovedTargetIsForgotten(t *testing.T) {
	s, registry, logs := newLearningService(true)
	now := boottime.Now()
	for _, id := range []model.TargetID{"a", "b"} {
		repeat(s, now, id, 40, 10*time.Millisecond, concurrency.Done)
	}
	started := s.learned.limits["b"]
	inProgress := s.measure(now, "a", concurrency.Class{Route: "orders"})
	s.server.SetTargets("stock", []catalog.Target{{ID: "b", Slots: 0, StartedAt: 2}}, maxConnections(2))
	inProgress.finish(now, "a", concurrency.Done)
	if values := gauges(t, registry); len(values) > 0 {
		t.Errorf("metrics %v after a target was removed and the other one has started again", values)
	}
	repeat(s, now, "b", 1, 10*time.Millisecond, concurrency.Done)
	if s.learned.limits["b"] == started {
		t.Error("the limit of a target that has started again was kept")
	}
	if logs.FilterMessage("target: no number of slots is given").Len() != 1 {
		t.Error("no line about a target without slots")
	}
	s.server.SetLoadControl(false)
	if values := gauges(t, registry); len(values) > 0 {
		t.Errorf("metrics %v after the load control was turned off", values)
	}
}

// Guards against an operator who does not see that a target was taken out or returned.
func TestTakenOutIsLogged(t *testing.T) {
	s, _, logs := newLearningService(true)
	candidates := []balance.Candidate{{Target: "a"}, {Target: "b"}}
	s.server.RankTargets("stock", candidates, time.Second)
	finish := func(outcome concurrency.Outcome) {
		s.server.TargetStarted("stock", "a")
		s.server.TargetFinished("stock", "a", outcome)
	}
	for range 8 {
		finish(concurrency.NoAnswer)
	}
	if n := logs.FilterMessage("target: taken out, too many statements failed").Len(); n != 1 {
		t.Fatalf("%d lines about a target that was taken out", n)
	}
	for deadline := time.Now().Add(5 * time.Second); s.server.RankTargets("stock", candidates, time.Second)[0] != "a"; {
		if time.Now().After(deadline) {
			t.Fatal("no probe")
		}
		time.Sleep(10 * time.Millisecond)
	}
	finish(concurrency.Done)
	if n := logs.FilterMessage("target: returned, a probe succeeded").Len(); n != 1 {
		t.Errorf("%d lines about a target that was returned", n)
	}
}

// learningConn answers commands, and records how many commands run on its target meanwhile.
type learningConn struct {
	Conn
	service *service
	mu      sync.Mutex
	running []int
	code    Code
}

func (c *learningConn) Run(_ time.Time, commands []Command) ([]Reply, bool, error) {
	running := 0
	c.service.mu.Lock()
	if l := c.service.learned.limits["a"]; l != nil {
		running = l.Running()
	}
	c.service.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = append(c.running, running)
	replies := make([]Reply, len(commands))
	replies[len(commands)-1].Code = c.code
	return replies, true, nil
}

// Guards against statements that are not measured, or measured as another class, and against begins and rollbacks that
// count although they need no slot.
func TestStatementsAreMeasured(t *testing.T) {
	s, _, _ := newLearningService(true)
	sess := &sessionState{route: "orders",
		prepared: map[string]PreparedStatement{"w": {PrepareWrite, "x"}, "r": {PrepareRead, "x"}}}
	for _, test := range []struct {
		command Command
		running int
		kind    concurrency.Kind
	}{
		{Command{Statement: Statement{Kind: Read}}, 1, concurrency.Read},
		{Command{Statement: Statement{Kind: Write}}, 1, concurrency.Write},
		{Command{Statement: Statement{Kind: Commit}}, 1, concurrency.Commit},
		{Command{Statement: Statement{Kind: Execute, Name: "w"}}, 1, concurrency.Write},
		{Command{Statement: Statement{Kind: Execute, Name: "r"}}, 1, concurrency.Read},
		{Command{Statement: Statement{Kind: Begin}}, 0, 0},
		{Command{Statement: Statement{Kind: Rollback}}, 0, 0},
	} {
		s.learned = newLearned()
		conn := &learningConn{service: s}
		c := &targetConn{target: catalog.Target{ID: "a", StartedAt: 1}, conn: conn, variables: map[string]string{},
			prepared: map[string]bool{}}
		if _, _, err := s.run(c, sess, test.command, 0, time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int{test.running}, conn.running); diff != "" {
			t.Errorf("%v: commands in progress (-want +got):\n%s", test.command.Kind, diff)
		}
		measured := s.learned.refs.Typical("a", concurrency.Class{Route: "orders", Kind: test.kind}) > 0
		if measured != (test.running > 0) {
			t.Errorf("%v: measured %t as class %d", test.command.Kind, measured, test.kind)
		}
		if l := s.learned.limits["a"]; l != nil && l.Running() != 0 {
			t.Errorf("%v: %d commands in progress after the answer", test.command.Kind, l.Running())
		}
	}
}

// Guards against data races between statements, reports, and changes of the targets.
func TestLearningIsSafeForConcurrentUse(t *testing.T) {
	s, _, _ := newLearningService(true)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 200 {
				repeat(s, boottime.Now(), "a", 1, time.Millisecond, concurrency.Done)
				s.server.ReportTargetLoad("stock", "b", "orders", concurrency.Read, balance.Load{Limit: 4})
				s.server.RankTargets("stock", []balance.Candidate{{Target: "a"}, {Target: "b"}}, time.Second)
				s.server.TargetLoad(catalog.Route{Service: "stock", Database: "orders"}, "a", concurrency.Read)
				if i == 0 && j%50 == 0 {
					s.server.SetTargets("stock", []catalog.Target{{ID: "a", Slots: 4, StartedAt: int64(j)}}, maxConnections(2))
				}
			}
		}()
	}
	wg.Wait()
}
