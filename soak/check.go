package soak

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/waxwingspindle/waxwingspindle/standin/lines"
)

// Bounds of the invariants, as documented for users.
const (
	settleTime           = 4 * time.Second        // after the end of a fault, until a component counts as stable
	maxConfigDelay       = 3 * time.Second        // until an accepted change is in force on hosts without faults
	replacedPrimaryGrace = 300 * time.Millisecond // after a fault, while a commit may still reach a replaced primary
	inFlightSlack        = 200 * time.Millisecond // until a sent statement is read; a planned stop then waits for it
	rateWindow           = 5 * time.Second
	rateTolerance        = 0.1
	rateSlack            = 20
	viewMaxStaleness     = 1500 * time.Millisecond // for the database view
	plansMaxStaleness    = 2500 * time.Millisecond // for the database plans
	statementTimeout     = 2 * time.Second         // timeout of the routes
	// responseSlack is added to the statement timeout to allow for network latency and a loaded machine.
	responseSlack = time.Second
	// evacuationBound is the time after the acknowledgement of an evacuation from which no statement may reach a database.
	evacuationBound = 5 * time.Second
	// loweredLimitGrace is the time for which the old value of a lowered limit still applies: one window after all hosts
	// are free of faults.
	loweredLimitGrace = maxConfigDelay + rateWindow + 12*time.Second
)

// Invariant is a guarantee of the product that the soak test checks.
type Invariant string

// Invariants.
const (
	AtMostOnce         Invariant = "a write takes effect once"
	NoDeniedWrites     Invariant = "a denied write is not committed"
	Durability         Invariant = "an acknowledged write is never lost"
	ReadFreshness      Invariant = "reads return sufficiently recent data"
	SinglePrimary      Invariant = "only the current primary acknowledges commits"
	MonotonicFencing   Invariant = "fencing tokens of promotions never decrease"
	SessionIsolation   Invariant = "statements run in their session and transaction"
	ResponseMatching   Invariant = "responses match their statements"
	NoUnsentStatements Invariant = "databases execute only statements sent by callers"
	KeyWithdrawal      Invariant = "a withdrawn key stops working"
	KeyAcceptance      Invariant = "a configured key is accepted"
	EvacuationBound    Invariant = "an evacuated data centre gets no statements"
	RateLimit          Invariant = "workspaces keep to their limits"
	ResponseTime       Invariant = "statements are answered within their timeout"
	GracefulStop       Invariant = "a planned stop interrupts no statement"
	Recovery           Invariant = "the system serves again after the faults"
	NoUnexpectedExit   Invariant = "processes exit only on request"
)

// Violation is a violated invariant with the evidence.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// checker collects the violations in a view.
type checker struct {
	View
	statementsByID map[string]Statement
	executedByID   map[string][]lines.ExecutedStatement
	commitsByWrite map[string][]*lines.Commit // by write id
	operations     []*Operation
	violations     []Violation
}

// CheckInvariants returns the violations found in a view.
func CheckInvariants(v View) []Violation {
	c := &checker{View: v, statementsByID: map[string]Statement{}, executedByID: map[string][]lines.ExecutedStatement{},
		commitsByWrite: map[string][]*lines.Commit{}}
	seen := map[*Operation]bool{}
	for _, s := range v.Statements {
		c.statementsByID[s.ID] = s
		if !seen[s.Operation] {
			seen[s.Operation] = true
			c.operations = append(c.operations, s.Operation)
		}
	}
	for _, e := range v.ExecutedStatements {
		c.executedByID[e.ID] = append(c.executedByID[e.ID], e)
	}
	for _, commit := range v.Commits {
		for _, id := range commit.StatementIDs {
			c.commitsByWrite[id] = append(c.commitsByWrite[id], commit)
		}
	}
	c.checkWrites()
	c.checkReads()
	c.checkSessions()
	c.checkResponses()
	c.checkKeys()
	c.checkRateLimit()
	c.checkEvacuations()
	c.checkFencingTokens()
	return c.violations
}

