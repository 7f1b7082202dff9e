// Package soak runs hosts as separate processes beside stand-ins of the store and the databases, injects faults from outside
// the processes, and checks what callers and databases see against the promises of the product while it runs. The plan
// of faults, the load and the configuration follow from a seed.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type FaultKind string

// Kinds of faults. Those of hosts are signals; those of links happen in a proxy; the others in the stand-ins.
const (
	HostKilled      FaultKind = "host killed"
	AllHostsKilled  FaultKind = "all hosts killed"
	HostFrozen      FaultKind = "host frozen"
	HostStopped     FaultKind = "host stopped as planned"
	SettingsTouched FaultKind = "settings file changed"
	HostReloaded    FaultKind = "reload signal"

	LinkBlackholed       FaultKind = "link silent"
	LinkResponsesDropped FaultKind = "link silent one way"
	LinkDelayed          FaultKind = "link delayed"
	LinkReset            FaultKind = "link reset"

	StoreDown           FaultKind = "store down"
	StoreSlow           FaultKind = "store slow"
	StoreDropsResponses FaultKind = "store loses answers"
	StoreCompacted      FaultKind = "store drops history"

	DatabaseCrashed        FaultKind = "database crashed"
	DatabaseDataLost       FaultKind = "database restarted without data"
	DatabaseDropsResponses FaultKind = "database loses answers"
	ReplicationLagging     FaultKind = "databases lag"
	ReplicationBlocked     FaultKind = "replica receives nothing"
	DatabaseDrained        FaultKind = "database drained"

	KeyChanged   FaultKind = "key withdrawn and another added"
	LimitChanged FaultKind = "limit changed"
)

// weights are how often the kinds come. Planned work comes about as often as faults.
var weights = []struct {
	kind   FaultKind
	weight int
}{{HostKilled, 4}, {AllHostsKilled, 1}, {HostFrozen, 3}, {HostStopped, 4}, {SettingsTouched, 1}, {HostReloaded, 1}, {LinkBlackholed, 4},
	{LinkResponsesDropped, 2}, {LinkDelayed, 2}, {LinkReset, 4}, {StoreDown, 3}, {StoreSlow, 2}, {StoreDropsResponses, 2}, {StoreCompacted, 2},
	{DatabaseCrashed, 4}, {DatabaseDataLost, 2}, {DatabaseDropsResponses, 2}, {ReplicationLagging, 2}, {ReplicationBlocked, 2},
	{DatabaseDrained, 2}, {KeyChanged, 4}, {LimitChanged, 3}}

// Peer is the far end of a link that a proxy stands on.
type LinkKind string

// Far ends of links.
const (
	LinkToStore    LinkKind = "host to store"
	LinkToDatabase LinkKind = "hosts to database"
	LinkToHost     LinkKind = "hosts to host"
	LinkToCallers  LinkKind = "callers to host"
)

var peers = []LinkKind{LinkToStore, LinkToDatabase, LinkToHost, LinkToCallers}

// Fault is one step of a plan.
type Fault struct {
	Start    time.Duration // after the start of the load
	Duration time.Duration
	Kind     FaultKind
	// Host and Database are the ones concerned, where the kind or the link needs one.
	Host, Database int
	Link           LinkKind
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %4.1f s: %s (%s, host %d, database %d)", f.Start.Seconds(), f.Duration.Seconds(), f.Kind,
		cmp.Or(f.Link, "no link"), f.Host, f.Database)
}

const (
	// longestGap bounds the time between the starts of two faults, so that they overlap as often as not.
	longestGap = 2500 * time.Millisecond
	// shortestFault and longestFault bound how long a fault lasts: from less than a lease to more than one.
	shortestFault = 200 * time.Millisecond
	longestFault  = 9 * time.Second
)

// Plan draws the faults of a seed: they start within length, and each ends within length.
func GeneratePlan(seed uint64, hosts, databases int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.Int64N(int64(longestGap)))
		if at >= length {
			return plan
		}
		pick, kind := random.IntN(total), FaultKind("")
		for _, w := range weights {
			if pick -= w.weight; pick < 0 {
				kind = w.kind
				break
			}
		}
		// Short faults are as likely as long ones of twice their length.
		span := min(shortestFault+time.Duration(random.ExpFloat64()*float64(2*time.Second)), longestFault, length-at)
		plan = append(plan, Fault{Start: at, Duration: span, Kind: kind, Host: random.IntN(hosts),
			Database: random.IntN(databases), Link: peers[random.IntN(len(peers))]})
	}
}

// steps returns the starts and ends of a plan in order. Ends have the index of their fault and end set.
func steps(plan []Fault) []step {
	var all []step
	for i, f := range plan {
		all = append(all, step{f.Start, i, false}, step{f.Start + f.Duration, i, true})
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}

type step struct {
	at    time.Duration
	fault int
	end   bool
}
