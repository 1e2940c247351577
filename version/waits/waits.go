// Package waits decides how long a statement may wait before it is refused as not run.
package waits

import (
	"time"

	"github.com/pistachiotray/pistachiotray/version/route"
)

const (
	// objectivePercent is the part of the latency objective for which a statement may
	// wait where waiting does not help. A caller that is refused early still comes
	// back in time, perhaps to a host that can serve it.
	objectivePercent = 22
	// timeoutPercent is the part of the timeout for which a statement may wait on a
	// host's own connections. They are short only for moments, after a restart or
	// around a change of the leader, and whoever waits is served then. The rest of
	// the timeout is for the run.
	timeoutPercent = 80
	// minRemaining is the minimum time for which a statement may wait for a connection,
	// however long ago it arrived.
	minRemaining = 30 * time.Millisecond
)

// Waits are the limits for the statements of a route. They are immutable.
type Waits struct {
	objective time.Duration
	timeout   time.Duration
}

// New returns the limits for the statements of a route.
func New(rt route.Route) Waits {
	return Waits{objective: rt.LatencyObjective, timeout: rt.Timeout}
}

// ForConnection returns how long after its arrival a statement may wait for a
// connection to a target. If shared is true, hosts share the target's connections: on
// the heaviest days these have more demand than they can serve, and whoever waits for
// longer makes those behind late too.
func (w Waits) ForConnection(shared bool) time.Duration {
	if shared {
		return w.early()
	}
	return max(w.timeout*timeoutPercent/100, w.early())
}

// Remaining returns how long a statement that arrived a time ago may still wait for a connection
// to a target: until ForConnection has passed, and for at least minRemaining.
func (w Waits) Remaining(shared bool, since time.Duration) time.Duration {
	return max(w.ForConnection(shared)-since, minRemaining)
}

// ForLeader returns how long a statement may wait for a leader that is not expected
// soon.
func (w Waits) ForLeader() time.Duration {
	return w.early()
}

// early returns the limit where waiting does not help.
func (w Waits) early() time.Duration {
	return w.objective * objectivePercent / 100
}
