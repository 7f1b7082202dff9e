package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// valid returns a configuration without mistakes.
func valid() Configuration {
	return Configuration{File: "new.json", Version: 7, HasRoutes: true, HasKeys: true,
		Routes: []Route{{Line: 3, Database: "view", Service: "stock", Type: BoundedStaleness,
			MaxStaleness: 1500 * time.Millisecond,
			Timeout:      2 * time.Second, LatencyTarget: 400 * time.Millisecond, Priority: 1}},
		Services: []Service{{Line: 6, Name: "stock", MaxConnections: 20}},
		Workspaces: []Workspace{{Line: 9, Name: "workshop", Limited: true, Rate: 100, Burst: 50,
			Keys: []Key{{Line: 10, Text: "workshop-key-1"}}}}}
}

// Guards against mistakes that are not found, and against findings at the wrong line or for another mistake.
func TestCheckFindsEachMistake(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Configuration)
		want   string // text of the only finding; empty: none
	}{
		{"valid", func(*Configuration) {}, ""},
		{"no service", func(c *Configuration) {
			c.Routes = append(c.Routes, c.Routes[0])
			c.Routes[1].Database, c.Routes[1].Service = "x", "y"
		},
			`new.json:3: error: route "x": the service "y" does not exist`},
		{"same database", func(c *Configuration) { c.Routes = append(c.Routes, c.Routes[0]); c.Routes[1].Line = 5 },
			`new.json:5: error: route "view": line 3 has the same name`},
		{"no name", func(c *Configuration) { c.Routes[0].Database = "" }, `new.json:3: error: route "": the name is missing`},
		{"no time-out", func(c *Configuration) { c.Routes[0].Timeout = 0 },
			`new.json:3: error: route "view": the time-out is 0s`},
		{"short time-out", func(c *Configuration) { c.Routes[0].Timeout = 399 * time.Millisecond },
			`new.json:3: warning: route "view": the time-out of 399ms is under the latency target of 400ms`},
		{"equal time-out", func(c *Configuration) { c.Routes[0].Timeout = 400 * time.Millisecond }, ""},
		{"negative target", func(c *Configuration) { c.Routes[0].LatencyTarget = -1 },
			`new.json:3: error: route "view": the latency`},
		{"priority", func(c *Configuration) { c.Routes[0].Priority = -1 }, `new.json:3: error: route "view": the priority is -1`},
		{"no staleness", func(c *Configuration) { c.Routes[0].MaxStaleness = 0 },
			`new.json:3: error: route "view": the maximum staleness is missing`},
		{"low staleness", func(c *Configuration) { c.Routes[0].MaxStaleness = 99 * time.Millisecond },
			`new.json:3: warning: route "view": the maximum staleness of 99ms is under the usual replication lag of 100ms`},
		{"staleness of primary", func(c *Configuration) { c.Routes[0].Type, c.Routes[0].MaxStaleness = Primary, 0 }, ""},
		{"type", func(c *Configuration) { c.Routes[0].Type = "eventual" },
			`new.json:3: error: route "view": the route type "eventual" is unknown`},
		{"unused service", func(c *Configuration) {
			c.Services = append(c.Services, Service{Line: 7, Name: "b", MaxConnections: 3})
		},
			`new.json:7: warning: service "b": no route leads to it`},
		{"same service", func(c *Configuration) { c.Services = append(c.Services, c.Services[0]) },
			`new.json:6: error: service "stock": line 6 has the same name`},
		{"no connections", func(c *Configuration) { c.Services[0].MaxConnections = 0 },
			`new.json:6: error: service "stock": 0 connections leave none`},
		{"reserved connections", func(c *Configuration) { c.Services[0].MaxConnections = 2 },
			`new.json:6: error: service "stock": 2 connections leave none`},
		{"replicas", func(c *Configuration) { c.Services[0].SyncReplicas = -1 },
			`new.json:6: error: service "stock": the number of synchronous replicas is -1`},
		{"cold", func(c *Configuration) { c.Services[0].ColdPerSecond = -2 },
			`new.json:6: error: service "stock": the rate of a cold target is -2`},
		{"no keys", func(c *Configuration) { c.Workspaces[0].Keys = nil },
			`new.json:9: warning: workspace "workshop": it has no keys`},
		{"empty key", func(c *Configuration) { c.Workspaces[0].Keys[0].Text = "" },
			`new.json:10: error: workspace "workshop": a key is empty`},
		{"key twice", func(c *Configuration) { c.Workspaces[0].Keys = append(c.Workspaces[0].Keys, c.Workspaces[0].Keys...) },
			`new.json:10: warning: workspace "workshop": it has the key work... twice`},
		{"shared key", func(c *Configuration) {
			c.Workspaces = append(c.Workspaces, c.Workspaces[0])
			c.Workspaces[1].Name = "school"
		},
			`new.json:10: error: workspace "school": the workspace "workshop" has the key work... too`},
		{"same workspace", func(c *Configuration) {
			c.Workspaces = append(c.Workspaces, c.Workspaces[0])
			c.Workspaces[1].Keys = []Key{{Text: "b"}}
		},
			`new.json:9: error: workspace "workshop": line 9 has the same name`},
		{"rate", func(c *Configuration) { c.Workspaces[0].Rate = 0 }, `new.json:9: error: workspace "workshop": the rate is 0`},
		{"burst", func(c *Configuration) { c.Workspaces[0].Burst = 0.9 },
			`new.json:9: error: workspace "workshop": the burst is 0.9`},
		{"burst without rate", func(c *Configuration) { c.Workspaces[0].Limited = false },
			`new.json:9: warning: workspace "workshop": the burst of 50 has no effect`},
		{"no limit", func(c *Configuration) { c.Workspaces[0].Limited, c.Workspaces[0].Burst = false, 0 }, ""},
		{"capacity", func(c *Configuration) { c.Services[0].Slots, c.Workspaces[0].Rate = 3, 301 },
			`new.json: warning: limits of all workspaces: together 301 a second, but 3 slots take 300 a second`},
		{"enough capacity", func(c *Configuration) { c.Services[0].Slots, c.Workspaces[0].Rate = 3, 300 }, ""},
		{"negative limit", func(c *Configuration) { c.TransactionIdle = -1 }, `new.json: error: limits: a limit is negative`},
		{"version", func(c *Configuration) { c.Version = 0 }, `new.json: error: version: it is 0`},
		{"service of base file", func(c *Configuration) { c.HasRoutes, c.Routes = false, nil },
			`new.json:6: warning: service "stock": no workspace may use it`},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := valid()
			c.change(&changed)
			findings := Check(changed, 10*time.Millisecond)
			found := len(findings) == 0
			if c.want != "" {
				found = len(findings) == 1 && strings.HasPrefix(findings[0].String(), c.want)
			}
			if !found {
				t.Errorf("findings %v, want %q", findings, c.want)
			}
		})
	}
}

