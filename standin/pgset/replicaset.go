// Package pgset holds the stand-in for one database group of three members.
package pgset

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/target"
)

// size is the number of members of a group.
const size = 3

// ReplicaSet is one group of three members in this process.
type ReplicaSet struct {
	name    string
	members []*target.Target
}

// New starts a group whose members listen on free ports of the address, an IP
// number. The first member is made the primary of term 1.
func New(name, address string, slots int, connectDelay time.Duration) (*ReplicaSet, error) {
	t := &ReplicaSet{name: name}
	for i := range size {
		m, err := target.New(fmt.Sprintf("%s-%d", name, i), address+":0",
			target.WithSlots(slots), target.WithConnectDelay(connectDelay))
		if err != nil {
			t.Close()
			return nil, err
		}
		t.members = append(t.members, m)
	}
	for _, m := range t.members {
		m.Join(t.members)
	}
	t.members[0].Fence(1, "first")
	t.members[0].Promote(1, "first")
	return t, nil
}

// Name returns the group's name.
func (t *ReplicaSet) Name() string {
	return t.name
}

// Members returns the members in order of their names.
func (t *ReplicaSet) Members() []*target.Target {
	return t.members
}

// Primary returns the member that was promoted in the highest term.
func (t *ReplicaSet) Primary() *target.Target {
	var best *target.Target
	var term uint64
	for _, m := range t.members {
		if r := m.Report(); r.Primary && r.Term >= term {
			best, term = m, r.Term
		}
	}
	return best
}

// SetLag sets the lag of all members.
func (t *ReplicaSet) SetLag(ship, apply time.Duration) {
	for _, m := range t.members {
		m.SetLag(ship, apply)
	}
}

// Close stops all members.
func (t *ReplicaSet) Close() {
	for _, m := range t.members {
		m.Kill()
	}
}
