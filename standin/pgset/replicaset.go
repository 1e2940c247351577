// Package pgset implements a stand-in for a database group of three members.
package pgset

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/standin/target"
)

// memberCount is the number of members of a group.
const memberCount = 3

// ReplicaSet is one group of three members in this process.
type ReplicaSet struct {
	name    string
	members []*target.Target
}

// New starts a group whose members listen on free ports of address, an IP address.
// slots and connectDelay are those of each member. The first member becomes the
// primary of term 1.
func New(name, address string, slots int, connectDelay time.Duration) (*ReplicaSet, error) {
	r := &ReplicaSet{name: name}
	for i := range memberCount {
		m, err := target.New(fmt.Sprintf("%s-%d", name, i), address+":0",
			target.WithSlots(slots), target.WithConnectDelay(connectDelay))
		if err != nil {
			r.Close()
			return nil, err
		}
		r.members = append(r.members, m)
	}
	for _, m := range r.members {
		m.Join(r.members)
	}
	r.members[0].Fence(1, "first")
	r.members[0].Promote(1, "first")
	return r, nil
}

// Name returns the group's name.
func (r *ReplicaSet) Name() string {
	return r.name
}

// Members returns the members, sorted by name.
func (r *ReplicaSet) Members() []*target.Target {
	return r.members
}

// Primary returns the primary of the highest term, or nil if no member is primary.
// A partitioned member can still be primary in an older term.
func (r *ReplicaSet) Primary() *target.Target {
	var primary *target.Target
	var term uint64
	for _, m := range r.members {
		if report := m.Report(); report.Primary && report.Term >= term {
			primary, term = m, report.Term
		}
	}
	return primary
}

// SetLag sets how long a log entry takes to reach each member (ship), and then to be
// applied to its tables (apply).
func (r *ReplicaSet) SetLag(ship, apply time.Duration) {
	for _, m := range r.members {
		m.SetLag(ship, apply)
	}
}

// Close kills all members.
func (r *ReplicaSet) Close() {
	for _, m := range r.members {
		m.Kill()
	}
}
