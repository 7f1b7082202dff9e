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
	// probeInterval is the time between two questions to a primary; each one holds a slot.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds a question to a target. A full target answers within a few statements.
	probeTimeout = 300 * time.Millisecond
	// fenceTimeout bounds a request to a host to stop using a primary. It includes the grace of planned replacements.
	fenceTimeout = time.Second
	// promoteTimeout bounds an order to promote; the platform answers in a few milliseconds.
	promoteTimeout = time.Second
	// promotedTimeout bounds the wait for a target to lead after it was ordered to.
	promotedTimeout = 2 * time.Second
	// replaceInterval is the time between two steps that wait for others.
	replaceInterval = 30 * time.Millisecond
	// askAgainAfter is the time for which hosts kept a replacement waiting from which a silent primary is asked again.
	askAgainAfter = 500 * time.Millisecond
	// catchUpTimeout bounds the wait of a planned replacement for a replica to receive everything.
	catchUpTimeout = time.Second
)

// supervisor replaces the primary of one service when it has to be.
type supervisor struct {
	*leadership
	service  model.Service
	log      *zap.Logger
	asked    time.Time
	answered time.Time
	status   primacy.Status
	known    bool
	epoch    uint64    // epoch that status belongs to
	lost     time.Time // since when half of the hosts do not reach the primary
	listed   uint64    // closed epoch after whose decision the hosts were listed
}

func (s *supervisor) run(ctx context.Context) {
	for ctx.Err() == nil {
		doc := s.agent.view.Load().docs[s.service]
		if !doc.value.Open && doc.value.Epoch > 0 {
			s.replace(ctx, doc)
		} else if cause := primacy.ReplacementCause(doc.value, s.look(ctx, doc.value)); cause != primacy.CauseNone {
			s.close(ctx, doc, cause)
		}
		sleep(ctx, superviseInterval)
	}
}

// look asks the primary for its state and collects what other hosts say of it.
func (s *supervisor) look(ctx context.Context, doc primacy.Document) primacy.Health {
	v := s.agent.view.Load()
	t, listed := v.targets[doc.Primary]
	view := primacy.Health{Registered: listed, Draining: t.State == catalog.Draining, StartedAt: t.StartedAt, AllHostsReport: true}
	if s.epoch != doc.Epoch {
		s.epoch, s.known, s.answered, s.asked = doc.Epoch, false, boottime.Now(), time.Time{}
	}
	if listed && boottime.Now().Sub(s.asked) >= probeInterval || s.answered.Before(s.asked) {
		s.asked = boottime.Now()
		status, err := s.ask(ctx, t)
		if err == nil {
			s.status, s.known, s.answered = status, true, boottime.Now()
		} else if answeredWithError(err) {
			s.answered = boottime.Now()
		}
	}
	view.StatusKnown, view.IsPrimary, view.Term = s.known, s.status.Primary, s.status.Term
	now := boottime.Now()
	if s.answered.Before(s.asked) {
		view.SilentFor = now.Sub(s.answered)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Draining {
		view.DrainingFor = now.Sub(v.drainingSince[doc.Primary])
	}
	for id := range v.hosts {
		if now.Sub(s.opinions[id].at) > primacy.MaxObservationAge() {
			view.AllHostsReport = false
		}
	}
	for id, o := range s.opinions {
		if id != s.agent.Self.ID && now.Sub(o.at) <= primacy.MaxObservationAge() {
			view.Observations = append(view.Observations, o.byTarget[s.service])
		}
	}
	if !primacy.Unreachable(doc, view) {
		s.lost = time.Time{}
	} else if s.lost.IsZero() {
		s.lost = now
	}
	if !s.lost.IsZero() {
		view.UnreachableFor = now.Sub(s.lost)
	}
	return view
}

func (s *supervisor) ask(ctx context.Context, t catalog.Target) (primacy.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.agent.Prober.Status(ctx, t)
}

// close writes that the primary is being replaced.
func (s *supervisor) close(ctx context.Context, doc versioned[primacy.Document], cause primacy.Cause) {
	next := doc.value
	next.Service, next.Epoch, next.Open, next.Cause = s.service, next.Epoch+1, false, cause
	next.Planned = cause == primacy.CauseDraining
	s.log.Info("primary: replacing", zap.String("target", string(next.Primary)), zap.String("cause", string(cause)),
		zap.Uint64("epoch", next.Epoch))
	s.write(ctx, doc.revision, next)
}

// write stores a document if the stored one has the given revision, and shows it to this host.
func (s *supervisor) write(ctx context.Context, known uint64, doc primacy.Document) bool {
	if !s.valid() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, value := primaryPrefix+string(s.service), mustEncode(doc)
	revision, err := s.agent.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Revision: known}, {Key: leaderKey, Revision: s.fence}},
		Puts:       []metastore.Item{{Key: key, Value: value}}})
	if err != nil {
		s.log.Warn("primary: decision not stored", zap.Uint64("epoch", doc.Epoch), zap.Error(err))
		return false
	}
	event := metastore.Event{Item: metastore.Item{Key: key, Value: value, Revision: revision}}
	if err := s.agent.do(ctx, func(c *control) { c.applyOwn(change{events: []metastore.Event{event}}) }); err != nil {
		s.log.Warn("primary: decision stored, but not in force here in time", zap.Error(err))
	}
	return true
}

