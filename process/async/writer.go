// Package async writes log lines without ever blocking.
package async

import (
	"io"
	"sync"
	"sync/atomic"
)

// waitingLimit bounds the bytes of lines that wait to be written.
const waitingLimit = 1 << 20

// Writer passes lines on to a writer from its own goroutine. Lines that come
// while too many wait are dropped and counted.
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
	d := &Writer{out: out}
	d.idle = sync.NewCond(&d.mu)
	return d
}

// Write takes a line. It never fails and never waits for the writer.
func (d *Writer) Write(line []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting)+len(line) > waitingLimit {
		d.dropped.Add(1)
		return len(line), nil
	}
	d.waiting = append(d.waiting, line...)
	if !d.writing {
		d.writing = true
		go d.flush()
	}
	return len(line), nil
}

func (d *Writer) flush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.waiting) > 0 {
		batch := d.waiting
		d.waiting = d.spare[:0]
		d.mu.Unlock()
		// A failure to write a log has nowhere to be logged.
		_, _ = d.out.Write(batch)
		d.mu.Lock()
		d.spare = batch
	}
	d.writing = false
	d.idle.Broadcast()
}

// Sync waits until all lines are written.
func (d *Writer) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.writing {
		d.idle.Wait()
	}
	return nil
}

// Dropped returns how many lines were dropped.
func (d *Writer) Dropped() int64 {
	return d.dropped.Load()
}