func (c *checker) report(invariant Invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// checkWrites compares the commits of each operation with the outcome that its caller received.
func (c *checker) checkWrites() {
	for _, o := range c.operations {
		for _, id := range o.WriteIDs {
			commits := c.commitsByWrite[id]
			if len(commits) > 1 {
				c.report(AtMostOnce, "write %s took effect %d times", id, len(commits))
			}
			if len(commits) > 0 && o.Outcome == OutcomeDenied {
				c.report(NoDeniedWrites, "write %s was committed although its caller was told that it had no effect", id)
			}
			if len(commits) > 0 && o.Outcome == OutcomeAborted {
				c.report(NoUnsentStatements, "write %s was committed although its caller did not request a commit", id)
			}
			if o.Outcome == OutcomeDone && !o.EndedAt.IsZero() {
				c.checkAcknowledged(id, o, commits)
			}
		}
	}
}

func (c *checker) checkAcknowledged(id string, o *Operation, commits []*lines.Commit) {
	if len(commits) == 0 {
		c.report(Durability, "acknowledged write %s is in the log of no database", id)
		return
	}
	if commits[0].RolledBack && !commits[0].StaleTerm && c.SyncReplicas > 0 {
		c.report(Durability, "acknowledged write %s was lost in a promotion", id)
	}
	// A statement that was delayed by a fault may reach a primary that has been replaced in the meantime.
	if commits[0].StaleTerm && !c.anyFaultDuring(o.StartedAt.Add(-replacedPrimaryGrace), o.AckedAt) {
		c.report(SinglePrimary, "write %s was acknowledged by a primary that had been replaced", id)
	}
}

// checkReads checks that each read saw the commits acknowledged before its staleness bound, and its session's own commits
// for the database plans.
func (c *checker) checkReads() {
	var acked []*Operation
	for _, o := range c.operations {
		if o.Outcome == OutcomeDone && len(o.WriteIDs) > 0 {
			acked = append(acked, o)
		}
	}
	slices.SortFunc(acked, func(a, b *Operation) int { return a.AckedAt.Compare(b.AckedAt) })
	latest := make([]*lines.Commit, len(acked)) // latest[i] is the latest surviving commit in acked[:i+1]
	var last *lines.Commit
	bySession := map[int][]*Operation{}
	for i, o := range acked {
		last = c.laterCommit(last, o)
		latest[i] = last
		bySession[o.Session] = append(bySession[o.Session], o)
	}
	for _, e := range c.ExecutedStatements {
		s, known := c.statementsByID[e.ID]
		if !known || e.Rows == nil {
			continue
		}
		o := s.Operation
		bound := o.StartedAt
		switch o.Database {
		case "view":
			bound = bound.Add(-viewMaxStaleness)
		case "plans":
			bound = bound.Add(-plansMaxStaleness)
		}
		acknowledgedCount := sort.Search(len(acked), func(i int) bool { return !acked[i].AckedAt.Before(bound) })
		if acknowledgedCount > 0 {
			c.checkVisible(e, latest[acknowledgedCount-1], "a commit acknowledged before the bound of "+o.Database)
		}
		if o.Database != "plans" {
			continue
		}
		var own *lines.Commit
		for _, w := range bySession[o.Session] {
			if w.AckedAt.Before(o.StartedAt) {
				own = c.laterCommit(own, w)
			}
		}
		c.checkVisible(e, own, "a commit of its session")
	}
}

// laterCommit returns latest, or the commit made by an operation if that one is later. Commits that were rolled
// back are ignored.
func (c *checker) laterCommit(latest *lines.Commit, o *Operation) *lines.Commit {
	commits := c.commitsByWrite[o.WriteIDs[len(o.WriteIDs)-1]]
	if len(commits) == 0 || commits[0].RolledBack || latest != nil && latest.Sequence > commits[0].Sequence {
		return latest
	}
	return commits[0]
}

func (c *checker) checkVisible(e lines.ExecutedStatement, commit *lines.Commit, what string) {
	if commit == nil {
		return
	}
	i, found := slices.BinarySearchFunc(e.VisibleLog, commit.Sequence,
		func(seen *lines.Commit, sequence int) int { return cmp.Compare(seen.Sequence, sequence) })
	if !found || e.VisibleLog[i] != commit {
		c.report(ReadFreshness, "read %s at %s saw %d commits without %d.%d, %s", e.ID, e.Database, len(e.VisibleLog),
			commit.Term, commit.Offset, what)
	}
}

// checkSessions checks that databases executed only statements sent by callers, unchanged, and with the session state and
// transaction they belong to.
func (c *checker) checkSessions() {
	open := map[int]string{} // connection id -> id of the first statement of its transaction
	for _, e := range c.ExecutedStatements {
		if e.ID == "-" {
			continue
		}
		s, known := c.statementsByID[e.ID]
		if !known {
			c.report(NoUnsentStatements, "database %s ran statement %s, which no caller sent", e.Database, e.ID)
			continue
		}
		if e.Workspace != workspaceOf(s.Operation.Key) {
			c.report(NoUnsentStatements, "statement %s ran for workspace %s, its key belongs to %s", e.ID, e.Workspace,
				workspaceOf(s.Operation.Key))
		}
		if stripPreparedName(s.Text) != stripPreparedName(e.Text) {
			c.report(NoUnsentStatements, "statement %s was %q and ran as %q", e.ID, s.Text, e.Text)
		}
		if e.SessionVariables != s.SessionVariables && e.Text != "COMMIT" {
			c.report(SessionIsolation, "statement %s ran with session variables %q, its session has %q", e.ID, e.SessionVariables,
				s.SessionVariables)
		}
		if e.Shape != s.Shape {
			c.report(SessionIsolation, "statement %s ran %q, its session prepared %q", e.ID, e.Shape, s.Shape)
		}
		c.checkTransaction(e, s, open)
	}
}

// checkTransaction checks that a statement ran in the transaction of its operation and in no other.
func (c *checker) checkTransaction(e lines.ExecutedStatement, s Statement, open map[int]string) {
	switch {
	case e.TransactionID == "" && s.Operation.Transaction && e.Text != "COMMIT":
		c.report(SessionIsolation, "statement %s ran outside its transaction", e.ID)
	case e.TransactionID != "" && !s.Operation.Transaction:
		c.report(SessionIsolation, "statement %s ran inside a transaction", e.ID)
	case e.TransactionID != "":
		first, known := c.statementsByID[e.TransactionID]
		if known && first.Operation != s.Operation {
			c.report(SessionIsolation, "statement %s ran in the transaction of %s", e.ID, e.TransactionID)
		}
		open[e.ConnectionID] = e.TransactionID
	}
}

// stripPreparedName removes the name of the prepared statement from an EXECUTE, because hosts may rename it.
func stripPreparedName(text string) string {
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		_, arguments, _ := strings.Cut(rest, " ")
		return "EXECUTE " + arguments
	}
	return text
}

