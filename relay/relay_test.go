package relay

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// Guards against changes that arrive with other values than they had, small ones as well as compressed ones.
func TestEncodedChangesKeepTheirValues(t *testing.T) {
	for _, size := range []int{0, 10, 1000, 1 << 20} {
		want := Delta{Since: 3, Revision: 9, Removed: []string{"b"}, Keys: []string{"a", "c"}, AllKeys: true,
			Patches: []Patch{{Item: metastore.Item{Key: "d", Revision: 9}, From: 4, Checksum: 1 << 63, Edits: []byte("edits")}},
			Items: []metastore.Item{
				{Key: "a", Value: bytes.Repeat([]byte("x"), size), Revision: 8, Created: 2, Lease: 77}}}
		encoded, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(encoded)
		if diff := cmp.Diff(want, got, cmp.Comparer(bytes.Equal)); diff != "" || err != nil {
			t.Errorf("%d bytes: %v (-want +got):\n%s", size, err, diff)
		}
		if len(encoded) > 2000 {
			t.Errorf("%d bytes are encoded in %d", size, len(encoded))
		}
	}
}

// Guards against changes that are encoded for each host by itself, against those of an earlier revision, and against a
// cache that grows with the hosts: their encoded configurations filled the memory of the leader.
func TestCacheHoldsFewChangesOfOneRevision(t *testing.T) {
	var cache Cache
	built := 0
	get := func(kind Kind, revision uint64) {
		t.Helper()
		encoded, err := cache.Get(kind, revision, func() Delta {
			built++
			return Delta{Since: kind.Since, Revision: revision}
		})
		if err != nil {
			t.Fatal(err)
		}
		if d, err := Decode(encoded); err != nil || d.Since != kind.Since || d.Revision != revision {
			t.Errorf("changes %+v, error %v", d, err)
		}
	}
	for range 5 {
		get(Kind{Since: 1}, 10)
	}
	get(Kind{1, true}, 10)
	get(Kind{Since: 1}, 11)
	if built != 3 {
		t.Errorf("changes are encoded %d times, want 3", built)
	}
	for i := range uint64(5 * maxCached) {
		get(Kind{Since: i}, 12)
	}
	if n := len(cache.encoded); n > maxCached {
		t.Errorf("%d encoded changes are kept", n)
	}
}

// Guards against malformed changes that end the process or are applied in part.
func TestMalformedDeltas(t *testing.T) {
	valid, err := Encode(Delta{Revision: 4, Items: []metastore.Item{{Key: "a", Value: bytes.Repeat([]byte("x"), 5000)}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(valid); err != nil {
		t.Errorf("valid changes: %v", err)
	}
	for name, encoded := range map[string][]byte{"empty": {}, "another format": {9, 1}, "cut off": valid[:len(valid)/2],
		"no changes": {plainFormat}, "text": []byte("\x00" + strings.Repeat("x", 20))} {
		if _, err := Decode(encoded); err == nil {
			t.Errorf("%s: decoded", name)
		}
	}
	if _, err := Decode([]byte{9}); !errors.Is(err, errFormat) {
		t.Errorf("another format: %v", err)
	}
}
