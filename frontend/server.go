// Package frontend serves callers' sessions. It holds their session variables, prepared statements and transactions,
// applies rate limits, and runs statements on connections to targets. The decision logic is in the packages pool, primacy,
// routing and share; the control goroutine of package fleet supplies the configuration, the targets and the primaries.
package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/evacuation"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/region"
	"github.com/waxwingspindle/waxwingspindle/share"
	"github.com/waxwingspindle/waxwingspindle/turns"
)

const (
	// tickInterval is the interval at which queued requests are checked for expiry.
	tickInterval = 20 * time.Millisecond
	// rollbackTimeout bounds a rollback, which does not need a slot of the target.
	rollbackTimeout = time.Second
	// defaultStatementTimeout is the timeout of statements in a transaction whose route was removed.
	defaultStatementTimeout = time.Second
)

// AcquireTokensFunc takes up to n tokens of a workspace's rate limit from the broker. If none is granted, wait estimates
// when one may be available.
type AcquireTokensFunc func(workspace model.Workspace, n float64) (granted float64, wait time.Duration, err error)

// Server serves the callers' sessions of one host.
type Server struct {
	dataCentre model.DataCentre
	dialer     Dialer
	log        *zap.Logger
	metrics    *Metrics

	activeCatalog       atomic.Pointer[catalog.Catalog]
	queues              *turns.Shared
	activeEvacuations   atomic.Pointer[evacuation.State]
	regions             region.Map                // of data centres; empty if they are not known
	stopTimes           atomic.Pointer[StopTimes] // nil unless a planned stop was announced
	loadControl         atomic.Bool               // statements wait in queues of targets, whose limits are learned
	closing             atomic.Bool               // sessions end as soon as they have no open transaction
	primaryAllowedUntil atomic.Int64              // boot time in nanoseconds until which primaries may be used

	mu       sync.Mutex
	services map[model.Service]*service
	sessions map[*session]CallerConn
	// forwardedTxns holds the sessions of transactions that this host runs for other hosts.
	forwardedTxns map[txnKey]*session
	endedTxns     endedTxns

	forwarder Forwarder     // nil if all statements run on this host
	lastTxnID atomic.Uint64 // number of the last transaction that was forwarded

	stateLimits    StateLimits // of one session
	acquireTokens  AcquireTokensFunc
	brokerChanging func(requestFailed bool) bool
	limitMu        sync.Mutex
	limiter        *share.Limiter
	rateRefusals   map[model.Workspace]time.Time // last refusal of each workspace; guarded by limitMu
}

// New returns a server without a configuration. It refuses all sessions until SetCatalog is called.
func New(dataCentre model.DataCentre, dialer Dialer, log *zap.Logger, metrics *Metrics) *Server {
	s := &Server{dataCentre: dataCentre, dialer: dialer, log: log, metrics: metrics,
		services: map[model.Service]*service{}, sessions: map[*session]CallerConn{},
		forwardedTxns: map[txnKey]*session{}, limiter: share.NewLimiter(),
		queues: turns.NewShared(boottime.Now(), metrics.queues)}
	s.activeCatalog.Store(&catalog.Catalog{})
	s.activeEvacuations.Store(&evacuation.State{})
	return s
}

// Run performs periodic work of all services, such as refusing expired requests, until stop is closed.
func (s *Server) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			for _, svc := range s.allServices() {
				svc.tick()
			}
			s.queues.ReportSuppressed(boottime.Now(), s.log)
			s.endEvacuatedTransactions(boottime.Now())
		}
	}
}

// allServices returns the services in no particular order.
func (s *Server) allServices() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		list = append(list, svc)
	}
	return list
}

func (s *Server) catalog() *catalog.Catalog { return s.activeCatalog.Load() }

// service returns the named service and creates it on first use.
func (s *Server) service(name model.Service) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[name]
	if svc == nil {
		svc = newService(s, name)
		s.services[name] = svc
	}
	return svc
}

