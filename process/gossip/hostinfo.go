// Package gossip holds what hosts tell each other of one host.
package gossip

// The states of a host, in the order in which they prevail at one incarnation.
const (
	// Alive is a host that answers.
	Alive = iota
	// Suspect is a host that did not answer; it may refute that.
	Suspect
	// Dead is a host that did not refute a suspicion in time.
	Dead
	// Left is a host that leaves on purpose.
	Left
)

// HostInfo is one host's state as somebody saw it. HostInfo is immutable.
type HostInfo struct {
	// Host is the host's name, Address the URL at which peers reach it.
	Host    string
	Address string
	// Zone is the host's availability zone.
	Zone string
	// Incarnation counts the host's refutations and starts.
	Incarnation uint64
	// State is Alive, Suspect, Dead or Left.
	State int
}

// New returns the HostInfo of a live host.
func New(host, address, zone string, incarnation uint64) HostInfo {
	return HostInfo{Host: host, Address: address, Zone: zone, Incarnation: incarnation}
}

// WithState returns the HostInfo with another state.
func (n HostInfo) WithState(state int) HostInfo {
	n.State = state
	return n
}

// WithIncarnation returns the HostInfo at another incarnation.
func (n HostInfo) WithIncarnation(incarnation uint64) HostInfo {
	n.Incarnation = incarnation
	return n
}

// Supersedes tells whether n replaces o: the higher incarnation does, and at
// the same one the later state.
func (n HostInfo) Supersedes(o HostInfo) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	return n.State > o.State
}
