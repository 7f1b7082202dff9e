package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/standin/target"
)

// events returns the complete event history of the database group.
func (s *system) events() []target.Event {
	s.t.Helper()
	r, err := client.Get(s.groupAdminURL + "/history?after=0")
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	var events []target.Event
	if err := json.NewDecoder(r.Body).Decode(&events); err != nil {
		s.t.Fatal(err)
	}
	return events
}

// checkNoDuplicateCommits checks that no request id was committed twice in the surviving history.
func (s *system) checkNoDuplicateCommits() {
	s.t.Helper()
	for id, at := range survivingCommits(s.events()) {
		if len(at) > 1 {
			s.t.Errorf("request %s was committed %d times: %v", id, len(at), at)
		}
	}
}

// survivingCommits returns the positions of the commits of each request id. A commit of a former primary is omitted if a
// later term started at or before its offset, because it was rolled back and is no longer visible to callers.
func survivingCommits(events []target.Event) map[string][]model.Position {
	var termStarts []model.Position // first positions of terms
	for _, e := range events {
		if e.Kind == target.EventPromote {
			termStarts = append(termStarts, e.Position)
		}
	}
	commits := map[string][]model.Position{}
	for _, e := range events {
		replaced := slices.ContainsFunc(termStarts, func(b model.Position) bool {
			return b.Term > e.Position.Term && b.Offset <= e.Position.Offset
		})
		if e.Kind == target.EventCommit && e.RequestID != "" && !replaced {
			commits[e.RequestID] = append(commits[e.RequestID], e.Position)
		}
	}
	return commits
}

// groupReceived reports whether any client ever sent the text to the database group.
func (s *system) groupReceived(text string) bool {
	s.t.Helper()
	r, err := http.Post(s.groupAdminURL+"/received/contains", "application/octet-stream", bytes.NewReader([]byte(text)))
	if err != nil {
		s.t.Fatal(err)
	}
	defer r.Body.Close()
	var out bytes.Buffer
	out.ReadFrom(r.Body)
	return strings.Contains(out.String(), "true")
}
