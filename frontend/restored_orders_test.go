package frontend

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/internal/orders"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// commitRecord is an acknowledged commit.
type commitRecord struct {
	mark HighWaterMark
	at   time.Time // of the acknowledgement
}

// restoredWorld is a service with two hosts, the log of its primary and the decisions about it. Time passes by a tick with each event.
type restoredWorld struct {
	server    *Server
	hosts     [2]*service
	decisions []primacy.Document // as written, oldest first
	offset    uint64             // of the last commit in the log
	commits   []commitRecord     // that are in the log, oldest first
	marks     []HighWaterMark    // of all sessions, also of commits that a replacement has lost
	start     time.Time
	ticks     int
}

const worldTick = time.Second

func newRestoredWorld(server *Server) *restoredWorld {
	w := &restoredWorld{server: server, start: boottime.Now(), offset: 4, marks: []HighWaterMark{{}},
		decisions: []primacy.Document{{Service: "stock", Epoch: 2, Open: true, Primary: "a", Born: 1, Term: 2}}}
	for i := range w.hosts {
		w.startHost(i)
	}
	return w
}

func (w *restoredWorld) startHost(i int) {
	w.hosts[i] = newService(w.server, "stock")
	w.hosts[i].applyDocument(w.last())
}

func (w *restoredWorld) last() primacy.Document { return w.decisions[len(w.decisions)-1] }

func (w *restoredWorld) now() time.Time { return w.start.Add(time.Duration(w.ticks) * worldTick) }

// mayUse reports whether a host may use the primary of the decision that it knows.
func (w *restoredWorld) mayUse(i int) bool { return w.hosts[i].doc.Open }

// events are named by what happens; each returns false if it cannot happen.
var restoredEvents = []struct {
	name string
	run  func(w *restoredWorld) bool
}{
	{"commit on host 0", func(w *restoredWorld) bool { return w.commit(0) }},
	{"commit on host 1", func(w *restoredWorld) bool { return w.commit(1) }},
	{"reply to host 0", func(w *restoredWorld) bool { return w.reply(0) }},
	{"reply to host 1", func(w *restoredWorld) bool { return w.reply(1) }},
	{"return of the store", func(w *restoredWorld) bool { return w.restore() }},
	{"relay to host 0", func(w *restoredWorld) bool { return w.relay(0) }},
	{"relay to host 1", func(w *restoredWorld) bool { return w.relay(1) }},
	{"replacement", func(w *restoredWorld) bool { return w.replace(0) }},
	{"replacement that loses a commit", func(w *restoredWorld) bool { return w.replace(1) }},
	{"restart of host 1", func(w *restoredWorld) bool { w.startHost(1); return true }},
}

// commit has a session on a host commit and be answered.
func (w *restoredWorld) commit(i int) bool {
	if !w.mayUse(i) {
		return false
	}
	w.offset++
	position := model.Position{Term: w.hosts[i].doc.Term, Offset: w.offset}
	mark := HighWaterMark{w.hosts[i].doc.Epoch, position, w.now()}
	w.commits, w.marks = append(w.commits, commitRecord{mark, w.now()}), append(w.marks, mark)
	return true
}

// reply has the primary answer a host with its position.
func (w *restoredWorld) reply(i int) bool {
	if !w.mayUse(i) {
		return false
	}
	term := w.decisions[0].Term
	if n := len(w.commits); n > 0 {
		term = w.commits[n-1].mark.Position.Term
	}
	w.hosts[i].addSample(w.now(), model.Position{Term: term, Offset: w.offset})
	return true
}

// restore has the store come back from a copy and the leader store the decision again.
func (w *restoredWorld) restore() bool {
	doc := w.last()
	if len(w.decisions) > 3 {
		return false
	}
	doc.Epoch = (doc.Epoch>>32+1)<<32 | (doc.Epoch&(1<<32-1) + 1)
	w.decisions = append(w.decisions, doc)
	return true
}

// relay has a host apply the latest decision.
func (w *restoredWorld) relay(i int) bool {
	if w.hosts[i].doc.Epoch == w.last().Epoch {
		return false
	}
	w.hosts[i].applyDocument(w.last())
	return true
}

// replace has the leader replace the primary: all hosts confirm the closed decision before another target is promoted, which may lack
// the last commits.
func (w *restoredWorld) replace(lost int) bool {
	if len(w.decisions) > 3 || lost > len(w.commits) {
		return false
	}
	doc := w.last()
	doc.Epoch, doc.Open = doc.Epoch+1, false
	for i := range w.hosts {
		w.hosts[i].applyDocument(doc)
	}
	w.commits = slices.Clone(w.commits[:len(w.commits)-lost])
	w.offset -= uint64(lost)
	doc.Epoch, doc.Open, doc.Term, doc.Primary = doc.Epoch+1, true, doc.Term+1, doc.Primary+"'"
	w.decisions = append(w.decisions, doc)
	return true
}

// state names what later events depend on. Times count from the present, because only their order and distance matter.
func (w *restoredWorld) state() string {
	var b strings.Builder
	for _, s := range w.hosts {
		fmt.Fprint(&b, s.doc.Epoch, s.doc.Open, s.tenureSince, s.samplesTenure, s.samplesTerm)
		for _, sample := range s.samples.Recent(time.Time{}, 0, 100) {
			fmt.Fprint(&b, " ", w.now().Sub(sample.At), sample.Position)
		}
		b.WriteByte('|')
	}
	fmt.Fprint(&b, w.offset, w.last().Epoch, w.last().Term)
	for _, c := range w.commits {
		fmt.Fprint(&b, " ", c.mark.Position, w.now().Sub(c.at))
	}
	for _, mark := range w.marks {
		fmt.Fprint(&b, " ", mark.Epoch, mark.Position)
	}
	return b.String()
}

// missing returns a read that may run on a replica which lacks a commit that the read has to see, or an empty string.
func (w *restoredWorld) missing() string {
	for i, s := range w.hosts {
		for _, age := range []time.Duration{worldTick, 3 * worldTick, 100 * worldTick} {
			since := w.now().Add(-age)
			for _, mark := range w.marks {
				position, _, known := s.readRequirement(since, mark)
				if !known {
					continue
				}
				for _, c := range w.commits {
					has := position.Offset >= c.mark.Position.Offset
					if !has && (c.at.Before(since) || c.mark == mark) {
						return fmt.Sprintf("host %d, at most %v old, session at %v: a replica at %v may run it, without %v", i, age,
							mark, position, c.mark)
					}
				}
			}
		}
	}
	return ""
}

// Guards against a read on a replica that lacks a commit, in all orders of up to seven events around returns of the store: commits and
// replies at two hosts, decisions that are restored, relayed or replaced, and the restart of a host.
func TestReadsAroundReturnsOfTheStore(t *testing.T) {
	server := newServiceWithDialer(failingDialer{}).server
	model := orders.Model[*restoredWorld]{New: func() *restoredWorld { return newRestoredWorld(server) },
		State: (*restoredWorld).state, Check: (*restoredWorld).missing}
	for _, e := range restoredEvents {
		model.Events = append(model.Events, orders.Event[*restoredWorld]{Name: e.name, Run: func(w *restoredWorld) bool {
			w.ticks++
			return e.run(w)
		}})
	}
	result := model.Explore(7)
	if result.Problem != "" {
		t.Errorf("%s: %s", strings.Join(result.Failed, ", "), result.Problem)
	}
	t.Logf("%d orders of events, %d states", result.Orders, result.States)
}
