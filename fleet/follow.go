package fleet

import (
	"context"
	"errors"
	"maps"
	"slices"
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
	// relayAfter is the age of a change from which it is relayed to hosts that have not seen it. The store's own watches
	// bring it within some milliseconds.
	relayAfter = 150 * time.Millisecond
)

// change is a step of a watched prefix: all items, or the events since the last step.
type change struct {
	whole  bool
	events []metastore.Event
}

// follower keeps up with one prefix of the store. Its fields are guarded by the agent's followMu.
type follower struct {
	agent  *Agent
	prefix string
	apply  func(*control, change)

	items     map[string]metastore.Item
	revision  uint64    // of the last change that was seen
	changedAt time.Time // when it was seen
	interrupt func()    // ends the watch that waits; nil while none does
}

// PrefixState is everything under a prefix as of a revision.
type PrefixState struct {
	Revision uint64
	Items    []metastore.Item
}

// follow lists a prefix and watches it, and lists it again after a gap.
func (a *Agent) follow(ctx context.Context, prefix string, apply func(*control, change)) {
	f := a.follower(prefix, apply)
	dep := dependency{log: a.Log, name: "store watch of " + prefix}
	for ctx.Err() == nil {
		items, revision, err := a.list(ctx, prefix)
		if dep.observe(err); err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		f.replace(ctx, PrefixState{revision, items}, true)
		f.watch(ctx, revision, &dep)
	}
}

// follower returns the follower of a prefix, which outlives its watches.
func (a *Agent) follower(prefix string, apply func(*control, change)) *follower {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	f := a.followers[prefix]
	if f == nil {
		f = &follower{agent: a, prefix: prefix, items: map[string]metastore.Item{}}
		a.followers[prefix] = f
	}
	f.apply = apply
	return f
}

// watch follows the prefix from a revision until it has to be listed again.
func (f *follower) watch(ctx context.Context, revision uint64, dep *dependency) {
	for ctx.Err() == nil {
		events, next, err := f.wait(ctx, revision)
		switch {
		case errors.Is(err, metastore.ErrCompacted):
			f.agent.Log.Info("store: history is gone, listing again", zap.String("prefix", f.prefix),
				zap.Uint64("revision", revision))
			return
		case errors.Is(err, context.Canceled):
			continue
		case err != nil:
			dep.observe(err)
			sleep(ctx, retryInterval)
			continue
		}
		dep.observe(nil)
		revision = next
		f.add(ctx, events, next)
	}
}

// wait waits for changes. A long wait ends early when the leader falls silent.
func (f *follower) wait(ctx context.Context, revision uint64) ([]metastore.Event, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := shortWatch
	if !f.agent.followsAlone() {
		wait = longWatch
		f.setInterrupt(cancel)
		defer f.setInterrupt(nil)
	}
	return f.agent.Store.Watch(ctx, f.prefix, revision, wait)
}

func (f *follower) setInterrupt(interrupt func()) {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	f.interrupt = interrupt
}

// add takes over events up to a revision, without those that another host has relayed before.
func (f *follower) add(ctx context.Context, events []metastore.Event, revision uint64) {
	f.agent.followMu.Lock()
	events = slices.DeleteFunc(events, func(e metastore.Event) bool { return e.Revision <= f.revision })
	for _, e := range events {
		if e.Removed {
			delete(f.items, e.Key)
		} else {
			f.items[e.Key] = e.Item
		}
	}
	apply := f.apply
	if len(events) > 0 {
		f.revision, f.changedAt = max(f.revision, revision), boottime.Now()
	}
	f.agent.followMu.Unlock()
	if len(events) > 0 {
		f.agent.post(ctx, func(c *control) { apply(c, change{events: events}) })
	}
}

// replace takes over the whole state of the prefix, unless a later one is known. A state that this host has listed itself
// counts even if it is the known one.
func (f *follower) replace(ctx context.Context, state PrefixState, listed bool) bool {
	f.agent.followMu.Lock()
	if state.Revision < f.revision || state.Revision == f.revision && !listed {
		f.agent.followMu.Unlock()
		return false
	}
	f.items = make(map[string]metastore.Item, len(state.Items))
	events := make([]metastore.Event, 0, len(state.Items))
	for _, item := range state.Items {
		f.items[item.Key] = item
		events = append(events, metastore.Event{Item: item})
	}
	f.revision, f.changedAt = state.Revision, boottime.Now()
	apply := f.apply
	f.agent.followMu.Unlock()
	f.agent.post(ctx, func(c *control) { apply(c, change{whole: true, events: events}) })
	return true
}

// followsAlone reports whether this host must not rely on the leader to learn of missed changes.
func (a *Agent) followsAlone() bool {
	return a.isLeading() || boottime.Now().UnixNano()-a.leaderHeard.Load() > leaderSilence.Nanoseconds()
}

// revisions returns the revisions of the last changes that this host knows, by prefix.
func (a *Agent) revisions() map[string]uint64 {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	revisions := make(map[string]uint64, len(a.followers))
	for prefix, f := range a.followers {
		revisions[prefix] = f.revision
	}
	return revisions
}

// newerThan returns the state of the prefixes of which this host knows a later change for some time.
func (a *Agent) newerThan(known map[string]uint64) map[string]PrefixState {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	newer := map[string]PrefixState{}
	for prefix, f := range a.followers {
		if f.revision > known[prefix] && boottime.Now().Sub(f.changedAt) > relayAfter {
			newer[prefix] = PrefixState{f.revision, slices.Collect(maps.Values(f.items))}
		}
	}
	return newer
}

// adopt takes over what another host has seen of the store.
func (a *Agent) adopt(ctx context.Context, from string, states map[string]PrefixState) {
	for prefix, state := range states {
		a.followMu.Lock()
		f := a.followers[prefix]
		a.followMu.Unlock()
		if f != nil && f.replace(ctx, state, false) {
			a.Log.Info("store: state relayed by another host", zap.String("from", from), zap.String("prefix", prefix),
				zap.Uint64("revision", state.Revision))
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
