package frontend

import (
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/pool"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const (
	// maxSelections is the number of targets and hosts that are tried for one statement.
	maxSelections = 8
	// selectionPause is the pause before a statement that needs the primary is sent to another host. The hosts learn of a change
	// of the primary within some milliseconds of each other.
	selectionPause = 15 * time.Millisecond
	// positionRefreshFraction is the fraction of a route's maximum staleness after which a newer position of the primary is
	// fetched. Two further attempts fit into the rest.
	positionRefreshFraction = 1.0 / 3
	// maxPositionAge is the age up to which a host returns the position in the last reply of the primary to another host instead of
	// asking the primary. Together with the refresh it stays below half of the shortest maximum staleness.
	maxPositionAge = 150 * time.Millisecond
	// positionTimeout bounds the request for a position. A primary that is busy replies to other statements meanwhile.
	positionTimeout = 200 * time.Millisecond
	// positionRetryPause is the pause after a request for a position has failed.
	positionRetryPause = 100 * time.Millisecond
	// positionHistory is the age up to which earlier positions are returned with the latest one, and positionGap the time between
	// them. A replica that lags has reached the older ones only.
	positionHistory = 800 * time.Millisecond
	positionGap     = 90 * time.Millisecond
	// maxPositions bounds the positions in one response.
	maxPositions = 8
)

// runOnSelectedTarget runs a statement outside transactions on a target that is selected on this host. It runs on the host
// that uses the target, and on other targets or hosts if that one cannot run it.
func (s *session) runOnSelectedTarget(op operation, st Statement) Answer {
	var excluded ExcludedHosts
	lastAnswer := errorAnswer(Busy, "no host is reachable that can use a target of the service")
	for attempt := 0; attempt < maxSelections && boottime.Now().Before(op.deadline); attempt++ {
		selected, epoch, refusal := s.selectTarget(op, op.needsPrimary(), &excluded)
		if refusal.Code != Success {
			return refusal
		}
		if selected.Target == "" {
			break
		}
		op.target = selected.Target
		answer := s.runOnTarget(op, selected, st)
		if s.elsewhere == Here || answer.Code == Failed && !op.service.mayAttempt(attempt+1, &answer) {
			return answer
		}
		if answer.Code != Success {
			lastAnswer = answer
		}
		s.excludeSelection(&op, op.needsPrimary(), selected, epoch, &excluded)
	}
	return lastAnswer
}

// runOnTarget runs a statement outside transactions at the selected host, and records what that tells about the target. s.elsewhere
// is Here if the answer is final.
func (s *session) runOnTarget(op operation, selected Selection, st Statement) (answer Answer) {
	kind := concurrency.Read
	if op.isWrite {
		kind = concurrency.Write
	}
	s.server.TargetStarted(op.service.name, selected.Target)
	s.targetLoad = balance.Load{}
	if selected.Local {
		answer = s.runLocally(op, st)
		s.targetLoad = s.server.TargetLoad(op.route, selected.Target, kind)
	} else {
		var done bool
		if answer, done = s.forwardStatement(selected.Host, op, st); done {
			s.elsewhere = Here
		}
	}
	s.server.ReportTargetLoad(op.service.name, selected.Target, op.route.Database, kind, s.targetLoad)
	s.server.TargetFinished(op.service.name, selected.Target, s.targetOutcome(answer))
	return answer
}

// targetOutcome returns what the answer to a statement tells about its target. Without an answer of the host that uses the target,
// or if that host refused the statement, it tells nothing, and counts as a success.
func (s *session) targetOutcome(answer Answer) concurrency.Outcome {
	switch {
	case s.elsewhere == OnOtherHost && s.targetLoad.Limit > 0:
		return concurrency.NoAnswer // the host that uses the target gets no connection to it, or no answer
	case answer.Code == Failed || answer.Code == OtherError:
		return concurrency.Failed
	case s.elsewhere == OnPrimary || s.elsewhere == OnOtherTarget || !s.mayHaveRun:
		return concurrency.Done
	case answer.Code == InDoubt, answer.Code == Timeout:
		return concurrency.NoAnswer
	}
	return concurrency.Done
}

