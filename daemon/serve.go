package daemon

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Service holds the methods that a daemon must offer to other daemons, in the form that net/rpc requires. They return an
// error only for invalid messages, because the outcome of a request is part of its reply.
type Service interface {
	Execute(ExecuteRequest, *ExecuteReply) error
	Begin(BeginRequest, *BeginReply) error
	End(EndRequest, *EndReply) error
	Ping(Empty, *Empty) error
}

// Server accepts connections of other daemons and serves their calls.
type Server struct {
	rpc    *rpc.Server
	secret []byte
	log    *zap.Logger

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server for the methods of s, which may be more than those of Service.
func NewServer(s Service, secret string, log *zap.Logger) (*Server, error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Daemon", s); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Server{rpc: server, secret: []byte(secret), log: log, conns: map[net.Conn]bool{}}, nil
}

// Serve accepts connections until the context ends, and then closes them all. A connection that sends a malformed message
// is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.closeConns()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		go s.serveConn(conn)
	}
}

// serveConn authenticates a connection and serves its calls until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	if !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	if err := acceptHandshake(conn, s.secret); err != nil {
		s.log.Warn("daemon: connection refused", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
		return
	}
	s.rpc.ServeConn(writeDeadlineConn{conn})
}

// track adds an open connection. It closes the connection and reports false if the server has stopped.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	conn.Close()
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
