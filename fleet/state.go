package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/placement"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// Keys of the product in the store.
const (
	controlPrefix = "waxwingspindle/"
	hostPrefix    = controlPrefix + "hosts/"
	primaryPrefix = controlPrefix + "primary/"
	leaderKey     = controlPrefix + "leader"
)

const (
	// removalGrace is the time for which a target whose entry disappeared is still used. Entries that lapsed during an
	// outage of the store are back within two seconds of its return.
	removalGrace = 2500 * time.Millisecond
	// returnGrace is the time for which a host that has left still counts when connections and rates are divided. A restart
	// takes a few seconds.
	restartGrace = 10 * time.Second
	// spareConnections are the connections of each target that no host may use for callers: one for the leader's probes,
	// and one for a connection that is not closed yet when its successor is opened.
	reservedConnections = 2
)

// Host is the registration of a host.
type Host struct {
	ID          model.HostID
	Incarnation model.Incarnation
	Address     string // of its peer service
	DataCentre  model.DataCentre
	LinkMbps    float64 // bandwidth of the host's link in Mbit/s
	Cores       float64 // processor time that the host may use, in cores
	// Fenced has the epoch up to which the host has stopped using older decisions, by service. Hosts tell the leader
	// directly; they write it here only if the leader does not reach them.
	Fenced map[model.Service]uint64 `json:",omitempty"`
}

// Leader names the host that writes decisions about primaries. Its fence is the revision of the key.
type Leader struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// versioned is a value with the revision of its key.
type versioned[T any] struct {
	value    T
	revision uint64
}

// view is what this host knows from the store. The control goroutine owns one and publishes copies, which are not changed.
type clusterView struct {
	catalog *catalog.Catalog
	targets map[model.TargetID]catalog.Target
	// drainingSince has the times at which this host first saw that targets drain, whoever led then.
	drainingSince map[model.TargetID]time.Time
	hosts         map[model.HostID]Host
	expected      []model.HostID // registered hosts and those that have left a short time ago, in order
	leader        *versioned[Leader]
	documents     map[model.Service]versioned[primacy.Document]
	plans         map[model.Service]placement.Plan
}

func (v *clusterView) clone() *clusterView {
	c := *v
	c.targets, c.hosts, c.documents = maps.Clone(v.targets), maps.Clone(v.hosts), maps.Clone(v.documents)
	c.drainingSince = maps.Clone(v.drainingSince)
	return &c
}

// applyOwn takes over an item of the product's own prefix. A document is never replaced by an older one.
func (v *clusterView) applyControlKey(e metastore.Event) error {
	if id, ok := strings.CutPrefix(e.Key, hostPrefix); ok {
		delete(v.hosts, model.HostID(id))
		if e.Removed {
			return nil
		}
		var h Host
		err := json.Unmarshal(e.Value, &h)
		v.hosts[model.HostID(id)] = h
		return err
	}
	if e.Key == leaderKey {
		if v.leader = nil; e.Removed {
			return nil
		}
		var l Leader
		err := json.Unmarshal(e.Value, &l)
		v.leader = &versioned[Leader]{l, e.Revision}
		return err
	}
	if service, ok := strings.CutPrefix(e.Key, primaryPrefix); ok && !e.Removed {
		var doc primacy.Document
		if err := json.Unmarshal(e.Value, &doc); err != nil {
			return err
		}
		known := v.documents[model.Service(service)]
		// The leader tells a decision without its revision, which a later decision needs as a condition.
		if doc.Epoch > known.value.Epoch || doc.Epoch == known.value.Epoch && e.Revision > known.revision {
			v.documents[model.Service(service)] = versioned[primacy.Document]{doc, e.Revision}
		}
	}
	return nil
}

// of returns the registered targets of a service in the order of their ids.
func (v *clusterView) targetsOf(service model.Service) []catalog.Target {
	var list []catalog.Target
	for _, t := range v.targets {
		if t.Service == service {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// takeTarget takes over the entry of a target.
func (v *clusterView) setTarget(t catalog.Target, now time.Time) {
	v.targets[t.ID] = t
	if t.State != catalog.Draining {
		delete(v.drainingSince, t.ID)
	} else if _, noted := v.drainingSince[t.ID]; !noted {
		v.drainingSince[t.ID] = now
	}
}

// plan divides the workspaces of all services over the expected hosts. The rate of a workspace tells how much it asks for.
func (v *clusterView) computePlans() map[model.Service]placement.Plan {
	weights := make(map[model.Workspace]float64, len(v.catalog.Limits))
	for workspace, limit := range v.catalog.Limits {
		weights[workspace] = limit.PerSecond
	}
	plans := make(map[model.Service]placement.Plan, len(v.catalog.Services))
	for name, service := range v.catalog.Services {
		plans[name] = placement.NewPlan(name, max(1, service.MaxConnections-reservedConnections), weights, v.expected)
	}
	return plans
}
