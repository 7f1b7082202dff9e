package fleet

import (
	"context"
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/relay"
)

// registrationRelayDelay is the interval at which registrations of hosts are relayed. Hosts that report in between get the
// same changes, which are encoded once for all of them. Decisions and the leader are relayed at once.
const registrationRelayDelay = 100 * time.Millisecond

// maxEncodedInReply is the size of changed values above which they are not encoded for the reply to a report. Compressing a
// megabyte takes some 50 ms on a small host, and the other reports wait for it. The registrations of 800 hosts have 200 KB.
const maxEncodedInReply = 8 * maxInlineBytes

// relayRevision returns the revision up to which changes are relayed. Registrations wait for registrationRelayDelay. The
// caller holds followMu.
func (f *prefixFollower) relayRevision(now time.Time) uint64 {
	if f.relayUrgent || now.Sub(f.relayedAt) >= registrationRelayDelay {
		f.relayUrgent, f.relayedAt, f.relayed = false, now, f.revision
	}
	return f.relayed
}

// noteUrgent records that a change of a key has to be relayed at once. The caller holds followMu.
func (f *prefixFollower) noteUrgent(key string) {
	f.relayUrgent = f.relayUrgent || !strings.HasPrefix(key, hostPrefix)
}

// keepPrevious keeps the known version of a large item that is about to be replaced by another one. The caller holds
// followMu.
func (f *prefixFollower) keepPrevious(next metastore.Item) {
	known, exists := f.items[next.Key]
	if !exists || known.Revision >= next.Revision || len(known.Value) < relay.MinPatchedBytes {
		return
	}
	if f.previous == nil {
		f.previous = map[string]metastore.Item{}
	}
	f.previous[next.Key] = known
}

// patchable returns the version of an item that a host which has seen a revision knows, if other hosts can get a patch
// from it. The caller holds followMu.
func (f *prefixFollower) patchable(item metastore.Item, since uint64) (known metastore.Item, ok bool) {
	known, ok = f.previous[item.Key]
	return known, ok && len(item.Value) >= relay.MinPatchedBytes && since >= known.Revision && since < item.Revision
}

// lastChangeBefore returns a revision that stands for the given one: no change that is recorded lies between them, so
// that the changes since both are the same. The caller holds followMu.
func (f *prefixFollower) lastChangeBefore(revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	last := uint64(1) // zero would mean the complete state
	if revision >= f.compactedRevision {
		last = max(last, f.compactedRevision)
	}
	for _, item := range f.items {
		if item.Revision <= revision {
			last = max(last, item.Revision)
		}
	}
	for _, item := range f.previous {
		if item.Revision <= revision {
			last = max(last, item.Revision)
		}
	}
	for _, at := range f.removed {
		if at <= revision {
			last = max(last, at)
		}
	}
	return last
}

// delta returns the changes up to a revision.
func (f *prefixFollower) delta(kind relay.Kind, until uint64) relay.Delta {
	d, patched := f.deltaWithoutPatches(kind, until)
	for _, versions := range patched { // takes milliseconds, so not with the lock held
		d.Patches = append(d.Patches, relay.NewPatch(versions[0], versions[1]))
	}
	return d
}

// deltaWithoutPatches returns the changes up to a revision, and the versions of the items for which patches have to be
// added.
func (f *prefixFollower) deltaWithoutPatches(kind relay.Kind, until uint64) (d relay.Delta, patched [][2]metastore.Item) {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	since := kind.Since
	d = relay.Delta{Since: since, Revision: until, AllKeys: kind.AllKeys}
	for key, item := range f.items {
		if item.Revision > since && (item.Revision <= until || !strings.HasPrefix(key, hostPrefix)) {
			if known, ok := f.patchable(item, since); ok {
				patched = append(patched, [2]metastore.Item{known, item})
			} else {
				d.Items = append(d.Items, item)
			}
		}
		if d.AllKeys {
			d.Keys = append(d.Keys, key)
		}
	}
	for key, at := range f.removed {
		if since > 0 && at > since && at <= until {
			d.Removed = append(d.Removed, key)
		}
	}
	return d, patched
}

