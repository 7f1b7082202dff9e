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
	member *fakeMember
	at     time.Duration
}

type acknowledgement struct {
	keyValue
	at time.Duration
}

// recorder records the events of a simulation and the violations of each property.
type recorder struct {
	sim           *simulation
	violations    map[string][]string // by property
	promoted      map[uint64]promotion
	lastTerm      uint64
	acknowledged  []acknowledgement
	history       []porcupine.Operation
	readsByKind   map[routing.DecisionKind]int
	unknownWrites int

	failedAt, firstAdoptAt, firstPromoteAt, writableAt time.Duration // see gap_test.go
}

// The checked properties.
const (
	acknowledgedWritesKept = "an acknowledged write is on every later primary"
	noAckByReplacedPrimary = "no write of a replaced primary is acknowledged"
	onePrimaryPerTerm      = "a term has one primary"
	readYourWrites         = "a session reads its own writes"
	boundedStaleness       = "a read is not older than its maximum staleness"
	writesResume           = "writes resume after the faults end"
	linearizableHistory    = "the history of each key is linearizable"
)

func newRecorder(sim *simulation) recorder {
	return recorder{sim: sim, violations: map[string][]string{}, promoted: map[uint64]promotion{},
		readsByKind: map[routing.DecisionKind]int{}}
}

func (r *recorder) addViolation(property, format string, args ...any) {
	r.violations[property] = append(r.violations[property], fmt.Sprintf("%v: ", r.sim.now)+fmt.Sprintf(format, args...))
}

func (r *recorder) recordPromotion(f *fakeMember) {
	if old, ok := r.promoted[f.term]; ok && old.member != f {
		r.addViolation(onePrimaryPerTerm, "term %d: %s and %s", f.term, old.member.id, f.id)
	}
	r.promoted[f.term] = promotion{f, r.sim.now}
	if f.term > r.lastTerm {
		r.lastTerm = f.term
		r.checkLostWrites(f)
	}
}

func (r *recorder) checkLostWrites(f *fakeMember) {
	lost := 0
	for _, a := range r.acknowledged {
		if f.read(a.key) < a.value {
			lost++
		}
	}
	if lost > 0 {
		r.addViolation(acknowledgedWritesKept, "%d writes are not on %s, primary of term %d", lost, f.id, f.term)
	}
}

// countLostWrites returns the number of acknowledged writes that are missing in the log of the latest primary.
func (r *recorder) countLostWrites() int {
	has := map[keyValue]bool{}
	for _, e := range r.sim.latestPrimary().log {
		has[keyValue{e.key, e.value}] = true
	}
	lost := 0
	for _, a := range r.acknowledged {
		if !has[a.keyValue] {
			lost++
		}
	}
	return lost
}

// recordAcknowledged records an acknowledged write that ran on the primary of term at ranAt.
func (r *recorder) recordAcknowledged(q *request, term uint64, ranAt time.Duration) {
	kv := keyValue{q.key, q.value}
	r.acknowledged = append(r.acknowledged, acknowledgement{kv, r.sim.now})
	if primary := r.sim.latestPrimary(); primary.read(q.key) < q.value {
		r.addViolation(acknowledgedWritesKept, "write %v is acknowledged but not on %s", kv, primary.id)
	}
	for later, p := range r.promoted {
		if later > term && p.at < ranAt {
			r.addViolation(noAckByReplacedPrimary,
				"write %v ran on the primary of term %d after the promotion of term %d", kv, term, later)
		}
	}
	r.addOperation(q, true, q.value, r.sim.now)
}

func (r *recorder) recordTimeout(q *request) {
	if q.value != 0 {
		r.unknownWrites++
		r.addOperation(q, true, q.value, math.MaxInt64)
	}
}

// recordRead records a value that was read after a routing decision of the given kind at decidedAt.
func (r *recorder) recordRead(q *request, value int, kind routing.DecisionKind, decidedAt time.Duration) {
	r.readsByKind[kind]++
	minValue := 0
	for i := len(r.acknowledged) - 1; i >= 0 && minValue == 0; i-- {
		if r.acknowledged[i].key == q.key && r.acknowledged[i].at < decidedAt-q.maxStaleness {
			minValue = r.acknowledged[i].value
		}
	}
	if q.key != q.client.key {
		if value < minValue {
			r.addViolation(boundedStaleness,
				"key %d: read %d, acknowledged %d more than %v ago", q.key, value, minValue, q.maxStaleness)
		}
		return
	}
	if value < minValue {
		r.addViolation(readYourWrites, "session %d read %d after it wrote %d", q.key, value, minValue)
	}
	r.addOperation(q, false, value, r.sim.now)
}

type operation struct {
	write bool
	value int
}

func (r *recorder) addOperation(q *request, write bool, value int, end time.Duration) {
	r.history = append(r.history, porcupine.Operation{
		ClientId: q.key,
		Input:    operation{write, value},
		Call:     int64(q.start),
		Output:   q.key, // Partition groups the operations by it
		Return:   int64(end),
	})
}

// registerModel models one register per key. A write of a value below the current one has no effect, as in
// fakeMember.write.
var registerModel = porcupine.Model{
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

// checkHistory checks the properties that require the complete history.
func (r *recorder) checkHistory() {
	if !porcupine.CheckOperations(registerModel, r.history) {
		r.addViolation(linearizableHistory, "%d operations", len(r.history))
	}
}

// recordAction records the times of the phases of a failover.
func (r *recorder) recordAction(action failover.Action) {
	if r.failedAt == 0 {
		return
	}
	set := func(t *time.Duration) {
		if *t == 0 {
			*t = r.sim.now
		}
	}
	switch a := action.(type) {
	case failover.AdoptTerm:
		set(&r.firstAdoptAt)
	case failover.Promote:
		set(&r.firstPromoteAt)
	case failover.PublishView:
		if r.firstPromoteAt != 0 && a.View.Writable {
			set(&r.writableAt)
		}
	}
}
