// Package rpccodec encodes net/rpc messages as msgpack. The default, gob, compiles its encoders and decoders anew for every
// connection, which costs more than the messages themselves when every host has a connection to every other one.
package rpccodec

import (
	"bufio"
	"io"
	"net/rpc"
	"slices"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/waxwingspindle/waxwingspindle/guard"
)

// bufferBytes is the size of each of a connection's two buffers. Most messages are below 1 KB.
const bufferBytes = 2 << 10

// codec reads and writes messages. It needs no lock: net/rpc serializes the calls of the write methods, and calls the read
// methods from a single goroutine.
type codec struct {
	conn    io.ReadWriteCloser
	writer  *bufio.Writer
	encoder *msgpack.Encoder
	decoder *msgpack.Decoder
}

// newCodec returns a codec that encodes structs as arrays, without field names.
func newCodec(conn io.ReadWriteCloser) codec {
	writer := bufio.NewWriterSize(conn, bufferBytes)
	c := codec{conn: conn, writer: writer, encoder: msgpack.NewEncoder(writer),
		decoder: msgpack.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))}
	c.encoder.UseArrayEncodedStructs(true)
	c.encoder.UseCompactInts(true)
	c.encoder.UseCompactFloats(true) // whole numbers as integers; earlier versions decode both
	return c
}

func (c codec) writeMessage(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readBody decodes a body, or skips it if the argument is nil.
func (c codec) readBody(body any) error {
	return guard.Decode(func() error {
		if body == nil {
			return c.decoder.Skip()
		}
		return c.decoder.Decode(body)
	})
}

// readHeader decodes a header.
func (c codec) readHeader(header any) error {
	return guard.Decode(func() error { return c.decoder.Decode(header) })
}

// Close closes the connection.
func (c codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	codec
	ended *atomic.Bool // set when no more responses can be read
}

// Client is a client of net/rpc that knows when its connection has ended.
type Client struct {
	*rpc.Client
	ended atomic.Bool
}

// NewClient returns a client that sends its calls over a connection.
func NewClient(conn io.ReadWriteCloser) *Client {
	c := &Client{}
	c.Client = rpc.NewClientWithCodec(clientCodec{newCodec(conn), &c.ended})
	return c
}

// Ended reports whether the connection has ended. A call made after that fails, but its error is the same as that of a call that
// was sent before.
func (c *Client) Ended() bool { return c.ended.Load() }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeMessage(requestHeader{r.ServiceMethod, r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.readHeader(&h); err != nil {
		c.ended.Store(true)
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Sequence, h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	codec
	counter *CallCounter
}

// CallCounter counts the calls of some methods that have been read and whose responses have not been sent yet. Connections may
// share it.
type CallCounter struct {
	Methods []string
	running atomic.Int64
}

// Running returns the number of calls without a response.
func (c *CallCounter) Running() int { return int(c.running.Load()) }

func (c *CallCounter) add(method string, n int64) {
	if slices.Contains(c.Methods, method) {
		c.running.Add(n)
	}
}

// Serve serves the calls that arrive on a connection until the connection is closed.
func Serve(server *rpc.Server, conn io.ReadWriteCloser, counter *CallCounter) {
	server.ServeCodec(serverCodec{newCodec(conn), counter})
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Sequence
	c.counter.add(r.ServiceMethod, 1) // net/rpc answers each request whose header it has read
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.counter.add(r.ServiceMethod, -1)
	return c.writeMessage(responseHeader{"", r.Seq, r.Error}, body) // net/rpc finds the call by its sequence number
}

// requestHeader precedes the arguments of a call. It is encoded as an array, so the order of its fields is the wire format.
type requestHeader struct {
	Method   string
	Sequence uint64
}

// responseHeader precedes the reply of a call. It is encoded as an array, so the order of its fields is the wire format.
type responseHeader struct {
	Method   string // not used; earlier versions send it
	Sequence uint64
	Error    string
}
