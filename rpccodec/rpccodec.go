// Package rpccodec codes net/rpc messages in msgpack. gob, the default, compiles its coders anew for every connection,
// which costs more than the messages when each host has a connection to every other one.
package rpccodec

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/vmihailenco/msgpack/v5"
)

// bufferBytes is the size of the buffers of a connection in bytes; most messages are below 1 KB.
const bufferBytes = 2 << 10

// codec reads and writes messages. net/rpc calls its write methods from one goroutine at a time, and its read methods from
// another one.
type codec struct {
	conn    io.ReadWriteCloser
	writer  *bufio.Writer
	encoder *msgpack.Encoder
	decoder *msgpack.Decoder
}

func newCodec(conn io.ReadWriteCloser) codec {
	writer := bufio.NewWriterSize(conn, bufferBytes)
	c := codec{conn: conn, writer: writer, encoder: msgpack.NewEncoder(writer),
		decoder: msgpack.NewDecoder(bufio.NewReaderSize(conn, bufferBytes))}
	c.encoder.UseArrayEncodedStructs(true)
	c.encoder.UseCompactInts(true)
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

// readBody reads a body, or skips it if nobody wants it.
func (c codec) readBody(body any) error {
	if body == nil {
		return c.decoder.Skip()
	}
	return c.decoder.Decode(body)
}

// Close closes the connection.
func (c codec) Close() error { return c.conn.Close() }

// clientCodec is the caller's side.
type clientCodec struct{ codec }

// NewClient returns a client on a connection.
func NewClient(conn io.ReadWriteCloser) *rpc.Client {
	return rpc.NewClientWithCodec(clientCodec{newCodec(conn)})
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeMessage(requestHeader{r.ServiceMethod, r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h responseHeader
	if err := c.decoder.Decode(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Sequence, h.Error
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec is the other side.
type serverCodec struct{ codec }

// Serve serves a connection until it is closed.
func Serve(server *rpc.Server, conn io.ReadWriteCloser) {
	server.ServeCodec(serverCodec{newCodec(conn)})
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h requestHeader
	if err := c.decoder.Decode(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Sequence
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.writeMessage(responseHeader{r.ServiceMethod, r.Seq, r.Error}, body)
}

type requestHeader struct {
	Method   string
	Sequence uint64
}

type responseHeader struct {
	Method   string
	Sequence uint64
	Error    string
}
