package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	text  *bufio.Writer
	began time.Time
}

// newRecord creates the file of a record.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, text: bufio.NewWriter(f), began: time.Now()}, nil
}

// note adds a line with the time since the start.
func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...)
	_ = r.text.Flush()
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.text.Flush()
	_ = r.file.Close()
}
