package fleet

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// Guards against configurations that are sent inline in the reply to a report. On a narrow link (sweep at 100 hosts)
// such a reply exceeded the timeout of a report, so it was sent again and again and never arrived.
func TestLargeChangesAreFetched(t *testing.T) {
	leader, f := newTestFollower(t)
	large := metastore.Item{Key: "p/large", Value: bytes.Repeat([]byte("route"), maxInlineBytes), Revision: 8}
	f.replaceState(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3), large}}, true)
	since := map[string]uint64{"p/": 0}

	reply := leader.syncReply(since)
	if !reply.TooLarge || reply.Changes != nil {
		t.Errorf("reply with %d bytes of changes, too large %t", valueBytes(reply.Changes), reply.TooLarge)
	}
	compressed, err := leader.compressChanges(since)
	if err != nil {
		t.Fatal(err)
	}
	if len(compressed) > maxInlineBytes {
		t.Errorf("%d compressed bytes for %d", len(compressed), len(large.Value))
	}
	changes, err := decompress(compressed)
	if err != nil {
		t.Fatal(err)
	}
	_, host := newTestFollower(t)
	if !host.applyRelayed(t.Context(), changes["p/"]) {
		t.Error("the changes were not applied")
	}
	if diff := cmp.Diff(itemRevisions(f), itemRevisions(host)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}

	f.applyEvents(t.Context(), []metastore.Event{{Item: item("p/b", 9)}}, 9)
	if reply := leader.syncReply(map[string]uint64{"p/": 8}); reply.TooLarge || len(reply.Changes["p/"].Items) != 1 {
		t.Errorf("reply for a small change after a large one: %+v", reply)
	}
	if again, err := leader.compressChanges(since); err != nil || bytes.Equal(again, compressed) {
		t.Errorf("the compressed changes are the same after a new change, error %v", err)
	}
}

// Guards against a host that requests only the control keys and is sent the configuration as well.
func TestSyncReplyHasOnlyRequestedPrefixes(t *testing.T) {
	leader, f := newTestFollower(t)
	f.replaceState(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3)}}, true)
	if reply := leader.syncReply(map[string]uint64{"q/": 0}); len(reply.Changes) != 0 {
		t.Errorf("reply %+v", reply)
	}
}
