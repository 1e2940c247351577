// Package plan holds one accepted version of the routes and limits in force.
package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/version/route"
)

// Plan is one version of what hosts serve. A Plan is immutable.
type Plan struct {
	// Version orders plans; a host never goes back to a lower one.
	Version uint64
	// TransactionIdle is how long a transaction may rest between statements.
	TransactionIdle time.Duration
	routes          map[string]route.Route
	connections     map[string]int
}

// New returns an empty plan of a version.
func New(version uint64) Plan {
	return Plan{Version: version}
}

// WithRoutes returns the plan with routes; the first of a database counts.
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

// WithGroup returns the plan with a group whose targets take a number of
// connections each, from all hosts together.
func (p Plan) WithGroup(name string, connections int) Plan {
	p.connections = maps.Clone(p.connections)
	if p.connections == nil {
		p.connections = map[string]int{}
	}
	p.connections[name] = connections
	return p
}

// WithTransactionIdle returns the plan with another limit of rest.
func (p Plan) WithTransactionIdle(d time.Duration) Plan {
	p.TransactionIdle = d
	return p
}

// Route returns the route of a database.
func (p Plan) Route(database string) (route.Route, bool) {
	r, ok := p.routes[database]
	return r, ok
}

// Connections returns how many connections each target of a group takes.
func (p Plan) Connections(group string) int {
	return p.connections[group]
}

// Groups returns the names of the groups in order.
func (p Plan) Groups() []string {
	return slices.Sorted(maps.Keys(p.connections))
}