// SetCatalog applies a configuration if it is newer than the active one, and sets the number of hosts that share the
// limits, or 0 if it is not known.
func (s *Server) SetCatalog(c *catalog.Catalog, hosts int) {
	if c.Version > s.catalog().Version {
		s.activeCatalog.Store(c)
		s.checkRegions(c)
		s.log.Info("configuration: applied", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	}
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.SetLimits(boottime.Now(), s.catalog().Limits, hosts)
}

// ConnectionLimits bounds the connections of this host to a target.
type ConnectionLimits struct {
	Max      int // connections that may be open
	Retained int // connections that stay open while they are idle; 0: the default part of Max
	// Adaptive lowers Max for a while when the target refuses a connection because it has too many.
	Adaptive bool
}

// SetTargets replaces the targets of a service. limits returns the connections that this host may hold to a target.
func (s *Server) SetTargets(name model.Service, targets []catalog.Target,
	limits func(model.TargetID) ConnectionLimits) {
	s.service(name).setTargets(targets, limits)
}

// ApplyPrimaryDocument applies a decision about a primary and reports whether it is new. When it returns, nothing on this
// host acts on an older decision.
func (s *Server) ApplyPrimaryDocument(doc primacy.Document) bool {
	return s.service(doc.Service).applyDocument(doc)
}

// DecisionEpoch returns the epoch of the decision about the primary of a service that is in force on this host, or 0.
func (s *Server) DecisionEpoch(name model.Service) uint64 {
	epoch, _, _ := s.service(name).currentPrimary()
	return epoch
}

// PrimaryObservations returns, for each service whose targets this host may connect to, whether and since when it reaches the
// primary. A host of a large fleet connects to the targets of few services.
func (s *Server) PrimaryObservations() map[model.Service]primacy.Observation {
	observations := map[model.Service]primacy.Observation{}
	for _, svc := range s.allServices() {
		if svc.canConnect() {
			observations[svc.name] = svc.primaryObservation()
		}
	}
	return observations
}

// AllowPrimariesUntil permits this host to use primaries until the given boot time.
func (s *Server) AllowPrimariesUntil(until time.Time) { s.primaryAllowedUntil.Store(until.UnixNano()) }

// PrimaryAllowed reports whether this host may use primaries at a boot time.
func (s *Server) PrimaryAllowed(now time.Time) bool {
	return now.UnixNano() < s.primaryAllowedUntil.Load()
}

// Standalone reports whether this host has had no answer from the rate limit broker for too long and therefore uses its
// equal share of the whole limit.
func (s *Server) Standalone() bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Standalone(boottime.Now())
}

// ServesWithoutBroker reports whether this host can serve callers for a while without a broker, because its equal share of most
// limits holds a token.
func (s *Server) ServesWithoutBroker() bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.SharesHoldTokens()
}

// BrokerAnswered records that the broker answered a report that was sent at the given time.
func (s *Server) BrokerAnswered(sent time.Time) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.BrokerAnswered(boottime.Now(), sent)
}

// JoinBroker restricts this host to its fixed share of the limits, starting at the time sent of its report to a broker. It
// returns the tokens in excess of that share, which go to the broker.
func (s *Server) JoinBroker(sent time.Time) map[model.Workspace]float64 {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.JoinBroker(boottime.Now(), sent)
}

// BrokerStopped records that the rate limit broker has stopped.
func (s *Server) BrokerStopped() {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.BrokerGone(boottime.Now())
}

// SetForwarder sets the Forwarder for statements that run on other hosts. It must be called before Serve.
func (s *Server) SetForwarder(f Forwarder) { s.forwarder = f }

// SetTokenSource sets the function that takes tokens from the broker, and one that reports whether this host has just lost
// its broker and is about to have another one; its argument tells whether a request to the broker has just failed. It must be
// called before Serve.
func (s *Server) SetTokenSource(take AcquireTokensFunc, changing func(requestFailed bool) bool) {
	s.acquireTokens, s.brokerChanging = take, changing
}

// authenticate checks the database and the key of a new session. It returns Success, or the code of the refusal.
func (s *Server) authenticate(database, key string) Code {
	c := s.catalog()
	if c.Version == 0 {
		return Busy
	}
	route, known := c.Routes[database]
	if !known {
		return UnknownDatabase
	}
	if _, allowed := c.Authenticate(route, key); !allowed {
		return Unauthenticated
	}
	return Success
}

// Serve accepts the session of a caller and runs it until it ends. If it refuses the session it returns the code of the
// refusal, and Success otherwise.
func (s *Server) Serve(conn CallerConn, database, key string) Code {
	if code := s.authenticate(database, key); code != Success {
		return code
	}
	sess := &session{server: s, log: s.log, database: database, key: key,
		state: sessionState{route: database, variables: map[string]string{}, prepared: map[string]PreparedStatement{}}}
	sess.holder, _ = conn.(StateHolder)
	if !s.addSession(sess, conn) {
		return Busy
	}
	defer s.removeSession(sess)
	if err := conn.Accept(); err != nil {
		s.log.Info("session: not accepted by the caller", zap.Error(err))
		return Success
	}
	sess.serve(conn)
	return Success
}

// addSession adds a session unless sessions are being closed. A session is added before its caller can send a statement, so
// that a planned stop waits for every statement.
func (s *Server) addSession(sess *session, conn CallerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing.Load() {
		return false
	}
	s.sessions[sess] = conn
	return true
}

func (s *Server) removeSession(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}
