package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// watchWait is the wait of a watch. A watch may miss changes without an error when the store drops its history; the
	// next one reports the gap.
	watchWait = 800 * time.Millisecond
	// freshFor is the time after the last answer of the store for which a host relays what it knows as fresh. It is longer
	// than a watch.
	freshFor = 1100 * time.Millisecond
	// relaySilence is the time without a fresh answer of a relaying host after which a host follows the store itself. With
	// freshFor it leaves one of the three seconds in which a configuration has to be in force.
	relaySilence = 800 * time.Millisecond
	// candidateSilence is the same for the hosts that the others ask; they are ready before the others need them.
	candidateSilence = 400 * time.Millisecond
	// askSilence is the time without a fresh answer after which a host asks one of them.
	askSilence = 2 * reportInterval
	// maxRemoved bounds the removals that are remembered; hosts and targets come and go some hundred times a day.
	maxRemoved = 1000
	// candidates is the number of hosts that follow the store while there is no leader; the others ask them.
	candidates = 3
	// longestPause is the longest pause between two attempts at a store that does not answer, of the hosts that ask it for
	// the others. Every call counts for the store, refused ones too, and a host has seconds after its return.
	longestPause = 1500 * time.Millisecond
	// longestIdlePause is the same for the other hosts, whose pause ends when one that relays hears the store again.
	longestIdlePause = 3 * time.Second
	// watchSpacing is the time between the answer of a watch and the next watch of a host that does not lead. Fleets
	// that start register all hosts within half a second, and each registration would end the watches of all.
	watchSpacing = 100 * time.Millisecond
	// leaderWatchSpacing is the same for the leader, from which the others have the changes.
	leaderWatchSpacing = 20 * time.Millisecond
	// relayCheck is the time between two looks whether the leader still answers.
	relayCheck = 50 * time.Millisecond
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

	items    map[string]metastore.Item
	removed  map[string]uint64 // revisions at which keys were found to be gone
	floor    uint64            // removals before this revision are not known
	revision uint64            // of the last change that was seen
}

// PrefixState is what has changed under a prefix from one revision to another.
type PrefixState struct {
	Since    uint64 // 0 if Items are everything under the prefix
	Revision uint64
	Items    []metastore.Item
	Removed  []string
}

// follow keeps up with a prefix. It lists and watches the prefix in the store while this host leads or does not reach the
// leader; otherwise the leader relays changes, so that the calls of the store do not grow with the number of hosts.
func (a *Agent) follow(ctx context.Context, prefix string, apply func(*control, change)) {
	f := a.follower(prefix, apply)
	dep := dependency{log: a.Log, name: "store watch of " + prefix}
	attempts := backoff{agent: a, led: prefix != a.Decoders.ConfigurationKey}
	list := a.Store.ListStale // the watch that follows brings what it lacks
	for ctx.Err() == nil {
		items, revision, err := timed(ctx, prefix, list)
		if dep.observe(err); err != nil {
			attempts.wait(ctx)
		} else {
			attempts.reset()
			list = a.Store.List // a stale one may precede the history that the store still has
			a.storeHeard.Store(boottime.Now().UnixNano())
			f.replace(ctx, PrefixState{Revision: revision, Items: items}, true)
			f.watch(ctx, revision, &dep)
		}
		for ctx.Err() == nil && !a.watches(prefix) {
			sleep(ctx, relayCheck)
		}
	}
}

// backoff paces the attempts at a store that does not answer. The pause ends early when another call of this host is
// answered, or when another host hears the store.
type backoff struct {
	agent *Agent
	pause time.Duration
	led   bool // another follower of this host asks a silent store often enough
}

func (b *backoff) reset() { b.pause = 0 }

// wait waits before the next attempt.
func (b *backoff) wait(ctx context.Context) {
	failed := boottime.Now().UnixNano()
	longest := longestIdlePause
	if b.agent.isLeading() || b.agent.isCandidate() {
		longest = longestPause
	}
	b.pause = min(max(2*b.pause, retryInterval), longest)
	if b.led {
		b.pause = 2 * longestIdlePause
	}
	for left := jitter(b.pause); left > 0 && ctx.Err() == nil; left -= retryInterval {
		sleep(ctx, min(left, retryInterval))
		if max(b.agent.storeHeard.Load(), b.agent.relayHeard.Load()) > failed {
			return
		}
	}
}

