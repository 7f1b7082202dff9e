// Package primacy decides which target of a service is its primary. The decision is a document in the metadata store,
// written only by the leader of the hosts. A host uses a primary only while the document is open and the host's own
// lease in the store is valid. To replace a primary, the leader closes the document and waits until every other host
// has confirmed that, or has lost its lease, before it has another target promoted. Therefore no write is
// acknowledged by a primary that has been replaced. The package performs no I/O and keeps no state.
package primacy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// unreachableTimeout is the time without any reply after which a primary is replaced. It allows for two probes; a
	// new connection to a live target takes 12 ms.
	unreachableTimeout = 600 * time.Millisecond
	// maxDrainDelay is the time for which a planned replacement waits for hosts that do not report. A draining target
	// gets no work after seven seconds, of which the leader may take two to learn that it drains.
	maxDrainDelay = 4 * time.Second
	// maxCutOffDelay is the time after which a primary that half of the hosts cannot reach is replaced although other
	// hosts do not report. The leases of those hosts end before that, unless they reach the store, and then they
	// confirm through it.
	maxCutOffDelay = 10 * time.Second
	// minCutOffHosts is the number of hosts that must fail to reach a primary which no host reaches but the leader. The link
	// of a single host may be at fault.
	minCutOffHosts = 2
	// maxEvacuationDelay is the time for which the replacement of an evacuated primary waits for hosts that do not report.
	// Hosts stop using the primary after 2.5 s by themselves; a replacement takes 0.5 to 1 s.
	maxEvacuationDelay = 1500 * time.Millisecond
	// maxLogWait is the time for which a service stays without a primary rather than go on without commits that a target may bring
	// back. A target that has crashed is back with its log within ten seconds; one that is lost for good takes its commits with it.
	maxLogWait = 30 * time.Second
	// maxObservationAge is the age up to which a host's observation counts. Hosts report every 250 ms.
	maxObservationAge = time.Second
)

// Document records which target is the primary of a service. Documents are ordered by Epoch.
type Document struct {
	Service model.Service
	Epoch   uint64
	// Open is true while hosts may use Primary. A closed document names the primary that is being replaced.
	Open    bool
	Primary model.TargetID
	Born    int64  // start time of Primary; after a restart the target counts as a different primary
	Term    uint64 // term in which Primary is the primary
	// Received is the position that Primary had received when it was chosen. A primary that is behind it has lost
	// data.
	Received model.Position
	// Planned is true for a replacement that lets running transactions end first.
	Planned bool
	Cause   Cause // of the replacement that the document starts or completes
	// Copies maps each target other than Primary that had every acknowledged commit when it was recorded to its start time. It has
	// lost none of what it has received as long as its start time is the same. Only services with synchronous replicas have it. It is
	// for the leader, so that messages between hosts do not carry it.
	Copies map[model.TargetID]int64 `json:",omitempty" msgpack:"-"`
}

// First reports whether the document starts the first replacement of a service, so that no host has ever used a primary.
func (d Document) First() bool { return !d.Open && d.Primary == "" && d.Epoch == 1 }

// Continues reports whether a decision after last leaves its primary in place: the same process of the same target leads in the same
// term. The leader stores a decision again with a higher epoch after the store has come back from a copy.
func (d Document) Continues(last Document) bool {
	return d.Open && last.Open && d.Primary == last.Primary && d.Born == last.Born && d.Term == last.Term
}

// Cause is the reason why a primary is replaced.
type Cause string

// Causes of a replacement.
const (
	CauseNone          Cause = ""
	CauseNoPrimary     Cause = "no_primary_known"
	CauseDraining      Cause = "draining"
	CauseEvacuated     Cause = "evacuated" // its data centre is evacuated
	CauseNotRegistered Cause = "not_registered"
	CauseRestarted     Cause = "restarted_without_data"
	CauseDemoted       Cause = "not_primary"
	CauseUnreachable   Cause = "unreachable" // by the leader and by at least half of all hosts
	// CauseCutOff means that at least half of the hosts cannot reach the primary, but the leader can. Other hosts may
	// still use it, also for statements that are forwarded to them. If any of them does, it is therefore replaced only
	// if all hosts report, so that the replacement waits for none of them, or after maxCutOffDelay.
	CauseCutOff Cause = "cut_off"
)

// Observation is a host's view of the reachability of a service's primary.
type Observation struct {
	Epoch uint64
	// ReplyAge is the time since the last reply of the primary, or since the host applied the document if there was none. A
	// negative age does not count as a reply.
	ReplyAge       time.Duration
	UnreachableFor time.Duration // duration of failed attempts without a reply in between; zero if the last one succeeded
}

