// Package heartbeat encodes the periodic reports of hosts to the leader compactly. Under normal conditions these reports are
// most of the control bytes: every host sends one each 250 ms, and nothing in it has changed but the ages of its
// observations. So the names in a report are sent once, in a full report that opens a session at the leader; the
// following requests refer to it and hold numbers only. A session ends when a name changes, when the host reports to
// another leader, or when the leader does not know it; the host then sends a full report again.
//
// The package performs no I/O and reads no clock. Sender and Sessions are not safe for concurrent use; Exchange combines
// them for a host, which may be a leader.
package heartbeat

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// SessionID identifies a session at one leader. Zero means none.
type SessionID uint32

// Report is the content of a full report that heartbeats repeat.
type Report struct {
	Host         model.HostID
	Standalone   bool // the host uses its equal share of the rate limits
	Observations map[model.Service]primacy.Observation
	Revisions    map[string]uint64 // of the last observed store changes, by prefix
}

// Request is a heartbeat. It is encoded as an array, so the order of its fields is the wire format.
type Request struct {
	Session    SessionID
	Standalone bool
	// Revisions holds the revisions in the order of the names of their prefixes.
	Revisions []uint64
	// Observations holds, in the order of the names of the services, the age of the last reply of the primary in milliseconds,
	// or if the primary does not reply, minus the time in milliseconds since when plus one. Services whose primary has
	// neither replied nor failed have unknownAge. The positive ages of failing primaries are not sent.
	Observations []int32
}

// unknownAge is the age of an observation that does not count as a reply.
const unknownAge = math.MinInt32

// layout names the values of a session's requests.
type layout struct {
	host     model.HostID
	prefixes []string
	services []model.Service
	epochs   []uint64
}

func layoutOf(r Report) layout {
	l := layout{host: r.Host, prefixes: slices.Sorted(maps.Keys(r.Revisions)),
		services: slices.Sorted(maps.Keys(r.Observations))}
	for _, service := range l.services {
		l.epochs = append(l.epochs, r.Observations[service].Epoch)
	}
	return l
}

func (l layout) equal(other layout) bool {
	return l.host == other.host && slices.Equal(l.prefixes, other.prefixes) && slices.Equal(l.services, other.services) &&
		slices.Equal(l.epochs, other.epochs)
}

// Sender is the state of a host's session at the leader.
type Sender struct {
	session SessionID
	layout  layout
}

// Opened records that a leader has opened a session for a full report.
func (s *Sender) Opened(id SessionID, r Report) { s.session, s.layout = id, layoutOf(r) }

// Ended records that the session does not exist any more.
func (s *Sender) Ended() { *s = Sender{} }

// Request returns the heartbeat for a report, or false if a full report has to be sent.
func (s *Sender) Request(r Report) (Request, bool) {
	if s.session == 0 || !s.layout.equal(layoutOf(r)) {
		return Request{}, false
	}
	request := Request{Session: s.session, Standalone: r.Standalone}
	for _, prefix := range s.layout.prefixes {
		request.Revisions = append(request.Revisions, r.Revisions[prefix])
	}
	for _, service := range s.layout.services {
		request.Observations = append(request.Observations, encodeObservation(r.Observations[service]))
	}
	return request, true
}

func encodeObservation(o primacy.Observation) int32 {
	switch {
	case o.UnreachableFor > 0:
		return -int32(min(o.UnreachableFor.Milliseconds(), math.MaxInt32-1)) - 1
	case o.ReplyAge < 0:
		return unknownAge
	}
	return int32(min(o.ReplyAge.Milliseconds(), math.MaxInt32))
}

func decodeObservation(epoch uint64, value int32) primacy.Observation {
	switch {
	case value == unknownAge:
		return primacy.Observation{Epoch: epoch, ReplyAge: -1}
	case value < 0:
		// At least a nanosecond, because zero means that the last attempt succeeded.
		return primacy.Observation{Epoch: epoch, UnreachableFor: max(1, time.Duration(-(value+1))*time.Millisecond)}
	}
	return primacy.Observation{Epoch: epoch, ReplyAge: time.Duration(value) * time.Millisecond}
}

// Sessions holds the sessions that one process has opened as the leader, at most one for each host.
type Sessions struct {
	last    SessionID
	layouts map[SessionID]layout
	byHost  map[model.HostID]SessionID
}

// NewSessions returns no sessions. Their ids follow a random number: a host may not know yet that the leader's process has
// started again, and the id of its session must not be that of another host.
func NewSessions(random uint32) *Sessions {
	return &Sessions{last: SessionID(random), layouts: map[SessionID]layout{}, byHost: map[model.HostID]SessionID{}}
}

// Open opens a session for a full report and ends the previous one of the host. Ids are not used again.
func (s *Sessions) Open(r Report) SessionID {
	delete(s.layouts, s.byHost[r.Host])
	if s.last++; s.last == 0 {
		s.last++
	}
	s.layouts[s.last], s.byHost[r.Host] = layoutOf(r), s.last
	return s.last
}

// Report returns the report that a heartbeat stands for, or false if its session is not known or does not fit.
func (s *Sessions) Report(r Request) (Report, bool) {
	l, known := s.layouts[r.Session]
	if !known || len(r.Revisions) != len(l.prefixes) || len(r.Observations) != len(l.services) {
		return Report{}, false
	}
	report := Report{Host: l.host, Standalone: r.Standalone, Revisions: make(map[string]uint64, len(l.prefixes)),
		Observations: make(map[model.Service]primacy.Observation, len(l.services))}
	for i, prefix := range l.prefixes {
		report.Revisions[prefix] = r.Revisions[i]
	}
	for i, service := range l.services {
		report.Observations[service] = decodeObservation(l.epochs[i], r.Observations[i])
	}
	return report, true
}
