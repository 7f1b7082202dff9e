package frontend

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

// busyTarget is a target whose statements take a fixed time. It records how many run at once and in which order they start.
type busyTarget struct {
	statementTime time.Duration
	openingTime   time.Duration

	mu         sync.Mutex
	running    int // statements and openings
	maxRunning int
	started    []string // ids of the statements
	startedAt  []time.Time
	busy       int // number of further statements that are answered with BUSY
}

// occupy counts a statement or an opening for its duration.
func (b *busyTarget) occupy(d time.Duration) {
	b.mu.Lock()
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	b.mu.Unlock()
	time.Sleep(d)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
}

func (b *busyTarget) Dial(context.Context, catalog.Target, model.Workspace) (Conn, model.Position, error) {
	b.occupy(b.openingTime)
	return &busyConn{target: b}, model.Position{}, nil
}

func (b *busyTarget) startedIDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.started...)
}

type busyConn struct {
	target *busyTarget
	state  TxnState
}

func (c *busyConn) Run(_ time.Time, commands []Command) ([]Reply, bool, error) {
	b := c.target
	var replies []Reply
	for _, command := range commands {
		b.mu.Lock()
		b.started, b.startedAt = append(b.started, command.ID), append(b.startedAt, time.Now())
		refuse := b.busy > 0
		if refuse {
			b.busy--
		}
		b.mu.Unlock()
		switch command.Kind {
		case Begin, BeginRead:
			c.state = InTxn
		case Commit, Rollback:
			c.state = Idle
		}
		if refuse {
			replies = append(replies, Reply{Answer: Answer{Code: Busy, Detail: "queue full"}, State: c.state})
			continue
		}
		b.occupy(b.statementTime)
		replies = append(replies, Reply{State: c.state})
	}
	return replies, true, nil
}

func (c *busyConn) Status(time.Time) (primacy.Status, error) {
	return primacy.Status{Primary: true, Term: 1}, nil
}

func (c *busyConn) Close() {}

// newQueueFixture returns a server with load control whose service stock has the given target as its primary, with two slots
// and 20 connections.
func newQueueFixture(t *testing.T, b *busyTarget) (*Server, *prometheus.Registry) {
	t.Helper()
	registry := prometheus.NewRegistry()
	s := New("z", b, zap.NewNop(), NewMetrics(registry))
	s.queues = turns.NewShared(boottime.Now().Add(-time.Hour), s.metrics.queues) // no recovery
	s.SetLoadControl(true)
	s.AllowPrimariesUntil(boottime.Now().Add(time.Hour))
	s.SetTargets("stock", []catalog.Target{{ID: "a", Service: "stock", Slots: 2, StartedAt: 1}}, maxConnections(20))
	s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 2, Open: true, Primary: "a", Term: 1, Born: 1})
	svc := s.service("stock")
	svc.mu.Lock()
	svc.queues["a"] = s.queues.NewQueue(svc.targets["a"], nil, s.log, boottime.Now()) // the limit is that of the slots, not learned
	svc.mu.Unlock()
	stop := make(chan struct{})
	go s.Run(stop)
	t.Cleanup(func() { close(stop) })
	return s, registry
}

// metricSum returns the sum of the values of a counter or gauge.
func metricSum(t *testing.T, r *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() == name {
			for _, m := range family.GetMetric() {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// queueSession returns a session of another host's caller on a primary route.
func queueSession(s *Server, workspace model.Workspace, priority int) *session {
	return s.newForwardedSession(ForwardRequest{Workspace: workspace, Route: catalog.Route{Database: "orders", Service: "stock",
		Consistency: catalog.Primary, Priority: priority, LatencyTarget: 5 * time.Second, StatementTimeout: 10 * time.Second}})
}

// runWrite runs a write outside transactions with the given time until its deadline.
func runWrite(sess *session, id string, remaining time.Duration) Answer {
	now := boottime.Now()
	op := operation{route: sess.forwardedFor.route, workspace: sess.forwardedFor.workspace,
		service: sess.server.service("stock"), arrived: now, deadline: now.Add(remaining), isWrite: true}
	return sess.runLocally(op, Statement{ID: id, Kind: Write})
}

// waitUntil polls a condition.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("still not true: %s", what)
		}
	}
}

