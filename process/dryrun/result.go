// Package dryrun decides where a host would send a request now, and why, without sending it.
package dryrun

import (
	"fmt"
	"time"

	"github.com/pistachiotray/pistachiotray/process/allow"
	"github.com/pistachiotray/pistachiotray/process/choice"
	"github.com/pistachiotray/pistachiotray/process/gview"
	"github.com/pistachiotray/pistachiotray/process/rset"
	"github.com/pistachiotray/pistachiotray/request/code"
	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
	"github.com/pistachiotray/pistachiotray/version/waits"
)

// catalog looks up the plan and the database groups.
type catalog interface {
	// Ready reports whether a plan and the registered targets are known.
	Ready() bool
	// Plan returns the plan in force.
	Plan() plan.Plan
	// ReplicaSet returns a database group.
	ReplicaSet(group string) (*rset.ReplicaSet, bool)
}

// allowances holds the host's parts of the customers' limits.
type allowances interface {
	// Peek returns the part of a customer's limit, and uses none of it.
	Peek(customer string) allow.Allowance
}

// freshness tells how old the plan is.
type freshness interface {
	// Current reports whether the plan is as new as it is in operation.
	Current() bool
}

// Result is where a host would send a single statement of a new session if it arrived now. A
// Result is immutable.
type Result struct {
	// Host is the name of the host, and Plan the version of its plan.
	Host string
	Plan uint64
	// Database and Writes are the request's, and Customer is for whom it works, without
	// keys. It is zero if callers are not told apart, and if the customer is not known.
	Database string
	Writes   bool
	Customer cust.Customer
	// Route is the database's route, and zero if there is none.
	Route route.Route
	// Allowance is what the host has of the customer's limit, and zero if it has no limit.
	Allowance allow.Allowance
	// View is what the request would find at the group. It has no members if the request is
	// refused before.
	View gview.View
	// Code is code.Done if the request would be sent, and otherwise the code with which it
	// would be refused. Reason is why, or what the request would wait for first, or empty.
	Code   code.Code
	Reason string
	// Wait is the predicted wait for a connection of this host and for a slot of the
	// target, on average over the targets that may be chosen.
	Wait time.Duration
}

// New returns where a host would send a read of a database. It takes each lock for a short time
// only, counts nothing, opens no connection and sends nothing.
func New(host string, c catalog, a allowances, f freshness, database string, options ...func(*Result)) Result {
	p := c.Plan()
	r := Result{Host: host, Plan: p.Version, Database: database}
	for _, o := range options {
		o(&r)
	}
	// The name is shown only if it is a customer's, as it may be a key that was given by mistake.
	name := r.Customer.Name
	r.Customer = cust.Customer{}
	if !c.Ready() {
		return r.withRefusal(code.NotRunStopping, "no configuration yet")
	}
	rt, ok := p.Route(database)
	if !ok {
		return r.withUnknown(f, code.UnknownDatabase, "the plan has no route for the database")
	}
	r.Route = rt
	if r.Customer, ok = identify(p, rt, name); !ok {
		return r.withUnknown(f, code.UnknownKey, "the route needs the key of a customer, and the plan has no customer of this name")
	}
	group, ok := c.ReplicaSet(rt.Group)
	if !ok {
		return r.withRefusal(code.NotRunNoPrimary, "the group has no targets")
	}
	if r.Customer.Limited() {
		r.Allowance = a.Peek(r.Customer.Name)
	}
	r.View = group.Preview(rt, r.Customer.Name, r.Writes)
	r.Wait = expectedWait(r.View)
	return r.withDecision()
}

// WithCustomer returns an option that sets the name of the customer for whom the request works.
// Public routes and plans without customers ignore it.
func WithCustomer(name string) func(*Result) {
	return func(r *Result) { r.Customer = cust.New(name) }
}

// WithWrites returns an option that sets whether the request writes.
func WithWrites(writes bool) func(*Result) {
	return func(r *Result) { r.Writes = writes }
}

// identify returns the customer with a name, without its keys, for whom a caller works on a
// route. It decides as plan.Plan.Identify does by a key.
func identify(p plan.Plan, rt route.Route, name string) (cust.Customer, bool) {
	switch {
	case !p.HasCustomers():
		return cust.Customer{}, true
	case rt.Public:
		return cust.New(cust.Public), true
	case name == cust.Public:
		return cust.Customer{}, false
	}
	c, ok := p.CustomerNamed(name)
	return c.WithoutKeys(), ok
}

// withRefusal returns the result of a refused request.
func (r Result) withRefusal(c code.Code, reason string) Result {
	r.Code, r.Reason = c, reason
	return r
}

// withUnknown returns the result of a request that the plan does not know. A plan that may be too
// old to tell is read again first.
func (r Result) withUnknown(f freshness, c code.Code, reason string) Result {
	if !f.Current() {
		return r.withRefusal(code.NotRunOldPlan, reason+", but is old and would be read again first")
	}
	return r.withRefusal(c, reason)
}

// withReason returns the result of a request that is sent, but waits for something first.
func (r Result) withReason(reason string) Result {
	r.Reason = reason
	return r
}

// withDecision returns the result with the decision by the allowance and the view of the group.
func (r Result) withDecision() Result {
	v, a := r.View, r.Allowance
	switch {
	case r.Customer.Limited() && !a.Admitted && !a.Waits:
		return r.withRefusal(code.NotRunLimit, fmt.Sprintf("over the limit of the customer, retry in %d ms", max(a.Retry.Milliseconds(), 1)))
	case v.AtLeader && !v.Usable:
		return r.withoutLeader("no leader gets new work")
	case !v.AtLeader && !chosen(v, func(choice.Choice) bool { return true }):
		return r.withRefusal(code.NotRunDeadline, "no usable target left to try")
	case !chosen(v, func(c choice.Choice) bool { return c.Own < 1 || !c.Supply.Refused }):
		return r.withRefusal(code.NotRunDeadline, "no connection comes free in time")
	case !v.AtLeader && !v.PositionKnown && !chosen(v, func(c choice.Choice) bool { return v.Shared && c.Own < 1 }):
		if !v.Usable {
			return r.withoutLeader("no proof of the newest position, and no leader to ask")
		}
		return r.withReason("waits for a proof of the newest position from the leader")
	case r.Customer.Limited() && !a.Admitted:
		return r.withReason("waits for an allowance from the coordinator")
	case v.Doubted:
		return r.withReason("waits until it is known that the leader is not being replaced")
	}
	return r
}

// withoutLeader returns the result of a request that needs a leader if there is none: it waits for
// one, for a short time only if none is expected.
func (r Result) withoutLeader(reason string) Result {
	if r.View.Overdue {
		return r.withRefusal(code.NotRunDeadline, fmt.Sprintf("%s: refused after %d ms", reason, waits.New(r.Route).ForLeader().Milliseconds()))
	}
	return r.withReason(reason + ": waits for one")
}

// chosen reports whether a target may be chosen that meets a condition.
func chosen(v gview.View, meets func(choice.Choice) bool) bool {
	for _, c := range v.Members {
		if c.Rating.Share > 0 && meets(c) {
			return true
		}
	}
	return false
}

// expectedWait returns the predicted wait for a connection of this host and for a slot.
func expectedWait(v gview.View) time.Duration {
	var wait float64
	for _, c := range v.Members {
		wait += c.Rating.Share * (c.Own*float64(c.Supply.Wait) + float64(c.Rating.Wait))
	}
	return time.Duration(wait)
}
