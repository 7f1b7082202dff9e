package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/coldstart"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/region"
)

var start = time.Unix(1000, 0)

// fixture executes the actions of a pool and records them. Connections open at once unless manualOpen is set.
type fixture struct {
	t          *testing.T
	pool       *Pool
	now        time.Time
	opened     []Open
	closed     []ConnID
	granted    map[RequestID]Grant
	refused    map[RequestID]RefusalReason
	manualOpen bool // the test reports the results of Open actions
}

func newFixture(t *testing.T, targets ...Target) *fixture {
	f := &fixture{t: t, pool: New("east"), now: start, granted: map[RequestID]Grant{},
		refused: map[RequestID]RefusalReason{}}
	f.apply(f.pool.SetTargets(f.now, targets))
	if len(targets) > 0 {
		f.apply(f.pool.SetPrimary(f.now, targets[0].ID, true))
	}
	return f
}

func (f *fixture) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Open:
			f.opened = append(f.opened, a)
			if !f.manualOpen {
				f.apply(f.pool.OpenFinished(f.now, a.Conn, true))
			}
		case Close:
			f.closed = append(f.closed, a.Conn)
		case Grant:
			f.granted[a.RequestID] = a
		case Refuse:
			f.refused[a.RequestID] = a.Reason
		}
	}
}

func (f *fixture) enqueue(r Request) {
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(time.Second)
	}
	f.apply(f.pool.Enqueue(f.now, r))
}

func (f *fixture) release(id RequestID) { f.apply(f.pool.Release(f.now, f.granted[id].Conn)) }

func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.apply(f.pool.Tick(f.now))
}

func writeRequest(id RequestID, workspace model.Workspace) Request {
	return Request{ID: id, Workspace: workspace, PrimaryOnly: true, Priority: 1}
}

func readRequest(id RequestID, workspace model.Workspace, asOf time.Time) Request {
	return Request{ID: id, Workspace: workspace, AsOf: asOf, Priority: 1}
}

// A workspace must reuse its connection instead of opening one for each statement.
func TestReusesConnectionOfWorkspace(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	f.enqueue(writeRequest(1, "w"))
	f.release(1)
	f.enqueue(writeRequest(2, "w"))
	if f.granted[1].Conn != f.granted[2].Conn || len(f.opened) != 1 {
		t.Errorf("opened %v for two statements in a row", f.opened)
	}
}

// A statement must never run on a connection of another workspace.
func TestNeverSharesConnectionBetweenWorkspaces(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.enqueue(writeRequest(1, "w"))
	f.release(1)
	f.enqueue(writeRequest(2, "x"))
	if f.granted[1].Conn == f.granted[2].Conn {
		t.Error("a connection was given to another workspace")
	}
	if diff := cmp.Diff([]ConnID{f.granted[1].Conn}, f.closed); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
}

// A host must not exceed its connection limit, because it would use up the connections of other hosts.
func TestRespectsConnectionLimit(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	for id := RequestID(1); id <= 5; id++ {
		f.enqueue(writeRequest(id, "w"))
	}
	if len(f.opened) != 2 || len(f.granted) != 2 {
		t.Errorf("%d connections opened and %d granted with a limit of 2", len(f.opened), len(f.granted))
	}
	f.apply(f.pool.SetTargets(f.now, []Target{{ID: "a", DataCentre: "east", Limit: 1}}))
	f.release(1)
	if got := f.pool.Connections(); got != 1 {
		t.Errorf("%d connections are kept after the limit fell to 1", got)
	}
}

// Reads must not load the primary while a replica has their data, and must not wait for a replica that lags.
func TestReadsGoToReplicaThatHasTheData(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 2}, Target{ID: "r", DataCentre: "east", Limit: 2})
	f.enqueue(readRequest(1, "w", start.Add(-time.Second)))
	if got := f.granted[1].Target; got != "r" {
		t.Errorf("the read ran on %q", got)
	}
	f.pool.ObserveLag(f.now, "r", 5*time.Second)
	f.enqueue(readRequest(2, "w", start.Add(-time.Second)))
	if got := f.granted[2].Target; got != "p" {
		t.Errorf("with a replica 5 s behind, the read ran on %q", got)
	}
	f.advance(2 * lagTTL)
	f.enqueue(readRequest(3, "w", start.Add(-time.Second)))
	if got := f.granted[3].Target; got != "r" {
		t.Errorf("the replica was not tried again after lagTTL, the read ran on %q", got)
	}
}

