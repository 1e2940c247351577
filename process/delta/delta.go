// Package delta defines the changes of a table in the platform's store.
package delta

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/record"
)

// Delta holds the rows of a table that changed after a version, or all rows of the
// table. It is immutable. Hosts send it to each other encoded by encoding/gob, which
// writes the names of the type and of its fields, so that these names can't change.
type Delta struct {
	Table string
	// Rows are the changed rows, deleted ones included.
	Rows []record.Row
	// Version is the version of the store up to which Rows is complete. 0 means that
	// nothing is known about the table.
	Version uint64
	// Whole means that Rows holds all rows of the table.
	Whole bool
	// Age is the time for which the store may have had newer changes.
	Age time.Duration
}

// New returns the changes of a table up to a version.
func New(table string, rows []record.Row, version uint64) Delta {
	return Delta{Table: table, Rows: rows, Version: version}
}

// WithWhole returns a copy that holds all rows of the table.
func (d Delta) WithWhole(whole bool) Delta {
	d.Whole = whole
	return d
}

// WithAge returns a copy with another age.
func (d Delta) WithAge(age time.Duration) Delta {
	d.Age = age
	return d
}
