package failover_test

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

type keyValue struct{ key, value int }

type promotion struct {
	member *fake
	at     time.Duration
}

type acknowledgement struct {
	keyValue
	at time.Duration
}

// record observes a run and keeps the violations of each property.
type record struct {
	w        *world
	faults   map[string][]string // property -> violations
	promoted map[uint64]promotion
	lastTerm uint64
	acked    []acknowledgement
	history  []porcupine.Operation
	served   map[routing.DecisionKind]int
	unknown  int

	failedAt, firstAdopt, firstPromote, newView time.Duration // see gap_test.go
}

// The properties.
const (
	lostWrite     = "an acknowledged write is on every later primary"
	replacedAck   = "a replaced primary gets no write acknowledged"
	twoPrimaries  = "a term has one primary"
	staleSession  = "a session reads its own writes"
	staleAge      = "a read with a stated age is not older"
	noProgress    = "writes go on when faults end"
	notLinearized = "the history of each key is linearizable"
)

func newRecord(w *world) record {
	return record{w: w, faults: map[string][]string{}, promoted: map[uint64]promotion{}, served: map[routing.DecisionKind]int{}}
}

func (r *record) violation(property, format string, args ...any) {
	r.faults[property] = append(r.faults[property], fmt.Sprintf("%v: ", r.w.now)+fmt.Sprintf(format, args...))
}

func (r *record) notePromotion(f *fake) {
	if old, ok := r.promoted[f.term]; ok && old.member != f {
		r.violation(twoPrimaries, "term %d: %s and %s", f.term, old.member.id, f.id)
	}
	r.promoted[f.term] = promotion{f, r.w.now}
	if f.term > r.lastTerm {
		r.lastTerm = f.term
		r.checkLost(f)
	}
}

func (r *record) checkLost(f *fake) {
	lost := 0
	for _, a := range r.acked {
		if f.read(a.key) < a.value {
			lost++
		}
	}
	if lost > 0 {
		r.violation(lostWrite, "%d writes are not on %s, primary of term %d", lost, f.id, f.term)
	}
}

// lostCount returns how many acknowledged writes the log of the last primary does not have.
func (r *record) lostCount() int {
	has := map[keyValue]bool{}
	for _, e := range r.w.leader().log {
		has[keyValue{e.key, e.value}] = true
	}
	lost := 0
	for _, a := range r.acked {
		if !has[a.keyValue] {
			lost++
		}
	}
	return lost
}

// noteAcknowledged takes a write that ran on the primary of term at the given time.
func (r *record) noteAcknowledged(q *request, term uint64, at time.Duration) {
	kv := keyValue{q.key, q.value}
	r.acked = append(r.acked, acknowledgement{kv, r.w.now})
	if leader := r.w.leader(); leader.read(q.key) < q.value {
		r.violation(lostWrite, "write %v is acknowledged but not on %s", kv, leader.id)
	}
	for later, p := range r.promoted {
		if later > term && p.at < at {
			r.violation(replacedAck, "write %v ran on the primary of term %d after the promotion of term %d", kv, term, later)
		}
	}
	r.add(q, true, q.value, r.w.now)
}

func (r *record) noteTimeout(q *request) {
	if q.value != 0 {
		r.unknown++
		r.add(q, true, q.value, math.MaxInt64)
	}
}

// noteRead takes a value that was read by a decision of the given kind and time.
func (r *record) noteRead(q *request, value int, kind routing.DecisionKind, decided time.Duration) {
	r.served[kind]++
	floor := 0
	for i := len(r.acked) - 1; i >= 0 && floor == 0; i-- {
		if r.acked[i].key == q.key && r.acked[i].at < decided-q.age {
			floor = r.acked[i].value
		}
	}
	if q.key != q.client.key {
		if value < floor {
			r.violation(staleAge, "key %d: read %d, acknowledged %d more than %v ago", q.key, value, floor, q.age)
		}
		return
	}
	if value < floor {
		r.violation(staleSession, "session %d read %d after it wrote %d", q.key, value, floor)
	}
	r.add(q, false, value, r.w.now)
}

type operation struct {
	write bool
	value int
}

func (r *record) add(q *request, write bool, value int, end time.Duration) {
	r.history = append(r.history, porcupine.Operation{
		ClientId: q.key,
		Input:    operation{write, value},
		Call:     int64(q.start),
		Output:   q.key,
		Return:   int64(end),
	})
}

// register is a register per key. A write of a value below the current one has no effect, as in fake.write.
var register = porcupine.Model{
	Init: func() any { return 0 },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[int]int{}
		var parts [][]porcupine.Operation
		for _, op := range history {
			key := op.Output.(int)
			if _, ok := keys[key]; !ok {
				keys[key] = len(parts)
				parts = append(parts, nil)
			}
			parts[keys[key]] = append(parts[keys[key]], op)
		}
		return parts
	},
	Step: func(state, input, _ any) (bool, any) {
		op := input.(operation)
		if op.write {
			return true, max(state.(int), op.value)
		}
		return op.value == state.(int), state
	},
}

// check adds the verdicts that need the whole run.
func (r *record) check() {
	if !porcupine.CheckOperations(register, r.history) {
		r.violation(notLinearized, "%d operations", len(r.history))
	}
}

// noteAction times the steps of a failover.
func (r *record) noteAction(action failover.Action) {
	if r.failedAt == 0 {
		return
	}
	set := func(t *time.Duration) {
		if *t == 0 {
			*t = r.w.now
		}
	}
	switch a := action.(type) {
	case failover.AdoptTerm:
		set(&r.firstAdopt)
	case failover.Promote:
		set(&r.firstPromote)
	case failover.PublishView:
		if r.firstPromote != 0 && a.View.Writable {
			set(&r.newView)
		}
	}
}
