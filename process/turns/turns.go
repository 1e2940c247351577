// Package turns decides in which order calls that wait for a connection are served, and which
// of them can't be served in time.
package turns

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/process/stride"
)

const (
	// A waiting call of a customer counts as one priority more urgent after agingPercent of
	// the time until its deadline, and again after each further period of that length.
	// Where calls may wait for long, agingTime bounds the period. One of agedEvery calls is
	// chosen by that, so that some calls of each priority are served at any load, and the
	// urgent ones still come first.
	agingPercent = 75
	agingTime    = time.Second
	agedEvery    = 16
	// The predicted wait is increased by a margin: the expected time of the call divided
	// by marginDivisor.
	marginDivisor = 8
)

// call is a call that waits for a connection. What its methods return must not change.
type call interface {
	comparable
	// Customer returns the name of the call's customer, empty if it has none.
	Customer() string
	// Priority returns the priority of the call's route; the lowest number comes first.
	Priority() int
	// Excess returns what Arrived returned for the call.
	Excess() bool
	// Expected returns for how long the call is expected to use a connection.
	Expected() time.Duration
	// Since returns when the call began to wait.
	Since() time.Duration
	// Deadline returns until when the call must get a connection.
	Deadline() time.Duration
}

// Turns holds the waiting calls of one pool of connections. Calls are served by priority;
// calls of the same priority by their customers' shares; and calls of the same customer by
// when they have to begin. Calls in excess of both their customer's usual load and its share
// come after all others, so that urgent ones do not keep the calls of others waiting. Calls
// without a customer are served by priority and in the order of their arrival. A Turns has no
// lock and no clock; the time that its methods are told must not be 0.
type Turns[C call] struct {
	// waiting are the waiting calls by priority and, if it is the same, in the order of
	// their arrival.
	waiting []C
	// named is the number of waiting calls that have a customer.
	named  int
	shares *stride.Shares
	// sinceAged is how many calls began since the last one that had become more urgent by
	// waiting.
	sinceAged int
	// profiles are the usual loads of the customers.
	profiles profiles
}

// New returns Turns without waiting calls.
func New[C call]() *Turns[C] {
	return &Turns[C]{shares: stride.New(), profiles: profiles{customers: map[string]*profile{}}}
}

// SetWeights sets the weights of all customers.
func (t *Turns[C]) SetWeights(weights map[string]int) {
	for name, w := range weights {
		t.shares.Weigh(name, w)
	}
	t.profiles.setWeights(weights)
	t.shares.Retain(func(name string) bool { _, ok := weights[name]; return ok })
}

// Add adds a waiting call.
func (t *Turns[C]) Add(c C) {
	i := len(t.waiting)
	for i > 0 && t.waiting[i-1].Priority() > c.Priority() {
		i--
	}
	t.waiting = slices.Insert(t.waiting, i, c)
	if c.Customer() != "" {
		t.named++
	}
	t.shares.Enter(c.Customer(), c.Expected())
}

// Remove removes a call and reports whether it waited.
func (t *Turns[C]) Remove(c C) bool {
	i := slices.Index(t.waiting, c)
	if i < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	if c.Customer() != "" {
		t.named--
	}
	t.shares.Leave(c.Customer(), c.Expected())
	return true
}

// Arrived records a call of a customer that is expected to use a connection for a time, also if
// it does not have to wait. It reports whether the call is in excess of both the customer's
// usual load and its share of the load of all.
func (t *Turns[C]) Arrived(now time.Duration, customer string, expected time.Duration) (excess bool) {
	return t.profiles.arrived(now, customer, expected)
}

// Exceeds returns what Arrived would return, and records nothing.
func (t *Turns[C]) Exceeds(now time.Duration, customer string, expected time.Duration) bool {
	return t.profiles.exceeds(now, customer, expected)
}

// Started records that a call begins to use a connection, for the time that is expected.
func (t *Turns[C]) Started(now time.Duration, c C) {
	t.shares.Charge(c.Customer(), c.Expected())
	if t.sinceAged++; agedUrgency(c, now) < c.Priority() {
		t.sinceAged = 0
	}
}

// Ended records how long a call used a connection, of which Started was told the expected time.
func (t *Turns[C]) Ended(customer string, took, expected time.Duration) {
	t.shares.Correct(customer, took, expected)
}

