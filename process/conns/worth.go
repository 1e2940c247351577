package conns

import (
	"time"

	"github.com/pistachiotray/pistachiotray/connection/conn"
)

// worthOpening reports whether another connection should be opened for a call that is the nth
// waiting one of its customer. If a connection of the customer that is in use is expected back
// sooner than opening another is worth, the call waits for it; the caller holds the lock.
func (p *Pool) worthOpening(w *waiter, n int) bool {
	customer := w.Customer()
	inUse := p.inUseOf(customer)
	if inUse+p.opening[customer] == 0 || p.customers.meanOpen == 0 {
		return true
	}
	wait := p.expectedReturn(customer, inUse) * time.Duration(2*n-1) / time.Duration(2*(inUse+p.opening[customer]))
	if wait < openPrice*p.customers.meanOpen {
		return false
	}
	if wait >= patience*p.customers.meanOpen || p.openCount+p.openingCount < p.room() {
		return true
	}
	i := p.leastUsed(func(cn *conn.Conn) bool { return cn.Customer != customer })
	further := inUse + p.opening[customer] + 1
	return i < 0 || p.value(customer, further) > p.value(p.idle[i].Customer, p.openOf(p.idle[i].Customer))
}

// expectedReturn returns the mean duration of the present uses of a customer's connections,
// by kind of work; the caller holds the lock.
func (p *Pool) expectedReturn(customer string, inUse int) time.Duration {
	if inUse == 0 {
		return p.customers.usage.Expected(customer, false)
	}
	var sum time.Duration
	for cn, u := range p.inUse {
		if cn.Customer == customer {
			sum += p.customers.usage.Expected(customer, u.keeps)
		}
	}
	return sum / time.Duration(inUse)
}

// value returns how many connections per second a customer would have to open without its nth
// connection, counted from 1: without the first one, each use opens one; without a further
// one, the uses do that for which the wait would be long. It is calculated from averages over a
// long time: it may not be large when the connection is opened and small shortly afterwards. The
// caller holds the lock.
func (p *Pool) value(customer string, n int) float64 {
	busy := float64(n - 1)
	if mean := p.customers.usage.Usual(customer); n > 1 && mean > 0 {
		// With n-1 connections, the kth waiting call waits for (k-1/2)/(n-1) uses.
		busy *= 1 + float64(openPrice*p.customers.usualOpen)/float64(mean)
	}
	return p.customers.usage.Rate(customer, busy, p.now())
}