// Requests for the primary must wait while it is being replaced.
func TestQueuesPrimaryRequestsWithoutPrimary(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 2}, Target{ID: "r", DataCentre: "east", Limit: 2})
	f.apply(f.pool.SetPrimary(f.now, "", false))
	f.enqueue(writeRequest(1, "w"))
	f.enqueue(readRequest(2, "w", start.Add(-time.Second)))
	if _, granted := f.granted[1]; granted {
		t.Error("a write was granted without a primary")
	}
	if _, granted := f.granted[2]; !granted {
		t.Error("a read waits although a replica can run it")
	}
	f.apply(f.pool.SetPrimary(f.now, "r", true))
	if got := f.granted[1].Target; got != "r" {
		t.Errorf("after the promotion the write ran on %q", got)
	}
}

// While a primary is being replaced, reads must run on the replicas and not on the old primary, which may have lost the
// lead, and must not wait for the next one.
func TestReadsAvoidClosedPrimary(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 2}, Target{ID: "r", DataCentre: "west", Limit: 1})
	f.apply(f.pool.SetPrimary(f.now, "p", false))
	f.enqueue(readRequest(1, "w", start.Add(-time.Second)))
	f.enqueue(readRequest(2, "w", start.Add(-time.Second)))
	if got := f.granted[1].Target; got != "r" {
		t.Errorf("the first read ran on %q, want the replica", got)
	}
	if got, granted := f.granted[2]; granted {
		t.Errorf("the second read ran on %q while the replica was busy", got.Target)
	}
}

// An evacuated target must get no new work, also if it is the primary. What only such targets can run must be refused at once,
// also if it is queued already.
func TestEvacuatedTargetsGetNoWork(t *testing.T) {
	p, r := Target{ID: "p", DataCentre: "east", Limit: 1}, Target{ID: "r", DataCentre: "west", Limit: 1}
	f := newFixture(t, p, r)
	f.enqueue(writeRequest(1, "w"))
	f.enqueue(writeRequest(2, "w"))
	p.Evacuated = true
	f.apply(f.pool.SetTargets(f.now, []Target{p, r}))
	f.enqueue(writeRequest(3, "w"))
	f.enqueue(readRequest(4, "w", time.Time{}))
	f.enqueue(readRequest(5, "w", start.Add(-time.Second)))
	want := map[RequestID]RefusalReason{2: RefusedEvacuated, 3: RefusedEvacuated, 4: RefusedEvacuated}
	if diff := cmp.Diff(want, f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if got := f.granted[5].Target; got != "r" {
		t.Errorf("the read ran on %q", got)
	}
	f.release(1)
	if len(f.closed) != 1 {
		t.Error("the connection to the evacuated target stays open")
	}
	f.apply(f.pool.SetPrimary(f.now, "p", false))
	f.enqueue(writeRequest(6, "w"))
	if len(f.refused) != len(want) {
		t.Error("a write was refused although its primary is being replaced")
	}
	r.Evacuated = true
	f.apply(f.pool.SetTargets(f.now, []Target{p, r}))
	f.enqueue(readRequest(7, "w", start.Add(-time.Second)))
	if f.refused[6] != RefusedEvacuated || f.refused[7] != RefusedEvacuated {
		t.Errorf("all targets are evacuated, refused were %v", f.refused)
	}
	p.Evacuated, r.Evacuated = false, false
	f.apply(f.pool.SetTargets(f.now, []Target{p, r}))
	f.apply(f.pool.SetPrimary(f.now, "p", true))
	f.enqueue(writeRequest(8, "w"))
	if f.granted[8].Target != "p" {
		t.Error("the primary is not used after the evacuation")
	}
}

// A cold target must get no more requests than this host's share, also counting the opening of connections; what doesn't fit must
// go to other targets, or wait.
func TestColdTargetGetsItsShare(t *testing.T) {
	cold := Target{ID: "c", DataCentre: "east", Limit: 10, ColdUntil: start.Add(10 * time.Second),
		ColdRate: coldstart.Rate{PerSecond: 2, Burst: 3}}
	f := newFixture(t, Target{ID: "p", DataCentre: "west", Limit: 10}, cold)
	for id := range RequestID(6) {
		f.enqueue(readRequest(id+1, "w", start.Add(-time.Second)))
	}
	counts := map[model.TargetID]int{}
	for _, g := range f.granted {
		counts[g.Target]++
	}
	if len(f.granted) != 6 || counts["c"] < 1 || counts["c"]+openedTo(f, "c") > 3 {
		t.Errorf("granted %v, %d connections opened to the cold target", counts, openedTo(f, "c"))
	}
	f.pool.CountRequests(f.now, "c", 4)
	f.apply(f.pool.SetPrimary(f.now, "c", true))
	f.enqueue(writeRequest(10, "w"))
	f.advance(500 * time.Millisecond)
	if _, granted := f.granted[10]; granted || len(f.refused) > 0 {
		t.Error("a request was granted although others are owed")
	}
	if f.pool.MayTakeRequest(f.now, "c") || !f.pool.MayTakeRequest(cold.ColdUntil, "c") {
		t.Error("the share has to end with the cold time")
	}
}

// A request with regions must run in these regions only, and must be refused at once if no target there can run it.
func TestRequestsKeepToRegions(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 9}, Target{ID: "r", DataCentre: "west", Limit: 9})
	in := func(r Request, allowed ...model.DataCentre) Request {
		r.Region = region.Constraint{Limited: true, Allowed: map[model.DataCentre]bool{}}
		for _, dc := range allowed {
			r.Region.Allowed[dc] = true
		}
		return r
	}
	for id := range RequestID(6) {
		f.enqueue(in(readRequest(id+1, "w", start.Add(-time.Second)), "east"))
		if got := f.granted[id+1].Target; got != "p" {
			t.Errorf("read %d ran on %q", id+1, got)
		}
	}
	f.enqueue(in(writeRequest(10, "w"), "west"))
	f.enqueue(in(readRequest(11, "w", start.Add(-time.Second)), "north"))
	f.enqueue(in(readRequest(12, "w", start.Add(-time.Second))))
	f.enqueue(in(readRequest(13, "w", time.Time{}), "west"))
	want := map[RequestID]RefusalReason{10: RefusedRegion, 11: RefusedRegion, 12: RefusedRegion, 13: RefusedRegion}
	if diff := cmp.Diff(want, f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	f.apply(f.pool.SetPrimary(f.now, "p", false))
	f.enqueue(in(writeRequest(20, "w"), "west"))
	f.apply(f.pool.SetPrimary(f.now, "r", true))
	if got := f.granted[20].Target; got != "r" {
		t.Errorf("after the promotion of a target in its region the write ran on %q", got)
	}
}

