// Package budget limits the bytes that a process holds for others: for callers, and for what
// targets and other hosts send.
package budget

import (
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// standOutShare is the share of the budget, as a divisor, from which the largest taker
	// stands out. A caller with one message of 1 MiB, its copies and a large answer holds less
	// on the smallest machines.
	standOutShare = 4
	// smallBytes is how much a taker may hold and still draw from the reserve.
	smallBytes = 64 << 10
	// reserveShare is the share of the budget, as a divisor, that only takers who hold little
	// may use. It keeps messages of usual size apart from what large ones wait for.
	reserveShare = 8
	// garbageShare is the share of the budget, as a divisor, that returned memory may occupy
	// beyond the limit until it is collected. With less, a full budget would need a collection
	// for every few messages.
	garbageShare = 2
	// defaultWait bounds the wait of a draw. A taker that is closed returns what it holds within
	// milliseconds, and work at targets ends within its time limit.
	defaultWait = 3 * time.Second
	// logsPerSecond limits the log lines.
	logsPerSecond = 1
)

// ErrExhausted is returned for a draw that the budget has no bytes for, and to a taker that was
// closed.
var ErrExhausted = errors.New("the memory for callers is used up")

// Budget is a number of bytes that takers share. A taker joins, draws and returns bytes, and
// leaves. When a draw does not fit, takers are closed until it will:
//
//  1. the largest one, if it stands out;
//  2. the one whose unfinished message is the oldest, those that hold little after all others;
//  3. the largest one that is not in the middle of a statement, if it holds more than a little.
//
// The draw then waits until they have returned their bytes. Returned bytes count as garbage until
// they are collected or used again. A draw that does not fit because of them closes nobody, but
// starts a collection and waits for it. The methods may be called concurrently; none calls a
// taker's end function with the lock held.
type Budget struct {
	log     *zap.Logger
	limiter *rate.Limiter
	wait    time.Duration
	limit   int64

	// mu guards the fields below, and those of the takers.
	mu sync.Mutex
	// used is what all takers hold, and ending the part of it that closed takers hold.
	used, ending int64
	takers       map[uint64]*taker
	// waiting holds the draws that wait, the oldest first.
	waiting []*draw
	// over is the taker that may overdraw the budget, nil if there is none.
	over *taker
	// lastID and lastMessage are the numbers of the last taker and the last message.
	lastID, lastMessage uint64
	// peak is the most that was used at a time.
	peak int64
	// garbage is the memory that was returned and may still be occupied.
	garbage garbage
	// slabs is the memory that is kept for the next long messages.
	slabs slabs
	// closed counts the takers that were closed by reason, and refused the draws that got
	// nothing.
	closed  [reasonCount]int64
	refused int64
	// suppressed counts the events that were not logged since the last log line.
	suppressed int64
}

// The reasons for closing a taker.
const (
	largest = iota
	oldest
	idle
	reasonCount
)

var reasonNames = [reasonCount]string{"Largest", "OldestUnfinished", "LargestIdle"}

// taker is one that draws from the budget.
type taker struct {
	id   uint64
	held int64
	// unfinished is the number of unfinished messages of the taker, and began the sequence
	// number of the first of them.
	unfinished int
	began      uint64
	// working means that a statement of the taker runs.
	working bool
	// end closes the taker. It is nil for a taker that can't be closed, but waits.
	end    func()
	closed bool
}

// draw is a draw that waits.
type draw struct {
	taker *taker
	bytes int64
	// done receives nil when the bytes were drawn, or the error. It holds one value.
	done chan error
}

// WithWait returns an option that bounds the wait of a draw.
func WithWait(d time.Duration) func(*Budget) {
	return func(b *Budget) { b.wait = d }
}

// New returns a budget of limit bytes.
func New(log *zap.Logger, limit int64, options ...func(*Budget)) *Budget {
	b := &Budget{
		log: log, limit: limit, wait: defaultWait, takers: map[uint64]*taker{},
		garbage: garbage{collect: runtime.GC}, slabs: slabs{free: map[int][][]byte{}},
		limiter: rate.NewLimiter(logsPerSecond, logsPerSecond),
	}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetLimit changes the number of bytes.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.dropSlabs()
	b.serveWaiting()
}

// Join adds a taker and returns its ID, which is not 0. The function end closes the taker,
// which must then leave soon; it must not block. With nil the taker is never closed.
func (b *Budget) Join(end func()) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	b.takers[b.lastID] = &taker{id: b.lastID, end: end}
	return b.lastID
}

// Leave removes a taker and returns all that it holds. It has no effect if the taker left
// before.
func (b *Budget) Leave(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.takers[id]
	if t == nil {
		return
	}
	delete(b.takers, id)
	b.discard(t, t.held)
	b.failDraws(t)
	b.serveWaiting()
}

// Begin notes that a message of a taker begins, which is unfinished until Finish: one that
// arrives, or an answer that is sent.
func (b *Budget) Begin(id uint64) {
	b.change(id, func(t *taker) {
		if t.unfinished == 0 {
			b.lastMessage++
			t.began = b.lastMessage
		}
		t.unfinished++
	})
}

// Finish notes that a message of a taker is complete.
func (b *Budget) Finish(id uint64) {
	b.change(id, func(t *taker) { t.unfinished = max(t.unfinished-1, 0) })
}

