package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var start = time.Unix(1000, 0)

// fleet simulates a broker and hosts on one clock. Messages arrive without delay unless a host is disconnected.
type fleet struct {
	broker       *Broker
	limiters     []*Limiter
	disconnected map[int]bool
	now          time.Time
	limits       Limits
	admissions   []time.Time // times of all admissions
}

func newFleet(hosts int, limits Limits) *fleet {
	f := &fleet{broker: NewBroker(start), disconnected: map[int]bool{}, now: start, limits: limits}
	f.broker.SetLimits(limits, hosts)
	for range hosts {
		l := NewLimiter()
		l.SetLimits(f.now, limits, hosts)
		f.limiters = append(f.limiters, l)
	}
	return f
}

func host(i int) model.HostID { return model.HostID(rune('a' + i)) }

// reportAll sends a report from every connected host.
func (f *fleet) reportAll() {
	for i, l := range f.limiters {
		if !f.disconnected[i] && f.broker != nil {
			join(f.now, f.broker, host(i), l)
		}
	}
}

// join reports a host as a member of the broker. A standalone host passes on its surplus tokens.
func join(now time.Time, b *Broker, id model.HostID, l *Limiter) {
	var surplus map[model.Workspace]float64
	if l.Standalone(now) {
		surplus = l.JoinBroker(now, now)
	}
	l.BrokerAnswered(now, now)
	b.HandleReport(now, id, false)
	b.Deposit(now, surplus)
}

// admit requests admission for one operation of the workspace at a host, with a request to the broker if necessary.
func (f *fleet) admit(i int, workspace model.Workspace) bool {
	_, admitted := f.admitToken(i, workspace)
	return admitted
}

// admitToken is admit, and returns the token of the operation.
func (f *fleet) admitToken(i int, workspace model.Workspace) (Token, bool) {
	l := f.limiters[i]
	decision := l.Admit(f.now, workspace, false)
	token, admitted := decision.Token, decision.Admitted
	if !admitted && decision.TokensToRequest > 0 && !f.disconnected[i] && f.broker != nil {
		granted, wait := f.broker.Take(f.now, workspace, decision.TokensToRequest)
		l.AddGrant(f.now, workspace, granted, wait)
		token, admitted = l.Take(f.now, workspace)
	}
	if admitted {
		f.admissions = append(f.admissions, f.now)
	}
	return token, admitted
}

// run applies the load for the given duration in steps of 5 ms. Hosts report every 250 ms.
func (f *fleet) run(d time.Duration, load func(step int)) {
	const step = 5 * time.Millisecond
	for i := range int(d / step) {
		if i%50 == 0 {
			f.reportAll()
		}
		load(i)
		f.now = f.now.Add(step)
	}
}

// maxAdmissions returns the greatest number of admissions in any window of the given length.
func (f *fleet) maxAdmissions(window time.Duration) int {
	highest, first := 0, 0
	for i, at := range f.admissions {
		for at.Sub(f.admissions[first]) > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

const window = 5 * time.Second // admissions are counted over windows of this length

// Guards against operations refused inside the limit because all callers of a workspace are connected to one host.
func TestAllCallersOnOneHost(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 80, Burst: 80}})
	f.run(5*time.Second, func(int) {}) // buckets fill
	refused := 0
	f.run(20*time.Second, func(step int) {
		if step%4 == 0 && !f.admit(3, "w") { // 50 per second
			refused++
		}
	})
	if refused > 0 {
		t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
	}
}

// Guards against operations refused inside the limit because the equal share of a small workspace is below one token per
// host.
func TestSmallWorkspaceOnAllHosts(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 10, Burst: 10}})
	f.run(5*time.Second, func(int) {})
	rng := rand.New(rand.NewPCG(1, 1))
	refused, attempts := 0, 0
	f.run(60*time.Second, func(int) {
		if rng.Float64() < 0.03 { // 6 per second
			if attempts++; !f.admit(rng.IntN(8), "w") {
				refused++
			}
		}
	})
	if refused*50 > attempts {
		t.Errorf("%d of %d operations were refused at 60%% of the limit", refused, attempts)
	}
}

