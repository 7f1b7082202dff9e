package gateway_test

import (
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// checkTokens checks that the fencing tokens of promotions never decrease.
func (fleet *testFleet) checkTokens() {
	fleet.t.Helper()
	fleet.group.Inspect(func(_ []lines.ExecutedStatement, _ []*lines.Commit, promotions []lines.Promotion) {
		highest := uint64(0)
		for _, p := range promotions {
			if p.FencingToken < highest {
				fleet.t.Errorf("%s promoted %s with token %d after %d", p.LeaseHolder, p.Target, p.FencingToken, highest)
			}
			highest = max(highest, p.FencingToken)
		}
	})
}

// Guards against hosts that go back to a primary that has been replaced, and against orders with lower tokens, after the store has come
// back from a copy that does not have the last decisions, registrations and leaders.
func TestStoreComesBackFromCopy(t *testing.T) {
	fleet := newTestFleet(t)
	replaced := func(i int) {
		t.Helper()
		fleet.waitFor("the draining primary is replaced", 25*time.Second, func() bool {
			p := fleet.group.Primary()
			return p != nil && p != fleet.group.Member(i)
		})
	}
	for _, w := range fleet.runWriters(func() {
		copied := fleet.store.Copy()
		fleet.group.Member(0).Drain()
		replaced(0)
		time.Sleep(time.Second)
		fleet.store.Restore(copied, nil)
		time.Sleep(3 * time.Second)
		fleet.waitFor("a host leads again", 10*time.Second, func() bool { return fleet.leader() >= 0 })
	}) {
		w.verify(t, fleet)
	}
	old := fleet.group.Member(0).ID
	for _, e := range fleet.group.ExecutedStatements() {
		if e.Database == old && e.Committed && e.At.After(time.Now().Add(-3*time.Second)) {
			t.Errorf("%s was committed at %s, which has been replaced", e.ID, e.Database)
		}
	}
	primary := fleet.group.Primary()
	next := 1
	if primary == fleet.group.Member(2) {
		next = 2
	}
	fleet.group.Member(next).Drain()
	replaced(next)
	fleet.awaitWrites("after-drill", 15*time.Second)
	fleet.checkTokens()
}

// Guards against writes that are lost or refused for longer than the lease of a leader, and against two hosts that order promotions, when
// the store comes back twice within a second, from a copy of before the primary was replaced, while a host starts again.
func TestStoreComesBackTwice(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.runWriters(func() {
		copied := fleet.store.Copy()
		old := fleet.group.Member(0)
		old.Drain()
		fleet.waitFor("the draining primary is replaced", 25*time.Second, func() bool {
			p := fleet.group.Primary()
			return p != nil && p != old
		})
		fleet.store.Restore(copied, func(string) time.Duration { return time.Second })
		if err := fleet.hosts[2].shutDown(); err != nil {
			t.Error(err)
		}
		time.Sleep(500 * time.Millisecond)
		fleet.store.Restore(copied, func(string) time.Duration { return 1500 * time.Millisecond })
		fleet.hosts[2] = fleet.startHost("host-2", fleet.platformStore, fleet.promotionAPI)
		fleet.waitFor("the host is ready", 10*time.Second, fleet.hosts[2].isReady)
		fleet.waitFor("a host leads again", 10*time.Second, func() bool { return fleet.leader() >= 0 })
		time.Sleep(4 * time.Second) // until the decisions are reconciled
	})
	fleet.awaitWrites("after-returns", 15*time.Second)
	fleet.checkTokens()
	old := fleet.group.Member(0).ID
	for _, e := range fleet.group.ExecutedStatements() {
		if e.Database == old && e.Committed && e.At.After(time.Now().Add(-3*time.Second)) {
			t.Errorf("%s was committed at %s, which has been replaced", e.ID, e.Database)
		}
	}
}
