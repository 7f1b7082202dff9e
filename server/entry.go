package server

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/caller"
	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/key"
	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/retry"
	"github.com/waxwingspindle/waxwingspindle/routing"
	"github.com/waxwingspindle/waxwingspindle/session"
	"github.com/waxwingspindle/waxwingspindle/txn"
)

// Request kinds in metrics and logs.
const (
	kindExecute  = "execute"
	kindBegin    = "begin"
	kindCommit   = "commit"
	kindRollback = "rollback"
)

// responseReserve is subtracted from the remaining time of a request that is forwarded to a home, for the response to
// travel back.
const responseReserve = 2 * time.Millisecond

// admittedRequest is an authenticated request: its key is valid, its workspace may use the service, and it has taken a
// rate limit token if its kind requires one. It is bound to the snapshot that it was checked against.
type admittedRequest struct {
	snapshot *snapshot
	caller   daemon.Caller
	session  session.Token
	service  model.Service
}

// Execute implements caller.Backend.
func (s *Server) Execute(ctx context.Context, r caller.Request, st caller.Statement) (caller.Response, model.Result) {
	return s.handleRequest(ctx, r, kindExecute, true,
		func(ctx context.Context, a *admittedRequest) (caller.Response, model.Result) {
			return s.executeAdmitted(ctx, a, r, st)
		})
}

// Begin implements caller.Backend.
func (s *Server) Begin(ctx context.Context, r caller.Request) (caller.Response, model.Result) {
	return s.handleRequest(ctx, r, kindBegin, true,
		func(ctx context.Context, a *admittedRequest) (caller.Response, model.Result) {
			mark, _ := a.session.Mark(a.service)
			q := daemon.BeginRequest{Caller: a.caller, Service: a.service, Mark: mark, RequestID: r.RequestID}
			var reply daemon.BeginReply
			reply.Result = s.callHomeWithRetry(ctx, a, retry.KindBegin, func(host model.HostID) model.Result {
				q.Remaining = remainingForHome(ctx)
				var err error
				if reply, err = s.callBegin(ctx, host, q); err != nil {
					return rpcFailure(ctx, err)
				}
				return reply.Result
			})
			return caller.Response{Transaction: reply.Handle, SessionToken: s.encodeSession(a, a.session)}, reply.Result
		})
}

// End implements caller.Backend. Ending a transaction takes no rate limit token, because refusing a commit would only keep
// its connection occupied for longer.
func (s *Server) End(ctx context.Context, r caller.Request, handle string, commit bool) (caller.Response, model.Result) {
	kind := kindRollback
	if commit {
		kind = kindCommit
	}
	return s.handleRequest(ctx, r, kind, false,
		func(ctx context.Context, a *admittedRequest) (caller.Response, model.Result) {
			h, refused := s.openHandle(a, handle)
			if refused.Outcome != 0 {
				return caller.Response{}, refused
			}
			q := daemon.EndRequest{Caller: a.caller, Service: a.service, Handle: handle, Commit: commit,
				RequestID: r.RequestID, Remaining: remainingForHome(ctx)}
			reply, err := s.callEnd(ctx, h.Home, q)
			if err != nil {
				reply.Result = transactionRPCFailure(ctx, err)
			}
			token := a.session.Advance(a.service, reply.Position)
			return caller.Response{SessionToken: s.encodeSession(a, token)}, reply.Result
		})
}

// handleRequest runs an authenticated request: it checks the concurrency limit, sets the deadline, authorizes the request,
// and records its outcome.
func (s *Server) handleRequest(ctx context.Context, r caller.Request, kind string, needsToken bool,
	run func(context.Context, *admittedRequest) (caller.Response, model.Result)) (caller.Response, model.Result) {
	started := time.Now()
	release, refused := s.startRequest()
	if refused.Outcome != 0 {
		return caller.Response{}, refused
	}
	defer release()
	snap := s.snapshot.Load()
	ctx, cancel := context.WithTimeout(ctx, s.requestTimeout(snap, r.Timeout))
	defer cancel()
	a, refused := s.admit(ctx, snap, r, needsToken)
	if refused.Outcome != 0 {
		s.recordOutcome(r, a, kind, refused, started)
		return caller.Response{}, refused
	}
	response, result := run(ctx, a)
	s.recordOutcome(r, a, kind, result, started)
	return response, result
}

