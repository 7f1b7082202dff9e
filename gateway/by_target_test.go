package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// newSpreadFleet returns a fleet with a host and a target in each of three data centres, whose statements are assigned by target.
func newSpreadFleet(t *testing.T) *testFleet {
	oldAssign, oldDataCentre := assignByTarget, dataCentreOf
	assignByTarget = true
	dataCentreOf = func(host string) string { return "z" + strings.TrimPrefix(host, "host-") }
	t.Cleanup(func() { assignByTarget, dataCentreOf = oldAssign, oldDataCentre })
	return newTestFleetWith(t, "", func(g *lines.Group) {
		for i := range 3 {
			g.Member(i).SetDataCentre(fmt.Sprint("z", i))
		}
	})
}

// replicationTime is the time in which replicas of a test fleet apply a commit, and hosts learn that they have.
const replicationTime = 600 * time.Millisecond

// executedBy returns the number of messages that each target has received.
func (fleet *testFleet) executedBy() (counts [3]int) {
	for i := range counts {
		counts[i] = len(fleet.group.Member(i).RequestTimes())
	}
	return counts
}

// Guards against reads that cross between data centres although a target in the caller's data centre can run them, and against
// reads there that miss a commit of their own session. The host of a replica knows the log of the primary only from the host that
// uses the primary.
func TestReadsStayInDataCentre(t *testing.T) {
	fleet := newSpreadFleet(t)
	for host := range fleet.hosts {
		c := fleet.mustConnect(host, "plans", "workshop-key")
		item := fmt.Sprint("item-", host)
		if a := c.Query(fmt.Sprint("w-", host), "WRITE "+item+" value"); a.Code != "" {
			t.Fatalf("write through host %d: %+v", host, a)
		}
		time.Sleep(replicationTime)
		before := fleet.executedBy()
		const reads = 40
		for n := range reads {
			if a := c.Query(fmt.Sprintf("r-%d-%d", host, n), "READ "+item); len(a.Rows) != 1 || a.Rows[0] != "value" {
				t.Fatalf("read %d through host %d: %+v", n, host, a)
			}
		}
		after := fleet.executedBy()
		// Openings of connections, status commands and the first reads after a write come on top.
		if own := after[host] - before[host]; own < reads*3/4 {
			t.Errorf("host %d: the target of its data centre got %d messages for %d reads, all targets %v to %v", host, own,
				reads, before, after)
		}
	}
}

// Guards against reads that fail or wait for their deadline when the target of the caller's data centre does not answer, and when
// the host that uses it has stopped.
func TestReadsLeaveDataCentreOnFailure(t *testing.T) {
	fleet := newSpreadFleet(t)
	c := fleet.mustConnect(0, "plans", "workshop-key")
	if a := c.Query("w", "WRITE item value"); a.Code != "" {
		t.Fatalf("%+v", a)
	}
	primary := fleet.group.Primary()
	for i := range 3 {
		m := fleet.group.Member(i)
		if m == primary {
			continue
		}
		m.SetPartitioned(true)
		reader := fleet.mustConnect(i, "plans", "workshop-key")
		served := false
		for n, deadline := 0, time.Now().Add(5*time.Second); time.Now().Before(deadline) && !served; n++ {
			a := reader.Query(fmt.Sprintf("r-%d-%d", i, n), "READ item")
			served = len(a.Rows) == 1 && a.Rows[0] == "value"
		}
		if !served {
			t.Errorf("no read through host %d was served while its target was partitioned", i)
		}
		m.SetPartitioned(false)
	}
	if err := fleet.hosts[1].shutDown(); err != nil {
		t.Fatal(err)
	}
	for n := range 20 {
		if a := c.Query(fmt.Sprint("after-", n), "READ item"); len(a.Rows) != 1 || a.Rows[0] != "value" {
			t.Errorf("read %d after the stop of another host: %+v", n, a)
		}
	}
}
