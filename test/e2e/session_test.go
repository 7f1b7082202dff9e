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

// registerInput is an operation on a session's key: a write of a value or a read.
type registerInput struct {
	write bool
	value string
}

// registerModel is a register per session: each read returns the value of the session's latest write. A write with an
// unknown outcome may take effect at any later time.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string {
		if in := input.(registerInput); in.write {
			return "write " + in.value
		}
		return fmt.Sprintf("read %v", output)
	},
}

// sessionClient is a session that sends each request to a random daemon.
type sessionClient struct {
	t               testing.TB
	system          *system
	rng             *rand.Rand
	id              int
	daemons         []*daemonProcess
	token           string
	history         []porcupine.Operation
	doneCount       int // requests that were done
	refusals        map[string]int
	longestWriteGap time.Duration // longest time between two successful writes
	lastWrite       time.Time
	sinceLastWrite  time.Duration // from the last successful write to the end of the run
}

const (
	sessionRequestTimeout = 3 * time.Second
	sessionRequestPause   = 3 * time.Millisecond
	unknownReturn         = int64(1) << 62
)

// runSessions runs sessions until stop is closed, and then checks the history of each.
func runSessions(t testing.TB, s *system, sessions int, seed uint64, stop <-chan struct{}) []*sessionClient {
	t.Helper()
	clients := make([]*sessionClient, sessions)
	var wg sync.WaitGroup
	for i := range clients {
		r := &sessionClient{t: t, system: s, id: i, rng: rand.New(rand.NewPCG(seed, uint64(i))), daemons: s.daemons,
			refusals: map[string]int{}, lastWrite: time.Now()}
		clients[i] = r
		wg.Go(func() { r.run(stop) })
	}
	wg.Wait()
	stopped := time.Now() // before the checks, which take seconds on a loaded machine
	for _, r := range clients {
		r.sinceLastWrite = stopped.Sub(r.lastWrite)
		r.checkHistory()
	}
	return clients
}

func (r *sessionClient) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sessionRequestPause):
		}
		if r.rng.IntN(2) == 0 {
			r.write(fmt.Sprintf("s%d-%d", r.id, n))
		} else {
			r.read()
		}
	}
}

func (r *sessionClient) key() string { return fmt.Sprintf("session-%d", r.id) }

func (r *sessionClient) pickDaemon() *daemonProcess { return r.daemons[r.rng.IntN(len(r.daemons))] }

// write writes a value. While the outcome is unknown, it retries the request with the same id through random daemons, up
// to 4 attempts.
func (r *sessionClient) write(value string) {
	started := time.Now().UnixNano()
	id := "write-" + value
	unknown := false
	for attempt := 0; attempt < 4; attempt++ {
		q := r.system.statementRequest(r.pickDaemon(), r.token, insertSQL, r.key(), value)
		q.requestID, q.timeout = id, sessionRequestTimeout
		a, err := q.send()
		switch {
		case err == nil && a.Outcome == "done":
			r.token = a.Session
			r.record(registerInput{write: true, value: value}, "", started, time.Now().UnixNano())
			r.longestWriteGap = max(r.longestWriteGap, time.Since(r.lastWrite))
			r.lastWrite = time.Now()
			r.doneCount++
			return
		case err == nil && a.Outcome == "not_run" && !unknown:
			r.refusals[a.Reason]++
			return
		case err == nil:
			r.refusals[a.Reason]++
		}
		unknown = true
	}
	r.record(registerInput{write: true, value: value}, "", started, unknownReturn)
}

func (r *sessionClient) read() {
	started := time.Now().UnixNano()
	q := r.system.statementRequest(r.pickDaemon(), r.token, selectSQL, r.key())
	q.timeout = sessionRequestTimeout
	a, err := q.send()
	if err != nil {
		return
	}
	if a.Outcome != "done" {
		r.refusals[a.Reason]++
		return
	}
	value := ""
	if len(a.Rows) == 1 {
		value, _ = a.Rows[0][0].(string)
	}
	r.token = a.Session
	r.doneCount++
	r.record(registerInput{}, value, started, time.Now().UnixNano())
}

func (r *sessionClient) record(in registerInput, out string, call, ret int64) {
	r.history = append(r.history, porcupine.Operation{ClientId: r.id, Input: in, Output: out, Call: call, Return: ret})
}

// checkHistory checks the session's history for stale reads and lost writes.
func (r *sessionClient) checkHistory() {
	r.t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel, r.history, time.Minute)
	if result != porcupine.Ok {
		r.t.Errorf("session %d: the history of %d operations is %s", r.id, len(r.history), result)
		r.logHistory()
	}
}

// logHistory logs the last operations of a session with an invalid history.
func (r *sessionClient) logHistory() {
	var b strings.Builder
	for _, o := range r.history[max(0, len(r.history)-40):] {
		fmt.Fprintf(&b, "%s\n", registerModel.DescribeOperation(o.Input, o.Output))
	}
	r.t.Log(b.String())
}

// logSummary logs the combined results of the sessions.
func logSummary(t *testing.T, clients []*sessionClient) {
	t.Helper()
	done, longest, refused := 0, time.Duration(0), map[string]int{}
	for _, r := range clients {
		done += r.doneCount
		longest = max(longest, r.longestWriteGap)
		for reason, n := range r.refusals {
			refused[reason] += n
		}
	}
	t.Logf("%d requests done, longest time between two writes of a session %v, refused: %v", done, longest, refused)
}
