package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// muted is set while nothing is added.
	muted bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// add adds a line with the time since the case began.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.muted {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// mute sets whether the record leaves out what follows.
func (r *record) mute(muted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted = muted
}

func (r *record) close() {
	_ = r.file.Close()
}

// short returns the start of a text, for the record.
func short(text string) string {
	const limit = 160
	if len(text) <= limit {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:limit], len(text))
}
