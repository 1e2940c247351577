// Package record defines the rows of the platform's table service.
package record

// Row is one row of a table. It is immutable; Value must not be modified.
type Row struct {
	// Key is the row's key.
	Key string
	// Value is the row's content.
	Value []byte
	// Version is the number of changes of the row; 0 means that it does not
	// exist.
	Version uint64
	// Gone is true if the row was deleted at that version.
	Gone bool
}

// New returns a row that does not exist yet.
func New(key string, value []byte) Row {
	return Row{Key: key, Value: value}
}

// WithVersion returns the row with the version.
func (r Row) WithVersion(version uint64) Row {
	r.Version = version
	return r
}
