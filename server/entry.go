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

// Kinds of requests in metrics and logs.
const (
	kindExecute  = "execute"
	kindBegin    = "begin"
	kindCommit   = "commit"
	kindRollback = "rollback"
)

// homeHop is the part of a request's time that is kept for the way back from the home.
const homeHop = 2 * time.Millisecond

// admitted is a request that may run: its key is valid, its workspace may use the service, and it has a token.
type admitted struct {
	snapshot *snapshot
	caller   daemon.Caller
	session  session.Token
	service  model.Service
}

// Execute implements caller.Backend.
func (s *Server) Execute(ctx context.Context, r caller.Request, st caller.Statement) (caller.Answer, model.Result) {
	return s.serve(ctx, r, kindExecute, true, func(ctx context.Context, a *admitted) (caller.Answer, model.Result) {
		return s.executeAdmitted(ctx, a, r, st)
	})
}

// Begin implements caller.Backend.
func (s *Server) Begin(ctx context.Context, r caller.Request) (caller.Answer, model.Result) {
	return s.serve(ctx, r, kindBegin, true, func(ctx context.Context, a *admitted) (caller.Answer, model.Result) {
		mark, _ := a.session.Mark(a.service)
		q := daemon.BeginRequest{Caller: a.caller, Service: a.service, Mark: mark, RequestID: r.RequestID}
		var reply daemon.BeginReply
		reply.Result = s.atHome(ctx, a, retry.KindBegin, func(host model.HostID) model.Result {
			q.Remaining = remaining(ctx)
			var err error
			if reply, err = s.callBegin(ctx, host, q); err != nil {
				return hopFailure(ctx, err)
			}
			return reply.Result
		})
		return caller.Answer{Transaction: reply.Handle, SessionToken: s.encode(a, a.session)}, reply.Result
	})
}

// End implements caller.Backend. Ending a transaction takes no token, because refusing a commit would only keep its
// connection longer.
func (s *Server) End(ctx context.Context, r caller.Request, handle string, commit bool) (caller.Answer, model.Result) {
	kind := kindRollback
	if commit {
		kind = kindCommit
	}
	return s.serve(ctx, r, kind, false, func(ctx context.Context, a *admitted) (caller.Answer, model.Result) {
		h, refused := s.openHandle(a, handle)
		if refused.Outcome != 0 {
			return caller.Answer{}, refused
		}
		q := daemon.EndRequest{Caller: a.caller, Service: a.service, Handle: handle, Commit: commit,
			RequestID: r.RequestID, Remaining: remaining(ctx)}
		reply, err := s.callEnd(ctx, h.Home, q)
		if err != nil {
			reply.Result = transactionFailure(ctx, err)
		}
		token := a.session.Advance(a.service, reply.Position)
		return caller.Answer{SessionToken: s.encode(a, token)}, reply.Result
	})
}

// serve does what all keyed requests have in common.
func (s *Server) serve(ctx context.Context, r caller.Request, kind string, token bool,
	run func(context.Context, *admitted) (caller.Answer, model.Result)) (caller.Answer, model.Result) {
	started := time.Now()
	release, refused := s.enter()
	if refused.Outcome != 0 {
		return caller.Answer{}, refused
	}
	defer release()
	snap := s.snapshot.Load()
	ctx, cancel := context.WithTimeout(ctx, s.timeout(snap, r.Timeout))
	defer cancel()
	a, refused := s.admit(ctx, snap, r, token)
	if refused.Outcome != 0 {
		s.finish(r, a, kind, refused, started)
		return caller.Answer{}, refused
	}
	answer, result := run(ctx, a)
	s.finish(r, a, kind, result, started)
	return answer, result
}

// enter counts a request in, unless the host is draining or has too many.
func (s *Server) enter() (release func(), refused model.Result) {
	if s.refusing.Load() {
		return nil, model.NotRun(model.ReasonDraining, "the host is stopping; use another host")
	}
	snap := s.snapshot.Load()
	most := int64(config.DefaultMaxConcurrent)
	if snap.settings != nil {
		most = int64(snap.settings.Limits.MaxConcurrent)
	}
	if s.running.Add(1) > most {
		s.running.Add(-1)
		return nil, model.NotRun(model.ReasonOverload, fmt.Sprintf("the host already serves %d requests", most))
	}
	return func() { s.running.Add(-1) }, model.Result{}
}

// timeout returns the time of a request: what the caller states, bounded by the default.
func (s *Server) timeout(snap *snapshot, stated time.Duration) time.Duration {
	if stated > 0 {
		return stated
	}
	if snap.settings != nil {
		return snap.settings.Timing.StatementTimeout
	}
	return config.DefaultStatementTimeout
}