// Len returns the number of waiting calls.
func (t *Turns[C]) Len() int {
	return len(t.waiting)
}

// Order returns the waiting calls, the next one to be served first.
func (t *Turns[C]) Order(now time.Duration) []C {
	if t.named == 0 {
		return t.waiting
	}
	ordered := slices.Clone(t.waiting)
	slices.SortStableFunc(ordered, func(a, b C) int { return t.compare(a, b, now) })
	return ordered
}

// Next returns the call to be served next of those that a connection serves, and false if
// there is none.
func (t *Turns[C]) Next(now time.Duration, serves func(C) bool) (next C, ok bool) {
	for _, c := range t.waiting {
		if serves(c) && (!ok || t.named > 0 && t.compare(c, next, now) < 0) {
			next, ok = c, true
		}
	}
	return next, ok
}

// Ahead reports whether a call comes before another one.
func (t *Turns[C]) Ahead(a, b C, now time.Duration) bool {
	return t.compare(a, b, now) < 0
}

// compare orders two calls, which are equal if the one that arrived first is served first.
func (t *Turns[C]) compare(a, b C, now time.Duration) int {
	switch {
	case b.Excess() && !a.Excess():
		return -1
	case a.Excess() && !b.Excess():
		return 1
	}
	urgent := cmp.Compare(t.urgency(a, now), t.urgency(b, now))
	if urgent != 0 && !a.Excess() {
		return urgent
	}
	if a.Customer() != b.Customer() {
		if c := cmp.Compare(t.shares.Pass(a.Customer()), t.shares.Pass(b.Customer())); c != 0 {
			return c
		}
	} else if a.Customer() == "" {
		return 0
	}
	if urgent != 0 {
		return urgent
	}
	return cmp.Compare(a.Deadline()-a.Expected(), b.Deadline()-b.Expected())
}

// urgency returns a call's priority, or agedUrgency if it is the turn of a call that has waited
// for long.
func (t *Turns[C]) urgency(c C, now time.Duration) int {
	if t.sinceAged+1 < agedEvery {
		return c.Priority()
	}
	return agedUrgency(c, now)
}

// agedUrgency returns a call's priority, lowered by one for each aging period that a call of a
// customer has waited.
func agedUrgency[C call](c C, now time.Duration) int {
	if c.Customer() == "" {
		return c.Priority()
	}
	period := min((c.Deadline()-c.Since())/100*agingPercent, agingTime)
	return c.Priority() - int((now-c.Since())/max(period, 1))
}

// InTime reports whether a call that does not wait yet is expected to be served by its
// deadline, as Wait predicts it.
func (t *Turns[C]) InTime(now time.Duration, c C, own, all int) bool {
	return inTime(now, c, t.Wait(now, c, own, all))
}

// Wait returns how long a call that does not wait yet is expected to wait: for the calls of its
// customer that come before it, on the connections of its customer or on its share of all
// connections, if that is more. The customers that have calls before it share them.
func (t *Turns[C]) Wait(now time.Duration, c C, own, all int) time.Duration {
	ahead := newAhead(t.shares)
	for _, w := range t.waiting {
		if t.compare(w, c, now) <= 0 {
			ahead.add(w.Customer(), w.Expected())
		}
	}
	ahead.add(c.Customer(), c.Expected())
	return ahead.wait(c.Customer(), own, all)
}

// Late returns the waiting calls that are not expected to be served by their deadline, as
// InTime predicts it. A customer's first call is not among them, since the expected times may
// be wrong. own returns the number of connections of a customer, and all is the number of all
// connections.
func (t *Turns[C]) Late(now time.Duration, own func(customer string) int, all int) []C {
	var late []C
	ahead := newAhead(t.shares)
	for _, c := range t.Order(now) {
		first := ahead.work[c.Customer()] == 0
		ahead.add(c.Customer(), c.Expected())
		if !first && !inTime(now, c, ahead.wait(c.Customer(), own(c.Customer()), all)) {
			late = append(late, c)
			ahead.work[c.Customer()] -= c.Expected()
		}
	}
	return late
}

// inTime reports whether a call that waits for a time and a margin gets a connection by its
// deadline.
func inTime[C call](now time.Duration, c C, wait time.Duration) bool {
	return now+wait+c.Expected()/marginDivisor < c.Deadline()
}