// Guards against more statements and openings at once on a target than its slots and one more, which the target would queue
// in order of arrival, and against a change where load control is off.
func TestQueueLimitsStatementsOnTarget(t *testing.T) {
	for _, on := range []bool{true, false} {
		b := &busyTarget{statementTime: 5 * time.Millisecond, openingTime: 5 * time.Millisecond}
		s, _ := newQueueFixture(t, b)
		s.SetLoadControl(on)
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				for range 4 {
					if a := runWrite(queueSession(s, model.Workspace(rune('a'+i)), 0), "w", 5*time.Second); a.Code != Success {
						t.Errorf("load control %t: answer %v", on, a)
					}
				}
			})
		}
		wg.Wait()
		// The target has two slots. One statement more may wait at it.
		if (b.maxRunning <= 3) != on {
			t.Errorf("load control %t: %d statements and openings at once", on, b.maxRunning)
		}
		if load := s.TargetLoad(catalog.Route{Service: "stock"}, "a", concurrency.Write); (load.Limit > 0) != on {
			t.Errorf("load control %t: reported load %+v", on, load)
		}
	}
}

// blockTarget occupies the target with three statements, and waits until they run.
func blockTarget(t *testing.T, s *Server, b *busyTarget, wg *sync.WaitGroup) {
	t.Helper()
	for _, id := range []string{"block-1", "block-2", "block-3"} {
		wg.Go(func() { runWrite(queueSession(s, model.Workspace(id), 0), id, 5*time.Second) })
	}
	waitUntil(t, "the target is occupied", func() bool { return len(b.startedIDs()) == 3 })
}

// Guards against serving a statement of high priority, or of an open transaction, behind earlier ones of low priority.
func TestQueueServesTransactionsAndPrioritiesFirst(t *testing.T) {
	b := &busyTarget{statementTime: 300 * time.Millisecond}
	s, _ := newQueueFixture(t, b)
	var wg sync.WaitGroup
	defer wg.Wait()

	inTxn := queueSession(s, "t", 2)
	inTxn.txn = &txn{service: s.service("stock")}
	if a := inTxn.execute(boottime.Now(), Statement{ID: "txn-1", Kind: Write}); a.Code != Success {
		t.Fatalf("in the transaction: %v", a)
	}
	b.mu.Lock()
	b.started = nil
	b.mu.Unlock()

	blockTarget(t, s, b, &wg)
	for i, r := range []struct {
		id       string
		priority int
	}{{"low-1", 2}, {"low-2", 2}, {"low-3", 2}, {"low-4", 2}, {"high", 0}} {
		wg.Go(func() { runWrite(queueSession(s, model.Workspace(r.id), r.priority), r.id, 5*time.Second) })
		waitUntil(t, "the statement waits", func() bool {
			f, _ := s.TargetFigures("stock", "a", 0)
			return f.Waiting == i+1
		})
	}
	if a := inTxn.execute(boottime.Now(), Statement{ID: "commit", Kind: Commit}); a.Code != Success {
		t.Errorf("commit: %v", a)
	}
	waitUntil(t, "all statements have started", func() bool { return len(b.startedIDs()) == 9 })
	// The first three end at about the same time, so that the order of the next three is not certain.
	next := strings.Join(b.startedIDs()[3:6], " ")
	if !strings.Contains(next, "commit") || !strings.Contains(next, "high") {
		t.Errorf("started in the order %q", b.startedIDs())
	}
}

// Guards against refusals of statements that have run, without a time to come back, or that nobody can see.
func TestQueueRefusalIsTrueAndNamesTheTime(t *testing.T) {
	b := &busyTarget{statementTime: 200 * time.Millisecond}
	s, registry := newQueueFixture(t, b)
	var wg sync.WaitGroup
	defer wg.Wait()
	blockTarget(t, s, b, &wg)
	sess := queueSession(s, "w", 1)
	if a := runWrite(sess, "refused", 30*time.Millisecond); a.Code != Busy || !strings.Contains(a.Detail, "retry after ") {
		t.Errorf("answer %v", a)
	}
	if sess.mayHaveRun || strings.Contains(strings.Join(b.startedIDs(), " "), "refused") {
		t.Error("the refused statement was sent to the target")
	}
	if got := metricSum(t, registry, "waxwingspindle_queue_refused_total"); got != 1 {
		t.Errorf("%v refusals are counted", got)
	}
}

