package limit_test

import (
	"math"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const workspace model.Workspace = "w"

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// A loan made at 2 s expires at brokerExpiry for the broker and at holderExpiry for the holder.
var (
	brokerExpiry = 2 + limit.LoanDuration.Seconds()
	holderExpiry = 2 + limit.ClockTolerance*limit.LoanDuration.Seconds()
)

// fixture contains one holder with all slots, one broker and one spender. The tests deliver the messages.
type fixture struct {
	t        *testing.T
	limit    limit.Limit
	holder   *limit.Holder
	broker   *limit.Broker
	spender  *limit.Spender
	admitted []time.Time
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(math.Round(seconds * float64(time.Second))))
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{
		t: t, limit: limit.Limit{Rate: 100, Burst: 100},
		holder:  limit.NewHolder("holder", 1, 2),
		broker:  limit.NewBroker(1, at(0)),
		spender: limit.NewSpender("spender", 1),
	}
	brokerOf := func(model.Workspace) model.HostID { return "broker" }
	r.holder.SetSlots(at(0), []limit.Slot{{Number: 0, UsableFrom: at(0)}, {Number: 1, UsableFrom: at(0)}})
	r.holder.SetLimits(at(0), map[model.Workspace]limit.Limit{workspace: r.limit})
	r.holder.SetBrokers(brokerOf)
	r.spender.SetBrokers(brokerOf)
	return r
}

// nextLoanBatch returns the batch that the holder sends at time s.
func (r *fixture) nextLoanBatch(s float64) limit.LoanBatch {
	r.t.Helper()
	m := r.holder.Messages(at(s))
	if len(m) != 1 {
		r.t.Fatalf("%d batches at %.3f s, want 1", len(m), s)
	}
	return m[0].Batch
}

// exchangeLoans delivers one batch and its reply.
func (r *fixture) exchangeLoans(s float64) {
	r.t.Helper()
	r.holder.HandleReply(at(s), "broker", r.broker.HandleLoans(at(s), r.nextLoanBatch(s)))
}

// requestTokens submits n requests to the spender and returns the broker's reply to its token request.
func (r *fixture) requestTokens(s float64, n int) limit.TokenReply {
	r.t.Helper()
	for i := range n {
		r.record(s, r.spender.Admit(at(s), workspace, uint64(i)))
	}
	m, _ := r.spender.Poll(at(s))
	if len(m) != 1 {
		r.t.Fatalf("%d requests at %.3f s, want 1", len(m), s)
	}
	return r.broker.HandleTokens(at(s), m[0].Request)
}

func (r *fixture) deliver(s float64, reply limit.TokenReply) {
	for _, d := range r.spender.HandleReply(at(s), "broker", reply) {
		r.record(s, d)
	}
}

func (r *fixture) record(s float64, d limit.Decision) {
	if d.Status == limit.Admitted {
		r.admitted = append(r.admitted, at(s))
	}
}

// admitAtHolder admits as many requests as the holder's own share allows.
func (r *fixture) admitAtHolder(s float64) {
	for r.holder.Admit(at(s), workspace) {
		r.admitted = append(r.admitted, at(s))
	}
}

// overAdmission returns the greatest count − rate × length − burst over all windows.
func (r *fixture) overAdmission() float64 {
	worst := 0.0
	for i, from := range r.admitted {
		for j, to := range r.admitted[i:] {
			allowed := r.limit.Rate*to.Sub(from).Seconds() + r.limit.Burst
			worst = math.Max(worst, float64(j+1)-allowed)
		}
	}
	return worst
}

// checkGuard runs a script with and without a guard. Only the run without it may admit too many requests.
func checkGuard(t *testing.T, guard string, script func(r *fixture)) {
	t.Helper()
	r := newFixture(t)
	script(r)
	if over := r.overAdmission(); over > 1e-6 {
		t.Errorf("%.2f requests too many with all guards", over)
	}
	limit.WithoutGuard(guard, func() {
		r := newFixture(t)
		script(r)
		if over := r.overAdmission(); over < 1 {
			t.Errorf("without the guard %q the check finds only %.2f requests too many", guard, over)
		}
	})
}

// Guards against a broker that uses a delayed loan after the holder has reclaimed its slots.
func TestLoanEndsEarlierAtBroker(t *testing.T) {
	checkGuard(t, limit.GuardLoanTimestamp, func(r *fixture) {
		r.exchangeLoans(2)            // delivers the first stamp
		delayed := r.nextLoanBatch(2) // lends level 100
		r.admitAtHolder(2.1)          // nothing: the share is lent
		r.admitAtHolder(holderExpiry + 0.08)
		r.broker.HandleLoans(at(holderExpiry+0.08), delayed)
		r.admitAtHolder(holderExpiry + 0.48)
		r.deliver(holderExpiry+0.48, r.requestTokens(holderExpiry+0.48, 150))
	})
}

// Guards against a level that is spent first at the broker and again at the holder.
func TestLoanComesBackWithLevelZero(t *testing.T) {
	checkGuard(t, limit.GuardZeroLevel, func(r *fixture) {
		r.exchangeLoans(2)
		r.exchangeLoans(2)
		r.deliver(brokerExpiry-0.6, r.requestTokens(brokerExpiry-0.6, 100)) // then the broker fails
		r.admitAtHolder(holderExpiry + 0.01)
	})
}

