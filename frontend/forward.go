package frontend

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
)

const (
	// maxForwards bounds the hosts that a statement is passed on to before this host runs it itself.
	maxForwardAttempts = 4
	// forwardMargin is added to the latency target when a read waits for another host, before it is run elsewhere.
	forwardReadMargin = 150 * time.Millisecond
)

// ErrUnable refuses to run a statement of another host because this host cannot serve it: it does not know the configuration or
// the targets yet, or may not use primaries. The statement has not run.
var ErrCannotServe = errors.New("the host cannot serve the statement")

// ErrDraining refuses a forwarded statement because the host is about to stop. The statement has not run.
var ErrDraining = errors.New("the host is about to stop")

// shortestAttempt is the time that a transaction needs to begin on another host after one has not answered.
const minRetryTime = 100 * time.Millisecond

// ErrNoPrimary refuses to run a statement of another host because this host does not reach the primary. The statement has not
// run, and the host may be able to run others.
var ErrPrimaryUnreachable = errors.New("the host does not reach the primary")

// Unable are the hosts that cannot run a statement.
type ExcludedHosts struct {
	Local  bool // this host does not reach the primary
	Remote []model.HostID
}

// Forwarder passes statements on to the hosts that keep connections for their workspaces.
type Forwarder interface {
	// Home returns the host that should run statements of a workspace on a service, without those that cannot; local means
	// this host, which is also the answer if there is no other one.
	SelectHost(service model.Service, workspace model.Workspace, excluded ExcludedHosts) (host model.HostID, local bool)
	// Forward lets a host run a statement. After an error, sent tells whether the statement may have run.
	Forward(host model.HostID, f ForwardRequest, timeout time.Duration) (answer ForwardReply, sent bool, err error)
}

// Forward is a statement that another host runs for a session of this one.
type ForwardRequest struct {
	Origin      model.HostID
	Incarnation model.Incarnation
	// Txn is the number of the transaction at the origin, or 0 for a statement on its own. Begin opens the transaction.
	TxnID    uint64
	BeginTxn bool
	ReadOnly bool

	Statement        Statement
	SessionVariables map[string]string
	Prepared         map[string]PreparedStatement // the prepared statement that is executed
	Mark             HighWaterMark
	MarkAge          time.Duration
	Route            catalog.Route
	Workspace        model.Workspace
	IsWrite          bool
	Remaining        time.Duration // until the statement's timeout
}

// MayRunTwice reports whether the statement can be given up and run elsewhere although it may have run: it reads, or is part of
// a transaction whose commit is not asked for yet.
func (f ForwardRequest) SafeToRetry() bool {
	if f.TxnID != 0 {
		return f.Statement.Kind != Commit
	}
	return !f.IsWrite
}

// needsPrimary reports whether only the primary can run the statement or the transaction that it begins.
func (f ForwardRequest) needsPrimary() bool {
	return f.IsWrite || f.BeginTxn && !f.ReadOnly || f.Route.Consistency == catalog.Primary
}

// Forwarded is the answer of the host that ran a forwarded statement.
type ForwardReply struct {
	Answer     Answer
	Mark       HighWaterMark
	MayHaveRun bool // a target may have run the statement
}

// txnKey names a transaction of another host's session.
type txnKey struct {
	origin      model.HostID
	incarnation model.Incarnation
	txn         uint64
}

// forwardRequest returns the request for a statement.
func (s *session) newForwardRequest(op operation, st Statement) ForwardRequest {
	f := ForwardRequest{Statement: st, SessionVariables: s.state.variables, Mark: s.mark, MarkAge: boottime.Now().Sub(s.mark.CommittedAt), Route: op.route, Workspace: op.workspace,
		IsWrite: op.isWrite, Remaining: op.deadline.Sub(boottime.Now())}
	if st.Kind == Execute {
		f.Prepared = map[string]PreparedStatement{st.Name: s.state.prepared[st.Name]}
	}
	if t := s.txn; t != nil {
		f.TxnID, f.BeginTxn, f.ReadOnly = t.id, !t.begunOnPeer, t.readOnly
	}
	return f
}

// forwardAlone lets another host run a statement on its own. It reports false if the statement should be tried elsewhere.
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
		return result.Answer, true
	}
	s.mayHaveRun = s.mayHaveRun || sent
	s.logForwardFailure(host, st, sent, err)
	if sent && op.isWrite {
		return errorAnswer(InDoubt, "the answer of the host that ran the statement was lost"), true
	}
	return Answer{}, false
}

func (s *session) logForwardFailure(host model.HostID, st Statement, sent bool, err error) {
	s.log.Info("forward: no answer", zap.String("id", st.ID), zap.String("to", string(host)), zap.Bool("sent", sent),
		zap.Error(err))
}

// setMark takes over the mark of a host that ran a statement. Clocks of hosts are not compared.
func (s *session) setMark(m HighWaterMark) {
	if m.Epoch != s.mark.Epoch || m.Position != s.mark.Position {
		s.mark = HighWaterMark{Epoch: m.Epoch, Position: m.Position, CommittedAt: boottime.Now()}
	}
}

