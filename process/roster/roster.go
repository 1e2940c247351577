// Package roster defines the set of registered targets.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// Roster is the set of registered targets at one revision of the store. A
// Roster is immutable.
type Roster struct {
	// Revision is the position of the newest change that the roster includes.
	Revision stamp.Stamp
	targets  map[string]target.Target
}

// New returns an empty roster.
func New() Roster {
	return Roster{}
}

// WithTarget returns the roster with a target added or replaced. The roster's
// Revision becomes t.Revision if that is higher.
func (r Roster) WithTarget(t target.Target) Roster {
	targets := maps.Clone(r.targets)
	if targets == nil {
		targets = map[string]target.Target{}
	}
	targets[t.ID] = t.WithRevision(t.Revision, targets[t.ID])
	return Roster{Revision: later(r.Revision, t.Revision), targets: targets}
}

// WithoutTarget returns the roster without a target, which was removed from the
// store at the given revision.
func (r Roster) WithoutTarget(id string, revision stamp.Stamp) Roster {
	targets := maps.Clone(r.targets)
	delete(targets, id)
	return Roster{Revision: later(r.Revision, revision), targets: targets}
}

// WithRevision returns the roster with the given revision, or unchanged if its
// own revision is newer.
func (r Roster) WithRevision(revision stamp.Stamp) Roster {
	r.Revision = later(r.Revision, revision)
	return r
}

// later returns the later one of two positions.
func later(a, b stamp.Stamp) stamp.Stamp {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// Target returns the registration of a target, and false if the target is not
// registered.
func (r Roster) Target(id string) (target.Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// IDs returns the IDs of all targets in ascending order.
func (r Roster) IDs() []string {
	return slices.Sorted(maps.Keys(r.targets))
}

// Group returns the targets of a group, ordered by ID.
func (r Roster) Group(group string) []target.Target {
	var found []target.Target
	for _, t := range r.targets {
		if t.Group == group {
			found = append(found, t)
		}
	}
	slices.SortFunc(found, func(a, b target.Target) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Leader returns the target that is registered as a group's leader. If there
// are several, it returns the one that became leader most recently. It returns
// false if there is none.
func (r Roster) Leader(group string) (target.Target, bool) {
	var leader target.Target
	for _, t := range r.targets {
		if t.Group != group || !t.Primary {
			continue
		}
		if leader.ID == "" || t.LedSince.Compare(leader.LedSince) > 0 {
			leader = t
		}
	}
	return leader, leader.ID != ""
}
