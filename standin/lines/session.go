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

// session is a connection to a database.
type session struct {
	member   *Member
	tenant   string
	values   map[string]string
	prepared map[string]string // kind and shape
	id       int
	born     int64 // start of the database that it was opened to
	inTxn    bool
	first    string // id of the first statement of the transaction
	readOnly bool
	failed   bool
	pending  []write
	awaiting *Commit // that has to reach a replica before it is acknowledged
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

func (m *Member) serve(conn net.Conn) {
	defer conn.Close()
	m.group.mu.Lock()
	if m.dark {
		m.group.mu.Unlock()
		return
	}
	m.conns[conn] = true
	full := len(m.conns) > m.group.MaxConns
	m.group.mu.Unlock()
	defer func() {
		m.group.mu.Lock()
		delete(m.conns, conn)
		m.group.mu.Unlock()
	}()
	in := bufio.NewScanner(conn)
	in.Buffer(nil, 1<<20)
	if !in.Scan() {
		return
	}
	fields := strings.Fields(in.Text())
	switch {
	case len(fields) != 4 || fields[0] != "STARTUP" || fields[1] != m.group.Service || fields[3] != m.ID:
		fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", m.ID)
		return
	case full:
		fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", m.ID)
		return
	}
	s := &session{member: m, tenant: fields[2], values: map[string]string{}, prepared: map[string]string{}}
	m.group.mu.Lock()
	position := m.position()
	m.group.connections++
	s.id, s.born = m.group.connections, m.born
	m.group.mu.Unlock()
	fmt.Fprintf(conn, "READY I %s\r\n", position)
	for in.Scan() {
		answer, ok := s.handle(in.Text())
		if !ok {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// handle runs a query and returns the whole answer, or false if it is lost.
func (s *session) handle(line string) (string, bool) {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 3 || parts[0] != "QUERY" {
		return "", false
	}
	g := s.member.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if parts[1] != "-" && g.work > 0 {
		g.pause(g.work)
	}
	if s.member.dark || s.born != s.member.born {
		return "", false // the database has stopped meanwhile
	}
	before := len(g.executed)
	answer := s.run(parts[1], parts[2])
	if !s.awaitReplicas() {
		return "", false
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTxn:
		state = "T"
	}
	if g.lose != nil && len(g.executed) > before && g.lose(s.member, parts[2]) {
		return "", false
	}
	return answer + fmt.Sprintf("READY %s %s\r\n", state, s.member.position()), !s.member.dark
}

// pause lets others work for a time. The lock is held before and after.
func (g *Group) pause(d time.Duration) {
	g.mu.Unlock()
	time.Sleep(d)
	g.mu.Lock()
}

// awaitReplicas waits until enough replicas have received the last commit of the session, and returns false if the database
// leads no more.
func (s *session) awaitReplicas() bool {
	c, g := s.awaiting, s.member.group
	s.awaiting = nil
	for c != nil && c.received < g.syncReplicas {
		if !s.member.primary || s.member.dark || s.member.term != g.term {
			return false
		}
		g.pause(time.Millisecond)
	}
	return true
}

func (s *session) run(id, text string) string {
	m := s.member
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if m.lacks(position) {
			return s.refuse("LAGGING")
		}
		text = statement
	}
	words := strings.SplitN(text, " ", 3)
	for len(words) < 3 {
		words = append(words, "")
	}
	if s.failed && words[0] != "COMMIT" && words[0] != "ROLLBACK" {
		return s.refuse("MALFORMED")
	}
	switch words[0] {
	case "SET":
		s.values[words[1]] = words[2]
	case "PREPARE":
		s.prepared[words[1]] = words[2]
	case "RESET":
		clear(s.values)
		clear(s.prepared)
	case "STATUS":
		return s.status()
	case "DEMOTE":
		term, _ := strconv.ParseUint(words[1], 10, 64)
		m.demote(term)
		return s.status()
	case "BEGIN":
		if words[1] == "" && !m.primary {
			return s.refuse("READONLY")
		}
		s.inTxn, s.readOnly, s.pending, s.first = true, words[1] == "READ", nil, ""
	case "COMMIT", "ROLLBACK":
		return s.end(id, words[0])
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
		return s.refuse("NOSTMT")
	default:
		return s.refuse("MALFORMED")
	}
	return "COMPLETE -\r\n"
}

func (s *session) refuse(code string) string {
	s.failed = s.inTxn
	return fmt.Sprintf("ERROR %s %s\r\n", code, s.member.ID)
}

// record adds a statement to the history of the group.
func (s *session) record(e ExecutedStatement) {
	names := slices.Sorted(maps.Keys(s.values))
	var values []string
	for _, name := range names {
		values = append(values, name+"="+s.values[name])
	}
	e.At, e.ConnectionID, e.Database, e.Workspace = time.Now(), s.id, s.member.ID, s.tenant
	e.SessionVariables = strings.Join(values, ",")
	if s.inTxn {
		if s.first == "" {
			s.first = e.ID
		}
		e.TransactionID = s.first
	}
	s.member.group.executed = append(s.member.group.executed, e)
}

func (s *session) read(e ExecutedStatement, name string) string {
	e.Rows = []string{s.member.read(name, s.pending)}
	e.VisibleLog = s.member.log[:s.member.applied]
	s.record(e)
	return fmt.Sprintf("DATAROW %s\r\nCOMPLETE sig.%s\r\n", e.Rows[0], e.ID)
}

func (s *session) write(e ExecutedStatement, name, data string) string {
	if !s.member.primary || s.readOnly {
		return s.refuse("READONLY")
	}
	e.Committed = !s.inTxn
	s.record(e)
	w := write{e.ID, name, data}
	if s.inTxn {
		s.pending = append(s.pending, w)
	} else {
		s.awaiting = s.member.append([]write{w})
	}
	return fmt.Sprintf("COMPLETE sig.%s\r\n", e.ID)
}

func (s *session) end(id, word string) string {
	failed, pending := s.failed, s.pending
	e := ExecutedStatement{ID: id, Text: word, TransactionID: s.first, Committed: true}
	s.inTxn, s.readOnly, s.failed, s.pending = false, false, false, nil
	if word == "ROLLBACK" || failed {
		return "COMPLETE -\r\n"
	}
	if len(pending) > 0 {
		if !s.member.primary {
			return s.refuse("READONLY")
		}
		s.awaiting = s.member.append(pending)
	}
	s.record(e)
	return fmt.Sprintf("COMPLETE sig.%s\r\n", id)
}

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
