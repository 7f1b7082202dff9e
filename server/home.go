package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/failover"
	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/metrics"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/retry"
	"github.com/waxwingspindle/waxwingspindle/routing"
	"github.com/waxwingspindle/waxwingspindle/target"
)

// minDurabilityWait is the minimum time that a write waits for a majority to confirm it. The wait may extend past the
// deadline of the request by this much, because a late answer is better than an unknown outcome.
const minDurabilityWait = 50 * time.Millisecond

// publishedView is an immutable view of a replication group for request goroutines.
type publishedView struct {
	view    failover.View
	samples *routing.PositionSamples
	changed chan struct{} // closed when a newer view is published
}

// homeTarget is a target with its slot queue and the executor that holds its traffic connections.
type homeTarget struct {
	id       model.TargetID
	address  string
	slots    atomic.Int64
	queue    *slotQueue
	executor atomic.Pointer[executorRef]
}

// executorRef wraps target.Executor in a concrete type, so that an atomic.Pointer can swap it.
type executorRef struct{ target.Executor }

// home runs the statements of one service. The control loop publishes views of the replication group, which request
// goroutines read.
type home struct {
	service     model.Service
	group       *groupController
	retrier     *retrier
	metrics     *metrics.Metrics
	log         *decisionLog
	view        atomic.Pointer[publishedView]
	rotation    atomic.Uint32
	stop        context.CancelFunc // stops the pruning of the request ledger
	retiring    atomic.Bool        // the service has moved to another host; only requests in progress finish here
	dial        func(address string) target.Executor
	reauthorize func(daemon.Caller, model.Service) model.Result

	mu          sync.RWMutex
	settings    config.Service
	replicaWait time.Duration // longest time that a read waits for a replica
	targets     map[model.TargetID]*homeTarget
}

// configure applies a changed service configuration. Targets that were removed are closed in the background.
func (h *home) configure(s config.Service, replicaWait time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	reopen := h.settings.Name != "" && !sameCredentials(h.settings, s)
	h.settings, h.replicaWait = s, replicaWait
	configured := map[model.TargetID]bool{}
	for _, t := range s.Targets {
		configured[t.ID] = true
		if err := h.configureTarget(t, s, reopen); err != nil {
			return err
		}
	}
	for id, t := range h.targets {
		if !configured[id] {
			delete(h.targets, id)
			go t.retire()
		}
	}
	return nil
}

// sameCredentials reports whether connections opened with one version of the settings can be used with the other.
func sameCredentials(a, b config.Service) bool {
	return a.User == b.User && a.Password == b.Password && a.Database == b.Database
}

func (h *home) configureTarget(t config.Target, s config.Service, reopen bool) error {
	existing := h.targets[t.ID]
	if existing != nil && existing.address == t.Address {
		existing.slots.Store(int64(s.Slots))
		existing.queue.setSlots(s.Slots)
		existing.executor.Load().SetLimit(trafficConnections(s))
		if reopen {
			old := existing.executor.Swap(&executorRef{h.dial(t.Address)})
			go old.Close()
		}
		return nil
	}
	queue, err := newSlotQueue(s.Slots)
	if err != nil {
		return err
	}
	created := &homeTarget{id: t.ID, address: t.Address, queue: queue}
	created.slots.Store(int64(s.Slots))
	created.executor.Store(&executorRef{h.dial(t.Address)})
	h.targets[t.ID] = created
	if existing != nil {
		go existing.retire()
	}
	return nil
}

// targetDrainTimeout bounds the time for statements to finish on a removed target.
const targetDrainTimeout = 5 * time.Second

// retire waits up to targetDrainTimeout for queued and running statements to finish, and closes the connections.
func (t *homeTarget) retire() {
	t.queue.close()
	for deadline := time.Now().Add(targetDrainTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s := t.queue.stats(); s.Queued+s.Running == 0 {
			break
		}
	}
	t.executor.Load().Close()
}

func (h *home) target(id model.TargetID) *homeTarget {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.targets[id]
}

// replaceConnections closes the traffic connections to a target. New ones are opened on demand.
func (h *home) replaceConnections(id model.TargetID) {
	t := h.target(id)
	if t == nil {
		return
	}
	old := t.executor.Swap(&executorRef{h.dial(t.address)})
	go old.Close()
}

