// Package gossip defines the information that hosts exchange about each other.
package gossip

// The states of a host. Within one incarnation, a state supersedes those listed
// before it.
const (
	// Alive is the state of a host that answers.
	Alive = iota
	// Suspect is the state of a host that did not answer a probe. The host can
	// refute the suspicion by a higher incarnation.
	Suspect
	// Dead is the state of a host that did not refute a suspicion in time.
	Dead
	// Left is the state of a host that announced that it leaves the fleet.
	Left
)

// HostInfo describes a host and its state, as reported by the host itself or by
// another one. It is immutable.
type HostInfo struct {
	// Host is the host's name.
	Host string
	// Address is the URL at which other hosts reach the host.
	Address string
	// Zone is the host's availability zone, empty if not known yet.
	Zone string
	// Incarnation increases each time the host starts or refutes a report that
	// it is not alive. It is 0 for a host that is known only by the platform's
	// list or a seed address.
	Incarnation uint64
	// State is Alive, Suspect, Dead or Left.
	State int
	// Unheard means that the coordinator of the limits has heard nothing of the host for
	// some time. Such a host does not count as a known host for the limits, and is
	// treated like any other in all other respects. The messages between hosts don't
	// carry it.
	Unheard bool
}

// New returns the HostInfo of a host in state Alive.
func New(host, address, zone string, incarnation uint64) HostInfo {
	return HostInfo{Host: host, Address: address, Zone: zone, Incarnation: incarnation}
}

// WithState returns a copy with another state.
func (i HostInfo) WithState(state int) HostInfo {
	i.State = state
	return i
}

// WithIncarnation returns a copy with another incarnation.
func (i HostInfo) WithIncarnation(incarnation uint64) HostInfo {
	i.Incarnation = incarnation
	return i
}

// WithUnheard returns a copy with Unheard set to unheard.
func (i HostInfo) WithUnheard(unheard bool) HostInfo {
	i.Unheard = unheard
	return i
}

// Supersedes reports whether i is newer than other: it has a higher
// incarnation, or the same incarnation and a later state.
func (i HostInfo) Supersedes(other HostInfo) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.State > other.State
}
