package conns

import (
	"context"
	"math"
	"time"

	"github.com/pistachiotray/pistachiotray/connection/caller"
)

// waiter is a call of Take that waits for a connection.
type waiter struct {
	caller   caller.Caller
	priority int
	// keeps is set if the call keeps the connection for more than one batch, and expected
	// is for how long it is expected to keep it.
	keeps    bool
	expected time.Duration
	// excess is set if the call is in excess of its customer's usual load.
	excess bool
	// overflow is set if another lender comes first for the customer.
	overflow bool
	// since is when the call began, and deadline until when it waits.
	since    time.Duration
	deadline time.Duration
	// granted receives the connection or an error. It is nil until the call has to wait.
	granted chan grant
}

// Kept returns an option of Take for a call that keeps the connection for more than one
// batch.
func Kept(keeps bool) func(*waiter) {
	return func(w *waiter) { w.keeps = keeps }
}

// Overflow returns an option of Take for a call that another lender comes first for. It counts as
// in excess of its customer's usual load.
func Overflow(overflow bool) func(*waiter) {
	return func(w *waiter) { w.excess, w.overflow = overflow, overflow }
}

// newWaiter returns a waiter for a call of Take, and records the call's arrival; the caller
// holds the lock.
func (p *Pool) newWaiter(ctx context.Context, c caller.Caller, priority int, options ...func(*waiter)) *waiter {
	w := p.describe(c, priority, options...)
	if at, ok := ctx.Deadline(); ok {
		w.deadline = w.since + time.Until(at)
	}
	if p.distinguishes(c.Customer) && !w.excess {
		w.excess = p.waiting.Arrived(w.since, c.Customer, w.expected)
	}
	return w
}

// describe returns a waiter for a call without a deadline, and records nothing; the caller holds
// the lock.
func (p *Pool) describe(c caller.Caller, priority int, options ...func(*waiter)) *waiter {
	w := &waiter{caller: c, priority: priority, since: p.now(), deadline: math.MaxInt64}
	for _, o := range options {
		o(w)
	}
	if !p.distinguishes(c.Customer) {
		return w
	}
	if w.expected = p.customers.usage.Expected(c.Customer, w.keeps); w.expected == 0 {
		w.expected = p.meanUse
	}
	return w
}

// Customer returns the name of the customer for which the call works.
func (w *waiter) Customer() string { return w.caller.Customer }

// Priority returns the priority of the call's route.
func (w *waiter) Priority() int { return w.priority }

// Excess reports whether the call is in excess of its customer's usual load.
func (w *waiter) Excess() bool { return w.excess }

// Expected returns for how long the call is expected to use a connection.
func (w *waiter) Expected() time.Duration { return w.expected }

// Since returns when the call began to wait.
func (w *waiter) Since() time.Duration { return w.since }

// Deadline returns until when the call must get a connection.
func (w *waiter) Deadline() time.Duration { return w.deadline }
