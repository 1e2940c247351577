// Package record defines the rows of the platform's table service.
package record

import "github.com/pistachiotray/pistachiotray/process/stamp"

// Row is one row of a table. It is immutable: the bytes of Value must not be
// modified.
type Row struct {
	// Key is the row's key.
	Key string
	// Value is the row's content.
	Value []byte
	// Version is the number of times that the row was changed. 0 means that the
	// row does not exist.
	Version uint64
	// Era is the era of the store in which the row was read. Versions can be compared
	// only within an era. It is 0 for a store without eras.
	Era uint64
	// Gone is true if this version is the deletion of the row.
	Gone bool
}

// New returns a row of version 0, that is, one that is not stored yet.
func New(key string, value []byte) Row {
	return Row{Key: key, Value: value}
}

// Stamp returns the position of the row's version in the history of the store.
func (r Row) Stamp() stamp.Stamp {
	return stamp.New(r.Era, r.Version)
}

// WithEra returns a copy of the row as read in another era.
func (r Row) WithEra(era uint64) Row {
	r.Era = era
	return r
}

// WithVersion returns a copy of the row with another version.
func (r Row) WithVersion(version uint64) Row {
	r.Version = version
	return r
}
