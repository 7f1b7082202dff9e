// Package gateway runs the process of one host: it wires up the frontend that serves callers, the fleet agent, metrics and
// health checks, and shuts them down gracefully.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/boottime"
	"github.com/waxwingspindle/waxwingspindle/clientlimit"
	"github.com/waxwingspindle/waxwingspindle/fleet"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/metastore"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/rpccodec"
	"github.com/waxwingspindle/waxwingspindle/socket"
)

const (
	// gcMemoryFraction is the fraction of the host's memory that is set as the soft limit of the Go runtime. The rest is
	// left for the kernel's socket buffers.
	gcMemoryFraction = 0.7
	// balancerRemovalDelay is the time after which the load balancer has stopped sending new callers: it checks readiness
	// every second and removes a host after two failed checks.
	balancerRemovalDelay = 2200 * time.Millisecond
	// settingsPollInterval is the time between two checks of the settings file, which may change without a signal.
	settingsPollInterval = time.Second
	// The readiness check and the metrics are read by a few programs every second or less often.
	maxHTTPConnections = 32
	httpIdleTimeout    = 30 * time.Second
	httpWriteTimeout   = 10 * time.Second
	maxHTTPHeaderBytes = 16 << 10
	// deregisterTimeout bounds the removal of the registration. If it fails, the lease expires by itself.
	deregisterTimeout = time.Second
	// sessionPollInterval is the time between two checks for sessions that are still open during a stop.
	sessionPollInterval = 50 * time.Millisecond
)

// Signals are the channels on which the signals of the operating system arrive.
type Signals struct {
	Stop   <-chan os.Signal
	Reload <-chan os.Signal
}

// Run reads the settings file at a path and serves until Signals.Stop receives a signal and the graceful stop has ended.
func Run(path string, log *zap.Logger, signals Signals) error {
	settings, err := ReadSettings(path)
	if err != nil {
		return err
	}
	log = log.With(zap.String("host", settings.Host))
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * gcMemoryFraction))
	}
	incarnation := model.Incarnation(time.Now().UnixNano())
	log.Info("start", zap.Uint64("incarnation", uint64(incarnation)), zap.String("data_centre", settings.DataCentre),
		zap.Bool("load_control", settings.LoadControlEnabled()))

	registry := prometheus.NewRegistry()
	limits := settings.ClientLimits()
	callers, links := limits.Places(0)
	log.Info("client: limits", zap.Int64("held_bytes", limits.HeldBytes), zap.Int("callers", callers), zap.Int("links", links))
	clients := clientlimit.New(limits, log, registry)
	server := frontend.New(model.DataCentre(settings.DataCentre),
		platform.TargetDialer{Registry: clients, MaxResponseBytes: settings.ResponseKB << 10}, log, frontend.NewMetrics(registry))
	server.SetStateLimits(settings.StateLimits())
	server.SetLoadControl(settings.LoadControlEnabled())
	server.SetRegions(settings.RegionMap())
	self := fleet.Host{ID: model.HostID(settings.Host), Incarnation: incarnation, Address: settings.AdvertisedAddress(),
		DataCentre: model.DataCentre(settings.DataCentre), LinkMbps: settings.LinkMbps, Cores: settings.Cores}
	agent := fleet.New(fleet.Config{Self: self, Store: metastore.Measure(platform.NewStore(settings.Store), registry),
		Decoders: fleet.Decoders{ConfigurationKey: platform.ConfigurationKey, TargetPrefix: platform.TargetPrefix,
			OperatorPrefix: platform.OperatorPrefix, Evacuation: platform.ParseEvacuation,
			Configuration: platform.ParseConfiguration, Target: platform.ParseTarget},
		Prober: platform.NewProber(), Promoter: platform.NewPromoter(settings.PromotionAPI, self.ID), Server: server,
		Log: log, Seeds: settings.OtherSeeds(), IsSeed: settings.IsSeed(), Registry: clients,
		Metrics:     fleet.NewMetrics(registry),
		LinkLimits:  rpccodec.Limits{MaxMessageBytes: settings.HostMessageKB << 10, MaxCalls: settings.HostCalls},
		LoadControl: settings.LoadControlEnabled(), NoLoadControl: settings.LoadControl == "off",
		PoolTokens: settings.PoolTokens == "on", NoPoolTokens: settings.PoolTokens == "off",
		Evacuation: settings.EvacuationLimits()})

	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go serveHTTP(listeners.health,
		platform.ReadinessHandler(func() bool { return agent.Ready() && !server.Draining() }), log)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	go serveHTTP(listeners.metrics, metrics, log)
	if err := agent.ServePeers(listeners.peers); err != nil {
		return trace.Wrap(err)
	}
	go agent.Run(ctx)
	go server.Run(ctx.Done())
	go clients.Run(ctx.Done())
	go platform.ServeCallers(listeners.callers, server, clients, log)
	watchSettings(path, settings, log, signals)
	drain(agent, server, listeners, settings, log)
	cancel()
	deregister(agent, server, log)
	return nil
}

