// Package answer buffers the answer to one request on its way from the slot
// that runs the request to the caller.
package answer

import (
	"context"
	"sync"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

const (
	// chunkBytes is the amount of pending data at which the slot must pause until
	// the data is released as one chunk of the answer.
	chunkBytes = 256 << 10
	// maxUnreadBytes limits the released data that the caller hasn't taken.
	// AwaitRoom blocks at this limit.
	maxUnreadBytes = 1 << 20
	// maxInputBytes limits the buffered COPY data. AddInput blocks at this limit.
	maxInputBytes = 256 << 10
)

// Answer is a bounded buffer between a slot and a caller. Data that the slot
// appends stays pending until Release or Finish is called; the caller takes
// released data only.
type Answer struct {
	// mu guards the fields below.
	mu sync.Mutex
	// changed is closed and replaced at each change of state.
	changed chan struct{}
	pending []byte
	// previous is the pending data of an earlier run, kept by Begin.
	previous []byte
	released []byte
	// input is the COPY data that the slot hasn't taken yet; inputEnd means that
	// the caller sends no more.
	input     []byte
	inputEnd  bool
	done      bool
	abandoned bool
	// run is the number of the current run.
	run   int
	fault *fault.Fault
	// mark is the log position that the answer reflects.
	mark mark.Mark
	// status is the state of the session's transaction after the request.
	status byte
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

// Begin starts a new run of the request and returns the run's number. Append uses
// the number to drop late data of earlier runs. Begin keeps the pending data of an
// earlier run, so that Finish can release that data instead of the new run's.
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

// Append adds data that the slot read in a run to the pending data. It returns
// true if the pending data must be released before the slot reads more. Data of
// an earlier run, or for a complete answer, is dropped.
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
	a.releaseLocked()
}

// releaseLocked is Release for callers that hold the lock.
func (a *Answer) releaseLocked() {
	a.released = append(a.released, a.pending...)
	a.pending = nil
	a.signal()
}

// Finish releases the pending data and completes the answer. m is the log
// position that the answer reflects, and status is the state of the session's
// transaction. With usePrevious, Finish releases the data of the earlier run that
// Begin kept. This is for a last run that only found that the earlier run had taken
// effect.
func (a *Answer) Finish(m mark.Mark, status byte, usePrevious bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if usePrevious {
		a.pending = a.previous
	}
	a.mark = m
	a.status = status
	a.done = true
	a.releaseLocked()
}

// Fail completes the answer with a fault and drops pending data. It does nothing
// if the answer is already complete.
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

// Abandon records that the caller no longer waits for the answer.
func (a *Answer) Abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	a.signal()
}

// Abandoned reports whether the caller no longer waits for the answer.
func (a *Answer) Abandoned() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.abandoned
}

// AwaitRoom waits until no data is pending and fewer than maxUnreadBytes of
// released data are left for the caller to take. It returns the context's error
// if the context ends first, and a SlowCaller fault if the caller left or the
// answer is complete.
func (a *Answer) AwaitRoom(ctx context.Context) error {
	for {
		a.mu.Lock()
		hasRoom := len(a.pending) == 0 && len(a.released) < maxUnreadBytes
		closed := a.abandoned || a.done
		changed := a.changed
		a.mu.Unlock()
		if closed {
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

// Take waits until data is released or the answer is complete and returns all
// released data. done means that the answer is complete and p is its end. The
// caller of Take may keep and change p.
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

// Outcome returns the result of a complete answer: the log position that the
// answer reflects, the state of the session's transaction, and the fault if the
// request failed, otherwise nil.
func (a *Answer) Outcome() (mark.Mark, byte, *fault.Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mark, a.status, a.fault
}

// AddInput buffers COPY data of the caller for the slot; end means that the
// caller sends no more. It blocks while the buffer is full and the answer is not
// complete, and returns an error only if the context ends.
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

// TakeInput waits for COPY data of the caller and returns it. The boolean means
// that the caller sends no more. If no data is buffered, it returns a SlowCaller
// fault if the caller left or the answer is complete, and the context's error if
// the context ends.
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
		closed := a.abandoned || a.done
		changed := a.changed
		a.mu.Unlock()
		if closed {
			return nil, false, fault.New(code.SlowCaller, "the caller left during a COPY")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}
