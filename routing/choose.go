package routing

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// DefaultMarkWait is the default time that a read waits for a replica to reach the session's high-water mark.
	DefaultMarkWait = 20 * time.Millisecond
	// MaxConfirmationAge is the maximum age of the majority's confirmation of the primary for reads with a maximum
	// staleness, unless the staleness is greater. It tolerates several lost probes, so that a healthy primary is not
	// rejected.
	MaxConfirmationAge = time.Second
)

// Target is the state of a target in a Group. A former primary is not Replicated until it follows its successor, because
// its last entries may be discarded.
type Target struct {
	ID               model.TargetID
	Alive            bool           // the target answers probes
	Leaving          bool           // the operator is removing the target
	Replicated       bool           // the entries of its last term were received by replication
	AdoptedTerm      uint64         // greatest term that the target has accepted
	Position         model.Position // last reported log position
	ActiveStatements int            // statements that are running or waiting for a slot
	Slots            int            // maximum number of concurrent statements
}

// Group is a snapshot of the state of a service's group.
type Group struct {
	Term        uint64         // term of the primary
	Primary     model.TargetID // empty when no primary is known
	Writable    bool           // writes are likely to be acknowledged
	Draining    bool           // the primary accepts no new work, because another member is about to replace it
	ConfirmedAt time.Time      // a majority had adopted Term at this time or later, so no later primary existed then
	Targets     []Target
	Samples     *PositionSamples // positions of the primary
}

// ReadRequest describes a read to be routed.
type ReadRequest struct {
	Mark         model.Position // session high-water mark of the service: position that the read must cover
	MarkUnknown  bool           // the session token has lost marks, so the mark is not known
	MaxStaleness time.Duration  // maximum staleness requested by the caller, zero if none
	WaitUntil    time.Time      // end of the wait for a replica, usually the arrival plus DefaultMarkWait
	Deadline     time.Time      // deadline of the request
	Rotation     uint           // counter that distributes reads over equally loaded replicas
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

const (
	// KindReplica runs the read on the replica Target.
	KindReplica DecisionKind = iota + 1
	// KindPrimary runs the read on the primary Target.
	KindPrimary
	// KindWait makes a new decision at Until, or earlier if the state of the group changes. Target, if set, is the replica
	// that is expected to reach the mark first.
	KindWait
	// KindRefused rejects the request with RefusalReason.
	KindRefused
)

// String returns the name of the kind for logs.
func (k DecisionKind) String() string {
	switch k {
	case KindReplica:
		return "replica"
	case KindPrimary:
		return "primary"
	case KindWait:
		return "wait"
	case KindRefused:
		return "refused"
	}
	return "invalid"
}

// Decision is the routing decision for a statement.
type Decision struct {
	Kind           DecisionKind
	Target         model.TargetID
	Until          time.Time    // for KindWait
	RefusalReason  model.Reason // for KindRefused
	ResolvePrimary bool         // the home must look for a primary of a later term before it uses the current one
	Explanation    string       // explanation for logs and error details
}

// String returns a one-line description of the decision.
func (d Decision) String() string {
	if d.Target == "" {
		return fmt.Sprintf("%s: %s", d.Kind, d.Explanation)
	}
	return fmt.Sprintf("%s %s: %s", d.Kind, d.Target, d.Explanation)
}

// ChooseRead selects a target for a read at time now. It prefers replicas to the primary. The mark also applies to reads
// with a maximum staleness: the staleness relaxes the visibility of other sessions' writes, not of the session's own.
func ChooseRead(now time.Time, group Group, read ReadRequest) Decision {
	if read.MarkUnknown {
		return choosePrimary(now, group, read, "the session's mark is not known")
	}
	if replica, reason, ok := leastLoadedReplica(now, group, read); ok {
		return Decision{Kind: KindReplica, Target: replica.ID, Explanation: reason}
	}
	if replica, ok := closestReplica(now, group, read); ok {
		return Decision{
			Kind:        KindWait,
			Target:      replica.ID,
			Until:       read.WaitUntil,
			Explanation: fmt.Sprintf("replica at %v, mark %v", replica.Position, read.Mark),
		}
	}
	return choosePrimary(now, group, read, "no replica qualifies")
}

// ChooseWrite routes a statement that requires the primary. The statement must not run on a primary of a lower term than
// the session's mark, and it waits while writes cannot be acknowledged.
func ChooseWrite(now time.Time, group Group, mark model.Position, deadline time.Time) Decision {
	read := ReadRequest{Mark: mark, Deadline: deadline}
	if group.Term >= mark.Term && !group.Writable {
		return waitForPrimary(now, read)
	}
	return choosePrimary(now, group, read, "needs the primary")
}

// leastLoadedReplica returns the least loaded replica that may serve the read, and an explanation for the decision.
// The last result is false if no replica may serve it.
func leastLoadedReplica(now time.Time, group Group, read ReadRequest) (Target, string, bool) {
	var eligible []Target
	for _, t := range readableReplicas(group) {
		if t.Position.Covers(read.Mark) && isWithinStaleness(now, group, read, t) {
			eligible = append(eligible, t)
		}
	}
	if len(eligible) == 0 {
		return Target{}, "", false
	}
	rotate(eligible, read.Rotation)
	best := slices.MinFunc(eligible, compareLoad)
	reason := fmt.Sprintf("covers the mark, load %d of %d slots", best.ActiveStatements, best.Slots)
	return best, reason, true
}

// closestReplica returns the replica closest to the mark, among those that could serve the read if they had reached the
// mark. It returns none after WaitUntil. Replicas of a lower term than the mark are ignored.
func closestReplica(now time.Time, group Group, read ReadRequest) (Target, bool) {
	if !now.Before(read.WaitUntil) {
		return Target{}, false
	}
	var candidates []Target
	for _, t := range readableReplicas(group) {
		canReachMark := t.AdoptedTerm >= read.Mark.Term && !t.Position.Covers(read.Mark)
		if canReachMark && isWithinStaleness(now, group, read, t) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return Target{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Position.Term, b.Position.Term), cmp.Compare(a.Position.Offset, b.Position.Offset))
	}), true
}

