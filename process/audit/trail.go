// Package audit writes the audit trail of changes to the object store.
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
	// objectPrefix is the prefix of the name of each object of the trail.
	objectPrefix = "audit/"
	// maxWaiting is the most records that wait while the store is down.
	maxWaiting = 10_000
	// flushInterval is the time between two writes to the store.
	flushInterval = time.Second
	// maxBatch is the most records in one object.
	maxBatch = 1000
)

// record is one change: a line of JSON in the trail. Missing is the number of
// records that were dropped before it.
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
	// PutObject writes an object unless one of that name exists.
	PutObject(ctx context.Context, name string, body []byte) error
}

// Trail buffers records and writes each of them once, in objects with
// unique names. Records that do not fit the buffer during an outage are dropped
// and counted, and the next record contains the count.
type Trail struct {
	host  string
	start int64
	log   *zap.Logger
	store store

	// mu protects the fields up to stop.
	mu      sync.Mutex
	waiting []record
	// number is the number of the last record, dropped ones included.
	number uint64
	// missing is the number of records dropped since the last one that was
	// accepted; dropped is the number of all dropped ones.
	missing uint64
	dropped uint64
	written uint64
	// objects counts the objects, to make their names unique.
	objects uint64
	// batch holds the records of the object batchName until its write succeeds.
	batchName string
	batch     []record

	stop    chan struct{}
	running sync.WaitGroup
}

// New returns the trail of the host. Start starts to write it.
func New(host string, log *zap.Logger, s store) *Trail {
	return &Trail{host: host, start: time.Now().UnixMilli(), log: log, store: s, stop: make(chan struct{})}
}

// Prefix returns the prefix of the name of each object of the trail. In the name
// it is followed by the time of the first record, in milliseconds since 1970, in
// 13 digits.
func Prefix() string {
	return objectPrefix
}

// Start starts to write the trail periodically.
func (t *Trail) Start() {
	t.running.Go(t.flushLoop)
}

// Record adds a change. It never blocks: while the buffer is full it drops the
// record.
func (t *Trail) Record(kind, group, detail string) {
	t.log.Info("audit", zap.String("Kind", kind), zap.String("Group", group), zap.String("Detail", detail))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	if len(t.waiting) >= maxWaiting {
		t.missing++
		t.dropped++
		return
	}
	t.waiting = append(t.waiting, record{
		At: time.Now().UTC(), Host: t.host, Number: t.number, Kind: kind, Group: group, Detail: detail, Missing: t.missing,
	})
	t.missing = 0
}

// Counts returns the number of records that wait, that were written and that were
// dropped.
func (t *Trail) Counts() (waiting int, written, dropped uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) + len(t.batch), t.written, t.dropped
}

func (t *Trail) flushLoop() {
	tick := time.NewTicker(flushInterval)
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

// Flush writes the next batch of waiting records. A write that failed, or whose
// answer was lost, is retried with the same object name, so that its records are
// in the trail once.
func (t *Trail) Flush(ctx context.Context) {
	name, body := t.nextBatch()
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

// nextBatch returns the object name and the content of the batch to write, which
// is the last one if its write has not succeeded. The content is nil if nothing
// waits.
func (t *Trail) nextBatch() (string, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batch == nil {
		n := min(len(t.waiting), maxBatch)
		if n == 0 {
			return "", nil
		}
		t.batch = t.waiting[:n:n]
		t.waiting = t.waiting[n:]
		t.objects++
		t.batchName = fmt.Sprintf("%s%013d-%s-%d-%d", objectPrefix, t.batch[0].At.UnixMilli(), t.host, t.start, t.objects)
	}
	var body bytes.Buffer
	for _, r := range t.batch {
		line, err := json.Marshal(r)
		if err == nil {
			body.Write(append(line, '\n'))
		}
	}
	return t.batchName, body.Bytes()
}

// Close stops the periodic writes and writes one last batch, within the context.
func (t *Trail) Close(ctx context.Context) {
	close(t.stop)
	t.running.Wait()
	t.Flush(ctx)
}
