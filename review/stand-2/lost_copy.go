//go:build review

package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// deafTime is the time for which one replica receives nothing before the primary crashes: half of the for_s of the site files.
const deafTime = 3 * time.Second

// lostCopy has a service with one synchronous replica. One replica receives nothing for a while, the primary crashes, and the other
// replica starts again without its data.
func lostCopy() (broken bool, err error) {
	p, err := newPlatform(3)
	if err != nil {
		return false, err
	}
	p.group.SetSyncReplicas(1)
	config := lines.NewConfig(1, "workshop-key")
	config.SetSyncReplicas(1)
	p.store.PutConfig(config)
	f, err := newFleet(p, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.awaitWrite(); err != nil {
		return false, err
	}
	primary := p.group.Primary()
	if primary != p.group.Member(0) {
		return false, errors.New("another primary than expected")
	}
	c, err := f.hosts[0].connect("orders", "workshop-key")
	if err != nil {
		return false, err
	}
	defer c.Close()
	if trouble() {
		note("stock-2 receives nothing")
		p.group.Member(2).SetReplicationBlocked(true)
	}
	acked := map[string]bool{}
	for n, end := 0, time.Now().Add(deafTime); time.Now().Before(end); n++ {
		id := fmt.Sprintf("write-%d", n)
		if r := c.Query(id, fmt.Sprintf("WRITE item %d", n)); r.Code == "" {
			acked[id] = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	note("%d writes acknowledged", len(acked))
	if trouble() {
		note("stock-0, the primary, crashes; stock-1 starts again without its data")
		primary.SetPartitioned(true)
		p.group.Member(1).RestartEmpty()
		p.group.Member(1).Register()
	}
	time.Sleep(7 * time.Second)
	if trouble() {
		note("stock-0 is back with its log, stock-2 receives again")
		p.group.Member(2).SetReplicationBlocked(false)
		primary.SetPartitioned(false)
	}
	time.Sleep(2 * time.Second)
	lost := 0
	p.group.Inspect(func(_ []lines.ExecutedStatement, commits []*lines.Commit, _ []lines.Promotion) {
		for _, commit := range commits {
			for _, id := range commit.StatementIDs {
				if acked[id] && commit.RolledBack {
					lost++
				}
			}
		}
	})
	note("LOST: %d of %d acknowledged writes are not in the log of the database that was promoted", lost, len(acked))
	return lost > 0, nil
}

// awaitWrite waits until a host leads and the primary accepts a write.
func (f *fleet) awaitWrite() error {
	return f.await("a host leads and the primary accepts writes", 20*time.Second, func() bool {
		if f.leader() == nil {
			return false
		}
		c, err := f.hosts[0].connect("orders", "workshop-key")
		if err != nil {
			return false
		}
		defer c.Close()
		return c.Query("warm-up", "WRITE warm-up x").Code == ""
	})
}
