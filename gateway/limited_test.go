package gateway

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against connections to the readiness check or the metrics that take all descriptors, and against places that are not
// used again after a connection has ended.
func TestLimitedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimitedListener(inner, 1)
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	dial()
	first := <-accepted
	refused := dial()
	_ = refused.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := refused.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection beyond the limit: %v, want its end", err)
	}
	_ = first.Close()
	_ = first.Close() // a second close must not free a second place
	dial()
	<-accepted
	if n := len(l.places); n != 1 {
		t.Errorf("%d places are taken, want 1", n)
	}
}
