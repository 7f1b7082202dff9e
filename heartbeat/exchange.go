package heartbeat

import (
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/waxwingspindle/waxwingspindle/model"
)

// Process identifies a process of a host.
type Process struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Exchange is what a host knows about its reports to others, and about those of others to itself. It is safe for
// concurrent use. Its zero value is ready for use.
type Exchange struct {
	mu       sync.Mutex
	sessions *Sessions // of other hosts at this one; nil until the first report
	sender   Sender    // session of this host at a leader
	leader   Process   // that leader
	legacy   map[Process]bool
}

// Legacy reports whether a process has only the methods of the version before heartbeats.
func (e *Exchange) Legacy(p Process) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.legacy[p]
}

// SetLegacy records that a process has only the methods of the version before heartbeats.
func (e *Exchange) SetLegacy(p Process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.legacy == nil {
		e.legacy = map[Process]bool{}
	}
	maps.DeleteFunc(e.legacy, func(known Process, _ bool) bool { return known.Host == p.Host })
	e.legacy[p] = true
}

// Request returns the heartbeat for a report to the leader, or false if a full report has to be sent.
func (e *Exchange) Request(leader Process, r Report) (Request, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != leader {
		return Request{}, false
	}
	return e.sender.Request(r)
}

// Opened records the session that the leader has opened for a full report.
func (e *Exchange) Opened(leader Process, id SessionID, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = leader
	e.sender.Opened(id, r)
}

// Ended records that the leader does not know the session.
func (e *Exchange) Ended() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sender.Ended()
}

// Open opens a session for a full report of another host.
func (e *Exchange) Open(r Report) SessionID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions == nil {
		e.sessions = NewSessions(rand.Uint32())
	}
	return e.sessions.Open(r)
}

// Report returns the report that a heartbeat of another host stands for, or false if its session is not known.
func (e *Exchange) Report(r Request) (Report, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions == nil {
		return Report{}, false
	}
	return e.sessions.Report(r)
}
