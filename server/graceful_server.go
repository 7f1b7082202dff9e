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
	// backlogDrainTime is the time for which a stopping listener still accepts connections from the kernel's backlog.
	// Closing the listener resets the connections that remain in the backlog.
	backlogDrainTime = 50 * time.Millisecond
	// idleThreshold is the time without requests after which a stopping server closes its connections.
	idleThreshold = 100 * time.Millisecond
	// idleCheckInterval is the interval between checks for running requests.
	idleCheckInterval = 5 * time.Millisecond
)

// gracefulServer is an HTTP server that answers all accepted requests before it stops. http.Server.Shutdown alone drops
// requests that it reads from a connection while it closes the listener.
type gracefulServer struct {
	http.Server
	listener *gracefulListener

	mu           sync.Mutex
	activeConns  map[net.Conn]bool // new connections and connections with a running request
	lastActivity time.Time
}

// newGracefulServer starts to serve a listener.
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

// trackConnState is the ConnState hook of the server. It tracks active connections.
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

// isIdle reports whether no request has been running for idleThreshold.
func (s *gracefulServer) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.activeConns) == 0 && time.Since(s.lastActivity) >= idleThreshold
}

// stop closes the listener, answers the requests on open connections, and closes the connections. It returns an error if
// requests are still running when the context is done.
func (s *gracefulServer) stop(ctx context.Context) error {
	err := s.listener.stop(ctx)
	idleDeadline := time.Now().Add(headerTimeout) // bounds the wait for connections that send no request
	for !s.isIdle() && time.Now().Before(idleDeadline) && sleep(ctx, idleCheckInterval) {
	}
	return errors.Join(err, trace.Wrap(s.Shutdown(ctx)))
}

// gracefulListener is a listener that can stop without resetting the connections in the kernel's backlog.
type gracefulListener struct {
	net.Listener
	once sync.Once
}

// Accept implements net.Listener. After stop, it closes the listener once the backlog has been accepted.
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

// stop accepts the connections in the backlog and closes the listener. New connection attempts are dropped by the kernel in
// the meantime; the clients' retransmissions are refused once the listener is closed.
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
