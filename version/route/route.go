// Package route defines the route of a database: the group that serves it, and the
// limits for its statements.
package route

import "time"

// The consistency levels of a route.
const (
	// Primary means that a read sees every acknowledged commit.
	Primary = iota
	// BoundedStaleness means that a read sees every commit that is older than the
	// route's MaxAge.
	BoundedStaleness
	// ReadYourWrites means bounded staleness, and that a read also sees all commits
	// of its own session.
	ReadYourWrites
)

// ageMargin is subtracted from a route's maximum age, since the arrival time is recorded a little
// after the caller sent its statement.
const ageMargin = 10 * time.Millisecond

// Route maps the name of a database to the group that serves it. A Route is
// immutable.
type Route struct {
	// Database is the name of the database that callers connect to.
	Database string
	// Group is the name of the database group that serves the database.
	Group string
	// Kind is Primary, BoundedStaleness or ReadYourWrites.
	Kind int
	// MaxAge limits how old the data of a read may be. It is not used if Kind is
	// Primary.
	MaxAge time.Duration
	// Timeout limits the duration of a single statement, including waiting.
	Timeout time.Duration
	// LatencyObjective is the duration that a whole operation should not exceed.
	LatencyObjective time.Duration
	// Priority orders waiting statements; the lowest number is served first.
	Priority int
	// Public means that callers need no key of a customer.
	Public bool
}

// New returns a route from a database to a group.
func New(database, group string, kind int) Route {
	return Route{Database: database, Group: group, Kind: kind}
}

// WithMaxAge returns the route with another limit on the age of data.
func (r Route) WithMaxAge(d time.Duration) Route {
	r.MaxAge = d
	return r
}

// WithTimes returns the route with the timeout of a statement and the latency
// objective of an operation.
func (r Route) WithTimes(timeout, latencyObjective time.Duration) Route {
	r.Timeout = timeout
	r.LatencyObjective = latencyObjective
	return r
}

// WithPublic returns the route with Public set to public.
func (r Route) WithPublic(public bool) Route {
	r.Public = public
	return r
}

// WithPriority returns the route with another priority.
func (r Route) WithPriority(priority int) Route {
	r.Priority = priority
	return r
}

// DataAge returns how old the data of a read may be, counted from when its arrival is recorded. It
// is never negative: what is as new as the arrival is new enough for any MaxAge.
func (r Route) DataAge() time.Duration {
	return max(r.MaxAge-ageMargin, 0)
}
