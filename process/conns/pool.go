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
	// openTimeout bounds the opening of a connection, its wait for a slot included.
	openTimeout = 2 * time.Second
	// fullPause is how long no connection is opened after the target took no more.
	fullPause = 300 * time.Millisecond
	// baseShare is the part of a target's connections that one host opens as
	// soon as statements wait, where nobody told how many hosts share them.
	// Beyond it a host opens one at a time, after a pause, so that hosts that
	// begin together all get some.
	baseShare = 8
	// growPause is that pause.
	growPause = 60 * time.Millisecond
	// spareIdle is how long a connection beyond the base is kept idle.
	spareIdle = 300 * time.Millisecond
	// heldWeight is the share of a new measurement in the mean of use.
	heldWeight = 0.05
	// warmTime is how long after a host's share of the connections is open
	// what waited for them is still being served.
	warmTime = 500 * time.Millisecond
	// marginShare is the part of a turn that is kept as a margin as the wait
	// for a connection is predicted.
	marginShare = 8
	// idleKept is how many idle connections are kept whatever their age.
	idleKept = 1
)

// ErrTargetFull tells that the target takes no more connections.
var ErrTargetFull = errors.New("the target takes no more connections")

// ErrBusy tells that a connection would not come free in time.
var ErrBusy = errors.New("no connection comes free in time")

// ErrClosed tells that the target is gone.
var ErrClosed = errors.New("the target is gone")

// opener opens a connection to the target.
type opener func(ctx context.Context) (*conn.Conn, error)

type waiter struct {
	caller   caller.Caller
	priority int
	granted  chan grant
}

type grant struct {
	lane *conn.Conn
	err  error
}

// Pool hands out the connections of this host to one target and opens more
// while statements wait. Its lock is taken after that of the group.
type Pool struct {
	mu   sync.Mutex
	open opener
	now  func() time.Duration
	most int
	// base is how many connections are opened as soon as statements wait.
	base    int
	count   int
	opening int
	// warmed is when base connections were first open.
	warmed time.Duration
	pause  time.Duration
	retry  bool
	// next is when the next connection beyond the base may be opened.
	next time.Duration
	idle []*conn.Conn
	// out holds since when each connection is in use.
	out map[*conn.Conn]time.Duration
	// held is the moving mean of the time that a connection is in use.
	held    time.Duration
	waiting []*waiter
	closed  bool
}

// New returns an empty pool of at most most connections.
func New(most int, now func() time.Duration, open func(ctx context.Context) (*conn.Conn, error)) *Pool {
	return &Pool{open: open, now: now, most: most, base: max(most/baseShare, 1), out: map[*conn.Conn]time.Duration{}}
}

// SetLimit changes how many connections may be open.
func (s *Pool) SetLimit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// SetShare changes how many connections are opened as soon as statements wait:
// this host's share.
func (s *Pool) SetShare(base int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base = max(base, 1)
}

// Take returns a connection, if possible one that carries the caller's values
// already. The lowest priority number that waits is served first. It returns
// the context's error when that ends first, and the error of an attempt to
// open a connection to a target that can't be reached.
func (s *Pool) Take(ctx context.Context, c caller.Caller, priority int) (*conn.Conn, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, ErrClosed
	}
	if l := s.pick(c); l != nil {
		s.mu.Unlock()
		return l, nil
	}
	if !s.hopeful(ctx, priority) {
		s.mu.Unlock()
		return nil, ErrBusy
	}
	w := &waiter{caller: c, priority: priority, granted: make(chan grant, 1)}
	s.insert(w)
	s.grow()
	s.mu.Unlock()
	select {
	case g := <-w.granted:
		return g.lane, g.err
	case <-ctx.Done():
		return nil, s.leave(w, ctx.Err())
	}
}