// startRequest counts a request as in progress until release is called. It refuses the request if the host is stopping or
// at its concurrency limit; refused has an outcome only then.
func (s *Server) startRequest() (release func(), refused model.Result) {
	if s.rejecting.Load() {
		return nil, model.NotRun(model.ReasonDraining, "the host is stopping; use another host")
	}
	snap := s.snapshot.Load()
	maxConcurrent := int64(config.DefaultMaxConcurrentRequests)
	if snap.settings != nil {
		maxConcurrent = int64(snap.settings.Limits.MaxConcurrentRequests)
	}
	if s.callerRequests.Add(1) > maxConcurrent {
		s.callerRequests.Add(-1)
		return nil, model.NotRun(model.ReasonOverload, fmt.Sprintf("the host already serves %d requests", maxConcurrent))
	}
	return func() { s.callerRequests.Add(-1) }, model.Result{}
}

// requestTimeout returns the timeout requested by the caller, or the configured default if there is none.
func (s *Server) requestTimeout(snap *snapshot, requested time.Duration) time.Duration {
	if requested > 0 {
		return requested
	}
	if snap.settings != nil {
		return snap.settings.Timing.StatementTimeout
	}
	return config.DefaultStatementTimeout
}

// recordOutcome logs a finished request and updates the metrics.
func (s *Server) recordOutcome(r caller.Request, a *admittedRequest, kind string, result model.Result, started time.Time) {
	w := model.Workspace("")
	if a != nil {
		w = a.caller.Workspace
	}
	service := s.serviceLabel(r.Service)
	s.metrics.ObserveRequest(service, w, kind, result, time.Since(started))
	fields := []zap.Field{zap.String("kind", kind), zap.String("service", string(r.Service)),
		zap.String("workspace", string(w)), zap.String("request", r.RequestID),
		zap.Stringer("outcome", result.Outcome), zap.Duration("took", time.Since(started))}
	if result.Outcome == model.OutcomeDone {
		s.decisions.decision("caller: request done", fields...)
		return
	}
	s.decisions.refusal("caller: request refused or failed",
		append(fields, zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail))...)
}

// serviceLabel returns the metric label of a service. Names that are not configured map to "unknown", so that callers
// cannot create arbitrary label values.
func (s *Server) serviceLabel(name model.Service) model.Service {
	if snap := s.snapshot.Load(); snap.settings != nil {
		if _, ok := snap.settings.Services[name]; ok {
			return name
		}
	}
	return "unknown"
}

// admit checks proof of freshness, key, service, session token and rate, in this order. The result has an outcome only if
// the request is refused. A request that is refused after its key was verified is returned too, so that its workspace can
// be logged.
func (s *Server) admit(ctx context.Context, snap *snapshot, r caller.Request,
	needsToken bool) (*admittedRequest, model.Result) {
	if !snap.fresh(time.Now()) {
		return nil, model.NotRun(model.ReasonConfigurationStale,
			"the host cannot prove that its configuration is fresh; use another host")
	}
	record, refused := checkKey(snap, r.Authorization)
	if refused.Outcome != 0 {
		return nil, refused
	}
	a := &admittedRequest{snapshot: snap, service: r.Service,
		caller: daemon.Caller{Workspace: record.Workspace, Key: record.ID}}
	if refused := checkService(snap, record.Workspace, r.Service); refused.Outcome != 0 {
		return a, refused
	}
	var err error
	if a.session, err = snap.tokens.Decode(r.SessionToken, record.Workspace); err != nil {
		return a, model.NotRun(model.ReasonSessionTokenInvalid, err.Error())
	}
	if needsToken {
		return a, s.takeToken(ctx, record.Workspace)
	}
	return a, model.Result{}
}

func checkKey(snap *snapshot, authorization string) (key.Record, model.Result) {
	headers := []string{}
	if authorization != "" {
		headers = append(headers, authorization)
	}
	k, err := key.FromHeader(headers)
	if err != nil {
		return key.Record{}, keyRefusal(err)
	}
	record, err := snap.keys.Verify(k)
	if err != nil {
		return key.Record{}, keyRefusal(err)
	}
	return record, model.Result{}
}

