// Package region decides in which data centres a statement may run whose route or workspace names regions. The package
// performs no I/O; the regions of data centres come from the settings of the host.
//
// It is designed for one look-up for each statement, also while the load is highest.
package region

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Map holds the regions of data centres. A data centre that it doesn't name is in no region. An empty map means that
// regions are not known in this deployment.
type Map map[model.DataCentre]string

// ParseMap parses data centres with their regions as they stand in the settings: "north:eu,south:us". Entries without a
// region are left out. It returns a *trace.BadParameterError for an entry without a colon, and for a data centre with two
// regions.
func ParseMap(text string) (Map, error) {
	m := Map{}
	for entry := range strings.SplitSeq(text, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		name, region, found := strings.Cut(entry, ":")
		dc, region := model.DataCentre(strings.TrimSpace(name)), strings.TrimSpace(region)
		if !found || dc == "" {
			return nil, trace.BadParameter("%q is not a data centre with its region", entry)
		}
		if other, twice := m[dc]; twice && other != region {
			return nil, trace.BadParameter("the data centre %q has the regions %q and %q", dc, other, region)
		}
		if region != "" {
			m[dc] = region
		}
	}
	return m, nil
}

// Constraint limits the data centres in which something may happen. Its zero value allows all of them.
type Constraint struct {
	Limited bool
	Allowed map[model.DataCentre]bool // if Limited
}

// Allows reports whether the constraint allows a data centre.
func (c Constraint) Allows(dc model.DataCentre) bool { return !c.Limited || c.Allowed[dc] }

// Targets returns the constraint of the targets that may run a statement. Each of the lists, of its route and of its
// workspace, allows all regions if it is empty; a data centre has to be in a region of both.
func (m Map) Targets(route, workspace []string) Constraint {
	if len(m) == 0 || len(route)+len(workspace) == 0 {
		return Constraint{}
	}
	c := Constraint{Limited: true, Allowed: map[model.DataCentre]bool{}}
	for dc, region := range m {
		if allows(route, region) && allows(workspace, region) {
			c.Allowed[dc] = true
		}
	}
	return c
}

// Hosts returns the constraint of the hosts that a statement may be forwarded to, if its caller is connected in the data
// centre own: those that the constraint of its targets allows, and those in the caller's own region.
func (m Map) Hosts(targets Constraint, own model.DataCentre) Constraint {
	if !targets.Limited {
		return targets
	}
	c := Constraint{Limited: true, Allowed: map[model.DataCentre]bool{own: true}}
	for dc, region := range m {
		if targets.Allowed[dc] || region == m[own] {
			c.Allowed[dc] = true
		}
	}
	return c
}

// allows reports whether a list of regions allows one. An empty list allows all.
func allows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}
