package turns

import (
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/logging"
	"github.com/waxwingspindle/waxwingspindle/runqueue"
)

// newQueue returns a queue outside the recovery time, and its log lines.
func newQueue(slots int, limit Limit) (*Queue, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	shared := NewShared(boottime.Now().Add(-time.Hour), NewMetrics(prometheus.NewRegistry()))
	return shared.NewQueue(catalog.Target{ID: "a", Slots: slots}, limit, zap.New(core), boottime.Now()), logs
}

func newRequest(remaining time.Duration) runqueue.Request {
	now := boottime.Now()
	return runqueue.Request{Workspace: "w", Arrived: now, LatencyTarget: now.Add(remaining), Deadline: now.Add(remaining)}
}

// Guards against a target without valid slots that gets no statements, or any number of them.
func TestLimitFollowsSlots(t *testing.T) {
	for slots, want := range map[int]int{3: 4, 0: 5, -2: 5} {
		q, logs := newQueue(slots, nil)
		if got := q.Figures(boottime.Now(), 0).Limit; got != want {
			t.Errorf("%d slots: limit %d, want %d", slots, got, want)
		}
		if logged := logs.Len() == 1; logged != (slots <= 0) {
			t.Errorf("%d slots: %d log lines", slots, logs.Len())
		}
	}
}

// Guards against one log line for each refused statement under load.
func TestRefusalLinesAreBounded(t *testing.T) {
	q, logs := newQueue(1, nil)
	var running []*Turn
	for range 2 {
		turn, _ := q.Await(newRequest(time.Second), Class{"orders", Write})
		running = append(running, turn)
	}
	for range 100 {
		if _, refusal := q.Await(newRequest(0), Class{"orders", Write}); refusal == nil {
			t.Fatal("a request without time left was not refused")
		}
	}
	if got := logs.FilterMessage("queue: refused").Len(); got == 0 || got > 2*logging.MaxLinesPerSecond {
		t.Errorf("%d lines for 100 refusals", got)
	}
	q.shared.ReportSuppressed(boottime.Now().Add(2*time.Second), q.log)
	if logs.FilterMessage("queue: lines not logged").Len() != 1 {
		t.Error("the number of suppressed lines was not logged")
	}
	for _, turn := range running {
		turn.End()
	}
}

// Guards against expected times that contain the time of turns without an answer, such as failed connections: statements would
// be refused for a wait that doesn't exist.
func TestOnlyAnswersAreLearned(t *testing.T) {
	q, _ := newQueue(1, nil)
	class := Class{"orders", Write}
	for _, outcome := range []concurrency.Outcome{concurrency.NoAnswer, concurrency.Failed, concurrency.Busy, concurrency.Done} {
		turn, _ := q.Await(newRequest(time.Second), class)
		turn.Answered(outcome)
		turn.End()
		if _, learned := q.expected[class]; learned != (outcome == concurrency.Done) {
			t.Errorf("outcome %d: learned %t", outcome, learned)
		}
	}
	turn, _ := q.Await(newRequest(time.Second), Class{"orders", Read})
	turn.End()
	if len(q.expected) != 1 {
		t.Error("the time of a turn without a command was learned")
	}
}

// fakeLimit is a limit that changes.
type fakeLimit struct{ limit int }

func (f *fakeLimit) Limit() int { return f.limit }

// Guards against changes of a limit that have no effect on the statements that wait.
func TestChangingLimit(t *testing.T) {
	limit := &fakeLimit{limit: 1}
	q, _ := newQueue(4, limit)
	first, _ := q.Await(newRequest(time.Second), Class{"orders", Write})
	var wg sync.WaitGroup
	started := make(chan *Turn, 1)
	wg.Go(func() {
		turn, refusal := q.Await(newRequest(10*time.Second), Class{"orders", Write})
		if refusal != nil {
			t.Errorf("refused: %v", refusal)
		}
		started <- turn
	})
	for q.Length() == 0 {
		time.Sleep(time.Millisecond)
	}
	q.mu.Lock()
	limit.limit = 2
	q.mu.Unlock()
	answered := boottime.Now()
	first.Answered(concurrency.Busy)
	second := <-started // the changed limit lets it start while the first one has not ended
	wg.Wait()
	first.End()
	second.End()
	if q.PauseAfterBusy(answered) < BusyPause {
		t.Error("the BUSY answer was not recorded")
	}
	var none *Turn // of statements without load control
	none.Answered(concurrency.Done)
	none.End()
}

// The cost of a statement while some 300 wait, with their goroutines, the log and the metrics.
func BenchmarkStatement(b *testing.B) {
	q, _ := newQueue(4, nil)
	var wg sync.WaitGroup
	work := make(chan struct{})
	for range 300 {
		wg.Go(func() {
			for range work {
				if turn, refusal := q.Await(newRequest(time.Hour), Class{"orders", Write}); refusal == nil {
					turn.Answered(concurrency.Done)
					turn.End()
				}
			}
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
}

// Guards against a request that waits past its deadline in the queue of a target that has left: nothing ticks it any more.
func TestRequestAfterClose(t *testing.T) {
	q, _ := newQueue(1, slotLimit(0))
	first, refusal := q.Await(newRequest(time.Second), Class{"orders", Read})
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	defer first.End()
	q.Close(boottime.Now())
	refused := make(chan *runqueue.Refuse, 1)
	go func() {
		_, refusal := q.Await(newRequest(time.Second), Class{"orders", Read})
		refused <- refusal
	}()
	select {
	case refusal := <-refused:
		if refusal == nil || refusal.Reason != runqueue.Closed {
			t.Errorf("got %v, want a refusal because the queue is closed", refusal)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request waits in a closed queue")
	}
}
