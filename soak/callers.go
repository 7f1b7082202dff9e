package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

const (
	// responseTimeout is the time a caller waits for a response. Hosts must respond well within it.
	responseTimeout = 6 * time.Second
	// meanOperationInterval is the mean time between two operations of a session.
	meanOperationInterval = 60 * time.Millisecond
	// meanLimitedInterval is the mean time between operations in the limited workspace. It is short enough that the
	// callers exceed the limit.
	meanLimitedInterval = 25 * time.Millisecond
	// maxStatementInterval is the maximum time between two statements of a transaction.
	maxStatementInterval = 20 * time.Millisecond
	// maxLongTxnPause is the maximum time between two statements of a long transaction, far below the idle timeout of
	// transactions, and maxLongTxnStatements their maximum number. Such a transaction may take as long as a planned stop.
	maxLongTxnPause      = 700 * time.Millisecond
	maxLongTxnStatements = 12
	// itemCount is the number of items shared by all callers.
	itemCount = 30
)

// longTxnGroupSize is the size of a group of callers. All but one of them use long transactions if Options.LongTransactions is
// set.
const longTxnGroupSize = 3

// Workspaces and fixed keys of the configuration. Rotating keys belong to openWorkspace.
const (
	openWorkspace    = "workshop"
	limitedWorkspace = "school"
	openKey          = "workshop-key"
	limitedKey       = "school-key"
)

func workspaceOf(key string) string {
	if key == limitedKey {
		return limitedWorkspace
	}
	return openWorkspace
}

// caller is a simulated client that holds at most one session at a time.
type caller struct {
	system        *system
	number        int
	database      string
	random        *rand.Rand
	nextStatement int // number of the next statement

	session    int
	host       int
	key        string
	keyRefused bool          // the host rejected the key
	client     *lines.Client // nil without a session
	variables  map[string]string
	prepared   map[string]string
}

// run executes operations until stopCallers is closed.
func (c *caller) run() {
	for {
		pause := meanOperationInterval
		if c.number%keyGroupSize == 0 {
			pause = meanLimitedInterval
		}
		select {
		case <-c.system.stopCallers:
			c.close()
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(pause))):
		}
		if c.client == nil && !c.connect() {
			continue
		}
		c.runOperation()
	}
}

func (c *caller) close() {
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}

// connect starts a session on a host chosen by the load balancer. It returns false if no session was started.
func (c *caller) connect() bool {
	host, address := c.system.pickHost(c.random)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	c.session = c.system.newSession()
	c.host, c.client, c.key = host, lines.NewClient(conn, responseTimeout), c.system.keyFor(c.number)
	c.keyRefused, c.variables, c.prepared = false, map[string]string{}, map[string]string{}
	o := &Operation{Session: c.session, Host: host, Database: c.database, Key: c.key}
	s := &Statement{ID: c.nextID(), Text: startupText, Operation: o}
	c.system.history.recordStatement(s)
	response := c.client.Start(c.database, c.key)
	c.recordResponse(s, response)
	if response.Code != "" {
		c.close()
	}
	return c.client != nil
}

func (c *caller) nextID() string {
	c.nextStatement++
	return fmt.Sprintf("c%d-%d", c.number, c.nextStatement)
}

func (c *caller) recordResponse(s *Statement, response lines.Response) {
	c.system.history.update(func() {
		s.AnsweredAt, s.Code, s.Rows, s.Signature = time.Now(), response.Code, response.Rows, response.Signature
	})
	c.system.countCode(response.Code)
}

// query sends a statement, records it and returns its response. The session is closed on a connection error or if the
// key was rejected.
func (c *caller) query(o *Operation, text, shape string, write bool) lines.Response {
	s := &Statement{ID: c.nextID(), Text: text, Operation: o, Shape: shape, SessionVariables: c.variablesText()}
	if write {
		c.system.history.update(func() { o.WriteIDs = append(o.WriteIDs, s.ID) })
	}
	c.system.history.recordStatement(s)
	response := c.client.Query(s.ID, text)
	c.recordResponse(s, response)
	c.keyRefused = response.Code == "AUTHFAIL"
	if response.Err != nil || c.keyRefused {
		c.close()
	}
	return response
}

func (c *caller) variablesText() string {
	var text []string
	for _, name := range slices.Sorted(maps.Keys(c.variables)) {
		text = append(text, name+"="+c.variables[name])
	}
	return strings.Join(text, ",")
}

// runOperation executes one random operation or changes the session state.
func (c *caller) runOperation() {
	o := &Operation{Session: c.session, Host: c.host, Database: c.database, Key: c.key}
	writes, transactions := c.operationMix()
	switch fraction := c.random.Float64(); {
	case c.random.IntN(30) == 0:
		c.setVariable(o)
	case c.random.IntN(20) == 0:
		c.prepareStatement(o)
	case c.random.IntN(200) == 0:
		c.close()
	case fraction < transactions:
		c.runTransaction(o, writes > 0)
	default:
		c.runSingleStatement(o, fraction < transactions+writes)
	}
}

