// Package class defines the requirements of one class of a service's requests.
package class

import (
	"time"

	"github.com/go-faster/errors"
)

// DefaultDeadline is the deadline of a class whose service file sets none.
const DefaultDeadline = 3 * time.Second

// DefaultWeight is the weight of a service whose file sets none.
const DefaultWeight = 1

// MaxDeadline is the longest deadline that a class may have. Idempotency keys are
// stored for longer than that.
const MaxDeadline = 24 * time.Hour

// Class holds the requirements of one class of requests. A Class is immutable.
type Class struct {
	// Service is the name of the service whose file defines the class.
	Service string
	// Name is the name of the class, unique within the service.
	Name string
	// Read means that the requests change nothing. They are run in read-only
	// transactions.
	Read bool
	// MaxAge limits how old the data of a read may be; 0 means a default limit.
	// With any limit, a read sees all writes of its own session.
	MaxAge time.Duration
	// Repeatable means that a request may run more than once without harm.
	Repeatable bool
	// Once means that a request must run at most once. It then gets an
	// idempotency key.
	Once bool
	// Long means that the requests run many times longer than most other requests.
	Long bool
	// Deadline limits the duration of a request, including the time in the queue.
	Deadline time.Duration
	// Weight is the service's share of the slots, relative to other services. If
	// the classes of a service have different weights, the weight of the service's
	// latest request applies.
	Weight int
	// RatePerSecond limits the rate of the service's requests at each host; 0
	// means no limit.
	RatePerSecond float64
}

// Defaults returns the class of a request that no rule matches: a write that is
// neither repeatable nor gets an idempotency key.
func Defaults() Class {
	return Class{Service: "default", Name: "default", Deadline: DefaultDeadline, Weight: DefaultWeight}
}

// Validate returns an error that lists every invalid field on a line of its own,
// or nil.
func (c Class) Validate() error {
	var errs []error
	check := func(invalid bool, text string) {
		if invalid {
			errs = append(errs, errors.New(text))
		}
	}
	check(c.Name == "", "Name: must not be empty")
	check(c.Deadline <= 0, "Deadline: must be over 0")
	check(c.Deadline > MaxDeadline, "Deadline: must be 24h or less")
	check(c.Weight < 1, "Weight: must be 1 or more")
	check(c.MaxAge < 0, "MaxAge: must not be negative")
	check(c.MaxAge > 0 && c.MaxAge < time.Microsecond, "MaxAge: must be 0 or at least 1µs")
	check(c.MaxAge > 0 && !c.Read, "MaxAge: only a read may be stale")
	check(c.Once && c.Repeatable, "Once: a request is either Once or Repeatable")
	check(c.Once && c.Read, "Once: a read needs no key")
	check(c.RatePerSecond < 0, "RatePerSecond: must not be negative")
	return errors.Join(errs...)
}

// WithRead returns the class as a read whose data may be up to maxAge old. A read
// needs no idempotency key, so Once is unset.
func (c Class) WithRead(maxAge time.Duration) Class {
	c.Read = true
	c.Once = false
	c.MaxAge = maxAge
	return c
}

// WithWrite returns the class as a write, without MaxAge.
func (c Class) WithWrite() Class {
	c.Read = false
	c.MaxAge = 0
	return c
}

// WithName returns the class with another service name and class name.
func (c Class) WithName(service, name string) Class {
	c.Service = service
	c.Name = name
	return c
}

// WithLong returns the class with Long set to long.
func (c Class) WithLong(long bool) Class {
	c.Long = long
	return c
}

// WithOnce returns the class with Once set to once.
func (c Class) WithOnce(once bool) Class {
	c.Once = once
	return c
}

// WithRepeatable returns the class with Repeatable set to repeatable.
func (c Class) WithRepeatable(repeatable bool) Class {
	c.Repeatable = repeatable
	return c
}

// WithDeadline returns the class with another deadline.
func (c Class) WithDeadline(d time.Duration) Class {
	c.Deadline = d
	return c
}

// WithWeight returns the class with another weight.
func (c Class) WithWeight(weight int) Class {
	c.Weight = weight
	return c
}
