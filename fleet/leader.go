package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/share"
)

const (
	// superviseInterval is the time between two looks at the primary of a service.
	superviseInterval = 100 * time.Millisecond
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

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// leadership is one term of this host as the leader.
type leadership struct {
	agent *Agent
	lease metastore.Lease
	fence uint64 // revision at which this host became the leader
	stop  context.CancelFunc

	mu       sync.Mutex
	until    time.Time // end of the lease on this host's clock
	broker   *share.Broker
	opinions map[model.HostID]opinion
	watched  map[model.Service]bool
}

// opinion is what a host said of its primaries.
type opinion struct {
	at       time.Time
	byTarget map[model.Service]primacy.Opinion
}

// seekLeadership tries to become the leader while there is none. Hosts try one after the other, so that usually only one
// of them writes.
func (c *control) seekLeadership(ctx context.Context) {
	a := c.agent
	if c.asking || !a.Ready() || a.Server.Draining() {
		return
	}
	v := c.view
	var known uint64
	if v.leader != nil {
		if v.leader.value.Host != a.Self.ID || v.leader.value.Incarnation == a.Self.Incarnation {
			return
		}
		known = v.leader.revision // this host was the leader before it restarted
	}
	rank := slices.IndexFunc(v.byCapacity(), func(h Host) bool { return h.ID == a.Self.ID })
	if rank < 0 {
		return
	}
	c.asking = true
	go func() {
		if known == 0 {
			sleep(ctx, time.Duration(rank)*replaceInterval)
		}
		a.lead(ctx, known)
		a.post(ctx, func(c *control) { c.asking = false })
	}()
}

// lead becomes the leader if the leader's key still has the given revision, and leads until the lease is lost.
func (a *Agent) lead(ctx context.Context, known uint64) {
	if v := a.view.Load(); known == 0 && v.leader != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := boottime.Now()
	lease, ttl, err := a.Store.Grant(call, leaderLease)
	if err != nil {
		return
	}
	fence, err := a.Store.Commit(call, metastore.Txn{Conditions: []metastore.Condition{{Key: leaderKey, Revision: known}},
		Puts: []metastore.Item{{Key: leaderKey, Lease: lease,
			Value: mustEncode(Leader{Host: a.Self.ID, Incarnation: a.Self.Incarnation})}}})
	if err != nil {
		if errors.Is(err, metastore.ErrConflict) {
			a.revoke(lease)
		}
		return
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	l := &leadership{agent: a, lease: lease, fence: fence, stop: stop, until: sent.Add(ttl - leaseMargin),
		broker:   share.NewBroker(boottime.Now()),
		opinions: map[model.HostID]opinion{}, watched: map[model.Service]bool{}}
	a.Log.Info("leader: this host leads", zap.Uint64("fence", fence))
	a.setLeading(l)
	go l.supervise(run)
	l.keep(run, ttl)
	a.setLeading(nil)
	a.Prober.Close()
	a.Log.Info("leader: this host leads no more", zap.Uint64("fence", fence))
}

func (a *Agent) setLeading(l *leadership) {
	a.leaderMu.Lock()
	defer a.leaderMu.Unlock()
	a.leading = l
}

func (a *Agent) revoke(lease metastore.Lease) {
	ctx, cancel := contextWithTimeout(callTimeout)
	defer cancel()
	if err := a.Store.Revoke(ctx, lease); err != nil {
		a.Log.Warn("store: a lease could not be ended", zap.Int64("lease", int64(lease)), zap.Error(err))
	}
}

// Resign gives the leadership up, if this host has it.
func (a *Agent) Resign(context.Context) {
	a.leaderMu.Lock()
	l := a.leading
	a.leaderMu.Unlock()
	if l != nil {
		l.stop()
		a.revoke(l.lease)
	}
}

// keep renews the lease and returns when it has ended, or another host leads. While the store is silent this host promotes
// nothing after its lease has run out, but goes on as the broker: a broker hands out only the parts of the hosts that report
// to it, so several of them exceed no limit.
func (l *leadership) keep(ctx context.Context, ttl time.Duration) {
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		now := boottime.Now()
		err := l.agent.renew(ctx, l.lease)
		if err == nil {
			l.mu.Lock()
			l.until = now.Add(ttl - leaseMargin)
			l.mu.Unlock()
		}
		if errors.Is(err, metastore.ErrLeaseEnded) || l.superseded() {
			return
		}
	}
}

// superseded reports whether the store names another leader.
func (l *leadership) superseded() bool {
	known := l.agent.view.Load().leader
	return known != nil && known.revision > l.fence
}

func (l *leadership) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return boottime.Now().Before(l.until)
}

// report takes a host's report.
func (l *leadership) report(r ReportRequest) {
	v := l.agent.view.Load()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opinions[r.Host] = opinion{now, r.Opinions}
	l.broker.SetLimits(v.catalog.Limits, len(v.expected))
	l.broker.Report(now, r.Host, r.Alone)
}

