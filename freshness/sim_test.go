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
	tick         = 50 * time.Millisecond
	callDeadline = 5 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type parked struct {
	from     int
	report   Report
	received time.Time
	answer   func(Answer, Versions)
}

// simHost is a host with its relay links. A restart replaces everything but the index.
type simHost struct {
	host     *Host
	upstream Upstream
	links    map[model.HostID]*RelayLink
	waiting  map[model.HostID]time.Time // polls without an answer, by the time they were sent
	parked   []parked
	starts   int
	paused   bool
	backlog  []func()
	sent     int // messages, for the measurement
	bytes    int
}

// world runs hosts and a store in virtual time. Inside a region a message takes 1 ms, between the three regions 40 ms.
type world struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Time
	queue events
	seq   int
	hosts []*simHost
	tree  placement.RelayTree

	store     Versions
	effective [documents]map[uint64]time.Time // when each version took effect in the store
	calls     int                             // store calls
	accepted  int
	refused   map[string]int

	cut        func(from, to int) bool
	storeCut   func(host int) bool
	storeDelay func() time.Duration
	answerLost func() bool
	delay      func(from, to int) time.Duration
	noRelay    bool // relayed answers carry proofs without the documents
	unfounded  bool // operators don't announce their changes
	without    guards
	rosterOf   func(version uint64) VotingHosts
	size       func(any) int

	violation string        // first breach of the promise
	idle      int           // moments in which a running host did not serve
	oldest    time.Duration // greatest age of a proof that a host served with
}

func id(i int) model.HostID { return model.HostID(fmt.Sprintf("host-%03d", i)) }

func newWorld(t testing.TB, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: epoch, refused: map[string]int{}}
	w.heal()
	var candidates []placement.Candidate
	var all VotingHosts
	for i := range n {
		candidates = append(candidates, placement.Candidate{ID: id(i)})
		all.IDs = append(all.IDs, id(i))
		all.Incarnations = append(all.Incarnations, 1)
	}
	w.tree = placement.NewRelayTree(candidates)
	w.rosterOf = func(version uint64) VotingHosts {
		return VotingHosts{Version: version, IDs: all.IDs, Incarnations: all.Incarnations}
	}
	w.store = Versions{1, 1}
	for d := range documents {
		w.effective[d] = map[uint64]time.Time{1: epoch}
	}
	for i := range n {
		w.hosts = append(w.hosts, &simHost{})
		w.start(i)
		offset := time.Duration(w.rng.Int64N(int64(tick)))
		w.after(offset, func() { w.tick(i) })
	}
	return w
}

// heal ends all faults.
func (w *world) heal() {
	w.cut = func(int, int) bool { return false }
	w.storeCut = func(int) bool { return false }
	w.storeDelay = func() time.Duration { return 2 * time.Millisecond }
	w.answerLost = func() bool { return false }
	w.delay = func(from, to int) time.Duration {
		if from%3 == to%3 {
			return time.Millisecond
		}
		return 40 * time.Millisecond
	}
}

