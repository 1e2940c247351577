// Package cust defines a customer: whose keys identify callers, and how much work
// may run for it.
package cust

import "slices"

// Public is the name that stands for the callers of public routes among customers. Targets are
// told the host's name instead. No customer has this name, since it is not one word.
const Public = "public routes"

// Customer is a party whose callers share a limit. A Customer is immutable.
type Customer struct {
	// Name identifies the customer. Targets are told the name.
	Name string
	// Priority orders customers; the lowest number comes first.
	Priority int
	// Rate is how many operations per second may run on all hosts together, and Burst
	// how many more may run at a time after a pause. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
	// keys are the keys that callers show. They must not be logged.
	keys []string
}

// New returns a customer without a limit, with the keys of its callers.
func New(name string, keys ...string) Customer {
	return Customer{Name: name, keys: slices.Clone(keys)}
}

// WithPriority returns the customer with another priority.
func (c Customer) WithPriority(priority int) Customer {
	c.Priority = priority
	return c
}

// WithLimit returns the customer with a limit on its operations, in operations per
// second and operations.
func (c Customer) WithLimit(rate, burst float64) Customer {
	c.Rate, c.Burst = rate, burst
	return c
}

// WithoutKeys returns the customer without the keys of its callers, to show it.
func (c Customer) WithoutKeys() Customer {
	c.keys = nil
	return c
}

// Limited reports whether the customer's operations are limited.
func (c Customer) Limited() bool {
	return c.Rate > 0
}

// NameAtTarget returns the name that a host tells a target for a connection of a customer: the
// host's own name for public routes, and where callers are not told apart.
func NameAtTarget(customer, host string) string {
	if customer == "" || customer == Public {
		return host
	}
	return customer
}

// EachKey calls f with each key of the customer.
func (c Customer) EachKey(f func(key string)) {
	for _, k := range c.keys {
		f(k)
	}
}
