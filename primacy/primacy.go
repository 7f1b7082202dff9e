// Package primacy decides which target of a service is its primary. The decision is a document in the metadata store that
// one host, the leader, writes. A host uses a primary only while the document is open and while the host's own lease in
// the store is live; the leader closes the document and waits until every other host has confirmed that, or has lost its
// lease, before it has another target promoted. So no write is acknowledged by a primary that has been replaced. The
// package is pure.
package primacy

import (
	"cmp"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// unreachableTime is the time without any answer after which a primary is replaced. New connections to a live target
	// take 12 ms, and two probes fit into it.
	unreachableTime = 600 * time.Millisecond
	// longestDelay is the time for which a planned replacement waits for hosts that do not answer. A draining target gets no
	// work after seven seconds, of which the leader may take two to learn that it drains.
	longestDelay = 4 * time.Second
	// longestCutOff is the time after which a primary that half of the hosts do not reach is replaced although other hosts do
	// not report. Their permission ends before that, unless they reach the store, and then they confirm through it.
	longestCutOff = 9 * time.Second
	// opinionAge is the age up to which a host's view of a primary counts; hosts report every 250 ms.
	opinionAge = time.Second
)

// Document is the decision about the primary of one service. Documents are ordered by Epoch.
type Document struct {
	Service model.Service
	Epoch   uint64
	// Open documents allow hosts to use Primary. A closed one names the primary that is being replaced.
	Open    bool
	Primary model.TargetID
	Born    int64  // start of the primary; a later start of the same target is another primary
	Term    uint64 // term in which Primary leads
	// Received is what Primary had received when it was chosen. A primary that is behind it has lost data.
	Received model.Position
	// Planned replacements let running transactions end first.
	Planned bool
	Cause   Cause
}

// Cause tells why a primary is replaced.
type Cause string

// Causes of a replacement.
const (
	CauseNone          Cause = ""
	CauseNoPrimary     Cause = "no_primary_known"
	CauseDraining      Cause = "draining"
	CauseNotRegistered Cause = "not_registered"
	CauseRestarted     Cause = "restarted_without_data"
	CauseDemoted       Cause = "not_primary"
	CauseUnreachable   Cause = "unreachable" // for the leader and for at least half of all hosts
	// CauseCutOff is the same, but the leader reaches the primary. As other hosts may use it, and pass statements on to those
	// that reach it, it is replaced only when that takes no wait for hosts that do not report.
	CauseCutOff Cause = "cut_off"
)

// Opinion is how a host sees the primary of a service.
type Observation struct {
	Epoch          uint64
	ReplyAge       time.Duration // age of the last answer of the primary, or negative if there was none in this epoch
	UnreachableFor time.Duration // for how long attempts have failed without an answer between; zero if the last one succeeded
}

// View is what the leader knows of the primary of a service.
type Health struct {
	Registered  bool // it is registered
	StartedAt   int64
	Draining    bool
	DrainingFor time.Duration
	// AllReport tells that all registered hosts have reported lately, so that a replacement waits for none of them.
	AllHostsReport bool
	// Status is the last answer to the leader's own question, and Silent the time for which it has had none.
	StatusKnown    bool
	IsPrimary      bool
	Term           uint64
	SilentFor      time.Duration
	UnreachableFor time.Duration // for how long at least half of the hosts have not reached the primary
	Observations   []Observation // of the other hosts, none older than opinionAge
}

// OpinionAge is the age up to which the leader should count a host's opinion.
func MaxObservationAge() time.Duration { return opinionAge }

// Check returns why the primary of an open document has to be replaced, or CauseNone.
func ReplacementCause(doc Document, v Health) Cause {
	switch {
	case doc.Primary == "":
		return CauseNoPrimary
	case !v.Registered:
		return CauseNotRegistered
	case v.StartedAt != doc.Born:
		return CauseRestarted
	case v.StatusKnown && !v.IsPrimary && v.Term >= doc.Term:
		return CauseDemoted
	case Unreachable(doc, v) && v.SilentFor >= unreachableTime:
		return CauseUnreachable
	case Unreachable(doc, v) && (v.AllHostsReport || v.UnreachableFor >= longestCutOff):
		return CauseCutOff
	case v.Draining && (v.AllHostsReport || v.DrainingFor >= longestDelay):
		return CauseDraining
	}
	return CauseNone
}

