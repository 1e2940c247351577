// Package caller defines the state of a caller's session.
package caller

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/reply"
)

// sessionValue is the name and the value of a run-time parameter that the session has
// set.
type sessionValue struct {
	name string
	text string
}

// prepared is a prepared statement.
type prepared struct {
	text   string
	writes bool
}

// Caller is the state of a session, including the values and prepared statements
// that must be set on a target's connection while it serves the session. A Caller
// is immutable.
type Caller struct {
	// ID identifies the session in logs.
	ID string
	// Database is the database name that the caller asked for.
	Database string
	// Customer is the name of the customer for which the session works, empty if callers
	// are not told apart. Targets and other hosts are told the name.
	Customer string
	// Status is the state of the session's transaction; see package reply.
	Status byte
	// Floor is the log position of the session's newest commit. FloorAt is when that
	// commit was acknowledged, as time since the machine started.
	Floor   mark.Mark
	FloorAt time.Duration

	// values are sorted by name.
	values   []sessionValue
	prepared map[string]prepared
	// keptBytes is the memory that the values and prepared statements take.
	keptBytes int
	// key identifies the customer. It is unexported so that it is neither logged nor
	// sent to other hosts.
	key string
}

// entryBytes is the memory that a value or prepared statement takes besides its texts, which are
// parts of a message.
const entryBytes = 128

// New returns a session without values, outside of a transaction.
func New(id, database string) Caller {
	return Caller{ID: id, Database: database, Status: reply.Idle}
}

// WithKey returns the session with the key that its caller showed.
func (c Caller) WithKey(key string) Caller {
	c.key = key
	return c
}

// Key returns the key that the caller showed.
func (c Caller) Key() string {
	return c.key
}

// WithCustomer returns the session working for the named customer.
func (c Caller) WithCustomer(name string) Caller {
	c.Customer = name
	return c
}

// WithStatus returns the session with its transaction in another state.
func (c Caller) WithStatus(status byte) Caller {
	c.Status = status
	return c
}

// WithFloor returns the session after a commit at a log position was acknowledged.
func (c Caller) WithFloor(m mark.Mark, at time.Duration) Caller {
	c.Floor = m
	c.FloorAt = at
	return c
}

// WithValue returns the session with a session value set.
func (c Caller) WithValue(name, text string) Caller {
	values := slices.Clone(c.values)
	i, ok := slices.BinarySearchFunc(values, name, compareName)
	if ok {
		c.keptBytes += len(text) - len(values[i].text)
		// The name too: the former one is a part of the message that set the former text.
		values[i] = sessionValue{name, text}
	} else {
		c.keptBytes += entryBytes + len(name) + len(text)
		values = slices.Insert(values, i, sessionValue{name, text})
	}
	c.values = values
	return c
}

func compareName(v sessionValue, name string) int {
	switch {
	case v.name < name:
		return -1
	case v.name > name:
		return 1
	}
	return 0
}

// Values calls f with each session value, in order of names.
func (c Caller) Values(f func(name, text string)) {
	for _, v := range c.values {
		f(v.name, v.text)
	}
}

// Value returns a session value by name.
func (c Caller) Value(name string) (string, bool) {
	i, ok := slices.BinarySearchFunc(c.values, name, compareName)
	if !ok {
		return "", false
	}
	return c.values[i].text, true
}

// WithPrepared returns the session with a prepared statement.
func (c Caller) WithPrepared(name, text string, writes bool) Caller {
	c.prepared = maps.Clone(c.prepared)
	if c.prepared == nil {
		c.prepared = map[string]prepared{}
	}
	c = c.withoutBytes(name)
	c.keptBytes += entryBytes + len(name) + len(text)
	// Without delete, the map would keep the former name, a part of the message that set it.
	delete(c.prepared, name)
	c.prepared[name] = prepared{text, writes}
	return c
}

// WithoutPrepared returns the session without the named prepared statement.
func (c Caller) WithoutPrepared(name string) Caller {
	c = c.withoutBytes(name)
	c.prepared = maps.Clone(c.prepared)
	delete(c.prepared, name)
	return c
}

// withoutBytes returns the session without the memory of a prepared statement, if there is one
// of that name.
func (c Caller) withoutBytes(name string) Caller {
	if p, ok := c.prepared[name]; ok {
		c.keptBytes -= entryBytes + len(name) + len(p.text)
	}
	return c
}

// Kept returns how many values and prepared statements the session has, and the memory that
// they take, in bytes.
func (c Caller) Kept() (count, size int) {
	return len(c.values) + len(c.prepared), c.keptBytes
}

// Prepared returns the text of a prepared statement and whether it writes.
func (c Caller) Prepared(name string) (text string, writes, ok bool) {
	p, ok := c.prepared[name]
	return p.text, p.writes, ok
}
