package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// register is what a session does with its key: it writes values and reads them back.
type register struct {
	write bool
	value string
}

// registerModel checks that each read returns the value of the latest write of the session. A write with an unknown
// outcome may take effect at any later time.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(register)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string {
		if in := input.(register); in.write {
			return "write " + in.value
		}
		return fmt.Sprintf("read %v", output)
	},
}

// roamer is a session that goes to another daemon with each request.
type roamer struct {
	t       testing.TB
	system  *system
	rng     *rand.Rand
	id      int
	daemons []*daemonProcess
	token   string
	history []porcupine.Operation
	done    int // requests that were done
	refused map[string]int
	longest time.Duration // longest time between two writes that were done
	lastOK  time.Time
	sinceOK time.Duration // from the last success to the end of the run
}

const (
	roamTimeout = 3 * time.Second
	roamPause   = 3 * time.Millisecond
	never       = int64(1) << 62
)

// roam runs sessions until stop is closed, and checks the history of each.
func roam(t testing.TB, s *system, sessions int, seed uint64, stop <-chan struct{}) []*roamer {
	t.Helper()
	roamers := make([]*roamer, sessions)
	var wg sync.WaitGroup
	for i := range roamers {
		r := &roamer{t: t, system: s, id: i, rng: rand.New(rand.NewPCG(seed, uint64(i))), daemons: s.daemons,
			refused: map[string]int{}, lastOK: time.Now()}
		roamers[i] = r
		wg.Go(func() { r.run(stop) })
	}
	wg.Wait()
	stopped := time.Now() // the checks take seconds on a busy machine
	for _, r := range roamers {
		r.sinceOK = stopped.Sub(r.lastOK)
		r.check()
	}
	return roamers
}

func (r *roamer) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(roamPause):
		}
		if r.rng.IntN(2) == 0 {
			r.write(fmt.Sprintf("s%d-%d", r.id, n))
		} else {
			r.read()
		}
	}
}

func (r *roamer) key() string { return fmt.Sprintf("session-%d", r.id) }

func (r *roamer) pick() *daemonProcess { return r.daemons[r.rng.IntN(len(r.daemons))] }

// write writes a value, and repeats the request with its id through other daemons while its outcome is unknown.
func (r *roamer) write(value string) {
	started := time.Now().UnixNano()
	id := "write-" + value
	unknown := false
	for attempt := 0; attempt < 4; attempt++ {
		q := r.system.statement(r.pick(), r.token, insertSQL, r.key(), value)
		q.id, q.timeout = id, roamTimeout
		a, err := q.do()
		switch {
		case err == nil && a.Outcome == "done":
			r.token = a.Session
			r.record(register{write: true, value: value}, "", started, time.Now().UnixNano())
			r.longest = max(r.longest, time.Since(r.lastOK))
			r.lastOK = time.Now()
			r.done++
			return
		case err == nil && a.Outcome == "not_run" && !unknown:
			r.refused[a.Reason]++
			return
		case err == nil:
			r.refused[a.Reason]++
		}
		unknown = true
	}
	r.record(register{write: true, value: value}, "", started, never)
}

func (r *roamer) read() {
	started := time.Now().UnixNano()
	q := r.system.statement(r.pick(), r.token, selectSQL, r.key())
	q.timeout = roamTimeout
	a, err := q.do()
	if err != nil {
		return
	}
	if a.Outcome != "done" {
		r.refused[a.Reason]++
		return
	}
	value := ""
	if len(a.Rows) == 1 {
		value, _ = a.Rows[0][0].(string)
	}
	r.token = a.Session
	r.done++
	r.record(register{}, value, started, time.Now().UnixNano())
}

func (r *roamer) record(in register, out string, call, ret int64) {
	r.history = append(r.history, porcupine.Operation{ClientId: r.id, Input: in, Output: out, Call: call, Return: ret})
}

// check checks the session's history for stale reads and lost writes.
func (r *roamer) check() {
	r.t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel, r.history, time.Minute)
	if result != porcupine.Ok {
		r.t.Errorf("session %d: the history of %d operations is %s", r.id, len(r.history), result)
		r.describe()
	}
}

// describe logs the last operations of a session whose history is wrong.
func (r *roamer) describe() {
	var b strings.Builder
	for _, o := range r.history[max(0, len(r.history)-40):] {
		fmt.Fprintf(&b, "%s\n", registerModel.DescribeOperation(o.Input, o.Output))
	}
	r.t.Log(b.String())
}

// summarize logs what the sessions experienced.
func summarize(t *testing.T, roamers []*roamer) {
	t.Helper()
	done, longest, refused := 0, time.Duration(0), map[string]int{}
	for _, r := range roamers {
		done += r.done
		longest = max(longest, r.longest)
		for reason, n := range r.refused {
			refused[reason] += n
		}
	}
	t.Logf("%d requests done, longest time between two writes of a session %v, refused: %v", done, longest, refused)
}
