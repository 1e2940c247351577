// Package usage estimates how often and for how long each customer uses connections to a
// target.
package usage

import (
	"math"
	"time"
)

const (
	// memory is the time after which a use counts 1/e. The smallest customers use a target
	// only a few times a minute.
	memory = 2 * time.Minute
	// meanWeight is the weight of a new measurement in the mean duration of uses, if there
	// were many before.
	meanWeight = 0.05
	// usualWeight is the same for the mean by which the number of a customer's connections
	// is decided. With 0.05, that number changed several times a minute.
	usualWeight = 0.005
	// maxSamples bounds the number of measurements that is kept.
	maxSamples = 1000
	// maxCustomers is the number of customers above which those are forgotten that have
	// not used the target for forgetAfter.
	maxCustomers = 256
	forgetAfter  = 5 * memory
)

// kinds is the number of kinds of work that are told apart: work after which the connection
// is put back at once, and work that keeps the connection.
const kinds = 2

// entry is what is known of one customer.
type entry struct {
	// count is the number of uses, each weighted by its age at the time at.
	count float64
	at    time.Duration
	means [kinds]mean
	// usual is the average duration of uses of any kind over a longer time than means.
	usual mean
}

// mean is a moving average.
type mean struct {
	value   time.Duration
	samples int
}

// add adds a measurement. Its weight is at least the given one, and larger while there are few.
func (m *mean) add(d time.Duration, weight float64) {
	m.samples = min(m.samples+1, maxSamples)
	m.value += time.Duration(max(1/float64(m.samples), weight) * float64(d-m.value))
}

// Usage holds the estimates for each customer. It is not safe for concurrent use, and its
// times are those of the caller's clock.
type Usage struct {
	customers map[string]*entry
	// all holds the mean durations over all customers.
	all [kinds]mean
}

// New returns a Usage without customers.
func New() *Usage {
	return &Usage{customers: map[string]*entry{}}
}

// Started records that a customer begins to use a connection, or asks for one.
func (u *Usage) Started(customer string, now time.Duration) {
	e := u.entryOf(customer, now)
	e.count, e.at = e.weighted(now)+1, now
}

// Ended records the duration of a use. keeps tells whether the work keeps the connection.
func (u *Usage) Ended(customer string, keeps bool, took, now time.Duration) {
	e := u.entryOf(customer, now)
	e.means[kindOf(keeps)].add(took, meanWeight)
	e.usual.add(took, usualWeight)
	u.all[kindOf(keeps)].add(took, meanWeight)
}

// Expected returns the expected duration of a use, by the customer's earlier uses of the
// same kind or, if there were none, those of all customers. It returns 0 if there were none
// either.
func (u *Usage) Expected(customer string, keeps bool) time.Duration {
	kind := kindOf(keeps)
	if e, ok := u.customers[customer]; ok && e.means[kind].samples > 0 {
		return e.means[kind].value
	}
	return u.all[kind].value
}

// Rate returns how many uses per second of a customer's connections are expected to begin
// while a number of them or more are in use. That number has a Poisson distribution if the
// uses are independent. Rate is interpolated between whole numbers, so that a small change of
// inUse changes the result by little.
func (u *Usage) Rate(customer string, inUse float64, now time.Duration) float64 {
	e, ok := u.customers[customer]
	if !ok {
		return 0
	}
	rate := e.weighted(now) / memory.Seconds()
	load := rate * e.usual.value.Seconds()
	whole, part := math.Modf(inUse)
	fewer, term := 0.0, math.Exp(-load)
	for i := range int(whole) {
		fewer += term
		term *= load / float64(i+1)
	}
	return rate * max(1-fewer-part*term, 0)
}

// Usual returns the mean duration of a customer's uses of any kind over a longer time than
// Expected, or 0 if there were none.
func (u *Usage) Usual(customer string) time.Duration {
	if e, ok := u.customers[customer]; ok {
		return e.usual.value
	}
	return 0
}

// weighted returns the weighted number of uses at a time.
func (e *entry) weighted(now time.Duration) float64 {
	return e.count * math.Exp(-float64(now-e.at)/float64(memory))
}

// entryOf returns the entry of a customer, which it adds if needed.
func (u *Usage) entryOf(customer string, now time.Duration) *entry {
	e, ok := u.customers[customer]
	if ok {
		return e
	}
	if len(u.customers) >= maxCustomers {
		for name, other := range u.customers {
			if now-other.at > forgetAfter {
				delete(u.customers, name)
			}
		}
	}
	e = &entry{at: now}
	u.customers[customer] = e
	return e
}

func kindOf(keeps bool) int {
	if keeps {
		return 1
	}
	return 0
}
