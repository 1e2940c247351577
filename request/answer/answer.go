// Package answer buffers the answer to one request between the slot that runs
// the request and the caller.
package answer

import (
	"context"
	"sync"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// chunkBytes is the amount of pending data at which a chunk must be
	// released before the answer is complete.
	chunkBytes = 256 << 10
	// maxUnreadBytes is how much released data a caller may leave unread before
	// the slot blocks.
	maxUnreadBytes = 1 << 20
	// maxInputBytes is how much COPY data may be buffered for the slot before
	// AddInput blocks.
	maxInputBytes = 256 << 10
)

// Answer is a bounded buffer between a slot and a caller. Data that the slot
// appends stays pending until the owner decides to release it; the caller
// takes released data only.
type Answer struct {
	mu sync.Mutex
	// changed is closed and replaced at each change of state.
	changed chan struct{}
	pending []byte
	// previous is the data that was pending when the current run began.
	previous  []byte
	released  []byte
	input     []byte
	inputEnd  bool
	done      bool
	abandoned bool
	run       int
	fault     *fault.Fault
	mark      mark.Mark
	status    byte
}

// New returns an empty answer.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// signal wakes all waiters. The caller holds the lock.
func (a *Answer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Begin resets the answer for a new run and returns the run's number. Append
// drops late data of earlier runs by this number.
func (a *Answer) Begin() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) > 0 {
		a.previous = a.pending
	}
	a.pending = nil
	a.run++
	return a.run
}

// Append adds data that the slot read in a run. It reports whether so much is
// pending that a chunk must be released before the slot reads more.
func (a *Answer) Append(run int, p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run != a.run || a.done {
		return false
	}
	a.pending = append(a.pending, p...)
	return len(a.pending) >= chunkBytes
}

// Release makes the pending data available to the caller.
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

// Finish releases the rest and completes the answer. m is the log position
// that the answer reflects, status the state of the session's transaction.
// With usePrevious, the answer of the run before is released instead, since it
// is the right one.
func (a *Answer) Finish(m mark.Mark, status byte, usePrevious bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if usePrevious {
		a.pending = a.previous
	}
	a.mark = m
	a.status = status
	a.done = true
	a.release()
}

// Fail ends the answer with a fault and drops pending data. It does nothing
// once the answer is complete.
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

// Abandon marks the answer as one that nobody will take.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.signal()
}

// Abandoned reports whether nobody will take the answer.
func (a *Answer) Abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}

// AwaitRoom waits until nothing is pending and the caller has read enough of
// the released data. It returns the context's error, or a SlowCaller fault if
// the caller left or the answer is complete.
func (a *Answer) AwaitRoom(ctx context.Context) error {
	for {
		a.mu.Lock()
		hasRoom := len(a.pending) == 0 && len(a.released) < maxUnreadBytes
		over := a.abandoned || a.done
		changed := a.changed
		a.mu.Unlock()
		if over {
			return fault.New(code.SlowCaller, "the caller left")
		}
		if hasRoom {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Take waits for released data and returns it, and reports whether it is the
// last of the answer. The caller of Take owns the bytes.
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

// Outcome returns the result of a finished answer: the log position that it
// reflects, the state of the session's transaction, and the fault or nil.
func (a *Answer) Outcome() (mark.Mark, byte, *fault.Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mark, a.status, a.fault
}

// AddInput adds COPY data of the caller; end marks the last of it. It blocks
// while the slot's buffer is full.
func (a *Answer) AddInput(ctx context.Context, p []byte, end bool) error {
	for {
		a.mu.Lock()
		if a.done || len(a.input) < maxInputBytes {
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

// TakeInput waits for COPY data and returns it, and reports whether it was the
// last.
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
		over := a.abandoned || a.done
		changed := a.changed
		a.mu.Unlock()
		if over {
			return nil, false, fault.New(code.SlowCaller, "the caller left during a COPY")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}
