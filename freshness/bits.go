package freshness

import (
	"encoding/binary"
	"math/bits"
)

// bitmap is a set of hosts, indexed by their place in the roster.
type bitmap []byte

const (
	packRaw    = 0 // the bitmap itself follows
	packSparse = 1 // the distances between set bits follow as varints
)

func newBitmap(hosts int) bitmap { return make(bitmap, (hosts+7)/8) }

func (b bitmap) set(i int) { b[i/8] |= 1 << (i % 8) }

func (b bitmap) has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// merge adds the hosts of the other set and reports whether any of them was new.
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

// pack returns the shorter of the raw and the sparse form. Most hosts of the tree are leaves and state only themselves.
func (b bitmap) pack() []byte {
	sparse := []byte{packSparse}
	previous := 0
	for i := range len(b) * 8 {
		if b.has(i) {
			sparse = binary.AppendUvarint(sparse, uint64(i-previous))
			previous = i
		}
		if len(sparse) > len(b) {
			return append([]byte{packRaw}, b...)
		}
	}
	return sparse
}

// unpack parses a packed set of hosts of a roster. It reports false for a set that doesn't fit the roster.
func unpack(data []byte, hosts int) (bitmap, bool) {
	b := newBitmap(hosts)
	if len(data) == 0 {
		return nil, false
	}
	switch data[0] {
	case packRaw:
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
	case packSparse:
		return b, unpackSparse(b, data[1:], hosts)
	}
	return nil, false
}

func unpackSparse(b bitmap, data []byte, hosts int) bool {
	place := uint64(0)
	for len(data) > 0 {
		distance, n := binary.Uvarint(data)
		if n <= 0 || distance >= uint64(hosts) || place+distance >= uint64(hosts) {
			return false
		}
		place += distance
		b.set(int(place))
		data = data[n:]
	}
	return true
}
