package conns

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// grow starts to open connections for waiting calls. Up to this host's share,
// it opens them at once; beyond the share, it first closes idle connections that serve
// none of these calls, and then opens one per growPause, and beyond the number crowd one
// per crowdedGrowPause. It never exceeds the limit; the caller holds the lock.
func (p *Pool) grow() {
	if p.closed || p.waiting.Len() == 0 {
		return
	}
	now := p.now()
	if now < p.pausedUntil {
		p.growLater(p.pausedUntil - now)
		return
	}
	for {
		customer, ok := p.nextCustomer()
		if !ok {
			if p.customers.known() {
				// A connection may be in use for longer than was expected.
				p.growLater(reviewPause)
			}
			return
		}
		replaced := p.openCount+p.openingCount >= p.room() && p.closeIdleOfOthers(customer)
		if p.openCount+p.openingCount >= p.maxOpen() {
			if now < p.customers.quotaFrom {
				p.growLater(p.customers.quotaFrom - now)
			}
			return
		}
		if !replaced && p.openCount+p.openingCount >= p.room() {
			if now < p.nextGrowth || p.openingCount > 0 {
				p.growLater(max(p.nextGrowth-now, growPause/2))
				return
			}
			p.nextGrowth = now + p.growthPause()
		}
		p.openingCount++
		p.opening[customer]++
		go p.openOne(customer)
	}
}

// nextCustomer returns the customer of the first waiting call for which another connection
// should be opened, and false if there is none; the caller holds the lock.
func (p *Pool) nextCustomer() (string, bool) {
	waiting := map[string]int{}
	for _, w := range p.waiting.Order(p.now()) {
		if !p.mayOpen(w) {
			continue
		}
		customer := w.caller.Customer
		waiting[customer]++
		if waiting[customer] > p.opening[customer] && (customer == "" || p.worthOpening(w, waiting[customer])) {
			return customer, true
		}
	}
	return "", false
}

// growthPause returns the pause after a connection that is opened beyond the share;
// the caller holds the lock.
func (p *Pool) growthPause() time.Duration {
	if p.openCount+p.openingCount+1 >= p.crowd {
		return crowdedGrowPause
	}
	return growPause
}

// growLater schedules a call of grow after wait, unless a call is already
// scheduled; the caller holds the lock.
func (p *Pool) growLater(wait time.Duration) {
	if p.growScheduled {
		return
	}
	p.growScheduled = true
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.growScheduled = false
		p.grow()
	})
}

// openOne opens a connection for a customer and passes it to the first waiting call that it
// serves. If the target is full, no other connection is opened for fullPause, and the waiting
// calls fail only if this host has no open connection to the target. After any
// other error, all waiting calls fail.
func (p *Pool) openOne(customer string) {
	ctx, stop := context.WithTimeout(context.Background(), openTimeout)
	defer stop()
	began := p.now()
	cn, err := p.open(ctx, customer)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingCount--
	if p.opening[customer]--; p.opening[customer] == 0 {
		delete(p.opening, customer)
	}
	switch {
	case err == nil && p.closed:
		cn.Close()
	case err == nil:
		if p.openCount == 0 && p.opened {
			p.lost++
		}
		p.opened = true
		p.openCount++
		p.customers.noteOpened(p.now() - began)
		p.countsOf(customer).opened++
		if p.openCount >= p.ownShare() && p.warmSince == 0 {
			p.warmSince = p.now()
		}
		p.handOver(cn)
		p.grow()
	case errors.Is(err, ErrTargetFull):
		p.pausedUntil = p.now() + fullPause
		if p.openCount == 0 {
			p.failWaiting(err)
		}
		p.grow()
	default:
		p.failWaiting(err)
	}
}

// failWaiting makes all waiting calls return err; the caller holds the lock.
func (p *Pool) failWaiting(err error) {
	p.fail(slices.Clone(p.waiting.Order(p.now())), err)
}

// fail makes some waiting calls return err; the caller holds the lock.
func (p *Pool) fail(calls []*waiter, err error) {
	for _, w := range calls {
		p.waiting.Remove(w)
		w.granted <- grant{err: err}
	}
}