// busy reports whether statements are running or queued on any target.
func (h *home) busy() bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, t := range h.targets {
		if s := t.queue.stats(); s.Queued+s.Running > 0 {
			return true
		}
	}
	return false
}

// idle reports whether no statement is running on a target. It ignores idle transactions.
func (h *home) idle(id model.TargetID) bool {
	t := h.target(id)
	return t == nil || t.queue.stats().Running == 0
}

// close stops the pruning of the request ledger, closes the queues and closes all traffic connections.
func (h *home) close() {
	h.stop()
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, t := range h.targets {
		t.queue.close()
		t.executor.Load().Close()
	}
}

// publishView replaces the published view and wakes the requests that wait for a change.
func (h *home) publishView(v failover.View, samples *routing.PositionSamples) {
	old := h.view.Swap(&publishedView{view: v, samples: samples, changed: make(chan struct{})})
	if old != nil {
		close(old.changed)
	}
}

// routingGroup returns the state of the group with the load of its targets, and a channel that is closed when a newer view
// is published.
func (h *home) routingGroup() (routing.Group, <-chan struct{}) {
	g := h.view.Load()
	if g == nil {
		return routing.Group{}, nil
	}
	out := routing.Group{Term: g.view.Term, Primary: g.view.Primary, Writable: g.view.Writable, Draining: g.view.Draining,
		ConfirmedAt: g.view.ConfirmedAt, Samples: g.samples, Targets: make([]routing.Target, 0, len(g.view.Members))}
	for _, m := range g.view.Members {
		t := h.target(m.Target)
		if t == nil {
			continue
		}
		s := t.queue.stats()
		out.Targets = append(out.Targets, routing.Target{ID: m.Target, Alive: m.HasStatus && m.Alive, Leaving: m.Leaving,
			Replicated: m.Replicated, AdoptedTerm: m.AdoptedTerm, Position: m.Position, ActiveStatements: s.Running + s.Queued,
			Slots: int(t.slots.Load())})
	}
	return out, g.changed
}

// maxViewWait is the longest time after which a waiting request checks the view again, even without a change.
const maxViewWait = 100 * time.Millisecond

