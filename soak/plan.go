// Package soak runs hosts as separate processes against stand-ins for the store and the databases, injects faults from
// outside the processes, and continuously checks the product's invariants against what callers and databases observe. The
// fault plan, the load and the configuration are derived from a seed.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault or planned operation.
type FaultKind string

// Kinds of faults. Host faults are signals, link faults are injected by a proxy, and the others by the stand-ins.
const (
	HostKilled      FaultKind = "host killed"
	AllHostsKilled  FaultKind = "all hosts killed"
	HostFrozen      FaultKind = "host frozen"
	HostStopped     FaultKind = "host stopped as planned"
	SettingsTouched FaultKind = "settings file changed"
	HostReloaded    FaultKind = "reload signal"

	LinkBlackholed       FaultKind = "link drops all data"
	LinkResponsesDropped FaultKind = "link drops responses"
	LinkDelayed          FaultKind = "link delayed"
	LinkReset            FaultKind = "link reset"
	LinkHeld             FaultKind = "link delivers all data when the fault ends"
	// LeaderCutOff drains the primary and, as the leader replaces it, holds the leader's links to the platform until its lease has
	// ended. What the leader has sent arrives when another host leads.
	LeaderCutOff FaultKind = "leader cut off from the platform while it replaces the primary"

	StoreDown           FaultKind = "store down"
	StoreSlow           FaultKind = "store slow"
	StoreDropsResponses FaultKind = "store drops responses"
	StoreCompacted      FaultKind = "store history compacted"
	// StoreRestored makes the store unavailable for the duration, and then brings it back from a copy of some seconds before.
	StoreRestored FaultKind = "store back from a copy"

	DatabaseCrashed        FaultKind = "database crashed"
	DatabaseDataLost       FaultKind = "database restarted without data"
	DatabaseDropsResponses FaultKind = "database drops responses"
	ReplicationLagging     FaultKind = "databases lag"
	ReplicationBlocked     FaultKind = "replication blocked"
	DatabaseDrained        FaultKind = "database drained"

	DataCentreEvacuated FaultKind = "data centre of a database evacuated"

	KeyChanged   FaultKind = "key withdrawn and another added"
	LimitChanged FaultKind = "limit changed"
)

// faultWeights are the relative frequencies of the fault kinds. Planned operations are about as frequent as faults.
var faultWeights = []struct {
	kind   FaultKind
	weight int
}{{HostKilled, 4}, {AllHostsKilled, 1}, {HostFrozen, 3}, {HostStopped, 4}, {SettingsTouched, 1}, {HostReloaded, 1},
	{LinkBlackholed, 4}, {LinkResponsesDropped, 2}, {LinkDelayed, 2}, {LinkReset, 4}, {StoreDown, 3}, {StoreSlow, 2},
	{StoreDropsResponses, 2}, {StoreCompacted, 2}, {DatabaseCrashed, 4}, {DatabaseDataLost, 2}, {DatabaseDropsResponses, 2},
	{ReplicationLagging, 2}, {ReplicationBlocked, 2}, {DatabaseDrained, 2}, {KeyChanged, 4}, {LimitChanged, 3}}

// LinkKind identifies the two ends of a link with a proxy in between.
type LinkKind string

// Kinds of links.
const (
	LinkToStore    LinkKind = "host to store"
	LinkToDuties   LinkKind = "host to promotion API"
	LinkToDatabase LinkKind = "hosts to database"
	LinkToHost     LinkKind = "hosts to host"
	LinkToCallers  LinkKind = "callers to host"
)

var linkKinds = []LinkKind{LinkToStore, LinkToDatabase, LinkToHost, LinkToCallers}

// Fault is one fault of a plan.
type Fault struct {
	Start    time.Duration // after the start of the load
	Duration time.Duration
	Kind     FaultKind
	// Host and Database are the numbers of the affected ones. Kinds and links that affect none ignore them.
	Host, Database int
	Link           LinkKind
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %4.1f s: %s (%s, host %d, database %d)", f.Start.Seconds(), f.Duration.Seconds(), f.Kind,
		cmp.Or(f.Link, "no link"), f.Host, f.Database)
}

const (
	// maxFaultGap is the maximum time between the starts of two faults. About half of the faults overlap.
	maxFaultGap = 2500 * time.Millisecond
	// minFaultDuration is shorter than a lease and maxFaultDuration is longer than one.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 9 * time.Second
)

// GeneratePlan returns the faults for a seed. All faults start and end within length.
func GeneratePlan(seed uint64, hosts, databases int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.Int64N(int64(maxFaultGap)))
		if at >= length {
			plan = append(plan, generateEvacuations(seed, databases, length)...)
			restores := generateRestores(seed, length)
			plan = append(plan, restores...)
			plan = append(plan, generateHeldLinks(seed, hosts, databases, length)...)
			// Last, so that the numbers of the others, from which they draw, stay the same.
			return append(plan, generateSecondRestores(seed, restores, length)...)
		}
		pick, kind := random.IntN(total), FaultKind("")
		for _, w := range faultWeights {
			if pick -= w.weight; pick < 0 {
				kind = w.kind
				break
			}
		}
		// The durations are exponentially distributed, so short faults are more frequent than long ones.
		duration := min(minFaultDuration+time.Duration(random.ExpFloat64()*float64(2*time.Second)), maxFaultDuration, length-at)
		plan = append(plan, Fault{Start: at, Duration: duration, Kind: kind, Host: random.IntN(hosts),
			Database: random.IntN(databases), Link: linkKinds[random.IntN(len(linkKinds))]})
	}
}

