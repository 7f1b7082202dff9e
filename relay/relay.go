// Package relay encodes the changes of a key prefix of the metadata store that one host sends to many others. Its load is
// the start of a fleet: each of hundreds of hosts needs the registrations of all others, and each of them has seen
// another state. The changes are compressed, and encoded once for all hosts that need the same ones.
package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/guard"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

const (
	// minCompressedBytes is the size of encoded changes from which on they are compressed.
	minCompressedBytes = 600
	// maxCached bounds the encoded changes that a Cache keeps. Hosts have seen few different states.
	maxCached = 8
	// maxDecompressedBytes bounds the decompressed changes of a prefix. A configuration has a megabyte at most.
	maxDecompressedBytes = 64 << 20
)

// Formats of an encoded Delta, in its first byte.
const (
	plainFormat      = 0
	compressedFormat = 1
)

// errFormat means that a host has sent changes in a format that this version does not know.
var errFormat = errors.New("unknown format of changes")

// Delta holds the changes under a prefix between two revisions. It is encoded as an array, so the order of its fields is
// the wire format.
type Delta struct {
	Since    uint64 // 0 if Items is the complete state of the prefix
	Revision uint64
	Items    []metastore.Item
	Removed  []string
	// Keys holds all keys of the prefix if the sending host does not know which were removed since. Their unchanged values, of
	// which a configuration may have a megabyte, are not sent again.
	Keys    []string
	AllKeys bool // Keys is set
	Patches []Patch
}

// Kind tells the changes up to one revision apart.
type Kind struct {
	Since   uint64
	AllKeys bool
}

// Cache holds the encoded changes of one prefix up to one revision. It is safe for concurrent use.
type Cache struct {
	mu       sync.Mutex
	revision uint64
	encoded  map[Kind][]byte
}

// Get returns the encoded changes of a kind up to a revision. It calls build, with the cache locked, if it does not hold
// them.
func (c *Cache) Get(kind Kind, revision uint64, build func() Delta) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != revision || len(c.encoded) >= maxCached {
		c.revision, c.encoded = revision, map[Kind][]byte{}
	}
	if encoded := c.encoded[kind]; encoded != nil {
		return encoded, nil
	}
	encoded, err := Encode(build())
	if err == nil {
		c.encoded[kind] = encoded
	}
	return encoded, err
}

// compressors holds compressors that are not in use. Each has about a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("relay: creating a compressor: " + err.Error()) // the level is a valid constant
	}
	return w
}}

// Encode encodes changes.
func Encode(d Delta) ([]byte, error) {
	var plain bytes.Buffer
	plain.WriteByte(plainFormat)
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
	buffer.WriteByte(compressedFormat)
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

// Decode decodes changes from another host.
func Decode(encoded []byte) (d Delta, err error) {
	var r io.Reader
	switch {
	case len(encoded) > 0 && encoded[0] == plainFormat:
		r = bytes.NewReader(encoded[1:])
	case len(encoded) > 0 && encoded[0] == compressedFormat:
		r = io.LimitReader(flate.NewReader(bytes.NewReader(encoded[1:])), maxDecompressedBytes)
	default:
		return d, errFormat
	}
	err = guard.Decode(func() error { return msgpack.NewDecoder(r).Decode(&d) })
	return d, err
}
