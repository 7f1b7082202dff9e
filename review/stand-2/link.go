//go:build review

package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// link is a network path to one address. While it is cut, bytes that were sent on open connections are held, as by a network
// that loses packets which the sender's kernel repeats: they arrive after the cut, unless the sender has reset the connection.
// A connection that is opened during the cut carries nothing.
type link struct {
	address  string
	upstream string
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	cut     bool
	lost    []net.Conn // opened during the cut
}

func newLink(upstream string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), upstream: upstream, listener: l}
	k.changed = sync.NewCond(&k.mu)
	go k.accept()
	return k, nil
}

// setCut cuts the link or heals it.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if !cut {
		for _, conn := range k.lost {
			reset(conn)
		}
		k.lost = nil
	}
	k.changed.Broadcast()
}

func (k *link) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		cut := k.cut
		if cut {
			k.lost = append(k.lost, conn)
		}
		k.mu.Unlock()
		if cut {
			go func() { _, _ = io.Copy(io.Discard, conn) }() // nothing of it arrives anywhere
			continue
		}
		upstream, err := net.Dial("tcp", k.upstream)
		if err != nil {
			reset(conn)
			continue
		}
		go k.pump(upstream, conn)
		go k.pump(conn, upstream)
	}
}

// pump copies from one connection to the other.
func (k *link) pump(to, from net.Conn) {
	var held []byte
	var end error
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			k.mu.Lock()
			held = append(held, buffer[:n]...)
			end = err
			k.changed.Broadcast()
			k.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	for {
		k.mu.Lock()
		for k.cut || len(held) == 0 && end == nil {
			k.changed.Wait()
		}
		data, err := held, end
		held = nil
		k.mu.Unlock()
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to) // the sender has reset the connection, so that what was held is lost
			reset(from)
			return
		}
		if _, writeErr := to.Write(data); writeErr != nil {
			reset(from)
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails only if the other side has ended already
			}
			return
		}
	}
}

// reset closes a connection without delivering what is under way.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // may be closed already
}
