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
	"github.com/waxwingspindle/waxwingspindle/relay"
)

const (
	// watchTimeout is the maximum duration of a watch call. A watch may miss changes without an error when the store
	// drops its history; the next one reports the gap.
	watchTimeout = 800 * time.Millisecond
	// relayFreshness is the time after the last reply of the store for which a host marks its relayed state as fresh.
	// It is longer than a watch.
	relayFreshness = 1100 * time.Millisecond
	// prefixFreshness is the same for the last reply of the store for each prefix. It allows for one slow reply.
	prefixFreshness = 1500 * time.Millisecond
	// relayTimeout is the time without a fresh relayed reply after which a host follows the store itself. Together
	// with prefixFreshness it leaves 0.7 of the three seconds in which a configuration has to be in force.
	relayTimeout = 800 * time.Millisecond
	// storeReturnGrace is the time that candidates have to relay the state of a store that answers again.
	storeReturnGrace = 300 * time.Millisecond
	// candidateRelayTimeout is the shorter timeout of candidates, which must be ready before other hosts need them.
	candidateRelayTimeout = 400 * time.Millisecond
	// candidateSyncDelay is the time without a fresh relayed reply after which a host syncs with a candidate.
	candidateSyncDelay = 2 * reportInterval
	// maxRemoved bounds the recorded removals. Hosts and targets come and go some hundred times a day.
	maxRemoved = 1000
	// maxGaps bounds the recorded gaps between lists. A prefix is listed again after outages and changes of the leader.
	maxGaps = 20
	// maxCandidates is the number of hosts that follow the store while there is no leader; the others sync with them.
	maxCandidates = 3
	// maxBackoff is the maximum delay between attempts at an unresponsive store, for the hosts that query it on
	// behalf of the others. The store charges every call, including refused ones, and hosts may take some seconds to
	// resume after the store's return.
	maxBackoff = 750 * time.Millisecond
	// maxIdleBackoff is the maximum delay of the other hosts, which ends early when a relaying host reaches the store
	// again.
	maxIdleBackoff = 3 * time.Second
	// hostWatchSpacing is the delay between the reply of a watch and the next watch on a host that is not the leader.
	// A starting fleet registers all hosts within half a second, and each registration would end the watches of all
	// hosts.
	hostWatchSpacing = 100 * time.Millisecond
	// leaderWatchSpacing is the shorter delay of the leader, which relays the changes to the others.
	leaderWatchSpacing = 20 * time.Millisecond
	// relayCheckInterval is the interval at which a host checks whether the leader still relays.
	relayCheckInterval = 50 * time.Millisecond
)

// prefixChange is an update of a watched prefix: either its complete state or the events since the last update.
type prefixChange struct {
	complete bool
	revision uint64 // of a complete state
	events   []metastore.Event
}

// lastRevision returns the highest revision of the change.
func (p prefixChange) lastRevision() uint64 {
	last := p.revision
	for _, e := range p.events {
		last = max(last, e.Revision)
	}
	return last
}

// prefixFollower maintains a copy of one key prefix of the store. Its fields are guarded by the agent's followMu.
type prefixFollower struct {
	agent  *Agent
	prefix string
	apply  func(*control, prefixChange)

	items             map[string]metastore.Item
	previous          map[string]metastore.Item // last versions of large items, from which other hosts get patches
	removed           map[string]uint64         // keys with the revision at which their removal was observed
	compactedRevision uint64                    // removals before this revision are not recorded
	gaps              []revisionGap             // between states that were listed; keys that existed only within are not known
	revision          uint64                    // revision of the last observed change
	lastStoreReply    time.Time                 // time of the last reply of the store to a call for this prefix

	relayed     uint64    // revision up to which changes are relayed
	relayedAt   time.Time // when it was set
	relayUrgent bool      // there are changes that must not wait
	deltas      relay.Cache
}

// recordStoreReply records that the store has answered a list or a watch of the prefix.
func (f *prefixFollower) recordStoreReply() {
	now := boottime.Now()
	f.agent.lastStoreReply.Store(now.UnixNano())
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	f.lastStoreReply = now
}

// revisionGap is the range between two states of a prefix, exclusive.
type revisionGap struct{ from, to uint64 }

// PrefixState holds the changes under a prefix between two revisions.
type PrefixState struct {
	Since    uint64 // 0 if Items is the complete state of the prefix
	Revision uint64
	Items    []metastore.Item
	Removed  []string
}

