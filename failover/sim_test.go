package failover_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const ms = time.Millisecond

// mutations disables individual protections, so that tests can verify that the checks detect the violations.
type mutations struct {
	ackWithoutMajority bool // writes are acknowledged as soon as the primary has them
	noFencing          bool // a replaced primary accepts writes until it follows its successor
	forgedAdoption     bool // adoptions are answered on behalf of members that never received them
	promoteAnyAdopter  bool // an arbitrary adopter is promoted instead of the candidate
	sharedOrderer      bool // all machines use the same orderer ID
	ignoreMark         bool // reads are routed without the session's mark
	ignoreStaleness    bool // reads are routed without their maximum staleness
	readFormerPrimary  bool // reads may run on a former primary that has not discarded its last entries
}

// scheduledEvent is an entry of the event queue.
type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation is a deterministic simulation in virtual time. All randomness is derived from one seed.
type simulation struct {
	mutations
	rng           *rand.Rand
	now           time.Duration
	seq           int
	queue         eventQueue
	members       []*fakeMember
	homes         []*home
	clients       []*client
	cutLinks      map[[2]string]int // number of active cuts per direction, because faults can overlap
	lossRate      float64
	duplicateRate float64
	slowRate      float64 // fraction of messages that are delayed by up to 300 ms more
	recorder
}

func newSimulation(seed uint64, members, homes, clients int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), cutLinks: map[[2]string]int{}, duplicateRate: 0.01, slowRate: 0.01}
	sim.recorder = newRecorder(sim)
	for range members {
		sim.addMember()
	}
	for i := range homes {
		h := &home{sim: sim, id: fmt.Sprint("home", i)}
		sim.homes = append(sim.homes, h)
		sim.after(0, h.start)
	}
	for i := range clients {
		sim.clients = append(sim.clients, &client{sim: sim, key: i})
		sim.after(sim.randomDuration(100*ms), sim.clients[i].startRequest)
	}
	return sim
}

func (sim *simulation) addMember() {
	id := string(rune('a' + len(sim.members)))
	f := &fakeMember{sim: sim, id: id, up: true, batch: 50, lag: 2 * ms}
	sim.members = append(sim.members, f)
	sim.after(0, f.pollPrimary)
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledEvent{sim.now + d, sim.seq, run})
}

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		next := heap.Pop(&sim.queue).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	sim.now = until
}

// clock returns the local time, which is the same on all hosts. Its origin is arbitrary.
func (sim *simulation) clock() time.Time {
	return time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC).Add(sim.now)
}

// send delivers a message unless it is lost.
func (sim *simulation) send(from, to string, deliver func()) {
	if sim.cutLinks[[2]string{from, to}] > 0 || sim.rng.Float64() < sim.lossRate {
		return
	}
	delay := 200*time.Microsecond + sim.randomDuration(ms)
	if sim.rng.Float64() < sim.slowRate {
		delay += sim.randomDuration(300 * ms)
	}
	sim.after(delay, deliver)
	if sim.rng.Float64() < sim.duplicateRate {
		sim.after(delay+sim.randomDuration(50*ms), deliver)
	}
}

func (sim *simulation) cutLink(from, to string, d time.Duration) {
	sim.cutLinks[[2]string{from, to}]++
	sim.after(d, func() { sim.cutLinks[[2]string{from, to}]-- })
}

// isolate cuts the links between node and all matching nodes in both directions.
func (sim *simulation) isolate(node string, d time.Duration, matches func(string) bool) {
	for _, other := range sim.nodes() {
		if other != node && matches(other) {
			sim.cutLink(node, other, d)
			sim.cutLink(other, node, d)
		}
	}
}

func (sim *simulation) nodes() []string {
	var names []string
	for _, f := range sim.members {
		names = append(names, f.id)
	}
	for _, h := range sim.homes {
		names = append(names, h.id)
	}
	return names
}

func (sim *simulation) member(id model.TargetID) *fakeMember {
	for _, f := range sim.members {
		if f.id == string(id) {
			return f
		}
	}
	return nil
}

// latestPrimary returns the member that was promoted in the greatest term so far, or nil.
func (sim *simulation) latestPrimary() *fakeMember {
	if sim.lastTerm == 0 {
		return nil
	}
	return sim.promoted[sim.lastTerm].member
}

type entry struct {
	term       uint64
	key, value int
}

