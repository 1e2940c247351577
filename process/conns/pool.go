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
)

const (
	// openTimeout bounds the opening of a connection, including its wait for a
	// slot.
	openTimeout = 2 * time.Second
	// fullPause is how long no connection is opened after the target accepted
	// no more.
	fullPause = 300 * time.Millisecond
	// A host opens the share of a target's connections that SetShare set, by
	// default the limit divided by defaultShareDivisor, as soon as statements
	// wait. Beyond its share it opens one connection at a time, after
	// growPause, so that hosts that start at the same time all get some.
	defaultShareDivisor = 8
	// growPause is the pause between two connections beyond the share.
	growPause = 60 * time.Millisecond
	// spareIdle is how long an idle connection beyond the share is kept.
	spareIdle = 300 * time.Millisecond
	// useWeight is the weight of a new measurement in the average time of use.
	useWeight = 0.05
	// warmTime is how long statements that waited for the first connections may
	// still be in progress once this host's share is open.
	warmTime = 500 * time.Millisecond
	// The predicted wait for a connection gets a margin of the average time of
	// use divided by marginDivisor.
	marginDivisor = 8
	// minIdle is how many idle connections are kept regardless of their age.
	minIdle = 1
)

// ErrTargetFull is returned when the target accepts no more connections.
var ErrTargetFull = errors.New("the target takes no more connections")

// ErrBusy is returned at once when no connection is expected to be free in
// time.
var ErrBusy = errors.New("no connection comes free in time")

// ErrClosed is returned when the pool is closed, since the target is gone.
var ErrClosed = errors.New("the target is gone")

// opener opens a connection to the target.
type opener func(ctx context.Context) (*conn.Conn, error)

// waiter is a call of Take that waits for a connection.
type waiter struct {
	caller   caller.Caller
	priority int
	granted  chan grant
}

// grant is the result of a wait: a connection or an error.
type grant struct {
	conn *conn.Conn
	err  error
}

// Pool hands out the connections of this host to one target and opens more
// while statements wait. Its lock is taken after that of the group.
type Pool struct {
	mu    sync.Mutex
	open  opener
	now   func() time.Duration
	limit int
	// share is how many connections are opened as soon as statements wait.
	share   int
	opened  int
	opening int
	// warmSince is when the share of connections was first open, 0 before.
	warmSince     time.Duration
	pausedUntil   time.Duration
	growScheduled bool
	// nextGrowth is when the next connection beyond the share may be opened.
	nextGrowth time.Duration
	idle       []*conn.Conn
	// inUse maps each connection in use to the time when it was handed out.
	inUse map[*conn.Conn]time.Duration
	// meanUse is the moving average of the time for which a connection is used.
	meanUse time.Duration
	waiting []*waiter
	closed  bool
}

// New returns an empty pool of up to limit connections.
func New(limit int, now func() time.Duration, open func(ctx context.Context) (*conn.Conn, error)) *Pool {
	return &Pool{open: open, now: now, limit: limit, share: max(limit/defaultShareDivisor, 1), inUse: map[*conn.Conn]time.Duration{}}
}

// SetLimit sets how many connections may be open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// SetShare sets how many connections are opened as soon as statements wait:
// this host's share of the target's connections.
func (p *Pool) SetShare(base int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(base, 1)
}

// Take returns a connection, preferably one that already carries the caller's
// session values. The waiting call with the lowest priority number is served
// first. Take returns the context's error if that ends first, ErrBusy if no
// connection is expected in time, and the error of a failed attempt to open one
// if the target can't be reached.
func (p *Pool) Take(ctx context.Context, c caller.Caller, priority int) (*conn.Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if cn := p.takeIdle(c); cn != nil {
		p.mu.Unlock()
		return cn, nil
	}
	if !p.freeInTime(ctx, priority) {
		p.mu.Unlock()
		return nil, ErrBusy
	}
	w := &waiter{caller: c, priority: priority, granted: make(chan grant, 1)}
	p.enqueue(w)
	p.grow()
	p.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, p.abandon(w, ctx.Err())
	}
}

