package main

import (
	"io"
	"net"
	"sync"
)

// door forwards the connections to a member. While it is shut, it refuses connections, as
// the machine of a member that crashed does.
type door struct {
	address, member string
	mu              sync.Mutex
	listener        net.Listener
	conns           map[net.Conn]struct{}
}

// newDoor returns an open door to the member that listens on an address.
func newDoor(member string) (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{address: l.Addr().String(), member: member, conns: map[net.Conn]struct{}{}}
	d.serve(l)
	return d, nil
}

// open lets connections in again.
func (d *door) open() error {
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		return err
	}
	d.serve(l)
	return nil
}

// shut closes all connections and refuses new ones.
func (d *door) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.listener.Close()
	for c := range d.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(d.conns)
}

func (d *door) serve(l net.Listener) {
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.forward(l, c)
		}
	}()
}

// forward forwards a connection that was accepted by a listener, unless the door was shut
// since.
func (d *door) forward(l net.Listener, c net.Conn) {
	member, err := net.Dial("tcp", d.member)
	if err != nil {
		_ = c.Close()
		return
	}
	d.mu.Lock()
	stale := d.listener != l
	if !stale {
		d.conns[c], d.conns[member] = struct{}{}, struct{}{}
	}
	d.mu.Unlock()
	if !stale {
		go func() {
			_, _ = io.Copy(member, c)
			_ = member.Close()
		}()
		_, _ = io.Copy(c, member)
	}
	_, _ = c.Close(), member.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
	delete(d.conns, member)
}
