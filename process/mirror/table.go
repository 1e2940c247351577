package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/delta"
	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
)

const (
	// maxDeletions is the number of deleted rows of a table that are remembered. A
	// follower that knows the table from before the forgotten ones gets the whole table.
	maxDeletions = 1000
	// firstEra is the highest era of a store that was never restored from a copy.
	firstEra = 1
)

// table is the copy of one table.
type table struct {
	handle func(rows []record.Row, at stamp.Stamp, whole bool)
	// outdated reports whether the value that a restored store has of a row is older
	// than the known one.
	outdated func(stored, known []byte) bool
	// grace is how long rows that disappeared while the store was away are held. The
	// store was away if the copy is older than outage.
	grace, outage time.Duration
	// rows holds the rows by key, including those that were deleted.
	rows map[string]record.Row
	// held holds rows that disappeared while the store was away, and that their writers
	// may write again. The handler does not know yet that they are gone.
	held map[string]heldRow
	// deleted is the number of deleted rows in rows.
	deleted int
	// at is the position up to which rows is complete, zero if the table was never
	// read.
	at stamp.Stamp
	// newest is the version of the newest change in rows.
	newest uint64
	// forgotten is the version up to which rows may lack deletions.
	forgotten uint64
	// freshAt is the latest time at which the store is known to have had no newer
	// changes. It is 0 if the table was never read.
	freshAt time.Duration
	// freshFrom is the host from which that is known, empty if from the store, and hops the
	// number of hosts through which it came.
	freshFrom string
	hops      int
	// restoredAt is when the table was first read in the present era, 0 if the store
	// was never restored.
	restoredAt time.Duration
}

// heldRow is a row that is held until a time.
type heldRow struct {
	record.Row
	until time.Duration
}

// accepts reports whether changes can be applied to the copy.
func (t *table) accepts(d delta.Delta) bool {
	switch {
	case d.Era != t.at.Era || t.at.Version == 0:
		return d.Era >= t.at.Era && d.Whole
	case d.Whole:
		return d.Version >= t.at.Version
	}
	return d.Version > 0
}

// apply applies accepted changes and returns the rows that changed for the handler.
func (t *table) apply(d delta.Delta, now time.Duration) []record.Row {
	away := t.freshAt != 0 && now-t.freshAt > t.outage
	var changed []record.Row
	if d.Era > t.at.Era || t.at.Version == 0 {
		t.replace(d, now)
	} else {
		changes := d.Rows
		if d.Whole {
			changes = append(slices.Clone(d.Rows), t.deletions(d)...)
		}
		changed = t.merge(changes, away, now)
		t.at = stamp.New(d.Era, max(t.at.Version, d.Version))
	}
	if now-d.Age > t.freshAt {
		t.freshAt = now - d.Age
		t.freshFrom, t.hops = d.From()
	}
	return append(changed, t.release()...)
}

// replace takes over the first listing, or the first one of a new era. Versions of the
// era before mean nothing in the new one.
func (t *table) replace(d delta.Delta, now time.Duration) {
	rows := make(map[string]record.Row, len(d.Rows))
	for _, r := range d.Rows {
		if known, ok := t.known(r.Key); ok && t.outdated(r.Value, known.Value) {
			r.Value = known.Value
		}
		rows[r.Key] = r
		delete(t.held, r.Key)
	}
	for key, r := range t.rows {
		if _, listed := rows[key]; !listed && !r.Gone {
			t.hold(r, now)
		}
	}
	if d.Era > firstEra {
		t.restoredAt = now
	}
	t.rows, t.at, t.newest, t.forgotten, t.deleted = rows, d.Stamp(), d.Version, d.Version, 0
}

// known returns the row that the handler knows, or false if it knows none.
func (t *table) known(key string) (record.Row, bool) {
	if h, ok := t.held[key]; ok {
		return h.Row, true
	}
	r, ok := t.rows[key]
	return r, ok && !r.Gone
}

// hold keeps a row that disappeared for the handler, if the table has a grace period.
func (t *table) hold(r record.Row, now time.Duration) {
	if t.grace > 0 {
		t.held[r.Key] = heldRow{r, now + t.grace}
	}
}

// release gives up the rows that were not written again in time, and returns their
// deletions.
func (t *table) release() []record.Row {
	var gone []record.Row
	for _, key := range slices.Sorted(maps.Keys(t.held)) {
		if t.freshAt >= t.held[key].until {
			gone = append(gone, record.Row{Key: key, Version: t.at.Version, Era: t.at.Era, Gone: true})
			delete(t.held, key)
		}
	}
	return gone
}

// deletions returns deletions of the rows that a listing of the whole table no longer
// has. Rows that are newer than the listing are not among them.
func (t *table) deletions(d delta.Delta) []record.Row {
	listed := map[string]bool{}
	for _, r := range d.Rows {
		listed[r.Key] = true
	}
	var gone []record.Row
	for key, r := range t.rows {
		if !listed[key] && !r.Gone && r.Version <= d.Version {
			gone = append(gone, record.Row{Key: key, Version: d.Version, Era: d.Era, Gone: true})
		}
	}
	return gone
}

// merge stores the rows that are newer than the copy and returns them. If hold is set,
// those that were deleted are held instead of returned.
func (t *table) merge(rows []record.Row, hold bool, now time.Duration) []record.Row {
	var changed []record.Row
	for _, r := range rows {
		previous, known := t.rows[r.Key]
		if known && r.Version <= previous.Version {
			continue
		}
		t.rows[r.Key] = r
		if !r.Gone {
			delete(t.held, r.Key)
		}
		if hold && t.grace > 0 && r.Gone {
			if known && !previous.Gone {
				t.hold(previous, now)
			}
		} else {
			changed = append(changed, r)
		}
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

// visible returns the rows that the handler knows: those that are not deleted and those
// that are held, ordered by key.
func (t *table) visible() []record.Row {
	rows := t.live()
	for _, h := range t.held {
		rows = append(rows, h.Row)
	}
	slices.SortFunc(rows, func(a, b record.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// newerThan reports whether the copy has changes after a position.
func (t *table) newerThan(known stamp.Stamp) bool {
	if t.at.Era != known.Era || known.Version == 0 {
		return t.at.Version > 0 && t.at.Era >= known.Era
	}
	return t.newest > known.Version
}

// since returns the changes after the known position, or the whole table if not all of
// them are known. Of a table that is known from a later era, it returns no rows.
func (t *table) since(name string, known stamp.Stamp) delta.Delta {
	switch {
	case known.Era > t.at.Era:
		return delta.New(name, nil, t.at)
	case known.Era < t.at.Era || known.Version == 0 || known.Version < t.forgotten:
		return delta.New(name, t.live(), t.at).WithWhole(true)
	}
	var rows []record.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[key]; r.Version > known.Version {
			rows = append(rows, r)
		}
	}
	return delta.New(name, rows, t.at)
}
