package e2e

import (
	"net/http"
	"testing"
)

// TestWholePath guards against a break anywhere in the request path: an authenticated write through one daemon, a read
// of it through another, a refused key, and a planned stop without data loss.
func TestWholePath(t *testing.T) {
	s := startSystem(t, 2)
	first, second := s.daemons[0], s.daemons[1]

	written := s.mustDo(s.statementRequest(first, "", insertSQL, "kit-7", "reserved"))
	if written.Session == "" {
		t.Fatal("the write has no session token")
	}
	read := s.mustDo(s.statementRequest(second, written.Session, selectSQL, "kit-7"))
	if len(read.Rows) != 1 || read.Rows[0][0] != "reserved" {
		t.Fatalf("the session did not read its own write: %v", read.Rows)
	}

	bad := s.statementRequest(second, "", insertSQL, "kit-8", "reserved")
	bad.key = "wsk_unknown_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
	a, err := bad.send()
	if err != nil {
		t.Fatal(err)
	}
	if a.Status != http.StatusUnauthorized || a.Outcome != "not_run" || a.Reason != "key_invalid" {
		t.Fatalf("an unknown key got %+v", a)
	}

	if code := first.stop(t); code != 0 {
		t.Fatalf("a planned stop ended with exit code %d", code)
	}
	s.mustDo(s.statementRequest(second, written.Session, selectSQL, "kit-7"))
}
