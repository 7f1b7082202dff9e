package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var start = time.Unix(1000, 0)

// fixture drives a pool whose connections open at once unless the test says otherwise.
type fixture struct {
	t       *testing.T
	pool    *Pool
	now     time.Time
	opened  []Open
	closed  []ConnID
	granted map[RequestID]Grant
	refused map[RequestID]RefusalReason
	hold    bool // openings are left to the test
}

func newFixture(t *testing.T, targets ...Target) *fixture {
	f := &fixture{t: t, pool: New("east"), now: start, granted: map[RequestID]Grant{}, refused: map[RequestID]RefusalReason{}}
	f.do(f.pool.SetTargets(f.now, targets))
	if len(targets) > 0 {
		f.do(f.pool.SetPrimary(f.now, targets[0].ID))
	}
	return f
}

func (f *fixture) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Open:
			f.opened = append(f.opened, a)
			if !f.hold {
				f.do(f.pool.OpenFinished(f.now, a.Conn, true))
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

func (f *fixture) push(r Request) {
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(time.Second)
	}
	f.do(f.pool.Enqueue(f.now, r))
}

func (f *fixture) release(ticket RequestID) { f.do(f.pool.Release(f.now, f.granted[ticket].Conn)) }

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.do(f.pool.Tick(f.now))
}

func write(ticket RequestID, workspace model.Workspace) Request {
	return Request{ID: ticket, Workspace: workspace, PrimaryOnly: true, Priority: 1}
}

func read(ticket RequestID, workspace model.Workspace, dataOf time.Time) Request {
	return Request{ID: ticket, Workspace: workspace, AsOf: dataOf, Priority: 1}
}

// Guards against a connection that is opened anew for each statement of a workspace.
func TestReusesConnectionOfWorkspace(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	f.push(write(1, "w"))
	f.release(1)
	f.push(write(2, "w"))
	if f.granted[1].Conn != f.granted[2].Conn || len(f.opened) != 1 {
		t.Errorf("opened %v for two statements in a row", f.opened)
	}
}

// Guards against a statement that runs on a connection of another workspace.
func TestNeverSharesConnectionBetweenWorkspaces(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.push(write(1, "w"))
	f.release(1)
	f.push(write(2, "x"))
	if f.granted[1].Conn == f.granted[2].Conn {
		t.Error("a connection was given to another workspace")
	}
	if diff := cmp.Diff([]ConnID{f.granted[1].Conn}, f.closed); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
}

// Guards against more connections than this host may hold, which would take those of other hosts.
func TestKeepsToLimit(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	for ticket := RequestID(1); ticket <= 5; ticket++ {
		f.push(write(ticket, "w"))
	}
	if len(f.opened) != 2 || len(f.granted) != 2 {
		t.Errorf("%d connections opened and %d granted with a limit of 2", len(f.opened), len(f.granted))
	}
	f.do(f.pool.SetTargets(f.now, []Target{{ID: "a", DataCentre: "east", Limit: 1}}))
	f.release(1)
	if got := f.pool.Connections(); got != 1 {
		t.Errorf("%d connections are kept after the limit fell to 1", got)
	}
}

// Guards against reads that crowd the primary although a replica has their data, and against reads that wait for a replica
// that is behind.
func TestReadsGoToReplicaThatHasTheData(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 2}, Target{ID: "r", DataCentre: "east", Limit: 2})
	f.push(read(1, "w", start.Add(-time.Second)))
	if got := f.granted[1].Target; got != "r" {
		t.Errorf("the read ran on %q", got)
	}
	f.pool.ObserveLag(f.now, "r", 5*time.Second)
	f.push(read(2, "w", start.Add(-time.Second)))
	if got := f.granted[2].Target; got != "p" {
		t.Errorf("with a replica 5 s behind, the read ran on %q", got)
	}
	f.pass(2 * lagMemory)
	f.push(read(3, "w", start.Add(-time.Second)))
	if got := f.granted[3].Target; got != "r" {
		t.Errorf("the replica was not tried again, the read ran on %q", got)
	}
}

// Guards against work for a primary that is being replaced.
func TestHoldsPrimaryWorkBackWithoutPrimary(t *testing.T) {
	f := newFixture(t, Target{ID: "p", DataCentre: "east", Limit: 2}, Target{ID: "r", DataCentre: "east", Limit: 2})
	f.do(f.pool.SetPrimary(f.now, ""))
	f.push(write(1, "w"))
	f.push(read(2, "w", start.Add(-time.Second)))
	if _, granted := f.granted[1]; granted {
		t.Error("a write was granted without a primary")
	}
	if _, granted := f.granted[2]; !granted {
		t.Error("a read waits although a replica can serve it")
	}
	f.do(f.pool.SetPrimary(f.now, "r"))
	if got := f.granted[1].Target; got != "r" {
		t.Errorf("after the promotion the write ran on %q", got)
	}
}

