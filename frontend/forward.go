package frontend

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/balance"
	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/concurrency"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/region"
	"github.com/waxwingspindle/waxwingspindle/routing"
)

const (
	// maxForwardAttempts is the number of hosts that a statement is forwarded to before this host runs it itself.
	maxForwardAttempts = 6
	// forwardReadMargin is the time beyond the latency target after which a forwarded read is retried on a different host.
	forwardReadMargin = 150 * time.Millisecond
)

// ErrCannotServe rejects a forwarded statement because this host has no configuration or targets yet, or may not use
// primaries. The statement has not run.
var ErrCannotServe = errors.New("the host cannot serve the statement")

// ErrDraining rejects a forwarded statement because the host is about to stop. The statement has not run.
var ErrDraining = errors.New("the host is about to stop")

// minRetryTime is the remaining time that a transaction needs to begin on another host after the first one did not answer.
const minRetryTime = 100 * time.Millisecond

// ErrPrimaryUnreachable rejects a forwarded statement because this host does not reach the primary. The statement has not
// run. The host may be able to run statements that do not need the primary.
var ErrPrimaryUnreachable = errors.New("the host does not reach the primary")

// ExcludedHosts lists the hosts that cannot run a statement.
type ExcludedHosts struct {
	Local  bool              // this host is excluded because it does not reach the primary
	Remote []Selection       // hosts that rejected or did not answer the statement
	Region region.Constraint // data centres of the hosts that the statement may be forwarded to
}

// Contains reports whether a host cannot run the statement on a target, or not at all, or none can on this target.
func (e ExcludedHosts) Contains(host model.HostID, target model.TargetID) bool {
	return slices.ContainsFunc(e.Remote, func(s Selection) bool {
		return (s.Host == host || s.Host == "") && (s.Target == "" || s.Target == target)
	})
}

// Selection is the host that should run a statement.
type Selection struct {
	Host  model.HostID // in ExcludedHosts, an empty host stands for all hosts
	Local bool         // the host is this one, or no host is available
	// Target is the only target that may run the statement. If it is empty, the host chooses the target.
	Target model.TargetID
}

// SelectRequest describes a statement for which a host is selected.
type SelectRequest struct {
	Service       model.Service
	Workspace     model.Workspace
	NeedsPrimary  bool
	Primary       model.TargetID // of the current decision
	LatencyTarget time.Duration
	TargetRegion  region.Constraint // data centres of the targets that may run it
}

// Forwarder forwards statements to the hosts that hold connections for their workspaces.
type Forwarder interface {
	// SelectHost returns the host that should run a statement, other than the excluded ones.
	SelectHost(r SelectRequest, excluded ExcludedHosts) Selection
	// SelectsTargets reports whether SelectHost selects the target as well, so that other hosts may be needed when the
	// primary changes.
	SelectsTargets() bool
	// PrimaryPositions returns recent positions of the primary of a service, oldest first, with times by the clock of this host,
	// and the epoch of the decision that they belong to. It asks the host that uses the primary.
	PrimaryPositions(service model.Service, primary model.TargetID) (epoch uint64, samples []routing.Sample, err error)
	// Forward runs a statement on another host. If it returns an error, sent reports whether the statement may have run.
	Forward(host model.HostID, f ForwardRequest, timeout time.Duration) (reply ForwardReply, sent bool, err error)
}

// ForwardRequest is the request to another host to run a statement for a session of this host.
type ForwardRequest struct {
	Origin      model.HostID
	Incarnation model.Incarnation
	// TxnID is the number of the transaction at the origin, or 0 for a statement outside transactions. BeginTxn is set on
	// the first statement of the transaction.
	TxnID    uint64
	BeginTxn bool
	ReadOnly bool

	Statement        Statement
	SessionVariables map[string]string
	Prepared         map[string]PreparedStatement // only the prepared statement that is executed
	Mark             HighWaterMark
	MarkAge          time.Duration
	Route            catalog.Route
	Workspace        model.Workspace
	IsWrite          bool
	Remaining        time.Duration // time until the statement's timeout
	// Target is the only target that may run the statement, or empty. It is not part of the encoded request: the method that
	// carries it has its own type.
	Target model.TargetID `msgpack:"-"`
}

// SafeToRetry reports whether the statement can be abandoned and run on another host although it may have run: it is a
// read, or it belongs to a transaction whose commit has not been requested yet.
func (f ForwardRequest) SafeToRetry() bool {
	if f.TxnID != 0 {
		return f.Statement.Kind != Commit
	}
	return !f.IsWrite
}

// kind returns the kind of the statement, as far as its time on the target is concerned.
func (f ForwardRequest) kind() concurrency.Kind {
	if f.IsWrite {
		return concurrency.Write
	}
	return concurrency.Read
}

