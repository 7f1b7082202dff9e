// Package frontend serves callers' sessions: it owns their values, prepared statements and transactions, admits their
// operations, and runs them on connections to targets. Decisions come from the packages pool, primacy, routing and share;
// the control goroutine of package fleet brings in configuration, targets and primaries.
package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/catalog"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/primacy"
	"github.com/waxwingspindle/waxwingspindle/share"
)

const (
	// tickInterval is the time between two looks for requests that have waited too long.
	tickInterval = 20 * time.Millisecond
	// rollbackTimeout bounds a rollback; it needs no slot.
	rollbackTimeout = time.Second
	// fallbackTimeout is the timeout of statements in a transaction whose route was removed.
	fallbackTimeout = time.Second
)

// TakeTokens takes up to n tokens of a workspace's limit from the broker. Without a token the wait tells when there may be
// one.
type AcquireTokensFunc func(workspace model.Workspace, n float64) (granted float64, wait time.Duration, err error)

// Server serves the callers of one host.
type Server struct {
	dataCentre model.DataCentre
	dialer     Dialer
	log        *zap.Logger
	metrics    *Metrics

	current      atomic.Pointer[catalog.Catalog]
	draining     atomic.Bool  // the host is about to stop
	closing      atomic.Bool  // sessions end when they have no transaction
	primaryUntil atomic.Int64 // nanoseconds of the boot time until which primaries may be used

	mu       sync.Mutex
	services map[model.Service]*service
	sessions map[*session]CallerConn
	// forwardedTxns are the sessions of other hosts whose transactions run here.
	forwardedTxns   map[txnKey]*session
	forwardsRunning atomic.Int64

	forwarder Forwarder     // nil if this host runs everything itself
	lastTxn   atomic.Uint64 // number of the last transaction that was passed on

	takeTokens AcquireTokensFunc
	limitMu    sync.Mutex
	limiter    *share.Limiter
}

// New returns a server without a configuration, which refuses everything.
func New(dataCentre model.DataCentre, dialer Dialer, log *zap.Logger, metrics *Metrics) *Server {
	s := &Server{dataCentre: dataCentre, dialer: dialer, log: log, metrics: metrics,
		services: map[model.Service]*service{}, sessions: map[*session]CallerConn{},
		forwardedTxns: map[txnKey]*session{}, limiter: share.NewLimiter()}
	s.current.Store(&catalog.Catalog{})
	return s
}

// Run refuses requests that have waited too long, until the channel is closed.
func (s *Server) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			for _, svc := range s.all() {
				svc.tick()
			}
		}
	}
}

func (s *Server) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*service, 0, len(s.services))
	for _, svc := range s.services {
		list = append(list, svc)
	}
	return list
}

func (s *Server) catalog() *catalog.Catalog { return s.current.Load() }

// service returns the service of the name, which is created when it is first used.
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

// SetCatalog puts a configuration in force, if it is newer than the one in force.
func (s *Server) SetCatalog(c *catalog.Catalog, hosts int) {
	if c.Version > s.catalog().Version {
		s.current.Store(c)
		s.log.Info("configuration: in force", zap.Int64("version", c.Version), zap.Int("routes", len(c.Routes)))
	}
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.SetLimits(boottime.Now(), s.catalog().Limits, hosts)
}

// SetTargets replaces the targets of a service. limit is the number of connections that this host may hold to each.
func (s *Server) SetTargets(name model.Service, targets []catalog.Target, limit int) {
	s.service(name).setTargets(targets, limit)
}

// SetDocument takes over a decision about a primary and reports whether it is new. When it returns, this host uses no older
// one.
func (s *Server) ApplyPrimaryDocument(doc primacy.Document) bool {
	return s.service(doc.Service).setDocument(doc)
}

// Opinions returns how this host sees the primaries of its services.
func (s *Server) PrimaryObservations() map[model.Service]primacy.Observation {
	opinions := map[model.Service]primacy.Observation{}
	for _, svc := range s.all() {
		opinions[svc.name] = svc.opinion()
	}
	return opinions
}

// AllowPrimaries allows the use of primaries until the given boot time.
func (s *Server) AllowPrimariesUntil(until time.Time) { s.primaryUntil.Store(until.UnixNano()) }

func (s *Server) mayUsePrimary(now time.Time) bool { return now.UnixNano() < s.primaryUntil.Load() }

// Alone reports whether this host has not heard the broker of the rate limits for too long.
func (s *Server) Standalone() bool {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.Standalone(boottime.Now())
}

// BrokerAnswered records that the broker has answered a report that was sent at the given time.
func (s *Server) BrokerAnswered(sent time.Time) {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.BrokerAnswered(boottime.Now(), sent)
}

// JoinBroker lets this host use its fixed part of the limits only, from the time at which it reports that to a broker. It
// returns the tokens that do not fit into that part, for the broker.
func (s *Server) JoinBroker(sent time.Time) map[model.Workspace]float64 {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	return s.limiter.JoinBroker(boottime.Now(), sent)
}

// BrokerGone records that the broker of the rate limits has stopped.
func (s *Server) BrokerStopped() {
	s.limitMu.Lock()
	defer s.limitMu.Unlock()
	s.limiter.BrokerGone(boottime.Now())
}

// SetForwarder sets how statements are passed on to other hosts.
func (s *Server) SetForwarder(f Forwarder) { s.forwarder = f }

// SetBroker sets how tokens are taken from the broker.
func (s *Server) SetTokenSource(take AcquireTokensFunc) { s.takeTokens = take }

// Open checks the database and the key of a new session. It returns Success, or the code to refuse the session with.
func (s *Server) Authenticate(database, key string) Code {
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

// Serve runs a session that Open has accepted until it ends.
func (s *Server) Serve(conn CallerConn, database, key string) {
	sess := &session{server: s, log: s.log, database: database, key: key,
		state: sessionState{values: map[string]string{}, prepared: map[string]PreparedStatement{}}}
	s.mu.Lock()
	s.sessions[sess] = conn
	s.mu.Unlock()
	sess.serve(conn)
	s.mu.Lock()
	delete(s.sessions, sess)
	s.mu.Unlock()
}

// Close lets sessions end as soon as they have no transaction, and returns the number of open ones with the statements and
// transactions of other hosts that run here.
func (s *Server) CloseSessions() int {
	first := !s.closing.Swap(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		for _, conn := range s.sessions {
			conn.Interrupt()
		}
	}
	return len(s.sessions) + len(s.forwardedTxns) + int(s.forwardsRunning.Load())
}

// Drain announces a planned stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Draining reports whether a planned stop was announced.
func (s *Server) Draining() bool { return s.draining.Load() }
