package rset

import (
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
)

const (
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which the rate halves without new
	// outcomes, so that reads return to a target that they avoided.
	failureHalfLife = 2 * time.Second
	// failureCost is what a failure rate of 1 adds to the expected response
	// time of a read: as much as a slow answer takes.
	failureCost = time.Second
)

// failureRate is a moving average of how often a target's runs failed there or
// got no answer.
type failureRate struct {
	rate float64
	// updatedAt is the time of the last outcome.
	updatedAt time.Duration
}

// rateAt returns the rate at a time. The rate halves every failureHalfLife since
// the last outcome.
func (f failureRate) rateAt(at time.Duration) float64 {
	return f.rate * math.Exp2(-float64(at-f.updatedAt)/float64(failureHalfLife))
}

// with returns the rate after another outcome.
func (f failureRate) with(at time.Duration, failed bool) failureRate {
	share := f.rateAt(at) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	return failureRate{share, at}
}

// cost returns what the failure rate adds to the expected response time of a
// read.
func (f failureRate) cost(at time.Duration) time.Duration {
	return time.Duration(f.rateAt(at) * float64(failureCost))
}

// failed reports whether the target failed to run any of the statements.
func failed(replies []reply.Reply) bool {
	for _, r := range replies {
		if r.Code == code.TargetFailed {
			return true
		}
	}
	return false
}