func (w *world) start(i int) {
	old := w.hosts[i]
	starts := old.starts + 1
	w.hosts[i] = &simHost{
		host:    New(w.now, id(i), model.Incarnation(starts)),
		links:   map[model.HostID]*RelayLink{},
		waiting: map[model.HostID]time.Time{},
		starts:  starts,
		sent:    old.sent,
		bytes:   old.bytes,
	}
	w.hosts[i].host.lastToken = uint64(starts) << 40
	w.hosts[i].host.without = w.without
	w.hosts[i].upstream.SetParents(w.now, w.tree.IsRoot(id(i)), w.tree.Parents(id(i)))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// at runs something at a host after a delay, unless the host restarts before. A paused host does it when it wakes.
func (w *world) at(i int, d time.Duration, run func()) {
	starts := w.hosts[i].starts
	w.after(d, func() {
		h := w.hosts[i]
		switch {
		case h.starts != starts:
		case h.paused:
			h.backlog = append(h.backlog, run)
		default:
			run()
		}
	})
}

// send delivers a message between hosts. What the receiver does is bound to its start at the time of sending.
func (w *world) send(from, to int, message any, run func()) {
	if w.size != nil {
		w.hosts[from].sent++
		w.hosts[from].bytes += w.size(message)
	}
	if !w.cut(from, to) {
		w.at(to, w.delay(from, to), run)
	}
}

func (w *world) pause(i int, d time.Duration) {
	h := w.hosts[i]
	h.paused = true
	w.after(d, func() {
		h.paused = false
		w.check(i)
		for _, run := range h.backlog {
			run()
		}
		h.backlog = nil
	})
}

func (w *world) tick(i int) {
	w.after(tick, func() { w.tick(i) })
	h := w.hosts[i]
	if h.paused {
		return
	}
	w.check(i)
	proof := h.host.ServingProof(w.now)
	if h.upstream.ShouldReadStore(w.now, w.rng, proof) {
		w.read(i, Configuration)
		w.read(i, Roster)
	}
	w.poll(i)
	h.parked = slices.DeleteFunc(h.parked, func(p parked) bool { return w.answerParked(i, p) })
}

// check records a breach: a host that serves with a version that was replaced more than F ago.
func (w *world) check(i int) {
	h := w.hosts[i].host
	proof := h.ServingProof(w.now)
	if !proof.Valid {
		w.idle++
		return
	}
	w.oldest = max(w.oldest, proof.Age)
	for d := range documents {
		next, replaced := w.effective[d][h.held[d]+1]
		if replaced && w.now.Sub(next) > MaxProofAge && w.violation == "" {
			w.violation = fmt.Sprintf("%v: host %d serves with version %d of document %d by a proof of kind %v, replaced %v ago",
				w.now.Sub(epoch), i, h.held[d], d, proof.Kind, w.now.Sub(next))
		}
	}
}

func (w *world) hold(i int, v Versions) {
	h := w.hosts[i].host
	h.SetRoster(w.now, w.rosterOf(v[Roster]))
	h.SetConfiguration(w.now, v[Configuration])
}

func (w *world) read(i int, d Document) {
	sent := w.now
	w.calls++
	delay := w.storeDelay()
	if w.storeCut(i) || delay > callDeadline {
		return
	}
	starts := w.hosts[i].starts
	w.after(delay/2, func() {
		version := w.store[d]
		if w.answerLost() || w.storeCut(i) || w.hosts[i].starts != starts {
			return
		}
		w.at(i, delay/2, func() {
			v := Versions{}
			v[d] = version
			w.hold(i, v)
			w.hosts[i].host.RecordStoreRead(w.now, d, sent, version)
		})
	})
}

func (w *world) poll(i int) {
	h := w.hosts[i]
	timeout := h.host.PollTimeout(w.now)
	for _, parent := range h.upstream.Peers() {
		if sent, busy := h.waiting[parent]; !busy || w.now.Sub(sent) >= timeout {
			w.pollParent(i, parent, true)
		}
	}
	for parent, sent := range h.waiting {
		if !h.upstream.IsRoot() && w.now.Sub(sent) >= timeout {
			delete(h.waiting, parent)
			h.upstream.RecordFailure(w.now)
		}
	}
	if len(h.waiting) > 0 {
		return
	}
	if parent, due := h.upstream.NextPoll(w.now); due {
		w.pollParent(i, parent, false)
	}
}

func (w *world) pollParent(i int, parent model.HostID, peer bool) {
	h := w.hosts[i]
	var to int
	_, _ = fmt.Sscanf(string(parent), "host-%d", &to)
	link := h.links[parent]
	if link == nil {
		link = &RelayLink{Parent: parent, Peer: peer}
		h.links[parent] = link
	}
	sent := w.now
	h.waiting[parent] = sent
	report := h.host.Report(w.now, link)
	starts := h.starts
	answer := func(a Answer, documents Versions) {
		if w.hosts[i].starts != starts {
			return
		}
		w.send(to, i, a, func() {
			if h.waiting[parent].Equal(sent) {
				delete(h.waiting, parent)
			}
			if !w.noRelay {
				w.hold(i, documents)
			}
			h.upstream.RecordAnswer(w.now, h.host.HandleAnswer(w.now, sent, link, a))
			w.poll(i)
		})
	}
	w.send(i, to, report, func() {
		p := parked{from: i, report: report, received: w.now, answer: answer}
		w.hosts[to].host.HandleReport(w.now, id(i), report)
		if !w.answerParked(to, p) {
			w.hosts[to].parked = append(w.hosts[to].parked, p)
		}
	})
}

func (w *world) answerParked(i int, p parked) bool {
	h := w.hosts[i].host
	if !h.ShouldAnswer(w.now, p.received, p.report) {
		return false
	}
	p.answer(h.Answer(w.now, p.received, id(p.from)), h.held)
	return true
}

// change lets an operator change a document through a host, as the operators' service does it.
func (w *world) change(i int, d Document) {
	h := w.hosts[i]
	version := h.host.held[d] + 1
	change, err := NewChange(w.now, w.rng.Uint64(), d, version, h.host.hosts)
	if err != nil {
		w.refused[err.Error()]++
		return
	}
	swapped := false
	try := func() {
		if !swapped && (w.unfounded || change.CheckSwap(w.now) == nil) {
			swapped = true
			w.swap(i, d, version)
		}
	}
	for to, host := range change.hosts.IDs {
		if w.unfounded {
			break
		}
		w.send(i, to, change.Announcement(), func() {
			if err := w.hosts[to].host.HandleAnnouncement(w.now, change.Announcement()); err != nil {
				w.refused[errors.Unwrap(fmt.Errorf("%w", err)).Error()]++
				return
			}
			w.send(to, i, true, func() {
				change.RecordAcknowledgement(host)
				try()
			})
		})
	}
	try()
}

// swap sends a compare-and-swap. It takes effect after the store's delay, also when the client has given up.
func (w *world) swap(i int, d Document, version uint64) {
	w.calls++
	if w.storeCut(i) {
		return
	}
	w.after(min(w.storeDelay(), MaxSwapDuration), func() {
		if w.store[d] != version-1 {
			w.refused["conflict"]++
			return
		}
		w.store[d] = version
		w.effective[d][version] = w.now
		w.accepted++
	})
}

// inForce returns the number of hosts that hold the newest versions.
func (w *world) inForce() int {
	n := 0
	for _, h := range w.hosts {
		if h.host.held == w.store {
			n++
		}
	}
	return n
}

// serving returns the number of hosts that serve, by kind of proof.
func (w *world) serving() map[ProofKind]int {
	count := map[ProofKind]int{}
	for _, h := range w.hosts {
		if proof := h.host.ServingProof(w.now); proof.Valid {
			count[proof.Kind]++
		}
	}
	return count
}
