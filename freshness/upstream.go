package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	rootReadInterval     = 500 * time.Millisecond  // time between two reads or watches of a root
	minPollInterval      = 100 * time.Millisecond  // least time between the starts of two polls
	uselessParentTimeout = 1500 * time.Millisecond // a parent that delivers no usable proof for this long is replaced
	fallbackPeriod       = 10 * time.Second        // a host on a fallback parent returns to its first parent after this time
	directReadAge        = 3 * time.Second         // a host whose proof is at least this old reads the store itself
	minReadInterval      = 2 * time.Second         // time between two such reads, doubled up to maxReadInterval
	maxReadInterval      = 8 * time.Second
)

// roundTripMargin is added to the hold time of a poll for its transit to the parent and back.
const roundTripMargin = 500 * time.Millisecond

// PollTimeout returns the time after which a poll without an answer has failed. It is shorter during an outage, when a
// lost parent has to be replaced before the outage proof expires.
func (h *Host) PollTimeout(now time.Time) time.Duration {
	if h.storeAge(now) < OutageVoteAge {
		return pollHold + roundTripMargin
	}
	return outagePollHold + roundTripMargin
}

// Upstream selects where a host gets its proofs: from the parents that the relay tree assigns, one after the other, or
// from the store, which roots always read and other hosts use as a last resort. A parent that delivers no fresh proof
// is replaced like one that does not answer, so parents that form a cycle do not block progress.
type Upstream struct {
	root          bool
	parents       []model.HostID
	currentParent int
	lastUseful    time.Time // last useful answer, or last change of the parent
	switchedAt    time.Time
	nextPoll      time.Time
	nextRead      time.Time
	readInterval  time.Duration
}

// SetParents replaces the parents that the relay tree assigns, in the order in which they are tried. A change of the
// parents or of the root role starts again with the first one.
func (u *Upstream) SetParents(now time.Time, root bool, parents []model.HostID) {
	if u.root == root && slices.Equal(u.parents, parents) {
		return
	}
	u.root = root
	u.parents = slices.Clone(parents)
	u.switchParent(now, 0)
}

func (u *Upstream) switchParent(now time.Time, parent int) {
	u.currentParent = parent
	u.lastUseful = now
	u.switchedAt = now
}

// IsRoot reports whether the host is a root. A root polls all other roots, so that each of them can count a majority.
func (u *Upstream) IsRoot() bool { return u.root }

// NextPoll returns the host to poll next, or false if no poll is due. It must not be called while a poll is
// outstanding. Roots use Peers instead.
func (u *Upstream) NextPoll(now time.Time) (model.HostID, bool) {
	if u.root || len(u.parents) == 0 || now.Before(u.nextPoll) {
		return "", false
	}
	if u.currentParent > 0 && now.Sub(u.switchedAt) >= fallbackPeriod {
		u.switchParent(now, 0)
	}
	u.nextPoll = now.Add(minPollInterval)
	return u.parents[u.currentParent], true
}

// Peers returns the other roots if the host is a root, and nil otherwise.
func (u *Upstream) Peers() []model.HostID {
	if !u.root {
		return nil
	}
	return u.parents
}

// RecordAnswer records an answer; useful is the result of HandleAnswer.
func (u *Upstream) RecordAnswer(now time.Time, useful bool) {
	if useful {
		u.lastUseful = now
		return
	}
	if now.Sub(u.lastUseful) >= uselessParentTimeout {
		u.RecordFailure(now)
	}
}

// RecordFailure records a poll that was not answered in time. The next poll goes to the next parent.
func (u *Upstream) RecordFailure(now time.Time) {
	if len(u.parents) > 0 {
		u.switchParent(now, (u.currentParent+1)%len(u.parents))
	}
}

// ShouldReadStore reports whether the host should read the store now. Roots read at a fixed interval; other hosts only
// when their proof gets old, at increasing intervals, so that the fleet does not flood a store that recovers.
func (u *Upstream) ShouldReadStore(now time.Time, rng *rand.Rand, proof Proof) bool {
	if u.root {
		if now.Before(u.nextRead) {
			return false
		}
		u.nextRead = now.Add(rootReadInterval)
		return true
	}
	if proof.Age < directReadAge {
		u.readInterval = 0
		return false
	}
	if now.Before(u.nextRead) {
		return false
	}
	u.readInterval = min(max(2*u.readInterval, minReadInterval), maxReadInterval)
	u.nextRead = now.Add(u.readInterval/2 + time.Duration(rng.Int64N(int64(u.readInterval))))
	return true
}
