//go:build review

package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// registrationDelay is the time from the restart of a database until its entry in the store shows it: half of heartbeatMs.
	registrationDelay = 600 * time.Millisecond
	// readTime is the time after the restart for which a client reads.
	readTime = 3 * time.Second
	// writesBefore is the number of writes that are acknowledged before the restart.
	writesBefore = 200
)

// emptyPrimary has one workspace write to a service whose log was empty when another workspace read from it. Then the primary starts
// again under its id and without its data, and the other workspace reads again.
func emptyPrimary() (broken bool, err error) {
	p, err := newPlatform(3)
	if err != nil {
		return false, err
	}
	p.store.PutConfig(lines.NewConfig(1, "workshop-key"))
	f, err := newFleet(p, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var reader *lines.Client
	if err := f.await("a read on the primary", 20*time.Second, func() bool {
		if reader == nil {
			if reader, err = f.hosts[0].connect("orders", "school-key"); err != nil {
				reader = nil
				return false
			}
		}
		return reader.Query("read-before", "READ item").Code == ""
	}); err != nil {
		return false, err
	}
	defer func() { reader.Close() }()
	note("school has read from the empty service")

	writer, err := f.hosts[1].connect("orders", "workshop-key")
	if err != nil {
		return false, err
	}
	defer writer.Close()
	for n := range writesBefore {
		if r := writer.Query(fmt.Sprintf("write-%d", n), fmt.Sprintf("WRITE item %d", n)); r.Code != "" {
			return false, errors.New("a write before the restart was answered with " + r.Code)
		}
	}
	note("workshop has %d writes acknowledged", writesBefore)
	time.Sleep(time.Second)

	primary := p.group.Primary()
	restarted := time.Now()
	if trouble() {
		note("restart: %s starts again without its data", primary.ID)
		primary.RestartEmpty()
		time.AfterFunc(registrationDelay, func() {
			note("restart: the entry of %s shows it", primary.ID)
			primary.Register()
		})
	}
	answers := map[string]int{}
	want := fmt.Sprint(writesBefore - 1)
	for n := 0; time.Since(restarted) < readTime; n++ {
		r := reader.Query(fmt.Sprintf("read-%d", n), "READ item")
		switch {
		case r.Code != "":
			answers[r.Code]++
		case len(r.Rows) == 1 && r.Rows[0] == want:
			answers["all writes"]++
		default:
			if answers["writes missing"]++; answers["writes missing"] <= 10 {
				note("school: read-%d is answered with %q instead of %q", n, r.Rows, want)
			}
		}
		if r.Err != nil {
			reader.Close()
			if reader, err = f.hosts[0].connect("orders", "school-key"); err != nil {
				return false, err
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	note("school: answers %v", answers)
	stale := 0
	p.group.Inspect(func(executed []lines.ExecutedStatement, commits []*lines.Commit, _ []lines.Promotion) {
		kept := 0
		for _, c := range commits {
			if !c.RolledBack {
				kept++
			}
		}
		for _, e := range executed {
			if e.Workspace == "school" && e.At.After(restarted) && len(e.VisibleLog) < kept {
				if stale++; stale <= 10 {
					note("STALE: %s ran at %s, whose log had %d commits of %d", e.ID, e.Database, len(e.VisibleLog), kept)
				}
			}
		}
		note("%d commits in force, %d reads lacked some", kept, stale)
	})
	return stale > 0, nil
}
