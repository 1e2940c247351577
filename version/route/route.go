// Package route holds how the statements for one database are served.
package route

import "time"

// The kinds of consistency that a route asks for.
const (
	// Primary reads see every acknowledged commit.
	Primary = iota
	// Bounded reads see every commit that is older than MaxAge.
	BoundedStaleness
	// Session reads are Bounded and see the session's own commits as well.
	ReadYourWrites
)

// Route is one database as callers name it. A Route is immutable.
type Route struct {
	// Database is the name that callers use.
	Database string
	// Group is the database group that serves it.
	Group string
	// Kind is Primary, Bounded or Session.
	Kind int
	// MaxAge is the age of the oldest data that a read may return.
	MaxAge time.Duration
	// Timeout limits a single statement.
	Timeout time.Duration
	// Aim is the time in which a whole operation should end.
	LatencyObjective time.Duration
	// Priority orders waiting statements; 0 goes first.
	Priority int
}

// New returns a route from a database to a group.
func New(database, group string, kind int) Route {
	return Route{Database: database, Group: group, Kind: kind}
}

// WithMaxAge returns the route with another limit of age.
func (r Route) WithMaxAge(d time.Duration) Route {
	r.MaxAge = d
	return r
}

// WithTimes returns the route with the timeout of a statement and the aim of
// an operation.
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