// operationMix returns the fractions of writes and transactions among the operations on the caller's database.
func (c *caller) operationMix() (writes, transactions float64) {
	switch c.database {
	case "orders":
		return 0.35, 0.3
	case "plans":
		return 0.15, 0.15
	}
	return 0, 0.1
}

func (c *caller) setVariable(o *Operation) {
	name, value := fmt.Sprintf("v%d", c.random.IntN(3)), fmt.Sprint(c.random.IntN(100))
	if response := c.query(o, "SET "+name+" "+value, "", false); response.Code != "" {
		c.close()
		return
	}
	c.variables[name] = value
}

func (c *caller) prepareStatement(o *Operation) {
	kind := "READ"
	if c.database != "view" && c.random.IntN(3) == 0 {
		kind = "WRITE"
	}
	name, shape := fmt.Sprintf("s%d", c.random.IntN(2)), fmt.Sprintf("%s shape%d", kind, c.random.IntN(4))
	if response := c.query(o, "PREPARE "+name+" "+shape, "", false); response.Code != "" {
		c.close()
		return
	}
	c.prepared[name] = shape
}

// sendStatement sends a read or a write. It may use a prepared statement of the same kind if the session has one.
func (c *caller) sendStatement(o *Operation, write bool) lines.Response {
	item, kind := fmt.Sprintf("i%d", c.random.IntN(itemCount)), "READ"
	if write {
		kind = "WRITE"
	}
	text, shape := kind+" "+item, ""
	for _, name := range slices.Sorted(maps.Keys(c.prepared)) {
		if strings.HasPrefix(c.prepared[name], kind) && c.random.IntN(2) == 0 {
			text, shape = "EXECUTE "+name+" "+item, c.prepared[name]
		}
	}
	if write {
		text += fmt.Sprintf(" d%d-%d", c.number, c.nextStatement+1)
	}
	return c.query(o, text, shape, write)
}

// runSingleStatement executes an operation that consists of one statement.
func (c *caller) runSingleStatement(o *Operation, write bool) {
	c.finishOperation(o, outcomeOf(c.sendStatement(o, write)), false)
}

// outcomeOf returns the outcome of an operation, given the response to its single statement or its commit.
func outcomeOf(response lines.Response) Outcome {
	switch {
	case response.Code == "":
		return OutcomeDone
	case slices.Contains(lines.NoEffectCodes, response.Code):
		return OutcomeDenied
	}
	return OutcomeUnknown
}

// finishOperation records the outcome of an operation. rollbackRequested is set if the caller chose to roll back, which
// counts as served.
func (c *caller) finishOperation(o *Operation, outcome Outcome, rollbackRequested bool) {
	c.system.history.update(func() {
		o.Outcome, o.EndedAt = outcome, time.Now()
		if outcome == OutcomeDone {
			o.AckedAt = o.EndedAt
		}
	})
	if workspaceOf(c.key) == limitedWorkspace || c.keyRefused {
		return // refusals are expected above the limit and after a key was withdrawn
	}
	if outcome == OutcomeDone || rollbackRequested {
		c.system.servedOperations.Add(1)
	}
	c.system.finishedOperations.Add(1)
}

// runTransaction executes a transaction. Most are committed, some are rolled back, and in some the caller closes its
// connection.
func (c *caller) runTransaction(o *Operation, writes bool) {
	o.Transaction = true
	begin := "BEGIN"
	if !writes {
		begin = "BEGIN READ"
	}
	maxStatements, maxPause := 4, maxStatementInterval
	if c.system.options.LongTransactions && c.number%longTxnGroupSize != 0 {
		maxStatements, maxPause = maxLongTxnStatements, maxLongTxnPause
	}
	response := c.query(o, begin, "", false)
	for range 1 + c.random.IntN(maxStatements) {
		if response.Code != "" || response.TxnStatus != "T" {
			c.abortTransaction(o, response)
			return
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
		response = c.sendStatement(o, writes && c.random.IntN(2) == 0)
	}
	if response.Code != "" || response.TxnStatus != "T" {
		c.abortTransaction(o, response)
		return
	}
	switch c.random.IntN(12) {
	case 0:
		c.query(o, "ROLLBACK", "", false)
		c.finishOperation(o, OutcomeAborted, true)
		return
	case 1:
		c.close()
		c.finishOperation(o, OutcomeAborted, true)
		return
	}
	c.finishOperation(o, outcomeOf(c.query(o, "COMMIT", "", false)), false)
}

// abortTransaction ends a transaction that failed before its commit was requested, so none of its writes may be committed.
func (c *caller) abortTransaction(o *Operation, response lines.Response) {
	if c.client != nil && response.TxnStatus != "I" {
		c.query(o, "ROLLBACK", "", false)
	}
	c.finishOperation(o, OutcomeAborted, false)
}
