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
	// expireInterval is the interval between checks for idle transactions.
	expireInterval = 200 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = 2 * time.Second
	// drainReserve is the part of the drain limit reserved for the shutdown steps after transactions have ended.
	drainReserve = 3 * time.Second
)

// openTransaction is a transaction with the connection that it occupies.
type openTransaction struct {
	home        *home
	target      model.TargetID
	transaction target.Transaction // nil until it has begun on the target
}

// transactions runs the explicit transactions of the services whose home is this host. Each service keeps its table for the
// lifetime of the process, so that transaction ids are never reused.
type transactions struct {
	server *Server

	mu     sync.Mutex
	tables map[model.Service]*txn.Table[*openTransaction]
}

func newTransactions(s *Server) *transactions {
	return &transactions{server: s, tables: map[model.Service]*txn.Table[*openTransaction]{}}
}

// table returns the table of a service and creates it if needed. t.mu must be held.
func (t *transactions) table(service model.Service) *txn.Table[*openTransaction] {
	if existing := t.tables[service]; existing != nil {
		return existing
	}
	snap := t.server.snapshot.Load()
	table, err := txn.NewTable[*openTransaction](transactionLimits(snap.settings, service))
	if err != nil {
		panic("the bounds of transactions are invalid: " + err.Error())
	}
	t.tables[service] = table
	return table
}

// transactionLimits returns the limits on open transactions of a service. It reserves one connection per slot for
// autocommit statements and divides the others among the workspaces that may use the service.
func transactionLimits(s *config.Settings, name model.Service) txn.Config {
	service := s.Services[name]
	workspaces := 0
	for _, w := range s.Workspaces {
		if w.Allows(name) {
			workspaces++
		}
	}
	maxPins := max(trafficConnections(service)-service.Slots, 1)
	return txn.Config{IdleTimeout: s.Timing.TransactionIdleTimeout, MaxPins: maxPins,
		MaxPinsPerWorkspace: fairqueue.FairShare(maxPins, workspaces)}
}

// codec returns the codec for transaction handles with the secret of the active configuration.
func (t *transactions) codec() (*txn.Codec, error) {
	return txn.NewCodec(t.server.snapshot.Load().secret)
}

func transactionOwner(c daemon.Caller) txn.Owner {
	return txn.Owner{Workspace: c.Workspace, Key: c.Key}
}

// txnRefusal converts an error of package txn to a result.
func txnRefusal(err error) model.Result {
	if e, ok := err.(txn.Error); ok {
		return e.Result()
	}
	return model.NotRun(model.ReasonBadRequest, err.Error())
}

// begin opens a transaction on the primary and returns its handle.
func (t *transactions) begin(ctx context.Context, h *home, q daemon.BeginRequest) daemon.BeginReply {
	if refused := t.server.reauthorize(q.Caller, q.Service); refused.Outcome != 0 {
		return daemon.BeginReply{Result: refused}
	}
	d, refused := h.chooseWrite(ctx, q.Mark)
	if refused.Outcome != 0 {
		return daemon.BeginReply{Result: refused}
	}
	primary := h.target(d.Target)
	if primary == nil {
		return daemon.BeginReply{Result: model.NotRun(model.ReasonTargetUnavailable, "the target was removed")}
	}
	opened := &openTransaction{home: h, target: d.Target}
	t.mu.Lock()
	lease, err := t.table(q.Service).Begin(q.Service, transactionOwner(q.Caller), opened)
	t.mu.Unlock()
	if err != nil {
		return daemon.BeginReply{Result: txnRefusal(err)}
	}
	transaction, response := primary.executor.Load().Begin(ctx, false)
	if response.Result.Outcome != model.OutcomeDone {
		t.removeLease(q.Service, lease)
		return daemon.BeginReply{Result: response.Result}
	}
	t.mu.Lock()
	opened.transaction = transaction
	active := t.table(q.Service).Release(time.Now(), lease)
	t.mu.Unlock()
	if !active {
		t.rollBackAsync(opened)
		return daemon.BeginReply{Result: model.NotRun(model.ReasonTransactionLost, "the host is leaving")}
	}
	return t.newHandleReply(q, lease)
}

// newHandleReply returns a reply with the signed handle of an opened transaction.
func (t *transactions) newHandleReply(q daemon.BeginRequest, lease txn.Lease) daemon.BeginReply {
	codec, err := t.codec()
	if err != nil {
		panic("the secret of transaction handles is invalid: " + err.Error())
	}
	text, err := codec.Encode(txn.Handle{Home: t.server.options.Daemon.Host, Incarnation: t.server.incarnation,
		LocalID: lease.ID, Service: q.Service, Workspace: q.Caller.Workspace, Key: q.Caller.Key})
	if err != nil {
		panic("a transaction handle cannot be encoded: " + err.Error())
	}
	t.server.decisions.decision("placement: transaction opened on a dedicated connection",
		zap.String("service", string(q.Service)), zap.String("workspace", string(q.Caller.Workspace)),
		zap.Uint64("transaction", uint64(lease.ID)))
	return daemon.BeginReply{Result: model.Done(), Handle: text}
}