func keyRefusal(err error) model.Result {
	if e, ok := err.(key.Error); ok {
		return e.Result()
	}
	return model.NotRun(model.ReasonKeyInvalid, err.Error())
}

func checkService(snap *snapshot, w model.Workspace, service model.Service) model.Result {
	if _, ok := snap.settings.Services[service]; !ok {
		return model.NotRun(model.ReasonServiceUnknown, fmt.Sprintf("there is no service %q", service))
	}
	if !snap.settings.Workspaces[w].Allows(service) {
		return model.NotRun(model.ReasonServiceForbidden,
			fmt.Sprintf("workspace %q may not use service %q", w, service))
	}
	return model.Result{}
}

// takeToken takes a rate limit token of the workspace. The result has an outcome only if the request is refused.
func (s *Server) takeToken(ctx context.Context, w model.Workspace) model.Result {
	d := s.limiter.admit(ctx, w)
	if d.Status == limit.Admitted {
		return model.Result{}
	}
	if !d.Exhausted {
		s.metrics.CountRefusedInsideRate(w)
	}
	r := model.NotRun(model.ReasonRateExceeded, fmt.Sprintf("workspace %q is at its rate and burst", w))
	r.RetryAfter = max(d.RetryAfter, time.Millisecond)
	return r
}

// reauthorize checks a request again when it gets its slot, because the key may have been withdrawn or the configuration
// may have become stale while the request was queued. The result has an outcome only if the request is refused.
func (s *Server) reauthorize(c daemon.Caller, service model.Service) model.Result {
	snap := s.snapshot.Load()
	if !snap.fresh(time.Now()) {
		return model.NotRun(model.ReasonConfigurationStale, "the home cannot prove that its configuration is fresh")
	}
	if err := snap.keys.Revalidate(c.Key, c.Workspace); err != nil {
		return keyRefusal(err)
	}
	return checkService(snap, c.Workspace, service)
}

func (s *Server) executeAdmitted(ctx context.Context, a *admittedRequest, r caller.Request,
	st caller.Statement) (caller.Response, model.Result) {
	mark, known := a.session.Mark(a.service)
	q := daemon.ExecuteRequest{Caller: a.caller, Service: a.service, SQL: st.SQL, Args: encodeArguments(st.Args),
		ReadOnly: st.ReadOnly, Idempotent: st.Idempotent, HasStaleness: st.HasStaleness, MaxStaleness: st.MaxStaleness,
		Mark: mark, MarkUnknown: !known, RequestID: r.RequestID, Transaction: st.Transaction}
	var reply daemon.ExecuteReply
	if st.Transaction != "" {
		reply = s.executeInTransaction(ctx, a, q)
	} else {
		reply = s.executeAutocommit(ctx, a, q)
	}
	if reply.Result.Outcome != model.OutcomeDone {
		return caller.Response{}, reply.Result
	}
	token := a.session.Advance(a.service, reply.Position)
	return caller.Response{Columns: nonNil(reply.Columns), Rows: decodeRows(reply), Affected: reply.Affected,
		Duplicate: reply.Duplicate, Target: reply.Target, SessionToken: s.encodeSession(a, token)}, reply.Result
}

// executeAutocommit runs an autocommit statement at the home of the service.
func (s *Server) executeAutocommit(ctx context.Context, a *admittedRequest, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if refused, ok := refuseStatementClass(class); ok {
		return daemon.ExecuteReply{Result: refused}
	}
	kind := retry.KindWrite
	if class.MayRunOnReplica(q.ReadOnly) {
		kind = retry.KindRead
	}
	var reply daemon.ExecuteReply
	reply.Result = s.callHomeWithRetry(ctx, a, kind, func(host model.HostID) model.Result {
		q.Remaining = remainingForHome(ctx)
		var err error
		if reply, err = s.callExecute(ctx, host, q); err != nil {
			return rpcFailure(ctx, err)
		}
		return reply.Result
	})
	return reply
}

// executeInTransaction runs a statement at the host named in the transaction handle. It is never retried.
func (s *Server) executeInTransaction(ctx context.Context, a *admittedRequest,
	q daemon.ExecuteRequest) daemon.ExecuteReply {
	h, refused := s.openHandle(a, q.Transaction)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	q.Remaining = remainingForHome(ctx)
	reply, err := s.callExecute(ctx, h.Home, q)
	if err != nil {
		reply.Result = transactionRPCFailure(ctx, err)
	}
	return reply
}

