package fleet

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/guard"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// leftRetention is the time for which the last entry of a target that has left is remembered, so that the store does not bring it
// back. A copy of the store is some seconds old.
const leftRetention = time.Minute

// targetEntries is what the control goroutine knows of the entries of targets beside the targets in use.
type targetEntries struct {
	removed map[model.TargetID]time.Time // targets whose entries have disappeared, with the time
	eras    map[model.TargetID]uint64    // of the entries that were applied
	// outdated holds the entries that the store has from a copy, older than the ones that this host has applied. The targets write
	// them again.
	outdated map[model.TargetID]outdatedEntry
	left     map[model.TargetID]leftTarget
}

type outdatedEntry struct {
	target catalog.Target
	era    uint64
	since  time.Time
}

// leftTarget is a target that was removed, with the time.
type leftTarget struct {
	target catalog.Target
	at     time.Time
}

func newTargetEntries() targetEntries {
	return targetEntries{removed: map[model.TargetID]time.Time{}, eras: map[model.TargetID]uint64{},
		outdated: map[model.TargetID]outdatedEntry{}, left: map[model.TargetID]leftTarget{}}
}

// applyTargets applies changes of the target entries.
func (c *control) applyTargets(change prefixChange) {
	now := boottime.Now()
	listed := map[model.TargetID]bool{}
	for _, e := range change.events {
		name := strings.TrimPrefix(e.Key, c.agent.Decoders.TargetPrefix)
		id := model.TargetID(name)
		if e.Removed {
			c.markRemoved(id, now, e.Revision)
			continue
		}
		var t catalog.Target
		err := guard.Decode(func() (err error) {
			t, err = c.agent.Decoders.Target(name, e.Value)
			return err
		})
		if err != nil {
			c.agent.Log.Warn("targets: entry ignored", zap.String("key", e.Key), zap.Error(err))
			c.markRemoved(id, now, e.Revision)
			continue
		}
		listed[id] = true
		delete(c.entries.removed, id)
		if !c.holdOutdated(t, e.Revision, now) {
			c.applyEntry(t, e.Revision, change.complete, now)
		}
	}
	c.pending.targets = true
	if change.complete {
		for id := range c.view.targets {
			if !listed[id] {
				c.markRemoved(id, now, change.revision)
			}
		}
	}
	c.expireEntries()
	c.publish()
}

// applyEntry applies the entry of a target.
func (c *control) applyEntry(t catalog.Target, revision uint64, listed bool, now time.Time) {
	known, ok := c.view.targets[t.ID]
	c.setColdUntil(&t, known, listed, now)
	if !ok || known != t {
		c.agent.Log.Info("targets: entry applied", zap.String("target", string(t.ID)), zap.Uint64("revision", revision),
			zap.String("service", string(t.Service)), zap.Bool("draining", t.State == catalog.Draining),
			zap.Bool("says_primary", t.ReportsPrimary), zap.Int64("born", t.StartedAt), zap.Int64("sequence", t.Sequence))
	}
	c.view.setTarget(t, now)
	c.entries.eras[t.ID] = metastore.EraOf(revision)
	delete(c.entries.outdated, t.ID)
	delete(c.entries.left, t.ID)
}

// holdOutdated reports whether an entry comes from a copy and is older than the one that this host has applied last. It is applied if
// the target does not write a later one within removalGrace.
func (c *control) holdOutdated(t catalog.Target, revision uint64, now time.Time) bool {
	known, ok := c.view.targets[t.ID]
	if left, recent := c.entries.left[t.ID]; !ok {
		known, ok = left.target, recent
	}
	era := metastore.EraOf(revision)
	if !ok || era <= c.entries.eras[t.ID] || !t.Before(known) {
		return false
	}
	if held, before := c.entries.outdated[t.ID]; before && held.era == era {
		c.entries.outdated[t.ID] = outdatedEntry{t, era, held.since}
		return true
	}
	c.agent.Log.Info("targets: entry from a copy of the store not applied", zap.String("target", string(t.ID)),
		zap.Uint64("revision", revision), zap.Bool("draining", t.State == catalog.Draining), zap.Int64("born", t.StartedAt),
		zap.Int64("sequence", t.Sequence), zap.Int64("known_born", known.StartedAt), zap.Int64("known_sequence", known.Sequence))
	c.entries.outdated[t.ID] = outdatedEntry{t, era, now}
	return true
}

// markRemoved records that the entry of a target has disappeared. A draining target expires at once, unless the store may have lost
// the entry.
func (c *control) markRemoved(id model.TargetID, now time.Time, revision uint64) {
	delete(c.entries.outdated, id)
	t, known := c.view.targets[id]
	if _, marked := c.entries.removed[id]; !known || marked {
		return
	}
	c.entries.removed[id] = now
	if t.State == catalog.Draining && metastore.EraOf(revision) == c.entries.eras[id] {
		c.entries.removed[id] = now.Add(-removalGrace)
	}
}

// expireEntries removes targets whose entries have been missing for removalGrace, and applies entries from a copy that have been the
// latest for as long.
func (c *control) expireEntries() {
	now, changed := boottime.Now(), false
	for id, since := range c.entries.removed {
		if now.Sub(since) >= removalGrace {
			c.agent.Log.Info("targets: removed", zap.String("target", string(id)), zap.Duration("missing", now.Sub(since)))
			c.entries.left[id] = leftTarget{c.view.targets[id], now}
			delete(c.entries.removed, id)
			delete(c.view.targets, id)
			delete(c.view.drainingSince, id)
			changed = true
		}
	}
	for _, e := range c.entries.outdated {
		if now.Sub(e.since) >= removalGrace {
			c.applyEntry(e.target, metastore.RevisionInEra(e.era, 1), false, now)
			changed = true
		}
	}
	for id, l := range c.entries.left {
		if now.Sub(l.at) >= leftRetention {
			delete(c.entries.left, id)
			delete(c.entries.eras, id)
		}
	}
	if changed {
		c.pending.targets = true
		c.publish()
	}
}
