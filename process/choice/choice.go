// Package choice defines what a host knows of a target to which it may send a request.
package choice

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/lender"
	"github.com/pistachiotray/pistachiotray/process/rating"
	"github.com/pistachiotray/pistachiotray/process/supply"
)

// Choice is one target of a group as a request would find it. A Choice is immutable. Its times
// are -1 where they are not known.
type Choice struct {
	// Rating tells how likely the target is chosen, and why.
	Rating rating.Rating
	// Zone is the target's availability zone. Leaving means that it wants no new work.
	Zone    string
	Leaving bool
	// Heard is how long ago the target last answered this host, and Failing for how long it
	// has not answered, -1 while it does.
	Heard, Failing time.Duration
	// Lag is by how much the target's log was behind the leader's at least, by its report
	// of LagAge ago.
	Lag, LagAge time.Duration
	// Check means that a read is sent there to check whether a lagging replica caught up.
	Check bool
	// Own is the probability with which this host uses its own connections if it chooses the
	// target, of which Supply tells what the request would get. Lenders are the hosts whose
	// connections it may use. If connections belong to customers, these are in the order in
	// which they are asked; otherwise the next one is asked after the one that is asked first.
	Own     float64
	Supply  supply.Supply
	Lenders []lender.Lender
}

// New returns the choice of a target in a zone, with its rating.
func New(r rating.Rating, zone string) Choice {
	return Choice{Rating: r, Zone: zone, Heard: -1, Failing: -1, LagAge: -1}
}

// WithHealth returns the choice with the health of the target.
func (c Choice) WithHealth(leaving bool, heard, failing time.Duration) Choice {
	c.Leaving, c.Heard, c.Failing = leaving, heard, failing
	return c
}

// WithLag returns the choice with the target's lag and the age of its report.
func (c Choice) WithLag(lag, age time.Duration) Choice {
	c.Lag, c.LagAge = lag, age
	return c
}

// WithCheck returns the choice with another Check flag.
func (c Choice) WithCheck(check bool) Choice {
	c.Check = check
	return c
}

// WithOwn returns the choice with the probability with which this host uses its own connections,
// and what the request would get of them.
func (c Choice) WithOwn(share float64, s supply.Supply) Choice {
	c.Own, c.Supply = share, s
	return c
}

// WithLenders returns the choice with the hosts whose connections may be used. The list must not
// be changed afterwards.
func (c Choice) WithLenders(lenders []lender.Lender) Choice {
	c.Lenders = lenders
	return c
}
