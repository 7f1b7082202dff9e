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
	// maxWatchWait is the maximum wait of a watch call to the store. It bounds the age of the proof that the call renews.
	maxWatchWait = time.Second
	// storeRetryDelay is the delay after a failed call to the platform.
	storeRetryDelay = 200 * time.Millisecond
	// hostListInterval is the interval between reads of the platform's list of hosts.
	hostListInterval = 5 * time.Second
	// rosterPlanInterval is the interval between checks whether the roster needs a change.
	rosterPlanInterval = time.Second
	// registrationInterval replaces rosterPlanInterval while this host is not registered or a share slot is free.
	registrationInterval = 100 * time.Millisecond
)

// syncWithStore keeps the documents and the host list up to date, and maintains the roster, until the context is
// cancelled. The roots of the relay tree watch the store; other hosts poll their parents and read the store only if these
// deliver no proof.
func (s *Server) syncWithStore(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watchDocument(ctx, freshness.Configuration) })
	wg.Go(func() { s.watchDocument(ctx, freshness.Roster) })
	wg.Go(func() { s.pollHostList(ctx) })
	wg.Go(func() { s.maintainRoster(ctx) })
	wg.Wait()
}

// watchDocument applies new versions of one document in the store.
func (s *Server) watchDocument(ctx context.Context, d freshness.Document) {
	var revision uint64 // revision of the last read
	for first := true; ctx.Err() == nil; {
		wait, ok := s.nextWatchWait(d, first)
		if !ok {
			sleep(ctx, storeRetryDelay)
			continue
		}
		sent := time.Now()
		e, err := s.options.Store.Watch(ctx, documentKeys[d], revision, wait)
		s.metrics.CountStoreCall("watch", err)
		if err != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		revision, first = e.Revision, false
		s.controlLoop.post(func(now time.Time) { s.state.applyStoreRead(now, d, sent, e.Value) })
	}
}

// nextWatchWait returns the wait time for the next watch call of a document, and whether this host should make the call.
// The first call does not wait.
func (s *Server) nextWatchWait(d freshness.Document, first bool) (time.Duration, bool) {
	decision := make(chan time.Duration, 1)
	posted := s.controlLoop.post(func(now time.Time) {
		relay := s.state.relay
		switch {
		case first, relay.shouldReadStore(now, s.state.rng):
			decision <- 0
		case relay.upstream.IsRoot():
			decision <- maxWatchWait
		default:
			decision <- -1
		}
	})
	if !posted {
		return 0, false
	}
	wait := <-decision
	return max(wait, 0), wait >= 0
}

// applyStoreRead applies a document read from the store. A document that does not exist there counts as version 0.
func (c *controlState) applyStoreRead(now time.Time, d freshness.Document, sent time.Time, value []byte) {
	apply := c.applyEncodedConfiguration
	if d == freshness.Roster {
		apply = c.applyEncodedRoster
	}
	version, err := apply(now, value)
	if err != nil {
		c.server.log.Error("config: document from the store is not usable", zap.String("document", documentKeys[d]),
			zap.Error(err))
		return
	}
	c.relay.recordStoreRead(now, d, sent, version)
	c.publishSnapshot(now)
}

// applyEncodedConfiguration decodes and activates a configuration, and returns its version. Empty data is version 0.
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

// applyEncodedRoster decodes and activates a roster, and returns its version. Empty data is version 0.
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

// pollHostList reads the platform's list of hosts at every hostListInterval.
func (s *Server) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := s.options.Hosts.Hosts(ctx)
		s.metrics.CountStoreCall("hosts", err)
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

// maintainRoster registers this host in the roster, and updates the roster after changes of the membership.
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

// awaitRosterChange waits for a change of the roster, which may require another change, or for the end of the delay. It
// returns false if the context is done.
func (s *Server) awaitRosterChange(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.rosterChanged:
	case <-ctx.Done():
		return false
	}
	return true
}