// needsPrimary reports whether the statement, or the transaction that it begins, must run on the primary.
func (f ForwardRequest) needsPrimary() bool {
	return f.IsWrite || f.BeginTxn && !f.ReadOnly || f.Route.Consistency == catalog.Primary
}

// ForwardReply is the answer of the host that ran a forwarded statement.
type ForwardReply struct {
	Answer     Answer
	Mark       HighWaterMark
	MayHaveRun bool // a target may have run the statement
	// Elsewhere is set by the method that carries Target.
	Elsewhere Elsewhere    `msgpack:"-"`
	Load      balance.Load `msgpack:"-"` // of the target
}

// Elsewhere tells the host of a caller why another host should run a statement. Whether the statement may have run is
// independent of it: a read that got no answer runs again elsewhere.
type Elsewhere uint8

const (
	// Here means that the answer is final.
	Here Elsewhere = iota
	// OnPrimary means that the statement has to run on the primary, because no replica is known to be recent enough.
	OnPrimary
	// OnOtherTarget means that the target lags too much for the read, or has failed to run it.
	OnOtherTarget
	// OnOtherHost means that the host cannot use the target, or that the target gave no answer.
	OnOtherHost
)

// String returns the name as it appears in logs.
func (e Elsewhere) String() string {
	return [...]string{"here", "on_primary", "on_other_target", "on_other_host"}[e]
}

// txnKey identifies a transaction of a session of another host.
type txnKey struct {
	origin      model.HostID
	incarnation model.Incarnation
	txn         uint64
}

// newForwardRequest returns the request to run st on another host.
func (s *session) newForwardRequest(op operation, st Statement) ForwardRequest {
	f := ForwardRequest{Statement: st, SessionVariables: s.state.variables, Mark: s.mark,
		MarkAge: boottime.Now().Sub(s.mark.CommittedAt), Route: op.route, Workspace: op.workspace, IsWrite: op.isWrite,
		Remaining: op.deadline.Sub(boottime.Now()), Target: op.target}
	if st.Kind == Execute {
		f.Prepared = map[string]PreparedStatement{st.Name: s.state.prepared[st.Name]}
	}
	if t := s.txn; t != nil {
		f.TxnID, f.BeginTxn, f.ReadOnly = t.id, !t.begunOnPeer, t.readOnly
	}
	return f
}

// forwardStatement runs a statement outside transactions on another host. It reports false if the statement should be tried
// on a different host.
func (s *session) forwardStatement(host model.HostID, op operation, st Statement) (Answer, bool) {
	s.executedOn = string(host)
	timeout := op.deadline.Sub(boottime.Now()) + answerMargin
	if !op.isWrite {
		timeout = min(timeout, op.route.LatencyTarget+forwardReadMargin)
	}
	result, sent, err := s.server.forwarder.Forward(host, s.newForwardRequest(op, st), timeout)
	if err == nil {
		s.setMark(result.Mark)
		s.mayHaveRun = s.mayHaveRun || result.MayHaveRun
		s.elsewhere, s.targetLoad = result.Elsewhere, result.Load
		return result.Answer, result.Elsewhere == Here
	}
	s.elsewhere = OnOtherHost
	s.mayHaveRun = s.mayHaveRun || sent
	s.logForwardFailure(host, st, sent, err)
	if sent && op.isWrite {
		return errorAnswer(InDoubt, "the answer of the host that ran the statement was lost"), true
	}
	return Answer{}, false
}

// logForwardFailure logs that the host returned no answer; sent reports whether the statement may have run there.
func (s *session) logForwardFailure(host model.HostID, st Statement, sent bool, err error) {
	s.log.Info("forward: no answer", zap.String("id", shorten(st.ID)), zap.String("to", string(host)), zap.Bool("sent", sent),
		zap.Error(err))
}

// setMark adopts the mark from the host that ran a statement. CommittedAt is set from the local clock, because the clocks
// of different hosts are not comparable.
func (s *session) setMark(m HighWaterMark) {
	if m.Epoch != s.mark.Epoch || m.Position != s.mark.Position {
		s.mark = HighWaterMark{Epoch: m.Epoch, Position: m.Position, CommittedAt: boottime.Now()}
	}
}

