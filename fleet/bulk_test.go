package fleet

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// Guards against configurations that are sent with the answer to a report: on a narrow link they came later than the report may
// take, so they were sent again and again and never arrived (sweep at 100 hosts).
func TestLargeChangesAreFetchedSeparately(t *testing.T) {
	leader, f := newTestFollower(t)
	large := metastore.Item{Key: "p/large", Value: bytes.Repeat([]byte("route"), maxInlineBytes), Revision: 8}
	f.replaceState(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3), large}}, true)
	known := map[string]uint64{"p/": 0}

	answer := leader.syncReply(known)
	if !answer.TooLarge || answer.Changes != nil {
		t.Errorf("an answer with %d bytes, large %t", valueBytes(answer.Changes), answer.TooLarge)
	}
	packed, err := leader.compressChanges(known)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > maxInlineBytes {
		t.Errorf("%d bytes are sent for %d", len(packed), len(large.Value))
	}
	newer, err := decompress(packed)
	if err != nil {
		t.Fatal(err)
	}
	_, host := newTestFollower(t)
	if !host.applyRelayed(t.Context(), newer["p/"]) {
		t.Error("the changes are not taken over")
	}
	if diff := cmp.Diff(itemRevisions(f), itemRevisions(host)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}

	f.applyEvents(t.Context(), []metastore.Event{{Item: item("p/b", 9)}}, 9)
	if answer := leader.syncReply(map[string]uint64{"p/": 8}); answer.TooLarge || len(answer.Changes["p/"].Items) != 1 {
		t.Errorf("a small change after a large one: %+v", answer)
	}
	if again, err := leader.compressChanges(known); err != nil || bytes.Equal(again, packed) {
		t.Errorf("the changes that were packed before are sent after a new one, error %v", err)
	}
}

// Guards against a host that asks for its own keys only, and is sent the configuration as well.
func TestSyncReplyHasOnlyRequestedPrefixes(t *testing.T) {
	leader, f := newTestFollower(t)
	f.replaceState(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3)}}, true)
	if answer := leader.syncReply(map[string]uint64{"q/": 0}); len(answer.Changes) != 0 {
		t.Errorf("answer %+v", answer)
	}
}
