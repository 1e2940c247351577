// Package plan defines one version of the routes and limits that the operator of
// the platform configures.
package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/version/cust"
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
	// customers holds the customers by name, and keys the names of their customers by
	// key. Both are nil if the plan knows no customers, so that every caller is served.
	customers map[string]cust.Customer
	keys      map[string]string
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

// WithCustomers returns the plan with customers, which may be none. From then on callers need the key
// of a customer, except on public routes. If several customers have the same name or
// the same key, the first one counts. An empty key is no key.
func (p Plan) WithCustomers(customers ...cust.Customer) Plan {
	p.customers = make(map[string]cust.Customer, len(customers))
	p.keys = make(map[string]string, len(customers))
	for _, c := range customers {
		if _, ok := p.customers[c.Name]; ok {
			continue
		}
		p.customers[c.Name] = c
		c.EachKey(func(key string) {
			if _, ok := p.keys[key]; !ok && key != "" {
				p.keys[key] = c.Name
			}
		})
	}
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

// HasCustomers reports whether callers are told apart by the keys of customers.
func (p Plan) HasCustomers() bool {
	return p.customers != nil
}

// Customers returns the customers in no particular order.
func (p Plan) Customers() []cust.Customer {
	return slices.Collect(maps.Values(p.customers))
}

// CustomerWeights returns the weight of each customer by name in the shares of a busy target,
// or nil if the plan knows no customers. All weigh the same, since a customer's limit is no
// measure of its usual load.
func (p Plan) CustomerWeights() map[string]int {
	if !p.HasCustomers() {
		return nil
	}
	weights := make(map[string]int, len(p.customers)+1)
	weights[cust.Public] = 1
	for name := range p.customers {
		weights[name] = 1
	}
	return weights
}

// CustomerNamed returns the customer with a name and reports whether there is one. If the plan
// knows customers, cust.Public names one without a limit.
func (p Plan) CustomerNamed(name string) (cust.Customer, bool) {
	if name == cust.Public && p.HasCustomers() {
		return cust.New(name), true
	}
	c, ok := p.customers[name]
	return c, ok
}

// Identify returns the customer for which a caller with a key works on a route. The
// customer is zero if the plan knows no customers, and has the name cust.Public if the
// route is public. Identify returns false if the key is needed and belongs to no customer.
func (p Plan) Identify(rt route.Route, key string) (cust.Customer, bool) {
	switch {
	case !p.HasCustomers():
		return cust.Customer{}, true
	case rt.Public:
		return cust.New(cust.Public), true
	}
	name, ok := p.keys[key]
	return p.customers[name], ok
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
