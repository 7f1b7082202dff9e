package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
)

const (
	// probeInterval is the interval between probes of a primary. Each probe occupies a slot.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds a probe of a target. A fully loaded target answers within a few statements.
	probeTimeout = 300 * time.Millisecond
	// fenceTimeout bounds a fence request to a host. It includes the grace period of planned replacements.
	fenceTimeout = time.Second
	// promoteCallTimeout bounds a promotion request. The platform replies in a few milliseconds.
	promoteCallTimeout = time.Second
	// promotionTimeout bounds the wait for a target to become primary after the promotion request.
	promotionTimeout = 2 * time.Second
	// replacePollInterval is the interval between polls for the next step of a replacement or of a change of leader.
	replacePollInterval = 30 * time.Millisecond
	// reprobeAfter is the duration of fencing after which a primary that did not answer is probed again.
	reprobeAfter = 500 * time.Millisecond
	// catchUpTimeout bounds the wait of a replacement for a replica to receive everything that the old primary has.
	catchUpTimeout = time.Second
)

// supervisor monitors the primary of one service and replaces it when needed.
type supervisor struct {
	*leadership
	service          model.Service
	log              *zap.Logger
	probedAt         time.Time
	answeredAt       time.Time
	status           primacy.Status
	statusKnown      bool
	statusEpoch      uint64    // epoch that status belongs to
	unreachableSince time.Time // since when at least half of the hosts have not reached the primary
	listedEpoch      uint64    // epoch of the last closed document for which the hosts were listed
	// unresolvedRevision is the revision of the last document whose successor was written without a reply, or 0.
	unresolvedRevision uint64
	orderedEpoch       uint64 // epoch of the last closed document for which a promotion was requested
	closedEpoch        uint64 // epoch of the last closed document
	closedAt           time.Time
	copiesCheckedAt    time.Time // last attempt to record the copies
	coldProbes         coldProbes
	evacuationBlocks   bool // no target may be reached, as logged last
}

func (s *supervisor) run(ctx context.Context) {
	for ctx.Err() == nil {
		doc := s.agent.view.Load().documents[s.service]
		if !doc.value.Open && doc.value.Epoch > 0 {
			if s.blockedByEvacuation() {
				sleep(ctx, superviseInterval)
				continue
			}
			s.replacePrimary(ctx, doc)
		} else if cause := primacy.ReplacementCause(doc.value, s.observe(ctx, doc.value)); cause != primacy.CauseNone {
			s.close(ctx, doc, cause)
		} else {
			s.recordCopies(ctx, doc)
		}
		sleep(ctx, superviseInterval)
	}
}