// stopSpacing is the time between the stops of two hosts of GeneratePlannedOperations. A stop takes longer, so several hosts
// stop at once.
const stopSpacing = 1300 * time.Millisecond

// GeneratePlannedOperations returns a plan for a seed that has no faults: all hosts are stopped and started again in turn, over
// and over, while keys and limits change. All operations start within length.
func GeneratePlannedOperations(seed uint64, hosts int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	var plan []Fault
	next := make([]time.Duration, hosts) // when each host has started again after its last stop
	for at, h := time.Duration(0), random.IntN(hosts); at < length; h = (h + 1) % hosts {
		at = max(at+stopSpacing/2+time.Duration(random.Int64N(int64(stopSpacing))), next[h])
		plan = append(plan, Fault{Start: at, Duration: drainSeconds * time.Second, Kind: HostStopped, Host: h})
		next[h] = at + drainSeconds*time.Second + settleTime
		if kind := []FaultKind{KeyChanged, LimitChanged, ""}[random.IntN(3)]; kind != "" {
			plan = append(plan, Fault{Start: at + time.Duration(random.Int64N(int64(stopSpacing))), Kind: kind})
		}
	}
	return append(plan, generateEvacuations(seed, databaseCount, length)...)
}

// evacuationSpacing is the mean time between the starts of two evacuations, one of which takes evacuationDuration.
const evacuationSpacing = 10 * time.Second

// generateEvacuations returns the evacuations of a plan. They have a random source of their own, so that the other faults of a
// seed stay the same.
func generateEvacuations(seed uint64, databases int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.Int64N(int64(2 * evacuationSpacing)))
		if at >= length {
			return plan
		}
		plan = append(plan, Fault{Start: at, Duration: min(evacuationDuration, length-at), Kind: DataCentreEvacuated,
			Database: random.IntN(databases)})
	}
}

// heldLinkSpacing is the mean time between the starts of two faults that hold links. A hand-over to another leader takes 4 s.
const heldLinkSpacing = 5 * time.Second

// minLeaderCut is the shortest duration of LeaderCutOff: another host leads by then.
const minLeaderCut = 4500 * time.Millisecond

// generateHeldLinks returns the faults of a plan that hold what is sent over a link and deliver it later, in turn a single link and
// the links of a leader that replaces a primary. They have a random source of their own, like evacuations.
func generateHeldLinks(seed uint64, hosts, databases int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	links := append([]LinkKind{LinkToDuties}, linkKinds...)
	var plan []Fault
	for at, leader := time.Duration(0), true; ; leader = !leader {
		at += time.Duration(random.Int64N(int64(2 * heldLinkSpacing)))
		if at >= length {
			return plan
		}
		f := Fault{Start: at, Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Kind: LinkHeld, Host: random.IntN(hosts), Database: random.IntN(databases), Link: links[random.IntN(len(links))]}
		if leader {
			f.Kind, f.Duration = LeaderCutOff, max(f.Duration, minLeaderCut)
		}
		f.Duration = min(f.Duration, length-at)
		plan = append(plan, f)
	}
}

// restoreSpacing is the mean time between two returns of the store from a copy, and maxStoreAbsence the longest time without it before
// one.
const (
	restoreSpacing  = 20 * time.Second
	maxStoreAbsence = 3 * time.Second
)

// generateRestores returns the faults of a plan after which the store has lost what it had acknowledged. They have a random source of
// their own, like evacuations.
func generateRestores(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 5))
	var plan []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.Int64N(int64(2 * restoreSpacing)))
		if at >= length {
			return plan
		}
		absence := minFaultDuration + time.Duration(random.Int64N(int64(maxStoreAbsence-minFaultDuration)))
		plan = append(plan, Fault{Start: at, Duration: min(absence, length-at), Kind: StoreRestored})
	}
}

// maxReturnGap is the longest time between two returns of the store of generateSecondRestores: hosts have registered again by then, but
// their decisions may not be reconciled.
const maxReturnGap = 3 * time.Second

// generateSecondRestores returns a second return of the store shortly after half of those of generateRestores.
func generateSecondRestores(seed uint64, first []Fault, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 6))
	var plan []Fault
	for _, f := range first {
		start := f.Start + f.Duration + time.Duration(random.Int64N(int64(maxReturnGap)))
		if random.IntN(2) == 0 && start+minFaultDuration < length {
			plan = append(plan, Fault{Start: start, Duration: minFaultDuration, Kind: StoreRestored})
		}
	}
	return plan
}

// planSteps returns the starts and ends of the faults of a plan in chronological order.
func planSteps(plan []Fault) []planStep {
	var all []planStep
	for i, f := range plan {
		all = append(all, planStep{f.Start, i, false}, planStep{f.Start + f.Duration, i, true})
	}
	slices.SortStableFunc(all, func(a, b planStep) int { return cmp.Compare(a.at, b.at) })
	return all
}

// planStep is the start or the end of a fault.
type planStep struct {
	at         time.Duration
	faultIndex int
	end        bool // the fault ends, otherwise it starts
}
