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
	// answerTimeout is the time after which a caller gives a statement up; hosts have to answer long before.
	answerTimeout = 6 * time.Second
	// operationPause is the mean time between two operations of a session.
	operationPause = 60 * time.Millisecond
	// limitedPause is the same in the limited workspace, whose callers ask for more than its limit.
	limitedPause = 25 * time.Millisecond
	// statementPause bounds the time between two statements of a transaction.
	statementPause = 20 * time.Millisecond
	// items is the number of items that all callers share.
	items = 30
)

// Workspaces and keys of the configuration. Other keys come and go, and belong to the first one.
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

// caller is a client with one session at a time.
type caller struct {
	world    *world
	number   int
	database string
	random   *rand.Rand
	next     int // number of the next statement

	session  int
	host     int
	key      string
	refused  bool          // the key was withdrawn
	client   *lines.Client // nil without a session
	values   map[string]string
	prepared map[string]string
}

// run plays operations until the world stops its callers.
func (c *caller) run() {
	for {
		pause := operationPause
		if c.number%limitedEvery == 0 {
			pause = limitedPause
		}
		select {
		case <-c.world.stopCallers:
			c.close()
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(pause))):
		}
		if c.client == nil && !c.connect() {
			continue
		}
		c.operation()
	}
}

func (c *caller) close() {
	if c.client != nil {
		c.client.Close()
		c.client = nil
	}
}

// connect starts a session at a host that the balancer offers.
func (c *caller) connect() bool {
	host, address := c.world.pick(c.random)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	c.session = c.world.newSession()
	c.host, c.client, c.key = host, lines.NewClient(conn, answerTimeout), c.world.keyFor(c.number)
	c.refused, c.values, c.prepared = false, map[string]string{}, map[string]string{}
	o := &Operation{Session: c.session, Host: host, Database: c.database, Key: c.key}
	s := &Statement{ID: c.id(), Text: startup, Operation: o}
	c.world.history.begin(s)
	a := c.client.Start(c.database, c.key)
	c.finish(s, a)
	if a.Code != "" {
		c.close()
	}
	return c.client != nil
}

func (c *caller) id() string {
	c.next++
	return fmt.Sprintf("c%d-%d", c.number, c.next)
}

func (c *caller) finish(s *Statement, a lines.Answer) {
	c.world.history.update(func() {
		s.AnsweredAt, s.Code, s.Rows, s.Signature = time.Now(), a.Code, a.Rows, a.Signature
	})
	c.world.count(a.Code)
}

// query sends a statement and reads its answer.
func (c *caller) query(o *Operation, text, shape string, write bool) lines.Answer {
	s := &Statement{ID: c.id(), Text: text, Operation: o, Shape: shape, SessionVariables: c.valuesText()}
	if write {
		c.world.history.update(func() { o.WriteIDs = append(o.WriteIDs, s.ID) })
	}
	c.world.history.begin(s)
	a := c.client.Query(s.ID, text)
	c.finish(s, a)
	c.refused = a.Code == "AUTHFAIL"
	if a.Err != nil || c.refused {
		c.close()
	}
	return a
}

func (c *caller) valuesText() string {
	var text []string
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		text = append(text, name+"="+c.values[name])
	}
	return strings.Join(text, ",")
}

// operation plays one operation, or changes the session.
func (c *caller) operation() {
	o := &Operation{Session: c.session, Host: c.host, Database: c.database, Key: c.key}
	writes, transactions := c.shares()
	switch draw := c.random.Float64(); {
	case c.random.IntN(30) == 0:
		c.set(o)
	case c.random.IntN(20) == 0:
		c.prepare(o)
	case c.random.IntN(200) == 0:
		c.close()
	case draw < transactions:
		c.transaction(o, writes > 0)
	default:
		c.single(o, draw < transactions+writes)
	}
}

// shares returns the shares of writes and of transactions among the operations on a database.
func (c *caller) shares() (writes, transactions float64) {
	switch c.database {
	case "orders":
		return 0.35, 0.3
	case "plans":
		return 0.15, 0.15
	}
	return 0, 0.1
}

func (c *caller) set(o *Operation) {
	name, value := fmt.Sprintf("v%d", c.random.IntN(3)), fmt.Sprint(c.random.IntN(100))
	if a := c.query(o, "SET "+name+" "+value, "", false); a.Code != "" {
		c.close()
		return
	}
	c.values[name] = value
}

func (c *caller) prepare(o *Operation) {
	kind := "READ"
	if c.database != "view" && c.random.IntN(3) == 0 {
		kind = "WRITE"
	}
	name, shape := fmt.Sprintf("s%d", c.random.IntN(2)), fmt.Sprintf("%s shape%d", kind, c.random.IntN(4))
	if a := c.query(o, "PREPARE "+name+" "+shape, "", false); a.Code != "" {
		c.close()
		return
	}
	c.prepared[name] = shape
}

// statement sends a read or a write, prepared if there is a prepared statement of the kind.
func (c *caller) statement(o *Operation, write bool) lines.Answer {
	item, kind := fmt.Sprintf("i%d", c.random.IntN(items)), "READ"
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
		text += fmt.Sprintf(" d%d-%d", c.number, c.next+1)
	}
	return c.query(o, text, shape, write)
}

// single plays an operation of one statement.
func (c *caller) single(o *Operation, write bool) {
	c.end(o, outcomeOf(c.statement(o, write)), false)
}

// outcomeOf returns what a caller knows of an operation from the answer to its single statement or its commit.
func outcomeOf(a lines.Answer) Outcome {
	switch {
	case a.Code == "":
		return OutcomeDone
	case slices.Contains(lines.Promising, a.Code):
		return OutcomeDenied
	}
	return OutcomeUnknown
}

// end notes what the caller of an operation knows of it. A caller that rolls back as it likes has asked for that.
func (c *caller) end(o *Operation, outcome Outcome, asked bool) {
	c.world.history.update(func() {
		o.Outcome, o.EndedAt = outcome, time.Now()
		if outcome == OutcomeDone {
			o.AckedAt = o.EndedAt
		}
	})
	if workspaceOf(c.key) == limitedWorkspace || c.refused {
		return // nothing is owed to callers above their limit or without a key
	}
	if outcome == OutcomeDone || asked {
		c.world.served.Add(1)
	}
	c.world.played.Add(1)
}

// transaction plays a transaction. Some are rolled back, and some callers leave.
func (c *caller) transaction(o *Operation, writes bool) {
	o.Transaction = true
	begin := "BEGIN"
	if !writes {
		begin = "BEGIN READ"
	}
	a := c.query(o, begin, "", false)
	for range 1 + c.random.IntN(4) {
		if a.Code != "" || a.State != "T" {
			c.abandon(o, a)
			return
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(statementPause))))
		a = c.statement(o, writes && c.random.IntN(2) == 0)
	}
	if a.Code != "" || a.State != "T" {
		c.abandon(o, a)
		return
	}
	switch c.random.IntN(12) {
	case 0:
		c.query(o, "ROLLBACK", "", false)
		c.end(o, OutcomeAborted, true)
		return
	case 1:
		c.close()
		c.end(o, OutcomeAborted, true)
		return
	}
	c.end(o, outcomeOf(c.query(o, "COMMIT", "", false)), false)
}

// abandon ends a transaction that failed before its commit was asked for, so nothing of it may be kept.
func (c *caller) abandon(o *Operation, a lines.Answer) {
	if c.client != nil && a.State != "I" {
		c.query(o, "ROLLBACK", "", false)
	}
	c.end(o, OutcomeAborted, false)
}