// rosterPlanDelay returns the time until the roster is checked again.
func (s *Server) rosterPlanDelay() time.Duration {
	snap := s.snapshot.Load()
	if slices.Contains(snap.hosts.IDs, s.options.Daemon.Host) && snap.freeSlots == 0 {
		return rosterPlanInterval
	}
	return registrationInterval
}

// planRoster returns the next roster version, the reason for it, and whether a change is needed. Each host registers
// itself; other changes are planned only by the first live member, to avoid conflicts. Conflicts are harmless, because the
// roster is written with compare-and-swap.
func (c *controlState) planRoster(now time.Time) (roster.Document, string, bool) {
	d, id := c.server.options.Daemon, uuid.NewString()
	if c.leaving || !c.membershipTable.Ready(now) || !c.relay.isKnown(freshness.Roster) {
		return roster.Document{}, "", false
	}
	current := c.roster
	if current.Version == 0 {
		current = roster.New(roster.DefaultSlotCount)
	}
	self := roster.Host{ID: d.Host, Incarnation: c.server.incarnation, DataCentre: d.DataCentre}
	if next, changed, err := roster.Register(current, self, id); err != nil || changed {
		return next, "this host registers", err == nil
	}
	if live := c.membershipTable.LiveMembers(); len(live) == 0 || live[0].ID != d.Host {
		return roster.Document{}, "", false
	}
	return roster.Plan(current, c.observeRoster(now), id)
}

// rosterStates maps membership states to roster states.
var rosterStates = map[membership.MemberState]roster.MemberState{
	membership.StateAlive:   roster.StateAlive,
	membership.StateSuspect: roster.StateSuspect,
	membership.StateDead:    roster.StateDead,
	membership.StateLeft:    roster.StateLeft,
}

func (c *controlState) observeRoster(now time.Time) roster.FleetView {
	observation := roster.FleetView{UnchangedFor: now.Sub(c.rosterAppliedAt), HostList: c.listedHosts}
	for _, m := range c.membershipTable.Members() {
		if state, ok := rosterStates[m.State]; ok {
			observation.Members = append(observation.Members, roster.Member{ID: m.ID, State: state, StateAge: now.Sub(m.StateSince)})
		}
	}
	return observation
}

// swapRoster writes a new roster version to the store and reports whether the write is known to have succeeded. A lost
// answer needs no handling: the next read of the store shows which version was written.
func (s *Server) swapRoster(ctx context.Context, next roster.Document, reason string) bool {
	data, err := next.Encode()
	if err != nil {
		s.log.Error("roster: failed to encode version", zap.Error(err))
		return false
	}
	e, err := s.options.Store.Get(ctx, kvclient.RosterKey)
	s.metrics.CountStoreCall("get", err)
	if err != nil || !precedes(e.Value, next) {
		return false
	}
	change, err := s.announceChange(ctx, freshness.Roster, next.Version)
	if err != nil {
		s.log.Warn("roster: change abandoned", zap.String("reason", reason), zap.Error(err))
		return false
	}
	swapped, err := s.options.Store.CompareAndSwap(ctx, kvclient.RosterKey, e.Revision, data)
	s.metrics.CountStoreCall("swap", err)
	if err == nil && !swapped {
		s.cancelChange(change)
	}
	s.log.Info("roster: change sent to the store", zap.Uint64("version", next.Version), zap.String("reason", reason),
		zap.Bool("swapped", swapped), zap.Error(err))
	return swapped
}

// precedes reports whether the stored roster is the predecessor of the next version.
func precedes(stored []byte, next roster.Document) bool {
	if len(stored) == 0 {
		return next.Version == 1
	}
	d, err := roster.Parse(stored)
	return err == nil && d.Version+1 == next.Version
}

// handleAnnouncement records an announcement and reports whether this host acknowledges it.
func (s *Server) handleAnnouncement(a freshness.Announcement) bool {
	acknowledged := make(chan bool, 1)
	if !s.controlLoop.post(func(now time.Time) { acknowledged <- s.state.relay.acknowledge(now, a) }) {
		return false
	}
	return <-acknowledged
}
