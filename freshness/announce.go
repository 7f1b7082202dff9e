package freshness

import (
	"errors"
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Announcement informs the hosts of the roster that a change may be about to take effect.
type Announcement struct {
	ID       uint64 // unique among pending announcements, such as a random number
	Document Document
	Version  uint64 // version that the change would create
	Roster   uint64 // version of the roster whose majority must acknowledge
}

// Errors of HandleAnnouncement.
var (
	ErrRosterMismatch    = errors.New("the host holds another version of the roster")
	ErrConflictingChange = errors.New("a change of the other document may be pending")
	ErrNotInRoster       = errors.New("the host is not in the roster")
)

// HandleAnnouncement records an announced change. Only a nil error is an acknowledgement.
func (h *Host) HandleAnnouncement(now time.Time, a Announcement) error {
	if a.Document >= documentCount || a.Version == 0 {
		return fmt.Errorf("announcement of version %d of document %d is malformed", a.Version, a.Document)
	}
	if h.rosterIndex < 0 {
		return ErrNotInRoster
	}
	if a.Roster != h.held[Roster] {
		return ErrRosterMismatch
	}
	other := Configuration + Roster - a.Document
	if h.pending[other].active() && !h.disabledRules.serialChanges {
		return ErrConflictingChange
	}
	if a.Version <= h.held[a.Document] {
		return nil // the store already has this version, so the swap will fail
	}
	h.pending[a.Document].announced[a.ID] = announcedChange{version: a.Version, at: now}
	return nil
}

// CancelAnnouncement drops an announcement whose swap was never sent or has failed, so that the hosts that
// acknowledged it need not wait for the end of the quarantine. An announcement that arrives after its cancellation
// stays until the quarantine ends.
func (h *Host) CancelAnnouncement(a Announcement) {
	if a.Document < documentCount {
		delete(h.pending[a.Document].announced, a.ID)
	}
}

// Errors of NewChange and CheckSwap.
var (
	ErrNoMajority          = errors.New("cannot reach a majority of hosts")
	ErrAnnouncementExpired = errors.New("the announcement is too old")
	ErrNoRoster            = errors.New("the configuration cannot change before there is a roster")
)

// Change collects the acknowledgements that are required before a swap is sent to the store.
type Change struct {
	announcement Announcement
	hosts        VotingHosts
	startedAt    time.Time
	acknowledged bitmap
}

// NewChange begins a change that creates the given version of a document. It must be called before the first
// announcement is sent, and again with a new ID for every retry. The first roster needs no acknowledgements, since no
// host can vote for an outage without a roster; the configuration can only be changed once there is one.
func NewChange(now time.Time, id uint64, document Document, version uint64, hosts VotingHosts) (*Change, error) {
	if document == Configuration && hosts.Version == 0 {
		return nil, ErrNoRoster
	}
	return &Change{
		announcement: Announcement{ID: id, Document: document, Version: version, Roster: hosts.Version},
		hosts:        hosts,
		startedAt:    now,
		acknowledged: newBitmap(len(hosts.IDs)),
	}, nil
}

// Announcement returns the message for every host of the roster, including this one.
func (c *Change) Announcement() Announcement { return c.announcement }

// RecordAcknowledgement records that a host acknowledged the announcement.
func (c *Change) RecordAcknowledgement(host model.HostID) {
	for i, id := range c.hosts.IDs {
		if id == host {
			c.acknowledged.set(i)
		}
	}
}

// CheckSwap returns nil if the swap may be sent now. It must be called right before sending, with the current time. A
// roster without hosts, which remains after the planned stop of the last host, needs no acknowledgements, since no
// host can vote for an outage under it.
func (c *Change) CheckSwap(now time.Time) error {
	if now.Sub(c.startedAt) > MaxSwapDelay {
		return ErrAnnouncementExpired
	}
	if len(c.hosts.IDs) > 0 && c.acknowledged.count() < c.hosts.Majority() {
		return fmt.Errorf("%w: %d of %d hosts acknowledged", ErrNoMajority, c.acknowledged.count(), len(c.hosts.IDs))
	}
	return nil
}
