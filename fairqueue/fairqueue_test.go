package fairqueue

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/model"
)

func TestMain(m *testing.M) {
	// A fixed seed makes the property tests reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// harness drives a queue in virtual time and records the action of each ticket.
type harness struct {
	t        testing.TB
	queue    *Queue
	now      time.Time
	actions  map[Ticket]Action
	started  []Ticket                   // in starting order
	owner    map[Ticket]model.Workspace // workspaces of the requests of measureSlotTime
	endTimes map[Ticket]time.Time       // end times of their running requests
}

func newHarness(t testing.TB, config Config) *harness {
	t.Helper()
	queue, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t: t, queue: queue, now: time.Unix(1000, 0), actions: make(map[Ticket]Action),
		owner: make(map[Ticket]model.Workspace), endTimes: make(map[Ticket]time.Time),
	}
}

func (h *harness) record(actions []Action) {
	h.t.Helper()
	for _, action := range actions {
		if earlier, twice := h.actions[action.Ticket]; twice {
			h.t.Fatalf("ticket %d: %+v after %+v", action.Ticket, action, earlier)
		}
		h.actions[action.Ticket] = action
		if action.Start {
			h.started = append(h.started, action.Ticket)
		} else if action.Result.Outcome != model.OutcomeNotRun {
			h.t.Fatalf("ticket %d is refused as %s", action.Ticket, action.Result.Outcome)
		}
	}
}

func (h *harness) push(workspace model.Workspace, remaining time.Duration) Ticket {
	h.t.Helper()
	return h.pushRequest(Request{Workspace: workspace, Deadline: h.now.Add(remaining)})
}

func (h *harness) pushRequest(request Request) Ticket {
	h.t.Helper()
	ticket, actions := h.queue.Push(h.now, request)
	h.record(actions)
	return ticket
}

func (h *harness) finish(ticket Ticket) {
	h.t.Helper()
	h.record(h.queue.Finish(h.now, ticket))
}

func (h *harness) wantRefused(ticket Ticket, reason model.Reason) {
	h.t.Helper()
	if got, answered := h.actions[ticket]; !answered || got.Start || got.Result.Reason != reason {
		h.t.Errorf("ticket %d: got %+v (answered %t), want refusal %s", ticket, got, answered, reason)
	}
}

func (h *harness) wantStarted(ticket Ticket, want bool) {
	h.t.Helper()
	if got := h.actions[ticket].Start; got != want {
		h.t.Errorf("ticket %d: started %t, want %t", ticket, got, want)
	}
}

// Guards against a queued request that gets no answer when the queue is drained, and against requests accepted afterwards.
func TestDrainAnswersEverything(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	running := h.push("a", time.Minute)
	var queued []Ticket
	for i := range 20 {
		queued = append(queued, h.push(model.Workspace(rune('a'+i%3)), time.Minute))
	}
	h.record(h.queue.Drain())
	for _, ticket := range queued {
		h.wantRefused(ticket, model.ReasonDraining)
	}
	h.finish(running)
	h.wantRefused(h.push("a", time.Minute), model.ReasonDraining)
	if stats := h.queue.Stats(); stats.Queued != 0 || stats.Running != 0 || len(h.started) != 1 {
		t.Errorf("after drain: %+v, %d starts", stats, len(h.started))
	}
}

// Guards against dropping queued requests, or accepting new ones, while a host is leaving.
func TestCloseFinishesTheQueue(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	first, second := h.push("a", time.Minute), h.push("a", time.Minute)
	h.queue.Close()
	h.wantRefused(h.push("a", time.Minute), model.ReasonDraining)
	h.finish(first)
	h.wantStarted(second, true)
}

// Guards against running a statement whose key was withdrawn while the statement was queued.
func TestRecheckRefusesWithdrawnKey(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	withdrawn := false
	recheck := func() model.Result {
		if withdrawn {
			return model.NotRun(model.ReasonKeyInvalid, "the key is withdrawn")
		}
		return model.Result{}
	}
	running := h.pushRequest(Request{Workspace: "a", Deadline: h.now.Add(time.Minute), Recheck: recheck})
	refused := h.pushRequest(Request{Workspace: "a", Deadline: h.now.Add(time.Minute), Recheck: recheck})
	other := h.push("b", time.Minute)
	withdrawn = true
	h.finish(running)
	h.wantStarted(running, true)
	h.wantStarted(other, true)
	h.finish(other)
	h.wantRefused(refused, model.ReasonKeyInvalid)
}

