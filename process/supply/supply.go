// Package supply defines what a call would find at a pool of connections to a target.
package supply

import "time"

// Supply is the state of a pool of connections, and what a call would get of it now. A Supply is
// immutable.
type Supply struct {
	// Open is the number of open connections, of which Idle are not in use, and Opening the
	// number that are being opened. Limit is how many may be open.
	Open, Idle, Opening, Limit int
	// Own and OwnIdle are those of the open and the idle connections that the call may use,
	// which are its customer's if connections belong to customers.
	Own, OwnIdle int
	// Waiting is the number of calls that wait for a connection.
	Waiting int
	// Strain is how many times as long as usual the recent uses of the target took, 1 if too
	// little is known.
	Strain float64
	// Immediate means that the call would get an idle connection at once. Otherwise Wait is
	// how long it is expected to wait, without the time to open a connection, and Refused
	// means that it would be refused, since that is too long.
	Immediate bool
	Wait      time.Duration
	Refused   bool
	// Excess means that the call counts as in excess of its customer's usual load. It always
	// does at a lender that does not come first for the customer.
	Excess bool
}

// New returns the supply of a pool with a number of connections, of which some are idle, and a
// limit.
func New(open, idle, limit int) Supply {
	return Supply{Open: open, Idle: idle, Limit: limit, Strain: 1}
}

// WithOwn returns the supply with the open and the idle connections that the call may use.
func (s Supply) WithOwn(open, idle int) Supply {
	s.Own, s.OwnIdle = open, idle
	return s
}

// WithWork returns the supply with the connections that are being opened, the waiting calls
// and the strain of the target.
func (s Supply) WithWork(opening, waiting int, strain float64) Supply {
	s.Opening, s.Waiting, s.Strain = opening, waiting, strain
	return s
}

// WithImmediate returns the supply for a call that gets a connection at once.
func (s Supply) WithImmediate() Supply {
	s.Immediate, s.Wait, s.Refused = true, 0, false
	return s
}

// WithWait returns the supply for a call that has to wait for a time, or is refused.
func (s Supply) WithWait(wait time.Duration, refused bool) Supply {
	s.Immediate, s.Wait, s.Refused = false, wait, refused
	return s
}

// WithExcess returns the supply with another Excess flag.
func (s Supply) WithExcess(excess bool) Supply {
	s.Excess = excess
	return s
}