// Guards against a transaction that stays open, or reports success or an unknown result, when the queue has refused its
// statement or its commit at the deadline.
func TestQueueRefusalEndsTransaction(t *testing.T) {
	for _, kind := range []StatementKind{Write, Commit} {
		b := &busyTarget{statementTime: 150 * time.Millisecond}
		s, _ := newQueueFixture(t, b)
		var wg sync.WaitGroup
		sess := queueSession(s, "t", 0)
		sess.txn = &txn{service: s.service("stock")}
		if a := sess.execute(boottime.Now(), Statement{ID: "txn-1", Kind: Write}); a.Code != Success {
			t.Fatalf("in the transaction: %v", a)
		}
		b.mu.Lock()
		b.started = nil
		b.mu.Unlock()
		blockTarget(t, s, b, &wg)
		sess.forwardedFor.route.StatementTimeout = answerMargin + 30*time.Millisecond
		a := sess.execute(boottime.Now(), Statement{ID: "refused", Kind: kind})
		if a.Code != Aborted || !strings.Contains(a.Detail, "retry after ") {
			t.Errorf("answer %v", a)
		}
		if want := map[StatementKind]TxnState{Write: TxnFailed, Commit: Idle}[kind]; sess.txnState() != want {
			t.Errorf("state %v, want %v", sess.txnState(), want)
		}
		waitUntil(t, "the transaction is rolled back", func() bool {
			return strings.Contains(strings.Join(b.startedIDs(), " "), internalStatementID)
		})
		if strings.Contains(strings.Join(b.startedIDs(), " "), "refused") {
			t.Error("the refused statement was sent to the target")
		}
		wg.Wait()
	}
}

// Guards against an idle transaction that keeps a slot of its target.
func TestIdleTransactionKeepsNoSlot(t *testing.T) {
	b := &busyTarget{statementTime: time.Millisecond}
	s, _ := newQueueFixture(t, b)
	for i := range 6 {
		sess := queueSession(s, model.Workspace(rune('a'+i)), 0)
		sess.txn = &txn{service: s.service("stock")}
		if a := sess.execute(boottime.Now(), Statement{ID: "w", Kind: Write}); a.Code != Success {
			t.Fatalf("transaction %d: %v", i, a)
		}
	}
	if f, _ := s.TargetFigures("stock", "a", 0); f.Running != 0 {
		t.Errorf("%d slots are taken by idle transactions", f.Running)
	}
}

// Guards against retries that go back at once to a target that has answered BUSY, and against more of them than a tenth of
// the statements.
func TestRetriesAfterBusy(t *testing.T) {
	b := &busyTarget{busy: 1}
	s, _ := newQueueFixture(t, b)
	if a := runWrite(queueSession(s, "w", 0), "w", 5*time.Second); a.Code != Success {
		t.Fatalf("answer %v", a)
	}
	if pause := b.startedAt[1].Sub(b.startedAt[0]); pause < turns.BusyPause-time.Millisecond {
		t.Errorf("the statement was sent again after %s", pause)
	}
	b.mu.Lock()
	b.started, b.busy = nil, 1<<30
	b.mu.Unlock()
	var wg sync.WaitGroup
	const statements = 100
	for range statements {
		wg.Go(func() {
			a := runWrite(queueSession(s, "w", 0), "w", 400*time.Millisecond)
			if a.Code != Busy || !strings.Contains(a.Detail, "retry after ") {
				t.Errorf("answer %v", a)
			}
		})
	}
	wg.Wait()
	// Ten retries from the statements, or those that are always allowed: ten at the start and ten a second.
	if sent := len(b.startedIDs()); sent > statements+25 {
		t.Errorf("%d attempts for %d statements", sent, statements)
	}
}