// Guards against a request that starts although it was refused because the queue exceeds its remaining time.
func TestRefusedEarlyIsNeverStarted(t *testing.T) {
	h := newHarness(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	running := []Ticket{h.push("a", time.Second)}
	for range 5 {
		running = append(running, h.push("a", time.Second))
	}
	late := h.push("a", 40*time.Millisecond)
	h.wantRefused(late, model.ReasonDeadlineExceeded)
	if after := h.actions[late].Result.RetryAfter; after <= 0 {
		t.Errorf("retry after %s", after)
	}
	for _, ticket := range running {
		h.wantStarted(ticket, true)
		h.now = h.now.Add(time.Millisecond)
		h.finish(ticket)
	}
	h.wantStarted(late, false)
}

// Guards against starting requests that have expired in the queue.
func TestExpiredIsNeverStarted(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	running := h.push("a", time.Second)
	byTimer, atDequeue := h.push("a", 10*time.Millisecond), h.push("a", 20*time.Millisecond)
	if at, ok := h.queue.NextDeadline(); !ok || at != h.now.Add(10*time.Millisecond) {
		t.Errorf("next deadline %s, %t", at, ok)
	}
	h.now = h.now.Add(10 * time.Millisecond)
	h.record(h.queue.Expire(h.now))
	h.wantRefused(byTimer, model.ReasonDeadlineExceeded)
	h.now = h.now.Add(10 * time.Millisecond)
	h.finish(running)
	h.wantRefused(atDequeue, model.ReasonDeadlineExceeded)
	h.wantRefused(h.push("a", 0), model.ReasonDeadlineExceeded)
}

// Guards against wasting slots on requests that will probably miss their deadlines, and against a wrong estimate that
// refuses requests with most of their time left.
func TestTooLateIsNeverStarted(t *testing.T) {
	h := newHarness(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	running := h.push("a", time.Second)
	longDeadline, shortDeadline := h.push("b", 50*time.Millisecond), h.push("c", 30*time.Millisecond)
	h.now = h.now.Add(31 * time.Millisecond / 2)
	h.finish(running)
	h.wantStarted(longDeadline, true)
	h.finish(longDeadline)
	h.wantRefused(shortDeadline, model.ReasonDeadlineExceeded)
	running, longDeadline = h.push("a", time.Second), h.push("b", 50*time.Millisecond)
	h.now = h.now.Add(35 * time.Millisecond)
	h.finish(running)
	h.wantRefused(longDeadline, model.ReasonDeadlineExceeded)
}

// Guards against a wrong estimate that refuses every request, so that no later service time can correct it.
func TestEstimateRecovers(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	slow := h.push("a", time.Hour)
	h.now = h.now.Add(10 * time.Minute)
	h.finish(slow)
	for i := range 200 {
		ticket := h.push("a", 50*time.Millisecond)
		h.wantStarted(ticket, true)
		h.now = h.now.Add(time.Millisecond)
		h.finish(ticket)
		if t.Failed() {
			t.Fatalf("request %d was refused although the target is idle", i)
		}
	}
	if got := h.queue.Stats().ServiceTime; got > 2*time.Millisecond {
		t.Errorf("service time %s after 200 requests of 1 ms", got)
	}
}

// Guards against a request that starts after its caller is gone, and against a slot that is released while in use.
func TestCancel(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	running, cancelled, next := h.push("a", time.Minute), h.push("a", time.Minute), h.push("a", time.Minute)
	if h.queue.Cancel(running) {
		t.Error("a running request was cancelled")
	}
	if !h.queue.Cancel(cancelled) || h.queue.Cancel(cancelled) {
		t.Error("a queued request was not cancelled exactly once")
	}
	h.finish(cancelled)
	h.wantStarted(next, false)
	h.finish(running)
	h.wantStarted(next, true)
	h.wantStarted(cancelled, false)
	h.finish(running)
	if stats := h.queue.Stats(); stats.Running != 1 {
		t.Errorf("%d running after a slot was released twice", stats.Running)
	}
}

// Guards against a workspace that fills the queue so that the others cannot use it.
func TestFullQueueEvictsNewestOfTheLargest(t *testing.T) {
	h := newHarness(t, Config{Slots: 0, MaxQueued: 10, MaxQueuedPerWorkspace: 8})
	var large []Ticket
	for range 8 {
		large = append(large, h.push("large", time.Minute))
	}
	h.wantRefused(h.push("large", time.Minute), model.ReasonQueueFull)
	for range 5 {
		h.push("small", time.Minute)
	}
	for i, ticket := range large {
		if i >= 5 {
			h.wantRefused(ticket, model.ReasonQueueFull)
		} else if action, answered := h.actions[ticket]; answered {
			t.Errorf("older request %d: %+v", i, action)
		}
	}
	h.wantRefused(h.push("small", time.Minute), model.ReasonQueueFull)
	h.wantRefused(h.push("large", time.Minute), model.ReasonQueueFull)
	if stats := h.queue.Stats(); stats.Queued != 10 {
		t.Errorf("%d queued", stats.Queued)
	}
}

// Guards against a workspace that runs more requests at once than its fair share of the slots, and against other workspaces
// that are blocked behind it.
func TestMaxRunningPerWorkspace(t *testing.T) {
	h := newHarness(t, Config{Slots: 4, MaxRunningPerWorkspace: FairShare(4, 2)})
	first, second, third := h.push("a", time.Minute), h.push("a", time.Minute), h.push("a", time.Minute)
	other := h.push("b", time.Minute)
	h.wantStarted(second, true)
	h.wantStarted(third, false)
	h.wantStarted(other, true)
	h.finish(first)
	h.wantStarted(third, true)
	if got := []int{FairShare(7, 8), FairShare(7, 3), FairShare(7, 0)}; !cmp.Equal(got, []int{1, 2, 7}) {
		t.Errorf("fair shares %v", got)
	}
}

// Guards against a stalled queue after a failover, and against new starts while there is no primary.
func TestSetSlots(t *testing.T) {
	h := newHarness(t, Config{Slots: 2})
	first, second := h.push("a", time.Minute), h.push("a", time.Minute)
	h.record(h.queue.SetSlots(h.now, 0))
	waiting := h.push("a", time.Minute)
	h.finish(first)
	h.finish(second)
	h.wantStarted(waiting, false)
	h.record(h.queue.SetSlots(h.now, 1))
	h.wantStarted(waiting, true)
}

// Guards against two workspaces that alternately evict each other's requests.
func TestEqualWorkspacesDoNotEvictEachOther(t *testing.T) {
	h := newHarness(t, Config{Slots: 0, MaxQueued: 3})
	h.push("a", time.Minute)
	newest := h.push("a", time.Minute)
	h.push("b", time.Minute)
	h.wantRefused(h.push("b", time.Minute), model.ReasonQueueFull)
	if action, answered := h.actions[newest]; answered {
		t.Errorf("got %+v", action)
	}
}

// measureSlotTime keeps all workspaces backlogged for the given length and returns the slot time that each of them used.
func measureSlotTime(
	h *harness, service map[model.Workspace]time.Duration, length time.Duration,
) map[model.Workspace]time.Duration {
	used := make(map[model.Workspace]time.Duration)
	for stop := h.now.Add(length); h.now.Before(stop); {
		for _, workspace := range slices.Sorted(maps.Keys(service)) {
			for queued, _ := h.queue.WorkspaceCounts(workspace); queued < 3; queued++ {
				h.owner[h.push(workspace, time.Hour)] = workspace
			}
		}
		for _, ticket := range h.started {
			if workspace, own := h.owner[ticket]; own {
				h.endTimes[ticket] = h.now.Add(service[workspace])
			}
		}
		h.started = nil
		next := slices.MinFunc(slices.Sorted(maps.Keys(h.endTimes)), func(x, y Ticket) int {
			return h.endTimes[x].Compare(h.endTimes[y])
		})
		if h.endTimes[next].After(h.now) {
			h.now = h.endTimes[next]
		}
		delete(h.endTimes, next)
		used[h.owner[next]] += service[h.owner[next]]
		h.finish(next)
	}
	return used
}

// Guards against starvation: a workspace with slow statements must not use the slot time of the others. The run with
// PolicyRoundRobin verifies that counting statements does not prevent starvation.
func TestSlowStatementsGetNoMoreThanTheirShare(t *testing.T) {
	service := map[model.Workspace]time.Duration{
		"slow": 100 * time.Millisecond, "a": 2 * time.Millisecond, "b": 2 * time.Millisecond,
	}
	for policy, fair := range map[Policy]bool{PolicySlotTime: true, PolicyRoundRobin: false} {
		h := newHarness(t, Config{Slots: 3, Policy: policy})
		used := measureSlotTime(h, service, 20*time.Second)
		for _, workspace := range []model.Workspace{"a", "b"} {
			if ratio := used[workspace].Seconds() / 20; (ratio > 0.85) != fair {
				t.Errorf("policy %d: %s got %.2f slots of 1", policy, workspace, ratio)
			}
		}
	}
}

// Guards against unlimited credit for idle time, with which a returning workspace would starve the others. Its credit is at
// most MaxCredit, so the other workspace gets half of the remaining time.
func TestCreditIsBounded(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	h.finish(h.push("b", time.Hour))
	fast := map[model.Workspace]time.Duration{"a": time.Millisecond}
	measureSlotTime(h, fast, 10*time.Second)
	fast["b"] = time.Millisecond
	used := measureSlotTime(h, fast, time.Second)
	if used["a"].Seconds() < (1-MaxCredit)/2 {
		t.Errorf("a got %s of 1 s after b was idle", used["a"])
	}
}

// Guards against usages that overflow or lose precision as time passes, also while a statement runs.
func TestUsageKeepsPrecision(t *testing.T) {
	h := newHarness(t, Config{Slots: 2})
	h.push("a", 1000*time.Hour)
	fast := map[model.Workspace]time.Duration{"b": time.Millisecond, "c": time.Millisecond}
	for _, pause := range []time.Duration{0, time.Minute, time.Hour, 100 * time.Hour} {
		h.now = h.now.Add(pause)
		measureSlotTime(h, fast, 2*time.Second)
		if used := measureSlotTime(h, fast, time.Second); used["b"] < 450*time.Millisecond || used["c"] < 450*time.Millisecond {
			t.Errorf("after %s: %v of 1 s each", pause, used)
		}
	}
}

// Guards against unlimited debt, with which one very slow statement would starve its workspace.
func TestDebtIsBounded(t *testing.T) {
	h := newHarness(t, Config{Slots: 1})
	slow := h.push("a", time.Hour)
	h.owner[h.push("b", time.Hour)] = "b"
	h.now = h.now.Add(time.Minute)
	h.finish(slow)
	fast := map[model.Workspace]time.Duration{"a": time.Millisecond, "b": time.Millisecond}
	if used := measureSlotTime(h, fast, 4*time.Second); used["a"] < time.Second || used["a"] > 2*time.Second {
		t.Errorf("a got %s of 4 s after a slow statement", used["a"])
	}
}

// Guards against refusals based on equal shares while the other workspaces queue less than theirs and the wait is short.
func TestWaitIsAtMostTheQueuedWork(t *testing.T) {
	h := newHarness(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	h.push("c", time.Hour)
	for range 5 {
		h.push("a", time.Hour)
	}
	h.push("b", time.Hour)
	accepted := h.push("a", 80*time.Millisecond)
	if action, answered := h.actions[accepted]; answered {
		t.Errorf("got %+v", action)
	}
	h.wantRefused(h.push("a", 50*time.Millisecond), model.ReasonDeadlineExceeded)
}

// Guards against statements that are not charged until they end, which would allow a workspace to take every slot: while
// a statement of one workspace holds one of two slots, the other workspace is entitled to the other slot.
func TestRunningStatementsAreCharged(t *testing.T) {
	h := newHarness(t, Config{Slots: 2})
	h.push("a", time.Hour)
	owner := map[Ticket]model.Workspace{h.push("b", time.Hour): "b"}
	starts := make(map[model.Workspace]int)
	for range 100 {
		for _, workspace := range []model.Workspace{"a", "b"} {
			if queued, _ := h.queue.WorkspaceCounts(workspace); queued == 0 {
				owner[h.push(workspace, time.Hour)] = workspace
			}
		}
		current := h.started[len(h.started)-1]
		starts[owner[current]]++
		h.now = h.now.Add(5 * time.Millisecond)
		h.finish(current)
	}
	if starts["a"] > 10 {
		t.Errorf("a started %d of 100 requests while its slow statement was running", starts["a"])
	}
}

// Guards against requests that are lost, start twice or exceed a bound, with random sequences of all operations.
func TestEveryRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := Config{
			Slots:                  rapid.IntRange(1, 3).Draw(rt, "slots"),
			MaxQueued:              rapid.IntRange(1, 12).Draw(rt, "total"),
			MaxQueuedPerWorkspace:  rapid.IntRange(1, 6).Draw(rt, "each"),
			MaxRunningPerWorkspace: rapid.IntRange(0, 2).Draw(rt, "in use"),
			Policy:                 Policy(rapid.IntRange(0, 1).Draw(rt, "policy")),
		}
		h := newHarness(t, config)
		pushed, cancelled := []Ticket{}, make(map[Ticket]bool)
		finished := make(map[Ticket]bool)
		anyTicket := func() Ticket {
			if len(pushed) == 0 {
				return 1
			}
			return rapid.SampledFrom(pushed).Draw(rt, "ticket")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				workspace := model.Workspace(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "workspace")))
				remaining := time.Duration(rapid.IntRange(0, 200).Draw(rt, "remaining")) * time.Millisecond
				pushed = append(pushed, h.push(workspace, remaining))
			},
			"finish": func(rt *rapid.T) {
				ticket := anyTicket()
				h.finish(ticket)
				finished[ticket] = finished[ticket] || h.actions[ticket].Start
			},
			"cancel": func(rt *rapid.T) {
				ticket := anyTicket()
				if h.queue.Cancel(ticket) {
					cancelled[ticket] = true
				}
			},
			"time": func(rt *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "step")) * time.Millisecond)
				h.record(h.queue.Expire(h.now))
			},
			"": func(rt *rapid.T) {
				checkCounts(rt, h, config, pushed, cancelled, finished)
			},
		})
		h.record(h.queue.Drain())
		for _, ticket := range pushed {
			_, answered := h.actions[ticket]
			if answered == cancelled[ticket] {
				rt.Fatalf("ticket %d: answered %t, cancelled %t", ticket, answered, cancelled[ticket])
			}
		}
	})
}

