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

// leaveNoticeDelay is the time given to other hosts to receive the leave announcement before this host stops serving as
// home.
const leaveNoticeDelay = 500 * time.Millisecond

// rejectingPeriod is the time for which a leaving host keeps refusing requests before it closes the callers' connections.
// A request sent on an idle connection at the moment that it is closed would get no answer.
const rejectingPeriod = time.Second

// closeWhileDraining asks callers to close their connections while the host is draining, so that few connections are left
// for the host to close.
func (s *Server) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// startDrain starts the graceful shutdown. Later calls have no effect.
func (s *Server) startDrain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// shutdown announces that the host leaves, keeps accepting requests for the grace period, waits for requests and
// transactions in progress, and returns borrowed tokens and share slots. It returns an error if caller requests did not
// finish within the drain limit.
func (s *Server) shutdown(callers *gracefulServer) error {
	timing := config.Timing{DrainTimeout: config.DefaultDrainTimeout, DrainGracePeriod: config.DefaultDrainGracePeriod}
	if snap := s.snapshot.Load(); snap.settings != nil {
		timing = snap.settings.Timing
	}
	ctx, cancel := context.WithTimeout(context.Background(), timing.DrainTimeout)
	defer cancel()
	s.draining.Store(true)
	s.log.Info("server: draining", zap.Duration("grace", timing.DrainGracePeriod), zap.Duration("limit", timing.DrainTimeout))
	s.controlLoop.post(s.state.announceLeave)
	sleep(ctx, max(timing.DrainGracePeriod, leaveNoticeDelay))
	s.rejecting.Store(true)
	sleep(ctx, rejectingPeriod)
	err := callers.stop(ctx)
	if err != nil {
		s.log.Warn("server: caller requests did not finish within the drain limit", zap.Int64("running",
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

// drainHomes waits for the requests of other hosts to finish and closes the connections to the targets.
func (s *Server) drainHomes(ctx context.Context) {
	for s.peerRequests.Load() > 0 && sleep(ctx, 10*time.Millisecond) {
	}
	s.homes.Range(func(_, h any) bool {
		h.(*home).close()
		return true
	})
}

// slotReleaseTimeout bounds the release of the share slots. If the store is down, the slots are reassigned to other hosts
// later.
const slotReleaseTimeout = 2 * time.Second

// releaseShareSlots removes this host's share slots from the roster, so that other hosts can take them immediately.
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
		if !r.changed || s.swapRoster(ctx, r.next, "this host releases its share slots") {
			return
		}
		sleep(ctx, storeRetryDelay)
	}
}
