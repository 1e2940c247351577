// Package target defines the registration of a target.
package target

import "github.com/pistachiotray/pistachiotray/process/stamp"

// Target is the registration of one member of a database group. A Target is
// immutable.
type Target struct {
	// ID identifies the target and is never reused.
	ID string
	// Group is the name of the database group.
	Group string
	// Address is the target's IP address and port.
	Address string
	// Zone is the target's availability zone.
	Zone string
	// Slots is how many statements the target can run at the same time.
	Slots int
	// Leaving is set if the target was told to stop.
	Leaving bool
	// Primary is set if the target registered itself as the group's leader.
	Primary bool
	// Started is when the target's process started, in Unix milliseconds. A
	// target that restarted has lost its log.
	Started int64
	// Revision is the position in the history of the store at which the registration
	// was last changed.
	Revision stamp.Stamp
	// LedSince is the position at which the target registered itself as the group's
	// leader, zero while it is not registered as leader.
	LedSince stamp.Stamp
}

// New returns the registration of a target.
func New(id, group, address, zone string) Target {
	return Target{ID: id, Group: group, Address: address, Zone: zone}
}

// WithRole returns the target with another Primary flag.
func (t Target) WithRole(primary bool) Target {
	t.Primary = primary
	return t
}

// WithLeaving returns the target with another Leaving flag.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// WithSlots returns the target with another number of slots.
func (t Target) WithSlots(slots int) Target {
	t.Slots = slots
	return t
}

// WithRevision returns the target as registered at a revision. The parameter
// before is the target's previous registration, or the zero Target. If the
// target was registered as leader before and has not restarted, LedSince is
// kept.
func (t Target) WithRevision(revision stamp.Stamp, before Target) Target {
	t.Revision = revision
	t.LedSince = stamp.Stamp{}
	if t.Primary {
		t.LedSince = revision
		if before.Primary && before.Started == t.Started {
			t.LedSince = before.LedSince
		}
	}
	return t
}

// WithStarted returns the target with another start time of its process, in
// Unix milliseconds.
func (t Target) WithStarted(ms int64) Target {
	t.Started = ms
	return t
}

// Same reports whether t and o are equal apart from their revisions and
// LedSince.
func (t Target) Same(o Target) bool {
	t.Revision = o.Revision
	t.LedSince = o.LedSince
	return t == o
}
