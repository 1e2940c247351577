// Package audit writes an audit trail of changes to the object store.
package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/sleep"
)

const (
	// objectPrefix is the prefix of the name of each object of the trail.
	objectPrefix = "audit/"
	// maxWaiting is the maximum number of waiting records, besides those of the
	// batch that is being written.
	maxWaiting = 10_000
	// flushInterval is the time between two periodic writes to the store.
	flushInterval = time.Second
	// maxBatch is the maximum number of records in one object.
	maxBatch = 1000
)

// record is one change, written as a line of JSON. Number numbers the records
// of one trail consecutively, including dropped ones. Missing is the number of
// records that were dropped directly before this one.
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

// Trail buffers records and writes each of them once, in objects with unique
// names. While the buffer is full, as in an outage of the store, it drops new
// records and counts them. The next accepted record contains the count.
type Trail struct {
	host string
	// start is when the trail was created, in milliseconds since 1970. It keeps
	// object names unique across restarts of the host.
	start int64
	log   *zap.Logger
	store store

	// mu protects the fields up to stop.
	mu      sync.Mutex
	waiting []record
	// lastNumber is the number of the last record, including dropped ones.
	lastNumber uint64
	// missing counts the records dropped since the last accepted one. dropped
	// counts all dropped records. written counts all written records.
	missing uint64
	dropped uint64
	written uint64
	// objectCount counts the objects of this trail, to make their names unique.
	objectCount uint64
	// batchName is the name of the object being written. batch holds its
	// records until the write succeeds.
	batchName string
	batch     []record

	stop    chan struct{}
	running sync.WaitGroup
}

// New returns the trail of a host. Start starts the periodic writes.
func New(host string, log *zap.Logger, s store) *Trail {
	return &Trail{host: host, start: time.Now().UnixMilli(), log: log, store: s, stop: make(chan struct{})}
}

// Prefix returns the prefix of the name of each object of the trail. After the
// prefix, the name contains the time of the first record, as 13 digits of
// milliseconds since 1970.
func Prefix() string {
	return objectPrefix
}

// Start starts the periodic writes.
func (t *Trail) Start() {
	t.running.Go(t.flushLoop)
}

// Record logs a change and adds it to the buffer. It never waits for the store:
// while the buffer is full, it drops the record.
func (t *Trail) Record(kind, group, detail string) {
	t.log.Info("audit", zap.String("Kind", kind), zap.String("Group", group), zap.String("Detail", detail))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	if len(t.waiting) >= maxWaiting {
		t.missing++
		t.dropped++
		return
	}
	t.waiting = append(t.waiting, record{
		At: time.Now().UTC(), Host: t.host, Number: t.lastNumber, Kind: kind, Group: group, Detail: detail, Missing: t.missing,
	})
	t.missing = 0
}

// Counts returns the number of records not yet written, written and dropped.
func (t *Trail) Counts() (waiting int, written, dropped uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) + len(t.batch), t.written, t.dropped
}

func (t *Trail) flushLoop() {
	sleep.Every(t.stop, flushInterval, func() { t.Flush(context.Background()) })
}

// Flush writes the next batch of waiting records. If the write fails or its
// answer is lost, the next call repeats it with the same object name, so that
// each record is in the trail only once. Calls of Flush must not overlap.
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

// nextBatch returns the object name and the content of the batch to write: the
// previous batch if its write has not succeeded, or else a new one. The content
// is nil if there is nothing to write.
func (t *Trail) nextBatch() (string, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batch == nil {
		count := min(len(t.waiting), maxBatch)
		if count == 0 {
			return "", nil
		}
		t.batch = t.waiting[:count:count]
		t.waiting = t.waiting[count:]
		t.objectCount++
		t.batchName = fmt.Sprintf("%s%013d-%s-%d-%d", objectPrefix, t.batch[0].At.UnixMilli(), t.host, t.start, t.objectCount)
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

// Close stops the periodic writes and tries once to write a last batch, until
// the context ends. It must be called only once. Records that are still not
// written are lost.
func (t *Trail) Close(ctx context.Context) {
	close(t.stop)
	t.running.Wait()
	t.Flush(ctx)
}