// applyDelta applies the changes relayed by another host. It reports false, and applies nothing, if they start after the
// known revision or contain nothing newer. It fails if a patch does not fit, so that the complete state is needed.
func (f *prefixFollower) applyDelta(ctx context.Context, d relay.Delta) (applied bool, err error) {
	if d.Since == 0 {
		return f.replaceState(ctx, PrefixState{Revision: d.Revision, Items: d.Items}, false), nil
	}
	f.agent.followMu.Lock()
	known := f.revision
	removed := append(slices.Clone(d.Removed), f.missingKeys(d)...)
	patchedItems := make([]metastore.Item, len(d.Patches))
	for i, p := range d.Patches {
		patchedItems[i] = f.items[p.Item.Key]
	}
	f.agent.followMu.Unlock()
	if known < d.Since || known >= d.Revision {
		return false, nil
	}
	events := make([]metastore.Event, 0, len(d.Items)+len(d.Patches)+len(removed))
	for _, item := range d.Items {
		events = append(events, metastore.Event{Item: item})
	}
	for i, p := range d.Patches {
		item := patchedItems[i]
		if item.Revision < p.Item.Revision { // otherwise this host has it already
			if item, err = p.Apply(item); err != nil {
				return false, err
			}
			events = append(events, metastore.Event{Item: item})
		}
	}
	for _, key := range removed {
		events = append(events, metastore.Event{Item: metastore.Item{Key: key, Revision: d.Revision}, Removed: true})
	}
	f.applyEvents(ctx, events, d.Revision)
	f.advance(d.Revision)
	return true, nil
}

// missingKeys returns the known keys that changes with all keys do not contain. The caller holds followMu.
func (f *prefixFollower) missingKeys(d relay.Delta) (missing []string) {
	if !d.AllKeys {
		return nil
	}
	exists := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		exists[key] = true
	}
	for key, item := range f.items {
		if !exists[key] && item.Revision <= d.Revision {
			missing = append(missing, key)
		}
	}
	return missing
}

// advance records that the state up to a revision is known, also if it contains no change that was new.
func (f *prefixFollower) advance(revision uint64) {
	f.agent.followMu.Lock()
	defer f.agent.followMu.Unlock()
	f.revision = max(f.revision, revision)
}

// relayedChanges returns the changes for a host that has seen the given revisions.
func (a *Agent) relayedChanges(since map[string]uint64) RelayedChanges {
	changes := RelayedChanges{Fresh: a.isFreshRelay()}
	for prefix, revision := range since {
		encoded, tooLarge, err := a.encodedDelta(prefix, revision, maxEncodedInReply)
		switch {
		case err != nil:
			a.Log.Error("store: changes cannot be encoded", zap.String("prefix", prefix), zap.Error(err))
		case tooLarge || len(encoded) > maxInlineBytes:
			changes.Large = append(changes.Large, prefix)
		case encoded != nil:
			if changes.Deltas == nil {
				changes.Deltas = map[string][]byte{}
			}
			changes.Deltas[prefix] = encoded
		}
	}
	return changes
}

// encodedDelta returns the encoded changes of a prefix since a revision, or nil if there are none. Values of more than
// maxBytes together are not encoded.
func (a *Agent) encodedDelta(prefix string, since uint64, maxBytes int) (encoded []byte, tooLarge bool, err error) {
	a.followMu.Lock()
	f := a.followers[prefix]
	if f == nil || f.revision <= since {
		a.followMu.Unlock()
		return nil, false, nil
	}
	until := f.relayRevision(boottime.Now())
	if until <= since {
		a.followMu.Unlock()
		return nil, false, nil
	}
	kind := relay.Kind{Since: f.lastChangeBefore(since), AllKeys: since > 0 && f.lacksRemovalsSince(since)}
	size := 0
	for _, item := range f.items {
		if _, patched := f.patchable(item, since); item.Revision > since && !patched {
			size += len(item.Value)
		}
	}
	a.followMu.Unlock()
	if size > maxBytes {
		return nil, true, nil
	}
	encoded, err = f.deltas.Get(kind, until, func() relay.Delta { return f.delta(kind, until) })
	return encoded, false, err
}

// FetchDelta returns the changes of a prefix that are too large for the reply to a report.
func (p *Peer) FetchDelta(r FetchDeltaRequest, encoded *[]byte) (err error) {
	*encoded, _, err = p.agent.encodedDelta(r.Prefix, r.Since, math.MaxInt)
	if err == nil && *encoded == nil {
		return errNothingNew
	}
	return err
}

// errNothingNew means that the host has seen all changes.
var errNothingNew = errors.New("there are no such changes")
