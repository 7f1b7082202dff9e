package routing

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// MarkWait is the default time that a read waits for a replica that covers its session's mark.
	DefaultMarkWait = 20 * time.Millisecond
	// ConfirmationLimit is the age above which a confirmation of the primary is too old for a read with a stated age.
	// It allows for several lost probes, so that a healthy primary is not refused.
	MaxConfirmationAge = time.Second
)

// Target is the state of one target of a group as its home knows it.
type Target struct {
	ID               model.TargetID
	Alive            bool           // answers its probes
	Leaving          bool           // the operator is removing it
	Replicated       bool           // all of its last term's entries are copies; a former primary may hold entries to be dropped
	AdoptedTerm      uint64         // term that the target has adopted
	Position         model.Position // last reported position in the log
	ActiveStatements int            // statements that run or wait for a slot
	Slots            int            // statements that the target runs at a time
}

// Group is the state of a service's group as its home knows it.
type Group struct {
	Term        uint64         // term of the primary
	Primary     model.TargetID // empty when no primary is known
	Writable    bool           // a write can be acknowledged
	Draining    bool           // the primary takes no new work, because another member is about to replace it
	ConfirmedAt time.Time      // a majority had adopted Term at this time or later, so no later primary existed then
	Targets     []Target
	Samples     *PositionSamples // positions of the primary
}

// Read describes a read.
type ReadRequest struct {
	Mark         model.Position // the session's mark for the service
	MarkUnknown  bool           // the token dropped marks, so the session's position is not known
	MaxStaleness time.Duration  // age of data that the caller accepts, zero when it stated none
	WaitUntil    time.Time      // end of the wait for a replica, usually the arrival plus MarkWait
	Deadline     time.Time      // end of the request
	Rotation     uint           // number that spreads reads over equally loaded replicas, such as a counter
}

// Kind is the kind of a decision.
type DecisionKind uint8

const (
	// KindReplica runs the read on the replica Target.
	KindReplica DecisionKind = iota + 1
	// KindPrimary runs the read on the primary Target.
	KindPrimary
	// KindWait decides again at Until, or earlier when the state of the group changes. Target, if set, is the replica
	// that is expected to reach the mark first.
	KindWait
	// KindRefused does not run the read. Refusal is the reason for the caller.
	KindRefused
)

// String returns the name of the kind as it appears in logs.
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

// Decision tells what to do with a read.
type Decision struct {
	Kind           DecisionKind
	Target         model.TargetID
	Until          time.Time    // for KindWait
	RefusalReason  model.Reason // for KindRefused
	ResolvePrimary bool         // the home must look for a primary of a later term before anything runs on the known one
	Explanation    string       // explanation for the log
}

// String returns the decision in one line.
func (d Decision) String() string {
	if d.Target == "" {
		return fmt.Sprintf("%s: %s", d.Kind, d.Explanation)
	}
	return fmt.Sprintf("%s %s: %s", d.Kind, d.Target, d.Explanation)
}

// ChooseRead decides where a read runs at time now. Replicas come before the primary. A mark binds a read with a stated
// age too: the age widens what the caller accepts of others' writes, not of its own.
func ChooseRead(now time.Time, group Group, read ReadRequest) Decision {
	if read.MarkUnknown {
		return choosePrimary(now, group, read, "the session's mark is not known")
	}
	if replica, reason, ok := bestReplica(now, group, read); ok {
		return Decision{Kind: KindReplica, Target: replica.ID, Explanation: reason}
	}
	if replica, ok := promisingReplica(now, group, read); ok {
		return Decision{
			Kind:        KindWait,
			Target:      replica.ID,
			Until:       read.WaitUntil,
			Explanation: fmt.Sprintf("replica at %v, mark %v", replica.Position, read.Mark),
		}
	}
	return choosePrimary(now, group, read, "no replica qualifies")
}

// ChooseWrite decides where a statement that needs the primary runs. It must not run on a primary of a lower term than
// the session's mark, and waits while a write could not be acknowledged.
func ChooseWrite(now time.Time, group Group, mark model.Position, deadline time.Time) Decision {
	read := ReadRequest{Mark: mark, Deadline: deadline}
	if group.Term >= mark.Term && !group.Writable {
		return waitForPrimary(now, read)
	}
	return choosePrimary(now, group, read, "needs the primary")
}

// bestReplica returns the least loaded replica that may serve the read.
func bestReplica(now time.Time, group Group, read ReadRequest) (Target, string, bool) {
	var eligible []Target
	for _, t := range replicas(group) {
		if t.Position.Covers(read.Mark) && freshEnough(now, group, read, t) {
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

// promisingReplica returns the replica that is closest to the mark, if nothing but the mark stands against it and the
// time to wait has not ended. A replica of a lower term than the mark is not waited for.
func promisingReplica(now time.Time, group Group, read ReadRequest) (Target, bool) {
	if !now.Before(read.WaitUntil) {
		return Target{}, false
	}
	var candidates []Target
	for _, t := range replicas(group) {
		reaches := t.AdoptedTerm >= read.Mark.Term && !t.Position.Covers(read.Mark)
		if reaches && freshEnough(now, group, read, t) {
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

// choosePrimary decides about a read or a write that no replica runs.
func choosePrimary(now time.Time, group Group, read ReadRequest, reason string) Decision {
	if group.Primary == "" || group.Draining || !primaryAnswers(group) {
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

func primaryAnswers(group Group) bool {
	return slices.ContainsFunc(group.Targets, func(t Target) bool { return t.ID == group.Primary && t.Alive })
}

func waitForPrimary(now time.Time, read ReadRequest) Decision {
	if now.Before(read.Deadline) {
		return Decision{Kind: KindWait, Until: read.Deadline, Explanation: "no primary takes work"}
	}
	return Decision{Kind: KindRefused, RefusalReason: model.ReasonNoPrimary, Explanation: "no primary took work in time"}
}

// freshEnough reports whether the replica's lag is proven to be within the stated age. The proof has two parts: the
// replica has reached a sampled position of the primary, and that primary was not replaced before the sample was taken.
func freshEnough(now time.Time, group Group, read ReadRequest, t Target) bool {
	if read.MaxStaleness == 0 {
		return true
	}
	at, ok := group.Samples.LatestCovered(group.Term, t.Position)
	if !ok {
		return false
	}
	if group.ConfirmedAt.Before(at) {
		at = group.ConfirmedAt
	}
	return now.Sub(at) <= read.MaxStaleness
}

// replicas returns the targets that may serve reads as replicas. A former primary is not among them until it has copied
// from its successor, because a session that reads an entry to be dropped would later see it gone.
func replicas(group Group) []Target {
	var result []Target
	for _, t := range group.Targets {
		if t.ID != group.Primary && t.Alive && t.Replicated && !t.Leaving {
			result = append(result, t)
		}
	}
	return result
}

// compareLoad orders targets by their load relative to their slots.
func compareLoad(a, b Target) int {
	return cmp.Compare(a.ActiveStatements*max(b.Slots, 1), b.ActiveStatements*max(a.Slots, 1))
}

func rotate(targets []Target, by uint) {
	n := int(by % uint(len(targets)))
	slices.Reverse(targets[:n])
	slices.Reverse(targets[n:])
	slices.Reverse(targets)
}