// openHandle authenticates a transaction handle and checks that it belongs to the caller. The result has an outcome only if
// the handle is refused.
func (s *Server) openHandle(a *admittedRequest, text string) (txn.Handle, model.Result) {
	codec, err := txn.NewCodec(a.snapshot.secret)
	if err != nil {
		panic("the secret of transaction handles is invalid: " + err.Error())
	}
	h, err := codec.Decode(text)
	if err == nil {
		err = h.CheckOwner(a.service, transactionOwner(a.caller))
	}
	if err != nil {
		return txn.Handle{}, txnRefusal(err)
	}
	return h, model.Result{}
}

// callHomeWithRetry calls the home of the service, and retries at the current home as the retry policy allows. If an
// attempt may have run, the outcome stays unknown, because a later refusal proves nothing about that attempt.
func (s *Server) callHomeWithRetry(ctx context.Context, a *admittedRequest, kind retry.Kind,
	call func(model.HostID) model.Result) model.Result {
	s.retrier.countRequest()
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		result := s.callHome(a, call)
		mayHaveRun = mayHaveRun || result.Outcome == model.OutcomeUnknown
		if result.Outcome == model.OutcomeDone || !s.retrier.waitForRetry(ctx, a.service, kind, result, attempts) {
			return finalResult(result, mayHaveRun)
		}
	}
}

func (s *Server) callHome(a *admittedRequest, call func(model.HostID) model.Result) model.Result {
	host, ok := s.snapshot.Load().homes[a.service]
	if !ok {
		return model.NotRun(model.ReasonHomeUnreachable, "no live host can be the home of the service")
	}
	s.decisions.decision("placement: request forwarded to the home of its service",
		zap.String("service", string(a.service)), zap.String("home", string(host)),
		zap.String("workspace", string(a.caller.Workspace)))
	return call(host)
}

// rpcFailure converts the error of a call to another daemon to a result.
func rpcFailure(ctx context.Context, err error) model.Result {
	f := retry.HopError{Stage: retry.StageSent, Detail: err.Error(), Reason: model.ReasonConnectionLost}
	if daemon.IsNotSent(err) {
		f.Stage, f.Reason = retry.StageConnect, model.ReasonHomeUnreachable
	} else if ctx.Err() != nil {
		f.Reason = model.ReasonDeadlineExceeded
	}
	return f.Result()
}

// transactionRPCFailure converts the error of a call to the host that holds a transaction. If the request was not sent, the
// transaction counts as lost: the target rolls it back when that host's connection closes.
func transactionRPCFailure(ctx context.Context, err error) model.Result {
	r := rpcFailure(ctx, err)
	if r.Outcome == model.OutcomeNotRun {
		r.Reason = model.ReasonTransactionLost
	}
	return r
}

func (s *Server) encodeSession(a *admittedRequest, t session.Token) string {
	text, err := a.snapshot.tokens.Encode(t)
	if err != nil {
		panic(fmt.Sprintf("a session token cannot be encoded: %v", err))
	}
	return text
}

func remainingForHome(ctx context.Context) time.Duration {
	return max(time.Until(deadlineOf(ctx))-responseReserve, 0)
}

func encodeArguments(args []caller.Argument) daemon.Cells {
	var c daemon.Cells
	for _, a := range args {
		if a.Null {
			c.Append(nil)
			continue
		}
		c.Append(&a.Text)
	}
	return c
}

func decodeRows(r daemon.ExecuteReply) [][]any {
	out := make([][]any, r.Rows)
	width := len(r.Columns)
	for i := range out {
		out[i] = make([]any, width)
		for j := range width {
			if index := i*width + j; !r.Cells.IsNull(index) {
				out[i][j] = r.Cells.Text[index]
			}
		}
	}
	return out
}

func nonNil(names []string) []string {
	if names == nil {
		return []string{}
	}
	return names
}

// Status implements caller.Backend.
func (s *Server) Status() caller.Status {
	snap, now := s.snapshot.Load(), time.Now()
	state := snap.state(now, s.draining.Load())
	return caller.Status{Host: s.options.Daemon.Host, State: state, ConfigurationVersion: snap.version,
		Accepting: state == "serving" && snap.ready(s.options.Daemon.Host)}
}
