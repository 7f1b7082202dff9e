package lines

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// CodeLost is the code of a statement whose response is missing or incomplete.
const CodeLost = "LOST"

// NoEffectCodes are the error codes that guarantee that the operation had no effect.
var NoEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}

// Client is a client session of the line protocol.
type Client struct {
	conn    net.Conn
	reader  *bufio.Reader
	timeout time.Duration // read timeout for each line of a response
}

// Response is the complete response to a statement. An empty Code means success.
type Response struct {
	Rows                 []string
	Signature, TxnStatus string
	Code                 string
	Detail               string // text after the code
	Err                  error  // reason for an incomplete response
}

// NewClient returns a client that uses conn. The session begins with Start.
func NewClient(conn net.Conn, timeout time.Duration) *Client {
	return &Client{conn, bufio.NewReader(conn), timeout}
}

// Close closes the connection, which ends the session.
func (c *Client) Close() { _ = c.conn.Close() } // an error changes nothing: the session has ended

// Start opens the session for a database with a workspace key. The host closes the connection if it refuses the session.
func (c *Client) Start(database, key string) Response {
	if _, err := fmt.Fprintf(c.conn, "STARTUP %s %s\r\n", database, key); err != nil {
		return Response{Code: CodeLost, Err: err}
	}
	word, rest, err := c.readLine()
	switch {
	case err != nil:
		return Response{Code: CodeLost, Err: err}
	case word == "ERROR":
		return Response{Code: firstWord(rest)}
	case word == "READY":
		return Response{TxnStatus: firstWord(rest)}
	}
	return unexpected(word)
}

// Query sends a statement with its ID and reads the complete response.
func (c *Client) Query(id, text string) Response {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Response{Code: CodeLost, Err: err}
	}
	var response Response
	for {
		word, rest, err := c.readLine()
		if err != nil {
			return Response{Code: CodeLost, Err: err}
		}
		switch word {
		case "DATAROW":
			response.Rows = append(response.Rows, rest)
		case "COMPLETE":
			response.Signature = rest
		case "ERROR":
			response.Code, response.Detail, _ = strings.Cut(rest, " ")
		case "READY":
			response.TxnStatus = firstWord(rest)
			return response
		default:
			return unexpected(word)
		}
	}
}

// readLine reads a line and returns its first word and the rest.
func (c *Client) readLine() (word, rest string, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return "", "", err
	}
	line, err := c.reader.ReadString('\n')
	word, rest, _ = strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
	return word, rest, err
}

func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}

func unexpected(word string) Response { return Response{Code: word, Err: io.ErrUnexpectedEOF} }
