package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// evacuationBound is the time after the acknowledgement from which no request may reach a target.
const evacuationBound = 5 * time.Second

// watchTime is the time after its start in which a host has an answer to its first watch. Until then it doesn't know the
// age of a request, and assumes that the bound has passed.
const watchTime = 2 * time.Second

// newEvacuationFleet starts hosts that follow evacuation requests, and targets in the given data centres. The first
// target is the primary.
func newEvacuationFleet(t *testing.T, dataCentres ...string) *testFleet {
	t.Helper()
	fleet := newTestFleetWith(t, "evacuation_ms = 5000\n", func(g *lines.Group) {
		for i, name := range dataCentres {
			g.Member(i).SetDataCentre(name)
		}
	})
	time.Sleep(watchTime)
	return fleet
}

// evacuate requests the evacuation and returns the time of its acknowledgement.
func (fleet *testFleet) evacuate(dataCentre string) time.Time {
	fleet.store.RequestEvacuation(dataCentre)
	return time.Now()
}

// checkUnreached fails the test if one of the members has received a request after the bound.
func (fleet *testFleet) checkUnreached(acknowledged time.Time, members ...int) {
	fleet.t.Helper()
	for _, i := range members {
		if late := fleet.group.Member(i).LastRequest().Sub(acknowledged); late > evacuationBound {
			fleet.t.Errorf("target %d received a request %s after the acknowledgement", i, late)
		}
	}
}

// waitUntil sleeps until a time after the acknowledgement.
func waitUntil(acknowledged time.Time, after time.Duration) {
	time.Sleep(time.Until(acknowledged.Add(after)))
}

