package soak

import "time"

// Regression is a run that once violated an invariant.
type Regression struct {
	Seed          uint64
	Hosts         int
	Callers       int
	FaultDuration time.Duration
	SyncReplicas  int
	Cause         string // the fault that the run revealed
}

// Regressions are run by waxbench soak --regressions.
var Regressions = []Regression{
	{8, 5, 30, 30 * time.Second, 0,
		"a primary that had restarted without its data served reads until its registration showed the restart"},
	{321, 5, 30, 30 * time.Second, 1,
		"a kill during a planned stop was recorded after it took effect, so the stop was blamed (soak test bug)"},
	{504, 5, 30, 30 * time.Second, 0,
		"a planned stop and a kill of one host ended together and both started it (soak test bug)"},
	{5007, 5, 30, 30 * time.Second, 1,
		"the order of a leader that was cut off arrived after one of the next leader (review/6)"},
	{9011, 5, 30, 30 * time.Second, 1,
		"the store came back with an evacuation that had been withdrawn since the copy (stand-in bug)"},
	{12027, 5, 30, 30 * time.Second, 1,
		"the next leader waited for the lease of the last one, which it would have had to confirm, and nobody recorded the copies"},
	{12031, 5, 30, 30 * time.Second, 1,
		"open: two of three databases lost their data while returns of the store kept the service without a primary"},
}
