package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Guards against load control that refuses without load, that refuses what has run, or whose refusals don't name the time to
// come back, with real hosts that forward statements to each other.
func TestLoadControl(t *testing.T) {
	fleet := newTestFleetWith(t, "contracts = pressure\n", func(*lines.Group) {})
	const statementTime = 300 * time.Millisecond // most of the latency target, so that few statements can wait
	fleet.group.SetStatementTime(statementTime)
	c := fleet.mustConnect(0, "orders", "workshop-key")
	for n := range 2 { // the hosts learn the time of a write
		if a := c.Query(fmt.Sprintf("calm-%d", n), fmt.Sprintf("WRITE calm-%d x", n)); a.Code != "" {
			t.Errorf("a write without load is answered with %+v", a)
		}
	}
	for _, step := range []struct{ id, text string }{{"t-begin", "BEGIN"}, {"t-write", "WRITE t x"}} {
		if a := c.Query(step.id, step.text); a.Code != "" {
			t.Errorf("%s: %+v", step.text, a)
		}
	}
	var mu sync.Mutex
	refused, done := map[string]bool{}, 0
	var wg sync.WaitGroup
	for i := range 40 {
		conn := fleet.mustConnect(i%3, "orders", "workshop-key")
		wg.Go(func() {
			id := fmt.Sprintf("load-%d", i)
			a := conn.Query(id, "WRITE "+id+" x")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Code == "":
				done++
			case a.Code == "BUSY" && strings.Contains(a.Detail, "retry after "):
				refused[id] = true
			default:
				t.Errorf("%s: %+v", id, a)
			}
		})
	}
	if a := c.Query("t-commit", "COMMIT"); a.Code != "" {
		t.Errorf("the commit under load is answered with %+v", a)
	}
	wg.Wait()
	if done == 0 || len(refused) == 0 {
		t.Errorf("%d writes are done, %d refused", done, len(refused))
	}
	for _, e := range fleet.group.ExecutedStatements() {
		if refused[e.ID] {
			t.Errorf("the refused write %s has run", e.ID)
		}
	}
}

// Guards against load control that refuses statements under normal conditions: a statement whose turn is on a replica that lags must
// run elsewhere, and slow first statements must not lead to refusals of the next ones.
func TestLoadControlRefusesNothingUnderNormalConditions(t *testing.T) {
	fleet := newTestFleetWith(t, "load_control = on\n", func(*lines.Group) {})
	fleet.group.SetReplicationLag(60 * time.Millisecond)
	var wg sync.WaitGroup
	for host := range 3 {
		wg.Go(func() {
			for _, database := range []string{"plans", "view"} {
				c, err := fleet.connect(host, database, "school-key")
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				for n := range 50 {
					item := fmt.Sprintf("%s-%d-%d", database, host, n)
					if a := c.Query("w-"+item, "WRITE "+item+" x"); a.Code != "" {
						t.Errorf("write %s: %+v", item, a)
					}
					if a := c.Query("r-"+item, "READ "+item); a.Code != "" {
						t.Errorf("read %s: %+v", item, a)
					}
				}
			}
		})
	}
	wg.Wait()
}