// Guards against exceeding a limit while a workspace requests many times its rate, hosts disconnect and reconnect, and the
// broker stops and is replaced.
func TestNeverExceedsLimit(t *testing.T) {
	for seed := range uint64(30) {
		limit := Limits{"w": {PerSecond: 60, Burst: 60}}
		f := newFleet(8, limit)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.run(40*time.Second, func(step int) {
			switch i := rng.IntN(8); {
			case rng.IntN(400) == 0:
				f.disconnected[i] = !f.disconnected[i]
			case rng.IntN(2000) == 0:
				for _, l := range f.limiters {
					l.BrokerGone(f.now)
				}
				f.broker = nil
			case f.broker == nil && rng.IntN(300) == 0:
				f.broker = NewBroker(f.now)
				f.broker.SetLimits(limit, 8)
			}
			for range 3 { // 600 per second
				f.admit(rng.IntN(8), "w")
			}
		})
		// The only sources of excess are tokens of the broker that a disconnected host still holds, and the time until it
		// detects the disconnection. The allowance for both is a tenth plus twenty operations.
		if got, maxAllowed := f.maxAdmissions(window), (60*5+60)*11/10+20; got > maxAllowed {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, maxAllowed)
		}
	}
}

// Guards against hosts that have almost no tokens when the broker stops: each one must use its equal share at once.
func TestServesWithoutBroker(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 80, Burst: 80}})
	f.run(5*time.Second, func(int) {})
	for _, l := range f.limiters {
		l.BrokerGone(f.now)
	}
	f.broker = nil
	refused := 0
	f.run(10*time.Second, func(step int) {
		if step%4 == 0 && !f.admit(step/4%8, "w") { // 50 per second, spread evenly
			refused++
		}
	})
	if refused > 25 {
		t.Errorf("%d of 500 operations were refused without a broker at 62%% of the limit", refused)
	}
}

// Guards against operations refused inside the limit, or admitted beyond it, because the successor of a leader after a
// planned stop does not receive the remaining tokens.
func TestSuccessorGoesOn(t *testing.T) {
	limits := Limits{"w": {PerSecond: 80, Burst: 80}}
	for _, c := range []struct {
		name     string
		attempts int
	}{{"inside the limit", 1}, {"beyond the limit", 12}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(8, limits)
			f.run(5*time.Second, func(int) {})
			refused := 0
			f.run(20*time.Second, func(step int) {
				if step%100 == 0 {
					f.broker = RestoreBroker(f.now, f.broker.HandOver(f.now))
					f.broker.SetLimits(limits, 8)
				}
				for range c.attempts {
					if step%4 == 0 && !f.admit(3, "w") { // 50 per second, or 600
						refused++
					}
				}
			})
			if c.attempts == 1 && refused > 0 {
				t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
			}
			if got, maxAllowed := f.maxAdmissions(window), 80*5+80; got > maxAllowed {
				t.Errorf("%d operations in %s, at most %d are allowed", got, window, maxAllowed)
			}
		})
	}
}

// Guards against operations refused inside the limit while a stopping leader waits for its successor, and against tokens
// that both of them grant.
func TestHandingOverServesFromReserve(t *testing.T) {
	limits := Limits{"w": {PerSecond: 80, Burst: 80}}
	for _, c := range []struct {
		name     string
		attempts int
	}{{"inside the limit", 1}, {"beyond the limit", 12}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(8, limits)
			f.run(5*time.Second, func(int) {})
			refused := 0
			var next *Broker
			f.run(20*time.Second, func(step int) {
				switch step % 200 {
				case 0:
					next = RestoreBroker(f.now, f.broker.HandOver(f.now))
					next.SetLimits(limits, 8)
				case 50: // 250 ms later
					f.broker = next
				}
				for range c.attempts {
					if step%4 == 0 && !f.admit(3, "w") { // 50 per second, or 600
						refused++
					}
				}
			})
			if c.attempts == 1 && refused > 0 {
				t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
			}
			if got, maxAllowed := f.maxAdmissions(window), 80*5+80; got > maxAllowed {
				t.Errorf("%d operations in %s, at most %d are allowed", got, window, maxAllowed)
			}
		})
	}
}