// Guards against requests that reach targets of an evacuated data centre, against commits that its evacuation loses,
// against a primary there that is not replaced, and against targets that are not used again after the withdrawal.
func TestEvacuationMovesPrimary(t *testing.T) {
	fleet := newEvacuationFleet(t, "z1", "z1", "z2")
	old := fleet.group.Member(0)
	var acknowledged time.Time
	writers := fleet.runWriters(func() {
		acknowledged = fleet.evacuate("z1")
		fleet.waitFor("the target elsewhere is the primary", 2500*time.Millisecond, func() bool {
			return fleet.group.Primary() == fleet.group.Member(2)
		})
		reader := fleet.mustConnect(1, "view", "workshop-key")
		for n := 0; time.Since(acknowledged) < evacuationBound+2*time.Second; n++ {
			if r := reader.Query(fmt.Sprintf("v-%d", n), "READ item"); r.Code != "" {
				t.Errorf("read %d: %+v", n, r)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	fleet.checkUnreached(acknowledged, 0, 1)
	committed := fleet.group.CommittedIDs()
	for i, w := range writers {
		for _, id := range w.acknowledged {
			if !slices.Contains(committed, id) {
				t.Errorf("writer %d: acknowledged write %s is lost", i, id)
			}
		}
		if w.longestGap > 2*time.Second || time.Since(w.lastAck) > time.Second {
			t.Errorf("writer %d: longest gap %s, last success %s ago", i, w.longestGap, time.Since(w.lastAck))
		}
	}
	fleet.store.WithdrawEvacuation("z1")
	withdrawn := time.Now()
	fleet.waitFor("a target of the data centre is used again", configurationTimeout, func() bool {
		c := fleet.mustConnect(0, "view", "workshop-key")
		defer c.Close()
		c.Query(fmt.Sprintf("again-%d", time.Now().UnixNano()), "READ item")
		return old.LastRequest().After(withdrawn) || fleet.group.Member(1).LastRequest().After(withdrawn)
	})
}

// Guards against a promotion or a request when all targets are in evacuated data centres, against refusals that are not
// immediate or whose code does not guarantee that nothing happened, and against refusals after the withdrawal.
func TestEvacuationOfAllDataCentres(t *testing.T) {
	fleet := newEvacuationFleet(t, "z1", "z2", "z2")
	fleet.store.RequestEvacuation("z2")
	acknowledged := fleet.evacuate("z1")
	for host := range fleet.hosts {
		for _, database := range []string{"orders", "view", "plans"} {
			c := fleet.mustConnect(host, database, "workshop-key")
			fleet.waitFor("statements are refused", 1500*time.Millisecond, func() bool {
				return c.Query(fmt.Sprintf("%s-%d-%d", database, host, time.Now().UnixNano()), "READ item").Code == "BUSY"
			})
			started := time.Now()
			if r := c.Query(fmt.Sprintf("late-%s-%d", database, host), "WRITE item x"); r.Code != "BUSY" ||
				time.Since(started) > 200*time.Millisecond {
				t.Errorf("host %d, %s: %+v after %s", host, database, r, time.Since(started))
			}
		}
	}
	waitUntil(acknowledged, evacuationBound+time.Second)
	fleet.checkUnreached(acknowledged, 0, 1, 2)
	fleet.group.Inspect(func(_ []lines.ExecutedStatement, _ []*lines.Commit, promotions []lines.Promotion) {
		if len(promotions) > 0 {
			t.Errorf("a target was promoted: %+v", promotions)
		}
	})
	if slices.ContainsFunc(fleet.group.CommittedIDs(), func(id string) bool { return strings.HasPrefix(id, "late-") }) {
		t.Error("a refused write was committed")
	}
	fleet.store.WithdrawEvacuation("z1")
	fleet.store.WithdrawEvacuation("z2")
	fleet.awaitWrites("withdrawn", configurationTimeout)
}

// awaitWrites waits until each host accepts a write.
func (fleet *testFleet) awaitWrites(name string, timeout time.Duration) {
	fleet.t.Helper()
	for host := range fleet.hosts {
		n := 0
		fleet.waitFor("the host accepts writes", timeout, func() bool {
			c, err := fleet.connect(host, "orders", "workshop-key")
			if err != nil {
				return false
			}
			defer c.Close()
			n++
			return c.Query(fmt.Sprintf("%s-%d-%d", name, host, n), "WRITE item "+name).Code == ""
		})
	}
}

// Guards against a primary that stays in use, or a promotion that never comes, when the leader is lost or the store fails
// between the request and the promotion.
func TestEvacuationWithoutLeaderOrStore(t *testing.T) {
	for _, fault := range []string{"leader", "store"} {
		t.Run(fault, func(t *testing.T) {
			fleet := newEvacuationFleet(t, "z1", "z1", "z2")
			stop := make(chan struct{})
			done := make(chan struct{})
			writing := (fleet.leader() + 1) % 3
			go func() {
				fleet.runWriter("w", writing, stop)
				close(done)
			}()
			// No decision is stored from now on, as if the leader were lost after it has read the request.
			fleet.store.RefuseRequests(func(r *http.Request) bool { return lines.ChangesItems(r) })
			acknowledged := fleet.evacuate("z1")
			time.Sleep(time.Second)
			if fault == "store" {
				fleet.store.RefuseRequests(func(*http.Request) bool { return true })
			} else {
				fleet.hosts[fleet.leader()].relay.Close()
			}
			waitUntil(acknowledged, evacuationBound+time.Second)
			fleet.checkUnreached(acknowledged, 0, 1)
			if fleet.group.Primary() != fleet.group.Member(0) {
				t.Error("a target was promoted without a decision")
			}
			fleet.store.RefuseRequests(nil)
			fleet.waitFor("the target elsewhere is the primary", 10*time.Second, func() bool {
				return fleet.group.Primary() == fleet.group.Member(2)
			})
			fleet.checkUnreached(acknowledged, 0, 1)
			c := fleet.mustConnect(writing, "orders", "workshop-key")
			n := 0
			fleet.waitFor("writes are accepted again", 5*time.Second, func() bool {
				n++
				return c.Query(fmt.Sprintf("after-%d", n), "WRITE item x").Code == ""
			})
			close(stop)
			<-done
		})
	}
}

// refuseDecisions makes the store refuse decisions about primaries.
func (fleet *testFleet) refuseDecisions() {
	fleet.store.RefuseRequests(func(r *http.Request) bool {
		if !lines.ChangesItems(r) {
			return false
		}
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		return err != nil || bytes.Contains(body, []byte("waxwingspindle/primary/"))
	})
}

// Guards against a host that starts during an evacuation and takes the request for a new one: it would use a primary that has
// not been replaced yet.
func TestHostStartsDuringEvacuation(t *testing.T) {
	fleet := newEvacuationFleet(t, "z1", "z1", "z2")
	fleet.refuseDecisions()
	acknowledged := fleet.evacuate("z1")
	waitUntil(acknowledged, evacuationBound)
	fleet.hosts = append(fleet.hosts, fleet.startHost("host-3", fleet.platformStore, fleet.promotionAPI))
	fleet.waitFor("the host is ready", 10*time.Second, fleet.hosts[3].isReady)
	for n := range 100 {
		c := fleet.mustConnect(3, "orders", "workshop-key")
		if r := c.Query(fmt.Sprintf("s-%d", n), "READ item"); r.Code != "BUSY" {
			t.Errorf("statement %d: %+v", n, r)
		}
		c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	fleet.checkUnreached(acknowledged, 0, 1)
	fleet.store.RefuseRequests(nil)
	fleet.awaitWrites("replaced", 5*time.Second)
	fleet.checkUnreached(acknowledged, 0, 1)
}

// Guards against open transactions that continue for too long on targets of an evacuated data centre, against a commit of
// one that is not answered with the code for aborted, and against a write of such a transaction that takes effect.
func TestTransactionsOpenAtEvacuation(t *testing.T) {
	fleet := newEvacuationFleet(t, "z1", "z1", "z1") // without a target elsewhere the primary is not replaced
	config := lines.NewConfig(3, "workshop-key")
	config.SetTransactionIdleTime(time.Minute)
	fleet.store.PutConfig(config)
	time.Sleep(configurationTimeout)
	type openTxn struct {
		client *lines.Client
		name   string
		ended  string
	}
	var open []*openTxn
	for host := range fleet.hosts { // at least one of them forwards the transaction to another
		for _, kind := range []string{"active", "idle", "early"} {
			txn := &openTxn{client: fleet.mustConnect(host, "orders", "workshop-key"), name: fmt.Sprintf("%s%d", kind, host)}
			for _, text := range []string{"BEGIN", "WRITE " + txn.name + " x"} {
				if r := txn.client.Query(txn.name, text); r.Code != "" {
					t.Fatalf("%s, %s: %+v", txn.name, text, r)
				}
			}
			open = append(open, txn)
		}
	}
	acknowledged := fleet.evacuate("z1")
	time.Sleep(time.Second)
	for _, txn := range open {
		if strings.HasPrefix(txn.name, "early") {
			if r := txn.client.Query(txn.name, "COMMIT"); r.Code != "" {
				t.Errorf("%s: a commit one second after the request: %+v", txn.name, r)
			}
		}
	}
	for time.Since(acknowledged) < 4500*time.Millisecond {
		for _, txn := range open {
			if strings.HasPrefix(txn.name, "active") && txn.ended == "" {
				txn.ended = txn.client.Query(txn.name, "READ item").Code
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if left := fleet.group.OpenTransactions(); left > 0 {
		t.Errorf("%d transactions are open on targets", left)
	}
	for _, txn := range open {
		switch {
		case strings.HasPrefix(txn.name, "active") && txn.ended != "ABORTED":
			t.Errorf("%s ended with %q", txn.name, txn.ended)
		case strings.HasPrefix(txn.name, "idle"):
			if r := txn.client.Query(txn.name, "COMMIT"); r.Code != "ABORTED" {
				t.Errorf("%s: the commit was answered with %+v", txn.name, r)
			}
		}
	}
	committed := fleet.group.CommittedIDs()
	for _, txn := range open {
		if slices.Contains(committed, txn.name) != strings.HasPrefix(txn.name, "early") {
			t.Errorf("%s: committed %t", txn.name, slices.Contains(committed, txn.name))
		}
	}
	waitUntil(acknowledged, evacuationBound+500*time.Millisecond)
	fleet.checkUnreached(acknowledged, 0, 1, 2)
}

// Guards against a host that stops following the configuration, or is stopped by keys that it does not know, when it
// follows all keys of the operator.
func TestOtherOperatorKeysAreIgnored(t *testing.T) {
	fleet := newEvacuationFleet(t, "z1", "z1", "z2")
	fleet.store.PutRaw("op/evacuate/", []byte("{}"))
	fleet.store.PutRaw("op/evacuate/two words", []byte("{}"))
	fleet.store.PutRaw("op/other", []byte("not JSON"))
	fleet.store.PutConfig(lines.NewConfig(7, "another-key"))
	for host := range fleet.hosts {
		fleet.waitFor("the configuration is in force", configurationTimeout, func() bool {
			c, err := fleet.connect(host, "orders", "another-key")
			if err != nil {
				return false
			}
			defer c.Close()
			return c.Query("q", "READ item").Code == ""
		})
	}
}

// mostRequests returns the largest number of requests that a member has received in one second since a time.
func mostRequests(m *lines.Member, since time.Time) int {
	most, first := 0, 0
	times := m.RequestTimes()
	for last, at := range times {
		for at.Sub(times[first]) >= time.Second || times[first].Before(since) && first < last {
			first++
		}
		if !at.Before(since) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against more requests to a cold target than its bound allows, under normal conditions, when an evacuation moves the
// load to it, and when it becomes usable at the end of an evacuation; and against reads that wait for it while others can
// run them.
func TestColdTargetsKeepToBound(t *testing.T) {
	const perSecond, bound = 10, 20 // 1.5 perSecond + 5
	fleet := newTestFleetWith(t, "evacuation_ms = 5000\n", func(g *lines.Group) {
		g.Member(1).SetDataCentre("z2")
		g.Member(2).SetDataCentre("z2")
		g.Member(1).SetColdRemaining(time.Minute)
	})
	config := lines.NewConfig(3, "workshop-key")
	config.SetColdPerSecond(perSecond)
	fleet.store.PutConfig(config)
	time.Sleep(watchTime)
	started := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var failed, answered atomic.Int32
	for i := range 12 {
		c := fleet.mustConnect(i%3, []string{"view", "plans"}[i%2], "workshop-key")
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if r := c.Query(fmt.Sprintf("c%d-%d", i, n), "READ item"); r.Code == "" {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	writers := fleet.runWriters(func() {
		time.Sleep(time.Second)
		acknowledged := fleet.evacuate("z1")
		fleet.waitFor("a warm target is the primary", 3*time.Second, func() bool {
			return fleet.group.Primary() == fleet.group.Member(2)
		})
		waitUntil(acknowledged, evacuationBound)
		fleet.checkUnreached(acknowledged, 0)
		fleet.group.Member(0).SetColdRemaining(time.Minute)
		fleet.store.WithdrawEvacuation("z1")
		time.Sleep(2 * time.Second)
		if most := mostRequests(fleet.group.Member(0), acknowledged.Add(evacuationBound)); most == 0 || most > bound {
			t.Errorf("%d requests in a second to a target that is cold at the end of its evacuation", most)
		}
	})
	close(stop)
	wg.Wait()
	if most := mostRequests(fleet.group.Member(1), started); most == 0 || most > bound {
		t.Errorf("%d requests in a second to a cold target", most)
	}
	if failed.Load() > answered.Load()/20 {
		t.Errorf("%d of %d reads failed", failed.Load(), answered.Load()+failed.Load())
	}
	for i, w := range writers {
		if time.Since(w.lastAck) > time.Second {
			t.Errorf("writer %d: last success %s ago", i, time.Since(w.lastAck))
		}
	}
}
