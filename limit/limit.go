// Package limit implements distributed token buckets. It enforces the rate and burst of a workspace exactly over all
// hosts, without store calls or consensus on the admission path.
//
// The rate and burst of a workspace are divided into a fixed number of equal share slots. A Holder owns the slots of one
// host. It lends them for a short time to the workspace's Broker, which combines the loans and grants whole tokens to the
// Spender of each entry host. A Holder admits requests itself from slots that are not lent.
//
// # Why no window admits more than burst + rate × length
//
// Let Φ be the sum of the levels at holders and brokers, the levels in loan and return messages in flight, and the
// granted tokens that may still be spent. Every admission decreases Φ by 1. If Φ grows at most at the workspace's rate
// and never exceeds its burst, then any window admits at most burst + rate × length requests.
//
//   - A slot is refilled in only one place at a time. A loan contains a timestamp of the broker's own clock, and expires
//     at the broker one loan duration after that timestamp. The holder adds the same duration plus 1% to the time at which
//     it received the timestamp, which is later, so it reclaims the slot only after the loan has expired at the broker.
//   - Buckets are refilled by the local clock, which may run 1% fast, so the refill rate is rate / 1.01.
//   - A level is transferred at most once. Loans carry the holder's incarnation, an epoch, and an increasing sequence
//     number. The broker adds the level of an epoch once, never accepts a returned epoch again, and ignores messages that
//     arrive after a later one. The holder accepts a return only for the epoch that is currently lent. The broker deletes
//     the state of a holder only after every timestamp that an older message can contain has expired.
//   - A loan that expires without a return comes back with level 0, because the broker may have granted all its tokens.
//   - A loan is bound to one incarnation of the broker. A restarted broker accepts no loans of its predecessor, and the
//     holder waits for the expiry of the loan, which is later than the expiry of every grant backed by it.
//   - The broker keeps level + outstanding ≤ the burst of its loans. A token is outstanding from its grant until the
//     spender reports it as spent or returned, or until the grant expires. Reports contain totals per grant, so repeated
//     and reordered reports have no effect.
//   - The spender measures the lifetime of a grant from the time at which it sent the request, and the broker from the
//     later time of the grant, plus 1%, so the grant expires at the spender first.
//   - A grant is only backed by loans that outlast it: outstanding tokens never exceed the burst of the loans that remain
//     until the last grant expires. A loan is returned early only under the same condition.
//   - A slot that is new to a host or incarnation is used only after every loan of the former holder has expired (package
//     roster), and starts with level 0.
//   - Each loan carries its own rate and burst, so a broker needs no configuration. While a changed limit propagates,
//     every slot has either the old or the new share, and Φ is bounded by the greater one.
//
// All types are deterministic state machines: the time is an argument, and messages are return values. None of them is
// safe for concurrent use.
package limit

import (
	"math"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// ClockTolerance is the largest factor by which the rates of any two clocks may differ.
	ClockTolerance = 1.01
	// LoanDuration is the duration of a loan of an active workspace.
	LoanDuration = 1500 * time.Millisecond
	// IdleLoanDuration is the duration of a loan of an idle workspace, and the longest duration of any loan. Slots that move
	// from a failed host are unused for this time plus the freshness bound. A longer duration saves renewals.
	IdleLoanDuration = 4 * time.Second
	// GrantDuration is how long a spender may use granted tokens.
	GrantDuration = 500 * time.Millisecond
	// MaxWait is the longest time that a request waits for a token.
	MaxWait = 50 * time.Millisecond

	// A loan contains the timestamp of the previous reply, so just before its renewal it has
	// LoanDuration − 2 × renewInterval left. This must exceed GrantDuration, or no grant can be backed by it.
	renewInterval       = 400 * time.Millisecond
	idleRenewInterval   = 1500 * time.Millisecond
	returnRetryInterval = 100 * time.Millisecond
	loanReplyTimeout    = 250 * time.Millisecond
	// idleTimeout is the time without token requests after which the broker considers a workspace idle.
	idleTimeout = 10 * time.Second

	// Unreported tokens prevent a full bucket from refilling. If they exceed the urgentOutstandingFraction of the burst,
	// reports are due reportsPerInterval times per interval; otherwise they are sent with the next ask.
	urgentOutstandingFraction = 0.125
	reportsPerInterval        = 8
	urgentReportDelay         = time.Millisecond
	relaxedReportDelay        = GrantDuration
	minPrefetchInterval       = 5 * time.Millisecond
	maxPrefetchInterval       = 200 * time.Millisecond
	// cachedBurstFraction is the fraction of the burst that the caches of all spenders may hold together. A larger fraction
	// saves messages; a smaller one leaves more tokens for hosts with sudden demand.
	cachedBurstFraction = 0.5
	// prefetchFraction is the largest fraction of the level that is granted to one ask for expected requests.
	prefetchFraction = 0.25

	// With n competing spenders, the retry delay starts from n × retryStepFewSpenders, but at most minRetryDelay, or from
	// n × retryStepManySpenders if that is longer. After its adjustment to the rate it is at most maxRetryDelay. A request
	// that is refused after MaxWait gets a RetryAfter of at least minRetryDelay.
	minRetryDelay         = 20 * time.Millisecond
	retryStepFewSpenders  = 3 * time.Millisecond
	maxRetryDelay         = 400 * time.Millisecond
	retryStepManySpenders = time.Millisecond
	// manySpenders is the number of competing spenders above which the message rate at the broker is limited.
	manySpenders = 50

	askTimeout   = 15 * time.Millisecond
	demandWindow = 500 * time.Millisecond

	// epsilon absorbs rounding errors when fractions of slots add up to a whole token.
	epsilon = 1e-9
)

