// Package call defines a request on its way from the caller's connection to the
// slot that runs the request.
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
	// ID is unique over all hosts. Answers are matched to requests by ID.
	ID string
	// Session identifies the caller's session, which may move between hosts.
	Session string
	// Group is the database group.
	Group string
	// Class holds the requirements of the request, as stated by the
	// configuration version that was in force when the request began.
	Class class.Class
	// Floor is the minimum log position that a read must include. It is the newest
	// position that the session has seen.
	Floor mark.Mark
	// FreshFloor makes the owner of the group take a read index when the request
	// arrives and use it as the floor, because the session's floor is not known.
	FreshFloor bool
	// Deadline is the time by which the request must be answered.
	Deadline time.Time
	// Arrived is the time at which the caller's host read the request.
	Arrived time.Time
	// Key is the idempotency key; empty means none.
	Key string
	// InTransaction means that the session was inside an explicit transaction
	// when it sent the request.
	InTransaction bool
	// Body is the request as encoded for the target.
	Body []byte
	// Prepare holds the encoded Parse message of each prepared statement that Body
	// uses, by the statement's name at the target.
	Prepare map[string][]byte
	// Settings holds the SET statements that establish the session's settings,
	// in the order in which to run them.
	Settings []string
	// Copy means that the request may start a COPY.
	Copy bool
	// Dirty means that the request may leave state in the slot that a reset of
	// settings doesn't remove, for example a temporary table.
	Dirty bool
	// Resent means that the request was sent before, to an owner of the group that
	// was lost, and may have run there.
	Resent bool
	// ChangesSettings means that the request may change the session's settings.
	ChangesSettings bool
	// Begins means that the request begins an explicit transaction.
	Begins bool
	// Ends means that the request may commit the transaction that it runs in. A
	// request outside an explicit transaction always may.
	Ends bool
}

// New returns a call of a session for a group.
func New(id, session, group string, c class.Class) Call {
	return Call{ID: id, Session: session, Group: group, Class: c}
}

// WithBody returns the call with a body, encoded for the target.
func (c Call) WithBody(body []byte) Call {
	c.Body = body
	return c
}

// WithFloor returns the call with another floor.
func (c Call) WithFloor(floor mark.Mark) Call {
	c.Floor = floor
	return c
}

// WithFreshFloor returns the call with FreshFloor set to fresh.
func (c Call) WithFreshFloor(fresh bool) Call {
	c.FreshFloor = fresh
	return c
}

// WithTimes returns the call with its arrival time and deadline.
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

// WithInTransaction returns the call with InTransaction set to inTransaction.
func (c Call) WithInTransaction(inTransaction bool) Call {
	c.InTransaction = inTransaction
	return c
}

// WithState returns the call with the session state that the request relies on:
// Prepare and Settings.
func (c Call) WithState(prepare map[string][]byte, settings []string) Call {
	c.Prepare = prepare
	c.Settings = settings
	return c
}

// WithScan returns the call with the properties that a scan of the request's
// text found.
func (c Call) WithScan(s scan.Scan) Call {
	c.Copy = s.Copy
	c.Dirty = s.Dirty
	c.ChangesSettings = s.Setting != ""
	c.Begins = s.Begins
	c.Ends = s.Ends
	return c
}

// WithResent returns the call with Resent set to resent.
func (c Call) WithResent(resent bool) Call {
	c.Resent = resent
	return c
}

// WithEnds returns the call with Ends set to ends.
func (c Call) WithEnds(ends bool) Call {
	c.Ends = ends
	return c
}

// Label returns the service and the name of the call's class, which identify the
// class over all services. Statistics of service times are kept per label.
func (c Call) Label() string {
	return c.Class.Service + "/" + c.Class.Name
}
