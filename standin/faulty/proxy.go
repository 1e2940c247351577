// Package faulty implements a TCP proxy on loopback that injects network faults.
package faulty

import (
	"net"
	"sync"
	"time"
)

// The modes of a proxy.
const (
	// Forward forwards all data.
	Forward = iota
	// Delay forwards all data after a delay.
	Delay
	// DropRequests drops the data that clients send.
	DropRequests
	// DropAnswers drops the data that the server sends to clients.
	DropAnswers
	// RefuseNew resets new connections and forwards the data of open ones.
	RefuseNew
)

const (
	// delayTime is the time by which Delay delays each chunk of data.
	delayTime   = 150 * time.Millisecond
	bufferBytes = 32 << 10
)

// Proxy forwards connections to one address and injects the fault of its mode. It is
// safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     int
	// conns holds the open connections, both those of clients and those to the
	// server.
	conns map[net.Conn]struct{}
}

// New starts a proxy on loopback that forwards to the address target.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode. The new mode applies to open connections too.
func (p *Proxy) SetMode(mode int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

func (p *Proxy) currentMode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// ResetConnections closes every open connection, of clients and to the server, with
// a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		closeWithReset(c)
	}
}

// Close closes the listener and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept forwards new connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == RefuseNew {
			closeWithReset(client)
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			closeWithReset(client)
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.copyStream(client, server, DropRequests)
		go p.copyStream(server, client, DropAnswers)
	}
}

// copyStream forwards one direction of a connection until either side is closed. Once
// it has dropped data because the mode was dropMode, it drops all later data too.
func (p *Proxy) copyStream(from, to net.Conn, dropMode int) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferBytes)
	gap := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch p.currentMode() {
		case dropMode:
			gap = true
		case Delay:
			time.Sleep(delayTime)
		}
		// The receiver could not decode a stream that continues after a gap.
		if gap {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