// Health combines the leader's own probes of a primary with the observations of the other hosts.
type Health struct {
	Registered  bool // the primary has an entry in the store
	StartedAt   int64
	Draining    bool
	DrainingFor time.Duration
	// Evacuated is true if the evacuation of the primary's data centre has been requested, EvacuatedFor ago. Replaceable is
	// true if a target in another data centre can be promoted; it is not used otherwise.
	Evacuated    bool
	EvacuatedFor time.Duration
	Replaceable  bool
	// AllHostsReport is true if all registered hosts have reported recently, so that a replacement does not have to
	// wait for any of them.
	AllHostsReport bool
	// StatusKnown, IsPrimary and Term are from the last reply to the leader's probes. SilentFor is the time for which the
	// probes have gone unanswered, or zero if the last one was answered.
	StatusKnown    bool
	IsPrimary      bool
	Term           uint64
	SilentFor      time.Duration
	UnreachableFor time.Duration // how long at least half of the hosts have not reached the primary
	Observations   []Observation // of the other hosts, none older than maxObservationAge
}

// MaxObservationAge is the maximum age of the observations that Health should include.
func MaxObservationAge() time.Duration { return maxObservationAge }

// ReplacementCause returns why the primary of an open document has to be replaced, or CauseNone.
func ReplacementCause(doc Document, h Health) Cause {
	switch {
	case doc.Primary == "":
		return CauseNoPrimary
	case h.Evacuated && !h.Replaceable:
		return CauseNone // nothing could be promoted; the hosts stop using the primary by themselves
	case !h.Registered:
		return CauseNotRegistered
	case h.StartedAt != doc.Born:
		return CauseRestarted
	case h.StatusKnown && !h.IsPrimary && h.Term >= doc.Term:
		return CauseDemoted
	case Unreachable(doc, h) && h.SilentFor >= unreachableTimeout:
		return CauseUnreachable
	case h.Evacuated && (h.AllHostsReport || h.EvacuatedFor >= maxEvacuationDelay):
		return CauseEvacuated
	case Unreachable(doc, h) && (h.AllHostsReport || noHostReaches(doc, h) || h.UnreachableFor >= maxCutOffDelay):
		return CauseCutOff
	case h.Draining && (h.AllHostsReport || h.DrainingFor >= maxDrainDelay):
		return CauseDraining
	}
	return CauseNone
}

// Unreachable reports whether at least half of the hosts with a current observation, including the leader, have not
// reached the primary for unreachableTimeout. A leader that is partitioned from a primary which serves the other
// hosts therefore does not replace it.
func Unreachable(doc Document, h Health) bool {
	reachable, unreachable := countObservations(doc, h)
	if h.SilentFor >= unreachableTimeout {
		unreachable++
	} else {
		reachable++
	}
	return unreachable > 0 && unreachable >= reachable
}

// noHostReaches reports whether several hosts other than the leader have not reached the primary and none has.
func noHostReaches(doc Document, h Health) bool {
	reachable, unreachable := countObservations(doc, h)
	return reachable == 0 && unreachable >= minCutOffHosts
}

// countObservations returns how many hosts other than the leader have reached the primary within unreachableTimeout, and
// how many have not. Hosts that have not tried count as neither.
func countObservations(doc Document, h Health) (reachable, unreachable int) {
	for _, o := range h.Observations {
		switch {
		case o.Epoch != doc.Epoch:
		case o.UnreachableFor >= unreachableTimeout:
			unreachable++
		case o.UnreachableFor == 0 && o.ReplyAge >= 0 && o.ReplyAge < unreachableTimeout:
			reachable++
		}
	}
	return reachable, unreachable
}

// Status is the replication state that a target reports.
type Status struct {
	Primary  bool
	Term     uint64
	Received model.Position // includes positions that a replica has not applied yet
}

// Candidate is a target that replied to the leader's probe after the document was closed.
type Candidate struct {
	ID         model.TargetID
	StartedAt  int64
	DataCentre model.DataCentre
	Draining   bool
	Evacuated  bool // in an evacuated data centre
	Cold       bool // slow because it has just started
	IsPrimary  bool
	Term       uint64
	Received   model.Position
}

// Group is the state of a service's targets during the replacement of its primary.
type Group struct {
	OldPrimary   model.TargetID
	OldStartedAt int64 // start time of the old primary during its term
	OldTerm      uint64
	OldReceived  model.Position // what the old primary had received when it was chosen
	Cause        Cause
	Registered   []model.TargetID // targets with an entry
	// ReplicaCount is the number of registered targets other than the old primary, which does not count after a restart either:
	// it has no data then.
	ReplicaCount int
	SyncReplicas int
	// Copies is that of the document. Targets in it may be the only ones that have a commit, also if their entries are gone.
	Copies map[model.TargetID]int64
	// PromotionOrdered means that a promotion has been requested since the document was closed, and may take effect late.
	PromotionOrdered bool
	Candidates       []Candidate // targets that replied
	// UnansweredReplicas is the number of registered targets other than the old primary that may be asked and have not replied.
	UnansweredReplicas int
	ClosedFor          time.Duration // how long the leader has known the closed document
}