// Guards against requests that are held until their caller has given up.
func TestRefusesInTime(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.push(write(1, "w"))
	late := write(2, "w")
	late.Deadline = start.Add(100 * time.Millisecond)
	f.push(late)
	f.pass(99 * time.Millisecond)
	if len(f.refused) != 0 {
		t.Errorf("refused %v before the time", f.refused)
	}
	f.pass(time.Millisecond)
	if diff := cmp.Diff(map[RequestID]RefusalReason{2: RefusedQueueTimeout}, f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
}

// Guards against a full queue that turns urgent requests away for the sake of others.
func TestFullQueueKeepsUrgentRequests(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.push(write(1, "w"))
	for ticket := RequestID(2); ticket < 2+queuePerConnection; ticket++ {
		f.push(write(ticket, "w"))
	}
	urgent := write(100, "w")
	urgent.Priority = 0
	f.push(urgent)
	f.push(write(101, "w"))
	if diff := cmp.Diff(map[RequestID]RefusalReason{1 + queuePerConnection: RefusedQueueFull, 101: RefusedQueueFull}, f.refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	f.release(1)
	if _, granted := f.granted[100]; !granted {
		t.Error("the urgent request was not served next")
	}
}

// Guards against a target whose connections are refused being asked without a pause.
func TestPausesAfterRefusedConnection(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 2})
	f.hold = true
	f.push(write(1, "w"))
	f.do(f.pool.OpenFinished(f.now, f.opened[0].Conn, false))
	f.pass(refusedPause / 2)
	if len(f.opened) != 1 {
		t.Errorf("%d attempts inside the pause", len(f.opened))
	}
	f.pass(refusedPause)
	if len(f.opened) != 2 {
		t.Errorf("%d attempts after the pause", len(f.opened))
	}
}

// Guards against connections that keep a target full while nobody uses them: after all hosts have lost power, the target
// counts the old ones for seconds.
func TestClosesIdleConnections(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 3})
	for ticket := RequestID(1); ticket <= 3; ticket++ {
		f.push(write(ticket, "w"))
	}
	for ticket := RequestID(1); ticket <= 3; ticket++ {
		f.release(ticket)
	}
	f.pass(2 * idleTime)
	if got := f.pool.Connections(); got != 1 {
		t.Errorf("%d connections are left idle", got)
	}
}

// Guards against reopening a connection for another workspace while statements of its own workspace wait: under load each
// reopening costs the target as much as a statement.
func TestServesOwnWorkspaceBeforeReopening(t *testing.T) {
	f := newFixture(t, Target{ID: "a", DataCentre: "east", Limit: 1})
	f.push(write(1, "w"))
	f.push(write(2, "x"))
	f.push(write(3, "w"))
	f.release(1)
	if _, granted := f.granted[3]; !granted {
		t.Error("the statement of the connection's workspace waits")
	}
	f.pass(2 * affinityTime)
	f.push(write(4, "w"))
	f.release(3)
	if _, granted := f.granted[2]; !granted {
		t.Error("the statement of the other workspace is starved")
	}
}

// Plays random histories and checks after each step that limits hold, that a connection is never used twice at a time, and
// that every request ends.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		playHistory(t, seed)
	}
}

func playHistory(t *testing.T, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	targets := []Target{{ID: "p", DataCentre: "east", Limit: 2}, {ID: "r", DataCentre: "east", Limit: 1},
		{ID: "s", DataCentre: "west", Limit: 2}}
	f := newFixture(t, targets...)
	f.hold = true
	pushed, opened := RequestID(0), 0
	inUse := map[RequestID]bool{}
	for range 400 {
		switch rng.IntN(6) {
		case 0, 1:
			pushed++
			r := read(pushed, model.Workspace(rune('a'+rng.IntN(4))), f.now.Add(-time.Second))
			r.PrimaryOnly, r.Priority = rng.IntN(3) == 0, rng.IntN(2)
			f.push(r)
		case 2:
			for ; opened < len(f.opened); opened++ {
				f.do(f.pool.OpenFinished(f.now, f.opened[opened].Conn, rng.IntN(5) > 0))
			}
		case 3:
			for ticket, grant := range f.granted {
				if inUse[ticket] = true; rng.IntN(2) == 0 {
					delete(f.granted, ticket)
					if rng.IntN(8) == 0 {
						f.do(f.pool.Discard(f.now, grant.Conn))
					} else {
						f.do(f.pool.Release(f.now, grant.Conn))
					}
				}
			}
		case 4:
			f.pass(time.Duration(rng.IntN(200)) * time.Millisecond)
		case 5:
			f.do(f.pool.SetPrimary(f.now, []model.TargetID{"p", "r", ""}[rng.IntN(3)]))
		}
		checkGrants(t, f, seed)
	}
	f.pass(2 * time.Second)
	if got := f.pool.QueueLength(); got != 0 {
		t.Errorf("seed %d: %d requests wait for ever", seed, got)
	}
}

func checkGrants(t *testing.T, f *fixture, seed uint64) {
	t.Helper()
	used := map[ConnID]bool{}
	for _, grant := range f.granted {
		if used[grant.Conn] {
			t.Fatalf("seed %d: connection %d is used twice", seed, grant.Conn)
		}
		used[grant.Conn] = true
	}
	for _, load := range f.pool.Load() {
		if got := load.Opening + load.Idle + load.Busy; got > load.Limit {
			t.Fatalf("seed %d: %d connections to %s, limit %d", seed, got, load.Target, load.Limit)
		}
	}
}
