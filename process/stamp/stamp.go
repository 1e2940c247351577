// Package stamp defines positions in the history of the platform's store.
package stamp

import "cmp"

// Stamp is a position in the history of the platform's store. A store that was restored
// from a copy starts a new era, in which it gives out versions of the era before once
// more, so that versions can be compared only within an era. A Stamp is immutable. The
// zero Stamp is before all others.
type Stamp struct {
	// Era is the number of the era, which increases each time the store is restored. It
	// is 0 if the store does not tell.
	Era uint64
	// Version is the store's version, or the version of a row.
	Version uint64
}

// New returns the position of a version in an era.
func New(era, version uint64) Stamp {
	return Stamp{Era: era, Version: version}
}

// Compare returns -1 if s is before o, 0 if both are equal, and 1 if s is after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Era, o.Era), cmp.Compare(s.Version, o.Version))
}
