package soak

import (
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Statement records one statement and its response as observed by the caller.
type Statement struct {
	ID, Text         string
	Operation        *Operation
	SentAt           time.Time
	AnsweredAt       time.Time // time of the response, the connection error or the timeout; zero before that
	Code             string    // empty on success, lines.CodeLost if the connection ended or the response timed out
	Rows             []string
	Signature        string
	SessionVariables string // acknowledged session variables
	Shape            string // kind and shape of the prepared statement
}

// startupText is the text of the statement that represents the start of a session.
const startupText = "STARTUP"

// Operation is a single statement or a transaction of a caller.
type Operation struct {
	Session     int
	Host        int
	Database    string // database name used to connect
	Key         string
	StartedAt   time.Time // before the first statement was sent
	Transaction bool
	EndedAt     time.Time
	Outcome     Outcome
	WriteIDs    []string  // ids of the write statements
	CommitID    string    // id of the statement that commits
	AckedAt     time.Time // time at which the operation succeeded, otherwise zero
}

// Outcome is the result of an operation as observed by its caller.
type Outcome int

// Outcomes of operations.
const (
	OutcomeUnknown Outcome = iota // the operation may or may not have taken effect
	OutcomeDone                   // all statements succeeded
	OutcomeDenied                 // the response guarantees that the operation had no effect
	OutcomeAborted                // rolled back or abandoned before a commit was requested
)

// FaultWindow is a time span in which a part of the system was affected by a fault.
type FaultWindow struct {
	From, To        time.Time // To is zero while the fault is active
	Host            int       // allHosts if every host is affected
	PlannedStop     bool      // the fault is a planned stop of the host
	HostUnavailable bool      // the host does not serve callers during the fault
	DatabasesOnly   bool      // only databases are affected
	// PlannedOperation marks an operation on databases that is no fault: an evacuation or a drain.
	PlannedOperation bool
}

// allHosts is the host number that represents all hosts.
const allHosts = -1

// ConfigChange is an accepted change of the configuration.
type ConfigChange struct {
	At           time.Time
	AddedKey     string // empty if no key was added
	WithdrawnKey string // empty if no key was withdrawn
	Rate         float64
	Burst        float64
}

// Evacuation is an acknowledged request to evacuate a data centre.
type Evacuation struct {
	From, To  time.Time // To is zero until the request is withdrawn
	Databases []string  // in the data centre
}

// History records the statements of callers, the injected faults and the configuration changes. It is safe for concurrent
// use.
type History struct {
	mu            sync.Mutex
	statements    []*Statement
	faultWindows  []*FaultWindow
	configChanges []ConfigChange
	evacuations   []*Evacuation
}

// View is a copy of a History together with the statements, commits and promotions recorded by the databases.
type View struct {
	Statements         []Statement
	FaultWindows       []FaultWindow
	ConfigChanges      []ConfigChange
	Evacuations        []Evacuation
	ExecutedStatements []lines.ExecutedStatement
	Commits            []*lines.Commit
	Promotions         []lines.Promotion
	SyncReplicas       int
	Now                time.Time
}

// update calls change with the history locked.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *History) recordStatement(s *Statement) {
	h.update(func() {
		s.SentAt = time.Now()
		if s.Operation.StartedAt.IsZero() {
			s.Operation.StartedAt = s.SentAt
		}
		h.statements = append(h.statements, s)
	})
}

func (h *History) addFaultWindow(window *FaultWindow) {
	h.update(func() { h.faultWindows = append(h.faultWindows, window) })
}

func (h *History) closeFaultWindow(window *FaultWindow) { h.update(func() { window.To = time.Now() }) }

func (h *History) recordConfigChange(c ConfigChange) {
	h.update(func() {
		c.At = time.Now()
		h.configChanges = append(h.configChanges, c)
	})
}

// copyTo copies the history into a view. Statements of one operation share one copy of it.
func (h *History) copyTo(v *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	operations := map[*Operation]*Operation{}
	for _, s := range h.statements {
		statement := *s
		copied := operations[s.Operation]
		if copied == nil {
			o := *s.Operation
			copied = &o
			operations[s.Operation] = copied
		}
		statement.Operation = copied
		v.Statements = append(v.Statements, statement)
	}
	for _, window := range h.faultWindows {
		v.FaultWindows = append(v.FaultWindows, *window)
	}
	for _, e := range h.evacuations {
		v.Evacuations = append(v.Evacuations, *e)
	}
	v.ConfigChanges = append(v.ConfigChanges, h.configChanges...)
	v.Now = time.Now()
}
