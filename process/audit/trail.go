// Package audit keeps the trail of changes in the object store.
package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// objectPrefix begins the name of each object of the trail.
	objectPrefix = "audit/"
	// buffered bounds the records that wait while the store is down.
	buffered = 10_000
	// flushEvery is the time between two writes to the store.
	flushEvery = time.Second
	// batchMost bounds the records of one object.
	batchMost = 1000
)

// record is one change, a line of JSON in the trail.
type record struct {
	At      time.Time
	Host    string
	Number  uint64
	Kind    string
	Group   string `json:",omitempty"`
	Detail  string
	Missing uint64 `json:",omitempty"`
}

// store writes objects.
type store interface {
	// PutObject writes an object unless it exists.
	PutObject(ctx context.Context, name string, body []byte) error
}

// Trail buffers records and writes each once, under a name of its own. What
// does not fit the buffer in an outage is counted, and the count stands in the
// next record.
type Trail struct {
	host  string
	start int64
	log   *zap.Logger
	store store

	mu      sync.Mutex
	waiting []record
	number  uint64
	missing uint64
	dropped uint64
	written uint64
	object  uint64
	name    string
	batch   []record

	stop chan struct{}
	done sync.WaitGroup
}

// New returns a trail of the host; Start begins to write it.
func New(host string, log *zap.Logger, s store) *Trail {
	return &Trail{host: host, start: time.Now().UnixMilli(), log: log, store: s, stop: make(chan struct{})}
}

// Prefix returns what the name of each object of the trail begins with; the
// time in milliseconds since 1970 follows, in 13 digits.
func Prefix() string {
	return objectPrefix
}

// Start begins to write the trail.
func (t *Trail) Start() {
	t.done.Go(t.loop)
}

// Record adds a change. It never waits.
func (t *Trail) Record(kind, group, detail string) {
	t.log.Info("audit", zap.String("Kind", kind), zap.String("Group", group), zap.String("Detail", detail))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	if len(t.waiting) >= buffered {
		t.missing++
		t.dropped++
		return
	}
	t.waiting = append(t.waiting, record{
		At: time.Now().UTC(), Host: t.host, Number: t.number, Kind: kind, Group: group, Detail: detail, Missing: t.missing,
	})
	t.missing = 0
}

// Counts returns how many records wait, were written and were dropped.
func (t *Trail) Counts() (waiting int, written, dropped uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) + len(t.batch), t.written, t.dropped
}

func (t *Trail) loop() {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-tick.C:
			t.Flush(context.Background())
		}
	}
}

// Flush writes what waits. A write whose answer was lost is tried again under
// the same name, so that it stands in the trail once.
func (t *Trail) Flush(ctx context.Context) {
	name, body := t.next()
	if body == nil {
		return
	}
	if err := t.store.PutObject(ctx, name, body); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.written += uint64(len(t.batch))
	t.batch = nil
}

func (t *Trail) next() (string, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batch == nil {
		n := min(len(t.waiting), batchMost)
		if n == 0 {
			return "", nil
		}
		t.batch = t.waiting[:n:n]
		t.waiting = t.waiting[n:]
		t.object++
		t.name = fmt.Sprintf("%s%013d-%s-%d-%d", objectPrefix, t.batch[0].At.UnixMilli(), t.host, t.start, t.object)
	}
	var body bytes.Buffer
	for _, r := range t.batch {
		line, err := json.Marshal(r)
		if err == nil {
			body.Write(append(line, '\n'))
		}
	}
	return t.name, body.Bytes()
}

// Close writes what waits, within the context, and ends the trail.
func (t *Trail) Close(ctx context.Context) {
	close(t.stop)
	t.done.Wait()
	t.Flush(ctx)
}