func checkCounts(rt *rapid.T, h *harness, config Config, pushed []Ticket, cancelled, finished map[Ticket]bool) {
	queued, running := 0, 0
	for _, ticket := range pushed {
		action, answered := h.actions[ticket]
		if !answered && !cancelled[ticket] {
			queued++
		}
		if action.Start && !finished[ticket] {
			running++
		}
	}
	want := Stats{Queued: queued, Running: running}
	got := h.queue.Stats()
	got.ServiceTime, got.Workspaces = 0, 0
	if diff := cmp.Diff(want, got); diff != "" {
		rt.Fatal(diff)
	}
	if running > config.Slots || queued > config.MaxQueued {
		rt.Fatalf("%d running, %d queued", running, queued)
	}
	startable := 0
	for i := range 4 {
		waiting, used := h.queue.WorkspaceCounts(model.Workspace(fmt.Sprint(i)))
		limit := config.MaxRunningPerWorkspace
		if waiting > config.MaxQueuedPerWorkspace || limit > 0 && used > limit {
			rt.Fatalf("workspace %d: %d queued, %d in use", i, waiting, used)
		}
		if waiting > 0 && (limit == 0 || used < limit) {
			startable++
		}
	}
	if startable > 0 && running < config.Slots {
		rt.Fatalf("%d workspaces wait although a slot is free", startable)
	}
}
