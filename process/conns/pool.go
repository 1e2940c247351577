// Package conns pools the open connections to one target.
package conns

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pistachiotray/pistachiotray/connection/caller"
	"github.com/pistachiotray/pistachiotray/connection/conn"
	"github.com/pistachiotray/pistachiotray/process/strain"
	"github.com/pistachiotray/pistachiotray/process/turns"
	"github.com/pistachiotray/pistachiotray/process/usage"
)

const (
	// openTimeout is the maximum time to open a connection, including the wait
	// for a slot of the target.
	openTimeout = 2 * time.Second
	// fullPause is how long no connection is opened after the target refused
	// one because it was full.
	fullPause = 300 * time.Millisecond
	// A host opens connections up to its share as soon as calls wait. The share
	// is the limit divided by defaultShareDivisor unless SetShare sets it.
	// Beyond its share, a host opens only one connection per growPause, so that
	// all hosts that start at the same time get some.
	defaultShareDivisor = 8
	// growPause is the pause between two connections that are opened beyond the
	// share.
	growPause = 60 * time.Millisecond
	// crowdedGrowPause is the pause between two connections that are opened beyond
	// the number set by SetShare, so that a host that remains alone gets more.
	crowdedGrowPause = time.Second
	// spareIdle is how long idle connections are kept while more than this
	// host's share are open.
	spareIdle = 300 * time.Millisecond
	// useWeight is the weight of a new measurement in the average time for
	// which a connection is used.
	useWeight = 0.05
	// warmTime is how long WarmingUp returns true after this host's share was
	// opened, since statements that waited for it may still be running.
	warmTime = 500 * time.Millisecond
	// The predicted wait for a connection is increased by a margin: the average
	// time of use divided by marginDivisor.
	marginDivisor = 8
	// minIdle is how many idle connections Trim keeps regardless of how long
	// they were idle.
	minIdle = 1
)

// ErrTargetFull is returned when the target accepts no more connections.
var ErrTargetFull = errors.New("the target takes no more connections")

// ErrBusy is returned by Take, without waiting, when no connection is expected
// to be free before the deadline.
var ErrBusy = errors.New("no connection comes free in time")

// ErrClosed is returned after the pool was closed because its target was
// removed.
var ErrClosed = errors.New("the target is gone")

// opener opens a connection to the target for a customer, or for any caller if
// customer is empty.
type opener func(ctx context.Context, customer string) (*conn.Conn, error)

// use is the use of a connection by a call: the call's customer, when the use began, and
// whether the call keeps the connection for more than one batch.
type use struct {
	customer string
	since    time.Duration
	keeps    bool
	// expected is the expected duration.
	expected time.Duration
}

// grant is what a waiting call of Take receives: a connection or an error.
type grant struct {
	conn *conn.Conn
	err  error
}

// Pool manages the connections of this host to one target and opens more while
// calls wait. Lock order: the mutex of the ReplicaSet, then of the Pool.
type Pool struct {
	mu    sync.Mutex
	open  opener
	now   func() time.Duration
	limit int
	// share is this host's share of the target's connections. Up to this
	// number, connections are opened as soon as calls wait.
	share int
	// crowd is the number of connections beyond which this host opens more only
	// slowly.
	crowd int
	// openCount is the number of open connections, and openingCount the number
	// that are being opened.
	openCount    int
	openingCount int
	// opening holds the number of connections that are being opened for each customer.
	opening map[string]int
	// lost is described at Lost. opened is set once a connection was opened.
	lost   uint64
	opened bool
	// warmSince is when the number of open connections first reached share, or
	// 0 if it has not yet.
	warmSince time.Duration
	// pausedUntil is when connections may be opened again after the target was
	// full. growScheduled is set while a later call of grow is scheduled.
	pausedUntil   time.Duration
	growScheduled bool
	// nextGrowth is when the next connection beyond the share may be opened.
	nextGrowth time.Duration
	// idle is the list of idle connections, the most recently used one last.
	idle []*conn.Conn
	// inUse maps each connection in use to its use.
	inUse map[*conn.Conn]use
	// meanUse is the moving average of how long a call uses a connection.
	meanUse time.Duration
	// waiting are the waiting calls.
	waiting *turns.Turns[*waiter]
	closed  bool
	// customers is what is known of the customers to which connections belong.
	customers customers
}

// New returns an empty pool of up to limit connections. The clock now must
// never return 0, which the pool's fields use for "not set".
func New(limit int, now func() time.Duration, open func(ctx context.Context, customer string) (*conn.Conn, error)) *Pool {
	return &Pool{open: open, now: now, limit: limit, share: max(limit/defaultShareDivisor, 1), crowd: limit, inUse: map[*conn.Conn]use{}, opening: map[string]int{}, customers: customers{usage: usage.New(), strain: strain.New(), counts: map[string]*counts{}}, waiting: turns.New[*waiter]()}
}

// SetLimit sets the maximum number of open connections. Connections that are
// already open beyond it stay open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// SetShare sets this host's share of the target's connections, and the number of
// connections beyond which the host opens more only slowly. A share below 1 counts as
// 1.
func (p *Pool) SetShare(share, crowd int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(share, 1)
	p.crowd = max(crowd, p.share)
}

