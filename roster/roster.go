// Package roster computes the versions of the roster, the store document that assigns the share slots of package limit to
// hosts and lists the hosts that count in majorities.
//
// Every change is a new document computed from the old one, with the next version. Two changes of the same document have
// the same version, so that compare-and-swap in the store lets one of them win; the other is computed again.
//
// A version registers or removes at most one host. A majority of the hosts of one version then shares a host with every
// majority of the next one, which the outage proof of package freshness relies on while versions change.
//
// A slot that moves is used by its new holder only after UsableFrom. By then its former holder has seen the new version
// or has stopped, because its documents must be current at most freshness ago, and all of its loans have ended.
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
	// DefaultSlots is the number of share slots of a new roster.
	DefaultSlotCount = 24
	// Freshness is the time within which a host has the newest documents or stops.
	MaxDocumentAge = 5 * time.Second
	// Margin is added to the wait of a new holder, for a request that is admitted just before its host stops.
	AdmissionMargin = time.Second

	keptChanges = 64
)

// Errors of changes.
var (
	// ErrOldIncarnation means that a later start of the host is registered.
	ErrOldIncarnation = errors.New("roster: a later incarnation of the host is registered")
	// ErrInvalid means that a document breaks the rules of the roster.
	ErrInvalid = errors.New("roster: invalid document")
)

// Slot is a share slot and its holder.
type Slot struct {
	Holder          model.HostID      `json:"holder,omitempty"` // empty while nobody holds the slot
	Incarnation     model.Incarnation `json:"incarnation,omitempty"`
	AssignedVersion uint64            `json:"since,omitempty"` // version that gave the slot to this incarnation
	Clean           bool              `json:"clean,omitempty"` // no former holder and none of its loans can use the slot
}

// Host is a registered host. It counts in majorities.
type Host struct {
	ID          model.HostID      `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	DataCentre  model.DataCentre  `json:"data_centre,omitempty"`
}

// Document is one version of the roster. Functions never change a document that they are given.
type Document struct {
	Version uint64   `json:"version"`
	Slots   []Slot   `json:"slots"`
	Hosts   []Host   `json:"hosts"`   // sorted by id
	Changes []string `json:"changes"` // ids of the last changes, the newest last
}

// New returns version 0, which is never stored, with free slots and no hosts.
func New(slots int) Document {
	d := Document{Slots: make([]Slot, slots)}
	for i := range d.Slots {
		d.Slots[i].Clean = true
	}
	return d
}

// Parse reads a document and checks it.
func Parse(data []byte) (Document, error) {
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return Document{}, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	return d, d.check()
}

// Encode returns the document as JSON.
func (d Document) Encode() ([]byte, error) { return json.Marshal(d) }

func (d Document) check() error {
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
	i, ok := d.find(id)
	if !ok {
		return Host{}, false
	}
	return d.Hosts[i], true
}

func (d Document) find(id model.HostID) (int, bool) {
	return slices.BinarySearchFunc(d.Hosts, id, func(h Host, id model.HostID) int {
		return strings.Compare(string(h.ID), string(id))
	})
}

// Applied reports whether the change with the id is part of the document. It resolves a swap whose answer was lost.
func (d Document) HasChange(changeID string) bool { return slices.Contains(d.Changes, changeID) }

// Majority returns the number of registered hosts that form a majority.
func (d Document) Majority() int { return len(d.Hosts)/2 + 1 }

// IsMajority reports whether a majority of the registered hosts satisfies the predicate.
func (d Document) IsMajority(in func(Host) bool) bool {
	n := 0
	for _, h := range d.Hosts {
		if in(h) {
			n++
		}
	}
	return n >= d.Majority()
}

// next returns a copy with the next version and the change id.
func (d Document) next(changeID string) Document {
	n := Document{
		Version: d.Version + 1,
		Slots:   slices.Clone(d.Slots),
		Hosts:   slices.Clone(d.Hosts),
		Changes: append(slices.Clone(d.Changes), changeID),
	}
	if extra := len(n.Changes) - keptChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	return n
}

// Register adds a host, or replaces the incarnation of a host that has restarted together with that of its slots. It
// reports whether anything has changed.
func Register(old Document, host Host, changeID string) (Document, bool, error) {
	i, known := old.find(host.ID)
	if known && old.Hosts[i] == host {
		return old, false, nil
	}
	if known && old.Hosts[i].Incarnation > host.Incarnation {
		return old, false, ErrOldIncarnation
	}
	d := old.next(changeID)
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

// Release frees the slots of a host that leaves and removes the host. Others may use a slot that the host could use itself without a wait. The
// caller must have taken back all loans (limit.Holder.Lent) and given up the slots (limit.Holder.SetSlots) before the
// change is sent to the store, and must not take the slots up again, whatever the answer.
func Deregister(old Document, now time.Time, t *SlotTracker, changeID string) (Document, bool) {
	d := old.next(changeID)
	changed := false
	for i, s := range d.Slots {
		if s.Holder == t.host && s.Incarnation == t.incarnation {
			// While the host still waits for a slot, the former holder may be using it.
			x, ok := t.slots[i]
			clean := ok && x.since == s.AssignedVersion && !now.Before(x.from)
			d.Slots[i] = Slot{AssignedVersion: d.Version, Clean: clean}
			changed = true
		}
	}
	// The host no longer counts in majorities; otherwise the other host of a fleet of two could change nothing.
	hosts := slices.DeleteFunc(slices.Clone(d.Hosts), func(h Host) bool {
		return h.ID == t.host && h.Incarnation == t.incarnation
	})
	if !changed && len(hosts) == len(d.Hosts) {
		return old, false
	}
	d.Hosts = hosts
	return d, true
}

// UsableFrom returns the earliest time at which the holder may use a slot, if it saw the version that gave it the slot
// at the given time. It saw that version no earlier than the store accepted it.
func (s Slot) UsableFrom(seen time.Time) time.Time {
	if s.Clean {
		return seen
	}
	wait := float64(MaxDocumentAge+limit.IdleLoanDuration) * limit.ClockTolerance
	return seen.Add(time.Duration(wait) + AdmissionMargin)
}

// Tenure remembers from when on one incarnation of a host may use its slots.
type SlotTracker struct {
	host        model.HostID
	incarnation model.Incarnation
	slots       map[int]tenancy
}

type tenancy struct {
	since uint64
	from  time.Time
}

// NewTenure returns the tenure of a host that has just started.
func NewSlotTracker(host model.HostID, incarnation model.Incarnation) *SlotTracker {
	return &SlotTracker{host: host, incarnation: incarnation, slots: map[int]tenancy{}}
}

// Update takes over a version and returns the slots for limit.Holder. Call it with each version when it is first seen. A
// slot that went to another host and came back in between counts as new, because its version differs.
func (t *SlotTracker) Update(now time.Time, d Document) []limit.Slot {
	var out []limit.Slot
	for i, s := range d.Slots {
		if s.Holder != t.host || s.Incarnation != t.incarnation {
			delete(t.slots, i)
			continue
		}
		x, ok := t.slots[i]
		if !ok || x.since != s.AssignedVersion {
			x = tenancy{since: s.AssignedVersion, from: s.UsableFrom(now)}
			t.slots[i] = x
		}
		out = append(out, limit.Slot{Number: i, UsableFrom: x.from})
	}
	return out
}
