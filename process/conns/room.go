package conns

import (
	"math"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/conn"
)

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
			p.countsOf(w.Customer()).refused++
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
	first, ok := p.waiting.Next(now, func(other *waiter) bool {
		return other.Customer() != "" && p.opening[other.Customer()] == 0 && p.mayStart(other)
	})
	if !ok || first.Customer() == cn.Customer || !p.waiting.Ahead(first, w, now) || !p.worthOpening(first, 1) {
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

// strained reports whether uses of the target take long because it has more work than slots;
// the caller holds the lock.
func (p *Pool) strained() bool {
	return p.customers.strain.Level() >= maxStrain
}

// mayStart reports whether a call may use a connection now. While the target is strained, a call
// in excess of its customer's usual load waits if other calls of the customer run, though not
// forever; the caller holds the lock.
func (p *Pool) mayStart(w *waiter) bool {
	return !w.excess || !p.strained() || p.inUseOf(w.Customer()) == 0 || p.now()-w.since >= maxHold
}

// mayOpen reports whether a connection may be opened for a call. While the target is strained,
// none is closed for a call in excess of its customer's usual load; the caller holds the lock.
func (p *Pool) mayOpen(w *waiter) bool {
	return !w.excess || !p.strained() || p.now()-w.since >= maxHold || p.openCount+p.openingCount < p.room() && p.mayStart(w)
}

// freeInTime reports whether a connection is expected to be free before a call's deadline. It
// returns true if no connection is open or the call has no deadline; the caller holds the lock.
func (p *Pool) freeInTime(w *waiter) bool {
	if w.deadline == math.MaxInt64 || p.openCount == 0 {
		return true
	}
	if w.Customer() != "" {
		own, all, ok := p.connectionsFor(w)
		return ok && p.waiting.InTime(p.now(), w, own, all)
	}
	return p.sharedWait(w)+p.meanUse/marginDivisor < w.deadline-p.now()
}

// sharedWait returns how long a call without a customer is expected to wait: until all waiting
// calls of the same or a more urgent priority, and one more, have used a connection. At least
// one must be open; the caller holds the lock.
func (p *Pool) sharedWait(w *waiter) time.Duration {
	ahead := 1
	for _, other := range p.waiting.Order(p.now()) {
		if other.priority <= w.priority {
			ahead++
		}
	}
	return time.Duration(ahead) * p.meanUse / time.Duration(p.openCount)
}

// connectionsFor returns on how many connections of its customer, and of all, a call of a customer
// is served, and false if on none. While the target is strained, calls in excess run one at a
// time, and none at a lender that does not come first for the customer and has no connection
// for it; the caller holds the lock.
func (p *Pool) connectionsFor(w *waiter) (own, all int, ok bool) {
	own = p.connectionsOf(w.Customer())
	if !p.strained() {
		return own, p.openCount, true
	}
	if p.mayStart(w) && p.mayOpen(w) {
		if !w.excess && p.canOpen(w.Customer()) {
			own++
		}
		return own, p.openCount, true
	}
	return 1, 0, own > 0 || !w.overflow
}

// canOpen reports whether a connection can be opened for a customer, if necessary after an idle
// one of others was closed; the caller holds the lock.
func (p *Pool) canOpen(customer string) bool {
	return p.openCount+p.openingCount < p.room() || slices.ContainsFunc(p.idle, func(cn *conn.Conn) bool { return cn.Customer != customer })
}

// checkLater schedules a check whether calls that wait for the end of a strain may begin, unless
// one is scheduled; the caller holds the lock.
func (p *Pool) checkLater() {
	if p.customers.checkScheduled {
		return
	}
	p.customers.checkScheduled = true
	time.AfterFunc(strainPause, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.customers.checkScheduled = false
		p.serveIdle()
		p.grow()
		if slices.ContainsFunc(p.waiting.Order(p.now()), func(w *waiter) bool { return w.excess }) {
			p.checkLater()
		}
	})
}

// serveIdle passes idle connections to waiting calls that may use them now; the caller holds
// the lock.
func (p *Pool) serveIdle() {
	p.closeBroken()
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn := p.idle[i]
		w, ok := p.waiting.Next(p.now(), func(w *waiter) bool { return serves(cn, w.caller) && p.mayStart(w) })
		if !ok {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		p.waiting.Remove(w)
		p.startUse(cn, w)
		w.granted <- grant{conn: cn}
	}
}
