// Package member defines the members of a database group: the targets that may have
// acknowledged a commit of its leader.
package member

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/gone"
	"github.com/pistachiotray/pistachiotray/process/stamp"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// AbsentAfter is how long a target that is no longer registered must be heard before a
// leader is replaced, even if nothing listens at its address: longer than a restart takes. It
// may still come back with commits that nobody else has. A target that was leaving is no
// longer a member then.
const AbsentAfter = 8 * time.Second

// LostAfter is the same for a target whose address is silent, while not all hosts can tell
// which commits were acknowledged to them. It may go on acknowledging commits to those behind
// the same partition, so that this is longer than partitions usually last.
const LostAfter = time.Minute

// forgetAfter is how long an absent target remains a member. It bounds the number of members
// where targets are lost for good and their addresses not used again.
const forgetAfter = 10 * time.Minute

// recordFor is how long a Set records a former member, so that the log of a replacement
// names it.
const recordFor = 5 * time.Minute

// entry is one member. missingSince is when its registration was found missing, by the
// clock of this host, and 0 while it is registered.
type entry struct {
	target       target.Target
	missingSince time.Duration
}

// Set holds the members of one group, whether they are registered at present or not. A
// Set is immutable. The zero Set has no members.
type Set struct {
	// Group is the group's name.
	Group string
	// Stored is the position of the stored row, zero if the Set was never stored.
	Stored stamp.Stamp
	// At is the time of the last WithRegistered, by this host's clock.
	At      time.Duration
	entries map[string]entry
	// gone holds the former members by ID.
	gone map[string]gone.Member
}

// New returns the Set of a group without members.
func New(group string) Set {
	return Set{Group: group}
}

// WithStored returns the Set as stored at a position.
func (s Set) WithStored(at stamp.Stamp) Set {
	s.Stored = at
	return s
}

// WithMember returns the Set with a member added or replaced. missingSince is when its
// registration was found missing, by this host's clock, and 0 if it is registered.
func (s Set) WithMember(t target.Target, missingSince time.Duration) Set {
	s.entries = maps.Clone(s.entries)
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	s.entries[t.ID] = entry{t, missingSince}
	return s
}

// WithGone returns the Set with the former members of another one.
func (s Set) WithGone(o Set) Set {
	s.gone = o.gone
	return s
}

// WithRegistered returns the Set as of a time by this host's clock, at which the given
// targets are registered. Members that are not registered remain for AbsentAfter if they
// were leaving, and otherwise for forgetAfter. A target does not remain if a later one has
// its address, since its process has ended.
func (s Set) WithRegistered(targets []target.Target, now time.Duration) Set {
	entries, former := maps.Clone(s.entries), maps.Clone(s.gone)
	if entries == nil {
		entries = map[string]entry{}
	}
	if former == nil {
		former = map[string]gone.Member{}
	}
	for id, e := range entries {
		if e.missingSince == 0 {
			entries[id] = entry{e.target, max(now, 1)}
		}
	}
	for _, t := range targets {
		if e, ok := entries[t.ID]; ok && e.target.Started != t.Started {
			former[t.ID] = gone.New(e.target, gone.Restarted, s.MissingSince(t.ID), now)
		}
		entries[t.ID] = entry{t, 0}
	}
	latest := map[string]entry{}
	for _, e := range entries {
		if l, ok := latest[e.target.Address]; !ok || e.laterThan(l) {
			latest[e.target.Address] = e
		}
	}
	for id, e := range entries {
		why := e.goneBecause(latest[e.target.Address], now)
		if why == "" {
			if former[id].Target.Started == e.target.Started {
				delete(former, id)
			}
			continue
		}
		delete(entries, id)
		// A target that still has a row is dropped each time.
		if m := former[id]; m.Why != why || m.Target.Started != e.target.Started {
			former[id] = gone.New(e.target, why, e.missingSince, now)
		}
	}
	maps.DeleteFunc(former, func(_ string, m gone.Member) bool { return now-m.At > recordFor })
	s.entries, s.gone, s.At = entries, former, now
	return s
}

// laterThan reports whether the target of e started after that of o at the same address.
// Clocks may go back, so that one that is registered is later than one that is not.
func (e entry) laterThan(o entry) bool {
	if (e.missingSince == 0) != (o.missingSince == 0) {
		return e.missingSince == 0
	}
	return e.target.Started > o.target.Started
}

// goneBecause returns why the target is no longer a member at a time, or "" if it is one.
// latest is the target that started last at its address.
func (e entry) goneBecause(latest entry, now time.Duration) string {
	remains := forgetAfter
	if e.target.Leaving {
		remains = AbsentAfter
	}
	switch {
	case latest.laterThan(e):
		return gone.Replaced
	case e.missingSince != 0 && now-e.missingSince >= remains:
		return gone.Unregistered
	}
	return ""
}

// Members returns all members in the order of their IDs.
func (s Set) Members() []target.Target {
	members := make([]target.Target, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		members = append(members, s.entries[id].target)
	}
	return members
}

// Gone returns the former members in the order of their IDs.
func (s Set) Gone() []gone.Member {
	former := make([]gone.Member, 0, len(s.gone))
	for _, id := range slices.Sorted(maps.Keys(s.gone)) {
		former = append(former, s.gone[id])
	}
	return former
}

// MissingSince returns when a member's registration was found missing, by this host's
// clock. It returns 0 if the member is registered.
func (s Set) MissingSince(id string) time.Duration {
	return s.entries[id].missingSince
}

// Absent reports whether a member has not been registered for AbsentAfter.
func (s Set) Absent(id string) bool {
	since := s.entries[id].missingSince
	return since != 0 && s.At-since >= AbsentAfter
}

// Lost reports whether a member has not been registered for LostAfter.
func (s Set) Lost(id string) bool {
	since := s.entries[id].missingSince
	return since != 0 && s.At-since >= LostAfter
}

// Missing reports whether any member is not registered, and not absent yet.
func (s Set) Missing() bool {
	for id, e := range s.entries {
		if e.missingSince != 0 && !s.Absent(id) {
			return true
		}
	}
	return false
}

// Incomplete reports whether any member is not registered.
func (s Set) Incomplete() bool {
	for _, e := range s.entries {
		if e.missingSince != 0 {
			return true
		}
	}
	return false
}

// Differs reports whether two Sets have other members, or another one of them is
// registered or leaving. It ignores which one leads and since when members are missing.
func (s Set) Differs(o Set) bool {
	return !maps.EqualFunc(s.entries, o.entries, func(a, b entry) bool {
		return a.target.Same(b.target.WithRole(a.target.Primary).WithSlots(a.target.Slots)) && (a.missingSince == 0) == (b.missingSince == 0)
	})
}
