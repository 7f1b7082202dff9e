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

// Bounds of the promises, from the users' pages.
const (
	stable         = 4 * time.Second        // after which a disturbed part counts as calm again
	configuration  = 3 * time.Second        // in which an accepted change is in force at calm hosts
	thaw           = 300 * time.Millisecond // after a disturbance, in which a commit may still reach a replaced primary
	lossSlack      = 200 * time.Millisecond // after which a statement that was read whole may not be cut off
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	mostStaleness  = 1500 * time.Millisecond // of the database view
	planStaleness  = 2500 * time.Millisecond // of the database plans
	statementLimit = 2 * time.Second         // timeout of the routes
	// answerSlack is added to the timeout of a statement for its way and for a busy machine.
	answerSlack = time.Second
	// quotaMemory is the time for which a lowered limit may still count at the old one: one window after all hosts were calm.
	quotaMemory = configuration + quotaWindow + 12*time.Second
)

// Promise is a promise that was broken.
type Invariant string

// Promises.
const (
	AtMostOnce         Invariant = "a write takes effect once"
	NoDeniedWrites     Invariant = "a denied write is not kept"
	Durability         Invariant = "an acknowledged write is kept"
	ReadFreshness      Invariant = "reads see what they have to"
	SinglePrimary      Invariant = "only the present primary acknowledges commits"
	MonotonicFencing   Invariant = "promotions carry growing tokens"
	SessionIsolation   Invariant = "statements run in their session and transaction"
	ResponseMatching   Invariant = "answers belong to their statements"
	NoUnsentStatements Invariant = "databases run only what callers sent"
	KeyWithdrawal      Invariant = "a withdrawn key stops working"
	KeyAcceptance      Invariant = "a key of the configuration works"
	RateLimit          Invariant = "workspaces keep to their limits"
	ResponseTime       Invariant = "statements are answered within their timeout"
	GracefulStop       Invariant = "a planned stop cuts nothing off"
	Recovery           Invariant = "the system serves again after the faults"
	NoUnexpectedExit   Invariant = "processes end only when they are asked to"
)

// Violation is a broken promise with what shows it.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// checker finds violations in a view.
type checker struct {
	View
	byID     map[string]Statement
	executed map[string][]lines.Executed
	commits  map[string][]*lines.Commit // by the ids of their writes
	all      []*Operation
	found    []Violation
}

// Check returns the broken promises that a view shows.
func CheckInvariants(v View) []Violation {
	c := &checker{View: v, byID: map[string]Statement{}, executed: map[string][]lines.Executed{},
		commits: map[string][]*lines.Commit{}}
	known := map[*Operation]bool{}
	for _, s := range v.Statements {
		c.byID[s.ID] = s
		if !known[s.Operation] {
			known[s.Operation] = true
			c.all = append(c.all, s.Operation)
		}
	}
	for _, e := range v.ExecutedStatements {
		c.executed[e.ID] = append(c.executed[e.ID], e)
	}
	for _, commit := range v.Commits {
		for _, id := range commit.IDs {
			c.commits[id] = append(c.commits[id], commit)
		}
	}
	c.effects()
	c.reads()
	c.sessions()
	c.answers()
	c.keys()
	c.quota()
	c.tokens()
	return c.found
}

func (c *checker) report(p Invariant, format string, args ...any) {
	c.found = append(c.found, Violation{p, fmt.Sprintf(format, args...)})
}

// effects checks what the writes of each operation did against what its caller was told.
func (c *checker) effects() {
	for _, o := range c.all {
		for _, id := range o.WriteIDs {
			made := c.commits[id]
			if len(made) > 1 {
				c.report(AtMostOnce, "write %s took effect %d times", id, len(made))
			}
			if len(made) > 0 && o.Outcome == OutcomeDenied {
				c.report(NoDeniedWrites, "write %s was kept although its caller was told otherwise", id)
			}
			if len(made) > 0 && o.Outcome == OutcomeAborted {
				c.report(NoUnsentStatements, "write %s was committed although its caller had not asked for that", id)
			}
			if o.Outcome == OutcomeDone && !o.EndedAt.IsZero() {
				c.acknowledged(id, o, made)
			}
		}
	}
}