// finish logs and counts the outcome of a request.
func (s *Server) finish(r caller.Request, a *admitted, kind string, result model.Result, started time.Time) {
	w := model.Workspace("")
	if a != nil {
		w = a.caller.Workspace
	}
	service := s.knownService(r.Service)
	s.metrics.Request(service, w, kind, result, time.Since(started))
	fields := []zap.Field{zap.String("kind", kind), zap.String("service", string(r.Service)),
		zap.String("workspace", string(w)), zap.String("request", r.RequestID),
		zap.Stringer("outcome", result.Outcome), zap.Duration("took", time.Since(started))}
	if result.Outcome == model.OutcomeDone {
		s.decisions.decision("caller: request is done", fields...)
		return
	}
	s.decisions.refusal("caller: request was not answered with done",
		append(fields, zap.String("reason", string(result.Reason)), zap.String("detail", result.Detail))...)
}

// knownService keeps names that callers invent out of the labels of metrics.
func (s *Server) knownService(name model.Service) model.Service {
	if snap := s.snapshot.Load(); snap.settings != nil {
		if _, ok := snap.settings.Services[name]; ok {
			return name
		}
	}
	return "unknown"
}

// admit checks proof of freshness, key, service, session and rate, in this order.
func (s *Server) admit(ctx context.Context, snap *snapshot, r caller.Request, token bool) (*admitted, model.Result) {
	if !snap.fresh(time.Now()) {
		return nil, model.NotRun(model.ReasonConfigurationStale,
			"the host cannot prove that its configuration is fresh; use another host")
	}
	record, refused := checkKey(snap, r.Authorization)
	if refused.Outcome != 0 {
		return nil, refused
	}
	a := &admitted{snapshot: snap, service: r.Service,
		caller: daemon.Caller{Workspace: record.Workspace, Key: record.ID}}
	if refused := checkService(snap, record.Workspace, r.Service); refused.Outcome != 0 {
		return a, refused
	}
	var err error
	if a.session, err = snap.tokens.Decode(r.SessionToken, record.Workspace); err != nil {
		return a, model.NotRun(model.ReasonSessionInvalid, err.Error())
	}
	if token {
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
	record, err := snap.keys.Check(k)
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

// takeToken takes a token of the workspace's rate. The result has an outcome only when there is none.
func (s *Server) takeToken(ctx context.Context, w model.Workspace) model.Result {
	d := s.limiter.admit(ctx, w)
	if d.Status == limit.Admitted {
		return model.Result{}
	}
	if !d.Exhausted {
		s.metrics.RefusedInsideRate(w)
	}
	r := model.NotRun(model.ReasonRateExceeded, fmt.Sprintf("workspace %q is at its rate and burst", w))
	r.RetryAfter = max(d.RetryAfter, time.Millisecond)
	return r
}

// recheck tells whether a request may still run when it gets its slot: its key may have been withdrawn, or the
// configuration become stale, while it was queued.
func (s *Server) recheck(c daemon.Caller, service model.Service) model.Result {
	snap := s.snapshot.Load()
	if !snap.fresh(time.Now()) {
		return model.NotRun(model.ReasonConfigurationStale, "the home cannot prove that its configuration is fresh")
	}
	if err := snap.keys.Recheck(c.Key, c.Workspace); err != nil {
		return keyRefusal(err)
	}
	return checkService(snap, c.Workspace, service)
}

func (s *Server) executeAdmitted(ctx context.Context, a *admitted, r caller.Request,
	st caller.Statement) (caller.Answer, model.Result) {
	mark, known := a.session.Mark(a.service)
	q := daemon.ExecuteRequest{Caller: a.caller, Service: a.service, SQL: st.SQL, Args: cells(st.Args),
		ReadOnly: st.ReadOnly, Idempotent: st.Idempotent, HasStaleness: st.HasStaleness, MaxStaleness: st.MaxStaleness,
		Mark: mark, MarkUnknown: !known, RequestID: r.RequestID, Transaction: st.Transaction}
	var reply daemon.ExecuteReply
	if st.Transaction != "" {
		reply = s.executeInTransaction(ctx, a, q)
	} else {
		reply = s.executeAlone(ctx, a, q)
	}
	if reply.Result.Outcome != model.OutcomeDone {
		return caller.Answer{}, reply.Result
	}
	token := a.session.Advance(a.service, reply.Position)
	return caller.Answer{Columns: orEmpty(reply.Columns), Rows: rows(reply), Affected: reply.Affected,
		Duplicate: reply.Duplicate, Target: reply.Target, SessionToken: s.encode(a, token)}, reply.Result
}

// executeAlone runs an autocommit statement at the home of the service.
func (s *Server) executeAlone(ctx context.Context, a *admitted, q daemon.ExecuteRequest) daemon.ExecuteReply {
	class := routing.Classify(q.SQL)
	if refused, ok := refuseClass(class); ok {
		return daemon.ExecuteReply{Result: refused}
	}
	kind := retry.KindWrite
	if class.MayRunOnReplica(q.ReadOnly) {
		kind = retry.KindRead
	}
	var reply daemon.ExecuteReply
	reply.Result = s.atHome(ctx, a, kind, func(host model.HostID) model.Result {
		q.Remaining = remaining(ctx)
		var err error
		if reply, err = s.callExecute(ctx, host, q); err != nil {
			return hopFailure(ctx, err)
		}
		return reply.Result
	})
	return reply
}

// executeInTransaction runs a statement at the host that the transaction's handle names. It is never repeated.
func (s *Server) executeInTransaction(ctx context.Context, a *admitted, q daemon.ExecuteRequest) daemon.ExecuteReply {
	h, refused := s.openHandle(a, q.Transaction)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	q.Remaining = remaining(ctx)
	reply, err := s.callExecute(ctx, h.Home, q)
	if err != nil {
		reply.Result = transactionFailure(ctx, err)
	}
	return reply
}

// openHandle authenticates a transaction handle and checks that it belongs to the caller. A refusal has an outcome.
func (s *Server) openHandle(a *admitted, text string) (txn.Handle, model.Result) {
	sealer, err := txn.NewSealer(a.snapshot.secret)
	if err != nil {
		panic("the secret of transaction handles is invalid: " + err.Error())
	}
	h, err := sealer.Open(text)
	if err == nil {
		err = h.Check(a.service, owner(a.caller))
	}
	if err != nil {
		return txn.Handle{}, txnRefusal(err)
	}
	return h, model.Result{}
}

// atHome calls the home of the service, and calls it or its successor again as the retry policy allows. When an attempt
// may have run, a later refusal proves nothing about it, so the outcome stays unknown.
func (s *Server) atHome(ctx context.Context, a *admitted, kind retry.Kind, call func(model.HostID) model.Result) model.Result {
	s.retry.request()
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		result := s.callHome(a, call)
		mayHaveRun = mayHaveRun || result.Outcome == model.OutcomeUnknown
		if result.Outcome == model.OutcomeDone || !s.retry.again(ctx, a.service, kind, result, attempts) {
			return lastResult(result, mayHaveRun)
		}
	}
}

func (s *Server) callHome(a *admitted, call func(model.HostID) model.Result) model.Result {
	host, ok := s.snapshot.Load().homes[a.service]
	if !ok {
		return model.NotRun(model.ReasonHomeUnreachable, "no live host can be the home of the service")
	}
	s.decisions.decision("placement: request goes to the home of its service", zap.String("service", string(a.service)),
		zap.String("home", string(host)), zap.String("workspace", string(a.caller.Workspace)))
	return call(host)
}

// hopFailure maps a failed call of another daemon to a result.
func hopFailure(ctx context.Context, err error) model.Result {
	f := retry.HopError{Stage: retry.StageSent, Detail: err.Error(), Reason: model.ReasonConnectionLost}
	if daemon.IsNotSent(err) {
		f.Stage, f.Reason = retry.StageConnect, model.ReasonHomeUnreachable
	} else if ctx.Err() != nil {
		f.Reason = model.ReasonDeadline
	}
	return f.Result()
}

// transactionFailure maps a failed call of the host that has a transaction. When that host cannot be reached, its
// connection to the target is closed, so that the target rolls the transaction back.
func transactionFailure(ctx context.Context, err error) model.Result {
	r := hopFailure(ctx, err)
	if r.Outcome == model.OutcomeNotRun {
		r.Reason = model.ReasonTransactionLost
	}
	return r
}

func (s *Server) encode(a *admitted, t session.Token) string {
	text, err := a.snapshot.tokens.Encode(t)
	if err != nil {
		panic(fmt.Sprintf("a session token cannot be encoded: %v", err))
	}
	return text
}

func remaining(ctx context.Context) time.Duration {
	return max(time.Until(deadlineOf(ctx))-homeHop, 0)
}

func cells(args []caller.Argument) daemon.Cells {
	var c daemon.Cells
	for _, a := range args {
		if a.Null {
			c.Add(nil)
			continue
		}
		c.Add(&a.Text)
	}
	return c
}

func rows(r daemon.ExecuteReply) [][]any {
	out := make([][]any, r.Rows)
	width := len(r.Columns)
	for i := range out {
		out[i] = make([]any, width)
		for j := range width {
			if at := i*width + j; !r.Cells.IsNull(at) {
				out[i][j] = r.Cells.Text[at]
			}
		}
	}
	return out
}

func orEmpty(names []string) []string {
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