// awaitView waits for a change of the view, at most until the given time or maxViewWait, or until the context is done.
func awaitView(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(min(max(time.Until(until), 0), maxViewWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// execute runs an autocommit statement on a replica or on the primary, depending on its class.
func (h *home) execute(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if refused, ok := refuseStatementClass(class); ok {
		return daemon.ExecuteReply{Result: refused}
	}
	if class.MayRunOnReplica(q.ReadOnly) {
		return h.read(ctx, q)
	}
	return h.write(ctx, q)
}

// refuseStatementClass returns a refusal, and true, for statements that are not allowed in autocommit mode: those that
// change session state, control transactions, or command the replication group.
func refuseStatementClass(c routing.Classification) (model.Result, bool) {
	switch c.Class {
	case routing.ClassSessionState:
		return model.NotRun(model.ReasonSessionStateRefused,
			c.Reason+"; connections are shared, so it is allowed in a transaction only"), true
	case routing.ClassTransactionControl:
		return model.NotRun(model.ReasonSessionStateRefused, c.Reason+"; use the transaction routes"), true
	case routing.ClassGroupCommand:
		return model.NotRun(model.ReasonBadRequest, c.Reason+"; callers may not order the group"), true
	}
	return model.Result{}, false
}

// read runs a statement that is allowed on a replica, and retries on another target after a failure. A statement that the
// replica refuses because it writes goes to the primary.
func (h *home) read(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	deadline := deadlineOf(ctx)
	h.mu.RLock()
	wait := h.replicaWait
	h.mu.RUnlock()
	read := routing.ReadRequest{Mark: q.Mark, MarkUnknown: q.MarkUnknown || q.HasStaleness && q.MaxStaleness == 0,
		MaxStaleness: q.MaxStaleness, WaitUntil: time.Now().Add(wait), Deadline: deadline,
		Rotation: uint(h.rotation.Add(1))}
	for attempts := 1; ; attempts++ {
		d, refused := h.chooseRead(ctx, read)
		if refused.Outcome != 0 {
			return daemon.ExecuteReply{Result: refused}
		}
		reply, response := h.readOn(ctx, q, d)
		if response.Code == sqlStateReadOnly {
			h.log.decision("routing: replica refused a writing statement, retrying on the primary",
				zap.String("service", string(h.service)), zap.String("target", string(d.Target)))
			return h.write(ctx, q)
		}
		if reply.Result.Outcome == model.OutcomeDone {
			h.metrics.CountRead(h.service, d.Kind == routing.KindReplica)
			return reply
		}
		if !h.retrier.waitForRetry(ctx, h.service, retry.KindRead, reply.Result, attempts) {
			return reply
		}
	}
}

// sqlStateReadOnly is the SQLSTATE read_only_sql_transaction: a write in a read-only transaction.
const sqlStateReadOnly = "25006"

// chooseRead selects the target for a read, waiting while the routing decision requires it. The result has an outcome only
// if the read is refused.
func (h *home) chooseRead(ctx context.Context, read routing.ReadRequest) (routing.Decision, model.Result) {
	for {
		group, changed := h.routingGroup()
		d := routing.ChooseRead(time.Now(), group, read)
		if refused, final := h.applyDecision(ctx, d, changed, read.Mark); final {
			return d, refused
		}
	}
}

// applyDecision logs a final routing decision or waits as a preliminary one requires. It reports whether the decision is
// final. The result has an outcome only if the request is refused.
func (h *home) applyDecision(ctx context.Context, d routing.Decision, changed <-chan struct{},
	mark model.Position) (model.Result, bool) {
	if d.ResolvePrimary {
		h.group.controlLoop.post(func(now time.Time) { h.group.handle(now, failover.TermObserved{Term: mark.Term}) })
	}
	switch d.Kind {
	case routing.KindReplica, routing.KindPrimary:
		h.log.decision("routing: "+d.Explanation, zap.String("service", string(h.service)),
			zap.String("target", string(d.Target)), zap.Stringer("kind", d.Kind))
		return model.Result{}, true
	case routing.KindRefused:
		h.log.refusal("routing: "+d.Explanation, zap.String("service", string(h.service)))
		return model.NotRun(d.RefusalReason, d.Explanation), true
	}
	if ctx.Err() != nil {
		return model.NotRun(model.ReasonDeadlineExceeded, "the time of the request ended: "+d.Explanation), true
	}
	awaitView(ctx, changed, d.Until)
	return model.Result{}, false
}

// readOn runs a read on the selected target. A read on the primary waits until the data that it returned is durable, so
// that a failover cannot remove data that a session has seen.
func (h *home) readOn(ctx context.Context, q daemon.ExecuteRequest,
	d routing.Decision) (daemon.ExecuteReply, target.Response) {
	t, ticket, refused := h.acquireSlot(ctx, d.Target, q.Caller)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}, target.Response{}
	}
	response := t.executor.Load().Read(ctx, targetStatement(q), q.Mark)
	t.queue.release(ticket)
	if response.Result.Outcome == model.OutcomeDone && d.Kind == routing.KindPrimary {
		if !<-h.group.awaitDurable(d.Target, response.Position, deadlineOf(ctx)) {
			response.Result = model.Unknown(model.ReasonDurabilityUnconfirmed,
				"it is not known whether the data that was read is durable")
		}
	}
	return executeReply(response, d.Target), response
}

// acquireSlot waits for a slot on a target. The result has an outcome only if the request is refused; otherwise the caller
// must release the slot.
func (h *home) acquireSlot(ctx context.Context, id model.TargetID,
	c daemon.Caller) (*homeTarget, fairqueue.Ticket, model.Result) {
	t := h.target(id)
	if t == nil {
		return nil, 0, model.NotRun(model.ReasonTargetUnavailable, "the target was removed")
	}
	started := time.Now()
	ticket, result := t.queue.acquire(ctx, fairqueue.Request{Workspace: c.Workspace, Deadline: deadlineOf(ctx),
		Recheck: func() model.Result { return h.reauthorize(c, h.service) }})
	h.metrics.ObserveQueueWait(h.service, time.Since(started))
	if result.Outcome != model.OutcomeDone {
		h.log.refusal("placement: request refused at the queue", zap.String("service", string(h.service)),
			zap.String("target", string(id)), zap.String("workspace", string(c.Workspace)),
			zap.String("reason", string(result.Reason)))
		return nil, 0, result
	}
	return t, ticket, model.Result{}
}

// write runs a statement on the primary in one transaction with its entry in the request ledger. The entry makes
// retries safe: either the retry runs and no earlier attempt can commit any more, or an earlier attempt has committed.
func (h *home) write(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	var unconfirmed *daemon.ExecuteReply // reply of an attempt that ran without confirmation of durability
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		r := h.writeOnce(ctx, q)
		if r.Duplicate && r.Result.Outcome == model.OutcomeDone && unconfirmed != nil {
			unconfirmed.Result, unconfirmed.Position, unconfirmed.Target = r.Result, r.Position, r.Target
			return *unconfirmed
		}
		if r.Result.Reason == model.ReasonDurabilityUnconfirmed && !r.Duplicate {
			saved := r
			unconfirmed = &saved
		}
		mayHaveRun = mayHaveRun || r.Result.Outcome == model.OutcomeUnknown
		if r.Result.Outcome == model.OutcomeDone ||
			!h.retrier.waitForRetry(ctx, h.service, retry.KindWrite, r.Result, attempts) {
			r.Result = finalResult(r.Result, mayHaveRun)
			return r
		}
	}
}