// SetWorking notes whether a statement of a taker runs. The statement ends by itself within its
// time limit, so that the taker is closed only if it stands out or has an unfinished message.
func (b *Budget) SetWorking(id uint64, working bool) {
	b.mu.Lock()
	var victims []func()
	if t := b.takers[id]; t != nil {
		t.working = working
		victims = b.closeForWaiting()
	}
	b.mu.Unlock()
	endAll(victims)
}

// change changes the state of a taker, unless it left, and closes takers for a draw that waits.
func (b *Budget) change(id uint64, f func(t *taker)) {
	b.mu.Lock()
	var victims []func()
	if t := b.takers[id]; t != nil {
		f(t)
		victims = b.closeForWaiting()
	}
	b.mu.Unlock()
	endAll(victims)
}

// Draw draws bytes for a taker before it uses them. If they don't fit, Draw closes others and
// waits. It returns ErrExhausted if the taker itself is the one to be closed, or was, or has
// left, and if the bytes are not free in time.
func (b *Budget) Draw(id uint64, n int) error {
	d, victims := b.ask(id, int64(n))
	endAll(victims)
	if d == nil {
		return nil
	}
	timer := time.NewTimer(b.wait)
	defer timer.Stop()
	select {
	case err := <-d.done:
		return err
	case <-timer.C:
		return b.giveUp(d)
	}
}

// ask draws bytes for a taker, or adds a draw that waits. It returns the takers to be ended.
func (b *Budget) ask(id uint64, n int64) (*draw, []func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.takers[id]
	d := &draw{taker: t, bytes: n, done: make(chan error, 1)}
	if t == nil || t.closed {
		d.done <- ErrExhausted
		return d, nil
	}
	if b.fits(t, n) {
		b.add(t, n)
		return nil, nil
	}
	victims := b.closeFor(t, n)
	if t.closed {
		b.refused++
		d.done <- ErrExhausted
		return d, victims
	}
	b.waiting = append(b.waiting, d)
	b.serveWaiting()
	return d, victims
}

// giveUp ends a draw whose time is over, unless it was served meanwhile.
func (b *Budget) giveUp(d *draw) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiting {
		if w == d {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			if d.taker.held+d.bytes <= smallBytes && b.fitsLive(d.taker, d.bytes) {
				// Usual messages are not refused because of garbage.
				b.add(d.taker, d.bytes)
				return nil
			}
			b.refused++
			b.note("draw refused", d.taker)
			return ErrExhausted
		}
	}
	return <-d.done
}

// Charge draws bytes that a taker uses already. It does not wait, and may overdraw the budget;
// takers are then closed, which may be this one.
func (b *Budget) Charge(id uint64, n int) {
	b.mu.Lock()
	t := b.takers[id]
	var victims []func()
	if t != nil {
		b.add(t, int64(n))
		if b.used-b.ending > b.limit {
			victims = b.closeFor(t, 0)
		}
		if b.garbage.bytes() > b.limit/garbageShare {
			b.startCollection()
		}
	}
	b.mu.Unlock()
	endAll(victims)
}

// Return gives back bytes of a taker, which it does not use again. It has no effect after the taker
// left.
func (b *Budget) Return(id uint64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.takers[id]
	if t == nil || n == 0 {
		return
	}
	b.discard(t, min(int64(n), t.held))
	b.serveWaiting()
}

// Metrics returns the state of the budget in bytes, and the number of takers closed and of
// draws refused since the start.
func (b *Budget) Metrics() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	closed := map[string]int64{}
	for i, name := range reasonNames {
		closed[name] = b.closed[i]
	}
	return struct {
		Limit, Used, Peak int64
		Takers, Waiting   int
		Closed            map[string]int64
		Refused           int64
		// Garbage is the returned memory that may not be collected yet, and Kept what is kept for
		// the next long messages. Collections counts the collections that draws waited for.
		Garbage, Kept, Collections int64
	}{
		b.limit, b.used, b.peak, len(b.takers), len(b.waiting), closed, b.refused,
		b.garbage.bytes(), b.slabs.bytes, b.garbage.collections,
	}
}

// add changes what a taker holds. The caller holds the lock.
func (b *Budget) add(t *taker, n int64) {
	t.held += n
	b.used += n
	if t.closed {
		b.ending += n
	}
	b.peak = max(b.peak, b.used)
}

// failDraws ends the waiting draws of a taker. The caller holds the lock.
func (b *Budget) failDraws(t *taker) {
	kept := b.waiting[:0]
	for _, d := range b.waiting {
		if d.taker != t {
			kept = append(kept, d)
			continue
		}
		d.done <- ErrExhausted
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// note logs an event about a taker, unless the limit of log lines is reached. The caller holds
// the lock.
func (b *Budget) note(event string, t *taker) {
	if !b.limiter.Allow() {
		b.suppressed++
		return
	}
	b.log.Warn("memory for callers is used up", zap.String("Event", event), zap.Int64("Held", t.held), zap.Int64("Used", b.used),
		zap.Int64("Limit", b.limit), zap.Int64("Suppressed", b.suppressed))
	b.suppressed = 0
}

// endAll calls the end functions of takers that were closed.
func endAll(victims []func()) {
	for _, end := range victims {
		end()
	}
}
