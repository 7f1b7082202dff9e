package kvclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/internal/loopback"
)

// Guards against a swap that the store receives after its sender has given it up: the proof of an outage takes it that a swap has no
// effect 30 s after it was sent, and the kernel delivers what was written before a connection was closed for longer than that.
func TestSwapGivenUpDoesNotArrive(t *testing.T) {
	const callLimit = 300 * time.Millisecond
	var swaps atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			swaps.Add(1)
		}
		w.WriteHeader(http.StatusInternalServerError) // the client treats it as no answer
	}))
	t.Cleanup(store.Close)
	relay, err := loopback.NewRelay("127.0.0.1:0", strings.TrimPrefix(store.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	client, err := NewClient("http://" + relay.Address)
	if err != nil {
		t.Fatal(err)
	}
	swap := func(timeout time.Duration) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if _, err := client.CompareAndSwap(ctx, RosterKey, 0, []byte("{}")); err == nil {
			t.Fatal("a swap without an answer has succeeded")
		}
	}
	swap(swapTimeout) // opens a connection that the client keeps
	if n := swaps.Load(); n != 1 {
		t.Fatalf("the store has received %d swaps, want 1", n)
	}
	relay.SetHeld(true)
	swap(callLimit)
	time.Sleep(callLimit)
	relay.SetHeld(false)
	time.Sleep(callLimit)
	if n := swaps.Load(); n != 1 {
		t.Errorf("the store has received %d swaps, want 1", n)
	}
}
