// Package gone records the former members of a database group.
package gone

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/target"
)

// Reasons why a target is no longer a member.
const (
	// Unregistered means that it was not registered for too long.
	Unregistered = "not registered"
	// Replaced means that a target that started later has its address.
	Replaced = "address taken"
	// Restarted means that it is registered with a later start.
	Restarted = "restarted"
)

// Member is a target that is no longer a member of its group. A Member is immutable.
type Member struct {
	// Target is its last registration.
	Target target.Target
	// Why is the reason, one of those above.
	Why string
	// MissingSince is when its registration was found missing, 0 if it was registered.
	MissingSince time.Duration
	// At is when it was dropped. Both times are by this host's clock.
	At time.Duration
}

// New returns the record of a target that was dropped at a time.
func New(t target.Target, why string, missingSince, at time.Duration) Member {
	return Member{Target: t, Why: why, MissingSince: missingSince, At: at}
}

// MissingFor returns for how long the target was not registered when it was dropped.
func (m Member) MissingFor() time.Duration {
	if m.MissingSince == 0 {
		return 0
	}
	return m.At - m.MissingSince
}
