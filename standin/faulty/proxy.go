// Package faulty implements a TCP proxy on loopback that injects network faults.
package faulty

import (
	"bytes"
	"net"
	"sync"
	"syscall"
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
	// Refuse does not listen and resets the open connections.
	Refuse
	// Silent leaves new connections unanswered and drops the data of open ones.
	Silent
)

const (
	// delayTime is the time by which Delay delays each chunk of data.
	delayTime   = 150 * time.Millisecond
	bufferBytes = 32 << 10
	// listenTimeout bounds listening again on an address.
	listenTimeout = 2 * time.Second
	// fillers is the number of connections that fill the queue of a silent address, so
	// that the kernel drops further attempts.
	fillers       = 3
	fillerTimeout = 20 * time.Millisecond
	// unreachableTimeout is the time after which the server drops the connection of a
	// client that it can't reach.
	unreachableTimeout = 3 * time.Second
	closePollPause     = 20 * time.Millisecond
	// nameField is the number of the field of the first line that holds the client's name.
	nameField = 2
)

// Proxy forwards connections to one address and injects the fault of its mode. It is
// safe for concurrent use.
type Proxy struct {
	target, address string
	// modeMu is held while the mode changes.
	modeMu sync.Mutex
	// listener is nil, and silence not nil, while the mode is Silent; both are nil while it
	// is Refuse. modeMu guards both.
	listener net.Listener
	silence  func()
	mu       sync.Mutex
	mode     int
	// clientModes holds the modes of single clients by name.
	clientModes map[string]int
	// conns holds the open connections, both those of clients and those to the
	// server, and the link that each belongs to.
	conns map[net.Conn]*link
}

// link is a connection of a client and the one to the server. The lock of the proxy guards
// name, the name of the client, which is empty while it is not known.
type link struct{ name string }

// WithAddress returns an option that sets the address on which the proxy listens.
func WithAddress(address string) func(*Proxy) {
	return func(p *Proxy) { p.address = address }
}

// New starts a proxy on loopback that forwards to the address target.
func New(target string, options ...func(*Proxy)) (*Proxy, error) {
	p := &Proxy{target: target, address: "127.0.0.1:0", clientModes: map[string]int{}, conns: map[net.Conn]*link{}}
	for _, o := range options {
		o(p)
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.listener, p.address = l, l.Addr().String()
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.address
}

// SetMode changes the mode. The new mode applies to open connections too.
func (p *Proxy) SetMode(mode int) {
	p.modeMu.Lock()
	defer p.modeMu.Unlock()
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if p.listener != nil && (mode == Refuse || mode == Silent) {
		_ = p.listener.Close()
		p.listener = nil
	}
	if p.silence != nil && mode != Silent {
		p.silence()
		p.silence = nil
	}
	switch {
	case mode == Refuse:
		p.ResetConnections()
	case mode == Silent && p.silence == nil:
		p.silence = silence(p.address)
	case mode != Silent && p.listener == nil:
		p.listener = listen(p.address)
		go p.accept(p.listener)
	}
}

// SetClientMode changes the mode for one client, which gives its name as the third field of
// the first line that it sends. Its connection attempts succeed in any mode; those that the
// mode refuses are reset after the first line. Forward ends the client's own mode.
func (p *Proxy) SetClientMode(name string, mode int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clientModes[name] = mode
	for c, l := range p.conns {
		if mode == Refuse && l.name == name {
			closeWithReset(c)
		}
	}
}

// ClearClientModes ends the modes of single clients.
func (p *Proxy) ClearClientModes() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.clientModes)
}

// listen listens on an address that was in use until now.
func listen(address string) net.Listener {
	var l net.Listener
	retry(func() (err error) {
		l, err = net.Listen("tcp", address)
		return err
	})
	return l
}

// retry calls a function until it succeeds, since a closed listener may hold its address
// for a moment. It panics if that takes too long.
func retry(f func() error) {
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		err := f()
		if err == nil {
			return
		}
		if time.Since(began) > listenTimeout {
			panic(err)
		}
	}
}

// silence makes an address answer no connection attempts, until the returned function is
// called. It listens with a queue that is full.
func silence(address string) func() {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		panic(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	retry(func() error {
		return syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())})
	})
	retry(func() error { return syscall.Listen(fd, 0) })
	var filling []net.Conn
	for range fillers {
		c, err := net.DialTimeout("tcp", address, fillerTimeout)
		if err != nil {
			break
		}
		filling = append(filling, c)
	}
	return func() {
		_ = syscall.Close(fd)
		for _, c := range filling {
			_ = c.Close()
		}
	}
}

func (p *Proxy) currentMode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// modeOf returns the mode of a link, and whether it is that of its client only.
func (p *Proxy) modeOf(l *link) (mode int, own bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.clientModes[l.name]; m != Forward {
		return m, true
	}
	return p.mode, false
}

// identify sets the name of a link's client from the first data that it sent.
func (p *Proxy) identify(l *link, data []byte) {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	if fields := bytes.Fields(line); len(fields) > nameField {
		p.mu.Lock()
		defer p.mu.Unlock()
		l.name = string(fields[nameField])
	}
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
	p.modeMu.Lock()
	defer p.modeMu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if p.silence != nil {
		p.silence()
		p.silence = nil
	}
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
func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
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
		l := &link{}
		p.conns[client], p.conns[server] = l, l
		p.mu.Unlock()
		go p.copyStream(l, client, server, DropRequests)
		go p.copyStream(l, server, client, DropAnswers)
	}
}

// copyStream forwards one direction of a connection until either side is closed. Once
// it has dropped data because the mode was dropMode, it drops all later data too.
func (p *Proxy) copyStream(l *link, from, to net.Conn, dropMode int) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferBytes)
	gap := false
	for first := true; ; first = false {
		n, err := from.Read(buffer)
		if err != nil {
			p.awaitForwarding(l, dropMode == DropRequests)
			return
		}
		if first && dropMode == DropRequests {
			p.identify(l, buffer[:n])
		}
		switch mode, own := p.modeOf(l); {
		case mode == dropMode || mode == Silent:
			gap = true
		case mode == Delay:
			time.Sleep(delayTime)
		case own && first && (mode == Refuse || mode == RefuseNew):
			closeWithReset(from)
			return
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

// awaitForwarding waits while the mode is Silent, since a silent link does not pass on that
// a connection was closed. The server drops the connection of an unreachable client.
func (p *Proxy) awaitForwarding(l *link, fromClient bool) {
	for began := time.Now(); ; time.Sleep(closePollPause) {
		if mode, _ := p.modeOf(l); mode != Silent || fromClient && time.Since(began) > unreachableTimeout {
			return
		}
	}
}
