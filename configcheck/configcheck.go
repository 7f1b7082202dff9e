// Package configcheck finds mistakes in a configuration before it is sent: entries that can never match, limits that
// contradict each other, and what differs from another version. It answers the load that a mistaken limit or route puts
// on targets and callers after the configuration is in force. It does no I/O.
package configcheck

import (
	"fmt"
	"time"
)

const (
	// DefaultStatementTime is the mean time for which a statement is assumed to use a slot of a target. It is chosen,
	// not measured; operators state the time of their statements with --statement-time.
	DefaultStatementTime = 5 * time.Millisecond
	// UsualReplicationLag is the lag of a replica in normal operation. Below it reads have to run on the primary.
	UsualReplicationLag = 100 * time.Millisecond
	// ReservedConnections is the number of connections to each target that hosts don't use for statements: one for probes
	// of the leader, and one that is still closing when its replacement is opened. It is that of package fleet.
	ReservedConnections = 2
)

// Severity says what a finding means for the operator.
type Severity string

const (
	// Error marks an entry that cannot work as written.
	Error Severity = "error"
	// Warning marks an entry that probably does not do what was meant.
	Warning Severity = "warning"
	// Change marks a difference from the other version. It is no mistake.
	Change Severity = "change"
)

// Finding is one result. Line is 0 where no line is known, for example for what was removed.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	Line     int      `json:"line,omitempty"`
	Place    string   `json:"place"` // the entry, such as: route "orders"
	Text     string   `json:"text"`
}

// String formats the finding in one line.
func (f Finding) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s: %s", position, f.Severity, f.Place, f.Text)
}

// Mistakes reports whether a finding is more than a change.
func Mistakes(findings []Finding) bool {
	for _, f := range findings {
		if f.Severity != Change {
			return true
		}
	}
	return false
}

// RouteType is the read consistency of a route.
type RouteType string

// The types of routes. Others are read as Primary.
const (
	Primary          RouteType = "primary"
	BoundedStaleness RouteType = "bounded_staleness"
	ReadYourWrites   RouteType = "read_your_writes"
)

// Configuration is a decoded configuration in the order of the file, with repeated entries. Lines begin at 1.
type Configuration struct {
	File    string
	Version int64
	// HasRoutes and HasKeys report whether this kind of file holds routes and callers' keys.
	HasRoutes, HasKeys bool
	Routes             []Route
	Services           []Service
	Workspaces         []Workspace
	TransactionIdle    time.Duration
	MaxMessageBytes    int
}

// Route is a name that callers connect to.
type Route struct {
	Line                                 int
	Database, Service                    string
	Type                                 RouteType
	MaxStaleness, Timeout, LatencyTarget time.Duration
	Priority                             int
	Public                               bool
	Regions                              []string
}

// Service is a group of targets.
type Service struct {
	Line           int
	Name           string
	MaxConnections int // per target
	SyncReplicas   int
	ColdPerSecond  float64
	Slots          int // of all targets together; 0: not known
}

// Workspace is a group of callers with a common limit.
type Workspace struct {
	Line     int
	Name     string
	Keys     []Key
	Limited  bool // whether Rate applies
	Rate     float64
	Burst    float64
	Services []string // that the workspace may use; only in files without routes
	Regions  []string
}

// Key is a caller's key. Its text is secret.
type Key struct {
	Line int
	Text string
}

// masked returns at most the first four characters of a key, and never more than half of it.
func (k Key) masked() string {
	runes := []rune(k.Text)
	return string(runes[:min(4, len(runes)/2)]) + "..."
}
