package rpccodec

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/clientlimit"
)

// ErrTooLarge means that a message needs more memory than allowed. Its connection is closed.
var ErrTooLarge = errors.New("a message of another host is too large")

const (
	// DefaultMaxMessageBytes is the memory that decoding one message may take unless there is another limit. A statement of
	// 1 MiB with 2 MiB of session state, or a response with 4 MiB of rows, is inside it.
	DefaultMaxMessageBytes = 20 << 20
	// DefaultMaxCalls is the number of calls of one connection that may wait for their responses.
	DefaultMaxCalls = 256
	// maxHeaderBytes is the memory of a header: a method, a number, and in responses an error text.
	maxHeaderBytes = 256 << 10
	// byteCost is the memory of a decoded byte: it is in the value, in the decoder's buffer, and in earlier copies of that
	// buffer, which grows in steps of 1 MiB.
	byteCost = 4
	// elementCost is the memory of an element of an array or a map beside its bytes. An entry of a map has two elements; those
	// of a large map of numbers take 40 to 80 bytes.
	elementCost = 48
	// chargeBytes is the step in which the memory of a message is charged. Most messages are below it.
	chargeBytes = 16 << 10
	// keepBufferBytes is the memory of a message after which the decoder's buffer is dropped.
	keepBufferBytes = 64 << 10
)

// First bytes of values of msgpack whose length follows in 2 or 4 bytes.
const (
	codeBin16, codeBin32     = 0xc5, 0xc6
	codeStr16, codeStr32     = 0xda, 0xdb
	codeArray16, codeArray32 = 0xdc, 0xdd
	codeMap16, codeMap32     = 0xde, 0xdf
)

// Limits are the limits of a connection. The zero value has the default limits of messages and counts no memory.
type Limits struct {
	Client          *clientlimit.Client   // account of a connection that another host has opened; may be nil
	Registry        *clientlimit.Registry // counts the memory of responses on a connection to another host; may be nil
	MaxMessageBytes int64                 // memory of one decoded message; 0: DefaultMaxMessageBytes
	MaxCalls        int                   // calls that wait for their responses; 0: DefaultMaxCalls
	Sent            func(body any)        // called after a response has been sent or lost; may be nil
	// Written is called after a message of a method was written, with its size in bytes; may be nil.
	Written func(method string, size int)
}

func (l Limits) withDefaults() Limits {
	if l.MaxMessageBytes <= 0 {
		l.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if l.MaxCalls <= 0 {
		l.MaxCalls = DefaultMaxCalls
	}
	return l
}

// messageReader counts the memory that decoding a message takes and fails when it is larger than allowed. The wire format has no
// length before a message, so that messages are counted while they are read.
type messageReader struct {
	*bufio.Reader
	limits  Limits
	limit   int64 // of the current message
	cost    int64 // memory of the current message
	charged int64 // part of cost that has been charged
	// lengthLeft is the number of bytes that are missing of the length of a value, which begins with code; length is its
	// beginning.
	lengthLeft int
	code       byte
	length     int64
	failed     error // the stream is at an unknown place of a message, so that nothing more can be read
}

// begin starts a message with a limit.
func (r *messageReader) begin(limit int64) { r.cost, r.charged, r.limit = 0, 0, limit }

// end releases what was charged for the current message and returns it as a charge of the connection's account.
func (r *messageReader) end() (charged int64) {
	charged, r.charged = r.charged, 0
	return charged
}

// tooLarge counts a message that is larger than allowed and ends the stream.
func (r *messageReader) tooLarge() error {
	if r.limits.Client != nil {
		r.limits.Client.CountRefused(clientlimit.CauseSize)
	} else {
		r.limits.Registry.CountTooLarge(clientlimit.Link.String())
	}
	r.failed = ErrTooLarge
	return ErrTooLarge
}

// add counts memory before it is taken, and charges it in steps.
func (r *messageReader) add(n int64) error {
	if r.cost += n; r.cost > r.limit {
		return r.tooLarge()
	}
	if r.cost-r.charged < chargeBytes {
		return nil
	}
	more := r.cost - r.charged
	if r.limits.Client != nil {
		if err := r.limits.Client.Grow(more); err != nil {
			return err
		}
	} else if !r.limits.Registry.Reserve(more) {
		return clientlimit.ErrOverBudget
	}
	r.charged += more
	return nil
}

// release releases a charge.
func (l Limits) release(charged int64) {
	if charged == 0 {
		return
	}
	if l.Client != nil {
		l.Client.Shrink(charged)
		return
	}
	l.Registry.Release(charged)
}

// Read implements io.Reader. With an error it returns no bytes: io.ReadFull ignores an error that comes with enough of them.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	n, err := r.Reader.Read(p)
	if lengthErr := r.readLength(p[:n], len(p)); lengthErr != nil {
		return 0, lengthErr
	}
	if addErr := r.add(byteCost * int64(n)); addErr != nil {
		return 0, addErr
	}
	return n, err
}