// hopeful tells whether a connection is expected to come free before the
// context ends: those ahead take their turns on what is open.
func (s *Pool) hopeful(ctx context.Context, priority int) bool {
	deadline, ok := ctx.Deadline()
	if !ok || s.count == 0 {
		return true
	}
	ahead := 1
	for _, w := range s.waiting {
		if w.priority <= priority {
			ahead++
		}
	}
	return time.Duration(ahead)*s.held/time.Duration(s.count)+s.held/marginShare < time.Until(deadline)
}

// leave takes a waiter out; a connection granted meanwhile goes back.
func (s *Pool) leave(w *waiter, err error) error {
	s.mu.Lock()
	i := slices.Index(s.waiting, w)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		if g := <-w.granted; g.lane != nil {
			s.Put(g.lane)
		}
	}
	return err
}

func (s *Pool) insert(w *waiter) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority > w.priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
}

// pick takes the idle connection that is nearest to the caller's values, the
// last used first.
func (s *Pool) pick(c caller.Caller) *conn.Conn {
	s.sweep()
	best, distance := -1, 0
	for i := len(s.idle) - 1; i >= 0; i-- {
		if d := s.idle[i].SetupSteps(c); best < 0 || d < distance {
			best, distance = i, d
		}
		if distance == 0 {
			break
		}
	}
	if best < 0 {
		return nil
	}
	l := s.idle[best]
	s.idle = slices.Delete(s.idle, best, best+1)
	s.out[l] = s.now()
	return l
}

// sweep drops idle connections that the target closed.
func (s *Pool) sweep() {
	s.idle = slices.DeleteFunc(s.idle, func(l *conn.Conn) bool {
		if !l.Broken() {
			return false
		}
		s.count--
		l.Close()
		return true
	})
}

// learn takes how long a connection was in use.
func (s *Pool) learn(l *conn.Conn) {
	if since, ok := s.out[l]; ok {
		s.held += time.Duration(heldWeight * float64(s.now()-since-s.held))
	}
}

// hand gives a connection to the first that waits, or keeps it.
func (s *Pool) hand(l *conn.Conn) {
	s.learn(l)
	if len(s.waiting) == 0 {
		delete(s.out, l)
		l.LastUsed = s.now()
		s.idle = append(s.idle, l)
		return
	}
	w := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	s.out[l] = s.now()
	w.granted <- grant{lane: l}
}

// Put takes a connection back that is in no transaction.
func (s *Pool) Put(l *conn.Conn) {
	if l.Broken() {
		s.Drop(l)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.forget(l)
		return
	}
	s.hand(l)
}

// Drop closes a connection of no more use.
func (s *Pool) Drop(l *conn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(l)
	s.grow()
}

func (s *Pool) forget(l *conn.Conn) {
	if _, ok := s.out[l]; ok {
		s.learn(l)
		delete(s.out, l)
		s.count--
	}
	l.Close()
}

// Trim closes connections that were idle for longer than d, but for one.
func (s *Pool) Trim(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	for len(s.idle) > idleKept {
		if s.count > s.base {
			d = spareIdle
		}
		if s.idle[0].LastUsed >= s.now()-d {
			return
		}
		s.count--
		s.idle[0].Close()
		s.idle = slices.Delete(s.idle, 0, 1)
	}
}

// Abort closes every connection, those in use as well: their statements end
// without an answer. The pool stays usable.
func (s *Pool) Abort(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		s.count--
		l.Close()
	}
	s.idle = nil
	for l := range s.out {
		l.Close()
	}
	s.fail(err)
}

// Close ends the pool: idle connections are closed, those in use as they
// come back.
func (s *Pool) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.idle {
		s.count--
		l.Close()
	}
	s.idle = nil
	s.fail(ErrClosed)
}

// WarmingUp tells that fewer connections are open than this host's share while more
// are being opened, or were until a moment ago: what waits waits for those.
func (s *Pool) WarmingUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count < s.base && s.opening > 0 || s.warmed != 0 && s.now()-s.warmed < warmTime
}

// Counts returns how many connections are open, are idle, and how many
// statements wait for one.
func (s *Pool) Counts() (open, idle, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, len(s.idle), len(s.waiting)
}
