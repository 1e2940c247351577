// Package call holds one request of a caller on its way to a slot.
package call

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
	"github.com/pistachiotray/pistachiotray/request/scan"
	"github.com/pistachiotray/pistachiotray/version/class"
)

// Call is one request: all messages of a caller up to one Sync or simple
// Query. A Call is immutable; Body and Prepare must not be written to.
type Call struct {
	// ID is unique over all hosts: answers are matched by it.
	ID string
	// Session names the caller's session, which may move between hosts.
	Session string
	// Group is the database group.
	Group string
	// Class says what the request needs; it is that of the configuration
	// version in force when the request began.
	Class class.Class
	// Floor is the mark that the session has seen: no older data may be shown.
	Floor mark.Mark
	// FreshFloor asks for a read index on arrival, since the session's floor
	// is not known.
	FreshFloor bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Arrived is when the first host read the request.
	Arrived time.Time
	// Key is the idempotency key, or empty.
	Key string
	// InTransaction tells that the session believes to be inside a transaction.
	InTransaction bool
	// Body is the request in the form in which the target takes it.
	Body []byte
	// Prepare holds the statements that Body relies on, by name.
	Prepare map[string][]byte
	// Settings holds the session's settings as statements, in order.
	Settings []string
	// Copy tells that the request may start a COPY.
	Copy bool
	// Dirty tells that the request may leave state in the slot.
	Dirty bool
	// Sent tells that the request was sent before and may have run then.
	Resent bool
	// Changes tells that the request may change the session's settings.
	ChangesSettings bool
	// Begins tells that the request begins a transaction of the caller's own.
	Begins bool
	// Ends tells that the request may end the open transaction.
	Ends bool
}

// New returns a call of a session for a group.
func New(id, session, group string, c class.Class) Call {
	return Call{ID: id, Session: session, Group: group, Class: c}
}

// WithBody returns the call with its body.
func (c Call) WithBody(body []byte) Call {
	c.Body = body
	return c
}

// WithFloor returns the call with the session's floor.
func (c Call) WithFloor(floor mark.Mark) Call {
	c.Floor = floor
	return c
}

// WithFreshFloor returns the call with or without a read index on arrival.
func (c Call) WithFreshFloor(fresh bool) Call {
	c.FreshFloor = fresh
	return c
}

// WithTimes returns the call with its arrival and its deadline.
func (c Call) WithTimes(arrived, deadline time.Time) Call {
	c.Arrived = arrived
	c.Deadline = deadline
	return c
}

// WithKey returns the call with an idempotency key.
func (c Call) WithKey(key string) Call {
	c.Key = key
	return c
}

// WithClass returns the call with another class.
func (c Call) WithClass(k class.Class) Call {
	c.Class = k
	return c
}

// WithInTransaction returns the call marked as inside a transaction or not.
func (c Call) WithInTransaction(follows bool) Call {
	c.InTransaction = follows
	return c
}

// WithState returns the call with the prepared statements and the settings
// that it relies on.
func (c Call) WithState(prepare map[string][]byte, settings []string) Call {
	c.Prepare = prepare
	c.Settings = settings
	return c
}

// WithScan returns the call with what was seen in its text.
func (c Call) WithScan(s scan.Scan) Call {
	c.Copy = s.Copy
	c.Dirty = s.Dirty
	c.ChangesSettings = s.Setting != ""
	c.Begins = s.Begins
	c.Ends = s.Ends
	return c
}

// WithResent returns the call marked as sent before or not.
func (c Call) WithResent(sent bool) Call {
	c.Resent = sent
	return c
}

// WithEnds returns the call marked as able to end its transaction or not.
func (c Call) WithEnds(ends bool) Call {
	c.Ends = ends
	return c
}

// Label names the class over all services, for learned service times.
func (c Call) Label() string {
	return c.Class.Service + "/" + c.Class.Name
}
