package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// backlogTime is the time in which connections that the kernel has set up are still accepted after a listener was asked
	// to stop. Closing the listener resets those that are left.
	backlogDrainTime = 50 * time.Millisecond
	// quietTime is the time without a request after which idle connections are closed.
	idleThreshold = 100 * time.Millisecond
	// quietCheck is the time between two looks whether requests run.
	idleCheckInterval = 5 * time.Millisecond
)

// webServer is an HTTP server that stops without cutting requests off. http.Server.Shutdown alone drops requests that it
// has read from a connection while it closes the listener.
type gracefulServer struct {
	http.Server
	listener *gracefulListener

	mu           sync.Mutex
	activeConns  map[net.Conn]bool // connections that are new, or whose request runs
	lastActivity time.Time
}

// newWebServer serves a listener.
func newGracefulServer(l net.Listener, h http.Handler, log *zap.Logger) *gracefulServer {
	s := &gracefulServer{Server: http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout}, listener: &gracefulListener{Listener: l}, activeConns: map[net.Conn]bool{}}
	s.ConnState = s.trackConnState
	go func() {
		if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error("server: listener failed", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
	}()
	return s
}

// observe follows the state of a connection.
func (s *gracefulServer) trackConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.activeConns[conn] = true
	default:
		delete(s.activeConns, conn)
	}
	s.lastActivity = time.Now()
}

// quiet reports whether no request has run for quietTime.
func (s *gracefulServer) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.activeConns) == 0 && time.Since(s.lastActivity) >= idleThreshold
}

// stop accepts no more connections, answers the requests on those that are open, and closes them. It fails if requests run
// on when the context ends.
func (s *gracefulServer) stop(ctx context.Context) error {
	err := s.listener.stop(ctx)
	idleDeadline := time.Now().Add(headerTimeout) // connections on which nothing comes
	for !s.isIdle() && time.Now().Before(idleDeadline) && sleep(ctx, idleCheckInterval) {
	}
	return errors.Join(err, trace.Wrap(s.Shutdown(ctx)))
}

// stoppingListener can be closed without resetting the connections that wait to be accepted.
type gracefulListener struct {
	net.Listener
	once sync.Once
}

// Accept implements net.Listener. It closes the listener as soon as nothing waits any more after a stop.
func (l *gracefulListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	return conn, err
}

// Close implements net.Listener.
func (l *gracefulListener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// stop accepts what waits, and closes the listener. Meanwhile the kernel drops attempts to connect; they are repeated and then
// refused.
func (l *gracefulListener) stop(ctx context.Context) error {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return trace.Wrap(l.Close())
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		var listenErr error
		err = errors.Join(raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }), listenErr)
	}
	err = errors.Join(err, tcp.SetDeadline(time.Now().Add(backlogDrainTime)))
	sleep(ctx, 2*backlogDrainTime)
	return trace.Wrap(errors.Join(err, l.Close()))
}