// freeInTime reports whether a connection is expected to be free before the
// context ends, after all waiting calls of the same or a more urgent priority
// have used one; the caller holds the lock.
func (p *Pool) freeInTime(ctx context.Context, priority int) bool {
	deadline, ok := ctx.Deadline()
	if !ok || p.opened == 0 {
		return true
	}
	ahead := 1
	for _, w := range p.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return time.Duration(ahead)*p.meanUse/time.Duration(p.opened)+p.meanUse/marginDivisor < time.Until(deadline)
}

// abandon removes a waiter and returns err; a connection that was granted
// meanwhile is put back.
func (p *Pool) abandon(w *waiter, err error) error {
	p.mu.Lock()
	i := slices.Index(p.waiting, w)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		if g := <-w.granted; g.conn != nil {
			p.Put(g.conn)
		}
	}
	return err
}

// enqueue inserts a waiter behind those of the same or a more urgent priority.
func (p *Pool) enqueue(w *waiter) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].priority > w.priority {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, w)
}

// takeIdle takes the idle connection whose session values differ least from the
// caller's, preferring the one used last. It returns nil if none is idle; the
// caller holds the lock.
func (p *Pool) takeIdle(c caller.Caller) *conn.Conn {
	p.dropBroken()
	best, distance := -1, 0
	for i := len(p.idle) - 1; i >= 0; i-- {
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
	p.inUse[cn] = p.now()
	return cn
}

// dropBroken drops idle connections that the target closed; the caller holds
// the lock.
func (p *Pool) dropBroken() {
	p.idle = slices.DeleteFunc(p.idle, func(cn *conn.Conn) bool {
		if !cn.Broken() {
			return false
		}
		p.opened--
		cn.Close()
		return true
	})
}

// recordUse adds a connection's time of use to the average.
func (p *Pool) recordUse(cn *conn.Conn) {
	if since, ok := p.inUse[cn]; ok {
		p.meanUse += time.Duration(useWeight * float64(p.now()-since-p.meanUse))
	}
}

// handOver passes a connection to the first waiter, or keeps it idle; the
// caller holds the lock.
func (p *Pool) handOver(cn *conn.Conn) {
	p.recordUse(cn)
	if len(p.waiting) == 0 {
		delete(p.inUse, cn)
		cn.LastUsed = p.now()
		p.idle = append(p.idle, cn)
		return
	}
	w := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	p.inUse[cn] = p.now()
	w.granted <- grant{conn: cn}
}

// Put returns a connection that is not in a transaction.
func (p *Pool) Put(cn *conn.Conn) {
	if cn.Broken() {
		p.Drop(cn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.discard(cn)
		return
	}
	p.handOver(cn)
}

// Drop closes a connection that can't be used again.
func (p *Pool) Drop(cn *conn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard(cn)
	p.grow()
}

// discard closes a connection in use and stops counting it; the caller holds
// the lock.
func (p *Pool) discard(cn *conn.Conn) {
	if _, ok := p.inUse[cn]; ok {
		p.recordUse(cn)
		delete(p.inUse, cn)
		p.opened--
	}
	cn.Close()
}

// Trim closes connections that have been idle for longer than d, but keeps at
// least one.
func (p *Pool) Trim(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropBroken()
	for len(p.idle) > minIdle {
		if p.opened > p.share {
			d = spareIdle
		}
		if p.idle[0].LastUsed >= p.now()-d {
			return
		}
		p.opened--
		p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

// Abort closes every connection, including those in use, whose statements end
// without an answer. The pool stays usable.
func (p *Pool) Abort(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle {
		p.opened--
		cn.Close()
	}
	p.idle = nil
	for cn := range p.inUse {
		cn.Close()
	}
	p.failWaiting(err)
}

// Close closes the pool: idle connections at once, those in use when they are
// returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, cn := range p.idle {
		p.opened--
		cn.Close()
	}
	p.idle = nil
	p.failWaiting(ErrClosed)
}

// WarmingUp reports whether this host's share of connections is still being
// opened, or was until a moment ago: statements that wait then wait for these
// connections, not for capacity.
func (p *Pool) WarmingUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened < p.share && p.opening > 0 || p.warmSince != 0 && p.now()-p.warmSince < warmTime
}

// Counts returns the number of open connections, of idle connections and of
// waiting calls.
func (p *Pool) Counts() (open, idle, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, len(p.idle), len(p.waiting)
}