// forwardInTxn runs a statement or the commit of the open transaction on the host that holds the transaction. It reports
// false if the transaction has not begun there and should begin on a different host.
func (s *session) forwardInTxn(op operation, st Statement) (Answer, bool) {
	t := s.txn
	s.executedOn = string(t.peer)
	result, sent, err := s.server.forwarder.Forward(t.peer, s.newForwardRequest(op, st),
		op.deadline.Sub(boottime.Now())+answerMargin)
	s.mayHaveRun = s.mayHaveRun || sent && (err != nil || result.MayHaveRun)
	s.elsewhere = OnOtherHost
	if err == nil && result.Elsewhere != Here && !t.begunOnPeer {
		s.elsewhere, t.peer = result.Elsewhere, ""
		return Answer{}, false
	}
	if err == nil {
		t.begunOnPeer = true
		s.setMark(result.Mark)
		t.failed = result.Answer.Code != Success && st.Kind != Commit
		t.wrote = t.wrote || op.isWrite
		return result.Answer, true
	}
	s.logForwardFailure(t.peer, st, sent, err)
	if !t.begunOnPeer && (!sent || op.deadline.Sub(boottime.Now()) > minRetryTime) {
		if sent {
			go s.rollbackOnPeer(t.peer, t.id) // the transaction may have begun on the peer
		}
		t.peer = ""
		return Answer{}, false
	}
	t.begunOnPeer = true // the transaction may have begun on the peer
	s.rollback(t)
	t.failed = true
	if st.Kind == Commit && sent && t.wrote {
		return errorAnswer(InDoubt, "the answer of the host that has the transaction was lost"), true
	}
	return errorAnswer(Aborted, "the host that has the transaction does not answer"), true
}

// rollbackOnPeer rolls a transaction back on the host that holds it.
func (s *session) rollbackOnPeer(peer model.HostID, id uint64) {
	f := ForwardRequest{TxnID: id, Statement: Statement{ID: internalStatementID, Kind: Rollback},
		Remaining: rollbackTimeout}
	if _, _, err := s.server.forwarder.Forward(peer, f, rollbackTimeout); err != nil {
		s.log.Info("forward: rollback not confirmed, the idle timeout will end the transaction",
			zap.String("to", string(peer)), zap.Error(err))
	}
}

// RunForwarded runs a statement for another host. If it returns an error, nothing has run.
func (s *Server) RunForwarded(f ForwardRequest) (ForwardReply, error) {
	now := boottime.Now()
	if !f.Statement.Kind.runsOnTarget() {
		return ForwardReply{Answer: errorAnswer(Malformed, "a statement that no other host runs")}, nil
	}
	if f.TxnID == 0 || f.BeginTxn {
		if err := s.checkForward(f, now); err != nil {
			return ForwardReply{}, err
		}
	}
	if f.TxnID == 0 {
		sess := s.newForwardedSession(f)
		op := operation{route: f.Route, workspace: f.Workspace, service: s.service(f.Route.Service), arrived: now,
			deadline: s.statementDeadline(now, f.Remaining), isWrite: f.IsWrite, target: f.Target}
		answer := sess.runLocally(op, f.Statement)
		sess.logForwarded(f, answer, now)
		reply := sess.forwardReply(answer)
		if f.Target != "" {
			reply.Load = s.TargetLoad(f.Route, f.Target, f.kind())
		}
		return reply, nil
	}
	key := txnKey{f.Origin, f.Incarnation, f.TxnID}
	sess, err := s.forwardedTxnSession(key, f)
	if err != nil {
		return ForwardReply{}, err
	}
	if sess == nil {
		return ForwardReply{Answer: errorAnswer(Aborted, "the transaction has ended")}, nil
	}
	sess.loadState(f)
	answer := sess.execute(now, f.Statement)
	sess.logForwarded(f, answer, now)
	if sess.txnState() != InTxn {
		s.removeForwardedTxn(key)
	}
	return sess.forwardReply(answer), nil
}

// forwardReply returns the reply to the origin of the last statement.
func (s *session) forwardReply(answer Answer) ForwardReply {
	return ForwardReply{Answer: answer, Mark: s.mark, MayHaveRun: s.mayHaveRun, Elsewhere: s.elsewhere}
}

// checkForward returns nil if this host can run a new statement or transaction of another host, or the reason why it
// cannot.
func (s *Server) checkForward(f ForwardRequest, now time.Time) error {
	switch {
	case s.Draining():
		return ErrDraining
	case !s.PrimaryAllowed(now) || !s.service(f.Route.Service).canConnect():
		return ErrCannotServe
	case f.Target == "" && s.service(f.Route.Service).cannotRun(now, f.needsPrimary(), f.Route.MaxStaleness),
		f.Target != "" && s.service(f.Route.Service).cannotUse(now, f.Target):
		return ErrPrimaryUnreachable
	}
	return nil
}

