// Package mirror keeps a copy of the platform's tables that a host follows.
package mirror

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

// Mirror is the copy of some tables. The copy of a row is never replaced by an older
// version of the row, whatever its source. Lock order: the mutex of the Mirror, then
// those that the handlers of the tables lock.
type Mirror struct {
	now func() time.Duration
	// mu guards tables and changed, and is held while a handler runs.
	mu     sync.Mutex
	tables map[string]*table
	// changed is closed and replaced when a row changes.
	changed chan struct{}
	// freshBefore holds, by name of the table, a time.Duration: what FreshAt returned before
	// the last changes.
	freshBefore sync.Map
}

// New returns a Mirror without tables. The clock now must never return 0.
func New(now func() time.Duration) *Mirror {
	return &Mirror{now: now, tables: map[string]*table{}, changed: make(chan struct{})}
}

// Handle adds a table. The function handle is called with the rows that changed and
// the position of the table, or with all rows if whole is true. It is called for each
// listing of the whole table, and otherwise only if rows changed.
func (m *Mirror) Handle(name string, handle func(rows []record.Row, at stamp.Stamp, whole bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tables[name] = &table{handle: handle, rows: map[string]record.Row{}, held: map[string]heldRow{}, outdated: func(_, _ []byte) bool { return false }}
}

// Keep sets what a table that has a handler keeps while the store is not to be believed.
// Rows that disappeared while the store was away, or that it lacks after it was restored
// from a copy, are kept for the time grace, in which their writers can write them again.
// The store was away if the copy is older than outage. If the store was restored, a row
// is also kept if outdated reports that the value that the store has is older than the
// known one.
func (m *Mirror) Keep(name string, outage, grace time.Duration, outdated func(stored, known []byte) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tables[name]
	t.outage, t.grace, t.outdated = outage, grace, outdated
}

// Apply updates a table. It ignores tables without a handler, rows that are not newer
// than the copy, and whatever is from an earlier era or listed before the copy. Of a
// later era, only a listing of the whole table is applied.
func (m *Mirror) Apply(d delta.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.tables[d.Table]
	if !ok || !t.accepts(d) {
		return
	}
	m.freshBefore.Store(d.Table, t.freshAt)
	changed := t.apply(d, m.now())
	switch {
	case d.Whole:
		t.handle(t.visible(), t.at, true)
	case len(changed) > 0:
		t.handle(changed, t.at, false)
	}
	if len(changed) > 0 || d.Whole {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Stamp returns the position up to which a table is known, or the zero Stamp.
func (m *Mirror) Stamp(name string) stamp.Stamp {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.tables[name]; ok {
		return t.at
	}
	return stamp.Stamp{}
}

// SinceRestore returns the newest era in which any table was read, and how long ago the
// Mirror learned that the store had been restored from a copy: forever if it never did.
func (m *Mirror) SinceRestore() (era uint64, ago time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Duration(0)
	for _, t := range m.tables {
		if t.at.Era > era || t.at.Era == era && t.restoredAt < at {
			era, at = t.at.Era, t.restoredAt
		}
	}
	if at == 0 {
		return era, math.MaxInt64
	}
	return era, m.now() - at
}

// FreshAt returns the latest time at which the store is known to have had no newer
// changes of a table, or 0 if the table was never read.
func (m *Mirror) FreshAt(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.tables[name]; ok {
		return t.freshAt
	}
	return 0
}

// FreshBefore returns what FreshAt returned before the last changes of a table were applied:
// each of them was made later than that. Handlers may call it.
func (m *Mirror) FreshBefore(name string) time.Duration {
	at, _ := m.freshBefore.Load(name)
	before, _ := at.(time.Duration)
	return before
}

// LogFields returns what is known of a table: its position in the history of the store, the
// age of the copy, and from which host, empty for the store, and through how many that was
// heard. The age is -1 if the table was never read.
func (m *Mirror) LogFields(name string) []zap.Field {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.tables[name]
	if !ok || t.freshAt == 0 {
		return []zap.Field{zap.Duration("Age", -1)}
	}
	return []zap.Field{
		zap.Uint64("Era", t.at.Era), zap.Uint64("Position", t.at.Version), zap.Duration("Age", m.now()-t.freshAt),
		zap.String("Heard", t.freshFrom), zap.Int("Hops", t.hops),
	}
}

// Metrics returns, for each table, its position in the history of the store, the age of
// the copy in milliseconds, and the number of rows that are held.
func (m *Mirror) Metrics() any {
	type metrics struct {
		Era, Version uint64
		AgeMs        int64
		Held         int
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	tables := map[string]metrics{}
	for name, t := range m.tables {
		tables[name] = metrics{t.at.Era, t.at.Version, (m.now() - t.freshAt).Milliseconds(), len(t.held)}
	}
	return tables
}

// Stamps returns the position of each table, the zero Stamp for one that was never read.
func (m *Mirror) Stamps() map[string]stamp.Stamp {
	m.mu.Lock()
	defer m.mu.Unlock()
	stamps := map[string]stamp.Stamp{}
	for name, t := range m.tables {
		stamps[name] = t.at
	}
	return stamps
}

// Next waits until a table has changes after the known position, or until the context
// ends. It returns the changes of every table, without rows for those that have none.
func (m *Mirror) Next(ctx context.Context, known map[string]stamp.Stamp) []delta.Delta {
	for {
		m.mu.Lock()
		ready := false
		for name, t := range m.tables {
			ready = ready || t.newerThan(known[name])
		}
		if ready || ctx.Err() != nil {
			defer m.mu.Unlock()
			return m.since(known)
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the changes of every table after the known position; the caller holds
// the lock.
func (m *Mirror) since(known map[string]stamp.Stamp) []delta.Delta {
	var news []delta.Delta
	for _, name := range slices.Sorted(maps.Keys(m.tables)) {
		t := m.tables[name]
		if t.at.Version == 0 {
			continue
		}
		news = append(news, t.since(name, known[name]).WithAge(m.now()-t.freshAt))
	}
	return news
}
