// Package retry decides whether a failed request is sent again to the owner of
// its group, and which fault the caller gets if the request is not sent again.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/pistachiotray/pistachiotray/request/call"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/request/fault"
)

const (
	// minPause and maxPause bound the pause before a request is sent again.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// pauseFactor is the factor by which the pause grows with each attempt.
	pauseFactor = 2
)

// Retry is the state of one request's attempts, kept at the caller's host. A Retry
// is immutable.
type Retry struct {
	// call is the request as sent in the next attempt.
	call call.Call
	// attempts is the number of attempts that failed.
	attempts int
	// delivered means that a chunk of the answer reached the caller.
	delivered bool
}

// New returns the state before the first attempt.
func New(c call.Call) Retry {
	return Retry{call: c}
}

// WithDelivered returns the state with delivered set to the argument. If it is
// true, a chunk of the answer reached the caller and the request is not sent again.
func (r Retry) WithDelivered(delivered bool) Retry {
	r.delivered = delivered
	return r
}

// Call returns the request for the next attempt.
func (r Retry) Call() call.Call {
	return r.call
}

// AfterRefusal decides whether to send a request again after an owner refused it
// with fault f. It returns the next state and the pause before the next attempt, or
// false if the request is not sent again. The request is sent again only if the
// owner no longer owns the group or is stopping.
func (r Retry) AfterRefusal(now time.Time, f *fault.Fault) (Retry, time.Duration, bool) {
	if f.Code != code.NotRunMoved && f.Code != code.NotRunStopping {
		return r, 0, false
	}
	return r.next(now)
}

// AfterUnsent decides whether to send a request again after it could not be sent to
// the owner. It returns the next state and the pause before the next attempt, or
// false if the request is not sent again. A request inside a transaction is not sent
// again, since a transaction can't be moved to another owner.
func (r Retry) AfterUnsent(now time.Time) (Retry, time.Duration, bool) {
	if r.call.InTransaction {
		return r, 0, false
	}
	return r.next(now)
}

// AfterLoss decides whether to send a request again after the owner to which it was
// sent was lost. It returns the next state and the pause before the next attempt, or
// false if the request is not sent again. The request is sent again only if running
// it twice is harmless, or is prevented by its idempotency key. It is not sent again
// inside a transaction, or if a chunk of the answer was delivered.
func (r Retry) AfterLoss(now time.Time) (Retry, time.Duration, bool) {
	safe := r.call.Class.Read || r.call.Class.Repeatable || r.call.Key != ""
	if r.delivered || r.call.InTransaction || !safe {
		return r, 0, false
	}
	r.call = r.call.WithResent(true)
	return r.next(now)
}

// pause returns the pause before the next attempt. The pause grows with each
// attempt. It has no jitter, so that simulated runs can be replayed exactly.
func (r Retry) pause() time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: minPause, Multiplier: pauseFactor, MaxInterval: maxPause}
	b.Reset()
	pause := b.NextBackOff()
	for range r.attempts {
		pause = b.NextBackOff()
	}
	return pause
}

// next returns the state and the pause of the next attempt. It returns false if
// part of the answer was delivered or the deadline passes during the pause.
func (r Retry) next(now time.Time) (Retry, time.Duration, bool) {
	pause := r.pause()
	r.attempts++
	if r.delivered || !now.Add(pause).Before(r.call.Deadline) {
		return r, 0, false
	}
	return r, pause, true
}

// RefusalFault returns the fault for the caller if an owner refused the request
// with fault f and the request is not sent again. If the request had been sent to
// an earlier owner that was lost, it may have run there; a write's outcome is then
// unknown, although f reports that the request was not run. NotRunSettled is kept,
// since the withdrawn idempotency key proves that no run took effect.
func (r Retry) RefusalFault(f *fault.Fault) *fault.Fault {
	if f.Code.NotRun() && f.Code != code.NotRunSettled && r.call.Resent && !r.call.Class.Read {
		return fault.New(code.OutcomeUnknown, f.Detail)
	}
	return f
}

// LostFault returns the fault for the caller if the request was sent to an owner
// that was lost and is not sent again. Its code is TransactionLost inside a
// transaction, unless the request may have committed the transaction. A read
// outside a transaction changes nothing, so it is reported as not run. In all other
// cases the code is OutcomeUnknown.
func (r Retry) LostFault() *fault.Fault {
	switch {
	case r.call.InTransaction && !r.call.Ends:
		return fault.New(code.TransactionLost, "the owner of the group was lost")
	case r.call.Class.Read && !r.call.InTransaction:
		return fault.New(code.NotRunNoPrimary, "the owner of the group was lost while the read ran")
	}
	return fault.New(code.OutcomeUnknown, "the owner of the group was lost while the request ran")
}

// UnsentFault returns the fault for the caller if the request could not be sent
// to the owner and is not sent again. Its code is TransactionLost inside a
// transaction, otherwise NotRunNoPrimary.
func (r Retry) UnsentFault() *fault.Fault {
	if r.call.InTransaction {
		return fault.New(code.TransactionLost, "the owner of the group is not reachable")
	}
	return fault.New(code.NotRunNoPrimary, "no owner of the group was reachable before the deadline")
}
