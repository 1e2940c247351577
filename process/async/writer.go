// Package async writes log lines without blocking the caller.
package async

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxWaitingBytes is the maximum total size of the lines that wait to be
// written.
const maxWaitingBytes = 1 << 20

// Writer passes lines to another writer in a separate goroutine. If a line
// would bring the size of the waiting lines above maxWaitingBytes, the line is
// dropped and counted.
type Writer struct {
	mu      sync.Mutex
	dst     io.Writer
	waiting []byte
	// spare is the buffer of the previous write, which is reused.
	spare []byte
	// writing is set while flush runs. idle is signaled when flush ends.
	writing bool
	idle    *sync.Cond
	dropped atomic.Int64
}

// New returns a Writer that writes to dst.
func New(dst io.Writer) *Writer {
	w := &Writer{dst: dst}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write queues a line, or drops it if too many are waiting. It never returns an
// error and never waits for the underlying writer.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > maxWaitingBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	if !w.writing {
		w.writing = true
		go w.flush()
	}
	return len(line), nil
}

// flush writes the queued lines until none are left.
func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) > 0 {
		batch := w.waiting
		w.waiting = w.spare[:0]
		w.mu.Unlock()
		// A failure to write the log can't be logged.
		_, _ = w.dst.Write(batch)
		w.mu.Lock()
		w.spare = batch
	}
	w.writing = false
	w.idle.Broadcast()
}

// Sync waits until no lines are queued or being written.
func (w *Writer) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.writing {
		w.idle.Wait()
	}
	return nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}
