package relay

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

const (
	// MinPatchedBytes is the size of values from which on changes are sent as a Patch. A change of a configuration
	// usually concerns a few of its thousands of lines, and 300 hosts fetching a megabyte from one take more than the 3 s
	// in which a configuration has to be in force.
	MinPatchedBytes = 4 << 10
	// blockBytes is the size of the blocks by which equal parts are found.
	blockBytes = 32
	// hashFactor is the multiplier of the rolling hash, an odd number without structure.
	hashFactor = 0x9E3779B97F4A7C15
)

// errPatch means that a patch does not fit the known value, so that the value itself is needed.
var errPatch = errors.New("the patch does not fit the known value")

// Patch is a change of a large value. It is encoded as an array, so the order of its fields is the wire format.
type Patch struct {
	Item     metastore.Item // the new item without its value
	From     uint64         // revision of the item that the patch applies to
	Checksum uint64         // xxhash of the new value
	Edits    []byte
}

// NewPatch returns the change from one version of an item to the next.
func NewPatch(from, to metastore.Item) Patch {
	p := Patch{Item: to, From: from.Revision, Checksum: xxhash.Sum64(to.Value), Edits: diff(from.Value, to.Value)}
	p.Item.Value = nil
	return p
}

// Apply returns the new item. It fails if the known item is another one than that the patch was made from.
func (p Patch) Apply(known metastore.Item) (metastore.Item, error) {
	if known.Key != p.Item.Key || known.Revision != p.From {
		return metastore.Item{}, errPatch
	}
	value, err := applyEdits(known.Value, p.Edits)
	if err == nil && xxhash.Sum64(value) != p.Checksum {
		err = errPatch
	}
	item := p.Item
	item.Value = value
	return item, err
}

// diff returns edits that turn one value into another: for each, the number of new bytes, these bytes, and the offset and
// the length of a part of the old value, all numbers as uvarints. Equal parts are found by a rolling hash of the new
// value over the blocks of the old one, as in A. Tridgell, P. Mackerras, "The rsync algorithm", 1996.
func diff(old, next []byte) []byte {
	blocks := make(map[uint64]int, len(old)/blockBytes)
	for at := 0; at+blockBytes <= len(old); at += blockBytes {
		if h := hashBlock(old[at:]); blocks[h] == 0 {
			blocks[h] = at + 1 // zero means that there is no such block
		}
	}
	leaving := uint64(1) // factor of the byte that leaves the window
	for range blockBytes - 1 {
		leaving *= hashFactor
	}
	var edits []byte
	pending := 0 // start of the bytes of next that are not covered yet
	for at := 0; at+blockBytes <= len(next); {
		h := hashBlock(next[at:])
		for {
			if found := blocks[h]; found > 0 && bytes.Equal(old[found-1:found-1+blockBytes], next[at:at+blockBytes]) {
				break
			}
			if at+blockBytes >= len(next) {
				return appendEdit(edits, next[pending:], 0, 0)
			}
			h = (h-uint64(next[at])*leaving)*hashFactor + uint64(next[at+blockBytes])
			at++
		}
		from, length := blocks[h]-1, blockBytes
		for from > 0 && at > pending && old[from-1] == next[at-1] {
			from, at, length = from-1, at-1, length+1
		}
		for from+length < len(old) && at+length < len(next) && old[from+length] == next[at+length] {
			length++
		}
		edits = appendEdit(edits, next[pending:at], from, length)
		at += length
		pending = at
	}
	if pending < len(next) {
		edits = appendEdit(edits, next[pending:], 0, 0)
	}
	return edits
}

func hashBlock(b []byte) (h uint64) {
	for _, c := range b[:blockBytes] {
		h = h*hashFactor + uint64(c)
	}
	return h
}

func appendEdit(edits, literal []byte, from, length int) []byte {
	edits = append(binary.AppendUvarint(edits, uint64(len(literal))), literal...)
	return binary.AppendUvarint(binary.AppendUvarint(edits, uint64(from)), uint64(length))
}

// applyEdits applies the edits of diff. It fails if they are malformed or the result is too large.
func applyEdits(old, edits []byte) ([]byte, error) {
	var next []byte
	number := func() (uint64, bool) {
		n, size := binary.Uvarint(edits)
		if size <= 0 {
			return 0, false
		}
		edits = edits[size:]
		return n, true
	}
	for len(edits) > 0 {
		literal, ok := number()
		if !ok || literal > uint64(len(edits)) {
			return nil, errPatch
		}
		next = append(next, edits[:literal]...)
		edits = edits[literal:]
		from, ok := number()
		length, complete := number()
		if !ok || !complete || from > uint64(len(old)) || length > uint64(len(old))-from ||
			uint64(len(next))+length > maxDecompressedBytes {
			return nil, errPatch
		}
		next = append(next, old[from:from+length]...)
	}
	return next, nil
}
