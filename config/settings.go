// Package config implements the operators' configuration: parsing and validation of INI files with overlays per data
// centre, the versioned document in the platform's store, and the changes to that document. It does no I/O.
package config

import (
	"net/netip"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Default values and limits of settings.
const (
	DefaultDrainTimeout           = 20 * time.Second
	DefaultDrainGracePeriod       = 2 * time.Second
	DefaultStatementTimeout       = 10 * time.Second
	DefaultTransactionIdleTimeout = 30 * time.Second
	DefaultReplicaWait            = 20 * time.Millisecond
	DefaultMaxConcurrentRequests  = 10000
	DefaultMaxAnswerBytes         = 8 << 20
	DefaultDecisionSampleInterval = 1

	// MaxNameBytes is the maximum length of the name of a workspace, service, target, host or data centre.
	MaxNameBytes = 64
	// MinConnections is the minimum connection limit of a target. The home of a service uses at most half of the limit, and
	// needs one connection for control and one for statements.
	MinConnections = 4
)

// Settings is a validated configuration: the base file merged with the overlay of one data centre.
type Settings struct {
	Daemon     Daemon
	Timing     Timing
	Limits     Limits
	Log        Log
	Services   map[model.Service]Service
	Workspaces map[model.Workspace]Workspace
}

// Daemon holds the settings that a process needs to start.
type Daemon struct {
	Host           model.HostID
	DataCentre     model.DataCentre
	CallerListen   string // listen address of the HTTP API for callers
	OperatorListen string // listen address of the HTTP API for operators
	PeerListen     string // listen address for other daemons: TCP for requests, UDP for membership
	PlatformURL    string // base URL of the platform's API
	OperatorToken  string // bearer token of operators
	PeerSecret     string // shared secret for authentication between daemons
}

// Timing holds durations that operators may set.
type Timing struct {
	DrainTimeout           time.Duration // maximum duration of a planned stop
	DrainGracePeriod       time.Duration // time during which a draining host still accepts requests
	StatementTimeout       time.Duration // time limit of requests that do not set one
	TransactionIdleTimeout time.Duration // idle time after which a transaction is rolled back
	ReplicaWait            time.Duration // maximum time that a read waits for a sufficiently fresh replica
}

// Limits holds resource limits.
type Limits struct {
	MaxConcurrentRequests int // concurrent requests of callers on one host
	MaxAnswerBytes        int // maximum size of an answer
}

// Log holds the logging settings.
type Log struct {
	Level                  string // debug, info, warn or error
	DecisionSampleInterval int    // one in this many decisions that let a request proceed is logged
}

// Service is a replication group of targets.
type Service struct {
	Name        model.Service
	Slots       int // concurrent statements per target
	Connections int // connection limit of a target
	Database    string
	User        string
	Password    string
	Targets     []Target // ordered by id
}

// TargetState is the configured state of a target.
type TargetState string

const (
	// TargetActive means that the target receives new statements.
	TargetActive TargetState = "active"
	// TargetLeaving means that the target receives no new statements.
	TargetLeaving TargetState = "leaving"
)

// Target is one database of a service.
type Target struct {
	ID         model.TargetID
	Address    string
	DataCentre model.DataCentre
	State      TargetState
}

// Workspace groups callers' keys under a common rate and burst.
type Workspace struct {
	Name     model.Workspace
	Rate     float64 // statements per second
	Burst    float64 // burst size in statements
	Services []model.Service
}

// Allows reports whether the workspace may use the service.
func (w Workspace) Allows(s model.Service) bool {
	for _, allowed := range w.Services {
		if allowed == s {
			return true
		}
	}
	return false
}

// Validate checks that all settings a daemon needs to start are present and that PeerListen can be announced to other
// hosts. It returns an *InvalidError whose problems name the given file.
func (d Daemon) Validate(file string) error {
	invalid := &InvalidError{}
	for _, k := range []struct{ key, value string }{
		{"host", string(d.Host)}, {"data_centre", string(d.DataCentre)}, {"caller_listen", d.CallerListen},
		{"operator_listen", d.OperatorListen}, {"peer_listen", d.PeerListen}, {"platform_url", d.PlatformURL},
		{"operator_token", d.OperatorToken}, {"peer_secret", d.PeerSecret},
	} {
		if k.value == "" {
			invalid.Problems = append(invalid.Problems, Problem{File: file, Section: "daemon", Key: k.key,
				Message: "the key is missing; a daemon needs it to start"})
		}
	}
	if a, err := netip.ParseAddrPort(d.PeerListen); err == nil && a.Addr().IsUnspecified() {
		invalid.Problems = append(invalid.Problems, Problem{File: file, Section: "daemon", Key: "peer_listen",
			Value: d.PeerListen, Message: "an IP number that other hosts can reach, because it is announced to them"})
	}
	if len(invalid.Problems) > 0 {
		return invalid
	}
	return nil
}
