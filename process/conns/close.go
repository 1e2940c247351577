package conns

import (
	"slices"
	"time"
)

// Trim closes connections that have been idle for longer than d, but keeps at
// least one idle connection. If more than this host's share are open when Trim
// is called, spareIdle replaces d for the whole call.
func (p *Pool) Trim(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeBroken()
	if p.hasCustomers() {
		d = max(d, customerIdle)
	}
	for len(p.idle) > minIdle {
		if p.openCount > p.share && !p.customers.known() {
			d = spareIdle
		}
		if p.idle[0].LastUsed >= p.now()-d {
			return
		}
		p.openCount--
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

// Abort closes every connection and makes the waiting calls return err.
// Statements running on a connection end without an answer, and the connection
// is counted until it is put back or dropped. The pool stays usable.
func (p *Pool) Abort(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		p.openCount--
		cn.Close()
	}
	p.idle = nil
	for cn := range p.inUse {
		cn.Close()
	}
	p.failWaiting(err)
}

// Close closes the pool: idle connections at once, and those in use when they
// are put back or dropped. Waiting calls return ErrClosed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		p.openCount--
		cn.Close()
	}
	p.idle = nil
	p.failWaiting(ErrClosed)
}
