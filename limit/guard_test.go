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

// A loan that is lent at 2 s ends at loanEnd for the broker and at takeBack for the holder.
var (
	loanEnd  = 2 + limit.LoanDuration.Seconds()
	takeBack = 2 + limit.ClockTolerance*limit.LoanDuration.Seconds()
)

// rig is one holder with all slots, one broker and one spender. The tests carry the messages.
type rig struct {
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

func newRig(t *testing.T) *rig {
	r := &rig{
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

// loan returns the batch that the holder sends.
func (r *rig) loan(s float64) limit.LoanBatch {
	r.t.Helper()
	m := r.holder.Messages(at(s))
	if len(m) != 1 {
		r.t.Fatalf("%d batches at %.3f s, want 1", len(m), s)
	}
	return m[0].Batch
}

// exchange carries one batch and its reply.
func (r *rig) exchange(s float64) {
	r.t.Helper()
	r.holder.HandleReply(at(s), "broker", r.broker.HandleLoans(at(s), r.loan(s)))
}

// ask requests n tokens and returns the reply.
func (r *rig) ask(s float64, n int) limit.TokenReply {
	r.t.Helper()
	for i := range n {
		r.note(s, r.spender.Admit(at(s), workspace, uint64(i)))
	}
	m, _ := r.spender.Poll(at(s))
	if len(m) != 1 {
		r.t.Fatalf("%d requests at %.3f s, want 1", len(m), s)
	}
	return r.broker.HandleTokens(at(s), m[0].Request)
}

func (r *rig) receive(s float64, reply limit.TokenReply) {
	for _, d := range r.spender.HandleReply(at(s), "broker", reply) {
		r.note(s, d)
	}
}

func (r *rig) note(s float64, d limit.Decision) {
	if d.Status == limit.Admitted {
		r.admitted = append(r.admitted, at(s))
	}
}

// admitOwn admits as many requests from the holder's own share as it allows.
func (r *rig) admitOwn(s float64) {
	for r.holder.Admit(at(s), workspace) {
		r.admitted = append(r.admitted, at(s))
	}
}

// over returns the greatest count − rate × length − burst over all windows.
func (r *rig) over() float64 {
	worst := 0.0
	for i, from := range r.admitted {
		for j, to := range r.admitted[i:] {
			allowed := r.limit.Rate*to.Sub(from).Seconds() + r.limit.Burst
			worst = math.Max(worst, float64(j+1)-allowed)
		}
	}
	return worst
}

// checkGuard runs a script with and without a guard: only the run without it may admit too much.
func checkGuard(t *testing.T, guard string, script func(r *rig)) {
	t.Helper()
	r := newRig(t)
	script(r)
	if over := r.over(); over > 1e-6 {
		t.Errorf("%.2f requests too many with all guards", over)
	}
	limit.WithoutGuard(guard, func() {
		r := newRig(t)
		script(r)
		if over := r.over(); over < 1 {
			t.Errorf("without the guard %q the check finds only %.2f requests too many", guard, over)
		}
	})
}

// Guards against a broker that uses a loan, delayed on its way, after the holder has taken it back.
func TestLoanEndsEarlierAtBroker(t *testing.T) {
	checkGuard(t, limit.GuardLoanDating, func(r *rig) {
		r.exchange(2)        // brings the first stamp
		delayed := r.loan(2) // lends level 100
		r.admitOwn(2.1)      // nothing: the share is lent
		r.admitOwn(takeBack + 0.08)
		r.broker.HandleLoans(at(takeBack+0.08), delayed)
		r.admitOwn(takeBack + 0.48)
		r.receive(takeBack+0.48, r.ask(takeBack+0.48, 150))
	})
}

// Guards against a level that is spent at the broker and again at the holder.
func TestLoanComesBackWithLevelZero(t *testing.T) {
	checkGuard(t, limit.GuardLevelZero, func(r *rig) {
		r.exchange(2)
		r.exchange(2)
		r.receive(loanEnd-0.6, r.ask(loanEnd-0.6, 100)) // then the broker dies
		r.admitOwn(takeBack + 0.01)
	})
}

// Guards against granted tokens that don't count in the burst, so that the bucket fills up behind them.
func TestOutstandingTokensCountInBurst(t *testing.T) {
	checkGuard(t, limit.GuardOutstanding, func(r *rig) {
		r.exchange(2)
		r.exchange(2)
		first := r.ask(2.1, 100)
		r.exchange(2.5)
		r.receive(2.59, first)
		r.receive(2.59, r.ask(2.59, 50))
	})
}

// Guards against a spender that wakes from a pause and spends a grant that has ended.
func TestGrantEnds(t *testing.T) {
	checkGuard(t, limit.GuardGrantEnd, func(r *rig) {
		r.exchange(2)
		r.exchange(2)
		r.receive(2.1, r.ask(2.1, 30))
		r.receive(2.12, r.ask(2.12, 10)) // the demand makes the spender ask for some tokens in advance
		for s := 2.4; s < 5.9; s += 0.4 {
			r.exchange(s)
		}
		r.receive(6, r.ask(6, 110)) // takes cached tokens first, then asks for the rest
	})
}

// Guards against a grant that is still spent when the holder has its share back.
func TestLoanOutlastsGrant(t *testing.T) {
	checkGuard(t, limit.GuardLoanOutlast, func(r *rig) {
		r.exchange(2)
		r.exchange(2)
		reply := r.ask(loanEnd-0.03, 100)
		r.admitOwn(takeBack + 0.08)
		r.admitOwn(loanEnd + 0.46)
		r.receive(loanEnd+0.46, reply)
	})
}

// Guards against a restarted holder that uses its share while its former loan lasts.
func TestRestartWaits(t *testing.T) {
	script := func(r *rig, wait time.Duration) {
		r.exchange(2)
		r.exchange(2)
		restarted := limit.NewHolder("holder", 2, 2)
		from := at(2.1).Add(wait)
		restarted.SetSlots(at(2.1), []limit.Slot{{Number: 0, UsableFrom: from}, {Number: 1, UsableFrom: from}})
		restarted.SetLimits(at(2.1), map[model.Workspace]limit.Limit{workspace: r.limit})
		r.holder = restarted
		r.admitOwn(2.9)
		r.receive(2.9, r.ask(2.9, 100))
	}
	r := newRig(t)
	script(r, 14*time.Second)
	if over := r.over(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
	r = newRig(t)
	script(r, 0)
	if over := r.over(); over < 1 {
		t.Errorf("without the wait the check finds only %.2f requests too many", over)
	}
}

// Guards against tokens that are lost when the messages of a return are lost or repeated, and against a return that
// counts twice.
func TestReturnIsTakenOnce(t *testing.T) {
	r := newRig(t)
	r.exchange(2)
	r.exchange(2)
	r.holder.Drain()
	lost := r.broker.HandleLoans(at(2.2), r.loan(2.2))
	reply := r.broker.HandleLoans(at(2.5), r.loan(2.5))
	r.holder.HandleReply(at(2.5), "broker", reply)
	if r.holder.HasLoans(at(2.5)) {
		t.Error("the loan is still out after its return")
	}
	r.admitOwn(2.5)
	if len(r.admitted) < 99 {
		t.Errorf("%d requests admitted after the return, want at least 99", len(r.admitted))
	}
	r.holder.HandleReply(at(2.5), "broker", lost)
	r.holder.HandleReply(at(2.5), "broker", reply)
	r.admitOwn(2.5)
	if over := r.over(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
}

// Guards against tokens that stay at a spender which needs them no longer.
func TestUnspentTokensComeBack(t *testing.T) {
	r := newRig(t)
	r.exchange(2)
	r.exchange(2)
	r.receive(2.1, r.ask(2.1, 30))
	r.receive(2.15, r.ask(2.15, 20)) // the demand makes the spender ask for more than 20
	r.spender.Drain()
	for s := 2.2; s < 2.4; s += 0.02 {
		m, _ := r.spender.Poll(at(s))
		for _, x := range m {
			r.receive(s, r.broker.HandleTokens(at(s), x.Request))
		}
	}
	if !r.spender.Drained(at(2.4)) {
		t.Error("the spender still has tokens or unreported grants")
	}
	other := limit.NewSpender("other", 1)
	other.SetBrokers(func(model.Workspace) model.HostID { return "broker" })
	r.spender = other
	r.receive(2.4, r.ask(2.4, 100))
	if n := len(r.admitted); n < 100 {
		t.Errorf("%d requests admitted, want at least 100", n)
	}
	if over := r.over(); over > 1e-6 {
		t.Errorf("%.2f requests too many", over)
	}
}