func (c *checker) acknowledged(id string, o *Operation, made []*lines.Commit) {
	if len(made) == 0 {
		c.report(Durability, "acknowledged write %s is in no log", id)
		return
	}
	if made[0].RolledBack && !made[0].Superseded && c.SyncReplicas > 0 {
		c.report(Durability, "acknowledged write %s was lost in a promotion", id)
	}
	// Statements that were held up on their way may reach a primary that was replaced meanwhile.
	if made[0].Superseded && !c.disturbed(o.StartedAt.Add(-thaw), o.AckedAt) {
		c.report(SinglePrimary, "write %s was acknowledged by a primary that had been replaced", id)
	}
}

// reads checks that each read saw the commits that were acknowledged before it.
func (c *checker) reads() {
	var acked []*Operation
	for _, o := range c.all {
		if o.Outcome == OutcomeDone && len(o.WriteIDs) > 0 {
			acked = append(acked, o)
		}
	}
	slices.SortFunc(acked, func(a, b *Operation) int { return a.AckedAt.Compare(b.AckedAt) })
	latest := make([]*lines.Commit, len(acked)) // the last surviving commit among the first ones
	var last *lines.Commit
	bySession := map[int][]*Operation{}
	for i, o := range acked {
		last = c.later(last, o)
		latest[i] = last
		bySession[o.Session] = append(bySession[o.Session], o)
	}
	for _, e := range c.ExecutedStatements {
		s, known := c.byID[e.ID]
		if !known || e.Rows == nil {
			continue
		}
		o := s.Operation
		bound := o.StartedAt
		switch o.Database {
		case "view":
			bound = bound.Add(-mostStaleness)
		case "plans":
			bound = bound.Add(-planStaleness)
		}
		n := sort.Search(len(acked), func(i int) bool { return !acked[i].AckedAt.Before(bound) })
		if n > 0 {
			c.mustSee(e, latest[n-1], "a commit acknowledged before the bound of "+o.Database)
		}
		if o.Database != "plans" {
			continue
		}
		var own *lines.Commit
		for _, w := range bySession[o.Session] {
			if w.AckedAt.Before(o.StartedAt) {
				own = c.later(own, w)
			}
		}
		c.mustSee(e, own, "a commit of its session")
	}
}

// later returns the later one of a commit and that of an operation, leaving out what was rolled back.
func (c *checker) later(known *lines.Commit, o *Operation) *lines.Commit {
	made := c.commits[o.WriteIDs[len(o.WriteIDs)-1]]
	if len(made) == 0 || made[0].RolledBack || known != nil && known.Sequence > made[0].Sequence {
		return known
	}
	return made[0]
}

func (c *checker) mustSee(e lines.Executed, commit *lines.Commit, what string) {
	if commit == nil {
		return
	}
	i, found := slices.BinarySearchFunc(e.Seen, commit.Sequence,
		func(seen *lines.Commit, sequence int) int { return cmp.Compare(seen.Sequence, sequence) })
	if !found || e.Seen[i] != commit {
		c.report(ReadFreshness, "read %s at %s saw %d commits without %d.%d, %s", e.ID, e.Database, len(e.Seen), commit.Term,
			commit.Number, what)
	}
}

