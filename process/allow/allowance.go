// Package allow defines what one host has of a customer's limit.
package allow

import "time"

// Allowance is the part of a customer's limit that one host may use until it expires, and what
// would be decided about an operation now. An Allowance is immutable.
type Allowance struct {
	// Rate is how many operations per second the host may run, Burst how many it can save
	// up, and Tokens how many may run now. All are 0 if the host has no allowance.
	Rate, Burst, Tokens float64
	// Age is how long ago the allowance was renewed, -1 if it never was or has expired, and
	// Left is for how long it remains valid.
	Age, Left time.Duration
	// Coordinator is the host that hands out the allowances, empty if none is followed.
	Coordinator string
	// Admitted means that an operation would run now. Otherwise Waits means that it would
	// wait for an allowance, and Retry is after what time a refused caller should try again.
	Admitted bool
	Waits    bool
	Retry    time.Duration
}

// New returns an allowance with a token bucket, which was never renewed.
func New(rate, burst, tokens float64) Allowance {
	return Allowance{Rate: rate, Burst: burst, Tokens: tokens, Age: -1}
}

// WithCoordinator returns the allowance with another coordinator.
func (a Allowance) WithCoordinator(host string) Allowance {
	a.Coordinator = host
	return a
}

// WithTimes returns the allowance with its age and the time for which it remains valid.
func (a Allowance) WithTimes(age, left time.Duration) Allowance {
	a.Age, a.Left = age, left
	return a
}

// WithDecision returns the allowance with the decision about an operation.
func (a Allowance) WithDecision(admitted, waits bool, retry time.Duration) Allowance {
	a.Admitted, a.Waits, a.Retry = admitted, waits, retry
	return a
}