// forwardInTxn lets the host that has the transaction run a statement of it, or its commit. It reports false if the
// transaction has not begun there and should begin elsewhere.
func (s *session) forwardInTxn(op operation, st Statement) (Answer, bool) {
	t := s.txn
	s.executedOn = string(t.peer)
	result, sent, err := s.server.forwarder.Forward(t.peer, s.newForwardRequest(op, st),
		op.deadline.Sub(boottime.Now())+answerMargin)
	s.mayHaveRun = s.mayHaveRun || sent && (err != nil || result.MayHaveRun)
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
			go s.rollbackOnPeer(t.peer, t.id) // it may have begun there
		}
		t.peer = ""
		return Answer{}, false
	}
	t.begunOnPeer = true // it may have begun there
	s.rollback(t)
	t.failed = true
	if st.Kind == Commit && sent && t.wrote {
		return errorAnswer(InDoubt, "the answer of the host that has the transaction was lost"), true
	}
	return errorAnswer(Aborted, "the host that has the transaction does not answer"), true
}

// rollbackOnPeer tells the host that has a transaction that it has ended.
func (s *session) rollbackOnPeer(peer model.HostID, id uint64) {
	f := ForwardRequest{TxnID: id, Statement: Statement{ID: internalStatementID, Kind: Rollback}, Remaining: rollbackTimeout}
	if _, _, err := s.server.forwarder.Forward(peer, f, rollbackTimeout); err != nil {
		s.log.Info("forward: rollback not confirmed, the transaction ends when it stays idle",
			zap.String("to", string(peer)), zap.Error(err))
	}
}

// RunForwarded runs a statement for another host. After an error nothing has run.
func (s *Server) RunForwarded(f ForwardRequest) (ForwardReply, error) {
	now := boottime.Now()
	s.forwardsRunning.Add(1)
	defer s.forwardsRunning.Add(-1)
	if f.TxnID == 0 || f.BeginTxn {
		if err := s.checkForward(f, now); err != nil {
			return ForwardReply{}, err
		}
	}
	if f.TxnID == 0 {
		sess := s.newForwardedSession(f)
		op := operation{route: f.Route, workspace: f.Workspace, service: s.service(f.Route.Service), arrived: now,
			deadline: now.Add(f.Remaining), isWrite: f.IsWrite}
		answer := sess.runLocally(op, f.Statement)
		sess.logForwarded(f, answer, now)
		return ForwardReply{answer, sess.mark, sess.mayHaveRun}, nil
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
	return ForwardReply{answer, sess.mark, sess.mayHaveRun}, nil
}

// takesForwards returns nil if this host can run a new statement or transaction of another one.
func (s *Server) checkForward(f ForwardRequest, now time.Time) error {
	switch {
	case s.Draining():
		return ErrDraining
	case !s.primaryAllowed(now) || !s.service(f.Route.Service).canConnect():
		return ErrCannotServe
	case f.needsPrimary() && s.service(f.Route.Service).primaryUnreachable(now):
		return ErrPrimaryUnreachable
	}
	return nil
}

// forwardedSession returns a session that stands for one of another host.
func (s *Server) newForwardedSession(f ForwardRequest) *session {
	sess := &session{server: s, log: s.log.With(zap.String("origin", string(f.Origin))),
		forwardedFor: &forwardedCaller{f.Route, f.Workspace}}
	sess.loadState(f)
	return sess
}

// recordForwarded logs what became of a statement of another host.
func (s *session) logForwarded(f ForwardRequest, a Answer, started time.Time) {
	s.log.Info("forwarded statement: answered", zap.String("id", f.Statement.ID), zap.Stringer("code", a.Code),
		zap.String("detail", a.Detail), zap.Duration("took", boottime.Now().Sub(started)),
		zap.String("service", string(f.Route.Service)), zap.String("workspace", string(f.Workspace)),
		zap.String("on", s.executedOn), zap.Uint64("mark_epoch", s.mark.Epoch), zap.Uint64("mark_offset", s.mark.Position.Offset))
}

// adopt takes over the state of the session at its origin.
func (s *session) loadState(f ForwardRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = sessionState{variables: f.SessionVariables, prepared: f.Prepared}
	s.mark = f.Mark
	s.mark.CommittedAt = boottime.Now().Add(-f.MarkAge)
}

// forwardedTxn returns the session of a transaction of another host, or nil if there is none any more.
func (s *Server) forwardedTxnSession(key txnKey, f ForwardRequest) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.BeginTxn {
		return s.forwardedTxns[key], nil
	}
	sess := s.newForwardedSession(f)
	sess.onIdleRollback = func() { s.removeForwardedTxn(key) }
	svc := s.services[f.Route.Service]
	if svc == nil {
		return nil, nil
	}
	sess.txn = &txn{readOnly: f.ReadOnly, service: svc}
	s.forwardedTxns[key] = sess
	return sess, nil
}

// forgetForwarded removes a transaction that has ended.
func (s *Server) removeForwardedTxn(key txnKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwardedTxns, key)
}

// home returns the host that should run statements of a workspace, without those that cannot.
func (s *Server) selectHost(service model.Service, workspace model.Workspace, excluded ExcludedHosts) (host model.HostID, local bool) {
	if s.forwarder == nil {
		return "", true
	}
	return s.forwarder.SelectHost(service, workspace, excluded)
}
