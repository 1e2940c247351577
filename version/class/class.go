// Package class defines the requirements of one class of a service's requests.
package class

import (
	"time"

	"github.com/go-faster/errors"
)

// DefaultDeadline is the deadline of a class that states none.
const DefaultDeadline = 3 * time.Second

// DefaultWeight is the weight of a service that states none.
const DefaultWeight = 1

// MaxDeadline is the longest deadline that a class may state. Idempotency keys
// are kept for longer than that.
const MaxDeadline = 24 * time.Hour

// Class holds the requirements of one class of requests. A Class is immutable.
type Class struct {
	// Service is the name of the service that stated the class.
	Service string
	// Name is the class's name, unique in its service.
	Name string
	// Read means that the request changes nothing. It is then run in a
	// read-only transaction.
	Read bool
	// MaxAge is how old the data of a read may be; 0 sets no limit beyond
	// read-your-writes.
	MaxAge time.Duration
	// Repeatable means that the request may run again without harm.
	Repeatable bool
	// Once means that the request must run at most once.
	Once bool
	// Long means that the request runs many times longer than most.
	Long bool
	// Deadline is how long the request may take, time in the queue included.
	Deadline time.Duration
	// Weight is the service's share of the slots, relative to other services.
	Weight int
	// RatePerSecond limits the requests of the service at one host; 0 means no limit.
	RatePerSecond float64
}

// Defaults returns the class of a request that matches no service file: a
// write that is neither repeatable nor protected by an idempotency key.
func Defaults() Class {
	return Class{Service: "default", Name: "default", Deadline: DefaultDeadline, Weight: DefaultWeight}
}

// Validate returns an error that lists every bad field, or nil.
func (c Class) Validate() error {
	var errs []error
	check := func(bad bool, text string) {
		if bad {
			errs = append(errs, errors.New(text))
		}
	}
	check(c.Name == "", "Name: must not be empty")
	check(c.Deadline <= 0, "Deadline: must be over 0")
	check(c.Deadline > MaxDeadline, "Deadline: must be 24h or less")
	check(c.Weight < 1, "Weight: must be 1 or more")
	check(c.MaxAge < 0, "MaxAge: must not be negative")
	check(c.MaxAge > 0 && !c.Read, "MaxAge: only a read may be stale")
	check(c.Once && c.Repeatable, "Once: a request is either Once or Repeatable")
	check(c.Once && c.Read, "Once: a read needs no key")
	check(c.RatePerSecond < 0, "RatePerSecond: must not be negative")
	return errors.Join(errs...)
}

// WithRead returns the class as a read whose data may be up to maxAge old.
func (c Class) WithRead(maxAge time.Duration) Class {
	c.Read = true
	c.Once = false
	c.MaxAge = maxAge
	return c
}

// WithWrite returns the class as a write.
func (c Class) WithWrite() Class {
	c.Read = false
	c.MaxAge = 0
	return c
}

// WithName returns the class with another service and name.
func (c Class) WithName(service, name string) Class {
	c.Service = service
	c.Name = name
	return c
}

// WithLong returns the class marked long or short.
func (c Class) WithLong(long bool) Class {
	c.Long = long
	return c
}

// WithOnce returns the class marked to run at most once.
func (c Class) WithOnce(once bool) Class {
	c.Once = once
	return c
}

// WithRepeatable returns the class marked repeatable.
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