// newForwardedSession returns a session that represents a session of another host.
func (s *Server) newForwardedSession(f ForwardRequest) *session {
	sess := &session{server: s, log: s.log.With(zap.String("origin", string(f.Origin))),
		forwardedFor: &forwardedCaller{f.Route, f.Workspace}}
	sess.loadState(f)
	return sess
}

// logForwarded logs the answer to a statement of another host.
func (s *session) logForwarded(f ForwardRequest, a Answer, started time.Time) {
	s.log.Info("forwarded statement: answered", zap.String("id", shorten(f.Statement.ID)),
		zap.Stringer("code", a.Code), zap.String("detail", shorten(a.Detail)), zap.Duration("took", boottime.Now().Sub(started)),
		zap.String("service", string(f.Route.Service)), zap.String("workspace", string(f.Workspace)),
		zap.String("on", s.executedOn), zap.Uint64("mark_epoch", s.mark.Epoch), zap.Uint64("mark_term", s.mark.Position.Term),
		zap.Uint64("mark_offset", s.mark.Position.Offset), zap.Uint64("required_term", s.required.Term),
		zap.Uint64("required_offset", s.required.Offset))
}

// loadState replaces the session's state by the state that its origin sent with the request.
func (s *session) loadState(f ForwardRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = sessionState{route: f.Route.Database, variables: f.SessionVariables, prepared: f.Prepared}
	s.mark = f.Mark
	s.mark.CommittedAt = boottime.Now().Add(-f.MarkAge)
}

// forwardedTxnSession returns the session of a transaction of another host, which it creates for the first statement. It
// returns nil if the transaction has ended.
func (s *Server) forwardedTxnSession(key txnKey, f ForwardRequest) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sess := s.forwardedTxns[key]
	if sess == nil && f.Statement.Kind == Rollback {
		s.endedTxns.add(boottime.Now(), key) // its first statement may be on the way still
	}
	if !f.BeginTxn {
		return sess, nil
	}
	if s.endedTxns.contains(key) {
		s.log.Info("forward: transaction arrived after its end", zap.String("origin", string(key.origin)),
			zap.Uint64("transaction", key.txn), zap.String("id", shorten(f.Statement.ID)))
		return nil, nil
	}
	sess = s.newForwardedSession(f)
	sess.onIdleRollback = func() { s.removeForwardedTxn(key) }
	svc := s.services[f.Route.Service]
	if svc == nil {
		return nil, nil
	}
	sess.txn = &txn{readOnly: f.ReadOnly, service: svc, target: f.Target}
	s.forwardedTxns[key] = sess
	return sess, nil
}

// endedTxnMemory is the time for which a host remembers that a transaction has ended whose first statement it has not seen. The origin
// resets the connection of a statement that it gives up, so what is late has arrived at this host already.
const endedTxnMemory = 30 * time.Second

// endedTxns are the transactions of other hosts that were rolled back before their first statement arrived. A rollback overtakes the
// statement when the origin has replaced its connection, or when this host was frozen. The statement would begin a transaction that
// nobody ends.
type endedTxns struct {
	keys  map[txnKey]bool
	order []endedTxn // oldest first
}

// endedTxn is a transaction and the time at which it was rolled back.
type endedTxn struct {
	key txnKey
	at  time.Time
}

// add remembers a transaction, and forgets those of more than endedTxnMemory ago.
func (e *endedTxns) add(now time.Time, key txnKey) {
	old := 0
	for old < len(e.order) && now.Sub(e.order[old].at) > endedTxnMemory {
		delete(e.keys, e.order[old].key)
		old++
	}
	e.order = e.order[old:]
	if e.keys == nil {
		e.keys = map[txnKey]bool{}
	}
	if !e.keys[key] {
		e.keys[key], e.order = true, append(e.order, endedTxn{key, now})
	}
}

func (e *endedTxns) contains(key txnKey) bool { return e.keys[key] }

// removeForwardedTxn removes a transaction of another host that has ended.
func (s *Server) removeForwardedTxn(key txnKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwardedTxns, key)
}

// selectsTargets reports whether the selection of a host includes the target.
func (s *Server) selectsTargets() bool { return s.forwarder != nil && s.forwarder.SelectsTargets() }

// selectHost returns the host that should run an operation, other than the excluded ones.
func (s *Server) selectHost(op operation, needsPrimary bool, excluded ExcludedHosts) Selection {
	if s.forwarder == nil {
		return Selection{Local: true}
	}
	_, primary, _ := op.service.currentPrimary()
	return s.forwarder.SelectHost(SelectRequest{Service: op.route.Service, Workspace: op.workspace,
		NeedsPrimary: needsPrimary, Primary: primary, LatencyTarget: op.route.LatencyTarget,
		TargetRegion: s.targetRegions(op.route.Database, op.workspace)}, excluded)
}
