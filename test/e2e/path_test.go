package e2e

import (
	"net/http"
	"testing"
)

// TestWholePath guards against any part of the path missing: a keyed write through one daemon, a read of it through the
// other one, a refused key, and a planned stop that loses nothing.
func TestWholePath(t *testing.T) {
	s := startSystem(t, 2)
	first, second := s.daemons[0], s.daemons[1]

	written := s.must(s.statement(first, "", insertSQL, "kit-7", "reserved"))
	if written.Session == "" {
		t.Fatal("the write has no session token")
	}
	read := s.must(s.statement(second, written.Session, selectSQL, "kit-7"))
	if len(read.Rows) != 1 || read.Rows[0][0] != "reserved" {
		t.Fatalf("the session did not read its own write: %v", read.Rows)
	}

	bad := s.statement(second, "", insertSQL, "kit-8", "reserved")
	bad.key = "wsk_unknown_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	a, err := bad.do()
	if err != nil {
		t.Fatal(err)
	}
	if a.Status != http.StatusUnauthorized || a.Outcome != "not_run" || a.Reason != "key_invalid" {
		t.Fatalf("an unknown key got %+v", a)
	}

	if code := first.stop(t); code != 0 {
		t.Fatalf("a planned stop ended with exit code %d", code)
	}
	s.must(s.statement(second, written.Session, selectSQL, "kit-7"))
}
