package simlimit

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
)

// chaos injects random faults for the given duration. Each run uses a random subset of the fault kinds at a random rate.
// With all kinds at a high rate most tokens would be lost, and the bounds under test would never be reached.
func (s *sim) chaos(d time.Duration) {
	until := s.now + int64(d)
	s.slowDocuments = true
	rates := []*float64{&s.lossRate, &s.duplicateRate, &s.delayRate}
	for _, r := range rates {
		*r = []float64{0, 0.03, 0.2}[s.random.IntN(3)]
	}
	s.after(d, func() {
		for _, r := range rates {
			*r = 0
		}
		s.heal()
	})
	faults := []func(){s.crash, s.pauseRandomHost, s.pauseRandomHost, s.injectFalseDeath, s.injectFalseDeath,
		s.moveRandomSlots, s.changeLimit, s.partition}
	s.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:1+s.random.IntN(len(faults))]
	meanInterval := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
	s.scheduleFaults(until, meanInterval, faults)
}

func (s *sim) scheduleFaults(until int64, meanInterval time.Duration, faults []func()) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(meanInterval)), func() {
		if s.now >= until {
			return
		}
		faults[s.random.IntN(len(faults))]()
		s.scheduleFaults(until, meanInterval, faults)
	})
}

// pickFaultyHost returns a random host, or in half of the cases a broker, because broker faults have the largest effect.
func (s *sim) pickFaultyHost() *host {
	w := s.workspaces[s.random.IntN(len(s.workspaces))]
	if i := s.currentView.brokers[w.name]; i >= 0 && s.random.IntN(2) == 0 {
		return s.hosts[i]
	}
	return s.hosts[s.random.IntN(len(s.hosts))]
}

// crash kills a host and restarts it later, unless at most half of the hosts are alive.
func (s *sim) crash() {
	live := 0
	for _, h := range s.hosts {
		if !h.dead {
			live++
		}
	}
	if live <= len(s.hosts)/2 {
		return
	}
	h := s.pickFaultyHost()
	s.kill(h)
	s.after(time.Duration(s.random.Int64N(5*second)), func() { s.restart(h) })
}

func (s *sim) pauseRandomHost() {
	s.pause(s.pickFaultyHost(), time.Duration(s.random.Int64N(4*second)))
}

// injectFalseDeath makes some hosts temporarily consider a live host dead.
func (s *sim) injectFalseDeath() {
	falseView := s.viewWithout(s.pickFaultyHost().index)
	for range 1 + s.random.IntN(len(s.hosts)) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		h.execute(func() { h.applyView(falseView) })
		s.after(time.Duration(s.random.Int64N(3*second)), func() { h.execute(func() { h.applyView(s.currentView) }) })
	}
}

// partition temporarily disconnects a host from all others.
func (s *sim) partition() {
	h := s.pickFaultyHost()
	h.partitionedUntil = s.now + s.random.Int64N(4*second)
}

func (s *sim) moveRandomSlots() { s.moveSlots(s.slotHolders[s.random.IntN(len(s.slotHolders))]) }

// restart starts a dead host with a new incarnation.
func (s *sim) restart(h *host) {
	if h.dead {
		h.start(slotAdmissionDelay)
		s.announceMembers()
	}
}

// changeLimit changes the limit of a workspace, or removes or re-creates it. Three in four workspaces keep their limit for
// the whole run, so that their bound stays tight.
func (s *sim) changeLimit() {
	w := s.workspaces[len(s.workspaces)-1-s.random.IntN((len(s.workspaces)+3)/4)]
	switch {
	case w.removed:
		w.removed, w.limit = false, w.Limit
	case s.random.IntN(4) == 0:
		w.removed, w.limit = true, limit.Limit{}
	default:
		f := []float64{0.5, 1, 2}[s.random.IntN(3)]
		w.limit = limit.Limit{Rate: w.Limit.Rate * f, Burst: w.Limit.Burst * f}
	}
	w.setLimit(s)
}

func (w *workspace) setLimit(s *sim) {
	w.checker.setLimit(s.now, w.limit)
	w.central.admit(s.now, -1) // refills the bucket at the old rate; the negative wait takes no token
	w.central.limit = w.limit
	s.announceDocuments()
}

// heal ends all faults: it restarts dead hosts and restores the configured limits.
func (s *sim) heal() {
	for _, h := range s.hosts {
		s.restart(h)
	}
	for _, w := range s.workspaces {
		if w.removed || w.limit != w.Limit {
			w.removed, w.limit = false, w.Limit
			w.setLimit(s)
		}
	}
	s.announceMembers()
}
