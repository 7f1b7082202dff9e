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

// snapshot is what traffic goroutines know of the control state. It is immutable and replaced as a whole.
type snapshot struct {
	version       uint64
	rosterVersion uint64
	document      *config.Document
	hosts         freshness.Hosts // hosts of the roster
	confirmed     []model.HostID  // hosts known by the relay to have this version in force
	roots         []model.HostID  // roots of the relay tree
	heldSlots     int             // share slots that a host holds
	freeSlots     int             // share slots that nobody holds
	settings      *config.Settings
	keys          *key.Set
	tokens        *session.Codec
	secret        []byte // authenticates transaction handles
	members       []membership.Member
	addresses     map[model.HostID]string // of live hosts
	homes         map[model.Service]model.HostID
	proofKind     string
	servingUntil  time.Time // keyed requests are served before this time
	proofTime     time.Time // time that the proof dates from
}

// fresh reports whether the host may serve keyed requests: it has a configuration and a roster, and a proof that
// both are fresh. The monotonic clock goes on while the process is paused, so a
// proof that ended during a pause is not used afterwards.
func (s *snapshot) fresh(now time.Time) bool {
	return s.settings != nil && s.rosterVersion > 0 && now.Before(s.servingUntil)
}

// ready reports whether the balancer may send requests to the host: it is registered, and share slots are in use.
func (s *snapshot) ready(self model.HostID) bool {
	return s.heldSlots > 0 && slices.Contains(s.hosts.IDs, self)
}

// state returns the state of the host for people.
func (s *snapshot) state(now time.Time, draining bool) string {
	switch {
	case draining:
		return "draining"
	case !s.fresh(now):
		return "stale"
	}
	return "serving"
}
