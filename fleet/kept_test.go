package fleet

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
)

// keptFixture is a control that has read a configuration and an entry of era 1, and then an earlier configuration and entry of era 2.
type keptFixture struct {
	*control
	entry, earlier catalog.Target
}

const keptConfigurationKey = "o/configuration"

// newKeptControl returns a control that decodes configurations from the JSON form of catalog.Catalog.
func newKeptControl() *control {
	c := newEntryControl()
	c.agent.Decoders.ConfigurationKey = keptConfigurationKey
	c.agent.Decoders.Configuration = func(value []byte) (*catalog.Catalog, error) {
		next := &catalog.Catalog{}
		return next, json.Unmarshal(value, next)
	}
	return c
}

func configurationChange(version int64, revision uint64) prefixChange {
	item := metastore.Item{Key: keptConfigurationKey, Value: mustEncode(catalog.Catalog{Version: version}), Revision: revision}
	return prefixChange{complete: true, revision: revision, events: []metastore.Event{{Item: item}}}
}

func newKeptFixture() keptFixture {
	f := keptFixture{control: newKeptControl()}
	f.entry = catalog.Target{ID: "a", Service: "s", State: catalog.Draining, StartedAt: 100, Sequence: 7}
	f.earlier = catalog.Target{ID: "a", Service: "s", State: catalog.Ready, StartedAt: 100, Sequence: 5}
	before, after := metastore.RevisionInEra(1, 50), metastore.RevisionInEra(2, 40)
	f.applyConfiguration(configurationChange(12, before))
	f.applyTargets(prefixChange{events: []metastore.Event{entryEvent(f.entry, before)}})
	f.applyConfiguration(configurationChange(11, after))
	f.applyTargets(prefixChange{complete: true, revision: after, events: []metastore.Event{entryEvent(f.earlier, after)}})
	f.agent.observeEra(controlPrefix, after)
	return f
}

// Guards against a host that starts just after the store has come back from a copy and serves with an earlier configuration and earlier
// entries than the hosts that run, until they are written again.
func TestStartingHostLearnsWhatOthersHaveKept(t *testing.T) {
	running := newKeptFixture()
	peer := startPeer(t, "running", map[string]any{"Peer": &Peer{running.agent}})
	starting := newKeptControl()
	a := starting.agent
	a.controlClients, a.Seeds = newPeerClients(), []string{peer.Address}
	revision := metastore.RevisionInEra(2, 40)
	starting.applyConfiguration(configurationChange(11, revision))
	starting.applyTargets(prefixChange{complete: true, revision: revision, events: []metastore.Event{entryEvent(running.earlier, revision)}})
	a.observeEra(controlPrefix, revision)
	a.learnKept(t.Context())
	for len(a.events) > 0 {
		(<-a.events)(starting)
	}
	if got := starting.view.catalog.Version; got != 12 {
		t.Errorf("version %d of the configuration, want 12", got)
	}
	if got := starting.view.targets["a"]; got != running.entry {
		t.Errorf("entry %+v, want %+v", got, running.entry)
	}
	if kept := a.view.Load().kept; kept.configuration == nil || len(kept.targets) != 1 {
		t.Errorf("the host keeps %+v for others", kept)
	}
	again := running.earlier
	again.Sequence = 9
	starting.applyConfiguration(configurationChange(12, revision+1))
	starting.applyTargets(prefixChange{events: []metastore.Event{entryEvent(again, revision+1)}})
	if kept := a.view.Load().kept; kept.configuration != nil || len(kept.targets) != 0 {
		t.Errorf("the host keeps %+v, which the store has again", kept)
	}
	if got := starting.view.targets["a"]; got != again {
		t.Errorf("entry %+v, want %+v", got, again)
	}
}

// Guards against an answer of a host that does not know yet what the store has lost, and against a megabyte that is sent to a host which
// has it.
func TestKeptStateIsSentOnlyIfNeeded(t *testing.T) {
	running := newKeptFixture()
	peer := &Peer{running.agent}
	var reply KeptReply
	if err := peer.Kept(KeptRequest{Era: 3}, &reply); !errors.Is(err, errEarlierEra) {
		t.Errorf("a question from a later era is answered with %v", err)
	}
	if err := peer.Kept(KeptRequest{Era: 2, Version: 12}, &reply); err != nil || reply.Configuration != nil {
		t.Errorf("a host with the same version gets %d bytes, error %v", len(reply.Configuration), err)
	}
}

// Guards against a host that takes an earlier configuration or entry from another one that has kept less.
func TestKeptStateReplacesNothingLater(t *testing.T) {
	running := newKeptFixture()
	later := running.entry
	later.Sequence = 8
	c := newKeptControl()
	revision := metastore.RevisionInEra(2, 41)
	c.applyConfiguration(configurationChange(13, revision))
	c.applyTargets(prefixChange{events: []metastore.Event{entryEvent(later, revision)}})
	c.applyKept(2, KeptReply{Configuration: running.view.kept.configuration, Targets: []catalog.Target{running.entry}})
	if got := c.view.catalog.Version; got != 13 {
		t.Errorf("version %d of the configuration, want 13", got)
	}
	if got := c.view.targets["a"]; got != later {
		t.Errorf("entry %+v, want %+v", got, later)
	}
}