// observe probes the primary if a probe is due, and combines the result with the observations of other hosts.
func (s *supervisor) observe(ctx context.Context, doc primacy.Document) primacy.Health {
	v := s.agent.view.Load()
	t, registered := v.targets[doc.Primary]
	health := primacy.Health{Registered: registered, Draining: t.State == catalog.Draining, StartedAt: t.StartedAt}
	if s.statusEpoch != doc.Epoch {
		s.statusEpoch, s.statusKnown, s.answeredAt, s.probedAt = doc.Epoch, false, boottime.Now(), time.Time{}
	}
	if registered && boottime.Now().Sub(s.probedAt) >= probeInterval || s.answeredAt.Before(s.probedAt) {
		s.probedAt = boottime.Now()
		status, err := s.probe(ctx, t)
		if err == nil {
			s.status, s.statusKnown, s.answeredAt = status, true, boottime.Now()
		} else if isTargetRefusal(err) || errors.Is(err, errEvacuated) {
			s.answeredAt = boottime.Now()
		}
	}
	health.StatusKnown, health.IsPrimary, health.Term = s.statusKnown, s.status.Primary, s.status.Term
	now := boottime.Now()
	s.observeEvacuation(v, t, &health, now)
	if s.answeredAt.Before(s.probedAt) {
		health.SilentFor = now.Sub(s.answeredAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if health.Draining {
		health.DrainingFor = now.Sub(v.drainingSince[doc.Primary])
	}
	health.AllHostsReport = s.allHostsReport(v, now) && !v.settling // a planned replacement would wait with its primary closed
	for id, o := range s.reports {
		if observation, observes := o.byService[s.service]; observes && id != s.agent.Self.ID &&
			now.Sub(o.at) <= primacy.MaxObservationAge() {
			health.Observations = append(health.Observations, observation)
		}
	}
	if !primacy.Unreachable(doc, health) {
		s.unreachableSince = time.Time{}
	} else if s.unreachableSince.IsZero() {
		s.unreachableSince = now
	}
	if !s.unreachableSince.IsZero() {
		health.UnreachableFor = now.Sub(s.unreachableSince)
	}
	return health
}

// allHostsReport reports whether all registered hosts have reported recently. The caller holds mu.
func (term *leadership) allHostsReport(v *clusterView, now time.Time) bool {
	if v == term.reporting.view && !now.After(term.reporting.until) {
		return true // each service asks ten times a second
	}
	until := now.Add(primacy.MaxObservationAge())
	for id := range v.hosts {
		expiry := term.reports[id].at.Add(primacy.MaxObservationAge())
		if now.After(expiry) {
			return false
		}
		if expiry.Before(until) {
			until = expiry
		}
	}
	term.reporting.view, term.reporting.until = v, until
	return true
}

func (s *supervisor) probe(ctx context.Context, t catalog.Target) (primacy.Status, error) {
	if !s.agent.view.Load().evacuations.MayReach(boottime.Now(), t.DataCentre) {
		return primacy.Status{}, errEvacuated
	}
	if s.agent.view.Load().catalog.Services[s.service].ColdPerSecond > 0 {
		s.coldProbes.await(ctx, t)
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.agent.Prober.Status(ctx, t)
}

// close writes a closed document, which starts the replacement of the primary.
func (s *supervisor) close(ctx context.Context, doc versioned[primacy.Document], cause primacy.Cause) {
	next := doc.value
	next.Service, next.Epoch, next.Open, next.Cause = s.service, next.Epoch+1, false, cause
	next.Planned = cause.Planned()
	s.log.Info("primary: replacing", zap.String("target", string(next.Primary)), zap.String("cause", string(cause)),
		zap.Uint64("epoch", next.Epoch))
	s.writeDocument(ctx, doc.revision, next)
}

// writeDocument stores a document if the stored one has the expected revision, and applies it on this host.
func (s *supervisor) writeDocument(ctx context.Context, expectedRevision uint64, doc primacy.Document) bool {
	if !s.leaseValid() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, value := primaryPrefix+string(s.service), mustEncode(doc)
	conditions := []metastore.Condition{{Key: key, Revision: expectedRevision}, {Key: leaderKey, Revision: s.fence}}
	if metastore.EraOf(s.fence) > 0 {
		// The key is written at the beginning of each era, so that a write of an earlier one cannot take effect after that.
		conditions = append(conditions, metastore.Condition{Key: eraKey, Revision: s.agent.view.Load().era.revision})
	}
	revision, err := s.agent.Store.Commit(ctx, metastore.Txn{Conditions: conditions,
		Puts: []metastore.Item{{Key: key, Value: value}}})
	if err != nil {
		if !errors.Is(err, metastore.ErrConflict) && !errors.Is(err, metastore.ErrNotExecuted) {
			s.unresolvedRevision = expectedRevision
		}
		s.log.Warn("primary: decision not stored", zap.Uint64("epoch", doc.Epoch), zap.Bool("open", doc.Open),
			zap.Uint64("expected_revision", expectedRevision), zap.Error(err))
		return false
	}
	event := metastore.Event{Item: metastore.Item{Key: key, Value: value, Revision: revision}}
	if err := s.agent.runAndWait(ctx, func(c *control) {
		c.applyControlKeys(prefixChange{events: []metastore.Event{event}})
	}); err != nil {
		s.log.Warn("primary: decision stored, but not applied here in time", zap.Error(err))
	}
	return true
}

// replacePrimary replaces the primary of a closed document.
func (s *supervisor) replacePrimary(ctx context.Context, doc versioned[primacy.Document]) {
	if doc.revision != 0 && doc.revision == s.unresolvedRevision {
		// The decision that was written last may still be stored, and would open its target to the hosts after the promotion of
		// another one. It cannot be once the document has another revision.
		s.close(ctx, doc, doc.value.Cause)
		return
	}
	started := boottime.Now()
	if !s.awaitFenced(ctx, doc.value) {
		return
	}
	fenced := boottime.Now()
	// A primary that was silent moments ago would only delay the choice until its probe times out.
	choice, ok := s.choosePrimary(ctx, doc.value, fenced.Sub(started) >= reprobeAfter)
	if !ok {
		return
	}
	if choice.HandsOver {
		s.promote(ctx, choice.Target, doc.value.Term)
		return // the next attempt promotes a target that has received its commits
	}
	next := doc.value
	next.Epoch, next.Open = next.Epoch+1, true
	next.Primary, next.Born, next.Term = choice.Target.ID, choice.Target.StartedAt, choice.Target.Term
	next.Received, next.Copies = choice.Target.Received, doc.value.CopiesAfter(choice.Target.ID)
	if !choice.AlreadyPrimary {
		term, promotedInTime := s.promote(ctx, choice.Target, doc.value.Term)
		if !promotedInTime {
			return
		}
		next.Term = term
	}
	promoted := boottime.Now()
	if !s.writeDocument(ctx, doc.revision, next) {
		return
	}
	s.log.Info("primary: replaced", zap.String("target", string(next.Primary)), zap.Uint64("term", next.Term),
		zap.String("cause", string(next.Cause)), zap.Duration("fencing", fenced.Sub(started)),
		zap.Duration("promotion", promoted.Sub(fenced)), zap.Duration("total", boottime.Now().Sub(started)))
	for _, h := range s.agent.view.Load().sortedHosts() {
		go s.sendDocument(h, next)
	}
	s.demoteOldPrimary(ctx, doc.value, next.Term)
}

// sendDocument puts a document into effect on a host.
func (s *supervisor) sendDocument(h Host, doc primacy.Document) error {
	request := FenceRequest{Incarnation: h.Incarnation, Document: doc}
	err := callHost(s.agent, h, "Peer.FenceInEra", (*Peer).FenceInEra, EraFenceRequest{metastore.EraOf(s.fence), request}, &struct{}{},
		fenceTimeout)
	if isUnknownMethod(err) { // a host of an earlier version
		err = callHost(s.agent, h, "Peer.Fence", (*Peer).Fence, request, &struct{}{}, fenceTimeout)
	}
	return err
}

// awaitFenced waits until every registered host has stopped using the old primary or is no longer registered. It
// reports false if the hosts cannot be listed or the lease ends first.
func (s *supervisor) awaitFenced(ctx context.Context, doc primacy.Document) bool {
	if doc.First() {
		return true
	}
	confirmed := map[model.HostID]model.Incarnation{}
	// A host that registers after this list reads the closed document during its registration.
	if s.listedEpoch != doc.Epoch {
		if err := s.agent.refreshControlKeys(ctx); err != nil {
			s.log.Warn("primary: listing hosts failed", zap.Error(err))
			return false
		}
		s.listedEpoch = doc.Epoch
	}
	for ctx.Err() == nil && s.leaseValid() {
		hosts := s.agent.view.Load().sortedHosts()
		type result struct {
			host Host
			err  error
		}
		results := make(chan result, len(hosts))
		pending := 0
		for _, h := range hosts {
			if confirmed[h.ID] == h.Incarnation || h.Fenced[s.service] >= doc.Epoch {
				continue
			}
			pending++
			go func() { results <- result{h, s.sendDocument(h, doc)} }()
		}
		if pending == 0 && !s.agent.view.Load().settling {
			return true
		}
		for range pending {
			r := <-results
			if r.err == nil {
				confirmed[r.host.ID] = r.host.Incarnation
			} else {
				s.log.Info("primary: host has not confirmed", zap.String("host", string(r.host.ID)), zap.Error(r.err))
			}
		}
		sleep(ctx, replacePollInterval)
	}
	return false
}

// choosePrimary probes the targets of the service and selects the next primary. It reports false if no target can be
// promoted or this host may no longer replace primaries.
func (s *supervisor) choosePrimary(ctx context.Context, doc primacy.Document, probeSilent bool) (primacy.Choice, bool) {
	deadline, waiting := boottime.Now().Add(catchUpTimeout), false
	for ctx.Err() == nil && s.leaseValid() {
		group := s.collectGroup(ctx, doc, probeSilent)
		choice := primacy.Choose(group)
		if !choice.Found && !choice.AwaitsCatchUp && !probeSilent {
			probeSilent = true // the silent primary may be the only one that can go on
			continue
		}
		if choice.AwaitsCatchUp {
			if !waiting {
				s.log.Info("primary: waiting for the commits of a draining target", zap.String("target", string(choice.Target.ID)),
					zap.Uint64("offset", choice.Target.Received.Offset), zap.Uint64("epoch", doc.Epoch))
			}
			waiting = true
			sleep(ctx, replacePollInterval)
			continue
		}
		if !choice.Found {
			s.log.Info("primary: no target can be promoted", zap.Int("answered", len(group.Candidates)),
				zap.Int("unanswered_replicas", group.UnansweredReplicas), zap.Int("replicas", group.ReplicaCount),
				zap.Any("terms", termsOf(group.Candidates)), zap.Uint64("old_term", doc.Term))
			return choice, false
		}
		if !doc.Cause.WaitsForCatchUp() || choice.AlreadyPrimary ||
			group.CaughtUp(choice.Target) && !group.WarmBehind(choice.Target) || boottime.Now().After(deadline) {
			s.log.Info("primary: chosen", zap.String("target", string(choice.Target.ID)),
				zap.Bool("leads_already", choice.AlreadyPrimary), zap.Bool("hands_over", choice.HandsOver),
				zap.Uint64("term", choice.Target.Received.Term), zap.Uint64("offset", choice.Target.Received.Offset),
				zap.Int("answered", len(group.Candidates)))
			return choice, true
		}
		sleep(ctx, replacePollInterval)
	}
	return primacy.Choice{}, false
}

// collectGroup probes all targets of the service concurrently.
func (s *supervisor) collectGroup(ctx context.Context, doc primacy.Document, probeSilent bool) primacy.Group {
	v := s.agent.view.Load()
	group := primacy.Group{OldPrimary: doc.Primary, OldStartedAt: doc.Born, OldTerm: doc.Term, OldReceived: doc.Received, Cause: doc.Cause,
		SyncReplicas: v.catalog.Services[s.service].SyncReplicas, Copies: doc.Copies,
		PromotionOrdered: s.orderedEpoch == doc.Epoch, ClosedFor: s.closedFor(doc.Epoch)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, t := range v.targetsOf(s.service) {
		group.Registered = append(group.Registered, t.ID)
		if t.ID != doc.Primary {
			group.ReplicaCount++
		}
		if !v.evacuations.MayReach(boottime.Now(), t.DataCentre) {
			continue
		}
		if t.ID == doc.Primary && doc.Cause == primacy.CauseUnreachable && !probeSilent {
			continue
		}
		wg.Go(func() {
			status, err := s.probe(ctx, t)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.log.Info("primary: probe failed", zap.String("target", string(t.ID)), zap.Error(err))
				if t.ID != doc.Primary {
					group.UnansweredReplicas++
				}
				return
			}
			group.Candidates = append(group.Candidates, primacy.Candidate{ID: t.ID, StartedAt: t.StartedAt,
				DataCentre: t.DataCentre, Draining: t.State == catalog.Draining,
				Evacuated: v.evacuations.Evacuated(t.DataCentre), Cold: t.Cold(boottime.Now()), IsPrimary: status.Primary,
				Term: status.Term, Received: status.Received})
		})
	}
	wg.Wait()
	return group
}

// closedFor returns the time for which this host has known the closed document of an epoch.
func (s *supervisor) closedFor(epoch uint64) time.Duration {
	now := boottime.Now()
	if s.closedEpoch != epoch {
		s.closedEpoch, s.closedAt = epoch, now
	}
	return now.Sub(s.closedAt)
}

// termsOf returns the terms that the candidates hold, for logs.
func termsOf(candidates []primacy.Candidate) map[model.TargetID]uint64 {
	terms := make(map[model.TargetID]uint64, len(candidates))
	for _, c := range candidates {
		terms[c.ID] = c.Term
	}
	return terms
}

// orderPromotion requests the promotion of a target and waits for the answer of the platform. It reports false if this host may not
// order promotions. Otherwise the target may become the primary, also without an answer.
func (s *supervisor) orderPromotion(ctx context.Context, target primacy.Candidate) bool {
	// A request that arrives after the end of the lease could reach the platform after one of the next leader.
	remaining, allowed := s.beginOrder()
	if !allowed {
		return false
	}
	defer s.orders.Done()
	s.orderedEpoch = s.agent.view.Load().documents[s.service].value.Epoch
	ctx, cancel := context.WithTimeout(ctx, min(promoteCallTimeout, remaining))
	defer cancel()
	started := boottime.Now()
	s.log.Info("primary: ordering promotion", zap.String("target", string(target.ID)), zap.Uint64("epoch", s.orderedEpoch),
		zap.Duration("lease_remaining", remaining))
	if err := s.agent.Promoter.Promote(ctx, s.service, target.ID, s.fence); err != nil {
		s.log.Warn("primary: promotion not confirmed", zap.String("target", string(target.ID)),
			zap.Duration("took", boottime.Now().Sub(started)), zap.Duration("lease_remaining", s.remainingLease()), zap.Error(err))
	}
	return true
}

// promote orders the promotion of a target, waits until it is the primary and returns its term. It reports false if this host may
// not order promotions or the target does not become the primary within promotionTimeout.
func (s *supervisor) promote(ctx context.Context, target primacy.Candidate, oldTerm uint64) (uint64, bool) {
	if !s.orderPromotion(ctx, target) {
		return 0, false
	}
	deadline := boottime.Now().Add(promotionTimeout)
	for ctx.Err() == nil && boottime.Now().Before(deadline) {
		if t, registered := s.agent.view.Load().targets[target.ID]; registered {
			if status, err := s.probe(ctx, t); err == nil && status.Primary && status.Term > oldTerm {
				return status.Term, true
			}
		}
		sleep(ctx, replacePollInterval)
	}
	return 0, false
}

// demoteOldPrimary demotes the old primary immediately if it is reachable. The request names the new term, and only a
// primary of a lower term becomes a replica.
func (s *supervisor) demoteOldPrimary(ctx context.Context, old primacy.Document, term uint64) {
	t, registered := s.agent.view.Load().targets[old.Primary]
	if !registered || t.StartedAt != old.Born ||
		!s.agent.view.Load().evacuations.MayReach(boottime.Now(), t.DataCentre) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.agent.Prober.Demote(ctx, t, term); err != nil {
		s.log.Info("primary: old primary not demoted", zap.String("target", string(t.ID)), zap.Error(err))
	}
}

// isTargetRefusal reports whether the error is a refusal by the target itself.
func isTargetRefusal(err error) bool {
	var refused interface{ FromTarget() bool }
	return errors.As(err, &refused) && refused.FromTarget()
}
