package configcheck

import (
	"fmt"
	"time"
)

// checker collects the findings of one configuration.
type checker struct {
	c        Configuration
	findings []Finding
}

func (k *checker) add(severity Severity, line int, place, format string, args ...any) {
	k.findings = append(k.findings, Finding{severity, k.c.File, line, place, fmt.Sprintf(format, args...)})
}

// repeated reports a name that an earlier line has, or an empty one.
func (k *checker) repeated(seen map[string]int, line int, kind, name string) {
	place := fmt.Sprintf("%s %q", kind, name)
	if first, ok := seen[name]; ok {
		k.add(Error, line, place, "line %d has the same name, and a later entry replaces an earlier one: remove one",
			first)
	} else {
		seen[name] = line
	}
	if name == "" {
		k.add(Error, line, place, "the name is missing")
	}
}

// Check returns the mistakes of a configuration. statementTime is the mean time for which a statement uses a slot.
func Check(c Configuration, statementTime time.Duration) []Finding {
	k := &checker{c: c}
	k.checkRoutes()
	k.checkServices()
	k.checkWorkspaces()
	k.checkCapacity(statementTime)
	if c.HasRoutes && c.Version < 1 {
		k.add(Error, 0, "version", "it is %d; hosts accept 1 and above", c.Version)
	}
	if c.TransactionIdle < 0 || c.MaxMessageBytes < 0 {
		k.add(Error, 0, "limits", "a limit is negative")
	}
	return k.findings
}

func (k *checker) checkRoutes() {
	services := map[string]bool{}
	for _, s := range k.c.Services {
		services[s.Name] = true
	}
	seen := map[string]int{}
	for _, r := range k.c.Routes {
		k.repeated(seen, r.Line, "route", r.Database)
		place := fmt.Sprintf("route %q", r.Database)
		if !services[r.Service] {
			k.add(Error, r.Line, place, "the service %q does not exist, so no statement can run", r.Service)
		}
		if r.Timeout <= 0 {
			k.add(Error, r.Line, place, "the time-out is %v; it must be above 0", r.Timeout)
		} else if r.Timeout < r.LatencyTarget {
			k.add(Warning, r.Line, place, "the time-out of %v is under the latency target of %v", r.Timeout, r.LatencyTarget)
		}
		if r.LatencyTarget < 0 {
			k.add(Error, r.Line, place, "the latency target is %v; it must not be negative", r.LatencyTarget)
		}
		if r.Priority < 0 {
			k.add(Error, r.Line, place, "the priority is %d; the highest is 0", r.Priority)
		}
		k.checkStaleness(r, place)
	}
}

func (k *checker) checkStaleness(r Route, place string) {
	switch r.Type {
	case Primary:
	case BoundedStaleness, ReadYourWrites:
		if r.MaxStaleness <= 0 {
			k.add(Error, r.Line, place, "the maximum staleness is missing or not above 0; routes of type %s need it", r.Type)
		} else if r.MaxStaleness < UsualReplicationLag {
			k.add(Warning, r.Line, place, "the maximum staleness of %v is under the usual replication lag of %v, so reads may "+
				"have to run on the primary", r.MaxStaleness, UsualReplicationLag)
		}
	default:
		k.add(Error, r.Line, place, "the route type %q is unknown and is read as %s; known are %s, %s and %s", r.Type, Primary,
			Primary, BoundedStaleness, ReadYourWrites)
	}
}

func (k *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range k.c.Routes {
		used[r.Service] = true
	}
	for _, w := range k.c.Workspaces {
		for _, s := range w.Services {
			used[s] = true
		}
	}
	seen := map[string]int{}
	for _, s := range k.c.Services {
		k.repeated(seen, s.Line, "service", s.Name)
		place := fmt.Sprintf("service %q", s.Name)
		if !used[s.Name] {
			by := "no workspace may use it"
			if k.c.HasRoutes {
				by = "no route leads to it"
			}
			k.add(Warning, s.Line, place, "%s", by)
		}
		if s.MaxConnections <= ReservedConnections {
			k.add(Error, s.Line, place, "%d connections leave none for statements: %d are reserved at each target",
				s.MaxConnections, ReservedConnections)
		}
		if s.SyncReplicas < 0 {
			k.add(Error, s.Line, place, "the number of synchronous replicas is %d; it must not be negative", s.SyncReplicas)
		}
		if s.ColdPerSecond < 0 {
			k.add(Error, s.Line, place, "the rate of a cold target is %g; it is read as 0, which means no bound",
				s.ColdPerSecond)
		}
	}
}

func (k *checker) checkWorkspaces() {
	seen, holders := map[string]int{}, map[string]Workspace{}
	for _, w := range k.c.Workspaces {
		k.repeated(seen, w.Line, "workspace", w.Name)
		place := fmt.Sprintf("workspace %q", w.Name)
		if k.c.HasKeys && len(w.Keys) == 0 {
			k.add(Warning, w.Line, place, "it has no keys, so no caller can use it")
		}
		for _, key := range w.Keys {
			holder, held := holders[key.Text]
			switch {
			case key.Text == "":
				k.add(Error, key.Line, place, "a key is empty")
			case held && holder.Name != w.Name:
				k.add(Error, key.Line, place, "the workspace %q has the key %s too; its callers count as %q", holder.Name,
					key.masked(), w.Name)
			case held:
				k.add(Warning, key.Line, place, "it has the key %s twice", key.masked())
			}
			holders[key.Text] = w
		}
		k.checkLimit(w, place)
	}
}

func (k *checker) checkLimit(w Workspace, place string) {
	if !w.Limited {
		if w.Burst != 0 {
			k.add(Warning, w.Line, place, "the burst of %g has no effect without a rate", w.Burst)
		}
		return
	}
	if w.Rate <= 0 {
		k.add(Error, w.Line, place, "the rate is %g; it must be above 0", w.Rate)
	}
	if w.Burst < 1 {
		k.add(Error, w.Line, place, "the burst is %g; one operation needs 1", w.Burst)
	}
}

// checkCapacity compares the rates of all workspaces with what the slots of all services can take, which by Little's law is
// the number of slots divided by the time of a statement. It is left out if the slots of a service are not known.
func (k *checker) checkCapacity(statementTime time.Duration) {
	slots, rates := 0, 0.0
	for _, s := range k.c.Services {
		if s.Slots <= 0 {
			return
		}
		slots += s.Slots
	}
	for _, w := range k.c.Workspaces {
		if w.Limited {
			rates += max(0, w.Rate)
		}
	}
	if capacity := float64(slots) / statementTime.Seconds(); slots > 0 && rates > capacity {
		k.add(Warning, 0, "limits of all workspaces", "together %g a second, but %d slots take %.0f a second if a statement "+
			"needs %v; lower rates or add targets", rates, slots, capacity, statementTime)
	}
}
