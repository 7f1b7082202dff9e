package frontend

import (
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
)

// StopTimes are the times of a planned stop, as boot times. A statement that is accepted is answered: transactions end early
// enough for their last statements, and no statement runs longer than the process.
type StopTimes struct {
	// TransactionsEnd is the time from which statements of open transactions are answered with Aborted.
	TransactionsEnd time.Time
	// StatementsEnd is the latest deadline of a statement. Sessions that are idle in a transaction end then.
	StatementsEnd time.Time
}

// Drain announces a planned stop of this host.
func (s *Server) Drain(times StopTimes) { s.stopTimes.Store(&times) }

// Draining reports whether a planned stop was announced.
func (s *Server) Draining() bool { return s.stopTimes.Load() != nil }

// transactionsEnded reports whether a planned stop lets no open transaction continue.
func (s *Server) transactionsEnded(now time.Time) bool {
	times := s.stopTimes.Load()
	return times != nil && !now.Before(times.TransactionsEnd)
}

// statementsEnded reports whether a planned stop lets no statement run any more.
func (s *Server) statementsEnded(now time.Time) bool {
	times := s.stopTimes.Load()
	return times != nil && !now.Before(times.StatementsEnd)
}

// statementDeadline returns the deadline of a statement that arrived at the given time. A planned stop may end it before its
// timeout, so that the caller gets an answer before the process exits.
func (s *Server) statementDeadline(arrived time.Time, timeout time.Duration) time.Time {
	deadline := arrived.Add(timeout)
	if times := s.stopTimes.Load(); times != nil && times.StatementsEnd.Before(deadline) {
		return times.StatementsEnd
	}
	return deadline
}

// CloseSessions makes every session end as soon as it has no open transaction, and from StopTimes.StatementsEnd on every
// session that is not running a statement. It returns the number of open sessions and of transactions that run here for other
// hosts. Call it repeatedly until none is left.
func (s *Server) CloseSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.closing.Swap(true)
	ended := s.statementsEnded(boottime.Now())
	if first || ended {
		for _, conn := range s.sessions {
			conn.Interrupt()
		}
	}
	if ended {
		return len(s.sessions) // the other hosts learn the end of their transactions from the end of the connection
	}
	return len(s.sessions) + len(s.forwardedTxns)
}

// RunningStatements returns the ids of the statements of this host's callers that have no answer yet.
func (s *Server) RunningStatements() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for sess := range s.sessions {
		if id := sess.runningStatement.Load(); id != nil {
			ids = append(ids, *id)
		}
	}
	slices.Sort(ids)
	return ids
}
