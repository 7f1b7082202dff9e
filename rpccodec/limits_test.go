package rpccodec

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// Guards against messages that builds without the limits can't read: a header and a body as arrays, without a length before them.
func TestWireFormat(t *testing.T) {
	var sent bytes.Buffer
	type body struct {
		Text  string
		Count int
	}
	c := clientCodec{codec: newCodec(output{&sent}, Limits{}), ended: new(atomic.Bool)}
	if err := c.WriteRequest(&rpc.Request{ServiceMethod: "Peer.Take", Seq: 7}, body{"a", 200}); err != nil {
		t.Fatal(err)
	}
	if want := "\x92\xa9Peer.Take\x07\x92\xa1a\xcc\xc8"; sent.String() != want {
		t.Errorf("the request is %q, want %q", sent.String(), want)
	}
	s := newServerCodec(input{&sent}, &CallCounter{}, Limits{})
	var r rpc.Request
	var received body
	if err := s.ReadRequestHeader(&r); err != nil || r.ServiceMethod != "Peer.Take" || r.Seq != 7 {
		t.Errorf("header %+v, error %v", r, err)
	}
	if err := s.ReadRequestBody(&received); err != nil || received != (body{"a", 200}) {
		t.Errorf("body %+v, error %v", received, err)
	}
}

// output is a connection whose other end reads later.
type output struct{ io.Writer }

func (output) Read([]byte) (int, error) { return 0, io.EOF }
func (output) Close() error             { return nil }

// counting answers calls and counts them.
type counting struct{ calls *atomic.Int64 }

func (c counting) Add(struct{}, *struct{}) error {
	c.calls.Add(1)
	return nil
}

// Guards against calls without a bound from a host that reads no responses, and against a connection that is stuck after it reads
// them.
func TestUnreadResponsesBoundCalls(t *testing.T) {
	const maxCalls, sent = 8, 50
	near, far := net.Pipe()
	defer near.Close()
	server, calls := rpc.NewServer(), new(atomic.Int64)
	if err := server.RegisterName("Counter", counting{calls}); err != nil {
		t.Fatal(err)
	}
	go ServeWithLimits(server, far, &CallCounter{}, Limits{MaxCalls: maxCalls})
	go func() { // ends with the connection
		_, _ = io.WriteString(near, strings.Repeat("\x92\xabCounter.Add\x01\x90", sent))
	}()
	time.Sleep(100 * time.Millisecond)
	if n := calls.Load(); n > maxCalls {
		t.Errorf("%d calls run without a response that was read, allowed are %d", n, maxCalls)
	}
	go func() { _, _ = io.Copy(io.Discard, near) }()
	for deadline := time.Now().Add(10 * time.Second); calls.Load() < sent; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d calls were run after the responses were read", calls.Load(), sent)
		}
	}
}

// Guards against limits that a statement of 1 MiB with 2 MiB of session state, or a response with 4 MiB of rows, exceeds.
func TestLargeMessagesInsideLimits(t *testing.T) {
	type request struct {
		Text      string
		Variables map[string]string
	}
	variables := map[string]string{"large": strings.Repeat("x", 1<<20)}
	for i := range 900 {
		variables[strings.Repeat("n", 1+i)] = strings.Repeat("x", 500)
	}
	for name, message := range map[string]any{
		"statement":  request{strings.Repeat("x", 1<<20), variables},
		"one row":    []string{strings.Repeat("x", 4<<20-100)},
		"short rows": make([]string, 4<<20/32),
	} {
		var text bytes.Buffer
		e := msgpack.NewEncoder(&text)
		e.UseArrayEncodedStructs(true)
		if err := e.Encode(message); err != nil {
			t.Fatal(err)
		}
		c := newCodec(input{&text}, Limits{})
		var err error
		if _, isRequest := message.(request); isRequest {
			_, err = c.readBody(new(request))
		} else {
			_, err = c.readBody(new([]string))
		}
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
