// Package mark holds the order of changes in a database group.
package mark

import (
	"cmp"
	"fmt"
)

// Mark names one entry in the log of a database group: the term in which the
// entry was written and its position. Marks are ordered by term, then by
// position, as in Raft's check for the more up-to-date log. The zero Mark is
// before every entry.
type Mark struct {
	// Term counts the primaries of the group, from 1.
	Term uint64
	// Position counts the entries of the log, from 1.
	Position uint64
}

// New returns the Mark of the entry at position in term.
func New(term, position uint64) Mark {
	return Mark{Term: term, Position: position}
}

// Compare returns -1, 0 or 1 where m is before, equal to or after o.
func (m Mark) Compare(o Mark) int {
	if c := cmp.Compare(m.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(m.Position, o.Position)
}

// AtLeast tells whether a member whose log ends at m holds the entry at o,
// provided that the entry at o was confirmed by a majority.
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

// IsZero tells whether m is before every entry.
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

// String returns the form term/position, in decimal.
func (m Mark) String() string {
	return fmt.Sprintf("%d/%d", m.Term, m.Position)
}