// supervise starts a supervisor for each service of the configuration.
func (l *leadership) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		for service := range l.agent.view.Load().catalog.Services {
			if !l.watched[service] {
				l.watched[service] = true
				s := &supervisor{leadership: l, service: service, answered: boottime.Now(),
					log: l.agent.Log.With(zap.String("service", string(service)), zap.Uint64("fence", l.fence))}
				go s.run(ctx)
			}
		}
		sleep(ctx, superviseInterval)
	}
}

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
	draining time.Time // when the primary was first seen draining
}

func (s *supervisor) run(ctx context.Context) {
	for ctx.Err() == nil {
		doc := s.agent.view.Load().docs[s.service]
		if !doc.value.Open && doc.value.Epoch > 0 {
			s.replace(ctx, doc)
		} else if cause := primacy.Check(doc.value, s.look(ctx, doc.value)); cause != primacy.CauseNone {
			s.close(ctx, doc, cause)
		}
		sleep(ctx, superviseInterval)
	}
}

// look asks the primary for its state and collects what other hosts say of it.
func (s *supervisor) look(ctx context.Context, doc primacy.Document) primacy.View {
	v := s.agent.view.Load()
	t, listed := v.targets[doc.Primary]
	view := primacy.View{Listed: listed, Draining: t.State == catalog.Draining, Born: t.Born, AllReport: true}
	if !view.Draining {
		s.draining = time.Time{}
	} else if s.draining.IsZero() {
		s.draining = boottime.Now()
	}
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
		view.Silent = now.Sub(s.answered)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Draining {
		view.DrainingFor = now.Sub(s.draining)
	}
	for id := range v.hosts {
		if now.Sub(s.opinions[id].at) > primacy.OpinionAge() {
			view.AllReport = false
		}
	}
	for id, o := range s.opinions {
		if id != s.agent.Self.ID && now.Sub(o.at) <= primacy.OpinionAge() {
			view.Opinions = append(view.Opinions, o.byTarget[s.service])
		}
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
	key := primaryPrefix + string(s.service)
	revision, err := s.agent.Store.Commit(ctx, metastore.Txn{
		Conditions: []metastore.Condition{{Key: key, Revision: known}, {Key: leaderKey, Revision: s.fence}},
		Puts:       []metastore.Item{{Key: key, Value: mustEncode(doc)}}})
	if err != nil {
		s.log.Warn("primary: decision not stored", zap.Uint64("epoch", doc.Epoch), zap.Error(err))
		return false
	}
	event := metastore.Event{Item: metastore.Item{Key: key, Value: mustEncode(doc), Revision: revision}}
	done := make(chan struct{})
	s.agent.post(ctx, func(c *control) {
		c.applyOwn(change{events: []metastore.Event{event}})
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
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
	next.Primary, next.Born, next.Term = choice.Target.ID, choice.Target.Born, choice.Target.Term
	if !choice.Promoted {
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
	if h.ID == s.agent.Self.ID {
		return (&Peer{s.agent}).Fence(request, &struct{}{})
	}
	return s.agent.peers.call(h, "Peer.Fence", request, &struct{}{}, fenceTimeout)
}

// awaitFenced waits until every registered host has stopped using the old primary, or is not registered any more.
func (s *supervisor) awaitFenced(ctx context.Context, doc primacy.Document) bool {
	confirmed := map[model.HostID]model.Incarnation{}
	// A host that registers after this sees the closed decision when it reads the decisions.
	if err := s.agent.refreshOwn(ctx); err != nil {
		s.log.Warn("primary: hosts not listed", zap.Error(err))
		return false
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
		if !choice.Final {
			s.log.Info("primary: no target can be promoted", zap.Int("answered", len(group.Candidates)),
				zap.Int("registered", group.Targets))
			return choice, false
		}
		if !doc.Cause.WaitsForOld() || choice.Promoted || group.CaughtUp(choice.Target) || boottime.Now().After(deadline) {
			s.log.Info("primary: chosen", zap.String("target", string(choice.Target.ID)),
				zap.Bool("leads_already", choice.Promoted), zap.Uint64("term", choice.Target.Received.Term),
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
	group := primacy.Group{Old: doc.Primary, OldBorn: doc.Born, OldTerm: doc.Term, Cause: doc.Cause, Targets: len(targets),
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
			group.Candidates = append(group.Candidates, primacy.Candidate{ID: t.ID, Born: t.Born, DataCentre: t.DataCentre,
				Draining: t.State == catalog.Draining, IsPrimary: status.Primary, Term: status.Term,
				Received: status.Received})
		})
	}
	wg.Wait()
	return group
}

// promote orders the promotion of a target and waits until it leads.
func (s *supervisor) promote(ctx context.Context, target primacy.Candidate, oldTerm uint64) (uint64, bool) {
	if !s.valid() {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
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
	if !listed || t.Born != old.Born {
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