// follower returns the follower of a prefix, which outlives its watches.
func (a *Agent) follower(prefix string, apply func(*control, change)) *follower {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	f := a.followers[prefix]
	if f == nil {
		f = &follower{agent: a, prefix: prefix, items: map[string]metastore.Item{}, removed: map[string]uint64{}}
		a.followers[prefix] = f
	}
	f.apply = apply
	return f
}

// watch follows the prefix from a revision until it has to be listed again or the leader relays changes.
func (f *follower) watch(ctx context.Context, revision uint64, dep *dependency) {
	for ctx.Err() == nil && f.agent.watches(f.prefix) {
		events, next, err := f.agent.Store.Watch(ctx, f.prefix, revision, watchWait)
		if errors.Is(err, metastore.ErrCompacted) {
			f.agent.Log.Info("store: history is gone, listing again", zap.String("prefix", f.prefix),
				zap.Uint64("revision", revision))
			return
		}
		if dep.observe(err); err != nil {
			return // to list again, with pauses that grow while the store does not answer
		}
		f.agent.storeHeard.Store(boottime.Now().UnixNano())
		revision = next
		f.add(ctx, events, next)
		if len(events) > 0 {
			sleep(ctx, f.agent.spacing())
		}
	}
}

// spacing returns the time between two watches.
func (a *Agent) spacing() time.Duration {
	if a.isLeading() {
		return leaderWatchSpacing
	}
	return watchSpacing
}

// add takes over events up to a revision, without those that another host has relayed before.
func (f *follower) add(ctx context.Context, events []metastore.Event, revision uint64) {
	f.agent.followMu.Lock()
	events = slices.DeleteFunc(events, func(e metastore.Event) bool { return e.Revision <= f.revision })
	for _, e := range events {
		f.record(e)
	}
	apply := f.apply
	if len(events) > 0 {
		f.revision = max(f.revision, revision)
	}
	f.agent.followMu.Unlock()
	if len(events) > 0 {
		f.agent.post(ctx, func(c *control) { apply(c, change{events: events}) })
	}
}

// record takes over one event. The lock is held.
func (f *follower) record(e metastore.Event) {
	if e.Removed {
		delete(f.items, e.Key)
		f.removed[e.Key] = e.Revision
		return
	}
	f.items[e.Key] = e.Item
	delete(f.removed, e.Key)
}

// replace takes over the whole state of the prefix, unless a later one is known. A state that this host has listed itself
// counts even if it is the known one.
func (f *follower) replace(ctx context.Context, state PrefixState, listed bool) bool {
	f.agent.followMu.Lock()
	if state.Revision < f.revision || state.Revision == f.revision && !listed {
		f.agent.followMu.Unlock()
		return false
	}
	if f.revision == 0 {
		f.floor = state.Revision
	}
	old := f.items
	f.items = make(map[string]metastore.Item, len(state.Items))
	events := make([]metastore.Event, 0, len(state.Items))
	for _, item := range state.Items {
		f.items[item.Key] = item
		delete(f.removed, item.Key)
		events = append(events, metastore.Event{Item: item})
	}
	for key := range old {
		if _, still := f.items[key]; !still {
			f.removed[key] = state.Revision
		}
	}
	f.revision = state.Revision
	f.limitRemoved()
	apply := f.apply
	f.agent.followMu.Unlock()
	f.agent.post(ctx, func(c *control) { apply(c, change{whole: true, events: events}) })
	return true
}

// limitRemoved forgets removals when there are too many; hosts that have not seen them get the whole state. The lock is
// held.
func (f *follower) limitRemoved() {
	if len(f.removed) > maxRemoved {
		clear(f.removed)
		f.floor = f.revision
	}
}

// relayed takes over what another host has seen of the prefix.
func (f *follower) relayed(ctx context.Context, state PrefixState) bool {
	if state.Since == 0 {
		return f.replace(ctx, state, false)
	}
	f.agent.followMu.Lock()
	known := f.revision
	f.agent.followMu.Unlock()
	if known < state.Since || known >= state.Revision {
		return false
	}
	events := make([]metastore.Event, 0, len(state.Items)+len(state.Removed))
	for _, item := range state.Items {
		events = append(events, metastore.Event{Item: item})
	}
	for _, key := range state.Removed {
		events = append(events, metastore.Event{Item: metastore.Item{Key: key, Revision: state.Revision}, Removed: true})
	}
	f.add(ctx, events, state.Revision)
	return true
}

