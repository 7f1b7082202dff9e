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
		fleet.store.Restore(copied)
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
