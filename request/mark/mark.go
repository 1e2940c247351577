// Package mark defines positions in the replication log of a database group.
package mark

import (
	"cmp"
	"fmt"
)

// Mark is the position of one entry in the log of a database group: the term
// in which the entry was written and its index in the log. Marks are ordered
// by term, then by position, as in Raft's check for the more up-to-date log.
// The zero Mark is before every entry.
type Mark struct {
	// Term is the number of the group's leadership term, from 1; each new
	// primary starts a new one.
	Term uint64
	// Position is the index of the entry in the log, from 1.
	Position uint64
}

// New returns the Mark of the entry at position in term.
func New(term, position uint64) Mark {
	return Mark{Term: term, Position: position}
}

// Compare returns -1, 0 or 1 if m is before, equal to or after o.
func (m Mark) Compare(o Mark) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// AtLeast reports whether m is equal to or after o. If so, and if a majority
// confirmed the entry at o, a member whose log ends at m has that entry.
func (m Mark) AtLeast(o Mark) bool {
	return m.Compare(o) >= 0
}

// Max returns the later of m and o.
func (m Mark) Max(o Mark) Mark {
	if m.AtLeast(o) {
		return m
	}
	return o
}

// IsZero reports whether m is the zero Mark, which means an empty log or an unknown
// position.
func (m Mark) IsZero() bool {
	return m == Mark{}
}

// WithTerm returns m with another term.
func (m Mark) WithTerm(term uint64) Mark {
	m.Term = term
	return m
}

// WithPosition returns m with another position.
func (m Mark) WithPosition(position uint64) Mark {
	m.Position = position
	return m
}

// String returns the term and the position in decimal, separated by a slash.
func (m Mark) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}
