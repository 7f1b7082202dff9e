package loopback

import (
	"errors"
	"io"
	"net"
	"sync"
)

// relayBuffer is the buffer size in bytes for each direction of a connection.
const relayBuffer = 4096

// maxUndelivered is the number of bytes that one direction of a connection holds before it stops reading, about a TCP window.
const maxUndelivered = 64 << 10

// Relay is a TCP relay that can simulate two kinds of cuts. A partitioned relay discards all data while its connections stay open. A
// held relay keeps the data and delivers it when it is released, as a network does whose senders repeat lost packets: unless the
// sender has reset the connection meanwhile.
type Relay struct {
	Address string // listen address

	listener net.Listener
	upstream string

	mu          sync.Mutex
	changed     *sync.Cond
	partitioned bool
	held        bool
	dead        []net.Conn // accepted while held
}

// NewRelay starts a relay to upstream. The port of the listen address may be 0. The relay runs until Close is called.
func NewRelay(address, upstream string) (*Relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), listener: l, upstream: upstream}
	r.changed = sync.NewCond(&r.mu)
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

// SetHeld starts or stops holding all data. Connections that were opened meanwhile carry nothing and are reset at the end.
func (r *Relay) SetHeld(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
	if !held {
		for _, conn := range r.dead {
			reset(conn)
		}
		r.dead = nil
	}
	r.changed.Broadcast()
}

func (r *Relay) isPartitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitioned
}

// keepDead keeps a connection that was opened while the relay holds all data. It reports false if the relay does not.
func (r *Relay) keepDead(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held {
		r.dead = append(r.dead, conn)
	}
	return r.held
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.keepDead(conn) {
			continue
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

// copy copies from one connection to the other until one of them ends.
func (r *Relay) copy(to, from net.Conn) {
	p := &pipe{relay: r}
	go p.fill(from)
	for {
		data, err := p.take()
		if len(data) > 0 && !r.isPartitioned() {
			if _, err := to.Write(data); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
			_ = to.Close() // may be closed already
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// pipe holds what one direction of a connection has received and not delivered yet.
type pipe struct {
	relay    *Relay // its mutex guards the other fields
	received []byte
	err      error // of the sender's connection
}

// fill reads until the sender's connection ends.
func (p *pipe) fill(from net.Conn) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		p.relay.mu.Lock()
		p.received, p.err = append(p.received, buffer[:n]...), err
		if err != nil && !errors.Is(err, io.EOF) {
			p.received = nil // a sender that resets its connection repeats nothing
		}
		p.relay.changed.Broadcast()
		for len(p.received) >= maxUndelivered {
			p.relay.changed.Wait()
		}
		p.relay.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// take waits until data may be delivered or the sender's connection has ended, and returns both.
func (p *pipe) take() ([]byte, error) {
	p.relay.mu.Lock()
	defer p.relay.mu.Unlock()
	for p.relay.held || len(p.received) == 0 && p.err == nil {
		p.relay.changed.Wait()
	}
	data := p.received
	p.received = nil
	p.relay.changed.Broadcast()
	return data, p.err
}

// reset closes a connection without delivering what it has not delivered yet.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // may be closed already
}