// Guards against a restart of all hosts that grants each of them a full burst.
func TestRestartOfAllHostsKeepsToLimit(t *testing.T) {
	limits := Limits{"w": {PerSecond: 60, Burst: 60}}
	f := newFleet(8, limits)
	load := func(int) {
		for i := range 8 {
			f.admit(i, "w")
		}
	}
	f.run(3*time.Second, load)
	f.now = f.now.Add(500 * time.Millisecond)
	after := newFleet(8, limits)
	f.broker, f.limiters = after.broker, after.limiters
	f.run(4*time.Second, load)
	if got, maxAllowed := f.maxAdmissions(window), (60*5+60)*11/10+20; got > maxAllowed {
		t.Errorf("%d operations in %s around a restart, at most %d are allowed", got, window, maxAllowed)
	}
}

// Guards against tokens of the old limit that are still used after the limit was lowered.
func TestLoweredLimitBinds(t *testing.T) {
	f := newFleet(4, Limits{"w": {PerSecond: 100, Burst: 100}})
	f.run(5*time.Second, func(int) {})
	low := Limits{"w": {PerSecond: 10, Burst: 10}}
	f.broker.SetLimits(low, 4)
	for _, l := range f.limiters {
		l.SetLimits(f.now, low, 4)
	}
	f.run(2*time.Second, func(int) { f.admit(0, "w") })
	f.admissions = nil
	f.run(10*time.Second, func(int) {
		for i := range 4 {
			f.admit(i, "w")
		}
	})
	if got, maxAllowed := f.maxAdmissions(window), (10*5+10)*11/10+20; got > maxAllowed {
		t.Errorf("%d operations in %s after the limit was lowered, at most %d are allowed", got, window, maxAllowed)
	}
}

// Guards against granting the same tokens twice while an old leader without a connection to the store is still the broker
// of some hosts, and hosts move to the new leader.
func TestSeveralBrokersKeepToLimit(t *testing.T) {
	for seed := range uint64(20) {
		limits := Limits{"w": {PerSecond: 60, Burst: 60}}
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(8, limits)
		brokers := []*Broker{f.broker, NewBroker(start)}
		brokers[1].SetLimits(limits, 8)
		side := make([]int, 8) // index of each host's broker
		f.run(30*time.Second, func(step int) {
			if rng.IntN(200) == 0 {
				side[rng.IntN(8)] ^= 1
			}
			if step%50 == 0 {
				for i, l := range f.limiters {
					brokers[side[i]].HandleReport(f.now, host(i), l.Standalone(f.now))
				}
				if len(f.broker.lastReport) == 8 {
					f.broker.lastReport = map[model.HostID]time.Time{} // run has reported all hosts to the first broker
					for i, l := range f.limiters {
						if side[i] == 0 {
							f.broker.HandleReport(f.now, host(i), l.Standalone(f.now))
						}
					}
				}
			}
			for range 3 {
				i := rng.IntN(8)
				f.broker = brokers[side[i]]
				f.admit(i, "w")
			}
			f.broker = brokers[0]
		})
		if got, maxAllowed := f.maxAdmissions(window), (60*5+60)*11/10+20; got > maxAllowed {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, maxAllowed)
		}
	}
}

// partitionedFleet is a fleet whose hosts choose among the brokers that they reach, as hosts do when they lose and regain
// the connection to the leader.
type partitionedFleet struct {
	*fleet
	brokers     []*Broker
	canReceive  []map[int]bool // by host: the brokers whose answers arrive at the host
	canSend     []map[int]bool // by host: the brokers that receive the reports of the host
	memberships []Membership
	current     []int // by host: the broker in use, or -1
}

func brokerID(i int) BrokerID { return BrokerID{Host: host(i), Deputy: i > 0} }

// reportTo sends a report from a host to a broker and returns whether the answer arrives.
func (p *partitionedFleet) reportTo(i, broker int, member bool) bool {
	if member && !p.memberships[i].Join(p.now, brokerID(broker)) {
		return false
	}
	if p.canSend[i][broker] {
		p.brokers[broker].HandleReport(p.now, host(i), !member)
	}
	return p.canSend[i][broker] && p.canReceive[i][broker]
}

