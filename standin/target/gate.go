package target

import (
	"net"
	"sync"
)

// gate holds connections silent while the member is cut off.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
	cut  bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut == g.cut {
		return
	}
	g.cut = cut
	if cut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// gated is a connection that is silent while its gate is shut.
type gated struct {
	net.Conn
	gate *gate
}

// Read reads once the gate is open.
func (c gated) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

// Write writes once the gate is open.
func (c gated) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}
