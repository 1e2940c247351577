package conns

import (
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/strain"
	"github.com/pistachiotray/pistachiotray/process/usage"
)

const (
	// customerIdle is how long a connection may be idle if connections belong to
	// customers. A small customer uses its own only now and then, and opening another
	// costs the target more than an idle one.
	customerIdle = 5 * time.Minute
	// openPrice is how many times the duration of opening a connection a call waits for
	// one in use instead: the call would wait while one is opened, a slot of the target
	// would be occupied meanwhile, and the connection that makes room has to be opened
	// again.
	openPrice = 3
	// patience is the same for a connection that would be used less often than the one
	// that makes room.
	patience = 10
	// openWeight is the weight of a new measurement in the average duration of opening, and
	// usualOpenWeight in the one that tells how many connections a customer needs. With 0.1
	// for both, this number changed several times a minute.
	openWeight      = 0.1
	usualOpenWeight = 0.02
	// reviewPause is after what time it is decided again whether another connection should
	// be opened for calls that wait.
	reviewPause = 15 * time.Millisecond
	// lateCheckPause is the pause between two checks whether the waiting calls can still
	// be served in time.
	lateCheckPause = 5 * time.Millisecond
	// While the target's uses take maxStrain times as long as usual, calls in excess of
	// their customer's usual load wait, since others would wait behind them at the target.
	// With 1.3, the p99 of others rose to 1.3 to 1.5 times in simulations, with 1.1 to 1.2
	// to 1.3 times. strainPause is the pause between two checks.
	maxStrain   = 1.15
	strainPause = 10 * time.Millisecond
	// maxHold is how long a call is held back at most. It is longer than calls may wait
	// where hosts share connections.
	maxHold = 250 * time.Millisecond
	// quotaPause is the pause before a larger quota applies: a target counts the
	// connections of a lost host for 3 s more, and hosts learn of changes at
	// different times.
	quotaPause = 3500 * time.Millisecond
	// earlyQuotaDivisor is the part of a larger quota that applies at once, so that a new
	// lender serves some calls. The other lenders, of which a target has four that come
	// first for customers, leave about as much if the connections of one are counted
	// twice.
	earlyQuotaDivisor = 4
)

// customers is what a Pool knows of the customers to which connections belong.
type customers struct {
	usage *usage.Usage
	// weights holds the weight of each customer by name, nil if callers are not told
	// apart.
	weights map[string]int
	// quota is the maximum number of open connections from quotaFrom on, and
	// earlierQuota until then.
	quota        int
	earlierQuota int
	quotaFrom    time.Duration
	// starting is set until the first quota applies.
	starting bool
	// meanOpen is the recent average duration of opening a connection, and usualOpen the
	// average over a longer time.
	meanOpen  time.Duration
	usualOpen time.Duration
	// lastSwitch is when a connection was last closed although calls of its customer
	// waited, and lateCheck when the waiting calls were last checked.
	lastSwitch time.Duration
	lateCheck  time.Duration
	// strain is how busy the target is by the uses without a kept connection, and
	// checkScheduled is set while a check is scheduled whether calls that wait for it to
	// end may begin.
	strain         *strain.Strain
	checkScheduled bool
	// counts holds what TakeCounts returns.
	counts map[string]*counts
}

// known reports whether callers are told apart by customers.
func (cs *customers) known() bool {
	return cs.weights != nil
}

// hasCustomers reports whether callers are told apart by customers, or connections are idle
// that belong to one; the caller holds the lock.
func (p *Pool) hasCustomers() bool {
	return p.customers.known() || slices.ContainsFunc(p.idle, func(cn *conn.Conn) bool { return cn.Customer != "" })
}

// distinguishes reports whether uses by a customer, or by none if the name is empty, matter for
// the shares of customers; the caller holds the lock.
func (p *Pool) distinguishes(customer string) bool {
	return customer != "" || p.customers.known()
}

// noteOpened updates the average durations of opening a connection.
func (cs *customers) noteOpened(took time.Duration) {
	if cs.meanOpen == 0 {
		cs.meanOpen, cs.usualOpen = took, took
	}
	cs.meanOpen += time.Duration(openWeight * float64(took-cs.meanOpen))
	cs.usualOpen += time.Duration(usualOpenWeight * float64(took-cs.usualOpen))
}

// quotaAt returns the quota that applies at a time.
func (cs *customers) quotaAt(now time.Duration) int {
	if now < cs.quotaFrom {
		return cs.earlierQuota
	}
	return cs.quota
}

