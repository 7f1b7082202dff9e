package frontend

import (
	"crypto/sha256"
	"errors"
	"strings"
)

const (
	// entryBytes is the memory of a variable or a prepared statement beside its texts.
	entryBytes = 64
	// maxPreparedOnConn is the number of prepared statements on a connection to a target after which it is closed, because
	// nothing else makes the target drop them. Sessions of one workspace share them.
	maxPreparedOnConn = 1000
	// maxPlainValueBytes is the length up to which a connection to a target remembers the text of a variable. Of longer ones
	// it remembers a digest, so that they don't stay in memory after their session.
	maxPlainValueBytes = 256
	// maxLoggedBytes is the length up to which ids and details are logged. They may have up to 1 MiB.
	maxLoggedBytes = 200
)

// ErrResponseTooLarge is returned by Conn.Run for a response that is larger than allowed. The connection must be closed.
var ErrResponseTooLarge = errors.New("the response of the target is too large")

// StateLimits bound the variables and prepared statements of one session. 0 stands for no limit.
type StateLimits struct {
	Entries int // variables and prepared statements together
	Bytes   int // of their names and texts, and entryBytes for each
}

// SetStateLimits sets the limits of sessions. It must be called before Serve.
func (s *Server) SetStateLimits(l StateLimits) { s.stateLimits = l }

// StateHolder is implemented by a CallerConn that counts the memory of its session's state.
type StateHolder interface {
	// HoldState adds bytes, or releases them if n is negative.
	HoldState(n int64)
	// StateRefused records that the session has reached its limit.
	StateRefused()
}

const (
	// rowBytes is the memory of a row of an answer beside its text.
	rowBytes = 32
	// smallAnswerBytes is the memory of rows up to which an answer is not counted: it is part of what a connection counts with.
	smallAnswerBytes = 2 << 10
)

// HeldBytes returns the memory of the rows of an answer, or 0 for the usual small ones.
func (a Answer) HeldBytes() int64 {
	var held int64
	for _, row := range a.Rows {
		held += int64(len(row)) + rowBytes
	}
	if held <= smallAnswerBytes {
		return 0
	}
	return held
}

// setVariable sets a session variable. The text is copied: it may be a small part of a large message.
func (s *session) setVariable(st Statement) Answer {
	old, known := s.state.variables[st.Name]
	if refusal, kept := s.keepState(st.Name, st.Args, old, known); !kept {
		return refusal
	}
	s.state.variables[strings.Clone(st.Name)] = strings.Clone(st.Args)
	return Answer{}
}

// prepare keeps a prepared statement.
func (s *session) prepare(st Statement) Answer {
	old, known := s.state.prepared[st.Name]
	if refusal, kept := s.keepState(st.Name, st.Args, old.Shape, known); !kept {
		return refusal
	}
	s.state.prepared[strings.Clone(st.Name)] = PreparedStatement{Kind: st.Kind, Shape: strings.Clone(st.Args)}
	return Answer{}
}

func (s *session) deallocate(name string) {
	if p, known := s.state.prepared[name]; known {
		delete(s.state.prepared, name)
		s.addStateBytes(-(len(name) + len(p.Shape) + entryBytes))
	}
}

// keepState charges the session with an entry that replaces an old one, if that is known. It reports false and the refusal if
// the session would exceed its limits; an open transaction fails then, because the caller may have sent the next statement.
func (s *session) keepState(name, text, old string, known bool) (Answer, bool) {
	added, entries := len(text)-len(old), len(s.state.variables)+len(s.state.prepared)
	if !known {
		added, entries = len(name)+len(text)+entryBytes, entries+1
	}
	l := s.server.stateLimits
	if l.Entries > 0 && entries > l.Entries && !known || l.Bytes > 0 && added > 0 && s.state.bytes+added > l.Bytes {
		if s.holder != nil {
			s.holder.StateRefused()
		}
		if s.txn != nil {
			s.failTxn()
		}
		return errorAnswer(TooLarge, "the session has too many variables and prepared statements"), false
	}
	s.addStateBytes(added)
	return Answer{}, true
}

func (s *session) addStateBytes(n int) {
	s.state.bytes += n
	if s.holder != nil && n != 0 {
		s.holder.HoldState(int64(n))
	}
}

// valueOnConn returns what a connection to a target remembers of a variable's value: the text, or its digest after a line end,
// which no text contains.
func valueOnConn(value string) string {
	if len(value) <= maxPlainValueBytes {
		return value
	}
	digest := sha256.Sum256([]byte(value))
	return "\n" + string(digest[:])
}

// shorten returns the beginning of a text for a log line.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }
