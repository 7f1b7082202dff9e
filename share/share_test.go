package share

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/waxwingspindle/waxwingspindle/model"
)

var start = time.Unix(1000, 0)

// fleet is a broker with hosts that are driven on one clock. Messages arrive at once unless a host is cut off.
type fleet struct {
	broker *Broker
	hosts  []*Limiter
	cut    map[int]bool
	now    time.Time
	limits Limits
	spent  []time.Time // times of all admissions
}

func newFleet(hosts int, limits Limits) *fleet {
	f := &fleet{broker: NewBroker(start), cut: map[int]bool{}, now: start, limits: limits}
	f.broker.SetLimits(limits, hosts)
	for range hosts {
		l := NewLimiter()
		l.SetLimits(f.now, limits, hosts)
		f.hosts = append(f.hosts, l)
	}
	return f
}

func host(i int) model.HostID { return model.HostID(rune('a' + i)) }

// report lets every host that is not cut off report.
func (f *fleet) report() {
	for i, l := range f.hosts {
		if !f.cut[i] && f.broker != nil {
			join(f.now, f.broker, host(i), l)
		}
	}
}

// join lets a host report as a member of the broker, with the tokens that it has if it was none.
func join(now time.Time, b *Broker, id model.HostID, l *Limiter) {
	var surplus map[model.Workspace]float64
	if l.Standalone(now) {
		surplus = l.JoinBroker(now, now)
	}
	l.BrokerAnswered(now, now)
	b.HandleReport(now, id, false)
	b.Deposit(now, surplus)
}

// ask lets an operation of the workspace start at a host if it is admitted.
func (f *fleet) ask(i int, workspace model.Workspace) bool {
	l := f.hosts[i]
	v := l.Admit(f.now, workspace, false)
	admitted := v.Admitted
	if !admitted && v.TokensToRequest > 0 && !f.cut[i] && f.broker != nil {
		granted, wait := f.broker.Take(f.now, workspace, v.TokensToRequest)
		l.AddGrant(f.now, workspace, granted, wait)
		admitted = l.Take(f.now, workspace)
	}
	if admitted {
		f.spent = append(f.spent, f.now)
	}
	return admitted
}

// play lets the load run for a time in steps of 5 ms; hosts report every 250 ms.
func (f *fleet) play(d time.Duration, load func(step int)) {
	const step = 5 * time.Millisecond
	for i := range int(d / step) {
		if i%50 == 0 {
			f.report()
		}
		load(i)
		f.now = f.now.Add(step)
	}
}

// mostIn returns the greatest number of admissions in any window of the length.
func (f *fleet) mostIn(window time.Duration) int {
	most, first := 0, 0
	for i, at := range f.spent {
		for at.Sub(f.spent[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

const window = 5 * time.Second // over which a limit is measured

// Guards against operations refused inside the limit because the callers of a workspace sit on one host.
func TestAllCallersOnOneHost(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 80, Burst: 80}})
	f.play(5*time.Second, func(int) {}) // buckets fill
	refused := 0
	f.play(20*time.Second, func(step int) {
		if step%4 == 0 && !f.ask(3, "w") { // 50 a second
			refused++
		}
	})
	if refused > 0 {
		t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
	}
}

// Guards against small workspaces whose equal part is below one token at each host.
func TestSmallWorkspaceOnAllHosts(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 10, Burst: 10}})
	f.play(5*time.Second, func(int) {})
	rng := rand.New(rand.NewPCG(1, 1))
	refused, asked := 0, 0
	f.play(60*time.Second, func(int) {
		if rng.Float64() < 0.03 { // 6 a second
			if asked++; !f.ask(rng.IntN(8), "w") {
				refused++
			}
		}
	})
	if refused*50 > asked {
		t.Errorf("%d of %d operations were refused at 60%% of the limit", refused, asked)
	}
}

// Guards against more operations than a limit allows while a workspace asks for many times its rate, hosts are cut off and
// come back, and the broker stops and is replaced.
func TestNeverExceedsLimit(t *testing.T) {
	for seed := range uint64(30) {
		limit := Limits{"w": {PerSecond: 60, Burst: 60}}
		f := newFleet(8, limit)
		rng := rand.New(rand.NewPCG(seed, 2))
		f.play(40*time.Second, func(step int) {
			switch i := rng.IntN(8); {
			case rng.IntN(400) == 0:
				f.cut[i] = !f.cut[i]
			case rng.IntN(2000) == 0:
				for _, l := range f.hosts {
					l.BrokerGone(f.now)
				}
				f.broker = nil
			case f.broker == nil && rng.IntN(300) == 0:
				f.broker = NewBroker(f.now)
				f.broker.SetLimits(limit, 8)
			}
			for range 3 { // 600 a second
				f.ask(rng.IntN(8), "w")
			}
		})
		// Tokens of the broker that a host holds while it is cut off, and the time until it knows, are the only excess; a
		// tenth and twenty operations are allowed for it.
		if got, most := f.mostIn(window), (60*5+60)*11/10+20; got > most {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, most)
		}
	}
}

// Guards against hosts that have next to no tokens when the broker stops: each one has to use its equal part at once.
func TestServesWithoutBroker(t *testing.T) {
	f := newFleet(8, Limits{"w": {PerSecond: 80, Burst: 80}})
	f.play(5*time.Second, func(int) {})
	for _, l := range f.hosts {
		l.BrokerGone(f.now)
	}
	f.broker = nil
	refused := 0
	f.play(10*time.Second, func(step int) {
		if step%4 == 0 && !f.ask(step/4%8, "w") { // 50 a second, evenly
			refused++
		}
	})
	if refused > 25 {
		t.Errorf("%d of 500 operations were refused without a broker at 62%% of the limit", refused)
	}
}

// Guards against operations refused inside the limit, or admitted beyond it, because a leader stops as planned and its
// successor does not know what was left.
func TestSuccessorGoesOn(t *testing.T) {
	limits := Limits{"w": {PerSecond: 80, Burst: 80}}
	for _, c := range []struct {
		name  string
		asked int
	}{{"inside the limit", 1}, {"beyond the limit", 12}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(8, limits)
			f.play(5*time.Second, func(int) {})
			refused := 0
			f.play(20*time.Second, func(step int) {
				if step%100 == 0 {
					f.broker = RestoreBroker(f.now, f.broker.HandOver(f.now))
					f.broker.SetLimits(limits, 8)
				}
				for range c.asked {
					if step%4 == 0 && !f.ask(3, "w") { // 50 a second, or 600
						refused++
					}
				}
			})
			if c.asked == 1 && refused > 0 {
				t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
			}
			if got, most := f.mostIn(window), 80*5+80; got > most {
				t.Errorf("%d operations in %s, at most %d are allowed", got, window, most)
			}
		})
	}
}

// Guards against operations refused inside the limit while a leader that stops waits for its successor, and against tokens
// that both of them hand out.
func TestHandingOverServesFromReserve(t *testing.T) {
	limits := Limits{"w": {PerSecond: 80, Burst: 80}}
	for _, c := range []struct {
		name  string
		asked int
	}{{"inside the limit", 1}, {"beyond the limit", 12}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(8, limits)
			f.play(5*time.Second, func(int) {})
			refused := 0
			var next *Broker
			f.play(20*time.Second, func(step int) {
				switch step % 200 {
				case 0:
					next = RestoreBroker(f.now, f.broker.HandOver(f.now))
					next.SetLimits(limits, 8)
				case 50: // 250 ms later
					f.broker = next
				}
				for range c.asked {
					if step%4 == 0 && !f.ask(3, "w") { // 50 a second, or 600
						refused++
					}
				}
			})
			if c.asked == 1 && refused > 0 {
				t.Errorf("%d of 1000 operations were refused at 62%% of the limit", refused)
			}
			if got, most := f.mostIn(window), 80*5+80; got > most {
				t.Errorf("%d operations in %s, at most %d are allowed", got, window, most)
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
			f.ask(i, "w")
		}
	}
	f.play(3*time.Second, load)
	f.now = f.now.Add(500 * time.Millisecond)
	after := newFleet(8, limits)
	f.broker, f.hosts = after.broker, after.hosts
	f.play(4*time.Second, load)
	if got, most := f.mostIn(window), (60*5+60)*11/10+20; got > most {
		t.Errorf("%d operations in %s around a restart, at most %d are allowed", got, window, most)
	}
}

// Guards against a lowered limit that tokens of the old one outlive.
func TestLoweredLimitBinds(t *testing.T) {
	f := newFleet(4, Limits{"w": {PerSecond: 100, Burst: 100}})
	f.play(5*time.Second, func(int) {})
	low := Limits{"w": {PerSecond: 10, Burst: 10}}
	f.broker.SetLimits(low, 4)
	for _, l := range f.hosts {
		l.SetLimits(f.now, low, 4)
	}
	f.play(2*time.Second, func(int) { f.ask(0, "w") })
	f.spent = nil
	f.play(10*time.Second, func(int) {
		for i := range 4 {
			f.ask(i, "w")
		}
	})
	if got, most := f.mostIn(window), (10*5+10)*11/10+20; got > most {
		t.Errorf("%d operations in %s after the limit was lowered, at most %d are allowed", got, window, most)
	}
}

// Guards against a limit that is handed out twice while an old leader that is cut off from the store goes on as the broker of
// some hosts, and hosts change over to the new one.
func TestSeveralBrokersKeepToLimit(t *testing.T) {
	for seed := range uint64(20) {
		limits := Limits{"w": {PerSecond: 60, Burst: 60}}
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(8, limits)
		brokers := []*Broker{f.broker, NewBroker(start)}
		brokers[1].SetLimits(limits, 8)
		side := make([]int, 8) // the broker that each host knows
		f.play(30*time.Second, func(step int) {
			if rng.IntN(200) == 0 {
				side[rng.IntN(8)] ^= 1
			}
			if step%50 == 0 {
				for i, l := range f.hosts {
					brokers[side[i]].HandleReport(f.now, host(i), l.Standalone(f.now))
				}
				if len(f.broker.heard) == 8 {
					f.broker.heard = map[model.HostID]time.Time{} // play has reported all hosts to the first one
					for i, l := range f.hosts {
						if side[i] == 0 {
							f.broker.HandleReport(f.now, host(i), l.Standalone(f.now))
						}
					}
				}
			}
			for range 3 {
				i := rng.IntN(8)
				f.broker = brokers[side[i]]
				f.ask(i, "w")
			}
			f.broker = brokers[0]
		})
		if got, most := f.mostIn(window), (60*5+60)*11/10+20; got > most {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, most)
		}
	}
}

// partitioned is a fleet whose hosts choose among brokers that they reach, as hosts do that lose and regain the leader.
type partitioned struct {
	*fleet
	brokers []*Broker
	reached []map[int]bool // by host: the brokers whose answers arrive
	heardBy []map[int]bool // by host: the brokers at which reports arrive
	members []Membership
	current []int // by host: the broker in use, or -1
}

func brokerID(i int) BrokerID { return BrokerID{Host: host(i), Deputy: i > 0} }

// reportTo lets a host report to a broker and returns whether the answer arrives.
func (p *partitioned) reportTo(i, broker int, member bool) bool {
	if member && !p.members[i].Join(p.now, brokerID(broker)) {
		return false
	}
	if p.heardBy[i][broker] {
		p.brokers[broker].HandleReport(p.now, host(i), !member)
	}
	return p.heardBy[i][broker] && p.reached[i][broker]
}

