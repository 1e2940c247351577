// Package stmt defines one statement of the line protocol, sent by a caller or by
// the proxy itself.
package stmt

import (
	"time"

	"github.com/pistachiotray/pistachiotray/request/mark"
)

// The kinds of statement.
const (
	// Unknown is the kind of a text that is not a valid statement.
	Unknown = iota
	// Begin opens a transaction that may write.
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read returns the rows of one item.
	Read
	// Write changes one item.
	Write
	// Set assigns a value to a name for the rest of the session.
	Set
	// Prepare defines a prepared statement.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// Reset clears the session values and prepared statements of a connection to
	// a target.
	Reset
	// Pause makes a target stop replicating from leaders whose term is lower than
	// the term in Rest.
	Pause
	// Resume lets a target replicate again.
	Resume
	// Status asks a target for its replication state and load. It occupies a slot of
	// the target while it runs.
	Status
	// Demote makes a target that leads a lower term than the term in Rest a replica.
	Demote
)

// ProxyID is the id of all statements that the proxy sends on its own behalf.
const ProxyID = "-"

// Stmt is one statement. A Stmt is immutable.
type Stmt struct {
	// ID is the caller's id of the statement, or ProxyID.
	ID string
	// Kind is the kind of statement, from Unknown to Demote.
	Kind int
	// Text is the statement as the caller sent it. It is empty in statements of
	// the proxy.
	Text string
	// Name is the name of the item, session value or prepared statement that the
	// statement refers to.
	Name string
	// Rest is the text after the name: the new content of an item, a session
	// value, the shape of a prepared statement, the arguments of an execution, or
	// the term of a Pause or a Demote.
	Rest string
	// Writes means, for Prepare and Execute, that the prepared statement writes.
	Writes bool
	// After is the log position that the target must have reached before it runs
	// the statement; zero means any.
	After mark.Mark
	// Arrived is when the statement was read, as the time since the machine
	// booted, including time when it was suspended.
	Arrived time.Duration
}

// New returns a statement with its id, kind and text.
func New(id string, kind int, text string) Stmt {
	return Stmt{ID: id, Kind: kind, Text: text}
}

// WithName returns the statement with a name and the text after the name.
func (s Stmt) WithName(name, rest string) Stmt {
	s.Name = name
	s.Rest = rest
	return s
}

// WithWrites returns the statement with Writes set to writes.
func (s Stmt) WithWrites(writes bool) Stmt {
	s.Writes = writes
	return s
}

// WithAfter returns the statement with m as the log position that the target must
// have reached.
func (s Stmt) WithAfter(m mark.Mark) Stmt {
	s.After = m
	return s
}

// WithArrived returns the statement with its time of arrival.
func (s Stmt) WithArrived(at time.Duration) Stmt {
	s.Arrived = at
	return s
}

// WritesData reports whether running the statement changes an item.
func (s Stmt) WritesData() bool {
	return s.Kind == Write || s.Kind == Execute && s.Writes
}
