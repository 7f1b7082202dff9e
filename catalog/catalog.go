// Package catalog defines the operators' configuration as immutable values: routes, services, workspaces and their
// keys.
package catalog

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Consistency is the read consistency level of a route.
type Consistency uint8

const (
	// Primary routes read from the primary and see every acknowledged commit.
	Primary Consistency = iota + 1
	// BoundedStaleness routes may miss commits that are younger than the route's maximum staleness.
	BoundedStaleness
	// ReadYourWrites routes bound staleness as well, and also see every commit of their own session.
	ReadYourWrites
)

// Route maps a database name used by callers to a service and its options.
type Route struct {
	Database         string // name that callers connect to
	Service          model.Service
	Consistency      Consistency
	MaxStaleness     time.Duration // zero on primary routes
	StatementTimeout time.Duration
	LatencyTarget    time.Duration // for a whole operation, as measured by the caller
	Priority         int           // 0 is the highest
	Public           bool          // callers need no key
}

// Service is a replicated group of targets.
type Service struct {
	Name           model.Service
	MaxConnections int // per target, over all hosts together
	SyncReplicas   int // replicas that must hold a commit before it is acknowledged
	// ColdPerSecond is the rate of requests to a cold target that its bound is derived from, or 0 without a bound.
	ColdPerSecond float64
}

// Limit is the rate of operations that a workspace may start over all hosts together.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Catalog is one version of the configuration. It is immutable once published.
type Catalog struct {
	Version         int64
	Routes          map[string]Route // by database name
	Services        map[model.Service]Service
	Keys            map[string]model.Workspace
	Limits          map[model.Workspace]Limit
	TxnIdleTimeout  time.Duration // after which an idle transaction may be rolled back
	MaxMessageBytes int           // maximum size of a caller's message
	// RouteRegions and WorkspaceRegions hold the regions in which statements may run, by database name and by workspace. Without
	// an entry they may run in all of them. They are not part of Route, which is sent to other hosts.
	RouteRegions     map[string][]string
	WorkspaceRegions map[model.Workspace][]string
}

// Authenticate returns the workspace of a key and whether the route accepts the key. A public route accepts any key;
// the workspace of an unknown key is empty.
func (c *Catalog) Authenticate(route Route, key string) (model.Workspace, bool) {
	workspace, known := c.Keys[key]
	return workspace, known || route.Public
}

// TargetState is the operational state that a target reports.
type TargetState uint8

const (
	// Ready targets accept work.
	Ready TargetState = iota + 1
	// Draining targets are about to stop and get no new work.
	Draining
)

// Target is a database of a service, as it registered itself.
type Target struct {
	ID             model.TargetID
	Service        model.Service
	Address        string
	DataCentre     model.DataCentre
	Slots          int // statements that may run at the same time
	State          TargetState
	ReportsPrimary bool  // whether the target considers itself the primary, which may be out of date
	StartedAt      int64 // Unix time in milliseconds; a restarted target has no connections from before
	Sequence       int64 // of the target's reports since its start
	// ColdFor is how long the target stays cold, that is slow, after it has written its entry.
	ColdFor time.Duration
	// ColdUntil is the boot time at which the target is no longer cold, as seen by the host that has read its entry. It is zero
	// for a target that was not cold.
	ColdUntil time.Time
}

// Before reports whether the target has written t before the entry later, in the same or an earlier process.
func (t Target) Before(later Target) bool {
	return t.StartedAt < later.StartedAt || t.StartedAt == later.StartedAt && t.Sequence < later.Sequence
}

// Cold reports whether the target is cold at the given boot time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }
