package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/kvclient"
	"github.com/waxwingspindle/waxwingspindle/membership"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

const (
	// watchWait is the longest time that a watch of the store waits. It bounds the age of the proof that it renews.
	maxWatchWait = time.Second
	// followPause is the pause after a failed call of the store.
	storeRetryDelay = 200 * time.Millisecond
	// hostListInterval is the time between two reads of the platform's list of hosts.
	hostListInterval = 5 * time.Second
	// planInterval is the time between two looks at whether the roster needs a change.
	rosterPlanInterval = time.Second
	// registerInterval is the same while this host is not registered or a share slot is free.
	registrationInterval = 100 * time.Millisecond
)

// follow keeps the documents of this host up to date until the context ends. The roots of the relay tree watch the
// store; the other hosts poll their parents and read the store only when these bring no proof.
func (s *Server) syncWithStore(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchDocument(ctx, freshness.Configuration) })
	wg.Go(func() { s.watchDocument(ctx, freshness.Roster) })
	wg.Go(func() { s.pollHostList(ctx) })
	wg.Go(func() { s.maintainRoster(ctx) })
	wg.Wait()
}

// watch follows one document in the store.
func (s *Server) watchDocument(ctx context.Context, d freshness.Document) {
	var revision uint64 // revision that this host has
	for first := true; ctx.Err() == nil; {
		wait, ok := s.nextWatchWait(d, first)
		if !ok {
			sleep(ctx, storeRetryDelay)
			continue
		}
		sent := time.Now()
		e, err := s.options.Store.Watch(ctx, documentKeys[d], revision, wait)
		s.metrics.StoreCall("watch", err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		revision, first = e.Revision, false
		s.controlLoop.post(func(now time.Time) { s.state.applyStoreRead(now, d, sent, e.Value) })
	}
}

// watchWait returns how long the next watch of a document waits, and whether this host should make one. The first one
// does not wait.
func (s *Server) nextWatchWait(d freshness.Document, first bool) (time.Duration, bool) {
	answer := make(chan time.Duration, 1)
	posted := s.controlLoop.post(func(now time.Time) {
		p := s.state.relay
		switch {
		case first, p.shouldReadStore(now, s.state.rng):
			answer <- 0
		case p.upstream.Root():
			answer <- maxWatchWait
		default:
			answer <- -1
		}
	})
	if !posted {
		return 0, false
	}
	wait := <-answer
	return max(wait, 0), wait >= 0
}

// takeRead takes over what a call of the store returned. A document that is missing in the store is version 0.
func (c *controlState) applyStoreRead(now time.Time, d freshness.Document, sent time.Time, value []byte) {
	apply := c.applyEncodedConfiguration
	if d == freshness.Roster {
		apply = c.applyEncodedRoster
	}
	version, err := apply(now, value)
	if err != nil {
		c.server.log.Error("config: document in the store cannot be used", zap.String("document", documentKeys[d]), zap.Error(err))
		return
	}
	c.relay.recordStoreRead(now, d, sent, version)
	c.publishSnapshot(now)
}

// takeConfiguration puts a newer configuration in force and returns the version of the data. Empty data is version 0.
func (c *controlState) applyEncodedConfiguration(now time.Time, data []byte) (uint64, error) {
	if len(data) == 0 {
		return 0, nil
	}
	d, err := config.Decode(data)
	if err != nil {
		return 0, err
	}
	return d.Version, c.applyConfiguration(now, d)
}

// takeRoster puts a newer roster in force and returns the version of the data. Empty data is version 0.
func (c *controlState) applyEncodedRoster(now time.Time, data []byte) (uint64, error) {
	if len(data) == 0 {
		return 0, nil
	}
	d, err := roster.Parse(data)
	if err != nil {
		return 0, err
	}
	c.applyRoster(now, d)
	return d.Version, nil
}

// readHostList follows the platform's list of hosts.
func (s *Server) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := s.options.Hosts.Hosts(ctx)
		s.metrics.StoreCall("hosts", err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		listed := make([]membership.ListedHost, len(list))
		for i, h := range list {
			listed[i] = membership.ListedHost{ID: h.ID, DataCentre: h.DataCentre, RPCAddress: h.Address,
				GossipAddress: h.Address, Leaving: h.State == kvclient.HostLeaving}
		}
		s.controlLoop.post(func(now time.Time) { s.state.setHostList(now, listed) })
		sleep(ctx, hostListInterval)
	}
}

// maintainRoster registers this host, and makes the changes of the roster that the members call for.
func (s *Server) maintainRoster(ctx context.Context) {
	for s.awaitRosterChange(ctx, s.rosterPlanDelay()) {
		var next roster.Document
		var reason string
		changed := false
		planned := make(chan struct{})
		posted := s.controlLoop.post(func(now time.Time) {
			next, reason, changed = s.state.planRoster(now)
			close(planned)
		})
		if !posted {
			return
		}
		<-planned
		if changed && !s.swapRoster(ctx, next, reason) {
			sleep(ctx, rosterPlanInterval)
		}
	}
}

// awaitRoster waits until the roster changes, which may call for another change at once, or the pause is over. It reports
// whether the context is still alive.
func (s *Server) awaitRosterChange(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.rosterChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

// planPause returns the time to the next look at the roster.
func (s *Server) rosterPlanDelay() time.Duration {
	snap := s.snapshot.Load()
	if slices.Contains(snap.hosts.IDs, s.options.Daemon.Host) && snap.freeSlots == 0 {
		return rosterPlanInterval
	}
	return registrationInterval
}

// planRoster returns the next roster, when one is called for. A host registers itself; other changes are planned by the
// first live member only, so that hosts seldom race. Races are harmless, because compare-and-swap decides them.
func (c *controlState) planRoster(now time.Time) (roster.Document, string, bool) {
	d, id := c.server.options.Daemon, uuid.NewString()
	if c.leaving || !c.membershipTable.Ready(now) || !c.relay.isKnown(freshness.Roster) {
		return roster.Document{}, "", false
	}
	current := c.roster
	if current.Version == 0 {
		current = roster.New(roster.DefaultSlots)
	}
	self := roster.Host{ID: d.Host, Incarnation: c.server.incarnation, DataCentre: d.DataCentre}
	if next, changed, err := roster.Register(current, self, id); err != nil || changed {
		return next, "this host registers", err == nil
	}
	if live := c.membershipTable.Live(); len(live) == 0 || live[0].ID != d.Host {
		return roster.Document{}, "", false
	}
	return roster.Plan(current, c.observeRoster(now), id)
}

// rosterStates maps the states of members to those of the roster.
var rosterStates = map[membership.State]roster.State{
	membership.StateAlive:   roster.Alive,
	membership.StateSuspect: roster.Suspect,
	membership.StateDead:    roster.Dead,
	membership.StateLeft:    roster.Left,
}

func (c *controlState) observeRoster(now time.Time) roster.Observation {
	observation := roster.Observation{Unchanged: now.Sub(c.rosterAppliedAt), Platform: c.listedHosts}
	for _, m := range c.membershipTable.Members() {
		if state, ok := rosterStates[m.State]; ok {
			observation.Members = append(observation.Members, roster.Member{ID: m.ID, State: state, For: now.Sub(m.Since)})
		}
	}
	return observation
}

// swapRoster puts a new version of the roster into the store and reports whether it is there. A lost answer needs no
// care: the next look at the store shows which version won.
func (s *Server) swapRoster(ctx context.Context, next roster.Document, reason string) bool {
	data, err := next.Encode()
	if err != nil {
		s.log.Error("roster: version cannot be encoded", zap.Error(err))
		return false
	}
	e, err := s.options.Store.Get(ctx, kvclient.KeyRoster)
	s.metrics.StoreCall("get", err)
	if err != nil || !precedes(e.Value, next) {
		return false
	}
	change, err := s.announceChange(ctx, freshness.Roster, next.Version)
	if err != nil {
		s.log.Warn("roster: change not made", zap.String("reason", reason), zap.Error(err))
		return false
	}
	swapped, err := s.options.Store.Swap(ctx, kvclient.KeyRoster, e.Revision, data)
	s.metrics.StoreCall("swap", err)
	if err == nil && !swapped {
		s.cancelChange(change)
	}
	s.log.Info("roster: change sent to the store", zap.Uint64("version", next.Version), zap.String("reason", reason),
		zap.Bool("swapped", swapped), zap.Error(err))
	return swapped
}

// precedes reports whether the stored roster is the one that the next version was computed from.
func precedes(stored []byte, next roster.Document) bool {
	if len(stored) == 0 {
		return next.Version == 1
	}
	d, err := roster.Parse(stored)
	return err == nil && d.Version+1 == next.Version
}

// announced takes note of an announcement.
func (s *Server) handleAnnouncement(a freshness.Announcement) bool {
	acknowledged := make(chan bool, 1)
	if !s.controlLoop.post(func(now time.Time) { acknowledged <- s.state.relay.acknowledge(now, a) }) {
		return false
	}
	return <-acknowledged
}
