package fleet

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// Guards against configurations that are sent with the answer to a report: on a narrow link they came later than the report may
// take, so they were sent again and again and never arrived (sweep at 100 hosts).
func TestLargeChangesAreFetched(t *testing.T) {
	leader, f := followerOf(t)
	large := metastore.Item{Key: "p/large", Value: bytes.Repeat([]byte("route"), largeState), Revision: 8}
	f.replace(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3), large}}, true)
	known := map[string]uint64{"p/": 0}

	answer := leader.relay(known)
	if !answer.TooLarge || answer.Changes != nil {
		t.Errorf("an answer with %d bytes, large %t", size(answer.Changes), answer.TooLarge)
	}
	packed, err := leader.pack(known)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > largeState {
		t.Errorf("%d bytes are sent for %d", len(packed), len(large.Value))
	}
	newer, err := unpack(packed)
	if err != nil {
		t.Fatal(err)
	}
	_, host := followerOf(t)
	if !host.relayed(t.Context(), newer["p/"]) {
		t.Error("the changes are not taken over")
	}
	if diff := cmp.Diff(keys(f), keys(host)); diff != "" {
		t.Errorf("items (-want +got):\n%s", diff)
	}

	f.add(t.Context(), []metastore.Event{{Item: item("p/b", 9)}}, 9)
	if answer := leader.relay(map[string]uint64{"p/": 8}); answer.TooLarge || len(answer.Changes["p/"].Items) != 1 {
		t.Errorf("a small change after a large one: %+v", answer)
	}
	if again, err := leader.pack(known); err != nil || bytes.Equal(again, packed) {
		t.Errorf("the changes that were packed before are sent after a new one, error %v", err)
	}
}

// Guards against a host that asks for its own keys only, and is sent the configuration as well.
func TestRelayBringsOnlyWhatIsAsked(t *testing.T) {
	leader, f := followerOf(t)
	f.replace(t.Context(), PrefixState{Revision: 8, Items: []metastore.Item{item("p/a", 3)}}, true)
	if answer := leader.relay(map[string]uint64{"q/": 0}); len(answer.Changes) != 0 {
		t.Errorf("answer %+v", answer)
	}
}