// Guards against granted tokens that do not count towards the burst, so that the bucket refills while they are unspent.
func TestOutstandingTokensCountInBurst(t *testing.T) {
	checkGuard(t, limit.GuardOutstanding, func(r *fixture) {
		r.exchangeLoans(2)
		r.exchangeLoans(2)
		first := r.requestTokens(2.1, 100)
		r.exchangeLoans(2.5)
		r.deliver(2.59, first)
		r.deliver(2.59, r.requestTokens(2.59, 50))
	})
}

// Guards against a spender that spends an expired grant after a pause.
func TestGrantEnds(t *testing.T) {
	checkGuard(t, limit.GuardGrantExpiry, func(r *fixture) {
		r.exchangeLoans(2)
		r.exchangeLoans(2)
		r.deliver(2.1, r.requestTokens(2.1, 30))
		r.deliver(2.12, r.requestTokens(2.12, 10)) // the demand makes the spender prefetch tokens
		for s := 2.4; s < 5.9; s += 0.4 {
			r.exchangeLoans(s)
		}
		r.deliver(6, r.requestTokens(6, 110)) // spends cached tokens first, then requests the rest
	})
}

// Guards against a grant that is still spent after the holder has reclaimed its share.
func TestLoanOutlastsGrant(t *testing.T) {
	checkGuard(t, limit.GuardLoanOutlastsGrant, func(r *fixture) {
		r.exchangeLoans(2)
		r.exchangeLoans(2)
		reply := r.requestTokens(brokerExpiry-0.03, 100)
		r.admitAtHolder(holderExpiry + 0.08)
		r.admitAtHolder(brokerExpiry + 0.46)
		r.deliver(brokerExpiry+0.46, reply)
	})
}

// Guards against a restarted holder that uses its share before its former loan has expired.
func TestRestartWaits(t *testing.T) {
	script := func(r *fixture, wait time.Duration) {
		r.exchangeLoans(2)
		r.exchangeLoans(2)
		restarted := limit.NewHolder("holder", 2, 2)
		from := at(2.1).Add(wait)
		restarted.SetSlots(at(2.1), []limit.Slot{{Number: 0, UsableFrom: from}, {Number: 1, UsableFrom: from}})
		restarted.SetLimits(at(2.1), map[model.Workspace]limit.Limit{workspace: r.limit})
		r.holder = restarted
		r.admitAtHolder(2.9)
		r.deliver(2.9, r.requestTokens(2.9, 100))
	}
	r := newFixture(t)
	script(r, 14*time.Second)
	if over := r.overAdmission(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
	r = newFixture(t)
	script(r, 0)
	if over := r.overAdmission(); over < 1 {
		t.Errorf("without the wait the check finds only %.2f requests too many", over)
	}
}

// Guards against tokens that are lost when the messages of a return are lost or duplicated, and against a return that is
// counted twice.
func TestReturnIsTakenOnce(t *testing.T) {
	r := newFixture(t)
	r.exchangeLoans(2)
	r.exchangeLoans(2)
	r.holder.Drain()
	lost := r.broker.HandleLoans(at(2.2), r.nextLoanBatch(2.2))
	reply := r.broker.HandleLoans(at(2.5), r.nextLoanBatch(2.5))
	r.holder.HandleReply(at(2.5), "broker", reply)
	if r.holder.HasLoans(at(2.5)) {
		t.Error("the loan is still active after its return")
	}
	r.admitAtHolder(2.5)
	if len(r.admitted) < 99 {
		t.Errorf("%d requests admitted after the return, want at least 99", len(r.admitted))
	}
	r.holder.HandleReply(at(2.5), "broker", lost)
	r.holder.HandleReply(at(2.5), "broker", reply)
	r.admitAtHolder(2.5)
	if over := r.overAdmission(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
}

// Guards against tokens that stay at a spender that no longer needs them.
func TestUnspentTokensComeBack(t *testing.T) {
	r := newFixture(t)
	r.exchangeLoans(2)
	r.exchangeLoans(2)
	r.deliver(2.1, r.requestTokens(2.1, 30))
	r.deliver(2.15, r.requestTokens(2.15, 20)) // the demand makes the spender request more than 20
	r.spender.Drain()
	for s := 2.2; s < 2.4; s += 0.02 {
		m, _ := r.spender.Poll(at(s))
		for _, x := range m {
			r.deliver(s, r.broker.HandleTokens(at(s), x.Request))
		}
	}
	if !r.spender.Drained(at(2.4)) {
		t.Error("the spender still has tokens or unreported grants")
	}
	other := limit.NewSpender("other", 1)
	other.SetBrokers(func(model.Workspace) model.HostID { return "broker" })
	r.spender = other
	r.deliver(2.4, r.requestTokens(2.4, 100))
	if n := len(r.admitted); n < 100 {
		t.Errorf("%d requests admitted, want at least 100", n)
	}
	if over := r.overAdmission(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
}