// Guards against differences that are missed or that name the wrong direction, and against keys printed whole.
func TestDiff(t *testing.T) {
	old, changed := valid(), valid()
	if got := Diff(changed, old); len(got) > 0 {
		t.Errorf("equal configurations differ: %v", got)
	}
	old.Version = 6
	old.Services = append(old.Services, Service{Line: 7, Name: "gone"})
	old.Workspaces = append(old.Workspaces, Workspace{Name: "left", Keys: []Key{{Text: "left-key"}}})
	changed.Routes[0].Priority = 2
	changed.Routes = append(changed.Routes, Route{Line: 4, Database: "orders", Service: "stock", Type: Primary,
		Timeout: time.Second})
	changed.Workspaces[0].Rate, changed.Workspaces[0].Regions = 200, []string{"eu", "us"}
	changed.Workspaces[0].Keys = []Key{{Line: 10, Text: "abc"}}
	var got []string
	for _, f := range Diff(changed, old) {
		got = append(got, f.String())
	}
	want := []string{`new.json:3: change: route "view": priority changed from 1 to 2`,
		`new.json:4: change: route "orders": added with service stock; type primary; maximum staleness 0s; time-out 1s; ` +
			`latency target 0s; priority 0; public false; allowed regions all`,
		`new.json:9: change: workspace "workshop": rate changed from 100 to 200`,
		`new.json:9: change: workspace "workshop": allowed regions changed from all to eu, us`,
		`new.json:10: change: workspace "workshop": key a... added`,
		`new.json: change: workspace "workshop": key work... removed`,
		`new.json: change: service "gone": removed`, `new.json: change: workspace "left": removed with its keys (1)`,
		`new.json: change: version: changed from 6 to 7`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differences (-want +got):\n%s", diff)
	}
}

// Guards against a lower or equal version that goes unnoticed, and against changes that count as mistakes.
func TestDiffOfVersions(t *testing.T) {
	for _, c := range []struct {
		version  int64
		rate     float64
		mistakes bool
	}{{6, 100, true}, {7, 100, false}, {7, 200, true}, {8, 200, false}} {
		changed := valid()
		changed.Version, changed.Workspaces[0].Rate = c.version, c.rate
		if got := Diff(changed, valid()); Mistakes(got) != c.mistakes {
			t.Errorf("version %d, rate %g: %v", c.version, c.rate, got)
		}
	}
}