// follow keeps the copy of a prefix up to date. While this host leads or cannot reach the leader, it lists and
// watches the prefix in the store. Otherwise the leader relays the changes, so that the number of store calls does
// not grow with the number of hosts.
func (a *Agent) follow(ctx context.Context, prefix string, apply func(*control, prefixChange)) {
	f := a.follower(prefix, apply)
	dep := dependencyLogger{log: a.Log, name: "store watch of " + prefix}
	attempts := backoff{agent: a, passive: prefix != a.configurationPrefix()}
	list := a.Store.ListStale // the following watch returns the changes since the stale list
	for ctx.Err() == nil {
		items, revision, err := listWithTimeout(ctx, prefix, list)
		if dep.observe(err); err != nil {
			attempts.wait(ctx)
		} else {
			attempts.reset()
			list = a.Store.List // a stale list may precede the oldest revision in the store's history
			f.recordStoreReply()
			f.replaceState(ctx, PrefixState{Revision: revision, Items: items}, true)
			f.watch(ctx, revision, &dep)
		}
		for ctx.Err() == nil && !a.watchesPrefix(prefix) {
			sleep(ctx, relayCheckInterval)
		}
	}
}

// backoff delays attempts at an unresponsive store exponentially. The delay ends early when another call of this host
// succeeds, or when another host relays a fresh state. The renewals of a registered host, which cost a tenth of a list, are
// attempts enough, unless other hosts depend on what this one learns.
type backoff struct {
	agent   *Agent
	pause   time.Duration
	passive bool // another follower of this host already probes the store often enough
}

func (b *backoff) reset() { b.pause = 0 }

// wait sleeps before the next attempt.
func (b *backoff) wait(ctx context.Context) {
	failed := boottime.Now().UnixNano()
	limit := maxIdleBackoff
	if b.agent.isLeading() || b.agent.isCandidate() {
		limit = maxBackoff
	}
	b.pause = min(max(2*b.pause, retryInterval), limit)
	if b.passive || limit == maxIdleBackoff && b.agent.renewing.Load() {
		b.pause = 2 * maxIdleBackoff
	}
	for remaining := jitter(b.pause); remaining > 0 && ctx.Err() == nil; remaining -= retryInterval {
		sleep(ctx, min(remaining, retryInterval))
		if max(b.agent.lastStoreReply.Load(), b.agent.lastRenewal.Load(), b.agent.lastRelay.Load()) > failed {
			return
		}
	}
}

// follower returns the follower of a prefix, creating it if needed. It outlives individual watches.
func (a *Agent) follower(prefix string, apply func(*control, prefixChange)) *prefixFollower {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	f := a.followers[prefix]
	if f == nil {
		f = &prefixFollower{agent: a, prefix: prefix, items: map[string]metastore.Item{}, removed: map[string]uint64{}}
		a.followers[prefix] = f
	}
	f.apply = apply
	return f
}

// watch applies events from the given revision on, until the prefix has to be listed again or the leader relays
// changes.
func (f *prefixFollower) watch(ctx context.Context, revision uint64, dep *dependencyLogger) {
	for ctx.Err() == nil && f.agent.watchesPrefix(f.prefix) {
		events, next, err := f.agent.Store.Watch(ctx, f.prefix, revision, watchTimeout)
		if errors.Is(err, metastore.ErrCompacted) {
			f.agent.Log.Info("store: history compacted, listing again", zap.String("prefix", f.prefix),
				zap.Uint64("revision", revision))
			return
		}
		if dep.observe(err); err != nil {
			return // list again, with increasing delays while the store does not answer
		}
		f.recordStoreReply()
		revision = next
		f.applyEvents(ctx, events, next)
		if len(events) > 0 {
			sleep(ctx, f.agent.watchSpacing())
		}
	}
}

// watchSpacing returns the delay between two watches.
func (a *Agent) watchSpacing() time.Duration {
	if a.isLeading() {
		return leaderWatchSpacing
	}
	return hostWatchSpacing
}

// applyEvents applies events up to a revision, skipping those already relayed by another host.
func (f *prefixFollower) applyEvents(ctx context.Context, events []metastore.Event, revision uint64) {
	f.agent.followMu.Lock()
	events = slices.DeleteFunc(events, func(e metastore.Event) bool { return e.Revision <= f.revision })
	for _, e := range events {
		f.recordEvent(e)
	}
	apply := f.apply
	if len(events) > 0 {
		f.revision = max(f.revision, revision)
		f.agent.observeEra(f.prefix, revision)
	}
	f.agent.followMu.Unlock()
	if len(events) > 0 {
		f.agent.post(ctx, func(c *control) { apply(c, prefixChange{events: events}) })
	}
}

