package server

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/membership"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/session"
)

// snapshot is an immutable copy of the control state for request goroutines. Updates replace it as a whole.
type snapshot struct {
	version       uint64
	rosterVersion uint64
	document      *config.Document
	hosts         freshness.VotingHosts // hosts in the roster
	confirmed     []model.HostID        // hosts that have confirmed this version over the relay tree
	roots         []model.HostID        // roots of the relay tree
	heldSlots     int                   // share slots with a holder
	freeSlots     int                   // share slots without a holder
	settings      *config.Settings
	keys          *key.Set
	tokens        *session.Codec
	secret        []byte // key that signs transaction handles
	members       []membership.Member
	addresses     map[model.HostID]string        // RPC addresses of live and leaving hosts
	homes         map[model.Service]model.HostID // host of the home of each service
	proofKind     string
	servingUntil  time.Time // authenticated requests are served until this time
	proofTime     time.Time // time at which the proof was valid
}

// fresh reports whether the host may serve authenticated requests: it has a configuration, a roster, and an unexpired
// proof that both are fresh. The monotonic clock advances while the process is paused, so a proof that expired during a
// pause is not used afterwards.
func (s *snapshot) fresh(now time.Time) bool {
	return s.settings != nil && s.rosterVersion > 0 && now.Before(s.servingUntil)
}

// ready reports whether a load balancer may send requests to the host: the host is registered, and share slots are
// assigned.
func (s *snapshot) ready(self model.HostID) bool {
	return s.heldSlots > 0 && slices.Contains(s.hosts.IDs, self)
}

// state returns the state of the host as shown to operators and callers.
func (s *snapshot) state(now time.Time, draining bool) string {
	switch {
	case draining:
		return "draining"
	case !s.fresh(now):
		return "stale"
	}
	return "serving"
}
