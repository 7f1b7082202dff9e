package lines

import "time"

// configurationKey is the store key of the operators' configuration.
const configurationKey = "op/config"

// Config is a version of the operators' configuration.
type Config map[string]any

// PutConfig stores a version of the configuration for the hosts to read.
func (s *Store) PutConfig(c Config) { s.Put(configurationKey, c) }

// SetLimit sets the rate per second and the burst of a workspace.
func (c Config) SetLimit(workspace string, perSecond, burst float64) {
	for _, entry := range c["tenants"].([]any) {
		if w := entry.(map[string]any); w["name"] == workspace {
			w["ratePerS"], w["burst"] = perSecond, burst
		}
	}
}

// SetSyncReplicas sets the number of replicas that must receive a commit before it is acknowledged.
func (c Config) SetSyncReplicas(n int) {
	c["services"].([]any)[0].(map[string]any)["syncReplicas"] = n
}

// SetColdPerSecond sets the rate from which the bound of requests to cold targets is derived.
func (c Config) SetColdPerSecond(perSecond float64) {
	c["services"].([]any)[0].(map[string]any)["coldPerS"] = perSecond
}

// SetTransactionIdleTime sets the time after which an idle transaction may be rolled back.
func (c Config) SetTransactionIdleTime(d time.Duration) {
	c["limits"].(map[string]any)["txIdleMs"] = d.Milliseconds()
}

// SetRouteRegions sets the regions in which statements of a database name may run.
func (c Config) SetRouteRegions(database string, regions ...string) {
	for _, entry := range c["routes"].([]any) {
		if route := entry.(map[string]any); route["database"] == database {
			route["allowedRegions"] = regions
		}
	}
}

// SetWorkspaceRegions sets the regions in which statements of a workspace may run.
func (c Config) SetWorkspaceRegions(workspace string, regions ...string) {
	for _, entry := range c["tenants"].([]any) {
		if w := entry.(map[string]any); w["name"] == workspace {
			w["allowedRegions"] = regions
		}
	}
}

// NewConfig returns a configuration for a service called stock: the databases orders (primary), view (bounded staleness)
// and plans (read your writes), the workspace workshop with the given keys, and the workspace school with the key
// school-key.
func NewConfig(version int, keys ...string) Config {
	route := func(database, routeType string) map[string]any {
		return map[string]any{"name": "r-" + database, "database": database, "service": "stock", "routeType": routeType,
			"timeoutMs": 2000, "targetLatencyMs": 400, "maxStalenessMs": 1500, "priority": 1}
	}
	return Config{"version": version,
		"routes":   []any{route("orders", "primary"), route("view", "bounded_staleness"), route("plans", "read_your_writes")},
		"services": []any{map[string]any{"name": "stock", "maxConns": 20, "syncReplicas": 0}},
		"limits":   map[string]any{"txIdleMs": 3000, "maxBodyBytes": 262144},
		"tenants": []any{map[string]any{"name": "workshop", "apiKeys": keys, "ratePerS": 2000, "burst": 2000},
			map[string]any{"name": "school", "apiKeys": []string{"school-key"}, "ratePerS": 1000, "burst": 1000}}}
}