func openedTo(f *fixture, id model.TargetID) int {
	count := 0
	for _, o := range f.opened {
		if o.Target == id {
			count++
		}
	}
	return count
}

// Requests must be refused at their deadline, not held until the caller has timed out.
func TestRefusesAtDeadline(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.enqueue(writeRequest(1, "w"))
	expiring := writeRequest(2, "w")
	expiring.Deadline = start.Add(100 * time.Millisecond)
	f.enqueue(expiring)
	f.advance(99 * time.Millisecond)
	if len(f.refused) != 0 {
		t.Errorf("refused %v before the deadline", f.refused)
	}
	f.advance(time.Millisecond)
	if diff := cmp.Diff(map[RequestID]RefusalReason{2: RefusedQueueTimeout}, f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// A full queue must refuse requests of low priority rather than one of high priority.
func TestFullQueueKeepsUrgentRequests(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.enqueue(writeRequest(1, "w"))
	for id := RequestID(2); id < 2+maxQueuePerConnection; id++ {
		f.enqueue(writeRequest(id, "w"))
	}
	urgent := writeRequest(100, "w")
	urgent.Priority = 0
	f.enqueue(urgent)
	f.enqueue(writeRequest(101, "w"))
	if diff := cmp.Diff(map[RequestID]RefusalReason{1 + maxQueuePerConnection: RefusedQueueFull, 101: RefusedQueueFull},
		f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	f.release(1)
	if _, granted := f.granted[100]; !granted {
		t.Error("the urgent request was not served next")
	}
}

// After a failed attempt to open a connection, the pool must back off before the next attempt.
func TestBacksOffAfterFailedOpen(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	f.manualOpen = true
	f.enqueue(writeRequest(1, "w"))
	f.apply(f.pool.OpenFinished(f.now, f.opened[0].Conn, false))
	f.advance(openBackoff / 2)
	if len(f.opened) != 1 {
		t.Errorf("%d attempts during the backoff", len(f.opened))
	}
	f.advance(openBackoff)
	if len(f.opened) != 2 {
		t.Errorf("%d attempts after the backoff", len(f.opened))
	}
}

// Idle connections must not use up a target's connections: after all hosts lost power, the target still counts the old
// connections for seconds.
func TestClosesIdleConnections(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 3})
	for id := RequestID(1); id <= 3; id++ {
		f.enqueue(writeRequest(id, "w"))
	}
	for id := RequestID(1); id <= 3; id++ {
		f.release(id)
	}
	f.advance(2 * idleTimeout)
	if got := f.pool.Connections(); got != 1 {
		t.Errorf("%d connections are left after the idle timeout, want 1", got)
	}
}

// A workspace that is used every few seconds must find its connection open: opening one takes a slot for half the time of a
// statement. Ten workspaces, each with a statement every two seconds, on a home of a large fleet.
func TestKeepsConnectionsOfOccasionalWorkspaces(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 24})
	id := RequestID(0)
	for range 10 { // rounds of two seconds
		for workspace := range 10 {
			id++
			f.enqueue(writeRequest(id, model.Workspace(rune('a'+workspace))))
			f.advance(25 * time.Millisecond)
			f.release(id)
			f.advance(175 * time.Millisecond)
		}
	}
	if len(f.granted) != int(id) || len(f.opened) != 10 {
		t.Errorf("%d of %d statements were granted a connection, %d connections opened for 10 workspaces", len(f.granted), id,
			len(f.opened))
	}
}

