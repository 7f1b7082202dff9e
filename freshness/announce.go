package freshness

import (
	"errors"
	"fmt"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Announcement tells the hosts of the roster that a change may be about to take effect.
type Announcement struct {
	ID       uint64 // unique among the announcements that may be pending, such as a random number
	Document Document
	Version  uint64 // the version that the change would make
	Roster   uint64 // version of the roster that the majority is counted over
}

// Reasons for refusing an announcement.
var (
	ErrRosterMismatch    = errors.New("the host holds another version of the roster")
	ErrConflictingChange = errors.New("a change of the other document may be pending")
	ErrNotInRoster       = errors.New("the host is not in the roster")
)

// Announce handles an announcement. A nil error is the acknowledgement; any other result must not be counted.
func (h *Host) HandleAnnouncement(now time.Time, a Announcement) error {
	if a.Document >= documents || a.Version == 0 {
		return fmt.Errorf("announcement of version %d of document %d is malformed", a.Version, a.Document)
	}
	if h.place < 0 {
		return ErrNotInRoster
	}
	if a.Roster != h.held[Roster] {
		return ErrRosterMismatch
	}
	other := Configuration + Roster - a.Document
	if h.pending[other].active() && !h.without.serial {
		return ErrConflictingChange
	}
	if a.Version <= h.held[a.Document] {
		return nil // the store already has this version, so the swap fails
	}
	h.pending[a.Document].announced[a.ID] = announced{version: a.Version, at: now}
	return nil
}

// Cancel forgets an announcement whose swap was never sent or has failed, so that the hosts that acknowledged it need
// not wait for the quarantine to end. An announcement that arrives after its cancellation waits for it.
func (h *Host) CancelAnnouncement(a Announcement) {
	if a.Document < documents {
		delete(h.pending[a.Document].announced, a.ID)
	}
}

// Reasons for not sending a swap.
var (
	ErrNoMajority          = errors.New("cannot reach a majority of hosts")
	ErrAnnouncementExpired = errors.New("the announcement is too old")
	ErrNoRoster            = errors.New("the configuration cannot change before there is a roster")
)

// Change collects the acknowledgements that a host needs before it may send a swap to the store.
type Change struct {
	announcement Announcement
	hosts        VotingHosts
	started      time.Time
	acknowledged bitmap
}

// NewChange begins a change of a document that makes the version. Call it before the first announcement is sent, and
// make a new one with another id for every try. The first roster needs no acknowledgements, since nobody can state an outage without
// one; the configuration can only be changed when there is a roster.
func NewChange(now time.Time, id uint64, document Document, version uint64, hosts VotingHosts) (*Change, error) {
	if document == Configuration && hosts.Version == 0 {
		return nil, ErrNoRoster
	}
	return &Change{
		announcement: Announcement{ID: id, Document: document, Version: version, Roster: hosts.Version},
		hosts:        hosts,
		started:      now,
		acknowledged: newBitmap(len(hosts.IDs)),
	}, nil
}

// Announcement returns what has to be sent to every host of the roster, this host included.
func (c *Change) Announcement() Announcement { return c.announcement }

// Acknowledged records that a host acknowledged the announcement.
func (c *Change) RecordAcknowledgement(host model.HostID) {
	for i, id := range c.hosts.IDs {
		if id == host {
			c.acknowledged.set(i)
		}
	}
}

// MaySwap returns nil when the swap may be sent. A roster without hosts, which the last host leaves behind at a planned
// stop, needs no acknowledgements, since nobody can state an outage under it. Ask right before sending it, with the time of that moment.
func (c *Change) CheckSwap(now time.Time) error {
	if now.Sub(c.started) > MaxSwapDelay {
		return ErrAnnouncementExpired
	}
	if len(c.hosts.IDs) > 0 && c.acknowledged.count() < c.hosts.Majority() {
		return fmt.Errorf("%w: %d of %d hosts acknowledged", ErrNoMajority, c.acknowledged.count(), len(c.hosts.IDs))
	}
	return nil
}
