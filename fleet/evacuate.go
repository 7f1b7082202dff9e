package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

// errEvacuated means that a request was not sent because the data centre of the target is evacuated.
var errEvacuated = errors.New("the data centre of the target is evacuated")

// evacuates reports whether this host follows evacuation requests.
func (a *Agent) evacuates() bool { return a.Evacuation.Bound > 0 }

// configurationPrefix returns the prefix under which this host follows the configuration: all keys of the operator if it
// follows evacuation requests as well.
func (a *Agent) configurationPrefix() string {
	if a.evacuates() {
		return a.Decoders.OperatorPrefix
	}
	return a.Decoders.ConfigurationKey
}

// applyOperatorKeys applies changes of the evacuation requests and of the configuration, the former first: a host that
// starts serves as soon as it has a configuration.
func (c *control) applyOperatorKeys(change prefixChange) {
	if c.agent.evacuates() {
		c.applyEvacuations(change)
	}
	c.applyConfiguration(change)
}

// applyEvacuations applies changes of the evacuation requests.
func (c *control) applyEvacuations(change prefixChange) {
	now, before := boottime.Now(), c.view.evacuations
	requested := map[model.DataCentre]bool{}
	for _, e := range change.events {
		dc, isRequest, err := c.agent.Decoders.Evacuation(e.Key)
		switch {
		case err != nil:
			c.agent.Log.Warn("evacuation: key ignored", zap.String("key", e.Key), zap.Error(err))
		case !isRequest:
		case e.Removed:
			c.view.evacuations = c.view.evacuations.Without(dc)
		default:
			requested[dc] = true
			c.view.evacuations = c.view.evacuations.With(dc, now, c.operatorKeys.knownAt())
		}
	}
	if change.complete {
		for _, dc := range c.view.evacuations.DataCentres() {
			if !requested[dc] {
				c.view.evacuations = c.view.evacuations.Without(dc)
			}
		}
	}
	if !slices.Equal(before.DataCentres(), c.view.evacuations.DataCentres()) {
		c.logEvacuations(before, now)
		c.publish()
	}
}

// logEvacuations logs the data centres whose evacuation has begun or ended.
func (c *control) logEvacuations(before evacuation.State, now time.Time) {
	for _, dc := range c.view.evacuations.DataCentres() {
		if before.Evacuated(dc) {
			continue
		}
		targets := 0
		for _, t := range c.view.targets {
			if t.DataCentre == dc {
				targets++
			}
		}
		c.agent.Log.Info("evacuation: requested", zap.String("data_centre", string(dc)), zap.Int("targets", targets),
			zap.Bool("bound_passed", !c.view.evacuations.MayReach(now, dc)))
	}
	for _, dc := range before.DataCentres() {
		if !c.view.evacuations.Evacuated(dc) {
			c.agent.Log.Info("evacuation: withdrawn", zap.String("data_centre", string(dc)),
				zap.Duration("after", now.Sub(before.Since(dc))))
		}
	}
}

// operatorKeysAge remembers until when the operator's keys were known, as of the last two ticks of the control goroutine.
// The value of the last tick may come from a reply whose changes have not been applied yet.
type operatorKeysAge struct{ previous, last time.Time }

// knownAt returns a boot time at which no requests existed other than those applied, or zero if there is none.
func (k operatorKeysAge) knownAt() time.Time { return k.previous }

// trackOperatorKeys records until when the operator's keys are known: the store answers a watch at the latest after
// watchTimeout, and a relayed state is as old as prefixFreshness.
func (c *control) trackOperatorKeys() {
	a := c.agent
	if !a.evacuates() {
		return
	}
	a.followMu.Lock()
	replied := a.followers[a.configurationPrefix()].lastStoreReply
	a.followMu.Unlock()
	known := time.Time{}
	if !replied.IsZero() {
		known = replied.Add(-watchTimeout)
	}
	if relayed := a.lastRelay.Load(); relayed > a.startTime {
		if at := time.Unix(0, relayed).Add(-prefixFreshness); at.After(known) {
			known = at
		}
	}
	c.operatorKeys = operatorKeysAge{previous: c.operatorKeys.last, last: known}
}

// dataCentres returns the data centres of all hosts and targets, sorted.
func (v *clusterView) dataCentres() []model.DataCentre {
	var list []model.DataCentre
	for _, t := range v.targets {
		list = append(list, t.DataCentre)
	}
	for _, h := range v.hosts {
		list = append(list, h.DataCentre)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// observeEvacuation adds the evacuation of the primary's data centre to its health.
func (s *supervisor) observeEvacuation(v *clusterView, primary catalog.Target, health *primacy.Health, now time.Time) {
	if !health.Registered || !v.evacuations.Evacuated(primary.DataCentre) {
		return
	}
	health.Evacuated = true
	health.EvacuatedFor = now.Sub(v.evacuations.Since(primary.DataCentre))
	health.Replaceable = v.evacuations.Replaceable(primary.ID, v.targetsOf(s.service))
}

// blockedByEvacuation reports whether no target of the service may be reached, so that none can be promoted.
func (s *supervisor) blockedByEvacuation() bool {
	v, now := s.agent.view.Load(), boottime.Now()
	targets := v.targetsOf(s.service)
	blocked := len(targets) > 0 && !slices.ContainsFunc(targets, func(t catalog.Target) bool {
		return v.evacuations.MayReach(now, t.DataCentre)
	})
	if blocked != s.evacuationBlocks {
		s.log.Info("evacuation: all targets evacuated", zap.Bool("promotions_stopped", blocked))
	}
	s.evacuationBlocks = blocked
	return blocked
}

// Hosts of earlier versions, and hosts without an evacuation bound, exchange the configuration under its own key. The
// functions below translate between both forms while a fleet is being upgraded.

// addConfigurationRevision adds the revision of the configuration for a relaying host that follows only its key. The
// caller holds followMu.
func (a *Agent) addConfigurationRevision(revisions map[string]uint64) {
	if a.evacuates() {
		revisions[a.Decoders.ConfigurationKey] =
			a.followers[a.configurationPrefix()].items[a.Decoders.ConfigurationKey].Revision
	}
}

// configurationChange returns the change of the configuration since a revision for a host that follows only its key. The
// caller holds followMu.
func (a *Agent) configurationChange(revision uint64) (PrefixState, bool) {
	f := a.followers[a.configurationPrefix()]
	item, stored := f.items[a.Decoders.ConfigurationKey]
	if !stored || item.Revision <= revision {
		return PrefixState{}, false
	}
	return PrefixState{Since: revision, Revision: item.Revision, Items: []metastore.Item{item}}, true
}

// applyRelayedConfiguration applies a configuration that was relayed by a host that follows only its key.
func (a *Agent) applyRelayedConfiguration(ctx context.Context, state PrefixState) {
	f := a.follower(a.configurationPrefix(), (*control).applyOperatorKeys)
	f.mergeItems(ctx, slices.DeleteFunc(state.Items, func(item metastore.Item) bool {
		return item.Key != a.Decoders.ConfigurationKey
	}))
}
