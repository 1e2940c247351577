// Package answer holds the answer of one request on its way to the caller.
package answer

import (
	"context"
	"sync"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// heldBytes is how much of an answer is held back before a part of it is
	// released on its own.
	heldBytes = 256 << 10
	// unreadBytes is how much released data a caller may leave unread before
	// the slot waits for it.
	unreadBytes = 1 << 20
	// inputBytes is how much of a caller's COPY data waits for the slot.
	inputBytes = 256 << 10
)

// Answer is a bounded buffer between a slot and a caller. The slot appends;
// what it appended is held until the owner's decision releases it; the caller
// takes what was released.
type Answer struct {
	mu       sync.Mutex
	changed  chan struct{}
	pending  []byte
	kept     []byte
	released []byte
	input    []byte
	inputEnd bool
	done     bool
	gone     bool
	run      int
	fault    *fault.Fault
	mark     mark.Mark
	status   byte
}

// New returns an empty answer.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// signal wakes all who wait. The lock is held.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Begin begins the answer anew for one run and returns the run's number, by
// which late data of an earlier run is told apart and dropped.
func (a *Answer) Begin() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) > 0 {
		a.kept = a.pending
	}
	a.pending = nil
	a.run++
	return a.run
}

// Append adds what the slot read in a run. It returns true where so much is
// held that a part must be released before the slot reads on.
func (a *Answer) Append(run int, p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run != a.run || a.done {
		return false
	}
	a.pending = append(a.pending, p...)
	return len(a.pending) >= heldBytes
}

// Release hands what is held to the caller.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release()
}

func (a *Answer) release() {
	a.released = append(a.released, a.pending...)
	a.pending = nil
	a.signal()
}

// Finish releases the rest and ends the answer with what it showed and the
// state of the session's transaction. Held tells that the answer of the run
// before is the right one.
func (a *Answer) Finish(seen mark.Mark, status byte, held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if held {
		a.pending = a.kept
	}
	a.mark = seen
	a.status = status
	a.done = true
	a.release()
}

// Fail ends the answer with a fault; what was held is dropped.
func (a *Answer) Fail(f *fault.Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.pending = nil
	a.fault = f
	a.done = true
	a.signal()
}

// Abandon tells that nobody will take the answer.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = true
	a.signal()
}

// Abandoned tells whether somebody still takes the answer.
func (a *Answer) Abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gone
}

// AwaitRoom waits until nothing is held and the caller has read enough. It
// returns the context's error, or a fault of SlowCaller where the caller left.
func (a *Answer) AwaitRoom(ctx context.Context) error {
	for {
		a.mu.Lock()
		roomy := len(a.pending) == 0 && len(a.released) < unreadBytes
		gone := a.gone || a.done
		changed := a.changed
		a.mu.Unlock()
		if gone {
			return fault.New(code.SlowCaller, "the caller left")
		}
		if roomy {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Take waits for released data and returns it, and whether the answer ended
// with it. The bytes belong to the caller of Take.
func (a *Answer) Take(ctx context.Context) (p []byte, done bool, err error) {
	for {
		a.mu.Lock()
		if len(a.released) > 0 || a.done {
			p, done = a.released, a.done
			a.released = nil
			a.signal()
			a.mu.Unlock()
			return p, done, nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// Outcome returns how a finished answer ended: what it showed, the state of
// the session's transaction, and the fault, nil where there is none.
func (a *Answer) Outcome() (mark.Mark, byte, *fault.Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mark, a.status, a.fault
}

// Put adds COPY data of the caller; end tells that it was the last. It waits
// while the slot has too much to take.
func (a *Answer) AddInput(ctx context.Context, p []byte, end bool) error {
	for {
		a.mu.Lock()
		if a.done || len(a.input) < inputBytes {
			a.input = append(a.input, p...)
			a.inputEnd = a.inputEnd || end
			a.signal()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Input waits for COPY data and returns it, and whether it was the last.
func (a *Answer) TakeInput(ctx context.Context) ([]byte, bool, error) {
	for {
		a.mu.Lock()
		if len(a.input) > 0 || a.inputEnd {
			p, end := a.input, a.inputEnd
			a.input = nil
			a.inputEnd = false
			a.signal()
			a.mu.Unlock()
			return p, end, nil
		}
		gone := a.gone || a.done
		changed := a.changed
		a.mu.Unlock()
		if gone {
			return nil, false, fault.New(code.SlowCaller, "the caller left during a COPY")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}
