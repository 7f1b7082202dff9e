package fleet

import (
	"encoding/json"
	"testing"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// newEntryControl returns a control that decodes entries from the JSON form of catalog.Target.
func newEntryControl() *control {
	a := newRegisteringAgent(newMemoryStore(), 1)
	a.Decoders.TargetPrefix = "t/"
	a.Decoders.Target = func(_ string, value []byte) (t catalog.Target, err error) {
		return t, json.Unmarshal(value, &t)
	}
	a.Log = zap.NewNop()
	a.events = make(chan func(*control), eventQueueLength)
	a.view.Store(newClusterView())
	return newControl(a)
}

func entryEvent(t catalog.Target, revision uint64) metastore.Event {
	return metastore.Event{Item: metastore.Item{Key: "t/" + string(t.ID), Value: mustEncode(t), Revision: revision}}
}

// Guards against a target that drains, has left or has started again and counts as ready again, because the store has come back from a
// copy with its earlier entry.
func TestEntriesFromCopyAreNotApplied(t *testing.T) {
	lost := metastore.RevisionInEra(1, 50)
	restored := metastore.RevisionInEra(2, 40)
	ready := catalog.Target{ID: "a", Service: "s", State: catalog.Ready, StartedAt: 100, Sequence: 5}
	draining, restarted, again := ready, ready, ready
	draining.State, draining.Sequence = catalog.Draining, 7
	restarted.StartedAt, restarted.Sequence = 200, 1
	again.Sequence = 9
	for _, test := range []struct {
		name         string
		known, entry catalog.Target
		revision     uint64
		applied      bool
	}{
		{"draining, ready in the copy", draining, ready, restored, false},
		{"started again, its earlier process in the copy", restarted, ready, restored, false},
		{"the same entry", draining, draining, restored, true},
		{"written again after the return", draining, again, restored, true},
		{"in the same history", draining, ready, lost + 1, true},
	} {
		for _, complete := range []bool{true, false} {
			c := newEntryControl()
			c.applyTargets(prefixChange{events: []metastore.Event{entryEvent(test.known, lost)}})
			c.applyTargets(prefixChange{complete: complete, revision: test.revision, events: []metastore.Event{entryEvent(test.entry, test.revision)}})
			want := test.known
			if test.applied {
				want = test.entry
			}
			if got := c.view.targets["a"]; got != want {
				t.Errorf("%s: %+v, want %+v", test.name, got, want)
			}
		}
	}
}

// Guards against a target that has left and is used again, and against an entry from a copy that is never applied although it stays the
// latest.
func TestEntryFromCopyIsAppliedIfItStays(t *testing.T) {
	entry := catalog.Target{ID: "a", Service: "s", State: catalog.Ready, StartedAt: 100, Sequence: 5}
	draining := entry
	draining.State, draining.Sequence = catalog.Draining, 7
	c := newEntryControl()
	c.applyTargets(prefixChange{events: []metastore.Event{entryEvent(draining, metastore.RevisionInEra(1, 50))}})
	gone := metastore.Event{Item: metastore.Item{Key: "t/a", Revision: metastore.RevisionInEra(1, 51)}, Removed: true}
	c.applyTargets(prefixChange{events: []metastore.Event{gone}})
	if _, used := c.view.targets["a"]; used {
		t.Fatal("a draining target outlives its entry")
	}
	restored := metastore.RevisionInEra(2, 40)
	list := prefixChange{complete: true, revision: restored, events: []metastore.Event{entryEvent(entry, restored)}}
	c.applyTargets(list)
	if _, used := c.view.targets["a"]; used {
		t.Error("a target that has left is used again")
	}
	held := c.entries.outdated["a"]
	held.since = held.since.Add(-removalGrace)
	c.entries.outdated["a"] = held
	c.applyTargets(list)
	if got := c.view.targets["a"]; got != entry {
		t.Errorf("%+v, want the entry that stayed the latest", got)
	}
}

// Guards against a draining target that is given up at once, with what runs on it, because the store has lost its entry for a moment.
func TestLostEntryOfDrainingTargetExpiresLater(t *testing.T) {
	c := newEntryControl()
	draining := catalog.Target{ID: "a", Service: "s", State: catalog.Draining, StartedAt: 100, Sequence: 5}
	c.applyTargets(prefixChange{events: []metastore.Event{entryEvent(draining, metastore.RevisionInEra(1, 50))}})
	c.applyTargets(prefixChange{complete: true, revision: metastore.RevisionInEra(2, 40)})
	if _, used := c.view.targets["a"]; !used {
		t.Error("the target was removed at once")
	}
	c.entries.removed["a"] = c.entries.removed["a"].Add(-removalGrace)
	c.expireEntries()
	if _, used := c.view.targets["a"]; used {
		t.Error("a target whose entry does not come back is never removed")
	}
}
