// Package health holds how one member of a database group stands, for operators.
package health

import "time"

// Status is one member as its group's owner sees it. It is immutable.
type Status struct {
	// Member names the member.
	Member string
	// Primary tells that it leads its group.
	Primary bool
	// Usable tells that it gets new work.
	Usable bool
	// Leaving tells that it wants none.
	Leaving bool
	// Term is the term that it follows.
	Term uint64
	// Received and Applied are the ends of its log and of what reads see.
	Received string
	Applied  string
	// LagEntries is how many confirmed entries its reads do not see.
	LagEntries uint64
	// SlotsOpen and SlotsFree count its slots.
	SlotsOpen int
	SlotsFree int
	// HeardAgo is the time since its last sign of life.
	HeardAgo time.Duration
}

// New returns the status of a member.
func New(member string) Status {
	return Status{Member: member}
}
