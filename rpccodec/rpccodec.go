// Package rpccodec encodes net/rpc messages as msgpack. The default, gob, compiles its encoders and decoders anew for every
// connection, which costs more than the messages themselves when every host has a connection to every other one.
package rpccodec

import (
	"bufio"
	"io"
	"net/rpc"
	"slices"
	"sync"
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
	written *countingWriter
	writer  *bufio.Writer
	encoder *msgpack.Encoder
	reader  *messageReader
	decoder *msgpack.Decoder
}

// newCodec returns a codec that encodes structs as arrays, without field names.
func newCodec(conn io.ReadWriteCloser, limits Limits) codec {
	written := &countingWriter{Writer: conn}
	writer := bufio.NewWriterSize(written, bufferBytes)
	reader := &messageReader{Reader: bufio.NewReaderSize(conn, bufferBytes), limits: limits.withDefaults()}
	c := codec{conn: conn, written: written, writer: writer, encoder: msgpack.NewEncoder(writer), reader: reader, decoder: newDecoder(reader)}
	c.encoder.UseArrayEncodedStructs(true)
	c.encoder.UseCompactInts(true)
	c.encoder.UseCompactFloats(true) // whole numbers as integers; earlier versions decode both
	return c
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	io.Writer
	bytes int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes += n
	return n, err
}

// writeMessage writes a message of a method.
func (c codec) writeMessage(method string, header, body any) error {
	c.written.bytes = 0
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	err := c.writer.Flush()
	if c.reader.limits.Written != nil {
		c.reader.limits.Written(method, c.written.bytes)
	}
	return err
}

// readBody decodes a body, or skips it if the argument is nil. It returns the memory that was charged for the body, which the
// caller has to release.
func (c codec) readBody(body any) (charged int64, err error) {
	c.reader.begin(c.reader.limits.MaxMessageBytes)
	err = guard.Decode(func() error {
		if body == nil {
			return c.reader.skip()
		}
		return c.decoder.Decode(body)
	})
	if err != nil && c.reader.failed == nil {
		c.reader.failed = err
	}
	if c.reader.cost > keepBufferBytes {
		c.dropBuffer()
	}
	return c.reader.end(), err
}

// dropBuffer drops the decoder's buffer, which has the size of the largest message so far.
func (c codec) dropBuffer() { *c.decoder = *newDecoder(c.reader) }

// readHeader decodes a header.
func (c codec) readHeader(header any) error {
	c.reader.begin(maxHeaderBytes)
	err := guard.Decode(func() error { return c.decoder.Decode(header) })
	c.reader.limits.release(c.reader.end())
	return err
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
func NewClient(conn io.ReadWriteCloser) *Client { return NewClientWithLimits(conn, Limits{}) }

// NewClientWithLimits is NewClient with limits for the responses.
func NewClientWithLimits(conn io.ReadWriteCloser, limits Limits) *Client {
	c := &Client{}
	c.Client = rpc.NewClientWithCodec(clientCodec{newCodec(conn, limits), &c.ended})
	return c
}

// Ended reports whether the connection has ended. A call made after that fails, but its error is the same as that of a call that
// was sent before.
func (c *Client) Ended() bool { return c.ended.Load() }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeMessage(r.ServiceMethod, requestHeader{r.ServiceMethod, r.Seq}, body)
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

func (c clientCodec) ReadResponseBody(body any) error {
	charged, err := c.readBody(body)
	c.reader.limits.release(charged) // the session that gets the answer is charged with it
	return err
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	codec
	counter *CallCounter
	calls   *runningCalls
}

// runningCalls are the calls of one connection whose responses have not been sent.
type runningCalls struct {
	places  chan struct{} // one element for each call
	lastSeq uint64        // of the last header; used by the goroutine that reads
	mu      sync.Mutex
	charged map[uint64]int64 // memory of large calls by sequence number
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
	ServeWithLimits(server, conn, counter, Limits{})
}

// ServeWithLimits is Serve with limits for the calls and their responses. It reads no more calls while as many as allowed wait
// for their responses.
func ServeWithLimits(server *rpc.Server, conn io.ReadWriteCloser, counter *CallCounter, limits Limits) {
	server.ServeCodec(newServerCodec(conn, counter, limits))
}

func newServerCodec(conn io.ReadWriteCloser, counter *CallCounter, limits Limits) serverCodec {
	c := newCodec(conn, limits)
	return serverCodec{c, counter, &runningCalls{places: make(chan struct{}, c.reader.limits.MaxCalls),
		charged: map[uint64]int64{}}}
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.readHeader(&h); err != nil {
		return err
	}
	c.calls.places <- struct{}{} // WriteResponse makes room
	r.ServiceMethod, r.Seq = h.Method, h.Sequence
	c.calls.lastSeq = h.Sequence
	c.counter.add(r.ServiceMethod, 1) // net/rpc answers each request whose header it has read
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error {
	client := c.reader.limits.Client
	client.BodyBegan()
	charged, err := c.readBody(body)
	client.BodyEnded()
	if charged > 0 {
		c.calls.mu.Lock()
		c.calls.charged[c.calls.lastSeq] += charged
		c.calls.mu.Unlock()
	}
	if err == nil && client != nil && !client.Known() {
		client.AwaitsMessage()
	}
	if err == nil && body != nil {
		client.SetInTxn(true) // statements of other sessions are lost with it
	}
	return err
}

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	limits := c.reader.limits
	known := limits.Client.Known()
	if known {
		limits.Client.ResponseBegan(0)
	}
	err := c.writeMessage(r.ServiceMethod, responseHeader{"", r.Seq, r.Error}, body) // net/rpc finds the call by its sequence number
	if known {
		limits.Client.ResponseEnded(0)
	}
	c.calls.mu.Lock()
	charged := c.calls.charged[r.Seq]
	delete(c.calls.charged, r.Seq)
	c.calls.mu.Unlock()
	limits.release(charged)
	if limits.Sent != nil {
		limits.Sent(body)
	}
	c.counter.add(r.ServiceMethod, -1)
	<-c.calls.places
	return err
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
