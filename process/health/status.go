// Package health defines the status of a database group's member that is shown to
// operators.
package health

import "time"

// Status is the status of one member as known to the group's owner. A Status is
// immutable.
type Status struct {
	// Member is the member's name.
	Member string
	// Primary is set if the member is the primary.
	Primary bool
	// Usable is set if the member gets new work.
	Usable bool
	// Leaving is set if the member asks for no new work.
	Leaving bool
	// Term is the highest term that the member has promised to follow.
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
	// HeardAgo is the age of the member's newest report at the group's last tick,
	// counted from the request for the report. It is 0 if there is no report.
	HeardAgo time.Duration
}

// New returns a status in which only the member's name is set.
func New(member string) Status {
	return Status{Member: member}
}
