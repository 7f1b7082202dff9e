package runqueue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var start = time.Unix(1000, 0)

func request(id RequestID, workspace model.Workspace, priority int) Request {
	return Request{ID: id, Workspace: workspace, Weight: 10, Priority: priority, Arrived: start,
		LatencyTarget: start.Add(200 * time.Millisecond), Deadline: start.Add(time.Second), Expected: 10 * time.Millisecond}
}

func noRandom() float64 { return 0 }

// started returns the ids of the Start actions.
func started(actions []Action) []RequestID {
	var ids []RequestID
	for _, action := range actions {
		if a, ok := action.(Start); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

// refused returns the reasons of the Refuse actions by id.
func refused(actions []Action) map[RequestID]Reason {
	reasons := map[RequestID]Reason{}
	for _, action := range actions {
		if a, ok := action.(Refuse); ok {
			reasons[a.ID] = a.Reason
		}
	}
	return reasons
}

// drainOrder finishes the running request again and again and returns the order in which the others start.
func drainOrder(q *Queue, running RequestID) []RequestID {
	var order []RequestID
	for now := start; ; {
		now = now.Add(time.Millisecond)
		next := started(q.Finish(now, running))
		if len(next) == 0 {
			return order
		}
		order = append(order, next...)
		running = next[0]
	}
}

// Guards against transactions that hold locks and connections while they wait behind new work, and against serving in order
// of arrival instead of priority.
func TestOrderOfTransactionsAndPriorities(t *testing.T) {
	q := New(1, noRandom)
	q.Enqueue(start, request(1, "w", 0))
	q.Enqueue(start, request(2, "w", 2))
	q.Enqueue(start, request(3, "w", 0))
	inTxn := request(4, "w", 2)
	inTxn.InTxn = true
	q.Enqueue(start, inTxn)
	if diff := cmp.Diff([]RequestID{4, 3, 2}, drainOrder(q, 1)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against a share of the slot time that doesn't follow the rate limits of the workspaces.
func TestWorkspacesShareByWeight(t *testing.T) {
	q := New(1, noRandom)
	running := RequestID(1)
	q.Enqueue(start, request(running, "other", 0))
	for id := RequestID(2); id < 82; id++ {
		r := request(id, "heavy", 0)
		if r.Weight = 30; id%2 == 0 {
			r.Workspace, r.Weight = "light", 10
		}
		q.Enqueue(start, r)
	}
	counts, now := map[model.Workspace]int{}, start
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		next := started(q.Finish(now, running))
		running = next[0]
		counts[[]model.Workspace{"light", "heavy"}[running%2]]++
	}
	if counts["heavy"] < 28 || counts["light"] < 8 {
		t.Errorf("weights 30 and 10 got %v of 40 starts", counts)
	}
}

// Guards against work for callers whose latency target cannot be met any more while others could still be answered in time.
func TestInTimeBeforeLate(t *testing.T) {
	q := New(1, noRandom)
	q.Enqueue(start, request(1, "w", 0))
	late := request(2, "w", 0)
	late.LatencyTarget = start.Add(time.Millisecond)
	q.Enqueue(start, late)
	q.Enqueue(start, request(3, "w", 0))
	if diff := cmp.Diff([]RequestID{3, 2}, drainOrder(q, 1)); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against callers who wait for their whole timeout before they learn that they are refused, and against refusals
// without a time to come back.
func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	q := New(1, func() float64 { return 0.5 })
	for id := RequestID(1); id <= 50; id++ {
		q.Enqueue(start, request(id, "w", 0))
	}
	r := request(51, "w", 0)
	r.Deadline = start.Add(300 * time.Millisecond)
	actions := q.Enqueue(start, r)
	if diff := cmp.Diff(map[RequestID]Reason{51: Deadline}, refused(actions)); diff != "" {
		t.Fatalf("refusals (-want +got):\n%s", diff)
	}
	// 49 statements wait, one runs: some 495 ms, spread by half of a half.
	got, want := actions[0].(Refuse).RetryAfter, 495*time.Millisecond*5/4
	if got < want-10*time.Millisecond || got > want+10*time.Millisecond {
		t.Errorf("retry after %s, want about %s", got, want)
	}
	r = request(52, "w", 0)
	if actions := q.Enqueue(start, r); len(actions) != 0 {
		t.Errorf("a request that can be served in time got %v", actions)
	}
}

// Guards against refusals of statements inside transactions, which would abort work that is done already, before their
// deadline, and against such statements that are never refused.
func TestTransactionsAreRefusedOnlyAtTheirDeadline(t *testing.T) {
	q := New(1, noRandom)
	for id := RequestID(1); id <= 60; id++ {
		r := request(id, "w", 0)
		r.InTxn = id > 30
		if got := refused(q.Enqueue(start, r)); len(got) > 0 {
			t.Fatalf("refused %v", got)
		}
	}
	r := request(61, "w", 2)
	r.InTxn, r.Discardable, r.Deadline = true, true, start.Add(15*time.Millisecond)
	if got := refused(q.Enqueue(start, r)); len(got) > 0 {
		t.Fatalf("refused %v before the deadline", got)
	}
	if got := refused(q.Tick(start.Add(14 * time.Millisecond))); len(got) > 0 {
		t.Errorf("refused %v before the deadline", got)
	}
	if diff := cmp.Diff(map[RequestID]Reason{61: Deadline}, refused(q.Tick(start.Add(15*time.Millisecond)))); diff != "" {
		t.Errorf("refusals at the deadline (-want +got):\n%s", diff)
	}
}

// Guards against a long queue of statements whose callers have given up, and against refusals of late statements while the
// target could run them at once.
func TestDiscardsLateStatementsOnlyUnderLoad(t *testing.T) {
	q := New(1, noRandom)
	q.Enqueue(start, request(1, "w", 1))
	late := request(2, "w", 1)
	late.Discardable, late.LatencyTarget = true, start.Add(5*time.Millisecond)
	if actions := q.Enqueue(start, late); len(actions) != 0 {
		t.Errorf("behind a short queue a late statement got %v", actions)
	}
	for id := RequestID(3); id <= 12; id++ {
		q.Enqueue(start, request(id, "w", 1))
	}
	late.ID = 13
	if diff := cmp.Diff(map[RequestID]Reason{13: Late}, refused(q.Enqueue(start, late))); diff != "" {
		t.Errorf("behind a long queue (-want +got):\n%s", diff)
	}
	late.ID, late.Discardable = 14, false
	if actions := q.Enqueue(start, late); len(actions) != 0 {
		t.Errorf("a late statement of another route got %v", actions)
	}
}

// Guards against refusals for ever after a few slow statements: what is refused gives no times that could correct the expected
// one.
func TestLongExpectedTimesAreTried(t *testing.T) {
	q := New(2, noRandom)
	for id := RequestID(1); id <= 2; id++ {
		r := request(id, "w", 1)
		r.Expected, r.Discardable = time.Hour, true
		if diff := cmp.Diff([]RequestID{id}, started(q.Enqueue(start, r))); diff != "" {
			t.Errorf("started on a free slot (-want +got):\n%s", diff)
		}
	}
}

// Guards against more statements at once than the limit, and against a lower limit that stops running statements.
func TestLimitChanges(t *testing.T) {
	q := New(2, noRandom)
	for id := RequestID(1); id <= 6; id++ {
		q.Enqueue(start, request(id, "w", 0))
	}
	if diff := cmp.Diff([]RequestID{3, 4}, started(q.SetLimit(start, 4))); diff != "" {
		t.Errorf("started by the higher limit (-want +got):\n%s", diff)
	}
	q.SetLimit(start, 1)
	for id := RequestID(1); id <= 3; id++ {
		if got := started(q.Finish(start, id)); len(got) > 0 {
			t.Errorf("started %v above the limit", got)
		}
	}
	if diff := cmp.Diff([]RequestID{5}, started(q.Finish(start, 4))); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
	if q.SetLimit(start, 0); q.Limit() != 1 {
		t.Errorf("a limit of 0 was taken as %d", q.Limit())
	}
	if q := New(-1, noRandom); q.Limit() != DefaultLimit {
		t.Errorf("a limit of -1 was taken as %d", q.Limit())
	}
}

// Guards against a statement that has a slot and waits for a connection whose opening waits for a slot, and against openings
// that take more than the slots of the target.
func TestOpeningsDoNotWaitForStatements(t *testing.T) {
	q := New(2, noRandom)
	q.SetMaxOpenings(1)
	q.Enqueue(start, request(1, "w", 0))
	q.Enqueue(start, request(2, "w", 0))
	for id := RequestID(3); id <= 4; id++ {
		r := request(id, "w", 0)
		r.Opening = true
		if got := started(q.Enqueue(start, r)); (len(got) == 1) != (id == 3) {
			t.Errorf("the opening %d starts %v", id, got)
		}
	}
	if got := started(q.Finish(start, 3)); len(got) != 1 || got[0] != 4 {
		t.Errorf("after the first opening starts %v", got)
	}
	q.Enqueue(start, request(5, "w", 0))
	if got := started(q.Finish(start, 1)); len(got) != 0 {
		t.Errorf("started %v while an opening uses the slot", got)
	}
}

// Guards against invalid input that stops the queue or gives a statement a better place.
func TestInvalidInput(t *testing.T) {
	r := request(1, "w", -3)
	r.Weight, r.LatencyTarget, r.Expected = math.NaN(), time.Time{}, -1
	got, invalid := Sanitize(start, r)
	want := request(1, "w", LowestPriority)
	want.Weight, want.LatencyTarget, want.Expected = DefaultWeight, want.Deadline, DefaultExpected
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
	if invalid != " priority latency_target weight" {
		t.Errorf("named as invalid: %q", invalid)
	}
	q := New(1, noRandom)
	if diff := cmp.Diff([]RequestID{1}, started(q.Enqueue(start, r))); diff != "" {
		t.Errorf("started (-want +got):\n%s", diff)
	}
	if actions := q.Finish(start, 99); actions != nil {
		t.Errorf("an unknown id gives %v", actions)
	}
}

// Guards against a full queue that keeps statements of low priority and refuses those of a high one.
func TestFullQueueKeepsHighPriorities(t *testing.T) {
	q := New(1, noRandom)
	for id := RequestID(1); id <= maxWaiting+1; id++ {
		r := request(id, "w", 1)
		r.Deadline, r.Expected = start.Add(time.Hour), time.Millisecond
		q.Enqueue(start, r)
	}
	r := request(2000, "w", 0)
	if diff := cmp.Diff(map[RequestID]Reason{2: Full}, refused(q.Enqueue(start, r))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	r = request(2001, "w", 1)
	r.Deadline = start.Add(time.Hour)
	if diff := cmp.Diff(map[RequestID]Reason{2001: Full}, refused(q.Enqueue(start, r))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// Guards against waiting statements that get no answer when their target leaves.
func TestRefusesAllWhenTheTargetLeaves(t *testing.T) {
	q := New(1, noRandom)
	for id := RequestID(1); id <= 4; id++ {
		r := request(id, "w", int(id%2))
		r.InTxn = id == 3
		q.Enqueue(start, r)
	}
	if diff := cmp.Diff(map[RequestID]Reason{2: Closed, 3: Closed, 4: Closed}, refused(q.RefuseAll(start))); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if q.Waiting() != 0 || q.Running() != 1 {
		t.Errorf("%d wait and %d run", q.Waiting(), q.Running())
	}
}

// Guards against requests that get no action or two, against more running requests than the limit, and against sums that
// differ from the requests in the queue.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 0))
		q := New(3, random.Float64)
		q.SetMaxOpenings(2)
		if seed%2 == 0 {
			q.SetRecovery(start.Add(time.Second))
		}
		now, answers, running := start, map[RequestID]int{}, []RequestID{}
		apply := func(actions []Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case Start:
					answers[a.ID]++
					running = append(running, a.ID)
				case Refuse:
					answers[a.ID]++
				}
			}
		}
		lastID := RequestID(0)
		for range 600 {
			switch random.IntN(5) {
			case 0, 1:
				lastID++
				r := Request{ID: lastID, Workspace: model.Workspace(fmt.Sprint(random.IntN(6))), Weight: float64(random.IntN(4) * 10),
					Priority: random.IntN(5) - 1, Arrived: now, LatencyTarget: now.Add(time.Duration(random.IntN(200)) * time.Millisecond),
					Deadline: now.Add(time.Duration(random.IntN(500)) * time.Millisecond),
					Expected: time.Duration(random.IntN(30)) * time.Millisecond, InTxn: random.IntN(6) == 0,
					Opening: random.IntN(6) == 0, Discardable: random.IntN(2) == 0}
				apply(q.Enqueue(now, r))
			case 2, 3:
				if len(running) > 0 {
					i := random.IntN(len(running))
					id := running[i]
					running = append(running[:i:i], running[i+1:]...)
					apply(q.Finish(now, id))
				}
			case 4:
				now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
				apply(q.Tick(now))
			}
			if q.Running()-q.openings > 3 || q.openings > 2 || q.Running() != len(running) {
				t.Fatalf("seed %d: %d running, %d started, limit 3", seed, q.Running(), len(running))
			}
			checkSums(t, q, seed)
		}
		for range 1000 {
			now = now.Add(20 * time.Millisecond)
			apply(q.Tick(now))
			if len(running) > 0 {
				id := running[0]
				running = running[1:]
				apply(q.Finish(now, id))
			}
		}
		for id := RequestID(1); id <= lastID; id++ {
			if answers[id] != 1 {
				t.Fatalf("seed %d: request %d has %d answers", seed, id, answers[id])
			}
		}
	}
}

func checkSums(t *testing.T, q *Queue, seed uint64) {
	t.Helper()
	total := len(q.inTxn) + len(q.waitingOpen)
	for i := range q.classes {
		c := &q.classes[i]
		count, sum, weights := 0, 0.0, 0.0
		for _, a := range c.active {
			weights += a.weight
			for _, e := range a.waiting {
				count++
				sum += e.Expected.Seconds()
			}
		}
		total += count
		if count != c.count || math.Abs(sum-c.work) > 1e-6 || math.Abs(weights-c.weights) > 1e-6 {
			t.Fatalf("seed %d: class %d has %d requests, %f s, weights %f; counted %d, %f, %f", seed, i, c.count, c.work, c.weights,
				count, sum, weights)
		}
	}
	if total != q.waiting {
		t.Fatalf("seed %d: %d wait, counted %d", seed, total, q.waiting)
	}
}

// The cost of one statement while 300 wait, of 80 workspaces in 3 priorities.
func BenchmarkStatement(b *testing.B) {
	q := New(5, noRandom)
	now, running := start, []RequestID{}
	apply := func(actions []Action) {
		running = append(running, started(actions)...)
	}
	id := RequestID(0)
	enqueue := func() {
		id++
		apply(q.Enqueue(now, Request{ID: id, Workspace: model.Workspace(fmt.Sprint(id % 80)), Weight: 10, Priority: int(id % 3),
			Arrived: now, LatencyTarget: now.Add(time.Hour), Deadline: now.Add(time.Hour), Expected: 10 * time.Millisecond}))
	}
	for range 305 {
		enqueue()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		enqueue()
		first := running[0]
		running = running[1:]
		apply(q.Finish(now, first))
	}
}
