// Package delta defines the changes of a table in the platform's store.
package delta

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/record"
	"github.com/pistachiotray/pistachiotray/process/stamp"
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
	// Era is the era of the store to which Version and the versions of Rows belong.
	Era uint64
	// Whole means that Rows holds all rows of the table.
	Whole bool
	// Age is the time for which the store may have had newer changes.
	Age time.Duration
	// from and hops are not sent to other hosts: the host that told the changes, empty if
	// the store did, and the number of hosts through which they came.
	from string
	hops int
}

// New returns the changes of a table up to a position in the history of the store.
func New(table string, rows []record.Row, at stamp.Stamp) Delta {
	return Delta{Table: table, Rows: rows, Version: at.Version, Era: at.Era}
}

// Stamp returns the position in the history of the store up to which Rows is complete.
func (d Delta) Stamp() stamp.Stamp {
	return stamp.New(d.Era, d.Version)
}

// WithWhole returns a copy that holds all rows of the table.
func (d Delta) WithWhole(whole bool) Delta {
	d.Whole = whole
	return d
}

// WithRows returns a copy with other rows.
func (d Delta) WithRows(rows []record.Row) Delta {
	d.Rows = rows
	return d
}

// WithFrom returns a copy that says which host told the changes, and through how many hosts
// they came.
func (d Delta) WithFrom(host string, hops int) Delta {
	d.from, d.hops = host, hops
	return d
}

// From returns the host that told the changes, empty if the store did, and through how many
// hosts they came.
func (d Delta) From() (host string, hops int) {
	return d.from, d.hops
}

// WithAge returns a copy with another age.
func (d Delta) WithAge(age time.Duration) Delta {
	d.Age = age
	return d
}
