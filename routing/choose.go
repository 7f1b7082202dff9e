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
	MarkWait = 20 * time.Millisecond
	// ConfirmationLimit is the age above which a confirmation of the primary is too old for a read with a stated age.
	// It allows for several lost probes, so that a healthy primary is not refused.
	ConfirmationLimit = time.Second
)

// Target is the state of one target of a group as its home knows it.
type Target struct {
	ID          model.TargetID
	Alive       bool           // answers its probes
	Leaving     bool           // the operator is removing it
	Replicated  bool           // all of its last term's entries are copies; a former primary may hold entries to be dropped
	AdoptedTerm uint64         // term that the target has adopted
	Position    model.Position // last reported position in the log
	Running     int            // statements that run or wait for a slot
	Slots       int            // statements that the target runs at a time
}

// Group is the state of a service's group as its home knows it.
type Group struct {
	Term      uint64         // term of the primary
	Primary   model.TargetID // empty when no primary is known
	Writable  bool           // a write can be acknowledged
	Held      bool           // the primary takes no new work, because another member is about to replace it
	Confirmed time.Time      // a majority had adopted Term at this time or later, so no later primary existed then
	Targets   []Target
	Samples   *Samples // positions of the primary
}

// Read describes a read.
type Read struct {
	Mark         model.Position // the session's mark for the service
	MarkUnknown  bool           // the token dropped marks, so the session's position is not known
	MaxStaleness time.Duration  // age of data that the caller accepts, zero when it stated none
	WaitUntil    time.Time      // end of the wait for a replica, usually the arrival plus MarkWait
	Deadline     time.Time      // end of the request
	Rotation     uint           // number that spreads reads over equally loaded replicas, such as a counter
}

// Kind is the kind of a decision.
type Kind uint8

const (
	// KindReplica runs the read on the replica Target.
	KindReplica Kind = iota + 1
	// KindPrimary runs the read on the primary Target.
	KindPrimary
	// KindWait decides again at Until, or earlier when the state of the group changes. Target, if set, is the replica
	// that is expected to reach the mark first.
	KindWait
	// KindRefused does not run the read. Refusal is the reason for the caller.
	KindRefused
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
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
	Kind    Kind
	Target  model.TargetID
	Until   time.Time    // for KindWait
	Refusal model.Reason // for KindRefused
	Resolve bool         // the home must look for a primary of a later term before anything runs on the known one
	Reason  string       // explanation for the log
}

// String returns the decision in one line.
func (d Decision) String() string {
	if d.Target == "" {
		return fmt.Sprintf("%s: %s", d.Kind, d.Reason)
	}
	return fmt.Sprintf("%s %s: %s", d.Kind, d.Target, d.Reason)
}

// ChooseRead decides where a read runs at time now. Replicas come before the primary. A mark binds a read with a stated
// age too: the age widens what the caller accepts of others' writes, not of its own.
func ChooseRead(now time.Time, group Group, read Read) Decision {
	if read.MarkUnknown {
		return choosePrimary(now, group, read, "the session's mark is not known")
	}
	if replica, reason, ok := bestReplica(now, group, read); ok {
		return Decision{Kind: KindReplica, Target: replica.ID, Reason: reason}
	}
	if replica, ok := promisingReplica(now, group, read); ok {
		return Decision{
			Kind:   KindWait,
			Target: replica.ID,
			Until:  read.WaitUntil,
			Reason: fmt.Sprintf("replica at %v, mark %v", replica.Position, read.Mark),
		}
	}
	return choosePrimary(now, group, read, "no replica qualifies")
}

// ChooseWrite decides where a statement that needs the primary runs. It must not run on a primary of a lower term than
// the session's mark, and waits while a write could not be acknowledged.
func ChooseWrite(now time.Time, group Group, mark model.Position, deadline time.Time) Decision {
	read := Read{Mark: mark, Deadline: deadline}
	if group.Term >= mark.Term && !group.Writable {
		return waitForPrimary(now, read)
	}
	return choosePrimary(now, group, read, "needs the primary")
}

// bestReplica returns the least loaded replica that may serve the read.
func bestReplica(now time.Time, group Group, read Read) (Target, string, bool) {
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
	reason := fmt.Sprintf("covers the mark, load %d of %d slots", best.Running, best.Slots)
	return best, reason, true
}

// promisingReplica returns the replica that is closest to the mark, if nothing but the mark stands against it and the
// time to wait has not ended. A replica of a lower term than the mark is not waited for.
func promisingReplica(now time.Time, group Group, read Read) (Target, bool) {
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
func choosePrimary(now time.Time, group Group, read Read, reason string) Decision {
	if group.Primary == "" || group.Held || !primaryAnswers(group) {
		return waitForPrimary(now, read)
	}
	if group.Term < read.Mark.Term {
		return Decision{
			Kind:    KindRefused,
			Target:  group.Primary,
			Refusal: model.ReasonNoPrimary,
			Resolve: true,
			Reason:  fmt.Sprintf("primary has term %d, the session saw term %d", group.Term, read.Mark.Term),
		}
	}
	if limit := max(read.MaxStaleness, ConfirmationLimit); read.MaxStaleness > 0 && now.Sub(group.Confirmed) > limit {
		return Decision{
			Kind:    KindRefused,
			Target:  group.Primary,
			Refusal: model.ReasonNoPrimary,
			Resolve: true,
			Reason:  fmt.Sprintf("no majority confirmed the primary within %v", limit),
		}
	}
	return Decision{Kind: KindPrimary, Target: group.Primary, Reason: reason}
}

func primaryAnswers(group Group) bool {
	return slices.ContainsFunc(group.Targets, func(t Target) bool { return t.ID == group.Primary && t.Alive })
}

func waitForPrimary(now time.Time, read Read) Decision {
	if now.Before(read.Deadline) {
		return Decision{Kind: KindWait, Until: read.Deadline, Reason: "no primary takes work"}
	}
	return Decision{Kind: KindRefused, Refusal: model.ReasonNoPrimary, Reason: "no primary took work in time"}
}

// freshEnough reports whether the replica's lag is proven to be within the stated age. The proof has two parts: the
// replica has reached a sampled position of the primary, and that primary was not replaced before the sample was taken.
func freshEnough(now time.Time, group Group, read Read, t Target) bool {
	if read.MaxStaleness == 0 {
		return true
	}
	at, ok := group.Samples.ProvenAt(group.Term, t.Position)
	if !ok {
		return false
	}
	if group.Confirmed.Before(at) {
		at = group.Confirmed
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
	return cmp.Compare(a.Running*max(b.Slots, 1), b.Running*max(a.Slots, 1))
}

func rotate(targets []Target, by uint) {
	n := int(by % uint(len(targets)))
	slices.Reverse(targets[:n])
	slices.Reverse(targets[n:])
	slices.Reverse(targets)
}
