package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/coldstart"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// setColdUntil sets the time until which the target of an entry is cold. A target writes the remaining time with each
// entry; one that is only listed again does not prolong it.
func (c *control) setColdUntil(t *catalog.Target, known catalog.Target, listed bool, now time.Time) {
	switch {
	case t.ColdFor == 0:
	case listed && known.ColdFor == t.ColdFor && known.StartedAt == t.StartedAt:
		t.ColdUntil = known.ColdUntil
	default:
		t.ColdUntil = now.Add(t.ColdFor)
	}
}

// setColdRate tells the server this host's share of the requests to the cold targets of a service. Hosts share them by
// the connections that they may hold to each target.
func (a *Agent) setColdRate(v *clusterView, service model.Service) {
	perSecond := v.catalog.Services[service].ColdPerSecond
	if perSecond <= 0 {
		a.Server.SetColdRate(service, false, coldstart.Rate{})
		return
	}
	hosts := v.connectingHosts(service)
	weights := make([]float64, 0, len(hosts))
	for _, host := range hosts {
		weights = append(weights, v.connectionWeight(service, host))
	}
	own := slices.Index(hosts, a.Self.ID)
	a.Server.SetColdRate(service, true, coldstart.Share(perSecond, weights, own))
}

// coldProbes delays the leader's probes of cold targets.
type coldProbes struct {
	mu   sync.Mutex
	next map[model.TargetID]time.Time // earliest time of the next probe
}

// await waits until a target may be probed again if it is cold.
func (p *coldProbes) await(ctx context.Context, t catalog.Target) {
	now := boottime.Now()
	if !t.Cold(now) {
		return
	}
	p.mu.Lock()
	if p.next == nil {
		p.next = map[model.TargetID]time.Time{}
	}
	maps.DeleteFunc(p.next, func(_ model.TargetID, at time.Time) bool { return !at.After(now) })
	at := now
	if p.next[t.ID].After(now) {
		at = p.next[t.ID]
	}
	p.next[t.ID] = at.Add(coldstart.ProbeInterval)
	p.mu.Unlock()
	sleep(ctx, at.Sub(now))
}