// sessions checks that databases ran the callers' statements, unchanged, and in their session and transaction.
func (c *checker) sessions() {
	open := map[int]string{} // by connection, the first statement of the transaction that runs there
	for _, e := range c.ExecutedStatements {
		if e.ID == "-" {
			continue
		}
		s, known := c.byID[e.ID]
		if !known {
			c.report(NoUnsentStatements, "database %s ran statement %s, which nobody sent", e.Database, e.ID)
			continue
		}
		if e.Workspace != workspaceOf(s.Operation.Key) {
			c.report(NoUnsentStatements, "statement %s ran for workspace %s, its key belongs to %s", e.ID, e.Workspace,
				workspaceOf(s.Operation.Key))
		}
		if withoutName(s.Text) != withoutName(e.Text) {
			c.report(NoUnsentStatements, "statement %s was %q and ran as %q", e.ID, s.Text, e.Text)
		}
		if e.Values != s.SessionVariables && e.Text != "COMMIT" {
			c.report(SessionIsolation, "statement %s ran with the values %q, its session has %q", e.ID, e.Values, s.SessionVariables)
		}
		if e.Shape != s.Shape {
			c.report(SessionIsolation, "statement %s ran %q, its session prepared %q", e.ID, e.Shape, s.Shape)
		}
		c.transaction(e, s, open)
	}
}

// transaction checks that a statement ran in the transaction of its operation and in no other.
func (c *checker) transaction(e lines.Executed, s Statement, open map[int]string) {
	switch {
	case e.Transaction == "" && s.Operation.Transaction && e.Text != "COMMIT":
		c.report(SessionIsolation, "statement %s ran outside its transaction", e.ID)
	case e.Transaction != "" && !s.Operation.Transaction:
		c.report(SessionIsolation, "statement %s ran inside a transaction", e.ID)
	case e.Transaction != "":
		first, known := c.byID[e.Transaction]
		if known && first.Operation != s.Operation {
			c.report(SessionIsolation, "statement %s ran in the transaction of %s", e.ID, e.Transaction)
		}
		open[e.Connection] = e.Transaction
	}
}

// withoutName returns a statement without the name of a prepared one, which hosts may change.
func withoutName(text string) string {
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		_, arguments, _ := strings.Cut(rest, " ")
		return "EXECUTE " + arguments
	}
	return text
}

// answers checks what callers got, and when.
func (c *checker) answers() {
	for _, s := range c.Statements {
		limit := statementLimit + answerSlack
		waited := cmp.Or(s.AnsweredAt, c.Now).Sub(s.SentAt)
		if waited > limit && !c.disturbedLink(s.Operation.Host, s.SentAt, s.SentAt.Add(limit)) {
			c.report(ResponseTime, "statement %s (%s) at host %d had no answer within %s, code %q", s.ID, s.Text,
				s.Operation.Host, limit, s.Code)
		}
		if s.Code == lines.Lost && !s.AnsweredAt.IsZero() {
			c.cut(s)
		}
		if s.Code != "" || s.AnsweredAt.IsZero() || s.Signature == "-" || s.Text == startup {
			continue
		}
		if s.Signature != "sig."+s.ID {
			c.report(ResponseMatching, "statement %s was answered with the signature %s", s.ID, s.Signature)
		}
		if len(s.Rows) > 0 && !slices.ContainsFunc(c.executed[s.ID], func(e lines.Executed) bool { return slices.Equal(e.Rows, s.Rows) }) {
			c.report(ResponseMatching, "statement %s was answered with rows %q, which no database returned", s.ID, s.Rows)
		}
	}
}

// cut checks a statement whose connection ended without a whole answer: around a planned stop and nothing else.
func (c *checker) cut(s Statement) {
	planned := false
	for _, d := range c.FaultWindows {
		if !overlaps(d, s.SentAt.Add(-stable), s.AnsweredAt) {
			continue
		}
		if !d.PlannedStop {
			return
		}
		planned = planned || d.Host == s.Operation.Host && overlaps(d, s.SentAt, s.AnsweredAt)
	}
	if planned && (len(c.executed[s.ID]) > 0 || s.AnsweredAt.Sub(s.SentAt) > lossSlack) {
		c.report(GracefulStop, "statement %s (%s) at host %d was cut off after %s by a planned stop", s.ID, s.Text, s.Operation.Host,
			s.AnsweredAt.Sub(s.SentAt))
	}
}