// reportAll lets every host report to its broker, or look for the first one that answers.
func (p *partitioned) reportAll() {
	for i, l := range p.hosts {
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
					p.members[i].Leave(brokerID(old))
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

// Guards against a limit that is handed out twice while hosts change between the leader and deputies on the sides of
// partitions, also when only one direction of a link is cut; and against deputies that leave most of the limit unused.
func TestDeputiesKeepToLimit(t *testing.T) {
	const hosts, limit = 8, 60
	for seed := range uint64(30) {
		limits := Limits{"w": {PerSecond: limit, Burst: limit}}
		rng := rand.New(rand.NewPCG(seed, 4))
		p := &partitioned{fleet: newFleet(hosts, limits), brokers: make([]*Broker, 3)}
		for b := range p.brokers {
			p.brokers[b] = NewBroker(start)
			p.brokers[b].SetLimits(limits, hosts)
		}
		for range hosts {
			p.reached, p.heardBy = append(p.reached, map[int]bool{0: true}), append(p.heardBy, map[int]bool{0: true, 1: true, 2: true})
			p.members, p.current = append(p.members, Membership{}), append(p.current, -1)
		}
		p.broker = nil
		played, alone := 0, 0
		for step := range 8000 { // 40 s
			if rng.IntN(400) == 0 { // another partition
				side := rng.IntN(1 << hosts)
				for i := range hosts {
					for b := range p.brokers {
						cut := side>>i&1 != side>>b&1
						p.reached[i][b], p.heardBy[i][b] = !cut, !cut || rng.IntN(4) == 0
					}
				}
			}
			if step%50 == 0 {
				p.reportAll()
			}
			for range 3 { // 600 a second
				i := rng.IntN(hosts)
				if played++; p.current[i] < 0 {
					p.ask(i, "w")
					alone++
					continue
				}
				p.broker = p.brokers[p.current[i]]
				p.ask(i, "w")
				p.broker = nil
			}
			p.now = p.now.Add(5 * time.Millisecond)
		}
		if got, most := p.mostIn(window), (limit*5+limit)*11/10+20; got > most {
			t.Errorf("seed %d: %d operations in %s, at most %d are allowed", seed, got, window, most)
		}
		if spent, least := len(p.spent), limit*40*8/10; spent < least {
			t.Errorf("seed %d: %d operations in 40 s, at least %d could run (%d of %d asked without a broker)", seed, spent, least,
				alone, played)
		}
	}
}

// Guards against a host whose part two brokers count: one may count it for a while after a report whose answer was lost.
func TestMemberOfOneBroker(t *testing.T) {
	var m Membership
	first, second := BrokerID{Host: "a"}, BrokerID{Host: "a", Deputy: true}
	if !m.Join(start, first) || !m.Join(start.Add(heardFor/2), first) {
		t.Error("a host cannot become and stay a member")
	}
	if m.Join(start.Add(heardFor), second) {
		t.Error("two brokers count the host")
	}
	if !m.Join(start.Add(heardFor/2+heardFor), second) {
		t.Error("the host cannot change when the first broker counts it no more")
	}
	m.Leave(first)
	if m.Join(start.Add(heardFor/2+heardFor), first) {
		t.Error("the end of an earlier membership ended the present one")
	}
	m.Leave(second)
	if !m.Join(start.Add(heardFor/2+heardFor), first) {
		t.Error("the host cannot change although the second broker has let it go")
	}
}

// Guards against a workspace that has nothing for the first second of a fleet, of a leader or of a partition, because each
// host has less than one token of it and the broker begins empty.
func TestBrokerBeginsWithWhatHostsHave(t *testing.T) {
	const hosts = 70
	limits := Limits{"w": {PerSecond: 20, Burst: 20}}
	f := newFleet(hosts, limits)
	f.report()
	if !f.ask(3, "w") {
		t.Error("a workspace has no token after the start of all hosts")
	}
	f.play(5*time.Second, func(int) {})
	f.broker = nil
	f.play(2*time.Second, func(int) {}) // the hosts fill their equal parts
	f.broker = NewBroker(f.now)
	f.broker.SetLimits(limits, hosts)
	f.report()
	served := 0
	for range 15 {
		if f.ask(3, "w") {
			served++
		}
	}
	if served < 15 {
		t.Errorf("%d of 15 operations started at a new broker, of a burst of 20", served)
	}
}

// Guards against a token at each host of a large fleet, which together are more than the burst of a small workspace.
func TestSmallWorkspaceOfLargeFleetKeepsToBurst(t *testing.T) {
	const hosts = 70
	f := newFleet(hosts, Limits{"w": {PerSecond: 20, Burst: 20}})
	f.play(time.Minute, func(int) {})
	for range 3 {
		for i := range hosts {
			f.ask(i, "w")
		}
	}
	if got := len(f.spent); got > 20 {
		t.Errorf("%d operations at once, the burst is 20", got)
	}
}

// Guards against operations that pay for attempts which have not run.
func TestRefundedTokenCanBeUsed(t *testing.T) {
	l := NewLimiter()
	l.SetLimits(start, Limits{"w": {PerSecond: 1, Burst: 1}}, 1)
	now := start.Add(5 * time.Second)
	l.Admit(now, "w", false)
	if l.Admit(now, "w", false).Admitted {
		t.Fatal("two operations of a burst of 1")
	}
	l.Refund(now, "w")
	if !l.Admit(now, "w", false).Admitted || l.Admit(now, "w", false).Admitted {
		t.Error("a refund is not worth one operation")
	}
}

// Guards against operations refused although a token comes within milliseconds, and against operations that wait for tokens
// which will go to others.
func TestWaitTellsWhoIsAhead(t *testing.T) {
	f := newFleet(1, Limits{"w": {PerSecond: 100, Burst: 100}})
	f.play(2*time.Second, func(int) {})
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