// replace replaces the primary of a closed document.
func (s *supervisor) replace(ctx context.Context, doc versioned[primacy.Document]) {
	started := boottime.Now()
	if !s.awaitFenced(ctx, doc.value) {
		return
	}
	fenced := boottime.Now()
	// A primary that was silent a moment ago would only be waited for.
	choice, ok := s.choose(ctx, doc.value, fenced.Sub(started) >= askAgainAfter)
	if !ok {
		return
	}
	next := doc.value
	next.Epoch, next.Open = next.Epoch+1, true
	next.Primary, next.Born, next.Term = choice.Target.ID, choice.Target.StartedAt, choice.Target.Term
	next.Received = choice.Target.Received
	if !choice.AlreadyPrimary {
		term, led := s.promote(ctx, choice.Target, doc.value.Term)
		if !led {
			return
		}
		next.Term = term
	}
	promoted := boottime.Now()
	if !s.write(ctx, doc.revision, next) {
		return
	}
	s.log.Info("primary: replaced", zap.String("target", string(next.Primary)), zap.Uint64("term", next.Term),
		zap.String("cause", string(next.Cause)), zap.Duration("fencing", fenced.Sub(started)),
		zap.Duration("promotion", promoted.Sub(fenced)), zap.Duration("total", boottime.Now().Sub(started)))
	for _, h := range s.agent.view.Load().hostList() {
		go s.tell(h, next)
	}
	s.demoteOld(ctx, doc.value, next.Term)
}

// tell puts a document in force at a host.
func (s *supervisor) tell(h Host, doc primacy.Document) error {
	request := FenceRequest{Incarnation: h.Incarnation, Document: doc}
	return ask(s.agent, h, "Peer.Fence", (*Peer).Fence, request, &struct{}{}, fenceTimeout)
}

// awaitFenced waits until every registered host has stopped using the old primary, or is not registered any more.
func (s *supervisor) awaitFenced(ctx context.Context, doc primacy.Document) bool {
	confirmed := map[model.HostID]model.Incarnation{}
	// A host that registers after this sees the closed decision when it reads the decisions.
	if s.listed != doc.Epoch {
		if err := s.agent.refreshOwn(ctx); err != nil {
			s.log.Warn("primary: hosts not listed", zap.Error(err))
			return false
		}
		s.listed = doc.Epoch
	}
	for ctx.Err() == nil && s.valid() {
		hosts := s.agent.view.Load().hostList()
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
			go func() { results <- result{h, s.tell(h, doc)} }()
		}
		if pending == 0 {
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
		sleep(ctx, replaceInterval)
	}
	return false
}

