// Package class holds what a service states about one class of its requests.
package class

import (
	"time"

	"github.com/go-faster/errors"
)

// DefaultDeadline is how long a request without a stated deadline may take.
const DefaultDeadline = 3 * time.Second

// DefaultWeight is the share of a service that states none.
const DefaultWeight = 1

// MaxDeadline bounds a deadline: idempotency keys are kept for longer.
const MaxDeadline = 24 * time.Hour

// Class says what one class of requests needs. A Class is immutable.
type Class struct {
	// Service is the name of the service that stated the class.
	Service string
	// Name is the class's name, unique in its service.
	Name string
	// Read tells that the request changes nothing. It is then run in a
	// read-only transaction.
	Read bool
	// MaxAge is how old the data of a read may be; 0 asks only for the
	// session's own work.
	MaxAge time.Duration
	// Repeatable tells that the request may run again without harm.
	Repeatable bool
	// Once tells that the request must run at most once.
	Once bool
	// Long tells that the request runs many times longer than most.
	Long bool
	// Deadline is how long the request may take, queue included.
	Deadline time.Duration
	// Weight is the service's share of the slots beside other services.
	Weight int
	// RatePerSecond limits the requests of the service at one host; 0 is no limit.
	RatePerSecond float64
}

// Defaults returns the class of a request that no service file names: a write
// that is neither repeatable nor guarded by a key.
func Defaults() Class {
	return Class{Service: "default", Name: "default", Deadline: DefaultDeadline, Weight: DefaultWeight}
}

// Validate returns an error that lists every bad field, or nil.
func (c Class) Validate() error {
	var found []error
	add := func(bad bool, text string) {
		if bad {
			found = append(found, errors.New(text))
		}
	}
	add(c.Name == "", "Name: must not be empty")
	add(c.Deadline <= 0, "Deadline: must be over 0")
	add(c.Deadline > MaxDeadline, "Deadline: must be 24h or less")
	add(c.Weight < 1, "Weight: must be 1 or more")
	add(c.MaxAge < 0, "MaxAge: must not be negative")
	add(c.MaxAge > 0 && !c.Read, "MaxAge: only a read may be stale")
	add(c.Once && c.Repeatable, "Once: a request is either Once or Repeatable")
	add(c.Once && c.Read, "Once: a read needs no key")
	add(c.RatePerSecond < 0, "RatePerSecond: must not be negative")
	return errors.Join(found...)
}

// WithRead returns the class as a read whose data may be maxAge old.
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

// WithName returns the class under another service and name.
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
