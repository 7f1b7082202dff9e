// Package limit keeps a workspace's rate and burst exact over all hosts together, without a store call or an agreement
// on the admission path.
//
// A workspace's rate and burst are divided into a fixed number of equal share slots. A Holder has the slots of one host.
// It lends them for a short time to the workspace's Broker, which combines the loans and grants whole tokens to the
// Spender of each entry host. A Holder admits requests itself from slots that are not lent.
//
// # Why no window admits more than burst + rate × length
//
// Let Φ be the sum of the levels at holders and brokers, of the levels inside loan and return messages, and of the
// granted tokens that may still be spent. Every admission takes 1 from Φ. If Φ grows at most at the workspace's rate and
// never exceeds its burst, then the admissions of any window are at most burst + rate × length.
//
//   - A slot is refilled in one place at a time. A loan names a timestamp of the broker's own clock, and the broker drops
//     it a loan duration after that timestamp. The holder counts the same duration plus 1% from the moment at which it
//     received the timestamp, which is later, so the holder takes the slot back after the broker has dropped it.
//   - Refill uses the local clock, which may run 1% fast, so each bucket is refilled at rate / 1.01.
//   - A level is handed over at most once. Loans carry the holder's incarnation, an epoch, and a rising message number.
//     The broker adds the level of an epoch once, never accepts a returned epoch again, and skips messages that arrive
//     after a later one. The holder accepts a return only for the epoch that is lent. The broker forgets a holder only
//     after every timestamp that an older message can name is out of date.
//   - A loan that ends without a return comes back with level 0, because the broker may have granted all of it.
//   - A loan is tied to one incarnation of the broker. A restarted broker accepts no loan of its predecessor, and the
//     holder waits for the end of the loan, which is later than the end of every grant that was drawn on it.
//   - The broker keeps level + outstanding ≤ the burst of its loans. A token is outstanding from the grant until the
//     spender reports it as spent or returned, or until the grant ends. Reports are totals per grant, so a repeated or
//     reordered report changes nothing.
//   - The spender counts the life of a grant from the moment at which it sent the request, and the broker from the later
//     moment of granting plus 1%, so the spender stops first.
//   - A grant is drawn only on loans that outlast it: outstanding tokens never exceed the burst of the loans that remain
//     until the last of them ends. A loan is returned early only under the same condition.
//   - A slot that is new to a host or incarnation is used only after every loan of the former holder has ended (package
//     roster), and begins with level 0.
//   - Each loan carries its own rate and burst, so a broker needs no configuration. While a change of a limit spreads,
//     every slot has either the old or the new share, and Φ is bounded by the greater one.
//
// All types are plain state machines: time is an argument, messages come out as values, and none is safe for concurrent
// use.
package limit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// ClockTolerance is the factor by which the rates of any two clocks may differ.
	ClockTolerance = 1.01
	// LoanDuration is the duration of a loan of a workspace that is in use.
	LoanDuration = 1500 * time.Millisecond
	// IdleLoanDuration is the duration of a loan of an idle workspace. It is the longest duration of a loan, so slots that
	// move from a dead host are unused for this time and the freshness bound. A longer one saves renewals.
	IdleLoanDuration = 4 * time.Second
	// GrantDuration is the time during which a spender may use granted tokens.
	GrantDuration = 500 * time.Millisecond
	// Wait is the longest time that a request waits for a token.
	MaxWait = 50 * time.Millisecond

	// A loan names the timestamp of the previous reply, so it lasts LoanDuration − 2 × lendEvery just before its renewal.
	// This must exceed GrantDuration, or grants can't be drawn on it.
	lendEvery     = 400 * time.Millisecond
	idleLendEvery = 1500 * time.Millisecond
	returnEvery   = 100 * time.Millisecond
	loanTimeout   = 250 * time.Millisecond
	// idleAfter is the time without token requests after which the broker calls a workspace idle.
	idleAfter = 10 * time.Second

	// Unreported tokens keep a full bucket from refilling. When they take more than tightBurst of the burst, reports have
	// to come within a part of the interval; otherwise they wait for the next ask.
	tightBurst   = 0.125
	reportPart   = 8
	urgentReport = time.Millisecond
	lazyReport   = GrantDuration
	minInterval  = 5 * time.Millisecond
	maxInterval  = 200 * time.Millisecond
	// cachedBurst is the part of the burst that may lie in the caches of all spenders together. A greater part saves
	// messages; a smaller part leaves more tokens for hosts with sudden demand.
	cachedBurst = 0.5
	// prefetchPart is the part of the level that one ask gets for expected requests.
	prefetchPart = 0.25

	minRetry    = 20 * time.Millisecond
	fewRetry    = 3 * time.Millisecond // per competing spender, while that is less than minRetry
	maxRetry    = 400 * time.Millisecond
	retrySpread = time.Millisecond // per spender that competes for scarce tokens
	// manySpenders is the number of competing spenders from which on the message rate at the broker is limited.
	manySpenders = 50

	askTimeout   = 15 * time.Millisecond
	demandWindow = 500 * time.Millisecond

	// epsilon absorbs rounding when fractions of slots add up to a whole token.
	epsilon = 1e-9
)

