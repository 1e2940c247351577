package target

import (
	"net"
	"sync"
)

// partition blocks a member's connections while the member is cut off.
type partition struct {
	mu     sync.Mutex
	healed chan struct{}
	active bool
}

func newPartition() *partition {
	p := &partition{healed: make(chan struct{})}
	close(p.healed)
	return p
}

func (p *partition) set(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if active == p.active {
		return
	}
	p.active = active
	if active {
		p.healed = make(chan struct{})
		return
	}
	close(p.healed)
}

func (p *partition) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// wait blocks while the partition is active.
func (p *partition) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// partitionedConn is a connection whose reads and writes block while the member
// is cut off.
type partitionedConn struct {
	net.Conn
	partition *partition
}

// Read returns data only after the partition has ended.
func (c partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.partition.wait()
	return n, err
}

// Write writes after the partition has ended.
func (c partitionedConn) Write(p []byte) (int, error) {
	c.partition.wait()
	return c.Conn.Write(p)
}
