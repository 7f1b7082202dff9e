package soak

import "time"

// Regression is a plan that once showed a broken promise.
type Regression struct {
	Seed          uint64
	Hosts         int
	Callers       int
	FaultDuration time.Duration
	SyncReplicas  int
	Cause         string
}

// Regressions are played by waxbench soak --regressions.
var Regressions = []Regression{
	{8, 5, 30, 30 * time.Second, 0, "a primary that had restarted without its data served reads until its entry told so"},
	{321, 5, 30, 30 * time.Second, 1, "a kill during a planned stop was recorded after its effect, so the stop was blamed (fault of the soak)"},
}
