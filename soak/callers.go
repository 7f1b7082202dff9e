package soak

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"
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

// promising are the codes that promise that nothing of an operation is kept.
var promising = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}

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
	refused  bool // the key was withdrawn
	conn     net.Conn
	in       *bufio.Reader
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
		if c.conn == nil && !c.connect() {
			continue
		}
		c.operation()
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close() // the session is over either way
		c.conn = nil
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
	c.host, c.conn, c.in, c.key = host, conn, bufio.NewReader(conn), c.world.keyFor(c.number)
	c.refused, c.values, c.prepared = false, map[string]string{}, map[string]string{}
	o := &Operation{Session: c.session, Host: host, Database: c.database, Key: c.key}
	s := &Statement{ID: c.id(), Text: startup, Operation: o}
	c.world.history.begin(s)
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\n", c.database, c.key); err != nil {
		c.finish(s, answer{code: lost})
		c.close()
		return false
	}
	a := answer{code: c.admission()}
	c.finish(s, a)
	if a.code != "" {
		c.close()
	}
	return c.conn != nil
}

// admission reads the answer to the start of a session and returns its code. A refusal is followed by a close.
func (c *caller) admission() string {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return lost
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return lost
	}
	if rest, refused := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), "ERROR "); refused {
		code, _, _ := strings.Cut(rest, " ")
		return code
	}
	return ""
}

func (c *caller) id() string {
	c.next++
	return fmt.Sprintf("c%d-%d", c.number, c.next)
}

type answer struct {
	rows            []string
	signature, code string
	state           string
}

// read reads a whole answer.
func (c *caller) read() answer {
	var a answer
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return answer{code: lost}
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return answer{code: lost}
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (c *caller) finish(s *Statement, a answer) {
	c.world.history.update(func() {
		s.Answered, s.Code, s.Rows, s.Signature = time.Now(), a.code, a.rows, a.signature
	})
	c.world.count(a.code)
}

// query sends a statement and reads its answer.
func (c *caller) query(o *Operation, text, shape string, write bool) answer {
	s := &Statement{ID: c.id(), Text: text, Operation: o, Shape: shape, Values: c.valuesText()}
	if write {
		c.world.history.update(func() { o.Writes = append(o.Writes, s.ID) })
	}
	c.world.history.begin(s)
	a := answer{code: lost}
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", s.ID, text); err == nil {
		a = c.read()
	}
	c.finish(s, a)
	c.refused = a.code == "AUTHFAIL"
	if a.code == lost || c.refused {
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
	if a := c.query(o, "SET "+name+" "+value, "", false); a.code != "" {
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
	if a := c.query(o, "PREPARE "+name+" "+shape, "", false); a.code != "" {
		c.close()
		return
	}
	c.prepared[name] = shape
}

// statement sends a read or a write, prepared if there is a prepared statement of the kind.
func (c *caller) statement(o *Operation, write bool) answer {
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
	a := c.statement(o, write)
	outcome := Unknown
	switch {
	case a.code == "":
		outcome = Done
	case slices.Contains(promising, a.code):
		outcome = Denied
	}
	c.end(o, outcome, false)
}

// end notes what the caller of an operation knows of it. A caller that rolls back as it likes has asked for that.
func (c *caller) end(o *Operation, outcome Outcome, asked bool) {
	c.world.history.update(func() {
		o.Outcome, o.Ended = outcome, time.Now()
		if outcome == Done {
			o.Acked = o.Ended
		}
	})
	if workspaceOf(c.key) == limitedWorkspace || c.refused {
		return // nothing is owed to callers above their limit or without a key
	}
	if outcome == Done || outcome == ReadOnly || asked {
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
		if a.code != "" || a.state != "T" {
			c.abandon(o, a)
			return
		}
		time.Sleep(c.pause())
		a = c.statement(o, writes && c.random.IntN(2) == 0)
	}
	if a.code != "" || a.state != "T" {
		c.abandon(o, a)
		return
	}
	switch c.random.IntN(12) {
	case 0:
		c.query(o, "ROLLBACK", "", false)
		c.end(o, GivenUp, true)
		return
	case 1:
		c.close()
		c.end(o, GivenUp, true)
		return
	}
	a = c.query(o, "COMMIT", "", false)
	switch {
	case a.code == "" && len(o.Writes) > 0:
		c.end(o, Done, false)
	case a.code == "":
		c.end(o, ReadOnly, false)
	case slices.Contains(promising, a.code):
		c.end(o, Denied, false)
	default:
		c.end(o, Unknown, false)
	}
}

// abandon ends a transaction that failed before its commit was asked for, so nothing of it may be kept.
func (c *caller) abandon(o *Operation, a answer) {
	if c.conn != nil && a.state != "I" {
		c.query(o, "ROLLBACK", "", false)
	}
	c.end(o, GivenUp, false)
}

func (c *caller) pause() time.Duration { return time.Duration(c.random.Int64N(int64(statementPause))) }