// mergeItems applies items that this host has listed under a part of the prefix. The revision stays as it is, because other
// keys may have changed before.
func (f *prefixFollower) mergeItems(ctx context.Context, items []metastore.Item) {
	var events []metastore.Event
	f.agent.followMu.Lock()
	for _, item := range items {
		if item.Revision > f.items[item.Key].Revision {
			events = append(events, metastore.Event{Item: item})
			f.recordEvent(metastore.Event{Item: item})
		}
	}
	apply := f.apply
	f.agent.followMu.Unlock()
	if len(events) > 0 {
		f.agent.post(ctx, func(c *control) { apply(c, prefixChange{events: events}) })
	}
}

// recordEvent updates items and removed with one event. The caller holds followMu.
func (f *prefixFollower) recordEvent(e metastore.Event) {
	f.noteUrgent(e.Key)
	if e.Removed {
		delete(f.items, e.Key)
		f.removed[e.Key] = e.Revision
		return
	}
	f.keepPrevious(e.Item)
	f.items[e.Key] = e.Item
	delete(f.removed, e.Key)
}

// replaceState replaces the complete state of the prefix, unless a later one is known. A state that this host has
// listed itself is applied even if its revision is already known. It reports whether the state was applied.
func (f *prefixFollower) replaceState(ctx context.Context, state PrefixState, listed bool) bool {
	f.agent.followMu.Lock()
	if state.Revision < f.revision || state.Revision == f.revision && !listed {
		f.agent.followMu.Unlock()
		return false
	}
	if f.revision == 0 {
		f.compactedRevision = state.Revision
	} else if f.revision+1 < state.Revision {
		f.gaps = append(f.gaps, revisionGap{f.revision, state.Revision})
	}
	for _, item := range state.Items {
		f.keepPrevious(item)
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
		if _, exists := f.items[key]; !exists {
			f.removed[key] = state.Revision
		}
	}
	f.revision = state.Revision
	f.agent.observeEra(f.prefix, state.Revision)
	f.relayUrgent = true
	f.compactRemovals()
	apply := f.apply
	f.agent.followMu.Unlock()
	f.agent.post(ctx, func(c *control) { apply(c, prefixChange{complete: true, revision: state.Revision, events: events}) })
	return true
}

// lacksRemovalsSince reports whether not all removals since a revision are known: they were dropped, or the host has seen
// a state between two lists of this one, with keys that were removed before the second. The caller holds followMu.
func (f *prefixFollower) lacksRemovalsSince(revision uint64) bool {
	return revision < f.compactedRevision || slices.ContainsFunc(f.gaps, func(g revisionGap) bool {
		return g.from < revision && revision < g.to
	})
}

// compactRemovals drops the recorded removals when there are too many. Hosts that have not seen them receive the
// complete state. The caller holds followMu.
func (f *prefixFollower) compactRemovals() {
	if len(f.removed) > maxRemoved || len(f.gaps) > maxGaps {
		clear(f.removed)
		f.gaps, f.compactedRevision = nil, f.revision
	}
}