// disabled selects the guards that are disabled. Only tests set it, to verify that the checks depend on each guard.
var disabled guards

// guards has one field per guard. The comment of a field states what happens if the guard is disabled.
type guards struct {
	loanTimestamp     bool // the broker measures a loan from its arrival
	zeroLevel         bool // an expired loan restores the level that was lent
	outstanding       bool // outstanding tokens do not count towards the burst
	grantExpiry       bool // grants never expire at the spender
	loanOutlastsGrant bool // grants are backed by loans that expire before the grant
	refillTolerance   bool // the refill rate ignores that clocks may run fast
}

// Limit is the rate and burst of a workspace, or the part of them that belongs to some of its slots.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

func (l Limit) scaled(factor float64) Limit {
	return Limit{Rate: l.Rate * factor, Burst: l.Burst * factor}
}

// Slot is a share slot held by this host.
type Slot struct {
	Number     int
	UsableFrom time.Time // earliest time at which this host may use the slot
}

// Stamp is a timestamp of a broker's clock. It is only valid for that incarnation of the broker.
type Stamp struct {
	Incarnation model.Incarnation
	At          time.Duration // time since the start of the broker
}

// Loan is the entry of a LoanBatch for one workspace.
type Loan struct {
	Workspace model.Workspace
	Epoch     uint64        // loan number, unique per incarnation of the holder
	Limit     Limit         // rate and burst of the lent slots
	Level     float64       // transferred level, repeated until the broker confirms the epoch
	Duration  time.Duration // the loan expires this long after the stamp of the batch
	Return    bool          // the holder requests its slots back
}

// LoanBatch contains all due loans of a holder to one broker. A batch without loans only requests a stamp.
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
	Returned  bool    // the loan has ended and Level belongs to the holder again
	Level     float64 // returned level
	Idle      bool    // no spender requests tokens of this workspace, so infrequent renewals suffice
}

// LoanReply answers a LoanBatch.
type LoanReply struct {
	Sequence uint64
	Stamp    Stamp
	Loans    []LoanState
}

// LoanMessage is a batch with its destination broker.
type LoanMessage struct {
	To    model.HostID
	Batch LoanBatch
}

// Report contains the numbers of used tokens of one grant. They are totals since the grant.
type Report struct {
	Grant    uint64 // sequence number of the TokenRequest that received the grant
	Spent    int
	Returned int
}

// Ask is the entry of a TokenRequest for one workspace.
type Ask struct {
	Workspace model.Workspace
	Need      int // tokens for waiting requests
	Prefetch  int // tokens for expected requests
	Reports   []Report
}

// TokenRequest contains all asks and reports of a spender for one broker.
type TokenRequest struct {
	Spender     model.HostID
	Incarnation model.Incarnation
	Sequence    uint64
	Asks        []Ask
}

// Grant is the entry of a TokenReply for one workspace.
type Grant struct {
	Workspace model.Workspace
	Tokens    int
	Interval  time.Duration // period whose expected demand should be requested in advance
	Report    time.Duration // time within which spent tokens should be reported
	Retry     time.Duration // if tokens are short, minimum delay before the next ask; otherwise zero
}

// TokenReply answers a TokenRequest.
type TokenReply struct {
	Sequence uint64
	Grants   []Grant
}

// TokenMessage is a request with its destination broker.
type TokenMessage struct {
	To      model.HostID
	Request TokenRequest
}

// BrokerLookup returns the broker of a workspace, or "" if none is known.
type BrokerLookup func(model.Workspace) model.HostID

// withClockTolerance returns a duration that is at least d on any other clock.
func withClockTolerance(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * ClockTolerance))
}

// refillAmount returns the tokens that a rate adds in d, measured on a clock that may run fast.
func refillAmount(rate float64, d time.Duration) float64 {
	if disabled.refillTolerance {
		return rate * d.Seconds()
	}
	return rate * d.Seconds() / ClockTolerance
}

// earlier returns the earlier time. A zero time means never.
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
