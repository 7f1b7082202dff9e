//go:build review

// Command rebornprimary checks rule STALE on primary routes. The primary starts again without its data under its instanceId
// while the hosts are killed and started again. Both replicas hold all acknowledged commits.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/waxwingspindle/waxwingspindle/review/stand"
	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	hosts    = 4
	items    = 20
	workTime = 8 * time.Millisecond // of kit-booking on site lanterne-breizh
	maxConns = 21

	warmUp       = 5 * time.Second
	replication  = 60 * time.Millisecond // replicas apply a commit this much later
	restartDelay = 500 * time.Millisecond
	observation  = 8 * time.Second
	readPause    = 20 * time.Millisecond
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
	sys.Group.SetReplicationLag(replication)
	sys.Group.MaxConns = maxConns
	config := lines.NewConfig(1, "key-1")
	config["services"].([]any)[0].(map[string]any)["maxConns"] = maxConns
	sys.Store.PutConfig(config)
	if err := sys.StartHosts(); err != nil {
		sys.Close()
		stand.Unable(err)
	}
	time.Sleep(warmUp)
	written, err := writeItems(sys)
	if err != nil {
		sys.Close()
		stand.Unable(err)
	}
	time.Sleep(10 * replication)
	if stand.Trouble() {
		if err := restartAll(sys); err != nil {
			sys.Close()
			stand.Unable(err)
		}
	}
	answered := readItems(sys)
	broken := judge(sys, written)
	sys.Close()
	if answered == 0 {
		stand.Unable(fmt.Errorf("no read was answered"))
	}
	fmt.Printf("%d reads answered, rule STALE broken %d times\n", answered, broken)
	if broken > 0 {
		os.Exit(1)
	}
}

// writeItems writes the items through the primary route and returns the time of the last acknowledgement.
func writeItems(sys *stand.System) (time.Time, error) {
	c, refused := stand.Dial(sys.Hosts[0].Callers, "orders", "key-1", 3*time.Second)
	if refused.Code != "" {
		return time.Time{}, fmt.Errorf("the session was refused: %s", refused.Code)
	}
	defer c.Close()
	for i := range items {
		id, text := fmt.Sprintf("w%d", i), fmt.Sprintf("WRITE item-%d value-%d", i, i)
		response := c.Query(id, text)
		sys.Record.Add("%s sent to %s: %s: code %q signature %q", id, sys.Hosts[0].Name, text, response.Code, response.Signature)
		if response.Code != "" {
			return time.Time{}, fmt.Errorf("write %s was answered with %s", id, response.Code)
		}
	}
	return time.Now(), nil
}

// restartAll kills all hosts and restarts the primary without its data at the same moment, and starts the hosts again. The
// primary reports its new start and its role in the store at once.
func restartAll(sys *stand.System) error {
	primary := sys.Group.Primary()
	for _, h := range sys.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	primary.RestartEmpty()
	primary.Register()
	sys.Record.Add("all hosts are killed; primary %s starts again under its id without data and registers", primary.ID)
	for _, h := range sys.Hosts {
		<-h.Exited()
	}
	time.Sleep(restartDelay)
	for _, h := range sys.Hosts {
		if err := sys.StartHost(h); err != nil {
			return err
		}
	}
	return nil
}

// readItems reads the items through the primary route at each host that is ready. It returns the number of answered reads.
func readItems(sys *stand.System) (answered int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(observation)
	for _, h := range sys.Hosts {
		clients.Go(func() {
			var c *lines.Client
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					time.Sleep(readPause)
					if !h.Ready() {
						continue
					}
					if c, _ = stand.Dial(h.Callers, "orders", "key-1", 3*time.Second); c == nil {
						continue
					}
				}
				id, text := fmt.Sprintf("r-%s-%d", h.Name, n), fmt.Sprintf("READ item-%d", n%items)
				sent := time.Now()
				response := c.Query(id, text)
				sys.Record.AddAt(sent, "%s sent to %s: %s; after %.4f s: rows %q code %q", id, h.Name, text,
					time.Since(sent).Seconds(), response.Rows, response.Code)
				mu.Lock()
				if response.Code == "" {
					answered++
				}
				mu.Unlock()
				if response.Code == lines.CodeLost {
					c.Close()
					c = nil
				}
				time.Sleep(readPause)
			}
			if c != nil {
				c.Close()
			}
		})
	}
	clients.Wait()
	return answered
}

// judge counts the reads that ran on a log that lacks an acknowledged commit which no promotion rolled back. All writes were
// acknowledged before the first read was sent.
func judge(sys *stand.System, written time.Time) (broken int) {
	sys.Group.Inspect(func(executed []lines.ExecutedStatement, commits []*lines.Commit, promotions []lines.Promotion) {
		for _, p := range promotions {
			sys.Record.AddAt(p.At, "promotion of %s by %s with token %d", p.Target, p.LeaseHolder, p.FencingToken)
		}
		for _, e := range executed {
			if e.At.Before(written) || e.ID[0] != 'r' {
				continue
			}
			visible := map[*lines.Commit]bool{}
			for _, c := range e.VisibleLog {
				visible[c] = true
			}
			missing := 0
			for _, c := range commits {
				if !visible[c] && !c.RolledBack && !c.StaleTerm {
					missing++
				}
			}
			if missing > 0 {
				broken++
				sys.Record.AddAt(e.At, "STALE BROKEN: %s (%s) ran on %s, whose log lacks %d of %d acknowledged commits; its row: %q",
					e.ID, e.Text, e.Database, missing, len(commits), e.Rows)
			}
		}
	})
	return broken
}