// ReadByte implements io.ByteReader. The decoder reads one byte at the beginning of each element.
func (r *messageReader) ReadByte() (byte, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	b, err := r.Reader.ReadByte()
	if err != nil {
		return b, err
	}
	r.code, r.length, r.lengthLeft = b, 0, 0
	switch b {
	case codeBin16, codeStr16, codeArray16, codeMap16:
		r.lengthLeft = 2
	case codeBin32, codeStr32, codeArray32, codeMap32:
		r.lengthLeft = 4
	}
	return b, r.add(elementCost)
}

// readLength counts a length as soon as it is known: the decoder allocates up to a million elements of an array or a map before
// it has read them. want is the number of bytes that the decoder asked for; if it is not what is missing of a length, the last
// byte was not the beginning of a value but a part of a number.
func (r *messageReader) readLength(read []byte, want int) error {
	if r.lengthLeft == 0 || want != r.lengthLeft {
		r.lengthLeft = 0
		return nil
	}
	for _, b := range read {
		r.length = r.length<<8 | int64(b)
	}
	if r.lengthLeft -= len(read); r.lengthLeft > 0 {
		return nil
	}
	switch r.code {
	case codeArray16, codeArray32:
		return r.add(r.length * elementCost)
	case codeMap16, codeMap32:
		return r.add(r.length * elementCost * 2)
	}
	if r.cost+r.length*byteCost > r.limit {
		return r.tooLarge()
	}
	return nil
}

// UnreadByte implements io.ByteScanner.
func (r *messageReader) UnreadByte() error {
	err := r.Reader.UnreadByte()
	if err == nil {
		r.cost -= elementCost
	}
	return err
}

// newDecoder returns a decoder that refuses fields that it doesn't know: skipping them recurses as deeply as they are nested.
func newDecoder(r *messageReader) *msgpack.Decoder {
	d := msgpack.NewDecoder(r)
	d.DisallowUnknownFields(true)
	return d
}

// skip skips one value. The decoder's own function recurses, and values that are nested a million times end the process.
func (r *messageReader) skip() error {
	for left := int64(1); left > 0; left-- {
		code, err := r.Reader.ReadByte()
		if err != nil {
			return err
		}
		children, size, lengthBytes := valueLayout(code)
		if lengthBytes < 0 {
			return fmt.Errorf("skipping a message: unknown code %x", code)
		}
		length := int64(0)
		for range lengthBytes {
			b, err := r.Reader.ReadByte()
			if err != nil {
				return err
			}
			length = length<<8 | int64(b)
		}
		// What is skipped takes no memory, but its length is bounded like that of other messages.
		if r.cost += 1 + int64(lengthBytes) + size; children == 0 {
			size += length
			r.cost += length
		}
		if r.cost > r.limit {
			return r.add(0)
		}
		if _, err := r.Reader.Discard(int(size)); err != nil {
			return err
		}
		if children > 0 && lengthBytes == 0 {
			left += children >> 1 // see valueLayout
		} else {
			left += length * children
		}
	}
	return nil
}

// valueLayout describes a value of msgpack by its first byte. The first byte is followed by lengthBytes of a length and by size
// bytes. If the value has children, each unit of the length stands for that many, and without lengthBytes there are children/2 of
// them; otherwise the length is added to size. lengthBytes is -1 for an unknown code.
func valueLayout(code byte) (children, size int64, lengthBytes int) {
	switch {
	case code <= 0x7f, code >= 0xe0, code == 0xc0, code == 0xc2, code == 0xc3: // small numbers, nil, booleans
		return 0, 0, 0
	case code <= 0x8f: // map with up to 15 entries
		return 4 * int64(code&0x0f), 0, 0
	case code <= 0x9f: // array with up to 15 elements
		return 2 * int64(code&0x0f), 0, 0
	case code <= 0xbf: // string with up to 31 bytes
		return 0, int64(code & 0x1f), 0
	}
	switch code {
	case 0xc4, 0xd9: // binary, string
		return 0, 0, 1
	case codeBin16, codeStr16:
		return 0, 0, 2
	case codeBin32, codeStr32:
		return 0, 0, 4
	case 0xc7, 0xc8, 0xc9: // extension: its type has one byte
		return 0, 1, 1 << (code - 0xc7)
	case 0xca, 0xce, 0xd2: // 4 bytes
		return 0, 4, 0
	case 0xcb, 0xcf, 0xd3: // 8 bytes
		return 0, 8, 0
	case 0xcc, 0xd0:
		return 0, 1, 0
	case 0xcd, 0xd1:
		return 0, 2, 0
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8: // extension with a fixed length and its type
		return 0, 1 + 1<<(code-0xd4), 0
	case codeArray16:
		return 1, 0, 2
	case codeArray32:
		return 1, 0, 4
	case codeMap16:
		return 2, 0, 2
	case codeMap32:
		return 2, 0, 4
	}
	return 0, 0, -1
}

var _ io.ByteScanner = (*messageReader)(nil)
