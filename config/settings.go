// Package config owns the operators' configuration: INI files with overlays for data centres, the checks on them, the
// versioned document that the platform's store holds, and the changes that may be made to that document. It is pure.
package config

import (
	"net/netip"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Defaults and limits of settings.
const (
	DefaultDrainTimeout           = 20 * time.Second
	DefaultDrainGracePeriod       = 2 * time.Second
	DefaultStatementTimeout       = 10 * time.Second
	DefaultTransactionIdleTimeout = 30 * time.Second
	DefaultReplicaWait            = 20 * time.Millisecond
	DefaultMaxConcurrentRequests  = 10000
	DefaultMaxAnswerBytes         = 8 << 20
	DefaultDecisionSampleInterval = 1

	// MaxNameLength is the greatest length of the name of a workspace, service, target, host or data centre in bytes.
	MaxNameBytes = 64
	// MinConnections is the least connection limit of a target: a home uses at most half of it, and needs one
	// connection for control and one for statements.
	MinConnections = 4
)

// Settings is a checked configuration: one base file with the overlay of one data centre.
type Settings struct {
	Daemon     Daemon
	Timing     Timing
	Limits     Limits
	Log        Log
	Services   map[model.Service]Service
	Workspaces map[model.Workspace]Workspace
}

// Daemon holds what a process needs to start.
type Daemon struct {
	Host           model.HostID
	DataCentre     model.DataCentre
	CallerListen   string // address of the callers' HTTP listener
	OperatorListen string // address of the operators' HTTP listener
	PeerListen     string // address for other daemons, TCP for requests and UDP for membership
	PlatformURL    string // base URL of the platform's service
	OperatorToken  string // token that operators send
	PeerSecret     string // secret that daemons authenticate each other with
}

// Timing holds durations that operators may change.
type Timing struct {
	DrainTimeout           time.Duration // longest time of a planned stop
	DrainGracePeriod       time.Duration // time in which a leaving host still accepts requests
	StatementTimeout       time.Duration // time of a request that states none
	TransactionIdleTimeout time.Duration // time after which an idle transaction is rolled back
	ReplicaWait            time.Duration // longest wait of a read for a replica that is fresh enough
}

// Limits holds bounds of a host and of the fleet.
type Limits struct {
	MaxConcurrentRequests int // requests of callers at a time on one host
	MaxAnswerBytes        int // size of an answer in bytes
}

// Log holds the settings of logs.
type Log struct {
	Level                  string // debug, info, warn or error
	DecisionSampleInterval int    // one in this many lines of decisions for done requests is written
}

// Service is a replicated group of targets.
type Service struct {
	Name        model.Service
	Slots       int // statements that a target executes at a time
	Connections int // connections that a target accepts
	Database    string
	User        string
	Password    string
	Targets     []Target // ordered by id
}

// TargetState tells whether a target gets new work.
type TargetState string

const (
	// TargetActive is the state of a target that gets new work.
	TargetActive TargetState = "active"
	// TargetLeaving is the state of a target that gets no new work.
	TargetLeaving TargetState = "leaving"
)

// Target is one database of a service.
type Target struct {
	ID         model.TargetID
	Address    string
	DataCentre model.DataCentre
	State      TargetState
}

// Workspace is the unit that keys, rates and bursts belong to.
type Workspace struct {
	Name     model.Workspace
	Rate     float64 // statements a second
	Burst    float64 // statements at once
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

// Complete returns an *InvalidError when a key is missing that a daemon needs to start. The file is named in it.
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