// followed reports whether a candidate has followed the old primary, or a later one.
func (g Group) followed(c Candidate) bool { return c.Term >= g.OldTerm }

// awaitsCopy reports whether, with synchronous replicas, an acknowledged commit may be on none of the replicas that have replied, and
// a target that has it may reply later. A replica that has started again since its copy was recorded may have lost commits.
func (g Group) awaitsCopy(replicas []Candidate) bool {
	if g.SyncReplicas == 0 || g.Copies != nil && g.ClosedFor >= maxLogWait {
		return false
	}
	for _, old := range g.Candidates {
		if old.ID == g.OldPrimary && old.StartedAt == g.OldStartedAt && compareReceived(replicas[0], old) >= 0 {
			return false // nothing is missing
		}
	}
	answered, holders := 0, g.ReplicaCount
	for _, c := range replicas {
		if startedAt, recorded := g.Copies[c.ID]; c.ID != g.OldPrimary && (g.Copies == nil || recorded && startedAt == c.StartedAt) {
			answered++
		}
	}
	for id := range g.Copies {
		if id != g.OldPrimary && !slices.Contains(g.Registered, id) {
			holders++
		}
	}
	return answered < holders-g.SyncReplicas+1
}

// awaitsFollower reports whether none of the replicas has followed the old primary, and a target that has may reply later. The old
// primary itself is awaited only if its log would be replaced by another one; a replica that only lags is promoted without it.
func (g Group) awaitsFollower(replicas []Candidate) bool {
	switch {
	case slices.ContainsFunc(replicas, g.followed):
		return false
	case g.diverged(replicas[0]):
		return g.ClosedFor < maxLogWait
	}
	return g.UnansweredReplicas > 0
}

// diverged reports whether a candidate has commits of an earlier primary that the old primary did not have. They were lost when the
// old primary was promoted, and callers have read the log without them since.
func (g Group) diverged(c Candidate) bool {
	return !g.followed(c) && comparePositions(c.Received, g.OldReceived) > 0
}

// HasEverything reports whether a replica has received everything that the primary had before the replica was asked.
func HasEverything(replica, primary Status) bool {
	return hasReceivedAll(Candidate{Term: replica.Term, Received: replica.Received},
		Candidate{Term: primary.Term, Received: primary.Received})
}

// CopiesAfter returns the copies for the document in which next replaces the primary of a closed document. The old primary had
// every commit, and next has no copy of itself.
func (d Document) CopiesAfter(next model.TargetID) map[model.TargetID]int64 {
	if d.Copies == nil {
		return nil
	}
	copies := maps.Clone(d.Copies)
	copies[d.Primary] = d.Born
	delete(copies, next)
	return copies
}

// leaves reports whether the candidate must not be opened for use: it drains or is evacuated.
func (c Candidate) leaves() bool { return c.Draining || c.Evacuated }

// Choice is the result of Choose.
type Choice struct {
	Target         Candidate
	AlreadyPrimary bool // the target is the primary already, so no promotion is needed
	// HandsOver means that the target drains or is evacuated, and has commits that no other target has. It has to be
	// promoted, so that the others receive them, but must not be opened for use.
	HandsOver bool
	// AwaitsCatchUp means that the target is about to receive the commits of a draining or evacuated one that was promoted
	// to hand them over.
	AwaitsCatchUp bool
	Found         bool // false if no target can be promoted without losing acknowledged commits, or not yet
}

// Choose selects the next primary. A target that is already the primary of a later term is chosen as it is. So is the old
// primary if it was only unreachable and answers again, because it has all commits. Otherwise the replica with the most
// advanced position is chosen, but one that has commits which were lost when the old primary was promoted comes last. While no target
// that has followed the old primary replies, nothing is chosen if another replica may have, see awaitsFollower. With synchronous
// replicas, enough replicas must reply that one of them has every acknowledged commit, see awaitsCopy. A draining target is chosen
// for use only if no other one replies: it hands its commits over to one that stays. So does an evacuated one, which is never
// promoted for use. When no target can be promoted instead of an evacuated primary and the evacuation has been withdrawn, the old
// primary is chosen as it is.
func Choose(g Group) Choice {
	candidates := slices.Clone(g.Candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.Term, a.Term), compareReceived(b, a), cmp.Compare(a.ID, b.ID))
	})
	for _, c := range candidates {
		if c.IsPrimary && c.Term > g.OldTerm {
			return g.afterPromotion(c)
		}
	}
	for _, c := range candidates {
		if g.Cause == CauseUnreachable && c.IsPrimary && c.ID == g.OldPrimary && c.StartedAt == g.OldStartedAt &&
			!c.leaves() {
			return Choice{Target: c, AlreadyPrimary: true, Found: true}
		}
	}
	replicas := g.replicas()
	if len(replicas) == 0 || g.awaitsCopy(replicas) {
		return g.reopened()
	}
	if g.awaitsFollower(replicas) {
		return g.reopened()
	}
	_, stays := staying(replicas)
	if replicas[0].Evacuated && !stays {
		return g.reopened()
	}
	return Choice{Target: replicas[0], HandsOver: replicas[0].leaves() && stays, Found: true}
}

