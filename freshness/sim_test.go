package freshness

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
)

const (
	tickInterval     = 50 * time.Millisecond
	storeCallTimeout = 5 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// events is a heap of events, ordered by time and then by insertion.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// pendingPoll is a poll that a host holds until it has an answer.
type pendingPoll struct {
	from       int
	report     Report
	receivedAt time.Time
	answer     func(Answer, Versions)
}

// simHost is a host with its relay links. A restart replaces all but the number of starts and the traffic counters.
type simHost struct {
	host         *Host
	upstream     Upstream
	links        map[model.HostID]*RelayLink
	outstanding  map[model.HostID]time.Time // send times of polls without an answer
	pendingPolls []pendingPoll
	startCount   int
	paused       bool
	deferred     []func() // events that a paused host handles when it resumes
	sentMessages int      // counted for BenchmarkRelay
	sentBytes    int
}

// simulation runs hosts and a store in virtual time. A message takes 1 ms within a region and 40 ms between the three
// regions.
type simulation struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Time
	queue    events
	sequence int
	hosts    []*simHost
	tree     placement.RelayTree

	storeVersions   Versions
	effectiveAt     [documentCount]map[uint64]time.Time // when each version took effect in the store
	storeCalls      int
	acceptedChanges int
	refusals        map[string]int

	linkCut           func(from, to int) bool
	storeCut          func(host int) bool
	storeDelay        func() time.Duration
	loseAnswer        func() bool
	linkDelay         func(from, to int) time.Duration
	omitDocuments     bool // relayed answers carry proofs without the documents
	skipAnnouncements bool // operators send swaps without announcing their changes
	disabledRules     ruleSet
	rosterAt          func(version uint64) VotingHosts
	messageSize       func(any) int

	violation   string        // describes the first host that served with a version replaced more than MaxProofAge before
	notServing  int           // ticks at which a running host did not serve
	oldestProof time.Duration // greatest age of a proof with which a host served
}

func id(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%03d", i)) }

func newSimulation(t testing.TB, n int, seed uint64) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: epoch, refusals: map[string]int{}}
	sim.heal()
	var candidates []placement.Candidate
	var all VotingHosts
	for i := range n {
		candidates = append(candidates, placement.Candidate{ID: id(i)})
		all.IDs = append(all.IDs, id(i))
		all.Incarnations = append(all.Incarnations, 1)
	}
	sim.tree = placement.NewRelayTree(candidates)
	sim.rosterAt = func(version uint64) VotingHosts {
		return VotingHosts{Version: version, IDs: all.IDs, Incarnations: all.Incarnations}
	}
	sim.storeVersions = Versions{1, 1}
	for d := range documentCount {
		sim.effectiveAt[d] = map[uint64]time.Time{1: epoch}
	}
	for i := range n {
		sim.hosts = append(sim.hosts, &simHost{})
		sim.startHost(i)
		offset := time.Duration(sim.rng.Int64N(int64(tickInterval)))
		sim.schedule(offset, func() { sim.tickHost(i) })
	}
	return sim
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.linkCut = func(int, int) bool { return false }
	sim.storeCut = func(int) bool { return false }
	sim.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	sim.loseAnswer = func() bool { return false }
	sim.linkDelay = func(from, to int) time.Duration {
		if from%3 == to%3 {
			return time.Millisecond
		}
		return 40 * time.Millisecond
	}
}

