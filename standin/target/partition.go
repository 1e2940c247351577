package target

import (
	"net"
	"sync"
)

// partition is a simulated network partition of one member. While it is active,
// reads and writes of the member's connections block.
type partition struct {
	// mu guards the fields below.
	mu sync.Mutex
	// healed is closed while the partition is not active.
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

// partitionedConn is a connection whose reads and writes block while a partition
// is active.
type partitionedConn struct {
	net.Conn
	partition *partition
}

// Read reads from the connection and returns only when the partition is not
// active, so that data received during a partition is delivered after it.
func (c partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.partition.wait()
	return n, err
}

// Write waits until the partition is not active and then writes.
func (c partitionedConn) Write(p []byte) (int, error) {
	c.partition.wait()
	return c.Conn.Write(p)
}
