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
	maxForwards = 4
	// forwardMargin is added to the latency target when a read waits for another host, before it is run elsewhere.
	forwardMargin = 150 * time.Millisecond
)

// ErrUnable refuses to run a statement of another host because this host cannot serve it: it does not know the configuration or
// the targets yet, or may not use primaries. The statement has not run.
var ErrCannotServe = errors.New("the host cannot serve the statement")

// ErrDraining refuses a forwarded statement because the host is about to stop. The statement has not run.
var ErrDraining = errors.New("the host is about to stop")

// shortestAttempt is the time that a transaction needs to begin on another host after one has not answered.
const shortestAttempt = 100 * time.Millisecond

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
	SelectHost(service model.Service, workspace model.Workspace, unable ExcludedHosts) (host model.HostID, local bool)
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
func (s *session) forwardRequest(op operation, st Statement) ForwardRequest {
	f := ForwardRequest{Statement: st, SessionVariables: s.state.values, Mark: s.mark, MarkAge: boottime.Now().Sub(s.mark.CommittedAt), Route: op.route, Workspace: op.workspace,
		IsWrite: op.writes, Remaining: op.deadline.Sub(boottime.Now())}
	if st.Kind == Execute {
		f.Prepared = map[string]PreparedStatement{st.Name: s.state.prepared[st.Name]}
	}
	if t := s.txn; t != nil {
		f.TxnID, f.BeginTxn, f.ReadOnly = t.id, !t.onPeer, t.readOnly
	}
	return f
}

// forwardAlone lets another host run a statement on its own. It reports false if the statement should be tried elsewhere.
func (s *session) forwardAlone(host model.HostID, op operation, st Statement) (Answer, bool) {
	s.ranOn = string(host)
	timeout := op.deadline.Sub(boottime.Now()) + answerMargin
	if !op.writes {
		timeout = min(timeout, op.route.LatencyTarget+forwardMargin)
	}
	result, sent, err := s.server.forwarder.Forward(host, s.forwardRequest(op, st), timeout)
	if err == nil {
		s.setMark(result.Mark)
		s.ran = s.ran || result.MayHaveRun
		return result.Answer, true
	}
	s.ran = s.ran || sent
	s.logForward(host, st, sent, err)
	if sent && op.writes {
		return refuse(InDoubt, "the answer of the host that ran the statement was lost"), true
	}
	return Answer{}, false
}

func (s *session) logForward(host model.HostID, st Statement, sent bool, err error) {
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
	s.ranOn = string(t.peer)
	result, sent, err := s.server.forwarder.Forward(t.peer, s.forwardRequest(op, st),
		op.deadline.Sub(boottime.Now())+answerMargin)
	s.ran = s.ran || sent && (err != nil || result.MayHaveRun)
	if err == nil {
		t.onPeer = true
		s.setMark(result.Mark)
		t.failed = result.Answer.Code != Success && st.Kind != Commit
		t.wrote = t.wrote || op.writes
		return result.Answer, true
	}
	s.logForward(t.peer, st, sent, err)
	if !t.onPeer && (!sent || op.deadline.Sub(boottime.Now()) > shortestAttempt) {
		if sent {
			go s.rollbackOnPeer(t.peer, t.id) // it may have begun there
		}
		t.peer = ""
		return Answer{}, false
	}
	t.onPeer = true // it may have begun there
	s.rollback(t)
	t.failed = true
	if st.Kind == Commit && sent && t.wrote {
		return refuse(InDoubt, "the answer of the host that has the transaction was lost"), true
	}
	return refuse(Aborted, "the host that has the transaction does not answer"), true
}

