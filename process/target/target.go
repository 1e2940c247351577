// Package target defines the registration of a target.
package target

// Target is one member of a database group. A Target is immutable.
type Target struct {
	// ID identifies the target and is never reused.
	ID string
	// Group is the database group.
	Group string
	// Address is its IP address and port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Slots is how many statements it can run at the same time.
	Slots int
	// Leaving is set if it was told to stop.
	Leaving bool
	// Primary is set if it reports to lead the group.
	Primary bool
	// Started is when its process started, in Unix milliseconds. A target that
	// restarted has lost its log.
	Started int64
	// Revision is the store's version of the registration.
	Revision uint64
	// LedSince is the revision at which it first reported to lead the group, 0
	// if it does not.
	LedSince uint64
}

// New returns the registration of a target.
func New(id, group, address, zone string) Target {
	return Target{ID: id, Group: group, Address: address, Zone: zone}
}

// WithRole returns the target as leader of its group or not.
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

// WithRevision returns the target as registered at a revision. Before is its
// previous registration, the zero Target if there was none.
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

// WithStarted returns the target with another start time of its process, in
// Unix milliseconds.
func (t Target) WithStarted(ms int64) Target {
	t.Started = ms
	return t
}

// Same reports whether nothing that matters to callers changed since o: all but
// the revisions is equal.
func (t Target) Same(o Target) bool {
	t.Revision = o.Revision
	t.LedSince = o.LedSince
	return t == o
}
