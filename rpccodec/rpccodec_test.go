package rpccodec

import (
	"errors"
	"net"
	"net/rpc"
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
	go Serve(server, far)
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