// chooseBrokers lets every host report to its broker or, without one, to the first broker that answers. A host moves to a
// broker with a lower index if that one answers.
func (p *partitionedFleet) chooseBrokers() {
	for i, l := range p.limiters {
		if p.current[i] >= 0 && !p.reportTo(i, p.current[i], true) {
			p.current[i] = -1
			continue
		}
		for b := range p.brokers {
			if p.current[i] == b || !p.reportTo(i, b, false) {
				continue
			}
			if old := p.current[i]; old > b {
				if p.reportTo(i, old, false) {
					p.memberships[i].Leave(brokerID(old))
				}
				p.current[i] = -1
			}
			if p.current[i] < 0 && p.reportTo(i, b, true) {
				p.current[i] = b
			}
			break
		}
		if p.current[i] >= 0 {
			join(p.now, p.brokers[p.current[i]], host(i), l)
		}
	}
}

// Guards against granting the same tokens twice while hosts move between the leader and deputies during partitions, also if
// only one direction of a link fails, and against deputies that leave most of the limit unused.
func TestDeputiesKeepToLimit(t *testing.T) {
	const hosts, limit = 8, 60
	for seed := range uint64(30) {
		limits := Limits{"w": {PerSecond: limit, Burst: limit}}
		rng := rand.New(rand.NewPCG(seed, 4))
		p := &partitionedFleet{fleet: newFleet(hosts, limits), brokers: make([]*Broker, 3)}
		for b := range p.brokers {
			p.brokers[b] = NewBroker(start)
			p.brokers[b].SetLimits(limits, hosts)
		}
		for range hosts {
			p.canReceive, p.canSend = append(p.canReceive, map[int]bool{0: true}),
				append(p.canSend, map[int]bool{0: true, 1: true, 2: true})
			p.memberships, p.current = append(p.memberships, Membership{}), append(p.current, -1)
		}
		p.broker = nil
		attempts, standalone := 0, 0
		for step := range 8000 { // 40 s
			if rng.IntN(400) == 0 { // a new partition
				side := rng.IntN(1 << hosts)
				for i := range hosts {
					for b := range p.brokers {
						cut := side>>i&1 != side>>b&1
						p.canReceive[i][b], p.canSend[i][b] = !cut, !cut || rng.IntN(4) == 0
					}
				}
			}
			if step%50 == 0 {
				p.chooseBrokers()
			}
			for range 3 { // 600 per second
				i := rng.IntN(hosts)
				if attempts++; p.current[i] < 0 {
					p.admit(i, "w")
					standalone++
					continue
				}
				p.broker = p.brokers[p.current[i]]
				p.admit(i, "w")
				p.broker = nil
			}
			p.now = p.now.Add(5 * time.Millisecond)
		}
		if got, maxAllowed := p.maxAdmissions(window), (limit*5+limit)*11/10+20; got > maxAllowed {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, maxAllowed)
		}
		if spent, minExpected := len(p.admissions), limit*40*8/10; spent < minExpected {
			t.Errorf("seed %d: %d operations in 40 s, want at least %d (%d of %d attempts at standalone hosts)",
				seed, spent, minExpected, standalone, attempts)
		}
	}
}

// Guards against two brokers that count the same host: a broker may count it for memberTTL after a report whose answer was
// lost.
func TestMemberOfOneBroker(t *testing.T) {
	var m Membership
	first, second := BrokerID{Host: "a"}, BrokerID{Host: "a", Deputy: true}
	if !m.Join(start, first) || !m.Join(start.Add(memberTTL/2), first) {
		t.Error("a host cannot become and stay a member")
	}
	if m.Join(start.Add(memberTTL), second) {
		t.Error("two brokers count the host as a member")
	}
	if !m.Join(start.Add(memberTTL/2+memberTTL), second) {
		t.Error("the host cannot join another broker after the first membership has expired")
	}
	m.Leave(first)
	if m.Join(start.Add(memberTTL/2+memberTTL), first) {
		t.Error("leaving the former broker ended the current membership")
	}
	m.Leave(second)
	if !m.Join(start.Add(memberTTL/2+memberTTL), first) {
		t.Error("the host cannot join another broker after it has left the second one")
	}
}

