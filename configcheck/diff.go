package configcheck

import (
	"fmt"
	"strings"
)

// field is a setting of an entry, in words.
type field struct{ name, value string }

// entry is an entry of a configuration in a form that can be compared.
type entry struct {
	kind, name string
	line       int
	fields     []field
	keys       []Key
}

func (e entry) place() string {
	if e.name == "" {
		return e.kind
	}
	return fmt.Sprintf("%s %q", e.kind, e.name)
}

func fieldOf(name string, value any) field {
	return field{name, fmt.Sprint(value)}
}

func regions(names []string) field {
	if len(names) == 0 {
		return field{"allowed regions", "all"}
	}
	return field{"allowed regions", strings.Join(names, ", ")}
}

func entries(c Configuration) []entry {
	list := []entry{{kind: "limits", fields: []field{fieldOf("idle time of transactions", c.TransactionIdle),
		fieldOf("bytes of a message", c.MaxMessageBytes)}}}
	for _, r := range c.Routes {
		list = append(list, entry{kind: "route", name: r.Database, line: r.Line, fields: []field{
			fieldOf("service", r.Service), fieldOf("type", r.Type), fieldOf("maximum staleness", r.MaxStaleness),
			fieldOf("time-out", r.Timeout), fieldOf("latency target", r.LatencyTarget), fieldOf("priority", r.Priority),
			fieldOf("public", r.Public), regions(r.Regions)}})
	}
	for _, s := range c.Services {
		list = append(list, entry{kind: "service", name: s.Name, line: s.Line, fields: []field{
			fieldOf("connections per target", s.MaxConnections), fieldOf("synchronous replicas", s.SyncReplicas),
			fieldOf("requests a second to a cold target", s.ColdPerSecond)}})
	}
	for _, w := range c.Workspaces {
		rate, burst := "no limit", "no limit"
		if w.Limited {
			rate, burst = fmt.Sprint(w.Rate), fmt.Sprint(w.Burst)
		}
		list = append(list, entry{kind: "workspace", name: w.Name, line: w.Line, keys: w.Keys,
			fields: []field{{"rate", rate}, {"burst", burst}, regions(w.Regions)}})
	}
	return list
}

// Diff returns what differs between an older configuration and c: changes, and an error for a version that is not higher.
// Keys are shown by their first characters only.
func Diff(c, old Configuration) []Finding {
	k := &checker{c: c}
	now, before := entries(c), entries(old)
	oldByPlace, present := map[string]entry{}, map[string]bool{}
	for _, e := range before {
		oldByPlace[e.place()] = e
	}
	for _, e := range now {
		o, existed := oldByPlace[e.place()]
		present[e.place()] = true
		if existed {
			for i, f := range e.fields {
				if f != o.fields[i] {
					k.add(Change, e.line, e.place(), "%s changed from %s to %s", f.name, o.fields[i].value, f.value)
				}
			}
		} else {
			var list []string
			for _, f := range e.fields {
				list = append(list, f.name+" "+f.value)
			}
			k.add(Change, e.line, e.place(), "added with %s", strings.Join(list, "; "))
		}
		for _, key := range without(e.keys, o.keys) {
			k.add(Change, key.Line, e.place(), "key %s added", key.masked())
		}
		for _, key := range without(o.keys, e.keys) {
			k.add(Change, 0, e.place(), "key %s removed", key.masked())
		}
	}
	for _, e := range before {
		if !present[e.place()] {
			text := "removed"
			if len(e.keys) > 0 {
				text = fmt.Sprintf("removed with its keys (%d)", len(e.keys))
			}
			k.add(Change, 0, e.place(), "%s", text)
		}
	}
	switch {
	case c.Version < old.Version:
		k.add(Error, 0, "version", "%d is lower than %d of the other file; hosts ignore it", c.Version, old.Version)
	case c.Version == old.Version && len(k.findings) > 0:
		k.add(Error, 0, "version", "%d is that of the other file, which differs; raise it", c.Version)
	case c.Version > old.Version:
		k.add(Change, 0, "version", "changed from %d to %d", old.Version, c.Version)
	}
	return k.findings
}

// without returns the keys that others don't hold.
func without(keys, others []Key) (list []Key) {
	held := map[string]bool{}
	for _, o := range others {
		held[o.Text] = true
	}
	for _, key := range keys {
		if !held[key.Text] {
			list = append(list, key)
		}
	}
	return list
}
