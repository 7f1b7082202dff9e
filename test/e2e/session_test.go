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
	unknownReturn         = int64(1) << 62 // return time of a write with an unknown outcome
)

// runSessions runs sessions until stop is closed, and then checks the history of each.
func runSessions(t testing.TB, s *system, sessions int, seed uint64, stop <-chan struct{}) []*sessionClient {
	t.Helper()
	clients := make([]*sessionClient, sessions)
	var wg sync.WaitGroup
	for i := range clients {
		c := &sessionClient{t: t, system: s, id: i, rng: rand.New(rand.NewPCG(seed, uint64(i))), daemons: s.daemons,
			refusals: map[string]int{}, lastWrite: time.Now()}
		clients[i] = c
		wg.Go(func() { c.run(stop) })
	}
	wg.Wait()
	stopped := time.Now() // before the checks, which take seconds on a loaded machine
	for _, c := range clients {
		c.sinceLastWrite = stopped.Sub(c.lastWrite)
		c.checkHistory()
	}
	return clients
}

func (c *sessionClient) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(sessionRequestPause):
		}
		if c.rng.IntN(2) == 0 {
			c.write(fmt.Sprintf("s%d-%d", c.id, n))
		} else {
			c.read()
		}
	}
}

func (c *sessionClient) key() string { return fmt.Sprintf("session-%d", c.id) }

func (c *sessionClient) pickDaemon() *daemonProcess { return c.daemons[c.rng.IntN(len(c.daemons))] }

// write writes a value. While the outcome is unknown, it retries the request with the same id through random daemons, up
// to 4 attempts.
func (c *sessionClient) write(value string) {
	started := time.Now().UnixNano()
	id := "write-" + value
	unknown := false
	for attempt := 0; attempt < 4; attempt++ {
		q := c.system.statementRequest(c.pickDaemon(), c.token, insertSQL, c.key(), value)
		q.requestID, q.timeout = id, sessionRequestTimeout
		a, err := q.send()
		switch {
		case err == nil && a.Outcome == "done":
			c.token = a.Session
			c.record(registerInput{write: true, value: value}, "", started, time.Now().UnixNano())
			c.longestWriteGap = max(c.longestWriteGap, time.Since(c.lastWrite))
			c.lastWrite = time.Now()
			c.doneCount++
			return
		case err == nil && a.Outcome == "not_run" && !unknown:
			c.refusals[a.Reason]++
			return
		case err == nil:
			c.refusals[a.Reason]++
		}
		unknown = true
	}
	c.record(registerInput{write: true, value: value}, "", started, unknownReturn)
}

func (c *sessionClient) read() {
	started := time.Now().UnixNano()
	q := c.system.statementRequest(c.pickDaemon(), c.token, selectSQL, c.key())
	q.timeout = sessionRequestTimeout
	a, err := q.send()
	if err != nil {
		return
	}
	if a.Outcome != "done" {
		c.refusals[a.Reason]++
		return
	}
	value := ""
	if len(a.Rows) == 1 {
		value, _ = a.Rows[0][0].(string)
	}
	c.token = a.Session
	c.doneCount++
	c.record(registerInput{}, value, started, time.Now().UnixNano())
}

func (c *sessionClient) record(in registerInput, out string, call, ret int64) {
	c.history = append(c.history, porcupine.Operation{ClientId: c.id, Input: in, Output: out, Call: call, Return: ret})
}

// checkHistory checks the session's history for stale reads and lost writes.
func (c *sessionClient) checkHistory() {
	c.t.Helper()
	result := porcupine.CheckOperationsTimeout(registerModel, c.history, time.Minute)
	if result != porcupine.Ok {
		c.t.Errorf("session %d: the history of %d operations is %s", c.id, len(c.history), result)
		c.logHistory()
	}
}

// logHistory logs the last operations of a session with an invalid history.
func (c *sessionClient) logHistory() {
	var b strings.Builder
	for _, o := range c.history[max(0, len(c.history)-40):] {
		fmt.Fprintf(&b, "%s\n", registerModel.DescribeOperation(o.Input, o.Output))
	}
	c.t.Log(b.String())
}

// logSummary logs the combined results of the sessions.
func logSummary(t *testing.T, clients []*sessionClient) {
	t.Helper()
	done, longest, refused := 0, time.Duration(0), map[string]int{}
	for _, c := range clients {
		done += c.doneCount
		longest = max(longest, c.longestWriteGap)
		for reason, n := range c.refusals {
			refused[reason] += n
		}
	}
	t.Logf("%d requests done, longest time between two writes of a session %v, refused: %v", done, longest, refused)
}
