// Package gossip defines the host info that hosts exchange about each other.
package gossip

// The states of a host. At one incarnation a later state supersedes an earlier
// one.
const (
	// Alive is the state of a host that answers.
	Alive = iota
	// Suspect is the state of a host that did not answer. It may refute the
	// suspicion.
	Suspect
	// Dead is the state of a host that did not refute a suspicion in time.
	Dead
	// Left is the state of a host that leaves on purpose.
	Left
)

// HostInfo is the state of one host as some host observed it. It is immutable.
type HostInfo struct {
	// Host is the host's name.
	Host string
	// Address is the URL at which other hosts reach the host.
	Address string
	// Zone is the host's availability zone.
	Zone string
	// Incarnation increases with each start and each refutation of the host.
	Incarnation uint64
	// State is Alive, Suspect, Dead or Left.
	State int
}

// New returns the HostInfo of a host that is alive.
func New(host, address, zone string, incarnation uint64) HostInfo {
	return HostInfo{Host: host, Address: address, Zone: zone, Incarnation: incarnation}
}

// WithState returns the HostInfo with the state.
func (i HostInfo) WithState(state int) HostInfo {
	i.State = state
	return i
}

// WithIncarnation returns the HostInfo with the incarnation.
func (i HostInfo) WithIncarnation(incarnation uint64) HostInfo {
	i.Incarnation = incarnation
	return i
}

// Supersedes reports whether n replaces o: it has a higher incarnation, or the
// same incarnation and a later state.
func (i HostInfo) Supersedes(other HostInfo) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.State > other.State
}