// listeners are the listening sockets of a host.
type listeners struct{ callers, health, peers, metrics net.Listener }

func listen(s Settings) (l listeners, err error) {
	for _, socketConfig := range []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.Callers}, {&l.health, s.Health}, {&l.peers, s.Peers}, {&l.metrics, s.Metrics}} {
		if *socketConfig.listener, err = socket.Listen(socketConfig.address); err != nil {
			return l, trace.Wrap(err)
		}
	}
	return l, nil
}

func serveHTTP(l net.Listener, handler http.Handler, log *zap.Logger) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: httpIdleTimeout,
		WriteTimeout: httpWriteTimeout, MaxHeaderBytes: maxHTTPHeaderBytes}
	if err := server.Serve(newLimitedListener(l, maxHTTPConnections)); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Error("http: stopped", zap.Error(err))
	}
}

// watchSettings checks the settings file for changes until a stop is requested. No setting takes effect without a restart,
// so it only logs whether the file is valid and differs from the current settings.
func watchSettings(path string, current Settings, log *zap.Logger, signals Signals) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastModified time.Time
	for {
		cause := "file changed"
		select {
		case <-signals.Stop:
			return
		case <-signals.Reload:
			cause = "signal"
		case <-ticker.C:
			info, err := os.Stat(path)
			if err != nil || info.ModTime().Equal(lastModified) {
				continue
			}
			firstCheck := lastModified.IsZero()
			if lastModified = info.ModTime(); firstCheck {
				continue
			}
		}
		reloaded, err := ReadSettings(path)
		switch {
		case err != nil:
			log.Error("reload: settings are invalid, keeping the current ones", zap.String("cause", cause), zap.Error(err))
		case reloaded != current:
			log.Warn("reload: settings have changed, restart to apply them", zap.String("cause", cause))
		default:
			log.Info("reload: settings unchanged", zap.String("cause", cause))
		}
	}
}

// drain stops serving callers gracefully: first the load balancer stops sending new ones, then sessions are closed as soon
// as they have no open transaction. Transactions that remain at StopTimes.TransactionsEnd are aborted. It returns when all
// statements of callers and of other hosts have been answered; only a connection that takes no answers is cut off.
func drain(agent *fleet.Agent, server *frontend.Server, l listeners, settings Settings, log *zap.Logger) {
	started, timeout := boottime.Now(), settings.DrainTimeout()
	times := settings.StopTimes(started)
	log.Info("stop: requested", zap.Duration("limit", timeout),
		zap.Duration("transactions_until", times.TransactionsEnd.Sub(started)),
		zap.Duration("statements_until", times.StatementsEnd.Sub(started)))
	server.Drain(times)
	go agent.Resign()
	time.Sleep(min(balancerRemovalDelay, timeout/2))
	sessions := server.CloseSessions()
	log.Info("stop: closing sessions", zap.Int("sessions", sessions), zap.Int("forwards", agent.RunningForwards()))
	_ = l.callers.Close() // fails only if it is closed already, and nothing else closes it
	for sessions+agent.RunningForwards() > 0 && boottime.Now().Sub(started) < timeout {
		time.Sleep(sessionPollInterval)
		sessions = server.CloseSessions()
	}
	if cut := server.RunningStatements(); len(cut) > 0 {
		log.Warn("stop: statements cut off", zap.Strings("ids", cut))
	}
	log.Info("stop: drained", zap.Int("sessions_cut", sessions), zap.Int("forwards_cut", agent.RunningForwards()),
		zap.Duration("took", boottime.Now().Sub(started)))
}

// deregister removes the host's registration. Once it is removed, no other host tells this one to stop using a primary that
// is replaced, so this host stops using primaries first.
func deregister(agent *fleet.Agent, server *frontend.Server, log *zap.Logger) {
	server.AllowPrimariesUntil(time.Time{})
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	agent.Deregister(ctx)
	log.Info("stop: done")
}
