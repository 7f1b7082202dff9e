package server

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/fairqueue"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/routing"
	"github.com/waxwingspindle/waxwingspindle/target"
	"github.com/waxwingspindle/waxwingspindle/txn"
)

const (
	// expireInterval is the time between two looks for idle transactions.
	expireInterval = 200 * time.Millisecond
	// rollbackTimeout bounds the rollback of a transaction whose caller has gone.
	rollbackTimeout = 2 * time.Second
	// drainReserve is the part of the drain limit that is kept for what comes after the transactions.
	drainReserve = 3 * time.Second
)

// pinned is a transaction with its connection.
type pinned struct {
	home        *home
	target      model.TargetID
	transaction target.Transaction // nil until it is open
}

// transactions runs explicit transactions of the services that this host is home of. There is one table for each service
// for the life of the process, so that the number of a transaction is never used twice.
type transactions struct {
	server *Server

	mu     sync.Mutex
	tables map[model.Service]*txn.Table[*pinned]
}

func newTransactions(s *Server) *transactions {
	return &transactions{server: s, tables: map[model.Service]*txn.Table[*pinned]{}}
}

// table returns the table of a service. The lock must be held.
func (t *transactions) table(service model.Service) *txn.Table[*pinned] {
	if known := t.tables[service]; known != nil {
		return known
	}
	snap := t.server.snapshot.Load()
	table, err := txn.NewTable[*pinned](pinBounds(snap.settings, service))
	if err != nil {
		panic("the bounds of transactions are invalid: " + err.Error())
	}
	t.tables[service] = table
	return table
}

// pinBounds leaves as many connections to statements outside of transactions as there are slots, and shares the rest
// among the workspaces that may use the service.
func pinBounds(s *config.Settings, name model.Service) txn.Config {
	service := s.Services[name]
	workspaces := 0
	for _, w := range s.Workspaces {
		if w.Allows(name) {
			workspaces++
		}
	}
	most := max(trafficConnections(service)-service.Slots, 1)
	return txn.Config{IdleTimeout: s.Timing.TransactionIdle, MaxPins: most,
		MaxPinsPerWorkspace: fairqueue.FairShare(most, workspaces)}
}

func (t *transactions) sealer() (*txn.Sealer, error) {
	return txn.NewSealer(t.server.snapshot.Load().secret)
}

func owner(c daemon.Caller) txn.Owner { return txn.Owner{Workspace: c.Workspace, Key: c.Key} }

// txnRefusal returns the result of an error of package txn.
func txnRefusal(err error) model.Result {
	if e, ok := err.(txn.Error); ok {
		return e.Result()
	}
	return model.NotRun(model.ReasonBadRequest, err.Error())
}

// begin opens a transaction on the primary.
func (t *transactions) begin(ctx context.Context, h *home, q daemon.BeginRequest) daemon.BeginReply {
	if refused := t.server.recheck(q.Caller, q.Service); refused.Outcome != 0 {
		return daemon.BeginReply{Result: refused}
	}
	d, refused := h.chooseWrite(ctx, q.Mark)
	if refused.Outcome != 0 {
		return daemon.BeginReply{Result: refused}
	}
	on := h.target(d.Target)
	if on == nil {
		return daemon.BeginReply{Result: model.NotRun(model.ReasonTargetUnavailable, "the target was removed")}
	}
	p := &pinned{home: h, target: d.Target}
	t.mu.Lock()
	lease, err := t.table(q.Service).Begin(q.Service, owner(q.Caller), p)
	t.mu.Unlock()
	if err != nil {
		return daemon.BeginReply{Result: txnRefusal(err)}
	}
	transaction, answer := on.traffic.Load().Begin(ctx, false)
	if answer.Result.Outcome != model.OutcomeDone {
		t.remove(q.Service, lease)
		return daemon.BeginReply{Result: answer.Result}
	}
	t.mu.Lock()
	p.transaction = transaction
	kept := t.table(q.Service).Release(time.Now(), lease)
	t.mu.Unlock()
	if !kept {
		t.rollBack(p)
		return daemon.BeginReply{Result: model.NotRun(model.ReasonTransactionLost, "the host is leaving")}
	}
	return t.opened(q, lease)
}

// opened returns the handle of a transaction that was opened.
func (t *transactions) opened(q daemon.BeginRequest, lease txn.Lease) daemon.BeginReply {
	sealer, err := t.sealer()
	if err != nil {
		panic("the secret of transaction handles is invalid: " + err.Error())
	}
	text, err := sealer.Seal(txn.Handle{Home: t.server.options.Daemon.Host, Incarnation: t.server.incarnation,
		Local: lease.ID, Service: q.Service, Workspace: q.Caller.Workspace, Key: q.Caller.Key})
	if err != nil {
		panic("a transaction handle cannot be sealed: " + err.Error())
	}
	t.server.decisions.decision("placement: transaction pins a connection", zap.String("service", string(q.Service)),
		zap.String("workspace", string(q.Caller.Workspace)), zap.Uint64("transaction", uint64(lease.ID)))
	return daemon.BeginReply{Result: model.Done(), Handle: text}
}