// fakeMember is a simulated group member. Its log, adopted term and orderer survive a crash.
type fakeMember struct {
	sim            *simulation
	id             string
	log            []entry
	adoptedTerm    uint64
	orderer        string
	role           failover.Role
	term           uint64 // term of its last promotion
	primaryAddress string // primary that it follows
	unfenced       bool   // former primary that still accepts writes
	up             bool
	refuses        bool // refuses connections while down, instead of not answering
	batch          int
	lag            time.Duration
	leaving        bool // marked as leaving in the configuration
	removed        bool // no longer in the configuration
}

func (f *fakeMember) position() model.Position {
	if len(f.log) == 0 {
		return model.Position{}
	}
	return model.Position{Term: f.log[len(f.log)-1].term, Offset: uint64(len(f.log))}
}

func (f *fakeMember) status() failover.Status {
	role := f.role
	if role != failover.RolePrimary {
		role = failover.RoleReplica
	}
	return failover.Status{AdoptedTerm: f.adoptedTerm, Orderer: f.orderer, Role: role, Position: f.position(),
		PrimaryAddress: f.primaryAddress}
}

func (f *fakeMember) adopt(term uint64, orderer string) {
	if term > f.adoptedTerm {
		f.unfenced = f.sim.noFencing && f.role == failover.RolePrimary
		f.adoptedTerm, f.orderer, f.role, f.primaryAddress = term, orderer, failover.RoleReplica, ""
	}
}

func (f *fakeMember) promote(term uint64, orderer string) {
	if term != f.adoptedTerm || orderer != f.orderer || f.role == failover.RolePrimary {
		return
	}
	f.role, f.term, f.primaryAddress = failover.RolePrimary, term, ""
	f.log = append(f.log, entry{term: term, key: -1})
	f.sim.recordPromotion(f)
}

func (f *fakeMember) follow(term uint64, address string) {
	if term == f.adoptedTerm && f.role != failover.RolePrimary {
		f.primaryAddress, f.unfenced = address, false
	}
}

// write appends a write unless it has run before. A value below the current value of the key is an outdated duplicate and
// is discarded.
func (f *fakeMember) write(key, value int) (model.Position, bool) {
	if f.role != failover.RolePrimary && !f.unfenced {
		return model.Position{}, false
	}
	if f.read(key) > value {
		return model.Position{}, false
	}
	if f.read(key) < value {
		f.log = append(f.log, entry{f.term, key, value})
	}
	return model.Position{Term: f.term, Offset: uint64(len(f.log))}, true
}

func (f *fakeMember) read(key int) int {
	for i := len(f.log) - 1; i >= 0; i-- {
		if f.log[i].key == key {
			return f.log[i].value
		}
	}
	return 0
}

// pollPrimary requests the primary's log periodically.
func (f *fakeMember) pollPrimary() {
	f.sim.after(f.lag, f.pollPrimary)
	p := f.sim.member(model.TargetID(f.primaryAddress))
	if !f.up || p == nil {
		return
	}
	term := f.adoptedTerm
	f.sim.send(f.id, p.id, func() {
		if !p.up || p.role != failover.RolePrimary && !p.unfenced || p.term != term {
			return
		}
		log := p.log[:len(p.log):len(p.log)]
		f.sim.send(p.id, f.id, func() { f.applyLog(term, p.id, log) })
	})
}

func (f *fakeMember) applyLog(term uint64, from string, log []entry) {
	if !f.up || f.adoptedTerm != term || f.primaryAddress != from || f.role == failover.RolePrimary {
		return
	}
	same := min(len(f.log), len(log))
	if same == len(log) && f.position().Term == term {
		return // log is an outdated copy of the same history
	}
	for same > 0 && f.log[same-1].term != log[same-1].term {
		same--
	}
	end := min(len(log), same+f.batch)
	if same < len(f.log) {
		f.log = slices.Clip(f.log[:same]) // messages in flight may still refer to the discarded entries
	}
	f.log = append(f.log, log[same:end]...)
}

func (f *fakeMember) crash(d time.Duration) {
	f.up, f.refuses = false, f.sim.rng.IntN(2) == 0
	keepsRole := f.sim.rng.IntN(2) == 0
	f.sim.after(d, func() {
		f.up = true
		if !keepsRole {
			f.role, f.primaryAddress = failover.RoleReplica, ""
		}
	})
}

// home simulates a home host: it drives a Machine and executes client requests.
type home struct {
	sim               *simulation
	id                string
	incarnation       int
	up                bool
	paused            bool
	pausedWork        []func()
	machine           *failover.Machine
	view              failover.View
	samples           *routing.PositionSamples
	silentConnections map[model.TargetID]bool // members whose existing connections deliver nothing
	writeCallbacks    map[uint64]func(bool)
	nextID            uint64
	runningWrites     int // unanswered writes
}

