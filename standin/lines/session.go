package lines

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// session is the server side of a client connection to a database.
type session struct {
	member            *Member
	workspace         string
	variables         map[string]string
	prepared          map[string]string // kind and shape of each prepared statement
	id                int
	memberIncarnation int64 // incarnation of the member when the session was opened
	inTxn             bool
	firstStatementID  string // ID of the first statement of the transaction
	readOnly          bool
	failed            bool
	pending           []write
	awaitedCommit     *Commit // must reach syncReplicas replicas before it is acknowledged
}

func (m *Member) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(conn)
	}
}

// serve handles a connection: it checks the startup line and then executes queries until the connection ends.
func (m *Member) serve(conn net.Conn) {
	defer conn.Close()
	m.group.mu.Lock()
	if m.partitioned {
		m.group.mu.Unlock()
		return
	}
	m.conns[conn] = true
	overLimit := len(m.conns) > m.group.MaxConns
	m.group.mu.Unlock()
	defer func() {
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(nil, 1<<20)
	if !scanner.Scan() {
		return
	}
	m.recordRequest()
	fields := strings.Fields(scanner.Text())
	switch {
	case len(fields) != 4 || fields[0] != "STARTUP" || fields[1] != m.group.Service || fields[3] != m.ID:
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", m.ID)
		return
	case overLimit:
		fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", m.ID)
		return
	}
	s := &session{member: m, workspace: fields[2], variables: map[string]string{}, prepared: map[string]string{}}
	m.group.mu.Lock()
	position := m.position()
	m.group.lastConnectionID++
	s.id, s.memberIncarnation = m.group.lastConnectionID, m.incarnation
	m.group.mu.Unlock()
	defer func() {
		m.group.mu.Lock()
		defer m.group.mu.Unlock()
		s.closeTransaction()
	}()
	fmt.Fprintf(conn, "READY I %s\r\n", position)
	for scanner.Scan() {
		m.recordRequest()
		response, answered := s.handle(scanner.Text())
		if !answered {
			return
		}
		if _, err := conn.Write([]byte(response)); err != nil {
			return
		}
	}
}

// handle runs a query and returns the complete response, or false if the response is dropped.
func (s *session) handle(line string) (string, bool) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return "", false
	}
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if parts[1] != "-" && g.statementTime > 0 {
		g.sleepUnlocked(g.statementTime)
	}
	if s.member.partitioned || s.memberIncarnation != s.member.incarnation {
		return "", false // the member was partitioned or restarted meanwhile
	}
	executedBefore := len(g.executed)
	response := s.runStatement(parts[1], parts[2])
	if !s.awaitReplicas() {
		return "", false
	}
	txnStatus := "I"
	switch {
	case s.failed:
		txnStatus = "E"
	case s.inTxn:
		txnStatus = "T"
	}
	if g.dropResponse != nil && len(g.executed) > executedBefore && g.dropResponse(s.member, parts[2]) {
		return "", false
	}
	return response + fmt.Sprintf("READY %s %s\r\n", txnStatus, s.member.position()), !s.member.partitioned
}

// sleepUnlocked releases g.mu for the duration d. The caller must hold g.mu.
func (g *Group) sleepUnlocked(d time.Duration) {
	g.mu.Unlock()
	time.Sleep(d)
	g.mu.Lock()
}

// awaitReplicas waits until syncReplicas replicas have received the last commit of the session. It returns false if the
// member stops being the primary meanwhile.
func (s *session) awaitReplicas() bool {
	c, g := s.awaitedCommit, s.member.group
	s.awaitedCommit = nil
	for c != nil && c.receivedCount < g.syncReplicas {
		if !s.member.primary || s.member.partitioned || s.member.term != g.term {
			return false
		}
		g.sleepUnlocked(time.Millisecond)
	}
	return true
}

