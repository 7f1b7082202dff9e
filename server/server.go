// Package server assembles the daemon from its components: the control loop that owns all control state, the request
// path from callers to targets, the RPC service for other daemons, and graceful shutdown.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/caller"
	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/daemon"
	"github.com/waxwingspindle/waxwingspindle/kvclient"
	"github.com/waxwingspindle/waxwingspindle/metrics"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/operator"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// Timeouts of the HTTP listeners.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
)

// Options configure a Server.
type Options struct {
	Daemon   config.Daemon
	Log      *zap.Logger
	Level    zap.AtomicLevel      // log level, updated from the configuration unless it is the zero value
	Registry *prometheus.Registry // defaults to a new registry
	Store    kvclient.Store       // defaults to a client of Daemon.PlatformURL
	Hosts    kvclient.HostLister  // defaults to a client of Daemon.PlatformURL
}

// Server runs one daemon.
type Server struct {
	options      Options
	incarnation  model.Incarnation
	log          *zap.Logger
	decisions    *decisionLog
	metrics      *metrics.Metrics
	peers        *daemon.ClientPool
	gossip       *daemon.GossipTransport
	controlLoop  *controlLoop
	state        *controlState // accessed by the control loop only
	limiter      *limiter
	retrier      *retrier
	transactions *transactions

	snapshot       atomic.Pointer[snapshot]
	homes          sync.Map     // homes on this host: model.Service to *home, written by the control loop
	callerRequests atomic.Int64 // caller requests in progress
	peerRequests   atomic.Int64 // requests from other hosts in progress
	draining       atomic.Bool  // graceful shutdown has started
	rejecting      atomic.Bool  // new caller requests are refused
	drainRequested chan struct{}

	rosterChanged chan struct{} // signalled when a new roster version is applied
	drainOnce     sync.Once
}

// New returns a Server. It listens and serves only after Run is called.
func New(o Options) (*Server, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	s := &Server{
		options:        o,
		incarnation:    model.Incarnation(time.Now().UnixNano()),
		log:            o.Log,
		decisions:      newDecisionLog(o.Log),
		metrics:        metrics.New(o.Registry),
		peers:          daemon.NewClientPool(o.Daemon.PeerSecret),
		controlLoop:    newControlLoop(),
		drainRequested: make(chan struct{}),

		rosterChanged: make(chan struct{}, 1),
	}
	s.retrier = newRetrier(s.metrics, s.decisions)
	s.limiter = newLimiter(o.Daemon.Host, s.incarnation, roster.DefaultSlotCount, s, func(now time.Time) bool {
		return s.snapshot.Load().fresh(now)
	})
	s.transactions = newTransactions(s)
	s.snapshot.Store(&snapshot{})
	s.state = newControlState(s, time.Now())
	return s, nil
}

func (o *Options) setDefaults() error {
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Store != nil && o.Hosts != nil {
		return nil
	}
	client, err := kvclient.NewClient(o.Daemon.PlatformURL)
	if err != nil {
		return err
	}
	if o.Store == nil {
		o.Store = client
	}
	if o.Hosts == nil {
		o.Hosts = client
	}
	return nil
}

// listeners holds the sockets of a daemon.
type listeners struct {
	callers, operators, peers net.Listener
	gossip                    *daemon.GossipTransport
}

func (s *Server) listen() (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	d := s.options.Daemon
	if l.callers, err = net.Listen("tcp", d.CallerListen); err != nil {
		return l, trace.ConvertSystemError(err)
	}
	if l.operators, err = net.Listen("tcp", d.OperatorListen); err != nil {
		return l, trace.ConvertSystemError(err)
	}
	if l.peers, err = net.Listen("tcp", d.PeerListen); err != nil {
		return l, trace.ConvertSystemError(err)
	}
	l.gossip, err = daemon.ListenGossip(d.PeerListen, []byte(d.PeerSecret))
	return l, trace.Wrap(err)
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			listener.Close()
		}
	}
	if l.gossip != nil {
		l.gossip.Close()
	}
}

// Run serves requests until the context is cancelled or an operator drains the host, and then shuts down gracefully. It
// returns nil if the shutdown completed within the drain limit.
func (s *Server) Run(ctx context.Context) error {
	sockets, err := s.listen()
	if err != nil {
		return err
	}
	defer sockets.close()
	rpcServer, err := daemon.NewServer(&rpcService{server: s}, s.options.Daemon.PeerSecret, s.log)
	if err != nil {
		return err
	}
	s.gossip = sockets.gossip
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { s.controlLoop.run(inner, s.state.tick) })
	background.Go(func() { s.limiter.run(inner) })
	background.Go(func() { s.gossip.Serve(s.receiveGossip) })
	background.Go(func() { s.syncWithStore(inner) })
	background.Go(func() { s.transactions.run(inner) })
	background.Go(func() { rpcServer.Serve(inner, sockets.peers) })
	callers := newGracefulServer(sockets.callers, s.closeWhileDraining(caller.NewHandler(s)), s.log)
	operators := newGracefulServer(sockets.operators, s.operatorHandler(), s.log)
	s.log.Info("server: started", zap.String("data_centre", string(s.options.Daemon.DataCentre)),
		zap.String("callers", s.options.Daemon.CallerListen))
	select {
	case <-ctx.Done():
	case <-s.drainRequested:
	}
	err = s.shutdown(callers)
	operators.Close()
	stop()
	s.peers.Close()
	s.gossip.Close()
	background.Wait()
	s.log.Info("server: stopped", zap.Error(err))
	return err
}

// operatorHandler returns the handler for the operator API and the metrics endpoint.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.options.Registry, promhttp.HandlerOpts{}))
	mux.Handle("/", operator.NewHandler(&operatorBackend{server: s}, s.operatorToken))
	return mux
}

// operatorToken returns the operator token of the active configuration, or the token from the daemon's settings if the
// configuration sets none.
func (s *Server) operatorToken() string {
	if snap := s.snapshot.Load(); snap.settings != nil && snap.settings.Daemon.OperatorToken != "" {
		return snap.settings.Daemon.OperatorToken
	}
	return s.options.Daemon.OperatorToken
}
