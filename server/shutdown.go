package server

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
)

// handoverWait is the time that other hosts get to learn that this host leaves, before it stops being home.
const handoverWait = 500 * time.Millisecond

// startDrain begins a planned stop.
func (s *Server) startDrain() { s.drainNow.Do(func() { close(s.drain) }) }

// shutdown stops the daemon gracefully: it announces the leave, accepts requests for a grace time, finishes what runs,
// and hands back what it holds. It returns an error when requests did not finish within the drain limit.
func (s *Server) shutdown(callers *http.Server) error {
	timing := config.Timing{DrainLimit: config.DefaultDrainLimit, DrainGrace: config.DefaultDrainGrace}
	if snap := s.snapshot.Load(); snap.settings != nil {
		timing = snap.settings.Timing
	}
	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainLimit)
	defer cancel()
	s.draining.Store(true)
	s.log.Info("server: draining", zap.Duration("grace", timing.DrainGrace), zap.Duration("limit", timing.DrainLimit))
	s.control.post(s.state.leave)
	sleep(ctx, max(timing.DrainGrace, handoverWait))
	s.refusing.Store(true)
	callers.SetKeepAlivesEnabled(false)
	err := callers.Shutdown(ctx)
	if err != nil {
		s.log.Warn("server: requests of callers did not finish within the drain limit", zap.Int64("running",
			s.running.Load()))
	}
	s.transaction.finish(ctx)
	s.finishHomes(ctx)
	s.limiter.drain(ctx)
	s.control.post(s.state.left)
	sleep(ctx, handoverWait)
	return trace.Wrap(err)
}

// finishHomes waits until no statement of another host runs here, and closes the connections to the targets.
func (s *Server) finishHomes(ctx context.Context) {
	for s.remote.Load() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
	s.homes.Range(func(_, h any) bool {
		h.(*home).close()
		return true
	})
}
