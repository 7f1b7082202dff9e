// Package roster computes the versions of the roster, the store document that assigns the share slots of package limit to
// hosts and lists the hosts that count in majorities.
//
// Every change is a new document computed from the old one, with the next version number. Two concurrent changes of the
// same document have the same version, so compare-and-swap in the store accepts only one of them; the other one is
// computed again.
//
// A version registers or removes at most one host. A majority of the hosts of one version therefore shares a host with
// every majority of the next one, which the outage proof of package freshness relies on while versions change.
//
// A slot that moves is used by its new holder only after UsableFrom. By then its former holder has received the new version
// or has stopped, because its documents must have been current at most MaxDocumentAge ago, and all of its loans have
// expired.
package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// DefaultSlotCount is the number of share slots of a new roster.
	DefaultSlotCount = 24
	// MaxDocumentAge is the time within which a host has the newest documents or stops serving.
	MaxDocumentAge = 5 * time.Second
	// AdmissionMargin is added to the wait of a new holder, for a request that was admitted just before its host
	// stopped.
	AdmissionMargin = time.Second

	maxChangeIDs = 64
)

// Errors of Register and Parse.
var (
	// ErrOldIncarnation means that a later incarnation of the host is registered.
	ErrOldIncarnation = errors.New("roster: a later incarnation of the host is registered")
	// ErrInvalid means that a document is malformed or inconsistent.
	ErrInvalid = errors.New("roster: invalid document")
)

// Slot is a share slot and its holder.
type Slot struct {
	Holder          model.HostID      `json:"holder,omitempty"` // empty while the slot is free
	Incarnation     model.Incarnation `json:"incarnation,omitempty"`
	AssignedVersion uint64            `json:"since,omitempty"` // version of the last assignment or release
	Clean           bool              `json:"clean,omitempty"` // no former holder and none of its loans can use the slot
}