func (sim *simulation) startHost(i int) {
	old := sim.hosts[i]
	starts := old.startCount + 1
	sim.hosts[i] = &simHost{
		host:         New(sim.now, id(i), model.Incarnation(starts)),
		links:        map[model.HostID]*RelayLink{},
		outstanding:  map[model.HostID]time.Time{},
		startCount:   starts,
		sentMessages: old.sentMessages,
		sentBytes:    old.sentBytes,
	}
	sim.hosts[i].host.lastToken = uint64(starts) << 40
	sim.hosts[i].host.disabledRules = sim.disabledRules
	sim.hosts[i].upstream.SetParents(sim.now, sim.tree.IsRoot(id(i)), sim.tree.Parents(id(i)))
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), sequence: sim.sequence, run: run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at.Before(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// runOnHost runs a function on a host after a delay, unless the host restarts first. A paused host runs it when it
// resumes.
func (sim *simulation) runOnHost(i int, d time.Duration, run func()) {
	starts := sim.hosts[i].startCount
	sim.schedule(d, func() {
		h := sim.hosts[i]
		switch {
		case h.startCount != starts:
		case h.paused:
			h.deferred = append(h.deferred, run)
		default:
			run()
		}
	})
}

// send delivers a message between hosts, unless the receiver restarts before it arrives.
func (sim *simulation) send(from, to int, message any, run func()) {
	if sim.messageSize != nil {
		sim.hosts[from].sentMessages++
		sim.hosts[from].sentBytes += sim.messageSize(message)
	}
	if !sim.linkCut(from, to) {
		sim.runOnHost(to, sim.linkDelay(from, to), run)
	}
}

func (sim *simulation) pauseHost(i int, d time.Duration) {
	h := sim.hosts[i]
	h.paused = true
	sim.schedule(d, func() {
		h.paused = false
		sim.checkVersions(i)
		for _, run := range h.deferred {
			run()
		}
		h.deferred = nil
	})
}

func (sim *simulation) tickHost(i int) {
	sim.schedule(tickInterval, func() { sim.tickHost(i) })
	h := sim.hosts[i]
	if h.paused {
		return
	}
	sim.checkVersions(i)
	proof := h.host.ServingProof(sim.now)
	if h.upstream.ShouldReadStore(sim.now, sim.rng, proof) {
		sim.readStore(i, Configuration)
		sim.readStore(i, Roster)
	}
	sim.poll(i)
	h.pendingPolls = slices.DeleteFunc(h.pendingPolls, func(p pendingPoll) bool { return sim.answerPoll(i, p) })
}

// checkVersions records a violation if the host serves with a version that was replaced more than MaxProofAge ago.
func (sim *simulation) checkVersions(i int) {
	h := sim.hosts[i].host
	proof := h.ServingProof(sim.now)
	if !proof.Valid {
		sim.notServing++
		return
	}
	sim.oldestProof = max(sim.oldestProof, proof.Age)
	for d := range documentCount {
		next, replaced := sim.effectiveAt[d][h.held[d]+1]
		if replaced && sim.now.Sub(next) > MaxProofAge && sim.violation == "" {
			sim.violation = fmt.Sprintf("%v: host %d serves with version %d of document %d by a proof of kind %v, replaced %v ago",
				sim.now.Sub(epoch), i, h.held[d], d, proof.Kind, sim.now.Sub(next))
		}
	}
}

func (sim *simulation) setVersions(i int, v Versions) {
	h := sim.hosts[i].host
	h.SetRoster(sim.now, sim.rosterAt(v[Roster]))
	h.SetConfiguration(sim.now, v[Configuration])
}

func (sim *simulation) readStore(i int, d Document) {
	sent := sim.now
	sim.storeCalls++
	delay := sim.storeDelay()
	if sim.storeCut(i) || delay > storeCallTimeout {
		return
	}
	starts := sim.hosts[i].startCount
	sim.schedule(delay/2, func() {
		version := sim.storeVersions[d]
		if sim.loseAnswer() || sim.storeCut(i) || sim.hosts[i].startCount != starts {
			return
		}
		sim.runOnHost(i, delay/2, func() {
			v := Versions{}
			v[d] = version
			sim.setVersions(i, v)
			sim.hosts[i].host.RecordStoreRead(sim.now, d, sent, version)
		})
	})
}

func (sim *simulation) poll(i int) {
	h := sim.hosts[i]
	timeout := h.host.PollTimeout(sim.now)
	for _, parent := range h.upstream.Peers() {
		if sent, polling := h.outstanding[parent]; !polling || sim.now.Sub(sent) >= timeout {
			sim.pollParent(i, parent, true)
		}
	}
	for parent, sent := range h.outstanding {
		if !h.upstream.IsRoot() && sim.now.Sub(sent) >= timeout {
			delete(h.outstanding, parent)
			h.upstream.RecordFailure(sim.now)
		}
	}
	if len(h.outstanding) > 0 {
		return
	}
	if parent, due := h.upstream.NextPoll(sim.now); due {
		sim.pollParent(i, parent, false)
	}
}

func (sim *simulation) pollParent(i int, parent model.HostID, peer bool) {
	h := sim.hosts[i]
	var to int
	_, _ = fmt.Sscanf(string(parent), "host-%d", &to)
	link := h.links[parent]
	if link == nil {
		link = &RelayLink{Parent: parent, Peer: peer}
		h.links[parent] = link
	}
	sent := sim.now
	h.outstanding[parent] = sent
	report := h.host.Report(sim.now, link)
	starts := h.startCount
	answer := func(a Answer, documents Versions) {
		if sim.hosts[i].startCount != starts {
			return
		}
		sim.send(to, i, a, func() {
			if h.outstanding[parent].Equal(sent) {
				delete(h.outstanding, parent)
			}
			if !sim.omitDocuments {
				sim.setVersions(i, documents)
			}
			h.upstream.RecordAnswer(sim.now, h.host.HandleAnswer(sim.now, sent, link, a))
			sim.poll(i)
		})
	}
	sim.send(i, to, report, func() {
		p := pendingPoll{from: i, report: report, receivedAt: sim.now, answer: answer}
		sim.hosts[to].host.HandleReport(sim.now, id(i), report)
		if !sim.answerPoll(to, p) {
			sim.hosts[to].pendingPolls = append(sim.hosts[to].pendingPolls, p)
		}
	})
}

func (sim *simulation) answerPoll(i int, p pendingPoll) bool {
	h := sim.hosts[i].host
	if !h.ShouldAnswer(sim.now, p.receivedAt, p.report) {
		return false
	}
	p.answer(h.Answer(sim.now, p.receivedAt, id(p.from)), h.held)
	return true
}

// changeDocument changes a document through a host in the way the operator service does.
func (sim *simulation) changeDocument(i int, d Document) {
	h := sim.hosts[i]
	version := h.host.held[d] + 1
	change, err := NewChange(sim.now, sim.rng.Uint64(), d, version, h.host.hosts)
	if err != nil {
		sim.refusals[err.Error()]++
		return
	}
	swapped := false
	trySwap := func() {
		if !swapped && (sim.skipAnnouncements || change.CheckSwap(sim.now) == nil) {
			swapped = true
			sim.swap(i, d, version)
		}
	}
	for to, host := range change.hosts.IDs {
		if sim.skipAnnouncements {
			break
		}
		sim.send(i, to, change.Announcement(), func() {
			if err := sim.hosts[to].host.HandleAnnouncement(sim.now, change.Announcement()); err != nil {
				sim.refusals[errors.Unwrap(fmt.Errorf("%w", err)).Error()]++
				return
			}
			sim.send(to, i, true, func() {
				change.RecordAcknowledgement(host)
				trySwap()
			})
		})
	}
	trySwap()
}

// swap sends a compare-and-swap. It takes effect after the delay of the store, even if the client has given up.
func (sim *simulation) swap(i int, d Document, version uint64) {
	sim.storeCalls++
	if sim.storeCut(i) {
		return
	}
	sim.schedule(min(sim.storeDelay(), MaxSwapDuration), func() {
		if sim.storeVersions[d] != version-1 {
			sim.refusals["conflict"]++
			return
		}
		sim.storeVersions[d] = version
		sim.effectiveAt[d][version] = sim.now
		sim.acceptedChanges++
	})
}

// currentHosts returns the number of hosts that hold the newest versions.
func (sim *simulation) currentHosts() int {
	n := 0
	for _, h := range sim.hosts {
		if h.host.held == sim.storeVersions {
			n++
		}
	}
	return n
}

// servingHosts returns the number of serving hosts by kind of proof.
func (sim *simulation) servingHosts() map[ProofKind]int {
	count := map[ProofKind]int{}
	for _, h := range sim.hosts {
		if proof := h.host.ServingProof(sim.now); proof.Valid {
			count[proof.Kind]++
		}
	}
	return count
}
