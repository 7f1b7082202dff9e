// Package gateway assembles a host of the platform: callers' sessions in front, the control side, metrics, and planned
// stops.
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

	"github.com/waxwingspindle/waxwingspindle/fleet"
	"github.com/waxwingspindle/waxwingspindle/frontend"
	"github.com/waxwingspindle/waxwingspindle/model"
	"github.com/waxwingspindle/waxwingspindle/platform"
	"github.com/waxwingspindle/waxwingspindle/socket"
)

const (
	// memoryPart is the part of the host's memory at which the garbage collector works harder; the rest is for the kernel's
	// buffers of connections.
	memoryPart = 0.7
	// outOfRotation is the time after the request to stop at which the balancer sends no new callers: it asks every second
	// and needs two misses.
	outOfRotation = 2200 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file, which may change without a signal.
	settingsInterval = time.Second
	// leaveTimeout bounds the end of the registration; without it the lease ends by itself.
	leaveTimeout = time.Second
	// endInterval is the time between two looks whether all sessions have ended.
	endInterval = 50 * time.Millisecond
)

// Signals are the requests of the operating system.
type Signals struct {
	Stop   <-chan os.Signal
	Reload <-chan os.Signal
}

// Run serves until a planned stop has ended.
func Run(path string, log *zap.Logger, signals Signals) error {
	settings, err := ReadSettings(path)
	if err != nil {
		return err
	}
	log = log.With(zap.String("host", settings.Host))
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryPart))
	}
	incarnation := model.Incarnation(time.Now().UnixNano())
	log.Info("start", zap.Uint64("incarnation", uint64(incarnation)), zap.String("data_centre", settings.DataCentre))

	registry := prometheus.NewRegistry()
	server := frontend.New(model.DataCentre(settings.DataCentre), platform.TargetDialer{}, log, frontend.NewMetrics(registry))
	self := fleet.Host{ID: model.HostID(settings.Host), Incarnation: incarnation, Address: settings.AdvertisedAddress(),
		DataCentre: model.DataCentre(settings.DataCentre), LinkMbps: settings.LinkMbps, Cores: settings.Cores}
	agent := fleet.New(fleet.Config{Self: self, Store: platform.NewStore(settings.Store),
		Decoders: fleet.Decoders{ConfigurationKey: platform.ConfigurationKey, TargetPrefix: platform.TargetPrefix,
			Configuration: platform.ParseConfiguration, Target: platform.ParseTarget},
		Prober: platform.NewProber(), Promoter: platform.NewPromoter(settings.PromotionAPI, self.ID), Server: server, Log: log,
		Seeds: settings.OtherSeeds(), IsSeed: settings.IsSeed()})

	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go serveHTTP(listeners.health, platform.ReadinessHandler(func() bool { return agent.Ready() && !server.Draining() }), log)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	go serveHTTP(listeners.metrics, metrics, log)
	if err := agent.ServePeers(listeners.peers); err != nil {
		return trace.Wrap(err)
	}
	go agent.Run(ctx)
	go server.Run(ctx.Done())
	go platform.ServeCallers(listeners.callers, server, log)
	watchSettings(path, settings, log, signals)
	drain(agent, server, listeners, settings.DrainTimeout(), log)
	cancel()
	leave(agent, server, log)
	return nil
}

// listeners are the sockets of a host.
type listeners struct{ callers, health, peers, metrics net.Listener }

func listen(s Settings) (l listeners, err error) {
	for _, listening := range []struct {
		listener *net.Listener
		address  string
	}{{&l.callers, s.Callers}, {&l.health, s.Health}, {&l.peers, s.Peers}, {&l.metrics, s.Metrics}} {
		if *listening.listener, err = socket.Listen(listening.address); err != nil {
			return l, trace.Wrap(err)
		}
	}
	return l, nil
}

func serveHTTP(l net.Listener, handler http.Handler, log *zap.Logger) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	if err := server.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Error("http: stopped", zap.Error(err))
	}
}

// watchSettings returns when the process is asked to stop. Settings that cannot change while the process runs are
// reported when they do.
func watchSettings(path string, current Settings, log *zap.Logger, signals Signals) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	var seen time.Time
	for {
		cause := "file changed"
		select {
		case <-signals.Stop:
			return
		case <-signals.Reload:
			cause = "signal"
		case <-ticker.C:
			info, err := os.Stat(path)
			if err != nil || info.ModTime().Equal(seen) {
				continue
			}
			first := seen.IsZero()
			if seen = info.ModTime(); first {
				continue
			}
		}
		next, err := ReadSettings(path)
		switch {
		case err != nil:
			log.Error("reload: settings rejected, the old ones stay in force", zap.String("cause", cause), zap.Error(err))
		case next != current:
			log.Warn("reload: settings differ, a restart puts them in force", zap.String("cause", cause))
		default:
			log.Info("reload: settings unchanged", zap.String("cause", cause))
		}
	}
}

// drain ends the work of a host as planned: no new callers first, then sessions without a transaction, then the rest.
func drain(agent *fleet.Agent, server *frontend.Server, l listeners, limit time.Duration, log *zap.Logger) {
	started := time.Now()
	log.Info("stop: requested", zap.Duration("limit", limit))
	server.Drain()
	go agent.Resign()
	time.Sleep(min(outOfRotation, limit/2))
	sessions := server.CloseSessions()
	_ = l.callers.Close() // it is closed only here
	for sessions > 0 && time.Since(started) < limit {
		time.Sleep(endInterval)
		sessions = server.CloseSessions()
	}
	log.Info("stop: drained", zap.Int("sessions_cut", sessions), zap.Duration("took", time.Since(started)))
}

// leave removes the host's registration. From then on nobody asks it to stop using a primary, so it stops by itself before.
func leave(agent *fleet.Agent, server *frontend.Server, log *zap.Logger) {
	server.AllowPrimariesUntil(time.Time{})
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	agent.Deregister(ctx)
	log.Info("stop: done")
}
