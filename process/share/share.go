// Package share defines the part of a customer's limit that one host has or needs.
package share

// Share is one host's part of the limit of a customer. It is encoded by encoding/gob as
// part of the messages between hosts, so that the names of its fields can't change. A
// Share is immutable.
type Share struct {
	// Customer is the customer's name.
	Customer string
	// Rate is how many tokens per second the host's bucket gains, and Burst how many it
	// can hold.
	Rate  float64
	Burst float64
	// Tokens is how many tokens the bucket holds, in a claim, or gains at once, in an
	// award.
	Tokens float64
	// Returned is how many tokens the bucket has lost so far because it was full, in a
	// claim. The coordinator may hand them out again.
	Returned float64
	// LeftMs is for how long the share remains valid, in a claim, in milliseconds.
	LeftMs int64
	// Demand is how many operations per second callers ask for, and Waiting how many
	// operations wait for tokens, in a claim.
	Demand  float64
	Waiting int
	// Limited means that the customer has reached its limit over all hosts, in an award,
	// so that asking again before the next interval is useless.
	Limited bool
}

// New returns an empty share of a customer.
func New(customer string) Share {
	return Share{Customer: customer}
}

// WithDemand returns the share with a demand and a number of waiting operations.
func (s Share) WithDemand(perSecond float64, waiting int) Share {
	s.Demand, s.Waiting = perSecond, waiting
	return s
}

// WithBucket returns the share with another bucket.
func (s Share) WithBucket(rate, burst, tokens float64) Share {
	s.Rate, s.Burst, s.Tokens = rate, burst, tokens
	return s
}

// WithReturned returns the share with the number of lost tokens.
func (s Share) WithReturned(tokens float64) Share {
	s.Returned = tokens
	return s
}

// WithLeft returns the share valid for a time.
func (s Share) WithLeft(ms int64) Share {
	s.LeftMs = ms
	return s
}

// WithLimited returns the share with another Limited flag.
func (s Share) WithLimited(limited bool) Share {
	s.Limited = limited
	return s
}
