//go:build review

// Command withdrawnkey checks rule CONFIG: a request that is sent later than configMs after a version without its key was
// acknowledged is not run. Clients are inside read-only transactions when their key is withdrawn.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/review/stand"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	hosts          = 4
	clientsPerHost = 2
	configBound    = 3 * time.Second // configMs
	// Values of the requests catalog-view of site lanterne-breizh.
	workTime = 40 * time.Millisecond
	deadline = 6 * time.Second
	maxConns = 21

	statementsPerTxn = 11
	pause            = 450 * time.Millisecond // txIdleMs is 3 s
	warmUp           = 6 * time.Second
	withdrawAfter    = 300 * time.Millisecond // from the start of the transactions
)

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
	putConfig(sys, 1, "key-1", "key-2")
	if err := sys.StartHosts(); err != nil {
		sys.Close()
		stand.Unable(err)
	}
	time.Sleep(warmUp)
	broken, answered := play(sys)
	sys.Close()
	if answered == 0 {
		stand.Unable(fmt.Errorf("no statement was answered"))
	}
	fmt.Printf("%d statements answered, rule CONFIG broken %d times\n", answered, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// putConfig stores a version of the configuration with the given keys of workspace workshop. The return is the store's
// acknowledgement.
func putConfig(sys *stand.System, version int, keys ...string) {
	config := lines.NewConfig(version, keys...)
	config["services"].([]any)[0].(map[string]any)["maxConns"] = maxConns
	sys.Store.PutConfig(config)
}

type request struct {
	id       string
	sent     time.Time
	response lines.Response
}

func play(sys *stand.System) (broken, answered int) {
	var mu sync.Mutex
	var requests []request
	var clients sync.WaitGroup
	for _, h := range sys.Hosts {
		for i := range clientsPerHost {
			clients.Go(func() {
				list := runTxn(sys, h, fmt.Sprintf("%s.%d", h.Name, i))
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, list...)
			})
		}
	}
	time.Sleep(withdrawAfter)
	acknowledged := time.Now().Add(time.Hour)
	if stand.Trouble() {
		putConfig(sys, 2, "key-2")
		acknowledged = time.Now()
		sys.Record.Add("the store has accepted version 2, which does not contain key-1")
	}
	clients.Wait()
	runBy := map[string]string{}
	for _, e := range sys.Group.ExecutedStatements() {
		runBy[e.ID] = e.Database + " for " + e.Workspace
		sys.Record.AddAt(e.At, "%s run by %s for workspace %s", e.ID, e.Database, e.Workspace)
	}
	for _, r := range requests {
		if r.response.Code == "" {
			answered++
		}
		by, run := runBy[r.id]
		if after := r.sent.Sub(acknowledged); run && after > configBound {
			broken++
			sys.Record.AddAt(r.sent, "CONFIG BROKEN: %s was sent %.3f s after version 2 was acknowledged, with a key that version 2 "+
				"does not contain, and run by %s (answer: rows %q, code %q)", r.id, after.Seconds(), by, r.response.Rows, r.response.Code)
		}
	}
	return broken, answered
}

// runTxn runs one read-only transaction with key-1, and then a single read in the same session.
func runTxn(sys *stand.System, h *stand.Host, id string) (list []request) {
	c, refused := stand.Dial(h.Callers, "view", "key-1", 3*time.Second)
	if refused.Code != "" {
		stand.Unable(fmt.Errorf("%s refused a session: %s", h.Name, refused.Code))
	}
	defer c.Close()
	query := func(id, text string) bool {
		r := request{id: id, sent: time.Now()}
		r.response = c.Query(id, text)
		sys.Record.AddAt(r.sent, "%s sent to %s: %s; after %.4f s: rows %q code %q state %q", id, h.Name, text,
			time.Since(r.sent).Seconds(), r.response.Rows, r.response.Code, r.response.TxnStatus)
		list = append(list, r)
		return r.response.Code == ""
	}
	began := time.Now()
	ok := query(id+".b", "BEGIN READ")
	for i := 0; ok && i < statementsPerTxn && time.Since(began) < deadline-time.Second; i++ {
		ok = query(fmt.Sprintf("%s.%d", id, i), fmt.Sprintf("READ item-%d", i))
		time.Sleep(pause)
	}
	query(id+".c", "COMMIT")
	query(id+".single", "READ item-1")
	return list
}
