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

// durabilityWait is the least time that a write gets for the confirmation that a majority has it. It may exceed the
// time of the request by this much, because an unknown outcome is worse than a late one.
const durabilityWait = 50 * time.Millisecond

// groupView is what traffic knows of a group. It is immutable.
type groupView struct {
	view    failover.View
	samples *routing.PositionSamples
	changed chan struct{} // closed when a newer view exists
}

// homeTarget is a target with its slots and connections.
type homeTarget struct {
	id      model.TargetID
	address string
	slots   atomic.Int64
	queue   *slotQueue
	traffic atomic.Pointer[trafficBox]
}

// trafficBox lets an interface be swapped atomically.
type trafficBox struct{ target.Traffic }

// home runs the statements of one service. Control publishes views of the group; traffic goroutines read them.
type home struct {
	service  model.Service
	group    *groupControl
	retry    *retrier
	metrics  *metrics.Metrics
	log      *decisionLog
	view     atomic.Pointer[groupView]
	rotation atomic.Uint32
	stop     context.CancelFunc // ends the background work of the home
	retiring atomic.Bool        // another host is home now; what runs here is finished
	dial     func(address string) target.Traffic
	recheck  func(daemon.Caller, model.Service) model.Result

	mu       sync.RWMutex
	settings config.Service
	wait     time.Duration // longest wait of a read for a replica
	targets  map[model.TargetID]*homeTarget
}

// configure follows a change of the configuration.
func (h *home) configure(s config.Service, replicaWait time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	reopen := h.settings.Name != "" && !sameAccess(h.settings, s)
	h.settings, h.wait = s, replicaWait
	wanted := map[model.TargetID]bool{}
	for _, t := range s.Targets {
		wanted[t.ID] = true
		if err := h.configureTarget(t, s, reopen); err != nil {
			return err
		}
	}
	for id, t := range h.targets {
		if !wanted[id] {
			delete(h.targets, id)
			go t.retire()
		}
	}
	return nil
}

// sameAccess reports whether connections that were opened with one version of the settings may serve another one.
func sameAccess(a, b config.Service) bool {
	return a.User == b.User && a.Password == b.Password && a.Database == b.Database
}

func (h *home) configureTarget(t config.Target, s config.Service, reopen bool) error {
	known := h.targets[t.ID]
	if known != nil && known.address == t.Address {
		known.slots.Store(int64(s.Slots))
		known.queue.setSlots(s.Slots)
		known.traffic.Load().SetLimit(trafficConnections(s))
		if reopen {
			old := known.traffic.Swap(&trafficBox{h.dial(t.Address)})
			go old.Close()
		}
		return nil
	}
	queue, err := newSlotQueue(s.Slots)
	if err != nil {
		return err
	}
	added := &homeTarget{id: t.ID, address: t.Address, queue: queue}
	added.slots.Store(int64(s.Slots))
	added.traffic.Store(&trafficBox{h.dial(t.Address)})
	h.targets[t.ID] = added
	if known != nil {
		go known.retire()
	}
	return nil
}

// retireLimit bounds the time that running statements get on a target that was removed.
const retireLimit = 5 * time.Second

// retire lets running statements finish and closes the connections.
func (t *homeTarget) retire() {
	t.queue.close()
	for end := time.Now().Add(retireLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s := t.queue.stats(); s.Queued+s.Running == 0 {
			break
		}
	}
	t.traffic.Load().Close()
}

func (h *home) target(id model.TargetID) *homeTarget {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.targets[id]
}

// replaceConnections closes the connections for traffic of a target and opens new ones when they are needed.
func (h *home) replaceConnections(id model.TargetID) {
	t := h.target(id)
	if t == nil {
		return
	}
	old := t.traffic.Swap(&trafficBox{h.dial(t.address)})
	go old.Close()
}

// busy reports whether statements run or wait on any target.
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

// idle reports whether nothing runs on a target, except for open transactions.
func (h *home) idle(id model.TargetID) bool {
	t := h.target(id)
	return t == nil || t.queue.stats().Running == 0
}

// close ends all connections.
func (h *home) close() {
	h.stop()
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, t := range h.targets {
		t.queue.close()
		t.traffic.Load().Close()
	}
}

// publish replaces the view of the group.
func (h *home) publish(v failover.View, samples *routing.PositionSamples) {
	old := h.view.Swap(&groupView{view: v, samples: samples, changed: make(chan struct{})})
	if old != nil {
		close(old.changed)
	}
}

// routingGroup returns the state of the group with the load of its targets, and a channel that is closed when it
// changes.
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
			Replicated: m.Replicated, AdoptedTerm: m.AdoptedTerm, Position: m.Position, ActiveStatements: s.Running + s.Queued, Slots: int(t.slots.Load())})
	}
	return out, g.changed
}