// followsStore reports whether this host has to follow the store itself. Hosts that are asked by the others do so first.
func (a *Agent) followsStore() bool {
	silence := relaySilence
	if a.isCandidate() {
		if a.leaderLost.Load() {
			return true
		}
		silence = candidateSilence
	}
	return a.isLeading() || since(&a.relayHeard) > silence
}

// watches reports whether this host has to follow a prefix of the store itself. The product's own keys tell who leads, so
// hosts without seeds follow them until a leader is known.
func (a *Agent) watches(of string) bool {
	return a.followsStore() || of == prefix && len(a.Seeds) == 0 && a.view.Load().leader == nil
}

// isCandidate reports whether this host is one of those that follow the store while there is no leader: the other hosts know
// it as one that can carry most, or from their settings.
func (a *Agent) isCandidate() bool {
	return a.IsSeed || slices.ContainsFunc(a.candidateHosts(), func(h Host) bool { return h.ID == a.Self.ID })
}

// candidateHosts returns the registered hosts that can carry most, without the last leader.
func (a *Agent) candidateHosts() []Host {
	hosts := a.view.Load().withoutLeader()
	return hosts[:min(candidates, len(hosts))]
}

// relaysFresh reports whether this host follows the store and has heard it lately.
func (a *Agent) relaysFresh() bool { return a.followsStore() && since(&a.storeHeard) < freshFor }

// jitter shortens a pause by up to half, so that hosts do not call the store at the same time.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2)
}

// since returns the time since a boot time in nanoseconds.
func since(at *atomic.Int64) time.Duration {
	return time.Duration(boottime.Now().UnixNano() - at.Load())
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

// newerThan returns what has changed in the prefixes since the revisions that another host knows.
func (a *Agent) newerThan(known map[string]uint64) map[string]PrefixState {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	newer := map[string]PrefixState{}
	for prefix, revision := range known {
		if f := a.followers[prefix]; f != nil && f.revision > revision {
			newer[prefix] = f.since(revision)
		}
	}
	return newer
}

// relay answers a host that knows the given revisions.
func (a *Agent) relay(known map[string]uint64) SyncReply {
	answer := SyncReply{Changes: a.newerThan(known), Fresh: a.relaysFresh()}
	if size(answer.Changes) > largeState {
		answer.Changes, answer.TooLarge = nil, true
	}
	return answer
}

// since returns what has changed since a revision, or everything if that is not known. The lock is held.
func (f *follower) since(revision uint64) PrefixState {
	state := PrefixState{Since: revision, Revision: f.revision}
	if revision < f.floor {
		state.Since = 0
	}
	for _, item := range f.items {
		if item.Revision > state.Since {
			state.Items = append(state.Items, item)
		}
	}
	for key, at := range f.removed {
		if state.Since > 0 && at > state.Since {
			state.Removed = append(state.Removed, key)
		}
	}
	return state
}

// adopt takes over what another host has seen of the store, as it answered to a question sent at the given time. Large
// changes are asked for separately.
func (a *Agent) adopt(ctx context.Context, from Host, sent time.Time, known map[string]uint64, answer SyncReply) {
	if answer.TooLarge {
		go a.fetch(ctx, from, known)
		return
	}
	if answer.Fresh {
		a.relayHeard.Store(sent.UnixNano())
	}
	a.takeOver(ctx, from.ID, answer.Changes)
}

func (a *Agent) takeOver(ctx context.Context, from model.HostID, newer map[string]PrefixState) {
	for prefix, state := range newer {
		a.followMu.Lock()
		f := a.followers[prefix]
		a.followMu.Unlock()
		if f != nil && f.relayed(ctx, state) {
			a.Log.Info("store: state relayed by another host", zap.String("from", string(from)),
				zap.String("prefix", prefix), zap.Uint64("revision", state.Revision))
		}
	}
}

func (a *Agent) isLeading() bool { return a.leadership() != nil }
