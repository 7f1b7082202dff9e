package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/guard"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

const (
	// registrationRelayDelay is the interval at which registrations of hosts are relayed. Hosts that report in between get the
	// same changes, which are encoded once for all of them. Decisions and the leader are relayed at once.
	registrationRelayDelay = 100 * time.Millisecond
	// minCompressedBytes is the size of encoded changes from which on they are compressed.
	minCompressedBytes = 600
	// maxCachedDeltas bounds the encoded changes of one prefix that are kept. Hosts have seen few different states.
	maxCachedDeltas = 8
)

// Formats of an encoded prefixDelta, in its first byte.
const (
	plainDelta      = 0
	compressedDelta = 1
)

// errDeltaFormat means that a host has sent changes in a format that this version does not know.
var errDeltaFormat = errors.New("unknown format of changes")

// prefixDelta holds the changes under a prefix between two revisions. It is encoded as an array, so the order of its fields is the
// wire format.
type prefixDelta struct {
	Since    uint64 // 0 if Items is the complete state of the prefix
	Revision uint64
	Items    []metastore.Item
	Removed  []string
	// Keys holds all keys of the prefix if the replying host does not know which were removed since. Their unchanged values, of
	// which a configuration may have a megabyte, are not sent again.
	Keys    []string
	AllKeys bool // Keys is set
}

// deltaCache holds the encoded changes of one prefix up to one revision.
type deltaCache struct {
	mu       sync.Mutex
	revision uint64
	encoded  map[deltaKind][]byte
}

// deltaKind tells changes up to the same revision apart.
type deltaKind struct {
	since   uint64
	allKeys bool
}

// relayRevision returns the revision up to which changes are relayed. Registrations wait for registrationRelayDelay. The caller
// holds followMu.
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

// lastChangeBefore returns a revision that stands for the given one: no change that is recorded lies between them, so that the
// changes since both are the same. The caller holds followMu.
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
	for _, at := range f.removed {
		if at <= revision {
			last = max(last, at)
		}
	}
	return last
}

// delta returns the changes up to a revision. The caller holds followMu.
func (f *prefixFollower) delta(kind deltaKind, until uint64) prefixDelta {
	since := kind.since
	d := prefixDelta{Since: since, Revision: until, AllKeys: kind.allKeys}
	for key, item := range f.items {
		if item.Revision > since && (item.Revision <= until || !strings.HasPrefix(key, hostPrefix)) {
			d.Items = append(d.Items, item)
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
	return d
}

// applyDelta applies the changes relayed by another host. It reports false, and applies nothing, if they start after the known
// revision or contain nothing newer.
func (f *prefixFollower) applyDelta(ctx context.Context, d prefixDelta) bool {
	if d.Since == 0 {
		return f.replaceState(ctx, PrefixState{Revision: d.Revision, Items: d.Items}, false)
	}
	removed := d.Removed
	f.agent.followMu.Lock()
	known := f.revision
	if d.AllKeys {
		exists := make(map[string]bool, len(d.Keys))
		for _, key := range d.Keys {
			exists[key] = true
		}
		for key, item := range f.items {
			if !exists[key] && item.Revision <= d.Revision {
				removed = append(removed, key)
			}
		}
	}
	f.agent.followMu.Unlock()
	if known < d.Since || known >= d.Revision {
		return false
	}
	events := make([]metastore.Event, 0, len(d.Items)+len(removed))
	for _, item := range d.Items {
		events = append(events, metastore.Event{Item: item})
	}
	for _, key := range removed {
		events = append(events, metastore.Event{Item: metastore.Item{Key: key, Revision: d.Revision}, Removed: true})
	}
	f.applyEvents(ctx, events, d.Revision)
	f.advance(d.Revision)
	return true
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
		encoded, err := a.encodedDelta(prefix, revision)
		switch {
		case err != nil:
			a.Log.Error("store: changes cannot be encoded", zap.String("prefix", prefix), zap.Error(err))
		case len(encoded) > maxInlineBytes:
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

// encodedDelta returns the encoded changes of a prefix since a revision, or nil if there are none.
func (a *Agent) encodedDelta(prefix string, since uint64) ([]byte, error) {
	a.followMu.Lock()
	f := a.followers[prefix]
	if f == nil || f.revision <= since {
		a.followMu.Unlock()
		return nil, nil
	}
	until := f.relayRevision(boottime.Now())
	if until <= since {
		a.followMu.Unlock()
		return nil, nil
	}
	kind := deltaKind{f.lastChangeBefore(since), since > 0 && f.lacksRemovalsSince(since)}
	a.followMu.Unlock()
	cache := &f.deltas
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.revision != until || len(cache.encoded) >= maxCachedDeltas {
		cache.revision, cache.encoded = until, map[deltaKind][]byte{}
	}
	if encoded := cache.encoded[kind]; encoded != nil {
		return encoded, nil
	}
	a.followMu.Lock()
	d := f.delta(kind, until)
	a.followMu.Unlock()
	encoded, err := encodeDelta(d)
	if err == nil {
		cache.encoded[kind] = encoded
	}
	return encoded, err
}

// FetchDelta returns the changes of a prefix that are too large for the reply to a report.
func (p *Peer) FetchDelta(r FetchDeltaRequest, encoded *[]byte) (err error) {
	*encoded, err = p.agent.encodedDelta(r.Prefix, r.Since)
	if err == nil && *encoded == nil {
		return errNothingNew
	}
	return err
}

// errNothingNew means that the host has seen all changes.
var errNothingNew = errors.New("there are no such changes")

// compressors holds compressors that are not in use. Each has about a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("fleet: creating a compressor: " + err.Error()) // the level is a valid constant
	}
	return w
}}

func encodeDelta(d prefixDelta) ([]byte, error) {
	var plain bytes.Buffer
	plain.WriteByte(plainDelta)
	encoder := msgpack.NewEncoder(&plain)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(d); err != nil {
		return nil, err
	}
	if plain.Len() < minCompressedBytes {
		return plain.Bytes(), nil
	}
	var buffer bytes.Buffer
	buffer.WriteByte(compressedDelta)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(plain.Bytes()[1:]); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(buffer.Bytes()), nil // without the spare capacity, because it is kept
}

func decodeDelta(encoded []byte) (d prefixDelta, err error) {
	var r io.Reader
	switch {
	case len(encoded) > 0 && encoded[0] == plainDelta:
		r = bytes.NewReader(encoded[1:])
	case len(encoded) > 0 && encoded[0] == compressedDelta:
		r = io.LimitReader(flate.NewReader(bytes.NewReader(encoded[1:])), maxDecompressedBytes)
	default:
		return d, errDeltaFormat
	}
	err = guard.Decode(func() error { return msgpack.NewDecoder(r).Decode(&d) })
	return d, err
}