// applyRelayed applies the changes relayed by another host. It reports false, and applies nothing, if they start after
// the known revision or contain nothing newer.
func (f *prefixFollower) applyRelayed(ctx context.Context, state PrefixState) bool {
	if state.Since == 0 {
		return f.replaceState(ctx, state, false)
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
	f.applyEvents(ctx, events, state.Revision)
	return true
}

// followsStore reports whether this host has to follow the store itself. Candidates do so earlier than other hosts. The
// others do so once their own renewals succeed while no fresh state is relayed: a store that answers nobody would otherwise
// be called by every host, and all of them would list it at its return.
func (a *Agent) followsStore() bool {
	stale := elapsedSince(&a.lastRelay)
	switch {
	case a.isLeading():
		return true
	case a.isCandidate():
		return a.leaderUnreachable.Load() || stale > candidateRelayTimeout
	case !a.renewing.Load():
		return stale > relayTimeout
	}
	reachable := a.storeReachableSince.Load()
	return stale > relayTimeout && reachable > a.lastRelay.Load() &&
		boottime.Now().UnixNano()-reachable > storeReturnGrace.Nanoseconds()
}

// watchesPrefix reports whether this host has to follow a prefix of the store itself. The control keys include the
// leader, so hosts without seeds follow them until a leader is known.
func (a *Agent) watchesPrefix(prefix string) bool {
	return a.followsStore() || prefix == controlPrefix && len(a.Seeds) == 0 && a.view.Load().leader == nil
}

// isCandidate reports whether this host follows the store while there is no leader: it is one of the hosts of highest
// capacity, or a seed in the settings of the other hosts.
func (a *Agent) isCandidate() bool {
	return a.IsSeed || slices.ContainsFunc(a.candidateHosts(), func(h Host) bool { return h.ID == a.Self.ID })
}

// candidateHosts returns the registered hosts of highest capacity, excluding the last leader.
func (a *Agent) candidateHosts() []Host {
	v := a.view.Load()
	return v.largestHostsExcept(v.lastLeader(), maxCandidates)
}

// isFreshRelay reports whether this host follows the store and has recently received a reply for each prefix. The store may
// answer the watches of some prefixes, on connections that are open, and refuse new calls for the others.
func (a *Agent) isFreshRelay() bool {
	if !a.followsStore() || elapsedSince(&a.lastStoreReply) >= relayFreshness {
		return false
	}
	a.followMu.Lock()
	defer a.followMu.Unlock()
	now := boottime.Now()
	for _, f := range a.followers {
		if now.Sub(f.lastStoreReply) >= prefixFreshness {
			return false
		}
	}
	return true
}

// jitter shortens a delay by up to half, so that hosts do not call the store at the same time.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2)
}

// elapsedSince returns the time since a boot time in nanoseconds.
func elapsedSince(at *atomic.Int64) time.Duration {
	return time.Duration(boottime.Now().UnixNano() - at.Load())
}

// knownRevisions returns the revisions of the last observed changes by prefix.
func (a *Agent) knownRevisions() map[string]uint64 {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	revisions := make(map[string]uint64, len(a.followers))
	for prefix, f := range a.followers {
		revisions[prefix] = f.revision
	}
	a.addConfigurationRevision(revisions)
	return revisions
}

// changesSince returns the changes of the given prefixes since the given revisions.
func (a *Agent) changesSince(since map[string]uint64) map[string]PrefixState {
	a.followMu.Lock()
	defer a.followMu.Unlock()
	changes := map[string]PrefixState{}
	for prefix, revision := range since {
		if _, complete := since[a.configurationPrefix()]; prefix == a.Decoders.ConfigurationKey && !complete {
			if state, changed := a.configurationChange(revision); changed {
				changes[prefix] = state
			}
		} else if f := a.followers[prefix]; f != nil && f.revision > revision {
			changes[prefix] = f.changesSince(revision)
		}
	}
	return changes
}

// syncReply builds the reply to a host that has seen the given revisions.
func (a *Agent) syncReply(since map[string]uint64) SyncReply {
	reply := SyncReply{Changes: a.changesSince(since), Fresh: a.isFreshRelay()}
	if valueBytes(reply.Changes) > maxInlineBytes {
		reply.Changes, reply.TooLarge = nil, true
	}
	return reply
}

// changesSince returns the changes since a revision, or the complete state if removals since then are not recorded.
// The caller holds followMu.
func (f *prefixFollower) changesSince(revision uint64) PrefixState {
	state := PrefixState{Since: revision, Revision: f.revision}
	if f.lacksRemovalsSince(revision) {
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

// applySyncReply applies the reply to a sync request sent at the given time. Large changes are fetched separately.
func (a *Agent) applySyncReply(ctx context.Context, from Host, sent time.Time, since map[string]uint64,
	reply SyncReply) {
	if reply.TooLarge {
		go a.fetchChanges(ctx, from, since)
		return
	}
	if reply.Fresh {
		a.lastRelay.Store(sent.UnixNano())
	}
	a.applyRelayed(ctx, from.ID, reply.Changes)
}

func (a *Agent) applyRelayed(ctx context.Context, from model.HostID, changes map[string]PrefixState) {
	for prefix, state := range changes {
		if prefix == a.Decoders.ConfigurationKey && a.evacuates() {
			a.applyRelayedConfiguration(ctx, state)
			continue
		}
		a.followMu.Lock()
		f := a.followers[prefix]
		a.followMu.Unlock()
		if f != nil && f.applyRelayed(ctx, state) {
			a.Log.Info("store: relayed changes applied", zap.String("from", string(from)),
				zap.String("prefix", prefix), zap.Uint64("revision", state.Revision))
		}
	}
}

func (a *Agent) isLeading() bool { return a.leadership() != nil }
