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
	// The property tests give the same verdict in every run.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// bench drives a queue in virtual time and keeps the last action of each ticket.
type bench struct {
	t     testing.TB
	queue *Queue
	now   time.Time
	fate  map[Ticket]Action
	order []Ticket                   // in the order of their starts
	owner map[Ticket]model.Workspace // of the requests of slotTime
	ends  map[Ticket]time.Time       // of those that run
}

func newBench(t testing.TB, config Config) *bench {
	t.Helper()
	queue, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{
		t: t, queue: queue, now: time.Unix(1000, 0), fate: make(map[Ticket]Action),
		owner: make(map[Ticket]model.Workspace), ends: make(map[Ticket]time.Time),
	}
}

func (b *bench) take(actions []Action) {
	b.t.Helper()
	for _, action := range actions {
		if earlier, twice := b.fate[action.Ticket]; twice {
			b.t.Fatalf("ticket %d: %+v after %+v", action.Ticket, action, earlier)
		}
		b.fate[action.Ticket] = action
		if action.Start {
			b.order = append(b.order, action.Ticket)
		} else if action.Result.Outcome != model.OutcomeNotRun {
			b.t.Fatalf("ticket %d is refused as %s", action.Ticket, action.Result.Outcome)
		}
	}
}

func (b *bench) push(workspace model.Workspace, remaining time.Duration) Ticket {
	b.t.Helper()
	return b.pushRequest(Request{Workspace: workspace, Deadline: b.now.Add(remaining)})
}

func (b *bench) pushRequest(request Request) Ticket {
	b.t.Helper()
	ticket, actions := b.queue.Push(b.now, request)
	b.take(actions)
	return ticket
}

func (b *bench) finish(ticket Ticket) {
	b.t.Helper()
	b.take(b.queue.Finish(b.now, ticket))
}

func (b *bench) wantRefused(ticket Ticket, reason model.Reason) {
	b.t.Helper()
	if got, answered := b.fate[ticket]; !answered || got.Start || got.Result.Reason != reason {
		b.t.Errorf("ticket %d: got %+v (answered %t), want refusal %s", ticket, got, answered, reason)
	}
}

func (b *bench) wantStarted(ticket Ticket, want bool) {
	b.t.Helper()
	if got := b.fate[ticket].Start; got != want {
		b.t.Errorf("ticket %d: started %t, want %t", ticket, got, want)
	}
}

// Guards against a queued request that gets no answer at drain, and against new work after it.
func TestDrainAnswersEverything(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	running := b.push("a", time.Minute)
	var queued []Ticket
	for i := range 20 {
		queued = append(queued, b.push(model.Workspace(rune('a'+i%3)), time.Minute))
	}
	b.take(b.queue.Drain())
	for _, ticket := range queued {
		b.wantRefused(ticket, model.ReasonDraining)
	}
	b.finish(running)
	b.wantRefused(b.push("a", time.Minute), model.ReasonDraining)
	if stats := b.queue.Stats(); stats.Queued != 0 || stats.Running != 0 || len(b.order) != 1 {
		t.Errorf("after drain: %+v, %d starts", stats, len(b.order))
	}
}

// Guards against queued requests that are dropped, or new ones that are taken, while a host is leaving.
func TestCloseFinishesTheQueue(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	first, second := b.push("a", time.Minute), b.push("a", time.Minute)
	b.queue.Close()
	b.wantRefused(b.push("a", time.Minute), model.ReasonDraining)
	b.finish(first)
	b.wantStarted(second, true)
}

// Guards against a statement that is sent for a key that was withdrawn while the statement waited.
func TestRecheckRefusesWithdrawnKey(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	withdrawn := false
	recheck := func() model.Result {
		if withdrawn {
			return model.NotRun(model.ReasonKeyInvalid, "the key is withdrawn")
		}
		return model.Result{}
	}
	running := b.pushRequest(Request{Workspace: "a", Deadline: b.now.Add(time.Minute), Recheck: recheck})
	refused := b.pushRequest(Request{Workspace: "a", Deadline: b.now.Add(time.Minute), Recheck: recheck})
	other := b.push("b", time.Minute)
	withdrawn = true
	b.finish(running)
	b.wantStarted(running, true)
	b.wantStarted(other, true)
	b.finish(other)
	b.wantRefused(refused, model.ReasonKeyInvalid)
}