// keys checks that calm hosts follow changes of keys in time.
func (c *checker) keys() {
	for _, change := range c.ConfigChanges {
		deadline := change.At.Add(configuration)
		for _, s := range c.Statements {
			began := s.Operation.StartedAt
			if began.Before(deadline) || c.outOfTouch(began.Add(-stable), cmp.Or(s.AnsweredAt, c.Now)) {
				continue
			}
			ran := len(c.executed[s.ID]) > 0
			if change.WithdrawnKey != "" && s.Operation.Key == change.WithdrawnKey && ran {
				c.report(KeyWithdrawal, "statement %s ran with key %s, %s after its withdrawal", s.ID, change.WithdrawnKey,
					s.SentAt.Sub(change.At))
			}
			if change.AddedKey != "" && s.Operation.Key == change.AddedKey && s.Code == "AUTHFAIL" && !c.withdrawn(change.AddedKey, s.AnsweredAt) {
				c.report(KeyAcceptance, "statement %s with key %s was refused, %s after it was added", s.ID, change.AddedKey,
					s.SentAt.Sub(change.At))
			}
		}
	}
}

func (c *checker) withdrawn(key string, before time.Time) bool {
	return slices.ContainsFunc(c.ConfigChanges, func(other ConfigChange) bool { return other.WithdrawnKey == key && other.At.Before(before) })
}

// quota checks the operations of the limited workspace in every window.
func (c *checker) quota() {
	type run struct{ sent, ran time.Time }
	var runs []run
	counted := map[*Operation]bool{}
	for _, s := range c.Statements {
		executed := c.executed[s.ID]
		if workspaceOf(s.Operation.Key) == limitedWorkspace && len(executed) > 0 && !counted[s.Operation] {
			counted[s.Operation] = true
			runs = append(runs, run{s.Operation.StartedAt, executed[0].At})
		}
	}
	for _, first := range runs {
		count, end := 0, first.sent.Add(quotaWindow)
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.ran.Before(end) {
				count++
			}
		}
		rate, burst := c.highestLimit(first.sent, end)
		if most := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack; float64(count) > most {
			c.report(RateLimit, "%d operations of %s in %s, at most %.0f are allowed", count, limitedWorkspace, quotaWindow, most)
			return
		}
	}
}

// highestLimit returns the highest limit that may be in force in a span.
func (c *checker) highestLimit(from, to time.Time) (rate, burst float64) {
	for i, change := range c.ConfigChanges {
		replaced := i+1 < len(c.ConfigChanges) && c.ConfigChanges[i+1].At.Before(from.Add(-quotaMemory))
		if change.At.Before(to) && !replaced {
			rate, burst = max(rate, change.Rate), max(burst, change.Burst)
		}
	}
	return rate, burst
}

// tokens checks that no promotion has a lower token than one before it, and that no two holders share one.
func (c *checker) tokens() {
	holders, highest := map[uint64]string{}, uint64(0)
	for _, p := range c.Promotions {
		if p.Token < highest {
			c.report(MonotonicFencing, "%s promoted %s with token %d after %d", p.Holder, p.Target, p.Token, highest)
		}
		if other, known := holders[p.Token]; known && other != p.Holder {
			c.report(MonotonicFencing, "%s and %s promoted with token %d", other, p.Holder, p.Token)
		}
		holders[p.Token], highest = p.Holder, max(highest, p.Token)
	}
}

func overlaps(d FaultWindow, from, to time.Time) bool {
	return d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
}

// disturbed reports whether anything was disturbed in a span.
func (c *checker) disturbed(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(d FaultWindow) bool { return overlaps(d, from, to) })
}

// outOfTouch reports whether a host or the store was disturbed in a span.
func (c *checker) outOfTouch(from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(d FaultWindow) bool { return !d.DatabasesOnly && overlaps(d, from, to) })
}

// disturbedLink reports whether a host could not answer callers in a span: it was stopped, or its callers were cut off.
func (c *checker) disturbedLink(host int, from, to time.Time) bool {
	return slices.ContainsFunc(c.FaultWindows, func(d FaultWindow) bool {
		return d.HostUnavailable && (d.Host == everyHost || d.Host == host) && overlaps(d, from, to)
	})
}
