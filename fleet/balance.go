package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// minCrossing is the assumed round trip between data centres if none has been measured.
const minCrossing = time.Millisecond

// rankTargets returns the targets of a service that may run a read, the preferred ones first.
func (a *Agent) rankTargets(v *clusterView, r frontend.SelectRequest) []model.TargetID {
	targets := v.targetsOf(r.Service)
	if len(targets) == 0 {
		return nil
	}
	candidates := make([]balance.Candidate, 0, len(targets))
	first := rand.IntN(len(targets)) // so that hosts prefer different ones of targets that are expected to be equally fast
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		if t.State == catalog.Draining || v.evacuations.Evacuated(t.DataCentre) ||
			!r.TargetRegion.Allows(t.DataCentre) {
			continue
		}
		c := balance.Candidate{Target: t.ID, Primary: t.ID == r.Primary}
		if t.DataCentre != a.Self.DataCentre {
			c.Crossing = max(minCrossing, v.routing.Crossing)
		}
		candidates = append(candidates, c)
	}
	return a.Server.RankTargets(r.Service, candidates, r.LatencyTarget)
}