// beginOnSelectedTarget begins the open transaction with its first statement on a target that is selected on this host. It
// reports false if the transaction has begun on a target of this host, where the statement is to run, or cannot begin.
func (s *session) beginOnSelectedTarget(op operation, st Statement) (Answer, bool) {
	t := s.txn
	var excluded ExcludedHosts
	needsPrimary := !t.readOnly || op.needsPrimary()
	lastAnswer := errorAnswer(Busy, "no host is reachable that can use a target of the service")
	for attempt := 0; attempt < maxSelections && boottime.Now().Before(op.deadline); attempt++ {
		selected, epoch, refusal := s.selectTarget(op, needsPrimary, &excluded)
		if refusal.Code != Success {
			lastAnswer = refusal
			break
		}
		if selected.Target == "" {
			break
		}
		t.target, op.target = selected.Target, selected.Target
		if selected.Local {
			if lastAnswer = s.beginOnTarget(op, st); lastAnswer.Code == Success {
				return Answer{}, false
			}
			if s.elsewhere == Here {
				break
			}
		} else {
			t.peer, t.id = selected.Host, s.server.lastTxnID.Add(1)
			if answer, done := s.forwardInTxn(op, st); done {
				return answer, true
			}
		}
		s.excludeSelection(&op, needsPrimary, selected, epoch, &excluded)
		needsPrimary = needsPrimary || op.forcePrimary
	}
	s.failTxn()
	return lastAnswer, true
}

// selectTarget selects a target and the host that runs statements on it. An operation that needs the primary waits for one while
// it is being replaced. It also returns the epoch of the decision that the selection is based on. The target is empty if none is
// left.
func (s *session) selectTarget(op operation, needsPrimary bool, excluded *ExcludedHosts) (Selection, uint64, Answer) {
	epoch, usable := op.service.awaitPrimary(needsPrimary, func() time.Time { return s.queueDeadline(op) })
	if !usable {
		return Selection{}, epoch, errorAnswer(Busy, "the primary is being replaced")
	}
	excluded.Local = op.service.primaryUnreachable(boottime.Now())
	excluded.Region = s.server.hostRegions(op.route.Database, op.workspace)
	return s.server.selectHost(op, needsPrimary, *excluded), epoch, Answer{}
}

// excludeSelection prepares the next attempt after a host could not run the statement. If another decision about the primary has
// been applied since the selection, the host may be able to run it now.
func (s *session) excludeSelection(op *operation, needsPrimary bool, selected Selection, epoch uint64,
	excluded *ExcludedHosts) {
	s.log.Info("selection: to be run elsewhere", zap.String("target", string(selected.Target)),
		zap.String("on", string(selected.Host)), zap.Stringer("reason", s.elsewhere))
	switch {
	case s.elsewhere == OnPrimary && !needsPrimary:
		op.forcePrimary = true
		return
	case s.elsewhere == OnOtherTarget:
		selected.Host = ""
	}
	if current, _, _ := op.service.currentPrimary(); current == epoch {
		excluded.Remote = append(excluded.Remote, selected)
	}
	if needsPrimary {
		time.Sleep(selectionPause)
	}
}