// Guards against a workspace without tokens in the first second after the start of a fleet, a leader or a partition,
// because each host has less than one token and the broker starts empty.
func TestNewBrokerReceivesTokensOfHosts(t *testing.T) {
	const hosts = 70
	limits := Limits{"w": {PerSecond: 20, Burst: 20}}
	f := newFleet(hosts, limits)
	f.reportAll()
	if !f.admit(3, "w") {
		t.Error("the workspace has no token after the start of all hosts")
	}
	f.run(5*time.Second, func(int) {})
	f.broker = nil
	f.run(2*time.Second, func(int) {}) // the buckets of the hosts fill up to their equal shares
	f.broker = NewBroker(f.now)
	f.broker.SetLimits(limits, hosts)
	f.reportAll()
	served := 0
	for range 15 {
		if f.admit(3, "w") {
			served++
		}
	}
	if served < 15 {
		t.Errorf("%d of 15 operations were admitted by a new broker with a burst of 20", served)
	}
}

// Guards against one token at each host of a large fleet, which in total would exceed the burst of a small workspace.
func TestSmallWorkspaceOfLargeFleetKeepsToBurst(t *testing.T) {
	const hosts = 70
	f := newFleet(hosts, Limits{"w": {PerSecond: 20, Burst: 20}})
	f.run(time.Minute, func(int) {})
	for range 3 {
		for i := range hosts {
			f.admit(i, "w")
		}
	}
	if got := len(f.admissions); got > 20 {
		t.Errorf("%d operations were admitted at once with a burst of 20", got)
	}
}

// Guards against tokens that stay spent although the operation has not run.
func TestRefundedTokenCanBeUsed(t *testing.T) {
	l := NewLimiter()
	l.SetLimits(start, Limits{"w": {PerSecond: 1, Burst: 1}}, 1)
	now := start.Add(5 * time.Second)
	token := l.Admit(now, "w", false).Token
	if l.Admit(now, "w", false).Admitted {
		t.Fatal("two operations were admitted with a burst of 1")
	}
	l.Refund(now, "w", token)
	if !l.Admit(now, "w", false).Admitted || l.Admit(now, "w", false).Admitted {
		t.Error("a refund does not allow exactly one operation")
	}
}

// Guards against tokens that add up beyond the burst while operations are admitted and refused for seconds, because each refund
// gives a token a new life and the buckets refill meanwhile (review/further, rule QUOTA).
func TestRefundsDoNotAddUp(t *testing.T) {
	const (
		hosts       = 8
		rate, burst = 132.0, 132.0
		interval    = time.Second / 990      // between two operations: 7.5 times the rate
		refusedFor  = 500 * time.Millisecond // from the admission of an operation to its refusal
		window      = 5 * time.Second
		tolerance   = 0.1
		slack       = 20
	)
	f := newFleet(hosts, Limits{"w": {PerSecond: rate, Burst: burst}})
	f.run(10*time.Second, func(int) {})
	type admission struct {
		host  int
		token Token
		at    time.Time
	}
	var waiting []admission
	ran, refusing := 0, true
	next := f.now
	load := func(step int) {
		for ; !next.After(f.now); next = next.Add(interval) {
			i := int(next.UnixNano()) % hosts
			if token, admitted := f.admitToken(i, "w"); admitted && refusing {
				waiting = append(waiting, admission{i, token, f.now})
			} else if admitted {
				ran++
			}
		}
		for len(waiting) > 0 && f.now.Sub(waiting[0].at) >= refusedFor {
			f.limiters[waiting[0].host].Refund(f.now, "w", waiting[0].token)
			waiting = waiting[1:]
		}
	}
	f.run(13*time.Second, load)
	refusing = false
	ran += len(waiting) // they reach a target now
	waiting = nil
	f.run(window, load)
	if allowed := (rate*window.Seconds()+burst)*(1+tolerance) + slack; float64(ran) > allowed {
		t.Errorf("%d operations ran in %s after a time of refusals, at most %.0f are allowed", ran, window, allowed)
	}
}

