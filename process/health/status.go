// Package health holds the status of a database group's member for operators.
package health

import "time"

// Status is the status of one member as the group's owner sees it. A Status is
// immutable.
type Status struct {
	// Member is the member's name.
	Member string
	// Primary is set if the member is the primary.
	Primary bool
	// Usable is set if the member gets new work.
	Usable bool
	// Leaving is set if the member wants no new work.
	Leaving bool
	// Term is the term that the member follows.
	Term uint64
	// Received and Applied are the positions of the last log entry that the member
	// has stored and of the last one that its reads can see.
	Received string
	Applied  string
	// LagEntries is the number of confirmed entries that the member has not applied.
	LagEntries uint64
	// SlotsOpen and SlotsFree are the numbers of open and of free slots.
	SlotsOpen int
	SlotsFree int
	// HeardAgo is the time since the member's newest report was requested.
	HeardAgo time.Duration
}

// New returns an otherwise empty status of the named member.
func New(member string) Status {
	return Status{Member: member}
}
