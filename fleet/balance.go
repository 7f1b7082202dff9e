package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// minCrossing is the assumed round trip between data centres if none has been measured.
const minCrossing = time.Millisecond

// targetBalancer chooses the targets of reads. It holds what this host knows about the targets of each service.
type targetBalancer struct {
	mu       sync.Mutex
	rng      *rand.Rand
	trackers map[model.Service]*balance.Tracker
}

func newTargetBalancer() *targetBalancer {
	return &targetBalancer{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		trackers: map[model.Service]*balance.Tracker{}}
}

// tracker returns the tracker of a service. The caller holds b.mu.
func (b *targetBalancer) tracker(service model.Service) *balance.Tracker {
	t := b.trackers[service]
	if t == nil {
		t = balance.NewTracker()
		b.trackers[service] = t
	}
	return t
}

// rank returns the targets that may run a read, the preferred ones first.
func (b *targetBalancer) rank(r frontend.SelectRequest, candidates []balance.Candidate) []model.TargetID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tracker(r.Service).Rank(boottime.Now(), b.rng, candidates, r.LatencyTarget)
}

// started records that a statement is sent to a target.
func (b *targetBalancer) started(service model.Service, target model.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker(service).Started(target)
}

// finished records the outcome of a statement, and the load of its target if it is known.
func (b *targetBalancer) finished(service model.Service, target model.TargetID, outcome concurrency.Outcome,
	load balance.Load, took time.Duration) balance.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, t := boottime.Now(), b.tracker(service)
	if load.Limit > 0 {
		t.Report(now, target, load)
	}
	return t.Finished(now, target, outcome, took)
}

// rankTargets returns the targets of a service that may run a read, the preferred ones first.
func (a *Agent) rankTargets(v *clusterView, r frontend.SelectRequest) []model.TargetID {
	var candidates []balance.Candidate
	for _, t := range v.targets {
		if t.Service != r.Service || t.State == catalog.Draining || v.evacuations.Evacuated(t.DataCentre) ||
			!r.TargetRegion.Allows(t.DataCentre) {
			continue
		}
		c := balance.Candidate{Target: t.ID, Primary: t.ID == r.Primary}
		if t.DataCentre != a.Self.DataCentre {
			c.Crossing = max(minCrossing, v.routing.Crossing)
		}
		candidates = append(candidates, c)
	}
	return a.balancer.rank(r, candidates)
}

// TargetStarted implements frontend.Forwarder.
func (a *Agent) TargetStarted(service model.Service, target model.TargetID) {
	a.balancer.started(service, target)
}

// TargetFinished implements frontend.Forwarder.
func (a *Agent) TargetFinished(service model.Service, target model.TargetID, outcome concurrency.Outcome, load balance.Load,
	took time.Duration) {
	switch a.balancer.finished(service, target, outcome, load, took) {
	case balance.TakenOut:
		a.Log.Warn("balance: target taken out", zap.String("service", string(service)), zap.String("target", string(target)),
			zap.Stringer("outcome", outcome))
	case balance.Returned:
		a.Log.Info("balance: target used again", zap.String("service", string(service)), zap.String("target", string(target)))
	}
}
