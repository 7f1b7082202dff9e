package relay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// Guards against a configuration that differs from the stored one after changes were applied.
func TestPatchLeadsToNewValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 400)
		old := letters.Draw(t, "old")
		next := bytes.Clone(old)
		for range rapid.IntRange(0, 5).Draw(t, "edits") {
			at := rapid.IntRange(0, len(next)).Draw(t, "at")
			end := rapid.IntRange(at, len(next)).Draw(t, "end")
			next = append(append(bytes.Clone(next[:at]), letters.Draw(t, "inserted")...), next[end:]...)
		}
		from := metastore.Item{Key: "k", Value: old, Revision: 3}
		to := metastore.Item{Key: "k", Value: next, Revision: 7, Lease: 5}
		got, err := NewPatch(from, to).Apply(from)
		if err != nil || !bytes.Equal(got.Value, next) || got.Revision != 7 || got.Lease != 5 || got.Key != "k" {
			t.Fatalf("%q became %q (%v), want %q", old, got.Value, err, next)
		}
	})
}

// configuration returns a value of a megabyte with random keys.
func configuration(version int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"tenants":[`, version)
	for i := range 16_000 {
		fmt.Fprintf(&b, `{"name":"workspace-%d","key":"%016x%016x"},`, i, rng.Uint64(), rng.Uint64())
	}
	return b.Bytes()
}

// Guards against patches of the size of the value when a few lines have changed.
func TestPatchOfSmallChangeIsSmall(t *testing.T) {
	old := configuration(7)
	next := bytes.Replace(configuration(8), []byte(`"workspace-900"`), []byte(`"another-name","ratePerS":5`), 1)
	next = append(next, `{"name":"new"}]}`...)
	p := NewPatch(metastore.Item{Value: old}, metastore.Item{Value: next})
	if len(p.Edits) > 300 {
		t.Errorf("a patch of %d bytes for a value of %d", len(p.Edits), len(next))
	}
	if got, err := p.Apply(metastore.Item{Value: old}); err != nil || !bytes.Equal(got.Value, next) {
		t.Errorf("the result differs: %v", err)
	}
}

// Guards against a patch that is applied to another value than it was made from, and against malformed ones that end the
// process.
func TestPatchThatDoesNotFit(t *testing.T) {
	old := metastore.Item{Key: "k", Value: bytes.Repeat([]byte("0123456789"), 500), Revision: 3}
	next := metastore.Item{Key: "k", Value: append([]byte("new "), old.Value...), Revision: 9}
	p := NewPatch(old, next)
	other := old
	other.Value = bytes.Repeat([]byte("x"), len(old.Value))
	later := old
	later.Revision = 5
	for name, known := range map[string]metastore.Item{"another value": other, "another revision": later, "no item": {}} {
		if _, err := p.Apply(known); err == nil {
			t.Errorf("%s: applied", name)
		}
	}
	rng := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		broken := p
		broken.Edits = bytes.Clone(p.Edits)
		for range 1 + rng.IntN(4) {
			broken.Edits[rng.IntN(len(broken.Edits))] = byte(rng.Uint32())
		}
		broken.Edits = broken.Edits[:rng.IntN(len(broken.Edits)+1)]
		if item, err := broken.Apply(old); err == nil && !bytes.Equal(item.Value, next.Value) {
			t.Fatal("a broken patch is applied")
		}
	}
}

// BenchmarkPatch measures the patch for one change of a configuration of a megabyte.
func BenchmarkPatch(b *testing.B) {
	from, to := metastore.Item{Value: configuration(7)}, metastore.Item{Value: configuration(8)}
	b.ReportAllocs()
	for b.Loop() {
		p := NewPatch(from, to)
		if _, err := p.Apply(from); err != nil {
			b.Fatal(err)
		}
	}
}
