// Package faulty holds a TCP proxy on loopback that misbehaves on demand.
package faulty

import (
	"net"
	"sync"
	"time"
)

// The ways in which a proxy treats its connections.
const (
	// Forward sends on what comes.
	Forward = iota
	// Delay sends it on after a while.
	Delay
	// DropRequests drops what callers send.
	DropRequests
	// DropAnswers drops what is sent to callers.
	DropAnswers
	// RefuseNew resets new connections.
	RefuseNew
)

const (
	delay = 150 * time.Millisecond
	chunk = 32 << 10
)

// Proxy passes connections on and misbehaves as its mode says.
type Proxy struct {
	to       string
	listener net.Listener
	mu       sync.Mutex
	mode     int
	conns    map[net.Conn]struct{}
}

// New returns a proxy on loopback before an address.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &Proxy{to: to, listener: l, conns: map[net.Conn]struct{}{}}
	go f.accept()
	return f, nil
}

// Address returns where the proxy listens.
func (f *Proxy) Address() string {
	return f.listener.Addr().String()
}

// SetMode changes how connections are treated, open ones too.
func (f *Proxy) SetMode(mode int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = mode
}

func (f *Proxy) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode
}

// ResetConnections breaks every open connection.
func (f *Proxy) ResetConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		breakOff(c)
	}
}

// Close ends the proxy.
func (f *Proxy) Close() {
	_ = f.listener.Close()
	f.ResetConnections()
}

// breakOff closes a connection with a reset.
func breakOff(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (f *Proxy) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.current() == RefuseNew {
			breakOff(near)
			continue
		}
		far, err := net.Dial("tcp", f.to)
		if err != nil {
			breakOff(near)
			continue
		}
		f.mu.Lock()
		f.conns[near], f.conns[far] = struct{}{}, struct{}{}
		f.mu.Unlock()
		go f.pass(near, far, DropRequests)
		go f.pass(far, near, DropAnswers)
	}
}

// pass sends on one direction; what comes while the mode drops it is lost.
func (f *Proxy) pass(from, to net.Conn, drops int) {
	defer func() {
		f.mu.Lock()
		delete(f.conns, from)
		f.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	b := make([]byte, chunk)
	lost := false
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		switch f.current() {
		case drops:
			lost = true
		case Delay:
			time.Sleep(delay)
		}
		// After a gap the stream makes no sense to its reader any more.
		if lost {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