// pollView is the longest time between two looks at a view that does not change.
const pollView = 100 * time.Millisecond

// awaitView waits until the view changes, the time has come, or the context ends.
func awaitView(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(min(max(time.Until(until), 0), pollView))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// execute runs an autocommit statement.
func (h *home) execute(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if refused, ok := refuseClass(class); ok {
		return daemon.ExecuteReply{Result: refused}
	}
	if class.MayRunOnReplica(q.ReadOnly) {
		return h.read(ctx, q)
	}
	return h.write(ctx, q)
}

// refuseClass refuses statements that may not run outside a transaction, or nowhere.
func refuseClass(c routing.Classification) (model.Result, bool) {
	switch c.Class {
	case routing.ClassSessionState:
		return model.NotRun(model.ReasonSessionState, c.Reason+"; connections are shared, so it is allowed in a transaction only"),
			true
	case routing.ClassTransactionControl:
		return model.NotRun(model.ReasonSessionState, c.Reason+"; use the transaction routes"), true
	case routing.ClassGroupCommand:
		return model.NotRun(model.ReasonBadRequest, c.Reason+"; callers may not order the group"), true
	}
	return model.Result{}, false
}

// read runs a statement that may run on a replica, and repeats it on another target when one fails.
func (h *home) read(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	deadline := deadlineOf(ctx)
	h.mu.RLock()
	wait := h.wait
	h.mu.RUnlock()
	read := routing.ReadRequest{Mark: q.Mark, MarkUnknown: q.MarkUnknown || q.HasStaleness && q.MaxStaleness == 0,
		MaxStaleness: q.MaxStaleness, WaitUntil: time.Now().Add(wait), Deadline: deadline,
		Rotation: uint(h.rotation.Add(1))}
	for attempts := 1; ; attempts++ {
		d, refused := h.chooseRead(ctx, read)
		if refused.Outcome != 0 {
			return daemon.ExecuteReply{Result: refused}
		}
		reply, answer := h.readOn(ctx, q, d)
		if answer.Code == codeReadOnly {
			h.log.decision("routing: replica refused a statement that writes, sending it to the primary",
				zap.String("service", string(h.service)), zap.String("target", string(d.Target)))
			return h.write(ctx, q)
		}
		if reply.Result.Outcome == model.OutcomeDone {
			h.metrics.Read(h.service, d.Kind == routing.KindReplica)
			return reply
		}
		if !h.retry.again(ctx, h.service, retry.KindRead, reply.Result, attempts) {
			return reply
		}
	}
}

// codeReadOnly is the SQLSTATE of a statement that writes in a read-only transaction.
const codeReadOnly = "25006"

// chooseRead decides where a read runs, and waits as long as the decision says so. A refusal has an outcome.
func (h *home) chooseRead(ctx context.Context, read routing.ReadRequest) (routing.Decision, model.Result) {
	for {
		group, changed := h.routingGroup()
		d := routing.ChooseRead(time.Now(), group, read)
		if refused, final := h.settle(ctx, d, changed, read.Mark); final {
			return d, refused
		}
	}
}

// settle acts on a decision. It reports whether the decision is final; a refusal has an outcome.
func (h *home) settle(ctx context.Context, d routing.Decision, changed <-chan struct{},
	mark model.Position) (model.Result, bool) {
	if d.ResolvePrimary {
		h.group.control.post(func(now time.Time) { h.group.handle(now, failover.TermObserved{Term: mark.Term}) })
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
		return model.NotRun(model.ReasonDeadline, "the time of the request ended: "+d.Explanation), true
	}
	awaitView(ctx, changed, d.Until)
	return model.Result{}, false
}

// readOn runs a read on the chosen target. A read of the primary waits until everything that it saw is durable, so
// that a session never sees data that a failover can remove.
func (h *home) readOn(ctx context.Context, q daemon.ExecuteRequest, d routing.Decision) (daemon.ExecuteReply, target.Answer) {
	t, ticket, refused := h.acquire(ctx, d.Target, q.Caller)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}, target.Answer{}
	}
	answer := t.traffic.Load().Read(ctx, statement(q), q.Mark)
	t.queue.release(ticket)
	if answer.Result.Outcome == model.OutcomeDone && d.Kind == routing.KindPrimary {
		if !<-h.group.awaitDurable(d.Target, answer.Position, deadlineOf(ctx)) {
			answer.Result = model.Unknown(model.ReasonNotDurable, "it is not known whether the data that was read is durable")
		}
	}
	return reply(answer, d.Target), answer
}

