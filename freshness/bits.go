package freshness

import (
	"encoding/binary"
	"math/bits"
)

// bitmap is a set of hosts, indexed by their position in the roster.
type bitmap []byte

const (
	encodingRaw    = 0 // followed by the bitmap itself
	encodingSparse = 1 // followed by the distances between set bits as varints
)

func newBitmap(hosts int) bitmap { return make(bitmap, (hosts+7)/8) }

func (b bitmap) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitmap) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// merge adds the hosts of the other set and reports whether any of them is new.
func (b bitmap) merge(other bitmap) bool {
	grown := false
	for i := range min(len(b), len(other)) {
		merged := b[i] | other[i]
		grown = grown || merged != b[i]
		b[i] = merged
	}
	return grown
}

func (b bitmap) count() int {
	sum := 0
	for _, octet := range b {
		sum += bits.OnesCount8(octet)
	}
	return sum
}

// encode returns the shorter of the raw and the sparse form. Most hosts of the relay tree are leaves, whose set
// contains only themselves.
func (b bitmap) encode() []byte {
	sparse := []byte{encodingSparse}
	previous := 0
	for i := range len(b) * 8 {
		if b.has(i) {
			sparse = binary.AppendUvarint(sparse, uint64(i-previous))
			previous = i
		}
		if len(sparse) > len(b) {
			return append([]byte{encodingRaw}, b...)
		}
	}
	return sparse
}

// decodeBitmap parses an encoded set of hosts. It returns false for a set that does not fit a roster of this size.
func decodeBitmap(data []byte, hosts int) (bitmap, bool) {
	b := newBitmap(hosts)
	if len(data) == 0 {
		return nil, false
	}
	switch data[0] {
	case encodingRaw:
		if len(data)-1 != len(b) {
			return nil, false
		}
		copy(b, data[1:])
		for i := hosts; i < len(b)*8; i++ {
			if b.has(i) {
				return nil, false
			}
		}
		return b, true
	case encodingSparse:
		return b, decodeSparse(b, data[1:], hosts)
	}
	return nil, false
}

func decodeSparse(b bitmap, data []byte, hosts int) bool {
	index := uint64(0)
	for len(data) > 0 {
		distance, n := binary.Uvarint(data)
		if n <= 0 || distance >= uint64(hosts) || index+distance >= uint64(hosts) {
			return false
		}
		index += distance
		b.set(int(index))
		data = data[n:]
	}
	return true
}