// awaitPrimary waits until the primary may be used, if needed is set. It returns the epoch of the current decision, and false if
// the primary may not be used when the time returned by limit has come.
func (s *service) awaitPrimary(needed bool, limit func() time.Time) (epoch uint64, usable bool) {
	for {
		s.mu.Lock()
		current, changed := s.primaryState, s.primaryChanged
		s.mu.Unlock()
		if !needed || current.usable {
			return current.epoch, true
		}
		remaining := limit().Sub(boottime.Now())
		if remaining <= 0 {
			return current.epoch, false
		}
		timer := time.NewTimer(min(remaining, usualReplacementTime))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isPrimary reports whether the target is the primary of the current decision.
func (s *service) isPrimary(id model.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doc.Primary == id
}

// cannotUse reports whether this host cannot run statements on a target, because it may not connect to it or does not reach it.
func (s *service) cannotUse(now time.Time, id model.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.pool.CanConnectTo(id) || id == s.doc.Primary && s.primaryUnreachableLocked(now)
}

// positionFetch is the state of fetching the position of a primary that another host uses.
type positionFetch struct {
	done    chan struct{} // closed when the fetch in progress ends; nil if there is none
	retryAt time.Time     // no fetch is started before this time
}

// refreshPosition fetches a position of the primary from the host that uses it, if the known ones will soon be too old for reads
// that arrive now, or are too old already. It waits for the result only in the second case.
func (s *service) refreshPosition(arrived time.Time, maxStaleness time.Duration) {
	s.mu.Lock()
	now := boottime.Now()
	_, _, known := s.samples.OldestSince(arrived.Add(-maxStaleness))
	due := now.Sub(s.samples.LatestTime()) > time.Duration(positionRefreshFraction*float64(maxStaleness))
	if due && s.positionFetch.done == nil && s.doc.Open && !now.Before(s.positionFetch.retryAt) {
		s.positionFetch.done = make(chan struct{})
		go s.fetchPosition(s.doc.Primary)
	}
	done := s.positionFetch.done
	s.mu.Unlock()
	if known || done == nil {
		return
	}
	timer := time.NewTimer(positionTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// fetchPosition fetches a position of the primary and adds it to the samples. A position proves that the primary had passed
// everything acknowledged before the time of the sample only for the decision under which it was taken.
func (s *service) fetchPosition(primary model.TargetID) {
	epoch, samples, err := s.server.forwarder.PrimaryPositions(s.name, primary)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.positionFetch.done)
	s.positionFetch.done = nil
	if err != nil {
		s.positionFetch.retryAt = boottime.Now().Add(positionRetryPause)
		s.log.Info("position: not fetched", zap.String("primary", string(primary)), zap.Error(err))
		return
	}
	if s.inTenure(epoch) && s.doc.Open {
		for _, sample := range samples {
			s.addSample(sample.At, sample.Position)
		}
	}
}

// addSample adds a position that the primary of the current decision had at the given time. The caller holds s.mu.
func (s *service) addSample(at time.Time, position model.Position) {
	if s.samplesTenure != s.tenureSince {
		s.samples, s.samplesTenure, s.samplesTerm = &routing.PositionSamples{}, s.tenureSince, s.doc.Term
	}
	s.samples.Add(at, position)
	s.highestPosition = s.highestPosition.Max(position)
}

// PrimaryPositions returns recent positions of a service's primary, oldest first, and the epoch of the decision under which this
// host uses the primary. It returns ErrPrimaryUnreachable if this host may not use the primary or gets no reply from it.
func (s *Server) PrimaryPositions(name model.Service) (epoch uint64, samples []routing.Sample, err error) {
	svc := s.service(name)
	for attempt := range 2 {
		epoch, samples, usable := svc.recentPositions()
		switch {
		case !usable:
			return 0, nil, ErrPrimaryUnreachable
		case len(samples) > 0:
			return epoch, samples, nil
		case attempt == 0 && !svc.queryPrimary():
			return 0, nil, ErrPrimaryUnreachable
		}
	}
	return 0, nil, ErrPrimaryUnreachable
}

// recentPositions returns the known positions of the primary if the latest one is recent enough, and whether this host may use
// the primary.
func (s *service) recentPositions() (epoch uint64, samples []routing.Sample, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	if !s.primaryUsable() || !s.server.PrimaryAllowed(now) {
		return 0, nil, false
	}
	if s.samplesTenure == s.tenureSince && now.Sub(s.samples.LatestTime()) <= maxPositionAge {
		samples = s.samples.Recent(now.Add(-positionHistory), positionGap, maxPositions)
	}
	return s.doc.Epoch, samples, true
}

// queryPrimary asks the primary for its status, whose reply adds a sample, and reports whether it replied.
func (s *service) queryPrimary() bool {
	s.mu.Lock()
	epoch, primary, workspace := s.doc.Epoch, s.doc.Primary, s.lastWorkspace
	s.mu.Unlock()
	deadline := boottime.Now().Add(positionTimeout)
	g := s.acquire(pool.Request{Workspace: workspace, Target: primary, PrimaryOnly: true, Deadline: deadline})
	if g.conn == nil {
		return false
	}
	command := Command{Statement: Statement{ID: internalStatementID, Kind: Status}}
	_, _, err := s.run(g.conn, nil, command, epoch, time.Now().Add(positionTimeout))
	s.release(g.conn, err != nil && !isNotPermitted(err))
	return err == nil
}
