// Package report holds the state that a member of a database group reports.
package report

import "github.com/pistachiotray/pistachiotray/request/mark"

// Report is a member's answer to a poll. A Report is immutable.
type Report struct {
	// Member names the member in its group.
	Member string
	// Term is the highest term that the member has promised to follow.
	Term uint64
	// Primary is set if the member was promoted in Term.
	Primary bool
	// Received is the log position of the last entry that the member has stored.
	Received mark.Mark
	// Applied is the log position of the last entry that its reads can see.
	Applied mark.Mark
	// Base is, on a primary, the position of the last entry before Term began.
	Base mark.Mark
	// Held is the term of the order that paused the member's replication: it receives
	// no entries from primaries of lower terms. 0 means that it is not paused.
	Held uint64
	// Leaving is set if the member asks for no new work.
	Leaving bool
	// Slots is how many slots the member grants, or 0 if not reported.
	Slots int
}

// WithMember returns the report with this member name.
func (r Report) WithMember(member string) Report {
	r.Member = member
	return r
}

// WithLeaving returns the report with this leaving flag.
func (r Report) WithLeaving(leaving bool) Report {
	r.Leaving = leaving
	return r
}