// Lost reports whether at least half of the hosts that have an opinion, the leader included, have not reached the
// primary for unreachableTime. A leader that is cut off from a primary which serves the others replaces nothing.
func Unreachable(doc Document, v Health) bool {
	against, in := 0, 0
	if v.SilentFor >= unreachableTime {
		against++
	} else {
		in++
	}
	for _, o := range v.Observations {
		switch {
		case o.Epoch != doc.Epoch:
		case o.UnreachableFor >= unreachableTime:
			against++
		case o.UnreachableFor == 0 && o.ReplyAge >= 0 && o.ReplyAge < unreachableTime:
			in++
		}
	}
	return against > 0 && against >= in
}

// Status is what a target says of itself.
type Status struct {
	Primary  bool
	Term     uint64
	Received model.Position // replicas may have received more than they have applied
}

// Candidate is a target that answered the leader after the document was closed.
type Candidate struct {
	ID         model.TargetID
	StartedAt  int64
	DataCentre model.DataCentre
	Draining   bool
	IsPrimary  bool
	Term       uint64
	Received   model.Position
}

// Group is what the leader knows of the targets of a service while it replaces the primary.
type Group struct {
	OldPrimary   model.TargetID
	OldStartedAt int64 // start of the old primary at which it led
	OldTerm      uint64
	Cause        Cause
	TargetCount  int // registered targets
	SyncReplicas int
	Candidates   []Candidate // those that answered
}

// Choice is the result of Choose.
type Choice struct {
	Target         Candidate
	AlreadyPrimary bool // it already leads a later term, so nothing has to be promoted
	Found          bool // false if no target can be promoted without losing acknowledged commits
}

// Choose picks the next primary. A target that already leads a later term is taken as it is, and so is the old primary if it
// only could not be reached and answers again, because it lacks nothing. Otherwise it is the one that received most. With
// synchronous replicas so many targets must answer that one of them has every acknowledged commit.
func Choose(g Group) Choice {
	list := slices.Clone(g.Candidates)
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), compareReceived(b, a), cmp.Compare(a.ID, b.ID))
	})
	for _, c := range list {
		if c.IsPrimary && c.Term > g.OldTerm {
			return Choice{Target: c, AlreadyPrimary: true, Found: true}
		}
	}
	for _, c := range list {
		if g.Cause == CauseUnreachable && c.IsPrimary && c.ID == g.OldPrimary && c.StartedAt == g.OldStartedAt && !c.Draining {
			return Choice{Target: c, AlreadyPrimary: true, Found: true}
		}
	}
	replicas := slices.DeleteFunc(list, func(c Candidate) bool { return c.ID == g.OldPrimary && c.StartedAt == g.OldStartedAt })
	slices.SortStableFunc(replicas, func(a, b Candidate) int {
		return cmp.Or(compareReceived(b, a), compareDraining(a, b), cmp.Compare(a.ID, b.ID))
	})
	others := g.TargetCount - 1
	if len(replicas) == 0 || g.SyncReplicas > 0 && len(replicas) < others-g.SyncReplicas+1 {
		return Choice{}
	}
	return Choice{Target: replicas[0], Found: true}
}

func compareReceived(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Received.Term, b.Received.Term), cmp.Compare(a.Received.Offset, b.Received.Offset))
}

func compareDraining(a, b Candidate) int {
	switch {
	case a.Draining == b.Draining:
		return 0
	case a.Draining:
		return 1
	}
	return -1
}

// WaitsForOld reports whether a replacement for the cause should wait until the next primary has received everything that the
// old one has: the leader still reaches the old one.
func (c Cause) WaitsForCatchUp() bool { return c == CauseDraining || c == CauseCutOff }

// CaughtUp reports whether a candidate has received everything that the old primary has, if the old one answered.
func (g Group) CaughtUp(c Candidate) bool {
	for _, old := range g.Candidates {
		if old.ID == g.OldPrimary && old.StartedAt == g.OldStartedAt {
			return compareReceived(c, old) >= 0
		}
	}
	return true
}