func (t *transactions) release(service model.Service, lease txn.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table(service).Release(time.Now(), lease)
}

// remove removes a transaction and reports whether the lease was in force.
func (t *transactions) remove(service model.Service, lease txn.Lease) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table(service).End(lease)
}

// use takes the exclusive use of the transaction that a handle names. A refusal has an outcome.
func (t *transactions) use(handle string, c daemon.Caller, service model.Service) (txn.Lease, *pinned, model.Result) {
	sealer, err := t.sealer()
	if err != nil {
		return txn.Lease{}, nil, model.NotRun(model.ReasonConfigurationStale, "the host has no configuration")
	}
	h, err := sealer.Open(handle)
	if err == nil {
		err = h.CheckHome(t.server.options.Daemon.Host, t.server.incarnation)
	}
	if err == nil {
		err = h.Check(service, owner(c))
	}
	if err != nil {
		return txn.Lease{}, nil, txnRefusal(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lease, p, err := t.table(service).Use(time.Now(), h.Local, service, owner(c))
	if err != nil {
		return txn.Lease{}, nil, txnRefusal(err)
	}
	return lease, p, model.Result{}
}

// execute runs a statement in a transaction. A statement whose answer was lost ends the transaction.
func (t *transactions) execute(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if class.Class == routing.ClassTransactionControl || class.Class == routing.ClassGroupCommand {
		refused, _ := refuseClass(class)
		return daemon.ExecuteReply{Result: refused}
	}
	lease, p, refused := t.use(q.Transaction, q.Caller, q.Service)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	on, ticket, refused := p.home.acquire(ctx, p.target, q.Caller)
	if refused.Outcome != 0 {
		t.release(q.Service, lease)
		return daemon.ExecuteReply{Result: refused}
	}
	answer := p.transaction.Execute(ctx, statement(q))
	on.queue.release(ticket)
	if answer.Result.Outcome == model.OutcomeUnknown {
		t.remove(q.Service, lease)
		t.rollBack(p)
	} else {
		t.release(q.Service, lease)
	}
	r := reply(answer, p.target)
	r.Position = model.Position{} // nothing of an open transaction belongs to what the session has seen
	return r
}

// end commits a transaction or rolls it back. A commit that is not known to be durable has an unknown outcome.
func (t *transactions) end(ctx context.Context, q daemon.EndRequest) daemon.EndReply {
	lease, p, refused := t.use(q.Handle, q.Caller, q.Service)
	if refused.Outcome != 0 {
		return daemon.EndReply{Result: refused}
	}
	if refused := t.server.recheck(q.Caller, q.Service); q.Commit && refused.Outcome != 0 {
		t.remove(q.Service, lease)
		t.rollBack(p)
		return daemon.EndReply{Result: refused}
	}
	var answer target.Answer
	if q.Commit {
		answer = p.transaction.Commit(ctx)
	} else {
		answer = p.transaction.Rollback(ctx)
	}
	t.remove(q.Service, lease)
	if q.Commit && answer.Result.Outcome == model.OutcomeDone && !p.home.durable(ctx, p.target, answer.Position) {
		answer.Result = model.Unknown(model.ReasonNotDurable,
			"the transaction was committed on a primary, but a majority of the group did not confirm it in time")
	}
	return daemon.EndReply{Result: answer.Result, Position: answer.Position}
}

// rollBack rolls a transaction back whose caller has gone, and closes its connection when that fails.
func (t *transactions) rollBack(p *pinned) {
	transaction := p.transaction
	if transaction == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		transaction.Rollback(ctx)
	}()
}

// open returns the number of open transactions of a service.
func (t *transactions) open(service model.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table := t.tables[service]; table != nil {
		return table.Len()
	}
	return 0
}

// run rolls idle transactions back until the context ends.
func (t *transactions) run(ctx context.Context) {
	for sleep(ctx, expireInterval) {
		t.expire()
	}
}

func (t *transactions) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, table := range t.tables {
		for _, e := range table.Expire(time.Now()) {
			t.server.log.Info("placement: transaction rolled back", zap.String("service", string(service)),
				zap.Uint64("transaction", uint64(e.ID)), zap.Bool("drain", e.Cause == txn.EndDrain))
			t.rollBack(e.Value)
		}
	}
}

// finish lets open transactions end until shortly before the context ends, and then rolls them back.
func (t *transactions) finish(ctx context.Context) {
	until := deadlineOf(ctx).Add(-drainReserve)
	t.mu.Lock()
	for _, table := range t.tables {
		table.Drain(until)
	}
	t.mu.Unlock()
	for t.anyOpen() && sleep(ctx, 10*time.Millisecond) {
	}
}

func (t *transactions) anyOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, table := range t.tables {
		if table.Len() > 0 {
			return true
		}
	}
	return false
}
