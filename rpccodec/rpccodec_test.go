package rpccodec

import (
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Message is the argument and the reply of the test's calls.
type Message struct {
	Text   string
	Counts map[string]uint64
	Age    time.Duration
	Data   []byte
}

type echo struct{}

func (echo) Send(m Message, reply *Message) error {
	if m.Text == "fail" {
		return errors.New("refused")
	}
	*reply = m
	return nil
}

// Guards against replies that reach another call, and against an error of one call that breaks the connection for the next.
func TestCallsAndErrors(t *testing.T) {
	near, far := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Echo", echo{}); err != nil {
		t.Fatal(err)
	}
	go Serve(server, far, &CallCounter{})
	client := NewClient(near)
	defer client.Close()
	for _, text := range []string{"one", "fail", "two"} {
		sent := Message{Text: text, Counts: map[string]uint64{"a": 1 << 40}, Age: -time.Second, Data: []byte{0, 255}}
		var reply Message
		err := client.Call("Echo.Send", sent, &reply)
		if text == "fail" {
			var refused rpc.ServerError
			if !errors.As(err, &refused) {
				t.Errorf("the error of the method arrived as %v", err)
			}
			continue
		}
		if diff := cmp.Diff(sent, reply); err != nil || diff != "" {
			t.Errorf("call %s: %v (-sent +received):\n%s", text, err, diff)
		}
	}
}

// gate answers a call when it is opened.
type gate struct{ opened chan struct{} }

func (g gate) Wait(struct{}, *struct{}) error {
	<-g.opened
	return nil
}

// Guards against a planned stop that ends the process between the end of a call and its response: a call counts until its
// response has been sent.
func TestCallCounter(t *testing.T) {
	near, far := net.Pipe() // unbuffered: a response is sent once the client reads it
	server, g, counter := rpc.NewServer(), gate{make(chan struct{})}, &CallCounter{Methods: []string{"Gate.Wait"}}
	if err := server.RegisterName("Gate", g); err != nil {
		t.Fatal(err)
	}
	go Serve(server, far, counter)
	c := clientCodec{codec: newCodec(near, Limits{}), ended: new(atomic.Bool)}
	for n, method := range []string{"Gate.Wait", "Gate.Wait", "Gate.Unknown"} {
		if err := c.WriteRequest(&rpc.Request{ServiceMethod: method, Seq: uint64(n)}, struct{}{}); err != nil {
			t.Fatal(err)
		}
	}
	close(g.opened)
	time.Sleep(50 * time.Millisecond)
	if n := counter.Running(); n != 2 {
		t.Errorf("%d calls count before their responses are read, want 2", n)
	}
	for range 3 {
		var response rpc.Response
		if err := c.ReadResponseHeader(&response); err != nil {
			t.Fatal(err)
		}
		if err := c.ReadResponseBody(nil); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(time.Second); counter.Running() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls count after their responses", counter.Running())
		}
	}
}
