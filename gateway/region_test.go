package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Guards against statements that run outside the regions of their route or workspace, at whichever host their caller is, against
// refusals that are not immediate, and against statements without regions that are limited too.
func TestStatementsKeepToRegions(t *testing.T) {
	fleet := newTestFleetWith(t, "regions = z1:eu,z2:us,z3:us\n", func(g *lines.Group) {
		g.Member(1).SetDataCentre("z2")
		g.Member(2).SetDataCentre("z3")
	})
	config := lines.NewConfig(3, "workshop-key")
	config.SetRouteRegions("view", "us")
	config.SetWorkspaceRegions("school", "eu")
	fleet.store.PutConfig(config)
	time.Sleep(configurationTimeout)
	for host := range fleet.hosts {
		run := func(prefix, database, key, text, want string) {
			t.Helper()
			c := fleet.mustConnect(host, database, key)
			for n := range 20 {
				started := time.Now()
				if r := c.Query(fmt.Sprintf("%s-%d-%d", prefix, host, n), text); r.Code != want {
					t.Errorf("%s at host %d: %+v", prefix, host, r)
				}
				if took := time.Since(started); want != "" && took > 200*time.Millisecond {
					t.Errorf("%s at host %d: refused after %s", prefix, host, took)
				}
			}
		}
		run("warm", "orders", "workshop-key", "WRITE item x", "") // hosts learn a position of the primary
		run("us", "view", "workshop-key", "READ item", "")
		run("free", "plans", "workshop-key", "READ item", "")
		run("eu", "plans", "school-key", "READ item", "")
		run("none", "view", "school-key", "READ item", "BUSY")
		run("write", "view", "workshop-key", "WRITE item x", "BUSY")
	}
	allowed := map[string]string{"us": "stock-1 stock-2", "eu": "stock-0"}
	for _, e := range fleet.group.ExecutedStatements() {
		prefix, _, _ := strings.Cut(e.ID, "-")
		if prefix == "none" || prefix == "write" || allowed[prefix] != "" && !strings.Contains(allowed[prefix], e.Database) {
			t.Errorf("statement %s ran on %s", e.ID, e.Database)
		}
	}
}