// disabled switches single guards off. Only tests set it, to show that the checks depend on each guard.
var disabled guards

type guards struct {
	loanDating  bool // the broker counts a loan from its arrival
	levelZero   bool // an expired loan comes back with the level that was lent
	outstanding bool // outstanding tokens don't count in the burst
	grantEnd    bool // the spender uses grants without end
	loanOutlast bool // grants are drawn on loans that end before the grant
	refill      bool // refill ignores that clocks may run fast
}

// Limit is a workspace's limit, or the part of it that belongs to some slots.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

func (l Limit) scaled(factor float64) Limit {
	return Limit{Rate: l.Rate * factor, Burst: l.Burst * factor}
}

// Slot is a share slot of this host.
type Slot struct {
	Number     int
	UsableFrom time.Time // earliest time at which this host may use the slot
}

// Stamp is a broker's timestamp. Only that incarnation of the broker interprets At.
type Stamp struct {
	Incarnation model.Incarnation
	At          time.Duration // age of the broker
}

// Loan is the part of a LoanBatch that concerns one workspace.
type Loan struct {
	Workspace model.Workspace
	Epoch     uint64        // number of the loan, unique per incarnation of the holder
	Limit     Limit         // rate and burst of the lent slots
	Level     float64       // level handed over, repeated until the broker confirms the epoch
	Duration  time.Duration // the loan ends this long after the named stamp
	Return    bool          // the holder asks for its slots back
}

// LoanBatch carries all loans of a holder to one broker that are due. A batch without loans only asks for a stamp.
type LoanBatch struct {
	Holder      model.HostID
	Incarnation model.Incarnation
	Sequence    uint64
	Stamp       Stamp // from the broker's last reply; zero before the first one
	Loans       []Loan
}

// LoanState is the broker's answer to one Loan.
type LoanState struct {
	Workspace model.Workspace
	Epoch     uint64
	Returned  bool    // the loan has ended and Level is the holder's again
	Level     float64 // level handed back
	Idle      bool    // no spender asks for this workspace, so that rare renewals suffice
}

// LoanReply answers a LoanBatch.
type LoanReply struct {
	Sequence uint64
	Stamp    Stamp
	Loans    []LoanState
}

// LoanMessage is a batch and the broker that it goes to.
type LoanMessage struct {
	To    model.HostID
	Batch LoanBatch
}

// Report tells how many tokens of one grant were used. The counts are totals since the grant.
type Report struct {
	Grant    uint64 // sequence of the request that was granted
	Spent    int
	Returned int
}

// Ask is the part of a TokenRequest that concerns one workspace.
type Ask struct {
	Workspace model.Workspace
	Need      int // tokens for requests that are waiting
	Prefetch  int // tokens for requests that are expected
	Reports   []Report
}

// TokenRequest carries everything that a spender has to tell one broker.
type TokenRequest struct {
	Spender     model.HostID
	Incarnation model.Incarnation
	Sequence    uint64
	Asks        []Ask
}

// Grant is the part of a TokenReply that concerns one workspace.
type Grant struct {
	Workspace model.Workspace
	Tokens    int
	Interval  time.Duration // time for which tokens should be asked in advance
	Report    time.Duration // time within which spent tokens should be reported
	Retry     time.Duration // when tokens are scarce, time before which asking again is useless
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Sequence uint64
	Grants   []Grant
}

// TokenMessage is a request and the broker that it goes to.
type TokenMessage struct {
	To      model.HostID
	Request TokenRequest
}

// BrokerOf returns the broker of a workspace, or "" when none is known.
type BrokerLookup func(model.Workspace) model.HostID

func extend(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * ClockTolerance))
}

// refilled returns the tokens that a rate adds in d on a clock that may run fast.
func refilled(rate float64, d time.Duration) float64 {
	if disabled.refill {
		return rate * d.Seconds()
	}
	return rate * d.Seconds() / ClockTolerance
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
