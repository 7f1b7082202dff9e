package simlimit

import (
	"time"

	"github.com/waxwingspindle/waxwingspindle/limit"
)

// chaos injects random faults for a time. Each run takes a random part of the kinds of faults at a random rate: with all
// kinds at a high rate most tokens are lost, and no bound would ever be reached.
func (s *sim) chaos(d time.Duration) {
	until := s.now + int64(d)
	s.slowNews = true
	rates := []*float64{&s.lossRate, &s.dupRate, &s.tailRate}
	for _, r := range rates {
		*r = []float64{0, 0.03, 0.2}[s.rng.IntN(3)]
	}
	s.after(d, func() {
		for _, r := range rates {
			*r = 0
		}
		s.heal()
	})
	faults := []func(){s.crash, s.stall, s.stall, s.disagree, s.disagree, s.move, s.changeLimit, s.partition}
	s.rng.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:1+s.rng.IntN(len(faults))]
	every := time.Duration(100+s.rng.IntN(3000)) * time.Millisecond
	s.disturb(until, every, faults)
}

func (s *sim) disturb(until int64, every time.Duration, faults []func()) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(every)), func() {
		if s.now >= until {
			return
		}
		faults[s.rng.IntN(len(faults))]()
		s.disturb(until, every, faults)
	})
}

// victim returns a random host, or a broker in half of the cases, because brokers matter most.
func (s *sim) victim() *host {
	w := s.workspaces[s.rng.IntN(len(s.workspaces))]
	if i := s.truth.brokers[w.name]; i >= 0 && s.rng.IntN(2) == 0 {
		return s.hosts[i]
	}
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// crash kills a host and starts it again, unless only a few are left.
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
	h := s.victim()
	s.kill(h)
	s.after(time.Duration(s.rng.Int64N(5*second)), func() { s.restart(h) })
}

func (s *sim) stall() { s.pause(s.victim(), time.Duration(s.rng.Int64N(4*second))) }

// disagree makes some hosts believe that a living host is dead, for a time.
func (s *sim) disagree() {
	wrong := s.viewOf(s.victim().index)
	for range 1 + s.rng.IntN(len(s.hosts)) {
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		h.do(func() { h.see(wrong) })
		s.after(time.Duration(s.rng.Int64N(3*second)), func() { h.do(func() { h.see(s.truth) }) })
	}
}

// partition cuts a host off from the others for a time.
func (s *sim) partition() {
	h := s.victim()
	h.cutUntil = s.now + s.rng.Int64N(4*second)
}

func (s *sim) move() { s.moveSlots(s.slotOf[s.rng.IntN(len(s.slotOf))]) }

// restart starts a dead host again with a new incarnation.
func (s *sim) restart(h *host) {
	if h.dead {
		h.start(slotWait)
		s.spread()
	}
}

// changeLimit changes, removes or creates a workspace. Three in four workspaces keep their limit for the whole run, so
// that their bound stays sharp.
func (s *sim) changeLimit() {
	w := s.workspaces[len(s.workspaces)-1-s.rng.IntN((len(s.workspaces)+3)/4)]
	switch {
	case w.removed:
		w.removed, w.limit = false, w.Limit
	case s.rng.IntN(4) == 0:
		w.removed, w.limit = true, limit.Limit{}
	default:
		f := []float64{0.5, 1, 2}[s.rng.IntN(3)]
		w.limit = limit.Limit{Rate: w.Limit.Rate * f, Burst: w.Limit.Burst * f}
	}
	w.setLimit(s)
}

func (w *workspace) setLimit(s *sim) {
	w.checker.change(s.now, w.limit)
	w.central.admit(s.now, -1)
	w.central.limit = w.limit
	s.tell()
}

// heal ends all faults: dead hosts start, and limits are those of the configuration again.
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
	s.spread()
}