func (h *home) start() {
	h.incarnation++
	h.up, h.paused, h.pausedWork = true, false, nil
	h.samples, h.view, h.runningWrites = &routing.PositionSamples{}, failover.View{}, 0
	h.silentConnections, h.writeCallbacks = map[model.TargetID]bool{}, map[uint64]func(bool){}
	orderer := fmt.Sprint(h.id, "/", h.incarnation)
	if h.sim.sharedOrderer {
		orderer = "shared"
	}
	h.machine = failover.New(failover.Config{
		Orderer: orderer,
		Members: h.sim.configuration(),
		Rand:    h.sim.rng.Float64,
	}, h.sim.clock())
	h.tick()
}

func (h *home) tick() {
	epoch := h.incarnation
	h.runLocally(func() { h.handle(failover.Tick{}) })
	h.sim.after(failover.TickInterval, func() {
		if h.incarnation == epoch && h.up {
			h.tick()
		}
	})
}

// runLocally runs f on the host, after the end of a pause. It does nothing if the host is down.
func (h *home) runLocally(f func()) {
	switch {
	case !h.up:
	case h.paused:
		h.pausedWork = append(h.pausedWork, f)
	default:
		f()
	}
}

func (h *home) pause(d time.Duration) {
	h.paused = true
	epoch := h.incarnation
	h.sim.after(d, func() {
		if h.incarnation != epoch || !h.paused {
			return
		}
		work := h.pausedWork
		h.paused, h.pausedWork = false, nil
		for _, f := range work {
			f()
		}
	})
}

func (h *home) stop() { h.up, h.incarnation = false, h.incarnation+1 }

func (h *home) handle(event failover.Event) {
	for _, action := range h.machine.Handle(h.sim.clock(), event) {
		h.perform(action)
	}
}

// call runs f on a member and then reply on this host. Existing connections can be silent, new connections are not.
func (h *home) call(target model.TargetID, newConnection bool, f func(*fakeMember), reply func()) {
	member, epoch := h.sim.member(target), h.incarnation
	if h.silentConnections[target] && !newConnection {
		return
	}
	h.sim.send(h.id, member.id, func() {
		if !member.up {
			return
		}
		f(member)
		h.sim.send(member.id, h.id, func() {
			if h.incarnation == epoch {
				h.runLocally(reply)
			}
		})
	})
}

// requestStatus runs f on a member and passes the member's status to the machine.
func (h *home) requestStatus(target model.TargetID, newConnection bool, f func(*fakeMember),
	event func(failover.Status) failover.Event) {
	var status failover.Status
	run := func(member *fakeMember) {
		f(member)
		status = member.status()
	}
	h.call(target, newConnection, run, func() { h.handle(event(status)) })
}

func (h *home) probe(target model.TargetID, seq uint64, newConnection bool) {
	member, epoch := h.sim.member(target), h.incarnation
	if !member.up && member.refuses {
		failure := failover.FailureClosed
		if newConnection {
			failure = failover.FailureRefused
		}
		h.sim.send(member.id, h.id, func() {
			if h.incarnation == epoch {
				h.runLocally(func() { h.handle(failover.ProbeFailed{Target: target, Seq: seq, Failure: failure}) })
			}
		})
		return
	}
	h.requestStatus(target, newConnection, func(*fakeMember) {}, func(s failover.Status) failover.Event {
		return failover.ProbeAnswered{Target: target, Seq: seq, Status: s}
	})
}

func (h *home) command(target model.TargetID, seq uint64, f func(*fakeMember)) {
	h.requestStatus(target, false, f, func(s failover.Status) failover.Event {
		return failover.CommandAnswered{Target: target, Seq: seq, Status: s}
	})
}

func (h *home) perform(action failover.Action) {
	sim := h.sim
	sim.recordAction(action)
	switch a := action.(type) {
	case failover.Probe:
		h.probe(a.Target, a.Seq, false)
	case failover.OpenConnection:
		h.probe(a.Target, a.Seq, true)
	case failover.ReplaceConnections:
		delete(h.silentConnections, a.Target)
	case failover.AdoptTerm:
		if sim.forgedAdoption && a.Term > h.view.Term {
			h.forgeAdoption(a)
			return
		}
		h.command(a.Target, a.Seq, func(f *fakeMember) { f.adopt(a.Term, a.Orderer) })
	case failover.Promote:
		h.promote(a)
	case failover.FollowPrimary:
		h.command(a.Target, a.Seq, func(f *fakeMember) { f.follow(a.Term, a.Address) })
	case failover.AwaitPosition:
		h.awaitPosition(a, sim.now+a.Timeout)
	case failover.PublishView:
		h.publish(a.View)
	case failover.AcknowledgeWrite:
		h.resolveWrite(a.ID, true)
	case failover.AbandonWrite:
		h.resolveWrite(a.ID, false)
	}
}

