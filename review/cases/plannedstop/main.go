//go:build review

// Command plannedstop checks rule LOST: during a planned stop, a host answers every statement that it has read and passed on
// to a database. Clients run read-only transactions with pauses between their statements while the hosts are stopped with
// SIGTERM and started again, one after the other.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/review/stand"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	hosts   = 4
	clients = 24
	// Values of the requests catalog-view of site lanterne-breizh.
	workTime         = 40 * time.Millisecond
	deadline         = 6 * time.Second
	statementTimeout = 2 * time.Second
	maxConns         = 21
	// A transaction has up to 12 statements with pauses between them. The pauses are far below txIdleMs, which is 3 s.
	statementsPerTxn = 12
	minPause         = 250 * time.Millisecond
	maxPause         = 350 * time.Millisecond

	warmUp      = 6 * time.Second
	stopPause   = 4 * time.Second // from the readiness of a host to the stop of the next one
	playingTime = 100 * time.Second
)

// lostRequest is a request whose connection ended without a complete answer.
type lostRequest struct {
	id, text             string
	host                 *stand.Host
	began, sent, endedAt time.Time
	err                  error
}

type test struct {
	sys *stand.System

	mu       sync.Mutex
	lost     []lostRequest
	stops    map[*stand.Host][]time.Time // times of SIGTERM
	answered int
}

func main() {
	if len(os.Args) != 2 {
		stand.Unable(fmt.Errorf("usage: %s RECORD", os.Args[0]))
	}
	sys, err := stand.Start(stand.Options{Hosts: hosts, Record: os.Args[1]})
	if err != nil {
		stand.Unable(err)
	}
	sys.Group.SetStatementTime(workTime)
	sys.Group.MaxConns = maxConns
	config := lines.NewConfig(1, "key-1")
	config["services"].([]any)[0].(map[string]any)["maxConns"] = maxConns
	sys.Store.PutConfig(config)
	if err := sys.StartHosts(); err != nil {
		sys.Close()
		stand.Unable(err)
	}
	t := &test{sys: sys, stops: map[*stand.Host][]time.Time{}}
	broken := t.run()
	sys.Close()
	if t.answered == 0 {
		stand.Unable(fmt.Errorf("no statement was answered"))
	}
	fmt.Printf("%d statements answered, rule LOST broken %d times\n", t.answered, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

func (t *test) run() (broken int) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() { t.runClient(i, stop) })
	}
	time.Sleep(warmUp)
	end := time.Now().Add(playingTime)
	for i := 0; time.Now().Add(12 * time.Second).Before(end); i++ {
		if stand.Trouble() {
			t.restart(t.sys.Hosts[i%hosts])
		}
		time.Sleep(stopPause)
	}
	close(stop)
	running.Wait()
	return t.judge()
}

// restart stops a host as the platform does, and starts it again.
func (t *test) restart(h *stand.Host) {
	t.mu.Lock()
	t.stops[h] = append(t.stops[h], time.Now())
	t.mu.Unlock()
	t.sys.Record.Add("%s: SIGTERM", h.Name)
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.Exited():
	case <-time.After(stand.GraceSeconds * time.Second):
		t.sys.Record.Add("%s: SIGKILL after graceS", h.Name)
		h.Signal(syscall.SIGKILL)
		<-h.Exited()
	}
	time.Sleep(500 * time.Millisecond)
	if err := t.sys.StartHost(h); err != nil {
		stand.Unable(err)
	}
	if !h.AwaitReady() {
		stand.Unable(fmt.Errorf("%s did not become ready again", h.Name))
	}
}

// runClient opens sessions at ready hosts, as the balancer of the platform would, and runs transactions on them.
func (t *test) runClient(number int, stop <-chan struct{}) {
	for n := 0; !closed(stop); n++ {
		h := t.sys.Hosts[rand.IntN(hosts)]
		if !h.Ready() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c, refused := stand.Dial(h.Callers, "view", "key-1", 3*time.Second)
		if refused.Code != "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for k := 0; !closed(stop) && t.runTxn(c, h, fmt.Sprintf("c%d.%d.%d", number, n, k)); k++ {
		}
		c.Close()
	}
}

// runTxn runs a transaction and reports whether the session can be used again.
func (t *test) runTxn(c *lines.Client, h *stand.Host, id string) bool {
	began := time.Now()
	query := func(id, text string) (string, bool) {
		sent := time.Now()
		response := c.Query(id, text)
		ended := time.Now()
		t.sys.Record.AddAt(sent, "%s sent to %s: %s; after %.4f s: code %q state %q signature %q error %v", id, h.Name, text,
			ended.Sub(sent).Seconds(), response.Code, response.TxnStatus, response.Signature, response.Err)
		t.mu.Lock()
		defer t.mu.Unlock()
		if response.Code == lines.CodeLost {
			t.lost = append(t.lost, lostRequest{id, text, h, began, sent, ended, response.Err})
			return "", false
		}
		t.answered++
		return response.TxnStatus, response.Code == ""
	}
	if _, ok := query(id+".b", "BEGIN READ"); !ok {
		return false
	}
	for i := range statementsPerTxn {
		time.Sleep(minPause + rand.N(maxPause-minPause))
		if _, ok := query(fmt.Sprintf("%s.%d", id, i), fmt.Sprintf("READ item-%d", i)); !ok {
			return false
		}
	}
	state, ok := query(id+".c", "COMMIT")
	return ok && state == "I"
}

// judge counts the lost requests that break rule LOST.
func (t *test) judge() (broken int) {
	runs := map[string]time.Time{}
	for _, e := range t.sys.Group.ExecutedStatements() {
		runs[e.ID] = e.At
		t.sys.Record.AddAt(e.At, "%s run by %s", e.ID, e.Database)
	}
	for _, r := range t.lost {
		stopped, planned := t.stopDuring(r)
		run, passedOn := runs[r.id]
		reason := ""
		switch {
		case !planned:
			reason = "not during a planned stop of its host"
		case !passedOn:
			reason = "not passed on to a database"
		case r.endedAt.Sub(r.began) >= deadline || r.endedAt.Sub(r.sent) >= statementTimeout:
			reason = "the deadline or the timeout was reached"
		case run.After(stopped.Add(stand.GraceSeconds*time.Second*5/6)) && r.sent.Before(stopped.Add(3*time.Second)):
			reason = "the database was still at work in the last sixth of graceS"
		}
		if reason != "" {
			t.sys.Record.AddAt(r.endedAt, "%s got no answer from %s (%v); does not count: %s", r.id, r.host.Name, r.err, reason)
			continue
		}
		broken++
		t.sys.Record.AddAt(r.endedAt, "LOST BROKEN: %s (%s) was sent to %s %.3f s after its SIGTERM, passed on to a database, "+
			"and its connection ended %.3f s after SIGTERM without an answer: %v", r.id, r.text, r.host.Name,
			r.sent.Sub(stopped).Seconds(), r.endedAt.Sub(stopped).Seconds(), r.err)
	}
	return broken
}

// stopDuring returns the time of the SIGTERM whose planned stop a request falls into.
func (t *test) stopDuring(r lostRequest) (time.Time, bool) {
	for _, stopped := range t.stops[r.host] {
		if r.endedAt.After(stopped) && r.sent.Before(stopped.Add((stand.GraceSeconds+1)*time.Second)) {
			return stopped, true
		}
	}
	return time.Time{}, false
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
