// Package retry decides what becomes of a request whose owner failed it.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// pauseLeast and pauseMost bound the pause before a request is sent to an
	// owner again.
	pauseLeast = 5 * time.Millisecond
	pauseMost  = 100 * time.Millisecond
	// pauseGrowth is the factor from one pause to the next.
	pauseGrowth = 2
)

// Retry is the state of one request's tries at its entry host. It is
// immutable.
type Retry struct {
	call  call.Call
	tries int
	begun bool
}

// New returns the state before the first try.
func New(c call.Call) Retry {
	return Retry{call: c}
}

// WithDelivered returns the state after a part of the answer reached the caller.
func (r Retry) WithDelivered(begun bool) Retry {
	r.begun = begun
	return r
}

// Call returns the request as it is to be sent next.
func (r Retry) Call() call.Call {
	return r.call
}

// Refused decides about an owner's word that the request was not run. It
// returns the next state and pause, or false where the caller is to be told.
func (r Retry) AfterRefusal(now time.Time, f *fault.Fault) (Retry, time.Duration, bool) {
	if f.Code != code.NotRunMoved && f.Code != code.NotRunStopping {
		return r, 0, false
	}
	return r.again(now)
}

// Unsent decides about a request that could not be sent to its owner.
func (r Retry) AfterUnsent(now time.Time) (Retry, time.Duration, bool) {
	if r.call.InTransaction {
		return r, 0, false
	}
	return r.again(now)
}

// Lost decides about a request that was sent to an owner that is gone. It is
// sent again only where that can't make it run twice.
func (r Retry) AfterLoss(now time.Time) (Retry, time.Duration, bool) {
	safe := r.call.Class.Read || r.call.Class.Repeatable || r.call.Key != ""
	if r.begun || r.call.InTransaction || !safe {
		return r, 0, false
	}
	r.call = r.call.WithResent(true)
	return r.again(now)
}

// pause returns the pause before the next try. It grows from try to try, and
// is the same for the same number of tries, so that a course can be replayed.
func (r Retry) pause() time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: pauseLeast, Multiplier: pauseGrowth, MaxInterval: pauseMost}
	b.Reset()
	next := b.NextBackOff()
	for range r.tries {
		next = b.NextBackOff()
	}
	return next
}

func (r Retry) again(now time.Time) (Retry, time.Duration, bool) {
	pause := r.pause()
	r.tries++
	if r.begun || !now.Add(pause).Before(r.call.Deadline) {
		return r, 0, false
	}
	return r, pause, true
}

// Final returns what a caller is told where an owner refused the request and
// it is not sent again. A request that was sent to an owner that is gone may
// have run there, whatever the later owner says.
func (r Retry) RefusalFault(f *fault.Fault) *fault.Fault {
	if f.Code.NotRun() && f.Code != code.NotRunSettled && r.call.Resent && !r.call.Class.Read {
		return fault.New(code.OutcomeUnknown, f.Detail)
	}
	return f
}

// LostFault returns what a caller is told of a request that was sent to an
// owner that is gone, where it is not sent again.
func (r Retry) LostFault() *fault.Fault {
	switch {
	case r.call.InTransaction && !r.call.Ends:
		return fault.New(code.TransactionLost, "the owner of the group was lost")
	case r.call.Class.Read && !r.call.InTransaction:
		return fault.New(code.NotRunNoPrimary, "the owner of the group was lost while the read ran")
	}
	return fault.New(code.OutcomeUnknown, "the owner of the group was lost while the request ran")
}

// UnsentFault returns what a caller is told of a request that was never sent.
func (r Retry) UnsentFault() *fault.Fault {
	if r.call.InTransaction {
		return fault.New(code.TransactionLost, "the owner of the group is not reachable")
	}
	return fault.New(code.NotRunNoPrimary, "no owner of the group was reachable before the deadline")
}
