// Package gview defines what a request would find at a group of targets.
package gview

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/choice"
	"github.com/pistachiotray/pistachiotray/request/mark"
)

// View is what one host knows of a group that matters for a request now. A View is immutable.
type View struct {
	// Group is the name of the group.
	Group string
	// Leader is the ID of the leader, empty if none is known. Usable means that it gets new
	// work. Overdue means that it is pointless to wait for a leader.
	Leader  string
	Usable  bool
	Overdue bool
	// Doubted means that the leader may be being replaced, so that commits wait.
	Doubted bool
	// AtLeader means that the request runs at the leader only, and Shared that hosts share
	// the connections to the targets. MaxWait is how long the request may wait for a
	// connection.
	AtLeader bool
	Shared   bool
	MaxWait  time.Duration
	// PositionKnown means that this host knows a log position that proves a read to be fresh
	// enough, which is Position. ProofAge is the age of the newest such proof, -1 if there
	// is none.
	PositionKnown bool
	Position      mark.Mark
	ProofAge      time.Duration
	// Members are the targets, ordered by their IDs.
	Members []choice.Choice
}

// New returns the view of a group without targets.
func New(group string) View {
	return View{Group: group, ProofAge: -1}
}

// WithLeader returns the view with the leader and what is known of it.
func (v View) WithLeader(id string, usable, overdue, doubted bool) View {
	v.Leader, v.Usable, v.Overdue, v.Doubted = id, usable, overdue, doubted
	return v
}

// WithAccess returns the view with how the request gets to the targets.
func (v View) WithAccess(atLeader, shared bool, maxWait time.Duration) View {
	v.AtLeader, v.Shared, v.MaxWait = atLeader, shared, maxWait
	return v
}

// WithPosition returns the view with the log position that a read requires.
func (v View) WithPosition(m mark.Mark, known bool, age time.Duration) View {
	v.Position, v.PositionKnown, v.ProofAge = m, known, age
	return v
}

// WithMembers returns the view with the targets. The list must not be changed afterwards.
func (v View) WithMembers(members []choice.Choice) View {
	v.Members = members
	return v
}
