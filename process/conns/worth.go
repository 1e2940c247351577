package conns

import (
	"math"
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
	if p.leastUsed(func(cn *conn.Conn) bool { return cn.Customer != customer }) < 0 {
		return true
	}
	return p.value(customer, inUse+p.opening[customer]+1) > p.leastKept(customer)
}

// leastKept returns the second smallest value of the connections of other customers, or the
// smallest if there is one connection. The one with the smallest value is closed for each call
// of a customer without a connection, so that a new connection of less value than the second
// would be closed next and opened again soon. The caller holds the lock.
func (p *Pool) leastKept(customer string) float64 {
	open := map[string]int{}
	for _, cn := range p.idle {
		open[cn.Customer]++
	}
	for cn := range p.inUse {
		open[cn.Customer]++
	}
	least, second := math.Inf(1), math.Inf(1)
	for other, n := range open {
		if other == customer {
			continue
		}
		for ; n > 0; n-- {
			v := p.value(other, n)
			if v >= second {
				break // the customer's earlier connections have larger values
			}
			least, second = min(v, least), min(max(v, least), second)
		}
	}
	if math.IsInf(second, 1) {
		return least
	}
	return second
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