// rollbackOnPeer tells the host that has a transaction that it has ended.
func (s *session) rollbackOnPeer(peer model.HostID, id uint64) {
	f := ForwardRequest{TxnID: id, Statement: Statement{ID: internalID, Kind: Rollback}, Remaining: rollbackTimeout}
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
		if err := s.takesForwards(f, now); err != nil {
			return ForwardReply{}, err
		}
	}
	if f.TxnID == 0 {
		sess := s.forwardedSession(f)
		op := operation{route: f.Route, workspace: f.Workspace, service: s.service(f.Route.Service), arrived: now,
			deadline: now.Add(f.Remaining), writes: f.IsWrite}
		answer := sess.runHere(op, f.Statement)
		sess.recordForwarded(f, answer, now)
		return ForwardReply{answer, sess.mark, sess.ran}, nil
	}
	key := txnKey{f.Origin, f.Incarnation, f.TxnID}
	sess, err := s.forwardedTxn(key, f)
	if err != nil {
		return ForwardReply{}, err
	}
	if sess == nil {
		return ForwardReply{Answer: refuse(Aborted, "the transaction has ended")}, nil
	}
	sess.adopt(f)
	answer := sess.execute(now, f.Statement)
	sess.recordForwarded(f, answer, now)
	if sess.txnState() != InTxn {
		s.forgetForwarded(key)
	}
	return ForwardReply{answer, sess.mark, sess.ran}, nil
}

// takesForwards returns nil if this host can run a new statement or transaction of another one.
func (s *Server) takesForwards(f ForwardRequest, now time.Time) error {
	switch {
	case s.Draining():
		return ErrDraining
	case !s.mayUsePrimary(now) || !s.service(f.Route.Service).connects():
		return ErrCannotServe
	case f.needsPrimary() && s.service(f.Route.Service).primaryLost(now):
		return ErrPrimaryUnreachable
	}
	return nil
}

// forwardedSession returns a session that stands for one of another host.
func (s *Server) forwardedSession(f ForwardRequest) *session {
	sess := &session{server: s, log: s.log.With(zap.String("origin", string(f.Origin))),
		forwarded: &caller{f.Route, f.Workspace}}
	sess.adopt(f)
	return sess
}

// recordForwarded logs what became of a statement of another host.
func (s *session) recordForwarded(f ForwardRequest, a Answer, started time.Time) {
	s.log.Info("forwarded statement: answered", zap.String("id", f.Statement.ID), zap.Stringer("code", a.Code),
		zap.String("detail", a.Detail), zap.Duration("took", boottime.Now().Sub(started)),
		zap.String("service", string(f.Route.Service)), zap.String("workspace", string(f.Workspace)),
		zap.String("on", s.ranOn), zap.Uint64("mark_epoch", s.mark.Epoch), zap.Uint64("mark_offset", s.mark.Position.Offset))
}

// adopt takes over the state of the session at its origin.
func (s *session) adopt(f ForwardRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = sessionState{values: f.SessionVariables, prepared: f.Prepared}
	s.mark = f.Mark
	s.mark.CommittedAt = boottime.Now().Add(-f.MarkAge)
}

// forwardedTxn returns the session of a transaction of another host, or nil if there is none any more.
func (s *Server) forwardedTxn(key txnKey, f ForwardRequest) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.BeginTxn {
		return s.forwardedTxns[key], nil
	}
	sess := s.forwardedSession(f)
	sess.onIdle = func() { s.forgetForwarded(key) }
	svc := s.services[f.Route.Service]
	if svc == nil {
		return nil, nil
	}
	sess.txn = &txn{readOnly: f.ReadOnly, service: svc}
	s.forwardedTxns[key] = sess
	return sess, nil
}

// forgetForwarded removes a transaction that has ended.
func (s *Server) forgetForwarded(key txnKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwardedTxns, key)
}

// home returns the host that should run statements of a workspace, without those that cannot.
func (s *Server) home(service model.Service, workspace model.Workspace, unable ExcludedHosts) (host model.HostID, local bool) {
	if s.forwarder == nil {
		return "", true
	}
	return s.forwarder.SelectHost(service, workspace, unable)
}
