// Package mirror keeps a copy of the platform's tables that a host follows.
package mirror

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

// maxDeletions is the number of deleted rows of a table that are remembered. A
// follower that knows the table from before the forgotten ones gets the whole table.
const maxDeletions = 1000

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
}

// table is the copy of one table.
type table struct {
	handle func(rows []record.Row, version uint64, whole bool)
	// rows holds the rows by key, including those that were deleted.
	rows map[string]record.Row
	// deleted is the number of deleted rows in rows.
	deleted int
	// version is the version of the store up to which rows is complete, 0 if the
	// table was never read.
	version uint64
	// newest is the version of the newest change in rows.
	newest uint64
	// forgotten is the version up to which rows may lack deletions.
	forgotten uint64
	// freshAt is the latest time at which the store is known to have had no newer
	// changes. It is 0 if the table was never read.
	freshAt time.Duration
}

// New returns a Mirror without tables. The clock now must never return 0.
func New(now func() time.Duration) *Mirror {
	return &Mirror{now: now, tables: map[string]*table{}, changed: make(chan struct{})}
}

// Handle adds a table. The function handle is called with the rows that changed and
// the version of the table, or with all rows if whole is true. It is called for each
// listing of the whole table, and otherwise only if rows changed.
func (m *Mirror) Handle(name string, handle func(rows []record.Row, version uint64, whole bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tables[name] = &table{handle: handle, rows: map[string]record.Row{}}
}

// Apply updates a table. It ignores tables without a handler, rows that are not newer
// than the copy, and a listing that is older than the copy.
func (m *Mirror) Apply(d delta.Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.tables[d.Table]
	if !ok || d.Version == 0 && !d.Whole || d.Whole && d.Version < t.version {
		return
	}
	changes := d.Rows
	if d.Whole {
		changes = append(slices.Clone(d.Rows), t.missing(d)...)
	}
	changed := t.merge(changes)
	t.version = max(t.version, d.Version)
	t.freshAt = max(t.freshAt, m.now()-d.Age)
	switch {
	case d.Whole:
		t.handle(t.live(), t.version, true)
	case len(changed) > 0:
		t.handle(changed, t.version, false)
	}
	if len(changed) > 0 || d.Whole {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// missing returns deletions of the rows that a listing of the whole table no longer
// has. Rows that are newer than the listing are not missing.
func (t *table) missing(d delta.Delta) []record.Row {
	listed := map[string]bool{}
	for _, r := range d.Rows {
		listed[r.Key] = true
	}
	var gone []record.Row
	for key, r := range t.rows {
		if !listed[key] && !r.Gone && r.Version <= d.Version {
			gone = append(gone, record.Row{Key: key, Version: d.Version, Gone: true})
		}
	}
	return gone
}

// merge stores the rows that are newer than the copy and returns them.
func (t *table) merge(rows []record.Row) []record.Row {
	var changed []record.Row
	for _, r := range rows {
		previous, known := t.rows[r.Key]
		if known && r.Version <= previous.Version {
			continue
		}
		changed = append(changed, r)
		t.rows[r.Key] = r
		t.newest = max(t.newest, r.Version)
		if r.Gone {
			t.deleted++
		}
		if previous.Gone {
			t.deleted--
		}
	}
	if t.deleted > maxDeletions {
		maps.DeleteFunc(t.rows, func(_ string, r record.Row) bool { return r.Gone })
		t.deleted, t.forgotten = 0, t.newest
	}
	return changed
}

// live returns the rows that are not deleted, ordered by key.
func (t *table) live() []record.Row {
	var rows []record.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if !t.rows[key].Gone {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// Version returns the version of the store up to which a table is known, or 0.
func (m *Mirror) Version(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.tables[name]; ok {
		return t.version
	}
	return 0
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

// Versions returns the version of each table, 0 for one that was never read.
func (m *Mirror) Versions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	versions := map[string]uint64{}
	for name, t := range m.tables {
		versions[name] = t.version
	}
	return versions
}

// Next waits until a table has changes after the known version, or until the context
// ends. It returns the changes of every table, without rows for those that have none.
func (m *Mirror) Next(ctx context.Context, known map[string]uint64) []delta.Delta {
	for {
		m.mu.Lock()
		ready := false
		for name, t := range m.tables {
			ready = ready || t.newest > known[name] || known[name] == 0 && t.version > 0
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

// since returns the changes of every table after the known version; the caller holds
// the lock.
func (m *Mirror) since(known map[string]uint64) []delta.Delta {
	var news []delta.Delta
	for _, name := range slices.Sorted(maps.Keys(m.tables)) {
		t := m.tables[name]
		if t.version == 0 {
			continue
		}
		news = append(news, t.since(name, known[name]).WithAge(m.now()-t.freshAt))
	}
	return news
}

// since returns the changes after the known version, or the whole table if not all of
// them are known.
func (t *table) since(name string, known uint64) delta.Delta {
	if known == 0 || known < t.forgotten {
		return delta.New(name, t.live(), stamp.New(0, t.version)).WithWhole(true)
	}
	var rows []record.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[key]; r.Version > known {
			rows = append(rows, r)
		}
	}
	return delta.New(name, rows, stamp.New(0, t.version))
}