// forgeAdoption answers an AdoptTerm command on behalf of the member.
func (h *home) forgeAdoption(a failover.AdoptTerm) {
	forged := failover.Status{AdoptedTerm: a.Term, Orderer: a.Orderer, Role: failover.RoleReplica}
	for _, m := range h.view.Members {
		if m.Target == a.Target {
			forged.Position = m.Position
		}
	}
	epoch := h.incarnation
	h.sim.after(ms, func() {
		if h.incarnation == epoch {
			h.runLocally(func() { h.handle(failover.CommandAnswered{Target: a.Target, Seq: a.Seq, Status: forged}) })
		}
	})
}

func (h *home) promote(a failover.Promote) {
	target := a.Target
	for _, f := range h.sim.members {
		other := model.TargetID(f.id)
		if h.sim.forgedAdoption && f.id == string(a.Target) {
			f.adopt(a.Term, a.Orderer)
		}
		if h.sim.promoteAnyAdopter && other != a.Target && f.up && f.adoptedTerm == a.Term && f.orderer == a.Orderer {
			target = other
		}
	}
	h.command(target, a.Seq, func(f *fakeMember) { f.promote(a.Term, a.Orderer) })
}

// awaitPosition makes the member answer when it has reached the position or the wait has ended.
func (h *home) awaitPosition(a failover.AwaitPosition, end time.Duration) {
	member := h.sim.member(a.Target)
	if h.silentConnections[a.Target] {
		return
	}
	h.sim.send(h.id, member.id, func() { h.answerAwait(a, member, end) })
}

func (h *home) answerAwait(a failover.AwaitPosition, member *fakeMember, end time.Duration) {
	if !member.up {
		return
	}
	if !member.position().Covers(a.Position) && h.sim.now < end {
		h.sim.after(ms, func() { h.answerAwait(a, member, end) })
		return
	}
	status, epoch := member.status(), h.incarnation
	h.sim.send(member.id, h.id, func() {
		if h.incarnation == epoch {
			h.runLocally(func() { h.handle(failover.CommandAnswered{Target: a.Target, Seq: a.Seq, Status: status}) })
		}
	})
}

func (h *home) resolveWrite(id uint64, acknowledged bool) {
	if f := h.writeCallbacks[id]; f != nil {
		delete(h.writeCallbacks, id)
		f(acknowledged)
	}
}

func (h *home) publish(view failover.View) {
	drainingStarted := view.Draining && !h.view.Draining
	h.view = view
	if at, position, ok := view.PrimarySample(); ok {
		h.samples.Add(at, position)
	}
	if drainingStarted {
		h.reportIdle(view.Term)
	}
}

func (h *home) reportIdle(term uint64) {
	if h.runningWrites == 0 {
		h.sim.after(0, func() { h.runLocally(func() { h.handle(failover.PrimaryIdle{Term: term}) }) })
		return
	}
	h.sim.after(5*ms, func() { h.reportIdle(term) })
}

func (h *home) group() routing.Group {
	v := h.view
	g := routing.Group{
		Term: v.Term, Primary: v.Primary, Writable: v.Writable, Draining: v.Draining, ConfirmedAt: v.ConfirmedAt,
		Samples: h.samples,
	}
	for _, m := range v.Members {
		g.Targets = append(g.Targets, routing.Target{
			ID: m.Target, Alive: m.Alive, Leaving: m.Leaving, AdoptedTerm: m.AdoptedTerm, Position: m.Position, Slots: 3,
			Replicated: m.Replicated || h.sim.readFormerPrimary,
		})
	}
	return g
}

// confirmDurable requests confirmation from the machine that the position p, reported by a primary, is durable.
func (h *home) confirmDurable(target model.TargetID, p model.Position, deadline time.Duration, done func(bool)) {
	h.nextID++
	h.writeCallbacks[h.nextID] = done
	if h.sim.ackWithoutMajority {
		h.resolveWrite(h.nextID, true)
		return
	}
	end := h.sim.clock().Add(deadline - h.sim.now)
	h.handle(failover.WriteFinished{ID: h.nextID, Target: target, Position: p, Deadline: end})
}