// runStatement executes a statement and returns its response lines except for the final READY.
func (s *session) runStatement(id, text string) string {
	m := s.member
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if m.isBehind(position) {
			return s.errorResponse("LAGGING")
		}
		text = statement
	}
	words := strings.SplitN(text, " ", 3)
	for len(words) < 3 {
		words = append(words, "")
	}
	if s.failed && words[0] != "COMMIT" && words[0] != "ROLLBACK" {
		return s.errorResponse("MALFORMED")
	}
	switch words[0] {
	case "SET":
		s.variables[words[1]] = words[2]
	case "PREPARE":
		s.prepared[words[1]] = words[2]
	case "RESET":
		clear(s.variables)
		clear(s.prepared)
	case "STATUS":
		return s.status()
	case "DEMOTE":
		term, _ := strconv.ParseUint(words[1], 10, 64)
		m.demote(term)
		return s.status()
	case "BEGIN":
		if words[1] == "" && !m.primary {
			return s.errorResponse("READONLY")
		}
		if !s.inTxn {
			m.group.openTransactions++
		}
		s.inTxn, s.readOnly, s.pending, s.firstStatementID = true, words[1] == "READ", nil, ""
	case "COMMIT", "ROLLBACK":
		return s.endTransaction(id, words[0])
	case "READ":
		return s.read(ExecutedStatement{ID: id, Text: text}, words[1])
	case "WRITE":
		return s.write(ExecutedStatement{ID: id, Text: text}, words[1], words[2])
	case "EXECUTE":
		item, data, _ := strings.Cut(words[2], " ")
		shape := s.prepared[words[1]]
		switch kind, _, _ := strings.Cut(shape, " "); kind {
		case "READ":
			return s.read(ExecutedStatement{ID: id, Text: text, Shape: shape}, item)
		case "WRITE":
			return s.write(ExecutedStatement{ID: id, Text: text, Shape: shape}, item, data)
		}
		return s.errorResponse("NOSTMT")
	default:
		return s.errorResponse("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

// errorResponse returns an ERROR line and marks an open transaction as failed.
func (s *session) errorResponse(code string) string {
	s.failed = s.inTxn
	return fmt.Sprintf("ERROR %s %s\r\n", code, s.member.ID)
}

// record appends a statement to the execution history of the group.
func (s *session) record(e ExecutedStatement) {
	names := slices.Sorted(maps.Keys(s.variables))
	var values []string
	for _, name := range names {
		values = append(values, name+"="+s.variables[name])
	}
	e.At, e.ConnectionID, e.Database, e.Workspace = time.Now(), s.id, s.member.ID, s.workspace
	e.SessionVariables = strings.Join(values, ",")
	if s.inTxn {
		if s.firstStatementID == "" {
			s.firstStatementID = e.ID
		}
		e.TransactionID = s.firstStatementID
	}
	s.member.group.executed = append(s.member.group.executed, e)
}

func (s *session) read(e ExecutedStatement, name string) string {
	e.Rows = []string{s.member.readItem(name, s.pending)}
	e.VisibleLog = s.member.log[:s.member.applied]
	s.record(e)
	return fmt.Sprintf("DATAROW %s\r\nCOMPLETE sig.%s\r\n", e.Rows[0], e.ID)
}

func (s *session) write(e ExecutedStatement, name, data string) string {
	if !s.member.primary || s.readOnly {
		return s.errorResponse("READONLY")
	}
	e.Committed = !s.inTxn
	s.record(e)
	w := write{e.ID, name, data}
	if s.inTxn {
		s.pending = append(s.pending, w)
	} else {
		s.awaitedCommit = s.member.append([]write{w})
	}
	return fmt.Sprintf("COMPLETE sig.%s\r\n", e.ID)
}

// closeTransaction resets the state of the open transaction, if there is one.
func (s *session) closeTransaction() {
	if s.inTxn {
		s.member.group.openTransactions--
	}
	s.inTxn, s.readOnly, s.failed, s.pending = false, false, false, nil
}

func (s *session) endTransaction(id, command string) string {
	failed, pending := s.failed, s.pending
	e := ExecutedStatement{ID: id, Text: command, TransactionID: s.firstStatementID, Committed: true}
	s.closeTransaction()
	if command == "ROLLBACK" || failed {
		return "COMPLETE -\r\n"
	}
	if len(pending) > 0 {
		if !s.member.primary {
			return s.errorResponse("READONLY")
		}
		s.awaitedCommit = s.member.append(pending)
	}
	s.record(e)
	return fmt.Sprintf("COMPLETE sig.%s\r\n", id)
}

// status returns role, term, position of the last received log entry and number of connections.
func (s *session) status() string {
	m := s.member
	role := "replica"
	if m.primary {
		role = "primary"
	}
	received := "1.0"
	if len(m.log) > 0 {
		last := m.log[len(m.log)-1]
		received = fmt.Sprintf("%d.%d", last.Term, last.Offset)
	}
	return fmt.Sprintf("DATAROW %s %d %s 0 0 0 %d\r\nCOMPLETE -\r\n", role, m.term, received, len(m.conns))
}
