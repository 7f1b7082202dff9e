package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/freshness"
	"github.com/waxwingspindle/waxwingspindle/limit"
	"github.com/waxwingspindle/waxwingspindle/model"
)

// maxPeerTimeout bounds the remaining time that another host may set for a request.
const maxPeerTimeout = 10 * time.Minute

// rpcService implements the RPC service for other daemons. The signatures of its methods are those that net/rpc requires.
type rpcService struct{ server *Server }

// Execute implements daemon.Service.
func (r *rpcService) Execute(q daemon.ExecuteRequest, reply *daemon.ExecuteReply) error {
	defer r.trackRequest()()
	ctx, cancel := peerContext(q.Remaining)
	defer cancel()
	*reply = r.server.executeLocally(ctx, q)
	return nil
}

// Begin implements daemon.Service.
func (r *rpcService) Begin(q daemon.BeginRequest, reply *daemon.BeginReply) error {
	defer r.trackRequest()()
	ctx, cancel := peerContext(q.Remaining)
	defer cancel()
	*reply = r.server.beginLocally(ctx, q)
	return nil
}

// End implements daemon.Service.
func (r *rpcService) End(q daemon.EndRequest, reply *daemon.EndReply) error {
	defer r.trackRequest()()
	ctx, cancel := peerContext(q.Remaining)
	defer cancel()
	*reply = r.server.endLocally(ctx, q)
	return nil
}

// Ping implements daemon.Service.
func (r *rpcService) Ping(daemon.Empty, *daemon.Empty) error { return nil }

// Lend processes the loans of a holder.
func (r *rpcService) Lend(batch limit.LoanBatch, reply *limit.LoanReply) error {
	*reply = r.server.limiter.handleLoans(batch)
	return nil
}

// Tokens grants tokens to a spender.
func (r *rpcService) Tokens(request limit.TokenRequest, reply *limit.TokenReply) error {
	*reply = r.server.limiter.handleTokens(request)
	return nil
}

// Cancel records that an announced change was not made.
func (r *rpcService) Cancel(a freshness.Announcement, _ *daemon.Empty) error {
	r.server.handleCancellation(a)
	return nil
}

// Confirmed returns the hosts that have confirmed the active configuration version of this host. A root of the relay tree
// collects the confirmations of all hosts.
func (r *rpcService) Confirmed(_ daemon.Empty, reply *daemon.Confirmation) error {
	snap := r.server.snapshot.Load()
	*reply = daemon.Confirmation{Version: snap.version, Hosts: snap.confirmed}
	return nil
}

// Relay answers a long poll for documents and proofs.
func (r *rpcService) Relay(q daemon.RelayRequest, reply *daemon.RelayReply) error {
	accepted := make(chan (<-chan daemon.RelayReply), 1)
	if !r.server.controlLoop.post(func(now time.Time) { accepted <- r.server.state.relay.handlePoll(now, q) }) {
		return errDaemonStopping
	}
	answer := <-accepted
	select {
	case *reply = <-answer:
		return nil
	case <-r.server.controlLoop.done:
		return errDaemonStopping
	}
}

// errDaemonStopping is returned for polls while the daemon stops.
var errDaemonStopping = errors.New("the daemon is stopping")

// Group returns the state of a replication group whose home is this host.
func (r *rpcService) Group(q daemon.GroupRequest, reply *daemon.GroupStatus) error {
	*reply = r.server.groupStatus(q.Service)
	return nil
}

// Announce records the announcement of an upcoming document version.
func (r *rpcService) Announce(a freshness.Announcement, reply *daemon.Acknowledgement) error {
	reply.Acknowledged = r.server.handleAnnouncement(a)
	return nil
}

// trackRequest counts a request from another host as in progress until the returned function is called. Shutdown waits for
// such requests.
func (r *rpcService) trackRequest() func() {
	r.server.peerRequests.Add(1)
	return func() { r.server.peerRequests.Add(-1) }
}

// peerContext returns a context with the remaining time sent by the entry host. It is sent as a duration because the clocks
// of hosts may differ.
func peerContext(remaining time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), min(remaining, maxPeerTimeout))
}

// addressOf returns the RPC address of a host. Its error is a *daemon.NotSentError, so callers may retry.
func (s *Server) addressOf(host model.HostID) (string, error) {
	address, ok := s.snapshot.Load().addresses[host]
	if !ok {
		return "", &daemon.NotSentError{Err: trace.NotFound("host %q is not live", host)}
	}
	return address, nil
}

// call invokes an RPC method of another host.
func call[Reply any](ctx context.Context, s *Server, host model.HostID, method string, args any) (Reply, error) {
	address, err := s.addressOf(host)
	if err != nil {
		var none Reply
		return none, err
	}
	return daemon.Call[Reply](ctx, s.peers, address, method, args)
}

func (s *Server) callExecute(ctx context.Context, host model.HostID, q daemon.ExecuteRequest) (daemon.ExecuteReply, error) {
	if host == s.options.Daemon.Host {
		return s.executeLocally(ctx, q), nil
	}
	return call[daemon.ExecuteReply](ctx, s, host, "Execute", q)
}

func (s *Server) callBegin(ctx context.Context, host model.HostID, q daemon.BeginRequest) (daemon.BeginReply, error) {
	if host == s.options.Daemon.Host {
		return s.beginLocally(ctx, q), nil
	}
	return call[daemon.BeginReply](ctx, s, host, "Begin", q)
}

func (s *Server) callEnd(ctx context.Context, host model.HostID, q daemon.EndRequest) (daemon.EndReply, error) {
	if host == s.options.Daemon.Host {
		return s.endLocally(ctx, q), nil
	}
	return call[daemon.EndReply](ctx, s, host, "End", q)
}

// sendLoans implements limitTransport.
func (s *Server) sendLoans(ctx context.Context, to model.HostID, batch limit.LoanBatch) (limit.LoanReply, error) {
	return call[limit.LoanReply](ctx, s, to, "Lend", batch)
}

// requestTokens implements limitTransport.
func (s *Server) requestTokens(ctx context.Context, to model.HostID, request limit.TokenRequest) (limit.TokenReply, error) {
	return call[limit.TokenReply](ctx, s, to, "Tokens", request)
}

// localHome returns the home of a service on this host, or a refusal if the home is on another host, so that the entry host
// retries there.
func (s *Server) localHome(service model.Service) (*home, model.Result) {
	h, ok := s.homes.Load(service)
	if !ok || h.(*home).retiring.Load() {
		return nil, model.NotRun(model.ReasonHomeUnreachable,
			fmt.Sprintf("host %q is not the home of service %q", s.options.Daemon.Host, service))
	}
	return h.(*home), model.Result{}
}

// executeLocally runs a statement on this host as the home of its service or transaction.
func (s *Server) executeLocally(ctx context.Context, q daemon.ExecuteRequest) daemon.ExecuteReply {
	if q.Transaction != "" {
		return s.transactions.execute(ctx, q)
	}
	h, refused := s.localHome(q.Service)
	if refused.Outcome != 0 {
		return daemon.ExecuteReply{Result: refused}
	}
	return h.execute(ctx, q)
}

func (s *Server) beginLocally(ctx context.Context, q daemon.BeginRequest) daemon.BeginReply {
	h, refused := s.localHome(q.Service)
	if refused.Outcome != 0 {
		return daemon.BeginReply{Result: refused}
	}
	return s.transactions.begin(ctx, h, q)
}

func (s *Server) endLocally(ctx context.Context, q daemon.EndRequest) daemon.EndReply {
	return s.transactions.end(ctx, q)
}