// reopened returns the old primary as the choice if it was to be replaced because of an evacuation that has been withdrawn, and
// no promotion was requested that could take effect later. Otherwise nothing is chosen.
func (g Group) reopened() Choice {
	for _, c := range g.Candidates {
		if g.Cause == CauseEvacuated && !g.PromotionOrdered && c.IsPrimary && c.ID == g.OldPrimary &&
			c.StartedAt == g.OldStartedAt && !c.leaves() {
			return Choice{Target: c, AlreadyPrimary: true, Found: true}
		}
	}
	return Choice{}
}

// replicas returns the candidates other than the old primary, those that received most first and those that have diverged last.
func (g Group) replicas() []Candidate {
	replicas := slices.DeleteFunc(slices.Clone(g.Candidates), func(c Candidate) bool {
		return c.ID == g.OldPrimary && c.StartedAt == g.OldStartedAt
	})
	slices.SortFunc(replicas, func(a, b Candidate) int {
		return cmp.Or(compareLast(g.diverged(a), g.diverged(b)), compareReceived(b, a), cmp.Compare(a.leaving(), b.leaving()),
			compareLast(a.Cold, b.Cold), cmp.Compare(a.ID, b.ID))
	})
	return replicas
}

// staying returns the first candidate that neither drains nor is evacuated.
func staying(candidates []Candidate) (Candidate, bool) {
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return !c.leaves() })
	if i < 0 {
		return Candidate{}, false
	}
	return candidates[i], true
}

// afterPromotion returns the choice when a candidate is the primary of a later term than the old one: this candidate, unless it
// drains or is evacuated and another one stays.
func (g Group) afterPromotion(promoted Candidate) Choice {
	successor, stays := staying(g.replicas())
	if !promoted.leaves() || !stays {
		return Choice{Target: promoted, AlreadyPrimary: true, Found: true}
	}
	if !hasReceivedAll(successor, promoted) {
		return Choice{Target: successor, AwaitsCatchUp: true}
	}
	return Choice{Target: successor, Found: true}
}

// hasReceivedAll reports whether a replica has received everything that a primary without new commits has. The position of the
// primary may carry its new term already, while that of a replica which follows it still carries the term of the last commit.
func hasReceivedAll(replica, primary Candidate) bool {
	return compareReceived(replica, primary) >= 0 ||
		replica.Term >= primary.Term && replica.Received.Offset >= primary.Received.Offset
}

// compareReceived orders targets by the position that they have received.
func compareReceived(a, b Candidate) int { return comparePositions(a.Received, b.Received) }

func comparePositions(a, b model.Position) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Offset, b.Offset))
}

// leaving returns a rank: 0 for a candidate that stays, 1 for one that drains, 2 for an evacuated one.
func (c Candidate) leaving() int {
	switch {
	case c.Evacuated:
		return 2
	case c.Draining:
		return 1
	}
	return 0
}

// compareLast orders targets for which a condition holds after the others.
func compareLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// WarmBehind reports whether a cold candidate is about to be chosen for use although one that is not cold stays and only has to
// receive the last commits.
func (g Group) WarmBehind(chosen Candidate) bool {
	return chosen.Cold && slices.ContainsFunc(g.replicas(), func(c Candidate) bool { return !c.Cold && !c.leaves() })
}

// WaitsForCatchUp reports whether a replacement should wait until the next primary has received everything that the
// old one has. That applies to the causes where the leader still reaches the old primary.
func (c Cause) WaitsForCatchUp() bool {
	return c == CauseDraining || c == CauseEvacuated || c == CauseCutOff
}

// Planned reports whether running transactions may end before the primary is replaced.
func (c Cause) Planned() bool { return c == CauseDraining || c == CauseEvacuated }

// CaughtUp reports whether a candidate has received everything that the old primary has, or the old primary did not
// reply.
func (g Group) CaughtUp(c Candidate) bool {
	for _, old := range g.Candidates {
		if old.ID == g.OldPrimary && old.StartedAt == g.OldStartedAt {
			return compareReceived(c, old) >= 0
		}
	}
	return true
}
