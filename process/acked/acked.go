// Package acked defines what a host knows of the acknowledged commits of a database group.
package acked

import "github.com/pistachiotray/pistachiotray/request/mark"

// Acked is what a host knows of a group's acknowledged commits. A reply to a commit has the
// position at the end of the leader's log, which may include entries that are not
// acknowledged. Acked therefore tells two positions between which the newest acknowledged
// commit is. An Acked is immutable; the zero Acked knows nothing.
type Acked struct {
	// Newest is the highest log position that any target has reported.
	Newest mark.Mark
	// Floor is a position up to which a log must reach to have all commits that are known to
	// be acknowledged. A log that reaches it may still lack some of them.
	Floor mark.Mark
	// Ceiling is the highest position in replies to acknowledged commits. A log that reaches
	// it has all of them.
	Ceiling mark.Mark
}

// New returns an Acked that knows nothing.
func New() Acked {
	return Acked{}
}

// WithReported returns the Acked after a target reported a log position.
func (a Acked) WithReported(m mark.Mark) Acked {
	a.Newest = a.Newest.Max(m)
	return a
}

// WithCommit returns the Acked after a commit was acknowledged in a reply with the given
// position. before is what was known when the commit was sent: its log entry is later than
// all that were reported then.
func (a Acked) WithCommit(before Acked, position mark.Mark) Acked {
	return a.With(before.Newest.WithPosition(before.Newest.Position+1), position)
}

// With returns the Acked with a Floor and a Ceiling that another host knows.
func (a Acked) With(floor, ceiling mark.Mark) Acked {
	a.Floor, a.Ceiling = a.Floor.Max(floor), a.Ceiling.Max(ceiling)
	return a
}
