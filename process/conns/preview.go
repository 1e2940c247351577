package conns

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/process/supply"
)

// Preview returns what a call of Take that waits for up to limit would find now. It takes no
// connection, opens none and records nothing.
func (p *Pool) Preview(c caller.Caller, priority int, limit time.Duration, options ...func(*waiter)) supply.Supply {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.describe(c, priority, options...)
	w.deadline = w.since + limit
	if p.distinguishes(c.Customer) && !w.excess {
		w.excess = p.waiting.Exceeds(w.since, c.Customer, w.expected)
	}
	ownIdle := 0
	for _, cn := range p.idle {
		if serves(cn, c) && !cn.Broken() {
			ownIdle++
		}
	}
	own := p.openCount
	if c.Customer != "" {
		own = p.openOf(c.Customer)
	}
	s := supply.New(p.openCount, len(p.idle), p.maxOpen()).WithOwn(own, ownIdle).WithWork(p.openingCount, p.waiting.Len(), p.customers.strain.Level()).WithExcess(w.excess)
	if !p.closed && p.mayStart(w) && ownIdle > 0 {
		return s.WithImmediate()
	}
	return s.WithWait(p.expectedWait(w), p.closed || !p.freeInTime(w))
}

// expectedWait returns how long a call is expected to wait for one of the open connections, 0 if
// none is open; the caller holds the lock.
func (p *Pool) expectedWait(w *waiter) time.Duration {
	switch {
	case p.openCount == 0:
		return 0
	case w.Customer() == "":
		return p.sharedWait(w)
	}
	own, all, _ := p.connectionsFor(w)
	return p.waiting.Wait(p.now(), w, own, all)
}
