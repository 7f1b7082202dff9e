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
	// largeState is the size in bytes from which changes are not sent with the answer to a report, which would be late on a
	// narrow link, but asked for separately. A configuration may have a megabyte.
	maxInlineBytes = 32 << 10
	// fetchTimeout bounds a request for large changes: a megabyte takes less than a second on the narrowest link, and hundreds
	// of hosts ask the leader at the same time.
	fetchTimeout = 4 * time.Second
	// mostState bounds what is unpacked, in bytes: every prefix with some megabytes.
	maxDecompressedBytes = 64 << 20
)

// bulk sends large changes to other hosts, compressed once for all of them.
type bulkTransfer struct {
	mu             sync.Mutex
	compressedFrom string // what the packed states were made from
	compressed     map[string][]byte

	fetching atomic.Bool // this host asks for large changes
	clients  *peerClients
}

// size returns the size of the values of changes in bytes.
func valueBytes(newer map[string]PrefixState) int {
	total := 0
	for _, state := range newer {
		for _, item := range state.Items {
			total += len(item.Value)
		}
	}
	return total
}

// pack returns the changes since the known revisions, compressed.
func (a *Agent) compressChanges(known map[string]uint64) ([]byte, error) {
	b := &a.bulkTransfer
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := fmt.Sprint(a.knownRevisions()); current != b.compressedFrom {
		b.compressedFrom, b.compressed = current, map[string][]byte{}
	}
	wanted := fmt.Sprint(known)
	if packed, made := b.compressed[wanted]; made {
		return packed, nil
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(w).Encode(a.changesSince(known)); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	b.compressed[wanted] = buffer.Bytes()
	return buffer.Bytes(), nil
}

func decompress(packed []byte) (newer map[string]PrefixState, err error) {
	r := flate.NewReader(bytes.NewReader(packed))
	err = msgpack.NewDecoder(io.LimitReader(r, maxDecompressedBytes)).Decode(&newer)
	return newer, err
}

// Fetch returns large changes since the known revisions.
func (p *Peer) Fetch(known map[string]uint64, packed *[]byte) (err error) {
	*packed, err = p.agent.compressChanges(known)
	return err
}

// fetch asks a host for large changes, unless this host is asking already.
func (a *Agent) fetchChanges(ctx context.Context, h Host, known map[string]uint64) {
	if a.bulkTransfer.fetching.Swap(true) {
		return
	}
	defer a.bulkTransfer.fetching.Store(false)
	var packed []byte
	err := a.bulkTransfer.clients.call(h, "Peer.Fetch", known, &packed, fetchTimeout)
	var newer map[string]PrefixState
	if err == nil {
		newer, err = decompress(packed)
	}
	if err != nil {
		a.Log.Warn("store: changes not relayed", zap.String("from", string(h.ID)), zap.Error(err))
		return
	}
	a.applyRelayed(ctx, h.ID, newer)
}