// A connection must not be reopened for another workspace while statements of its own workspace wait, because reopening
// costs the target as much as a statement. The other workspace must not starve either.
func TestServesOwnWorkspaceBeforeReopening(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.enqueue(writeRequest(1, "w"))
	f.enqueue(writeRequest(2, "x"))
	f.enqueue(writeRequest(3, "w"))
	f.release(1)
	if _, granted := f.granted[3]; !granted {
		t.Error("the statement of the connection's workspace was not served first")
	}
	f.advance(2 * maxAffinityWait)
	f.enqueue(writeRequest(4, "w"))
	f.release(3)
	if _, granted := f.granted[2]; !granted {
		t.Error("the statement of the other workspace starved")
	}
}

// Runs random sequences of events and checks after each step that the limits hold, that a connection is never granted twice
// at the same time, and at the end that every request was granted or refused.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		runRandomHistory(t, seed)
	}
}

func runRandomHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	targets := []Target{{ID: "p", DataCentre: "east", Limit: 2}, {ID: "r", DataCentre: "east", Limit: 1},
		{ID: "s", DataCentre: "west", Limit: 2}}
	f := newFixture(t, targets...)
	f.manualOpen = true
	lastID, opened := RequestID(0), 0
	inUse := map[RequestID]bool{}
	for range 400 {
		switch rng.IntN(6) {
		case 0, 1:
			lastID++
			r := readRequest(lastID, model.Workspace(rune('a'+rng.IntN(4))), f.now.Add(-time.Second))
			r.PrimaryOnly, r.Priority = rng.IntN(3) == 0, rng.IntN(2)
			f.enqueue(r)
		case 2:
			for ; opened < len(f.opened); opened++ {
				f.apply(f.pool.OpenFinished(f.now, f.opened[opened].Conn, rng.IntN(5) > 0))
			}
		case 3:
			for id, grant := range f.granted {
				if inUse[id] = true; rng.IntN(2) == 0 {
					delete(f.granted, id)
					if rng.IntN(8) == 0 {
						f.apply(f.pool.Discard(f.now, grant.Conn))
					} else {
						f.apply(f.pool.Release(f.now, grant.Conn))
					}
				}
			}
		case 4:
			f.advance(time.Duration(rng.IntN(200)) * time.Millisecond)
		case 5:
			f.apply(f.pool.SetPrimary(f.now, []model.TargetID{"p", "r", ""}[rng.IntN(3)], rng.IntN(4) > 0))
		}
		checkGrants(t, f, seed)
	}
	f.advance(2 * time.Second)
	if got := f.pool.QueueLength(); got != 0 {
		t.Errorf("seed %d: %d requests are neither granted nor refused", seed, got)
	}
}

func checkGrants(t *testing.T, f *fixture, seed uint64) {
	t.Helper()
	used := map[ConnID]bool{}
	for _, grant := range f.granted {
		if used[grant.Conn] {
			t.Fatalf("seed %d: connection %d is granted twice at the same time", seed, grant.Conn)
		}
		used[grant.Conn] = true
	}
	for _, load := range f.pool.Load() {
		if got := load.Opening + load.Idle + load.Busy; got > load.Limit {
			t.Fatalf("seed %d: %d connections to %s, limit %d", seed, got, load.Target, load.Limit)
		}
	}
}