// Guards against a request that is refused because of its time and runs all the same.
func TestRefusedEarlyIsNeverStarted(t *testing.T) {
	b := newBench(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	running := []Ticket{b.push("a", time.Second)}
	for range 5 {
		running = append(running, b.push("a", time.Second))
	}
	late := b.push("a", 40*time.Millisecond)
	b.wantRefused(late, model.ReasonDeadlineExceeded)
	if after := b.fate[late].Result.RetryAfter; after <= 0 {
		t.Errorf("retry after %s", after)
	}
	for _, ticket := range running {
		b.wantStarted(ticket, true)
		b.now = b.now.Add(time.Millisecond)
		b.finish(ticket)
	}
	b.wantStarted(late, false)
}

// Guards against work for callers that have given up, whose time ended in the queue.
func TestExpiredIsNeverStarted(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	running := b.push("a", time.Second)
	byTimer, atDequeue := b.push("a", 10*time.Millisecond), b.push("a", 20*time.Millisecond)
	if at, some := b.queue.NextDeadline(); !some || at != b.now.Add(10*time.Millisecond) {
		t.Errorf("next deadline %s, %t", at, some)
	}
	b.now = b.now.Add(10 * time.Millisecond)
	b.take(b.queue.Expire(b.now))
	b.wantRefused(byTimer, model.ReasonDeadlineExceeded)
	b.now = b.now.Add(10 * time.Millisecond)
	b.finish(running)
	b.wantRefused(atDequeue, model.ReasonDeadlineExceeded)
	b.wantRefused(b.push("a", 0), model.ReasonDeadlineExceeded)
}

// Guards against slots that are wasted on requests that most likely end too late, and against a wrong estimate that
// refuses requests with most of their time left.
func TestUselessIsNeverStarted(t *testing.T) {
	b := newBench(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	running := b.push("a", time.Second)
	late, early := b.push("b", 50*time.Millisecond), b.push("c", 30*time.Millisecond)
	b.now = b.now.Add(31 * time.Millisecond / 2)
	b.finish(running)
	b.wantStarted(late, true)
	b.finish(late)
	b.wantRefused(early, model.ReasonDeadlineExceeded)
	running, late = b.push("a", time.Second), b.push("b", 50*time.Millisecond)
	b.now = b.now.Add(35 * time.Millisecond)
	b.finish(running)
	b.wantRefused(late, model.ReasonDeadlineExceeded)
}

// Guards against a wrong estimate that refuses everything, so that no later service time can correct it.
func TestEstimateRecovers(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	slow := b.push("a", time.Hour)
	b.now = b.now.Add(10 * time.Minute)
	b.finish(slow)
	for i := range 200 {
		ticket := b.push("a", 50*time.Millisecond)
		b.wantStarted(ticket, true)
		b.now = b.now.Add(time.Millisecond)
		b.finish(ticket)
		if t.Failed() {
			t.Fatalf("request %d is refused with an idle target", i)
		}
	}
	if got := b.queue.Stats().ServiceTime; got > 2*time.Millisecond {
		t.Errorf("service time %s after 200 requests of 1 ms", got)
	}
}

// Guards against a request that starts after its caller is gone, and against a slot that is freed while in use.
func TestCancel(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	running, cancelled, next := b.push("a", time.Minute), b.push("a", time.Minute), b.push("a", time.Minute)
	if b.queue.Cancel(running) {
		t.Error("a running request is cancelled")
	}
	if !b.queue.Cancel(cancelled) || b.queue.Cancel(cancelled) {
		t.Error("a queued request is not cancelled exactly once")
	}
	b.finish(cancelled)
	b.wantStarted(next, false)
	b.finish(running)
	b.wantStarted(next, true)
	b.wantStarted(cancelled, false)
	b.finish(running)
	if stats := b.queue.Stats(); stats.Running != 1 {
		t.Errorf("%d running after a slot was released twice", stats.Running)
	}
}

// Guards against a workspace that fills the queue and shuts the others out of it.
func TestFullQueueEvictsNewestOfTheLargest(t *testing.T) {
	b := newBench(t, Config{Slots: 0, MaxQueued: 10, MaxQueuedPerWorkspace: 8})
	var large []Ticket
	for range 8 {
		large = append(large, b.push("large", time.Minute))
	}
	b.wantRefused(b.push("large", time.Minute), model.ReasonQueueFull)
	for range 5 {
		b.push("small", time.Minute)
	}
	for i, ticket := range large {
		if i >= 5 {
			b.wantRefused(ticket, model.ReasonQueueFull)
		} else if action, answered := b.fate[ticket]; answered {
			t.Errorf("older request %d: %+v", i, action)
		}
	}
	b.wantRefused(b.push("small", time.Minute), model.ReasonQueueFull)
	b.wantRefused(b.push("large", time.Minute), model.ReasonQueueFull)
	if stats := b.queue.Stats(); stats.Queued != 10 {
		t.Errorf("%d queued", stats.Queued)
	}
}

// Guards against a workspace that pins more connections than its part, and against others waiting behind it.
func TestMaxInUse(t *testing.T) {
	b := newBench(t, Config{Slots: 4, MaxRunningPerWorkspace: FairShare(4, 2)})
	first, second, third := b.push("a", time.Minute), b.push("a", time.Minute), b.push("a", time.Minute)
	other := b.push("b", time.Minute)
	b.wantStarted(second, true)
	b.wantStarted(third, false)
	b.wantStarted(other, true)
	b.finish(first)
	b.wantStarted(third, true)
	if got := []int{FairShare(7, 8), FairShare(7, 3), FairShare(7, 0)}; !cmp.Equal(got, []int{1, 2, 7}) {
		t.Errorf("fair parts %v", got)
	}
}

// Guards against a stalled queue after a failover, and against new starts while there is no primary.
func TestSetSlots(t *testing.T) {
	b := newBench(t, Config{Slots: 2})
	first, second := b.push("a", time.Minute), b.push("a", time.Minute)
	b.take(b.queue.SetSlots(b.now, 0))
	waiting := b.push("a", time.Minute)
	b.finish(first)
	b.finish(second)
	b.wantStarted(waiting, false)
	b.take(b.queue.SetSlots(b.now, 1))
	b.wantStarted(waiting, true)
}

// Guards against two workspaces that evict each other in turns, so that requests are refused and nothing is gained.
func TestEqualWorkspacesDoNotEvictEachOther(t *testing.T) {
	b := newBench(t, Config{Slots: 0, MaxQueued: 3})
	b.push("a", time.Minute)
	newest := b.push("a", time.Minute)
	b.push("b", time.Minute)
	b.wantRefused(b.push("b", time.Minute), model.ReasonQueueFull)
	if action, answered := b.fate[newest]; answered {
		t.Errorf("got %+v", action)
	}
}

// slotTime keeps all workspaces backlogged for a while and returns the slot time that each of them got.
func slotTime(b *bench, service map[model.Workspace]time.Duration, length time.Duration) map[model.Workspace]time.Duration {
	used := make(map[model.Workspace]time.Duration)
	for stop := b.now.Add(length); b.now.Before(stop); {
		for _, workspace := range slices.Sorted(maps.Keys(service)) {
			for queued, _ := b.queue.WorkspaceCounts(workspace); queued < 3; queued++ {
				b.owner[b.push(workspace, time.Hour)] = workspace
			}
		}
		for _, ticket := range b.order {
			if workspace, own := b.owner[ticket]; own {
				b.ends[ticket] = b.now.Add(service[workspace])
			}
		}
		b.order = nil
		next := slices.MinFunc(slices.Sorted(maps.Keys(b.ends)), func(x, y Ticket) int {
			return b.ends[x].Compare(b.ends[y])
		})
		if b.ends[next].After(b.now) {
			b.now = b.ends[next]
		}
		delete(b.ends, next)
		used[b.owner[next]] += service[b.owner[next]]
		b.finish(next)
	}
	return used
}

// Guards against starvation: a workspace with slow statements must not take the slot time of the others. The second run
// shows that counting statements does not prevent it.
func TestSlowStatementsGetNoMoreThanTheirPart(t *testing.T) {
	service := map[model.Workspace]time.Duration{"slow": 100 * time.Millisecond, "a": 2 * time.Millisecond, "b": 2 * time.Millisecond}
	for policy, fair := range map[Policy]bool{PolicySlotTime: true, PolicyRoundRobin: false} {
		b := newBench(t, Config{Slots: 3, Policy: policy})
		used := slotTime(b, service, 20*time.Second)
		for _, workspace := range []model.Workspace{"a", "b"} {
			if ratio := used[workspace].Seconds() / 20; (ratio > 0.85) != fair {
				t.Errorf("policy %d: %s gets %.2f slots of 1", policy, workspace, ratio)
			}
		}
	}
}

// Guards against unlimited credit for idle time, with which a workspace would shut the others out when it comes back. It
// may run ahead by maxCredit, so the other one gets half of the rest.
func TestCreditIsBounded(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	b.finish(b.push("b", time.Hour))
	fast := map[model.Workspace]time.Duration{"a": time.Millisecond}
	slotTime(b, fast, 10*time.Second)
	fast["b"] = time.Millisecond
	used := slotTime(b, fast, time.Second)
	if used["a"].Seconds() < (1-maxCredit)/2 {
		t.Errorf("a gets %s of 1 s after b was idle", used["a"])
	}
}

// Guards against accounts that overflow or lose their precision as time passes, also while a statement runs.
func TestAccountsLast(t *testing.T) {
	b := newBench(t, Config{Slots: 2})
	b.push("a", 1000*time.Hour)
	fast := map[model.Workspace]time.Duration{"b": time.Millisecond, "c": time.Millisecond}
	for _, pause := range []time.Duration{0, time.Minute, time.Hour, 100 * time.Hour} {
		b.now = b.now.Add(pause)
		slotTime(b, fast, 2*time.Second)
		if used := slotTime(b, fast, time.Second); used["b"] < 450*time.Millisecond || used["c"] < 450*time.Millisecond {
			t.Errorf("after %s: %v of 1 s each", pause, used)
		}
	}
}

// Guards against unlimited debt, which would shut a workspace out after one very slow statement.
func TestDebtIsBounded(t *testing.T) {
	b := newBench(t, Config{Slots: 1})
	slow := b.push("a", time.Hour)
	b.owner[b.push("b", time.Hour)] = "b"
	b.now = b.now.Add(time.Minute)
	b.finish(slow)
	fast := map[model.Workspace]time.Duration{"a": time.Millisecond, "b": time.Millisecond}
	if used := slotTime(b, fast, 4*time.Second); used["a"] < time.Second || used["a"] > 2*time.Second {
		t.Errorf("a gets %s of 4 s after a slow statement", used["a"])
	}
}

// Guards against a refusal because of an equal part, while the others queue less than their parts and the wait is short.
func TestWaitIsAtMostTheQueuedWork(t *testing.T) {
	b := newBench(t, Config{Slots: 1, ServiceTime: 10 * time.Millisecond})
	b.push("c", time.Hour)
	for range 5 {
		b.push("a", time.Hour)
	}
	b.push("b", time.Hour)
	accepted := b.push("a", 80*time.Millisecond)
	if action, answered := b.fate[accepted]; answered {
		t.Errorf("got %+v", action)
	}
	b.wantRefused(b.push("a", 50*time.Millisecond), model.ReasonDeadlineExceeded)
}

// Guards against statements that cost nothing until they end, with which a workspace could take every slot: while a
// statement of one workspace holds one of two slots, the other slot belongs to the other workspace.
func TestRunningStatementsAreCharged(t *testing.T) {
	b := newBench(t, Config{Slots: 2})
	b.push("a", time.Hour)
	owner := map[Ticket]model.Workspace{b.push("b", time.Hour): "b"}
	starts := make(map[model.Workspace]int)
	for range 100 {
		for _, workspace := range []model.Workspace{"a", "b"} {
			if queued, _ := b.queue.WorkspaceCounts(workspace); queued == 0 {
				owner[b.push(workspace, time.Hour)] = workspace
			}
		}
		current := b.order[len(b.order)-1]
		starts[owner[current]]++
		b.now = b.now.Add(5 * time.Millisecond)
		b.finish(current)
	}
	if starts["a"] > 10 {
		t.Errorf("a starts %d of 100 requests beside its stuck statement", starts["a"])
	}
}

// Guards against requests that vanish, start twice, or exceed a bound, over random sequences of all operations.
func TestEveryRequestHasOneFate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		config := Config{
			Slots:                  rapid.IntRange(1, 3).Draw(rt, "slots"),
			MaxQueued:              rapid.IntRange(1, 12).Draw(rt, "total"),
			MaxQueuedPerWorkspace:  rapid.IntRange(1, 6).Draw(rt, "each"),
			MaxRunningPerWorkspace: rapid.IntRange(0, 2).Draw(rt, "in use"),
			Policy:                 Policy(rapid.IntRange(0, 1).Draw(rt, "policy")),
		}
		b := newBench(t, config)
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
				pushed = append(pushed, b.push(workspace, remaining))
			},
			"finish": func(rt *rapid.T) {
				ticket := anyTicket()
				b.finish(ticket)
				finished[ticket] = finished[ticket] || b.fate[ticket].Start
			},
			"cancel": func(rt *rapid.T) {
				ticket := anyTicket()
				if b.queue.Cancel(ticket) {
					cancelled[ticket] = true
				}
			},
			"time": func(rt *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "step")) * time.Millisecond)
				b.take(b.queue.Expire(b.now))
			},
			"": func(rt *rapid.T) {
				checkCounts(rt, b, config, pushed, cancelled, finished)
			},
		})
		b.take(b.queue.Drain())
		for _, ticket := range pushed {
			_, answered := b.fate[ticket]
			if answered == cancelled[ticket] {
				rt.Fatalf("ticket %d: answered %t, cancelled %t", ticket, answered, cancelled[ticket])
			}
		}
	})
}

