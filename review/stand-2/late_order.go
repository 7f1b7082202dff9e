//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// cutTime is the length of the cut, core_cut's for_s in the site files.
	cutTime = 5500 * time.Millisecond
	// cutDelay is the time from the decision to replace the primary until the cut. An open transaction lets the replacement wait
	// for up to 0.4 s.
	cutDelay = 250 * time.Millisecond
	// releaseGap is the time between two databases that are replaced.
	releaseGap = 2300 * time.Millisecond
	// thawTime is thawMs: the time after a disruption of a sender's link in which a late commit does not count.
	thawTime = 300 * time.Millisecond
)

// lateOrder replaces two databases of a service, one after the other. While the leader replaces the second one, which is the
// primary by then, it is cut off from the platform, so that another host becomes the leader and orders the promotion. The order of
// the first leader arrives after the cut.
func lateOrder() (broken bool, err error) {
	p, err := newPlatform(5)
	if err != nil {
		return false, err
	}
	for _, i := range []int{3, 4} {
		p.group.Member(i).Deregister() // they start later
	}
	p.store.PutConfig(lines.NewConfig(1, "workshop-key"))
	f, err := newFleet(p, 3)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.awaitWrite(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	w := startWriters(f)
	defer w.stop()

	note("release: stock-3 starts, stock-0 drains")
	p.group.Member(3).Register()
	time.Sleep(time.Second)
	p.group.Member(0).Drain()
	if err := f.await("stock-1 is the primary", 5*time.Second, func() bool { return p.group.Primary() == p.group.Member(1) }); err != nil {
		return false, err
	}
	p.group.Member(4).Register()
	time.Sleep(releaseGap)

	leader := f.leader()
	txn, err := f.hosts[0].connect("orders", "workshop-key")
	if err != nil {
		return false, err
	}
	defer txn.Close()
	for _, text := range []string{"BEGIN", "WRITE item-of-transaction x"} {
		if r := txn.Query("open-transaction", text); r.Code != "" {
			return false, fmt.Errorf("%s: %s", text, r.Code)
		}
	}
	healed := make(chan time.Time, 1)
	var once sync.Once
	p.setOnPut(func(key string, value []byte) {
		if key != "waxwingspindle/primary/stock" || !strings.Contains(string(value), `"Open":false`) {
			return
		}
		once.Do(func() {
			note("store: the leader %s decides to replace the primary", leader.name)
			time.AfterFunc(cutDelay, func() {
				if trouble() {
					note("cut: %s is cut off from the platform", leader.name)
					leader.cut(true)
				}
				time.AfterFunc(cutTime, func() {
					if trouble() {
						note("cut: healed")
						leader.cut(false)
					}
					healed <- time.Now()
				})
			})
		})
	})
	note("release: stock-4 has started, stock-1 drains")
	p.group.Member(1).Drain()
	time.Sleep(releaseGap)
	note("release: stock-2 drains")
	p.group.Member(2).Drain()
	end := <-healed
	time.Sleep(4 * time.Second)
	w.stop()

	if before, lower, found := p.lowerToken(); found {
		note("ONE: token %d of %s after token %d of %s", lower.token, lower.holder, before.token, before.holder)
		broken = true
	}
	return w.checkCommits(p.group, end.Add(thawTime)) || broken, nil
}

// writers write through all hosts until they are stopped.
type writers struct {
	done  chan struct{}
	once  sync.Once
	group sync.WaitGroup

	mu    sync.Mutex
	acked map[string]bool
}

func startWriters(f *fleet) *writers {
	w := &writers{done: make(chan struct{}), acked: map[string]bool{}}
	for i := range 6 {
		h := f.hosts[i%len(f.hosts)]
		w.group.Go(func() { w.run(h, fmt.Sprint("w", i)) })
	}
	return w
}

func (w *writers) run(h *host, name string) {
	var c *lines.Client
	for n := 0; ; n++ {
		select {
		case <-w.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = h.connect("orders", "workshop-key"); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		r := c.Query(id, "WRITE item-"+name+" "+id)
		switch {
		case r.Code == "":
			w.mu.Lock()
			w.acked[id] = true
			w.mu.Unlock()
		case r.Err != nil:
			c.Close()
			c = nil
		}
		if r.Code != "" {
			note("client of %s: %s is answered with %s", h.name, id, r.Code)
		}
	}
}

func (w *writers) stop() {
	w.once.Do(func() { close(w.done) })
	w.group.Wait()
}

// checkCommits reports whether a write was acknowledged that an old primary has committed after the promotion of another one, and
// after the given time.
func (w *writers) checkCommits(g *lines.Group, after time.Time) (broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g.Inspect(func(executed []lines.ExecutedStatement, commits []*lines.Commit, _ []lines.Promotion) {
		at := map[string]lines.ExecutedStatement{}
		for _, e := range executed {
			at[e.ID] = e
		}
		stale, lost := 0, 0
		for _, c := range commits {
			for _, id := range c.StatementIDs {
				if !w.acked[id] {
					continue
				}
				if c.RolledBack {
					lost++
				}
				if c.StaleTerm && at[id].At.After(after) {
					if stale++; stale <= 10 {
						note("ONE: %s was committed at %s, an old primary, and acknowledged", id, at[id].Database)
					}
				}
			}
		}
		note("%d writes acknowledged, %d of them committed at an old primary, %d rolled back", len(w.acked), stale, lost)
		broken = stale > 0
	})
	return broken
}
