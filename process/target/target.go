// Package target holds what a target registered of itself.
package target

// Target is one member of a database group. A Target is immutable.
type Target struct {
	// ID names the target; no other ever has it.
	ID string
	// Group is the database group.
	Group string
	// Address is its IP number and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Slots is how many statements it runs at once.
	Slots int
	// Leaving tells that it was told to stop.
	Leaving bool
	// Primary tells that it believes to lead the group.
	Primary bool
	// Started is when its process began, in Unix milliseconds. One that
	// started again lost its log.
	Started int64
	// Revision is the store's version of the registration.
	Revision uint64
	// LedSince is the revision at which it first reported to lead.
	LedSince uint64
}

// New returns the registration of a target.
func New(id, group, address, zone string) Target {
	return Target{ID: id, Group: group, Address: address, Zone: zone}
}

// WithRole returns the target leading its group or not.
func (t Target) WithRole(primary bool) Target {
	t.Primary = primary
	return t
}

// WithLeaving returns the target leaving or not.
func (t Target) WithLeaving(leaving bool) Target {
	t.Leaving = leaving
	return t
}

// WithSlots returns the target with a number of slots.
func (t Target) WithSlots(slots int) Target {
	t.Slots = slots
	return t
}

// WithRevision returns the target as registered at a revision, after what was
// known of it before: the zero Target where nothing was.
func (t Target) WithRevision(revision uint64, before Target) Target {
	t.Revision = revision
	t.LedSince = 0
	if t.Primary {
		t.LedSince = revision
		if before.Primary && before.Started == t.Started {
			t.LedSince = before.LedSince
		}
	}
	return t
}

// WithStarted returns the target with the start of its process.
func (t Target) WithStarted(ms int64) Target {
	t.Started = ms
	return t
}

// Same tells whether nothing that matters to a caller changed since o.
func (t Target) Same(o Target) bool {
	t.Revision = o.Revision
	t.LedSince = o.LedSince
	return t == o
}