func checkCounts(rt *rapid.T, b *bench, config Config, pushed []Ticket, cancelled, finished map[Ticket]bool) {
	queued, running := 0, 0
	for _, ticket := range pushed {
		action, answered := b.fate[ticket]
		if !answered && !cancelled[ticket] {
			queued++
		}
		if action.Start && !finished[ticket] {
			running++
		}
	}
	want := Stats{Queued: queued, Running: running}
	got := b.queue.Stats()
	got.ServiceTime, got.Workspaces = 0, 0
	if diff := cmp.Diff(want, got); diff != "" {
		rt.Fatal(diff)
	}
	if running > config.Slots || queued > config.MaxQueued {
		rt.Fatalf("%d running, %d queued", running, queued)
	}
	startable := 0
	for i := range 4 {
		waiting, used := b.queue.WorkspaceCounts(model.Workspace(fmt.Sprint(i)))
		limit := config.MaxRunningPerWorkspace
		if waiting > config.MaxQueuedPerWorkspace || limit > 0 && used > limit {
			rt.Fatalf("workspace %d: %d queued, %d in use", i, waiting, used)
		}
		if waiting > 0 && (limit == 0 || used < limit) {
			startable++
		}
	}
	if startable > 0 && running < config.Slots {
		rt.Fatalf("%d workspaces wait beside a free slot", startable)
	}
}