// choose asks the targets of the service and picks the next primary.
func (s *supervisor) choose(ctx context.Context, doc primacy.Document, askSilent bool) (primacy.Choice, bool) {
	deadline := boottime.Now().Add(catchUpTimeout)
	for ctx.Err() == nil && s.valid() {
		group := s.group(ctx, doc, askSilent)
		choice := primacy.Choose(group)
		if !choice.Found {
			s.log.Info("primary: no target can be promoted", zap.Int("answered", len(group.Candidates)),
				zap.Int("registered", group.TargetCount))
			return choice, false
		}
		if !doc.Cause.WaitsForCatchUp() || choice.AlreadyPrimary || group.CaughtUp(choice.Target) || boottime.Now().After(deadline) {
			s.log.Info("primary: chosen", zap.String("target", string(choice.Target.ID)),
				zap.Bool("leads_already", choice.AlreadyPrimary), zap.Uint64("term", choice.Target.Received.Term),
				zap.Uint64("offset", choice.Target.Received.Offset), zap.Int("answered", len(group.Candidates)))
			return choice, true
		}
		sleep(ctx, replaceInterval)
	}
	return primacy.Choice{}, false
}

// group asks all targets of the service for their state.
func (s *supervisor) group(ctx context.Context, doc primacy.Document, askSilent bool) primacy.Group {
	v := s.agent.view.Load()
	targets := v.of(s.service)
	group := primacy.Group{OldPrimary: doc.Primary, OldStartedAt: doc.Born, OldTerm: doc.Term, Cause: doc.Cause, TargetCount: len(targets),
		SyncReplicas: v.catalog.Services[s.service].SyncReplicas}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, t := range targets {
		if t.ID == doc.Primary && doc.Cause == primacy.CauseUnreachable && !askSilent {
			continue
		}
		wg.Go(func() {
			status, err := s.ask(ctx, t)
			if err != nil {
				s.log.Info("primary: target gave no status", zap.String("target", string(t.ID)), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			group.Candidates = append(group.Candidates, primacy.Candidate{ID: t.ID, StartedAt: t.StartedAt, DataCentre: t.DataCentre,
				Draining: t.State == catalog.Draining, IsPrimary: status.Primary, Term: status.Term,
				Received: status.Received})
		})
	}
	wg.Wait()
	return group
}

// promote orders the promotion of a target and waits until it leads.
func (s *supervisor) promote(ctx context.Context, target primacy.Candidate, oldTerm uint64) (uint64, bool) {
	// An order that is under way when the lease ends could reach the platform after one of the next leader.
	left := s.remaining()
	if left <= 0 {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, min(promoteTimeout, left))
	defer cancel()
	if err := s.agent.Promoter.Promote(call, s.service, target.ID, s.fence); err != nil {
		s.log.Warn("primary: promotion not confirmed", zap.String("target", string(target.ID)), zap.Error(err))
	}
	deadline := boottime.Now().Add(promotedTimeout)
	for ctx.Err() == nil && boottime.Now().Before(deadline) {
		if t, listed := s.agent.view.Load().targets[target.ID]; listed {
			if status, err := s.ask(ctx, t); err == nil && status.Primary && status.Term > oldTerm {
				return status.Term, true
			}
		}
		sleep(ctx, replaceInterval)
	}
	return 0, false
}

// demoteOld makes the old primary a replica at once, if it can be reached. It uses the new term, below which nothing may
// lead.
func (s *supervisor) demoteOld(ctx context.Context, old primacy.Document, term uint64) {
	t, listed := s.agent.view.Load().targets[old.Primary]
	if !listed || t.StartedAt != old.Born {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.agent.Prober.Demote(ctx, t, term); err != nil {
		s.log.Info("primary: old primary not demoted", zap.String("target", string(t.ID)), zap.Error(err))
	}
}

// answeredWithError reports whether the target itself has refused a question.
func answeredWithError(err error) bool {
	var refused interface{ FromTarget() bool }
	return errors.As(err, &refused) && refused.FromTarget()
}