// checkResponses checks the content and the time of the responses that callers received.
func (c *checker) checkResponses() {
	for _, s := range c.Statements {
		limit := statementTimeout + responseSlack
		waited := cmp.Or(s.AnsweredAt, c.Now).Sub(s.SentAt)
		if waited > limit && !c.hostUnavailableDuring(s.Operation.Host, s.SentAt, s.SentAt.Add(limit)) {
			c.report(ResponseTime, "statement %s (%s) at host %d had no answer within %s, code %q", s.ID, s.Text,
				s.Operation.Host, limit, s.Code)
		}
		if s.Code == lines.CodeLost && !s.AnsweredAt.IsZero() {
			c.checkConnectionLost(s)
		}
		if s.Code != "" || s.AnsweredAt.IsZero() || s.Signature == "-" || s.Text == startupText {
			continue
		}
		if s.Signature != "sig."+s.ID {
			c.report(ResponseMatching, "statement %s was answered with the signature %s", s.ID, s.Signature)
		}
		if len(s.Rows) > 0 && !slices.ContainsFunc(c.executedByID[s.ID],
			func(e lines.ExecutedStatement) bool { return slices.Equal(e.Rows, s.Rows) }) {
			c.report(ResponseMatching, "statement %s was answered with rows %q, which no database returned", s.ID, s.Rows)
		}
	}
}

// checkConnectionLost checks a statement whose connection ended before a complete response. A violation is reported only
// if the host was being stopped as planned and no other fault explains the loss.
func (c *checker) checkConnectionLost(s Statement) {
	planned := false
	for _, w := range c.FaultWindows {
		if !overlaps(w, s.SentAt.Add(-settleTime), s.AnsweredAt) {
			continue
		}
		if !w.PlannedStop {
			return
		}
		planned = planned || w.Host == s.Operation.Host && overlaps(w, s.SentAt, s.AnsweredAt)
	}
	if planned && (len(c.executedByID[s.ID]) > 0 || s.AnsweredAt.Sub(s.SentAt) > inFlightSlack) {
		c.report(GracefulStop, "statement %s (%s) at host %d was cut off after %s by a planned stop", s.ID, s.Text,
			s.Operation.Host, s.AnsweredAt.Sub(s.SentAt))
	}
}

// checkKeys checks that hosts without faults apply key changes within maxConfigDelay.
func (c *checker) checkKeys() {
	for _, change := range c.ConfigChanges {
		deadline := change.At.Add(maxConfigDelay)
		for _, s := range c.Statements {
			began := s.Operation.StartedAt
			if began.Before(deadline) || c.hostOrStoreFaultDuring(began.Add(-settleTime), cmp.Or(s.AnsweredAt, c.Now)) {
				continue
			}
			ran := len(c.executedByID[s.ID]) > 0
			if change.WithdrawnKey != "" && s.Operation.Key == change.WithdrawnKey && ran {
				c.report(KeyWithdrawal, "statement %s ran with key %s, %s after its withdrawal", s.ID, change.WithdrawnKey,
					s.SentAt.Sub(change.At))
			}
			if change.AddedKey != "" && s.Operation.Key == change.AddedKey && s.Code == "AUTHFAIL" &&
				!c.withdrawnBefore(change.AddedKey, s.AnsweredAt) {
				c.report(KeyAcceptance, "statement %s with key %s was refused, %s after it was added", s.ID, change.AddedKey,
					s.SentAt.Sub(change.At))
			}
		}
	}
}