// Take returns a connection of the caller's customer, preferably one that already
// carries the caller's session values. A caller without a customer takes any connection.
// Of the waiting calls, the one with the lowest priority number is served first. Take
// returns the context's error if the context ends first, ErrBusy if no connection is
// expected to be free in time, ErrClosed if the pool is closed, and the error of a failed
// attempt to open a connection.
func (p *Pool) Take(ctx context.Context, c caller.Caller, priority int, options ...func(*waiter)) (*conn.Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	w := p.newWaiter(ctx, c, priority, options...)
	if c.Customer != "" {
		p.customers.usage.Started(c.Customer, w.since)
	}
	if p.mayStart(w) {
		if cn := p.takeIdle(w); cn != nil {
			p.mu.Unlock()
			return cn, nil
		}
	}
	if !p.freeInTime(w) {
		p.countsOf(c.Customer).refused++
		p.mu.Unlock()
		return nil, ErrBusy
	}
	w.granted = make(chan grant, 1)
	p.waiting.Add(w)
	if w.excess {
		p.checkLater()
	}
	p.grow()
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, p.abandon(w, ctx.Err())
	}
}

// abandon removes a waiter whose context ended, and returns err. If a
// connection was granted meanwhile, it is put back.
func (p *Pool) abandon(w *waiter, err error) error {
	p.mu.Lock()
	waited := p.waiting.Remove(w)
	p.mu.Unlock()
	if !waited {
		if g := <-w.granted; g.conn != nil {
			p.Put(g.conn)
		}
	}
	return err
}

// serves reports whether a connection may run the statements of a caller.
func serves(cn *conn.Conn, c caller.Caller) bool {
	return c.Customer == "" || c.Customer == cn.Customer
}

// takeIdle takes the idle connection whose session values differ least from the
// caller's, preferring the one used last. It returns nil if none of the caller's
// customer is idle; the caller holds the lock.
func (p *Pool) takeIdle(w *waiter) *conn.Conn {
	p.closeBroken()
	c := w.caller
	best, distance := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
		if !serves(p.idle[i], c) {
			continue
		}
		if d := p.idle[i].SetupSteps(c); best < 0 || d < distance {
			best, distance = i, d
		}
		if distance == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	cn := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	p.startUse(cn, w)
	return cn
}

// closeBroken closes the idle connections that are broken, and removes them from
// the pool; the caller holds the lock.
func (p *Pool) closeBroken() {
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn.Conn) bool {
		if !cn.Broken() {
			return false
		}
		p.openCount--
		p.lost++
		cn.Close()
		return true
	})
}

// Lost returns a number that grows when connections are found broken, and when one is opened
// while none of those opened before is left. As long as it stays the same, all connections
// lead to the same process of the target.
func (p *Pool) Lost() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeBroken()
	return p.lost
}

// startUse records that a call begins to use a connection; the caller holds the lock.
func (p *Pool) startUse(cn *conn.Conn, w *waiter) {
	p.inUse[cn] = use{w.Customer(), p.now(), w.keeps, w.expected}
	if p.distinguishes(w.Customer()) {
		p.waiting.Started(p.now(), w)
	}
}

// recordUse updates the average times of use when a call ends its use of a connection; the
// caller holds the lock.
func (p *Pool) recordUse(cn *conn.Conn) {
	u, ok := p.inUse[cn]
	if !ok {
		return
	}
	now := p.now()
	took := now - u.since
	p.meanUse += time.Duration(useWeight * float64(took-p.meanUse))
	if !p.distinguishes(u.customer) {
		return
	}
	p.customers.usage.Ended(u.customer, u.keeps, took, now)
	p.waiting.Ended(u.customer, took, u.expected)
	if !u.keeps {
		p.customers.strain.Add(now, took)
	}
}

// handOver passes a connection that is new or was put back to the first waiting call that it
// serves, unless it has to make room for another customer's connection. If there is no such
// call, the connection becomes idle, and makes room if other customers' calls wait; the caller
// holds the lock.
func (p *Pool) handOver(cn *conn.Conn) {
	p.recordUse(cn)
	p.refuseLate()
	now := p.now()
	w, ok := p.waiting.Next(now, func(w *waiter) bool { return serves(cn, w.caller) && p.mayStart(w) })
	if !ok {
		delete(p.inUse, cn)
		cn.LastUsed = now
		p.idle = append(p.idle, cn)
		p.grow()
		return
	}
	if p.mustMakeRoom(cn, w) {
		p.customers.lastSwitch = now
		p.countsOf(cn.Customer).madeRoom++
		p.closeUsed(cn)
		p.grow()
		return
	}
	p.waiting.Remove(w)
	p.startUse(cn, w)
	w.granted <- grant{conn: cn}
}

// Put makes a connection available again. The connection must not be in a
// transaction. A broken connection is closed instead, and so is any connection
// if the pool is closed.
func (p *Pool) Put(cn *conn.Conn) {
	if cn.Broken() {
		p.Drop(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.surplus(cn) {
		p.discard(cn)
		p.grow()
		return
	}
	p.handOver(cn)
}

// Drop closes a connection that can't be used again and removes it from the
// pool. If calls wait, it starts to open other connections.
func (p *Pool) Drop(cn *conn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(cn)
	p.grow()
}

// discard closes a connection that was in use and removes it from the pool; the
// caller holds the lock.
func (p *Pool) discard(cn *conn.Conn) {
	if _, ok := p.inUse[cn]; ok {
		p.recordUse(cn)
		delete(p.inUse, cn)
		p.openCount--
		if cn.Broken() {
			p.lost++
		}
	}
	cn.Close()
}

// WarmingUp reports whether this host's share of connections is still being
// opened, or was first complete less than warmTime ago. While it returns true,
// waiting statements don't show that the target lacks capacity.
func (p *Pool) WarmingUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount < p.ownShare() && p.openingCount > 0 || p.warmSince != 0 && p.now()-p.warmSince < warmTime
}

// Counts returns the numbers of open connections, of idle connections and of
// waiting calls.
func (p *Pool) Counts() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount, len(p.idle), p.waiting.Len()
}
