package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	rootReadInterval = 500 * time.Millisecond  // time between two reads or watches of a root
	pollPause        = 100 * time.Millisecond  // least time between the starts of two polls
	uselessLimit     = 1500 * time.Millisecond // a parent without a usable proof is left after this time
	returnAfter      = 10 * time.Second        // a host goes back from a fallback to its parent after this time
	readWhenOlder    = 3 * time.Second         // a host whose proof is older reads the store itself
	firstReadPause   = 2 * time.Second         // time between two such reads, doubled up to the greatest pause
	greatestPause    = 8 * time.Second
)

// answerMargin is the time for a poll's way to the parent and back, in addition to the time for which it is held.
const answerMargin = 500 * time.Millisecond

// PollTimeout is the time after which a poll without an answer has failed. It is shorter during an outage, when a lost
// parent has to be replaced before the outage proof ends.
func (h *Host) PollTimeout(now time.Time) time.Duration {
	if h.storeAge(now) < OutageVoteAge {
		return holdCalm + answerMargin
	}
	return holdOutage + answerMargin
}

// Upstream decides whom a host asks for proofs: the hosts that the relay tree names, one after the other, and the store
// itself for the roots and as the last resort. It makes progress when parents form a cycle, since a parent that brings
// no fresh proof is left like one that doesn't answer.
type Upstream struct {
	root      bool
	parents   []model.HostID
	current   int
	lastGood  time.Time // last useful answer, or change of the parent
	switched  time.Time
	nextPoll  time.Time
	nextRead  time.Time
	readPause time.Duration
}

// SetParents takes over the parents that the relay tree names, in the order in which they are tried.
func (u *Upstream) SetParents(now time.Time, root bool, parents []model.HostID) {
	if u.root == root && slices.Equal(u.parents, parents) {
		return
	}
	u.root = root
	u.parents = slices.Clone(parents)
	u.use(now, 0)
}

func (u *Upstream) use(now time.Time, parent int) {
	u.current = parent
	u.lastGood = now
	u.switched = now
}

// Root reports whether the host is a root. A root polls all other roots, so that each of them can count a majority.
func (u *Upstream) IsRoot() bool { return u.root }

// Poll returns the host that the next poll goes to, and false while none is due. Call it when no poll is waiting. For
// a root use Peers.
func (u *Upstream) NextPoll(now time.Time) (model.HostID, bool) {
	if u.root || len(u.parents) == 0 || now.Before(u.nextPoll) {
		return "", false
	}
	if u.current > 0 && now.Sub(u.switched) >= returnAfter {
		u.use(now, 0)
	}
	u.nextPoll = now.Add(pollPause)
	return u.parents[u.current], true
}

// Peers returns the other roots, when the host is a root.
func (u *Upstream) Peers() []model.HostID {
	if !u.root {
		return nil
	}
	return u.parents
}

// Answered records an answer; useful is the result of HandleAnswer.
func (u *Upstream) RecordAnswer(now time.Time, useful bool) {
	if useful {
		u.lastGood = now
		return
	}
	if now.Sub(u.lastGood) >= uselessLimit {
		u.RecordFailure(now)
	}
}

// Failed records a poll that was not answered in time. The next poll goes to the next parent.
func (u *Upstream) RecordFailure(now time.Time) {
	if len(u.parents) > 0 {
		u.use(now, (u.current+1)%len(u.parents))
	}
}

// ReadStore reports whether the host should read the store now. Roots always do; the others only when their proof gets
// old, less and less often, so that the fleet doesn't flood a store that comes back.
func (u *Upstream) ShouldReadStore(now time.Time, rng *rand.Rand, proof Proof) bool {
	if u.root {
		if now.Before(u.nextRead) {
			return false
		}
		u.nextRead = now.Add(rootReadInterval)
		return true
	}
	if proof.Age < readWhenOlder {
		u.readPause = 0
		return false
	}
	if now.Before(u.nextRead) {
		return false
	}
	u.readPause = min(max(2*u.readPause, firstReadPause), greatestPause)
	u.nextRead = now.Add(u.readPause/2 + time.Duration(rng.Int64N(int64(u.readPause))))
	return true
}