// Guards against statements that wait for a target that has left until their deadline.
func TestQueueOfLeavingTarget(t *testing.T) {
	b := &busyTarget{statementTime: 300 * time.Millisecond}
	s, registry := newQueueFixture(t, b)
	var wg sync.WaitGroup
	defer wg.Wait()
	blockTarget(t, s, b, &wg)
	answer := make(chan Answer, 1)
	go func() { answer <- runWrite(queueSession(s, "w", 0), "w", 5*time.Second) }()
	waitUntil(t, "the statement waits", func() bool { return metricSum(t, registry, "waxwingspindle_queue_waiting") == 1 })
	s.SetTargets("stock", nil, maxConnections(20))
	select {
	case a := <-answer:
		if a.Code != Busy {
			t.Errorf("answer %v", a)
		}
	case <-time.After(200 * time.Millisecond):
		t.Error("the statement still waits")
	}
	if got := metricSum(t, registry, "waxwingspindle_queue_waiting"); got != 0 {
		t.Errorf("%v statements are counted as waiting", got)
	}
}

// flakyOpening fails the first openings.
type flakyOpening struct {
	*busyTarget
	failures int
}

func (f *flakyOpening) Dial(ctx context.Context, t catalog.Target, w model.Workspace) (Conn, model.Position, error) {
	f.mu.Lock()
	f.failures--
	fail := f.failures >= 0
	f.mu.Unlock()
	if fail {
		return nil, model.Position{}, errors.New("no answer")
	}
	return f.busyTarget.Dial(ctx, t, w)
}

// Guards against turns that are never returned when connections cannot be opened: the queue would stand still.
func TestFailedOpeningsReturnTheirTurns(t *testing.T) {
	b := &busyTarget{statementTime: time.Millisecond}
	s, _ := newQueueFixture(t, b)
	s.dialer = &flakyOpening{busyTarget: b, failures: 8}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { runWrite(queueSession(s, model.Workspace(rune('a'+i)), i%3), "w", 3*time.Second) })
	}
	wg.Wait()
	waitUntil(t, "all turns are returned", func() bool {
		f, _ := s.TargetFigures("stock", "a", 0)
		return f.Running == 0 && f.Waiting == 0
	})
	if a := runWrite(queueSession(s, "z", 0), "last", 3*time.Second); a.Code != Success {
		t.Errorf("afterwards: %v", a)
	}
}

// Guards against a refusal of statements that wait for a target that leaves while another one can run them.
func TestStatementsMoveFromLeavingTarget(t *testing.T) {
	b := &busyTarget{statementTime: 300 * time.Millisecond}
	s, _ := newQueueFixture(t, b)
	var wg sync.WaitGroup
	defer wg.Wait()
	blockTarget(t, s, b, &wg)
	answer := make(chan Answer, 1)
	go func() { answer <- runWrite(queueSession(s, "w", 0), "moved", 5*time.Second) }()
	waitUntil(t, "the statement waits", func() bool {
		f, _ := s.TargetFigures("stock", "a", 0)
		return f.Waiting == 1
	})
	s.SetTargets("stock", []catalog.Target{{ID: "b", Service: "stock", Slots: 2, StartedAt: 1}}, maxConnections(20))
	s.ApplyPrimaryDocument(primacy.Document{Service: "stock", Epoch: 3, Open: true, Primary: "b", Term: 1, Born: 1})
	if a := <-answer; a.Code != Success {
		t.Errorf("answer %v", a)
	}
	if f, known := s.TargetFigures("stock", "b", 0); !known || f.Limit < 1 {
		t.Errorf("the other target has the figures %+v", f)
	}
}

// TargetFigures returns the load of a target for a statement of the given priority. It returns false if this host has no
// queue for the target, as without load control.
func (s *Server) TargetFigures(name model.Service, target model.TargetID, priority int) (turns.Figures, bool) {
	svc := s.service(name)
	svc.mu.Lock()
	q := svc.queues[target]
	svc.mu.Unlock()
	if q == nil {
		return turns.Figures{}, false
	}
	return q.Figures(boottime.Now(), priority), true
}