// choosePrimary routes a read or a write that must run on the primary.
func choosePrimary(now time.Time, group Group, read ReadRequest, reason string) Decision {
	if group.Primary == "" || group.Draining || !isPrimaryAlive(group) {
		return waitForPrimary(now, read)
	}
	if group.Term < read.Mark.Term {
		return Decision{
			Kind:           KindRefused,
			Target:         group.Primary,
			RefusalReason:  model.ReasonNoPrimary,
			ResolvePrimary: true,
			Explanation:    fmt.Sprintf("primary has term %d, the session saw term %d", group.Term, read.Mark.Term),
		}
	}
	if limit := max(read.MaxStaleness, MaxConfirmationAge); read.MaxStaleness > 0 && now.Sub(group.ConfirmedAt) > limit {
		return Decision{
			Kind:           KindRefused,
			Target:         group.Primary,
			RefusalReason:  model.ReasonNoPrimary,
			ResolvePrimary: true,
			Explanation:    fmt.Sprintf("no majority confirmed the primary within %v", limit),
		}
	}
	return Decision{Kind: KindPrimary, Target: group.Primary, Explanation: reason}
}

func isPrimaryAlive(group Group) bool {
	return slices.ContainsFunc(group.Targets, func(t Target) bool { return t.ID == group.Primary && t.Alive })
}

func waitForPrimary(now time.Time, read ReadRequest) Decision {
	if now.Before(read.Deadline) {
		return Decision{Kind: KindWait, Until: read.Deadline, Explanation: "no primary takes work"}
	}
	return Decision{Kind: KindRefused, RefusalReason: model.ReasonNoPrimary, Explanation: "no primary took work in time"}
}

// isWithinStaleness reports whether the replica is proven to satisfy the maximum staleness. It must have reached a sampled
// position of the primary, and the primary must not have been replaced before the sample was taken.
func isWithinStaleness(now time.Time, group Group, read ReadRequest, t Target) bool {
	if read.MaxStaleness == 0 {
		return true
	}
	freshAt, ok := group.Samples.LatestCovered(group.Term, t.Position)
	if !ok {
		return false
	}
	if group.ConfirmedAt.Before(freshAt) {
		freshAt = group.ConfirmedAt
	}
	return now.Sub(freshAt) <= read.MaxStaleness
}

// readableReplicas returns the targets that may serve reads as replicas. It excludes a former primary until it has
// replicated from its successor, because a session could otherwise read an entry that is discarded later.
func readableReplicas(group Group) []Target {
	var result []Target
	for _, t := range group.Targets {
		if t.ID != group.Primary && t.Alive && t.Replicated && !t.Leaving {
			result = append(result, t)
		}
	}
	return result
}

// compareLoad compares targets by their active statements per slot.
func compareLoad(a, b Target) int {
	return cmp.Compare(a.ActiveStatements*max(b.Slots, 1), b.ActiveStatements*max(a.Slots, 1))
}

// rotate moves the first targets to the end, by count modulo the number of targets.
func rotate(targets []Target, count uint) {
	n := int(count % uint(len(targets)))
	slices.Reverse(targets[:n])
	slices.Reverse(targets[n:])
	slices.Reverse(targets)
}
