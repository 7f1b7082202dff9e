package loopback

import (
	"net"
	"sync"
)

// relayBuffer is the buffer size in bytes for each direction of a connection.
const relayBuffer = 4096

// Relay is a TCP relay that can simulate a partition: it discards all data while its connections stay open.
type Relay struct {
	Address string // listen address

	listener net.Listener
	upstream string

	mu          sync.Mutex
	partitioned bool
}

// NewRelay starts a relay to upstream. The port of the listen address may be 0. The relay runs until Close is called.
func NewRelay(address, upstream string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), listener: l, upstream: upstream}
	go r.accept()
	return r, nil
}

// Close stops accepting connections. Open connections end when their peers close them.
func (r *Relay) Close() { _ = r.listener.Close() }

// SetPartitioned starts or stops discarding all data.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = partitioned
}

func (r *Relay) isPartitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitioned
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
		if r.isPartitioned() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
