package rset

import (
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/reply"
)

const (
	// faultWeight is the share of a new outcome in the share of failures.
	faultWeight = 0.2
	// faultHalf is the time in which that share halves where nothing more is
	// heard, so that a target that was avoided is tried again.
	faultHalf = 2 * time.Second
	// faultCost is what a read that fails costs: as much as a slow answer.
	faultCost = time.Second
)

// faults is the moving share of a target's statements that failed there or got
// no answer.
type faults struct {
	share float64
	at    time.Duration
}

// now returns the share at a time.
func (f faults) now(at time.Duration) float64 {
	return f.share * math.Exp2(-float64(at-f.at)/float64(faultHalf))
}

// with returns the share after another outcome.
func (f faults) with(at time.Duration, failed bool) faults {
	share := f.now(at) * (1 - faultWeight)
	if failed {
		share += faultWeight
	}
	return faults{share, at}
}

// cost returns by how much longer than its answers a read is expected to take.
func (f faults) cost(at time.Duration) time.Duration {
	return time.Duration(f.now(at) * float64(faultCost))
}

// failed tells whether a target failed one of some statements.
func failed(replies []reply.Reply) bool {
	for _, r := range replies {
		if r.Code == code.TargetFailed {
			return true
		}
	}
	return false
}
