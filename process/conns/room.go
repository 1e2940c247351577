package conns

import "github.com/pistachiotray/pistachiotray/connection/conn"

// connectionsOf returns how many connections of a customer are open or being opened; the
// caller holds the lock.
func (p *Pool) connectionsOf(customer string) int {
	return p.openOf(customer) + p.opening[customer]
}

// refuseLate refuses the waiting calls of customers that can't be served in time any more,
// because calls that come before them arrived later; the caller holds the lock.
func (p *Pool) refuseLate() {
	now := p.now()
	if !p.customers.known() || p.waiting.Len() == 0 || now-p.customers.lateCheck < lateCheckPause {
		return
	}
	p.customers.lateCheck = now
	for _, w := range p.waiting.Late(now, p.connectionsOf, p.openCount) {
		if w.Customer() != "" {
			p.fail([]*waiter{w}, ErrBusy)
		}
	}
}

// mustMakeRoom reports whether a connection that is put back must be closed for another
// customer's connection, although a call w of its own customer waits: if the first waiting
// call is another customer's, which gets no connection otherwise, and that customer has none,
// or has less than its share while this one has more; the caller holds the lock.
func (p *Pool) mustMakeRoom(cn *conn.Conn, w *waiter) bool {
	if !p.customers.known() || cn.Customer == "" || p.openCount+p.openingCount < p.maxOpen() || p.now() < p.pausedUntil {
		return false
	}
	if _, used := p.inUse[cn]; !used {
		return false // opened just now
	}
	now := p.now()
	first, ok := p.waiting.Next(now, func(other *waiter) bool { return other.Customer() != "" && p.opening[other.Customer()] == 0 })
	if !ok || first.Customer() == cn.Customer || !p.waiting.Ahead(first, w, now) || !p.worthOpening(first.Customer(), 1) {
		return false
	}
	if p.leastUsed(func(other *conn.Conn) bool { return other.Customer != first.Customer() }) >= 0 {
		return false
	}
	pause := patience * p.customers.meanOpen
	own, theirs := p.connectionsOf(cn.Customer), p.connectionsOf(first.Customer())
	if theirs == 0 {
		return own > 1 || first.Priority() < w.Priority() || now-first.since >= pause
	}
	return own > theirs+1 && now-p.customers.lastSwitch >= pause
}

// closeUsed closes a connection that was in use and removes it from the pool. Its use must be
// recorded already; the caller holds the lock.
func (p *Pool) closeUsed(cn *conn.Conn) {
	delete(p.inUse, cn)
	p.openCount--
	cn.Close()
}
