// Package plan defines one version of the routes and limits that the operator of
// the platform configures.
package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/version/route"
)

// Plan is one version of the routes and limits. A Plan is immutable.
type Plan struct {
	// Version is the number of the plan. A host adopts only plans with a higher
	// number than its current plan.
	Version uint64
	// TransactionIdle limits the time between two statements of a transaction; 0
	// means no limit.
	TransactionIdle time.Duration
	// routes holds the route of each database by the name of the database.
	routes map[string]route.Route
	// maxConnections holds, by the name of the group, the limit on the connections to
	// each target of the group.
	maxConnections map[string]int
}

// New returns an empty plan with a version number.
func New(version uint64) Plan {
	return Plan{Version: version}
}

// WithRoutes returns the plan with more routes. If several routes have the same
// database, only the first is used.
func (p Plan) WithRoutes(routes ...route.Route) Plan {
	p.routes = maps.Clone(p.routes)
	if p.routes == nil {
		p.routes = make(map[string]route.Route, len(routes))
	}
	for _, r := range routes {
		if _, ok := p.routes[r.Database]; !ok {
			p.routes[r.Database] = r
		}
	}
	return p
}

// WithGroup returns the plan with a group. maxConnections limits the connections
// to each target of the group, from all hosts together.
func (p Plan) WithGroup(name string, maxConnections int) Plan {
	p.maxConnections = maps.Clone(p.maxConnections)
	if p.maxConnections == nil {
		p.maxConnections = map[string]int{}
	}
	p.maxConnections[name] = maxConnections
	return p
}

// WithTransactionIdle returns the plan with another idle limit for
// transactions.
func (p Plan) WithTransactionIdle(d time.Duration) Plan {
	p.TransactionIdle = d
	return p
}

// Route returns the route of a database and reports whether there is one.
func (p Plan) Route(database string) (route.Route, bool) {
	r, ok := p.routes[database]
	return r, ok
}

// MaxConnections returns the limit on the connections to each target of a group, from
// all hosts together. It returns 0 for an unknown group.
func (p Plan) MaxConnections(group string) int {
	return p.maxConnections[group]
}

// Groups returns the names of the groups in sorted order.
func (p Plan) Groups() []string {
	return slices.Sorted(maps.Keys(p.maxConnections))
}