// acquire waits for a slot of a target. A refusal has an outcome; without one the slot must be released.
func (h *home) acquire(ctx context.Context, id model.TargetID, c daemon.Caller) (*homeTarget, fairqueue.Ticket, model.Result) {
	t := h.target(id)
	if t == nil {
		return nil, 0, model.NotRun(model.ReasonTargetUnavailable, "the target was removed")
	}
	started := time.Now()
	ticket, result := t.queue.acquire(ctx, fairqueue.Request{Workspace: c.Workspace, Deadline: deadlineOf(ctx),
		Recheck: func() model.Result { return h.recheck(c, h.service) }})
	h.metrics.QueueWait(h.service, time.Since(started))
	if result.Outcome != model.OutcomeDone {
		h.log.refusal("placement: request refused at the queue", zap.String("service", string(h.service)),
			zap.String("target", string(id)), zap.String("workspace", string(c.Workspace)),
			zap.String("reason", string(result.Reason)))
		return nil, 0, result
	}
	return t, ticket, model.Result{}
}

// write runs a statement on the primary together with its ledger entry. The entry makes a repetition safe: either it
// runs now and no earlier attempt can commit any more, or an earlier attempt has committed.
func (h *home) write(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	var ran *daemon.ExecuteReply // answer of an attempt that ran, but was not confirmed to be durable
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		r := h.writeOnce(ctx, q)
		if r.Duplicate && r.Result.Outcome == model.OutcomeDone && ran != nil {
			ran.Result, ran.Position, ran.Target = r.Result, r.Position, r.Target
			return *ran
		}
		if r.Result.Reason == model.ReasonNotDurable && !r.Duplicate {
			kept := r
			ran = &kept
		}
		mayHaveRun = mayHaveRun || r.Result.Outcome == model.OutcomeUnknown
		if r.Result.Outcome == model.OutcomeDone || !h.retry.again(ctx, h.service, retry.KindWrite, r.Result, attempts) {
			r.Result = lastResult(r.Result, mayHaveRun)
			return r
		}
	}
}

func (h *home) writeOnce(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	d, refused := h.chooseWrite(ctx, q.Mark)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	t, ticket, refused := h.acquire(ctx, d.Target, q.Caller)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	answer := t.traffic.Load().Write(ctx, target.Request{Workspace: q.Caller.Workspace, ID: q.RequestID},
		statement(q))
	t.queue.release(ticket)
	if answer.Result.Outcome == model.OutcomeDone && !h.durable(ctx, d.Target, answer.Position) {
		answer.Result = model.Unknown(model.ReasonNotDurable,
			"the write ran on a primary, but a majority of the group did not confirm it in time")
	}
	return reply(answer, d.Target)
}

func (h *home) chooseWrite(ctx context.Context, mark model.Position) (routing.Decision, model.Result) {
	for {
		group, changed := h.routingGroup()
		d := routing.ChooseWrite(time.Now(), group, mark, deadlineOf(ctx))
		if refused, final := h.settle(ctx, d, changed, mark); final {
			return d, refused
		}
	}
}

// durable waits until a majority has everything up to a position.
func (h *home) durable(ctx context.Context, id model.TargetID, p model.Position) bool {
	deadline := deadlineOf(ctx)
	if least := time.Now().Add(durabilityWait); deadline.Before(least) {
		deadline = least
	}
	return <-h.group.awaitDurable(id, p, deadline)
}

func statement(q daemon.ExecuteRequest) target.Statement {
	return target.Statement{SQL: q.SQL, Args: q.Args.Text, NullArgs: q.Args.Null}
}

// reply turns the answer of a target into a reply for the entry host.
func reply(a target.Answer, id model.TargetID) daemon.ExecuteReply {
	r := daemon.ExecuteReply{Result: a.Result, Columns: a.Rows.Columns, Rows: len(a.Rows.Values),
		Affected: a.Rows.Affected, Duplicate: a.Duplicate, Target: id, Position: a.Position, SQLState: a.Code}
	for _, row := range a.Rows.Values {
		for _, cell := range row {
			r.Cells.Add(cell)
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
	ledgerInterval = time.Minute    // time between two cleanings of the request ledger
	ledgerAge      = 24 * time.Hour // time for which request ids are remembered
	ledgerBatch    = 1000           // entries that one statement deletes
	ledgerTimeout  = 5 * time.Second
)

// cleanLedger deletes old entries of the request ledger in batches, until the context ends.
func (h *home) cleanLedger(ctx context.Context) {
	for sleep(ctx, ledgerInterval) {
		g := h.view.Load()
		if g == nil || !g.view.Writable {
			continue
		}
		if t := h.target(g.view.Primary); t != nil {
			h.cleanBatch(ctx, t)
		}
	}
}

func (h *home) cleanBatch(ctx context.Context, t *homeTarget) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	answer := t.traffic.Load().CleanLedger(ctx, ledgerAge, ledgerBatch)
	if answer.Rows.Affected > 0 {
		h.log.log.Info("target: old ledger entries deleted", zap.String("service", string(h.service)),
			zap.Int64("entries", answer.Rows.Affected))
	}
}