func (c *checker) withdrawnBefore(key string, before time.Time) bool {
	return slices.ContainsFunc(c.ConfigChanges, func(other ConfigChange) bool {
		return other.WithdrawnKey == key && other.At.Before(before)
	})
}

// checkRateLimit checks the number of operations of the limited workspace in every window.
func (c *checker) checkRateLimit() {
	type execution struct{ sent, ran time.Time }
	var executions []execution
	counted := map[*Operation]bool{}
	for _, s := range c.Statements {
		executed := c.executedByID[s.ID]
		if workspaceOf(s.Operation.Key) == limitedWorkspace && len(executed) > 0 && !counted[s.Operation] {
			counted[s.Operation] = true
			executions = append(executions, execution{s.Operation.StartedAt, executed[0].At})
		}
	}
	for _, first := range executions {
		count, end := 0, first.sent.Add(rateWindow)
		for _, e := range executions {
			if !e.sent.Before(first.sent) && e.ran.Before(end) {
				count++
			}
		}
		rate, burst := c.highestLimit(first.sent, end)
		if allowed := (rate*rateWindow.Seconds()+burst)*(1+rateTolerance) + rateSlack; float64(count) > allowed {
			c.report(RateLimit, "%d operations of %s in %s, at most %.0f are allowed", count, limitedWorkspace, rateWindow, allowed)
			return
		}
	}
}

// highestLimit returns the highest rate and burst that may be in force between two times.
func (c *checker) highestLimit(from, to time.Time) (rate, burst float64) {
	for i, change := range c.ConfigChanges {
		replaced := i+1 < len(c.ConfigChanges) && c.ConfigChanges[i+1].At.Before(from.Add(-loweredLimitGrace))
		if change.At.Before(to) && !replaced {
			rate, burst = max(rate, change.Rate), max(burst, change.Burst)
		}
	}
	return rate, burst
}

// checkEvacuations checks that databases in evacuated data centres execute nothing after the bound. A host that was cut off or
// suspended does not know of the request, and a link fault may delay a statement.
func (c *checker) checkEvacuations() {
	for _, evacuation := range c.Evacuations {
		bound, end := evacuation.From.Add(evacuationBound), cmp.Or(evacuation.To, c.Now)
		for _, e := range c.ExecutedStatements {
			if e.At.After(bound) && e.At.Before(end) && slices.Contains(evacuation.Databases, e.Database) &&
				!c.unplannedFaultDuring(evacuation.From, e.At) {
				c.report(EvacuationBound, "database %s ran statement %s (%s) %s after the request to evacuate it", e.Database,
					e.ID, e.Text, e.At.Sub(evacuation.From))
			}
		}
	}
}

// unplannedFaultDuring reports whether a fault other than a planned operation was active between two times.
func (c *checker) unplannedFaultDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(w FaultWindow) bool {
		return !w.PlannedStop && !w.PlannedOperation && overlaps(w, from, to)
	})
}

// checkFencingTokens checks that fencing tokens never decrease and that no two holders use the same token.
func (c *checker) checkFencingTokens() {
	holders, highest := map[uint64]string{}, uint64(0)
	for _, p := range c.Promotions {
		if p.FencingToken < highest {
			c.report(MonotonicFencing, "%s promoted %s with token %d after %d", p.LeaseHolder, p.Target, p.FencingToken, highest)
		}
		if other, known := holders[p.FencingToken]; known && other != p.LeaseHolder {
			c.report(MonotonicFencing, "%s and %s promoted with token %d", other, p.LeaseHolder, p.FencingToken)
		}
		holders[p.FencingToken], highest = p.LeaseHolder, max(highest, p.FencingToken)
	}
}

func overlaps(w FaultWindow, from, to time.Time) bool {
	return w.From.Before(to) && (w.To.IsZero() || w.To.After(from))
}

// anyFaultDuring reports whether any fault was active between two times.
func (c *checker) anyFaultDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(w FaultWindow) bool { return overlaps(w, from, to) })
}

// hostOrStoreFaultDuring reports whether a fault of a host or of the store was active between two times.
func (c *checker) hostOrStoreFaultDuring(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(w FaultWindow) bool { return !w.DatabasesOnly && overlaps(w, from, to) })
}

// hostUnavailableDuring reports whether a host could not respond to callers between two times, because it was down or
// unreachable for them.
func (c *checker) hostUnavailableDuring(host int, from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(w FaultWindow) bool {
		return w.HostUnavailable && (w.Host == allHosts || w.Host == host) && overlaps(w, from, to)
	})
}