func (h *home) writeOnce(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	d, refused := h.chooseWrite(ctx, q.Mark)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	t, ticket, refused := h.acquireSlot(ctx, d.Target, q.Caller)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	response := t.executor.Load().Write(ctx, target.Request{Workspace: q.Caller.Workspace, ID: q.RequestID},
		targetStatement(q))
	t.queue.release(ticket)
	if response.Result.Outcome == model.OutcomeDone && !h.confirmDurable(ctx, d.Target, response.Position) {
		response.Result = model.Unknown(model.ReasonDurabilityUnconfirmed,
			"the write ran on a primary, but a majority of the group did not confirm it in time")
	}
	return executeReply(response, d.Target)
}

func (h *home) chooseWrite(ctx context.Context, mark model.Position) (routing.Decision, model.Result) {
	for {
		group, changed := h.routingGroup()
		d := routing.ChooseWrite(time.Now(), group, mark, deadlineOf(ctx))
		if refused, final := h.applyDecision(ctx, d, changed, mark); final {
			return d, refused
		}
	}
}

// confirmDurable waits until a majority has the log up to a position, and reports whether this was confirmed in time.
func (h *home) confirmDurable(ctx context.Context, id model.TargetID, p model.Position) bool {
	deadline := deadlineOf(ctx)
	if earliest := time.Now().Add(minDurabilityWait); deadline.Before(earliest) {
		deadline = earliest
	}
	return <-h.group.awaitDurable(id, p, deadline)
}

func targetStatement(q daemon.ExecuteRequest) target.Statement {
	return target.Statement{SQL: q.SQL, Args: q.Args.Text, NullArgs: q.Args.Null}
}

// executeReply converts the response of a target to a reply for the entry host.
func executeReply(response target.Response, id model.TargetID) daemon.ExecuteReply {
	r := daemon.ExecuteReply{Result: response.Result, Columns: response.Rows.Columns, Rows: len(response.Rows.Values),
		Affected: response.Rows.Affected, Duplicate: response.Duplicate, Target: id, Position: response.Position,
		SQLState: response.Code}
	for _, row := range response.Rows.Values {
		for _, cell := range row {
			r.Cells.Append(cell)
		}
	}
	return r
}

func deadlineOf(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		panic("a request has no deadline")
	}
	return deadline
}

const (
	ledgerInterval = time.Minute    // time between two prunings of the request ledger
	ledgerAge      = 24 * time.Hour // time for which request ids are kept
	ledgerBatch    = 1000           // entries deleted by one statement
	ledgerTimeout  = 5 * time.Second
)

// pruneLedger deletes one batch of expired request ledger entries per ledgerInterval until the context is cancelled.
func (h *home) pruneLedger(ctx context.Context) {
	for sleep(ctx, ledgerInterval) {
		g := h.view.Load()
		if g == nil || !g.view.Writable {
			continue
		}
		if t := h.target(g.view.Primary); t != nil {
			h.pruneLedgerBatch(ctx, t)
		}
	}
}

func (h *home) pruneLedgerBatch(ctx context.Context, t *homeTarget) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	response := t.executor.Load().PruneLedger(ctx, ledgerAge, ledgerBatch)
	if response.Rows.Affected > 0 {
		h.log.log.Info("target: expired ledger entries deleted", zap.String("service", string(h.service)),
			zap.Int64("entries", response.Rows.Affected))
	}
}