// SetCustomers sets the maximum number of open connections and the weights of the customers
// to which connections belong; the weights must not be changed afterwards. Connections of
// other customers, and those beyond a quota that was lowered, are closed once they are idle.
// A larger quota applies after quotaPause. Weights that are nil mean that callers are not
// told apart, which is so unless SetCustomers is called.
func (p *Pool) SetCustomers(weights map[string]int, quota int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	cs := &p.customers
	waits := now < cs.quotaFrom
	cs.starting = !cs.known() || cs.starting && waits
	switch {
	case !cs.known():
		// After a restart of all hosts, targets count the earlier connections too.
		cs.earlierQuota, cs.quotaFrom = (quota+1)/2, now+quotaPause
	case quota > cs.quota && !waits:
		cs.earlierQuota, cs.quotaFrom = max(cs.quota, (quota+earlyQuotaDivisor-1)/earlyQuotaDivisor), now+quotaPause
	case waits && cs.starting:
		cs.earlierQuota = min(cs.earlierQuota, (quota+1)/2)
	case waits:
		cs.earlierQuota = min(cs.earlierQuota, quota)
	}
	cs.weights, cs.quota = weights, quota
	p.waiting.SetWeights(weights)
	if !cs.known() {
		return
	}
	p.closeBroken()
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn.Conn) bool {
		if p.belongsToKnown(cn) {
			return false
		}
		p.openCount--
		cn.Close()
		return true
	})
	for p.openCount > p.maxOpen() && p.closeLeastUsed(func(*conn.Conn) bool { return true }) {
		continue
	}
	p.grow()
}

// belongsToKnown reports whether a connection belongs to a customer that still exists, or
// to none; the caller holds the lock.
func (p *Pool) belongsToKnown(cn *conn.Conn) bool {
	_, ok := p.customers.weights[cn.Customer]
	return ok || cn.Customer == "" || !p.customers.known()
}

// surplus reports whether a connection that is put back must be closed, because its customer
// does not exist any more or the quota was lowered; the caller holds the lock.
func (p *Pool) surplus(cn *conn.Conn) bool {
	return !p.belongsToKnown(cn) || p.customers.known() && p.openCount > p.maxOpen()
}

// maxOpen returns the maximum number of open connections; the caller holds the lock.
func (p *Pool) maxOpen() int {
	if p.customers.known() {
		return min(p.limit, p.customers.quotaAt(p.now()))
	}
	return p.limit
}

// room returns up to how many connections are opened at once and without closing others;
// the caller holds the lock.
func (p *Pool) room() int {
	if p.customers.known() {
		return p.maxOpen()
	}
	return p.share
}

// ownShare returns this host's share of the target's connections; the caller holds the lock.
func (p *Pool) ownShare() int {
	if p.customers.known() {
		return min(p.share, p.maxOpen())
	}
	return p.share
}

// openOf returns how many connections of a customer are open; the caller holds the lock.
func (p *Pool) openOf(customer string) int {
	n := p.inUseOf(customer)
	for _, cn := range p.idle {
		if cn.Customer == customer {
			n++
		}
	}
	return n
}

// inUseOf returns how many connections of a customer are in use; the caller holds the lock.
func (p *Pool) inUseOf(customer string) int {
	n := 0
	for cn := range p.inUse {
		if cn.Customer == customer {
			n++
		}
	}
	return n
}

// leastUsed returns the index of the idle connection that is expected to be used least, of
// those that may be closed, or -1 if there is none. Of several, it is the one that has been
// idle for longest; the caller holds the lock.
func (p *Pool) leastUsed(mayClose func(*conn.Conn) bool) int {
	best, least := -1, 0.0
	for i, cn := range p.idle {
		if !mayClose(cn) {
			continue
		}
		if v := p.value(cn.Customer, p.openOf(cn.Customer)); best < 0 || v < least {
			best, least = i, v
		}
	}
	return best
}

// closeLeastUsed closes the connection that leastUsed returns. It returns false if there is
// none; the caller holds the lock.
func (p *Pool) closeLeastUsed(mayClose func(*conn.Conn) bool) bool {
	i := p.leastUsed(mayClose)
	if i < 0 {
		return false
	}
	p.openCount--
	p.countsOf(p.idle[i].Customer).madeRoom++
	p.idle[i].Close()
	p.idle = slices.Delete(p.idle, i, i+1)
	return true
}

// closeIdleOfOthers closes the idle connection of another customer that is expected to be
// used least. It returns false if there is none; the caller holds the lock.
func (p *Pool) closeIdleOfOthers(customer string) bool {
	return customer != "" && p.closeLeastUsed(func(cn *conn.Conn) bool { return cn.Customer != customer })
}
