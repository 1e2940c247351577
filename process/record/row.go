// Package record holds one row of the platform's table service.
package record

// Row is one row. A Row is immutable; Value must not be written to.
type Row struct {
	// Key names the row.
	Key string
	// Value is its content.
	Value []byte
	// Version counts its changes; 0 stands for a row that does not exist.
	Version uint64
	// Gone tells that the row was deleted at that version.
	Gone bool
}

// New returns a row that does not exist yet.
func New(key string, value []byte) Row {
	return Row{Key: key, Value: value}
}

// WithVersion returns the row at another version.
func (r Row) WithVersion(version uint64) Row {
	r.Version = version
	return r
}
