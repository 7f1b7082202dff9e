package server

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap/zaptest"
)

// TestStopAnswersWhatWasAccepted checks that a stopping server answers requests on connections that were opened just
// before the stop. Otherwise callers see connections that end without an answer.
func TestStopAnswersWhatWasAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newGracefulServer(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	}), zaptest.NewLogger(t))
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(t.Context()) }()
	time.Sleep(2 * backlogDrainTime) // the stop is in progress
	for i, conn := range conns {
		if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: test\r\n\r\n")); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	for i, conn := range conns {
		if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
			t.Errorf("connection %d: no response: %v", i, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("the stopped server accepted a connection")
	}
}
