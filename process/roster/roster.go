// Package roster holds the targets that are registered.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pistachiotray/pistachiotray/process/target"
)

// Roster is the set of registered targets at one revision of the directory. A
// Roster is immutable.
type Roster struct {
	// Revision is that of the newest change in it.
	Revision uint64
	targets  map[string]target.Target
}

// New returns an empty roster.
func New() Roster {
	return Roster{}
}

// WithTarget returns the roster with a registration in it.
func (r Roster) WithTarget(t target.Target) Roster {
	targets := maps.Clone(r.targets)
	if targets == nil {
		targets = map[string]target.Target{}
	}
	targets[t.ID] = t.WithRevision(t.Revision, targets[t.ID])
	return Roster{Revision: max(r.Revision, t.Revision), targets: targets}
}

// Without returns the roster without a target, as of a revision.
func (r Roster) Without(id string, revision uint64) Roster {
	targets := maps.Clone(r.targets)
	delete(targets, id)
	return Roster{Revision: max(r.Revision, revision), targets: targets}
}

// WithRevision returns the roster as of a later revision.
func (r Roster) WithRevision(revision uint64) Roster {
	r.Revision = max(r.Revision, revision)
	return r
}

// Target returns one registration.
func (r Roster) Target(id string) (target.Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// IDs returns the ids of all targets in order.
func (r Roster) IDs() []string {
	return slices.Sorted(maps.Keys(r.targets))
}

// Group returns the targets of a group in order of their ids.
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

// Leader returns the target of a group that reports to lead it. Where two do,
// the one that began to lead later is returned.
func (r Roster) Leader(group string) (target.Target, bool) {
	var leader target.Target
	for _, t := range r.targets {
		if t.Group != group || !t.Primary {
			continue
		}
		if leader.ID == "" || t.LedSince > leader.LedSince {
			leader = t
		}
	}
	return leader, leader.ID != ""
}
