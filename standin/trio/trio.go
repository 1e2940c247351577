// Package trio holds the stand-in for one database group of three members.
package trio

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/target"
)

// size is the number of members of a group.
const size = 3

// Trio is one group of three members in this process.
type Trio struct {
	name    string
	members []*target.Target
}

// New starts a group whose members listen on free ports of the address, an IP
// number. The first member is made the primary of term 1.
func New(name, address string, slots int, connectDelay time.Duration) (*Trio, error) {
	t := &Trio{name: name}
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
func (t *Trio) Name() string {
	return t.name
}

// Members returns the members in order of their names.
func (t *Trio) Members() []*target.Target {
	return t.members
}

// Primary returns the member that was promoted in the highest term.
func (t *Trio) Primary() *target.Target {
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
func (t *Trio) SetLag(ship, apply time.Duration) {
	for _, m := range t.members {
		m.SetLag(ship, apply)
	}
}

// Close stops all members.
func (t *Trio) Close() {
	for _, m := range t.members {
		m.Kill()
	}
}
