// Package report holds what a member of a database group says of itself.
package report

import "github.com/pistachiotray/pistachiotray/request/mark"

// Report is one answer of a member. A Report is immutable.
type Report struct {
	// Member names the member in its group.
	Member string
	// Term is the highest term that the member has promised to follow.
	Term uint64
	// Primary tells that the member was promoted in Term.
	Primary bool
	// Received is the mark of the last entry that the member holds.
	Received mark.Mark
	// Applied is the mark of the last entry that its reads can see.
	Applied mark.Mark
	// Base is the last entry before the one that began Term, on a primary.
	Base mark.Mark
	// Held is the term for which the member stopped receiving, 0 for none.
	Held uint64
	// Leaving tells that the member wants no new work.
	Leaving bool
	// Slots is how many slots the member grants, 0 where it does not say.
	Slots int
}

// WithMember returns the report under another member's name.
func (r Report) WithMember(member string) Report {
	r.Member = member
	return r
}

// WithLeaving returns the report with another wish to leave.
func (r Report) WithLeaving(leaving bool) Report {
	r.Leaving = leaving
	return r
}
