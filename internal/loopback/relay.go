package loopback

import (
	"net"
	"sync"
)

// relayBuffer is the size in bytes of the buffer for each direction of a connection.
const relayBuffer = 4096

// Relay is a TCP relay that can lose what is sent while its connections stay open, as a partition does.
type Relay struct {
	Address string // that the relay listens on

	listener net.Listener
	upstream string

	mu     sync.Mutex
	silent bool
}

// NewRelay starts a relay on an address, which may leave the port open. It runs until Close.
func NewRelay(address, upstream string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), listener: l, upstream: upstream}
	go r.accept()
	return r, nil
}

// Close ends the relay; open connections end with their peers.
func (r *Relay) Close() { _ = r.listener.Close() }

// SetSilent lets the relay lose all bytes, or pass them on again.
func (r *Relay) SetPartitioned(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

func (r *Relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.upstream)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go r.copy(upstream, conn)
		go r.copy(conn, upstream)
	}
}

func (r *Relay) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isSilent() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
