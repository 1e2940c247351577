// Package route defines how the statements for one database are served.
package route

import "time"

// The consistency levels of a route.
const (
	// Primary reads see every acknowledged commit.
	Primary = iota
	// BoundedStaleness reads see every commit that is older than MaxAge.
	BoundedStaleness
	// ReadYourWrites reads have bounded staleness and also see the session's
	// own commits.
	ReadYourWrites
)

// Route maps a database name that callers use to a group. A Route is
// immutable.
type Route struct {
	// Database is the name that callers use.
	Database string
	// Group is the database group that serves it.
	Group string
	// Kind is Primary, BoundedStaleness or ReadYourWrites.
	Kind int
	// MaxAge bounds the staleness of a read.
	MaxAge time.Duration
	// Timeout limits a single statement.
	Timeout time.Duration
	// LatencyObjective is the time in which a whole operation should end.
	LatencyObjective time.Duration
	// Priority orders waiting statements; 0 is served first.
	Priority int
}

// New returns a route from a database to a group.
func New(database, group string, kind int) Route {
	return Route{Database: database, Group: group, Kind: kind}
}

// WithMaxAge returns the route with another staleness bound.
func (r Route) WithMaxAge(d time.Duration) Route {
	r.MaxAge = d
	return r
}

// WithTimes returns the route with the timeout of a statement and the latency
// objective of an operation.
func (r Route) WithTimes(timeout, aim time.Duration) Route {
	r.Timeout = timeout
	r.LatencyObjective = aim
	return r
}

// WithPriority returns the route with another priority.
func (r Route) WithPriority(priority int) Route {
	r.Priority = priority
	return r
}
