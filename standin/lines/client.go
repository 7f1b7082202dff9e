package lines

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Lost is the code of a statement without a whole answer.
const CodeLost = "LOST"

// Promising are the codes that promise that nothing of a caller's operation is kept.
var NoEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}

// Client is a caller's session.
type Client struct {
	conn    net.Conn
	reader  *bufio.Reader
	timeout time.Duration // for each line of an answer
}

// Answer is a whole answer. An empty code is a success.
type Response struct {
	Rows                 []string
	Signature, TxnStatus string
	Code                 string
	Err                  error // why there is no whole answer
}

// NewClient returns a client on a connection to a host, whose session has not started.
func NewClient(conn net.Conn, timeout time.Duration) *Client {
	return &Client{conn, bufio.NewReader(conn), timeout}
}

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() } // the session is over either way

// Start starts the session. A host closes the connection after a refusal.
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

// Query sends a statement and reads its whole answer.
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
			response.Code = firstWord(rest)
		case "READY":
			response.TxnStatus = firstWord(rest)
			return response
		default:
			return unexpected(word)
		}
	}
}

// line reads a line and splits the first word off.
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