// Host is a registered host, which counts in majorities.
type Host struct {
	ID          model.HostID      `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	DataCentre  model.DataCentre  `json:"data_centre,omitempty"`
}

// Document is one version of the roster. No function modifies a document passed to it.
type Document struct {
	Version uint64   `json:"version"`
	Slots   []Slot   `json:"slots"`
	Hosts   []Host   `json:"hosts"`   // sorted by id
	Changes []string `json:"changes"` // IDs of the last changes, newest last
}

// New returns version 0, which has free slots and no hosts and is never stored.
func New(slots int) Document {
	d := Document{Slots: make([]Slot, slots)}
	for i := range d.Slots {
		d.Slots[i].Clean = true
	}
	return d
}

// Parse decodes and validates a document.
func Parse(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return d, d.validate()
}

// Encode returns the JSON encoding of the document.
func (d Document) Encode() ([]byte, error) { return json.Marshal(d) }

func (d Document) validate() error {
	if len(d.Slots) == 0 {
		return fmt.Errorf("%w: no slots", ErrInvalid)
	}
	for i := 1; i < len(d.Hosts); i++ {
		if d.Hosts[i-1].ID >= d.Hosts[i].ID {
			return fmt.Errorf("%w: host %q is repeated or out of order", ErrInvalid, d.Hosts[i].ID)
		}
	}
	for i, s := range d.Slots {
		if s.Holder == "" {
			continue
		}
		if h, ok := d.Host(s.Holder); !ok || h.Incarnation != s.Incarnation {
			return fmt.Errorf("%w: the holder of slot %d is not registered", ErrInvalid, i)
		}
		if s.AssignedVersion > d.Version {
			return fmt.Errorf("%w: slot %d dates from a later version", ErrInvalid, i)
		}
	}
	return nil
}

// Host returns the registration of a host.
func (d Document) Host(id model.HostID) (Host, bool) {
	i, ok := d.hostIndex(id)
	if !ok {
		return Host{}, false
	}
	return d.Hosts[i], true
}

func (d Document) hostIndex(id model.HostID) (int, bool) {
	return slices.BinarySearchFunc(d.Hosts, id, func(h Host, id model.HostID) int {
		return strings.Compare(string(h.ID), string(id))
	})
}

// HasChange reports whether the document includes the change with this ID. It resolves a swap whose answer was lost.
func (d Document) HasChange(changeID string) bool { return slices.Contains(d.Changes, changeID) }

// Majority returns the number of registered hosts that form a majority.
func (d Document) Majority() int { return len(d.Hosts)/2 + 1 }

// IsMajority reports whether a majority of the registered hosts satisfies the predicate.
func (d Document) IsMajority(predicate func(Host) bool) bool {
	n := 0
	for _, h := range d.Hosts {
		if predicate(h) {
			n++
		}
	}
	return n >= d.Majority()
}

// nextVersion returns a copy with the next version number and the change ID.
func (d Document) nextVersion(changeID string) Document {
	n := Document{
		Version: d.Version + 1,
		Slots:   slices.Clone(d.Slots),
		Hosts:   slices.Clone(d.Hosts),
		Changes: append(slices.Clone(d.Changes), changeID),
	}
	if excess := len(n.Changes) - maxChangeIDs; excess > 0 {
		n.Changes = n.Changes[excess:]
	}
	return n
}

// Register adds a host or, if the host has restarted, replaces its incarnation and that of its slots. It reports
// whether the document has changed.
func Register(old Document, host Host, changeID string) (Document, bool, error) {
	i, known := old.hostIndex(host.ID)
	if known && old.Hosts[i] == host {
		return old, false, nil
	}
	if known && old.Hosts[i].Incarnation > host.Incarnation {
		return old, false, ErrOldIncarnation
	}
	d := old.nextVersion(changeID)
	if !known {
		d.Hosts = slices.Insert(d.Hosts, i, host)
		return d, true, nil
	}
	d.Hosts[i] = host
	for i := range d.Slots {
		if s := &d.Slots[i]; s.Holder == host.ID && s.Incarnation != host.Incarnation {
			*s = Slot{Holder: host.ID, Incarnation: host.Incarnation, AssignedVersion: d.Version}
		}
	}
	return d, true, nil
}

// Deregister frees the slots of a host that leaves and removes the host. Slots that the host was allowed to use itself
// become clean, so that others may use them without a wait. The caller must have taken back all loans
// (limit.Holder.HasLoans) and given up the slots (limit.Holder.SetSlots) before it sends the change to the store, and
// must not use the slots again, whatever the answer. It returns false if the document lists neither the host nor any
// of its slots under this incarnation.
func Deregister(old Document, now time.Time, t *SlotTracker, changeID string) (Document, bool) {
	d := old.nextVersion(changeID)
	changed := false
	for i, s := range d.Slots {
		if s.Holder == t.host && s.Incarnation == t.incarnation {
			// While the host still waits for a slot, the former holder may be using it.
			tracked, ok := t.slots[i]
			clean := ok && tracked.assignedVersion == s.AssignedVersion && !now.Before(tracked.usableFrom)
			d.Slots[i] = Slot{AssignedVersion: d.Version, Clean: clean}
			changed = true
		}
	}
	// The host no longer counts in majorities; otherwise the remaining host of a fleet of two could not change
	// anything.
	hosts := slices.DeleteFunc(slices.Clone(d.Hosts), func(h Host) bool {
		return h.ID == t.host && h.Incarnation == t.incarnation
	})
	if !changed && len(hosts) == len(d.Hosts) {
		return old, false
	}
	d.Hosts = hosts
	return d, true
}

// UsableFrom returns the earliest time at which the holder may use a slot, if it received the assigning version at the
// given time. It received that version no earlier than the store accepted it.
func (s Slot) UsableFrom(receivedAt time.Time) time.Time {
	if s.Clean {
		return receivedAt
	}
	wait := float64(MaxDocumentAge+limit.IdleLoanDuration) * limit.ClockTolerance
	return receivedAt.Add(time.Duration(wait) + AdmissionMargin)
}

// SlotTracker records from when on one incarnation of a host may use its slots.
type SlotTracker struct {
	host        model.HostID
	incarnation model.Incarnation
	slots       map[int]trackedSlot
}

// trackedSlot is the assignment of a slot to the tracked incarnation.
type trackedSlot struct {
	assignedVersion uint64
	usableFrom      time.Time
}

// NewSlotTracker returns the tracker of a host that has just started.
func NewSlotTracker(host model.HostID, incarnation model.Incarnation) *SlotTracker {
	return &SlotTracker{host: host, incarnation: incarnation, slots: map[int]trackedSlot{}}
}

// Update processes a version and returns the slots for limit.Holder. It must be called with each version when that
// version is first received. A slot that moved to another host and back in between counts as new, because its assigned
// version differs.
func (t *SlotTracker) Update(now time.Time, d Document) []limit.Slot {
	var out []limit.Slot
	for i, s := range d.Slots {
		if s.Holder != t.host || s.Incarnation != t.incarnation {
			delete(t.slots, i)
			continue
		}
		tracked, ok := t.slots[i]
		if !ok || tracked.assignedVersion != s.AssignedVersion {
			tracked = trackedSlot{assignedVersion: s.AssignedVersion, usableFrom: s.UsableFrom(now)}
			t.slots[i] = tracked
		}
		out = append(out, limit.Slot{Number: i, UsableFrom: tracked.usableFrom})
	}
	return out
}
