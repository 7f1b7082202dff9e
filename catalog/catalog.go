// Package catalog holds the operators' configuration as immutable values: routes, services, workspaces and their keys.
package catalog

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Consistency is what a route promises to reads.
type Consistency uint8

const (
	// Primary routes read every acknowledged commit.
	Primary Consistency = iota + 1
	// BoundedStaleness routes may miss commits that are younger than the route's maximum staleness.
	BoundedStaleness
	// ReadYourWrites routes are bounded by age too, and also read every commit of their own session.
	ReadYourWrites
)

// Route is what a database name of callers stands for.
type Route struct {
	Database         string // the name that callers connect to
	Service          model.Service
	Consistency      Consistency
	MaxStaleness     time.Duration // zero on primary routes
	StatementTimeout time.Duration
	LatencyTarget    time.Duration // for a whole operation, from the caller's view
	Priority         int           // 0 is the highest
	Public           bool          // callers need no key
}

// Service is a replicated group of targets.
type Service struct {
	Name           model.Service
	MaxConnections int // per target, over all hosts together
	SyncReplicas   int // replicas that hold a commit before it is acknowledged
}

// Limit is the rate of operations that a workspace may start over all hosts together.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Catalog is one version of the configuration. It is never changed after it was published.
type Catalog struct {
	Version         int64
	Routes          map[string]Route // by database name
	Services        map[model.Service]Service
	Keys            map[string]model.Workspace
	Limits          map[model.Workspace]Limit
	TxnIdleTimeout  time.Duration // after which an idle transaction may be rolled back
	MaxMessageBytes int           // bytes of a caller's message
}

// Caller returns the workspace of a key. A public route accepts any key, and the workspace of an unknown one is empty.
func (c *Catalog) Authenticate(route Route, key string) (model.Workspace, bool) {
	workspace, known := c.Keys[key]
	return workspace, known || route.Public
}

// State is how far a target may be used, as it says itself.
type TargetState uint8

const (
	// Ready targets take work.
	Ready TargetState = iota + 1
	// Draining targets are about to stop and get no new work.
	Draining
)

// Target is a database of a service as it registered itself.
type Target struct {
	ID             model.TargetID
	Service        model.Service
	Address        string
	DataCentre     model.DataCentre
	Slots          int // statements that run at the same time
	State          TargetState
	ReportsPrimary bool  // what the target believes of itself, which may be out of date
	StartedAt      int64 // start of the target in Unix milliseconds; a later start knows nothing of an earlier one's connections
}
