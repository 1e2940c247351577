package rset

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/conns"
	"github.com/pistachiotray/pistachiotray/process/gossip"
	"github.com/pistachiotray/pistachiotray/process/spread"
	"github.com/pistachiotray/pistachiotray/process/target"
)

// targetState is the state of one target of the group, as this host observed
// it.
type targetState struct {
	target target.Target
	pool   *conns.Pool
	// direct is set if this host opens its own connections to the target.
	// Otherwise it borrows connections from the hosts in lenders. It asks the
	// host at index firstLender first, or the one at secondLender if that has less load.
	direct       bool
	lenders      []gossip.HostInfo
	firstLender  int
	secondLender int
	// load is what is known of the load of the target, and lenderLoads of that of its
	// lenders, by host. Both are kept only while hosts share the connections.
	load        spread.Load
	lenderLoads map[string]spread.Load
	// running is the number of this host's statements that are running at the
	// target.
	running int
	// latency is the moving average of the target's response times.
	latency time.Duration
	// lastHeard is when the target last answered, 0 if it never did.
	lastHeard time.Duration
	// failingSince is when the target was found not to answer, 0 while it
	// answers.
	failingSince time.Duration
	// probing is set while probeLoop runs for the target.
	probing bool
	// unresponsive is set if the target's machine accepts connections, but on
	// them either nothing answers or another target does.
	unresponsive bool
	// cancels is the set of functions that cancel the statements in progress.
	// They are called when the target stops answering.
	cancels map[uint64]func()
	// drainUntil is when a leaving target stops getting new work as the leader,
	// 0 while the target is not leaving.
	drainUntil time.Duration
	// connRefused is set if the target's machine refused the last attempt to
	// connect.
	connRefused bool
	// lost is the number of lost connections that this host knew of when it last sent a
	// commit.
	lost uint64
	// lag is how far the target's log is behind the leader's.
	lag lag
	// failures is the recent share of the target's runs that failed.
	failures failureRate
}
