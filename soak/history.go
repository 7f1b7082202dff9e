package soak

import (
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Statement is one statement of a caller, as the caller saw it.
type Statement struct {
	ID, Text         string
	Operation        *Operation
	SentAt           time.Time
	AnsweredAt       time.Time // or the end of the connection; zero while there is no answer
	Code             string    // empty for a success, lines.Lost if the connection ended or there was no answer
	Rows             []string
	Signature        string
	SessionVariables string // of the session, as they were acknowledged
	Shape            string // kind and shape that the prepared name stands for
}

// startup is the text of a statement that stands for the start of a session.
const startup = "STARTUP"

// Operation is a statement or a transaction of a caller.
type Operation struct {
	Session     int
	Host        int
	Database    string // name that the caller connected to
	Key         string
	StartedAt   time.Time // when its first byte was sent
	Transaction bool
	EndedAt     time.Time
	Outcome     Outcome
	WriteIDs    []string // ids
	CommitID    string   // id of the statement that commits
	AckedAt     time.Time
}

// Outcome is what a caller knows of an operation.
type Outcome int

// Outcomes of operations.
const (
	OutcomeUnknown Outcome = iota // nothing was promised
	OutcomeDone                   // all statements were successful
	OutcomeDenied                 // it was promised that nothing is kept
	OutcomeAborted                // rolled back, or left by the caller
)

// Disturbance is a span in which a part of the system was not calm.
type FaultWindow struct {
	From, To        time.Time // To is zero while it lasts
	Host            int       // everyHost if all are concerned
	PlannedStop     bool      // a planned stop
	HostUnavailable bool      // the host does not serve its callers meanwhile
	DatabasesOnly   bool      // only databases are concerned
}

// everyHost stands for all hosts.
const everyHost = -1

// Change is an accepted change of the configuration.
type ConfigChange struct {
	At           time.Time
	AddedKey     string // key
	WithdrawnKey string // key
	Rate         float64
	Burst        float64
}

// History is what callers saw, and what was done to the system. It is safe for concurrent use.
type History struct {
	mu           sync.Mutex
	statements   []*Statement
	disturbances []*FaultWindow
	changes      []ConfigChange
}

// View is a copy of a history with what the databases saw.
type View struct {
	Statements         []Statement
	FaultWindows       []FaultWindow
	ConfigChanges      []ConfigChange
	ExecutedStatements []lines.Executed
	Commits            []*lines.Commit
	Promotions         []lines.Promotion
	SyncReplicas       int
	Now                time.Time
}

// update changes the history.
func (h *History) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *History) begin(s *Statement) {
	h.update(func() {
		s.SentAt = time.Now()
		if s.Operation.StartedAt.IsZero() {
			s.Operation.StartedAt = s.SentAt
		}
		h.statements = append(h.statements, s)
	})
}

func (h *History) disturb(d *FaultWindow) {
	h.update(func() { h.disturbances = append(h.disturbances, d) })
}

func (h *History) calm(d *FaultWindow) { h.update(func() { d.To = time.Now() }) }

func (h *History) changed(c ConfigChange) {
	h.update(func() {
		c.At = time.Now()
		h.changes = append(h.changes, c)
	})
}

// fill copies the history into a view. Operations are copied too, one copy for all their statements.
func (h *History) fill(v *View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	operations := map[*Operation]*Operation{}
	for _, s := range h.statements {
		one := *s
		copied := operations[s.Operation]
		if copied == nil {
			o := *s.Operation
			copied = &o
			operations[s.Operation] = copied
		}
		one.Operation = copied
		v.Statements = append(v.Statements, one)
	}
	for _, d := range h.disturbances {
		v.FaultWindows = append(v.FaultWindows, *d)
	}
	v.ConfigChanges = append(v.ConfigChanges, h.changes...)
	v.Now = time.Now()
}
