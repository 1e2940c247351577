// Package async writes log lines without blocking the caller.
package async

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxWaitingBytes bounds the lines that wait to be written.
const maxWaitingBytes = 1 << 20

// Writer passes lines to another writer from its own goroutine. Lines that
// arrive while too many are waiting are dropped and counted.
type Writer struct {
	mu      sync.Mutex
	out     io.Writer
	waiting []byte
	spare   []byte
	writing bool
	idle    *sync.Cond
	dropped atomic.Int64
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// Write queues a line. It never fails and never waits for the underlying
// writer.
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

// flush writes the queued lines until there are none left.
func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) > 0 {
		batch := w.waiting
		w.waiting = w.spare[:0]
		w.mu.Unlock()
		// A failure to write the log can't be logged.
		_, _ = w.out.Write(batch)
		w.mu.Lock()
		w.spare = batch
	}
	w.writing = false
	w.idle.Broadcast()
}

// Sync waits until all queued lines are written.
func (w *Writer) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.writing {
		w.idle.Wait()
	}
	return nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}