// Guards against operations refused although a token becomes available within milliseconds, and against operations that
// wait for tokens that earlier requests will take.
func TestWaitCountsEarlierDenials(t *testing.T) {
	f := newFleet(1, Limits{"w": {PerSecond: 100, Burst: 100}})
	f.run(2*time.Second, func(int) {})
	for f.broker.bucket("w").level >= 1 {
		f.broker.Take(f.now, "w", 100)
		f.now = f.now.Add(time.Microsecond)
	}
	_, first := f.broker.Take(f.now, "w", 1)
	if first > 15*time.Millisecond {
		t.Errorf("the first operation without a token waits %s at 100 a second", first)
	}
	last := first
	for range 20 {
		_, last = f.broker.Take(f.now, "w", 1)
	}
	if last < 150*time.Millisecond {
		t.Errorf("an operation behind 20 others waits %s at 100 a second", last)
	}
	f.now = f.now.Add(first)
	if granted, _ := f.broker.Take(f.now, "w", 1); granted != 1 {
		t.Error("there is no token after the wait")
	}
}

// Guards against a starting host that knows the limits before it knows the other hosts: it must neither use the whole limit
// nor lose its initial tokens.
func TestLimiterWaitsForNumberOfHosts(t *testing.T) {
	l, now := NewLimiter(), time.Unix(1000, 0)
	limits := Limits{"w": {PerSecond: 100, Burst: 100}}
	l.SetLimits(now, limits, 0)
	if d := l.Admit(now, "w", false); d.Admitted || d.Wait <= 0 {
		t.Errorf("without a number of hosts: %+v", d)
	}
	l.SetLimits(now, limits, 10)
	l.SetLimits(now, limits, 0)
	admitted := 0
	for l.Admit(now, "w", false).Admitted {
		admitted++
	}
	if want := int(initialFraction * 100 / 10); admitted != want {
		t.Errorf("%d operations admitted of 10 hosts' 100/s, want %d", admitted, want)
	}
	for hosts, want := range map[int]bool{10: true, 200: false} {
		if l.SetLimits(now, limits, hosts); l.SharesHoldTokens() != want {
			t.Errorf("shares of %d hosts hold a token: %t, want %t", hosts, !want, want)
		}
	}
}

// BenchmarkTake measures a token request at the broker of a fleet whose hosts report every 250 ms.
func BenchmarkTake(b *testing.B) {
	for _, hosts := range []int{30, 100, 300, 820} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			broker := NewBroker(now)
			broker.SetLimits(Limits{"w": {PerSecond: 100, Burst: 100}}, hosts)
			for i := 0; b.Loop(); i++ {
				now = now.Add(250 * time.Millisecond / time.Duration(hosts))
				broker.HandleReport(now, model.HostID(fmt.Sprintf("host-%d", i%hosts)), false)
				broker.Take(now, "w", 1)
			}
		})
	}
}

// Guards against members that count after their report has expired, or not before, because the broker does not look at
// all of them for each token: it would hand out the share of a host that uses it itself.
func TestMemberCountIsExact(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		now := start
		broker := NewBroker(now)
		if rng.IntN(2) == 0 {
			age := time.Duration(rng.Int64N(int64(2 * memberTTL)))
			broker = RestoreBroker(now, BrokerState{ReportAges: map[model.HostID]time.Duration{"a": age}})
		}
		last := map[model.HostID]time.Time{}
		for host, at := range broker.lastReport {
			last[host] = at
		}
		for range 300 {
			now = now.Add(time.Duration(rng.Int64N(int64(memberTTL / 8))))
			host := model.HostID(rune('a' + rng.IntN(12)))
			switch rng.IntN(8) {
			case 0:
				broker.HandleReport(now, host, true)
				delete(last, host)
			case 1, 2:
				broker.HandleReport(now, host, false)
				last[host] = now
			default:
				want := 0
				for _, at := range last {
					if now.Sub(at) <= memberTTL {
						want++
					}
				}
				if got := broker.MemberCount(now); got != want {
					t.Fatalf("%d members, want %d", got, want)
				}
			}
		}
	}
}