func (t *transactions) releaseLease(service model.Service, lease txn.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table(service).Release(time.Now(), lease)
}

// removeLease removes a transaction and reports whether its lease was valid.
func (t *transactions) removeLease(service model.Service, lease txn.Lease) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table(service).End(lease)
}

// acquireHandle acquires exclusive use of the transaction named by a handle. The result has an outcome only if the handle
// is refused.
func (t *transactions) acquireHandle(handle string, c daemon.Caller,
	service model.Service) (txn.Lease, *openTransaction, model.Result) {
	codec, err := t.codec()
	if err != nil {
		return txn.Lease{}, nil, model.NotRun(model.ReasonConfigurationStale, "the host has no configuration")
	}
	h, err := codec.Decode(handle)
	if err == nil {
		err = h.CheckHome(t.server.options.Daemon.Host, t.server.incarnation)
	}
	if err == nil {
		err = h.CheckOwner(service, transactionOwner(c))
	}
	if err != nil {
		return txn.Lease{}, nil, txnRefusal(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lease, opened, err := t.table(service).Acquire(time.Now(), h.LocalID, service, transactionOwner(c))
	if err != nil {
		return txn.Lease{}, nil, txnRefusal(err)
	}
	return lease, opened, model.Result{}
}

// execute runs a statement in a transaction. If the outcome of the statement is unknown, the transaction is rolled back.
func (t *transactions) execute(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if class.Class == routing.ClassTransactionControl || class.Class == routing.ClassGroupCommand {
		refused, _ := refuseStatementClass(class)
		return daemon.ExecuteReply{Result: refused}
	}
	lease, opened, refused := t.acquireHandle(q.Transaction, q.Caller, q.Service)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	slotTarget, ticket, refused := opened.home.acquireSlot(ctx, opened.target, q.Caller)
	if refused.Outcome != 0 {
		t.releaseLease(q.Service, lease)
		return daemon.ExecuteReply{Result: refused}
	}
	response := opened.transaction.Execute(ctx, targetStatement(q))
	slotTarget.queue.release(ticket)
	if response.Result.Outcome == model.OutcomeUnknown {
		t.removeLease(q.Service, lease)
		t.rollBackAsync(opened)
	} else {
		t.releaseLease(q.Service, lease)
	}
	r := executeReply(response, opened.target)
	r.Position = model.Position{} // an open transaction does not advance the session's position
	return r
}

// end commits a transaction or rolls it back. A commit without confirmation of durability has an unknown outcome.
func (t *transactions) end(ctx context.Context, q daemon.EndRequest) daemon.EndReply {
	lease, opened, refused := t.acquireHandle(q.Handle, q.Caller, q.Service)
	if refused.Outcome != 0 {
		return daemon.EndReply{Result: refused}
	}
	if refused := t.server.reauthorize(q.Caller, q.Service); q.Commit && refused.Outcome != 0 {
		t.removeLease(q.Service, lease)
		t.rollBackAsync(opened)
		return daemon.EndReply{Result: refused}
	}
	var response target.Response
	if q.Commit {
		response = opened.transaction.Commit(ctx)
	} else {
		response = opened.transaction.Rollback(ctx)
	}
	t.removeLease(q.Service, lease)
	if q.Commit && response.Result.Outcome == model.OutcomeDone &&
		!opened.home.confirmDurable(ctx, opened.target, response.Position) {
		response.Result = model.Unknown(model.ReasonDurabilityUnconfirmed,
			"the transaction was committed on a primary, but a majority of the group did not confirm it in time")
	}
	return daemon.EndReply{Result: response.Result, Position: response.Position}
}

// rollBackAsync rolls back an abandoned transaction in the background. target.Transaction closes the connection if that
// fails.
func (t *transactions) rollBackAsync(opened *openTransaction) {
	transaction := opened.transaction
	if transaction == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		transaction.Rollback(ctx)
	}()
}

// openCount returns the number of open transactions of a service.
func (t *transactions) openCount(service model.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table := t.tables[service]; table != nil {
		return table.Len()
	}
	return 0
}

// run rolls back idle transactions until the context is cancelled.
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
			t.rollBackAsync(e.Value)
		}
	}
}

// drain waits for open transactions to end, and rolls back those still open drainReserve before the context's deadline.
func (t *transactions) drain(ctx context.Context) {
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