// Guards against statements that wait while a target refuses connections, because it still counts those of hosts that have lost
// power, although this host has idle connections of other workspaces that it can close.
func TestRefusedConnectionsAreReplaced(t *testing.T) {
	f := newFixture(t, Target{ID: "p", Limit: 10, Retained: 8, AdaptLimit: true})
	f.manualOpen = true
	for i, workspace := range []model.Workspace{"a", "b", "c"} {
		f.enqueue(Request{ID: RequestID(i + 1), Workspace: workspace, Target: "p", PrimaryOnly: true})
	}
	for i, c := range f.opened {
		if i < 2 {
			f.apply(f.pool.OpenFinished(f.now, c.Conn, true))
		}
	}
	f.apply(f.pool.Release(f.now, f.granted[1].Conn))
	f.apply(f.pool.OpenRefused(f.now, f.opened[2].Conn)) // the target accepts two connections of this host
	if len(f.closed) != 1 || f.closed[0] != f.opened[0].Conn {
		t.Fatalf("closed %v, want the idle connection %d", f.closed, f.opened[0].Conn)
	}
	last := f.opened[len(f.opened)-1]
	if last.Workspace != "c" {
		t.Fatalf("the last connection is opened for %q, want c", last.Workspace)
	}
	f.apply(f.pool.OpenFinished(f.now, last.Conn, true))
	if _, granted := f.granted[3]; !granted {
		t.Error("the request did not get the connection that replaced another one")
	}
	f.enqueue(Request{ID: 4, Workspace: "d", Target: "p", PrimaryOnly: true})
	if opened := f.opened[len(f.opened)-1]; opened.Workspace == "d" {
		t.Error("a connection is opened beyond what the target accepted")
	}
	f.now = f.now.Add(refusedLimitTTL + time.Millisecond)
	f.enqueue(Request{ID: 5, Workspace: "e", Target: "p", PrimaryOnly: true})
	if opened := f.opened[len(f.opened)-1]; opened.Workspace != "e" {
		t.Error("no connection is opened after the refusal has expired")
	}
}

// Guards against a statement that keeps its turn on a target while the pool waits for an event that may not come: a replica
// that turns out to lag, a pause after a failed opening, or a connection that another statement returns.
func TestGivesUpWithoutConnection(t *testing.T) {
	pinned := func(id RequestID, workspace model.Workspace) Request {
		r := readRequest(id, workspace, start.Add(-time.Second))
		r.Target, r.GiveUp = "r", true
		return r
	}
	gaveUp := func(f *fixture, id RequestID) bool { return f.refused[id] == RefusedNoConnection }
	targets := []Target{{ID: "p", DataCentre: "east", Limit: 2}, {ID: "r", DataCentre: "east", Limit: 1}}

	f := newFixture(t, targets...)
	f.manualOpen = true
	f.enqueue(pinned(1, "w"))
	f.pool.ObserveLag(f.now, "r", 5*time.Second)
	f.apply(f.pool.OpenFinished(f.now, f.opened[0].Conn, true))
	if !gaveUp(f, 1) {
		t.Error("the request waits for a replica that lags")
	}

	f = newFixture(t, targets...)
	f.manualOpen = true
	f.enqueue(pinned(1, "w"))
	f.enqueue(pinned(2, "w"))
	if gaveUp(f, 1) || !gaveUp(f, 2) {
		t.Errorf("refused %v: the first request waits for its opening, the second for a used connection", f.refused)
	}
	f.apply(f.pool.OpenFinished(f.now, f.opened[0].Conn, false))
	if !gaveUp(f, 1) {
		t.Error("the request waits for the end of the pause after a failed opening")
	}

	f = newFixture(t, targets...)
	f.enqueue(pinned(1, "w"))
	if f.granted[1].Target != "r" {
		t.Errorf("the request ran on %q, want its target", f.granted[1].Target)
	}
	if got := f.pool.Choose(f.now, pinned(2, "w"), func(model.TargetID) int { return 0 }); got != "" {
		t.Errorf("chose %q without a free connection", got)
	}
	unpinned := pinned(3, "w")
	unpinned.Target = ""
	if got := f.pool.Choose(f.now, unpinned, func(model.TargetID) int { return 0 }); got != "p" {
		t.Errorf("chose %q, want the target with a free connection", got)
	}
	f.release(1)
	if got := f.pool.Choose(f.now, unpinned, func(model.TargetID) int { return 0 }); got != "r" {
		t.Errorf("chose %q, want the replica", got)
	}
	waiting := func(id model.TargetID) int { return map[model.TargetID]int{"r": 5}[id] }
	if got := f.pool.Choose(f.now, unpinned, waiting); got != "p" {
		t.Errorf("chose %q although five statements wait for it", got)
	}
}
