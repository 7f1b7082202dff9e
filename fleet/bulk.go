package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	// maxInlineBytes is the size above which changes are not sent inline in the reply to a report, which would be
	// late on a narrow link, but fetched separately. A configuration may have a megabyte.
	maxInlineBytes = 32 << 10
	// fetchTimeout bounds the transfer of large changes: a megabyte takes less than a second on the narrowest link,
	// and hundreds of hosts may fetch from the leader at the same time.
	fetchTimeout = 4 * time.Second
	// maxDecompressedBytes bounds the decompressed changes: every prefix with some megabytes. The smallest host has 184 MB.
	maxDecompressedBytes = 16 << 20
	// maxCompressedSets bounds the sets of changes that are kept. Hosts that follow each other ask for few different ones.
	maxCompressedSets = 16
)

// bulkTransfer sends large changes to other hosts. Each set of changes is compressed once and reused for all of them.
type bulkTransfer struct {
	mu             sync.Mutex
	compressedFrom string // revisions that the cached data was made from
	compressed     map[string][]byte

	fetching atomic.Bool // a fetch by this host is in progress
	clients  *peerClients
}

// valueBytes returns the total size of the changed values.
func valueBytes(changes map[string]PrefixState) int {
	total := 0
	for _, state := range changes {
		for _, item := range state.Items {
			total += len(item.Value)
		}
	}
	return total
}

// compressChanges returns the changes since the given revisions in compressed form.
func (a *Agent) compressChanges(since map[string]uint64) ([]byte, error) {
	b := &a.bulkTransfer
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := fmt.Sprint(a.knownRevisions()); current != b.compressedFrom {
		b.compressedFrom, b.compressed = current, map[string][]byte{}
	}
	wanted := fmt.Sprint(since)
	if compressed, cached := b.compressed[wanted]; cached {
		return compressed, nil
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(w).Encode(a.changesSince(since)); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if len(b.compressed) >= maxCompressedSets {
		clear(b.compressed)
	}
	b.compressed[wanted] = buffer.Bytes()
	return buffer.Bytes(), nil
}

func decompress(compressed []byte) (changes map[string]PrefixState, err error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	err = msgpack.NewDecoder(io.LimitReader(r, maxDecompressedBytes)).Decode(&changes)
	return changes, err
}

// Fetch returns large changes since the given revisions.
func (p *Peer) Fetch(since map[string]uint64, compressed *[]byte) (err error) {
	*compressed, err = p.agent.compressChanges(since)
	return err
}

// fetchChanges fetches large changes from a host, unless a fetch is already in progress.
func (a *Agent) fetchChanges(ctx context.Context, h Host, since map[string]uint64) {
	if a.bulkTransfer.fetching.Swap(true) {
		return
	}
	defer a.bulkTransfer.fetching.Store(false)
	var compressed []byte
	err := a.bulkTransfer.clients.call(h, "Peer.Fetch", since, &compressed, fetchTimeout)
	var changes map[string]PrefixState
	if err == nil {
		changes, err = decompress(compressed)
	}
	if err != nil {
		a.Log.Warn("store: fetching changes failed", zap.String("from", string(h.ID)), zap.Error(err))
		return
	}
	a.applyRelayed(ctx, h.ID, changes)
}
