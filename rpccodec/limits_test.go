package rpccodec

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// input is a connection whose other end has sent some bytes.
type input struct{ io.Reader }

func (input) Write(p []byte) (int, error) { return len(p), nil }
func (input) Close() error                { return nil }

// Guards against a length that another host announces and for which memory is allocated before anything has arrived.
func TestAnnouncedLengthsAllocateNothing(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		into any
	}{
		"map":    {"\xdf\x7f\xff\xff\xff\xa1a\x01", new(map[string]uint64)},
		"array":  {"\xdd\x7f\xff\xff\xff\xa1a", new([]string)},
		"string": {"\xdb\x7f\xff\xff\xff\xa1a", new(string)},
		"binary": {"\xc6\x7f\xff\xff\xff\xa1a", new([]byte)},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCodec(input{strings.NewReader(test.text)}, Limits{})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := c.readBody(test.into)
			runtime.ReadMemStats(&after)
			if !errors.Is(err, ErrTooLarge) {
				t.Errorf("error %v, want that the message is too large", err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > 1<<20 {
				t.Errorf("%d bytes were allocated", n)
			}
			if _, err := c.readBody(new(int)); err == nil {
				t.Error("the stream goes on inside the message")
			}
		})
	}
}

// Guards against skipping a value wrongly, after which the next message would be read from its middle.
func TestSkip(t *testing.T) {
	var encoded bytes.Buffer
	e := msgpack.NewEncoder(&encoded)
	long := strings.Repeat("x", 70_000)
	for _, value := range []any{nil, true, 1, -1, 200, 70_000, 1 << 40, -200, -70_000, -1 << 40, 1.5, float32(1.5), "", "short",
		long[:40], long[:300], long, []byte(long[:40]), []byte(long[:300]), []byte(long), []int{}, []int{1, 2, 3},
		make([]int, 20), make([]string, 70_000), map[string]int{}, map[string]any{"a": []any{1, map[string]int{"b": 2}}},
		map[int]string{1: "a", 2: "b", 3: "c", 4: "d", 5: "e", 6: "f", 7: "g", 8: "h", 9: "i", 10: "j", 11: "k", 12: "l", 13: "m",
			14: "n", 15: "o", 16: "p", 17: "q"}} {
		if err := e.Encode(value); err != nil {
			t.Fatal(err)
		}
		if err := e.EncodeString("marker"); err != nil {
			t.Fatal(err)
		}
	}
	encoded.WriteString("\xd4\x01x\xd8\x01" + strings.Repeat("x", 16) + "\xc7\x03\x01xxx\xc8\x00\x03\x01xxx\xc9\x00\x00\x00\x03\x01xxx")
	c := newCodec(input{&encoded}, Limits{})
	for encoded.Len() > 0 || c.reader.Buffered() > 0 {
		if _, err := c.readBody(nil); err != nil {
			t.Fatalf("skipping: %v", err)
		}
		if next, err := c.reader.Peek(7); err == nil && string(next[1:]) == "marker" {
			var marker string
			if _, err := c.readBody(&marker); err != nil || marker != "marker" {
				t.Fatalf("read %q, error %v", marker, err)
			}
		}
	}
}

// Guards against nested values that end the process, because skipping them recursed for each level.
func TestSkipDeeplyNested(t *testing.T) {
	nested := strings.Repeat("\x91", 10<<20) + "\x01"
	c := newCodec(input{strings.NewReader(nested + "\xa1x")}, Limits{})
	if _, err := c.readBody(nil); err != nil {
		t.Fatal(err)
	}
	var next string
	if _, err := c.readBody(&next); err != nil || next != "x" {
		t.Errorf("read %q after the nested value, error %v", next, err)
	}
}
