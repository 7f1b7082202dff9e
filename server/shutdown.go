package server

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/waxwingspindle/waxwingspindle/config"
	"github.com/waxwingspindle/waxwingspindle/roster"
)

// handoverWait is the time that other hosts get to learn that this host leaves, before it stops being home.
const leaveNoticeDelay = 500 * time.Millisecond

// lingerTime is the time in which a leaving host still answers requests, with a refusal, before it closes the connections
// of callers. An idle connection that is closed just when its caller sends a request leaves the request without an answer.
const rejectingPeriod = time.Second

// closing asks callers to close their connections while the host is leaving, so that few are left to be closed by it.
func (s *Server) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// startDrain begins a planned stop.
func (s *Server) startDrain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// shutdown stops the daemon gracefully: it announces the leave, accepts requests for a grace time, finishes what runs,
// and hands back what it holds. It returns an error when requests did not finish within the drain limit.
func (s *Server) shutdown(callers *gracefulServer) error {
	timing := config.Timing{DrainLimit: config.DefaultDrainLimit, DrainGrace: config.DefaultDrainGrace}
	if snap := s.snapshot.Load(); snap.settings != nil {
		timing = snap.settings.Timing
	}
	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainLimit)
	defer cancel()
	s.draining.Store(true)
	s.log.Info("server: draining", zap.Duration("grace", timing.DrainGrace), zap.Duration("limit", timing.DrainLimit))
	s.controlLoop.post(s.state.announceLeave)
	sleep(ctx, max(timing.DrainGrace, leaveNoticeDelay))
	s.rejecting.Store(true)
	sleep(ctx, rejectingPeriod)
	err := callers.stop(ctx)
	if err != nil {
		s.log.Warn("server: requests of callers did not finish within the drain limit", zap.Int64("running",
			s.callerRequests.Load()))
	}
	s.transactions.drain(ctx)
	s.drainHomes(ctx)
	s.limiter.drain(ctx)
	s.releaseShareSlots(ctx)
	s.controlLoop.post(s.state.finishLeave)
	sleep(ctx, leaveNoticeDelay)
	return trace.Wrap(err)
}

// finishHomes waits until no statement of another host runs here, and closes the connections to the targets.
func (s *Server) drainHomes(ctx context.Context) {
	for s.peerRequests.Load() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
	s.homes.Range(func(_, h any) bool {
		h.(*home).close()
		return true
	})
}

// slotsTimeout bounds giving the share slots back. When the store is down, they are given to other hosts later.
const slotReleaseTimeout = 2 * time.Second

// giveSlotsBack gives the share slots of this host back in the roster, so that other hosts may use them at once.
func (s *Server) releaseShareSlots(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, slotReleaseTimeout)
	defer cancel()
	if !s.limiter.releaseSlots() {
		return
	}
	for ctx.Err() == nil {
		type result struct {
			next    roster.Document
			changed bool
		}
		answer := make(chan result, 1)
		if !s.controlLoop.post(func(now time.Time) {
			next, changed := s.state.rosterWithoutOwnSlots(now)
			answer <- result{next, changed}
		}) {
			return
		}
		r := <-answer
		if !r.changed || s.swapRoster(ctx, r.next, "this host gives its slots back") {
			return
		}
		sleep(ctx, storeRetryDelay)
	}
}
