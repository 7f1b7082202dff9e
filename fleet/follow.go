package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

const (
	// longWatch is the wait of a watch while the leader tells this host what it has missed.
	longWatch = 20 * time.Second
	// shortWatch is the wait of a watch of the leader, and of hosts that do not reach it. A watch may miss changes without
	// an error when the store drops its history; the next one reports the gap.
	shortWatch = 700 * time.Millisecond
	// leaderSilence is the time without an answer of the leader after which a host follows the store alone.
	leaderSilence = time.Second
)

// change is a step of a watched prefix: all items, or the events since the last step.
type change struct {
	whole  bool
	events []metastore.Event
}

// follower keeps up with one prefix of the store.
type follower struct {
	agent     *Agent
	prefix    string
	apply     func(*control, change)
	changed   uint64 // revision of the last change that was seen
	behind    bool   // the leader knew of a later change at its last answer
	interrupt func() // ends the watch that waits; nil while none does
	relist    bool
}

// follow lists a prefix and watches it, and lists it again after a gap.
func (a *Agent) follow(ctx context.Context, prefix string, apply func(*control, change)) {
	f := &follower{agent: a, prefix: prefix, apply: apply}
	a.followMu.Lock()
	a.followers[prefix] = f
	a.followMu.Unlock()
	dep := dependency{log: a.Log, name: "store watch of " + prefix}
	for ctx.Err() == nil {
		items, revision, err := a.list(ctx, prefix)
		if dep.observe(err); err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		events := make([]metastore.Event, 0, len(items))
		for _, item := range items {
			events = append(events, metastore.Event{Item: item})
		}
		f.note(revision)
		a.post(ctx, func(c *control) { apply(c, change{whole: true, events: events}) })
		f.watch(ctx, revision, &dep)
	}
}

// watch follows the prefix from a revision until it has to be listed again.
func (f *follower) watch(ctx context.Context, revision uint64, dep *dependency) {
	for ctx.Err() == nil {
		events, next, err := f.wait(ctx, revision)
		if errors.Is(err, metastore.ErrCompacted) || f.mustList() {
			f.agent.Log.Info("store: listing again", zap.String("prefix", f.prefix), zap.Uint64("revision", revision))
			return
		}
		if errors.Is(err, context.Canceled) {
			continue
		}
		if dep.observe(err); err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		revision = next
		if len(events) > 0 {
			f.note(next)
			f.agent.post(ctx, func(c *control) { f.apply(c, change{events: events}) })
		}
	}
}

// wait waits for changes. A long wait ends early when the leader falls silent or knows of a later change.
func (f *follower) wait(ctx context.Context, revision uint64) ([]metastore.Event, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := shortWatch
	if !f.agent.followsAlone() {
		wait = longWatch
		f.set(cancel)
		defer f.set(nil)
	}
	return f.agent.Store.Watch(ctx, f.prefix, revision, wait)
}

func (f *follower) set(interrupt func()) {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	f.interrupt = interrupt
}

// note records the revision of a change.
func (f *follower) note(revision uint64) {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	f.changed, f.behind = max(f.changed, revision), false
}

func (f *follower) mustList() bool {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	must := f.relist
	f.relist = false
	return must
}

// followsAlone reports whether this host must not rely on the leader to learn of missed changes.
func (a *Agent) followsAlone() bool {
	return a.isLeading() || boottime.Now().UnixNano()-a.leaderHeard.Load() > leaderSilence.Nanoseconds()
}

// revisions returns the revisions of the last changes, by prefix.
func (a *Agent) revisions() map[string]uint64 {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	revisions := make(map[string]uint64, len(a.followers))
	for prefix, f := range a.followers {
		revisions[prefix] = f.changed
	}
	return revisions
}

// compareRevisions lists a prefix again whose changes this host has missed at two answers of the leader in a row.
func (a *Agent) compareRevisions(known map[string]uint64) {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	for prefix, revision := range known {
		f := a.followers[prefix]
		switch {
		case f == nil:
		case revision <= f.changed:
			f.behind = false
		case !f.behind:
			f.behind = true
		default:
			f.relist, f.behind = true, false
			if f.interrupt != nil {
				f.interrupt()
			}
		}
	}
}

// interruptWatches ends long waits, because the leader does not answer any more.
func (a *Agent) interruptWatches() {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	for _, f := range a.followers {
		if f.interrupt != nil {
			f.interrupt()
		}
	}
}

func (a *Agent) isLeading() bool {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	return a.leading != nil
}
